//! Client for the platform key-value service.
//!
//! The service orders all changes by one revision, which only increases. A write is a
//! compare-and-swap. If its response is lost, the outcome is unknown; [`Client`] distinguishes this
//! case from a failure without effect.

mod client;
mod count;
mod error;
pub mod wire;

pub use client::{Change, Client, Entry, LeaseId};
pub use count::{CounterSnapshot, Counters};
pub use error::Error;

/// Largest value that the service holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
