//! Guards against an endpoint that gets more calls than the rate limit that it states, and against
//! calls to an endpoint that states that it is about to shut down.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use adapter::response::Statement;
use adapter::standin;
use bytes::BytesMut;
use policy::fleet::State;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};
use transport::http1::{Decoder, MessageKind};

use crate::daemon::Daemon;
use crate::testing::{PROCESS_START_MS, RuntimeClock, announcement, daemon_at, job};

/// Window over which the platform counts the calls to an endpoint with a rate limit.
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which the stand-in endpoint runs each call.
const WORK_TIME: Duration = Duration::from_millis(40);

/// Stand-in endpoint that records when calls arrive.
#[derive(Debug, Default)]
struct Endpoint {
    statement: Cell<Statement>,
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
