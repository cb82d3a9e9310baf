//! The daemon beside an endpoint on the users' platform.
//!
//! One thread runs everything. Calls come in through [`client`] and [`inbound`], are routed by
//! [`forward`] and started by [`gate`]; they leave through [`peer`] and [`endpoint`]. What the
//! daemon believes comes from [`discovery`] and [`control`]. The decisions are in `policy`.

pub mod client;
pub mod control;
pub mod daemon;
pub mod discovery;
pub mod endpoint;
pub mod forward;
pub mod frame;
pub mod gate;
pub mod inbound;
pub mod listener;
pub mod logging;
pub mod metrics;
pub mod outbox;
pub mod peer;
pub mod reader;
pub mod run;
pub mod settings;
#[cfg(test)]
mod testing;

pub use run::run;
