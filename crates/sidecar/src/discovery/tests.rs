//! Guards against a daemon that cannot serve after a power failure although the store has the entry
//! of its endpoint, against taking over an endpoint that is gone, and against a watch that waits
//! for a response which never comes.

use std::rc::Rc;
use std::time::Duration;

use adapter::store::{Store, StoreError};
use bytes::Bytes;
use policy::fleet::{Announcement, State, VmEntry};
use policy::position::Position;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::Instant;

use super::{Discovery, StorePart, VM_PREFIX, WATCH_TIMEOUT, must_request};
use crate::daemon::Daemon;
use crate::frame::NotRun;
use crate::gate::Outcome;
use crate::testing::{announcement, daemon, daemon_with, job};

/// Applies a store entry of this VM whose endpoint `i-1` is in a state.
fn apply(daemon: &Rc<Daemon>, state: State) {
    apply_endpoint(daemon, announcement("i-1", 1, 1, state));
}

/// Applies a store entry of this VM with an endpoint.
fn apply_endpoint(daemon: &Rc<Daemon>, endpoint: Announcement) {
    let entry = VmEntry {
        vm: "vm-1".into(),
        peer: "127.0.0.1:2".parse().unwrap(),
        data_centre: "madrid".into(),
        endpoint,
    };
    let value = serde_json::to_vec(&entry).unwrap();
    let key = format!("{VM_PREFIX}vm-1");
    Discovery::default().apply_entry(daemon, &key, &value, Position::new(0, 5));
}

#[test]
fn the_entry_of_an_earlier_process_is_taken_over() {
    let (daemon, _) = daemon();
    apply(&daemon, State::Ready);
    let known = daemon.gate.announcement().unwrap();
    assert_eq!(&*known.instance, "i-1");
    assert_eq!(daemon.fleet.borrow().ready("despacho").len(), 1);
}

/// Submits a call for an instance; returns why it is refused, or `None` if it is admitted.
fn refusal(daemon: &Rc<Daemon>, instance: &str) -> Option<NotRun> {
    let (job, mut receiver) = job(daemon, "a", instance);
    daemon.gate.submit(daemon, job);
    match receiver.try_recv() {
        Ok((Outcome::NotRun(reason), _)) => Some(reason),
        _ => None,
    }
}

#[tokio::test]
async fn a_gone_endpoint_gets_no_calls_and_the_next_one_does() {
    LocalSet::new()
        .run_until(async {
            let (daemon, _) = daemon();
            apply(&daemon, State::Gone);
            assert_eq!(daemon.gate.announcement().unwrap().state, State::Gone);
            assert!(daemon.fleet.borrow().ready("despacho").is_empty());
            assert_eq!(refusal(&daemon, "i-1"), Some(NotRun::Leaving));
            let next = announcement("i-2", 2, 1, State::Ready);
            daemon.gate.apply_announcement(&daemon, next);
            assert_eq!(refusal(&daemon, "i-2"), None);
        })
        .await;
}

/// Guards against a daemon that acknowledged that its endpoint leaves, was started again and takes a
/// heartbeat that the endpoint sent before for its present state (review/3).
#[rstest]
#[case::gone(announcement("i-1", 1, 9, State::Gone))]
#[case::stated_in_a_response(announcement("i-1", 1, 2, State::Leaving))]
#[case::draining(announcement("i-1", 1, 9, State::Draining))]
#[case::a_later_instance_is_gone(announcement("i-2", 2, 1, State::Gone))]
#[tokio::test]
async fn a_late_heartbeat_after_a_restart_does_not_revert_a_departure(
    #[case] recorded: Announcement,
    #[values(false, true)] heartbeat_first: bool,
) {
    LocalSet::new()
        .run_until(async {
            let (daemon, _) = daemon();
            let late = || {
                let late = announcement("i-1", 1, 8, State::Ready);
                daemon.gate.apply_announcement(&daemon, late);
                daemon.publish_endpoint();
            };
            if heartbeat_first {
                late();
            }
            apply_endpoint(&daemon, recorded.clone());
            if !heartbeat_first {
                late();
            }
            assert_eq!(daemon.gate.announcement(), Some(recorded.clone()));
            assert_ne!(refusal(&daemon, "i-1"), None);
            assert_eq!(refusal(&daemon, &recorded.instance), Some(NotRun::Leaving));
            assert!(daemon.fleet.borrow().ready("despacho").is_empty());
            assert_eq!(daemon.vm_entry().unwrap().endpoint, recorded);
        })
        .await;
}

