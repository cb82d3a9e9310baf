//! A small deployment: daemons as processes, with their endpoints and the store beside them.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;
use crate::store::Store;
use crate::sys;
use crate::upstream::Upstream;

/// Time between two heartbeats of an upstream.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Memory of a process, as the platform bounds it.
pub const MEMORY_MB: u64 = 260;

/// Ports of a daemon and its endpoint; the same on all VMs.
#[derive(Clone, Copy, Debug)]
struct Ports {
    calls: u16,
    peers: u16,
    ready: u16,
    control: u16,
    metrics: u16,
    app: u16,
}

#[derive(Debug)]
pub struct Vm {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub ip: IpAddr,
    pub upstream: Arc<Upstream>,
    ports: Ports,
    store: SocketAddr,
    directory: PathBuf,
    record: Record,
    child: Mutex<Option<Child>>,
}

#[derive(Debug)]
pub struct Fleet {
    pub vms: Vec<Arc<Vm>>,
    pub store: Arc<Store>,
}

fn ip(network: u8, host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 83, network, host))
}

/// Returns a port that is free on all addresses.
fn free_port(addresses: &[IpAddr], taken: &[u16]) -> io::Result<u16> {
    for _ in 0..200 {
        let first = TcpListener::bind(SocketAddr::new(addresses[0], 0))?;
        let port = first.local_addr()?.port();
        let rest = addresses[1..]
            .iter()
            .map(|ip| TcpListener::bind(SocketAddr::new(*ip, port)));
        if !taken.contains(&port) && rest.collect::<io::Result<Vec<_>>>().is_ok() {
            return Ok(port);
        }
    }
    Err(io::Error::other("no free port"))
}

impl Vm {
    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// Address of its daemon for clients.
    pub fn calls(&self) -> SocketAddr {
        self.at(self.ports.calls)
    }

    /// Writes the settings from the template of the deploy file.
    fn write_settings(&self) -> io::Result<()> {
        let template = fs::read_to_string("deploy/settings.jsonc")?;
        let text = |value: &str| format!("\"{value}\"");
        let at = |port| text(&self.at(port).to_string());
        let values = [
            ("{{NodeId|json}}", text(&self.name)),
            ("{{Zone|json}}", text(&self.zone)),
            ("{{Service|json}}", text(&self.service)),
            ("{{AppAddr|json}}", at(self.ports.app)),
            ("{{HeartbeatMs|json}}", HEARTBEAT.as_millis().to_string()),
            ("{{ListenAddrs.Outbound|json}}", at(self.ports.calls)),
            ("{{ListenAddrs.Inbound|json}}", at(self.ports.peers)),
            ("{{ListenAddrs.Ready|json}}", at(self.ports.ready)),
            ("{{ListenAddrs.Control|json}}", at(self.ports.control)),
            ("{{Ip}}", self.ip.to_string()),
            ("{{PortRange.0}}", self.ports.metrics.to_string()),
            ("{{Seeds|json}}", "[]".to_owned()),
            ("{{Platform.Address|json}}", text(&self.store.to_string())),
            ("{{Platform.TtlMinMs|json}}", "1000".to_owned()),
            ("{{Bounds.DrainMs|json}}", "2000".to_owned()),
            ("{{Bounds.GraceS|json}}", "6".to_owned()),
            ("{{Bounds.RetryBudgetRatio|json}}", "0.2".to_owned()),
            ("{{Bounds.BudgetSlack|json}}", "48".to_owned()),
            ("{{Bounds.BudgetWindowS|json}}", "10".to_owned()),
        ];
        let mut out = template;
        for (name, value) in values {
            out = out.replace(name, &value);
        }
        if out.contains("{{") {
            return Err(io::Error::other("the template has an unknown placeholder"));
        }
        fs::write(self.settings(), out)
    }

    /// Changes the settings file without a signal.
    pub fn touch_settings(&self) -> io::Result<()> {
        let text = fs::read_to_string(self.settings())?;
        let new = self.directory.join(format!("{}.new", self.name));
        fs::write(
            &new,
            text.replace("\"drain_ms\": 2000", "\"drain_ms\": 1900"),
        )?;
        fs::rename(new, self.settings())
    }

    /// Whether its daemon has logged an event.
    pub fn logged(&self, event: &str) -> bool {
        let path = self.directory.join(format!("{}.log", self.name));
        fs::read_to_string(path).is_ok_and(|text| text.contains(event))
    }

    fn settings(&self) -> PathBuf {
        self.directory.join(format!("{}.jsonc", self.name))
    }

