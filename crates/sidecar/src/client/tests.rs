//! Guards against pipelined requests that wait for each other, responses in the wrong order, calls
//! that go on for disconnected clients, timeouts that are exceeded, calls that are refused as not
//! run although they may have run, responses to other requests that are passed on, and connections
//! that a stopping daemon leaves open, clients that hold a connection by sending a head or empty
//! lines without end, and responses that are cut off while their clients read slowly.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use policy::fleet::State;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

use crate::client;
use crate::daemon::Daemon;
use crate::testing::{RuntimeClock, announcement, configuration, daemon_at};

const REQUEST: &str = include_str!("../../../../platform/examples/request.http");
const RESPONSE: &str = include_str!("../../../../platform/examples/answer.http");

fn request(path: &str, id: &str) -> String {
    REQUEST.replace("PATH", path).replace("ID", id)
}

fn response(id: &str) -> String {
    RESPONSE.replace("ID", id)
}

/// Starts a daemon; returns it with the listener of its endpoint and the address for its clients.
async fn start_daemon() -> (Rc<Daemon>, TcpListener, std::net::SocketAddr) {
    let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let calls = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = calls.local_addr().unwrap();
    let daemon = daemon_at(endpoint.local_addr().unwrap(), Arc::new(RuntimeClock));
    daemon.apply_configuration(configuration(1), 1);
    let mut announcement = announcement("i-1", 1, 1, State::Ready);
    announcement.slots = 10;
    daemon.gate.apply_announcement(&daemon, announcement);
    daemon.publish_endpoint();
    tokio::task::spawn_local(client::listen(Rc::clone(&daemon), calls));
    (daemon, endpoint, address)
}

/// Reads until a text has arrived or the connection has ended; returns all that was read.
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
async fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    LocalSet::new()
        .run_until(async {
            let (_daemon, endpoint, address) = start_daemon().await;
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
            second.write_all(response("2b").as_bytes()).await.unwrap();
            first.write_all(response("1a").as_bytes()).await.unwrap();
            let responses = read_until(&mut client, ": 2b").await;
            assert!(responses.find(": 1a").unwrap() < responses.find(": 2b").unwrap());
        })
        .await;
}

/// A request that the endpoint has received and not yet answered.
struct RunningCall {
    daemon: Rc<Daemon>,
    client: TcpStream,
    endpoint: TcpStream,
}

async fn start_call(path: &str) -> RunningCall {
    let (daemon, listener, address) = start_daemon().await;
    let mut client = TcpStream::connect(address).await.unwrap();
    let request = request(path, "1a");
    client.write_all(request.as_bytes()).await.unwrap();
    let (mut endpoint, _) = listener.accept().await.unwrap();
    read_until(&mut endpoint, "\r\n\r\n").await;
    RunningCall {
        daemon,
        client,
        endpoint,
    }
}

