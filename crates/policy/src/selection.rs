//! Choice of the endpoint for a call.
//!
//! Answers uneven endpoints and stale reports: the load of an endpoint is what its gate reported
//! last plus what this daemon has sent there since. Endpoints of the own data centre are preferred
//! while they have room; an endpoint that failed is left out for a while, but never all of them. One
//! that refuses a part of its calls, although it has room, gets calls only when the others are full.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::id::VmId;
use crate::routing::{Route, RouteName};

#[cfg(test)]
mod tests;

/// Part of a route's objective that an endpoint of another data centre must save.
const FAR_SHARE: f64 = 0.2;

/// Time that it must save besides for each kilobyte of the answer, in seconds. Bytes between data
/// centres are the dearest resource of the deployments.
const FAR_PER_KILOBYTE: f64 = 0.03;

/// Most that it must save, as a part of the objective: an answer in time goes before bytes.
const MAX_FAR_SHARE: f64 = 0.5;

/// Part of the objective that a place without any room below is slower.
const ROOM_SHARE: f64 = 0.8;

/// Part of the objective that an endpoint which refuses every call is slower. A refused call goes
/// elsewhere only within the operators' bound of repeats, so its loss counts like a missed objective.
const REFUSAL_SHARE: f64 = 1.0;

/// Weight of a new sample in the mean size of a route's answers.
const SIZE_WEIGHT: f64 = 0.05;

/// Time for which a failed endpoint is left out.
const EJECTION: Duration = Duration::from_millis(800);

/// Longest time for which an endpoint is left out after failures in a row.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Weight of a new sample in the mean time of a route at an endpoint.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Age at which half of the load reported by a gate is believed to be gone.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);

/// Age up to which a share is believed. Gates repeat a share that is below one.
const SHARE_AGE: Duration = Duration::from_millis(1_500);

/// Load of an endpoint as its gate states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Calls that run or wait.
    pub calls: u32,
    /// Calls that may run at once.
    pub limit: u32,
    /// Mean time for which a call holds a slot.
    pub hold_time: Duration,
    /// Share of the elastic work that it can take.
    pub share: f64,
    /// Part of the calls sent to the endpoint that it does not refuse.
    pub accepted: f64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            calls: 0,
            limit: 0,
            hold_time: Duration::ZERO,
            share: 1.0,
            accepted: 1.0,
        }
    }
}

/// What an endpoint, or the endpoints of a service, can take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Headroom {
    /// Calls that can be finished in a second.
    pub capacity: f64,
    /// Share of the elastic work that fits.
    pub share: f64,
    /// Part of the calls that endpoints do not refuse.
    pub accepted: f64,
}

impl Headroom {
    /// Room where no endpoint can be reached.
    pub const NONE: Self = Self {
        capacity: 0.0,
        share: 0.0,
        accepted: 1.0,
    };

    /// Room of several endpoints together; `None` of none.
    #[must_use]
    pub fn sum(rooms: impl Iterator<Item = Self>) -> Option<Self> {
        let mut sum = Self {
            capacity: 0.0,
            share: 0.0,
            accepted: 0.0,
        };
        for room in rooms {
            sum.capacity += room.capacity;
            sum.share += room.share * room.capacity;
            sum.accepted += room.accepted * room.capacity;
        }
        (sum.capacity > 0.0).then(|| Self {
            capacity: sum.capacity,
            share: sum.share / sum.capacity,
            accepted: sum.accepted / sum.capacity,
        })
    }
}

impl Load {
    fn headroom(&self) -> Headroom {
        Headroom {
            capacity: self.capacity(),
            share: self.share,
            accepted: self.accepted,
        }
    }

    /// Calls that the endpoint can finish in a second.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let held = self.hold_time.as_secs_f64();
        if held > 0.0 {
            f64::from(self.limit) / held
        } else {
            0.0
        }
    }
}

/// What this daemon knows of one endpoint.
#[derive(Debug, Default)]
pub struct EndpointStats {
    load: Load,
    reported: Option<Instant>,
    /// Own calls in flight at the time of the report.
    counted: u32,
    in_flight: u32,
    failures: u32,
    failed: Option<Instant>,
    ejected: Option<Instant>,
    times: HashMap<RouteName, Duration>,
}

impl EndpointStats {
    /// Notes that a call was sent there.
    pub fn call_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Notes that a call sent there has ended.
    pub fn call_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes the load that the gate states.
    pub fn record_load(&mut self, now: Instant, load: Load) {
        self.load = load;
        self.reported = Some(now);
        self.counted = self.in_flight;
    }

    /// Takes the time that an answered call needed at the endpoint.
    ///
    /// The answer to a call that began before the last failure does not end its consequences.
    pub fn record_response(&mut self, now: Instant, route: &RouteName, held: Duration) {
        if self.failed.is_none_or(|failed| failed + held <= now) {
            self.failures = 0;
            self.ejected = None;
        }
        let mean = self.times.entry(RouteName::clone(route)).or_insert(held);
        *mean = mean.mul_f64(1.0 - SAMPLE_WEIGHT) + held.mul_f64(SAMPLE_WEIGHT);
    }

