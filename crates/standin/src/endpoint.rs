//! Stand-in for one endpoint of a service.
//!
//! It has a number of slots, takes a random time for each call, makes child calls through the daemon
//! on its VM, and answers with [`response::encode`]. Calls beyond the slots wait in the order of
//! arrival. A second address takes the fault switches (`PUT /faults`), a drain (`POST /drain`), and
//! returns the runs (`GET /runs`).

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

/// Interval of announcements and reports.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for a child call when the caller gave no deadline.
const CHILD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a leaving endpoint must get no new work.
pub const DRAIN_GRACE: Duration = Duration::from_secs(3);
/// Service time of a cold endpoint in relation to a warm one.
const COLD_FACTOR: f64 = 2.0;

/// Calls that each call makes to another service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NestedCall {
    /// Service called.
    pub service: String,
    /// Number of calls, all at the same time.
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
    /// Calls that run at the same time.
    pub slots: u32,
    /// Connections that are accepted.
    pub connections: usize,
    /// Mean service time in milliseconds, half of it fixed and half exponentially distributed.
    pub service_ms: f64,
    /// Bytes of filler in an answer.
    pub size: usize,
    /// Calls made by each call.
    pub children: Vec<NestedCall>,
    /// Time after the start during which the endpoint is cold, in milliseconds.
    pub cold_ms: u64,
    /// Seed of the service times and of the faults by percentage.
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

/// Faults of an endpoint. The default is none.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Multiplies the service time.
    pub slow_factor: f64,
    /// Closes the port and all connections, and ends the announcements.
    pub down: bool,
    /// Load reported in place of the true one.
    pub report_load: Option<f64>,
    /// Health reported in place of the true one.
    pub report_healthy: Option<bool>,
    /// Delays the answers, with the slot free again, in milliseconds.
    pub delay_ms: u64,
    /// Percentage of the answers that are cut short.
    pub cut_percent: f64,
    /// Percentage of the answers in which bytes come twice.
    pub duplicate_percent: f64,
    /// Connections that stay open and answer nothing.
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

/// Which connections go silent for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Silence {
    /// None.
    None,
    /// Those that are open when the fault is set.
    Open,
    /// All that have a request during the fault.
    All,
}

/// Announcement to the daemon.
#[derive(Clone, Debug)]
#[derive(Serialize)]
struct Announcement<'a> {
    service: &'a str,
    address: String,
    slots: u32,
    cold: bool,
}

/// Report to the daemon.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
struct Report {
    /// Calls running and waiting in relation to the slots.
    load: f64,
    healthy: bool,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    rng: SmallRng,
    leaving_since: Option<Instant>,
}

/// State shared by the connections of an endpoint.
#[derive(Debug)]
pub struct EndpointHandler {
    spec: Spec,
    clock: Arc<dyn Clock>,
    start: Instant,
    slots: Semaphore,
    busy: AtomicU32,
    silent_up_to: AtomicU64,
    accepted_announcements: AtomicU64,
    state: Mutex<State>,
    ledger: Arc<Ledger>,
    target: Arc<Target>,
    caller: Caller,
    address: OnceLock<SocketAddr>,
    server: Mutex<Option<Server>>,
}

/// A running endpoint. It ends when it is dropped.
#[derive(Debug)]
pub struct Endpoint {
    service: Arc<EndpointHandler>,
    control: Server,
    announcer: Option<JoinHandle<()>>,
}

impl Endpoint {
    /// Starts an endpoint at `address`; port zero takes a free one. Child calls go to `target`, runs are recorded in `ledger`.
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
        let service = Arc::new(EndpointHandler {
            start: clock.now(),
            clock,
            slots: Semaphore::new(spec.slots as usize),
            busy: AtomicU32::new(0),
            silent_up_to: AtomicU64::new(0),
            accepted_announcements: AtomicU64::new(0),
            state: Mutex::new(state),
            ledger,
            target,
            caller: Caller::new(),
            address: OnceLock::new(),
            server: Mutex::new(None),
            spec,
        });
        service.listen(address).await?;
        let control = Arc::new(Control(Arc::clone(&service)));
        let control = Server::start(loopback(), control).await?;
        Ok(Self {
            service,
            control,
            announcer: None,
        })
    }

    /// Announces the endpoint to the daemon at this caller address every second.
    #[must_use]
    pub fn with_daemon(mut self, daemon: SocketAddr) -> Self {
        let service = Arc::clone(&self.service);
        self.announcer = Some(tokio::spawn(async move { service.announce(daemon).await }));
        self
    }

    /// Address that takes calls.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.service.address()
    }

    /// Name of the service.
    #[must_use]
    pub fn service_name(&self) -> &str {
        &self.service.spec.service
    }

    /// Address that takes the fault switches.
    #[must_use]
    pub const fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Announcements that the daemon accepted.
    #[must_use]
    pub fn accepted_announcements(&self) -> u64 {
        self.service.accepted_announcements.load(Ordering::Relaxed)
    }

    /// Replaces the faults.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the port cannot be opened again.
    pub async fn set_faults(&self, faults: Faults) -> io::Result<()> {
        self.service.set_faults(faults).await
    }

    /// Tells the daemon that this endpoint leaves.
    pub fn drain(&self) {
        self.service.drain();
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        if let Some(announcer) = &self.announcer {
            announcer.abort();
        }
        self.service.close();
    }
}

