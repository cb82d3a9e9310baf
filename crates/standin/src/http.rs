//! HTTP/1.1 server with injectable connection faults.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

/// Response body.
pub type Body = UnsyncBoxBody<Bytes, ConnectionCut>;
/// Response, or a connection that is cut without one.
pub type HandlerResult = Result<Response<Body>, ConnectionCut>;

/// The connection closes without a complete response.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionCut;

impl fmt::Display for ConnectionCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection cut by an injected fault; clear the faults to stop this")
    }
}

impl std::error::Error for ConnectionCut {}

/// Delay before the next accept after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

static CONNECTION_COUNT: AtomicU64 = AtomicU64::new(0);

/// Returns the number of the most recent connection of this process.
#[must_use]
pub fn last_connection_number() -> u64 {
    CONNECTION_COUNT.load(Ordering::Relaxed)
}

/// Injected faults of one connection.
#[derive(Debug)]
pub struct Connection {
    number: u64,
    silent: AtomicBool,
    cut_on_next: AtomicBool,
}

impl Connection {
    fn open() -> Self {
        Self {
            number: CONNECTION_COUNT.fetch_add(1, Ordering::Relaxed) + 1,
            silent: AtomicBool::new(false),
            cut_on_next: AtomicBool::new(false),
        }
    }

    /// Number of the connection within this process, from 1 in the order of acceptance.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// Leaves all further requests on this connection unanswered.
    pub fn silence(&self) {
        self.silent.store(true, Ordering::Relaxed);
    }

    /// Closes the connection when its next request arrives.
    pub fn cut_on_next_request(&self) {
        self.cut_on_next.store(true, Ordering::Relaxed);
    }

    /// Applies the faults to a request.
    ///
    /// # Errors
    ///
    /// [`ConnectionCut`] if the connection is to be closed.
    pub async fn apply_faults(&self) -> Result<(), ConnectionCut> {
        if self.silent.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        if self.cut_on_next.load(Ordering::Relaxed) {
            return Err(ConnectionCut);
        }
        Ok(())
    }
}

/// Handles the requests of a [`Server`].
pub trait Handler: Send + Sync + 'static {
    /// Handles one request. The future is dropped when the caller closes the connection.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: Arc<Connection>,
    ) -> impl Future<Output = HandlerResult> + Send;
}

/// A listener and its connections. All of them close when it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `address`; port zero takes a free one.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the address is taken.
    pub async fn start<H: Handler>(address: SocketAddr, handler: Arc<H>) -> io::Result<Self> {
        Self::with_max_connections(address, handler, usize::MAX).await
    }

    /// As [`Server::start`], but closes connections beyond `max_connections` at once.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the address is taken.
    pub async fn with_max_connections<H: Handler>(
        address: SocketAddr,
        handler: Arc<H>,
        max_connections: usize,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, handler, max_connections));
        Ok(Self { address, task })
    }

    /// Address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept<H: Handler>(listener: TcpListener, handler: Arc<H>, max_connections: usize) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    // Out of file descriptors; retrying without a delay would also use up the CPU.
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                };
                if connections.len() < max_connections {
                    connections.spawn(serve_connection(stream, Arc::clone(&handler)));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    // Otherwise the last segment of a response waits for the peer's delayed acknowledgement.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let connection = Arc::new(Connection::open());
    let service =
        service_fn(move |request| Arc::clone(&handler).handle(request, Arc::clone(&connection)));
    // An injected cut and a caller that closed the connection both end up here.
    let _ended = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Returns a body of known length.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Returns a response without a body.
#[must_use]
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Returns a response with a JSON body.
///
/// # Panics
///
/// Panics if the message is not serialisable.
pub fn json(status: StatusCode, message: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(message).expect("message is serialisable");
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// How a truncated body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Truncation {
    /// The connection is closed.
    Cut,
    /// The connection stays open and sends nothing more.
    Silence,
}

/// Sends the second half of the body twice, with a matching `Content-Length`.
///
/// # Errors
///
/// [`ConnectionCut`] if the body cannot be read.
pub async fn duplicate_tail(response: Response<Body>) -> HandlerResult {
    let (parts, body) = response.into_parts();
    let bytes = body.collect().await?.to_bytes();
    let repeated = [bytes.clone(), bytes.slice(bytes.len() / 2..)].concat();
    Ok(Response::from_parts(parts, full(repeated)))
}

/// Sends the first half of the body, with the `Content-Length` of the complete one.
///
/// # Errors
///
/// [`ConnectionCut`] if the body cannot be read.
pub async fn truncate(response: Response<Body>, truncation: Truncation) -> HandlerResult {
    let (mut parts, body) = response.into_parts();
    let bytes = body.collect().await?.to_bytes();
    parts.headers.insert(CONTENT_LENGTH, bytes.len().into());
    let first_half = stream::iter([Ok(Frame::data(bytes.slice(..bytes.len() / 2)))]);
    let body = match truncation {
        Truncation::Cut => {
            // The delay lets the first half be sent before the connection closes.
            let cut = stream::once(async {
                tokio::time::sleep(Duration::from_millis(5)).await;
                Err(ConnectionCut)
            });
            StreamBody::new(first_half.chain(cut)).boxed_unsync()
        }
        Truncation::Silence => StreamBody::new(first_half.chain(stream::pending())).boxed_unsync(),
    };
    Ok(Response::from_parts(parts, body))
}
