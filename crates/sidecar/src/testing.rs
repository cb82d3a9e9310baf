//! Test fixtures: a daemon without listeners, and messages for it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant, SystemTime};

use adapter::store::Store;
use bytes::Bytes;
use policy::clock::{Clock, ManualClock};
use policy::fleet::{Announcement, State};
use tokio::sync::oneshot;

use crate::daemon::Daemon;
use crate::frame::{CallHead, CallHistory, CallKind, Load};
use crate::gate::{Deadline, Job, Outcome, OutcomeSender};
use crate::settings::Settings;

/// Receives the outcome of a call.
pub(crate) type OutcomeReceiver = oneshot::Receiver<(Outcome, Load)>;

/// Settings of a daemon whose local endpoint serves `despacho`.
pub(crate) const SETTINGS: &str = r#"
// Comments are allowed.
{
  "vm": "vm-1",
  "data_centre": "madrid",
  "endpoint": {"service": "despacho", "address": "127.0.0.1:9", "heartbeat_ms": 1500},
  "listen": {
    "calls": "127.0.0.1:1", "peers": "127.0.0.1:2", "ready": "127.0.0.1:3",
    "control": "127.0.0.1:4", "metrics": "127.0.0.1:5"
  },
  "seeds": [],
  "store": {"address": "127.0.0.1:9", "shortest_lease_ms": 1000},
  "bounds": {
    "drain_ms": 2000, "grace_s": 6, "repeat_ratio": 0.2, "repeat_slack": 48,
    "repeat_window_s": 10
  }
}
"#;

/// Creates a daemon and its clock.
pub(crate) fn daemon() -> (Rc<Daemon>, Arc<ManualClock>) {
    let address = Settings::parse(SETTINGS).unwrap().store.address;
    daemon_with(Store::new(address, Duration::from_secs(1)))
}

/// Creates a daemon with a store client, and its clock.
pub(crate) fn daemon_with(store: Store) -> (Rc<Daemon>, Arc<ManualClock>) {
    let settings = Settings::parse(SETTINGS).unwrap();
    let clock = Arc::new(ManualClock::new());
    let time = Arc::clone(&clock);
    let daemon = Daemon::new(settings, time, store, Arc::new(AtomicU64::new(0)));
    (daemon, clock)
}

/// Creates a daemon with a store client and the clock of the runtime.
pub(crate) fn daemon_with_clock(store: Store) -> Rc<Daemon> {
    let settings = Settings::parse(SETTINGS).unwrap();
    Daemon::new(
        settings,
        Arc::new(RuntimeClock),
        store,
        Arc::new(AtomicU64::new(0)),
    )
}

/// Creates a daemon whose local endpoint has an address.
pub(crate) fn daemon_at(endpoint: SocketAddr, clock: Arc<dyn Clock>) -> Rc<Daemon> {
    daemon_of("vm-1", endpoint, clock)
}

/// Creates the daemon of a VM whose endpoint has an address.
pub(crate) fn daemon_of(vm: &str, endpoint: SocketAddr, clock: Arc<dyn Clock>) -> Rc<Daemon> {
    let mut settings = Settings::parse(SETTINGS).unwrap();
    settings.vm = vm.into();
    settings.endpoint.address = endpoint;
    let store = Store::new(settings.store.address, Duration::from_secs(1));
    Daemon::new(settings, clock, store, Arc::new(AtomicU64::new(0)))
}

/// Creates the daemon of a VM that other daemons reach at an address, with the clock of the runtime.
pub(crate) fn daemon_among(vm: &str, peers: SocketAddr, store: Store) -> Rc<Daemon> {
    let mut settings = Settings::parse(SETTINGS).unwrap();
    settings.vm = vm.into();
    settings.listen.peers = peers;
    let lost_lines = Arc::new(AtomicU64::new(0));
    Daemon::new(settings, Arc::new(RuntimeClock), store, lost_lines)
}

/// Creates an announcement of an endpoint of `despacho`.
pub(crate) fn announcement(
    instance: &str,
    started_ms: u64,
    sequence: u64,
    state: State,
) -> Announcement {
    Announcement {
        instance: instance.into(),
        service: "despacho".into(),
        data_centre: "madrid".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        slots: 1,
        state,
        cold: Duration::ZERO,
        started_ms,
        sequence,
    }
}

/// Returns a configuration with routes to `despacho`, as the operators write it.
pub(crate) fn configuration(version: u64) -> Bytes {
    let text = include_str!("../../../platform/examples/configuration.json");
    text.replace("\"Version\": 1", &format!("\"Version\": {version}"))
        .into()
}

/// Time of day of [`RuntimeClock`], in milliseconds since the Unix epoch.
pub(crate) const PROCESS_START_MS: u64 = 100_000;

/// Clock of the tokio runtime, which tests can pause.
#[derive(Debug)]
pub(crate) struct RuntimeClock;

impl Clock for RuntimeClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_millis(PROCESS_START_MS)
    }

    fn boot(&self) -> Duration {
        // Only differences matter, so the clock starts at its first reading in this process.
        static START: OnceLock<Instant> = OnceLock::new();
        let now = self.now();
        now.saturating_duration_since(*START.get_or_init(|| now))
    }
}

/// Creates a call for an instance. It is not idempotent.
pub(crate) fn call(id: &str, instance: &str) -> CallHead {
    CallHead {
        id: id.to_owned(),
        left_us: 5_000_000,
        share: Some(1_000),
        history: CallHistory::default(),
        remaining_ms: 0,
        target: "/".to_owned(),
        organisation: None,
        kind: CallKind {
            instance: instance.to_owned(),
            caller: "vitrina".to_owned(),
            route: "r".to_owned(),
            rank: 1,
            idempotent: false,
            nested: false,
            method: "POST".to_owned(),
            fields: Vec::new(),
        },
    }
}

/// Creates a job for the gate of a daemon, and the receiver of its outcome.
pub(crate) fn job(daemon: &Daemon, id: &str, instance: &str) -> (Job, OutcomeReceiver) {
    let (sender, receiver) = oneshot::channel();
    let left = Duration::from_secs(1);
    let job = Job {
        call: call(id, instance),
        body: Bytes::new(),
        deadline: Deadline {
            at: daemon.clock.now() + left,
            boot: daemon.clock.boot() + left,
        },
        sender: OutcomeSender::Local(sender),
    };
    (job, receiver)
}
