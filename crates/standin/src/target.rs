//! Destinations of calls, and the HTTP client that sends them.
//!
//! Calls go to daemons, or directly to endpoints for the baseline.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ::http::request::Builder;
use ::http::{HeaderMap, Request, StatusCode};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Header with the name of the called service.
pub const SERVICE_HEADER: &str = "sapphiredoor-service";
/// Header with the call id, set by the daemon.
pub const CALL_HEADER: &str = "sapphiredoor-call";
/// Header with the attempt number of a keyed call, from 1.
pub const ATTEMPT_HEADER: &str = "sapphiredoor-attempt";
/// Header with the id of the chain.
pub const CHAIN_HEADER: &str = "sapphiredoor-chain";
/// Header with the customer name.
pub const CUSTOMER_HEADER: &str = "sapphiredoor-customer";
/// Header with the time left until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "sapphiredoor-deadline-ms";
/// Header of a refusal that states whether the call ran.
pub const RAN_HEADER: &str = "sapphiredoor-ran";
/// Header with a ticket.
pub const TICKET_HEADER: &str = "sapphiredoor-ticket";
/// Header with an idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Destinations of calls.
#[derive(Debug)]
pub enum Target {
    /// Caller addresses of daemons.
    Daemons(RoundRobin),
    /// Endpoint addresses by service.
    Endpoints(BTreeMap<String, RoundRobin>),
}

impl Target {
    /// Returns the address for a call to `service`, or `None` if the service is unknown.
    #[must_use]
    pub fn address(&self, service: &str) -> Option<SocketAddr> {
        match self {
            Self::Daemons(daemons) => daemons.next(),
            Self::Endpoints(services) => services.get(service)?.next(),
        }
    }
}

/// Round-robin selection among addresses.
#[derive(Debug, Default)]
pub struct RoundRobin {
    addresses: Vec<SocketAddr>,
    last: AtomicUsize,
}

impl RoundRobin {
    /// Creates a selection that follows the given order.
    #[must_use]
    pub const fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            last: AtomicUsize::new(0),
        }
    }

    fn next(&self) -> Option<SocketAddr> {
        let count = self.last.fetch_add(1, Ordering::Relaxed);
        let index = count.checked_rem(self.addresses.len())?;
        self.addresses.get(index).copied()
    }
}

/// A completely received response.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Why no complete response was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The connection attempt failed, so the call did not run.
    Connect,
    /// The connection closed after the call was sent, before the response began.
    Disconnected,
    /// The response body was cut short.
    Body,
    /// No complete response arrived in time.
    Timeout,
}

/// HTTP client of the callers and stand-in endpoints.
#[derive(Clone, Debug)]
pub struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Creates a client with its own connection pool.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { http }
    }

    /// Sends a request and reads the complete response. Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// [`CallError`] if no complete response arrived within `timeout`.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<ReceivedResponse, CallError> {
        let exchange = async {
            let response = self.http.request(request).await.map_err(|error| {
                if error.is_connect() {
                    CallError::Connect
                } else {
                    CallError::Disconnected
                }
            })?;
            let (parts, body) = response.into_parts();
            let body = body
                .collect()
                .await
                .map_err(|_| CallError::Body)?
                .to_bytes();
            Ok(ReceivedResponse {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        };
        let result = tokio::time::timeout(timeout, exchange).await;
        result.unwrap_or(Err(CallError::Timeout))
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns a request builder for a call to `service` at `address`.
pub fn request(address: SocketAddr, service: &str, method: &str, path: &str) -> Builder {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(::http::header::HOST, service)
        .header(SERVICE_HEADER, service)
}
