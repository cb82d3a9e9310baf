//! VM of a run: a daemon process, an endpoint, clients, and proxies around the daemon.

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

use crate::client::{Clients, Entry, SHOP, STOCK};
use crate::endpoint::{self, Endpoint, EndpointConfig};
use crate::net::{self, TaskGroup};
use crate::oracle::{Disturbance, DisturbanceKind, Guarantee, Oracle, RetryBudget, VmIndex};
use crate::proxy::Proxy;
use crate::stall::MIN_STALL;
use crate::store::{MIN_LEASE_LIFETIME, Store};

/// Time after SIGTERM within which a daemon must exit.
pub const SHUTDOWN_GRACE: Duration = Duration::from_secs(6);

/// Time for which a leaving endpoint may still get calls.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Retry budget in the settings of all daemons.
pub const RETRY_BUDGET: RetryBudget = RetryBudget {
    ratio: 0.2,
    slack: 48.0,
    window: Duration::from_secs(10),
};

/// Largest resident memory of a daemon on the smallest VM.
const MAX_RESIDENT_KIB: u64 = 160 << 10;

/// Timeout of a readiness check.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// Processing time of a request at an endpoint.
const WORK_TIME: Duration = Duration::from_millis(15);

/// Ports of a VM; the addresses differ from VM to VM.
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

/// State that all VMs of a run share.
#[derive(Clone, Debug)]
pub struct RunContext {
    /// Program file of the daemon.
    pub program: PathBuf,
    /// Directory for settings and logs.
    pub directory: PathBuf,
    /// Stand-in store.
    pub store: Rc<Store>,
    /// Records and checks what is observed.
    pub oracle: Rc<RefCell<Oracle>>,
    /// Tasks of the stand-ins.
    pub tasks: TaskGroup,
    /// Second and third octet of the VMs' addresses.
    pub network: (u8, u8),
    /// Number of VMs.
    pub vms: usize,
    /// Seed of the run.
    pub seed: u64,
}

impl RunContext {
    fn address(&self, vm: VmIndex, port: Port) -> SocketAddr {
        let (second, third) = self.network;
        let ip = Ipv4Addr::new(127, second, third, 10 + vm as u8);
        SocketAddr::new(IpAddr::V4(ip), port as u16)
    }
}

/// Addresses of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointAddresses {
    /// On which it listens.
    pub listen: SocketAddr,
    /// That it announces: the proxy in front of it.
    pub announced: SocketAddr,
    /// Control address of the daemon, which takes announcements.
    pub control: SocketAddr,
}

/// VM of a run.
#[derive(Debug)]
pub struct Vm {
    /// Index in the run.
    pub index: VmIndex,
    /// Proxy between the daemon and the store.
    pub store_link: Rc<Proxy>,
    /// Proxy between the other daemons and this one.
    pub peer_link: Rc<Proxy>,
    /// Proxy between the daemon and the endpoint.
    pub endpoint_link: Rc<Proxy>,
    /// Clients on the VM.
    pub clients: Rc<Clients>,
    /// Endpoint; `None` while there is none.
    pub endpoint: RefCell<Option<Rc<Endpoint>>>,
    context: RunContext,
    process: RefCell<Option<Child>>,
    starts: Cell<u64>,
    /// Process id, time for which the process had waited for a core, and when that was read.
    sched_wait: Cell<Option<(u32, Duration, Instant)>>,
}

impl Vm {
    /// Creates a VM without starting its daemon.
    ///
    /// # Errors
    ///
    /// Fails when an address is in use.
    pub fn new(context: &RunContext, index: VmIndex, seed: u64) -> io::Result<Rc<Self>> {
        let at = |port| context.address(index, port);
        let proxy = |from, to| Proxy::start(at(from), at(to), &context.tasks);
        let listener = net::bind(at(Port::Store))?;
        let store = Rc::clone(&context.store);
        context
            .tasks
            .spawn(store.serve(listener, index, context.tasks.clone()));
        let entry = Entry {
            vm: index,
            address: at(Port::Calls),
        };
        let oracle = Rc::clone(&context.oracle);
        let service = service_of(index);
        let clients = Clients::new(entry, service, seed, oracle, context.tasks.clone());
        context.tasks.spawn(Rc::clone(&clients).run());
        Ok(Rc::new(Self {
            index,
            store_link: proxy(Port::StoreProxy, Port::Store)?,
            peer_link: proxy(Port::PeersProxy, Port::Peers)?,
            endpoint_link: proxy(Port::EndpointProxy, Port::Endpoint)?,
            clients,
            endpoint: RefCell::new(None),
            context: context.clone(),
            process: RefCell::new(None),
            starts: Cell::new(0),
            sched_wait: Cell::new(None),
        }))
    }

