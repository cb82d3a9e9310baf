//! State that the daemon's tasks share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use adapter::store::Store;
use bytes::Bytes;
use log::{info, warn};
use policy::clock::Clock;
use policy::cost::RouteCosts;
use policy::fleet::{Announcement, Fleet, InstanceId, MISSING_ENTRY_GRACE, State, VmEntry};
use policy::id::{DataCentreName, Era, Revision, ServiceName, VmId};
use policy::position::Position;
use policy::routing::{Configuration, WeightedSplitter};
use policy::selection::{Headroom, Load, ResponseSizes};
use policy::throttle::EntryThrottle;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;

use crate::connections::Connections;
use crate::frame::Frame;
use crate::gate::Gate;
use crate::inbound::Subscribers;
use crate::logging::LogLimiter;
use crate::memory::{Budget, KINDS};
use crate::metrics::Metrics;
use crate::peer::{Peer, Peers};
use crate::quota::Quotas;
use crate::settings::Settings;

#[cfg(test)]
mod tests;

/// Time allowed from the exit of a daemon to its next start. Until then its endpoint stays ejected;
/// it is readmitted earlier when the daemon writes its entry.
const RESTART_DELAY: Duration = Duration::from_secs(2);

/// Fraction of the grace time after which the process exits. The rest covers the last batch of log
/// lines on a busy VM.
const EXIT_FRACTION: f64 = 0.9;

/// Time before the exit in which the gates answer for withdrawn calls and their refusals are written.
/// A VM that has used up its quota stands still for a tenth of a second.
const WITHDRAW_MARGIN: Duration = Duration::from_millis(300);

/// The configuration in force.
#[derive(Debug)]
struct ActiveConfiguration {
    configuration: Rc<Configuration>,
    /// The configuration as the operators wrote it.
    bytes: Bytes,
    revision: Revision,
}

/// State of one daemon, shared by its tasks, which all run on one thread.
#[derive(Debug)]
pub struct Daemon {
    /// Name of the VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Settings in force.
    pub settings: RefCell<Settings>,
    /// Source of time, which tests replace.
    pub clock: Arc<dyn Clock>,
    /// Known VMs and their endpoints.
    pub fleet: RefCell<Fleet>,
    /// Connections to other daemons.
    pub peers: Peers,
    /// Connections from other daemons, which are notified of changes.
    pub subscribers: Subscribers,
    /// Gate of the local endpoint.
    pub gate: Gate,
    /// Splits the traffic of a route between its services.
    pub splitter: RefCell<WeightedSplitter>,
    /// Mean response sizes of the routes.
    pub sizes: RefCell<ResponseSizes>,
    /// Mean costs of the routes.
    pub costs: RefCell<RouteCosts>,
    /// Decides which new chains are admitted.
    pub throttle: RefCell<EntryThrottle>,
    /// Quotas of organisations.
    pub quotas: Quotas,
    /// Random numbers for retry delays and for choices between equal candidates.
    pub rng: RefCell<SmallRng>,
    /// Metrics that the daemon exposes to operators.
    pub metrics: Metrics,
    /// Limits the log lines of each event.
    pub log_limiter: LogLimiter,
    /// Client of the platform's store.
    pub store: Store,
    /// Wakes the task that keeps the entry of this VM.
    pub entry_changed: Notify,
    /// Last announcement of the local endpoint that is known to be in the store, and the era of the
    /// store that has it.
    recorded: RefCell<Option<(Announcement, Era)>>,
    /// Wakes those who wait for a record.
    record_kept: Notify,
    active: RefCell<Option<ActiveConfiguration>>,
    /// When the shutdown began.
    stopping: Cell<Option<Instant>>,
    /// Whether all further calls are refused, because the process is about to exit.
    closing: Cell<bool>,
    /// Wakes calls when the shutdown begins and when it closes.
    shutdown_changed: Notify,
    /// Requests that arrived here and whose responses have not been written.
    open_requests: Cell<usize>,
    /// Budget of what is held for others.
    pub budget: Arc<Budget>,
    /// Connections of clients.
    pub connections: Connections,
    lost_lines: Arc<AtomicU64>,
}

/// Counts a request of a client, or of the local endpoint, as open until it is dropped.
#[derive(Debug)]
pub struct OpenRequest(Rc<Daemon>);

