//! Decision logic of the sapphiredoor daemon, free of I/O.
//!
//! The modules are state machines: they take an event and the current time and return a decision or
//! a list of actions. Apart from [`clock`], nothing here performs I/O, starts threads or reads a
//! clock, so the same code runs in the daemon, in the fuzz tests and in the fault matrix.

pub mod admission;
pub mod adoption;
pub mod allowance;
pub mod attempt;
pub mod balancer;
pub mod burn;
pub mod clock;
pub mod cost;
pub mod demand;
pub mod draft;
pub mod fair_queue;
pub mod fair_share;
pub mod fleet;
pub mod held_back;
pub mod home;
pub mod id;
pub mod level;
pub mod limit;
pub mod member;
pub mod organisation;
pub mod pacing;
pub mod position;
pub mod progress;
pub mod queue;
pub mod quota;
pub mod rate_limit;
pub mod recent_map;
pub mod refusal;
pub mod retry;
pub mod routing;
pub mod rule;
mod safeguard;
pub mod selection;
#[cfg(test)]
mod testing;
pub mod throttle;
pub mod ticket;
