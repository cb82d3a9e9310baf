//! Selection of the endpoint for a call.
//!
//! Copes with uneven endpoints and stale load reports: the load of an endpoint is what its gate
//! reported last plus the calls that this daemon has sent there since. Local endpoints are
//! preferred while they have headroom. An endpoint that failed is ejected for a while, unless all
//! are ejected. An endpoint that refuses some of its calls despite headroom gets calls only when
//! the others are full.
//!
//! Two rules estimate the time of a call at an endpoint. [`pick_endpoint`] knows its load and the
//! mean time of the route there; [`pick_by_cost`] knows the work that is left there, the speed of
//! the endpoint and its present pace.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::Deserialize;

use crate::cost::{self, RouteCosts, Speed};
use crate::demand::ElasticRoom;
use crate::fleet::InstanceId;
use crate::id::VmId;
use crate::routing::{Route, RouteName};

#[cfg(test)]
mod tests;

/// Fraction of a route's objective by which a remote endpoint must be faster.
const REMOTE_PENALTY_FRACTION: f64 = 0.2;

/// Additional seconds, for each kilobyte of the response, by which a remote endpoint must be
/// faster. Traffic between data centres is the most expensive resource of the deployments.
const REMOTE_SECONDS_PER_KILOBYTE: f64 = 0.03;

/// Upper bound of the remote penalty as a fraction of the objective: a response in time matters
/// more than traffic.
const MAX_REMOTE_PENALTY_FRACTION: f64 = 0.5;

/// Penalty for an endpoint whose dependencies have no headroom, as a fraction of the objective.
const NO_HEADROOM_PENALTY_FRACTION: f64 = 0.6;

/// Penalty for an endpoint that refuses every call, as a fraction of the objective. A refused call
/// is retried only within the operators' retry bound, so its loss counts like a missed objective.
const REFUSAL_PENALTY_FRACTION: f64 = 1.0;

/// Weight of a new sample in the mean response size of a route.
const SIZE_SAMPLE_WEIGHT: f64 = 0.05;

/// Time for which an endpoint is ejected after its first failure.
const FIRST_EJECTION_TIME: Duration = Duration::from_millis(800);

/// Longest time for which an endpoint is ejected after consecutive failures.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// Weight of a new sample in the mean time of a route at an endpoint.
const TIME_SAMPLE_WEIGHT: f64 = 0.2;

/// Age at which half of the calls reported by a gate are assumed to have ended.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);

/// Age up to which a reported admission share and acceptance rate are used. Gates send them again
/// while they are below one.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Difference of expected times, as a fraction of the mean cost of the route, at which the slower of
/// two endpoints is picked 1/e times as often. With less, 59 entries that act on the same reports
/// overfill the fastest endpoint; with more, slow endpoints get calls although fast ones are free.
const UNCERTAINTY_FRACTION: f64 = 0.15;

/// Lower bound of that difference.
const MIN_UNCERTAINTY: Duration = Duration::from_millis(1);

/// Time that a running call still needs when another one arrives, as a fraction of the mean hold
/// time: half of it if all calls took equally long, more if they differ.
const RESIDUAL_FRACTION: f64 = 0.55;

/// Factor of the expected wait: a call that has to wait also delays those that arrive after it.
const WAIT_FACTOR: f64 = 2.0;

/// Rule by which the endpoint of a call is picked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Placement {
    /// By cost for a service of which an endpoint states a pace, by load otherwise.
    #[default]
    Auto,
    /// By load.
    Load,
    /// By cost.
    Cost,
}

impl Placement {
    /// Whether the endpoint is picked by cost.
    #[must_use]
    pub fn is_by_cost(self, candidates: &[Candidate<'_>]) -> bool {
        let states_pace = |candidate: &Candidate<'_>| {
            let target = candidate.target;
            target.is_some_and(|target| target.load.pace.is_some())
        };
        match self {
            Self::Auto => candidates.iter().any(states_pace),
            Self::Load => false,
            Self::Cost => true,
        }
    }
}

