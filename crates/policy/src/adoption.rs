//! Adoption of revisions of one value, such as the rules or the home map.
//!
//! A daemon adopts only a higher revision than the one in force. Relays watch the platform; the
//! other daemons learn of a revision by gossip and pull the value from a peer that has it in force.
//! A daemon advertises a revision only after it has adopted it, so the pulls form a tree and a
//! daemon serves only the few peers to which it advertised the revision.
//!
//! A daemon that starts pulls from [`STARTUP_PEERS`] peers at once and reads the platform at a
//! random time within [`FIRST_READ_SPREAD`], so that a whole fleet that starts at once stays within
//! the rate limit of the platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

use crate::id::Revision;

#[cfg(test)]
mod tests;

/// Number of peers that a daemon pulls from when it starts.
pub const STARTUP_PEERS: usize = 3;
/// Time over which the first reads of the platform are spread.
pub const FIRST_READ_SPREAD: Duration = Duration::from_secs(30);

/// Time after which a pull without a reply counts as failed.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// First and longest wait after a failed pull.
const PULL_BACKOFF_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(5));
/// First and longest wait after a failed call to the platform.
const PLATFORM_BACKOFF_BOUNDS: (Duration, Duration) =
    (Duration::from_secs(1), Duration::from_mins(1));
/// Longest wait between a watch that ended and the next one. A write ends the watches of all relays
/// at once; one relay that watches again is enough to notice the next write.
const MAX_WATCH_DELAY: Duration = Duration::from_secs(4);
/// Largest number of peers remembered to have a higher revision.
const MAX_SOURCE_COUNT: usize = 8;

/// Action that the daemon has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Pull a value newer than `revision` from a peer; pass the outcome to
    /// [`Adoption::pull_ended`].
    Pull {
        /// Address at which the peer takes calls.
        from: SocketAddr,
        /// Revision in force.
        revision: Revision,
    },
    /// Watch the platform for a value newer than `after`; pass the outcome to
    /// [`Adoption::watch_ended`].
    Watch {
        /// Revision in force.
        after: Revision,
    },
    /// Cancel the running watch.
    EndWatch,
    /// Read the value from the platform; pass the outcome to [`Adoption::read_ended`].
    Read,
}

/// Back-off that doubles with every failure.
#[derive(Debug)]
struct Backoff {
    bounds: (Duration, Duration),
    delay: Duration,
    retry_at: Instant,
}

impl Backoff {
    const fn new(now: Instant, bounds: (Duration, Duration)) -> Self {
        Self {
            bounds,
            delay: bounds.0,
            retry_at: now,
        }
    }

    fn record_failure(&mut self, now: Instant, rng: &mut SmallRng) {
        self.retry_at = now + self.delay.mul_f64(rng.random_range(0.5..1.5));
        self.delay = (self.delay * 2).min(self.bounds.1);
    }

    const fn record_success(&mut self, now: Instant) {
        self.delay = self.bounds.0;
        self.retry_at = now;
    }
}

/// Call to the platform that is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlatformCall {
    Idle,
    Reading,
    Watching,
}

/// Adoption of one value by one daemon.
#[derive(Debug)]
pub struct Adoption {
    rng: SmallRng,
    in_force: Revision,
    rejected: Revision,
    ready: bool,
    /// Highest revision that each of a few peers is known to have in force.
    sources: BTreeMap<SocketAddr, Revision>,
    /// Peers to pull from at startup, whatever revision they have.
    startup_peers: Vec<SocketAddr>,
    pulls: BTreeMap<SocketAddr, Instant>,
    pull_backoff: Backoff,
    relay: bool,
    platform_call: PlatformCall,
    first_read_at: Option<Instant>,
    platform_backoff: Backoff,
}

impl Adoption {
    /// Creates the state without a revision in force.
    #[must_use]
    pub fn new(now: Instant, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let first_read_at = now + rng.random_range(Duration::ZERO..FIRST_READ_SPREAD);
        Self {
            rng,
            in_force: 0,
            rejected: 0,
            ready: false,
            sources: BTreeMap::new(),
            startup_peers: Vec::new(),
            pulls: BTreeMap::new(),
            pull_backoff: Backoff::new(now, PULL_BACKOFF_BOUNDS),
            relay: false,
            platform_call: PlatformCall::Idle,
            first_read_at: Some(first_read_at),
            platform_backoff: Backoff::new(now, PLATFORM_BACKOFF_BOUNDS),
        }
    }

