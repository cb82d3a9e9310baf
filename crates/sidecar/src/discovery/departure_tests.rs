//! Guards against a departure that is forgotten when a daemon is started again: a daemon that
//! acknowledged it, was killed and serves the endpoint once more.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use adapter::standin::{self, Transaction};
use adapter::store;
use policy::fleet::{Announcement, State, VmEntry};
use policy::position::Position;
use rstest::rstest;
use soak::net::{self, TaskGroup};
use soak::store::{Fault, Store};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use super::{Discovery, StorePart, VM_PREFIX, compare_records};
use crate::control::{self, Purpose};
use crate::daemon::Daemon;
use crate::inbound;
use crate::testing::{announcement, daemon_among, daemon_with_clock};

/// Time in which a daemon must have read and written what it needs: less than the operators' bound
/// for a drain, which is 2 s.
const BOUND: Duration = Duration::from_secs(1);

/// Time for which an endpoint waits for an acknowledgement.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);

fn start_store() -> (Rc<Store>, SocketAddr) {
    let store = Rc::new(Store::default());
    // A daemon without a configuration asks others for all that they know.
    store.write_configuration(standin::encode_configuration(1, &[]));
    let listener = net::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(Rc::clone(&store).run_expiry());
    spawn_local(Rc::clone(&store).serve(listener, 0, TaskGroup::default()));
    (store, address)
}

fn client(store: SocketAddr) -> store::Store {
    store::Store::new(store, Duration::from_millis(800))
}

/// A daemon with the tasks that matter here.
struct Process {
    daemon: Rc<Daemon>,
    /// Where its endpoint announces its state.
    control: SocketAddr,
    tasks: TaskGroup,
}

impl Process {
    fn start(vm: &str, store: SocketAddr) -> Self {
        let listener = net::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let daemon = daemon_among(vm, listener.local_addr().unwrap(), client(store));
        let discovery = Rc::new(Discovery::default());
        let tasks = TaskGroup::default();
        tasks.spawn(inbound::listen(Rc::clone(&daemon), listener));
        let listener = net::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let control = listener.local_addr().unwrap();
        let owner = Rc::clone(&daemon);
        tasks.spawn(control::listen(owner, listener, Purpose::Control));
        for part in [StorePart::Configuration, StorePart::Fleet] {
            tasks.spawn(Rc::clone(&discovery).follow(Rc::clone(&daemon), part));
        }
        tasks.spawn(Rc::clone(&discovery).keep_entry(Rc::clone(&daemon)));
        tasks.spawn(discovery.maintain(Rc::clone(&daemon)));
        tasks.spawn(compare_records(Rc::clone(&daemon)));
        Self {
            daemon,
            control,
            tasks,
        }
    }

    /// Sends an announcement of the endpoint; returns whether it is acknowledged in time.
    async fn announce(&self, message: &[u8]) -> bool {
        let response = net::exchange(self.control, message, ACKNOWLEDGEMENT_TIMEOUT).await;
        response.is_some_and(|response| response.head.status == 200)
    }

    fn kill(self) {
        self.tasks.abort();
    }
}

/// Starts the daemon of `vm-2`, whose endpoint is ready.
async fn start_other(store: SocketAddr) -> Process {
    let other = Process::start("vm-2", store);
    let ready = announcement("i-9", 1, 1, State::Ready);
    other.daemon.gate.apply_announcement(&other.daemon, ready);
    other.daemon.publish_endpoint();
    sleep(BOUND).await;
    other
}

/// Writes the entry of `vm-1`, as an earlier process of its daemon does.
fn write_entry(store: &Store, endpoint: Announcement) {
    let entry = VmEntry {
        vm: "vm-1".into(),
        peer: "127.0.0.1:2".parse().unwrap(),
        data_centre: "madrid".into(),
        endpoint,
    };
    let value = serde_json::to_vec(&entry).unwrap();
    store.write(Transaction {
        writes: vec![(format!("{VM_PREFIX}vm-1"), value, 0)],
        ..Transaction::default()
    });
}

/// Returns the state in the entry of `vm-1`.
fn stored_state(store: &Store) -> Option<State> {
    let value = store.copy().value(&format!("{VM_PREFIX}vm-1"))?;
    let entry: VmEntry = serde_json::from_slice(&value).unwrap();
    Some(entry.endpoint.state)
}

fn known_state(daemon: &Daemon) -> Option<State> {
    daemon.gate.announcement().map(|known| known.state)
}

