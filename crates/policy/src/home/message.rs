//! Events, actions and messages of a [`HomeNode`](super::HomeNode).

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use super::{Holder, HomeMap, HomeMember, KeyEntry};
use crate::id::{Revision, TicketId};
use crate::ticket::Ticket;

/// A request for the ticket of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Service that is called.
    pub service: Arc<str>,
    /// Idempotency key that the caller chose.
    pub key: Arc<str>,
    /// Ticket to store if the key has none, issued for this claim.
    pub ticket: Ticket,
    /// Ticket that the new one replaces, after the daemon named in it has reported it void.
    pub replaces: Option<TicketId>,
    /// Extra attempts that the rule allows, which is the maximum number of replacements.
    pub extra_attempts: u8,
}

/// Reply to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimReply {
    /// The offered ticket was stored.
    Stored(Ticket),
    /// The key already has this ticket. A void ticket named in `replaces` is returned again if the
    /// replacements that the rule allows are used up.
    Found(Ticket),
    /// This process cannot serve the slot now. The revision is that of its map.
    Unavailable(Revision),
}

/// Part of a copy of a table to the successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyPart {
    /// Number of the copy. A later copy by the same owner has a higher one.
    pub id: u64,
    /// Number of the part, from zero.
    pub index: usize,
    /// Whether the table is complete after this part.
    pub last: bool,
    /// Remaining time for which the slot refuses claims.
    pub quarantine: Duration,
}

/// Requests and replies between owner and successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageBody {
    /// The owner asks for a grant.
    Grant,
    /// Whether the successor grants [`GRANT_DURATION`](super::GRANT_DURATION), counted from the
    /// sending of the request.
    GrantReply(bool),
    /// The owner asks the successor to store entries or a part of a copy.
    Store(Vec<KeyEntry>, Option<CopyPart>),
    /// Whether the successor has stored them.
    StoreReply(bool),
}

/// A message about one slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Number of the slot.
    pub slot: usize,
    /// Epoch of the slot at the sender of the request.
    pub epoch: u64,
    /// Revision of the sender's map.
    pub revision: Revision,
    /// Number that the sender gave the request. The reply has the same.
    pub sequence: u64,
    /// Request or reply.
    pub body: MessageBody,
}

/// Outcome of a compare-and-swap request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written and has this revision.
    Done(Revision),
    /// The value had another revision. If the request was retried, an earlier attempt may have
    /// written it.
    Conflict,
    /// No reply came.
    Unknown,
}

/// Input of a [`HomeNode`](super::HomeNode).
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. Expected every 100 to 300 ms.
    Tick,
    /// A map was read, watched or received from a peer.
    Map(HomeMap),
    /// The platform holds no map.
    NoMap,
    /// Outcome of the request with this sequence.
    SwapResult(u64, SwapOutcome),
    /// Latest known state of all VMs, including this one.
    Members(Vec<HomeMember>),
    /// A claim, with the number for its reply and the wall time.
    Claim(u64, Claim, SystemTime),
    /// A message from another daemon.
    Message(Holder, Message),
    /// This process starts to drain.
    Drain,
    /// An operator confirms that the processes that hold this slot in this epoch have exited.
    Reassign(usize, u64),
}

/// Output of a [`HomeNode`](super::HomeNode), to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to this process, and to no other on the same VM.
    Send(Holder, Message),
    /// Write the map by compare-and-swap.
    Swap {
        /// Number for [`Event::SwapResult`].
        sequence: u64,
        /// Revision that the value in the platform must have, zero if there must be none.
        expected: Revision,
        /// Value to write.
        map: HomeMap,
    },
    /// Read the map from the platform.
    ReadMap,
    /// Reply to a claim.
    Reply(u64, ClaimReply),
}
