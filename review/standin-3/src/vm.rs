//! A VM: a daemon as a process, the endpoint beside it and the requests of its clients.

use std::collections::HashMap;
use std::fs;
use std::io::{self, BufReader, Read};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http;
use crate::proxy::Links;
use crate::record::Record;
use crate::store::{Store, TTL_MIN_MS};

/// Time between the heartbeats of an endpoint.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Part of a body that an endpoint reads at once.
const FIRST_PART_BYTES: usize = 64 << 10;

/// Ports on the address of each VM, the same on all.
#[derive(Clone, Copy, Debug)]
pub struct Ports([u16; 8]);

/// Loopback addresses of one case.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    block: u8,
    ports: Ports,
}

impl Network {
    /// Finds addresses and ports that are free for this many VMs.
    pub fn find(vms: u8) -> io::Result<Self> {
        let seed = std::process::id();
        for attempt in 0..200_u32 {
            let block = 16 + ((seed + attempt * 7) % 200) as u8;
            let first = 20_000 + ((seed * 31 + attempt * 97) % 9_000) as u16;
            let ports = Ports(std::array::from_fn(|index| first + index as u16));
            let network = Self { block, ports };
            let free = (1..=vms).all(|vm| {
                ports
                    .0
                    .iter()
                    .all(|port| TcpListener::bind((network.ip(vm), *port)).is_ok())
            });
            if free {
                return Ok(network);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    fn ip(&self, vm: u8) -> IpAddr {
        Ipv4Addr::new(127, self.block, 0, vm).into()
    }

    fn address(&self, vm: u8, port: usize) -> SocketAddr {
        SocketAddr::new(self.ip(vm), self.ports.0[port])
    }
}

/// How an endpoint behaves.
#[derive(Debug, Default)]
pub struct Behaviour {
    /// Time that a request takes.
    pub work: Duration,
    /// Time for which it stops reading a body after its first part.
    pub pause: Duration,
}

/// Bounds and limits in the settings.
#[derive(Clone, Debug)]
pub struct Bounds(pub Value);

/// A VM.
pub struct Vm {
    /// Name.
    pub name: String,
    /// Service of its endpoint.
    pub service: String,
    /// How its endpoint behaves.
    pub behaviour: Arc<Behaviour>,
    index: u8,
    zone: String,
    network: Network,
    folder: PathBuf,
    record: Arc<Record>,
    daemon: Mutex<Option<Child>>,
    starts: AtomicU64,
    beats: Arc<AtomicBool>,
    next: AtomicU64,
}

impl Vm {
    /// Writes the settings of a VM and starts its endpoint, which sends no heartbeats yet.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        network: Network,
        index: u8,
        name: &str,
        zone: &str,
        service: &str,
        behaviour: Behaviour,
        bounds: &Bounds,
        folder: &Path,
        record: &Arc<Record>,
        store: &Arc<Store>,
    ) -> io::Result<Arc<Self>> {
        let vm = Arc::new(Self {
            name: name.to_owned(),
            service: service.to_owned(),
            behaviour: Arc::new(behaviour),
            index,
            zone: zone.to_owned(),
            network,
            folder: folder.to_owned(),
            record: Arc::clone(record),
            daemon: Mutex::new(None),
            starts: AtomicU64::new(0),
            beats: Arc::new(AtomicBool::new(false)),
            next: AtomicU64::new(0),
        });
        store.listen(name, vm.address(6))?;
        let template = fs::read_to_string("deploy/settings.jsonc")?;
        fs::write(vm.settings(), vm.render(&template, bounds))?;
        vm.serve()?;
        Ok(vm)
    }

    fn address(&self, port: usize) -> SocketAddr {
        self.network.address(self.index, port)
    }

    fn settings(&self) -> PathBuf {
        self.folder.join(format!("{}.jsonc", self.name))
    }

    /// Fills in the template of the settings as the platform does.
    fn render(&self, template: &str, bounds: &Bounds) -> String {
        let seed = self.network.address(1, 3).to_string();
        let mut values: HashMap<String, Value> = HashMap::from([
            ("NodeId".to_owned(), json!(self.name)),
            ("Zone".to_owned(), json!(self.zone)),
            ("Service".to_owned(), json!(self.service)),
            ("AppAddr".to_owned(), json!(self.address(4).to_string())),
            (
                "HeartbeatMs".to_owned(),
                json!(HEARTBEAT.as_millis() as u64),
            ),
            (
                "ListenAddrs.Outbound".to_owned(),
                json!(self.address(0).to_string()),
            ),
            (
                "ListenAddrs.Inbound".to_owned(),
                json!(self.address(1).to_string()),
            ),
            (
                "ListenAddrs.Ready".to_owned(),
                json!(self.address(2).to_string()),
            ),
            (
                "ListenAddrs.Control".to_owned(),
                json!(self.address(3).to_string()),
            ),
            ("Ip".to_owned(), json!(self.address(5).ip().to_string())),
            ("PortRange.0".to_owned(), json!(self.address(5).port())),
            ("Seeds".to_owned(), json!([seed])),
            (
                "Platform.Address".to_owned(),
                json!(self.address(6).to_string()),
            ),
            ("Platform.TtlMinMs".to_owned(), json!(TTL_MIN_MS)),
            ("Limits.MemoryMb".to_owned(), json!(260)),
            ("Limits.MaxFds".to_owned(), json!(4_100)),
        ]);
        for (name, value) in bounds.0.as_object().into_iter().flatten() {
            values.insert(format!("Bounds.{name}"), value.clone());
        }
        let mut text = String::new();
        let mut rest = template;
        while let Some((before, after)) = rest.split_once("{{") {
            let (name, after) = after.split_once("}}").unwrap_or((after, ""));
            text.push_str(before);
            let (name, as_json) = name
                .strip_suffix("|json")
                .map_or((name, false), |name| (name, true));
            let value = values.get(name).unwrap_or(&Value::Null);
            match value.as_str() {
                Some(value) if !as_json => text.push_str(value),
                _ => text.push_str(&value.to_string()),
            }
            rest = after;
        }
        text + rest
    }

    /// Has other daemons reach this one through a proxy.
    pub fn use_links(&self, links: &Arc<Links>) -> io::Result<()> {
        links.listen(&self.name, self.address(7), self.address(1))?;
        let text = fs::read_to_string(self.settings())?;
        let peers = format!("\"peers\": \"{}\",", self.address(1));
        let announced = format!("{peers} \"announced\": \"{}\",", self.address(7));
        fs::write(self.settings(), text.replace(&peers, &announced))
    }

    /// Starts the daemon.
    pub fn start(&self) -> io::Result<()> {
        let number = self.starts.fetch_add(1, Ordering::Relaxed);
        let log = fs::File::create(self.folder.join(format!("{}.{number}.log", self.name)))?;
        let child = Command::new("target/release/sapphiredoor")
            .args(["sidecar", "--settings"])
            .arg(self.settings())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.note(format!("daemon   start {}", self.name));
        *self.daemon.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Kills the daemon.
    pub fn kill(&self) {
        if let Some(mut child) = self.daemon.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(format!("daemon   kill {}", self.name));
        }
    }

    /// Whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        let line = "GET /v1/readiness HTTP/1.1";
        let fields = [("Host", "ready".to_owned())];
        let answer = http::call(
            self.address(2),
            line,
            &fields,
            &[],
            Duration::from_millis(500),
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Starts the heartbeats of the endpoint.
    pub fn announce(self: &Arc<Self>) {
        self.beats.store(true, Ordering::Relaxed);
        let vm = Arc::clone(self);
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        thread::spawn(move || {
            let mut number = 0;
            while vm.beats.load(Ordering::Relaxed) {
                number += 1;
                let body = json!({
                    "Service": vm.service, "Address": vm.address(4).to_string(), "Zone": vm.zone, "Version": "v1",
                    "Slots": 100, "State": "ready", "ColdRemainingMs": 0, "Seq": number, "born": born,
                });
                let line = format!(
                    "POST /v1/rpc?call=instances.heartbeat&of=i-{} HTTP/1.1",
                    vm.name
                );
                let fields = [
                    ("Host", "control".to_owned()),
                    ("Content-Type", "application/json".to_owned()),
                ];
                let _ = http::call(
                    vm.address(3),
                    &line,
                    &fields,
                    body.to_string().as_bytes(),
                    Duration::from_secs(1),
                );
                thread::sleep(HEARTBEAT);
            }
        });
        self.record
            .note(format!("endpoint i-{} announces itself", self.name));
    }

    fn serve(self: &Arc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.address(4))?;
        let vm = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let vm = Arc::clone(&vm);
                thread::spawn(move || drop(vm.serve_connection(stream)));
            }
        });
        Ok(())
    }

    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_head(&mut reader)? {
            let instance = format!("i-{}", self.name);
            let mut fields = vec![("X-Sapphiredoor-Instance-Id", instance.clone())];
            let Some(id) = request.field("x-sapphiredoor-attempt-id") else {
                fields.push(("X-Sapphiredoor-Not-Executed", "1".to_owned()));
                http::write(&mut writer, "HTTP/1.1 400 Bad Request", &fields, &[])?;
                continue;
            };
            fields.push(("X-Sapphiredoor-Attempt-Id", id.to_owned()));
            let expected = request.field("x-sapphiredoor-expect-instance");
            if expected.is_some_and(|expected| expected != instance) {
                http::write(
                    &mut writer,
                    "HTTP/1.1 421 Misdirected Request",
                    &fields,
                    &[],
                )?;
                continue;
            }
            self.record.ran(id, &self.service, &self.name);
            if let Err(error) = self.read_body(&mut reader, request.length()) {
                self.record.note(format!(
                    "endpoint {instance} at work on {id}, broken off: {error}"
                ));
                return Err(error);
            }
            thread::sleep(self.behaviour.work);
            fields.push(("X-Sapphiredoor-Server-Seal", format!("seal.{id}")));
            fields.push(("X-Sapphiredoor-Instance-Load", "1,0,100".to_owned()));
            fields.push(("Keep-Alive", "timeout=10".to_owned()));
            let body = format!("{} {id}", self.service);
            http::write(&mut writer, "HTTP/1.1 200 OK", &fields, body.as_bytes())?;
        }
        Ok(())
    }

    /// Reads a body, with a pause after its first part.
    fn read_body(&self, reader: &mut BufReader<TcpStream>, length: usize) -> io::Result<()> {
        let mut first = vec![0; length.min(FIRST_PART_BYTES)];
        reader.read_exact(&mut first)?;
        if length > first.len() {
            thread::sleep(self.behaviour.pause);
        }
        let mut rest = vec![0; length - first.len()];
        reader.read_exact(&mut rest)
    }

    /// Sends SIGTERM to the daemon.
    pub fn terminate(&self) {
        if let Some(child) = &*self.daemon.lock().unwrap() {
            let id = child.id().to_string();
            let sent = Command::new("kill").args(["-TERM", &id]).status();
            let sent = sent.is_ok_and(|status| status.success());
            self.record
                .note(format!("daemon   SIGTERM to {}, sent {sent}", self.name));
        }
    }

    /// Sends a request of a client of this VM; returns its id and the status, 0 without an answer.
    pub fn request(
        &self,
        method: &str,
        host: &str,
        path: &str,
        deadline_ms: u64,
        key: Option<&str>,
        body: &[u8],
    ) -> (String, u16) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", u32::from(self.index));
        let mut fields = vec![
            ("Host", host.to_owned()),
            ("X-Sapphiredoor-Attempt-Id", id.clone()),
            ("X-Sapphiredoor-Deadline-Ms", deadline_ms.to_string()),
        ];
        if let Some(key) = key {
            fields.push(("Authorization", format!("Bearer {key}")));
        }
        let at = self.record.now();
        let line = format!("{method} {path} HTTP/1.1");
        let timeout = Duration::from_millis(deadline_ms);
        let answer = http::call(self.address(0), &line, &fields, body, timeout);
        let status = answer.map_or(0, |answer| answer.status());
        self.record.answered(at, &id, &self.name, status);
        (id, status)
    }
}

/// Kills the daemons of some VMs when it is dropped.
pub struct Stop(pub Vec<Arc<Vm>>);

impl Drop for Stop {
    fn drop(&mut self) {
        for vm in &self.0 {
            vm.kill();
        }
    }
}
