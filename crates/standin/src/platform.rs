//! Stand-in for the platform key-value service.
//!
//! `PUT /faults` sets the [`Faults`], and `GET /counts` returns the [`Counts`]. Both work while
//! faults are set.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ::http::{Method, Request, Response, StatusCode};
use ::platform::MAX_VALUE_BYTES;
use ::platform::wire::{LeaseBody, LeaseResponse, Pairs, PutBody, PutResponse};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use policy::clock::Clock;
use policy::id::Revision;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::http::{
    Body, Connection, ConnectionCut, Handler, HandlerResult, Server, Truncation, empty, json,
    truncate,
};
use crate::store::{Store, StoreError};

/// Longest timeout of a watch. A call may set a shorter one with `wait_ms`.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between checks for lapsed leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the largest value in Base64, plus space for the other fields.
const MAX_BODY_BYTES: usize = MAX_VALUE_BYTES * 4 / 3 + 4096;

/// Injected faults of the service; none by default.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers every call with status 503.
    pub down: bool,
    /// Delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// Number of next writes that take effect without a response.
    pub lose_next: u32,
    /// Percentage of writes that take effect without a response.
    pub lose_percent: f64,
    /// Seed of `lose_percent`.
    pub seed: u64,
    /// Fault at one step of the next calls.
    pub next: Option<NextFault>,
}

/// A fault at one step of the next calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NextFault {
    /// Step at which it happens.
    pub step: Step,
    /// What happens.
    pub action: Action,
    /// Number of calls that it affects.
    pub count: u32,
    /// Affects writes only.
    #[serde(default)]
    pub only_writes: bool,
}

/// Step in the handling of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// The call has arrived and has not taken effect.
    BeforeEffect,
    /// The call has taken effect and nothing of the response was sent.
    AfterEffect,
    /// Half of the response was sent.
    InAnswer,
    /// The response was sent. The fault affects the next call on the same connection.
    AfterAnswer,
}

/// Effect of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// The connection is closed.
    Cut,
    /// The connection stays open and sends nothing more.
    Silence,
    /// The call is delayed by 20 ms; no effect at [`Step::AfterAnswer`].
    Slow,
}

/// Numbers of calls received, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Values read.
    pub reads: u64,
    /// Listings.
    pub lists: u64,
    /// Writes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Leases granted or renewed.
    pub leases: u64,
    /// Watches that are waiting now.
    pub waiting: u64,
}

#[derive(Debug)]
struct State {
    store: Store,
    faults: Faults,
    rng: SmallRng,
    counts: Counts,
}

/// Handles the calls of the key-value service, on all its connections.
#[derive(Debug)]
pub struct StoreHandler {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    revision: watch::Sender<Revision>,
}

/// A running key-value service. It stops when it is dropped.
#[derive(Debug)]
pub struct Platform {
    handler: Arc<StoreHandler>,
    server: Server,
    expiry: JoinHandle<()>,
}

impl Platform {
    /// Listens on `address`; port zero takes a free one. Leases expire by `clock`.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the address is taken.
    pub async fn start(address: SocketAddr, clock: Arc<dyn Clock>) -> io::Result<Self> {
        let state = State {
            store: Store::default(),
            faults: Faults::default(),
            rng: SmallRng::seed_from_u64(0),
            counts: Counts::default(),
        };
        let handler = Arc::new(StoreHandler {
            clock,
            state: Mutex::new(state),
            revision: watch::Sender::new(0),
        });
        let server = Server::start(address, Arc::clone(&handler)).await?;
        let expiring = Arc::clone(&handler);
        let expiry = tokio::spawn(async move {
            let mut interval = tokio::time::interval(EXPIRY_INTERVAL);
            loop {
                interval.tick().await;
                expiring.expire();
            }
        });
        Ok(Self {
            handler,
            server,
            expiry,
        })
    }

    /// Address that the service listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.handler.set_faults(faults);
    }

    /// Returns the counts so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.handler.state().counts
    }

    /// Removes lapsed leases and the keys attached to them.
    pub fn expire(&self) {
        self.handler.expire();
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.expiry.abort();
    }
}

