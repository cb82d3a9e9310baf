//! Guards against a configuration that is replaced by an older one, and against a daemon that is
//! ready but cannot serve.

use bytes::Bytes;
use policy::fleet::State;

use crate::testing::{announcement, configuration, daemon};

#[test]
fn only_a_configuration_with_a_higher_version_is_applied() {
    let (daemon, _) = daemon();
    let version = || daemon.configuration().map(|active| active.version);
    daemon.apply_configuration(configuration(7), 10);
    assert_eq!(version(), Some(7));
    daemon.apply_configuration(configuration(5), 20);
    daemon.apply_configuration(Bytes::from_static(b"no configuration"), 30);
    assert_eq!(version(), Some(7));
    daemon.apply_configuration(configuration(9), 5);
    assert_eq!(version(), Some(9));
}

#[test]
fn a_daemon_is_ready_with_a_configuration_and_a_fleet_until_it_stops() {
    let (daemon, _) = daemon();
    assert!(!daemon.is_ready());
    daemon.apply_configuration(configuration(1), 1);
    assert!(!daemon.is_ready());
    daemon
        .gate
        .apply_announcement(&daemon, announcement("i-1", 1, 1, State::Ready));
    daemon.publish_endpoint();
    assert!(daemon.is_ready());
    daemon.stop();
    assert!(!daemon.is_ready());
}
