//! Clients on a VM, and the nested calls of its endpoint.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use adapter::standin::{self, ClientRequest};
use bytes::{Bytes, BytesMut};
use policy::routing::{RetrySafety, Route, WeightedService};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use transport::http1::{Head, MessageKind};

use crate::net::{self, TaskGroup};
use crate::oracle::{Call, CallEnd, Guarantee, Oracle, VmIndex};
use crate::organisation;

/// Service whose endpoints make nested calls.
pub const SHOP: &str = "shop";

/// Service that receives the nested calls.
pub const STOCK: &str = "stock";

/// Host of all routes.
pub const HOST: &str = "shop.example";

/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a client reads on after the timeout, so that late responses are recorded.
const LATE_READ_GRACE: Duration = Duration::from_millis(1_500);

/// Idle connections that the clients of one VM keep open.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Fraction of the batches that the client cancels early.
const CANCELLED_FRACTION: f64 = 0.03;

/// Fraction of the batches that are pipelined on one connection.
const PIPELINED_FRACTION: f64 = 0.1;

/// Requests in a pipelined batch.
const PIPELINED_COUNT: usize = 3;

/// Kind of call.
#[derive(Clone, Copy, Debug)]
pub struct CallKind {
    /// Name of its route.
    pub name: &'static str,
    /// Path prefix.
    pub prefix: &'static str,
    /// Service that runs it.
    pub service: &'static str,
    /// Whether it must run at most once.
    pub non_idempotent: bool,
    /// Timeout of the route in milliseconds.
    pub timeout_ms: u64,
    /// Rank of the route.
    pub rank: u32,
}

/// Kinds of calls that clients send.
pub const CLIENT_CALLS: [CallKind; 3] = [
    CallKind {
        name: "look",
        prefix: "/look/",
        service: SHOP,
        non_idempotent: false,
        timeout_ms: 1_200,
        rank: 1,
    },
    CallKind {
        name: "book",
        prefix: "/book/",
        service: SHOP,
        non_idempotent: true,
        timeout_ms: 1_500,
        rank: 2,
    },
    CallKind {
        name: "count",
        prefix: "/count/",
        service: STOCK,
        non_idempotent: false,
        timeout_ms: 600,
        rank: 0,
    },
];

/// Kind of the nested calls that endpoints make.
pub const NESTED_CALL: CallKind = CallKind {
    name: "bin",
    prefix: "/bin/",
    service: STOCK,
    non_idempotent: false,
    timeout_ms: 700,
    rank: 1,
};

/// Most attempts of a call.
pub const MAX_ATTEMPTS: u32 = 2;

/// Returns the routes of a configuration; each version adds a route by which it can be recognized.
#[must_use]
pub fn routes(version: u64) -> Vec<Route> {
    let kinds = CLIENT_CALLS.into_iter().chain([NESTED_CALL]);
    let route = |kind: CallKind, name: String, prefix: String| Route {
        // Endpoints and probes send no keys.
        exempt: kind.name == NESTED_CALL.name,
        name: name.into(),
        host: HOST.to_owned(),
        prefix,
        retry_safety: if kind.non_idempotent {
            RetrySafety::Never
        } else {
            RetrySafety::Idempotent
        },
        timeout: Duration::from_millis(kind.timeout_ms),
        objective: Duration::from_millis(kind.timeout_ms / 2),
        rank: kind.rank,
        attempts: MAX_ATTEMPTS,
        services: vec![WeightedService {
            service: kind.service.into(),
            weight: 1.0,
        }],
    };
    let mut routes: Vec<Route> = kinds
        .map(|kind| route(kind, kind.name.to_owned(), kind.prefix.to_owned()))
        .collect();
    for shown in 1..=version {
        let name = format!("version-{shown}");
        routes.push(route(NESTED_CALL, name, version_path(shown)));
    }
    routes
}

/// Returns the path that only this version and later ones route.
#[must_use]
pub fn version_path(version: u64) -> String {
    format!("/version-{version}/")
}