    /// Starts its daemon with the command of the deploy file.
    pub fn start(&self) -> io::Result<()> {
        let log = |kind: &str| -> io::Result<File> {
            let path = self.directory.join(format!("{}.{kind}", self.name));
            OpenOptions::new().create(true).append(true).open(path)
        };
        let child = Command::new("target/release/sapphiredoor")
            .arg("sidecar")
            .arg("--settings")
            .arg(self.settings())
            .stdin(Stdio::null())
            .stdout(log("log")?)
            .stderr(log("err")?)
            .spawn()?;
        let mut pids = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.directory.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        self.record
            .say(&format!("start {} pid {}", self.name, child.id()));
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    /// Sends a signal to its daemon.
    pub fn signal(&self, name: &str, signal: i32) {
        if let Some(pid) = self.pid() {
            self.record.say(&format!("{name} to {}", self.name));
            sys::signal(pid, signal);
        }
    }

    /// Kills its daemon and waits for its end.
    pub fn kill(&self) {
        self.signal("SIGKILL", sys::SIGKILL);
        let child = self.child.lock().unwrap().take();
        if let Some(mut child) = child {
            drop(child.wait());
        }
    }

    /// Waits for the end of its daemon; returns whether it ended within a time.
    pub fn wait(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        loop {
            let mut child = self.child.lock().unwrap();
            let ended = child
                .as_mut()
                .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))));
            if ended {
                *child = None;
                drop(child);
                self.record.say(&format!("{} has ended", self.name));
                return true;
            }
            drop(child);
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut connection = Connection::open(self.at(self.ports.ready))?;
            connection
                .stream
                .set_read_timeout(Some(Duration::from_millis(500)))?;
            let request = format!("GET /v1/readiness HTTP/1.1\r\nHost: {}\r\n\r\n", self.ip);
            connection.write(request.as_bytes())?;
            Ok(connection.head()?.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn wait_ready(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        while !self.is_ready() {
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Resident memory of its daemon in MB.
    pub fn resident_mb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kib / 1_024)
    }
}

impl Fleet {
    /// Starts the store, the endpoints and the daemons, and waits until all are ready.
    ///
    /// `services` names the service of each VM.
    pub fn start(
        services: &[&str],
        config: &str,
        directory: &Path,
        record: &Record,
    ) -> io::Result<Self> {
        let network = (std::process::id() % 200) as u8 + 1;
        let hosts: Vec<IpAddr> = (0..services.len())
            .map(|vm| ip(network, 10 + vm as u8))
            .collect();
        let mut taken = Vec::new();
        let mut port = || -> io::Result<u16> {
            let port = free_port(&hosts, &taken)?;
            taken.push(port);
            Ok(port)
        };
        let ports = Ports {
            calls: port()?,
            peers: port()?,
            ready: port()?,
            control: port()?,
            metrics: port()?,
            app: port()?,
        };
        let store_ip = ip(network, 5);
        let store_at = SocketAddr::new(store_ip, free_port(&[store_ip], &[])?);
        let store = Store::start(store_at)?;
        store.write("op/config", config.as_bytes());
        let mut vms = Vec::new();
        for (index, service) in services.iter().enumerate() {
            let name = format!("vm-{index}");
            let at = |port| SocketAddr::new(hosts[index], port);
            let id = format!("i-{index}f3a91c2");
            let upstream = Upstream::start(
                &id,
                &name,
                service,
                "zone-a",
                at(ports.app),
                at(ports.control),
                36,
                record,
            )?;
            let vm = Arc::new(Vm {
                name,
                zone: "zone-a".to_owned(),
                service: (*service).to_owned(),
                ip: hosts[index],
                upstream,
                ports,
                store: store_at,
                directory: directory.to_owned(),
                record: record.clone(),
                child: Mutex::new(None),
            });
            vm.write_settings()?;
            vm.start()?;
            vms.push(vm);
        }
        for vm in &vms {
            vm.upstream.start_heartbeats(HEARTBEAT);
        }
        let fleet = Self { vms, store };
        for vm in &fleet.vms {
            if !vm.wait_ready(Duration::from_secs(10)) {
                return Err(io::Error::other(format!("{} is not ready", vm.name)));
            }
        }
        // Traffic starts when the fleet is known everywhere.
        thread::sleep(Duration::from_secs(5));
        Ok(fleet)
    }

    /// Number of runs of a request at all upstreams.
    pub fn runs(&self, id: &str) -> usize {
        let count = |vm: &Arc<Vm>| {
            vm.upstream
                .runs
                .lock()
                .unwrap()
                .iter()
                .filter(|run| run.id == id)
                .count()
        };
        self.vms.iter().map(count).sum()
    }

    /// Ids of all requests that ran.
    pub fn ran(&self) -> std::collections::HashSet<String> {
        let mut ids = std::collections::HashSet::new();
        for vm in &self.vms {
            ids.extend(
                vm.upstream
                    .runs
                    .lock()
                    .unwrap()
                    .iter()
                    .map(|run| run.id.clone()),
            );
        }
        ids
    }

    pub fn stop(&self) {
        for vm in &self.vms {
            let child = vm.child.lock().unwrap().take();
            if let Some(mut child) = child {
                drop(child.kill());
                drop(child.wait());
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}
