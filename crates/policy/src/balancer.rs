//! Choice of an endpoint.
//!
//! A [`Balancer`] knows the endpoints of one service. It prefers what this daemon observed itself
//! (calls in flight, latency, refusals, connection errors) over reports of others. Endpoints of the
//! own data centre come first; a bounded part of the calls spills to others when the own ones are
//! saturated or failing. No detector can empty the set: when nothing healthy is left, the least bad
//! endpoint is tried.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::id::{DataCentreName, Incarnation, VmId};
use crate::level::Level;

#[cfg(test)]
mod tests;

/// An endpoint as membership knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// VM of the endpoint.
    pub vm: VmId,
    /// Start of the daemon in front of it.
    pub incarnation: Incarnation,
    /// Address of that daemon.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Announced slots.
    pub slots: u32,
    /// Announced as cold.
    pub cold: bool,
    /// Suspected by the failure detector.
    pub suspected: bool,
    /// Announced to be leaving.
    pub draining: bool,
}

/// How a call to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered.
    Ok,
    /// The endpoint answered with an error of its own, or too late.
    Failed,
    /// The daemon in front of the endpoint refused the call for lack of capacity.
    Refused,
    /// The connection failed.
    Connection,
    /// The daemon in front of the endpoint said that the endpoint is leaving.
    Draining,
}

/// Endpoints of one service.
#[derive(Clone, Debug)]
pub struct Balancer {
    own: DataCentreName,
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
    latency: f64,
    samples: u32,
    /// Fraction of recent calls that failed.
    failing: f64,
    /// Fraction of recent calls that were refused, as of `refused_at`.
    refused: f64,
    refused_at: Option<Instant>,
    last_ok: Option<Instant>,
    ejection: Option<Ejection>,
    /// Ejections in a row.
    ejections: u32,
    level: Option<(Instant, Level)>,
    load: Option<(Instant, f64)>,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    until: Instant,
    /// Start of the call that finds out whether the endpoint is back.
    probe: Option<Instant>,
}

/// How good a choice an endpoint is. Lower is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Healthy,
    Suspected,
    Ejected,
    Draining,
    Gone,
}

impl Endpoint {
    fn new(now: Instant, candidate: Candidate) -> Self {
        Self {
            cold_since: candidate.cold.then_some(now),
            draining_since: candidate.draining.then_some(now),
            candidate,
            in_flight: 0,
            latency: 0.0,
            samples: 0,
            failing: 0.0,
            refused: 0.0,
            refused_at: None,
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
                Tier::Gone
            };
        }
        if self.ejection.is_some() {
            return Tier::Ejected;
        }
        // An answer of the last second outweighs the suspicion of others.
        if self.candidate.suspected && !within(now, self.last_ok, Balancer::SUSPICION_GRACE) {
            return Tier::Suspected;
        }
        Tier::Healthy
    }

    /// Whether an ejected endpoint may be tried by one call.
    fn wants_probe(&self, now: Instant) -> bool {
        self.ejection.is_some_and(|ejection| {
            // A probe whose end was never told must not keep the endpoint out for good.
            now >= ejection.until && !within(now, ejection.probe, Balancer::PROBE_LIFE)
        })
    }

    fn warmth(&self, now: Instant) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        let passed = now.saturating_duration_since(since).as_secs_f64();
        let done = (passed / Balancer::WARM_UP_TIME.as_secs_f64()).min(1.0);
        Balancer::COLD_FRACTION + (1.0 - Balancer::COLD_FRACTION) * done
    }

    /// Fraction of recent calls refused, decayed.
    fn refusing(&self, now: Instant) -> f64 {
        let Some(at) = self.refused_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.refused * (-age / Balancer::REFUSAL_MEMORY.as_secs_f64()).exp()
    }

    /// Fraction of the calls meant for this endpoint that it cannot take.
    fn pressure(&self, now: Instant) -> f64 {
        let slots = f64::from(self.candidate.slots.max(1)) * self.warmth(now);
        let full = f64::from(self.in_flight) / slots - 1.0;
        self.refusing(now).max(full).clamp(0.0, 1.0)
    }

    /// Expected cost of one more call.
    fn cost(&self, now: Instant, usual: f64) -> f64 {
        let slots = f64::from(self.candidate.slots.max(1)) * self.warmth(now);
        let latency = if self.latency > 0.0 {
            self.latency
        } else {
            usual
        };
        let waiting = (f64::from(self.in_flight) + 1.0) / slots;
        let report = self
            .fresh_load(now)
            .map_or(1.0, |load| load.clamp(0.5, 2.0));
        let level = self.fresh_level(now).map_or(1.0, |level| {
            let full = f64::from(Level::FULL.rank) + 1.0;
            1.5 - 0.5 * (f64::from(level.rank) + 1.0) / full
        });
        waiting * latency * report.sqrt() * level * (1.0 + 4.0 * self.refusing(now))
    }

    fn fresh_load(&self, now: Instant) -> Option<f64> {
        let (at, load) = self.load?;
        within(now, Some(at), Balancer::REPORT_LIFE).then_some(load)
    }

    fn fresh_level(&self, now: Instant) -> Option<Level> {
        let (at, level) = self.level?;
        within(now, Some(at), Balancer::REPORT_LIFE).then_some(level)
    }

    fn eject(&mut self, now: Instant, rng: &mut impl Rng) {
        let doublings = self.ejections.min(Balancer::LONGEST_BACKOFF);
        let back_off = Balancer::FIRST_BACKOFF * 2_u32.pow(doublings);
        let jitter = rng.random_range(0.75..1.25);
        self.ejections += 1;
        self.ejection = Some(Ejection {
            until: now + back_off.mul_f64(jitter),
            probe: None,
        });
    }

    fn readmit(&mut self) {
        self.ejection = None;
        self.failing = 0.0;
        self.samples = 0;
        self.latency = 0.0;
    }
}