/// Guards against a late heartbeat that takes the place of an instance which has replaced its sender.
#[tokio::test]
async fn a_late_heartbeat_before_the_entry_does_not_replace_a_later_instance() {
    LocalSet::new()
        .run_until(async {
            let (daemon, _) = daemon();
            let late = announcement("i-1", 1, 8, State::Ready);
            daemon.gate.apply_announcement(&daemon, late);
            apply_endpoint(&daemon, announcement("i-2", 2, 1, State::Ready));
            assert_eq!(&*daemon.gate.announcement().unwrap().instance, "i-2");
            assert_eq!(refusal(&daemon, "i-1"), Some(NotRun::Unknown));
            assert_eq!(refusal(&daemon, "i-2"), None);
        })
        .await;
}

/// Guards against a restarted daemon that uses an endpoint which left while the store was
/// unreachable, although other daemons know that it left.
#[test]
fn a_newer_state_from_other_daemons_overrides_the_entry() {
    let (daemon, _) = daemon();
    let entry = VmEntry {
        vm: "vm-1".into(),
        peer: "127.0.0.1:2".parse().unwrap(),
        data_centre: "madrid".into(),
        endpoint: announcement("i-1", 1, 1, State::Gone),
    };
    daemon.merge_state(&[(entry, Position::new(0, 3))], 0, &Bytes::new());
    apply(&daemon, State::Ready);
    assert_eq!(daemon.gate.announcement().unwrap().state, State::Gone);
    assert!(daemon.fleet.borrow().ready("despacho").is_empty());
}

#[test]
fn an_entry_does_not_replace_an_announcement() {
    let (daemon, _) = daemon();
    let newer = announcement("i-2", 2, 1, State::Ready);
    daemon.gate.apply_announcement(&daemon, newer);
    apply(&daemon, State::Ready);
    assert_eq!(&*daemon.gate.announcement().unwrap().instance, "i-2");
}

#[test]
fn an_invalid_entry_is_ignored() {
    let (daemon, _) = daemon();
    let key = format!("{VM_PREFIX}vm-2");
    let applied = Discovery::default().apply_entry(&daemon, &key, b"\x01", Position::new(0, 5));
    assert_eq!(applied, None);
    assert!(daemon.fleet.borrow().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_watch_is_sent_again_when_the_store_is_reachable_again() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let store = Store::new(listener.local_addr().unwrap(), Duration::from_secs(1));
            let (daemon, _) = daemon_with(store);
            let discovery = Rc::new(Discovery::default());
            let failure = StoreError::NoResponse("silent".to_owned());
            discovery.record_failure(&daemon, "lease", &failure);
            let owner = Rc::clone(&discovery);
            let watcher = Rc::clone(&daemon);
            let start = Instant::now();
            let watch = tokio::task::spawn_local(async move {
                owner
                    .watch(&watcher, "p/", Position::new(0, 3), WATCH_TIMEOUT)
                    .await
            });
            // The store accepts the connection and never responds.
            let _silent = listener.accept().await.unwrap();
            discovery.record_success(&daemon);
            let changes = watch.await.unwrap().unwrap();
            assert_eq!(changes.revision, 3);
            // The operators' bound for a change of the configuration is 2 s.
            assert!(start.elapsed() < Duration::from_secs(2));
        })
        .await;
}

