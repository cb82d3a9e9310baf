//! State that the parts of the daemon share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use adapter::store::Store;
use bytes::Bytes;
use log::{info, warn};
use policy::clock::Clock;
use policy::fleet::{Announcement, Fleet, VmEntry};
use policy::id::{DataCentreName, Revision, ServiceName, VmId};
use policy::retry::FleetRetryBudget;
use policy::routing::{Configuration, WeightedSplitter};
use policy::selection::{Headroom, ResponseSizes};
use policy::throttle::EntryThrottle;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;

use crate::frame::Frame;
use crate::gate::Gate;
use crate::inbound::Subscribers;
use crate::logging::LogLimiter;
use crate::metrics::Metrics;
use crate::peer::{Peer, Peers};
use crate::settings::Settings;

#[cfg(test)]
mod tests;

/// Time from the end of a daemon to its next start. The entry that it then writes ends the wait.
const RESTART_TIME: Duration = Duration::from_secs(2);

/// Part of the grace time after which the process ends. The rest covers the last batch of the log on a
/// busy VM.
const END_SHARE: f64 = 0.9;

/// A configuration as the operators wrote it.
#[derive(Debug)]
struct Adopted {
    configuration: Rc<Configuration>,
    bytes: Bytes,
    revision: Revision,
}

/// The daemon.
#[derive(Debug)]
pub struct Daemon {
    /// Name of the VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Settings in force.
    pub settings: RefCell<Settings>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// VMs and endpoints.
    pub fleet: RefCell<Fleet>,
    /// Connections to other VMs.
    pub peers: Peers,
    /// Connections from other VMs.
    pub subscribers: Subscribers,
    /// Gate of the endpoint beside this daemon.
    pub gate: Gate,
    /// Shares of the parts of routes.
    pub splitter: RefCell<WeightedSplitter>,
    /// Sizes of the answers of routes.
    pub sizes: RefCell<ResponseSizes>,
    /// Budget for sending calls once more.
    pub budget: RefCell<FleetRetryBudget>,
    /// Refusal of new chains.
    pub throttle: RefCell<EntryThrottle>,
    /// Random choices.
    pub rng: RefCell<SmallRng>,
    /// Metrics.
    pub metrics: Metrics,
    /// Bounds of the logs.
    pub log_limiter: LogLimiter,
    /// Client of the platform's store.
    pub store: Store,
    /// Wakes the task that keeps the entry of this VM.
    pub entry_changed: Notify,
    adopted: RefCell<Option<Adopted>>,
    stopping: Cell<Option<Instant>>,
    closing: Cell<bool>,
    /// Calls that arrived here and are not answered.
    pub open_requests: Cell<usize>,
    lost_lines: Arc<AtomicU64>,
}

impl Daemon {
    /// A daemon that has not started anything.
    #[must_use]
    pub fn new(
        settings: Settings,
        clock: Arc<dyn Clock>,
        store: Store,
        lost_lines: Arc<AtomicU64>,
    ) -> Rc<Self> {
        let mut rng = SmallRng::from_os_rng();
        Rc::new(Self {
            vm: VmId::clone(&settings.vm),
            data_centre: DataCentreName::clone(&settings.data_centre),
            fleet: RefCell::new(Fleet::new()),
            peers: Peers::default(),
            subscribers: Subscribers::default(),
            gate: Gate::new(settings.endpoint.address, clock.now()),
            splitter: RefCell::new(WeightedSplitter::new(rng.random())),
            sizes: RefCell::default(),
            budget: RefCell::new(FleetRetryBudget::new(settings.bounds.retry_bound())),
            throttle: RefCell::new(EntryThrottle::new(rng.random())),
            rng: RefCell::new(rng),
            metrics: Metrics::new(),
            log_limiter: LogLimiter::default(),
            store,
            entry_changed: Notify::new(),
            adopted: RefCell::new(None),
            stopping: Cell::new(None),
            closing: Cell::new(false),
            open_requests: Cell::new(0),
            settings: RefCell::new(settings),
            lost_lines,
            clock,
        })
    }

    /// Service of the endpoint on this VM.
    #[must_use]
    pub fn service(&self) -> ServiceName {
        ServiceName::clone(&self.settings.borrow().endpoint.service)
    }

