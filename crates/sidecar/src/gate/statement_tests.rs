//! Guards against an endpoint that gets more calls than the rate limit that it states, and against
//! calls to an endpoint that states that it is about to shut down. Guards against a load that is
//! not passed on to the entries, or that outlives its instance.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use adapter::request::{CredentialFields, Request};
use adapter::response::Statement;
use adapter::standin;
use bytes::{Bytes, BytesMut};
use policy::fleet::{State, VmEntry};
use policy::organisation::Credential;
use policy::position::Position;
use policy::selection::Placement;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};
use transport::http1::{Decoder, MessageKind};

use crate::daemon::Daemon;
use crate::forward::{self, Response};
use crate::inbound;
use crate::testing::{
    PROCESS_START_MS, RuntimeClock, announcement, configuration, daemon_at, daemon_of, job,
};

/// Window over which the platform counts the calls to an endpoint with a rate limit.
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which the stand-in endpoint runs each call.
const WORK_TIME: Duration = Duration::from_millis(40);

/// Stand-in endpoint that records when calls arrive.
#[derive(Debug, Default)]
struct Endpoint {
    statement: Cell<Statement>,
    /// Load that it states.
    load: Cell<&'static str>,
    /// Whether it runs calls without ending them.
    stuck: Cell<bool>,
    arrivals: RefCell<Vec<Instant>>,
}

impl Endpoint {
    /// Starts an endpoint with 36 slots and the daemon in front of it, which knows it as `i-1`.
    async fn start() -> (Rc<Self>, Rc<Daemon>) {
        let endpoint = Rc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let owner = Rc::clone(&endpoint);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(Rc::clone(&owner).serve(stream));
            }
        });
        let daemon = daemon_at(address, Arc::new(RuntimeClock));
        (endpoint, daemon)
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut decoder = Decoder::new(MessageKind::Request, 10_000, 10_000);
        let mut buffer = BytesMut::new();
        loop {
            let Some(message) = decoder.take(&mut buffer).unwrap() else {
                if stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 {
                    return;
                }
                continue;
            };
            self.arrivals.borrow_mut().push(Instant::now());
            sleep(WORK_TIME).await;
            while self.stuck.get() {
                sleep(WORK_TIME).await;
            }
            let request = standin::decode_request(&message.head);
            let mut response = standin::encode_signed(200, &request.id, 0);
            standin::insert_statement(&self.statement.get(), &mut response);
            standin::insert_load(self.load.get(), &mut response);
            if stream.write_all(&response).await.is_err() {
                return;
            }
        }
    }

    fn arrivals_after(&self, start: Instant) -> usize {
        let arrivals = self.arrivals.borrow();
        arrivals.iter().filter(|at| **at >= start).count()
    }

    /// Returns the largest number of arrivals in any [`WINDOW`] after an instant.
    fn busiest_window(&self, start: Instant) -> usize {
        let arrivals = self.arrivals.borrow();
        let counted = |from: &Instant| {
            let window = arrivals.iter().filter(|at| **at >= *from);
            window.filter(|at| **at < *from + WINDOW).count()
        };
        let starts = arrivals.iter().filter(|at| **at >= start);
        starts.map(counted).max().unwrap_or(0)
    }
}

/// Announces the endpoint `i-1` of 36 slots.
fn announce(daemon: &Rc<Daemon>, started_ms: u64, sequence: u64, state: State) {
    let mut announcement = announcement("i-1", started_ms, sequence, state);
    announcement.slots = 36;
    daemon.gate.apply_announcement(daemon, announcement);
}

/// Keeps 60 calls open at a gate for some time: each one that ends is replaced.
async fn keep_busy(daemon: &Rc<Daemon>, time: Duration) {
    let end = Instant::now() + time;
    let clients = (0..60).map(|client| async move {
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            let (job, receiver) = job(daemon, &format!("{client}-{number}"), "i-1");
            daemon.gate.submit(daemon, job);
            drop(receiver.await);
            sleep(Duration::from_millis(5)).await;
        }
    });
    futures::future::join_all(clients).await;
}

