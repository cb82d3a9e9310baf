//! Load balancing over the endpoints of one service.
//!
//! A [`Balancer`] prefers what this daemon has observed itself (calls in flight, latency, refusals,
//! connection errors) over reports of others. Local endpoints come first; a bounded fraction of the
//! calls spills over to remote ones when the local ones are saturated or failing. No failure
//! detector can empty the set: when no healthy endpoint is left, the least bad one is tried.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::id::{DataCentreName, Incarnation, VmId};
use crate::level::Level;

#[cfg(test)]
mod tests;

/// An endpoint from the member table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// VM of the endpoint.
    pub vm: VmId,
    /// Incarnation of the daemon in front of it.
    pub incarnation: Incarnation,
    /// Address of that daemon.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Number of slots that it announced.
    pub slots: u32,
    /// Whether it was announced as cold.
    pub cold: bool,
    /// Whether the failure detector suspects it.
    pub suspected: bool,
    /// Whether it was announced as draining.
    pub draining: bool,
}

/// How a call to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint responded, or its daemon refused the call for a reason that has nothing to do
    /// with the endpoint.
    Ok,
    /// The endpoint responded with an error of its own, or too late.
    Failed,
    /// The daemon in front of the endpoint refused the call for lack of capacity.
    Refused,
    /// The connection failed.
    Connection,
    /// The daemon in front of the endpoint said that the endpoint is draining.
    Draining,
}

/// Load balancer of one service.
#[derive(Clone, Debug)]
pub struct Balancer {
    local: DataCentreName,
    endpoints: Vec<Endpoint>,
    index: HashMap<VmId, usize>,
}

#[derive(Clone, Debug)]
struct Endpoint {
    candidate: Candidate,
    cold_since: Option<Instant>,
    draining_since: Option<Instant>,
    in_flight: u32,
    /// Mean latency in seconds, zero while unknown.
    mean_latency: f64,
    samples: u32,
    /// Fraction of recent calls that failed.
    failed_fraction: f64,
    /// Fraction of recent calls that were refused, as of `refusals_updated_at`.
    last_refused_fraction: f64,
    refusals_updated_at: Option<Instant>,
    last_ok: Option<Instant>,
    ejection: Option<Ejection>,
    /// Consecutive ejections.
    ejections: u32,
    level: Option<(Instant, Level)>,
    load: Option<(Instant, f64)>,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    until: Instant,
    /// Start of the call that tests whether the endpoint has recovered.
    probe: Option<Instant>,
}

/// Preference class of an endpoint; lower is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Healthy,
    Suspected,
    Ejected,
    Draining,
    Drained,
}

impl Endpoint {
    fn new(now: Instant, candidate: Candidate) -> Self {
        Self {
            cold_since: candidate.cold.then_some(now),
            draining_since: candidate.draining.then_some(now),
            candidate,
            in_flight: 0,
            mean_latency: 0.0,
            samples: 0,
            failed_fraction: 0.0,
            last_refused_fraction: 0.0,
            refusals_updated_at: None,
            last_ok: None,
            ejection: None,
            ejections: 0,
            level: None,
            load: None,
        }
    }

    fn tier(&self, now: Instant) -> Tier {
        if let Some(since) = self.draining_since {
            let age = now.saturating_duration_since(since);
            return if age < Balancer::DRAINING_PICK_TIME {
                Tier::Draining
            } else {
                Tier::Drained
            };
        }
        if self.ejection.is_some() {
            return Tier::Ejected;
        }
        // A response within the grace outweighs the suspicion of others.
        if self.candidate.suspected && !is_recent(now, self.last_ok, Balancer::SUSPICION_GRACE) {
            return Tier::Suspected;
        }
        Tier::Healthy
    }

    /// Returns whether one call may probe the ejected endpoint.
    fn needs_probe(&self, now: Instant) -> bool {
        self.ejection.is_some_and(|ejection| {
            // A probe whose end was never recorded must not keep the endpoint ejected for ever.
            now >= ejection.until && !is_recent(now, ejection.probe, Balancer::PROBE_TIMEOUT)
        })
    }

