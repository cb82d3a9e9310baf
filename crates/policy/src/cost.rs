//! Expected cost of calls, by which an entry places them.
//!
//! Copes with endpoints of one service that differ in speed, with machines whose speed changes from
//! moment to moment, and with queues whose calls differ in length. A gate estimates how much slot
//! time its calls still need and how its machine compares with its usual pace, and reports both. An
//! entry learns the mean cost of each route and the speed of each endpoint relative to it, which
//! together give an estimate for a route that it has never sent there. Only successful calls count:
//! an endpoint that fails quickly is not cheap.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::fleet::InstanceId;
use crate::routing::RouteName;

#[cfg(test)]
mod tests;

/// Weight of a new sample in the mean cost of a route.
const COST_SAMPLE_WEIGHT: f64 = 0.03;

/// Weight of a new sample in the speed of an endpoint.
const SPEED_SAMPLE_WEIGHT: f64 = 0.03;

/// Number of samples as which the assumption that an endpoint has the mean speed counts.
const SPEED_PRIOR_SAMPLES: u32 = 4;

/// Largest ratio of one hold time to the mean of its route that counts fully. Calls that waited for
/// a failed dependency say nothing about the machine.
const MAX_SAMPLE_RATIO: f64 = 5.0;

/// Age of the last sample at which half of a speed is forgotten, so that an endpoint that was slow
/// and gets no calls for that reason is tried again.
const SPEED_HALF_LIFE: Duration = Duration::from_secs(30);

/// Age of a report at which half of the reported pace is forgotten.
const PACE_HALF_LIFE: Duration = Duration::from_millis(150);

/// Fraction of the mean hold time over which the stated pace is averaged. The latest figure predicts
/// the next call best, but may be noisy; an average over a whole hold time lags behind it.
const PACE_TIME_FRACTION: f64 = 0.25;

/// Time over which an endpoint's usual pace is averaged. It shows in the hold times and therefore in
/// the speed that entries learn.
const USUAL_PACE_TIME: Duration = Duration::from_secs(10);

/// Range of a stated pace, in percent; others count as [`NORMAL_PACE_PERCENT`].
const PACE_RANGE_PERCENT: std::ops::RangeInclusive<u32> = 10..=1_000;

/// Pace of a machine on which work takes as long as usual.
const NORMAL_PACE_PERCENT: u32 = 100;

/// Time for which calls of one route hold a slot of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldTime {
    /// Mean.
    pub mean: Duration,
    /// Mean deviation from the mean.
    pub deviation: Duration,
}

impl HoldTime {
    /// Returns the time that a call still needs after it has run for some time.
    ///
    /// A call that has run for longer than the mean is one of the long ones, so it needs at least
    /// the mean deviation.
    fn left(self, elapsed: Duration) -> Duration {
        self.mean
            .saturating_sub(elapsed)
            .max(self.deviation.min(self.mean))
    }
}

#[derive(Clone, Copy, Debug)]
struct RunningCall {
    id: u64,
    started: Instant,
    hold_time: HoldTime,
}

/// Slot time that the calls at a gate still need.
///
/// The waiting calls are kept as a sum, because there may be thousands. The running ones, of which
/// there are at most as many as slots, are added up for each report.
#[derive(Debug, Default)]
pub struct Backlog {
    waiting: HashMap<u64, Duration>,
    waiting_sum: Duration,
    running: Vec<RunningCall>,
}

impl Backlog {
    /// Records that a call waits for a slot.
    pub fn record_waiting(&mut self, id: u64, hold_time: HoldTime) {
        self.waiting.insert(id, hold_time.mean);
        self.waiting_sum += hold_time.mean;
    }

    /// Records that a call got a slot.
    pub fn record_start(&mut self, now: Instant, id: u64, hold_time: HoldTime) {
        self.record_end(id);
        self.running.push(RunningCall {
            id,
            started: now,
            hold_time,
        });
    }

    /// Records that a call has ended or has left the queue.
    pub fn record_end(&mut self, id: u64) {
        if let Some(cost) = self.waiting.remove(&id) {
            self.waiting_sum -= cost;
        } else if let Some(index) = self.running.iter().position(|call| call.id == id) {
            self.running.swap_remove(index);
        }
    }

    /// Returns the slot time that all calls still need.
    #[must_use]
    pub fn total(&self, now: Instant) -> Duration {
        let left = |call: &RunningCall| {
            let elapsed = now.saturating_duration_since(call.started);
            call.hold_time.left(elapsed)
        };
        self.waiting_sum + self.running.iter().map(left).sum::<Duration>()
    }
}

/// Pace of one endpoint's machine, as its responses state it.
#[derive(Clone, Copy, Debug)]
pub struct PaceMeter {
    current: f64,
    usual: f64,
    stated_at: Option<Instant>,
}

