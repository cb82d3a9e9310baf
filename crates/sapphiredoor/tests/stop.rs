//! A planned stop of one daemon, in calm, while its clients go on sending requests until the process
//! is gone.
//!
//! Guards against requests that are taken late in the grace time and cut at its end, and against
//! refusals after SIGTERM that promise too much.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use adapter::standin::{self, ClientRequest};
use bytes::BytesMut;
use policy::routing::{RetrySafety, Route, WeightedService};
use rstest::rstest;
use rustix::process::Signal;
use soak::client::{HOST, SHOP, STOCK};
use soak::net;
use soak::vm::SHUTDOWN_GRACE;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use transport::http1::MessageKind;

mod support;

/// Longest time for which a client waits.
const LONG_DEADLINE: Duration = Duration::from_secs(8);

/// Time for which a client in a hurry waits.
const SHORT_DEADLINE: Duration = Duration::from_millis(1_200);

/// Time after SIGTERM up to which a request may have been sent whose run is cut at the end.
const EXCUSED: Duration = Duration::from_secs(3);

/// Time after which a request whose connection has ended counts as read.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Clients of each kind, which send one request after another.
const CLIENTS: usize = 6;

/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// Time within which the daemons must serve.
const PATIENCE: Duration = Duration::from_mins(1);

/// Times that the requests need at their endpoint, in milliseconds; the last one exceeds the grace
/// time.
const WORK_MS: [u64; 4] = [5, 300, 1_500, 7_000];

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Its connection could not be opened, or ended before the request was written.
    NotSent,
    /// Status of the response.
    Status(u16),
    /// The connection ended without a whole response.
    Cut,
    /// The client gave up at its deadline.
    GaveUp,
}

#[derive(Debug)]
struct Sent {
    id: String,
    at: Instant,
    took: Duration,
    end: End,
}

#[derive(Debug, Default)]
struct Records {
    sent: RefCell<Vec<Sent>>,
    /// Number of runs of each request.
    runs: RefCell<HashMap<String, u32>>,
}

fn configuration() -> Vec<u8> {
    let route = |name: &str, service: &str| Route {
        name: name.into(),
        host: HOST.to_owned(),
        prefix: format!("/{name}/"),
        retry_safety: RetrySafety::Never,
        timeout: LONG_DEADLINE,
        objective: LONG_DEADLINE / 2,
        rank: 1,
        attempts: 2,
        exempt: false,
        services: vec![WeightedService {
            service: service.into(),
            weight: 1.0,
        }],
    };
    standin::encode_configuration(1, &[route("near", SHOP), route("far", STOCK)])
}

/// Responds after the time that the last part of the path states.
async fn respond(mut stream: TcpStream, records: Rc<Records>) {
    let mut decoder = net::decoder(MessageKind::Request);
    let mut buffer = BytesMut::new();
    while let Some(message) = net::read_message(&mut stream, &mut decoder, &mut buffer).await {
        let id = standin::decode_request(&message.head).id;
        *records.runs.borrow_mut().entry(id.clone()).or_default() += 1;
        let stated = message.head.target().rsplit('/').next();
        let work = stated.and_then(|text| text.parse().ok()).unwrap_or(0);
        sleep(Duration::from_millis(work)).await;
        let mut response = standin::encode_signed(200, &id, 2);
        response.extend_from_slice(b"ok");
        if stream.write_all(&response).await.is_err() {
            return;
        }
    }
}

/// Sends a request; returns how it ended and the connection if it stays open.
async fn send(
    kept: Option<TcpStream>,
    address: SocketAddr,
    request: &ClientRequest<'_>,
) -> (End, Option<TcpStream>) {
    let mut bytes = Vec::new();
    standin::encode_request(request, &mut bytes);
    let exchange = async {
        let mut stream = match kept {
            Some(stream) => stream,
            None => match TcpStream::connect(address).await {
                Ok(stream) => stream,
                Err(_) => return (End::NotSent, None),
            },
        };
        if stream.write_all(&bytes).await.is_err() {
            return (End::NotSent, None);
        }
        let mut decoder = net::decoder(MessageKind::Response);
        let mut buffer = BytesMut::new();
        match net::read_message(&mut stream, &mut decoder, &mut buffer).await {
            Some(message) => {
                let kept = (!message.head.close).then_some(stream);
                (End::Status(message.head.status), kept)
            }
            None => (End::Cut, None),
        }
    };
    let given_up = (End::GaveUp, None);
    timeout(request.client_timeout, exchange)
        .await
        .unwrap_or(given_up)
}