/// Returns the service of the VM that sent the call with this id.
///
/// A dot in the id marks a nested call, which only endpoints of [`SHOP`] make.
#[must_use]
pub fn caller_service(id: &str) -> Option<&'static str> {
    if id.contains('.') {
        return Some(SHOP);
    }
    [SHOP, STOCK]
        .into_iter()
        .find(|service| id.starts_with(*service))
}

/// Returns the response body for a request; it depends on all parts of the request.
#[must_use]
pub fn response_body(id: &str, head: &Head, body: &[u8]) -> Vec<u8> {
    expected_body(id, head.method(), head.target(), body)
}

fn expected_body(id: &str, method: &str, target: &str, body: &[u8]) -> Vec<u8> {
    let line = format!("{id} {method} {target} {}\n", body.len());
    // Lengths differ from call to call, so that a truncated response never matches another one.
    let times = 1 + id.bytes().map(usize::from).sum::<usize>() % 40;
    line.repeat(times).into_bytes()
}

/// Daemon to which clients and endpoints send calls.
#[derive(Clone, Debug)]
pub struct Entry {
    /// VM of the daemon.
    pub vm: VmIndex,
    /// Address on which the daemon accepts calls.
    pub address: SocketAddr,
}

/// Makes a nested call for an endpoint; returns whether it got status 200.
pub async fn send_nested_call(
    entry: &Entry,
    id: &str,
    client_timeout: Duration,
    oracle: &RefCell<Oracle>,
) -> bool {
    let request = Request {
        id: id.to_owned(),
        kind: NESTED_CALL,
        target: format!("{}{id}", NESTED_CALL.prefix),
        client_timeout,
        body: Bytes::new(),
        key: None,
        is_measured: true,
        probe: false,
    };
    let guard = CancelGuard { id, oracle };
    let status = exchange(entry, &request, oracle).await;
    std::mem::forget(guard);
    status == Some(200)
}

/// Sends a request over a new connection; returns the status of the response.
async fn exchange(entry: &Entry, request: &Request, oracle: &RefCell<Oracle>) -> Option<u16> {
    let mut connection = Connection::open(entry.address).await?;
    let sent = connection.send(entry.vm, std::slice::from_ref(request), oracle);
    if !sent.await {
        return None;
    }
    connection.receive(request, oracle).await
}

/// Records a nested call as cancelled if it is dropped with its parent call.
struct CancelGuard<'a> {
    id: &'a str,
    oracle: &'a RefCell<Oracle>,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        self.oracle
            .borrow_mut()
            .record_end(self.id, Instant::now(), CallEnd::Cancelled);
    }
}

/// Sends a daemon a request that only a version and later ones route; returns the status.
pub async fn probe_version(
    entry: &Entry,
    version: u64,
    id: String,
    oracle: &RefCell<Oracle>,
) -> Option<u16> {
    let request = Request {
        id,
        kind: NESTED_CALL,
        target: version_path(version),
        client_timeout: Duration::from_millis(NESTED_CALL.timeout_ms),
        body: Bytes::new(),
        key: None,
        is_measured: true,
        probe: true,
    };
    exchange(entry, &request, oracle).await
}

/// Request of a client or an endpoint.
#[derive(Clone, Debug)]
struct Request {
    id: String,
    kind: CallKind,
    target: String,
    client_timeout: Duration,
    body: Bytes,
    /// Key of an organisation.
    key: Option<String>,
    /// Whether it counts in the goodput: its key is valid, or none is needed.
    is_measured: bool,
    /// Whether it probes for a configuration version, so that 404 is allowed and no key is needed.
    probe: bool,
}

impl Request {
    fn method(&self) -> &'static str {
        if self.kind.non_idempotent {
            "POST"
        } else {
            "GET"
        }
    }

    fn timeout(&self) -> Duration {
        self.client_timeout
            .min(Duration::from_millis(self.kind.timeout_ms))
    }
}

