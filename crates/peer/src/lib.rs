//! Protocol between daemons.
//!
//! One TCP port takes calls (plain HTTP/2) and control RPCs (`tonic`), told apart by their path;
//! one UDP port carries gossip.

pub mod call;
pub mod control;
pub mod convert;
pub mod gossip;
pub mod key;
pub mod pool;
#[expect(
    clippy::all,
    clippy::pedantic,
    clippy::restriction,
    missing_docs,
    reason = "generated code"
)]
#[rustfmt::skip]
pub mod proto;
