//! Guards against calls that are reported as not run although they may have run, and against calls
//! that hang on a silent connection.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

use crate::frame::{Encoder, Frame, Load, NotRun, ResponseHead, Unknown};
use crate::gate::Outcome;
use crate::testing::{RuntimeClock, call, daemon_at};

/// Sends a call to the gate at an address; returns its outcome.
async fn outcome(address: SocketAddr) -> Outcome {
    outcome_of(address, Bytes::from_static(b"body")).await
}

/// Sends a call with a body to the gate at an address; returns its outcome.
async fn outcome_of(address: SocketAddr, body: Bytes) -> Outcome {
    let daemon = daemon_at("127.0.0.1:9".parse().unwrap(), Arc::new(RuntimeClock));
    let owner = Rc::clone(&daemon);
    spawn_local(async move { owner.peers.monitor(&owner).await });
    let peer = daemon.peers.get(&"vm-2".into());
    let mut sent = peer
        .call(&daemon, address, call("a", "i-2"), &body)
        .unwrap();
    (&mut sent.receiver).await.unwrap().0
}

#[tokio::test]
async fn a_call_to_an_unreachable_gate_has_not_run() {
    LocalSet::new()
        .run_until(async {
            // The port is free again once the listener is dropped.
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            drop(listener);
            let outcome = outcome(address).await;
            assert!(matches!(outcome, Outcome::NotRun(NotRun::Unreachable)));
        })
        .await;
}

#[tokio::test]
async fn a_call_that_reached_a_gate_may_have_run() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            spawn_local(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut bytes = [0; 20];
                stream.read_exact(&mut bytes).await.unwrap();
            });
            let outcome = outcome(address).await;
            assert!(matches!(outcome, Outcome::Unknown(Unknown::Disconnected)));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_silent_connection_is_closed_within_the_shortest_deadline() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let start = Instant::now();
            let outcome = outcome(address).await;
            assert!(matches!(outcome, Outcome::Unknown(Unknown::Disconnected)));
            // The shortest deadline of a call in the deployments is 0.7 s after its parent call
            // began; the connect timeout and two check intervals are added.
            assert!(start.elapsed() < Duration::from_millis(1_200));
        })
        .await;
}

#[tokio::test]
async fn a_call_whose_gate_ends_within_its_body_has_not_run() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            spawn_local(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut accept = Vec::new();
                Encoder::default().encode(&Frame::Accept { stream: 0 }, &[], &mut accept);
                stream.write_all(&accept).await.unwrap();
                let mut bytes = vec![0; 100_000];
                stream.read_exact(&mut bytes).await.unwrap();
            });
            let outcome = outcome_of(address, Bytes::from(vec![b'x'; 16 << 20])).await;
            let not_run = matches!(outcome, Outcome::NotRun(NotRun::Unreachable));
            assert!(not_run, "{outcome:?}");
        })
        .await;
}

/// Guards against a status that no HTTP response can have and that is passed on to a caller.
#[rstest]
#[case::zero(0)]
#[case::interim(101)]
#[case::too_large(600)]
#[tokio::test]
async fn a_response_with_a_status_outside_the_protocol_is_damaged(#[case] status: u16) {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            spawn_local(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                let response = ResponseHead {
                    status,
                    fields: Vec::new(),
                    signature: b"s".to_vec(),
                    held_us: 1,
                    usage: Vec::new(),
                };
                let frame = Frame::Response {
                    stream: 0,
                    response,
                    load: Load::default(),
                };
                let mut bytes = Vec::new();
                Encoder::default().encode(&frame, b"body", &mut bytes);
                let mut hello = [0; 20];
                stream.read_exact(&mut hello).await.unwrap();
                stream.write_all(&bytes).await.unwrap();
                std::future::pending::<()>().await;
            });
            let outcome = outcome(address).await;
            let damaged = matches!(outcome, Outcome::Unknown(Unknown::Damaged));
            assert!(damaged, "{outcome:?}");
        })
        .await;
}