/// Sends one request after another until the test ends.
async fn run_client(
    number: usize,
    address: SocketAddr,
    path: String,
    deadline: Duration,
    keeps: bool,
    records: Rc<Records>,
) {
    let mut kept = None;
    for count in 0.. {
        let id = format!("{number}-{count}");
        let at = Instant::now();
        let request = ClientRequest {
            method: "POST",
            host: HOST,
            target: &path,
            id: &id,
            client_timeout: deadline,
            key: None,
            body: b"booking",
        };
        let (end, stream) = send(kept.take(), address, &request).await;
        kept = stream.filter(|_| keeps);
        let took = at.elapsed();
        records.sent.borrow_mut().push(Sent { id, at, took, end });
        sleep(PAUSE).await;
    }
}

/// Guards against requests that a stopping daemon passes on and cuts, or refuses falsely. With few
/// slots most of them wait in a queue.
#[rstest]
#[case::running(1_000)]
#[case::waiting(4)]
fn a_planned_stop_answers_what_it_has_taken(#[case] slots: u32) {
    support::run(&format!("stop-{slots}"), async |tasks, directory| {
        let records = Rc::<Records>::default();
        let owner = Rc::clone(&records);
        let respond = move |stream| respond(stream, Rc::clone(&owner));
        let vms = support::start_vms(tasks, directory, configuration(), slots, respond);
        let address = vms[0].entry().address;
        for service in ["near", "far"] {
            let served = async {
                let path = format!("/{service}/0");
                for number in 0.. {
                    let request = ClientRequest {
                        method: "POST",
                        host: HOST,
                        target: &path,
                        id: &format!("{service}-{number}"),
                        client_timeout: SHORT_DEADLINE,
                        key: None,
                        body: b"booking",
                    };
                    if send(None, address, &request).await.0 == End::Status(200) {
                        return;
                    }
                    sleep(PAUSE).await;
                }
            };
            let in_time = timeout(PATIENCE, served).await;
            assert!(in_time.is_ok(), "no request to {service} is served");
        }
        let mut number = 0;
        for path in ["near", "far"] {
            for work in WORK_MS {
                for deadline in [SHORT_DEADLINE, LONG_DEADLINE] {
                    for client in 0..CLIENTS {
                        number += 1;
                        let path = format!("/{path}/{work}");
                        let keeps = client % 2 == 0;
                        let records = Rc::clone(&records);
                        tasks.spawn(run_client(number, address, path, deadline, keeps, records));
                    }
                }
            }
        }
        sleep(Duration::from_secs(1)).await;
        let start = Instant::now();
        assert!(vms[0].signal(Signal::TERM));
        vms[0].stop(false).await;
        let stopped = start.elapsed();
        assert!(stopped < SHUTDOWN_GRACE, "it was killed: {stopped:?}");
        // The clients learn that their connections have ended.
        sleep(Duration::from_millis(200)).await;
        check(&records, start);
        vms[1].kill().await;
    });
}

fn check(records: &Records, stopped_at: Instant) {
    let runs = records.runs.borrow();
    let mut ends: HashMap<String, u32> = HashMap::new();
    for Sent { id, at, took, end } in &*records.sent.borrow() {
        let runs = runs.get(id).copied().unwrap_or(0);
        *ends.entry(format!("{end:?}")).or_default() += 1;
        assert!(runs <= 1, "{id} ran {runs} times");
        let age = at.saturating_duration_since(stopped_at);
        match end {
            // A request that crossed the end of its connection was not read.
            End::Cut | End::NotSent => {
                assert_eq!(runs, 0, "{id} was cut, sent {age:?} after");
                assert!(
                    *took < LOSS_SLACK,
                    "{id} was cut after {took:?}, sent {age:?} after"
                );
            }
            End::Status(429 | 503) => assert_eq!(runs, 0, "{id} was refused as not run"),
            End::Status(502) => {
                assert!(age < EXCUSED, "{id} was given up, sent {age:?} after");
            }
            End::Status(200 | 504) | End::GaveUp => {}
            End::Status(status) => panic!("{id} got status {status}"),
        }
    }
    println!("{ends:?}");
    for end in [End::Status(200), End::Status(503)] {
        assert!(ends.contains_key(&format!("{end:?}")), "{ends:?}");
    }
}
