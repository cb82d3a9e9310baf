//! Stand-in for one endpoint of a service.
//!
//! It runs a bounded number of calls at once, each for a random time, and queues the others in
//! first-in, first-out order. Nested calls go through the daemon on its VM. Response bodies come
//! from [`response::encode`]. A second address sets the faults (`PUT /faults`), starts draining
//! (`POST /drain`) and returns the run counts (`GET /runs`).

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};

use ::http::{HeaderMap, Method, Request, Response, StatusCode};
use bytes::Bytes;
use futures::future::join_all;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use policy::clock::Clock;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use crate::http::{
    Body, Connection, ConnectionCut, Handler, HandlerResult, Server, Truncation, duplicate_tail,
    empty, full, json, last_connection_number, truncate,
};
use crate::ledger::Ledger;
use crate::response;
use crate::target::{
    CALL_HEADER, CHAIN_HEADER, CUSTOMER_HEADER, CallError, Caller, DEADLINE_HEADER, KEY_HEADER,
    TICKET_HEADER, Target, request,
};

#[cfg(test)]
mod tests;

/// Time between announcements, and between load reports.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a nested call whose parent call has no deadline.
const NESTED_CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time from the drain after which a leaving endpoint must receive no calls.
pub const DRAIN_GRACE: Duration = Duration::from_secs(3);
/// Factor on the processing time of a cold endpoint.
const COLD_SLOWDOWN: f64 = 2.0;

/// Nested calls that each call makes to another service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NestedCall {
    /// Called service.
    pub service: String,
    /// Number of concurrent calls.
    #[serde(default = "one")]
    pub fan_out: u32,
}

const fn one() -> u32 {
    1
}

/// Properties of an endpoint.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Spec {
    /// Name of the service.
    pub service: String,
    /// Calls that run concurrently.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: usize,
    /// Mean processing time in milliseconds, half of it fixed and half exponentially distributed.
    pub service_ms: f64,
    /// Bytes of filler in a response body.
    pub size: usize,
    /// Nested calls made by each call.
    pub children: Vec<NestedCall>,
    /// Time from the start during which the endpoint is cold, in milliseconds.
    pub cold_ms: u64,
    /// Seed of the processing times and of the percentage faults.
    pub seed: u64,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            service: "origem".to_owned(),
            slots: 50,
            connections: 400,
            service_ms: 5.0,
            size: 200,
            children: Vec::new(),
            cold_ms: 0,
            seed: 0,
        }
    }
}

/// Injected faults of an endpoint; none by default.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Factor on the processing time.
    pub slow_factor: f64,
    /// Closes the port and all connections, and stops the announcements.
    pub down: bool,
    /// Overrides the reported load.
    pub report_load: Option<f64>,
    /// Overrides the reported health.
    pub report_healthy: Option<bool>,
    /// Delay of the responses in milliseconds, after the slot is released.
    pub delay_ms: u64,
    /// Percentage of responses that are truncated.
    pub cut_percent: f64,
    /// Percentage of responses in which bytes are duplicated.
    pub duplicate_percent: f64,
    /// Connections that stay open without responses.
    pub silence: Silence,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            down: false,
            report_load: None,
            report_healthy: None,
            delay_ms: 0,
            cut_percent: 0.0,
            duplicate_percent: 0.0,
            silence: Silence::None,
        }
    }
}

/// Which connections permanently stop sending responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Silence {
    /// No connection.
    None,
    /// Connections that are open when the fault is set.
    Open,
    /// Connections with a request while the fault is set.
    All,
}

/// Body of an announcement to the daemon.
#[derive(Clone, Debug)]
#[derive(Serialize)]
struct Announcement<'a> {
    service: &'a str,
    address: String,
    slots: u32,
    cold: bool,
}

/// Body of a load report to the daemon.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
struct Report {
    /// Running and queued calls divided by the slots.
    load: f64,
    healthy: bool,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    rng: SmallRng,
    leaving_since: Option<Instant>,
}

/// Handles the calls of an endpoint, on all its connections.
#[derive(Debug)]
pub struct EndpointHandler {
    spec: Spec,
    clock: Arc<dyn Clock>,
    start: Instant,
    slots: Semaphore,
    in_flight: AtomicU32,
    last_silent_connection: AtomicU64,
    accepted_announcements: AtomicU64,
    state: Mutex<State>,
    ledger: Arc<Ledger>,
    target: Arc<Target>,
    caller: Caller,
    address: OnceLock<SocketAddr>,
    server: Mutex<Option<Server>>,
}

/// A running endpoint. It stops when it is dropped.
#[derive(Debug)]
pub struct Endpoint {
    handler: Arc<EndpointHandler>,
    control: Server,
    announcer: Option<JoinHandle<()>>,
}

