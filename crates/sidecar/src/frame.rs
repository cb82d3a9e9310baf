//! Frames of the protocol between daemons.
//!
//! One connection carries many calls. A frame consists of its length, the length of its head, the
//! head in `postcard`, and the body of the request or response. The body stays outside the head, so
//! that it is copied only once. Values that many calls share are sent once on a connection and
//! referred to by an index later, since traffic between data centres is expensive.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use policy::demand::ElasticRoom;
use policy::fleet::{Announcement, VmEntry};
use policy::id::{OrganisationName, ServiceName};
use policy::position::Position;
use policy::quota::{Ask, Grant, History, OrganisationKey};
use policy::selection;
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Version of this protocol. A daemon refuses connections with another version.
pub const PROTOCOL_VERSION: u16 = 6;

/// Size of the two lengths before the head.
const PREFIX_BYTES: usize = 8;

/// Largest size of a frame without its prefix: the configuration, which crosses in one frame, and the
/// entries of the fleet.
const MAX_FRAME_BYTES: usize = 24 << 20;

/// Factor from a fraction to its value on the wire, which is in thousandths.
pub const SHARE_SCALE: f64 = 1_000.0;

/// Number of a call on one connection.
pub type StreamId = u32;

/// Load of an endpoint, as its gate sends it with each outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Running and queued calls.
    pub calls: u32,
    /// Calls that may run concurrently.
    pub limit: u32,
    /// Mean hold time of a slot, in microseconds.
    pub held_us: u32,
    /// Elastic work that it can take, in calls per second.
    pub room: u32,
    /// Elastic work that is demanded of it, in calls per second.
    pub demand: u32,
    /// Fraction of the calls that the endpoint does not refuse, in thousandths.
    pub accepted: u16,
    /// Slot time that its calls still need, in microseconds.
    pub backlog_us: u32,
    /// Time that work takes at present, in percent of the usual one there; 0 if the endpoint states
    /// none.
    pub pace: u16,
}

/// Factor from a relative pace to its value on the wire, which is in percent.
pub const PACE_SCALE: f64 = 100.0;

impl From<Load> for selection::Load {
    fn from(load: Load) -> Self {
        Self {
            calls: load.calls,
            limit: load.limit,
            hold_time: Duration::from_micros(u64::from(load.held_us)),
            room: ElasticRoom {
                room: f64::from(load.room),
                demand: f64::from(load.demand),
            },
            accepted: f64::from(load.accepted) / SHARE_SCALE,
            backlog: Duration::from_micros(u64::from(load.backlog_us)),
            pace: (load.pace > 0).then(|| f64::from(load.pace) / PACE_SCALE),
        }
    }
}

/// Fields that calls of one kind from one VM share. They are sent once on each connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CallKind {
    /// Instance for which the call is meant; no other one may run it.
    pub instance: String,
    /// Service of the VM whose daemon sends the call.
    pub caller: String,
    /// Name of its route.
    pub route: String,
    /// Rank of its route; 0 is the most urgent.
    pub rank: u32,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether it was made while serving another call.
    #[serde(rename = "deep")]
    pub nested: bool,
    /// HTTP method.
    pub method: String,
    /// Lines of the forwarded header fields.
    #[serde(with = "serde_bytes")]
    pub fields: Vec<u8>,
}

/// What happened to a call before it is sent to a gate.
#[allow(
    clippy::struct_excessive_bools,
    reason = "the facts are independent of each other"
)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallHistory {
    /// Whether another gate got it before.
    pub offered: bool,
    /// Whether an earlier attempt reached, or may have reached, an endpoint.
    pub retry: bool,
    /// Whether it was made by a run that was itself a retry, or by a nested call of one.
    pub of_retry: bool,
    /// Whether its chain was refused before and has returned.
    pub returned: bool,
}

/// Head of a call that is sent to a gate.
#[derive(Clone, Debug, PartialEq)]
pub struct CallHead {
    /// Id of the caller's attempt.
    pub id: String,
    /// Time left until its deadline, in microseconds.
    pub left_us: u64,
    /// Admission share at which its chain was admitted, in thousandths; `None` for urgent work.
    pub share: Option<u16>,
    /// What happened to it before.
    pub history: CallHistory,
    /// Time that its chain needs after it, in milliseconds.
    pub remaining_ms: u32,
    /// Path and query.
    pub target: String,
    /// Organisation that sent its chain.
    pub organisation: Option<OrganisationName>,
    /// Fields that it shares with other calls.
    pub kind: CallKind,
}

