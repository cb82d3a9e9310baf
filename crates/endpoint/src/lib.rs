//! The endpoint on this daemon's VM: its announcements and the client that forwards calls to it.

pub mod announce;
pub mod client;
