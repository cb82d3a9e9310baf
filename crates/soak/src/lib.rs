//! Randomized fault soak of the daemon.
//!
//! Real daemons run as processes on loopback addresses, each beside a stand-in endpoint with clients
//! of its own. A plan drawn from a seed injects faults from outside: through proxies, through
//! signals, through the stand-in store and through the endpoints. [`ledger`] checks what callers and
//! endpoints saw against the promises of docs/platform-rules.md.

pub mod client;
pub mod endpoint;
pub mod net;
pub mod oracle;
pub mod plan;
pub mod proxy;
pub mod run;
pub mod stall;
pub mod store;
pub mod vm;
