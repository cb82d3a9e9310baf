//! Guards against refusals that hide their cause and against calls that a stopping daemon accepts
//! and cannot finish.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use adapter::request::{CredentialFields, Request};
use bytes::Bytes;
use policy::demand::ElasticRoom;
use policy::fleet::State;
use policy::held_back::HeldChange;
use policy::organisation::{Credential, KeyDigest};
use policy::selection::Load;
use tokio::task::LocalSet;

use super::{Refusal, Response, serve};
use crate::testing::{
    PROCESS_START_MS, RuntimeClock, announcement, configuration, daemon, daemon_at,
};

fn request(id: &str) -> Request {
    Request {
        id: id.to_owned(),
        client_timeout: Some(Duration::from_secs(5)),
        method: "GET".to_owned(),
        target: "/read/a".to_owned(),
        host: "shop.example".to_owned(),
        fields: Vec::new(),
        credential: Credential::Missing,
        credential_fields: CredentialFields::default(),
        body: Bytes::new(),
    }
}

/// Guards against refusals that hide their cause, and against telling a caller to retry a request
/// that no route matches.
#[tokio::test]
async fn a_call_that_cannot_be_routed_is_refused_with_its_reason() {
    LocalSet::new()
        .run_until(async {
            let (daemon, _) = daemon();
            let refused = |response| match response {
                Response::Refused {
                    refusal,
                    retry_after,
                } => (refusal, retry_after.is_some()),
                Response::Endpoint { .. } => panic!("there is no endpoint"),
            };
            let first = serve(&daemon, request("1a")).await;
            assert_eq!(refused(first), (Refusal::Unconfigured, true));
            daemon.apply_configuration(configuration(1), 1);
            let second = serve(&daemon, request("1a")).await;
            assert_eq!(refused(second), (Refusal::NoEndpoint, true));
            let mut unknown = request("1a");
            unknown.target = "/other/".to_owned();
            let third = serve(&daemon, unknown).await;
            assert_eq!(refused(third), (Refusal::NoRoute, false));
        })
        .await;
}

#[tokio::test]
async fn a_stopping_daemon_accepts_only_calls_that_end_before_it() {
    LocalSet::new()
        .run_until(async {
            let (daemon, clock) = daemon();
            daemon.apply_configuration(configuration(1), 1);
            daemon.stop();
            // The grace time is 6 s and the timeout of the route 1.2 s.
            clock.advance(Duration::from_secs(3));
            let early = serve(&daemon, request("1a")).await;
            assert_eq!(refusal(&early), Refusal::NoEndpoint);
            clock.advance(Duration::from_millis(1_300));
            let late = serve(&daemon, request("2b")).await;
            assert_eq!(refusal(&late), Refusal::Closing);
        })
        .await;
}

fn refusal(response: &Response) -> Refusal {
    match response {
        Response::Refused { refusal, .. } => *refusal,
        Response::Endpoint { .. } => panic!("there is no endpoint"),
    }
}

/// Guards against a request that runs without the key that its route needs, and against a refusal
/// that invites the client to try again with the same key.
#[tokio::test]
async fn a_request_without_a_valid_key_is_refused() {
    LocalSet::new()
        .run_until(async {
            let (daemon, _) = daemon();
            let mut text = String::from_utf8(configuration(1).to_vec()).unwrap();
            text = text.replacen(
                "\"Services\": {}",
                "\"Services\": {}, \"Tenants\": {\"a\": {\"ApiKeys\": [\"k1\"]}}",
                1,
            );
            daemon.apply_configuration(text.into(), 1);
            let mut valid = request("1a");
            valid.credential = Credential::Key(KeyDigest::new(b"k1"));
            let served = serve(&daemon, valid).await;
            assert_eq!(refusal(&served), Refusal::NoEndpoint);
            for credential in [Credential::Missing, Credential::Malformed] {
                let mut invalid = request("2b");
                invalid.credential = credential;
                let refused = serve(&daemon, invalid).await;
                assert_eq!(refusal(&refused), Refusal::Unauthorised);
                assert_eq!(refusal(&refused).status(), 401);
                let Response::Refused { retry_after, .. } = refused else {
                    unreachable!()
                };
                assert_eq!(retry_after, None);
            }
        })
        .await;
}

/// Guards against a small organisation that is refused at the entry because a large one asks for
/// more than there is. The endpoint takes 3 in 10 of the chains and never responds.
#[tokio::test(start_paused = true)]
async fn an_organisation_that_asks_for_little_is_admitted_while_another_is_throttled() {
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = endpoint.local_addr().unwrap();
    LocalSet::new()
        .run_until(async {
            let daemon = daemon_at(address, Arc::new(RuntimeClock));
            let text = String::from_utf8(configuration(1).to_vec()).unwrap();
            let text = text.replacen(
                "\"Services\": {}",
                "\"Services\": {}, \"Tenants\": {\"large\": {\"ApiKeys\": [\"l\"]}, \"small\": {\"ApiKeys\": [\"s\"]}}",
                1,
            );
            daemon.apply_configuration(text.into(), 1);
            let mut ready = announcement("i-1", 2 * PROCESS_START_MS, 1, State::Ready);
            ready.slots = 100;
            daemon.gate.apply_announcement(&daemon, ready);
            daemon.publish_endpoint();
            let own = daemon.peers.get(&daemon.vm);
            let load = Load {
                limit: 100,
                hold_time: Duration::from_millis(40),
                room: ElasticRoom {
                    room: 30.0,
                    demand: 100.0,
                },
                ..Load::default()
            };
            own.stats.borrow_mut().record_load(daemon.clock.now(), load);
            let mut calls = Vec::new();
            for number in 0..200 {
                let key = if number % 50 == 20 { "s" } else { "l" };
                let mut request = request(&format!("{number}"));
                request.credential = Credential::Key(KeyDigest::new(key.as_bytes()));
                let daemon = Rc::clone(&daemon);
                let task = tokio::task::spawn_local(async move { serve(&daemon, request).await });
                calls.push((key, task));
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
            let mut throttled = Vec::new();
            for (key, task) in calls {
                if task.is_finished() && refusal(&task.await.unwrap()) == Refusal::Throttled {
                    throttled.push(key);
                }
            }
            assert!(!throttled.contains(&"s"));
            assert!((120..=150).contains(&throttled.len()), "{}", throttled.len());
            let changes = daemon.throttle.borrow_mut().held_changes(daemon.clock.now());
            assert_eq!(changes, [HeldChange::Started("large".into())]);
        })
        .await;
}
