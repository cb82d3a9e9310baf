//! What follows an attempt that brought no answer.
//!
//! Answers faults of gates, endpoints and the links to them. A call goes to another gate as long as it
//! is known not to have run. Once an attempt may have run, only a call that may run twice is sent
//! again, and the caller is never told that it has not run. Each attempt that reached an endpoint
//! counts against the bound of the route, and each one after the first against the budget of repeats.

use crate::traffic::{Repeat, Route};

#[cfg(test)]
mod tests;

/// What is known of an attempt that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It did not reach the endpoint and never will.
    Stopped,
    /// The endpoint refused to run it.
    Rejected,
    /// It may have run; its outcome was lost.
    Lost,
    /// It may still run; the time is over.
    TimedOut,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The call goes to another gate.
    Elsewhere,
    /// The call goes to another gate if the budget has a repeat left.
    Repeat,
    /// The caller gets its final answer.
    End,
}

/// The attempts of one call.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    repeat: Repeat,
    most: u32,
    arrivals: u32,
    may_have_run: bool,
}

impl Attempts {
    /// No attempt of a call of a route yet.
    #[must_use]
    pub fn new(route: &Route) -> Self {
        Self {
            repeat: route.repeat,
            most: route.attempts,
            arrivals: 0,
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
    pub fn arrivals(&self) -> u32 {
        self.arrivals
    }

    /// Takes the fate of an attempt that brought no answer.
    pub fn failed(&mut self, fate: Fate) -> Next {
        match fate {
            Fate::Stopped => return Next::Elsewhere,
            Fate::Rejected => {}
            Fate::Lost | Fate::TimedOut => self.may_have_run = true,
        }
        self.arrivals += 1;
        let again = match fate {
            Fate::Stopped | Fate::Rejected => true,
            Fate::Lost => self.repeat == Repeat::Idempotent,
            Fate::TimedOut => false,
        };
        if again && self.arrivals < self.most {
            Next::Repeat
        } else {
            Next::End
        }
    }
}
