//! Clients on a VM, and the calls of its endpoint.

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

use crate::ledger::{Attempt, End, Ledger, Promise, VmIndex};
use crate::server::{self, Tasks};

/// Service whose requests make calls.
pub const SHOP: &str = "shop";

/// Service that is called.
pub const STOCK: &str = "stock";

/// Host of all routes.
pub const HOST: &str = "shop.example";

/// Time in which a connection is established.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Time past its limit for which a client still reads, so that late answers are seen.
const READ_SLACK: Duration = Duration::from_millis(1_500);

/// Connections that a client keeps.
const KEPT: usize = 4;

/// Part of the requests after which the client leaves early.
const LEAVING: f64 = 0.03;

/// Part of the requests that are sent several on one connection.
const PIPELINED: f64 = 0.1;

/// Requests that are sent at once on one connection.
const BATCH: usize = 3;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Name of its route.
    pub name: &'static str,
    /// Path prefix.
    pub prefix: &'static str,
    /// Service.
    pub service: &'static str,
    /// Whether it must not run twice.
    pub once: bool,
    /// Time-out of the route in milliseconds.
    pub timeout_ms: u64,
    /// Rank.
    pub rank: u32,
}

/// Kinds of requests that clients send.
pub const KINDS: [Kind; 3] = [
    Kind {
        name: "look",
        prefix: "/look/",
        service: SHOP,
        once: false,
        timeout_ms: 1_200,
        rank: 1,
    },
    Kind {
        name: "book",
        prefix: "/book/",
        service: SHOP,
        once: true,
        timeout_ms: 1_500,
        rank: 2,
    },
    Kind {
        name: "count",
        prefix: "/count/",
        service: STOCK,
        once: false,
        timeout_ms: 600,
        rank: 0,
    },
];

/// Kind of the calls that endpoints make.
pub const CALL: Kind = Kind {
    name: "bin",
    prefix: "/bin/",
    service: STOCK,
    once: false,
    timeout_ms: 700,
    rank: 1,
};

/// Endpoints to which one attempt may be sent.
pub const ATTEMPTS: u32 = 2;

/// The routes of a configuration; each version adds one route that shows it.
#[must_use]
pub fn routes(version: u64) -> Vec<Route> {
    let kinds = KINDS.into_iter().chain([CALL]);
    let route = |kind: Kind, name: String, prefix: String| Route {
        name: name.into(),
        host: HOST.to_owned(),
        prefix,
        retry_safety: if kind.once {
            RetrySafety::Never
        } else {
            RetrySafety::Idempotent
        },
        timeout: Duration::from_millis(kind.timeout_ms),
        objective: Duration::from_millis(kind.timeout_ms / 2),
        rank: kind.rank,
        attempts: ATTEMPTS,
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
        routes.push(route(CALL, name, version_path(shown)));
    }
    routes
}

/// Path that only versions from this one on allow.
#[must_use]
pub fn version_path(version: u64) -> String {
    format!("/version-{version}/")
}

/// Service of the VM where an attempt began.
#[must_use]
pub fn caller_of(id: &str) -> Option<&'static str> {
    if id.contains('.') {
        return Some(SHOP);
    }
    [SHOP, STOCK]
        .into_iter()
        .find(|service| id.starts_with(*service))
}

/// Body with which an endpoint answers: it depends on all of the request.
#[must_use]
pub fn body(id: &str, head: &Head, body: &[u8]) -> Vec<u8> {
    expected_body(id, head.method(), head.target(), body)
}

fn expected_body(id: &str, method: &str, target: &str, body: &[u8]) -> Vec<u8> {
    let line = format!("{id} {method} {target} {}\n", body.len());
    // Lengths differ from call to call, so that an answer cut short never fits another.
    let times = 1 + id.bytes().map(usize::from).sum::<usize>() % 40;
    line.repeat(times).into_bytes()
}

/// Where an endpoint sends its calls.
#[derive(Clone, Debug)]
pub struct Target {
    /// VM.
    pub vm: VmIndex,
    /// Address for calls of its daemon.
    pub address: SocketAddr,
}

/// Makes a call for an endpoint; returns whether it was answered with success.
pub async fn call(target: &Target, id: &str, left: Duration, ledger: &RefCell<Ledger>) -> bool {
    let request = Request {
        id: id.to_owned(),
        kind: CALL,
        target: format!("{}{id}", CALL.prefix),
        patience: left,
        body: Bytes::new(),
        probe: false,
    };
    let leaving = Leaving { id, ledger };
    let status = exchange(target, &request, ledger).await;
    std::mem::forget(leaving);
    status == Some(200)
}

