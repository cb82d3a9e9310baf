//! The daemon of one endpoint VM.
//!
//! It is a thin shell around the decisions in `policy`: sockets, timers and locks are here, and each
//! decision is asked with the current time. State lies in shards with a lock each; no lock is held
//! across an await.

pub mod apply;
pub mod config;
pub mod counter;

mod admission;
mod adopted;
mod attempt;
mod call_ticket;
mod chain;
mod chain_guard;
mod cluster;
mod control;
mod dispatch;
mod endpoint_keys;
mod execute;
mod homes;
mod inbound;
mod operator_api;
mod recent_calls;
mod reserved_paths;
mod serve;
mod shared;
mod ticket;

pub use serve::{ServeError, serve};
