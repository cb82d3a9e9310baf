//! Guards against a daemon that mixes the revisions of the store with those of an older copy from
//! which the store has returned: changes that are missed, entries that are ignored and an entry of
//! its own that stays outdated.

use std::rc::Rc;
use std::time::Duration;

use adapter::standin::{self, Transaction};
use adapter::store;
use policy::fleet::{State, VmEntry};
use policy::id::VmId;
use soak::net::{self, TaskGroup};
use soak::store::{Fault, Store};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use super::{Discovery, StorePart, VM_PREFIX};
use crate::daemon::Daemon;
use crate::testing::{announcement, daemon_with_clock};

/// Time in which a daemon must have followed the store to its copy: the operators' bound for a
/// configuration.
const BOUND: Duration = Duration::from_secs(2);

/// Starts a store and a daemon with the tasks that follow it.
async fn start() -> (Rc<Store>, Rc<Daemon>) {
    let store = Rc::new(Store::default());
    store.write_configuration(configuration(1));
    let listener = net::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(Rc::clone(&store).run_expiry());
    spawn_local(Rc::clone(&store).serve(listener, 0, TaskGroup::default()));
    let daemon = daemon_with_clock(store::Store::new(address, Duration::from_millis(800)));
    let discovery = Rc::new(Discovery::default());
    for part in [StorePart::Configuration, StorePart::Fleet] {
        spawn_local(Rc::clone(&discovery).follow(Rc::clone(&daemon), part));
    }
    spawn_local(Rc::clone(&discovery).keep_entry(Rc::clone(&daemon)));
    spawn_local(discovery.maintain(Rc::clone(&daemon)));
    sleep(BOUND).await;
    (store, daemon)
}

fn configuration(version: u64) -> Vec<u8> {
    standin::encode_configuration(version, &[])
}

fn version(daemon: &Daemon) -> u64 {
    daemon.configuration().map_or(0, |active| active.version)
}

/// Writes the entry of another VM, as its daemon does.
fn write_entry(store: &Store, vm: &str, started_ms: u64, state: State) {
    let entry = VmEntry {
        vm: vm.into(),
        peer: "127.0.0.1:9".parse().unwrap(),
        data_centre: "madrid".into(),
        endpoint: announcement(&format!("i-{started_ms}"), started_ms, 1, state),
    };
    let value = serde_json::to_vec(&entry).unwrap();
    let key = format!("{VM_PREFIX}{vm}");
    store.write(Transaction {
        writes: vec![(key, value, 0)],
        ..Transaction::default()
    });
}

/// Applies a heartbeat of the endpoint beside the daemon.
fn announce(daemon: &Rc<Daemon>, sequence: u64, state: State) {
    let announcement = announcement("i-1", 1, sequence, state);
    daemon.gate.apply_announcement(daemon, announcement);
    daemon.publish_endpoint();
}

fn instance(daemon: &Daemon, vm: &str) -> Option<String> {
    let fleet = daemon.fleet.borrow();
    fleet
        .get(vm)
        .map(|entry| entry.endpoint.instance.to_string())
}

/// Guards against a configuration that was confirmed after the return and is never in force, since
/// the watch goes on after a revision that was given out twice.
#[tokio::test]
async fn a_configuration_after_the_return_is_in_force_in_time() {
    LocalSet::new()
        .run_until(async {
            let (store, daemon) = start().await;
            announce(&daemon, 1, State::Ready);
            sleep(BOUND).await;
            let copy = store.copy();
            for vm in ["vm-2", "vm-3", "vm-4"] {
                write_entry(&store, vm, 1, State::Ready);
            }
            store.write_configuration(configuration(2));
            sleep(BOUND).await;
            assert_eq!(version(&daemon), 2);
            // The watches of the daemon go silent, and the store passes the revision that it has
            // seen.
            store.set_fault(0, Some(Fault::Silent));
            sleep(Duration::from_millis(20)).await;
            store.restore(copy);
            store.write_configuration(configuration(3));
            for vm in ["vm-2", "vm-3", "vm-4", "vm-5"] {
                write_entry(&store, vm, 2, State::Ready);
            }
            sleep(Duration::from_millis(20)).await;
            store.set_fault(0, None);
            sleep(BOUND * 3 / 2).await;
            assert_eq!(version(&daemon), 3);
            for vm in ["vm-2", "vm-3", "vm-4", "vm-5"] {
                assert_eq!(instance(&daemon, vm).as_deref(), Some("i-2"), "{vm}");
            }
        })
        .await;
}

/// Guards against entries that are ignored after the return because their revisions are lower, and
/// against VMs that left meanwhile and are kept for ever.
#[tokio::test]
async fn entries_with_lower_revisions_count_after_the_return() {
    LocalSet::new()
        .run_until(async {
            let (store, daemon) = start().await;
            let copy = store.copy();
            for _ in 0..20 {
                write_entry(&store, "vm-2", 1, State::Ready);
            }
            write_entry(&store, "vm-3", 1, State::Ready);
            sleep(BOUND).await;
            assert_eq!(instance(&daemon, "vm-3").as_deref(), Some("i-1"));
            store.restore(copy);
            write_entry(&store, "vm-2", 2, State::Ready);
            sleep(BOUND).await;
            assert_eq!(instance(&daemon, "vm-2").as_deref(), Some("i-2"));
            // The entry of vm-3 was lost and is not written again.
            sleep(Duration::from_secs(4)).await;
            assert_eq!(instance(&daemon, "vm-3"), None);
        })
        .await;
}

/// Guards against an entry that stays ready in the store after the return although its endpoint
/// drains, so that a daemon that starts then sends calls to it.
#[tokio::test]
async fn an_outdated_entry_of_its_own_is_written_again_after_the_return() {
    LocalSet::new()
        .run_until(async {
            let (store, daemon) = start().await;
            announce(&daemon, 1, State::Ready);
            sleep(BOUND).await;
            let copy = store.copy();
            announce(&daemon, 2, State::Draining);
            sleep(BOUND).await;
            let key = format!("{VM_PREFIX}vm-1");
            let stored = || {
                let value = store.copy().value(&key)?;
                let entry: VmEntry = serde_json::from_slice(&value).unwrap();
                Some(entry.endpoint.state)
            };
            assert_eq!(stored(), Some(State::Draining));
            for _ in 0..2 {
                store.restore(copy.clone());
                assert_eq!(stored(), Some(State::Ready));
                sleep(BOUND * 2).await;
                assert_eq!(stored(), Some(State::Draining));
            }
        })
        .await;
}

/// Guards against an entry without a lease of its own: the lease of a daemon is lost with the
/// return, and its id is given out again.
#[tokio::test]
async fn an_entry_that_was_lost_is_back_under_a_lease_of_its_own() {
    LocalSet::new()
        .run_until(async {
            let (store, daemon) = start().await;
            let copy = store.copy();
            announce(&daemon, 1, State::Ready);
            sleep(BOUND).await;
            let key = format!("{VM_PREFIX}vm-1");
            assert!(store.copy().value(&key).is_some());
            store.restore(copy);
            // Another daemon opens the lease with the same id and does not renew it.
            let other = store.open_lease(Duration::from_secs(3));
            sleep(BOUND * 2).await;
            let lease = store.copy().lease(&key);
            assert!(
                lease.is_some_and(|lease| lease != other),
                "{lease:?}, {other}"
            );
            let expected: VmId = "vm-1".into();
            assert!(daemon.fleet.borrow().get(&expected).is_some());
        })
        .await;
}
