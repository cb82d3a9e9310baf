//! Client of the key-value service over HTTP/1.1 with JSON.

use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{self, Builder};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use policy::id::Revision;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::count::{CallKind, Counters};
use crate::wire::{LeaseBody, LeaseResponse, Pair, Pairs, PutBody, PutResponse};
use crate::{Error, MAX_VALUE_BYTES};

#[cfg(test)]
mod tests;

/// Id of a lease.
pub type LeaseId = u64;

type Http = legacy::Client<HttpConnector, Full<Bytes>>;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision of the last change of this key.
    pub revision: Revision,
}

/// Change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key has a newer value.
    Value(Entry),
    /// The key was removed at this revision.
    Removed(Revision),
}

/// Client for one platform address. Clones share connections and counters.
#[derive(Clone)]
pub struct Client {
    address: Arc<str>,
    timeout: Duration,
    watch_wait: Duration,
    http: Arc<Mutex<Http>>,
    counts: Arc<Counters>,
}

impl Client {
    /// Longest time that a watch waits for a change; [`Client::with_watch_wait`] can shorten it.
    pub const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);
    const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
    const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
    const MAX_IDLE_CONNECTIONS: usize = 2;
    const MAX_RESPONSE_BYTES: usize = 64 << 20;

    /// Creates a client for the service at `host:port`. The first call opens a connection.
    #[must_use]
    pub fn new(address: impl Into<Arc<str>>) -> Self {
        Self {
            address: address.into(),
            timeout: Self::DEFAULT_TIMEOUT,
            watch_wait: Self::MAX_WATCH_WAIT,
            http: Arc::new(Mutex::new(build_http(Self::DEFAULT_TIMEOUT))),
            counts: Arc::default(),
        }
    }

    /// Sets the timeout of each call. A watch may take its wait in addition.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self.http = Arc::new(Mutex::new(build_http(timeout)));
        self
    }

    /// Sets the longest time that a watch waits for a change, at most [`Client::MAX_WATCH_WAIT`].
    #[must_use]
    pub fn with_watch_wait(mut self, wait: Duration) -> Self {
        self.watch_wait = wait.min(Self::MAX_WATCH_WAIT);
        self
    }

    /// Returns the counters of the calls made by this client and its clones.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counts
    }

    /// Reads a key. Returns `None` if it is absent.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] without a complete response, [`Error::BadKey`], [`Error::Rejected`].
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        check_key(key)?;
        let path = format!("/v1/kv/{key}");
        let response = self.read(CallKind::Read, &path, self.timeout).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let pair: Pair = response.parse()?;
        Ok(pair_to_entry(pair))
    }

    /// Reads all keys that start with `prefix`, in key order.
    ///
    /// # Errors
    ///
    /// As for [`Client::get`].
    pub async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        if !prefix.is_empty() {
            check_key(prefix)?;
        }
        let path = format!("/v1/kv?prefix={prefix}");
        let response = self.read(CallKind::List, &path, self.timeout).await?;
        let pairs: Pairs = response.parse()?;
        Ok(pairs.pairs.into_iter().filter_map(pair_to_entry).collect())
    }

    /// Waits for a change of the key after the revision `after`, at most for the watch wait of this
    /// client. Returns `None` if the wait ended without a change.
    ///
    /// # Errors
    ///
    /// As for [`Client::get`].
    pub async fn watch(&self, key: &str, after: Revision) -> Result<Option<Change>, Error> {
        check_key(key)?;
        let wait = self.watch_wait.as_millis();
        let path = format!("/v1/kv/{key}/watch?after={after}&wait_ms={wait}");
        let waiting = self.counts.track_waiting();
        let response = self
            .read(CallKind::Watch, &path, self.watch_wait + self.timeout)
            .await?;
        drop(waiting);
        if response.status == StatusCode::NO_CONTENT {
            return Ok(None);
        }
        let pair: Pair = response.parse()?;
        let revision = pair.revision;
        Ok(Some(
            pair_to_entry(pair).map_or(Change::Removed(revision), Change::Value),
        ))
    }

    /// Writes a key and returns its new revision.
    ///
    /// With `if_revision` the write applies only if the key has that revision, zero for an absent
    /// key. With `lease` the key is removed when the lease lapses.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] with the current revision, [`Error::LeaseLapsed`], [`Error::TooLarge`],
    /// [`Error::Unavailable`] and [`Error::Rejected`] mean that nothing was written.
    /// [`Error::Unknown`] means that the write may have taken effect or may still do so.
    pub async fn put(
        &self,
        key: &str,
        value: Bytes,
        if_revision: Option<Revision>,
        lease: Option<LeaseId>,
    ) -> Result<Revision, Error> {
        check_key(key)?;
        if value.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge { size: value.len() });
        }
        let body = PutBody {
            value: Some(value),
            if_revision,
            lease,
        };
        let path = format!("/v1/kv/{key}");
        let response = self
            .write(CallKind::Write, Method::PUT, &path, &body)
            .await?;
        if response.status == StatusCode::CONFLICT {
            self.counts.record_conflict();
            let current = response.parse_write::<PutResponse>()?.revision;
            return Err(Error::Conflict { current });
        }
        Ok(response.parse_write::<PutResponse>()?.revision)
    }

    /// Grants a lease that lapses after `ttl` unless it is renewed.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`], [`Error::Rejected`]. After [`Error::Unknown`] an unused lease may
    /// remain, which lapses by itself.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let body = lease_body(ttl);
        let response = self
            .write(CallKind::Lease, Method::POST, "/v1/leases", &body)
            .await?;
        Ok(response.parse_write::<LeaseResponse>()?.id)
    }

    /// Restarts the time to live of a lease.
    ///
    /// # Errors
    ///
    /// [`Error::LeaseLapsed`] if the lease has lapsed, otherwise as for [`Client::grant_lease`].
    /// After [`Error::Unknown`] treat the lease as not renewed.
    pub async fn renew_lease(&self, lease: LeaseId, ttl: Duration) -> Result<(), Error> {
        let body = lease_body(ttl);
        let path = format!("/v1/leases/{lease}");
        let response = self
            .write(CallKind::Lease, Method::PUT, &path, &body)
            .await?;
        response.parse_write::<LeaseResponse>().map(drop)
    }

    async fn read(&self, kind: CallKind, path: &str, timeout: Duration) -> Result<Response, Error> {
        let response = self
            .send(kind, Method::GET, path, Bytes::new(), timeout)
            .await;
        let response = response.map_err(|failure| Error::Unavailable {
            cause: failure.cause,
        })?;
        match response.status {
            StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(response),
            _ => Err(response.to_error()),
        }
    }

    async fn write(
        &self,
        kind: CallKind,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Response, Error> {
        let body = serde_json::to_vec(body).expect("message is serialisable");
        let response = self
            .send(kind, method, path, body.into(), self.timeout)
            .await;
        let response = response.map_err(|Failure { sent, cause }| {
            if sent {
                Error::Unknown { cause }
            } else {
                Error::Unavailable { cause }
            }
        })?;
        match response.status {
            StatusCode::OK | StatusCode::CREATED | StatusCode::CONFLICT => Ok(response),
            StatusCode::NOT_FOUND => Err(Error::LeaseLapsed),
            // A proxy or a crash may cause these after the write reached the store.
            status if status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE => {
                Err(Error::Unknown {
                    cause: format!("status {status}"),
                })
            }
            _ => Err(response.to_error()),
        }
    }

    async fn send(
        &self,
        kind: CallKind,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response, Failure> {
        self.counts.record_call(kind);
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| Failure::new(false, &error))?;
        let http = self
            .http
            .lock()
            .expect("client lock is never poisoned")
            .clone();
        let exchange = exchange(http, request);
        let result = match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(elapsed) => {
                self.drop_connections();
                Err(Failure::new(true, &elapsed))
            }
        };
        if result.is_err() {
            self.counts.record_failure();
        }
        result
    }

    /// Drops the idle connections, any of which may be unresponsive too after a timeout.
    fn drop_connections(&self) {
        *self.http.lock().expect("client lock is never poisoned") = build_http(self.timeout);
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("address", &self.address)
            .field("timeout", &self.timeout)
            .field("counts", &self.counts)
            .finish_non_exhaustive()
    }
}

