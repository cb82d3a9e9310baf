//! Forwards calls to the endpoint over HTTP/1.1.
//!
//! One connection carries one call at a time, so that an answer cannot be taken for that of another
//! call. A connection whose call failed or was cancelled is closed, which is also how the endpoint
//! learns of the cancellation.

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

/// Id of the call; an endpoint echoes it in its answer.
pub const CALL_ID: HeaderName = HeaderName::from_static("sapphiredoor-call");
/// Time in which a loopback connection must open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection is not used again; endpoints may close idle ones.
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// Connections kept open while idle.
const MAX_IDLE: usize = 1024;

/// Why a call to the endpoint failed.
#[derive(Debug)]
pub enum ForwardError {
    /// No connection could be opened: no byte of the call left.
    Connect(std::io::Error),
    /// The connection was closed before the call was written: no byte of the call left.
    Closed,
    /// The connection failed after bytes left: the outcome is unknown.
    Lost(hyper::Error),
    /// The answer carried the id of another call: the outcome is unknown.
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
            Self::Closed => f.write_str("the endpoint closed the connection: send the call again"),
            Self::Lost(error) => write!(
                f,
                "the connection to the endpoint failed ({error}): the call may have run"
            ),
            Self::IdMismatch => f.write_str(
                "the endpoint sent the answer to another call: check its connection handling",
            ),
        }
    }
}

impl std::error::Error for ForwardError {}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Body>,
    since: Instant,
}

/// Connections to the endpoint on this VM.
#[derive(Clone, Debug, Default)]
pub struct Client {
    idle: Arc<Mutex<VecDeque<Idle>>>,
}

/// A connection that is ready for one call.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Body>,
    idle: Arc<Mutex<VecDeque<Idle>>>,
}

impl Client {
    /// A client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Finds or opens a connection. No byte of a call leaves here.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint cannot be reached.
    pub async fn acquire(&self, address: SocketAddr) -> Result<Connection, ForwardError> {
        while let Some(mut idle) = self.pop() {
            if idle.since.elapsed() < IDLE_LIMIT && idle.sender.ready().await.is_ok() {
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

    fn pop(&self) -> Option<Idle> {
        self.idle
            .lock()
            .expect("idle list lock is never poisoned")
            .pop_back()
    }
}

impl Connection {
    /// Sends a call. The connection is kept when the answer echoes the id of the call and its body
    /// was read to its end; an endpoint that does not echo gets a connection for each call, because
    /// bytes left over from one answer could otherwise be taken for the next.
    ///
    /// # Errors
    ///
    /// Tells whether bytes of the call may have left.
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
            if end == body::End::Whole && echo.is_some() && !sender.is_closed() {
                push(&idle, sender);
            }
        };
        Ok(response.map(|inner| body::boxed(body::Guarded::new(body::boxed(inner), keep))))
    }
}

fn push(idle: &Mutex<VecDeque<Idle>>, sender: SendRequest<Body>) {
    let mut idle = idle.lock().expect("idle list lock is never poisoned");
    if idle.len() < MAX_IDLE {
        idle.push_back(Idle {
            sender,
            since: Instant::now(),
        });
    }
}