struct Connection {
    stream: TcpStream,
    decoder: transport::http1::Decoder,
    buffer: BytesMut,
    reusable: bool,
}

impl Connection {
    async fn open(address: SocketAddr) -> Option<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self {
            stream,
            decoder: net::decoder(MessageKind::Response),
            buffer: BytesMut::new(),
            reusable: true,
        })
    }

    /// Sends requests in one write; returns whether that succeeded.
    async fn send(&mut self, vm: VmIndex, requests: &[Request], oracle: &RefCell<Oracle>) -> bool {
        let mut bytes = Vec::new();
        for request in requests {
            let sent = ClientRequest {
                method: request.method(),
                host: HOST,
                target: &request.target,
                id: &request.id,
                client_timeout: request.client_timeout,
                key: request.key.as_deref(),
                body: &request.body,
            };
            standin::encode_request(&sent, &mut bytes);
            let call = Call {
                vm,
                service: request.kind.service,
                non_idempotent: request.kind.non_idempotent,
                max_attempts: MAX_ATTEMPTS as usize,
                timeout: request.timeout(),
                key: request.key.clone(),
                needs_key: !request.probe,
                is_measured: request.is_measured,
                sent_at: Instant::now(),
                end: None,
            };
            oracle.borrow_mut().record_call(&request.id, call);
        }
        let written = self.stream.write_all(&bytes).await.is_ok();
        if !written {
            let mut oracle = oracle.borrow_mut();
            for request in requests {
                oracle.record_end(&request.id, Instant::now(), CallEnd::Closed);
            }
        }
        written
    }

    /// Reads the response to a request and checks it; returns its status.
    async fn receive(&mut self, request: &Request, oracle: &RefCell<Oracle>) -> Option<u16> {
        let limit = request.timeout() + LATE_READ_GRACE;
        let read = net::read_message(&mut self.stream, &mut self.decoder, &mut self.buffer);
        let Ok(response) = timeout(limit, read).await else {
            self.reusable = false;
            return None;
        };
        let now = Instant::now();
        let mut oracle = oracle.borrow_mut();
        let Some(response) = response else {
            self.reusable = false;
            oracle.record_end(&request.id, now, CallEnd::Closed);
            if !self.buffer.is_empty() && self.decoder.pending().is_none() {
                let detail = format!("{} got bytes that are no HTTP response", request.id);
                oracle.record_violation(Guarantee::Whole, detail);
            }
            return None;
        };
        self.reusable &= !response.head.close;
        let returned = standin::decode_response(&response.head);
        let id = &request.id;
        if returned.id.as_ref().is_some_and(|other| other != id) {
            let detail = format!("{id} got the response to {:?}", returned.id);
            oracle.record_violation(Guarantee::Whole, detail);
        }
        let expected = expected_body(id, request.method(), &request.target, &request.body);
        let whole = returned.signed && response.body == expected;
        if (returned.status == 200 || returned.signed) && !whole {
            let detail = format!(
                "{id} got status {} with {} of {} bytes, signed: {}",
                returned.status,
                response.body.len(),
                expected.len(),
                returned.signed
            );
            oracle.record_violation(Guarantee::Whole, detail);
        }
        if returned.status == 404 && !request.probe {
            oracle.record_violation(Guarantee::Configured, format!("{id} got 404"));
        }
        let status = returned.status;
        oracle.record_end(id, now, CallEnd::Response(returned));
        Some(status)
    }
}

/// Clients on one VM.
#[derive(Debug)]
pub struct Clients {
    entry: Entry,
    service: &'static str,
    /// Batches per second.
    pub rate: Cell<f64>,
    /// Newest version of the configuration if it has organisations.
    pub keys_version: Cell<Option<u64>>,
    rng: RefCell<SmallRng>,
    next_id: Cell<u64>,
    idle: RefCell<Vec<Connection>>,
    oracle: Rc<RefCell<Oracle>>,
    tasks: TaskGroup,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection").finish_non_exhaustive()
    }
}

