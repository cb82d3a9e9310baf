//! Client for the platform key-value service.
//!
//! The service orders all values by one revision that only grows. A write is a compare-and-swap, and
//! an answer that is lost leaves its outcome unknown. [`Client`] reports that case apart from a
//! failure without effect.

mod client;
mod count;
mod error;
pub mod wire;

pub use client::{Change, Client, Entry, LeaseId};
pub use count::{CounterSnapshot, Counters};
pub use error::Error;

/// Largest value that the service holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