/// Load of an endpoint as reported by its gate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Calls that run or wait.
    pub calls: u32,
    /// Calls that may run at once.
    pub limit: u32,
    /// Mean time for which a call holds a slot.
    pub hold_time: Duration,
    /// Elastic work that it can take and that is demanded.
    pub room: ElasticRoom,
    /// Fraction of the calls sent to the endpoint that it does not refuse.
    pub accepted: f64,
    /// Slot time that its calls still need.
    pub backlog: Duration,
    /// Time that work takes at present relative to the usual one there; `None` if the endpoint
    /// states none.
    pub pace: Option<f64>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            calls: 0,
            limit: 0,
            hold_time: Duration::ZERO,
            room: ElasticRoom::UNUSED,
            accepted: 1.0,
            backlog: Duration::ZERO,
            pace: None,
        }
    }
}

/// What all endpoints of a service together can still take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Headroom {
    /// Calls per second that can be finished.
    pub capacity: f64,
    /// Admission share: fraction of the elastic work that fits.
    pub share: f64,
    /// Fraction of the calls that endpoints do not refuse.
    pub accepted: f64,
}

impl Headroom {
    /// Headroom where no endpoint can be reached.
    pub const NONE: Self = Self {
        capacity: 0.0,
        share: 0.0,
        accepted: 1.0,
    };

    /// Returns the headroom of a service's endpoints together, `unknown` of which have not reported
    /// any load and therefore count as idle, or `None` without any known capacity.
    ///
    /// The share is the room of all of them divided by the demand, so spare capacity of one endpoint
    /// makes up for a momentary lack at another.
    #[must_use]
    pub fn of_service(loads: &[Load], unknown: usize) -> Option<Self> {
        let capacity: f64 = loads.iter().map(Load::capacity).sum();
        if loads.is_empty() || capacity <= 0.0 {
            return None;
        }
        let room: f64 = loads.iter().map(|load| load.room.room).sum();
        let idle = 1.0 + unknown as f64 / loads.len() as f64;
        let all = ElasticRoom {
            room: room * idle,
            demand: loads.iter().map(|load| load.room.demand).sum(),
        };
        let accepted = |load: &Load| load.accepted * load.capacity();
        Some(Self {
            capacity,
            share: all.share().min(1.0),
            accepted: loads.iter().map(accepted).sum::<f64>() / capacity,
        })
    }
}

impl Load {
    /// Returns the calls per second that the endpoint can finish.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let hold_time = self.hold_time.as_secs_f64();
        if hold_time > 0.0 {
            f64::from(self.limit) / hold_time
        } else {
            0.0
        }
    }
}

/// What this daemon knows of one endpoint.
#[derive(Debug, Default)]
pub struct EndpointStats {
    load: Load,
    reported_at: Option<Instant>,
    /// Own calls in flight at the time of the report.
    in_flight_at_report: u32,
    in_flight: u32,
    consecutive_failures: u32,
    failed_at: Option<Instant>,
    ejected_until: Option<Instant>,
    mean_times: HashMap<RouteName, Duration>,
    speed: Speed,
}

/// What a call is expected to find at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time for which it waits for a slot.
    pub wait: Duration,
    /// Time for which it holds the slot.
    pub hold: Duration,
    /// Slot time that the calls there still need.
    pub backlog: Duration,
    /// Present pace of the machine relative to its usual one.
    pub pace: f64,
    /// Slots expected to be free.
    free_slots: f64,
}

/// Load for each slot that the endpoints of a service report on average.
#[derive(Clone, Copy, Debug, Default)]
struct TypicalLoad {
    calls: f64,
    /// Seconds of slot time that the calls still need.
    backlog: f64,
}

impl TypicalLoad {
    /// Averages the reports by slots and by what each still says.
    fn new<'a>(now: Instant, targets: impl Iterator<Item = &'a EndpointStats>) -> Self {
        let mut sum = Self::default();
        let mut slots = 0.0;
        for target in targets {
            let weight = target.report_weight(now);
            slots += weight * f64::from(target.load.limit);
            sum.calls += weight * f64::from(target.load.calls);
            sum.backlog += weight * target.load.backlog.as_secs_f64();
        }
        if slots > 0.0 {
            sum.calls /= slots;
            sum.backlog /= slots;
        }
        sum
    }
}

