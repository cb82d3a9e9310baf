//! Events, actions and messages of a home.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use super::{Holder, HomeMap, HomeMember, KeyEntry};
use crate::id::{Revision, TicketId};
use crate::ticket::Ticket;

/// A request for the ticket of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Service that the call goes to.
    pub service: Arc<str>,
    /// Key that the caller chose.
    pub key: Arc<str>,
    /// Ticket to store if the key has none. It was minted for this claim.
    pub ticket: Ticket,
    /// Ticket that the named daemon declared void, which the new one replaces.
    pub replaces: Option<TicketId>,
    /// Extra attempts allowed by the rule, so the most replacements.
    pub extra_attempts: u8,
}

/// Answer to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimReply {
    /// The offered ticket was stored.
    Stored(Ticket),
    /// The key has this ticket. A void ticket named in `replaces` comes back when the replacements
    /// allowed by the rule are spent.
    Found(Ticket),
    /// This process cannot serve the slot now. Its map has the given revision.
    Unavailable(Revision),
}

/// Part of a table that is copied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyPart {
    /// Number of the copy. A later copy by the same owner has a higher one.
    pub id: u64,
    /// Number of the part, from zero.
    pub index: usize,
    /// Whether the table is whole after this part.
    pub last: bool,
    /// Time for which the slot still refuses claims.
    pub quarantine: Duration,
}

/// Messages between owner and successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageBody {
    /// The owner asks for a grant.
    Grant,
    /// Whether the successor grants [`GRANT_DURATION`](super::GRANT_DURATION) from the sending of the request.
    GrantReply(bool),
    /// The owner stores entries, or a part of a copy, at the successor.
    Store(Vec<KeyEntry>, Option<CopyPart>),
    /// Whether the successor has stored them.
    StoreReply(bool),
}

/// A message about one slot. A reply has the sequence of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Slot.
    pub slot: usize,
    /// Epoch of the slot that the sender of the request knows.
    pub epoch: u64,
    /// Revision of the sender's map.
    pub revision: Revision,
    /// Number of the request at its sender.
    pub sequence: u64,
    /// Content.
    pub body: MessageBody,
}

/// Outcome of a compare-and-swap request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written and has this revision.
    Done(Revision),
    /// The value had another revision. If the request was repeated, an earlier one may have won.
    Conflict,
    /// No answer came.
    Unknown,
}

/// What happens to a [`HomeNode`](super::HomeNode).
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
    /// Newest knowledge of all VMs, this one included.
    Members(Vec<HomeMember>),
    /// A claim, with the number to use in the reply and the wall time.
    Claim(u64, Claim, SystemTime),
    /// A message of another daemon.
    Message(Holder, Message),
    /// This process begins to drain.
    Drain,
    /// An operator confirms that the processes that hold this slot in this epoch have ended.
    Reassign(usize, u64),
}

/// What a [`HomeNode`](super::HomeNode) asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to exactly this process.
    Send(Holder, Message),
    /// Write the map if the value in the platform has the given revision, zero for none.
    Swap {
        /// Number to use in the outcome.
        sequence: u64,
        /// Revision that the value must have.
        expected: Revision,
        /// Value to write.
        map: HomeMap,
    },
    /// Read the map from the platform.
    ReadMap,
    /// Answer a claim.
    Reply(u64, ClaimReply),
}
