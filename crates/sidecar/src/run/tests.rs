//! Guards against a stopping daemon that exits with requests that it has read and not answered
//! (review/9), and against answers of its own that promise too much.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use adapter::request::{CredentialFields, Request};
use adapter::standin;
use bytes::{Bytes, BytesMut};
use policy::fleet::{Announcement, State, VmEntry};
use policy::organisation::Credential;
use policy::position::Position;
use rstest::rstest;
use soak::net;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep};
use transport::http1::MessageKind;

use super::stop;
use crate::daemon::{Daemon, OpenRequest};
use crate::forward::{Response, serve};
use crate::inbound;
use crate::testing::{PROCESS_START_MS, RuntimeClock, announcement, configuration, daemon_of};

/// Grace time of the daemons here.
const GRACE: Duration = Duration::from_millis(1_500);

/// Time after which all that was sent has arrived.
const MOMENT: Duration = Duration::from_millis(50);

/// Ids of the requests that an endpoint has begun to run.
type Runs = Rc<RefCell<Vec<String>>>;

/// Starts an endpoint that responds after a time, or never; returns its address.
async fn start_endpoint(work: Option<Duration>, runs: &Runs) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let runs = Rc::clone(runs);
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(run(stream, work, Rc::clone(&runs)));
        }
    });
    address
}

async fn run(mut stream: TcpStream, work: Option<Duration>, runs: Runs) {
    let mut decoder = net::decoder(MessageKind::Request);
    let mut buffer = BytesMut::new();
    while let Some(message) = net::read_message(&mut stream, &mut decoder, &mut buffer).await {
        let id = standin::decode_request(&message.head).id;
        runs.borrow_mut().push(id.clone());
        let Some(work) = work else {
            return std::future::pending().await;
        };
        sleep(work).await;
        let mut response = standin::encode_signed(200, &id, 2);
        response.extend_from_slice(b"ok");
        if stream.write_all(&response).await.is_err() {
            return;
        }
    }
}

/// Creates a daemon whose routes have longer timeouts than its grace time.
fn start_daemon(vm: &str, endpoint: SocketAddr) -> Rc<Daemon> {
    let daemon = daemon_of(vm, endpoint, Arc::new(RuntimeClock));
    daemon.settings.borrow_mut().bounds.grace_s = GRACE.as_secs_f64();
    let text = String::from_utf8(configuration(1).to_vec()).unwrap();
    let text = text.replace("\"TimeoutMs\": 1500", "\"TimeoutMs\": 5000");
    daemon.apply_configuration(text.into(), 1);
    daemon
}

/// Makes a daemon know the endpoint of a VM, which has one slot.
fn announce(daemon: &Daemon, vm: &str, peer: SocketAddr) -> Announcement {
    let endpoint = announcement("i-1", PROCESS_START_MS + 1, 1, State::Ready);
    let entry = VmEntry {
        vm: vm.into(),
        peer,
        data_centre: "madrid".into(),
        endpoint: endpoint.clone(),
    };
    daemon
        .fleet
        .borrow_mut()
        .apply_write(entry, Position::default());
    endpoint
}

/// A daemon that takes requests, and the one whose endpoint runs them.
struct Site {
    entry: Rc<Daemon>,
    gate: Rc<Daemon>,
}

impl Site {
    async fn start(endpoint: SocketAddr, is_local: bool) -> Self {
        let gate = start_daemon("vm-2", endpoint);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(inbound::listen(Rc::clone(&gate), listener));
        let owner = Rc::clone(&gate);
        spawn_local(async move { owner.gate.expire_waiting(&owner).await });
        let entry = if is_local {
            Rc::clone(&gate)
        } else {
            start_daemon("vm-1", "127.0.0.1:9".parse().unwrap())
        };
        let endpoint = announce(&entry, "vm-2", address);
        gate.gate.apply_announcement(&gate, endpoint);
        Self { entry, gate }
    }

    fn send(&self, id: &str) -> JoinHandle<Response> {
        send(&self.entry, id, Bytes::from_static(b"booking"))
    }
}

/// Sends a request that must not run twice, as a connection of a client does.
fn send(entry: &Rc<Daemon>, id: &str, body: Bytes) -> JoinHandle<Response> {
    let request = Request {
        id: id.to_owned(),
        client_timeout: Some(Duration::from_secs(5)),
        method: "POST".to_owned(),
        target: "/book/a".to_owned(),
        host: "shop.example".to_owned(),
        fields: Vec::new(),
        credential: Credential::Missing,
        credential_fields: CredentialFields::default(),
        body,
    };
    let daemon = Rc::clone(entry);
    spawn_local(async move {
        let _open = OpenRequest::new(Rc::clone(&daemon));
        serve(&daemon, request).await
    })
}

