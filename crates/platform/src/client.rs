//! Calls over HTTP/1.1 with JSON.

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

use crate::count::{Call, Counters};
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
    /// Name of the value.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision of the last change of this key.
    pub revision: Revision,
}

/// What a watch saw.
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
    /// Longest time that a watch waits for a change, unless [`Client::with_watch_wait`] shortens it.
    pub const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);
    const TIMEOUT: Duration = Duration::from_secs(2);
    const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
    const IDLE_CONNECTIONS: usize = 2;
    const MAX_ANSWER: usize = 64 << 20;

    /// Client for the service at `host:port`. No connection is opened until the first call.
    #[must_use]
    pub fn new(address: impl Into<Arc<str>>) -> Self {
        Self {
            address: address.into(),
            timeout: Self::TIMEOUT,
            watch_wait: Self::MAX_WATCH_WAIT,
            http: Arc::new(Mutex::new(connect(Self::TIMEOUT))),
            counts: Arc::default(),
        }
    }

    /// Sets the time that each call may take. A watch may take its wait in addition.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self.http = Arc::new(Mutex::new(connect(timeout)));
        self
    }

    /// Sets the longest time that a watch waits for a change, at most [`Client::MAX_WATCH_WAIT`].
    #[must_use]
    pub fn with_watch_wait(mut self, wait: Duration) -> Self {
        self.watch_wait = wait.min(Self::MAX_WATCH_WAIT);
        self
    }

    /// Counters of the calls made by this client and its clones.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counts
    }

    /// Reads a key, `None` if it is absent.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] without a whole answer, [`Error::BadKey`], [`Error::Rejected`].
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        check(key)?;
        let path = format!("/v1/kv/{key}");
        let answer = self.read(Call::Read, &path, self.timeout).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let pair: Pair = answer.json()?;
        Ok(entry(pair))
    }

    /// Reads all keys that start with `prefix`, in their order.
    ///
    /// # Errors
    ///
    /// As for [`Client::get`].
    pub async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        if !prefix.is_empty() {
            check(prefix)?;
        }
        let path = format!("/v1/kv?prefix={prefix}");
        let answer = self.read(Call::List, &path, self.timeout).await?;
        let pairs: Pairs = answer.json()?;
        Ok(pairs.pairs.into_iter().filter_map(entry).collect())
    }

    /// Waits until the key changes after the revision `after`, at most the wait of this client.
    /// `None` means that the wait ended without a change.
    ///
    /// # Errors
    ///
    /// As for [`Client::get`].
    pub async fn watch(&self, key: &str, after: Revision) -> Result<Option<Change>, Error> {
        check(key)?;
        let wait = self.watch_wait.as_millis();
        let path = format!("/v1/kv/{key}/watch?after={after}&wait_ms={wait}");
        let waiting = self.counts.wait();
        let answer = self
            .read(Call::Watch, &path, self.watch_wait + self.timeout)
            .await?;
        drop(waiting);
        if answer.status == StatusCode::NO_CONTENT {
            return Ok(None);
        }
        let pair: Pair = answer.json()?;
        let revision = pair.revision;
        Ok(Some(
            entry(pair).map_or(Change::Removed(revision), Change::Value),
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
        check(key)?;
        if value.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge { size: value.len() });
        }
        let body = PutBody {
            value: Some(value),
            if_revision,
            lease,
        };
        let path = format!("/v1/kv/{key}");
        let answer = self.write(Call::Write, Method::PUT, &path, &body).await?;
        if answer.status == StatusCode::CONFLICT {
            self.counts.conflict();
            let current = answer.json_of_write::<PutResponse>()?.revision;
            return Err(Error::Conflict { current });
        }
        Ok(answer.json_of_write::<PutResponse>()?.revision)
    }

    /// Grants a lease that lapses after `ttl` unless it is renewed.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`], [`Error::Rejected`]; [`Error::Unknown`] leaves at most a lease that
    /// nobody uses and that lapses by itself.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let body = lease_body(ttl);
        let answer = self
            .write(Call::Lease, Method::POST, "/v1/leases", &body)
            .await?;
        Ok(answer.json_of_write::<LeaseResponse>()?.id)
    }

    /// Restarts the time to live of a lease.
    ///
    /// # Errors
    ///
    /// [`Error::LeaseLapsed`] if the lease is gone, otherwise as for [`Client::grant_lease`]. After
    /// [`Error::Unknown`] the lease is to be taken as not renewed.
    pub async fn renew_lease(&self, lease: LeaseId, ttl: Duration) -> Result<(), Error> {
        let body = lease_body(ttl);
        let path = format!("/v1/leases/{lease}");
        let answer = self.write(Call::Lease, Method::PUT, &path, &body).await?;
        answer.json_of_write::<LeaseResponse>().map(drop)
    }

    async fn read(&self, call: Call, path: &str, timeout: Duration) -> Result<Answer, Error> {
        let answer = self
            .send(call, Method::GET, path, Bytes::new(), timeout)
            .await;
        let answer = answer.map_err(|failure| Error::Unavailable {
            cause: failure.cause,
        })?;
        match answer.status {
            StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(answer),
            _ => Err(answer.refusal()),
        }
    }

    async fn write(
        &self,
        call: Call,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Answer, Error> {
        let body = serde_json::to_vec(body).expect("message is serialisable");
        let answer = self
            .send(call, method, path, body.into(), self.timeout)
            .await;
        let answer = answer.map_err(|Failure { sent, cause }| {
            if sent {
                Error::Unknown { cause }
            } else {
                Error::Unavailable { cause }
            }
        })?;
        match answer.status {
            StatusCode::OK | StatusCode::CREATED | StatusCode::CONFLICT => Ok(answer),
            StatusCode::NOT_FOUND => Err(Error::LeaseLapsed),
            // A proxy or a crash may stand behind these after the write reached the store.
            status if status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE => {
                Err(Error::Unknown {
                    cause: format!("status {status}"),
                })
            }
            _ => Err(answer.refusal()),
        }
    }

    async fn send(
        &self,
        call: Call,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Answer, Failure> {
        self.counts.call(call);
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
                self.reconnect();
                Err(Failure::new(true, &elapsed))
            }
        };
        if result.is_err() {
            self.counts.failure();
        }
        result
    }

    /// Drops the idle connections: after a time-out any of them may be silent too.
    fn reconnect(&self) {
        *self.http.lock().expect("client lock is never poisoned") = connect(self.timeout);
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

/// A whole answer.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Answer {
    fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|error| Error::Rejected {
            status: self.status.as_u16(),
            message: error.to_string(),
        })
    }

    fn json_of_write<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|error| Error::Unknown {
            cause: error.to_string(),
        })
    }

    fn refusal(&self) -> Error {
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

/// A call without a whole answer.
struct Failure {
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

async fn exchange(http: Http, request: Request<Full<Bytes>>) -> Result<Answer, Failure> {
    let response = http
        .request(request)
        .await
        .map_err(|error| Failure::new(!error.is_connect(), &error))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), Client::MAX_ANSWER)
        .collect()
        .await
        .map_err(|error| Failure::new(true, error.as_ref()))?
        .to_bytes();
    Ok(Answer { status, body })
}

fn connect(timeout: Duration) -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(timeout / 2));
    Builder::new(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Client::IDLE_TIMEOUT)
        .pool_max_idle_per_host(Client::IDLE_CONNECTIONS)
        .build(connector)
}

fn entry(pair: Pair) -> Option<Entry> {
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

fn check(key: &str) -> Result<(), Error> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-/".contains(&byte);
    if key.is_empty() || !key.bytes().all(allowed) || key.ends_with("/watch") {
        return Err(Error::BadKey {
            key: key.to_owned(),
        });
    }
    Ok(())
}
