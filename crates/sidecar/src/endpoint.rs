//! Connections to the local endpoint.
//!
//! A response is used only when it is complete and belongs to its request. A connection is reused
//! only when nothing unexpected came over it; a stray response that arrives late is recognised by
//! its id.
//!
//! A faulty endpoint may send bodies without a length and without an end on all its connections.
//! Beyond a small size they share a part of the memory; when that is used up, they grow one at a time
//! and the others stay unread meanwhile. So together they take little more than the largest allowed
//! body.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use adapter::response::{self, Response, RunStatus};
use bytes::{Buf, Bytes, BytesMut};
use policy::clock::Clock;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::timeout;
use transport::http1::{Decoder, Framing, Message, MessageKind};

use crate::frame::{NotRun, Unknown};
use crate::memory::{Budget, Grant, Kind, MAX_BODY_BYTES, SMALL_BODY_BYTES};

#[cfg(test)]
mod tests;

/// Time to open a connection to the endpoint, which is on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time after which a connection is not used for a call that is not idempotent: the endpoint
/// may have closed it, and a reset would leave the outcome unknown.
const NON_IDEMPOTENT_IDLE_TIMEOUT: Duration = Duration::from_millis(400);

/// Keep-alive time of a connection when the endpoint states none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Margin by which a connection is dropped before its stated keep-alive time, since the endpoint
/// started to count earlier.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// Largest head of a response.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Bytes by which the memory for a response of unknown size grows.
const GROWTH_BYTES: usize = 256 << 10;

/// Memory in which responses of unknown size grow beside each other.
const SHARED_GROWTH_BYTES: usize = 16 << 20;

/// Unit in which that memory is shared.
const GROWTH_UNIT_BYTES: usize = 64 << 10;

/// Size up to which a response takes a part of it. Larger ones would leave little to others.
const MAX_SHARED_BYTES: usize = SHARED_GROWTH_BYTES / 4;

/// Informational responses (1xx) that may precede a response.
const MAX_INFORMATIONAL_RESPONSES: usize = 16;

/// Responses to other requests that are skipped before the connection is closed.
const MAX_STRAY_RESPONSES: usize = 2;

/// Refused calls on one connection after which it is closed, since their ids must be remembered.
const MAX_REFUSED_CALLS: usize = 64;

/// Idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// Result of sending a request.
#[derive(Debug)]
pub enum Exchange {
    /// A complete response, with its body.
    Answered(Response, Bytes),
    /// No byte was sent.
    NotSent(NotRun),
    /// The request was sent, at least in part, and has no usable response.
    Failed(Unknown),
}

/// Properties of a request to send.
#[derive(Debug)]
pub struct Outgoing<'a> {
    /// Id that the response must carry.
    pub id: &'a str,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Its body.
    pub body: &'a Bytes,
}

/// An open connection.
#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    /// Whether it has carried a request before.
    reused: bool,
    /// Ids of the calls that the endpoint refused on it. A faulty endpoint may write a refusal once
    /// more, which would end the same call if it came back on this connection.
    refused: Vec<String>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    keep_alive: Duration,
}