/// Returns the status of a request, which must have ended before the exit.
async fn status(handle: JoinHandle<Response>) -> u16 {
    assert!(handle.is_finished(), "the process exits without an answer");
    match handle.await.unwrap() {
        Response::Endpoint { status, .. } => status,
        Response::Refused { refusal, .. } => refusal.status(),
    }
}

/// Guards against requests whose connections end without an answer when the process exits.
#[rstest]
#[case::waiting_at_another_gate(false, None, "2b", 502, 503)]
#[case::waiting_at_its_own_gate(true, None, "2b", 502, 503)]
#[case::a_call_of_the_endpoint(true, None, "1a.2", 502, 503)]
#[case::both_run_in_time(false, Some(300), "2b", 200, 200)]
#[case::both_run_in_time_at_its_own_gate(true, Some(300), "2b", 200, 200)]
#[case::one_runs_in_time(false, Some(1_200), "2b", 200, 503)]
#[case::one_runs_in_time_at_its_own_gate(true, Some(1_200), "2b", 200, 503)]
#[tokio::test]
async fn each_request_that_was_read_is_answered_before_the_exit(
    #[case] is_local: bool,
    #[case] work_ms: Option<u64>,
    #[case] id: &str,
    #[case] first: u16,
    #[case] second: u16,
) {
    LocalSet::new()
        .run_until(async {
            let runs = Runs::default();
            let endpoint = start_endpoint(work_ms.map(Duration::from_millis), &runs).await;
            let site = Site::start(endpoint, is_local).await;
            let running = site.send("1a");
            sleep(MOMENT).await;
            let waiting = site.send(id);
            sleep(MOMENT).await;
            let start = Instant::now();
            stop(&site.entry).await;
            assert!(start.elapsed() < GRACE + GRACE / 5);
            assert_eq!(status(running).await, first);
            assert_eq!(status(waiting).await, second);
            // What was refused as not run has not run.
            let has_run = runs.borrow().contains(&id.to_owned());
            assert_eq!(has_run, second == 200);
        })
        .await;
}

/// Guards against calls of other daemons that end as unknown although they only waited at the gate
/// of the stopping one.
#[tokio::test]
async fn calls_that_wait_at_a_stopping_gate_are_refused_as_not_run() {
    LocalSet::new()
        .run_until(async {
            let runs = Runs::default();
            let endpoint = start_endpoint(None, &runs).await;
            let site = Site::start(endpoint, false).await;
            let _running = site.send("1a");
            sleep(MOMENT).await;
            let waiting = site.send("2b");
            sleep(MOMENT).await;
            stop(&site.gate).await;
            assert_eq!(status(waiting).await, 503);
        })
        .await;
}

/// Guards against requests that are lost when a daemon stops after its endpoint has ended.
#[rstest]
#[tokio::test]
async fn a_stop_after_the_end_of_the_endpoint_answers_what_waits(
    #[values(false, true)] is_local: bool,
) {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let site = Site::start(listener.local_addr().unwrap(), is_local).await;
            let running = site.send("1a");
            let (stream, _) = listener.accept().await.unwrap();
            sleep(MOMENT).await;
            let waiting = site.send("2b");
            sleep(MOMENT).await;
            drop((stream, listener));
            stop(&site.entry).await;
            assert_eq!(status(running).await, 502);
            assert_eq!(status(waiting).await, 503);
        })
        .await;
}

/// Guards against a request that ends as unknown although its body has not been sent whole, so that
/// the other gate knows nothing of it.
#[tokio::test]
async fn a_call_whose_body_was_not_sent_is_refused_as_not_run() {
    LocalSet::new()
        .run_until(async {
            let entry = start_daemon("vm-1", "127.0.0.1:9".parse().unwrap());
            // It accepts connections and never has room for a body.
            let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
            announce(&entry, "vm-2", silent.local_addr().unwrap());
            let on_its_way = send(&entry, "1a", vec![b'x'; 1 << 20].into());
            sleep(MOMENT).await;
            stop(&entry).await;
            assert_eq!(status(on_its_way).await, 503);
        })
        .await;
}