    /// Returns the fraction of the slots that is used while the endpoint warms up.
    fn warm_fraction(&self, now: Instant) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        let passed = now.saturating_duration_since(since).as_secs_f64();
        let done = (passed / Balancer::WARM_UP_TIME.as_secs_f64()).min(1.0);
        Balancer::COLD_SLOT_FRACTION + (1.0 - Balancer::COLD_SLOT_FRACTION) * done
    }

    /// Returns the fraction of recent calls that were refused, decayed since the last one.
    fn refused_fraction(&self, now: Instant) -> f64 {
        let Some(at) = self.refusals_updated_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.last_refused_fraction * (-age / Balancer::REFUSAL_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Returns the estimated fraction of its calls that the endpoint cannot take.
    fn pressure(&self, now: Instant) -> f64 {
        let slots = f64::from(self.candidate.slots.max(1)) * self.warm_fraction(now);
        let full = f64::from(self.in_flight) / slots - 1.0;
        self.refused_fraction(now).max(full).clamp(0.0, 1.0)
    }

    /// Returns the expected cost of one more call.
    ///
    /// The reported load and level each change it by a factor below 1.5, so that what this daemon
    /// observes itself outweighs them.
    fn cost(&self, now: Instant, median_latency: f64) -> f64 {
        let slots = f64::from(self.candidate.slots.max(1)) * self.warm_fraction(now);
        let latency = if self.mean_latency > 0.0 {
            self.mean_latency
        } else {
            median_latency
        };
        let waiting = (f64::from(self.in_flight) + 1.0) / slots;
        let report = self
            .fresh_load(now)
            .map_or(1.0, |load| load.clamp(0.5, 2.0));
        let level = self.fresh_level(now).map_or(1.0, |level| {
            let full = f64::from(Level::FULL.rank) + 1.0;
            1.5 - 0.5 * (f64::from(level.rank) + 1.0) / full
        });
        waiting * latency * report.sqrt() * level * (1.0 + 4.0 * self.refused_fraction(now))
    }

    fn fresh_load(&self, now: Instant) -> Option<f64> {
        let (at, load) = self.load?;
        is_recent(now, Some(at), Balancer::REPORT_LIFETIME).then_some(load)
    }

    fn fresh_level(&self, now: Instant) -> Option<Level> {
        let (at, level) = self.level?;
        is_recent(now, Some(at), Balancer::REPORT_LIFETIME).then_some(level)
    }

    fn eject(&mut self, now: Instant, rng: &mut impl Rng) {
        let doublings = self.ejections.min(Balancer::MAX_BACKOFF_DOUBLINGS);
        let backoff = Balancer::FIRST_BACKOFF * 2_u32.pow(doublings);
        let jitter = rng.random_range(0.75..1.25);
        self.ejections += 1;
        self.ejection = Some(Ejection {
            until: now + backoff.mul_f64(jitter),
            probe: None,
        });
    }

    fn readmit(&mut self) {
        self.ejection = None;
        self.failed_fraction = 0.0;
        self.samples = 0;
        self.mean_latency = 0.0;
    }
}

fn is_recent(now: Instant, at: Option<Instant>, max_age: Duration) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < max_age)
}

impl Balancer {
    /// Time after the notice of draining in which an endpoint may still be picked as a last resort.
    pub const DRAINING_PICK_TIME: Duration = Duration::from_secs(3);
    /// Time until a cold endpoint gets as many calls as a warm one.
    pub const WARM_UP_TIME: Duration = Duration::from_secs(10);
    /// Back-off after the first ejection. Each consecutive ejection doubles it.
    pub const FIRST_BACKOFF: Duration = Duration::from_millis(200);

    const MAX_BACKOFF_DOUBLINGS: u32 = 7;
    const PROBE_TIMEOUT: Duration = Duration::from_secs(10);
    /// Fraction of its slots that a cold endpoint uses at first.
    const COLD_SLOT_FRACTION: f64 = 0.25;
    const SUSPICION_GRACE: Duration = Duration::from_secs(1);
    const REFUSAL_DECAY_TIME: Duration = Duration::from_secs(1);
    const REPORT_LIFETIME: Duration = Duration::from_secs(3);
    const SAMPLE_WEIGHT: f64 = 0.1;
    const MIN_EJECTION_SAMPLES: u32 = 10;
    const MAX_FAILED_FRACTION: f64 = 0.5;
    /// Ratio of the latency to the median of all endpoints above which an endpoint is slow.
    const SLOW_LATENCY_RATIO: f64 = 4.0;
    const EXPLORATION_PROBABILITY: f64 = 1.0 / 32.0;
    const MAX_SPILL_FRACTION: f64 = 0.5;
    const MIN_SPILL_PRESSURE: f64 = 0.05;

    /// Creates a balancer without endpoints in the data centre `local`.
    #[must_use]
    pub fn new(local: DataCentreName) -> Self {
        Self {
            local,
            endpoints: Vec::new(),
            index: HashMap::new(),
        }
    }

