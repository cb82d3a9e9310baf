//! Guards against a configuration that goes back, and against a ready daemon that cannot serve.

use bytes::Bytes;
use policy::fleet::State;

use crate::testing::{announcement, configuration, daemon};

#[test]
fn only_a_higher_version_is_adopted() {
    let (daemon, _) = daemon();
    let version = || daemon.configuration().map(|adopted| adopted.version);
    daemon.adopt(configuration(7), 10);
    assert_eq!(version(), Some(7));
    daemon.adopt(configuration(5), 20);
    daemon.adopt(Bytes::from_static(b"no configuration"), 30);
    assert_eq!(version(), Some(7));
    daemon.adopt(configuration(9), 5);
    assert_eq!(version(), Some(9));
}

#[test]
fn a_daemon_is_ready_with_a_configuration_and_a_fleet_until_it_stops() {
    let (daemon, _) = daemon();
    assert!(!daemon.is_ready());
    daemon.adopt(configuration(1), 1);
    assert!(!daemon.is_ready());
    daemon
        .gate
        .announced(&daemon, announcement("i-1", 1, 1, State::Ready));
    daemon.endpoint_changed();
    assert!(daemon.is_ready());
    daemon.stop();
    assert!(!daemon.is_ready());
}