impl Default for PaceMeter {
    fn default() -> Self {
        Self {
            current: 1.0,
            usual: 1.0,
            stated_at: None,
        }
    }
}

impl PaceMeter {
    /// Records the pace that a response states, in percent, averaged over a fraction of `hold_time`,
    /// the mean time of a call.
    ///
    /// The meter starts with the first stated figure; later responses without a usable one count as
    /// normal.
    pub fn record(&mut self, now: Instant, percent: Option<u32>, hold_time: Duration) {
        let usable = percent.filter(|percent| PACE_RANGE_PERCENT.contains(percent));
        if usable.is_none() && self.stated_at.is_none() {
            return;
        }
        let pace =
            f64::from(usable.unwrap_or(NORMAL_PACE_PERCENT)) / f64::from(NORMAL_PACE_PERCENT);
        let Some(stated_at) = self.stated_at.replace(now) else {
            self.current = pace;
            return;
        };
        let time = now.saturating_duration_since(stated_at).as_secs_f64();
        let weight = |over: Duration| 1.0 - (-time / over.as_secs_f64().max(0.001)).exp();
        self.current += weight(hold_time.mul_f64(PACE_TIME_FRACTION)) * (pace - self.current);
        self.usual += weight(USUAL_PACE_TIME) * (pace - self.usual);
    }

    /// Returns the present pace relative to the usual one, or `None` if the endpoint states none.
    #[must_use]
    pub fn pace(&self) -> Option<f64> {
        self.stated_at.map(|_| self.current / self.usual)
    }
}

/// Returns what a reported pace says about a call that is sent now.
#[must_use]
pub fn aged_pace(pace: f64, age: Duration) -> f64 {
    1.0 + (pace - 1.0) * fraction_left(age, PACE_HALF_LIFE)
}

/// Returns the fraction of a value that is left at an age.
#[must_use]
pub fn fraction_left(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

/// Mean costs of routes over all endpoints, in seconds of slot time.
#[derive(Debug, Default)]
pub struct RouteCosts(HashMap<RouteName, f64>);

impl RouteCosts {
    /// Records the hold time of a successful call; returns its ratio to the mean of the route before,
    /// or `None` for the first call of a route.
    pub fn record(&mut self, route: &RouteName, hold_time: Duration) -> Option<f64> {
        let hold_time = hold_time.as_secs_f64();
        let Some(mean) = self.0.get_mut(route) else {
            self.0.insert(RouteName::clone(route), hold_time);
            return None;
        };
        let ratio = (*mean > 0.0).then(|| hold_time / *mean);
        *mean += COST_SAMPLE_WEIGHT * (hold_time - *mean);
        ratio
    }

    /// Returns the mean cost of a route, zero if nothing is known of it.
    #[must_use]
    pub fn mean(&self, route: &RouteName) -> Duration {
        Duration::from_secs_f64(self.0.get(route).copied().unwrap_or(0.0))
    }
}

/// Speed of one endpoint: the ratio of hold times there to the mean of their route.
#[derive(Debug)]
pub struct Speed {
    ratio: f64,
    samples: u32,
    sampled_at: Option<Instant>,
    /// Instance and its start, which tell a restart under the same id.
    instance: Option<(InstanceId, u64)>,
    followed_at: Option<Instant>,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            samples: 0,
            sampled_at: None,
            instance: None,
            followed_at: None,
        }
    }
}

impl Speed {
    /// Forgets the speed if the endpoint is another instance than before.
    pub fn follow(&mut self, now: Instant, instance: &InstanceId, started_ms: u64) {
        let is_same = |known: &(InstanceId, u64)| known.0 == *instance && known.1 == started_ms;
        if self.instance.as_ref().is_some_and(is_same) {
            return;
        }
        *self = Self {
            // Calls sent before the first instance was known are its own.
            followed_at: self.instance.as_ref().map(|_| now),
            instance: Some((InstanceId::clone(instance), started_ms)),
            ..Self::default()
        };
    }

    /// Records the ratio of a hold time to the mean of its route, unless the call began before the
    /// present instance was known.
    pub fn record(&mut self, now: Instant, ratio: f64, hold_time: Duration) {
        if self.followed_at.is_some_and(|at| at + hold_time > now) {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = 1.0 / f64::from(self.samples.saturating_add(SPEED_PRIOR_SAMPLES));
        self.ratio += weight.max(SPEED_SAMPLE_WEIGHT) * (ratio.min(MAX_SAMPLE_RATIO) - self.ratio);
        self.sampled_at = Some(now);
    }

    /// Returns the speed; 1 without samples and after a long time without any.
    #[must_use]
    pub fn ratio(&self, now: Instant) -> f64 {
        self.sampled_at.map_or(1.0, |at| {
            let age = now.saturating_duration_since(at);
            1.0 + (self.ratio - 1.0) * fraction_left(age, SPEED_HALF_LIFE)
        })
    }
}