    /// Returns the service of its endpoint.
    #[must_use]
    pub fn service(&self) -> &'static str {
        service_of(self.index)
    }

    /// Returns the daemon as the target of calls.
    #[must_use]
    pub fn entry(&self) -> Entry {
        Entry {
            vm: self.index,
            address: self.context.address(self.index, Port::Calls),
        }
    }

    /// Returns the addresses for an endpoint on the VM.
    #[must_use]
    pub fn endpoint_addresses(&self) -> EndpointAddresses {
        EndpointAddresses {
            listen: self.context.address(self.index, Port::Endpoint),
            announced: self.context.address(self.index, Port::EndpointProxy),
            control: self.context.address(self.index, Port::Control),
        }
    }

    /// Returns the id of the daemon's process while it is supposed to run.
    #[must_use]
    pub fn process_id(&self) -> Option<u32> {
        self.process.borrow().as_ref().and_then(Child::id)
    }

    /// Writes the settings file; `change` makes it differ from earlier ones.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write_settings(&self, change: u64) -> io::Result<()> {
        let at = |port| self.context.address(self.index, port);
        let seeds: Vec<SocketAddr> = (0..self.context.vms)
            .filter(|vm| *vm != self.index)
            .map(|vm| self.context.address(vm, Port::Control))
            .collect();
        let settings = json!({
            "vm": format!("vm-{}", self.index),
            "data_centre": "local",
            "endpoint": {
                "service": self.service(), "address": at(Port::EndpointProxy),
                "heartbeat_ms": endpoint::HEARTBEAT_INTERVAL.as_millis() as u64,
            },
            "listen": {
                "calls": at(Port::Calls), "peers": at(Port::Peers), "ready": at(Port::Ready),
                "control": at(Port::Control), "metrics": at(Port::Metrics),
                "announced": at(Port::PeersProxy),
            },
            "seeds": seeds,
            "store": {
                "address": at(Port::StoreProxy),
                "shortest_lease_ms": MIN_LEASE_LIFETIME.as_millis() as u64,
            },
            "bounds": {
                "drain_ms": DRAIN_LIMIT.as_millis() as u64, "grace_s": SHUTDOWN_GRACE.as_secs_f64(),
                "repeat_ratio": RETRY_BUDGET.ratio, "repeat_slack": RETRY_BUDGET.slack,
                "repeat_window_s": RETRY_BUDGET.window.as_secs_f64(),
            },
        });
        // The file is replaced atomically: a half-written one would be a mistake of the operators,
        // not of the daemon.
        let path = self.file("jsonc");
        let new = self.file("new");
        std::fs::write(&new, format!("// Change {change}.\n{settings}\n"))?;
        std::fs::rename(new, path)
    }

    fn file(&self, kind: &str) -> PathBuf {
        let name = format!("vm-{}.{kind}", self.index);
        self.context.directory.join(name)
    }

    fn log(&self) -> io::Result<File> {
        let mut options = OpenOptions::new();
        options.create(true).append(true).open(self.file("log"))
    }

    /// Starts the daemon unless it is running.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started or its log cannot be opened.
    pub fn start(&self) -> io::Result<()> {
        let mut process = self.process.borrow_mut();
        if process.is_some() {
            return Ok(());
        }
        let child = Command::new(&self.context.program)
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

    /// Returns how often the daemon has been started.
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
        let started_ms = now.unwrap_or_default().as_millis() as u64;
        let service = self.service();
        let config = EndpointConfig {
            vm: self.index,
            service,
            nested: (service == SHOP).then(|| self.entry()),
            address: self.context.address(self.index, Port::Endpoint),
            announced: self.context.address(self.index, Port::EndpointProxy),
            control: self.context.address(self.index, Port::Control),
            work_time: WORK_TIME,
        };
        let instance = format!("i-{}-{started_ms}", self.index);
        let oracle = Rc::clone(&self.context.oracle);
        *endpoint = Some(Endpoint::start(config, instance, started_ms, oracle)?);
        Ok(())
    }

    /// Records a disturbance that starts now and lasts for `time`.
    pub fn record_disturbance(&self, kind: DisturbanceKind, time: Duration) {
        let now = Instant::now();
        self.context
            .oracle
            .borrow_mut()
            .record_disturbance(Disturbance {
                vm: self.index,
                kind,
                from: now,
                until: now + time,
            });
    }

    /// Sends a signal to the daemon; returns whether one was running.
    pub fn signal(&self, signal: Signal) -> bool {
        let process = self.process.borrow();
        let pid = process.as_ref().and_then(Child::id);
        let pid = pid.and_then(|id| Pid::from_raw(id.cast_signed()));
        pid.is_some_and(|pid| kill_process(pid, signal).is_ok())
    }

    /// Stops the daemon with SIGTERM; returns whether one was running.
    ///
    /// Without other disturbances, checks that it exits in time.
    pub async fn stop(&self, disturbed: bool) -> bool {
        self.signal(Signal::TERM);
        let child = self.process.borrow_mut().take();
        let Some(mut child) = child else {
            return false;
        };
        let since = Instant::now();
        let result = timeout(SHUTDOWN_GRACE, child.wait()).await;
        let detail = match result {
            Ok(Ok(status)) if status.success() => return true,
            Ok(Ok(status)) => format!(
                "VM {}: daemon exited with {status} after SIGTERM",
                self.index
            ),
            Ok(Err(error)) => format!("VM {}: cannot wait for the daemon: {error}", self.index),
            Err(_) => format!(
                "VM {}: daemon still runs {SHUTDOWN_GRACE:?} after SIGTERM",
                self.index
            ),
        };
        if !disturbed {
            let mut oracle = self.context.oracle.borrow_mut();
            oracle.record_timing_violation(Guarantee::Ended, detail, since);
        }
        // Dropping the child kills the process.
        true
    }

    /// Kills the daemon; returns whether one was running.
    pub async fn kill(&self) -> bool {
        let child = self.process.borrow_mut().take();
        let Some(mut child) = child else {
            return false;
        };
        // An error means that the process had exited already. `supervise` records such an exit only
        // if it runs between the exit and this call.
        drop(child.kill().await);
        true
    }

    /// Restarts and records a daemon that exited by itself; records one that uses too much memory.
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
            let detail = format!("VM {}: daemon exited by itself with {status}", self.index);
            let mut oracle = self.context.oracle.borrow_mut();
            oracle.record_violation(Guarantee::Ended, detail);
            *process = None;
            drop(process);
            return self.start();
        }
        let id = child.id();
        self.record_starvation(id);
        let resident_kib = id.and_then(resident_kib);
        if let Some(resident_kib) = resident_kib
            && resident_kib > MAX_RESIDENT_KIB
        {
            let detail = format!(
                "VM {}: daemon uses {resident_kib} KiB of memory",
                self.index
            );
            self.context
                .oracle
                .borrow_mut()
                .record_violation(Guarantee::Ended, detail);
        }
        Ok(())
    }

    /// Records a disturbance if the daemon was ready to run but did not get a core.
    fn record_starvation(&self, id: Option<u32>) {
        let now = Instant::now();
        let Some((id, sched_wait)) = id.and_then(|id| Some((id, sched_wait(id)?))) else {
            return;
        };
        let last = self.sched_wait.replace(Some((id, sched_wait, now)));
        if let Some((known, before, since)) = last
            && known == id
            && sched_wait.saturating_sub(before) >= MIN_STALL
        {
            self.context
                .oracle
                .borrow_mut()
                .record_disturbance(Disturbance {
                    vm: self.index,
                    kind: DisturbanceKind::Fault,
                    from: since,
                    until: now,
                });
        }
    }

    /// Whether the daemon reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        let address = self.context.address(self.index, Port::Ready);
        let request = standin::encode_readiness_request();
        let response = net::exchange(address, &request, READY_TIMEOUT).await;
        response.is_some_and(|response| response.head.status == 200)
    }
}

/// Returns the service of the endpoint on a VM.
fn service_of(vm: VmIndex) -> &'static str {
    if vm.is_multiple_of(2) { SHOP } else { STOCK }
}

/// Returns the time for which the main thread of a process was ready to run but waited for a core.
fn sched_wait(process: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).ok()?;
    // Fields: nanoseconds run, nanoseconds waited, number of time slices.
    let sched_wait = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(Duration::from_nanos(sched_wait))
}

/// Returns the resident memory of a process in KiB.
fn resident_kib(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}
