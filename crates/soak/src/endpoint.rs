//! A stand-in endpoint and its announcements.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use adapter::standin::{self, ReceivedRequest};
use bytes::BytesMut;
use policy::fleet::{Announcement, State};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, SemaphorePermit};
use transport::http1::{Message, MessageKind};

use crate::client::{self, Target};
use crate::ledger::{Arrival, Ledger, Promise, VmIndex};
use crate::server::{self, Tasks};

/// Requests that run at once.
const SLOTS: usize = 4;

/// Requests that wait.
const QUEUE: usize = 4;

/// Time between heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(500);

/// Time in which a heartbeat must be acknowledged.
const ACKNOWLEDGED_IN: Duration = Duration::from_secs(1);

/// Calls that a request of the calling service makes.
const CALLS: usize = 2;

/// What is wrong with an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Requests take many times as long.
    Slow,
    /// It refuses requests without running them.
    Refusing,
    /// It runs requests and closes the connection.
    Closing,
    /// It breaks answers off.
    Short,
    /// It answers with bytes that are no answer.
    Garbled,
    /// It answers without a signature.
    Unsigned,
    /// It sends the answer twice.
    Doubled,
    /// It runs requests and answers nothing.
    Silent,
}

/// Where an endpoint stands.
#[derive(Clone, Debug)]
pub struct Place {
    /// VM.
    pub vm: VmIndex,
    /// Service.
    pub service: &'static str,
    /// Service to which its requests make calls.
    pub calls: Option<Target>,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Address that the daemon uses for it.
    pub announced: SocketAddr,
    /// Address for announcements.
    pub control: SocketAddr,
    /// Time that a request takes.
    pub work: Duration,
}

/// Counts a request as waiting until it is dropped.
struct Waiting<'a>(&'a Cell<usize>);

impl<'a> Waiting<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Returns when the other side has closed a connection.
async fn closed(stream: &TcpStream) {
    let mut byte = [0];
    if matches!(stream.peek(&mut byte).await, Ok(count) if count > 0) {
        std::future::pending::<()>().await;
    }
}

/// One start of an endpoint.
#[derive(Debug)]
pub struct Endpoint {
    place: Place,
    instance: String,
    born: u64,
    sequence: Cell<u64>,
    state: Cell<State>,
    /// What is wrong with it.
    pub fault: Cell<Option<Fault>>,
    slots: Semaphore,
    waiting: Cell<usize>,
    ledger: Rc<RefCell<Ledger>>,
    tasks: Tasks,
}