/// Applies a heartbeat of the endpoint in which it is ready.
fn announce_ready(daemon: &Rc<Daemon>, sequence: u64) {
    let ready = announcement("i-1", 1, sequence, State::Ready);
    if daemon.gate.apply_announcement(daemon, ready) {
        daemon.publish_endpoint();
    }
}

/// Guards against a daemon that overwrites the entry of an earlier process without reading it: the
/// listing at the start may be seconds old, and a write without a response leaves the revision
/// unknown.
#[rstest]
#[case::the_listing_was_old(Some(Position::new(0, 2)))]
#[case::the_listing_lacked_the_entry(Some(Position::new(0, 0)))]
#[case::the_revision_is_unknown(None)]
#[tokio::test]
async fn a_departure_that_was_not_read_is_not_overwritten(#[case] known: Option<Position>) {
    LocalSet::new()
        .run_until(async move {
            let (store, address) = start_store();
            write_entry(&store, announcement("i-1", 1, 1, State::Ready));
            write_entry(&store, announcement("i-1", 1, 9, State::Gone));
            let daemon = daemon_with_clock(client(address));
            let discovery = Rc::new(Discovery::default());
            discovery.listed.set(true);
            discovery.own_position.set(known);
            spawn_local(Rc::clone(&discovery).keep_entry(Rc::clone(&daemon)));
            announce_ready(&daemon, 8);
            sleep(BOUND).await;
            assert_eq!(stored_state(&store), Some(State::Gone));
            assert_eq!(known_state(&daemon), Some(State::Gone));
        })
        .await;
}

/// Guards against a daemon that is started again after the store has returned from a copy in which
/// its endpoint is ready, although other daemons know that it left.
#[rstest]
#[case::gone(announcement("i-1", 1, 2, State::Gone))]
#[case::stated_in_a_response(announcement("i-1", 1, 2, State::Leaving))]
#[case::draining(announcement("i-1", 1, 9, State::Draining))]
#[tokio::test]
async fn a_departure_that_the_store_lost_is_learned_from_other_daemons(
    #[case] departure: Announcement,
    #[values(false, true)] entry_in_copy: bool,
) {
    LocalSet::new()
        .run_until(async move {
            let (store, address) = start_store();
            let _other = start_other(address).await;
            let mut copy = store.copy();
            let first = Process::start("vm-1", address);
            announce_ready(&first.daemon, 1);
            sleep(BOUND).await;
            if entry_in_copy {
                copy = store.copy();
            }
            first
                .daemon
                .gate
                .apply_announcement(&first.daemon, departure.clone());
            first.daemon.publish_endpoint();
            sleep(BOUND).await;
            assert_eq!(stored_state(&store), Some(departure.state));
            first.kill();
            store.restore(copy);
            let second = Process::start("vm-1", address);
            sleep(BOUND).await;
            announce_ready(&second.daemon, 8);
            sleep(BOUND).await;
            assert_eq!(known_state(&second.daemon), Some(departure.state));
            assert_eq!(stored_state(&store), Some(departure.state));
        })
        .await;
}

/// The messages with which an endpoint leaves.
fn departures() -> [Vec<u8>; 2] {
    let draining = announcement("i-1", 1, 9, State::Draining);
    [
        standin::encode_heartbeat(&draining),
        standin::encode_departure("i-1", 1),
    ]
}

/// Guards against a departure that is acknowledged before the store has it: when all daemons are
/// killed, none of them knows of it after the start.
#[rstest]
#[case::the_store_takes_it(None, false, true)]
#[case::the_store_takes_it_and_another_daemon_keeps_it(None, true, true)]
#[case::the_store_is_slow(Some(Fault::Slow(Duration::from_millis(150))), false, true)]
#[case::another_daemon_keeps_it(Some(Fault::Down), true, false)]
#[case::the_store_is_silent_and_another_daemon_keeps_it(Some(Fault::Silent), true, false)]
#[case::nobody_keeps_it(Some(Fault::Down), false, false)]
#[case::nobody_answers(Some(Fault::Silent), false, false)]
#[tokio::test]
async fn an_acknowledged_departure_outlasts_a_kill_of_all_daemons(
    #[case] fault: Option<Fault>,
    #[case] with_other: bool,
    #[case] acknowledged: bool,
    #[values(0, 1)] message: usize,
    #[values(1, 2)] kills: usize,
) {
    LocalSet::new()
        .run_until(async move {
            let (store, address) = start_store();
            let mut others = Vec::new();
            if with_other {
                others.push(start_other(address).await);
            }
            let first = Process::start("vm-1", address);
            announce_ready(&first.daemon, 1);
            sleep(BOUND).await;
            store.set_fault(0, fault);
            let departure = &departures()[message];
            assert_eq!(first.announce(departure).await, acknowledged);
            // The gate follows the departure in any case.
            assert_ne!(known_state(&first.daemon), Some(State::Ready));
            let mut running = first;
            for _ in 0..kills {
                running.kill();
                others.drain(..).for_each(Process::kill);
                store.set_fault(0, None);
                if with_other {
                    others.push(Process::start("vm-2", address));
                }
                running = Process::start("vm-1", address);
                sleep(BOUND / 2).await;
            }
            announce_ready(&running.daemon, 8);
            sleep(BOUND).await;
            if acknowledged {
                assert_ne!(known_state(&running.daemon), Some(State::Ready));
                assert_ne!(stored_state(&store), Some(State::Ready));
            }
        })
        .await;
}

