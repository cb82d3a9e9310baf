//! Ids that daemons exchange.
//!
//! Names are shared strings, because they are cloned on every call and never change.

use std::sync::Arc;

/// Name of a VM, unique among the VMs that are alive.
pub type VmId = Arc<str>;
/// Name of a service, such as `despacho`.
pub type ServiceName = Arc<str>;
/// Name of a customer, or `anonymous`.
pub type CustomerName = Arc<str>;
/// Name of an organisation whose clients identify themselves by keys.
pub type OrganisationName = Arc<str>;
/// Name of a kind of call, such as `booking`.
pub type KindName = Arc<str>;
/// Name of a data centre.
pub type DataCentreName = Arc<str>;
/// Start of a daemon process in microseconds since the Unix epoch. It is higher after a VM was
/// replaced.
pub type Incarnation = u64;
/// Revision of a value in the platform; a higher one is newer. Zero means that none was seen.
pub type Revision = u64;
/// Number of times that the platform's store has returned from an older copy.
pub type Era = u64;
/// Id of a call within the daemon that queues it.
pub type CallId = u64;
/// Random id of one call chain.
pub type ChainId = u128;
/// Random id of one ticket.
pub type TicketId = u128;

/// Customer of a call that does not name one.
pub const ANONYMOUS_CUSTOMER: &str = "anonymous";