/// Head of an endpoint's response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// Status.
    pub status: u16,
    /// Lines of the response's header fields other than the signature.
    pub fields: Vec<u8>,
    /// Signature of the endpoint.
    pub signature: Vec<u8>,
    /// Hold time of the call's slot, in microseconds.
    pub held_us: u64,
    /// Numbers of calls to other services that the call led to.
    pub usage: Vec<(ServiceName, u32)>,
}

/// Why a call has not run and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum NotRun {
    /// It cannot be served in time.
    Busy,
    /// It waited too long to be served before its deadline.
    Late,
    /// The endpoint is draining or gone.
    Leaving,
    /// The call is for another instance than that of the gate's endpoint, or the gate knows no
    /// endpoint yet.
    Unknown,
    /// The gate or its endpoint cannot be reached.
    Unreachable,
    /// The endpoint refused it; this counts as delivered.
    Rejected,
    /// It is a retry, and the gate's part of the retry budget is spent.
    Budget,
    /// The caller no longer waits, or withdrew it.
    Cancelled,
}

/// Why it is unknown whether a call has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Unknown {
    /// The connection ended without a response.
    Disconnected,
    /// The response is damaged.
    Damaged,
    /// The deadline passed.
    TimedOut,
}

/// A frame between daemons.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// First frame from the daemon that opened the connection.
    Hello {
        /// Version of the protocol.
        protocol: u16,
        /// Name of its VM.
        vm: String,
    },
    /// State of the daemon and of its endpoint.
    Endpoint {
        /// Announcement of the endpoint, if one is known.
        announcement: Option<Announcement>,
        /// Whether the daemon itself is shutting down.
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
    /// The caller of a call can wait no longer. The gate gives the call back unless it has started.
    Withdraw {
        /// Number of the call.
        stream: StreamId,
    },
    /// A response; the body follows.
    Response {
        /// Number of the call.
        stream: StreamId,
        /// The response.
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
    /// The call may have run.
    Unknown {
        /// Number of the call.
        stream: StreamId,
        /// Why.
        reason: Unknown,
        /// Load of the endpoint.
        load: Load,
    },
    /// A large body of a call or response waits to be sent; the call or response comes after it.
    Offer {
        /// Number of the call.
        stream: StreamId,
        /// Size of the body.
        size: u32,
    },
    /// There is room for an offered body.
    Accept {
        /// Number of the call.
        stream: StreamId,
    },
    /// The next part of an accepted body follows.
    Part {
        /// Number of the call.
        stream: StreamId,
    },
    /// Load of the gate's endpoint.
    Load(Load),
    /// Keepalive request.
    Ping,
    /// Reply to a keepalive request.
    Pong,
    /// Requests the state that the other daemon knows.
    AskState,
    /// All known VM entries; the body is the configuration in force as the operators wrote it.
    State {
        /// Entries with their positions in the store.
        entries: Vec<(VmEntry, Position)>,
        /// Revision of the configuration.
        revision: u64,
    },
    /// State of the sender's own endpoint, for the receiver to keep, and a request for the newest
    /// state that the receiver knows of it.
    Record {
        /// Name of the sender's VM.
        vm: String,
        /// Its entry, if its endpoint is known.
        entry: Option<VmEntry>,
    },
    /// Reply to a record: the newest state that the sender knows of the receiver's endpoint.
    Recorded(Option<Announcement>),
    /// Asks the owner of an organisation's bucket for tokens.
    QuotaAsk {
        /// The organisation.
        organisation: OrganisationKey,
        /// The ask.
        ask: Ask,
    },
    /// Reply to such an ask.
    QuotaGrant {
        /// The organisation.
        organisation: OrganisationKey,
        /// The reply.
        grant: Grant,
    },
}

/// A value that may already have been sent over the connection.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
enum Interned<T> {
    /// A new value, which gets the next index on both sides.
    New(T),
    /// Index of a value that was sent before.
    Known(u16),
    /// A new value that gets no index, because it is large.
    Once(T),
    /// A new value that gets the first index. All others are forgotten, because the table was full.
    First(T),
}

/// Head of a frame as it is serialized.
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
        history: CallHistory,
        remaining_ms: u32,
        target: String,
        organisation: Option<Interned<OrganisationName>>,
        kind: Interned<CallKind>,
    },
    Cancel(StreamId),
    #[serde(rename = "Answer")]
    Response {
        stream: StreamId,
        status: u16,
        fields: Interned<Vec<u8>>,
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
    State(Vec<(VmEntry, Position)>, u64),
    Record(String, Option<VmEntry>),
    Recorded(Option<Announcement>),
    QuotaAsk(OrganisationKey, WireAsk),
    QuotaGrant(OrganisationKey, WireGrant),
    Withdraw(StreamId),
    Offer(StreamId, u32),
    Accept(StreamId),
    Part(StreamId),
}