/// Sends a request over a new connection; returns the status of its answer.
async fn exchange(target: &Target, request: &Request, ledger: &RefCell<Ledger>) -> Option<u16> {
    let mut connection = Connection::open(target.address).await?;
    let sent = connection.send(target.vm, std::slice::from_ref(request), ledger);
    if !sent.await {
        return None;
    }
    connection.receive(request, ledger).await
}

/// Notes that an endpoint left its call because its own request was cancelled.
struct Leaving<'a> {
    id: &'a str,
    ledger: &'a RefCell<Ledger>,
}

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        self.ledger
            .borrow_mut()
            .ended(self.id, Instant::now(), End::Left);
    }
}

/// Asks a daemon for a path that only a version and later ones allow; returns the status.
pub async fn probe(
    target: &Target,
    version: u64,
    id: String,
    ledger: &RefCell<Ledger>,
) -> Option<u16> {
    let request = Request {
        id,
        kind: CALL,
        target: version_path(version),
        patience: Duration::from_millis(CALL.timeout_ms),
        body: Bytes::new(),
        probe: true,
    };
    exchange(target, &request, ledger).await
}

/// A request of a client.
#[derive(Clone, Debug)]
struct Request {
    id: String,
    kind: Kind,
    target: String,
    patience: Duration,
    body: Bytes,
    /// Whether 404 is a proper answer.
    probe: bool,
}

impl Request {
    fn method(&self) -> &'static str {
        if self.kind.once { "POST" } else { "GET" }
    }

    fn limit(&self) -> Duration {
        self.patience
            .min(Duration::from_millis(self.kind.timeout_ms))
    }
}

struct Connection {
    stream: TcpStream,
    collector: transport::http1::Decoder,
    buffer: BytesMut,
    usable: bool,
}

impl Connection {
    async fn open(address: SocketAddr) -> Option<Self> {
        let stream = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
        let stream = stream.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self {
            stream,
            collector: server::collector(MessageKind::Response),
            buffer: BytesMut::new(),
            usable: true,
        })
    }

    /// Sends requests at once; returns whether they left.
    async fn send(&mut self, vm: VmIndex, requests: &[Request], ledger: &RefCell<Ledger>) -> bool {
        let mut bytes = Vec::new();
        for request in requests {
            let sent = ClientRequest {
                method: request.method(),
                host: HOST,
                target: &request.target,
                id: &request.id,
                client_timeout: request.patience,
                body: &request.body,
            };
            standin::encode_request(&sent, &mut bytes);
            let attempt = Attempt {
                vm,
                service: request.kind.service,
                once: request.kind.once,
                attempts: ATTEMPTS as usize,
                limit: request.limit(),
                sent: Instant::now(),
                end: None,
            };
            ledger.borrow_mut().sent(&request.id, attempt);
        }
        let written = self.stream.write_all(&bytes).await.is_ok();
        if !written {
            let mut ledger = ledger.borrow_mut();
            for request in requests {
                ledger.ended(&request.id, Instant::now(), End::Closed);
            }
        }
        written
    }

    /// Reads the answer to a request and checks it; returns its status.
    async fn receive(&mut self, request: &Request, ledger: &RefCell<Ledger>) -> Option<u16> {
        let limit = request.limit() + READ_SLACK;
        let read = server::read(&mut self.stream, &mut self.collector, &mut self.buffer);
        let Ok(answer) = timeout(limit, read).await else {
            self.usable = false;
            return None;
        };
        let now = Instant::now();
        let mut ledger = ledger.borrow_mut();
        let Some(answer) = answer else {
            self.usable = false;
            ledger.ended(&request.id, now, End::Closed);
            if !self.buffer.is_empty() && self.collector.pending().is_none() {
                let seen = format!("{} got bytes that are no answer", request.id);
                ledger.broken(Promise::Whole, seen);
            }
            return None;
        };
        self.usable &= !answer.head.close;
        let returned = standin::decode_response(&answer.head);
        let id = &request.id;
        if returned.id.as_ref().is_some_and(|other| other != id) {
            let seen = format!("{id} got the answer to {:?}", returned.id);
            ledger.broken(Promise::Whole, seen);
        }
        let expected = expected_body(id, request.method(), &request.target, &request.body);
        let whole = returned.signed && answer.body == expected;
        if (returned.status == 200 || returned.signed) && !whole {
            let seen = format!(
                "{id} got status {} with {} of {} bytes, signed: {}",
                returned.status,
                answer.body.len(),
                expected.len(),
                returned.signed
            );
            ledger.broken(Promise::Whole, seen);
        }
        if returned.status == 404 && !request.probe {
            ledger.broken(Promise::Configured, format!("{id} got 404"));
        }
        let status = returned.status;
        ledger.ended(id, now, End::Answered(returned));
        Some(status)
    }
}

