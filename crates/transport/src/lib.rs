//! HTTP building blocks shared by the other packages: the body type, a body that reports how it
//! ended, a buffer of received bodies, a server with limits and graceful shutdown, a decoder of HTTP/1.1 messages and options of
//! TCP sockets.

pub mod body;
pub mod buffer;
pub mod http1;
pub mod server;
pub mod socket;

pub use body::{Body, BoxError};