/// Factor from a share of a quota to its value on the wire.
const QUOTA_SCALE: f64 = 10_000.0;

/// An ask for tokens as it is serialized.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct WireAsk {
    number: u32,
    wanted: u32,
    returned: u32,
    share: u16,
    total: Option<u16>,
    unheard: bool,
    history: History,
}

impl From<Ask> for WireAsk {
    fn from(ask: Ask) -> Self {
        Self {
            number: ask.number,
            wanted: ask.wanted,
            returned: ask.returned,
            share: (ask.share * QUOTA_SCALE) as u16,
            total: ask.total.map(|total| (total * QUOTA_SCALE).ceil() as u16),
            unheard: ask.unheard,
            history: ask.history,
        }
    }
}

impl From<WireAsk> for Ask {
    fn from(ask: WireAsk) -> Self {
        Self {
            number: ask.number,
            wanted: ask.wanted,
            returned: ask.returned,
            share: f64::from(ask.share) / QUOTA_SCALE,
            total: ask.total.map(|total| f64::from(total) / QUOTA_SCALE),
            unheard: ask.unheard,
            history: ask.history,
        }
    }
}

/// A reply to an ask as it is serialized.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct WireGrant {
    number: u32,
    granted: u32,
    retry_ms: u32,
    share: u16,
    total: Option<u16>,
    is_owner: bool,
}

impl From<Grant> for WireGrant {
    fn from(grant: Grant) -> Self {
        Self {
            number: grant.number,
            granted: grant.granted,
            retry_ms: grant.retry.as_millis() as u32,
            share: (grant.share * QUOTA_SCALE) as u16,
            total: grant.total.map(|total| (total * QUOTA_SCALE).ceil() as u16),
            is_owner: grant.is_owner,
        }
    }
}

impl From<WireGrant> for Grant {
    fn from(grant: WireGrant) -> Self {
        Self {
            number: grant.number,
            granted: grant.granted,
            retry: Duration::from_millis(grant.retry_ms.into()),
            share: f64::from(grant.share) / QUOTA_SCALE,
            total: grant.total.map(|total| f64::from(total) / QUOTA_SCALE),
            is_owner: grant.is_owner,
        }
    }
}

/// Id of a call. Most ids are groups of hexadecimal digits, which are sent in half the bytes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
enum CallId {
    Hex(Vec<u64>),
    Text(String),
}

