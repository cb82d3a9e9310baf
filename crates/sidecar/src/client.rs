//! HTTP connections of clients, and of the local endpoint for its nested calls.
//!
//! Requests are read while earlier ones are still being served, and responses are written in the
//! order of the requests. When the client disconnects, the calls of its connection are dropped,
//! which cancels them at their gates.

use std::rc::Rc;
use std::time::{Duration, Instant};

use adapter::request;
use adapter::response::{self, CallerResponse};
use bytes::BytesMut;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use futures::stream::{FuturesOrdered, StreamExt};
use log::{info, warn};
use policy::routing::Limits;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use transport::http1::{DecodeError, Decoder, Framing, Message, MessageKind};

use crate::daemon::{Daemon, OpenRequest};
use crate::forward::{self, Response};
use crate::listener::accept;

#[cfg(test)]
mod tests;

/// Requests of one connection that are served concurrently.
const MAX_PIPELINED_REQUESTS: usize = 64;

/// Bytes of further requests that are buffered while [`MAX_PIPELINED_REQUESTS`] are being served.
const MAX_READ_AHEAD_BYTES: usize = 256 << 10;

/// Largest body of a request. Frames between daemons bound it too, and their head needs some room.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Largest total of request bodies that are being received or served. The smallest VMs have 160 MB
/// for the daemon, and each body is copied when it is sent on.
const MAX_HELD_BYTES: usize = 32 << 20;

/// Size up to which a body is accepted whatever else is held.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// Time within which a client must accept the bytes of its responses. Connections of clients have no
/// shorter limit on bytes that they have not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// Silence after which a connection is no longer read after its last response. Unread bytes would
/// reset it before the client has received that response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for which a connection is read after its last response: enough for the rest of an
/// upload that was refused.
const MAX_LINGER_TIME: Duration = Duration::from_secs(5);

/// Bytes that are read at once and dropped after the last response.
const LINGER_BUFFER_BYTES: usize = 64 << 10;

/// Limits that apply until a configuration is known.
const DEFAULT_LIMITS: Limits = Limits {
    head_bytes: 16 << 10,
    body_bytes: 1 << 20,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};

/// Accepts connections as long as the daemon runs.
pub async fn listen(daemon: Rc<Daemon>, listener: TcpListener) {
    accept(listener, "calls", |stream| {
        tokio::task::spawn_local(serve(Rc::clone(&daemon), stream));
    })
    .await;
}

/// A response that has not been written yet.
struct Served {
    id: Option<String>,
    /// The response, or the status with which an invalid request is rejected.
    response: Result<Response, u16>,
    /// Keeps a stopping daemon from exiting before the response is written.
    open: OpenRequest,
}

type Pending = FuturesOrdered<LocalBoxFuture<'static, Served>>;

async fn serve(daemon: Rc<Daemon>, mut stream: TcpStream) {
    if let Err(error) = transport::socket::tune_client(&stream) {
        warn!(event = "socket_options_refused", error:% = error; "");
        return;
    }
    let (mut reader, mut writer) = stream.split();
    let mut connection = Connection::new(daemon);
    if connection.run(&mut reader, &mut writer).await {
        // The last response is written; requests that still arrive are not served.
        drop(writer.shutdown().await);
        let mut rest = BytesMut::with_capacity(LINGER_BUFFER_BYTES);
        let drain = async {
            let mut read = timeout(LINGER_TIMEOUT, reader.read_buf(&mut rest)).await;
            while matches!(read, Ok(Ok(count)) if count > 0) {
                rest.clear();
                read = timeout(LINGER_TIMEOUT, reader.read_buf(&mut rest)).await;
            }
        };
        drop(timeout(MAX_LINGER_TIME, drain).await);
    }
}

/// Bytes of a request body in the total of the daemon, given back when dropped.
struct HeldBody {
    daemon: Rc<Daemon>,
    bytes: usize,
}

impl HeldBody {
    fn new(daemon: Rc<Daemon>) -> Self {
        Self { daemon, bytes: 0 }
    }

    /// Sets the size of the body; returns whether it can be held.
    fn set(&mut self, bytes: usize) -> bool {
        let total = &self.daemon.held_bodies;
        total.set(total.get() - self.bytes + bytes);
        self.bytes = bytes;
        bytes <= SMALL_BODY_BYTES || (bytes <= MAX_BODY_BYTES && total.get() <= MAX_HELD_BYTES)
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.set(0);
    }
}

