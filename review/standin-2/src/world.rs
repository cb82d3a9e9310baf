//! Stand-ins of the platform: machines with a daemon process, an endpoint and clients, and a store.
//!
//! The store is the project's own stand-in. Endpoints and clients are small new ones that do what
//! the platform's pages say and nothing else.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use adapter::standin::{self, ClientRequest};
use bytes::BytesMut;
use policy::fleet::{Announcement, State};
use policy::routing::{RetrySafety, Route, WeightedService};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use soak::net::{self, TaskGroup};
use soak::store::{Fault, Store};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use transport::http1::MessageKind;

/// `ContactMs` of the platform's pages.
pub const CONTACT: Duration = Duration::from_millis(3_000);

/// `DrainMs` of the platform's pages.
pub const DRAIN: Duration = Duration::from_millis(2_000);

/// `GraceS` of the platform's pages.
pub const GRACE: Duration = Duration::from_secs(6);

/// `HeartbeatMs` of the platform's pages.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Host of all routes.
pub const HOST: &str = "review.example";

/// Ports of a machine, as offsets from a base that is free on all machines.
const PORTS: u16 = 7;

/// Everything that was sent, answered and run.
#[derive(Debug, Default)]
pub struct Record {
    lines: Vec<(Instant, String)>,
    /// Runs of each request: when, and at which instance.
    pub runs: HashMap<String, Vec<(Instant, String)>>,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A complete answer: status, and whether an endpoint signed it.
    Complete(u16, bool),
    /// The connection could not be opened or ended before the request was sent.
    NotSent,
    /// The whole request was sent and the connection ended without a complete answer.
    Ended,
    /// The client gave up at its deadline.
    GaveUp,
}

/// A deployment on loopback addresses.
pub struct World {
    pub start: Instant,
    pub record: RefCell<Record>,
    pub store: Rc<Store>,
    pub tasks: TaskGroup,
    program: PathBuf,
    directory: PathBuf,
    network: (u8, u8),
    base: u16,
    services: Vec<&'static str>,
    /// Further settings: memory and bounds of quotas.
    quota: bool,
    processes: RefCell<Vec<Option<Child>>>,
    next_id: Cell<u64>,
}

/// Bytes that an endpoint in trouble sends at once, and the pause after them: about 40 MB a second on a connection.
const ENDLESS_PART: usize = 64 << 10;
const ENDLESS_PAUSE: Duration = Duration::from_millis(1);

/// An endpoint, which announces itself to the daemon on its machine.
pub struct Endpoint {
    pub instance: String,
    world: Rc<World>,
    vm: usize,
    slots: u32,
    work: Duration,
    born: u64,
    sequence: Cell<u64>,
    state: Cell<State>,
    silent: Cell<bool>,
    permits: Semaphore,
    inside: Cell<usize>,
    tasks: TaskGroup,
    /// Whether its answers have no length and no end.
    pub endless: Cell<bool>,
}

/// A connection that a client keeps.
pub struct Kept {
    stream: TcpStream,
    decoder: transport::http1::Decoder,
    buffer: BytesMut,
}

fn free_network(vms: usize) -> Option<((u8, u8), u16)> {
    let mut seed = u64::from(std::process::id())
        ^ SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default()
            .as_nanos() as u64;
    for _ in 0..50 {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let network = ((seed >> 40) as u8 % 200 + 20, (seed >> 48) as u8);
        let base = 20_000 + (seed >> 33) as u16 % 8_000;
        let is_free = (0..vms).all(|vm| {
            let ip = Ipv4Addr::new(127, network.0, network.1, 10 + vm as u8);
            (0..PORTS).all(|port| TcpListener::bind((ip, base + port)).is_ok())
        });
        if is_free {
            return Some((network, base));
        }
    }
    None
}

