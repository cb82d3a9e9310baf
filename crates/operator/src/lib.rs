//! Rules file, HTTP interface and reports for operators.
//!
//! The modules [`mod@file`], [`change`], [`field`], [`view`] and [`chart`] do no I/O. [`server`]
//! serves the operator interface over HTTP from a [`server::Daemon`], and [`client`] is its client.

pub mod change;
pub mod chart;
pub mod client;
pub mod field;
pub mod file;
pub mod key;
pub mod message;
pub mod server;
pub mod view;
