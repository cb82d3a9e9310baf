//! Adoption of revisions of one value, such as the rules or the home map.
//!
//! A daemon adopts only a higher revision than the one in force. Relays watch the platform; the
//! others hear of a revision by gossip and pull the value from a peer that has it in force. Each
//! daemon advertises a revision only after it adopted it, so the pulls form a tree and no daemon
//! serves more than the few that it told.
//!
//! A newcomer asks [`STARTUP_PEERS`] peers at once, and the platform within [`FIRST_READ_SPREAD`], so
//! that a whole fleet that starts at once stays within the rate of the platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

use crate::id::Revision;

#[cfg(test)]
mod tests;

/// Peers that a newcomer asks.
pub const STARTUP_PEERS: usize = 3;
/// Time over which the first read of the platform is spread.
pub const FIRST_READ_SPREAD: Duration = Duration::from_secs(30);

/// Time after which a pull without an answer counts as failed.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// First and longest wait after a failed pull.
const PULL_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));
/// First and longest wait after a failed call to the platform.
const PLATFORM_BACKOFF: (Duration, Duration) = (Duration::from_secs(1), Duration::from_mins(1));
/// Longest wait between a watch that ended and the next one. A write ends the watches of all relays
/// at once; one relay that watches again is enough to notice the next write.
const WATCH_SPREAD: Duration = Duration::from_secs(4);
/// Peers remembered to have a higher revision.
const SOURCES: usize = 8;

/// What the daemon has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask a peer for a value higher than `revision`; pass the outcome to [`Adoption::pull_ended`].
    Pull {
        /// Call address of the peer.
        from: SocketAddr,
        /// Revision in force.
        revision: Revision,
    },
    /// Watch the platform for a value higher than `after`; pass the outcome to
    /// [`Adoption::watch_ended`].
    Watch {
        /// Revision in force.
        after: Revision,
    },
    /// End the watch that is under way.
    EndWatch,
    /// Read the value from the platform; pass the outcome to [`Adoption::read_ended`].
    Read,
}

/// Wait that doubles with every failure.
#[derive(Debug)]
struct Backoff {
    bounds: (Duration, Duration),
    wait: Duration,
    until: Instant,
}

impl Backoff {
    const fn new(now: Instant, bounds: (Duration, Duration)) -> Self {
        Self {
            bounds,
            wait: bounds.0,
            until: now,
        }
    }

    fn fail(&mut self, now: Instant, rng: &mut SmallRng) {
        self.until = now + self.wait.mul_f64(rng.random_range(0.5..1.5));
        self.wait = (self.wait * 2).min(self.bounds.1);
    }

    const fn succeed(&mut self, now: Instant) {
        self.wait = self.bounds.0;
        self.until = now;
    }
}

/// State of the calls to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Platform {
    Idle,
    Reading,
    Watching,
}

/// Adoption of one value by one daemon.
#[derive(Debug)]
pub struct Adoption {
    rng: SmallRng,
    in_force: Revision,
    refused: Revision,
    ready: bool,
    /// Highest revision that each of a few peers has in force.
    sources: BTreeMap<SocketAddr, Revision>,
    /// Peers to ask whatever they have.
    ask: Vec<SocketAddr>,
    pulls: BTreeMap<SocketAddr, Instant>,
    pull_backoff: Backoff,
    relay: bool,
    platform: Platform,
    first_read: Option<Instant>,
    platform_backoff: Backoff,
}

impl Adoption {
    /// Starts with no revision in force.
    #[must_use]
    pub fn new(now: Instant, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let first_read = now + rng.random_range(Duration::ZERO..FIRST_READ_SPREAD);
        Self {
            rng,
            in_force: 0,
            refused: 0,
            ready: false,
            sources: BTreeMap::new(),
            ask: Vec::new(),
            pulls: BTreeMap::new(),
            pull_backoff: Backoff::new(now, PULL_BACKOFF),
            relay: false,
            platform: Platform::Idle,
            first_read: Some(first_read),
            platform_backoff: Backoff::new(now, PLATFORM_BACKOFF),
        }
    }

    /// Revision in force; zero if none.
    #[must_use]
    pub const fn in_force(&self) -> Revision {
        self.in_force
    }

