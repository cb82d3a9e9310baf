//! Stand-ins for the systems around the daemons, and the load generator. Test code, not shipped.
//!
//! [`platform`] stands in for the key-value service, [`endpoint`] for the endpoints of a service
//! and [`load`] for the callers. [`scenario`] runs them together with daemons.

pub mod daemon;
pub mod endpoint;
pub mod http;
pub mod latency;
pub mod ledger;
pub mod load;
pub mod platform;
pub mod relay;
pub mod report;
pub mod response;
pub mod scenario;
pub mod store;
pub mod target;
