//! A daemon without sockets, for tests of its parts.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use adapter::store::Store;
use policy::clock::ManualClock;
use policy::fleet::{Announcement, State};

use crate::daemon::Daemon;
use crate::settings::Settings;

/// Settings of a daemon beside an endpoint of `despacho`.
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
  },
  "memory_mb": 260
}
"#;

/// A daemon and its clock.
pub(crate) fn daemon() -> (Rc<Daemon>, Arc<ManualClock>) {
    let address = Settings::parse(SETTINGS).unwrap().store.address;
    daemon_with(Store::new(address, Duration::from_secs(1)))
}

/// A daemon with a client of a store, and its clock.
pub(crate) fn daemon_with(store: Store) -> (Rc<Daemon>, Arc<ManualClock>) {
    let settings = Settings::parse(SETTINGS).unwrap();
    let clock = Arc::new(ManualClock::new());
    let time = Arc::clone(&clock);
    let daemon = Daemon::new(settings, time, store, Arc::new(AtomicU64::new(0)));
    (daemon, clock)
}

/// What an endpoint of `despacho` says of itself.
pub(crate) fn announcement(instance: &str, born: u64, sequence: u64, state: State) -> Announcement {
    Announcement {
        instance: instance.into(),
        service: "despacho".into(),
        data_centre: "madrid".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        slots: 1,
        state,
        cold: Duration::ZERO,
        born,
        sequence,
    }
}

/// A configuration without routes, as the operators write it.
pub(crate) fn configuration(version: u64) -> bytes::Bytes {
    let limits = adapter::configuration::EXAMPLE_LIMITS;
    format!("{{\"Version\":{version},\"Routes\":{{}},\"Limits\":{limits}}}").into()
}
