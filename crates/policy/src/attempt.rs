//! Retry decision after an attempt without a response.
//!
//! Handles faults of gates, endpoints and the connections to them. A call goes to another gate as
//! long as it is known not to have run. Once an attempt may have run, only an idempotent call is
//! retried, and the caller is never told that the call has not run. Each attempt that reached an
//! endpoint counts against the attempts of the route, and each one after the first against the
//! retry budget.

use crate::routing::{RetrySafety, Route};

#[cfg(test)]
mod tests;

/// What is known of an attempt without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The call did not reach the endpoint and never will.
    NotDelivered,
    /// The endpoint refused to run the call.
    Rejected,
    /// The call may have run; its outcome was lost.
    Lost,
    /// The call may still run; its deadline has passed.
    TimedOut,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the call to another gate without using the retry budget.
    TryOther,
    /// Send the call to another gate if the retry budget allows it.
    Retry,
    /// Send the final response to the caller.
    GiveUp,
}

/// The attempts of one call.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    retry_safety: RetrySafety,
    max_delivered: u32,
    delivered: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Creates the state of a call of a route before its first attempt.
    #[must_use]
    pub fn new(route: &Route) -> Self {
        Self {
            retry_safety: route.retry_safety,
            max_delivered: route.attempts,
            delivered: 0,
            may_have_run: false,
        }
    }

    /// Returns whether an attempt may have run, so that the caller must not be told otherwise.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the number of attempts that reached or may have reached an endpoint.
    #[must_use]
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Records a failed attempt and returns what to do next.
    pub fn record_failure(&mut self, failure: AttemptFailure) -> RetryDecision {
        match failure {
            AttemptFailure::NotDelivered => return RetryDecision::TryOther,
            AttemptFailure::Rejected => {}
            AttemptFailure::Lost | AttemptFailure::TimedOut => self.may_have_run = true,
        }
        self.delivered += 1;
        let may_retry = match failure {
            AttemptFailure::NotDelivered | AttemptFailure::Rejected => true,
            AttemptFailure::Lost => self.retry_safety == RetrySafety::Idempotent,
            AttemptFailure::TimedOut => false,
        };
        if may_retry && self.delivered < self.max_delivered {
            RetryDecision::Retry
        } else {
            RetryDecision::GiveUp
        }
    }
}