/// Takes the fault switches.
struct Control(Arc<EndpointHandler>);

impl Handler for Control {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _: Arc<Connection>,
    ) -> HandlerResult {
        let service = &self.0;
        Ok(match (request.method(), request.uri().path()) {
            (&Method::PUT, "/faults") => {
                let body = request
                    .into_body()
                    .collect()
                    .await
                    .map_err(|_| ConnectionCut)?;
                let status = match serde_json::from_slice(&body.to_bytes()) {
                    Ok(faults) => match service.set_faults(faults).await {
                        Ok(()) => StatusCode::NO_CONTENT,
                        Err(_) => StatusCode::INTERNAL_SERVER_ERROR,
                    },
                    Err(_) => StatusCode::BAD_REQUEST,
                };
                empty(status)
            }
            (&Method::GET, "/faults") => json(StatusCode::OK, &service.state().faults),
            (&Method::GET, "/runs") => json(StatusCode::OK, &service.ledger.summary()),
            (&Method::POST, "/drain") => {
                service.drain();
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
        self.silence(&connection).await?;
        let (parts, body) = request.into_parts();
        body.collect().await.map_err(|_| ConnectionCut)?;
        let call = Call::new(&parts.method, parts.uri.path(), &parts.headers);
        let mut response = match call.deadline {
            Some(left) => tokio::time::timeout(left, self.run(&call))
                .await
                .unwrap_or_else(|_| failure(&call, StatusCode::GATEWAY_TIMEOUT)),
            None => self.run(&call).await,
        };
        // The daemon reuses a connection only if the answer names the call.
        if let Some(id) = parts.headers.get(CALL_HEADER) {
            response.headers_mut().insert(CALL_HEADER, id.clone());
        }
        let faults = self.state().faults.clone();
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        self.silence(&connection).await?;
        if self.chance(faults.cut_percent) {
            return truncate(response, Truncation::Cut).await;
        }
        if self.chance(faults.duplicate_percent) {
            return duplicate_tail(response).await;
        }
        Ok(response)
    }
}

/// What a call says of itself.
#[derive(Debug)]
struct Call {
    method: String,
    path: String,
    id: String,
    key: Option<String>,
    customer: Option<String>,
    chain: Option<String>,
    deadline: Option<Duration>,
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
            deadline: text(DEADLINE_HEADER)
                .and_then(|left| left.parse().ok())
                .map(Duration::from_millis),
        }
    }
}

/// Counts a call as running or waiting until it is dropped.
struct Busy<'a>(&'a AtomicU32);

impl<'a> Busy<'a> {
    fn new(busy: &'a AtomicU32) -> Self {
        busy.fetch_add(1, Ordering::Relaxed);
        Self(busy)
    }
}

