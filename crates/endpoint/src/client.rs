//! Forwards calls to the endpoint over HTTP/1.1.
//!
//! One connection carries one call at a time, so that a response cannot be mistaken for that of
//! another call. A connection whose call failed or was cancelled is closed, which also notifies the
//! endpoint of the cancellation.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{HeaderName, HeaderValue, Request, Response};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use transport::{Body, body};

/// Id of the call; an endpoint echoes it in its response.
pub const CALL_ID: HeaderName = HeaderName::from_static("sapphiredoor-call");
/// Time within which a loopback connection must open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection is not reused, since endpoints may close idle ones.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);
/// Largest number of idle connections kept open.
const MAX_IDLE_CONNECTIONS: usize = 1024;

/// Why a call to the endpoint failed.
#[derive(Debug)]
pub enum ForwardError {
    /// No connection could be opened; no byte of the call was sent.
    Connect(std::io::Error),
    /// The connection was closed before the call was written; no byte of the call was sent.
    Closed,
    /// The connection failed after bytes of the call were sent; the outcome is unknown.
    Lost(hyper::Error),
    /// The response carried the id of another call; the outcome is unknown.
    IdMismatch,
}

impl fmt::Display for ForwardError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => {
                write!(
                    f,
                    "cannot connect to the endpoint ({error}): check that it listens"
                )
            }
            Self::Closed => f.write_str("the endpoint closed the connection: retry the call"),
            Self::Lost(error) => write!(
                f,
                "the connection to the endpoint failed ({error}): the call may have run"
            ),
            Self::IdMismatch => f.write_str(
                "the endpoint sent the response to another call: check its connection handling",
            ),
        }
    }
}

impl std::error::Error for ForwardError {}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Body>,
    since: Instant,
}

/// Pool of connections to the endpoint on this VM.
#[derive(Clone, Debug, Default)]
pub struct Client {
    idle: Arc<Mutex<VecDeque<IdleConnection>>>,
}

/// A connection that is ready for one call.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Body>,
    idle: Arc<Mutex<VecDeque<IdleConnection>>>,
}

impl Client {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns an idle connection or opens a new one. No byte of a call is sent yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint cannot be reached.
    pub async fn acquire(&self, address: SocketAddr) -> Result<Connection, ForwardError> {
        while let Some(mut idle) = self.pop() {
            if idle.since.elapsed() < MAX_IDLE_TIME && idle.sender.ready().await.is_ok() {
                return Ok(Connection {
                    sender: idle.sender,
                    idle: Arc::clone(&self.idle),
                });
            }
        }
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| ForwardError::Connect(std::io::ErrorKind::TimedOut.into()))?
            .map_err(ForwardError::Connect)?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ForwardError::Closed)?;
        tokio::spawn(connection);
        Ok(Connection {
            sender,
            idle: Arc::clone(&self.idle),
        })
    }

    /// Closes the idle connections, for instance when the endpoint's address changed.
    ///
    /// # Panics
    ///
    /// Panics if a thread panicked while it held the list.
    pub fn close_idle(&self) {
        self.idle
            .lock()
            .expect("idle list lock is never poisoned")
            .clear();
    }

    fn pop(&self) -> Option<IdleConnection> {
        self.idle
            .lock()
            .expect("idle list lock is never poisoned")
            .pop_back()
    }
}

impl Connection {
    /// Sends a call. The connection is reused if the response echoes the id of the call and its
    /// body is read to the end. An endpoint that does not echo the id gets a new connection for
    /// each call, because leftover bytes of one response could otherwise be taken for the next one.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether bytes of the call may have been sent.
    pub async fn send(
        mut self,
        mut request: Request<Body>,
        call: &str,
    ) -> Result<Response<Body>, ForwardError> {
        if let Ok(id) = HeaderValue::from_str(call) {
            request.headers_mut().insert(CALL_ID, id);
        }
        let mut response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                return Err(if unsent {
                    ForwardError::Closed
                } else {
                    ForwardError::Lost(error.into_error())
                });
            }
        };
        let echo = response.headers_mut().remove(CALL_ID);
        if echo
            .as_ref()
            .is_some_and(|echo| echo.as_bytes() != call.as_bytes())
        {
            return Err(ForwardError::IdMismatch);
        }
        let (sender, idle) = (self.sender, self.idle);
        let keep = move |end| {
            if end == body::End::Complete && echo.is_some() && !sender.is_closed() {
                push(&idle, sender);
            }
        };
        Ok(response.map(|inner| body::boxed(body::Guarded::new(body::boxed(inner), keep))))
    }
}

fn push(idle: &Mutex<VecDeque<IdleConnection>>, sender: SendRequest<Body>) {
    let mut idle = idle.lock().expect("idle list lock is never poisoned");
    if idle.len() < MAX_IDLE_CONNECTIONS {
        idle.push_back(IdleConnection {
            sender,
            since: Instant::now(),
        });
    }
}
