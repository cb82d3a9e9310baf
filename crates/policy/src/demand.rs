//! Share of the demanded work that an endpoint can take.
//!
//! Answers overload of a service deep in the call graph: work that it cannot finish has to be
//! refused where a chain starts, before it has cost anything. Each call carries the share that its
//! entry admitted, so one admitted call stands for `1 / share` demanded ones. The gate therefore
//! knows the whole demand although most of it never arrives, and its new share does not depend on
//! how fast the entries follow the old one.

use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Time over which rates are averaged: about a hundred calls at the smallest gates.
const WINDOW: Duration = Duration::from_millis(500);

/// Part of the capacity that is given out. The rest absorbs uneven arrivals; without it the waiting
/// time of each of a chain's calls grows beyond any deadline.
const TARGET: f64 = 0.88;

/// Smallest share: a trickle shows when there is room again.
pub const MIN_SHARE: f64 = 0.05;

/// Part of the capacity that urgent work leaves to the rest.
const RESERVE: f64 = 0.1;

/// Waiting time above which the target is lowered, as a multiple of the holding time.
const LONG_WAIT: f64 = 0.5;

/// Change of the trim for each look, and its bounds.
const TRIM_DOWN: f64 = 0.97;
const TRIM_UP: f64 = 1.01;
const MIN_TRIM: f64 = 0.6;

/// How a call counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DemandClass {
    /// It is admitted in any case.
    Urgent,
    /// Its chain was admitted with this share.
    Elastic(f64),
}

/// Estimates demand and gives the share that fits.
#[derive(Debug)]
pub struct DemandEstimator {
    urgent: f64,
    elastic: f64,
    counted: Instant,
    trim: f64,
}

impl DemandEstimator {
    /// A meter without demand.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            urgent: 0.0,
            elastic: 0.0,
            counted: now,
            trim: 1.0,
        }
    }

    /// Counts a call that arrived, whether or not it is served.
    pub fn record_arrival(&mut self, now: Instant, call: DemandClass) {
        self.decay(now);
        let weight = 1.0 / WINDOW.as_secs_f64();
        match call {
            DemandClass::Urgent => self.urgent += weight,
            DemandClass::Elastic(share) => self.elastic += weight / share.max(MIN_SHARE),
        }
    }

    /// Adjusts to the waiting time that the present share leads to. Called at a fixed interval.
    ///
    /// `wait` is the expected wait of a new call and `held` the time for which a call holds a slot.
    pub fn adjust(&mut self, wait: Duration, held: Duration) {
        if wait > held.mul_f64(LONG_WAIT) {
            self.trim = (self.trim * TRIM_DOWN).max(MIN_TRIM);
        } else {
            self.trim = (self.trim * TRIM_UP).min(1.0);
        }
    }

    /// Share of the elastic work that fits, for a capacity in calls per second.
    pub fn share(&mut self, now: Instant, capacity: f64) -> f64 {
        self.decay(now);
        let room = capacity * TARGET * self.trim;
        let rest = (room - self.urgent).max(room * RESERVE);
        if self.elastic <= rest {
            return 1.0;
        }
        (rest / self.elastic).clamp(MIN_SHARE, 1.0)
    }

    fn decay(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.counted);
        let factor = (-passed.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        self.urgent *= factor;
        self.elastic *= factor;
        self.counted = now;
    }
}
