//! A VM: a daemon process, an endpoint, clients, and proxies around the daemon.

use std::cell::{Cell, RefCell};
use std::fs::{File, OpenOptions};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use adapter::standin;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::process::{Child, Command};
use tokio::time::timeout;

use crate::client::{Clients, SHOP, STOCK, Target};
use crate::endpoint::{self, Endpoint, Place};
use crate::ledger::{Budget, Ledger, Promise, Span, Trouble, VmIndex};
use crate::proxy::Proxy;
use crate::server::{self, Tasks};
use crate::stall::STALLED;
use crate::store::{SHORTEST_LEASE, Store};

/// Time from SIGTERM to the end of a daemon.
pub const GRACE: Duration = Duration::from_secs(6);

/// Time in which a leaving endpoint may still get calls.
pub const DRAIN: Duration = Duration::from_secs(2);

/// Bound of repeats.
pub const BUDGET: Budget = Budget {
    ratio: 0.2,
    slack: 48.0,
    window: Duration::from_secs(10),
};

/// Resident memory of a daemon on the smallest VM, in KiB.
const MAX_MEMORY: u64 = 160 << 10;

/// Time in which a daemon answers whether it is ready.
const READY_LIMIT: Duration = Duration::from_millis(500);

/// Time that a request takes at an endpoint.
const WORK: Duration = Duration::from_millis(15);

/// Ports of a VM.
#[derive(Clone, Copy, Debug)]
enum Port {
    Peers = 8300,
    EndpointProxy,
    Ready,
    Calls,
    Control,
    Metrics,
    StoreProxy,
    Store,
    Endpoint,
    PeersProxy,
}

/// What all VMs of a run share.
#[derive(Clone, Debug)]
pub struct Site {
    /// The daemon's program.
    pub program: PathBuf,
    /// Directory of settings and logs.
    pub directory: PathBuf,
    /// The store.
    pub store: Rc<Store>,
    /// What is seen.
    pub ledger: Rc<RefCell<Ledger>>,
    /// Tasks of the stand-ins.
    pub tasks: Tasks,
    /// Second and third number of the VMs' addresses.
    pub network: (u8, u8),
    /// Number of VMs.
    pub vms: usize,
    /// Seed of the run.
    pub seed: u64,
}

impl Site {
    fn address(&self, vm: VmIndex, port: Port) -> SocketAddr {
        let (second, third) = self.network;
        let ip = Ipv4Addr::new(127, second, third, 10 + vm as u8);
        SocketAddr::new(IpAddr::V4(ip), port as u16)
    }
}

/// A VM.
#[derive(Debug)]
pub struct Vm {
    /// Its number.
    pub index: VmIndex,
    /// Proxy between daemon and store.
    pub store_link: Rc<Proxy>,
    /// Proxy between other daemons and this one.
    pub peer_link: Rc<Proxy>,
    /// Proxy between daemon and endpoint.
    pub endpoint_link: Rc<Proxy>,
    /// Its clients.
    pub clients: Rc<Clients>,
    /// The endpoint; `None` while there is none.
    pub endpoint: RefCell<Option<Rc<Endpoint>>>,
    site: Site,
    process: RefCell<Option<Child>>,
    starts: Cell<u64>,
    /// Process, time for which it had waited for a core, and when that was read.
    waited: Cell<Option<(u32, Duration, Instant)>>,
}

impl Vm {
    /// A VM whose daemon has not started.
    ///
    /// # Errors
    ///
    /// Fails when an address is in use.
    pub fn new(site: &Site, index: VmIndex, seed: u64) -> io::Result<Rc<Self>> {
        let at = |port| site.address(index, port);
        let proxy = |from, to| Proxy::start(at(from), at(to), &site.tasks);
        let listener = server::bind(at(Port::Store))?;
        let store = Rc::clone(&site.store);
        site.tasks
            .spawn(store.serve(listener, index, site.tasks.clone()));
        let target = Target {
            vm: index,
            address: at(Port::Calls),
        };
        let ledger = Rc::clone(&site.ledger);
        let service = service_of(index);
        let clients = Clients::new(target, service, seed, ledger, site.tasks.clone());
        site.tasks.spawn(Rc::clone(&clients).run());
        Ok(Rc::new(Self {
            index,
            store_link: proxy(Port::StoreProxy, Port::Store)?,
            peer_link: proxy(Port::PeersProxy, Port::Peers)?,
            endpoint_link: proxy(Port::EndpointProxy, Port::Endpoint)?,
            clients,
            endpoint: RefCell::new(None),
            site: site.clone(),
            process: RefCell::new(None),
            starts: Cell::new(0),
            waited: Cell::new(None),
        }))
    }