/// Hexadecimal digits of a group that is sent as a number.
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

    fn into_text(self) -> String {
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

/// Largest size of a value that gets an index. A larger one, such as the header fields of a call with
/// a long cookie, is hardly ever sent again.
const MAX_INTERNED_BYTES: usize = 2 << 10;

/// Largest size of all values of one type that have an index on a connection. A daemon keeps two such
/// tables for each connection from or to another daemon.
const MAX_TABLE_BYTES: usize = 128 << 10;

/// Size that counts for a value beside its content, so that empty ones do not fill memory.
const VALUE_OVERHEAD_BYTES: usize = 64;

impl CallKind {
    fn size(&self) -> usize {
        let texts = [&self.instance, &self.caller, &self.route, &self.method];
        let text: usize = texts.iter().map(|text| text.len()).sum();
        VALUE_OVERHEAD_BYTES + text + self.fields.len()
    }
}

/// Values that were sent on a connection, with their indices.
#[derive(Debug)]
struct SentValues<T> {
    indices: HashMap<T, u16>,
    bytes: usize,
}

/// Values that were received on a connection, by index.
#[derive(Debug)]
struct ReceivedValues<T> {
    values: Vec<T>,
    bytes: usize,
}

impl<T> Default for SentValues<T> {
    fn default() -> Self {
        Self {
            indices: HashMap::new(),
            bytes: 0,
        }
    }
}

impl<T> Default for ReceivedValues<T> {
    fn default() -> Self {
        Self {
            values: Vec::new(),
            bytes: 0,
        }
    }
}

impl<T: Clone + Eq + Hash> SentValues<T> {
    /// Replaces a value by its index if it was sent before.
    fn intern(&mut self, value: &T, size: usize) -> Interned<T> {
        if let Some(index) = self.indices.get(value) {
            return Interned::Known(*index);
        }
        if size > MAX_INTERNED_BYTES {
            return Interned::Once(value.clone());
        }
        let full = self.bytes + size > MAX_TABLE_BYTES;
        if full {
            *self = Self::default();
        }
        self.bytes += size;
        let index = self.indices.len() as u16;
        self.indices.insert(value.clone(), index);
        if full {
            Interned::First(value.clone())
        } else {
            Interned::New(value.clone())
        }
    }
}

impl<T: Clone> ReceivedValues<T> {
    /// Returns the value that a peer sent itself or by its index.
    fn resolve(
        &mut self,
        interned: Interned<T>,
        size: impl Fn(&T) -> usize,
    ) -> Result<T, BadFrame> {
        let value = match interned {
            Interned::Once(value) => return Ok(value),
            Interned::Known(index) => {
                return self.values.get(usize::from(index)).cloned().ok_or(BadFrame);
            }
            Interned::First(value) => {
                *self = Self::default();
                value
            }
            Interned::New(value) => value,
        };
        self.bytes += size(&value);
        if self.bytes > MAX_TABLE_BYTES {
            return Err(BadFrame);
        }
        self.values.push(value.clone());
        Ok(value)
    }
}

/// Returns the size that header lines count for.
fn fields_size(fields: &[u8]) -> usize {
    VALUE_OVERHEAD_BYTES + fields.len()
}

/// Returns the size that the name of an organisation counts for.
fn name_size(name: &OrganisationName) -> usize {
    VALUE_OVERHEAD_BYTES + name.len()
}

/// Encodes the frames of one connection. It keeps the indices of the values that were sent.
#[derive(Debug, Default)]
pub struct Encoder {
    kinds: SentValues<CallKind>,
    organisations: SentValues<OrganisationName>,
    fields: SentValues<Vec<u8>>,
}

/// Decodes the frames of one connection. It keeps the values that were received, by index.
#[derive(Debug, Default)]
pub struct Decoder {
    kinds: ReceivedValues<CallKind>,
    organisations: ReceivedValues<OrganisationName>,
    fields: ReceivedValues<Vec<u8>>,
}

/// The bytes cannot be decoded as a frame.
#[derive(Debug)]
pub struct BadFrame;

impl Encoder {
    /// Appends an encoded frame.
    ///
    /// # Panics
    ///
    /// Never: all frames have a serializable form.
    pub fn encode(&mut self, frame: &Frame, body: &[u8], out: &mut Vec<u8>) {
        self.encode_head(frame, body.len(), out);
        out.extend_from_slice(body);
    }

    /// Appends an encoded frame without its body, which has this many bytes.
    ///
    /// # Panics
    ///
    /// Never: all frames have a serializable form.
    pub fn encode_head(&mut self, frame: &Frame, body_length: usize, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend_from_slice(&[0; PREFIX_BYTES]);
        let buffer = std::mem::take(out);
        let wire = self.wire_head(frame);
        *out = postcard::to_extend(&wire, buffer).expect("frames have a serializable form");
        let head = out.len() - start - PREFIX_BYTES;
        let total = head + body_length;
        out[start..start + 4].copy_from_slice(&(total as u32).to_le_bytes());
        out[start + 4..start + PREFIX_BYTES].copy_from_slice(&(head as u32).to_le_bytes());
    }

    fn wire_head(&mut self, frame: &Frame) -> Wire {
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
                history: call.history,
                remaining_ms: call.remaining_ms,
                target: call.target.clone(),
                organisation: call
                    .organisation
                    .as_ref()
                    .map(|name| self.organisations.intern(name, name_size(name))),
                kind: self.kinds.intern(&call.kind, call.kind.size()),
            },
            Frame::Cancel { stream } => Wire::Cancel(*stream),
            Frame::Withdraw { stream } => Wire::Withdraw(*stream),
            Frame::Response {
                stream,
                response,
                load,
            } => Wire::Response {
                stream: *stream,
                status: response.status,
                fields: self
                    .fields
                    .intern(&response.fields, fields_size(&response.fields)),
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
            Frame::Offer { stream, size } => Wire::Offer(*stream, *size),
            Frame::Accept { stream } => Wire::Accept(*stream),
            Frame::Part { stream } => Wire::Part(*stream),
            Frame::Load(load) => Wire::Load(*load),
            Frame::Ping => Wire::Ping,
            Frame::Pong => Wire::Pong,
            Frame::AskState => Wire::AskState,
            Frame::State { entries, revision } => Wire::State(entries.clone(), *revision),
            Frame::Record { vm, entry } => Wire::Record(vm.clone(), entry.clone()),
            Frame::Recorded(announcement) => Wire::Recorded(announcement.clone()),
            Frame::QuotaAsk { organisation, ask } => Wire::QuotaAsk(*organisation, (*ask).into()),
            Frame::QuotaGrant {
                organisation,
                grant,
            } => Wire::QuotaGrant(*organisation, (*grant).into()),
        }
    }
}