impl Endpoint {
    /// Starts an endpoint at `address`; port zero takes a free one. Nested calls go to `target`,
    /// and runs are recorded in `ledger`.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the address is taken.
    pub async fn start(
        address: SocketAddr,
        spec: Spec,
        clock: Arc<dyn Clock>,
        ledger: Arc<Ledger>,
        target: Arc<Target>,
    ) -> io::Result<Self> {
        let state = State {
            faults: Faults::default(),
            rng: SmallRng::seed_from_u64(spec.seed),
            leaving_since: None,
        };
        let handler = Arc::new(EndpointHandler {
            start: clock.now(),
            clock,
            slots: Semaphore::new(spec.slots as usize),
            in_flight: AtomicU32::new(0),
            last_silent_connection: AtomicU64::new(0),
            accepted_announcements: AtomicU64::new(0),
            state: Mutex::new(state),
            ledger,
            target,
            caller: Caller::new(),
            address: OnceLock::new(),
            server: Mutex::new(None),
            spec,
        });
        handler.listen(address).await?;
        let control = Arc::new(ControlHandler(Arc::clone(&handler)));
        let control = Server::start(loopback(), control).await?;
        Ok(Self {
            handler,
            control,
            announcer: None,
        })
    }

    /// Announces the endpoint every second to the daemon with this caller address.
    #[must_use]
    pub fn with_daemon(mut self, daemon: SocketAddr) -> Self {
        let handler = Arc::clone(&self.handler);
        self.announcer = Some(tokio::spawn(async move { handler.announce(daemon).await }));
        self
    }

    /// Address that accepts calls.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.handler.address()
    }

    /// Name of the service.
    #[must_use]
    pub fn service_name(&self) -> &str {
        &self.handler.spec.service
    }

    /// Address that accepts faults, drains and queries.
    #[must_use]
    pub const fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Number of announcements accepted by the daemon.
    #[must_use]
    pub fn accepted_announcements(&self) -> u64 {
        self.handler.accepted_announcements.load(Ordering::Relaxed)
    }

    /// Replaces the faults.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the port cannot be opened again.
    pub async fn set_faults(&self, faults: Faults) -> io::Result<()> {
        self.handler.set_faults(faults).await
    }

    /// Starts draining: the endpoint reports to the daemon that it is leaving.
    pub fn drain(&self) {
        self.handler.drain();
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        if let Some(announcer) = &self.announcer {
            announcer.abort();
        }
        self.handler.close();
    }
}

/// Handles the requests to the control address.
struct ControlHandler(Arc<EndpointHandler>);

impl Handler for ControlHandler {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _: Arc<Connection>,
    ) -> HandlerResult {
        let handler = &self.0;
        Ok(match (request.method(), request.uri().path()) {
            (&Method::PUT, "/faults") => {
                let body = request
                    .into_body()
                    .collect()
                    .await
                    .map_err(|_| ConnectionCut)?;
                let status = match serde_json::from_slice(&body.to_bytes()) {
                    Ok(faults) => match handler.set_faults(faults).await {
                        Ok(()) => StatusCode::NO_CONTENT,
                        Err(_) => StatusCode::INTERNAL_SERVER_ERROR,
                    },
                    Err(_) => StatusCode::BAD_REQUEST,
                };
                empty(status)
            }
            (&Method::GET, "/faults") => json(StatusCode::OK, &handler.state().faults),
            (&Method::GET, "/runs") => json(StatusCode::OK, &handler.ledger.summary()),
            (&Method::POST, "/drain") => {
                handler.drain();
                empty(StatusCode::NO_CONTENT)
            }
            _ => empty(StatusCode::NOT_FOUND),
        })
    }
}

impl Handler for EndpointHandler {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: Arc<Connection>,
    ) -> HandlerResult {
        self.apply_silence(&connection).await?;
        let (parts, body) = request.into_parts();
        body.collect().await.map_err(|_| ConnectionCut)?;
        let call = Call::new(&parts.method, parts.uri.path(), &parts.headers);
        let mut response = match call.time_left {
            Some(left) => tokio::time::timeout(left, self.run(&call))
                .await
                .unwrap_or_else(|_| failure(&call, StatusCode::GATEWAY_TIMEOUT)),
            None => self.run(&call).await,
        };
        // The daemon reuses a connection only if the response has the call id.
        if let Some(id) = parts.headers.get(CALL_HEADER) {
            response.headers_mut().insert(CALL_HEADER, id.clone());
        }
        let faults = self.state().faults.clone();
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        self.apply_silence(&connection).await?;
        if self.chance(faults.cut_percent) {
            return truncate(response, Truncation::Cut).await;
        }
        if self.chance(faults.duplicate_percent) {
            return duplicate_tail(response).await;
        }
        Ok(response)
    }
}