impl Drop for Busy<'_> {
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
        let most = self.spec.connections;
        let server = Server::with_max_connections(address, Arc::clone(self), most).await?;
        self.address.get_or_init(|| server.address());
        *self.server.lock().expect("server lock is never poisoned") = Some(server);
        Ok(())
    }

    fn close(&self) {
        *self.server.lock().expect("server lock is never poisoned") = None;
    }

    async fn set_faults(self: &Arc<Self>, faults: Faults) -> io::Result<()> {
        if faults.silence == Silence::Open {
            self.silent_up_to
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

    async fn silence(&self, connection: &Connection) -> Result<(), ConnectionCut> {
        let all = self.state().faults.silence == Silence::All;
        if all || connection.number() <= self.silent_up_to.load(Ordering::Relaxed) {
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

    fn must_be_idle(&self) -> bool {
        let since = self.state().leaving_since;
        since.is_some_and(|since| self.clock.now().saturating_duration_since(since) > DRAIN_GRACE)
    }

    fn is_cold(&self) -> bool {
        let age = self.clock.now().saturating_duration_since(self.start);
        age < Duration::from_millis(self.spec.cold_ms)
    }

    fn service_time(&self) -> Duration {
        let mut state = self.state();
        let exponential = -state.rng.random::<f64>().max(f64::MIN_POSITIVE).ln();
        let cold = if self.is_cold() { COLD_FACTOR } else { 1.0 };
        let factor = state.faults.slow_factor * cold * f64::midpoint(1.0, exponential);
        Duration::from_secs_f64(self.spec.service_ms * factor / 1_000.0)
    }

    async fn run(&self, call: &Call) -> Response<Body> {
        let _busy = Busy::new(&self.busy);
        if self.must_be_idle() {
            self.ledger.record_call_after_leaving();
        }
        let Ok(_slot) = self.slots.acquire().await else {
            return failure(call, StatusCode::SERVICE_UNAVAILABLE);
        };
        self.ledger
            .record_run(&self.spec.service, &call.id, call.key.as_deref());
        let time = self.service_time();
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        let children = self.spec.children.iter();
        let calls = children.flat_map(|child| (0..child.fan_out).map(move |turn| (child, turn)));
        let results = join_all(calls.map(|(child, turn)| self.call(call, child, turn))).await;
        match results.into_iter().find_map(Result::err) {
            Some(status) => failure(call, status),
            None => Response::new(full(response::encode(&call.id, self.spec.size))),
        }
    }

    async fn call(&self, parent: &Call, child: &NestedCall, turn: u32) -> Result<(), StatusCode> {
        let service = &child.service;
        let address = self
            .target
            .address(service)
            .ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
        let id = format!("{}.{service}{turn}", parent.id);
        let mut builder = request(address, service, &parent.method, &parent.path);
        builder = builder.header(response::ID_HEADER, &id);
        let key = parent
            .key
            .as_ref()
            .map(|key| format!("{key}.{service}{turn}"));
        let copied = [
            (KEY_HEADER, &key),
            (CUSTOMER_HEADER, &parent.customer),
            (CHAIN_HEADER, &parent.chain),
        ];
        for (name, value) in copied {
            if let Some(value) = value {
                builder = builder.header(name, value);
            }
        }
        let request = builder
            .body(Full::new(Bytes::new()))
            .map_err(|_| StatusCode::BAD_REQUEST)?;
        let timeout = parent.deadline.unwrap_or(CHILD_TIMEOUT);
        let reply = self
            .caller
            .call(request, timeout)
            .await
            .map_err(|lost| match lost {
                CallError::Timeout => StatusCode::GATEWAY_TIMEOUT,
                CallError::Connect | CallError::Disconnected | CallError::Body => {
                    StatusCode::BAD_GATEWAY
                }
            })?;
        if reply.status != StatusCode::OK {
            return Err(reply.status);
        }
        response::check(&id, &reply.body).map_err(|_| StatusCode::BAD_GATEWAY)
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
            let busy = f64::from(self.busy.load(Ordering::Relaxed));
            let report = Report {
                load: faults
                    .report_load
                    .unwrap_or(busy / f64::from(self.spec.slots)),
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
        let reply = self.caller.call(request, ANNOUNCE_INTERVAL).await;
        reply.is_ok_and(|reply| reply.status.is_success())
    }
}

/// A call that failed at the endpoint. The body still names the request.
fn failure(call: &Call, status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(response::encode(&call.id, 0)));
    *response.status_mut() = status;
    response
}

/// Loopback with a port chosen by the operating system.
#[must_use]
pub const fn loopback() -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

/// A loopback address that is free now for TCP and UDP, and that this process has not given out.
///
/// The port lies below those that the operating system gives to outgoing connections, so that none of
/// them can take it while a stand-in or a daemon is down.
///
/// # Errors
///
/// The error of the operating system if no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    const FIRST: u32 = 10_000;
    const COUNT: u32 = 22_000;
    /// Distance between the first ports of processes with successive ids.
    const STRIDE: u32 = 211;
    let start = std::process::id() % COUNT * STRIDE;
    let mut result = Err(io::ErrorKind::AddrInUse.into());
    for _ in 0..COUNT {
        let turn = GIVEN.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + (start + turn) % COUNT;
        let address = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port as u16);
        result = TcpListener::bind(address).and_then(|_| UdpSocket::bind(address));
        if result.is_ok() {
            return Ok(address);
        }
    }
    result.and_then(|socket| socket.local_addr())
}
