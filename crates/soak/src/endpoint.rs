//! Stand-in endpoint and its announcements.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use adapter::response::Statement;
use adapter::standin::{self, ReceivedRequest};
use bytes::BytesMut;
use policy::fleet::{Announcement, State};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, SemaphorePermit};
use transport::http1::{Message, MessageKind};

use crate::client::{self, Entry};
use crate::net::{self, TaskGroup};
use crate::oracle::{Arrival, Guarantee, Oracle, RateLimit, VmIndex};
use crate::organisation::KEY_MARK;

/// Requests that run concurrently.
const SLOT_COUNT: usize = 4;

/// Requests that may wait for a slot; further ones are rejected.
const MAX_QUEUED: usize = 4;

/// Time between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time within which the daemon must acknowledge an announcement.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Nested calls of each request, at endpoints that make any.
const NESTED_CALL_COUNT: usize = 2;

/// Fault of an endpoint.
///
/// The names of the variants are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Requests take ten times as long.
    Slow,
    /// Rejects requests without running them.
    Refusing,
    /// Runs requests and closes the connection without a response.
    Closing,
    /// Truncates responses and closes the connection.
    Short,
    /// Sends bytes that are no HTTP response and closes the connection.
    Garbled,
    /// Sends responses without a signature.
    Unsigned,
    /// Sends each response twice.
    Doubled,
    /// Runs requests and never responds.
    Silent,
}

/// Configuration of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointConfig {
    /// VM of the endpoint.
    pub vm: VmIndex,
    /// Service of the endpoint.
    pub service: &'static str,
    /// Daemon for nested calls; `None` if its requests make none.
    pub nested: Option<Entry>,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Address that it announces to the daemon: the proxy in front of it.
    pub announced: SocketAddr,
    /// Control address of the daemon, which takes announcements.
    pub control: SocketAddr,
    /// Processing time of a request, without its nested calls.
    pub work_time: Duration,
}

/// Counts a request as queued until it is dropped.
struct QueuedGuard<'a>(&'a Cell<usize>);

impl<'a> QueuedGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Returns when the peer has closed the connection.
async fn wait_closed(stream: &TcpStream) {
    let mut byte = [0];
    if matches!(stream.peek(&mut byte).await, Ok(count) if count > 0) {
        std::future::pending::<()>().await;
    }
}

/// Instance of an endpoint.
#[derive(Debug)]
pub struct Endpoint {
    config: EndpointConfig,
    instance: String,
    started_ms: u64,
    sequence: Cell<u64>,
    state: Cell<State>,
    /// Whether it sends no more heartbeats.
    silent: Cell<bool>,
    /// What its responses state about it.
    pub statement: Cell<Statement>,
    /// Injected fault.
    pub fault: Cell<Option<Fault>>,
    slots: Semaphore,
    queued: Cell<usize>,
    started: Instant,
    oracle: Rc<RefCell<Oracle>>,
    tasks: TaskGroup,
}

