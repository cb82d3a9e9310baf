//! Rate at which calls may be sent to an endpoint.
//!
//! Protects an overloaded endpoint that states how many calls per second it takes. All calls to it
//! pass one gate, so a token bucket there holds the rate for all machines together. The bucket
//! refills at the stated rate and keeps little for a burst, so any window of some seconds stays near
//! the rate, also across a restart of the gate.

use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Time for which a full bucket lasts at the stated rate.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Smallest rate in calls per second. An endpoint that gets no call cannot state that its limit has
/// ended.
const MIN_RATE: f64 = 0.5;

/// Time for which a limit holds after the last response that stated it. Responses on different
/// connections can be read in another order than they were sent.
const STATEMENT_LIFETIME: Duration = Duration::from_millis(500);

/// Limits the rate at which calls start.
#[derive(Debug, Default)]
pub struct RateLimiter {
    bucket: Option<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    /// Calls per second.
    rate: f64,
    tokens: f64,
    filled_at: Instant,
    stated_at: Instant,
}

impl Bucket {
    /// Returns the largest balance: one call and what [`BURST_TIME`] gives.
    fn max_tokens(rate: f64) -> f64 {
        1.0 + rate * BURST_TIME.as_secs_f64()
    }

    fn tokens(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.filled_at);
        (self.tokens + passed.as_secs_f64() * self.rate).min(Self::max_tokens(self.rate))
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens(now);
        self.filled_at = now;
    }
}

impl RateLimiter {
    /// Applies what a response states; `None` if it states no limit.
    pub fn apply_limit(&mut self, now: Instant, limit: Option<f64>) {
        match (limit, &mut self.bucket) {
            (Some(limit), Some(bucket)) => {
                bucket.refill(now);
                bucket.rate = limit.max(MIN_RATE);
                bucket.stated_at = now;
            }
            (Some(limit), None) => {
                self.bucket = Some(Bucket {
                    rate: limit.max(MIN_RATE),
                    tokens: 0.0,
                    filled_at: now,
                    stated_at: now,
                });
            }
            (None, Some(bucket)) => {
                let age = now.saturating_duration_since(bucket.stated_at);
                if age >= STATEMENT_LIFETIME {
                    self.bucket = None;
                }
            }
            (None, None) => {}
        }
    }

    /// Ends the limit: another instance has replaced the endpoint.
    pub fn clear(&mut self) {
        self.bucket = None;
    }

    /// Returns the rate in calls per second, if it is limited.
    #[must_use]
    pub fn rate(&self) -> Option<f64> {
        self.bucket.as_ref().map(|bucket| bucket.rate)
    }

    /// Whether a call may start now.
    #[must_use]
    pub fn allows(&self, now: Instant) -> bool {
        self.wait(now, 0).is_zero()
    }

    /// Records the start of a call.
    pub fn record_start(&mut self, now: Instant) {
        if let Some(bucket) = &mut self.bucket {
            bucket.refill(now);
            bucket.tokens -= 1.0;
        }
    }

    /// Returns the time until a call may start that has `ahead` calls before it.
    #[must_use]
    pub fn wait(&self, now: Instant, ahead: usize) -> Duration {
        let Some(bucket) = &self.bucket else {
            return Duration::ZERO;
        };
        let missing = (ahead + 1) as f64 - bucket.tokens(now);
        Duration::from_secs_f64((missing / bucket.rate).max(0.0))
    }
}