    /// Configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        let adopted = self.adopted.borrow();
        adopted
            .as_ref()
            .map(|adopted| Rc::clone(&adopted.configuration))
    }

    /// Adopts a configuration if its version is higher than the one in force.
    pub fn apply_configuration(&self, bytes: Bytes, revision: Revision) {
        let configuration = match adapter::configuration::decode(&bytes) {
            Ok(configuration) => configuration,
            Err(error) => {
                warn!(event = "configuration_refused", revision = revision, error:% = error; "the one in force stays");
                return;
            }
        };
        let mut adopted = self.adopted.borrow_mut();
        let current = adopted
            .as_ref()
            .map(|adopted| adopted.configuration.version);
        let version = configuration.version;
        if current.is_some_and(|current| current >= version) {
            return;
        }
        info!(event = "configuration", version = version, revision = revision, before = current.unwrap_or(0), routes = configuration.routes().count(); "");
        *adopted = Some(Adopted {
            configuration: Rc::new(configuration),
            bytes,
            revision,
        });
    }

    /// Takes what another daemon knows.
    pub fn merge_state(&self, entries: &[(VmEntry, Revision)], revision: Revision, bytes: &Bytes) {
        if !bytes.is_empty() {
            self.apply_configuration(bytes.clone(), revision);
        }
        let mut fleet = self.fleet.borrow_mut();
        for (entry, revision) in entries {
            fleet.apply_write(entry.clone(), *revision);
        }
    }

    /// What the endpoints of a service can take, in one data centre or in all. Nothing is known of a
    /// service whose gates have not been heard.
    #[must_use]
    pub fn headroom_of(&self, service: &str, data_centre: Option<&str>) -> Option<Headroom> {
        let now = self.clock.now();
        let fleet = self.fleet.borrow();
        let within = |vm: &str| {
            data_centre.is_none_or(|centre| {
                fleet
                    .get(vm)
                    .is_some_and(|entry| *entry.data_centre == *centre)
            })
        };
        let vms = fleet.ready(service).iter().filter(|vm| within(vm));
        let peers: Vec<Rc<Peer>> = vms.map(|vm| self.peers.get(vm)).collect();
        let room = Headroom::sum(
            peers
                .iter()
                .filter_map(|peer| peer.target.borrow().headroom(now)),
        );
        let unreachable = || {
            let mut targets = peers.iter().map(|peer| peer.target.borrow());
            !peers.is_empty() && targets.all(|target| target.is_ejected(now))
        };
        room.or_else(|| unreachable().then_some(Headroom::NONE))
    }

    /// What this daemon knows, for another one.
    #[must_use]
    pub fn state_frame(&self) -> (Frame, Bytes) {
        let fleet = self.fleet.borrow();
        let entries = fleet
            .entries()
            .map(|(entry, revision)| (entry.clone(), revision))
            .collect();
        let adopted = self.adopted.borrow();
        let (bytes, revision) = adopted.as_ref().map_or_else(
            || (Bytes::new(), 0),
            |adopted| (adopted.bytes.clone(), adopted.revision),
        );
        (Frame::State { entries, revision }, bytes)
    }

    /// State of the endpoint beside this daemon, for other daemons.
    #[must_use]
    pub fn endpoint_frame(&self) -> Frame {
        Frame::Endpoint {
            announcement: self.gate.announcement(),
            stopping: self.is_stopping(),
        }
    }

    /// Entry of this VM, when its endpoint is known.
    #[must_use]
    pub fn vm_entry(&self) -> Option<VmEntry> {
        let endpoint = self.gate.announcement()?;
        let settings = self.settings.borrow();
        let listen = &settings.listen;
        Some(VmEntry {
            vm: VmId::clone(&self.vm),
            peer: listen.announced.unwrap_or(listen.peers),
            data_centre: DataCentreName::clone(&self.data_centre),
            endpoint,
        })
    }

    /// Spreads a change of the endpoint beside this daemon.
    pub fn publish_endpoint(&self) {
        if let Some(entry) = self.vm_entry() {
            let mut fleet = self.fleet.borrow_mut();
            let known = fleet.entries().find(|(known, _)| known.vm == self.vm);
            let revision = known.map_or(0, |(_, revision)| revision);
            fleet.apply_write(entry, revision);
        }
        self.subscribers.notify(&self.endpoint_frame());
        self.entry_changed.notify_one();
    }

    /// Takes the word of another gate on its endpoint.
    pub fn apply_peer_state(
        &self,
        peer: &Peer,
        announcement: Option<Announcement>,
        stopping: bool,
    ) {
        let now = self.clock.now();
        if stopping {
            let grace = self.settings.borrow().bounds.grace();
            peer.target
                .borrow_mut()
                .eject_for(now, grace + RESTART_TIME);
        } else if announcement.is_none() {
            peer.target.borrow_mut().record_failure(now);
        } else {
            peer.target.borrow_mut().readmit();
        }
        if let Some(announcement) = announcement {
            let state = announcement.state;
            if self
                .fleet
                .borrow_mut()
                .apply_announcement(&peer.vm, announcement)
            {
                info!(event = "peer_endpoint", vm = &*peer.vm, state:? = state, stopping = stopping; "");
            }
        }
    }

    /// Whether clients may send work here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.adopted.borrow().is_some() && !self.fleet.borrow().is_empty()
    }

    /// Whether the daemon is about to end.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Time since SIGTERM; `None` while the daemon runs on.
    #[must_use]
    pub fn stopping_for(&self) -> Option<Duration> {
        let now = self.clock.now();
        self.stopping
            .get()
            .map(|since| now.saturating_duration_since(since))
    }

    /// When the process ends at the latest; `None` while the daemon runs on.
    #[must_use]
    pub fn shutdown_deadline(&self) -> Option<Instant> {
        let time = self.settings.borrow().bounds.grace().mul_f64(END_SHARE);
        self.stopping.get().map(|since| since + time)
    }

    /// Whether a call that may last until a deadline would outlive the process.
    #[must_use]
    pub fn ends_before(&self, deadline: Instant) -> bool {
        self.closing.get() || self.shutdown_deadline().is_some_and(|end| deadline > end)
    }

    /// Refuses all further calls: the process is about to end.
    pub fn close(&self) {
        self.closing.set(true);
    }

    /// Begins the end: other daemons choose other gates from now on.
    pub fn stop(&self) {
        self.stopping.set(Some(self.clock.now()));
        self.subscribers.notify(&self.endpoint_frame());
    }

    /// Calls of clients and of the endpoint that are not answered, and calls at the gate.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.open_requests.get() + self.gate.active_calls()
    }

    /// Brings the gauges up to date.
    pub fn update_gauges(&self) {
        let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.metrics.store_calls.set(gauge(self.store.calls()));
        self.metrics
            .vms
            .set(gauge(self.fleet.borrow().len() as u64));
        let version = self.configuration().map_or(0, |adopted| adopted.version);
        self.metrics.version.set(gauge(version));
        self.metrics
            .lost_lines
            .set(gauge(self.lost_lines.load(Ordering::Relaxed)));
    }
}