    /// Returns the revision in force, or zero if there is none.
    #[must_use]
    pub const fn in_force(&self) -> Revision {
        self.in_force
    }

    /// Returns whether a peer or the platform has replied since the start.
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

    /// Records that the value of `revision` is unusable, so that it is not fetched again.
    pub fn reject(&mut self, revision: Revision) {
        self.rejected = self.rejected.max(revision);
    }

    /// Sets the peers to pull from at startup; the first [`STARTUP_PEERS`] are used.
    pub fn set_peers(&mut self, peers: &[SocketAddr]) {
        if !self.ready {
            self.startup_peers = peers.iter().take(STARTUP_PEERS).copied().collect();
        }
    }

    /// Sets whether this daemon is a relay and thus watches the platform.
    pub const fn set_relay(&mut self, relay: bool) {
        self.relay = relay;
    }

    /// Records that the peer at `from` has `revision` in force.
    pub fn record_peer_revision(&mut self, from: SocketAddr, revision: Revision) {
        if revision <= self.in_force.max(self.rejected) {
            return;
        }
        if self.sources.len() >= MAX_SOURCE_COUNT
            && !self.sources.contains_key(&from)
            && let Some(lowest) = self.lowest_source()
        {
            self.sources.remove(&lowest);
        }
        let known = self.sources.entry(from).or_default();
        *known = revision.max(*known);
    }

    /// Records the end of a pull from `from`.
    ///
    /// `replied` is false if the peer could not be reached. The caller passes a pulled value to
    /// [`Self::adopt`] before.
    pub fn pull_ended(&mut self, now: Instant, from: SocketAddr, replied: bool) {
        self.pulls.remove(&from);
        self.sources.remove(&from);
        if replied {
            self.ready = true;
            self.pull_backoff.record_success(now);
        } else {
            self.pull_backoff.record_failure(now, &mut self.rng);
        }
    }

    /// Records the end of a read. `replied` is true also if the platform has no value.
    pub fn read_ended(&mut self, now: Instant, replied: bool) {
        self.platform_call = PlatformCall::Idle;
        self.end_platform_call(now, replied);
        if replied {
            self.first_read_at = None;
        }
    }

    /// Records the end of a watch, with or without a value.
    pub fn watch_ended(&mut self, now: Instant, replied: bool) {
        if self.platform_call != PlatformCall::Watching {
            return;
        }
        self.platform_call = PlatformCall::Idle;
        self.end_platform_call(now, replied);
        if replied {
            self.first_read_at = None;
            self.platform_backoff.retry_at =
                now + self.rng.random_range(Duration::ZERO..MAX_WATCH_DELAY);
        }
    }

    /// Returns the actions to carry out now. To be called at least every 100 ms.
    #[must_use]
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.tick_pulls(now, &mut actions);
        self.tick_platform(now, &mut actions);
        actions
    }

    fn tick_pulls(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let timed_out: Vec<SocketAddr> = self
            .pulls
            .iter()
            .filter(|(_, started)| now.saturating_duration_since(**started) >= PULL_TIMEOUT)
            .map(|(from, _)| *from)
            .collect();
        for from in timed_out {
            self.pull_ended(now, from, false);
        }
        for from in std::mem::take(&mut self.startup_peers) {
            self.pull(now, from, actions);
        }
        let floor = self.in_force.max(self.rejected);
        self.sources.retain(|_, revision| *revision > floor);
        if !self.pulls.is_empty() || now < self.pull_backoff.retry_at {
            return;
        }
        // Picking a random peer with the highest revision spreads the pulls.
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
        if !self.relay && self.platform_call == PlatformCall::Watching {
            self.platform_call = PlatformCall::Idle;
            actions.push(Action::EndWatch);
        }
        if self.platform_call != PlatformCall::Idle || now < self.platform_backoff.retry_at {
            return;
        }
        if self.relay {
            self.platform_call = PlatformCall::Watching;
            let after = self.in_force;
            actions.push(Action::Watch { after });
        } else if self.first_read_at.is_some_and(|at| now >= at) {
            self.platform_call = PlatformCall::Reading;
            actions.push(Action::Read);
        }
    }

    fn end_platform_call(&mut self, now: Instant, replied: bool) {
        if replied {
            self.ready = true;
            self.platform_backoff.record_success(now);
        } else {
            self.platform_backoff.record_failure(now, &mut self.rng);
        }
    }

    fn lowest_source(&self) -> Option<SocketAddr> {
        let lowest = self.sources.iter().min_by_key(|(_, revision)| **revision);
        lowest.map(|(from, _)| *from)
    }
}