#[tokio::test(start_paused = true)]
async fn a_call_is_cancelled_when_its_client_disconnects() {
    LocalSet::new()
        .run_until(async {
            let mut call = start_call("/read/a").await;
            let disconnected = tokio::time::Instant::now();
            drop(call.client);
            // The endpoint learns of the cancellation from the end of its connection.
            assert_eq!(read_until(&mut call.endpoint, "never").await, "");
            assert_eq!(call.daemon.open_calls(), 0);
            // The operators' bound; without a cancellation the call ends after the route's 1.2 s.
            let time = disconnected.elapsed();
            assert!(time < Duration::from_millis(500), "{time:?}");
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_call_ends_at_the_timeout_of_its_route() {
    LocalSet::new()
        .run_until(async {
            let start = tokio::time::Instant::now();
            let mut call = start_call("/read/a").await;
            let response = read_until(&mut call.client, "\r\n\r\n").await;
            assert!(response.starts_with("HTTP/1.1 504"), "{response}");
            // The route's timeout is 1.2 s, and the operators allow half a second more.
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
            let mut call = start_call("/book/a").await;
            let part = response("1a").replace("Content-Length: 4", "Content-Length: 9");
            call.endpoint.write_all(part.as_bytes()).await.unwrap();
            drop(call.endpoint);
            let response = read_until(&mut call.client, "\r\n\r\n").await;
            assert!(response.starts_with("HTTP/1.1 502"), "{response}");
            assert!(!response.contains("Retry-After"), "{response}");
        })
        .await;
}

#[tokio::test]
async fn a_response_to_another_request_is_skipped() {
    LocalSet::new()
        .run_until(async {
            let mut call = start_call("/book/a").await;
            let both = response("99").replace("body", "late") + &response("1a");
            call.endpoint.write_all(both.as_bytes()).await.unwrap();
            let response = read_until(&mut call.client, "body").await;
            assert!(response.ends_with("body"), "{response}");
            assert!(!response.contains("late"), "{response}");
        })
        .await;
}

#[tokio::test]
async fn a_stopping_daemon_answers_and_closes_the_connection() {
    LocalSet::new()
        .run_until(async {
            let mut call = start_call("/read/a").await;
            call.daemon.stop();
            let response = response("1a");
            call.endpoint.write_all(response.as_bytes()).await.unwrap();
            let response = read_until(&mut call.client, "never").await;
            assert!(response.contains("Connection: close"), "{response}");
            assert!(response.ends_with("body"), "{response}");
        })
        .await;
}

#[rstest]
#[case::a_head("GET / HTTP/1.1\r\n", "X: y\r\n", Some("HTTP/1.1 408"))]
#[case::empty_lines("", "\r\n", None)]
#[tokio::test]
async fn bytes_without_end_do_not_hold_a_connection(
    #[case] start: &str,
    #[case] repeated: &str,
    #[case] answer: Option<&str>,
) {
    LocalSet::new()
        .run_until(async {
            let (daemon, _endpoint, address) = start_daemon().await;
            let limits = String::from_utf8(configuration(2).to_vec()).unwrap();
            let limits = limits
                .replace("\"HeaderTimeoutMs\": 3000", "\"HeaderTimeoutMs\": 200")
                .replace("\"IdleTimeoutMs\": 15000", "\"IdleTimeoutMs\": 300");
            daemon.apply_configuration(Bytes::from(limits), 2);
            let client = TcpStream::connect(address).await.unwrap();
            let (mut reader, mut writer) = client.into_split();
            let send = async {
                writer.write_all(start.as_bytes()).await.unwrap();
                while writer.write_all(repeated.as_bytes()).await.is_ok() {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            };
            let mut read = String::new();
            tokio::select! {
                () = send => {}
                _ = reader.read_to_string(&mut read) => {}
                () = tokio::time::sleep(Duration::from_secs(3)) => panic!("the connection stays open"),
            }
            if let Some(answer) = answer {
                assert!(read.starts_with(answer), "{read}");
            }
        })
        .await;
}

/// Answers the running call with a body that no buffer of a socket holds; returns its length.
async fn answer_at_length(call: &mut RunningCall) -> usize {
    let length = 12_000_000;
    let response =
        response("1a").replace("Content-Length: 4", &format!("Content-Length: {length}"));
    let (head, _) = response.split_once("\r\n\r\n").unwrap();
    let head = format!("{head}\r\n\r\n");
    call.endpoint.write_all(head.as_bytes()).await.unwrap();
    call.endpoint.write_all(&vec![b'x'; length]).await.unwrap();
    length
}

/// Reads a response; returns the length of its body.
async fn read_body(client: &mut TcpStream) -> usize {
    let mut all = Vec::new();
    while !all.ends_with(b"x") || all.len() < 12_000_000 {
        if client.read_buf(&mut all).await.unwrap_or(0) == 0 {
            break;
        }
    }
    let head = all.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    head.map_or(0, |head| all.len() - head - 4)
}

/// Guards against a stopping daemon that exits while clients still read their responses (review/4).
#[tokio::test]
async fn a_response_that_is_being_written_is_an_open_call() {
    LocalSet::new()
        .run_until(async {
            let mut call = start_call("/read/a").await;
            let length = answer_at_length(&mut call).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            assert_eq!(call.daemon.open_calls(), 1);
            assert_eq!(read_body(&mut call.client).await, length);
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert_eq!(call.daemon.open_calls(), 0);
        })
        .await;
}

/// Guards against a client whose connection is reset in the middle of its response because it has
/// not read for some seconds (review/5).
#[tokio::test]
async fn a_client_that_pauses_gets_its_whole_response() {
    LocalSet::new()
        .run_until(async {
            let mut call = start_call("/read/a").await;
            let length = answer_at_length(&mut call).await;
            tokio::time::sleep(Duration::from_millis(3_500)).await;
            assert_eq!(read_body(&mut call.client).await, length);
        })
        .await;
}

/// Starts an upload: sends its head and the first bytes of its body.
async fn start_upload(address: std::net::SocketAddr, framing: &str, part: &[u8]) -> TcpStream {
    let mut client = TcpStream::connect(address).await.unwrap();
    let request = request("/read/a", "1a");
    let head = request.strip_suffix("\r\n").unwrap();
    let head = format!("{head}{framing}\r\n\r\n");
    client.write_all(head.as_bytes()).await.unwrap();
    client.write_all(part).await.unwrap();
    client
}

/// Guards against uploads within the operators' limit that together exceed the memory of the VM
/// (review/1), and against small requests that are refused beside them.
#[rstest]
#[case::two_of_the_largest(&[60 << 20, 60 << 20])]
#[case::many_that_are_too_large_together(&[15 << 20, 15 << 20, 15 << 20, 15 << 20, 15 << 20])]
#[tokio::test]
async fn uploads_are_refused_before_they_fill_the_memory(#[case] sizes: &[usize]) {
    LocalSet::new()
        .run_until(async {
            let (daemon, endpoint, address) = start_daemon().await;
            let limits = include_str!("../../../../platform/examples/configuration.json")
                .replace("\"Version\": 1", "\"Version\": 2")
                .replace("1048576", "67108864");
            daemon.apply_configuration(limits.into(), 2);
            let mut held = Vec::new();
            let (refused, accepted) = sizes.split_last().unwrap();
            for size in accepted {
                let framing = format!("Content-Length: {size}");
                held.push(start_upload(address, &framing, &vec![b'x'; 1 << 20]).await);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            // The client writes its whole request before it reads.
            let framing = format!("Content-Length: {refused}");
            let mut last = start_upload(address, &framing, &vec![b'x'; *refused]).await;
            let got = read_until(&mut last, "\r\n\r\n").await;
            assert!(got.starts_with("HTTP/1.1 503"), "{got}");
            assert!(got.contains("Retry-After"), "{got}");
            let mut small = start_upload(address, "Content-Length: 4", b"body").await;
            let (mut stream, _) = endpoint.accept().await.unwrap();
            read_until(&mut stream, "body").await;
            stream.write_all(response("1a").as_bytes()).await.unwrap();
            assert!(
                read_until(&mut small, "body")
                    .await
                    .starts_with("HTTP/1.1 200")
            );
            drop((held, last, small));
            tokio::time::sleep(Duration::from_millis(700)).await;
            assert_eq!(daemon.budget.held(), 0);
        })
        .await;
}

/// Guards against bodies in chunks whose size nobody states beforehand.
#[tokio::test]
async fn uploads_in_chunks_are_refused_when_they_are_too_large_together() {
    LocalSet::new()
        .run_until(async {
            let (daemon, _endpoint, address) = start_daemon().await;
            let limits = include_str!("../../../../platform/examples/configuration.json")
                .replace("\"Version\": 1", "\"Version\": 2")
                .replace("1048576", "67108864");
            daemon.apply_configuration(limits.into(), 2);
            let chunk = [b"100000\r\n".as_slice(), &vec![b'x'; 1 << 20], b"\r\n"].concat();
            let framing = "Transfer-Encoding: chunked";
            let _held = start_upload(address, framing, &chunk.repeat(60)).await;
            let mut client = start_upload(address, framing, &chunk.repeat(60)).await;
            let got = read_until(&mut client, "\r\n\r\n").await;
            assert!(got.starts_with("HTTP/1.1 503"), "{got}");
        })
        .await;
}
