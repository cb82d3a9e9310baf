//! Guards against requests beyond a quota, against refusals while there are tokens, and against
//! requests that hang because the owner of a bucket is lost.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use adapter::request::{CredentialFields, Request};
use adapter::standin;
use adapter::store::Store;
use bytes::Bytes;
use policy::fleet::{State, VmEntry};
use policy::organisation::{Credential, KeyDigest, Organisation, Quota};
use policy::position::Position;
use policy::quota;
use soak::net::{self, TaskGroup};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

use super::admit;
use crate::daemon::Daemon;
use crate::discovery::{Discovery, StorePart};
use crate::forward::{Refusal, Response, serve};
use crate::inbound;
use crate::testing::{RuntimeClock, announcement, configuration, daemon_among, daemon_of};

const MS: Duration = Duration::from_millis(1);
const QUOTA: Quota = Quota {
    rate: 2.0,
    burst: 3.0,
};

/// Returns an organisation whose bucket belongs to a VM.
fn organisation(vms: &[&str], owner: &str) -> Arc<Organisation> {
    let vms: Vec<_> = vms.iter().map(|vm| (*vm).into()).collect();
    let is_owned = |name: &String| quota::owner(quota::key(name), &vms).unwrap().as_ref() == owner;
    let name = (0..100)
        .map(|index| format!("o-{index}"))
        .find(is_owned)
        .unwrap();
    Arc::new(Organisation {
        name: name.into(),
        rank: None,
        quota: Some(QUOTA),
    })
}

/// Starts a daemon that knows the organisation, and VMs whose endpoints serve no route.
fn start(vm: &str, organisation: &Organisation, vms: &[(&str, SocketAddr)]) -> Rc<Daemon> {
    start_knowing(vm, organisation, vms, Duration::ZERO)
}

/// Starts such a daemon for which others may be missing among the VMs for some time.
fn start_knowing(
    vm: &str,
    organisation: &Organisation,
    vms: &[(&str, SocketAddr)],
    incomplete_for: Duration,
) -> Rc<Daemon> {
    let daemon = daemon_of(vm, "127.0.0.1:9".parse().unwrap(), Arc::new(RuntimeClock));
    for (vm, peer) in vms {
        let mut endpoint = announcement("i", 1, 1, State::Ready);
        endpoint.service = "other".into();
        let entry = VmEntry {
            vm: (*vm).into(),
            peer: *peer,
            data_centre: "madrid".into(),
            endpoint,
        };
        let position = Position::default();
        daemon.fleet.borrow_mut().apply_write(entry, position);
    }
    let complete_at = daemon.clock.now() + incomplete_for;
    daemon.fleet.borrow_mut().set_complete_at(complete_at);
    run(&daemon, organisation);
    daemon
}

/// Lets a daemon keep the quota of an organisation.
fn run(daemon: &Rc<Daemon>, organisation: &Organisation) {
    let text = String::from_utf8(configuration(1).to_vec()).unwrap();
    let tenants = format!(
        "\"Services\": {{}}, \"Tenants\": {{\"{}\": {{\"ApiKeys\": [\"k1\"], \"RatePerS\": 2, \"Burst\": 3}}}}",
        organisation.name
    );
    let text = text.replacen("\"Services\": {}", &tenants, 1);
    daemon.apply_configuration(text.into(), 1);
    let owner = Rc::clone(daemon);
    spawn_local(async move { owner.quotas.run(&owner).await });
}

fn request() -> Request {
    Request {
        id: "1a".to_owned(),
        client_timeout: Some(Duration::from_secs(5)),
        method: "GET".to_owned(),
        target: "/read/a".to_owned(),
        host: "shop.example".to_owned(),
        fields: Vec::new(),
        credential: Credential::Key(KeyDigest::new(b"k1")),
        credential_fields: CredentialFields::default(),
        body: Bytes::new(),
    }
}

#[tokio::test]
async fn an_entry_sends_only_what_the_owner_grants() {
    let work = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let sender = organisation(&["vm-1", "vm-2"], "vm-2");
        let vms = [("vm-1", "127.0.0.1:9".parse().unwrap()), ("vm-2", address)];
        let entry = start("vm-1", &sender, &vms);
        let owner = start("vm-2", &sender, &vms);
        spawn_local(inbound::listen(Rc::clone(&owner), listener));
        // The bucket of a new owner is empty; it is full after 1.5 s.
        sleep(MS * 1_800).await;
        let mut tokens = Vec::new();
        for _ in 0..3 {
            tokens.push(admit(&entry, &sender).await.unwrap());
        }
        let retry = admit(&entry, &sender).await.unwrap_err();
        assert!(retry > Duration::ZERO && retry < MS * 3_000, "{retry:?}");
        // Further requests of the entry are refused without another ask.
        let asks = entry.metrics.quota.asks.get();
        admit(&entry, &sender).await.unwrap_err();
        assert_eq!(entry.metrics.quota.asks.get(), asks);
        assert_eq!(owner.metrics.quota.grants.get(), 3);
        drop(tokens.pop());
        admit(&entry, &sender).await.unwrap();
    };
    LocalSet::new().run_until(work).await;
}

