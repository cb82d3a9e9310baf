//! Retry budget of a daemon.
//!
//! Prevents retry storms. The operators bound the attempts beyond the first of each call, summed
//! over all daemons and any window. A daemon learns too late what the others spend, so it spends
//! only a fraction of the bound divided by the number of daemons, and a fraction of what the calls
//! of its own clients add.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::id::ServiceName;

#[cfg(test)]
mod tests;

/// Largest fraction of the fixed allowance that is spent at once. As much again is refilled over a
/// window, so both together stay under the allowance. The margin is for calls that run again: their
/// nested calls count as retries at the dependencies.
const SLACK_FRACTION: f64 = 0.25;

/// Fraction of the allowance for each call that is spent, with the same margin.
const RATIO_FRACTION: f64 = 0.4;

/// Bound on retries that the operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Retries allowed for each call of a client.
    pub ratio: f64,
    /// Further retries allowed in a window.
    pub slack: f64,
    /// Window over which calls and retries are counted.
    pub window: Duration,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Instant,
}

/// This daemon's part of the retry budget of the fleet.
#[derive(Debug)]
pub struct FleetRetryBudget {
    bound: RetryBound,
    buckets: HashMap<ServiceName, Bucket>,
}

impl FleetRetryBudget {
    /// Creates a budget under a bound.
    #[must_use]
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            buckets: HashMap::new(),
        }
    }

    /// Sets the bound.
    pub fn set_bound(&mut self, bound: RetryBound) {
        self.bound = bound;
    }

    /// Records the first attempt of a client's call to a service, in a fleet of this many daemons.
    pub fn record_call(&mut self, now: Instant, service: &ServiceName, daemons: usize) {
        let earned = self.bound.ratio * RATIO_FRACTION;
        let max_tokens = self.max_tokens(daemons);
        let bucket = self.refilled_bucket(now, service, daemons);
        bucket.tokens = (bucket.tokens + earned).min(max_tokens.max(1.0));
    }

    /// Spends one retry of a call to a service; returns whether one was left.
    pub fn try_take(&mut self, now: Instant, service: &ServiceName, daemons: usize) -> bool {
        let bucket = self.refilled_bucket(now, service, daemons);
        let granted = bucket.tokens >= 1.0;
        if granted {
            bucket.tokens -= 1.0;
        }
        granted
    }

    fn max_tokens(&self, daemons: usize) -> f64 {
        self.bound.slack * SLACK_FRACTION / daemons.max(1) as f64
    }

    fn refilled_bucket(
        &mut self,
        now: Instant,
        service: &ServiceName,
        daemons: usize,
    ) -> &mut Bucket {
        let max_tokens = self.max_tokens(daemons);
        let rate = max_tokens / self.bound.window.as_secs_f64().max(0.001);
        let bucket = self
            .buckets
            .entry(ServiceName::clone(service))
            .or_insert(Bucket {
                tokens: max_tokens,
                filled_at: now,
            });
        let refill = now
            .saturating_duration_since(bucket.filled_at)
            .as_secs_f64()
            * rate;
        if bucket.tokens < max_tokens {
            bucket.tokens = (bucket.tokens + refill).min(max_tokens);
        }
        bucket.filled_at = now;
        bucket
    }
}
