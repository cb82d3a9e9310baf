//! Connections to other daemons.
//!
//! HTTP/2 connections are shared by many calls, so one that went silent would hold them all. A
//! connection with open calls is pinged; one that does not answer is closed and its calls fail at
//! once, each still within its own deadline. New connections to a peer are spaced, so that the loss
//! of a switch does not start a storm of them.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use policy::clock::Clock;
use rand::Rng;
use tokio::net::TcpStream;
use tower::Service;
use transport::{Body, BoxError};

/// Silence on a connection with open calls after which it is pinged.
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// Time in which a ping must be answered.
const PING_TIMEOUT: Duration = Duration::from_millis(250);
/// Time in which a connection must open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Age after which a connection takes no new calls.
const MAX_AGE: Duration = Duration::from_mins(10);
/// Part of the age limit that is random, so that connections do not end together.
const AGE_JITTER: f64 = 0.2;
/// Least time between two new connections to one peer.
const CONNECT_SPACING: Duration = Duration::from_millis(50);
/// Idle time after which a connection is not trusted without a fresh one: something between the
/// two ends may have lost track of it.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Time in which a control call must be answered; its caller may wait for less.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(10);
/// Independently locked parts of the pool.
const SHARDS: usize = 16;

/// Why a call to a peer failed.
#[derive(Debug)]
pub enum CallError {
    /// No connection could be opened: no byte of the call left.
    Connect(std::io::Error),
    /// Too many new connections to this peer: no byte of the call left.
    ConnectLimited,
    /// The connection was closed before the call was written: no byte of the call left.
    Closed,
    /// The connection failed after bytes left.
    Lost(hyper::Error),
    /// No answer came in time.
    Timeout,
}

impl CallError {
    /// Whether it is certain that the peer got nothing of the call.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        match self {
            Self::Connect(_) | Self::ConnectLimited | Self::Closed => true,
            Self::Lost(_) | Self::Timeout => false,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => {
                write!(
                    f,
                    "cannot connect to the peer ({error}): choose another endpoint"
                )
            }
            Self::ConnectLimited => {
                f.write_str("the peer was tried just now: choose another endpoint")
            }
            Self::Timeout => f.write_str("the peer did not answer in time: try again later"),
            Self::Closed => f.write_str("the peer closed the connection: send the call again"),
            Self::Lost(error) => write!(
                f,
                "the connection to the peer failed ({error}): send the call again with its ticket"
            ),
        }
    }
}

impl std::error::Error for CallError {}

#[derive(Clone, Debug)]
struct Connection {
    number: u64,
    sender: SendRequest<Body>,
    expires: Instant,
    used: Instant,
}

#[derive(Debug, Default)]
struct PeerState {
    connection: Option<Connection>,
    /// Number of the last connection.
    last: u64,
    attempted: Option<Instant>,
}

type Shard = Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<PeerState>>>>;

/// Connections to all peers.
#[derive(Debug)]
pub struct Pool {
    clock: Arc<dyn Clock>,
    shards: [Shard; SHARDS],
}

impl Pool {
    /// A pool without connections.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            shards: std::array::from_fn(|_| Shard::default()),
        }
    }

    /// Sends a request to a peer and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Tells whether the peer may have got a part of the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let (number, mut sender) = self.sender(address).await?;
        let sent = tokio::time::timeout(timeout, sender.try_send_request(request)).await;
        let error = match sent {
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(mut error)) => {
                let unsent = error.take_message().is_some();
                if unsent {
                    CallError::Closed
                } else {
                    CallError::Lost(error.into_error())
                }
            }
            // The peer answers before the deadline, so a connection that did not is suspect.
            Err(_) => CallError::Timeout,
        };
        self.retire(address, number).await;
        Err(error)
    }

    /// Takes a connection out of use, unless another one has replaced it; its open calls go on.
    async fn retire(&self, address: SocketAddr, number: u64) {
        let peer = self.peer(address);
        let mut peer = peer.lock().await;
        if peer
            .connection
            .as_ref()
            .is_some_and(|held| held.number == number)
        {
            peer.connection = None;
        }
    }

    /// Forgets the peers that are not in use any more.
    ///
    /// # Panics
    ///
    /// Panics if a thread panicked while it held a shard.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        for shard in &self.shards {
            shard
                .lock()
                .expect("pool lock is never poisoned")
                .retain(|address, _| keep(*address));
        }
    }

    fn peer(&self, address: SocketAddr) -> Arc<tokio::sync::Mutex<PeerState>> {
        let shard = &self.shards[usize::from(address.port()) % SHARDS];
        let mut peers = shard.lock().expect("pool lock is never poisoned");
        Arc::clone(peers.entry(address).or_default())
    }

    async fn sender(&self, address: SocketAddr) -> Result<(u64, SendRequest<Body>), CallError> {
        let peer = self.peer(address);
        let mut peer = peer.lock().await;
        let now = self.clock.now();
        if let Some(connection) = &mut peer.connection {
            let idle = now.saturating_duration_since(connection.used);
            if !connection.sender.is_closed() && now < connection.expires && idle < IDLE_LIMIT {
                connection.used = now;
                return Ok((connection.number, connection.sender.clone()));
            }
        }
        let recent = peer.attempted.is_some_and(|at| now < at + CONNECT_SPACING);
        if recent {
            return Err(CallError::ConnectLimited);
        }
        peer.attempted = Some(now);
        let sender = connect(address).await?;
        let age = MAX_AGE.mul_f64(1.0 - AGE_JITTER * rand::rng().random::<f64>());
        peer.last += 1;
        let number = peer.last;
        let expires = now + age;
        peer.connection = Some(Connection {
            number,
            sender: sender.clone(),
            expires,
            used: now,
        });
        Ok((number, sender))
    }
}

/// Connection of a pool as a channel for control calls.
#[derive(Clone, Debug)]
pub struct PoolChannel {
    pool: Arc<Pool>,
    address: SocketAddr,
}

impl PoolChannel {
    /// A channel to one peer.
    #[must_use]
    pub const fn new(pool: Arc<Pool>, address: SocketAddr) -> Self {
        Self { pool, address }
    }
}

impl Service<Request<tonic::body::Body>> for PoolChannel {
    type Response = Response<Incoming>;
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, BoxError>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<tonic::body::Body>) -> Self::Future {
        let Self { pool, address } = self.clone();
        Box::pin(async move {
            let (parts, inner) = request.into_parts();
            // Control requests are small and have no trailers.
            let bytes = inner.collect().await?.to_bytes();
            let request = Request::from_parts(parts, transport::body::full(bytes));
            Ok(pool.send(address, request, CONTROL_TIMEOUT).await?)
        })
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Body>, CallError> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| CallError::Connect(std::io::ErrorKind::TimedOut.into()))?
        .map_err(CallError::Connect)?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(false)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| CallError::Closed)?;
    tokio::spawn(connection);
    Ok(sender)
}