fn within(now: Instant, at: Option<Instant>, life: Duration) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < life)
}

impl Balancer {
    /// Time after the notice of leaving in which an endpoint may still be picked as a last resort.
    pub const DRAINING_PICK_TIME: Duration = Duration::from_secs(3);
    /// Time a cold endpoint takes to get its whole share.
    pub const WARM_UP_TIME: Duration = Duration::from_secs(10);
    /// First back-off after an ejection. Each further one in a row doubles it.
    pub const FIRST_BACKOFF: Duration = Duration::from_millis(200);

    const LONGEST_BACKOFF: u32 = 7;
    const PROBE_LIFE: Duration = Duration::from_secs(10);
    const COLD_FRACTION: f64 = 0.25;
    const SUSPICION_GRACE: Duration = Duration::from_secs(1);
    const REFUSAL_MEMORY: Duration = Duration::from_secs(1);
    const REPORT_LIFE: Duration = Duration::from_secs(3);
    const WEIGHT: f64 = 0.1;
    const LEAST_SAMPLES: u32 = 10;
    const FAILING_BOUND: f64 = 0.5;
    const SLOW_RATIO: f64 = 4.0;
    const EXPLORATION: f64 = 1.0 / 32.0;
    const SPILL_BOUND: f64 = 0.5;
    const SPILL_START: f64 = 0.05;

    /// A router in the data centre `own`, without endpoints.
    #[must_use]
    pub fn new(own: DataCentreName) -> Self {
        Self {
            own,
            endpoints: Vec::new(),
            index: HashMap::new(),
        }
    }

    /// Takes over the endpoints that membership knows. Observations are kept for the same
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
                    // Notices on answers can be ahead of membership, so a notice is never taken back.
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

