//! Guards against clients that hold memory or descriptors which others need, and against clients that
//! make progress and are closed.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use policy::clock::ManualClock;

use super::{Connections, Registered, Wait};
use crate::daemon::Daemon;
use crate::memory::{Grant, Kind, MAX_BODY_BYTES};
use crate::testing::daemon;

fn register(daemon: &Rc<Daemon>, wait: Wait, held: usize) -> Registered {
    let registered = Connections::register(daemon).unwrap();
    registered.state.set_wait(daemon.clock.now(), wait, held);
    registered
}

/// Fills the memory, so that a body of the largest size is refused.
fn fill(daemon: &Daemon) -> Grant {
    let mut grant = daemon.budget.grant(Kind::Request);
    assert!(grant.resize(MAX_BODY_BYTES));
    let mut refused = daemon.budget.grant(Kind::Request);
    assert!(!refused.resize(MAX_BODY_BYTES));
    grant
}

fn advance(clock: &Arc<ManualClock>, time: Duration) {
    clock.advance(time);
}

#[test]
fn the_clients_without_progress_for_longest_are_closed_when_memory_is_short() {
    let (daemon, clock) = daemon();
    let first = register(&daemon, Wait::Client, MAX_BODY_BYTES / 2);
    advance(&clock, Duration::from_secs(1));
    let second = register(&daemon, Wait::Client, MAX_BODY_BYTES / 2);
    let third = register(&daemon, Wait::Client, MAX_BODY_BYTES / 2);
    let idle = register(&daemon, Wait::Request, 0);
    advance(&clock, Duration::from_millis(1_100));
    third.state.record_progress(clock_now(&daemon), 1 << 20);
    daemon.connections.relieve(&daemon);
    assert!(!first.state.is_closed(), "closed without need");
    let _full = fill(&daemon);
    daemon.connections.relieve(&daemon);
    assert!(first.state.is_closed() && second.state.is_closed());
    assert!(!third.state.is_closed() && !idle.state.is_closed());
    assert_eq!(daemon.metrics.memory.slow_closed.get(), 2);
}

fn clock_now(daemon: &Daemon) -> std::time::Instant {
    daemon.clock.now()
}

#[test]
fn the_longest_idle_client_makes_way_for_a_new_one() {
    let (daemon, clock) = daemon();
    daemon.settings.borrow_mut().memory.client_connections = Some(3);
    let busy = register(&daemon, Wait::Daemon, 0);
    let first = register(&daemon, Wait::Request, 0);
    advance(&clock, Duration::from_secs(1));
    let second = register(&daemon, Wait::Request, 0);
    let _new = Connections::register(&daemon).unwrap();
    assert!(first.state.is_closed());
    assert!(!second.state.is_closed() && !busy.state.is_closed());
}
