//! Connections to the endpoint beside this daemon.
//!
//! An answer is used only when it is whole and belongs to its request. A connection is kept only
//! when nothing unexpected came over it; an extra answer that arrives late is recognised by its id.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use adapter::response::{self, Response};
use bytes::{Bytes, BytesMut};
use policy::clock::Clock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::time::timeout;
use transport::http1::{Decoder, Framing, Message, MessageKind};

use crate::frame::{NotRun, Unknown};

/// Time for a connection to the endpoint on the same VM.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Idle time after which a connection is not used for a call that must not run twice: the endpoint
/// may have forgotten it, and a reset would leave the outcome unknown.
const FRESH: Duration = Duration::from_millis(400);

/// Idle time of a connection when the endpoint states none.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);

/// Margin before the stated idle time, since the endpoint's clock started earlier.
const KEEP_MARGIN: Duration = Duration::from_secs(1);

/// Bytes of an answer's head.
const MAX_HEAD: usize = 64 << 10;

/// Bytes of an answer's body.
const MAX_BODY: usize = 64 << 20;

/// Answers to other requests that are skipped before the connection is given up.
const MAX_STRAY: usize = 2;

/// Connections kept.
const MAX_IDLE: usize = 256;

/// What came of a request.
#[derive(Debug)]
pub enum Exchange {
    /// A whole answer, with its body.
    Answered(Response, Bytes),
    /// No byte was sent.
    NotSent(NotRun),
    /// The request was sent and has no usable answer.
    Failed(Unknown),
}

/// A request as bytes.
#[derive(Debug)]
pub struct Outgoing<'a> {
    /// Id that the answer must carry.
    pub id: &'a str,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

#[derive(Debug)]
struct Idle {
    stream: TcpStream,
    since: Instant,
    keep: Duration,
}

/// Pool of connections to one endpoint.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: RefCell<Vec<Idle>>,
}

impl Pool {
    /// An empty pool.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::new(Vec::new()),
        }
    }

    /// Sends a request and reads its answer.
    ///
    /// `build` makes the bytes right before they are sent, or says why the request must not start
    /// any more.
    pub async fn exchange(
        &self,
        clock: &dyn Clock,
        outgoing: &Outgoing<'_>,
        build: impl FnOnce() -> Result<Vec<u8>, NotRun>,
    ) -> Exchange {
        let Some(mut stream) = self.connection(clock, outgoing.idempotent).await else {
            return Exchange::NotSent(NotRun::Unreachable);
        };
        let bytes = match build() {
            Ok(bytes) => bytes,
            Err(reason) => {
                self.keep(clock, stream, DEFAULT_KEEP);
                return Exchange::NotSent(reason);
            }
        };
        let received = transfer(&mut stream, &bytes, outgoing.id).await;
        match received {
            Err(reason) => Exchange::Failed(reason),
            Ok(received) => {
                let answer = response::decode(&received.message);
                if received.clean && !answer.close {
                    let keep = answer.keep_alive.unwrap_or(DEFAULT_KEEP);
                    self.keep(clock, stream, keep.saturating_sub(KEEP_MARGIN));
                }
                Exchange::Answered(answer, received.message.body)
            }
        }
    }

    /// Drops all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    fn keep(&self, clock: &dyn Clock, stream: TcpStream, keep: Duration) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE && !keep.is_zero() {
            idle.push(Idle {
                stream,
                since: clock.now(),
                keep,
            });
        }
    }

    async fn connection(&self, clock: &dyn Clock, idempotent: bool) -> Option<TcpStream> {
        if let Some(stream) = self.idle_connection(clock.now(), idempotent) {
            return Some(stream);
        }
        let stream = timeout(CONNECT_LIMIT, TcpStream::connect(self.address))
            .await
            .ok()?
            .ok()?;
        transport::socket::tune(&stream).ok()?;
        Some(stream)
    }

    fn idle_connection(&self, now: Instant, idempotent: bool) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|kept| now.saturating_duration_since(kept.since) < kept.keep);
        // The connection used last is the least likely to have been forgotten.
        while let Some(kept) = idle.last() {
            if !idempotent && now.saturating_duration_since(kept.since) >= FRESH {
                return None;
            }
            let kept = idle.pop()?;
            if is_silent(&kept.stream) {
                return Some(kept.stream);
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

struct Received {
    message: Message,
    /// Whether the connection carried just the request and its answer.
    clean: bool,
}

async fn transfer(stream: &mut TcpStream, bytes: &[u8], id: &str) -> Result<Received, Unknown> {
    let (mut reader, mut writer) = stream.split();
    let mut sent = false;
    let sending = writer.write_all(bytes);
    let receiving = receive(&mut reader, id);
    tokio::pin!(sending, receiving);
    loop {
        tokio::select! {
            biased;
            result = &mut sending, if !sent => {
                result.map_err(|_| Unknown::Disconnected)?;
                sent = true;
            }
            // An endpoint may answer before it has read the whole request. The rest of the body is
            // then never sent, so the connection cannot be used again.
            received = &mut receiving => {
                let mut received = received?;
                received.clean &= sent;
                return Ok(received);
            }
        }
    }
}

async fn receive(reader: &mut ReadHalf<'_>, id: &str) -> Result<Received, Unknown> {
    let mut decoder = Decoder::new(MessageKind::Response, MAX_HEAD, MAX_BODY);
    let mut buffer = BytesMut::with_capacity(8 << 10);
    let mut stray = 0;
    loop {
        while let Some(message) = decoder.take(&mut buffer).map_err(|_| Unknown::Damaged)? {
            if message.head.status < 200 {
                continue;
            }
            if response::matches_request(&message.head, id) {
                let clean = buffer.is_empty() && stray == 0;
                return Ok(Received { message, clean });
            }
            stray += 1;
            if stray > MAX_STRAY {
                return Err(Unknown::Damaged);
            }
        }
        match reader.read_buf(&mut buffer).await {
            Ok(0) => {
                let message = decoder.handle_close().ok_or(Unknown::Disconnected)?;
                let whole = message.head.framing == Framing::UntilClose;
                return if whole && response::matches_request(&message.head, id) {
                    Ok(Received {
                        message,
                        clean: false,
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
