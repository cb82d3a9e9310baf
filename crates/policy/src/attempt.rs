//! What follows an attempt that brought no answer.
//!
//! Answers faults of gates, endpoints and the links to them. A call goes to another gate as long as it
//! is known not to have run. Once an attempt may have run, only a call that may run twice is sent
//! again, and the caller is never told that it has not run. Each attempt that reached an endpoint
//! counts against the bound of the route, and each one after the first against the budget of repeats.

use crate::routing::{RetrySafety, Route};

#[cfg(test)]
mod tests;

/// What is known of an attempt that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// It did not reach the endpoint and never will.
    NotDelivered,
    /// The endpoint refused to run it.
    Rejected,
    /// It may have run; its outcome was lost.
    Lost,
    /// It may still run; the time is over.
    TimedOut,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The call goes to another gate.
    TryOther,
    /// The call goes to another gate if the budget has a repeat left.
    Retry,
    /// The caller gets its final answer.
    GiveUp,
}

/// The attempts of one call.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    retry_safety: RetrySafety,
    most: u32,
    delivered: u32,
    may_have_run: bool,
}

impl Attempts {
    /// No attempt of a call of a route yet.
    #[must_use]
    pub fn new(route: &Route) -> Self {
        Self {
            retry_safety: route.retry_safety,
            most: route.attempts,
            delivered: 0,
            may_have_run: false,
        }
    }

    /// Whether an attempt may have run, so that the caller must not be told otherwise.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Attempts that reached an endpoint, as far as known.
    #[must_use]
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Takes the fate of an attempt that brought no answer.
    pub fn record_failure(&mut self, fate: AttemptFailure) -> RetryDecision {
        match fate {
            AttemptFailure::NotDelivered => return RetryDecision::TryOther,
            AttemptFailure::Rejected => {}
            AttemptFailure::Lost | AttemptFailure::TimedOut => self.may_have_run = true,
        }
        self.delivered += 1;
        let again = match fate {
            AttemptFailure::NotDelivered | AttemptFailure::Rejected => true,
            AttemptFailure::Lost => self.retry_safety == RetrySafety::Idempotent,
            AttemptFailure::TimedOut => false,
        };
        if again && self.delivered < self.most {
            RetryDecision::Retry
        } else {
            RetryDecision::GiveUp
        }
    }
}