/// A complete response.
struct Response {
    status: StatusCode,
    body: Bytes,
}

impl Response {
    fn parse<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|error| Error::Rejected {
            status: self.status.as_u16(),
            message: error.to_string(),
        })
    }

    fn parse_write<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|error| Error::Unknown {
            cause: error.to_string(),
        })
    }

    fn to_error(&self) -> Error {
        if self.status.is_server_error() {
            return Error::Unavailable {
                cause: format!("status {}", self.status),
            };
        }
        Error::Rejected {
            status: self.status.as_u16(),
            message: String::from_utf8_lossy(&self.body).into_owned(),
        }
    }
}

/// A call without a complete response.
struct Failure {
    /// Whether the request may have reached the platform.
    sent: bool,
    cause: String,
}

impl Failure {
    fn new(sent: bool, error: &dyn std::error::Error) -> Self {
        let cause = match error.source() {
            Some(source) => format!("{error}: {source}"),
            None => error.to_string(),
        };
        Self { sent, cause }
    }
}

async fn exchange(http: Http, request: Request<Full<Bytes>>) -> Result<Response, Failure> {
    let response = http
        .request(request)
        .await
        .map_err(|error| Failure::new(!error.is_connect(), &error))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), Client::MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|error| Failure::new(true, error.as_ref()))?
        .to_bytes();
    Ok(Response { status, body })
}

fn build_http(timeout: Duration) -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(timeout / 2));
    Builder::new(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Client::CONNECTION_IDLE_TIMEOUT)
        .pool_max_idle_per_host(Client::MAX_IDLE_CONNECTIONS)
        .build(connector)
}

fn pair_to_entry(pair: Pair) -> Option<Entry> {
    Some(Entry {
        key: pair.key,
        value: pair.value?,
        revision: pair.revision,
    })
}

fn lease_body(ttl: Duration) -> LeaseBody {
    LeaseBody {
        ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
    }
}

fn check_key(key: &str) -> Result<(), Error> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-/".contains(&byte);
    if key.is_empty() || !key.bytes().all(allowed) || key.ends_with("/watch") {
        return Err(Error::BadKey {
            key: key.to_owned(),
        });
    }
    Ok(())
}
