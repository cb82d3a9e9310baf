//! Messages between daemons.
//!
//! One connection carries many calls. A frame is its length, the length of its head, the head in
//! `postcard`, and the body of the request or answer. Bodies stay outside the head, so that they are
//! copied once. What many calls have in common is sent once on a connection and named by a number
//! later, since bytes between data centres are dear.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use policy::fleet::{Announcement, VmEntry};
use policy::id::ServiceName;
use policy::selection;
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Version of this protocol. A daemon refuses connections of another one.
pub const PROTOCOL_VERSION: u16 = 1;

/// Bytes of the two lengths before the head.
const PREFIX: usize = 8;

/// Bytes that a frame may have: the largest body of a deployment and its head.
const MAX_FRAME: usize = 80 << 20;

/// Thousandths in a share of one.
pub const SHARE_SCALE: f64 = 1_000.0;

/// Number of a call on one connection.
pub type StreamId = u32;

/// Load of an endpoint, as sent with each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Calls that run or wait.
    pub calls: u32,
    /// Calls that may run at once.
    pub limit: u32,
    /// Mean time for which a call holds a slot, in microseconds.
    pub held_us: u32,
    /// Share of the elastic work that it can take, in thousandths.
    pub share: u16,
    /// Part of the calls that the endpoint does not refuse, in thousandths.
    pub accepted: u16,
}

impl From<Load> for selection::Load {
    fn from(load: Load) -> Self {
        Self {
            calls: load.calls,
            limit: load.limit,
            hold_time: Duration::from_micros(u64::from(load.held_us)),
            share: f64::from(load.share) / SHARE_SCALE,
            accepted: f64::from(load.accepted) / SHARE_SCALE,
        }
    }
}

/// What calls of one kind from one VM have in common. It is sent once on each connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CallKind {
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
    /// Whether it is part of work that another call began.
    #[serde(rename = "deep")]
    pub nested: bool,
    /// Method.
    pub method: String,
    /// Lines of the forwarded header fields.
    #[serde(with = "serde_bytes")]
    pub fields: Vec<u8>,
}

/// A call towards a gate.
#[derive(Clone, Debug, PartialEq)]
pub struct CallHead {
    /// Id of the sender's attempt.
    pub id: String,
    /// Time that is left, in microseconds.
    pub left_us: u64,
    /// Share with which its chain was admitted, in thousandths; `None` for urgent work.
    pub share: Option<u16>,
    /// Path and query.
    pub target: String,
    /// What it has in common with others.
    pub kind: CallKind,
}

/// An endpoint's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// Status.
    pub status: u16,
    /// Lines of the returned header fields other than the signature.
    pub fields: Vec<u8>,
    /// Signature of the endpoint.
    pub signature: Vec<u8>,
    /// Time at the endpoint, in microseconds.
    pub held_us: u64,
    /// Calls at other services that the run led to.
    pub usage: Vec<(ServiceName, u32)>,
}

/// Why a call has not run and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Unknown {
    /// The connection ended without an answer.
    Disconnected,
    /// The answer is damaged.
    Damaged,
    /// The deadline passed.
    TimedOut,
}

/// A message between daemons.
#[derive(Clone, Debug, PartialEq)]
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
    Response {
        /// Number of the call.
        stream: StreamId,
        /// The answer.
        response: ResponseHead,
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
        entries: Vec<(VmEntry, u64)>,
        /// Revision of the configuration.
        revision: u64,
    },
}

/// A value that the other side may already have.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
enum Shared<T> {
    /// It is new; both sides number it next.
    New(T),
    /// It has this number on the connection.
    Known(u16),
    /// It is new and gets no number, because there are too many.
    Once(T),
}

/// Head of a frame as it is sent.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
enum Wire {
    Hello(u16, String),
    Endpoint(Option<Announcement>, bool),
    Call {
        stream: StreamId,
        id: CallId,
        left_us: u64,
        share: Option<u16>,
        target: String,
        kind: Shared<CallKind>,
    },
    Cancel(StreamId),
    #[serde(rename = "Answer")]
    Response {
        stream: StreamId,
        status: u16,
        fields: Shared<Vec<u8>>,
        #[serde(with = "serde_bytes")]
        signature: Vec<u8>,
        held_us: u64,
        usage: Vec<(ServiceName, u32)>,
        load: Load,
    },
    NotRun(StreamId, NotRun, Load),
    Unknown(StreamId, Unknown, Load),
    Load(Load),
    Ping,
    Pong,
    AskState,
    State(Vec<(VmEntry, u64)>, u64),
}

/// Id of a call. Most are groups of hexadecimal digits, which take half the bytes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
enum CallId {
    Hex(Vec<u64>),
    Text(String),
}

/// Digits of a group that is sent as a number.
const HEX_DIGITS: usize = 16;

impl CallId {
    fn new(id: &str) -> Self {
        let group = |part: &str| {
            let hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
            (part.len() == HEX_DIGITS && part.bytes().all(hex))
                .then(|| u64::from_str_radix(part, 16).ok())
                .flatten()
        };
        id.split('.')
            .map(group)
            .collect::<Option<Vec<u64>>>()
            .map_or_else(|| Self::Text(id.to_owned()), Self::Hex)
    }

    fn text(self) -> String {
        match self {
            Self::Text(id) => id,
            Self::Hex(groups) => {
                let groups: Vec<String> =
                    groups.iter().map(|group| format!("{group:016x}")).collect();
                groups.join(".")
            }
        }
    }
}

/// Values that a connection numbers at most.
const MAX_KNOWN: usize = 4_096;

