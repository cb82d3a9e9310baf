//! Retry budget of a service, divided between its gates.
//!
//! Prevents retry storms. The operators bound the attempts beyond the first of each call to a
//! service, summed over all daemons and any window. Each gate spends an equal part of the bound: a
//! service has a few gates while hundreds of daemons call it, and a part for each daemon would be
//! less than one retry. Nested calls of a run that was itself a retry count as retries too. They
//! are not refused, but reduce what is left for others.

use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Largest fraction of the fixed allowance that is spent at once. As much again is refilled over a
/// window, so both together stay under the allowance.
const SLACK_FRACTION: f64 = 0.4;

/// Fraction of the allowance for each call that is spent, with the same margin.
const RATIO_FRACTION: f64 = 0.8;

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

/// One gate's part of the retry budget of its service.
#[derive(Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    /// Retries that may be spent now. Negative after nested calls of retried runs.
    tokens: f64,
    filled_at: Instant,
}

impl RetryBudget {
    /// Creates an empty budget under a bound. An earlier process of this gate may have spent its
    /// part a moment ago.
    #[must_use]
    pub fn new(bound: RetryBound, now: Instant) -> Self {
        Self {
            bound,
            tokens: 0.0,
            filled_at: now,
        }
    }

    /// Sets the bound.
    pub fn set_bound(&mut self, bound: RetryBound) {
        self.bound = bound;
    }

    /// Records the first attempt of a client's call, in a service with this many gates.
    pub fn record_call(&mut self, now: Instant, gates: usize) {
        let max = self.refill(now, gates);
        let earned = self.bound.ratio * RATIO_FRACTION;
        self.tokens = (self.tokens + earned).min(max.max(1.0));
    }

    /// Records a nested call of a run that was itself a retry.
    pub fn record_repeat(&mut self, now: Instant, gates: usize) {
        self.refill(now, gates);
        self.tokens -= 1.0;
    }

    /// Spends one retry; returns whether one was left.
    pub fn try_take(&mut self, now: Instant, gates: usize) -> bool {
        self.refill(now, gates);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }

    /// Returns a retry that did not reach the endpoint.
    pub fn give_back(&mut self) {
        self.tokens += 1.0;
    }

    /// Adds what the time since the last call gives; returns the largest balance.
    fn refill(&mut self, now: Instant, gates: usize) -> f64 {
        let max = self.bound.slack * SLACK_FRACTION / gates.max(1) as f64;
        let rate = max / self.bound.window.as_secs_f64().max(0.001);
        let passed = now.saturating_duration_since(self.filled_at);
        if self.tokens < max {
            self.tokens = (self.tokens + passed.as_secs_f64() * rate).min(max);
        }
        self.filled_at = now;
        max
    }
}