impl World {
    /// Creates machines, one for each service named, and starts the store.
    pub fn new(services: Vec<&'static str>, quota: bool) -> std::io::Result<Rc<Self>> {
        let (network, base) = free_network(services.len())
            .ok_or_else(|| std::io::Error::other("no free loopback addresses"))?;
        let directory = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let program = std::env::var_os("DAEMON").map_or_else(
            || PathBuf::from("target/release/sapphiredoor"),
            PathBuf::from,
        );
        if !program.exists() {
            return Err(std::io::Error::other("the daemon has not been built"));
        }
        let world = Rc::new(Self {
            start: Instant::now(),
            record: RefCell::default(),
            store: Rc::new(Store::default()),
            tasks: TaskGroup::default(),
            program,
            directory,
            network,
            base,
            processes: RefCell::new(services.iter().map(|_| None).collect()),
            services,
            quota,
            next_id: Cell::new(0),
        });
        world.tasks.spawn(Rc::clone(&world.store).run_expiry());
        for vm in 0..world.vms() {
            let listener = net::bind(world.at(vm, 6))?;
            let store = Rc::clone(&world.store);
            world
                .tasks
                .spawn(store.serve(listener, vm, world.tasks.clone()));
        }
        Ok(world)
    }

    pub fn vms(&self) -> usize {
        self.services.len()
    }

