//! Guards against a daemon that cannot serve after a loss of power although the store knows its
//! endpoint, against taking over an endpoint that has ended, and against a watch that waits for an answer
//! which the store forgot.

use std::rc::Rc;
use std::time::Duration;

use adapter::store::{Store, StoreError};
use bytes::Bytes;
use policy::fleet::{State, VmEntry};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::Instant;

use super::{Discovery, VM_PREFIX, must_ask};
use crate::daemon::Daemon;
use crate::testing::{announcement, daemon, daemon_with};

fn take(daemon: &Rc<Daemon>, state: State) {
    let entry = VmEntry {
        vm: "vm-1".into(),
        peer: "127.0.0.1:2".parse().unwrap(),
        data_centre: "madrid".into(),
        endpoint: announcement("i-1", 1, 1, state),
    };
    let value = serde_json::to_vec(&entry).unwrap();
    let key = format!("{VM_PREFIX}vm-1");
    Discovery::default().take_entry(daemon, &key, &value, 5);
}

#[test]
fn an_entry_of_the_predecessor_is_taken_over() {
    let (daemon, _) = daemon();
    take(&daemon, State::Ready);
    let known = daemon.gate.announcement().unwrap();
    assert_eq!(&*known.instance, "i-1");
    assert_eq!(daemon.fleet.borrow().ready("despacho").len(), 1);
}

#[test]
fn an_ended_endpoint_is_not_taken_over() {
    let (daemon, _) = daemon();
    take(&daemon, State::Gone);
    assert_eq!(daemon.gate.announcement(), None);
}

/// Guards against an endpoint that left while the store was away and is used again by a restarted
/// daemon, although its neighbours know better.
#[test]
fn an_entry_gives_way_to_what_other_daemons_heard() {
    let (daemon, _) = daemon();
    let entry = VmEntry {
        vm: "vm-1".into(),
        peer: "127.0.0.1:2".parse().unwrap(),
        data_centre: "madrid".into(),
        endpoint: announcement("i-1", 1, 1, State::Gone),
    };
    daemon.merge_state(&[(entry, 3)], 0, &Bytes::new());
    take(&daemon, State::Ready);
    assert_eq!(daemon.gate.announcement().unwrap().state, State::Gone);
    assert!(daemon.fleet.borrow().ready("despacho").is_empty());
}

#[test]
fn an_entry_does_not_replace_what_the_endpoint_said() {
    let (daemon, _) = daemon();
    let newer = announcement("i-2", 2, 1, State::Ready);
    daemon.gate.apply_announcement(&daemon, newer);
    take(&daemon, State::Ready);
    assert_eq!(&*daemon.gate.announcement().unwrap().instance, "i-2");
}

#[test]
fn an_unreadable_entry_is_left_out() {
    let (daemon, _) = daemon();
    let key = format!("{VM_PREFIX}vm-2");
    let taken = Discovery::default().take_entry(&daemon, &key, b"\x01", 5);
    assert_eq!(taken, None);
    assert!(daemon.fleet.borrow().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_watch_is_sent_again_when_the_store_is_back() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let store = Store::new(listener.local_addr().unwrap(), Duration::from_secs(1));
            let (daemon, _) = daemon_with(store);
            let discovery = Rc::new(Discovery::default());
            let failure = StoreError::NoResponse("silent".to_owned());
            discovery.failed(&daemon, "lease", &failure);
            let owner = Rc::clone(&discovery);
            let watcher = Rc::clone(&daemon);
            let start = Instant::now();
            let watch =
                tokio::task::spawn_local(async move { owner.watch(&watcher, "p/", 3).await });
            // The store takes the request and never answers it.
            let _silent = listener.accept().await.unwrap();
            discovery.answered(&daemon);
            let changes = watch.await.unwrap().unwrap();
            assert_eq!(changes.revision, 3);
            // The operators' bound for a change of the configuration is 2 s.
            assert!(start.elapsed() < Duration::from_secs(2));
        })
        .await;
}

#[tokio::test]
async fn a_renewed_lease_shows_that_the_store_is_back() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let store = Store::new(listener.local_addr().unwrap(), Duration::from_secs(10));
            let (daemon, _) = daemon_with(store);
            let discovery = Discovery::default();
            discovery.failed(&daemon, "lease", &StoreError::NoResponse(String::new()));
            tokio::task::spawn_local(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut request = [0; 1_024];
                let _ = stream.read(&mut request).await.unwrap();
                let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
                stream.write_all(answer).await.unwrap();
            });
            assert_eq!(discovery.renew(&daemon, 1).await, Some(true));
            assert_eq!(discovery.away.get(), None);
        })
        .await;
}

/// Guards against a daemon that starts without the store and refuses everything for seconds although
/// its neighbours know the configuration (inc-b07b).
#[rstest]
#[case::no_configuration_asks_at_once(false, None, None, true)]
#[case::and_again_soon(false, None, Some(500), true)]
#[case::but_not_without_a_pause(false, Some(900), Some(499), false)]
#[case::a_known_configuration_waits_for_the_store(true, Some(699), None, false)]
#[case::then_others_are_asked(true, Some(700), None, true)]
#[case::once_a_second(true, Some(5_000), Some(999), false)]
#[case::a_reachable_store_is_enough(true, None, None, false)]
fn others_are_asked_for_the_configuration(
    #[case] configured: bool,
    #[case] away: Option<u64>,
    #[case] asked: Option<u64>,
    #[case] expected: bool,
) {
    let time = |ms: Option<u64>| ms.map(Duration::from_millis);
    assert_eq!(must_ask(configured, time(away), time(asked)), expected);
}
