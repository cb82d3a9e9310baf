//! Randomized fault soak of the daemon.
//!
//! Real daemons run as processes on loopback addresses, each beside a stand-in endpoint with its
//! own clients. A plan generated from a seed injects faults from outside: through proxies, signals,
//! the stand-in store and the endpoints. [`oracle`] checks what clients and endpoints observed
//! against the guarantees in docs/platform-rules.md.

pub mod client;
pub mod endpoint;
pub mod net;
pub mod oracle;
pub mod organisation;
pub mod plan;
pub mod proxy;
pub mod run;
pub mod stall;
pub mod store;
pub mod vm;