impl Clients {
    /// Creates the clients beside an endpoint of a service.
    #[must_use]
    pub fn new(
        entry: Entry,
        service: &'static str,
        seed: u64,
        oracle: Rc<RefCell<Oracle>>,
        tasks: TaskGroup,
    ) -> Rc<Self> {
        Rc::new(Self {
            entry,
            service,
            rate: Cell::new(0.0),
            keys_version: Cell::new(None),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            next_id: Cell::new(0),
            idle: RefCell::default(),
            oracle,
            tasks,
        })
    }

    /// Sends batches of requests at random times until the run ends.
    pub async fn run(self: Rc<Self>) {
        loop {
            let rate = self.rate.get();
            if rate <= 0.0 {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
            let random: f64 = self.rng.borrow_mut().random_range(1e-6..1.0);
            tokio::time::sleep(Duration::from_secs_f64(-random.ln() / rate)).await;
            let batch = if self.rng.borrow_mut().random_bool(PIPELINED_FRACTION) {
                PIPELINED_COUNT
            } else {
                1
            };
            self.tasks.spawn(Rc::clone(&self).send_batch(batch));
        }
    }

    fn request(&self, batch: usize) -> Request {
        let mut rng = self.rng.borrow_mut();
        // Only idempotent calls are pipelined.
        let kinds: Vec<CallKind> = CLIENT_CALLS
            .into_iter()
            .filter(|kind| batch == 1 || !kind.non_idempotent)
            .collect();
        let kind = kinds[rng.random_range(0..kinds.len())];
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        let id = format!("{}-{}-{number}", self.service, self.entry.vm);
        let length = if kind.non_idempotent {
            rng.random_range(1..3_000)
        } else {
            0
        };
        let newest = self.keys_version.get();
        let (key, is_measured) = newest.map_or((None, true), |newest| {
            organisation::pick_key(&mut rng, newest)
        });
        Request {
            target: format!("{}{number}?vm={}", kind.prefix, self.entry.vm),
            id,
            kind,
            client_timeout: Duration::from_millis(rng.random_range(300..3_000)),
            body: vec![b'x'; length].into(),
            key,
            is_measured,
            probe: false,
        }
    }

    async fn send_batch(self: Rc<Self>, batch: usize) {
        let requests: Vec<Request> = (0..batch).map(|_| self.request(batch)).collect();
        let cancels = self.rng.borrow_mut().random_bool(CANCELLED_FRACTION);
        let cancel_delay = Duration::from_millis(self.rng.borrow_mut().random_range(1..200));
        let idle = self.idle.borrow_mut().pop();
        let connection = match idle {
            Some(idle) => Some(idle),
            None => Connection::open(self.entry.address).await,
        };
        // Without a daemon nothing was sent, so there is nothing to record.
        let Some(mut connection) = connection else {
            return;
        };
        if !connection
            .send(self.entry.vm, &requests, &self.oracle)
            .await
        {
            return;
        }
        let responses = async {
            for (index, request) in requests.iter().enumerate() {
                if connection.receive(request, &self.oracle).await.is_none() {
                    return index + 1;
                }
            }
            requests.len()
        };
        if cancels {
            if timeout(cancel_delay, responses).await.is_err() {
                self.record_cancelled(&requests);
                return;
            }
        } else {
            // Requests behind one without a response count as not sent.
            let read = responses.await;
            self.record_cancelled(&requests[read..]);
        }
        if connection.reusable && self.idle.borrow().len() < MAX_IDLE_CONNECTIONS {
            self.idle.borrow_mut().push(connection);
        }
    }

    /// Records that the client no longer waits for the responses to these requests.
    fn record_cancelled(&self, requests: &[Request]) {
        let mut oracle = self.oracle.borrow_mut();
        for request in requests {
            oracle.record_end(&request.id, Instant::now(), CallEnd::Cancelled);
        }
    }
}