/// Guards against a departure that each daemon forgets in its turn, because it learned of it from one
/// that has been killed since.
#[rstest]
#[tokio::test]
async fn an_acknowledged_departure_outlasts_kills_one_after_another(
    #[values(0, 1)] message: usize,
    #[values(false, true)] other_first: bool,
) {
    LocalSet::new()
        .run_until(async move {
            let (store, address) = start_store();
            let mut other = start_other(address).await;
            let mut own = Process::start("vm-1", address);
            announce_ready(&own.daemon, 1);
            sleep(BOUND).await;
            assert!(own.announce(&departures()[message]).await);
            for turn in 0..4 {
                if (turn % 2 == 0) == other_first {
                    other.kill();
                    other = Process::start("vm-2", address);
                } else {
                    own.kill();
                    own = Process::start("vm-1", address);
                }
                sleep(BOUND / 2).await;
            }
            announce_ready(&own.daemon, 8);
            sleep(BOUND).await;
            assert_ne!(known_state(&own.daemon), Some(State::Ready));
            assert_ne!(stored_state(&store), Some(State::Ready));
            let fleet = other.daemon.fleet.borrow();
            let ready = fleet.entries().map(|(entry, _)| entry);
            let ready = ready.filter(|entry| entry.endpoint.state == State::Ready);
            assert!(ready.map(|entry| &*entry.vm).all(|vm| vm != "vm-1"));
        })
        .await;
}

/// Guards against a departure that is forgotten in an outage of the store although another daemon
/// was spared by the kill: it is not acknowledged, but a restarted daemon should follow it.
#[rstest]
#[tokio::test]
async fn a_departure_in_an_outage_is_learned_from_a_daemon_that_was_spared(
    #[values(0, 1)] message: usize,
    #[values(Fault::Down, Fault::Silent)] fault: Fault,
) {
    LocalSet::new()
        .run_until(async move {
            let (store, address) = start_store();
            let _other = start_other(address).await;
            let first = Process::start("vm-1", address);
            announce_ready(&first.daemon, 1);
            sleep(BOUND).await;
            store.set_fault(0, Some(fault));
            assert!(!first.announce(&departures()[message]).await);
            first.kill();
            store.set_fault(0, None);
            let second = Process::start("vm-1", address);
            sleep(BOUND).await;
            announce_ready(&second.daemon, 8);
            sleep(BOUND).await;
            assert_ne!(known_state(&second.daemon), Some(State::Ready));
            assert_ne!(stored_state(&store), Some(State::Ready));
        })
        .await;
}

/// Guards against an endpoint that is never acknowledged because its first message came while
/// nothing outside the process could keep it.
#[tokio::test]
async fn a_departure_is_acknowledged_when_it_is_repeated_after_an_outage() {
    LocalSet::new()
        .run_until(async {
            let (store, address) = start_store();
            let process = Process::start("vm-1", address);
            announce_ready(&process.daemon, 1);
            sleep(BOUND).await;
            store.set_fault(0, Some(Fault::Down));
            let [draining, departure] = departures();
            assert!(!process.announce(&draining).await);
            store.set_fault(0, None);
            sleep(BOUND).await;
            assert!(process.announce(&draining).await);
            assert!(process.announce(&departure).await);
            assert!(process.announce(&departure).await);
            assert_eq!(stored_state(&store), Some(State::Gone));
        })
        .await;
}