impl Handler for StoreHandler {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: Arc<Connection>,
    ) -> HandlerResult {
        match request.uri().path() {
            "/faults" if request.method() == Method::PUT => {
                let Ok(faults) = read_json(request).await else {
                    return Ok(empty(StatusCode::BAD_REQUEST));
                };
                self.set_faults(faults);
                return Ok(empty(StatusCode::NO_CONTENT));
            }
            "/faults" => return Ok(json(StatusCode::OK, &self.state().faults)),
            "/counts" => return Ok(json(StatusCode::OK, &self.state().counts)),
            _ => {}
        }
        connection.apply_faults().await?;
        let write = request.method() != Method::GET;
        self.delay().await;
        if self.state().faults.down {
            return Ok(empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        self.apply_fault(Step::BeforeEffect, write).await?;
        let response = self.respond(request).await;
        if write && self.loses_response() {
            return Err(ConnectionCut);
        }
        self.apply_fault(Step::AfterEffect, write).await?;
        match self.next_fault(Step::InAnswer, write) {
            Some(Action::Cut) => return truncate(response, Truncation::Cut).await,
            Some(Action::Silence) => return truncate(response, Truncation::Silence).await,
            Some(Action::Slow) => tokio::time::sleep(SLOW_DELAY).await,
            None => {}
        }
        match self.next_fault(Step::AfterAnswer, write) {
            Some(Action::Cut) => connection.cut_on_next_request(),
            Some(Action::Silence) => connection.silence(),
            Some(Action::Slow) | None => {}
        }
        Ok(response)
    }
}

/// Delay of [`Action::Slow`].
const SLOW_DELAY: Duration = Duration::from_millis(20);

impl StoreHandler {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("state lock is never poisoned")
    }

    fn set_faults(&self, faults: Faults) {
        let mut state = self.state();
        state.rng = SmallRng::seed_from_u64(faults.seed);
        state.faults = faults;
    }

    fn expire(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        state.store.expire(now);
        self.notify_watches(&state);
    }

    fn notify_watches(&self, state: &State) {
        let revision = state.store.revision();
        self.revision.send_if_modified(|seen| {
            let changed = *seen != revision;
            *seen = revision;
            changed
        });
    }

    async fn delay(&self) {
        let delay_ms = self.state().faults.slow_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    async fn apply_fault(&self, step: Step, write: bool) -> Result<(), ConnectionCut> {
        match self.next_fault(step, write) {
            Some(Action::Cut) => Err(ConnectionCut),
            Some(Action::Silence) => std::future::pending().await,
            Some(Action::Slow) => {
                tokio::time::sleep(SLOW_DELAY).await;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn next_fault(&self, step: Step, write: bool) -> Option<Action> {
        let mut state = self.state();
        let next = state.faults.next.as_mut()?;
        if next.step != step || next.count == 0 || (next.only_writes && !write) {
            return None;
        }
        next.count -= 1;
        Some(next.action)
    }

    fn loses_response(&self) -> bool {
        let mut state = self.state();
        if state.faults.lose_next > 0 {
            state.faults.lose_next -= 1;
            return true;
        }
        let percent = state.faults.lose_percent;
        percent > 0.0 && state.rng.random::<f64>() * 100.0 < percent
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let query_parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
                .next()
        };
        let method = request.method().clone();
        if path == "/v1/kv" && method == Method::GET {
            return self.list(&query_parameter("prefix").unwrap_or_default());
        }
        if path == "/v1/leases" && method == Method::POST {
            return self.grant(read_json(request).await);
        }
        if let Some(id) = path.strip_prefix("/v1/leases/")
            && method == Method::PUT
        {
            return self.renew(id, read_json(request).await);
        }
        let Some(key) = path.strip_prefix("/v1/kv/") else {
            return empty(StatusCode::BAD_REQUEST);
        };
        if let Some(key) = key.strip_suffix("/watch") {
            let after = query_parameter("after").and_then(|text| text.parse().ok());
            let wait = query_parameter("wait_ms").and_then(|text| text.parse().ok());
            let wait = wait
                .map_or(MAX_WATCH_TIMEOUT, Duration::from_millis)
                .min(MAX_WATCH_TIMEOUT);
            return self.watch(key, after.unwrap_or(0), wait).await;
        }
        match method {
            Method::GET => self.get(key),
            Method::PUT => self.put(key, read_json(request).await),
            _ => empty(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    fn get(&self, key: &str) -> Response<Body> {
        let mut state = self.state();
        state.counts.reads += 1;
        match state.store.get(key).filter(|pair| pair.value.is_some()) {
            Some(pair) => json(StatusCode::OK, &pair),
            None => empty(StatusCode::NOT_FOUND),
        }
    }

    fn list(&self, prefix: &str) -> Response<Body> {
        let mut state = self.state();
        state.counts.lists += 1;
        let pairs = state.store.list(prefix);
        json(StatusCode::OK, &Pairs { pairs })
    }

    fn put(&self, key: &str, body: Result<PutBody, StatusCode>) -> Response<Body> {
        let now = self.clock.now();
        let mut state = self.state();
        state.counts.writes += 1;
        let body = match body {
            Ok(body) => body,
            Err(status) => return empty(status),
        };
        let value = body.value.unwrap_or_default();
        if value.len() > MAX_VALUE_BYTES {
            return empty(StatusCode::PAYLOAD_TOO_LARGE);
        }
        state.store.expire(now);
        let result = state.store.put(key, value, body.if_revision, body.lease);
        self.notify_watches(&state);
        match result {
            Ok(revision) => json(StatusCode::OK, &PutResponse { revision }),
            Err(StoreError::Conflict(revision)) => {
                json(StatusCode::CONFLICT, &PutResponse { revision })
            }
            Err(StoreError::UnknownLease) => empty(StatusCode::NOT_FOUND),
        }
    }

    fn grant(&self, body: Result<LeaseBody, StatusCode>) -> Response<Body> {
        let now = self.clock.now();
        let mut state = self.state();
        state.counts.leases += 1;
        let Ok(LeaseBody { ttl_ms }) = body else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let id = state.store.grant(Duration::from_millis(ttl_ms), now);
        json(StatusCode::CREATED, &LeaseResponse { id, ttl_ms })
    }

    fn renew(&self, id: &str, body: Result<LeaseBody, StatusCode>) -> Response<Body> {
        let now = self.clock.now();
        let mut state = self.state();
        state.counts.leases += 1;
        let (Ok(LeaseBody { ttl_ms }), Ok(id)) = (body, id.parse()) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        state.store.expire(now);
        self.notify_watches(&state);
        match state.store.renew(id, Duration::from_millis(ttl_ms), now) {
            Ok(()) => json(StatusCode::OK, &LeaseResponse { id, ttl_ms }),
            Err(_) => empty(StatusCode::NOT_FOUND),
        }
    }

    async fn watch(&self, key: &str, after: Revision, wait: Duration) -> Response<Body> {
        self.state().counts.watches += 1;
        let _waiting = WaitingWatch::new(self);
        let mut revision = self.revision.subscribe();
        let changed = async {
            loop {
                revision.mark_unchanged();
                let pair = self.state().store.get(key);
                if let Some(pair) = pair.filter(|pair| pair.revision > after) {
                    return pair;
                }
                // Never fails: `self` owns the sender.
                if revision.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        match tokio::time::timeout(wait, changed).await {
            Ok(pair) => json(StatusCode::OK, &pair),
            Err(_) => empty(StatusCode::NO_CONTENT),
        }
    }
}

/// Counts a watch as waiting until it is dropped.
struct WaitingWatch<'a>(&'a StoreHandler);

impl<'a> WaitingWatch<'a> {
    fn new(handler: &'a StoreHandler) -> Self {
        handler.state().counts.waiting += 1;
        Self(handler)
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.0.state().counts.waiting -= 1;
    }
}

async fn read_json<T: for<'de> Deserialize<'de>>(
    request: Request<Incoming>,
) -> Result<T, StatusCode> {
    let body: Bytes = Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?
        .to_bytes();
    serde_json::from_slice(&body).map_err(|_| StatusCode::BAD_REQUEST)
}