/// Guards against a daemon that treats the store as unreachable although it renewed the lease:
/// other calls may be waiting watches, which do not notice that the store is reachable again.
#[tokio::test]
async fn a_renewed_lease_shows_that_the_store_is_reachable_again() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let store = Store::new(listener.local_addr().unwrap(), Duration::from_secs(10));
            let (daemon, _) = daemon_with(store);
            let discovery = Discovery::default();
            discovery.record_failure(&daemon, "lease", &StoreError::NoResponse(String::new()));
            tokio::task::spawn_local(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut request = [0; 1_024];
                let _ = stream.read(&mut request).await.unwrap();
                let response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
                stream.write_all(response).await.unwrap();
            });
            assert_eq!(discovery.renew(&daemon, 1).await, Some(true));
            assert_eq!(discovery.unreachable_since.get(), None);
        })
        .await;
}

/// Guards against a daemon that starts without the store and refuses all calls for seconds although
/// other daemons have the configuration (inc-b07b).
#[rstest]
#[case::without_a_configuration_at_once(false, None, None, true)]
#[case::without_a_configuration_after_half_a_second(false, None, Some(500), true)]
#[case::without_a_configuration_not_before_half_a_second(false, Some(900), Some(499), false)]
#[case::with_a_configuration_not_before_the_outage_grace(true, Some(699), None, false)]
#[case::with_a_configuration_after_the_outage_grace(true, Some(700), None, true)]
#[case::with_a_configuration_once_a_second(true, Some(5_000), Some(999), false)]
#[case::with_a_configuration_and_a_reachable_store_never(true, None, None, false)]
fn other_daemons_are_asked_for_the_configuration(
    #[case] configured: bool,
    #[case] unreachable: Option<u64>,
    #[case] requested: Option<u64>,
    #[case] expected: bool,
) {
    let time = |ms: Option<u64>| ms.map(Duration::from_millis);
    assert_eq!(
        must_request(configured, time(unreachable), time(requested)),
        expected
    );
}

const LISTING: &str = include_str!("../../../../platform/examples/listing.json");

/// Guards against a configuration that is in force too late because the first watch after a failed
/// call is never answered (CONFIG on scale-2 of two sites, while the history was compacted).
#[tokio::test]
async fn the_configuration_is_listed_again_after_a_failed_watch() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let store = Store::new(listener.local_addr().unwrap(), Duration::from_secs(1));
            let (daemon, _) = daemon_with(store);
            let discovery = Rc::new(Discovery::default());
            let follow = discovery.follow(Rc::clone(&daemon), StorePart::Configuration);
            tokio::task::spawn_local(follow);
            let mut calls = Vec::new();
            while calls.len() < 3 {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut request = vec![0; 1_024];
                let count = stream.read(&mut request).await.unwrap();
                let request = String::from_utf8_lossy(&request[..count]).into_owned();
                if request.contains("range") {
                    let length = LISTING.len();
                    let head = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
                    let response = format!("{head}Content-Length: {length}\r\n\r\n{LISTING}");
                    stream.write_all(response.as_bytes()).await.unwrap();
                }
                // A watch gets no answer: its connection ends here.
                calls.push(request.contains("range"));
            }
            assert_eq!(calls, [true, false, true]);
        })
        .await;
}

/// Guards against a flood of listings when the store has none of the history that it lists, as after
/// a malformed era.
#[tokio::test]
async fn a_store_that_refuses_every_watch_is_not_asked_without_a_pause() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let store = Store::new(listener.local_addr().unwrap(), Duration::from_secs(1));
            let (daemon, _) = daemon_with(store);
            let discovery = Rc::new(Discovery::default());
            let follow = discovery.follow(Rc::clone(&daemon), StorePart::Configuration);
            tokio::task::spawn_local(follow);
            let answer = async {
                loop {
                    let (mut stream, _) = listener.accept().await.unwrap();
                    let mut request = vec![0; 1_024];
                    let count = stream.read(&mut request).await.unwrap();
                    let request = String::from_utf8_lossy(&request[..count]).into_owned();
                    let (status, body) = if request.contains("range") {
                        ("200 OK", LISTING)
                    } else {
                        ("410 Gone", "{}")
                    };
                    let head = format!("HTTP/1.1 {status}\r\nConnection: close\r\n");
                    let length = body.len();
                    let response = format!("{head}Content-Length: {length}\r\n\r\n{body}");
                    stream.write_all(response.as_bytes()).await.unwrap();
                }
            };
            let time = Duration::from_secs(2);
            drop(tokio::time::timeout(time, answer).await);
            assert!(daemon.store.calls() <= 24, "{}", daemon.store.calls());
        })
        .await;
}