/// Pool of connections to one endpoint.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: RefCell<Vec<Idle>>,
    /// Budget of the responses.
    budget: Arc<Budget>,
    /// Room in which its responses of unknown size grow.
    growth: Growth,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(address: SocketAddr, budget: Arc<Budget>) -> Self {
        Self {
            address,
            idle: RefCell::new(Vec::new()),
            budget,
            growth: Growth::new(),
        }
    }

    /// Sends a request and reads its response.
    ///
    /// `encode` encodes the head of the request right before it is sent, or returns why it must no longer be
    /// sent.
    pub async fn exchange(
        &self,
        clock: &dyn Clock,
        outgoing: &Outgoing<'_>,
        encode: impl FnOnce() -> Result<Vec<u8>, NotRun>,
    ) -> Exchange {
        let Some(mut connection) = self.connection(clock, outgoing).await else {
            return Exchange::NotSent(NotRun::Unreachable);
        };
        let head = match encode() {
            Ok(head) => head,
            Err(reason) => {
                connection.reused = true;
                self.keep(clock, connection, DEFAULT_KEEP_ALIVE);
                return Exchange::NotSent(reason);
            }
        };
        let grant = self.budget.grant(Kind::Response);
        let room = Room {
            grant,
            growing: Growing::new(&self.growth),
        };
        let received = transfer(&mut connection.stream, &head, outgoing, room).await;
        match received {
            Err(reason) => Exchange::Failed(reason),
            // Only an id tells a response from a late copy of an earlier one.
            Ok(received)
                if (connection.reused || received.stray > 0)
                    && !response::has_id(&received.message.head) =>
            {
                Exchange::Failed(Unknown::Damaged)
            }
            Ok(received) => {
                let response = response::decode(&received.message);
                if response.run_status != RunStatus::Ran {
                    connection.refused.push(outgoing.id.to_owned());
                }
                if received.reusable && !response.close {
                    connection.reused = true;
                    let keep_alive = response.keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE);
                    let keep_alive = keep_alive.saturating_sub(KEEP_ALIVE_MARGIN);
                    self.keep(clock, connection, keep_alive);
                }
                Exchange::Answered(response, received.message.body)
            }
        }
    }

    /// Drops all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Keeps an idle connection for reuse.
    fn keep(&self, clock: &dyn Clock, connection: Connection, keep_alive: Duration) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS
            && connection.refused.len() < MAX_REFUSED_CALLS
            && !keep_alive.is_zero()
        {
            idle.push(Idle {
                connection,
                since: clock.now(),
                keep_alive,
            });
        }
    }

    /// Returns an idle connection or opens a new one.
    async fn connection(&self, clock: &dyn Clock, outgoing: &Outgoing<'_>) -> Option<Connection> {
        if let Some(connection) = self.idle_connection(clock.now(), outgoing) {
            return Some(connection);
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .ok()?
            .ok()?;
        transport::socket::tune(&stream).ok()?;
        Some(Connection {
            stream,
            reused: false,
            refused: Vec::new(),
        })
    }

    /// Removes the most recently used connection that is fit for a request.
    fn idle_connection(&self, now: Instant, outgoing: &Outgoing<'_>) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|kept| now.saturating_duration_since(kept.since) < kept.keep_alive);
        // The endpoint is least likely to have closed the connection that was used last.
        let mut index = idle.len();
        while index > 0 {
            index -= 1;
            let kept = &idle[index];
            if !outgoing.idempotent
                && now.saturating_duration_since(kept.since) >= NON_IDEMPOTENT_IDLE_TIMEOUT
            {
                return None;
            }
            let refused = &kept.connection.refused;
            if refused.iter().any(|id| id == outgoing.id) {
                continue;
            }
            let kept = idle.remove(index);
            if is_silent(&kept.connection.stream) {
                return Some(kept.connection);
            }
        }
        None
    }
}

/// Whether an idle connection is open and has nothing to read.
fn is_silent(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    matches!(stream.try_read(&mut byte), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}

/// Room in which the responses of unknown size of one endpoint grow.
#[derive(Debug)]
struct Growth {
    /// Units of [`GROWTH_UNIT_BYTES`].
    shared: Semaphore,
    /// Permit to grow without units, to the largest allowed size.
    turn: Semaphore,
}

impl Growth {
    fn new() -> Self {
        Self {
            shared: Semaphore::new(SHARED_GROWTH_BYTES / GROWTH_UNIT_BYTES),
            turn: Semaphore::new(1),
        }
    }
}

/// Part of the room that one response has taken.
#[derive(Debug)]
struct Growing<'a> {
    growth: &'a Growth,
    /// Size that the units suffice for.
    bytes: usize,
    units: Option<SemaphorePermit<'a>>,
    turn: Option<SemaphorePermit<'a>>,
}

impl<'a> Growing<'a> {
    fn new(growth: &'a Growth) -> Self {
        Self {
            growth,
            bytes: SMALL_BODY_BYTES,
            units: None,
            turn: None,
        }
    }

    /// Waits until the response may take this much memory.
    async fn grow(&mut self, bytes: usize) {
        if bytes <= self.bytes || self.turn.is_some() {
            return;
        }
        let units = (bytes - self.bytes).div_ceil(GROWTH_UNIT_BYTES);
        // The semaphores are never closed, so that both branches match.
        tokio::select! {
            biased;
            Ok(units) = self.growth.shared.acquire_many(units as u32), if bytes <= MAX_SHARED_BYTES => {
                self.bytes = bytes;
                match &mut self.units {
                    Some(taken) => taken.merge(units),
                    None => self.units = Some(units),
                }
            }
            Ok(turn) = self.growth.turn.acquire() => self.turn = Some(turn),
        }
    }
}

