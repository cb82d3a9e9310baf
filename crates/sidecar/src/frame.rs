//! Messages between daemons.
//!
//! One connection carries many calls. A frame is its length, the length of its head, the head in
//! `postcard`, and the body of the request or answer. Bodies stay outside the head, so that they are
//! copied once.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use policy::fleet::Announcement;
use policy::id::ServiceName;
use policy::placement;
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Version of this protocol. A daemon refuses connections of another one.
pub const PROTOCOL: u16 = 1;

/// Bytes of the two lengths before the head.
const PREFIX: usize = 8;

/// Bytes that a frame may have: the largest body of a deployment and its head.
const MAX_FRAME: usize = 80 << 20;

/// Thousandths in a share of one.
pub const SHARE_UNIT: f64 = 1_000.0;

/// Number of a call on one connection.
pub type StreamId = u32;

/// Load of an endpoint, as sent with each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls that run or wait.
    pub calls: u32,
    /// Calls that may run at once.
    pub limit: u32,
    /// Mean time for which a call holds a slot, in microseconds.
    pub held_us: u32,
    /// Share of the elastic work that it can take, in thousandths.
    pub share: u16,
}

impl From<Load> for placement::Load {
    fn from(load: Load) -> Self {
        Self {
            calls: load.calls,
            limit: load.limit,
            held: Duration::from_micros(u64::from(load.held_us)),
            share: f64::from(load.share) / SHARE_UNIT,
        }
    }
}

/// A call towards a gate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallHead {
    /// Id of the sender's attempt.
    pub id: String,
    /// Time that is left, in microseconds.
    pub left_us: u64,
    /// Instance that may run it.
    pub instance: String,
    /// Service of the VM where it began.
    pub caller: String,
    /// Name of its route.
    pub route: String,
    /// Rank.
    pub rank: u32,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Share with which its chain was admitted, in thousandths; `None` for urgent work.
    pub share: Option<u16>,
    /// Whether it is part of work that another call began.
    pub deep: bool,
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Lines of the forwarded header fields.
    #[serde(with = "serde_bytes")]
    pub fields: Vec<u8>,
}

/// An endpoint's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// Status.
    pub status: u16,
    /// Lines of the returned header fields.
    #[serde(with = "serde_bytes")]
    pub fields: Vec<u8>,
    /// Time at the endpoint, in microseconds.
    pub held_us: u64,
    /// Calls at other services that the run led to.
    pub usage: Vec<(ServiceName, u32)>,
}

/// Why a call has not run and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRun {
    /// It cannot be served in time.
    Busy,
    /// Its deadline passed while it waited.
    Late,
    /// The endpoint leaves or has left.
    Leaving,
    /// The gate has another endpoint or none.
    Unknown,
    /// The endpoint cannot be reached.
    Unreachable,
    /// The endpoint refused it; this counts as an arrival.
    Rejected,
    /// The caller no longer waits.
    Cancelled,
}

/// Why it is unknown whether a call has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Unknown {
    /// The connection ended without an answer.
    Disconnected,
    /// The answer is damaged.
    Damaged,
    /// The deadline passed.
    TimedOut,
}

/// Head of a frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of the connecting daemon.
    Hello {
        /// Version of the protocol.
        protocol: u16,
        /// Name of its VM.
        vm: String,
    },
    /// State of the gate's endpoint; `None` when it has none.
    Endpoint {
        /// What the endpoint says of itself.
        announcement: Option<Announcement>,
        /// Whether this daemon itself is about to stop.
        stopping: bool,
    },
    /// A call; the body follows.
    Call {
        /// Number of the call.
        stream: StreamId,
        /// The call.
        call: CallHead,
    },
    /// The caller of a call no longer waits.
    Cancel {
        /// Number of the call.
        stream: StreamId,
    },
    /// An answer; the body follows.
    Answer {
        /// Number of the call.
        stream: StreamId,
        /// The answer.
        answer: AnswerHead,
        /// Load of the endpoint.
        load: Load,
    },
    /// The call has not run.
    NotRun {
        /// Number of the call.
        stream: StreamId,
        /// Why.
        reason: NotRun,
        /// Load of the endpoint.
        load: Load,
    },
    /// It is unknown whether the call has run.
    Unknown {
        /// Number of the call.
        stream: StreamId,
        /// Why.
        reason: Unknown,
        /// Load of the endpoint.
        load: Load,
    },
    /// Load of the gate's endpoint.
    Load(Load),
    /// Asks for a sign of life.
    Ping,
    /// A sign of life.
    Pong,
    /// Asks for what the other daemon knows.
    AskState,
    /// The newest configuration as the operators wrote it, and all entries of VMs; the body is the
    /// configuration.
    State {
        /// Entries with their revisions.
        entries: Vec<(policy::fleet::VmEntry, u64)>,
        /// Revision of the configuration.
        revision: u64,
    },
}

/// Why bytes are no frame.
#[derive(Debug)]
pub struct BadFrame;

/// Appends a frame.
///
/// # Panics
///
/// Never: all frames have a serializable form.
pub fn encode(frame: &Frame, body: &[u8], out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; PREFIX]);
    let buffer = std::mem::take(out);
    *out = postcard::to_extend(frame, buffer).expect("frames have a serializable form");
    let head = out.len() - start - PREFIX;
    out.extend_from_slice(body);
    let total = out.len() - start - PREFIX;
    out[start..start + 4].copy_from_slice(&(total as u32).to_le_bytes());
    out[start + 4..start + PREFIX].copy_from_slice(&(head as u32).to_le_bytes());
}

/// Takes a frame from a buffer; `None` while it is incomplete.
///
/// # Errors
///
/// Fails when the bytes are no frame. The connection cannot be used further.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<(Frame, Bytes)>, BadFrame> {
    if buffer.len() < PREFIX {
        return Ok(None);
    }
    let length = |at: usize| {
        let bytes = [buffer[at], buffer[at + 1], buffer[at + 2], buffer[at + 3]];
        u32::from_le_bytes(bytes) as usize
    };
    let (total, head) = (length(0), length(4));
    if total > MAX_FRAME || head > total {
        return Err(BadFrame);
    }
    if buffer.len() < PREFIX + total {
        buffer.reserve(PREFIX + total - buffer.len());
        return Ok(None);
    }
    buffer.advance(PREFIX);
    let mut bytes = buffer.split_to(total);
    let frame = postcard::from_bytes(&bytes[..head]).map_err(|_| BadFrame)?;
    Ok(Some((frame, bytes.split_off(head).freeze())))
}