/// Returns a store entry as text.
fn entry_text(vm: &str, endpoint: Announcement) -> String {
    let entry = VmEntry {
        vm: vm.into(),
        peer: "127.0.0.1:2".parse().unwrap(),
        data_centre: "madrid".into(),
        endpoint,
    };
    serde_json::to_string(&entry).unwrap()
}

/// Guards against an entry of another writer that ends the process or the task that reads it, hides
/// the other entries, or can never be replaced.
#[rstest]
#[case::deeply_nested("\"despacho\"", &("[".repeat(100_000) + &"]".repeat(100_000)))]
#[case::port_out_of_range("127.0.0.1:2", "127.0.0.1:65536")]
#[case::no_port("127.0.0.1:2", "127.0.0.1:0")]
#[case::slots_too_many("\"slots\":1", "\"slots\":4294967295")]
#[case::slots_out_of_range("\"slots\":1", "\"slots\":1e999")]
#[case::start_too_late("\"born\":9", "\"born\":18446744073709551615")]
#[case::start_out_of_range("\"born\":9", "\"born\":99999999999999999999")]
#[case::time_out_of_range(
    "\"secs\":0,\"nanos\":0",
    "\"secs\":18446744073709551615,\"nanos\":4294967295"
)]
#[tokio::test]
async fn an_odd_entry_is_ignored_and_the_others_hold(
    #[case] old: &str,
    #[case] new: &str,
    #[values("vm-1", "vm-2")] vm: &str,
) {
    LocalSet::new()
        .run_until(async {
            let (daemon, _) = daemon();
            let discovery = Discovery::default();
            let known = announcement("i-1", 1, 1, State::Ready);
            daemon.gate.apply_announcement(&daemon, known.clone());
            let good = entry_text(vm, announcement("i-9", 9, 1, State::Gone));
            let odd = good.replacen(old, new, 1);
            assert_ne!(odd, good);
            let mut position = Position::new(0, 5);
            let mut apply = |vm: &str, text: &str| {
                position.revision += 1;
                let key = format!("{VM_PREFIX}{vm}");
                discovery.apply_entry(&daemon, &key, text.as_bytes(), position)
            };
            assert_eq!(apply(vm, &odd), None);
            let other = entry_text("vm-3", announcement("i-3", 1, 1, State::Ready));
            assert!(apply("vm-3", &other).is_some());
            assert_eq!(daemon.gate.announcement(), Some(known));
            assert!(daemon.fleet.borrow().get("vm-2").is_none());
            assert_eq!(daemon.fleet.borrow().ready("despacho").len(), 1);
            // A sound entry takes the place of the odd one.
            assert!(apply(vm, &good).is_some());
            let fleet = daemon.fleet.borrow();
            let state = fleet.get(vm).map(|entry| entry.endpoint.state);
            assert_eq!(state, Some(State::Gone));
        })
        .await;
}

/// Guards against a field of a later release whose nesting ends the process.
#[test]
fn a_deeply_nested_unknown_field_is_skipped() {
    let (daemon, _) = daemon();
    let depth = 100_000;
    let nested = format!("{}1{}", "{\"a\":".repeat(depth), "}".repeat(depth));
    let entry = entry_text("vm-2", announcement("i-2", 1, 1, State::Ready));
    let entry = entry.replacen("\"vm\"", &format!("\"x\":{nested},\"vm\""), 1);
    let key = format!("{VM_PREFIX}vm-2");
    let discovery = Discovery::default();
    let applied = discovery.apply_entry(&daemon, &key, entry.as_bytes(), Position::new(0, 5));
    assert!(applied.is_some());
}