    /// The endpoints, in no particular order.
    pub fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        self.endpoints.iter().map(|endpoint| &endpoint.candidate)
    }

    /// Number of endpoints.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether no endpoint is known.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Picks an endpoint that is not in `exclude`. Returns none only if no endpoint is left that
    /// may get work.
    pub fn pick(&self, now: Instant, exclude: &[VmId], rng: &mut impl Rng) -> Option<&Candidate> {
        let open = |endpoint: &&Endpoint| !exclude.contains(&endpoint.candidate.vm);
        let due = self
            .endpoints
            .iter()
            .filter(open)
            .find(|endpoint| endpoint.wants_probe(now) && endpoint.tier(now) == Tier::Ejected);
        if let Some(endpoint) = due {
            return Some(&endpoint.candidate);
        }
        let tier = self
            .endpoints
            .iter()
            .filter(open)
            .map(|endpoint| endpoint.tier(now))
            .min()?;
        if tier == Tier::Gone {
            return None;
        }
        let all: Vec<&Endpoint> = self
            .endpoints
            .iter()
            .filter(open)
            .filter(|endpoint| endpoint.tier(now) == tier)
            .collect();
        let (local, remote): (Vec<&Endpoint>, Vec<&Endpoint>) = all
            .into_iter()
            .partition(|endpoint| endpoint.candidate.data_centre == self.own);
        let spill = self.spill(now, &local, &remote);
        let pool = if rng.random_bool(spill) {
            remote
        } else {
            local
        };
        let usual = self.usual_latency();
        best_of_two(now, &pool, usual, rng).map(|endpoint| &endpoint.candidate)
    }

    /// Fraction of the calls that go to other data centres.
    fn spill(&self, now: Instant, local: &[&Endpoint], remote: &[&Endpoint]) -> f64 {
        if local.is_empty() {
            return 1.0;
        }
        if remote.is_empty() {
            return 0.0;
        }
        let slots = |endpoint: &Endpoint| f64::from(endpoint.candidate.slots.max(1));
        let own: f64 = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.candidate.data_centre == self.own)
            .filter(|endpoint| endpoint.draining_since.is_none())
            .map(slots)
            .sum();
        let weighted = |endpoints: &[&Endpoint]| {
            let total: f64 = endpoints.iter().map(|endpoint| slots(endpoint)).sum();
            let pressed: f64 = endpoints
                .iter()
                .map(|endpoint| slots(endpoint) * endpoint.pressure(now))
                .sum();
            pressed / total.max(1.0)
        };
        let usable: f64 = local.iter().map(|endpoint| slots(endpoint)).sum();
        let failed = 1.0 - (usable / own.max(usable));
        let pressure = weighted(local).max(failed / 2.0);
        if pressure < Self::SPILL_START {
            return 0.0;
        }
        // Other data centres that refuse as well get less, or a flood would spread to all.
        let spill = pressure * (1.0 - weighted(remote));
        spill.clamp(0.0, Self::SPILL_BOUND)
    }

    /// Median of the known latencies in seconds.
    fn usual_latency(&self) -> f64 {
        let mut known: Vec<f64> = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.latency > 0.0)
            .map(|endpoint| endpoint.latency)
            .collect();
        if known.is_empty() {
            return 1.0;
        }
        let middle = (known.len() - 1) / 2;
        *known.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    /// Notes that a call was sent.
    pub fn call_started(&mut self, now: Instant, vm: &VmId) {
        if let Some(endpoint) = self.endpoint(vm) {
            endpoint.in_flight += 1;
            if endpoint.wants_probe(now)
                && let Some(ejection) = &mut endpoint.ejection
            {
                ejection.probe = Some(now);
            }
        }
    }

    /// Notes that a call ended, with the time it took.
    pub fn call_finished(
        &mut self,
        now: Instant,
        vm: &VmId,
        outcome: Outcome,
        latency: Duration,
        rng: &mut impl Rng,
    ) {
        let usual = self.usual_latency();
        let may_eject = self.may_eject();
        let Some(endpoint) = self.endpoint(vm) else {
            return;
        };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        let mean = |old: f64, new: f64| old + Self::WEIGHT * (new - old);
        endpoint.refused = endpoint.refusing(now);
        endpoint.refused_at = Some(now);
        let refused = f64::from(u8::from(outcome == Outcome::Refused));
        endpoint.refused = mean(endpoint.refused, refused);
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
                // The daemon answered, so the connection is sound.
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
        endpoint.failing = mean(endpoint.failing, failed);
        endpoint.samples = endpoint.samples.saturating_add(1);
        let seconds = latency.as_secs_f64();
        endpoint.latency = if endpoint.latency > 0.0 {
            mean(endpoint.latency, seconds)
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
            let slow = seconds > usual * Self::SLOW_RATIO;
            if outcome == Outcome::Ok && !slow {
                endpoint.readmit();
                endpoint.latency = seconds;
            } else {
                endpoint.eject(now, rng);
            }
            return;
        }
        if endpoint.samples < Self::LEAST_SAMPLES {
            return;
        }
        endpoint.ejections = 0;
        let slow = endpoint.latency > usual * Self::SLOW_RATIO;
        if may_eject && (slow || endpoint.failing > Self::FAILING_BOUND) {
            endpoint.eject(now, rng);
        }
    }

    /// Takes a notice on an answer that the endpoint is leaving.
    pub fn mark_draining(&mut self, now: Instant, vm: &VmId) {
        if let Some(endpoint) = self.endpoint(vm) {
            endpoint.draining_since.get_or_insert(now);
        }
    }

    /// Notes that the caller gave a call up. That teaches nothing about the endpoint.
    pub fn call_cancelled(&mut self, vm: &VmId) {
        if let Some(endpoint) = self.endpoint(vm) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }

    /// Takes the level of an answer.
    pub fn observe_level(&mut self, now: Instant, vm: &VmId, level: Level) {
        if let Some(endpoint) = self.endpoint(vm) {
            endpoint.level = Some((now, level));
        }
    }

    /// Takes the load of an answer or of a report.
    pub fn observe_load(&mut self, now: Instant, vm: &VmId, load: f64) {
        if let Some(endpoint) = self.endpoint(vm) {
            endpoint.load = Some((now, load));
        }
    }

    /// Whether one more endpoint may be ejected for being slow or failing. Where more than half
    /// would be, the cause lies elsewhere and the rest would be overloaded.
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

/// The cheaper of two random endpoints. Taking the cheapest of all would send the calls of many
/// daemons to the same one.
fn best_of_two<'a>(
    now: Instant,
    pool: &[&'a Endpoint],
    usual: f64,
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
    // Now and then the costlier one is tried, so that a wrong cost is corrected.
    let explore = rng.random_bool(Balancer::EXPLORATION);
    Some(if explore {
        first
    } else if second.cost(now, usual) < first.cost(now, usual) {
        second
    } else {
        first
    })
}