struct Connection {
    daemon: Rc<Daemon>,
    /// Body that is being received.
    held: HeldBody,
    limits: Limits,
    decoder: Decoder,
    buffer: BytesMut,
    pending: Pending,
    /// Whether the last request of the connection has been read.
    last: bool,
    /// Part of a request that is being received.
    stage: Stage,
    /// When the wait for the client began.
    waiting_since: Instant,
}

/// Part of a request that a connection is receiving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No byte of a request has arrived.
    Idle,
    /// The head has arrived in part.
    Head,
    /// The body has arrived in part.
    Body,
}

impl Connection {
    fn new(daemon: Rc<Daemon>) -> Self {
        let limits = DEFAULT_LIMITS;
        let waiting_since = daemon.clock.now();
        Self {
            held: HeldBody::new(Rc::clone(&daemon)),
            daemon,
            limits,
            decoder: Decoder::new(MessageKind::Request, limits.head_bytes, limits.body_bytes),
            buffer: BytesMut::new(),
            pending: Pending::new(),
            last: false,
            stage: Stage::Idle,
            waiting_since,
        }
    }

    /// Serves requests; returns whether the client is still connected at the end.
    async fn run(&mut self, reader: &mut ReadHalf<'_>, writer: &mut WriteHalf<'_>) -> bool {
        loop {
            self.start_requests();
            self.update_stage();
            if self.pending.is_empty() && self.last {
                return true;
            }
            let full = (self.last || self.pending.len() >= MAX_PIPELINED_REQUESTS)
                && self.buffer.len() >= MAX_READ_AHEAD_BYTES;
            let limit = self.read_timeout();
            tokio::select! {
                biased;
                Some(served) = self.pending.next() => {
                    match self.write(served, writer).await {
                        None => return false,
                        Some(true) => return true,
                        Some(false) => {}
                    }
                }
                read = reader.read_buf(&mut self.buffer), if !full => {
                    if !matches!(read, Ok(count) if count > 0) {
                        return false;
                    }
                    if self.stage == Stage::Body {
                        self.waiting_since = self.daemon.clock.now();
                    }
                }
                () = tokio::time::sleep_until((self.waiting_since + limit).into()), if self.pending.is_empty() => {
                    return self.expire(writer).await;
                }
            }
        }
    }

    /// Returns the time that the client has to send a whole head, or the next bytes of a body, or
    /// to begin a request.
    fn read_timeout(&self) -> Duration {
        match self.stage {
            Stage::Idle => self.limits.idle_time,
            Stage::Head | Stage::Body => self.limits.head_time,
        }
    }

    /// Updates the stage from what has been decoded, and restarts the wait when it changes. Bytes
    /// that do not complete a head do not restart it, so that a client cannot hold a connection by
    /// sending a head, or empty lines, without end.
    fn update_stage(&mut self) {
        let stage = if self.decoder.pending().is_some() {
            Stage::Body
        } else if self.buffer.is_empty() {
            Stage::Idle
        } else {
            Stage::Head
        };
        if stage != self.stage {
            self.stage = stage;
            self.waiting_since = self.daemon.clock.now();
        }
    }

    /// Ends a connection that was idle for too long; returns whether the client is still connected.
    /// A request that has arrived only in part gets status 408.
    async fn expire(&mut self, writer: &mut WriteHalf<'_>) -> bool {
        if self.stage != Stage::Idle {
            let served = Served {
                id: None,
                response: Err(408),
                open: OpenRequest::new(Rc::clone(&self.daemon)),
            };
            self.last = true;
            return self.write(served, writer).await.is_some();
        }
        true
    }

    /// Starts serving the requests that have arrived completely.
    fn start_requests(&mut self) {
        while !self.last && self.pending.len() < MAX_PIPELINED_REQUESTS && !self.buffer.is_empty() {
            self.update_limits();
            match self.decoder.take(&mut self.buffer) {
                Ok(None) => {
                    let size = self.pending_body();
                    if !self.held.set(size) {
                        self.refuse_body();
                    }
                    return;
                }
                Ok(Some(message)) => {
                    let mut held = HeldBody::new(Rc::clone(&self.daemon));
                    std::mem::swap(&mut held, &mut self.held);
                    if held.set(message.body.len()) {
                        self.last = message.head.close;
                        self.start(message, held);
                    } else {
                        self.refuse_body();
                    }
                }
                Err(malformed) => {
                    self.last = true;
                    let response = Err(status(malformed));
                    let served = Served {
                        id: None,
                        response,
                        open: OpenRequest::new(Rc::clone(&self.daemon)),
                    };
                    self.pending.push_back(async { served }.boxed_local());
                }
            }
        }
    }