impl Decoder {
    /// Removes the next frame from a buffer; returns `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a valid frame. The connection must then be closed.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<(Frame, Bytes)>, BadFrame> {
        if buffer.len() < PREFIX_BYTES {
            return Ok(None);
        }
        let length = |at: usize| {
            let bytes = [buffer[at], buffer[at + 1], buffer[at + 2], buffer[at + 3]];
            u32::from_le_bytes(bytes) as usize
        };
        let (total, head) = (length(0), length(4));
        if total > MAX_FRAME_BYTES || head > total {
            return Err(BadFrame);
        }
        if buffer.len() < PREFIX_BYTES + total {
            buffer.reserve(PREFIX_BYTES + total - buffer.len());
            return Ok(None);
        }
        buffer.advance(PREFIX_BYTES);
        let mut bytes = buffer.split_to(total);
        let wire = postcard::from_bytes(&bytes[..head]).map_err(|_| BadFrame)?;
        Ok(Some((
            self.resolve_frame(wire)?,
            bytes.split_off(head).freeze(),
        )))
    }

    fn resolve_frame(&mut self, wire: Wire) -> Result<Frame, BadFrame> {
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
                history,
                remaining_ms,
                target,
                organisation,
                kind,
            } => {
                let call = CallHead {
                    id: id.into_text(),
                    left_us,
                    share,
                    history,
                    remaining_ms,
                    target,
                    organisation: organisation
                        .map(|name| self.organisations.resolve(name, name_size))
                        .transpose()?,
                    kind: self.kinds.resolve(kind, CallKind::size)?,
                };
                Frame::Call { stream, call }
            }
            Wire::Cancel(stream) => Frame::Cancel { stream },
            Wire::Withdraw(stream) => Frame::Withdraw { stream },
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
                    fields: self.fields.resolve(fields, |fields| fields_size(fields))?,
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
            Wire::Offer(stream, size) => Frame::Offer { stream, size },
            Wire::Accept(stream) => Frame::Accept { stream },
            Wire::Part(stream) => Frame::Part { stream },
            Wire::Load(load) => Frame::Load(load),
            Wire::Ping => Frame::Ping,
            Wire::Pong => Frame::Pong,
            Wire::AskState => Frame::AskState,
            Wire::State(entries, revision) => Frame::State { entries, revision },
            Wire::Record(vm, entry) => Frame::Record { vm, entry },
            Wire::Recorded(announcement) => Frame::Recorded(announcement),
            Wire::QuotaAsk(organisation, ask) => Frame::QuotaAsk {
                organisation,
                ask: ask.into(),
            },
            Wire::QuotaGrant(organisation, grant) => Frame::QuotaGrant {
                organisation,
                grant: grant.into(),
            },
        })
    }
}