    /// Replaces the endpoints by those of the member table. Observations are kept for the same
    /// incarnation of a VM.
    pub fn update(&mut self, now: Instant, candidates: impl IntoIterator<Item = Candidate>) {
        let mut old: HashMap<VmId, Endpoint> = std::mem::take(&mut self.endpoints)
            .into_iter()
            .map(|endpoint| (Arc::clone(&endpoint.candidate.vm), endpoint))
            .collect();
        self.index.clear();
        for candidate in candidates {
            let vm = Arc::clone(&candidate.vm);
            let kept = old
                .remove(&vm)
                .filter(|old| old.candidate.incarnation == candidate.incarnation);
            let endpoint = match kept {
                Some(mut kept) => {
                    // Notices in responses can be ahead of the member table, so a notice is never
                    // withdrawn.
                    if candidate.draining {
                        kept.draining_since.get_or_insert(now);
                    }
                    kept.candidate = candidate;
                    kept
                }
                None => Endpoint::new(now, candidate),
            };
            self.index.insert(vm, self.endpoints.len());
            self.endpoints.push(endpoint);
        }
    }

    /// Returns the endpoints, in no particular order.
    pub fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        self.endpoints.iter().map(|endpoint| &endpoint.candidate)
    }

    /// Returns the number of endpoints.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoint is known.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Picks an endpoint that is not in `exclude`. Returns `None` only if no endpoint is left that
    /// may get calls.
    pub fn pick(&self, now: Instant, exclude: &[VmId], rng: &mut impl Rng) -> Option<&Candidate> {
        let eligible = |endpoint: &&Endpoint| !exclude.contains(&endpoint.candidate.vm);
        let probe_due = self
            .endpoints
            .iter()
            .filter(eligible)
            .find(|endpoint| endpoint.needs_probe(now) && endpoint.tier(now) == Tier::Ejected);
        if let Some(endpoint) = probe_due {
            return Some(&endpoint.candidate);
        }
        let tier = self
            .endpoints
            .iter()
            .filter(eligible)
            .map(|endpoint| endpoint.tier(now))
            .min()?;
        if tier == Tier::Drained {
            return None;
        }
        let all: Vec<&Endpoint> = self
            .endpoints
            .iter()
            .filter(eligible)
            .filter(|endpoint| endpoint.tier(now) == tier)
            .collect();
        let (local, remote): (Vec<&Endpoint>, Vec<&Endpoint>) = all
            .into_iter()
            .partition(|endpoint| endpoint.candidate.data_centre == self.local);
        let spill = self.spill(now, &local, &remote);
        let pool = if rng.random_bool(spill) {
            remote
        } else {
            local
        };
        let median_latency = self.median_latency();
        best_of_two(now, &pool, median_latency, rng).map(|endpoint| &endpoint.candidate)
    }

    /// Returns the fraction of the calls that go to remote data centres.
    fn spill(&self, now: Instant, local: &[&Endpoint], remote: &[&Endpoint]) -> f64 {
        if local.is_empty() {
            return 1.0;
        }
        if remote.is_empty() {
            return 0.0;
        }
        let slots = |endpoint: &Endpoint| f64::from(endpoint.candidate.slots.max(1));
        let local_slots: f64 = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.candidate.data_centre == self.local)
            .filter(|endpoint| endpoint.draining_since.is_none())
            .map(slots)
            .sum();
        let mean_pressure = |endpoints: &[&Endpoint]| {
            let total: f64 = endpoints.iter().map(|endpoint| slots(endpoint)).sum();
            let pressed: f64 = endpoints
                .iter()
                .map(|endpoint| slots(endpoint) * endpoint.pressure(now))
                .sum();
            pressed / total.max(1.0)
        };
        let usable: f64 = local.iter().map(|endpoint| slots(endpoint)).sum();
        let failed = 1.0 - (usable / local_slots.max(usable));
        let pressure = mean_pressure(local).max(failed / 2.0);
        if pressure < Self::MIN_SPILL_PRESSURE {
            return 0.0;
        }
        // Fewer calls go to remote data centres that refuse calls as well, or a flood would spread
        // to all of them.
        let spill = pressure * (1.0 - mean_pressure(remote));
        spill.clamp(0.0, Self::MAX_SPILL_FRACTION)
    }

    /// Returns the median of the known mean latencies in seconds.
    fn median_latency(&self) -> f64 {
        let mut known: Vec<f64> = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.mean_latency > 0.0)
            .map(|endpoint| endpoint.mean_latency)
            .collect();
        if known.is_empty() {
            return 1.0;
        }
        let middle = (known.len() - 1) / 2;
        *known.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    /// Records that a call was sent.
    pub fn call_started(&mut self, now: Instant, vm: &VmId) {
        if let Some(endpoint) = self.endpoint(vm) {
            endpoint.in_flight += 1;
            if endpoint.needs_probe(now)
                && let Some(ejection) = &mut endpoint.ejection
            {
                ejection.probe = Some(now);
            }
        }
    }

    /// Records that a call ended, and the time that it took.
    pub fn call_finished(
        &mut self,
        now: Instant,
        vm: &VmId,
        outcome: Outcome,
        latency: Duration,
        rng: &mut impl Rng,
    ) {
        let median_latency = self.median_latency();
        let may_eject = self.may_eject();
        let Some(endpoint) = self.endpoint(vm) else {
            return;
        };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        let mean = |old: f64, new: f64| old + Self::SAMPLE_WEIGHT * (new - old);
        endpoint.last_refused_fraction = endpoint.refused_fraction(now);
        endpoint.refusals_updated_at = Some(now);
        let refused = f64::from(u8::from(outcome == Outcome::Refused));
        endpoint.last_refused_fraction = mean(endpoint.last_refused_fraction, refused);
        match outcome {
            Outcome::Connection => {
                endpoint.last_ok = None;
                endpoint.eject(now, rng);
                return;
            }
            Outcome::Draining => {
                endpoint.draining_since.get_or_insert(now);
                return;
            }
            Outcome::Refused => {
                // The daemon responded, so the connection works.
                if endpoint
                    .ejection
                    .is_some_and(|ejection| ejection.probe.is_some())
                {
                    endpoint.readmit();
                }
                return;
            }
            Outcome::Ok | Outcome::Failed => {}
        }
        let failed = f64::from(u8::from(outcome == Outcome::Failed));
        endpoint.failed_fraction = mean(endpoint.failed_fraction, failed);
        endpoint.samples = endpoint.samples.saturating_add(1);
        let seconds = latency.as_secs_f64();
        endpoint.mean_latency = if endpoint.mean_latency > 0.0 {
            mean(endpoint.mean_latency, seconds)
        } else {
            seconds
        };
        if outcome == Outcome::Ok {
            endpoint.last_ok = Some(now);
        }
        if let Some(ejection) = endpoint.ejection {
            if ejection.probe.is_none() {
                return;
            }
            let slow = seconds > median_latency * Self::SLOW_LATENCY_RATIO;
            if outcome == Outcome::Ok && !slow {
                endpoint.readmit();
                endpoint.mean_latency = seconds;
            } else {
                endpoint.eject(now, rng);
            }
            return;
        }
        if endpoint.samples < Self::MIN_EJECTION_SAMPLES {
            return;
        }
        endpoint.ejections = 0;
        let slow = endpoint.mean_latency > median_latency * Self::SLOW_LATENCY_RATIO;
        if may_eject && (slow || endpoint.failed_fraction > Self::MAX_FAILED_FRACTION) {
            endpoint.eject(now, rng);
        }
    }

    /// Marks an endpoint as draining, after a notice in a response.
    pub fn mark_draining(&mut self, now: Instant, vm: &VmId) {
        if let Some(endpoint) = self.endpoint(vm) {
            endpoint.draining_since.get_or_insert(now);
        }
    }

    /// Records that the caller cancelled a call, which says nothing about the endpoint.
    pub fn call_cancelled(&mut self, vm: &VmId) {
        if let Some(endpoint) = self.endpoint(vm) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }

    /// Records the level in a response.
    pub fn observe_level(&mut self, now: Instant, vm: &VmId, level: Level) {
        if let Some(endpoint) = self.endpoint(vm) {
            endpoint.level = Some((now, level));
        }
    }

    /// Records the load in a response or a report.
    pub fn observe_load(&mut self, now: Instant, vm: &VmId, load: f64) {
        if let Some(endpoint) = self.endpoint(vm) {
            endpoint.load = Some((now, load));
        }
    }

    /// Returns whether one more endpoint may be ejected for being slow or failing. If more than
    /// half would be ejected, the cause lies elsewhere and the rest would be overloaded.
    fn may_eject(&self) -> bool {
        let ejected = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.ejection.is_some())
            .count();
        (ejected + 1) * 2 <= self.endpoints.len()
    }

    fn endpoint(&mut self, vm: &VmId) -> Option<&mut Endpoint> {
        let index = *self.index.get(vm)?;
        self.endpoints.get_mut(index)
    }
}

/// Returns the cheaper of two random endpoints. The cheapest of all would get the calls of many
/// daemons at once.
fn best_of_two<'a>(
    now: Instant,
    pool: &[&'a Endpoint],
    median_latency: f64,
    rng: &mut impl Rng,
) -> Option<&'a Endpoint> {
    if pool.is_empty() {
        return None;
    }
    let first = rng.random_range(0..pool.len());
    if pool.len() == 1 {
        return Some(pool[first]);
    }
    let second = (first + rng.random_range(1..pool.len())) % pool.len();
    let (first, second) = (pool[first], pool[second]);
    // Sometimes the first one is taken regardless of cost, so that a wrong cost is corrected.
    let explore = rng.random_bool(Balancer::EXPLORATION_PROBABILITY);
    Some(if explore {
        first
    } else if second.cost(now, median_latency) < first.cost(now, median_latency) {
        second
    } else {
        first
    })
}