impl Endpoint {
    /// Starts an endpoint; `started_ms` is its start in milliseconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Fails when the listen address of the endpoint is in use.
    pub fn start(
        config: EndpointConfig,
        instance: String,
        started_ms: u64,
        oracle: Rc<RefCell<Oracle>>,
    ) -> std::io::Result<Rc<Self>> {
        let listener = net::bind(config.address)?;
        let endpoint = Rc::new(Self {
            config,
            instance,
            started_ms,
            sequence: Cell::new(0),
            state: Cell::new(State::Ready),
            silent: Cell::new(false),
            statement: Cell::default(),
            fault: Cell::new(None),
            slots: Semaphore::new(SLOT_COUNT),
            queued: Cell::new(0),
            started: Instant::now(),
            oracle,
            tasks: TaskGroup::default(),
        });
        let owner = Rc::clone(&endpoint);
        endpoint.tasks.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                owner.tasks.spawn(Rc::clone(&owner).serve(stream));
            }
        });
        let owner = Rc::clone(&endpoint);
        endpoint.tasks.spawn(async move {
            while !owner.silent.get() {
                owner.announce().await;
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        });
        Ok(endpoint)
    }

    /// Ends the instance immediately: its connections close and nothing is announced.
    pub async fn crash(&self) {
        self.tasks.abort();
        // Aborted tasks close their sockets when they are scheduled next.
        tokio::task::yield_now().await;
    }

    /// Shuts down gracefully: announces that it drains, keeps serving for the drain time, announces
    /// its departure and ends. A heartbeat that it sent before arrives late.
    pub async fn leave(&self, drain: Duration) {
        let late = self.encode_heartbeat();
        self.state.set(State::Draining);
        self.announce().await;
        tokio::time::sleep(drain).await;
        self.send_announcement(late).await;
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        self.send_departure().await;
        self.crash().await;
    }

    /// Shuts down like [`Endpoint::leave`], but announces its departure at once and nothing after it,
    /// and keeps serving for longer.
    pub async fn depart_first(&self, drain: Duration) {
        let late = self.encode_heartbeat();
        self.silent.set(true);
        if self.send_departure().await {
            let mut oracle = self.oracle.borrow_mut();
            oracle.record_leaving(&self.instance, Instant::now());
        }
        tokio::time::sleep(drain).await;
        self.send_announcement(late).await;
        tokio::time::sleep(drain * 3).await;
        self.crash().await;
    }

    /// Shuts down like [`Endpoint::leave`], but only its responses state it: its heartbeats go on.
    pub async fn depart(&self, drain: Duration) {
        let statement = self.statement.get();
        self.statement.set(Statement {
            leaving: true,
            ..statement
        });
        tokio::time::sleep(drain * 2).await;
        self.send_departure().await;
        self.crash().await;
    }

    /// Returns the time that work takes, in percent of the usual time; it changes every 50 ms.
    fn pace(&self) -> u32 {
        60 + (self.started.elapsed().as_millis() / 50 * 37 % 100) as u32
    }

    /// Inserts the statement and the load into a response.
    fn insert_statement(&self, response: &mut Vec<u8>) {
        let statement = self.statement.get();
        standin::insert_statement(&statement, response);
        let running = SLOT_COUNT - self.slots.available_permits();
        let (queued, pace) = (self.queued.get(), self.pace());
        let load = format!("{running},{queued},{SLOT_COUNT},{pace}");
        standin::insert_load(&load, response);
        if statement.leaving {
            let mut oracle = self.oracle.borrow_mut();
            oracle.record_leaving(&self.instance, Instant::now());
        }
    }

    /// States a rate limit for some time, unless one is stated already.
    pub async fn limit_rate(&self, limit: f64, time: Duration) {
        let from = Instant::now();
        let statement = self.statement.get();
        if statement.rate_limit.is_some() {
            return;
        }
        self.statement.set(Statement {
            rate_limit: Some(limit),
            ..statement
        });
        tokio::time::sleep(time).await;
        let statement = self.statement.get();
        self.statement.set(Statement {
            rate_limit: None,
            ..statement
        });
        let limited = RateLimit {
            instance: self.instance.clone(),
            limit,
            from,
            until: Instant::now(),
        };
        self.oracle.borrow_mut().record_rate_limit(limited);
    }

    async fn announce(&self) {
        let state = self.state.get();
        let heartbeat = self.encode_heartbeat();
        let acknowledged = self.send_announcement(heartbeat).await;
        if acknowledged && state == State::Draining {
            let mut oracle = self.oracle.borrow_mut();
            oracle.record_leaving(&self.instance, Instant::now());
        }
    }

    /// Encodes the next heartbeat.
    fn encode_heartbeat(&self) -> Vec<u8> {
        self.sequence.set(self.sequence.get() + 1);
        standin::encode_heartbeat(&Announcement {
            instance: self.instance.as_str().into(),
            service: self.config.service.into(),
            data_centre: "local".into(),
            address: self.config.announced,
            slots: SLOT_COUNT as u32,
            state: self.state.get(),
            cold: Duration::ZERO,
            started_ms: self.started_ms,
            sequence: self.sequence.get(),
        })
    }

    /// Announces its departure; returns whether it was acknowledged.
    async fn send_departure(&self) -> bool {
        let departure = standin::encode_departure(&self.instance, self.started_ms);
        self.send_announcement(departure).await
    }

    /// Sends an announcement; returns whether it was acknowledged.
    async fn send_announcement(&self, bytes: Vec<u8>) -> bool {
        let response = net::exchange(self.config.control, &bytes, ANNOUNCEMENT_TIMEOUT).await;
        response.is_some_and(|response| response.head.status == 200)
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut decoder = net::decoder(MessageKind::Request);
        let mut buffer = BytesMut::new();
        while let Some(message) = net::read_message(&mut stream, &mut decoder, &mut buffer).await {
            let received = standin::decode_request(&message.head);
            let rejected = match &received.instance {
                Some(instance) if *instance != self.instance => Some(421),
                _ if self.fault.get() == Some(Fault::Refusing) => Some(503),
                _ if self.queued.get() >= MAX_QUEUED => Some(503),
                _ => None,
            };
            if let Some(status) = rejected {
                if status != 421 {
                    self.record_arrival(&message, &received, false);
                }
                let mut response = standin::encode_rejected(status, &received.id);
                if status != 421 {
                    self.insert_statement(&mut response);
                }
                if stream.write_all(&response).await.is_err() {
                    return;
                }
                continue;
            }
            // Like most endpoints, stops running a request when its connection closes.
            let response = tokio::select! {
                response = self.run(&message, &received) => response,
                () = wait_closed(&stream) => return,
            };
            let Some(response) = response else {
                return;
            };
            if stream.write_all(&response).await.is_err() || self.closes_after_response() {
                return;
            }
        }
    }

    /// Whether the fault closes the connection after a response.
    fn closes_after_response(&self) -> bool {
        matches!(self.fault.get(), Some(Fault::Short | Fault::Garbled))
    }

    /// Records the arrival of a call; returns whether the same call had arrived before.
    fn record_arrival(&self, message: &Message, received: &ReceivedRequest, ran: bool) -> bool {
        let is_key = |value: &[u8]| String::from_utf8_lossy(value).contains(KEY_MARK);
        let has_key = message.head.fields().any(|(_, value)| is_key(value));
        let arrival = Arrival {
            at: Instant::now(),
            vm: self.config.vm,
            service: self.config.service,
            instance: self.instance.clone(),
            organisation: received.organisation.clone(),
            has_key: has_key || received.has_credential,
            ran,
        };
        self.oracle
            .borrow_mut()
            .record_arrival(&received.id, arrival)
    }

    /// Waits for a free slot.
    async fn acquire_slot(&self) -> SemaphorePermit<'_> {
        let _queued = QueuedGuard::new(&self.queued);
        let permit = self.slots.acquire().await;
        permit.expect("the slots are never closed")
    }

    /// Runs a request; returns the bytes of the response, or `None` to close the connection.
    async fn run(&self, message: &Message, received: &ReceivedRequest) -> Option<Vec<u8>> {
        let _slot = self.acquire_slot().await;
        let retried = self.record_arrival(message, received, true);
        let expected = client::caller_service(&received.id);
        if expected.is_some_and(|service| received.caller.as_deref() != Some(service)) {
            let detail = format!(
                "{} carries the caller service {:?}",
                received.id, received.caller
            );
            self.oracle
                .borrow_mut()
                .record_violation(Guarantee::Routed, detail);
        }
        let work_time = match self.fault.get() {
            Some(Fault::Slow) => self.config.work_time * 10,
            _ => self.config.work_time * self.pace() / 100,
        };
        tokio::time::sleep(work_time).await;
        let mut status = 200;
        if let Some(entry) = &self.config.nested {
            let remaining = received.left.unwrap_or_default().saturating_sub(work_time);
            for index in 0..NESTED_CALL_COUNT {
                let mark = if retried { "r" } else { "" };
                let id = format!("{}.{mark}{index}", received.id);
                if !client::send_nested_call(entry, &id, remaining, &self.oracle).await {
                    status = 500;
                    break;
                }
            }
        }
        let body = client::response_body(&received.id, &message.head, &message.body);
        let mut response = standin::encode_signed(status, &received.id, body.len());
        // A whole, signed response without the limit would end it.
        if matches!(self.fault.get(), None | Some(Fault::Slow | Fault::Doubled)) {
            self.insert_statement(&mut response);
        }
        response.extend_from_slice(&body);
        match self.fault.get() {
            Some(Fault::Closing) => return None,
            Some(Fault::Short) => response.truncate(response.len() - body.len() / 2),
            Some(Fault::Garbled) => response = b"\x16\x03\x01 no answer\r\n\r\n".to_vec(),
            Some(Fault::Unsigned) => {
                response = standin::encode_unsigned(&received.id, body.len());
                response.extend_from_slice(&body);
            }
            Some(Fault::Doubled) => response.extend_from_within(..),
            Some(Fault::Silent) => return std::future::pending().await,
            Some(Fault::Slow | Fault::Refusing) | None => {}
        }
        Some(response)
    }
}