    /// Notes that a call failed there or could not be sent.
    pub fn record_failure(&mut self, now: Instant) {
        let time = EJECTION * 2_u32.saturating_pow(self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.failed = Some(now);
        self.ejected = Some(now + time.min(MAX_EJECTION));
    }

    /// Leaves the endpoint out for some time, because its gate said that it stops.
    pub fn eject_for(&mut self, now: Instant, time: Duration) {
        self.ejected = Some(now + time);
    }

    /// Lets the endpoint be chosen again.
    pub fn readmit(&mut self) {
        self.failures = 0;
        self.ejected = None;
    }

    /// Whether the endpoint is left out for now.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected.is_some_and(|until| now < until)
    }

    /// What the endpoint can take, if its gate reported a load a short time ago.
    ///
    /// An endpoint that is left out counts for nothing, because its calls show in the load of the
    /// others.
    #[must_use]
    pub fn headroom(&self, now: Instant) -> Option<Headroom> {
        let reported = self.reported?;
        let fresh = now.saturating_duration_since(reported) < SHARE_AGE;
        (fresh && !self.is_ejected(now)).then(|| self.load.headroom())
    }

    /// Part of the calls that the endpoint does not refuse, as far as its gate said so lately.
    fn accepted(&self, now: Instant) -> f64 {
        let age = self.reported.map(|at| now.saturating_duration_since(at));
        if age.is_some_and(|age| age < SHARE_AGE) {
            self.load.accepted
        } else {
            1.0
        }
    }

    /// Calls believed to run or wait there.
    fn calls(&self, now: Instant) -> f64 {
        let Some(reported) = self.reported else {
            return f64::from(self.in_flight);
        };
        let age = now.saturating_duration_since(reported);
        let decay = 0.5_f64.powf(age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64());
        let others = f64::from(self.load.calls.saturating_sub(self.counted));
        others * decay + f64::from(self.in_flight)
    }

    /// Time that a call of a route is expected to take there.
    #[must_use]
    pub fn expected_time(&self, now: Instant, route: &RouteName) -> Duration {
        let time = self.times.get(route).copied().unwrap_or(Duration::ZERO);
        if self.load.limit == 0 {
            return time;
        }
        let limit = f64::from(self.load.limit);
        let excess = (self.calls(now) + 1.0 - limit).max(0.0);
        time + self.load.hold_time.mul_f64(excess / limit)
    }
}

/// Sizes of the answers of routes.
#[derive(Debug, Default)]
pub struct ResponseSizes(HashMap<RouteName, f64>);

impl ResponseSizes {
    /// Takes the size of an answer in bytes.
    pub fn record(&mut self, route: &RouteName, bytes: usize) {
        let bytes = bytes as f64;
        let mean = self.0.entry(RouteName::clone(route)).or_insert(bytes);
        *mean += SIZE_WEIGHT * (bytes - *mean);
    }

    /// Time that an endpoint of another data centre must save.
    #[must_use]
    pub fn remote_penalty(&self, route: &Route) -> Duration {
        let kilobytes = self.0.get(&route.name).copied().unwrap_or(0.0) / 1_024.0;
        let objective = route.objective.as_secs_f64();
        let penalty = objective * FAR_SHARE + kilobytes * FAR_PER_KILOBYTE;
        Duration::from_secs_f64(penalty.min(objective * MAX_FAR_SHARE))
    }
}

/// An endpoint that may take a call.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its VM.
    pub vm: &'a VmId,
    /// What is known of it; `None` when nothing was sent there yet.
    pub target: Option<&'a EndpointStats>,
    /// Whether it is in the data centre of this daemon.
    pub is_local: bool,
    /// Share of a chain's calls that the services below can take in its data centre.
    pub dependency_share: f64,
}

/// Chooses the endpoint where the call is expected to be answered first.
///
/// The calls of a chain stay in the data centre where it is placed, so a place with little room below
/// counts as slower. An endpoint of another data centre must save `far` to be chosen. `toss` is a
/// random number that decides between equals.
#[must_use]
pub fn pick_endpoint<'a>(
    now: Instant,
    route: &Route,
    far: Duration,
    candidates: &[Candidate<'a>],
    toss: usize,
) -> Option<&'a VmId> {
    let ejected = |candidate: &Candidate<'_>| {
        candidate
            .target
            .is_some_and(|target| target.is_ejected(now))
    };
    let open = candidates.iter().any(|candidate| !ejected(candidate));
    let count = candidates.len();
    (0..count)
        .map(|index| &candidates[(index + toss) % count])
        .filter(|candidate| !open || !ejected(candidate))
        .min_by_key(|candidate| {
            let time = candidate.target.map_or(Duration::ZERO, |target| {
                target.expected_time(now, &route.name)
            });
            let accepted = candidate.target.map_or(1.0, |target| target.accepted(now));
            let crowded = ROOM_SHARE * (1.0 - candidate.dependency_share);
            let refused = REFUSAL_SHARE * (1.0 - accepted);
            let loss = route.objective.mul_f64(crowded + refused);
            time + loss
                + if candidate.is_local {
                    Duration::ZERO
                } else {
                    far
                }
        })
        .map(|candidate| candidate.vm)
}
