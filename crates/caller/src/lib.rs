//! HTTP interface to callers: headers, request metadata and responses to refused calls.

pub mod header;
pub mod request;
pub mod response;
