//! Where a call to a service goes: to a daemon, or straight to an endpoint as the baseline.

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

/// Header that names the target service.
pub const SERVICE_HEADER: &str = "sapphiredoor-service";
/// Header with the id that the daemon gave the call.
pub const CALL_HEADER: &str = "sapphiredoor-call";
/// Header with the number of the send of a key, from 1.
pub const ATTEMPT_HEADER: &str = "sapphiredoor-attempt";
/// Header that names the chain of a call.
pub const CHAIN_HEADER: &str = "sapphiredoor-chain";
/// Header that names the customer.
pub const CUSTOMER_HEADER: &str = "sapphiredoor-customer";
/// Header with the time left, in milliseconds.
pub const DEADLINE_HEADER: &str = "sapphiredoor-deadline-ms";
/// Header of a refusal that says whether the call ran.
pub const RAN_HEADER: &str = "sapphiredoor-ran";
/// Header that names a ticket.
pub const TICKET_HEADER: &str = "sapphiredoor-ticket";
/// Header that names an idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Addresses that take calls.
#[derive(Debug)]
pub enum Target {
    /// Caller addresses of daemons, taken in turn.
    Daemons(RoundRobin),
    /// Endpoints of each service, taken in turn.
    Endpoints(BTreeMap<String, RoundRobin>),
}

impl Target {
    /// Address for a call to `service`, `None` if the service is unknown.
    #[must_use]
    pub fn address(&self, service: &str) -> Option<SocketAddr> {
        match self {
            Self::Daemons(daemons) => daemons.next(),
            Self::Endpoints(services) => services.get(service)?.next(),
        }
    }
}

/// Addresses taken in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    addresses: Vec<SocketAddr>,
    last: AtomicUsize,
}

impl RoundRobin {
    /// Takes the addresses in the order given.
    #[must_use]
    pub const fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            last: AtomicUsize::new(0),
        }
    }

    fn next(&self) -> Option<SocketAddr> {
        let turn = self.last.fetch_add(1, Ordering::Relaxed);
        let index = turn.checked_rem(self.addresses.len())?;
        self.addresses.get(index).copied()
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Why there is no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection was made, so the call did not run.
    Connect,
    /// The connection ended after the call was sent.
    Disconnected,
    /// The answer began and did not end.
    Body,
    /// No whole answer came in time.
    Timeout,
}

/// HTTP client for all calls of the stand-ins.
#[derive(Clone, Debug)]
pub struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Client with its own connections.
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

    /// Sends a request and reads the whole answer. Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// [`CallError`] if no whole answer came within `timeout`.
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

/// Starts a request to `service` at `address`.
pub fn request(address: SocketAddr, service: &str, method: &str, path: &str) -> Builder {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(::http::header::HOST, service)
        .header(SERVICE_HEADER, service)
}
