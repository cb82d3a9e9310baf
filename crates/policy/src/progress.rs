//! Progress of a chain of nested calls.
//!
//! Copes with more chains than a deep service can finish. A chain that fails late has wasted the
//! work of all its calls, so calls of the chains that need the least further time go first, and a
//! chain that can no longer end in time makes no further calls. The gate of an endpoint learns from
//! complete runs how many nested calls a route makes and how long it takes.

use std::collections::HashMap;
use std::time::Duration;

use crate::queue::TimeEstimate;

#[cfg(test)]
mod tests;

/// Weight of a new sample in the mean number of nested calls.
const CALLS_SAMPLE_WEIGHT: f64 = 0.1;

/// Fraction of the estimated time with which a chain still has a fair chance to end in time.
const FAIR_CHANCE_FRACTION: f64 = 0.7;

#[derive(Debug, Default)]
struct RouteProgress {
    calls: Option<f64>,
    time: TimeEstimate,
}

/// What a gate has learned of the runs of its endpoint, by route.
#[derive(Debug, Default)]
pub struct Progress(HashMap<String, RouteProgress>);

impl Progress {
    /// Records a successful run that made some nested calls.
    pub fn record_run(&mut self, route: &str, calls: u32, time: Duration) {
        if !self.0.contains_key(route) {
            self.0.insert(route.to_owned(), RouteProgress::default());
        }
        let Some(known) = self.0.get_mut(route) else {
            return;
        };
        let calls = f64::from(calls);
        let mean = known.calls.get_or_insert(calls);
        *mean += CALLS_SAMPLE_WEIGHT * (calls - *mean);
        known.time.record(time);
    }

    /// Returns the shortest time in which a run of a route is expected to end.
    #[must_use]
    pub fn lower_bound(&self, route: &str) -> Duration {
        self.0
            .get(route)
            .map_or(Duration::ZERO, |known| known.time.lower_bound())
    }

    /// Returns the mean time of a run of a route; `None` for a route without complete runs.
    #[must_use]
    pub fn mean(&self, route: &str) -> Option<Duration> {
        self.0.get(route)?.time.mean()
    }

    /// Returns the time that a run still needs after its `made`-th nested call; zero for a route
    /// without complete runs.
    #[must_use]
    pub fn remaining(&self, route: &str, made: u32) -> Duration {
        let Some(known) = self.0.get(route) else {
            return Duration::ZERO;
        };
        let left = known
            .calls
            .filter(|calls| *calls > 0.0)
            .map_or(0.0, |calls| (1.0 - f64::from(made) / calls).max(0.0));
        known.time.lower_bound().mul_f64(left)
    }
}

/// Whether a chain with this much time left can no longer end in time.
#[must_use]
pub fn cannot_finish(left: Duration, remaining: Duration) -> bool {
    left < remaining.mul_f64(FAIR_CHANCE_FRACTION)
}
