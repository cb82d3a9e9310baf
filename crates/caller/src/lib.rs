//! Callers: how their requests are read and how refusals are answered.

pub mod header;
pub mod request;
pub mod response;