    /// Service of its endpoint.
    #[must_use]
    pub fn service(&self) -> &'static str {
        service_of(self.index)
    }

    /// Where requests to its daemon go.
    #[must_use]
    pub fn target(&self) -> Target {
        Target {
            vm: self.index,
            address: self.site.address(self.index, Port::Calls),
        }
    }

    /// Writes the settings; `note` makes them differ from earlier ones.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write_settings(&self, note: u64) -> io::Result<()> {
        let at = |port| self.site.address(self.index, port);
        let seeds: Vec<SocketAddr> = (0..self.site.vms)
            .filter(|vm| *vm != self.index)
            .map(|vm| self.site.address(vm, Port::Control))
            .collect();
        let settings = json!({
            "vm": format!("vm-{}", self.index),
            "data_centre": "local",
            "endpoint": {
                "service": self.service(), "address": at(Port::EndpointProxy),
                "heartbeat_ms": endpoint::HEARTBEAT.as_millis() as u64,
            },
            "listen": {
                "calls": at(Port::Calls), "peers": at(Port::Peers), "ready": at(Port::Ready),
                "control": at(Port::Control), "metrics": at(Port::Metrics),
                "announced": at(Port::PeersProxy),
            },
            "seeds": seeds,
            "store": {
                "address": at(Port::StoreProxy),
                "shortest_lease_ms": SHORTEST_LEASE.as_millis() as u64,
            },
            "bounds": {
                "drain_ms": DRAIN.as_millis() as u64, "grace_s": GRACE.as_secs_f64(),
                "repeat_ratio": BUDGET.ratio, "repeat_slack": BUDGET.slack,
                "repeat_window_s": BUDGET.window.as_secs_f64(),
            },
        });
        // The file is replaced at once: a half-written one is the operators' fault, not the daemon's.
        let path = self.file("jsonc");
        let new = self.file("new");
        std::fs::write(&new, format!("// Change {note}.\n{settings}\n"))?;
        std::fs::rename(new, path)
    }

    fn file(&self, kind: &str) -> PathBuf {
        let name = format!("vm-{}.{kind}", self.index);
        self.site.directory.join(name)
    }

    fn log(&self) -> io::Result<File> {
        let mut options = OpenOptions::new();
        options.create(true).append(true).open(self.file("log"))
    }

    /// Starts the daemon unless it runs.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started or its files cannot be written.
    pub fn start(&self) -> io::Result<()> {
        let mut process = self.process.borrow_mut();
        if process.is_some() {
            return Ok(());
        }
        let child = Command::new(&self.site.program)
            .arg("sidecar")
            .arg("--settings")
            .arg(self.file("jsonc"))
            .stdin(Stdio::null())
            .stdout(self.log()?)
            .stderr(self.log()?)
            .kill_on_drop(true)
            .spawn()?;
        *process = Some(child);
        self.starts.set(self.starts.get() + 1);
        Ok(())
    }

    /// Starts of the daemon so far.
    #[must_use]
    pub fn starts(&self) -> u64 {
        self.starts.get()
    }

    /// Starts an endpoint unless there is one.
    ///
    /// # Errors
    ///
    /// Fails when its address is in use.
    pub fn start_endpoint(&self) -> io::Result<()> {
        let mut endpoint = self.endpoint.borrow_mut();
        if endpoint.is_some() {
            return Ok(());
        }
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let born = now.unwrap_or_default().as_millis() as u64;
        let service = self.service();
        let place = Place {
            vm: self.index,
            service,
            calls: (service == SHOP).then(|| self.target()),
            address: self.site.address(self.index, Port::Endpoint),
            announced: self.site.address(self.index, Port::EndpointProxy),
            control: self.site.address(self.index, Port::Control),
            work: WORK,
        };
        let instance = format!("i-{}-{born}", self.index);
        let ledger = Rc::clone(&self.site.ledger);
        *endpoint = Some(Endpoint::start(place, instance, born, ledger)?);
        Ok(())
    }

    /// Notes a disturbance that ends after a time, counted from now.
    pub fn disturb(&self, trouble: Trouble, time: Duration) {
        let now = Instant::now();
        self.site.ledger.borrow_mut().disturbed(Span {
            vm: self.index,
            trouble,
            from: now,
            until: now + time,
        });
    }

    /// Sends a signal to the daemon; returns whether there was one.
    pub fn signal(&self, signal: Signal) -> bool {
        let process = self.process.borrow();
        let pid = process.as_ref().and_then(Child::id);
        let pid = pid.and_then(|id| Pid::from_raw(id.cast_signed()));
        pid.is_some_and(|pid| kill_process(pid, signal).is_ok())
    }

    /// Ends the daemon with SIGTERM and checks that it ends in time; returns whether there was one.
    pub async fn stop(&self, disturbed: bool) -> bool {
        self.signal(Signal::TERM);
        let child = self.process.borrow_mut().take();
        let Some(mut child) = child else {
            return false;
        };
        let since = Instant::now();
        let result = timeout(GRACE, child.wait()).await;
        let seen = match result {
            Ok(Ok(status)) if status.success() => return true,
            Ok(Ok(status)) => format!("VM {} ended with {status} after SIGTERM", self.index),
            Ok(Err(error)) => format!("VM {} cannot be awaited: {error}", self.index),
            Err(_) => format!("VM {} runs on {GRACE:?} after SIGTERM", self.index),
        };
        if !disturbed {
            let mut ledger = self.site.ledger.borrow_mut();
            ledger.overdue(Promise::Ended, seen, since);
        }
        // The process is dropped, which kills it.
        true
    }

    /// Kills the daemon; returns whether there was one.
    pub async fn kill(&self) -> bool {
        let child = self.process.borrow_mut().take();
        let Some(mut child) = child else {
            return false;
        };
        // A process that has ended by itself was noted when it was looked at.
        drop(child.kill().await);
        true
    }

    /// Notes a daemon that ended by itself or takes too much memory, and starts it again.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn supervise(&self) -> io::Result<()> {
        let mut process = self.process.borrow_mut();
        let Some(child) = process.as_mut() else {
            return Ok(());
        };
        if let Some(status) = child.try_wait()? {
            let seen = format!("VM {} ended by itself with {status}", self.index);
            let mut ledger = self.site.ledger.borrow_mut();
            ledger.broken(Promise::Ended, seen);
            *process = None;
            drop(process);
            return self.start();
        }
        let id = child.id();
        self.note_starvation(id);
        let memory = id.and_then(memory);
        if let Some(memory) = memory
            && memory > MAX_MEMORY
        {
            let seen = format!("VM {} takes {memory} KiB", self.index);
            self.site.ledger.borrow_mut().broken(Promise::Ended, seen);
        }
        Ok(())
    }

    /// Notes a disturbance when the daemon was ready to run and the machine had no core for it.
    fn note_starvation(&self, id: Option<u32>) {
        let now = Instant::now();
        let Some((id, waited)) = id.and_then(|id| Some((id, waited(id)?))) else {
            return;
        };
        let last = self.waited.replace(Some((id, waited, now)));
        if let Some((known, before, since)) = last
            && known == id
            && waited.saturating_sub(before) >= STALLED
        {
            self.site.ledger.borrow_mut().disturbed(Span {
                vm: self.index,
                trouble: Trouble::Fault,
                from: since,
                until: now,
            });
        }
    }

    /// Whether the daemon says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let address = self.site.address(self.index, Port::Ready);
        let question = standin::encode_readiness_request();
        let answer = server::ask(address, &question, READY_LIMIT).await;
        answer.is_some_and(|answer| answer.head.status == 200)
    }
}

/// Service of the endpoint on a VM.
fn service_of(vm: VmIndex) -> &'static str {
    if vm.is_multiple_of(2) { SHOP } else { STOCK }
}

/// Time for which the main thread of a process has been ready to run and waited for a core.
fn waited(process: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).ok()?;
    // Nanoseconds of running, nanoseconds of waiting, number of times it ran.
    let waited = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(Duration::from_nanos(waited))
}

/// Resident memory of a process in KiB.
fn memory(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}