    /// Returns the size of the body that is being received: the stated one, or what has arrived.
    fn pending_body(&self) -> usize {
        match self.decoder.pending().map(|head| head.framing) {
            Some(Framing::Length(length)) => length,
            Some(_) => self.decoder.held_bytes() + self.buffer.len(),
            None => 0,
        }
    }

    /// Refuses a request whose body cannot be held. The rest of it is not read, so the connection
    /// ends.
    fn refuse_body(&mut self) {
        self.last = true;
        let served = Served {
            id: None,
            response: Ok(forward::refuse_body(&self.daemon, self.held.bytes)),
            open: OpenRequest::new(Rc::clone(&self.daemon)),
        };
        self.pending.push_back(async { served }.boxed_local());
    }

    /// Applies the limits of the configuration in force.
    fn update_limits(&mut self) {
        let active = self.daemon.configuration();
        if let Some(limits) = active.map(|active| active.limits)
            && limits != self.limits
        {
            self.limits = limits;
            self.decoder
                .set_limits(limits.head_bytes, limits.body_bytes);
        }
    }

    fn start(&mut self, message: Message, held: HeldBody) {
        self.waiting_since = self.daemon.clock.now();
        let daemon = Rc::clone(&self.daemon);
        let open = OpenRequest::new(Rc::clone(&daemon));
        let serve = async move {
            let _held = held;
            match request::decode(&message) {
                Ok(request) => {
                    let id = Some(request.id.clone());
                    let response = Ok(forward::serve(&daemon, request).await);
                    Served { id, response, open }
                }
                Err(invalid) => {
                    if daemon
                        .log_limiter
                        .allows(daemon.clock.now(), "call_invalid")
                    {
                        info!(event = "call_invalid", reason:% = invalid, target = message.head.target(); "");
                    }
                    Served {
                        id: None,
                        response: Err(400),
                        open,
                    }
                }
            }
        };
        self.pending.push_back(serve.boxed_local());
    }

    /// Writes a response and those that are ready after it; returns whether the last one closes the
    /// connection, or `None` when the client has disconnected.
    async fn write(&mut self, served: Served, writer: &mut WriteHalf<'_>) -> Option<bool> {
        let mut bytes = Vec::with_capacity(1_024);
        let mut closes = self.encode(&served, &mut bytes);
        // Only the counts are kept while the bytes are written; the bodies have been copied.
        let mut open = vec![served.open];
        while !closes {
            let Some(Some(next)) = self.pending.next().now_or_never() else {
                break;
            };
            closes = self.encode(&next, &mut bytes);
            open.push(next.open);
        }
        let written = timeout(WRITE_TIMEOUT, writer.write_all(&bytes)).await;
        self.waiting_since = self.daemon.clock.now();
        matches!(written, Ok(Ok(()))).then_some(closes)
    }

    /// Appends a response; returns whether it closes the connection.
    fn encode(&self, served: &Served, bytes: &mut Vec<u8>) -> bool {
        // Clients treat requests after a closing response as not read, so only the last response
        // may close the connection.
        let idle = self.pending.is_empty() && self.buffer.is_empty();
        let close = idle && (self.last || self.daemon.is_stopping());
        let mut caller_response = CallerResponse {
            status: 500,
            id: served.id.as_deref(),
            fields: &[],
            signature: &[],
            length: 0,
            retry_after: None,
            close,
        };
        match &served.response {
            Ok(Response::Endpoint {
                status,
                fields,
                signature,
                body,
            }) => {
                caller_response.status = *status;
                caller_response.fields = fields;
                caller_response.signature = signature;
                caller_response.length = body.len();
                response::encode(&caller_response, bytes);
                bytes.extend_from_slice(body);
            }
            Ok(Response::Refused {
                refusal,
                retry_after,
            }) => {
                caller_response.status = refusal.status();
                caller_response.retry_after = *retry_after;
                response::encode(&caller_response, bytes);
            }
            Err(status) => {
                caller_response.status = *status;
                response::encode(&caller_response, bytes);
            }
        }
        close
    }
}

/// Returns the status with which a malformed request is rejected.
fn status(malformed: DecodeError) -> u16 {
    match malformed {
        DecodeError::Head | DecodeError::Framing => 400,
        DecodeError::HeadTooLarge => 431,
        DecodeError::BodyTooLarge => 413,
    }
}
