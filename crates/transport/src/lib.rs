//! HTTP plumbing shared by the packages: the body type, a body that holds a guard, and a listener
//! with limits and a graceful stop, and HTTP/1.1 messages on byte buffers.

pub mod body;
pub mod http1;
pub mod server;
pub mod socket;

pub use body::{Body, BoxError};