/// Runs a test on a local task set with the tasks of a gate.
async fn run(test: impl AsyncFnOnce(Rc<Endpoint>, Rc<Daemon>)) {
    LocalSet::new()
        .run_until(async {
            let (endpoint, daemon) = Endpoint::start().await;
            let owner = Rc::clone(&daemon);
            spawn_local(async move { owner.gate.expire_waiting(&owner).await });
            test(endpoint, daemon).await;
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_gets_no_more_calls_than_its_stated_rate_limit() {
    run(async |endpoint, daemon| {
        announce(&daemon, PROCESS_START_MS, 1, State::Ready);
        keep_busy(&daemon, Duration::from_secs(2)).await;
        let limit = 10.0;
        endpoint.statement.set(Statement {
            rate_limit: Some(limit),
            leaving: false,
        });
        let start = Instant::now();
        keep_busy(&daemon, Duration::from_secs(12)).await;
        let busiest = endpoint.busiest_window(start + Duration::from_secs(3));
        let allowed = limit * WINDOW.as_secs_f64();
        assert!(
            busiest as f64 <= 1.5 * allowed + 5.0,
            "{busiest} calls in 4 s"
        );
        assert!(
            busiest as f64 >= 0.9 * allowed,
            "the limit is used: {busiest} calls in 4 s"
        );
        endpoint.statement.set(Statement::default());
        let end = Instant::now();
        keep_busy(&daemon, Duration::from_secs(4)).await;
        assert!(
            endpoint.arrivals_after(end) > 400,
            "the limit ends with the statement"
        );
    })
    .await;
}

/// Guards against an endpoint that names a limit of zero and is never tried again.
#[tokio::test(start_paused = true)]
async fn an_endpoint_with_a_limit_of_zero_is_probed() {
    run(async |endpoint, daemon| {
        announce(&daemon, PROCESS_START_MS, 1, State::Ready);
        endpoint.statement.set(Statement {
            rate_limit: Some(0.0),
            leaving: false,
        });
        keep_busy(&daemon, Duration::from_secs(1)).await;
        let start = Instant::now();
        keep_busy(&daemon, Duration::from_secs(12)).await;
        assert!(endpoint.busiest_window(start + Duration::from_secs(3)) <= 5);
        assert!(endpoint.arrivals_after(start) >= 2);
    })
    .await;
}

/// Guards against a restarted daemon that sends a full load before the first response shows the
/// limit that its endpoint has stated to other machines.
#[tokio::test(start_paused = true)]
async fn a_restarted_daemon_sends_few_calls_before_the_first_response() {
    run(async |endpoint, daemon| {
        endpoint.stuck.set(true);
        announce(&daemon, PROCESS_START_MS - 1, 9, State::Ready);
        keep_busy(&daemon, Duration::from_millis(400)).await;
        assert!(endpoint.arrivals.borrow().len() <= 5);
        endpoint.stuck.set(false);
        keep_busy(&daemon, Duration::from_secs(2)).await;
        assert!(endpoint.arrivals.borrow().len() > 400);
    })
    .await;
}

/// Serves one request at a daemon, whose route leads to the service of `i-1`.
async fn request(daemon: &Rc<Daemon>, id: &str) -> Response {
    let request = Request {
        id: id.to_owned(),
        client_timeout: Some(Duration::from_secs(5)),
        method: "GET".to_owned(),
        target: "/read/a".to_owned(),
        host: "shop.example".to_owned(),
        fields: Vec::new(),
        credential: Credential::Missing,
        credential_fields: CredentialFields::default(),
        body: Bytes::new(),
    };
    forward::serve(daemon, request).await
}

/// Returns the entry of `vm-1`, whose daemon listens at an address.
fn entry(peer: SocketAddr, sequence: u64) -> VmEntry {
    VmEntry {
        vm: "vm-1".into(),
        peer,
        data_centre: "madrid".into(),
        endpoint: announcement("i-1", PROCESS_START_MS, sequence, State::Ready),
    }
}

fn says_leaving(endpoint: &Endpoint) {
    endpoint.statement.set(Statement {
        rate_limit: None,
        leaving: true,
    });
}

/// Guards against calls to an endpoint that states only in its responses that it leaves, also when
/// a heartbeat that it sent before arrives late.
#[tokio::test(start_paused = true)]
async fn an_endpoint_that_says_it_leaves_gets_no_calls_after_the_drain_bound() {
    run(async |endpoint, daemon| {
        announce(&daemon, PROCESS_START_MS, 1, State::Ready);
        says_leaving(&endpoint);
        keep_busy(&daemon, Duration::from_millis(100)).await;
        let told = Instant::now();
        announce(&daemon, PROCESS_START_MS, 2, State::Ready);
        keep_busy(&daemon, Duration::from_secs(4)).await;
        // The operators' bound is 2 s.
        assert_eq!(endpoint.arrivals_after(told + Duration::from_secs(2)), 0);
        assert_eq!(daemon.fleet.borrow().ready("despacho").len(), 0);
        announce(&daemon, PROCESS_START_MS + 1, 1, State::Ready);
        endpoint.statement.set(Statement::default());
        let restarted = Instant::now();
        keep_busy(&daemon, Duration::from_millis(500)).await;
        assert!(endpoint.arrivals_after(restarted) > 0);
    })
    .await;
}

/// Guards against an entry that sends calls to a leaving endpoint again because its daemon has
/// restarted or an older entry is read from the store.
#[tokio::test(start_paused = true)]
async fn an_entry_that_passed_on_a_leaving_response_picks_the_endpoint_no_more() {
    run(async |endpoint, gate| {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(inbound::listen(Rc::clone(&gate), listener));
        announce(&gate, PROCESS_START_MS, 1, State::Ready);
        let unused = "127.0.0.1:9".parse().unwrap();
        let daemon = daemon_of("vm-2", unused, Arc::new(RuntimeClock));
        daemon.apply_configuration(configuration(1), 1);
        daemon
            .fleet
            .borrow_mut()
            .apply_write(entry(address, 1), Position::new(1, 5));
        says_leaving(&endpoint);
        let response = request(&daemon, "1a").await;
        assert!(matches!(response, Response::Endpoint { status: 200, .. }));
        assert!(daemon.fleet.borrow().ready("despacho").is_empty());
        // The restarted daemon of the endpoint writes what a heartbeat says.
        daemon
            .fleet
            .borrow_mut()
            .apply_write(entry(address, 9), Position::new(1, 6));
        assert!(daemon.fleet.borrow().ready("despacho").is_empty());
        let response = request(&daemon, "2b").await;
        assert!(matches!(response, Response::Refused { .. }));
    })
    .await;
}

/// Starts the listener of a gate and a daemon that knows the gate as `vm-1`.
async fn entry_of(gate: &Rc<Daemon>) -> Rc<Daemon> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(inbound::listen(Rc::clone(gate), listener));
    announce(gate, PROCESS_START_MS, 1, State::Ready);
    let unused = "127.0.0.1:9".parse().unwrap();
    let daemon = daemon_of("vm-2", unused, Arc::new(RuntimeClock));
    daemon.apply_configuration(configuration(1), 1);
    let mut fleet = daemon.fleet.borrow_mut();
    fleet.apply_write(entry(address, 1), Position::new(1, 5));
    drop(fleet);
    daemon
}

/// Guards against an entry that picks by cost without a stated pace, or by load despite one, and
/// against a setting that takes effect only after a restart.
#[tokio::test(start_paused = true)]
async fn an_entry_picks_by_cost_after_a_gate_has_passed_on_a_pace() {
    run(async |endpoint, gate| {
        let daemon = entry_of(&gate).await;
        let picks = async |id: &str, expected: [u64; 2]| {
            let response = request(&daemon, id).await;
            assert!(matches!(response, Response::Endpoint { status: 200, .. }));
            let count = |rule| daemon.metrics.picks.with_label_values(&[rule]).get();
            assert_eq!([count("load"), count("cost")], expected, "{id}");
        };
        endpoint.load.set("1,0,36,0");
        picks("1a", [1, 0]).await;
        endpoint.load.set("1,0,36,140");
        picks("2b", [2, 0]).await;
        picks("3c", [2, 1]).await;
        daemon.settings.borrow_mut().placement = Placement::Load;
        picks("4d", [3, 1]).await;
        // Routes of another version have no cost yet.
        daemon.settings.borrow_mut().placement = Placement::Auto;
        let renamed = String::from_utf8(configuration(2).to_vec()).unwrap();
        let renamed = renamed.replace("\"read\":", "\"lesen\":");
        daemon.apply_configuration(renamed.into(), 2);
        picks("5e", [3, 2]).await;
    })
    .await;
}

/// Guards against the pace of an endpoint that is taken for that of its next start under the same
/// id, and against a figure that is unusable.
#[tokio::test(start_paused = true)]
async fn a_stated_pace_belongs_to_one_start_of_the_endpoint() {
    run(async |endpoint, daemon| {
        let pace = || daemon.gate.load(Instant::now().into_std()).pace;
        announce(&daemon, PROCESS_START_MS, 1, State::Ready);
        endpoint.load.set("1,0,36,900000");
        keep_busy(&daemon, Duration::from_millis(200)).await;
        assert_eq!(pace(), 0);
        endpoint.load.set("1,0,36,150");
        keep_busy(&daemon, Duration::from_millis(200)).await;
        assert!(pace() > 130, "{}", pace());
        endpoint.load.set("1,0,36");
        keep_busy(&daemon, Duration::from_millis(500)).await;
        assert!(pace() < 110, "{}", pace());
        announce(&daemon, PROCESS_START_MS + 1, 1, State::Ready);
        assert_eq!(pace(), 0);
    })
    .await;
}

/// Guards against a backlog that keeps calls which have ended or left the queue.
#[tokio::test(start_paused = true)]
async fn the_backlog_is_zero_without_calls() {
    run(async |endpoint, daemon| {
        let backlog = || daemon.gate.load(Instant::now().into_std()).backlog_us;
        announce(&daemon, PROCESS_START_MS, 1, State::Ready);
        keep_busy(&daemon, Duration::from_millis(300)).await;
        assert_eq!(backlog(), 0);
        endpoint.stuck.set(true);
        let jobs: Vec<_> = (0..50)
            .map(|number| job(&daemon, &format!("{number}"), "i-1"))
            .collect();
        let mut open = Vec::new();
        for (job, receiver) in jobs {
            open.push((daemon.gate.submit(&daemon, job), receiver));
        }
        // 50 calls of 40 ms, of which 34 run.
        assert!((1_900_000..2_200_000).contains(&backlog()), "{}", backlog());
        for id in open[40..].iter().filter_map(|(id, _)| *id) {
            daemon.gate.cancel(&daemon, id);
        }
        assert!(backlog() < 1_800_000, "{}", backlog());
        endpoint.stuck.set(false);
        for (_, receiver) in open {
            drop(receiver.await);
        }
        assert_eq!(backlog(), 0);
    })
    .await;
}
