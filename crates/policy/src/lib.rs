//! Pure decisions of the sapphiredoor daemon.
//!
//! Every module is a state machine: an event and the current time go in, actions come out. Nothing
//! here performs I/O, starts threads or reads a clock, so the same code runs in the daemon, under
//! the fuzzer and in the fault matrix.

pub mod admission;
pub mod adoption;
pub mod allowance;
pub mod attempt;
pub mod balancer;
pub mod burn;
pub mod clock;
pub mod demand;
pub mod fleet;
pub mod home;
pub mod id;
pub mod level;
pub mod limit;
pub mod member;
pub mod queue;
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