impl Endpoint {
    /// Starts an endpoint; `born` is its start in milliseconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Fails when its address is in use.
    pub fn start(
        place: Place,
        instance: String,
        born: u64,
        ledger: Rc<RefCell<Ledger>>,
    ) -> std::io::Result<Rc<Self>> {
        let listener = server::bind(place.address)?;
        let endpoint = Rc::new(Self {
            place,
            instance,
            born,
            sequence: Cell::new(0),
            state: Cell::new(State::Ready),
            fault: Cell::new(None),
            slots: Semaphore::new(SLOTS),
            waiting: Cell::new(0),
            ledger,
            tasks: Tasks::default(),
        });
        let owner = Rc::clone(&endpoint);
        endpoint.tasks.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                owner.tasks.spawn(Rc::clone(&owner).serve(stream));
            }
        });
        let owner = Rc::clone(&endpoint);
        endpoint.tasks.spawn(async move {
            loop {
                owner.announce().await;
                tokio::time::sleep(HEARTBEAT).await;
            }
        });
        Ok(endpoint)
    }

    /// Ends it at once: its connections close and nothing is announced.
    pub async fn crash(&self) {
        self.tasks.abort();
        // Aborted tasks close their sockets when they are scheduled next.
        tokio::task::yield_now().await;
    }

    /// Leaves in order: says that it drains, serves on, says that it ends and ends.
    pub async fn leave(&self, drain: Duration) {
        self.state.set(State::Draining);
        self.announce().await;
        tokio::time::sleep(drain + HEARTBEAT).await;
        self.post(standin::encode_departure(&self.instance, self.born))
            .await;
        self.crash().await;
    }

    async fn announce(&self) {
        self.sequence.set(self.sequence.get() + 1);
        let state = self.state.get();
        let said = Announcement {
            instance: self.instance.as_str().into(),
            service: self.place.service.into(),
            data_centre: "local".into(),
            address: self.place.announced,
            slots: SLOTS as u32,
            state,
            cold: Duration::ZERO,
            started_ms: self.born,
            sequence: self.sequence.get(),
        };
        let acknowledged = self.post(standin::encode_heartbeat(&said)).await;
        if acknowledged && state == State::Draining {
            let mut ledger = self.ledger.borrow_mut();
            ledger.leaves(&self.instance, Instant::now());
        }
    }

    /// Sends an announcement; returns whether it was acknowledged.
    async fn post(&self, bytes: Vec<u8>) -> bool {
        let answer = server::ask(self.place.control, &bytes, ACKNOWLEDGED_IN).await;
        answer.is_some_and(|answer| answer.head.status == 200)
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut collector = server::collector(MessageKind::Request);
        let mut buffer = BytesMut::new();
        while let Some(message) = server::read(&mut stream, &mut collector, &mut buffer).await {
            let received = standin::decode_request(&message.head);
            let rejected = match &received.instance {
                Some(instance) if *instance != self.instance => Some(421),
                _ if self.fault.get() == Some(Fault::Refusing) => Some(503),
                _ if self.waiting.get() >= QUEUE => Some(503),
                _ => None,
            };
            if let Some(status) = rejected {
                if status != 421 {
                    self.note(&received.id, false);
                }
                let answer = standin::encode_rejected(status, &received.id);
                if stream.write_all(&answer).await.is_err() {
                    return;
                }
                continue;
            }
            // A request whose connection closes is dropped, as by most endpoints.
            let answer = tokio::select! {
                answer = self.run(&message, &received) => answer,
                () = closed(&stream) => return,
            };
            let Some(answer) = answer else {
                return;
            };
            if stream.write_all(&answer).await.is_err() || self.breaks_off() {
                return;
            }
        }
    }

    fn breaks_off(&self) -> bool {
        matches!(self.fault.get(), Some(Fault::Short | Fault::Garbled))
    }

    fn note(&self, id: &str, ran: bool) -> bool {
        let arrival = Arrival {
            at: Instant::now(),
            vm: self.place.vm,
            service: self.place.service,
            instance: self.instance.clone(),
            ran,
        };
        self.ledger.borrow_mut().arrived(id, arrival)
    }

    async fn slot(&self) -> SemaphorePermit<'_> {
        let _waiting = Waiting::new(&self.waiting);
        let permit = self.slots.acquire().await;
        permit.expect("the slots are never closed")
    }

    /// Runs a request; returns the bytes of its answer, `None` to close the connection.
    async fn run(&self, message: &Message, received: &ReceivedRequest) -> Option<Vec<u8>> {
        let _slot = self.slot().await;
        let repeated = self.note(&received.id, true);
        let known = client::caller_of(&received.id);
        if known.is_some_and(|service| received.caller.as_deref() != Some(service)) {
            let seen = format!("{} came from {:?}", received.id, received.caller);
            self.ledger.borrow_mut().broken(Promise::Routed, seen);
        }
        let work = match self.fault.get() {
            Some(Fault::Slow) => self.place.work * 10,
            _ => self.place.work,
        };
        tokio::time::sleep(work).await;
        let mut status = 200;
        if let Some(target) = &self.place.calls {
            let left = received.left.unwrap_or_default().saturating_sub(work);
            for turn in 0..CALLS {
                let mark = if repeated { "r" } else { "" };
                let id = format!("{}.{mark}{turn}", received.id);
                if !client::call(target, &id, left, &self.ledger).await {
                    status = 500;
                    break;
                }
            }
        }
        let body = client::body(&received.id, &message.head, &message.body);
        let mut answer = standin::encode_signed(status, &received.id, body.len());
        answer.extend_from_slice(&body);
        match self.fault.get() {
            Some(Fault::Closing) => return None,
            Some(Fault::Short) => answer.truncate(answer.len() - body.len() / 2),
            Some(Fault::Garbled) => answer = b"\x16\x03\x01 no answer\r\n\r\n".to_vec(),
            Some(Fault::Unsigned) => {
                answer = standin::encode_unsigned(&received.id, body.len());
                answer.extend_from_slice(&body);
            }
            Some(Fault::Doubled) => answer.extend_from_within(..),
            Some(Fault::Silent) => return std::future::pending().await,
            Some(Fault::Slow | Fault::Refusing) | None => {}
        }
        Some(answer)
    }
}