/// Values that were sent over a connection.
#[derive(Debug, Default)]
pub struct Encoder {
    kinds: HashMap<CallKind, u16>,
    fields: HashMap<Vec<u8>, u16>,
}

/// Values that came over a connection.
#[derive(Debug, Default)]
pub struct Decoder {
    kinds: Vec<CallKind>,
    fields: Vec<Vec<u8>>,
}

fn share<T: Clone + Eq + Hash>(known: &mut HashMap<T, u16>, value: &T) -> Shared<T> {
    if let Some(number) = known.get(value) {
        return Shared::Known(*number);
    }
    if known.len() >= MAX_KNOWN {
        return Shared::Once(value.clone());
    }
    known.insert(value.clone(), known.len() as u16);
    Shared::New(value.clone())
}

fn resolve<T: Clone>(known: &mut Vec<T>, shared: Shared<T>) -> Result<T, BadFrame> {
    match shared {
        Shared::Once(value) => Ok(value),
        Shared::Known(number) => known.get(usize::from(number)).cloned().ok_or(BadFrame),
        Shared::New(value) => {
            if known.len() >= MAX_KNOWN {
                return Err(BadFrame);
            }
            known.push(value.clone());
            Ok(value)
        }
    }
}

/// Why bytes are no frame.
#[derive(Debug)]
pub struct BadFrame;

impl Encoder {
    /// Appends a frame.
    ///
    /// # Panics
    ///
    /// Never: all frames have a serializable form.
    pub fn encode(&mut self, frame: &Frame, body: &[u8], out: &mut Vec<u8>) {
        let start = out.len();
        out.extend_from_slice(&[0; PREFIX]);
        let buffer = std::mem::take(out);
        let wire = self.wire(frame);
        *out = postcard::to_extend(&wire, buffer).expect("frames have a serializable form");
        let head = out.len() - start - PREFIX;
        out.extend_from_slice(body);
        let total = out.len() - start - PREFIX;
        out[start..start + 4].copy_from_slice(&(total as u32).to_le_bytes());
        out[start + 4..start + PREFIX].copy_from_slice(&(head as u32).to_le_bytes());
    }

    fn wire(&mut self, frame: &Frame) -> Wire {
        match frame {
            Frame::Hello { protocol, vm } => Wire::Hello(*protocol, vm.clone()),
            Frame::Endpoint {
                announcement,
                stopping,
            } => Wire::Endpoint(announcement.clone(), *stopping),
            Frame::Call { stream, call } => Wire::Call {
                stream: *stream,
                id: CallId::new(&call.id),
                left_us: call.left_us,
                share: call.share,
                target: call.target.clone(),
                kind: share(&mut self.kinds, &call.kind),
            },
            Frame::Cancel { stream } => Wire::Cancel(*stream),
            Frame::Response {
                stream,
                response,
                load,
            } => Wire::Response {
                stream: *stream,
                status: response.status,
                fields: share(&mut self.fields, &response.fields),
                signature: response.signature.clone(),
                held_us: response.held_us,
                usage: response.usage.clone(),
                load: *load,
            },
            Frame::NotRun {
                stream,
                reason,
                load,
            } => Wire::NotRun(*stream, *reason, *load),
            Frame::Unknown {
                stream,
                reason,
                load,
            } => Wire::Unknown(*stream, *reason, *load),
            Frame::Load(load) => Wire::Load(*load),
            Frame::Ping => Wire::Ping,
            Frame::Pong => Wire::Pong,
            Frame::AskState => Wire::AskState,
            Frame::State { entries, revision } => Wire::State(entries.clone(), *revision),
        }
    }
}

impl Decoder {
    /// Takes a frame from a buffer; `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no frame. The connection cannot be used further.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<(Frame, Bytes)>, BadFrame> {
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
        let wire = postcard::from_bytes(&bytes[..head]).map_err(|_| BadFrame)?;
        Ok(Some((self.frame(wire)?, bytes.split_off(head).freeze())))
    }

    fn frame(&mut self, wire: Wire) -> Result<Frame, BadFrame> {
        Ok(match wire {
            Wire::Hello(protocol, vm) => Frame::Hello { protocol, vm },
            Wire::Endpoint(announcement, stopping) => Frame::Endpoint {
                announcement,
                stopping,
            },
            Wire::Call {
                stream,
                id,
                left_us,
                share,
                target,
                kind,
            } => {
                let call = CallHead {
                    id: id.text(),
                    left_us,
                    share,
                    target,
                    kind: resolve(&mut self.kinds, kind)?,
                };
                Frame::Call { stream, call }
            }
            Wire::Cancel(stream) => Frame::Cancel { stream },
            Wire::Response {
                stream,
                status,
                fields,
                signature,
                held_us,
                usage,
                load,
            } => {
                let response = ResponseHead {
                    status,
                    fields: resolve(&mut self.fields, fields)?,
                    signature,
                    held_us,
                    usage,
                };
                Frame::Response {
                    stream,
                    response,
                    load,
                }
            }
            Wire::NotRun(stream, reason, load) => Frame::NotRun {
                stream,
                reason,
                load,
            },
            Wire::Unknown(stream, reason, load) => Frame::Unknown {
                stream,
                reason,
                load,
            },
            Wire::Load(load) => Frame::Load(load),
            Wire::Ping => Frame::Ping,
            Wire::Pong => Frame::Pong,
            Wire::AskState => Frame::AskState,
            Wire::State(entries, revision) => Frame::State { entries, revision },
        })
    }
}