/// Memory for a response.
struct Room<'a> {
    grant: Grant,
    growing: Growing<'a>,
}

struct Received {
    message: Message,
    /// Responses to other requests that came before it.
    stray: usize,
    /// Whether the connection carried nothing but the request and its response.
    reusable: bool,
}

/// Sends a request and reads its response at the same time.
async fn transfer(
    stream: &mut TcpStream,
    head: &[u8],
    outgoing: &Outgoing<'_>,
    room: Room<'_>,
) -> Result<Received, Unknown> {
    let (mut reader, mut writer) = stream.split();
    let mut sent = false;
    // The head and the body are written by one system call, without a copy of the body.
    let mut request = Buf::chain(head, Bytes::clone(outgoing.body));
    let sending = writer.write_all_buf(&mut request);
    let receiving = receive(&mut reader, outgoing.id, room);
    tokio::pin!(sending, receiving);
    loop {
        tokio::select! {
            biased;
            result = &mut sending, if !sent => {
                result.map_err(|_| Unknown::Disconnected)?;
                sent = true;
            }
            // An endpoint may respond before it has read the whole request. The rest of the body is
            // then never sent, so the connection cannot be reused.
            received = &mut receiving => {
                let mut received = received?;
                received.reusable &= sent;
                return Ok(received);
            }
        }
    }
}

/// Reads the response with an id; skips a few informational and stray responses.
async fn receive(reader: &mut ReadHalf<'_>, id: &str, room: Room<'_>) -> Result<Received, Unknown> {
    let Room {
        mut grant,
        mut growing,
    } = room;
    let mut decoder = Decoder::new(MessageKind::Response, MAX_HEAD_BYTES, MAX_BODY_BYTES);
    let mut buffer = BytesMut::with_capacity(8 << 10);
    let mut stray = 0;
    let mut informational = 0;
    loop {
        while let Some(mut message) = decoder.take(&mut buffer).map_err(|_| Unknown::Damaged)? {
            if message.head.status < 200 {
                informational += 1;
                if informational > MAX_INFORMATIONAL_RESPONSES {
                    return Err(Unknown::Damaged);
                }
                continue;
            }
            if response::matches_request(&message.head, id) {
                let reusable = buffer.is_empty() && stray == 0;
                grant.resize_when_free(message.body.len()).await;
                message.body = grant.attach(message.body);
                return Ok(Received {
                    message,
                    stray,
                    reusable,
                });
            }
            stray += 1;
            if stray > MAX_STRAY_RESPONSES {
                return Err(Unknown::Damaged);
            }
        }
        let needed = needed(&decoder, buffer.len());
        if needed > grant.largest() {
            return Err(Unknown::Damaged);
        }
        // Without room the response stays unread, until the deadline of its call.
        if has_unknown_size(&decoder) {
            growing.grow(needed).await;
        }
        grant.resize_when_free(needed).await;
        match decoder.read_from(reader, &mut buffer).await {
            Ok(0) => {
                let mut message = decoder.handle_close().ok_or(Unknown::Disconnected)?;
                let complete = message.head.framing == Framing::UntilClose;
                return if complete && response::matches_request(&message.head, id) {
                    message.body = grant.attach(message.body);
                    Ok(Received {
                        message,
                        stray,
                        reusable: false,
                    })
                } else {
                    Err(Unknown::Damaged)
                };
            }
            Ok(_) => {}
            Err(_) => return Err(Unknown::Disconnected),
        }
    }
}

/// Whether a body is being received whose size is not stated.
fn has_unknown_size(decoder: &Decoder) -> bool {
    let framing = decoder.pending().map(|head| head.framing);
    matches!(framing, Some(Framing::Chunked | Framing::UntilClose))
}

/// Returns the memory that the next bytes of a response need: for the whole body if its size is
/// stated, else for some more than has arrived.
fn needed(decoder: &Decoder, buffered: usize) -> usize {
    match decoder.pending().map(|head| head.framing) {
        Some(Framing::Length(length)) => length,
        Some(Framing::Chunked | Framing::UntilClose) => {
            let arrived = decoder.held_bytes() + buffered;
            if arrived <= SMALL_BODY_BYTES {
                arrived
            } else {
                let steps = arrived / GROWTH_BYTES + 1;
                (steps * GROWTH_BYTES).min(MAX_BODY_BYTES)
            }
        }
        Some(Framing::Empty) | None => buffered,
    }
}
