//! Admission share of an endpoint: the fraction of the demanded work that it can take.
//!
//! Protects a service that chains reach through other calls. Work that it cannot finish has to be
//! refused at the entry of a chain, before it has cost anything. Each call carries the admission
//! share that its entry applied, so one admitted call stands for `1 / share` demanded ones. The
//! gate therefore knows the whole demand although most of it never arrives, and its new share does
//! not depend on how fast the entries follow the old one.

use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Time over which rates are averaged: about a hundred calls at the smallest gates.
const AVERAGING_WINDOW: Duration = Duration::from_millis(500);

/// Fraction of the capacity that is given out. The rest absorbs uneven arrivals; without it the
/// waiting time of each call of a chain grows beyond any deadline.
const TARGET_UTILISATION: f64 = 0.88;

/// Smallest admission share. The calls that it lets through show when there is headroom again.
pub const MIN_SHARE: f64 = 0.05;

/// Largest admission share of a gate. A gate sends its room again and again while its share is
/// below it.
pub const MAX_SHARE: f64 = 2.0;

/// Fraction of the capacity that is left to elastic work, however much urgent work there is.
const ELASTIC_RESERVE_FRACTION: f64 = 0.1;

/// Waiting time above which the target is lowered, as a multiple of the hold time.
const LONG_WAIT_RATIO: f64 = 0.5;

/// Factors by which each adjustment changes the trim, and its lower bound. The trim scales the
/// target and is 1 at most.
const TRIM_DOWN_FACTOR: f64 = 0.97;
const TRIM_UP_FACTOR: f64 = 1.01;
const MIN_TRIM: f64 = 0.9;

/// How an arriving call counts towards the demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DemandClass {
    /// Admitted in any case.
    Urgent,
    /// Part of a chain that was admitted at this admission share.
    Elastic(f64),
    /// Part of a chain that was refused before and has returned. Its demand was counted by the
    /// shares of those that were admitted the first time.
    Returned,
}

/// Elastic work that an endpoint can take and that is demanded of it, in calls per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ElasticRoom {
    /// What it can take.
    pub room: f64,
    /// What would arrive if all chains were admitted.
    pub demand: f64,
}

impl Default for ElasticRoom {
    fn default() -> Self {
        Self::UNUSED
    }
}

impl ElasticRoom {
    /// An endpoint without capacity and demand.
    pub const UNUSED: Self = Self {
        room: 0.0,
        demand: 0.0,
    };

    /// Returns the admission share that fits. It is above 1, up to [`MAX_SHARE`], if there is spare
    /// capacity.
    #[must_use]
    pub fn share(&self) -> f64 {
        if self.room >= self.demand * MAX_SHARE {
            return MAX_SHARE;
        }
        (self.room / self.demand).clamp(MIN_SHARE, MAX_SHARE)
    }
}

/// Estimates the demand and derives the admission share that fits.
#[derive(Debug)]
pub struct DemandEstimator {
    /// Rate of the calls that take capacity before elastic ones.
    urgent_rate: f64,
    /// Rate of the elastic calls if all of them were admitted.
    elastic_rate: f64,
    updated_at: Instant,
    trim: f64,
}

impl DemandEstimator {
    /// Creates an estimator without demand.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            urgent_rate: 0.0,
            elastic_rate: 0.0,
            updated_at: now,
            trim: 1.0,
        }
    }

    /// Records a call that arrived, whether or not it is served.
    pub fn record_arrival(&mut self, now: Instant, call: DemandClass) {
        self.decay(now);
        let weight = 1.0 / AVERAGING_WINDOW.as_secs_f64();
        match call {
            DemandClass::Urgent | DemandClass::Returned => self.urgent_rate += weight,
            DemandClass::Elastic(share) => self.elastic_rate += weight / share.max(MIN_SHARE),
        }
    }

    /// Adjusts the target to the waiting time under the present admission share. To be called at a
    /// fixed interval.
    ///
    /// `wait` is the expected wait of a new call and `hold_time` the time for which a call holds a
    /// slot.
    pub fn adjust(&mut self, wait: Duration, hold_time: Duration) {
        if wait > hold_time.mul_f64(LONG_WAIT_RATIO) {
            self.trim = (self.trim * TRIM_DOWN_FACTOR).max(MIN_TRIM);
        } else {
            self.trim = (self.trim * TRIM_UP_FACTOR).min(1.0);
        }
    }

    /// Returns what elastic work fits a capacity in calls per second, and what is demanded.
    pub fn room(&mut self, now: Instant, capacity: f64) -> ElasticRoom {
        self.decay(now);
        let target = capacity * TARGET_UTILISATION * self.trim;
        ElasticRoom {
            room: (target - self.urgent_rate).max(target * ELASTIC_RESERVE_FRACTION),
            demand: self.elastic_rate,
        }
    }

    fn decay(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated_at);
        let factor = (-passed.as_secs_f64() / AVERAGING_WINDOW.as_secs_f64()).exp();
        self.urgent_rate *= factor;
        self.elastic_rate *= factor;
        self.updated_at = now;
    }
}