/// Parts of the request line and headers of a call that the endpoint uses.
#[derive(Debug)]
struct Call {
    method: String,
    path: String,
    id: String,
    key: Option<String>,
    customer: Option<String>,
    chain: Option<String>,
    /// Time left until the deadline when the call arrived.
    time_left: Option<Duration>,
}

impl Call {
    fn new(method: &Method, path: &str, headers: &HeaderMap) -> Self {
        let text = |name: &str| Some(headers.get(name)?.to_str().ok()?.to_owned());
        Self {
            method: method.to_string(),
            path: path.to_owned(),
            id: text(response::ID_HEADER).unwrap_or_default(),
            key: text(KEY_HEADER).or_else(|| text(TICKET_HEADER)),
            customer: text(CUSTOMER_HEADER),
            chain: text(CHAIN_HEADER),
            time_left: text(DEADLINE_HEADER)
                .and_then(|value| value.parse().ok())
                .map(Duration::from_millis),
        }
    }
}

/// Counts a call as running or queued until it is dropped.
struct InFlight<'a>(&'a AtomicU32);

impl<'a> InFlight<'a> {
    fn new(in_flight: &'a AtomicU32) -> Self {
        in_flight.fetch_add(1, Ordering::Relaxed);
        Self(in_flight)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl EndpointHandler {
    fn address(&self) -> SocketAddr {
        *self.address.get().expect("address is set at the start")
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("state lock is never poisoned")
    }

    async fn listen(self: &Arc<Self>, address: SocketAddr) -> io::Result<()> {
        let max_connections = self.spec.connections;
        let server =
            Server::with_max_connections(address, Arc::clone(self), max_connections).await?;
        self.address.get_or_init(|| server.address());
        *self.server.lock().expect("server lock is never poisoned") = Some(server);
        Ok(())
    }

    fn close(&self) {
        *self.server.lock().expect("server lock is never poisoned") = None;
    }

    async fn set_faults(self: &Arc<Self>, faults: Faults) -> io::Result<()> {
        if faults.silence == Silence::Open {
            self.last_silent_connection
                .store(last_connection_number(), Ordering::Relaxed);
        }
        let (was_down, down) = (self.state().faults.down, faults.down);
        self.state().faults = faults;
        if down {
            self.close();
        } else if was_down {
            self.listen(self.address()).await?;
        }
        Ok(())
    }

    async fn apply_silence(&self, connection: &Connection) -> Result<(), ConnectionCut> {
        let all = self.state().faults.silence == Silence::All;
        if all || connection.number() <= self.last_silent_connection.load(Ordering::Relaxed) {
            connection.silence();
        }
        connection.apply_faults().await
    }

    fn chance(&self, percent: f64) -> bool {
        percent > 0.0 && self.state().rng.random::<f64>() * 100.0 < percent
    }

    fn drain(&self) {
        let now = self.clock.now();
        self.state().leaving_since.get_or_insert(now);
    }

    fn is_past_drain_grace(&self) -> bool {
        let since = self.state().leaving_since;
        since.is_some_and(|since| self.clock.now().saturating_duration_since(since) > DRAIN_GRACE)
    }

    fn is_cold(&self) -> bool {
        let age = self.clock.now().saturating_duration_since(self.start);
        age < Duration::from_millis(self.spec.cold_ms)
    }

    fn random_processing_time(&self) -> Duration {
        let mut state = self.state();
        let exponential = -state.rng.random::<f64>().max(f64::MIN_POSITIVE).ln();
        let cold = if self.is_cold() { COLD_SLOWDOWN } else { 1.0 };
        let factor = state.faults.slow_factor * cold * f64::midpoint(1.0, exponential);
        Duration::from_secs_f64(self.spec.service_ms * factor / 1_000.0)
    }

    async fn run(&self, call: &Call) -> Response<Body> {
        let _in_flight = InFlight::new(&self.in_flight);
        if self.is_past_drain_grace() {
            self.ledger.record_call_after_leaving();
        }
        let Ok(_slot) = self.slots.acquire().await else {
            return failure(call, StatusCode::SERVICE_UNAVAILABLE);
        };
        self.ledger
            .record_run(&self.spec.service, &call.id, call.key.as_deref());
        let time = self.random_processing_time();
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        let children = self.spec.children.iter();
        let calls =
            children.flat_map(|nested| (0..nested.fan_out).map(move |index| (nested, index)));
        let results =
            join_all(calls.map(|(nested, index)| self.call_nested(call, nested, index))).await;
        match results.into_iter().find_map(Result::err) {
            Some(status) => failure(call, status),
            None => Response::new(full(response::encode(&call.id, self.spec.size))),
        }
    }

    async fn call_nested(
        &self,
        parent: &Call,
        nested: &NestedCall,
        index: u32,
    ) -> Result<(), StatusCode> {
        let service = &nested.service;
        let address = self
            .target
            .address(service)
            .ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
        let id = format!("{}.{service}{index}", parent.id);
        let mut builder = request(address, service, &parent.method, &parent.path);
        builder = builder.header(response::ID_HEADER, &id);
        let key = parent
            .key
            .as_ref()
            .map(|key| format!("{key}.{service}{index}"));
        let inherited = [
            (KEY_HEADER, &key),
            (CUSTOMER_HEADER, &parent.customer),
            (CHAIN_HEADER, &parent.chain),
        ];
        for (name, value) in inherited {
            if let Some(value) = value {
                builder = builder.header(name, value);
            }
        }
        let request = builder
            .body(Full::new(Bytes::new()))
            .map_err(|_| StatusCode::BAD_REQUEST)?;
        let timeout = parent.time_left.unwrap_or(NESTED_CALL_TIMEOUT);
        let response = self
            .caller
            .call(request, timeout)
            .await
            .map_err(|error| match error {
                CallError::Timeout => StatusCode::GATEWAY_TIMEOUT,
                CallError::Connect | CallError::Disconnected | CallError::Body => {
                    StatusCode::BAD_GATEWAY
                }
            })?;
        if response.status != StatusCode::OK {
            return Err(response.status);
        }
        response::check(&id, &response.body).map_err(|_| StatusCode::BAD_GATEWAY)
    }

    async fn announce(&self, daemon: SocketAddr) {
        let mut interval = tokio::time::interval(ANNOUNCE_INTERVAL);
        loop {
            interval.tick().await;
            let (faults, draining) = {
                let state = self.state();
                (state.faults.clone(), state.leaving_since.is_some())
            };
            if faults.down {
                continue;
            }
            let announcement = Announcement {
                service: &self.spec.service,
                address: self.address().to_string(),
                slots: self.spec.slots,
                cold: self.is_cold(),
            };
            if draining {
                self.post(daemon, "drain", &announcement).await;
                continue;
            }
            if self.post(daemon, "announce", &announcement).await {
                self.accepted_announcements.fetch_add(1, Ordering::Relaxed);
            }
            let in_flight = f64::from(self.in_flight.load(Ordering::Relaxed));
            let report = Report {
                load: faults
                    .report_load
                    .unwrap_or(in_flight / f64::from(self.spec.slots)),
                healthy: faults.report_healthy.unwrap_or(true),
            };
            self.post(daemon, "report", &report).await;
        }
    }

    async fn post(&self, daemon: SocketAddr, path: &str, message: &impl Serialize) -> bool {
        let body = serde_json::to_vec(message).expect("message is serialisable");
        let request = Request::post(format!("http://{daemon}/.sapphiredoor/{path}"))
            .header(::http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body.into()))
            .expect("address is valid");
        let response = self.caller.call(request, ANNOUNCE_INTERVAL).await;
        response.is_ok_and(|response| response.status.is_success())
    }
}

/// Returns an error response. Its body still names the request.
fn failure(call: &Call, status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(response::encode(&call.id, 0)));
    *response.status_mut() = status;
    response
}

/// Returns the loopback address with port zero, for which the operating system picks a port.
#[must_use]
pub const fn loopback() -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

/// Returns a loopback address that is currently free for TCP and UDP and that this process has not
/// returned before.
///
/// The port lies below the ephemeral port range, so that no outgoing connection can take it while a
/// stand-in or a daemon is down.
///
/// # Errors
///
/// The error of the operating system if no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT_INDEX: AtomicU32 = AtomicU32::new(0);
    const FIRST_PORT: u32 = 10_000;
    const PORT_COUNT: u32 = 22_000;
    /// Distance between the first ports of processes with consecutive ids.
    const PORT_STRIDE: u32 = 211;
    let start = std::process::id() % PORT_COUNT * PORT_STRIDE;
    let mut result = Err(io::ErrorKind::AddrInUse.into());
    for _ in 0..PORT_COUNT {
        let index = NEXT_INDEX.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (start + index) % PORT_COUNT;
        let address = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port as u16);
        result = TcpListener::bind(address).and_then(|_| UdpSocket::bind(address));
        if result.is_ok() {
            return Ok(address);
        }
    }
    result.and_then(|socket| socket.local_addr())
}