/// Guards against a departure that is acknowledged although the gate has dropped it and goes on
/// sending calls to the instance.
#[rstest]
#[case::an_outdated_sequence(standin::encode_heartbeat(&announcement("i-5", 5, 3, State::Draining)), false)]
#[case::an_earlier_start_under_the_same_id(standin::encode_heartbeat(&announcement("i-5", 4, 9, State::Draining)), false)]
#[case::the_end_of_an_earlier_start_under_the_same_id(standin::encode_departure("i-5", 4), false)]
#[case::the_end_of_a_later_start_that_is_not_known(standin::encode_departure("i-6", 6), false)]
#[case::the_end_of_an_instance_that_was_replaced(standin::encode_departure("i-4", 4), true)]
#[case::an_instance_that_was_replaced(standin::encode_heartbeat(&announcement("i-4", 4, 9, State::Draining)), true)]
#[case::the_known_instance(standin::encode_departure("i-5", 5), true)]
#[tokio::test]
async fn a_departure_is_acknowledged_only_if_the_gate_has_applied_it(
    #[case] message: Vec<u8>,
    #[case] acknowledged: bool,
) {
    LocalSet::new()
        .run_until(async move {
            let (_store, address) = start_store();
            let process = Process::start("vm-1", address);
            let ready = announcement("i-5", 5, 4, State::Ready);
            process
                .daemon
                .gate
                .apply_announcement(&process.daemon, ready);
            process.daemon.publish_endpoint();
            sleep(BOUND).await;
            assert_eq!(process.announce(&message).await, acknowledged);
        })
        .await;
}

/// Guards against a departure that is forgotten when all daemons are killed and the store returns
/// from a copy in which the endpoint is ready: nothing else in the system knows of it.
#[rstest]
#[tokio::test]
async fn a_ready_entry_from_before_the_return_of_the_store_is_left_to_a_heartbeat(
    #[values(false, true)] departs: bool,
    #[values(0, 1)] message: usize,
) {
    LocalSet::new()
        .run_until(async move {
            let (store, address) = start_store();
            let other = start_other(address).await;
            let first = Process::start("vm-1", address);
            announce_ready(&first.daemon, 1);
            sleep(BOUND).await;
            let copy = store.copy();
            if departs {
                assert!(first.announce(&departures()[message]).await);
            }
            other.kill();
            first.kill();
            store.restore(copy);
            let _other = Process::start("vm-2", address);
            let second = Process::start("vm-1", address);
            sleep(2 * BOUND).await;
            assert_eq!(known_state(&second.daemon), None);
            if !departs {
                // Its next heartbeat shows that the endpoint has not left.
                announce_ready(&second.daemon, 2);
                sleep(BOUND).await;
                assert_eq!(known_state(&second.daemon), Some(State::Ready));
                second.kill();
                // The entry has been written again since, so the next process takes it over.
                let third = Process::start("vm-1", address);
                sleep(BOUND).await;
                assert_eq!(known_state(&third.daemon), Some(State::Ready));
            }
        })
        .await;
}

/// Guards against a departure whose entry expires before the daemon is started again: a heartbeat
/// that arrives late then makes the endpoint ready.
#[rstest]
#[tokio::test]
async fn a_departure_outlasts_the_lease_of_a_killed_daemon(#[values(0, 1)] message: usize) {
    LocalSet::new()
        .run_until(async move {
            let (store, address) = start_store();
            let first = Process::start("vm-1", address);
            announce_ready(&first.daemon, 1);
            sleep(BOUND).await;
            let mut ready = store.copy();
            assert!(first.announce(&departures()[message]).await);
            first.kill();
            let mut departed = store.copy();
            // The longest outage of the store on the played days, twice.
            let later = Instant::now() + Duration::from_secs(16);
            for copy in [&mut ready, &mut departed] {
                copy.expire_leases(later);
            }
            let key = format!("{VM_PREFIX}vm-1");
            assert!(ready.value(&key).is_none(), "the entry of a lost VM ends");
            assert!(departed.value(&key).is_some());
            store.restore(departed);
            let second = Process::start("vm-1", address);
            sleep(BOUND).await;
            announce_ready(&second.daemon, 8);
            sleep(BOUND).await;
            assert_ne!(known_state(&second.daemon), Some(State::Ready));
            // The next instance is lost like any other.
            let next = announcement("i-2", 2, 1, State::Ready);
            second.daemon.gate.apply_announcement(&second.daemon, next);
            second.daemon.publish_endpoint();
            sleep(BOUND).await;
            assert_eq!(stored_state(&store), Some(State::Ready));
            let mut ready = store.copy();
            ready.expire_leases(later + 2 * BOUND);
            assert!(ready.value(&key).is_none());
        })
        .await;
}