    /// Whether a peer or the platform has answered since the start.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.ready
    }

    /// Puts `revision` in force if it is higher than the one in force. The caller installs the
    /// value if and only if this returns true.
    #[must_use]
    pub const fn adopt(&mut self, revision: Revision) -> bool {
        let higher = revision > self.in_force;
        if higher {
            self.in_force = revision;
        }
        higher
    }

    /// Notes that the value of `revision` cannot be used, so that it is not fetched again.
    pub fn reject(&mut self, revision: Revision) {
        self.refused = self.refused.max(revision);
    }

    /// Gives the peers that a newcomer asks; the first [`STARTUP_PEERS`] are used.
    pub fn set_peers(&mut self, peers: &[SocketAddr]) {
        if !self.ready {
            self.ask = peers.iter().take(STARTUP_PEERS).copied().collect();
        }
    }

    /// Sets whether this daemon is a relay and thus watches the platform.
    pub const fn set_relay(&mut self, relay: bool) {
        self.relay = relay;
    }

    /// Notes that the peer at `from` has `revision` in force.
    pub fn record_peer_revision(&mut self, from: SocketAddr, revision: Revision) {
        if revision <= self.in_force.max(self.refused) {
            return;
        }
        if self.sources.len() >= SOURCES
            && !self.sources.contains_key(&from)
            && let Some(lowest) = self.lowest_source()
        {
            self.sources.remove(&lowest);
        }
        let known = self.sources.entry(from).or_default();
        *known = revision.max(*known);
    }

    /// Takes the end of a pull from `from`.
    ///
    /// `answered` is false if the peer could not be reached. The caller passes a value that came to
    /// [`Self::adopt`] before.
    pub fn pull_ended(&mut self, now: Instant, from: SocketAddr, answered: bool) {
        self.pulls.remove(&from);
        self.sources.remove(&from);
        if answered {
            self.ready = true;
            self.pull_backoff.succeed(now);
        } else {
            self.pull_backoff.fail(now, &mut self.rng);
        }
    }

    /// Takes the end of a read. `answered` also counts when the platform has no value.
    pub fn read_ended(&mut self, now: Instant, answered: bool) {
        self.platform = Platform::Idle;
        self.end_platform_call(now, answered);
        if answered {
            self.first_read = None;
        }
    }

    /// Takes the end of a watch, with a value or without.
    pub fn watch_ended(&mut self, now: Instant, answered: bool) {
        if self.platform != Platform::Watching {
            return;
        }
        self.platform = Platform::Idle;
        self.end_platform_call(now, answered);
        if answered {
            self.first_read = None;
            self.platform_backoff.until = now + self.rng.random_range(Duration::ZERO..WATCH_SPREAD);
        }
    }

    /// Starts the calls that are due. To be called at least every 100 ms.
    #[must_use]
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.tick_pulls(now, &mut actions);
        self.tick_platform(now, &mut actions);
        actions
    }

    fn tick_pulls(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let lost: Vec<SocketAddr> = self
            .pulls
            .iter()
            .filter(|(_, started)| now.saturating_duration_since(**started) >= PULL_TIMEOUT)
            .map(|(from, _)| *from)
            .collect();
        for from in lost {
            self.pull_ended(now, from, false);
        }
        for from in std::mem::take(&mut self.ask) {
            self.pull(now, from, actions);
        }
        let floor = self.in_force.max(self.refused);
        self.sources.retain(|_, revision| *revision > floor);
        if !self.pulls.is_empty() || now < self.pull_backoff.until {
            return;
        }
        // Any peer with the highest revision will do; a random one spreads the pulls.
        let highest = self.sources.values().copied().max();
        let from = self
            .sources
            .iter()
            .filter(|(_, revision)| Some(**revision) == highest)
            .map(|(from, _)| *from)
            .choose(&mut self.rng);
        if let Some(from) = from {
            self.pull(now, from, actions);
        }
    }

    fn pull(&mut self, now: Instant, from: SocketAddr, actions: &mut Vec<Action>) {
        self.pulls.insert(from, now);
        let revision = self.in_force;
        actions.push(Action::Pull { from, revision });
    }

    fn tick_platform(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.relay && self.platform == Platform::Watching {
            self.platform = Platform::Idle;
            actions.push(Action::EndWatch);
        }
        if self.platform != Platform::Idle || now < self.platform_backoff.until {
            return;
        }
        if self.relay {
            self.platform = Platform::Watching;
            let after = self.in_force;
            actions.push(Action::Watch { after });
        } else if self.first_read.is_some_and(|at| now >= at) {
            self.platform = Platform::Reading;
            actions.push(Action::Read);
        }
    }

    fn end_platform_call(&mut self, now: Instant, answered: bool) {
        if answered {
            self.ready = true;
            self.platform_backoff.succeed(now);
        } else {
            self.platform_backoff.fail(now, &mut self.rng);
        }
    }

    fn lowest_source(&self) -> Option<SocketAddr> {
        let lowest = self.sources.iter().min_by_key(|(_, revision)| **revision);
        lowest.map(|(from, _)| *from)
    }
}