impl EndpointStats {
    /// Forgets the speed of the endpoint if another instance has replaced it.
    pub fn follow_instance(&mut self, now: Instant, instance: &InstanceId, started_ms: u64) {
        self.speed.follow(now, instance, started_ms);
    }

    /// Records the hold time of a successful call in the cost of its route and in the speed of the
    /// endpoint.
    pub fn record_cost(
        &mut self,
        now: Instant,
        costs: &mut RouteCosts,
        route: &RouteName,
        hold_time: Duration,
    ) {
        if let Some(ratio) = costs.record(route, hold_time) {
            self.speed.record(now, ratio, hold_time);
        }
    }

    fn report_age(&self, now: Instant) -> Option<Duration> {
        let reported_at = self.reported_at?;
        Some(now.saturating_duration_since(reported_at))
    }

    /// Returns how much the last report still says, between 0 and 1.
    fn report_weight(&self, now: Instant) -> f64 {
        self.report_age(now)
            .map_or(0.0, |age| cost::fraction_left(age, REPORT_HALF_LIFE))
    }

    /// Returns what a call of a route with this mean cost is expected to find there.
    ///
    /// The weight that a report loses with its age goes to the typical load of the service. If it
    /// went to an idle endpoint, all entries would send to the one of which they heard least.
    fn estimate(&self, now: Instant, cost: Duration, typical: TypicalLoad) -> Estimate {
        let hold = cost.as_secs_f64() * self.speed.ratio(now);
        let weight = self.report_weight(now);
        let limit = f64::from(self.load.limit);
        let sent = f64::from(self.in_flight.saturating_sub(self.in_flight_at_report));
        let mix = |reported, typical| weight * reported + (1.0 - weight) * typical * limit;
        let calls = mix(f64::from(self.load.calls), typical.calls) + sent;
        let calls = calls.max(f64::from(self.in_flight));
        let backlog = mix(self.load.backlog.as_secs_f64(), typical.backlog) + sent * hold;
        let pace = self.load.pace.map_or(1.0, |pace| {
            cost::aged_pace(pace, self.report_age(now).unwrap_or_default())
        });
        let excess = calls + 1.0 - limit;
        let wait = if limit > 0.0 && excess > 0.0 {
            // When the last call ahead starts, the other slots still hold calls.
            let residual = RESIDUAL_FRACTION * self.load.hold_time.as_secs_f64();
            let ahead = backlog - (limit - 1.0) * residual;
            ahead.max(excess * residual) / limit * pace
        } else {
            0.0
        };
        Estimate {
            wait: Duration::from_secs_f64(wait),
            hold: Duration::from_secs_f64(hold * pace),
            backlog: Duration::from_secs_f64(backlog),
            pace,
            free_slots: (limit - calls).max(0.0),
        }
    }

    /// Records that a call was sent there.
    pub fn call_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Records that a call sent there has ended.
    pub fn call_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the load that the gate reports.
    pub fn record_load(&mut self, now: Instant, load: Load) {
        self.load = load;
        self.reported_at = Some(now);
        self.in_flight_at_report = self.in_flight;
    }

    /// Records a response and the time for which its call held a slot.
    ///
    /// A response readmits the endpoint only if its call began after the last failure.
    pub fn record_response(&mut self, now: Instant, route: &RouteName, hold_time: Duration) {
        if self
            .failed_at
            .is_none_or(|failed_at| failed_at + hold_time <= now)
        {
            self.consecutive_failures = 0;
            self.ejected_until = None;
        }
        let mean = self
            .mean_times
            .entry(RouteName::clone(route))
            .or_insert(hold_time);
        *mean = mean.mul_f64(1.0 - TIME_SAMPLE_WEIGHT) + hold_time.mul_f64(TIME_SAMPLE_WEIGHT);
    }

    /// Records that a call failed there or could not be sent, and ejects the endpoint.
    pub fn record_failure(&mut self, now: Instant) {
        let time = FIRST_EJECTION_TIME * 2_u32.saturating_pow(self.consecutive_failures.min(8));
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.failed_at = Some(now);
        self.ejected_until = Some(now + time.min(MAX_EJECTION_TIME));
    }

