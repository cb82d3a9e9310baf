//! Messages that daemons exchange, and the member records in them.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::id::{DataCentreName, Incarnation, Revision, ServiceName, VmId};

/// State of a member. At equal incarnation and version the later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Acknowledges probes.
    Alive,
    /// Did not acknowledge a probe; marked dead unless it refutes.
    Suspect,
    /// Finishes its calls and accepts no new ones.
    Draining,
    /// Removed by its data centre. The same process may return with a higher version.
    Dead,
    /// Left on its own initiative. Final for the incarnation.
    Left,
}

impl State {
    /// Whether the member is neither dead nor left.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect | Self::Draining)
    }
}

/// One daemon and the endpoint on its VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// VM of the daemon.
    pub vm: VmId,
    /// Start time of the process.
    pub incarnation: Incarnation,
    /// Version of the record, raised only by the member itself.
    pub version: u32,
    /// State of the member.
    pub state: State,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// TCP address for calls and control.
    pub call_address: SocketAddr,
    /// UDP address for gossip.
    pub gossip_address: SocketAddr,
    /// Service of the endpoint; `None` while no endpoint has announced itself.
    pub service: Option<ServiceName>,
    /// Number of concurrent calls that the endpoint announced.
    pub slots: u32,
    /// Whether the endpoint is still within its warm-up time.
    pub cold: bool,
    /// Data centres that this member, as a relay, receives nothing from.
    pub unreachable: Vec<DataCentreName>,
}

impl Member {
    /// Returns the size of the record in a datagram in bytes, with its tag and length.
    #[must_use]
    pub fn wire_size(&self) -> usize {
        const TAG_AND_LENGTH_BYTES: usize = 3;
        const SMALL_FIELD_BYTES: usize = 2;
        let text = |bytes: usize| {
            if bytes == 0 {
                0
            } else {
                bytes + SMALL_FIELD_BYTES
            }
        };
        let number = |value: u64| if value == 0 { 0 } else { 1 + varint_len(value) };
        TAG_AND_LENGTH_BYTES
            + text(self.vm.len())
            + number(self.incarnation)
            + number(u64::from(self.version))
            + SMALL_FIELD_BYTES
            + text(self.data_centre.len())
            + text(address_len(self.call_address))
            + text(address_len(self.gossip_address))
            + text(self.service.as_ref().map_or(0, |name| name.len()))
            + number(u64::from(self.slots))
            + SMALL_FIELD_BYTES
            + self
                .unreachable
                .iter()
                .map(|name| name.len() + SMALL_FIELD_BYTES)
                .sum::<usize>()
    }

    /// Returns the key that orders two records of the same member; the higher one is newer.
    pub(super) fn order_key(&self) -> (Incarnation, u32, State) {
        (self.incarnation, self.version, self.state)
    }
}

/// Returns the encoded length of a varint in bytes.
fn varint_len(value: u64) -> usize {
    let bits = u64::BITS - value.leading_zeros();
    bits.div_ceil(7).max(1) as usize
}

/// Returns an upper bound of the length of an address as text.
fn address_len(address: SocketAddr) -> usize {
    const MAX_IPV6_BYTES: usize = 47;
    let digits = |value: u16| value.checked_ilog10().unwrap_or(0) as usize + 1;
    match address {
        SocketAddr::V4(address) => {
            let octets = address.ip().octets();
            let numbers: usize = octets.iter().map(|octet| digits(u16::from(*octet))).sum();
            numbers + 3 + 1 + digits(address.port())
        }
        SocketAddr::V6(_) => MAX_IPV6_BYTES,
    }
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// VM of the sender.
    pub from: VmId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Matches an acknowledgement to its probe.
    pub sequence: u64,
    /// Purpose of the message.
    pub body: Body,
    /// Updates, the sender's own record first.
    pub updates: Vec<Arc<Member>>,
    /// Rules revision in force at the sender.
    pub rules: Revision,
    /// Home map revision in force at the sender.
    pub homes: Revision,
    /// Digest of live members at the sender: those of its data centre in a delta, all otherwise.
    pub digest: u64,
}

/// Purpose of a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Probe, acknowledged with [`Body::Ack`].
    Ping {
        /// VM that must acknowledge.
        target: VmId,
        /// Incarnation of the target in the sender's table; zero if unknown.
        incarnation: Incarnation,
    },
    /// Request to an intermediary to probe another member.
    PingRequest {
        /// VM to probe.
        target: VmId,
        /// Gossip address of that VM.
        address: SocketAddr,
    },
    /// Acknowledgement of a probe.
    Ack {
        /// VM that acknowledged.
        target: VmId,
    },
    /// Updates from a relay of a remote data centre.
    Delta {
        /// Data centre of the sender.
        data_centre: DataCentreName,
    },
    /// Updates only; no reply is sent.
    Push,
}

/// Request to sync member tables.
///
/// With the sender as the only member it requests the full table; with more members it exchanges
/// the members of the two data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SyncRequest {
    /// Record of the sender, then those of its data centre if any.
    pub members: Vec<Arc<Member>>,
}

/// Reply to a [`SyncRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SyncReply {
    /// Record of the replying daemon, then the requested ones.
    pub members: Vec<Arc<Member>>,
    /// Rules revision in force at the replying daemon.
    pub rules: Revision,
    /// Home map revision in force at the replying daemon.
    pub homes: Revision,
}