impl OpenRequest {
    /// Counts a request that has arrived.
    #[must_use]
    pub fn new(daemon: Rc<Daemon>) -> Self {
        daemon.open_requests.set(daemon.open_requests.get() + 1);
        Self(daemon)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

impl Daemon {
    /// Creates the state of a daemon that has not started any task.
    #[must_use]
    pub fn new(
        settings: Settings,
        clock: Arc<dyn Clock>,
        store: Store,
        lost_lines: Arc<AtomicU64>,
    ) -> Rc<Self> {
        let mut rng = SmallRng::from_os_rng();
        let budget = Budget::new(settings.memory.held_bytes());
        Rc::new(Self {
            vm: VmId::clone(&settings.vm),
            data_centre: DataCentreName::clone(&settings.data_centre),
            fleet: RefCell::new(Fleet::new()),
            peers: Peers::default(),
            subscribers: Subscribers::default(),
            gate: Gate::new(
                settings.endpoint.address,
                settings.bounds.retry_bound(),
                Arc::clone(&budget),
                &*clock,
            ),
            splitter: RefCell::new(WeightedSplitter::new(rng.random())),
            sizes: RefCell::default(),
            costs: RefCell::default(),
            throttle: RefCell::new(EntryThrottle::new(rng.random())),
            quotas: Quotas::new(clock.boot(), settings.bounds.quota_bound()),
            rng: RefCell::new(rng),
            metrics: Metrics::new(),
            log_limiter: LogLimiter::default(),
            store,
            entry_changed: Notify::new(),
            recorded: RefCell::new(None),
            record_kept: Notify::new(),
            active: RefCell::new(None),
            stopping: Cell::new(None),
            closing: Cell::new(false),
            shutdown_changed: Notify::new(),
            open_requests: Cell::new(0),
            connections: Connections::default(),
            budget,
            settings: RefCell::new(settings),
            lost_lines,
            clock,
        })
    }

    /// Returns the service of the endpoint on this VM.
    #[must_use]
    pub fn service(&self) -> ServiceName {
        ServiceName::clone(&self.settings.borrow().endpoint.service)
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        let active = self.active.borrow();
        active
            .as_ref()
            .map(|active| Rc::clone(&active.configuration))
    }

    /// Puts a configuration in force if its version is higher than that of the current one.
    pub fn apply_configuration(&self, bytes: Bytes, revision: Revision) {
        let configuration = match adapter::configuration::decode(&bytes) {
            Ok(configuration) => configuration,
            Err(error) => {
                warn!(event = "configuration_refused", revision = revision, error:% = error; "keeping the configuration in force");
                return;
            }
        };
        let mut active = self.active.borrow_mut();
        let current = active.as_ref().map(|active| active.configuration.version);
        let version = configuration.version;
        if current.is_some_and(|current| current >= version) {
            return;
        }
        info!(event = "configuration", version = version, revision = revision, before = current.unwrap_or(0), routes = configuration.routes().count(); "");
        *active = Some(ActiveConfiguration {
            configuration: Rc::new(configuration),
            bytes,
            revision,
        });
    }

    /// Merges the configuration and the VM entries that another daemon knows.
    pub fn merge_state(
        self: &Rc<Self>,
        entries: &[(VmEntry, Position)],
        revision: Revision,
        bytes: &Bytes,
    ) {
        if !bytes.is_empty() {
            self.apply_configuration(bytes.clone(), revision);
        }
        let mut fleet = self.fleet.borrow_mut();
        for (entry, position) in entries {
            fleet.apply_write(entry.clone(), *position);
        }
        // The other daemon may have just started too.
        fleet.set_complete_at(self.clock.now() + MISSING_ENTRY_GRACE);
        drop(fleet);
        let own = entries.iter().find(|(entry, _)| entry.vm == self.vm);
        if let Some((entry, _)) = own {
            self.apply_record(entry.endpoint.clone());
        }
    }

    /// Applies what another daemon knows of the local endpoint, if it is newer than what the gate
    /// knows: an earlier process of this daemon may have told it.
    ///
    /// A ready endpoint of which the gate knows nothing is left to its own heartbeat.
    pub fn apply_record(self: &Rc<Self>, record: Announcement) {
        let (instance, state) = (InstanceId::clone(&record.instance), record.state);
        if record.service != self.service()
            || (state == State::Ready && self.gate.announcement().is_none())
        {
            return;
        }
        if self.gate.apply_record(self, record) {
            info!(event = "record_taken_over", instance = &*instance, state:? = state; "");
            self.publish_endpoint();
        }
    }

    /// Notes that an era of the store has an announcement of the local endpoint.
    pub fn note_record(&self, kept: &Announcement, era: Era) {
        *self.recorded.borrow_mut() = Some((kept.clone(), era));
        self.record_kept.notify_waiters();
    }

    /// Whether the store has the present state of the local endpoint, so that the next process of
    /// this daemon learns of it.
    #[must_use]
    pub fn is_recorded(&self) -> bool {
        let recorded = self.recorded.borrow();
        let known = self.gate.announcement();
        known
            .zip(recorded.as_ref())
            .is_some_and(|(known, (kept, era))| known.same_state(kept) && *era == self.store.era())
    }

    /// Waits until the gate has applied the departure of an instance and the store has the state that
    /// follows from it.
    pub async fn wait_for_departure(&self, instance: &str, started_ms: Option<u64>) {
        loop {
            let kept = self.record_kept.notified();
            if self.gate.has_left(instance, started_ms) && self.is_recorded() {
                return;
            }
            kept.await;
        }
    }

    /// Keeps what another daemon says of its own endpoint; returns the newest announcement that is
    /// known of it.
    pub fn keep_record(&self, vm: &str, entry: Option<VmEntry>) -> Option<Announcement> {
        let mut fleet = self.fleet.borrow_mut();
        let entry = entry.filter(|entry| *entry.vm == *vm && entry.vm != self.vm);
        if let Some(entry) = entry {
            let state = entry.endpoint.state;
            if fleet.apply_report(entry) {
                info!(event = "peer_endpoint", vm = vm, state:? = state; "");
            }
        }
        fleet.newest(vm).cloned()
    }

    /// Returns the headroom of a service's endpoints, in one data centre or in all. It is zero if
    /// all of them are ejected, and `None` if no gate has reported its load. A gate of which nothing
    /// is known counts as idle.
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
        let known: Vec<Load> = peers
            .iter()
            .filter_map(|peer| peer.stats.borrow().load(now))
            .collect();
        let unknown = peers
            .iter()
            .filter(|peer| !peer.stats.borrow().is_known(now))
            .count();
        let headroom = Headroom::of_service(&known, unknown);
        let unreachable = || {
            let mut stats = peers.iter().map(|peer| peer.stats.borrow());
            !peers.is_empty() && stats.all(|stats| stats.is_ejected(now))
        };
        headroom.or_else(|| unreachable().then_some(Headroom::NONE))
    }

    /// Returns a frame with the configuration and the VM entries that this daemon knows.
    #[must_use]
    pub fn state_frame(&self) -> (Frame, Bytes) {
        let fleet = self.fleet.borrow();
        let entries = fleet
            .entries()
            .map(|(entry, position)| (entry.clone(), position))
            .collect();
        let active = self.active.borrow();
        let (bytes, revision) = active.as_ref().map_or_else(
            || (Bytes::new(), 0),
            |active| (active.bytes.clone(), active.revision),
        );
        (Frame::State { entries, revision }, bytes)
    }

    /// Returns a frame with the state of the local endpoint.
    #[must_use]
    pub fn endpoint_frame(&self) -> Frame {
        Frame::Endpoint {
            announcement: self.gate.announcement(),
            stopping: self.is_stopping(),
        }
    }

    /// Returns the store entry of this VM, if its endpoint is known.
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

    /// Publishes a change of the local endpoint to other daemons and the store.
    pub fn publish_endpoint(&self) {
        if let Some(entry) = self.vm_entry() {
            let mut fleet = self.fleet.borrow_mut();
            let known = fleet.entries().find(|(known, _)| known.vm == self.vm);
            let position = known.map_or_else(Position::default, |(_, position)| position);
            fleet.apply_write(entry, position);
        }
        self.subscribers.notify(&self.endpoint_frame());
        self.entry_changed.notify_one();
    }

    /// Applies the state that another daemon sent of itself and its endpoint.
    pub fn apply_peer_state(
        &self,
        peer: &Peer,
        announcement: Option<Announcement>,
        stopping: bool,
    ) {
        let now = self.clock.now();
        if stopping {
            let grace = self.settings.borrow().bounds.grace();
            peer.stats
                .borrow_mut()
                .eject_for(now, grace + RESTART_DELAY);
        } else if announcement.is_none() {
            peer.stats.borrow_mut().record_failure(now);
        } else {
            peer.stats.borrow_mut().readmit();
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

    /// Whether clients may send requests to this daemon.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.active.borrow().is_some() && !self.fleet.borrow().is_empty()
    }

    /// Whether the daemon is shutting down.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Returns the time since the shutdown began, or `None` if it has not.
    #[must_use]
    pub fn stopping_for(&self) -> Option<Duration> {
        let now = self.clock.now();
        self.stopping
            .get()
            .map(|since| now.saturating_duration_since(since))
    }

    /// Returns when the process exits at the latest, or `None` if no shutdown has begun.
    #[must_use]
    pub fn shutdown_deadline(&self) -> Option<Instant> {
        let time = self.settings.borrow().bounds.grace().mul_f64(EXIT_FRACTION);
        self.stopping.get().map(|since| since + time)
    }

    /// Whether the process may exit before a deadline.
    #[must_use]
    pub fn ends_before(&self, deadline: Instant) -> bool {
        self.closing.get() || self.shutdown_deadline().is_some_and(|end| deadline > end)
    }

    /// Returns when calls that hold a slot for this time must no longer wait for one, because they
    /// would outlast the process; `None` if no shutdown has begun.
    #[must_use]
    pub fn withdrawal_time(&self, hold_time: Duration) -> Option<Instant> {
        let longest = self.settings.borrow().bounds.grace().mul_f64(EXIT_FRACTION) / 2;
        let spare = (hold_time + WITHDRAW_MARGIN).min(longest);
        let end = self.shutdown_deadline()?;
        Some(end.checked_sub(spare).unwrap_or(end))
    }

    /// Whether calls that hold a slot for this time must no longer wait for one.
    #[must_use]
    pub fn must_withdraw(&self, hold_time: Duration) -> bool {
        let now = self.clock.now();
        self.withdrawal_time(hold_time).is_some_and(|at| now >= at)
    }

    /// Waits until a call must be withdrawn that has this deadline and holds a slot for this time. A
    /// call that ends before the process is not withdrawn.
    pub async fn withdrawal(&self, deadline: Instant, hold_time: Duration) {
        loop {
            let changed = self.shutdown_changed.notified();
            if let Some(at) = self.withdrawal_time(hold_time) {
                if !self.ends_before(deadline) {
                    return std::future::pending().await;
                }
                return tokio::time::sleep_until(at.into()).await;
            }
            changed.await;
        }
    }

    /// Waits until the process is about to exit.
    pub async fn closed(&self) {
        loop {
            let changed = self.shutdown_changed.notified();
            if self.closing.get() {
                return;
            }
            changed.await;
        }
    }

    /// Refuses all further calls and gives up those that still run: the process is about to exit.
    pub fn close(&self) {
        self.closing.set(true);
        self.shutdown_changed.notify_waiters();
    }

    /// Begins the shutdown: from now on other daemons pick other gates.
    pub fn stop(&self) {
        self.stopping.set(Some(self.clock.now()));
        self.subscribers.notify(&self.endpoint_frame());
        self.shutdown_changed.notify_waiters();
    }

    /// Returns the number of requests of clients and of the local endpoint whose responses have not
    /// been written.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Returns the number of requests of clients and of the local endpoint whose responses have not
    /// been written, plus the jobs at the gate and the responses that other daemons have not
    /// received whole.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.open_requests.get() + self.gate.active_calls() + self.subscribers.unsent_bodies()
    }

    /// Updates the gauges.
    pub fn update_gauges(&self) {
        let load = self.gate.load(self.clock.now());
        let backlog = Duration::from_micros(u64::from(load.backlog_us));
        self.metrics.backlog.set(backlog.as_secs_f64());
        self.metrics.pace.set(i64::from(load.pace));
        let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.metrics.store_calls.set(gauge(self.store.calls()));
        self.metrics.store_era.set(gauge(self.store.era()));
        self.metrics
            .vms
            .set(gauge(self.fleet.borrow().len() as u64));
        for (kind, label) in KINDS {
            let held = self.metrics.memory.held.with_label_values(&[label]);
            held.set(gauge(self.budget.held_for(kind) as u64));
        }
        let version = self.configuration().map_or(0, |active| active.version);
        self.metrics.version.set(gauge(version));
        self.metrics
            .lost_lines
            .set(gauge(self.lost_lines.load(Ordering::Relaxed)));
    }
}