    /// Ejects the endpoint for some time, because its gate said that it is stopping.
    pub fn eject_for(&mut self, now: Instant, time: Duration) {
        self.ejected_until = Some(now + time);
    }

    /// Ends the ejection of the endpoint.
    pub fn readmit(&mut self) {
        self.consecutive_failures = 0;
        self.ejected_until = None;
    }

    /// Returns whether the endpoint is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the load of the endpoint, if its gate ever reported one.
    ///
    /// An ejected endpoint has none, because its calls show in the load of the others. A gate sends
    /// its room again and again while its share is below [`MAX_SHARE`](crate::demand::MAX_SHARE), so an old report
    /// means that there is room.
    #[must_use]
    pub fn load(&self, now: Instant) -> Option<Load> {
        let reported_at = self.reported_at?;
        if self.is_ejected(now) {
            return None;
        }
        let mut load = self.load;
        if now.saturating_duration_since(reported_at) >= MAX_REPORT_AGE {
            load.room.demand = 0.0;
            load.accepted = 1.0;
        }
        Some(load)
    }

    /// Returns whether the endpoint is ejected or its gate ever reported a load.
    #[must_use]
    pub fn is_known(&self, now: Instant) -> bool {
        self.reported_at.is_some() || self.is_ejected(now)
    }

    /// Returns the fraction of calls that the endpoint does not refuse; 1 without a recent report.
    fn accepted(&self, now: Instant) -> f64 {
        let age = self.reported_at.map(|at| now.saturating_duration_since(at));
        if age.is_some_and(|age| age < MAX_REPORT_AGE) {
            self.load.accepted
        } else {
            1.0
        }
    }

    /// Returns the estimated number of calls that run or wait there.
    fn calls(&self, now: Instant) -> f64 {
        let Some(reported_at) = self.reported_at else {
            return f64::from(self.in_flight);
        };
        let age = now.saturating_duration_since(reported_at);
        let decay = 0.5_f64.powf(age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64());
        let others = f64::from(self.load.calls.saturating_sub(self.in_flight_at_report));
        others * decay + f64::from(self.in_flight)
    }

    /// Returns the time that a call of a route is expected to take there.
    #[must_use]
    pub fn expected_time(&self, now: Instant, route: &RouteName) -> Duration {
        let time = self
            .mean_times
            .get(route)
            .copied()
            .unwrap_or(Duration::ZERO);
        if self.load.limit == 0 {
            return time;
        }
        let limit = f64::from(self.load.limit);
        let excess = (self.calls(now) + 1.0 - limit).max(0.0);
        time + self.load.hold_time.mul_f64(excess / limit)
    }
}

/// Mean response sizes of routes.
#[derive(Debug, Default)]
pub struct ResponseSizes(HashMap<RouteName, f64>);

impl ResponseSizes {
    /// Records the size of a response in bytes.
    pub fn record(&mut self, route: &RouteName, bytes: usize) {
        let bytes = bytes as f64;
        let mean = self.0.entry(RouteName::clone(route)).or_insert(bytes);
        *mean += SIZE_SAMPLE_WEIGHT * (bytes - *mean);
    }

    /// Returns the time by which a remote endpoint must be faster to be picked.
    #[must_use]
    pub fn remote_penalty(&self, route: &Route) -> Duration {
        let kilobytes = self.0.get(&route.name).copied().unwrap_or(0.0) / 1_024.0;
        let objective = route.objective.as_secs_f64();
        let penalty = objective * REMOTE_PENALTY_FRACTION + kilobytes * REMOTE_SECONDS_PER_KILOBYTE;
        Duration::from_secs_f64(penalty.min(objective * MAX_REMOTE_PENALTY_FRACTION))
    }
}

/// An endpoint that may be picked for a call.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its VM.
    pub vm: &'a VmId,
    /// What is known of it; `None` if nothing was sent there yet.
    pub target: Option<&'a EndpointStats>,
    /// Whether it is in the data centre of this daemon.
    pub is_local: bool,
    /// Admission share of the dependencies in its data centre.
    pub dependency_share: f64,
}