    fn at(&self, vm: usize, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.network.0, self.network.1, 10 + vm as u8);
        SocketAddr::new(IpAddr::V4(ip), self.base + port)
    }

    /// Records a line.
    pub fn note(&self, line: impl Into<String>) {
        self.record
            .borrow_mut()
            .lines
            .push((Instant::now(), line.into()));
    }

    /// Writes what was recorded.
    pub fn write_record(&self, path: &Path) -> std::io::Result<()> {
        let mut text = String::new();
        for (at, line) in &self.record.borrow().lines {
            let time = at.saturating_duration_since(self.start).as_secs_f64();
            let _ = writeln!(text, "{time:8.3} {line}");
        }
        std::fs::write(path, text)
    }

    /// Starts the daemon of a machine with the command of the deploy file.
    pub fn start_daemon(&self, vm: usize) -> std::io::Result<()> {
        let seeds: Vec<SocketAddr> = (0..self.vms())
            .filter(|other| *other != vm)
            .take(3)
            .map(|other| self.at(other, 4))
            .collect();
        let mut settings = json!({
            "vm": vm_name(vm), "data_centre": "madrid",
            "endpoint": {"service": self.services[vm], "address": self.at(vm, 1), "heartbeat_ms": 1500},
            "listen": {
                "calls": self.at(vm, 3), "peers": self.at(vm, 0), "ready": self.at(vm, 2),
                "control": self.at(vm, 4), "metrics": self.at(vm, 5),
            },
            "seeds": seeds,
            "store": {"address": self.at(vm, 6), "shortest_lease_ms": 1000},
            "bounds": {
                "drain_ms": 2000, "grace_s": 6, "repeat_ratio": 0.2, "repeat_slack": 48,
                "repeat_window_s": 10,
            },
            "memory": {"limit_mb": 260, "descriptors": 4100},
        });
        if self.quota {
            settings["bounds"]["quota_window_s"] = 5.into();
            settings["bounds"]["quota_over"] = 0.1.into();
            settings["bounds"]["quota_slack"] = 20.into();
        }
        let path = self.directory.join(format!("{}.jsonc", vm_name(vm)));
        std::fs::write(&path, settings.to_string())?;
        let log = self.directory.join(format!("{}.log", vm_name(vm)));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(&self.program)
            .arg("sidecar")
            .arg("--settings")
            .arg(path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.processes.borrow_mut()[vm] = Some(child);
        self.note(format!("start daemon {}", vm_name(vm)));
        Ok(())
    }

    /// Sends a signal to the daemon of a machine.
    pub fn signal(&self, vm: usize, signal: Signal) {
        let processes = self.processes.borrow();
        let id = processes[vm].as_ref().map(Child::id);
        if let Some(pid) = id.and_then(|id| Pid::from_raw(id.cast_signed())) {
            self.note(format!("signal {signal:?} to daemon {}", vm_name(vm)));
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the daemon of a machine.
    pub fn kill_daemon(&self, vm: usize) {
        self.signal(vm, Signal::KILL);
        if let Some(mut child) = self.processes.borrow_mut()[vm].take() {
            let _ = child.wait();
        }
    }

    /// Whether the daemon of a machine has exited.
    pub fn has_exited(&self, vm: usize) -> bool {
        let mut processes = self.processes.borrow_mut();
        let child = processes[vm].as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Returns the resident memory of a daemon in bytes.
    pub fn resident(&self, vm: usize) -> u64 {
        let id = self.processes.borrow()[vm].as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kib.unwrap_or(0) << 10
    }

    /// Ends all processes and removes the temporary folder.
    pub fn end(&self) {
        for vm in 0..self.vms() {
            if let Some(mut child) = self.processes.borrow_mut()[vm].take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }

    /// Whether the daemon of a machine answers its readiness check with 200.
    pub async fn is_ready(&self, vm: usize) -> bool {
        let request = standin::encode_readiness_request();
        let answer = net::exchange(self.at(vm, 2), &request, Duration::from_millis(500)).await;
        answer.is_some_and(|answer| answer.head.status == 200)
    }

    /// Waits until all daemons are ready; returns whether they are in time.
    pub async fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        for vm in 0..self.vms() {
            while !self.is_ready(vm).await {
                if Instant::now() >= end {
                    return false;
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        true
    }

    /// Sets or clears a fault of the store for all machines.
    pub fn set_store_fault(&self, fault: Option<Fault>) {
        self.note(format!("store for all machines: {fault:?}"));
        for vm in 0..self.vms() {
            self.store.set_fault(vm, fault);
        }
    }

    /// Returns a new id of an attempt.
    pub fn new_id(&self) -> String {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        format!("{:016x}", id.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ 0x5bd1)
    }

    /// Sends one attempt of a client on a machine over a new connection.
    pub async fn send(
        &self,
        vm: usize,
        method: &str,
        path: &str,
        id: &str,
        deadline: Duration,
        key: Option<&str>,
    ) -> Answer {
        let mut bytes = Vec::new();
        let request = ClientRequest {
            method,
            host: HOST,
            target: path,
            id,
            client_timeout: deadline,
            key,
            body: if method == "POST" { b"booking" } else { b"" },
        };
        standin::encode_request(&request, &mut bytes);
        self.note(format!("sent {id} {method} {path} on {}", vm_name(vm)));
        let exchange = async {
            let Ok(mut stream) = TcpStream::connect(self.at(vm, 3)).await else {
                return Answer::NotSent;
            };
            if stream.write_all(&bytes).await.is_err() {
                return Answer::NotSent;
            }
            let mut decoder = net::decoder(MessageKind::Response);
            let mut buffer = BytesMut::new();
            match net::read_message(&mut stream, &mut decoder, &mut buffer).await {
                Some(message) => {
                    let head = standin::decode_response(&message.head);
                    Answer::Complete(head.status, head.signed)
                }
                None => Answer::Ended,
            }
        };
        let answer = timeout(deadline, exchange).await.unwrap_or(Answer::GaveUp);
        self.note(format!("answered {id} {answer:?}"));
        answer
    }

    /// Opens a connection of a client on a machine.
    pub async fn connect(&self, vm: usize) -> Option<Kept> {
        let stream = TcpStream::connect(self.at(vm, 3)).await.ok()?;
        Some(Kept {
            stream,
            decoder: net::decoder(MessageKind::Response),
            buffer: BytesMut::new(),
        })
    }

    /// Sends one attempt over a kept connection. Any other answer than a complete one ends the use
    /// of the connection.
    pub async fn send_over(
        &self,
        kept: &mut Kept,
        path: &str,
        id: &str,
        deadline: Duration,
    ) -> Answer {
        let mut bytes = Vec::new();
        let request = ClientRequest {
            method: "GET",
            host: HOST,
            target: path,
            id,
            client_timeout: deadline,
            key: None,
            body: b"",
        };
        standin::encode_request(&request, &mut bytes);
        self.note(format!("sent {id} {path} over a kept connection"));
        let exchange = async {
            if kept.stream.write_all(&bytes).await.is_err() {
                return Answer::NotSent;
            }
            match net::read_message(&mut kept.stream, &mut kept.decoder, &mut kept.buffer).await {
                Some(message) => {
                    let head = standin::decode_response(&message.head);
                    Answer::Complete(head.status, head.signed)
                }
                None => Answer::Ended,
            }
        };
        let answer = timeout(deadline, exchange).await.unwrap_or(Answer::GaveUp);
        self.note(format!("answered {id} {answer:?}"));
        answer
    }

    /// Starts an endpoint on a machine.
    pub fn start_endpoint(
        self: &Rc<Self>,
        vm: usize,
        slots: u32,
        work: Duration,
    ) -> std::io::Result<Rc<Endpoint>> {
        self.start_endpoint_at(vm, slots, work, SystemTime::now())
    }

    /// Starts an endpoint on a machine whose time of day is this one.
    pub fn start_endpoint_at(
        self: &Rc<Self>,
        vm: usize,
        slots: u32,
        work: Duration,
        time_of_day: SystemTime,
    ) -> std::io::Result<Rc<Endpoint>> {
        let listener = net::bind(self.at(vm, 1))?;
        let now = time_of_day.duration_since(SystemTime::UNIX_EPOCH);
        let endpoint = Rc::new(Endpoint {
            instance: format!("i-{}", vm_name(vm)),
            world: Rc::clone(self),
            vm,
            slots,
            work,
            born: now.unwrap_or_default().as_millis() as u64,
            sequence: Cell::new(0),
            state: Cell::new(State::Ready),
            silent: Cell::new(false),
            permits: Semaphore::new(slots as usize),
            inside: Cell::new(0),
            tasks: TaskGroup::default(),
            endless: Cell::new(false),
        });
        self.note(format!(
            "endpoint {} starts, born {}",
            endpoint.instance, endpoint.born
        ));
        let owner = Rc::clone(&endpoint);
        endpoint.tasks.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                owner.tasks.spawn(Rc::clone(&owner).serve(stream));
            }
        });
        let owner = Rc::clone(&endpoint);
        endpoint.tasks.spawn(async move {
            // The endpoints beat at times of their own, not all at once.
            let first = owner.heartbeat();
            owner.tell(&first).await;
            let phase = HEARTBEAT * (vm as u32 + 1) / owner.world.vms() as u32;
            sleep(phase).await;
            while !owner.silent.get() {
                let heartbeat = owner.heartbeat();
                owner.tell(&heartbeat).await;
                sleep(HEARTBEAT).await;
            }
        });
        Ok(endpoint)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.end();
    }
}

impl Endpoint {
    /// Returns its next heartbeat.
    pub fn heartbeat(&self) -> Vec<u8> {
        self.sequence.set(self.sequence.get() + 1);
        standin::encode_heartbeat(&Announcement {
            instance: self.instance.as_str().into(),
            service: self.world.services[self.vm].into(),
            data_centre: "madrid".into(),
            address: self.world.at(self.vm, 1),
            slots: self.slots,
            state: self.state.get(),
            cold: Duration::ZERO,
            started_ms: self.born,
            sequence: self.sequence.get(),
        })
    }

    /// Sends a message to the daemon on this machine; returns whether it acknowledged in time.
    pub async fn tell(&self, message: &[u8]) -> bool {
        let address = self.world.at(self.vm, 4);
        let answer = net::exchange(address, message, Duration::from_secs(1)).await;
        answer.is_some_and(|answer| (200..300).contains(&answer.head.status))
    }

    /// Reports that it is draining, in this heartbeat and all later ones, and goes on serving;
    /// returns when that was acknowledged.
    pub async fn drain(&self) -> Option<Instant> {
        self.state.set(State::Draining);
        let message = self.heartbeat();
        self.world.note(format!("{} is draining", self.instance));
        let acknowledged = self.tell(&message).await;
        self.world.note(format!(
            "draining of {} acknowledged: {acknowledged}",
            self.instance
        ));
        acknowledged.then(Instant::now)
    }

    /// Deregisters first, and goes on serving; returns when that was acknowledged.
    pub async fn deregister(&self) -> Option<Instant> {
        self.silent.set(true);
        let message = standin::encode_departure(&self.instance, self.born);
        self.world.note(format!("deregister {}", self.instance));
        let acknowledged = self.tell(&message).await;
        self.world.note(format!(
            "deregister {} acknowledged: {acknowledged}",
            self.instance
        ));
        acknowledged.then(Instant::now)
    }

    /// Ends the endpoint.
    pub fn end(&self) {
        self.tasks.abort();
        self.world.note(format!("endpoint {} ends", self.instance));
    }

    /// Sends a body without a length and without an end, until the caller closes.
    async fn send_endless(&self, stream: &mut TcpStream, id: &str) {
        self.world
            .note(format!("endless body for {id} from {}", self.instance));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Sapphiredoor-Attempt-Id: {id}\r\n\
             X-Sapphiredoor-Server-Seal: signed-{id}\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).await.is_err() {
            return;
        }
        while stream.write_all(&[b'x'; ENDLESS_PART]).await.is_ok() {
            sleep(ENDLESS_PAUSE).await;
        }
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut decoder = net::decoder(MessageKind::Request);
        let mut buffer = BytesMut::new();
        while let Some(message) = net::read_message(&mut stream, &mut decoder, &mut buffer).await {
            let received = standin::decode_request(&message.head);
            let status = match &received.instance {
                Some(instance) if *instance != self.instance => 421,
                _ if self.inside.get() >= self.slots as usize * 2 => 503,
                _ => 0,
            };
            if status != 0 {
                let response = standin::encode_rejected(status, &received.id);
                if stream.write_all(&response).await.is_err() {
                    return;
                }
                continue;
            }
            if self.endless.get() {
                self.send_endless(&mut stream, &received.id).await;
                return;
            }
            self.inside.set(self.inside.get() + 1);
            let response = {
                let _slot = self.permits.acquire().await;
                self.world
                    .note(format!("run {} at {}", received.id, self.instance));
                let run = (Instant::now(), self.instance.clone());
                let mut record = self.world.record.borrow_mut();
                record
                    .runs
                    .entry(received.id.clone())
                    .or_default()
                    .push(run);
                drop(record);
                sleep(self.work).await;
                let mut response = standin::encode_signed(200, &received.id, 2);
                response.extend_from_slice(b"ok");
                response
            };
            self.inside.set(self.inside.get() - 1);
            if stream.write_all(&response).await.is_err() {
                return;
            }
        }
    }
}

/// Returns the name of a machine.
pub fn vm_name(vm: usize) -> String {
    format!("vm-{vm:02}")
}

/// Returns a route of the operators.
pub fn route(
    name: &str,
    service: &str,
    retry_safety: RetrySafety,
    rank: u32,
    timeout_ms: u64,
) -> Route {
    Route {
        exempt: false,
        name: name.into(),
        host: HOST.to_owned(),
        prefix: format!("/{name}/"),
        retry_safety,
        timeout: Duration::from_millis(timeout_ms),
        objective: Duration::from_millis(timeout_ms * 2 / 3),
        rank,
        attempts: 2,
        services: vec![WeightedService {
            service: service.into(),
            weight: 1.0,
        }],
    }
}
