//! Connections of clients and of the endpoint as a caller.
//!
//! Requests are read while earlier ones are still served, and their answers are written in order.
//! When the client leaves, the calls of its connection are dropped, which cancels them at their
//! gates.

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
use transport::http1::{DecodeError, Decoder, Message, MessageKind};

use crate::daemon::Daemon;
use crate::forward::{self, Response};
use crate::listener::accept;

#[cfg(test)]
mod tests;

/// Requests of one connection that are served at once.
const MAX_PIPELINED: usize = 64;

/// Bytes of later requests that are read while the connection has as many as it may have.
const MAX_AHEAD: usize = 256 << 10;

/// Time in which a client must take an answer.
const WRITE_LIMIT: Duration = Duration::from_secs(20);

/// Time for which a closed connection is still read, so that unread bytes do not reset it before the
/// client has the last answer.
const LINGER: Duration = Duration::from_millis(500);

/// Bounds before a configuration is known.
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

/// A request's answer before it is written.
struct Served {
    id: Option<String>,
    reaction: Result<Response, u16>,
}

type Pending = FuturesOrdered<LocalBoxFuture<'static, Served>>;

async fn serve(daemon: Rc<Daemon>, mut stream: TcpStream) {
    if let Err(error) = transport::socket::tune(&stream) {
        warn!(event = "socket_options_refused", error:% = error; "");
        return;
    }
    let (mut reader, mut writer) = stream.split();
    let mut connection = Connection::new(daemon);
    if connection.run(&mut reader, &mut writer).await {
        // The client has its last answer; what it still sends is not served.
        drop(writer.shutdown().await);
        let mut rest = BytesMut::new();
        let drain = async {
            while matches!(reader.read_buf(&mut rest).await, Ok(count) if count > 0) {
                rest.clear();
            }
        };
        drop(timeout(LINGER, drain).await);
    }
}

struct Connection {
    daemon: Rc<Daemon>,
    limits: Limits,
    decoder: Decoder,
    buffer: BytesMut,
    pending: Pending,
    /// Whether no further request is read.
    last: bool,
    /// Since when nothing was read or written.
    quiet: Instant,
}

impl Connection {
    fn new(daemon: Rc<Daemon>) -> Self {
        let limits = DEFAULT_LIMITS;
        let quiet = daemon.clock.now();
        Self {
            daemon,
            limits,
            decoder: Decoder::new(MessageKind::Request, limits.head_bytes, limits.body_bytes),
            buffer: BytesMut::new(),
            pending: Pending::new(),
            last: false,
            quiet,
        }
    }

    /// Serves requests; returns whether the client is still there at the end.
    async fn run(&mut self, reader: &mut ReadHalf<'_>, writer: &mut WriteHalf<'_>) -> bool {
        loop {
            self.take();
            if self.pending.is_empty() && self.last {
                return true;
            }
            let full = self.pending.len() >= MAX_PIPELINED && self.buffer.len() >= MAX_AHEAD;
            let wait = self.wait();
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
                    self.quiet = self.daemon.clock.now();
                }
                () = tokio::time::sleep_until((self.quiet + wait).into()), if self.pending.is_empty() => {
                    return self.expire(writer).await;
                }
            }
        }
    }

    /// Time for which the connection may stay as it is.
    fn wait(&self) -> Duration {
        if self.has_begun() {
            self.limits.head_time
        } else {
            self.limits.idle_time
        }
    }

    /// Whether a part of a request has arrived.
    fn has_begun(&self) -> bool {
        self.decoder.pending().is_some() || !self.buffer.is_empty()
    }

    /// Ends a connection that was quiet for too long.
    async fn expire(&mut self, writer: &mut WriteHalf<'_>) -> bool {
        if self.has_begun() {
            let served = Served {
                id: None,
                reaction: Err(408),
            };
            self.last = true;
            return self.write(served, writer).await.is_some();
        }
        true
    }

    /// Starts the requests that are whole.
    fn take(&mut self) {
        while !self.last && self.pending.len() < MAX_PIPELINED && !self.buffer.is_empty() {
            self.follow_limits();
            match self.decoder.take(&mut self.buffer) {
                Ok(None) => return,
                Ok(Some(message)) => {
                    self.last = message.head.close;
                    self.start(message);
                }
                Err(malformed) => {
                    self.last = true;
                    let reaction = Err(status(malformed));
                    let served = Served { id: None, reaction };
                    self.pending.push_back(async { served }.boxed_local());
                }
            }
        }
    }

    fn follow_limits(&mut self) {
        let adopted = self.daemon.configuration();
        if let Some(limits) = adopted.map(|adopted| adopted.limits)
            && limits != self.limits
        {
            self.limits = limits;
            self.decoder
                .set_limits(limits.head_bytes, limits.body_bytes);
        }
    }

    fn start(&mut self, message: Message) {
        let daemon = Rc::clone(&self.daemon);
        let serve = async move {
            match request::decode(&message) {
                Ok(request) => {
                    let id = Some(request.id.clone());
                    let reaction = Ok(forward::serve(&daemon, request).await);
                    Served { id, reaction }
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
                        reaction: Err(400),
                    }
                }
            }
        };
        self.pending.push_back(serve.boxed_local());
    }

    /// Writes an answer; returns whether it closes the connection, or `None` when the client is gone.
    async fn write(&mut self, served: Served, writer: &mut WriteHalf<'_>) -> Option<bool> {
        let mut bytes = Vec::with_capacity(1_024);
        let mut closes = self.encode(&served, &mut bytes);
        while !closes {
            let Some(Some(next)) = self.pending.next().now_or_never() else {
                break;
            };
            closes = self.encode(&next, &mut bytes);
        }
        let written = timeout(WRITE_LIMIT, writer.write_all(&bytes)).await;
        self.quiet = self.daemon.clock.now();
        matches!(written, Ok(Ok(()))).then_some(closes)
    }

    /// Appends an answer; returns whether it closes the connection.
    fn encode(&self, served: &Served, bytes: &mut Vec<u8>) -> bool {
        // Requests behind a closing answer count as unread, so only the last one may close.
        let alone = self.pending.is_empty() && self.buffer.is_empty();
        let close = alone && (self.last || self.daemon.is_stopping());
        let mut reply = CallerResponse {
            status: 500,
            id: served.id.as_deref(),
            fields: &[],
            signature: &[],
            length: 0,
            retry_after: None,
            close,
        };
        match &served.reaction {
            Ok(Response::Endpoint {
                status,
                fields,
                signature,
                body,
            }) => {
                reply.status = *status;
                reply.fields = fields;
                reply.signature = signature;
                reply.length = body.len();
                response::encode(&reply, bytes);
                bytes.extend_from_slice(body);
            }
            Ok(Response::Refused {
                refusal,
                retry_after,
            }) => {
                reply.status = refusal.status();
                reply.retry_after = *retry_after;
                response::encode(&reply, bytes);
            }
            Err(status) => {
                reply.status = *status;
                response::encode(&reply, bytes);
            }
        }
        close
    }
}

fn status(malformed: DecodeError) -> u16 {
    match malformed {
        DecodeError::Head | DecodeError::Framing => 400,
        DecodeError::HeadTooLarge => 431,
        DecodeError::BodyTooLarge => 413,
    }
}
