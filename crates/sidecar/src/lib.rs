//! The sidecar daemon of an endpoint on the users' platform.
//!
//! All tasks run on one thread. Calls arrive through [`client`] and [`inbound`], are routed by
//! [`forward`] and admitted by [`gate`], and leave through [`peer`] and [`endpoint`]. [`discovery`]
//! and [`control`] keep the state of the fleet and of the local endpoint up to date. The decisions
//! are made in the `policy` crate.

pub mod arrivals;
pub mod client;
pub mod connections;
pub mod control;
pub mod daemon;
pub mod discovery;
pub mod endpoint;
pub mod forward;
pub mod frame;
pub mod gate;
pub mod held_back;
pub mod inbound;
pub mod listener;
pub mod logging;
pub mod memory;
pub mod metrics;
pub mod outbox;
pub mod peer;
pub mod quota;
pub mod reader;
pub mod run;
pub mod settings;
#[cfg(test)]
mod testing;

pub use run::run;
