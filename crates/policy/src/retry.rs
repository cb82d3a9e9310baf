//! Budget for sending a call to an endpoint once more.
//!
//! Answers retry storms: the operators bound the arrivals beyond the first of each call, summed over
//! all daemons and any window. A daemon cannot see the others in time, so it spends only a part of
//! the bound divided by the number of daemons, and a share of what its own clients' calls add.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::id::ServiceName;

#[cfg(test)]
mod tests;

/// Part of the fixed allowance that is spent at once at most. As much again is refilled over a
/// window, so both together stay under the allowance with a margin for repeated runs, whose calls
/// count as repeats at the services below.
const SLACK_SHARE: f64 = 0.25;

/// Part of the allowance for each call that is spent, with the same margin.
const RATIO_SHARE: f64 = 0.4;

/// Bound that the operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Repeats for each call of a client.
    pub ratio: f64,
    /// Repeats allowed besides.
    pub slack: f64,
    /// Window in which both are counted.
    pub window: Duration,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled: Instant,
}

/// This daemon's part of the budget.
#[derive(Debug)]
pub struct FleetRetryBudget {
    bound: RetryBound,
    buckets: HashMap<ServiceName, Bucket>,
}

impl FleetRetryBudget {
    /// A budget under a bound.
    #[must_use]
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            buckets: HashMap::new(),
        }
    }

    /// Changes the bound.
    pub fn set_bound(&mut self, bound: RetryBound) {
        self.bound = bound;
    }

    /// Notes a first call of a client to a service, in a fleet of this many daemons.
    pub fn record_call(&mut self, now: Instant, service: &ServiceName, daemons: usize) {
        let earned = self.bound.ratio * RATIO_SHARE;
        let most = self.most(daemons);
        let bucket = self.bucket(now, service, daemons);
        bucket.tokens = (bucket.tokens + earned).min(most.max(1.0));
    }

    /// Takes one repeat; returns whether there was one.
    pub fn try_take(&mut self, now: Instant, service: &ServiceName, daemons: usize) -> bool {
        let bucket = self.bucket(now, service, daemons);
        let granted = bucket.tokens >= 1.0;
        if granted {
            bucket.tokens -= 1.0;
        }
        granted
    }

    fn most(&self, daemons: usize) -> f64 {
        self.bound.slack * SLACK_SHARE / daemons.max(1) as f64
    }

    fn bucket(&mut self, now: Instant, service: &ServiceName, daemons: usize) -> &mut Bucket {
        let most = self.most(daemons);
        let rate = most / self.bound.window.as_secs_f64().max(0.001);
        let bucket = self
            .buckets
            .entry(ServiceName::clone(service))
            .or_insert(Bucket {
                tokens: most,
                filled: now,
            });
        let gained = now.saturating_duration_since(bucket.filled).as_secs_f64() * rate;
        if bucket.tokens < most {
            bucket.tokens = (bucket.tokens + gained).min(most);
        }
        bucket.filled = now;
        bucket
    }
}