#[tokio::test]
async fn requests_do_not_wait_long_for_a_lost_owner() {
    let work = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let sender = organisation(&["vm-1", "vm-2"], "vm-2");
        let vms = [("vm-1", "127.0.0.1:9".parse().unwrap()), ("vm-2", address)];
        let entry = start("vm-1", &sender, &vms);
        let begin = Instant::now();
        admit(&entry, &sender).await.unwrap_err();
        assert!(begin.elapsed() >= quota::REPLY_TIMEOUT);
        let begin = Instant::now();
        admit(&entry, &sender).await.unwrap_err();
        assert!(begin.elapsed() < quota::REPLY_TIMEOUT);
        assert_eq!(entry.metrics.quota.timeouts.get(), 1);
    };
    LocalSet::new().run_until(work).await;
}

#[tokio::test(start_paused = true)]
async fn a_request_that_has_not_run_takes_no_token() {
    let work = async {
        let sender = organisation(&["vm-1"], "vm-1");
        let daemon = start("vm-1", &sender, &[("vm-1", "127.0.0.1:9".parse().unwrap())]);
        sleep(MS * 2_000).await;
        for _ in 0..5 {
            let response = serve(&daemon, request()).await;
            let Response::Refused { refusal, .. } = response else {
                panic!("there is no endpoint")
            };
            assert_eq!(refusal, Refusal::NoEndpoint);
        }
        let mut tokens = Vec::new();
        for _ in 0..3 {
            tokens.push(admit(&daemon, &sender).await.unwrap());
        }
        let Response::Refused {
            refusal,
            retry_after,
        } = serve(&daemon, request()).await
        else {
            panic!("there is no endpoint")
        };
        assert_eq!((refusal, refusal.status()), (Refusal::OverQuota, 429));
        assert!(retry_after.is_some());
        // No frame is sent when the daemon is itself the owner.
        assert_eq!(daemon.metrics.quota.asks.get(), 0);
        for token in &mut tokens {
            token.set_sent(true);
        }
        drop(tokens);
        admit(&daemon, &sender).await.unwrap_err();
    };
    LocalSet::new().run_until(work).await;
}

/// Starts daemons whose entries the store does not have, as after a kill of all VMs in an outage in
/// which leases expire. Returns them with the store.
async fn start_without_entries(count: usize, sender: &Organisation) -> Vec<Rc<Daemon>> {
    let store = Rc::new(soak::store::Store::default());
    store.write_configuration(standin::encode_configuration(1, &[]));
    let listener = net::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(store.serve(listener, 0, TaskGroup::default()));
    let mut daemons = Vec::new();
    for index in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peers = listener.local_addr().unwrap();
        let client = Store::new(address, MS * 800);
        let daemon = daemon_among(&format!("vm-{index}"), peers, client);
        spawn_local(inbound::listen(Rc::clone(&daemon), listener));
        let discovery = Rc::new(Discovery::default());
        let tasks = Rc::clone(&discovery);
        spawn_local(tasks.follow(Rc::clone(&daemon), StorePart::Fleet));
        spawn_local(discovery.keep_entry(Rc::clone(&daemon)));
        run(&daemon, sender);
        let ready = announcement(&format!("i-{index}"), 1, 1, State::Ready);
        daemon.gate.apply_announcement(&daemon, ready);
        daemon.publish_endpoint();
        daemons.push(daemon);
    }
    daemons
}

/// Guards against daemons that each take themselves for the owner of all buckets, because they start
/// when no other VM has an entry, and against an organisation that is refused for long after that.
#[tokio::test]
async fn daemons_that_start_without_entries_do_not_all_own_a_bucket() {
    let work = async {
        let sender = organisation(&["vm-0"], "vm-0");
        let daemons = start_without_entries(16, &sender).await;
        let admitted = Rc::new(Cell::new(0));
        for daemon in daemons {
            let (sender, admitted) = (Arc::clone(&sender), Rc::clone(&admitted));
            spawn_local(async move {
                loop {
                    if let Ok(mut token) = admit(&daemon, &sender).await {
                        token.set_sent(true);
                        admitted.set(admitted.get() + 1);
                    }
                    sleep(MS * 100).await;
                }
            });
        }
        // The operators' bound in a window of 5 s.
        let bound = (QUOTA.rate * 5.0 + QUOTA.burst) * 1.1 + 20.0;
        sleep(MS * 5_000).await;
        assert!(f64::from(admitted.get()) <= bound, "{}", admitted.get());
        let before = admitted.get();
        sleep(MS * 2_000).await;
        let served = admitted.get() - before;
        println!("{before} in the first 5 s, {served} in 2 s after them");
        assert!(f64::from(served) >= QUOTA.rate, "{served}");
    };
    LocalSet::new().run_until(work).await;
}

/// Guards against a VM that joins a running fleet and refuses all requests of an organisation because
/// its own entry is new.
#[tokio::test]
async fn a_new_daemon_asks_the_others_before_it_knows_the_whole_fleet() {
    let work = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let sender = organisation(&["vm-1", "vm-2"], "vm-1");
        let old = start("vm-2", &sender, &[("vm-2", address)]);
        spawn_local(inbound::listen(Rc::clone(&old), listener));
        sleep(MS * 1_800).await;
        let vms = [("vm-1", "127.0.0.1:9".parse().unwrap()), ("vm-2", address)];
        let new = start_knowing("vm-1", &sender, &vms, MS * 60_000);
        admit(&new, &sender).await.unwrap();
        assert_eq!(old.metrics.quota.grants.get(), 1);
    };
    LocalSet::new().run_until(work).await;
}
