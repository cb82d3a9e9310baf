//! Guards against pipelined requests that wait for each other, answers in the wrong order, work for
//! clients that have left, time-outs that are not kept, and refusals that are not true.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use policy::fleet::State;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

use crate::client;
use crate::daemon::Daemon;
use crate::testing::{RuntimeClock, announcement, configuration, daemon_at};

const REQUEST: &str = include_str!("../../../../platform/examples/request.http");
const ANSWER: &str = include_str!("../../../../platform/examples/answer.http");

fn request(path: &str, id: &str) -> String {
    REQUEST.replace("PATH", path).replace("ID", id)
}

fn answer(id: &str) -> String {
    ANSWER.replace("ID", id)
}

/// A daemon whose endpoint is the returned listener, and the address for its clients.
async fn serving() -> (Rc<Daemon>, TcpListener, std::net::SocketAddr) {
    let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let calls = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = calls.local_addr().unwrap();
    let daemon = daemon_at(endpoint.local_addr().unwrap(), Arc::new(RuntimeClock));
    daemon.apply_configuration(configuration(1), 1);
    let mut announced = announcement("i-1", 1, 1, State::Ready);
    announced.slots = 10;
    daemon.gate.apply_announcement(&daemon, announced);
    daemon.publish_endpoint();
    tokio::task::spawn_local(client::listen(Rc::clone(&daemon), calls));
    (daemon, endpoint, address)
}

/// Reads until a text has arrived; returns all that came before the end of the connection or it.
async fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut all = Vec::new();
    let mut part = [0; 4_096];
    loop {
        let count = stream.read(&mut part).await.unwrap_or(0);
        all.extend_from_slice(&part[..count]);
        let found = String::from_utf8_lossy(&all).into_owned();
        if count == 0 || found.contains(text) {
            return found;
        }
    }
}

#[tokio::test]
async fn pipelined_requests_run_together_and_are_answered_in_order() {
    LocalSet::new()
        .run_until(async {
            let (_daemon, endpoint, address) = serving().await;
            let mut client = TcpStream::connect(address).await.unwrap();
            let both = request("/read/a", "1a") + &request("/read/b", "2b");
            client.write_all(both.as_bytes()).await.unwrap();
            // Both reach the endpoint although neither is answered.
            let (mut first, _) = endpoint.accept().await.unwrap();
            let (mut second, _) = endpoint.accept().await.unwrap();
            let mut got = read_until(&mut first, "\r\n\r\n").await;
            if got.contains("2b") {
                std::mem::swap(&mut first, &mut second);
                read_until(&mut second, "\r\n\r\n").await;
                got = "1a".to_owned();
            } else {
                read_until(&mut second, "\r\n\r\n").await;
            }
            assert!(got.contains("1a"));
            second.write_all(answer("2b").as_bytes()).await.unwrap();
            first.write_all(answer("1a").as_bytes()).await.unwrap();
            let answers = read_until(&mut client, ": 2b").await;
            assert!(answers.find(": 1a").unwrap() < answers.find(": 2b").unwrap());
        })
        .await;
}

/// A request that the endpoint has and not yet answered.
struct Begun {
    daemon: Rc<Daemon>,
    client: TcpStream,
    running: TcpStream,
}

async fn begin(path: &str) -> Begun {
    let (daemon, endpoint, address) = serving().await;
    let mut client = TcpStream::connect(address).await.unwrap();
    let request = request(path, "1a");
    client.write_all(request.as_bytes()).await.unwrap();
    let (mut running, _) = endpoint.accept().await.unwrap();
    read_until(&mut running, "\r\n\r\n").await;
    Begun {
        daemon,
        client,
        running,
    }
}

#[tokio::test(start_paused = true)]
async fn work_ends_when_its_client_leaves() {
    LocalSet::new()
        .run_until(async {
            let mut begun = begin("/read/a").await;
            let left = tokio::time::Instant::now();
            drop(begun.client);
            // The connection to the endpoint ends, which is how the endpoint learns of it.
            assert_eq!(read_until(&mut begun.running, "never").await, "");
            assert_eq!(begun.daemon.open_calls(), 0);
            // The operators' bound; without a cancellation the work ends with the route's 1.2 s.
            let time = left.elapsed();
            assert!(time < Duration::from_millis(500), "{time:?}");
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn the_time_out_of_the_route_is_kept() {
    LocalSet::new()
        .run_until(async {
            let start = tokio::time::Instant::now();
            let mut begun = begin("/read/a").await;
            let answer = read_until(&mut begun.client, "\r\n\r\n").await;
            assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
            // The route's time-out is 1.2 s, and the operators allow half a second more.
            let time = start.elapsed();
            assert!(time >= Duration::from_millis(1_200), "{time:?}");
            assert!(time < Duration::from_millis(1_700), "{time:?}");
        })
        .await;
}

#[tokio::test]
async fn a_call_that_may_have_run_is_never_refused_as_not_run() {
    LocalSet::new()
        .run_until(async {
            let mut begun = begin("/book/a").await;
            let part = answer("1a").replace("Content-Length: 4", "Content-Length: 9");
            begun.running.write_all(part.as_bytes()).await.unwrap();
            drop(begun.running);
            let answer = read_until(&mut begun.client, "\r\n\r\n").await;
            assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
            assert!(!answer.contains("Retry-After"), "{answer}");
        })
        .await;
}

#[tokio::test]
async fn the_answer_of_another_request_is_skipped() {
    LocalSet::new()
        .run_until(async {
            let mut begun = begin("/book/a").await;
            let late = answer("99").replace("body", "late") + &answer("1a");
            begun.running.write_all(late.as_bytes()).await.unwrap();
            let answer = read_until(&mut begun.client, "body").await;
            assert!(answer.ends_with("body"), "{answer}");
            assert!(!answer.contains("late"), "{answer}");
        })
        .await;
}

#[tokio::test]
async fn a_stopping_daemon_answers_and_closes() {
    LocalSet::new()
        .run_until(async {
            let mut begun = begin("/read/a").await;
            begun.daemon.stop();
            let answer = answer("1a");
            begun.running.write_all(answer.as_bytes()).await.unwrap();
            let answer = read_until(&mut begun.client, "never").await;
            assert!(answer.contains("Connection: close"), "{answer}");
            assert!(answer.ends_with("body"), "{answer}");
        })
        .await;
}
