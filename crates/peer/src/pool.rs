//! Connections to other daemons.
//!
//! Many calls share an HTTP/2 connection, so an unresponsive one would stall them all. A connection
//! with open calls is therefore pinged. If the ping is not answered, the connection is closed and
//! its calls fail at once, each still within its own deadline. New connections to a peer are
//! rate-limited, so that the failure of a network switch does not cause a storm of them.

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

/// Time without received frames after which a connection with open calls is pinged.
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// Time within which a ping must be answered.
const PING_TIMEOUT: Duration = Duration::from_millis(250);
/// Time within which a connection must open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Age after which a connection takes no new calls.
const MAX_CONNECTION_AGE: Duration = Duration::from_mins(10);
/// Random fraction of the age limit, so that connections do not end together.
const AGE_JITTER_FRACTION: f64 = 0.2;
/// Shortest time between two attempts to connect to one peer.
const MIN_CONNECT_INTERVAL: Duration = Duration::from_millis(50);
/// Idle time after which a connection is replaced, because a device on the path may have dropped
/// its state.
const MAX_IDLE_TIME: Duration = Duration::from_secs(30);
/// Upper bound on the time of a control RPC; its client may set a shorter timeout.
const CONTROL_RPC_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of independently locked parts of the pool.
const SHARD_COUNT: usize = 16;

/// Why a call to a peer failed.
#[derive(Debug)]
pub enum CallError {
    /// No connection could be opened; no byte of the call was sent.
    Connect(std::io::Error),
    /// The last attempt to connect to this peer is too recent; no byte of the call was sent.
    ConnectLimited,
    /// The connection was closed before the call was written; no byte of the call was sent.
    Closed,
    /// The connection failed after bytes of the call were sent.
    Lost(hyper::Error),
    /// No response arrived in time.
    Timeout,
}

impl CallError {
    /// Returns whether the peer certainly received nothing of the call.
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
                f.write_str("connecting to the peer was tried just now: choose another endpoint")
            }
            Self::Timeout => f.write_str("the peer did not respond in time: try again later"),
            Self::Closed => f.write_str("the peer closed the connection: retry the call"),
            Self::Lost(error) => write!(
                f,
                "the connection to the peer failed ({error}): retry the call with its ticket"
            ),
        }
    }
}

impl std::error::Error for CallError {}

#[derive(Clone, Debug)]
struct Connection {
    id: u64,
    sender: SendRequest<Body>,
    expires: Instant,
    last_used: Instant,
}

#[derive(Debug, Default)]
struct PeerState {
    connection: Option<Connection>,
    /// Id of the newest connection.
    last: u64,
    last_attempt: Option<Instant>,
}

type Shard = Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<PeerState>>>>;

/// Pool of the connections to all peers.
#[derive(Debug)]
pub struct Pool {
    clock: Arc<dyn Clock>,
    shards: [Shard; SHARD_COUNT],
}

impl Pool {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            shards: std::array::from_fn(|_| Shard::default()),
        }
    }

    /// Sends a request to a peer and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the peer may have received part of the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let (id, mut sender) = self.sender(address).await?;
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
            // The peer responds before the deadline; without a response the connection is suspect.
            Err(_) => CallError::Timeout,
        };
        self.retire(address, id).await;
        Err(error)
    }

    /// Removes a connection from the pool unless a newer one has replaced it. Its open calls go on.
    async fn retire(&self, address: SocketAddr, id: u64) {
        let peer = self.peer(address);
        let mut peer = peer.lock().await;
        if peer
            .connection
            .as_ref()
            .is_some_and(|current| current.id == id)
        {
            peer.connection = None;
        }
    }

    /// Removes the peers for which `keep` returns false.
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
        let shard = &self.shards[usize::from(address.port()) % SHARD_COUNT];
        let mut peers = shard.lock().expect("pool lock is never poisoned");
        Arc::clone(peers.entry(address).or_default())
    }

    async fn sender(&self, address: SocketAddr) -> Result<(u64, SendRequest<Body>), CallError> {
        let peer = self.peer(address);
        let mut peer = peer.lock().await;
        let now = self.clock.now();
        if let Some(connection) = &mut peer.connection {
            let idle = now.saturating_duration_since(connection.last_used);
            if !connection.sender.is_closed() && now < connection.expires && idle < MAX_IDLE_TIME {
                connection.last_used = now;
                return Ok((connection.id, connection.sender.clone()));
            }
        }
        let recent = peer
            .last_attempt
            .is_some_and(|at| now < at + MIN_CONNECT_INTERVAL);
        if recent {
            return Err(CallError::ConnectLimited);
        }
        peer.last_attempt = Some(now);
        let sender = connect(address).await?;
        let age =
            MAX_CONNECTION_AGE.mul_f64(1.0 - AGE_JITTER_FRACTION * rand::rng().random::<f64>());
        peer.last += 1;
        let id = peer.last;
        let expires = now + age;
        peer.connection = Some(Connection {
            id,
            sender: sender.clone(),
            expires,
            last_used: now,
        });
        Ok((id, sender))
    }
}

/// Channel for control RPCs to one peer over the connections of a pool.
#[derive(Clone, Debug)]
pub struct PoolChannel {
    pool: Arc<Pool>,
    address: SocketAddr,
}

impl PoolChannel {
    /// Creates a channel to one peer.
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
            Ok(pool.send(address, request, CONTROL_RPC_TIMEOUT).await?)
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