impl Candidate<'_> {
    fn is_ejected(&self, now: Instant) -> bool {
        self.target.is_some_and(|target| target.is_ejected(now))
    }

    /// Returns the time by which the endpoint must be faster than others to be picked.
    fn penalty(&self, now: Instant, route: &Route, remote_penalty: Duration) -> Duration {
        let accepted = self.target.map_or(1.0, |target| target.accepted(now));
        let shortage = NO_HEADROOM_PENALTY_FRACTION * (1.0 - self.dependency_share);
        let refused = REFUSAL_PENALTY_FRACTION * (1.0 - accepted);
        let loss = route.objective.mul_f64(shortage + refused);
        loss + if self.is_local {
            Duration::ZERO
        } else {
            remote_penalty
        }
    }
}

/// Picks the endpoint that is expected to respond first, by load.
///
/// The nested calls of a chain stay in the data centre of the endpoint, so an endpoint whose
/// dependencies have little headroom there counts as slower. A remote endpoint must be faster by
/// `remote_penalty` to be picked. `random` decides between equal endpoints.
#[must_use]
pub fn pick_endpoint<'a>(
    now: Instant,
    route: &Route,
    remote_penalty: Duration,
    candidates: &[Candidate<'a>],
    random: usize,
) -> Option<&'a VmId> {
    let any_available = candidates
        .iter()
        .any(|candidate| !candidate.is_ejected(now));
    let count = candidates.len();
    (0..count)
        .map(|index| &candidates[(index + random) % count])
        .filter(|candidate| !any_available || !candidate.is_ejected(now))
        .min_by_key(|candidate| {
            let time = candidate.target.map_or(Duration::ZERO, |target| {
                target.expected_time(now, &route.name)
            });
            time + candidate.penalty(now, route, remote_penalty)
        })
        .map(|candidate| candidate.vm)
}

/// Picks the endpoint that is expected to respond first, by cost; returns it with what the call is
/// expected to find there.
///
/// Penalties and ejection are those of [`pick_endpoint`]. `random` chooses, weighted by free slots and
/// by how little an endpoint is behind the best one: many entries see the same reports. Remote
/// endpoints take part only if the best one is remote.
#[must_use]
pub fn pick_by_cost<'a>(
    now: Instant,
    route: &Route,
    remote_penalty: Duration,
    costs: &RouteCosts,
    candidates: &[Candidate<'a>],
    random: u32,
) -> Option<(&'a VmId, Estimate)> {
    let any_available = candidates
        .iter()
        .any(|candidate| !candidate.is_ejected(now));
    let available = || {
        candidates
            .iter()
            .filter(|candidate| !any_available || !candidate.is_ejected(now))
    };
    let cost = costs.mean(&route.name);
    let typical = TypicalLoad::new(now, available().filter_map(|candidate| candidate.target));
    let unknown = EndpointStats::default();
    let mut scores = Vec::with_capacity(candidates.len());
    scores.extend(available().map(|candidate| {
        let target = candidate.target.unwrap_or(&unknown);
        let estimate = target.estimate(now, cost, typical);
        let penalty = candidate.penalty(now, route, remote_penalty);
        let time = estimate.wait.mul_f64(WAIT_FACTOR) + estimate.hold + penalty;
        (time, candidate, estimate)
    }));
    let (best, nearest, _) = *scores.iter().min_by_key(|(time, ..)| *time)?;
    let uncertainty = cost.mul_f64(UNCERTAINTY_FRACTION).max(MIN_UNCERTAINTY);
    let weight = |time: Duration, estimate: &Estimate| {
        let behind = time.saturating_sub(best).as_secs_f64() / uncertainty.as_secs_f64();
        (estimate.free_slots + 1.0) * (-behind).exp()
    };
    scores.retain(|(_, candidate, _)| candidate.is_local || !nearest.is_local);
    let total: f64 = scores
        .iter()
        .map(|(time, _, estimate)| weight(*time, estimate))
        .sum();
    let mut left = total * (f64::from(random) + 0.5) / (f64::from(u32::MAX) + 1.0);
    let chosen = scores.iter().find(|(time, _, estimate)| {
        left -= weight(*time, estimate);
        left < 0.0
    });
    // Rounding may leave a remainder after the last one.
    let (_, candidate, estimate) = chosen.or(scores.last())?;
    Some((candidate.vm, *estimate))
}
