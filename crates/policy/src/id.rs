//! Aliases for the ids that travel between daemons.
//!
//! Names are shared strings: they are cloned on every call and never changed.

use std::sync::Arc;

/// Name of a VM, unique among the VMs that are alive.
pub type VmId = Arc<str>;
/// Name of a service, such as `despacho`.
pub type ServiceName = Arc<str>;
/// Name of a customer, or `anonymous`.
pub type CustomerName = Arc<str>;
/// Name of a kind of work, such as `booking`.
pub type KindName = Arc<str>;
/// Name of a data centre.
pub type DataCentreName = Arc<str>;
/// Start of a daemon process in microseconds since the Unix epoch. A replaced VM has a higher one.
pub type Incarnation = u64;
/// Order of the values in the platform. Zero means none seen.
pub type Revision = u64;
/// Number of one call within the daemon that queues it.
pub type CallId = u64;
/// Random id of one call chain.
pub type ChainId = u128;
/// Random id of one ticket.
pub type TicketId = u128;

/// Customer of a call that names none.
pub const ANONYMOUS_CUSTOMER: &str = "anonymous";