/// Clients of one VM.
#[derive(Debug)]
pub struct Clients {
    target: Target,
    service: &'static str,
    /// Requests a second.
    pub rate: Cell<f64>,
    rng: RefCell<SmallRng>,
    next: Cell<u64>,
    kept: RefCell<Vec<Connection>>,
    ledger: Rc<RefCell<Ledger>>,
    tasks: Tasks,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection").finish_non_exhaustive()
    }
}

impl Clients {
    /// Clients beside an endpoint of a service.
    #[must_use]
    pub fn new(
        target: Target,
        service: &'static str,
        seed: u64,
        ledger: Rc<RefCell<Ledger>>,
        tasks: Tasks,
    ) -> Rc<Self> {
        Rc::new(Self {
            target,
            service,
            rate: Cell::new(0.0),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            next: Cell::new(0),
            kept: RefCell::default(),
            ledger,
            tasks,
        })
    }

    /// Sends requests at random times, as long as the soak runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            let rate = self.rate.get();
            if rate <= 0.0 {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
            let toss: f64 = self.rng.borrow_mut().random_range(1e-6..1.0);
            tokio::time::sleep(Duration::from_secs_f64(-toss.ln() / rate)).await;
            let batch = if self.rng.borrow_mut().random_bool(PIPELINED) {
                BATCH
            } else {
                1
            };
            self.tasks.spawn(Rc::clone(&self).attempt(batch));
        }
    }

    fn request(&self, batch: usize) -> Request {
        let mut rng = self.rng.borrow_mut();
        // Only calls that may run again are sent behind others.
        let kinds: Vec<Kind> = KINDS
            .into_iter()
            .filter(|kind| batch == 1 || !kind.once)
            .collect();
        let kind = kinds[rng.random_range(0..kinds.len())];
        let number = self.next.get();
        self.next.set(number + 1);
        let id = format!("{}-{}-{number}", self.service, self.target.vm);
        let length = if kind.once {
            rng.random_range(1..3_000)
        } else {
            0
        };
        Request {
            target: format!("{}{number}?vm={}", kind.prefix, self.target.vm),
            id,
            kind,
            patience: Duration::from_millis(rng.random_range(300..3_000)),
            body: vec![b'x'; length].into(),
            probe: false,
        }
    }

    async fn attempt(self: Rc<Self>, batch: usize) {
        let requests: Vec<Request> = (0..batch).map(|_| self.request(batch)).collect();
        let leaves = self.rng.borrow_mut().random_bool(LEAVING);
        let pause = Duration::from_millis(self.rng.borrow_mut().random_range(1..200));
        let kept = self.kept.borrow_mut().pop();
        let connection = match kept {
            Some(kept) => Some(kept),
            None => Connection::open(self.target.address).await,
        };
        // A daemon that is not there takes no work: nothing was sent.
        let Some(mut connection) = connection else {
            return;
        };
        if !connection
            .send(self.target.vm, &requests, &self.ledger)
            .await
        {
            return;
        }
        let answers = async {
            for (turn, request) in requests.iter().enumerate() {
                if connection.receive(request, &self.ledger).await.is_none() {
                    return turn + 1;
                }
            }
            requests.len()
        };
        if leaves {
            if timeout(pause, answers).await.is_err() {
                self.left(&requests);
                return;
            }
        } else {
            // Requests behind one without an answer count as unsent.
            let read = answers.await;
            self.left(&requests[read..]);
        }
        if connection.usable && self.kept.borrow().len() < KEPT {
            self.kept.borrow_mut().push(connection);
        }
    }

    /// Notes that the client waits for no further answers of these requests.
    fn left(&self, requests: &[Request]) {
        let mut ledger = self.ledger.borrow_mut();
        for request in requests {
            ledger.ended(&request.id, Instant::now(), End::Left);
        }
    }
}
