//! The daemon of one endpoint VM.
//!
//! This crate holds the sockets, timers and locks; the decisions are made in `policy`, which gets
//! the current time with each call. State is kept in shards with a lock each; no lock is held
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
