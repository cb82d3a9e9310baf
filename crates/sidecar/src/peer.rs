//! Connections to the gates of other VMs.
//!
//! Each peer has at most one connection, which is opened on demand. A connection with open calls
//! that is silent is checked by a ping and closed when no reply comes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use log::{info, warn};
use policy::id::VmId;
use policy::selection::EndpointStats;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;
use transport::http1::FINAL_STATUSES;

use crate::arrivals::{Arrivals, is_large};
use crate::daemon::Daemon;
use crate::frame::{CallHead, Frame, Load, NotRun, PROTOCOL_VERSION, StreamId, Unknown};
use crate::gate::{Deadline, Outcome};
use crate::memory::{Kind, MAX_BODY_BYTES};
use crate::outbox::{EndPosition, Outbox};
use crate::reader::read_frames;

#[cfg(test)]
mod tests;

/// Time to open a connection to another VM: several times the delay between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Silence of a connection with open calls after which it is pinged.
const PING_DELAY: Duration = Duration::from_millis(250);

/// Time in which a reply to a ping must come. A VM that has used up its quota stands still for a
/// tenth of a second.
const PONG_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after the last received bytes for which a gate counts as alive.
const ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between checks of all connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A call that was sent and has no outcome yet.
#[derive(Debug)]
struct Pending {
    sender: oneshot::Sender<(Outcome, Load)>,
    /// Position after the call's last byte in the outbox.
    end: End,
}

/// Position after a call's last byte in the outbox.
#[derive(Debug)]
enum End {
    /// The call was queued whole.
    Known(u64),
    /// The call follows its body, which is sent in parts.
    AfterBody(EndPosition),
}

impl End {
    fn get(&self) -> u64 {
        match self {
            Self::Known(position) => *position,
            Self::AfterBody(position) => position.get(),
        }
    }
}

/// A connection to a gate.
#[derive(Debug)]
struct Link {
    outbox: Outbox,
    pending: RefCell<HashMap<StreamId, Pending>>,
    /// When bytes were last received.
    received_at: Cell<Instant>,
    /// When the unanswered ping was sent, if there is one.
    pinged_at: Cell<Option<Instant>>,
    arrivals: Arrivals,
}

/// A VM, the statistics of its endpoint and the connection to its gate.
#[derive(Debug)]
pub struct Peer {
    /// Name of the VM.
    pub vm: VmId,
    /// Load and health of its endpoint.
    pub stats: RefCell<EndpointStats>,
    link: RefCell<Option<Rc<Link>>>,
    next_stream: Cell<StreamId>,
}

/// A call sent to a gate. Dropping it before its outcome arrives cancels the call at the gate.
#[derive(Debug)]
pub struct SentCall {
    peer: Rc<Peer>,
    link: Rc<Link>,
    stream: StreamId,
    /// Receives the outcome.
    pub receiver: oneshot::Receiver<(Outcome, Load)>,
}

impl SentCall {
    /// Asks the gate to give the call back unless it has started there. Its outcome says which.
    pub fn withdraw(&self) {
        let mut pending = self.link.pending.borrow_mut();
        let outbox = &self.link.outbox;
        let stream = self.stream;
        let call = pending.get(&stream);
        let is_unsent = call.is_some_and(|call| match &call.end {
            End::Known(_) => false,
            End::AfterBody(end) => !end.is_known(),
        });
        if is_unsent {
            // The gate knows of an offered body only; the call would follow it.
            outbox.withdraw(stream);
            outbox.push(&Frame::Cancel { stream }, &[]);
            if let Some(call) = pending.remove(&stream) {
                let outcome = Outcome::NotRun(NotRun::Cancelled);
                // Sending cannot fail while this call holds the receiver.
                drop(call.sender.send((outcome, Load::default())));
            }
        } else if call.is_some() {
            outbox.push(&Frame::Withdraw { stream }, &[]);
        }
    }
}

impl Drop for SentCall {
    fn drop(&mut self) {
        self.peer.stats.borrow_mut().call_ended();
        let pending = self.link.pending.borrow_mut().remove(&self.stream);
        if pending.is_some() {
            self.link.outbox.withdraw(self.stream);
            self.link.arrivals.forget(self.stream);
            let cancel = Frame::Cancel {
                stream: self.stream,
            };
            self.link.outbox.push(&cancel, &[]);
        }
    }
}

impl Peer {
    fn new(vm: VmId) -> Self {
        Self {
            vm,
            stats: RefCell::new(EndpointStats::default()),
            link: RefCell::new(None),
            next_stream: Cell::new(0),
        }
    }

    /// Whether the connection is open and bytes arrived a short time ago.
    #[must_use]
    pub fn is_alive(&self, now: Instant) -> bool {
        let link = self.link.borrow();
        link.as_ref().is_some_and(|link| {
            !link.outbox.is_closed()
                && now.saturating_duration_since(link.received_at.get()) < ALIVE_TIMEOUT
        })
    }

    /// Sends a call; returns `None` when the outbox of the connection takes no more.
    pub fn call(
        self: &Rc<Self>,
        daemon: &Rc<Daemon>,
        address: SocketAddr,
        call: CallHead,
        body: &Bytes,
    ) -> Option<SentCall> {
        let link = self.link(daemon, address);
        let stream = self.next_stream.get();
        self.next_stream.set(stream.wrapping_add(1));
        let end = if is_large(body.len()) {
            let finish = finish_call(daemon, stream, call);
            let end = link.outbox.push_large(stream, Bytes::clone(body), finish);
            End::AfterBody(end?)
        } else {
            if !body.is_empty() && !daemon.budget.has_room() {
                return None;
            }
            End::Known(link.outbox.push(&Frame::Call { stream, call }, body)?)
        };
        let (sender, receiver) = oneshot::channel();
        let pending = Pending { sender, end };
        link.pending.borrow_mut().insert(stream, pending);
        self.stats.borrow_mut().call_sent();
        Some(SentCall {
            peer: Rc::clone(self),
            link,
            stream,
            receiver,
        })
    }

    /// Sends a frame, over a new connection if there is none.
    pub fn send(self: &Rc<Self>, daemon: &Rc<Daemon>, address: SocketAddr, frame: &Frame) {
        self.link(daemon, address).outbox.push(frame, &[]);
    }

    /// Pings the gate, over a new connection if there is none.
    pub fn ping(self: &Rc<Self>, daemon: &Rc<Daemon>, address: SocketAddr) {
        let link = self.link(daemon, address);
        link.outbox.push(&Frame::Ping, &[]);
        if link.pinged_at.get().is_none() {
            link.pinged_at.set(Some(daemon.clock.now()));
        }
    }

    /// Returns the open connection, or starts to open one.
    fn link(self: &Rc<Self>, daemon: &Rc<Daemon>, address: SocketAddr) -> Rc<Link> {
        let mut current = self.link.borrow_mut();
        if let Some(link) = current.as_ref().filter(|link| !link.outbox.is_closed()) {
            return Rc::clone(link);
        }
        let link = Rc::new(Link {
            outbox: Outbox::new(&daemon.budget),
            pending: RefCell::new(HashMap::new()),
            arrivals: Arrivals::default(),
            received_at: Cell::new(daemon.clock.now()),
            pinged_at: Cell::new(None),
        });
        let hello = Frame::Hello {
            protocol: PROTOCOL_VERSION,
            vm: daemon.vm.to_string(),
        };
        link.outbox.push(&hello, &[]);
        *current = Some(Rc::clone(&link));
        let peer = Rc::clone(self);
        let owner = Rc::clone(daemon);
        let connection = Rc::clone(&link);
        tokio::task::spawn_local(async move {
            let cause = peer.connect(&owner, &connection, address).await;
            peer.disconnected(&owner, &connection, &cause);
        });
        link
    }

    /// Opens and serves a connection; returns why it ended.
    async fn connect(&self, daemon: &Rc<Daemon>, link: &Link, address: SocketAddr) -> String {
        let mut stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return format!("connect: {error}"),
            Err(_) => return "connect: timed out".to_owned(),
        };
        if let Err(error) = transport::socket::tune(&stream) {
            return format!("socket options: {error}");
        }
        link.received_at.set(daemon.clock.now());
        let (mut reader, mut writer) = stream.split();
        let received = || {
            link.received_at.set(daemon.clock.now());
            link.pinged_at.set(None);
        };
        let read = read_frames(&mut reader, received, |frame, body| {
            self.handle_frame(daemon, link, frame, body);
            ControlFlow::<Infallible>::Continue(())
        });
        tokio::select! {
            Err(error) = read => error.to_string(),
            result = link.outbox.write_to(&mut writer) => {
                result.map_or_else(|error| format!("write: {error}"), |()| "written".to_owned())
            }
            () = link.outbox.closed() => "closed by this daemon (ping timed out, unexpected frame or VM removed)".to_owned(),
        }
    }

    fn handle_frame(&self, daemon: &Rc<Daemon>, link: &Link, frame: Frame, body: Bytes) {
        let (stream, outcome, load) = match frame {
            Frame::Response {
                stream,
                response,
                load,
            } => {
                let budget = &daemon.budget;
                let Ok(body) = link.arrivals.take(stream, body, budget, Kind::Response) else {
                    warn!(event = "peer_body_incomplete", vm = &*self.vm; "closing the connection");
                    link.outbox.close();
                    return;
                };
                // The daemon of a faulty endpoint may pass on a status that no response has.
                let outcome = if FINAL_STATUSES.contains(&response.status) {
                    Outcome::Answered(response, body)
                } else {
                    Outcome::Unknown(Unknown::Damaged)
                };
                (stream, outcome, load)
            }
            Frame::NotRun {
                stream,
                reason,
                load,
            } => (stream, Outcome::NotRun(reason), load),
            Frame::Unknown {
                stream,
                reason,
                load,
            } => (stream, Outcome::Unknown(reason), load),
            Frame::Offer { stream, size } => {
                self.accept_offer(daemon, link, stream, size as usize);
                return;
            }
            Frame::Part { stream } => {
                if link.arrivals.append(stream, &body).is_err() {
                    warn!(event = "peer_body_unexpected", vm = &*self.vm; "closing the connection");
                    link.outbox.close();
                }
                return;
            }
            Frame::Accept { stream } => {
                link.outbox.accept(stream);
                return;
            }
            Frame::Endpoint {
                announcement,
                stopping,
            } => {
                daemon.apply_peer_state(self, announcement, stopping);
                return;
            }
            Frame::State { entries, revision } => {
                daemon.merge_state(&entries, revision, &body);
                return;
            }
            Frame::Load(load) => {
                let now = daemon.clock.now();
                self.stats.borrow_mut().record_load(now, load.into());
                return;
            }
            Frame::QuotaGrant {
                organisation,
                grant,
            } => {
                let quotas = &daemon.quotas;
                quotas.apply_grant(daemon, &self.vm, organisation, grant);
                return;
            }
            Frame::Pong => return,
            Frame::Hello { .. }
            | Frame::QuotaAsk { .. }
            | Frame::Call { .. }
            | Frame::Cancel { .. }
            | Frame::Withdraw { .. }
            | Frame::Ping
            | Frame::AskState
            | Frame::Record { .. }
            | Frame::Recorded(_) => {
                warn!(event = "peer_frame_unexpected", vm = &*self.vm; "closing the connection");
                link.outbox.close();
                return;
            }
        };
        self.stats
            .borrow_mut()
            .record_load(daemon.clock.now(), load.into());
        link.outbox.withdraw(stream);
        let pending = link.pending.borrow_mut().remove(&stream);
        if let Some(pending) = pending {
            // Sending fails when the caller has stopped waiting in this turn of the event loop.
            drop(pending.sender.send((outcome, load)));
        }
    }

    /// Accepts the body of a response once there is room for it. Until then it stays at the gate.
    fn accept_offer(&self, daemon: &Rc<Daemon>, link: &Link, stream: StreamId, size: usize) {
        if size > MAX_BODY_BYTES {
            warn!(event = "peer_body_too_large", vm = &*self.vm, size = size; "closing the connection");
            link.outbox.close();
            return;
        }
        if !link.pending.borrow().contains_key(&stream) {
            // The call was cancelled, and the gate learns of it.
            return;
        }
        link.arrivals.offer(stream, size);
        let mut grant = daemon.budget.grant(Kind::Response);
        let outbox = link.outbox.clone();
        let arrivals = link.arrivals.clone();
        tokio::task::spawn_local(async move {
            let wait = async {
                grant.resize_when_free(size).await;
                if arrivals.accept(stream, grant) {
                    outbox.push(&Frame::Accept { stream }, &[]);
                }
            };
            tokio::select! {
                () = wait => {}
                () = arrivals.forgotten(stream) => {}
            }
        });
    }

    /// Closes a connection and reports the outcome of its open calls.
    fn disconnected(&self, daemon: &Rc<Daemon>, link: &Link, cause: &str) {
        link.outbox.close();
        link.arrivals.clear();
        let pending = link.pending.take();
        self.stats.borrow_mut().record_failure(daemon.clock.now());
        info!(event = "peer_lost", vm = &*self.vm, cause = cause, calls = pending.len(); "");
        for (_, call) in pending {
            let outcome = if link.outbox.may_have_been_sent(call.end.get()) {
                Outcome::Unknown(Unknown::Disconnected)
            } else {
                Outcome::NotRun(NotRun::Unreachable)
            };
            drop(call.sender.send((outcome, Load::default())));
        }
    }

    /// Pings a silent connection, or closes it if a ping was not answered in time.
    fn check(&self, now: Instant) {
        let link = self.link.borrow().clone();
        let Some(link) = link.filter(|link| !link.outbox.is_closed()) else {
            return;
        };
        match link.pinged_at.get() {
            Some(pinged_at) if now.saturating_duration_since(pinged_at) >= PONG_TIMEOUT => {
                link.outbox.close();
            }
            Some(_) => {}
            None => {
                let has_pending = !link.pending.borrow().is_empty();
                if has_pending
                    && now.saturating_duration_since(link.received_at.get()) >= PING_DELAY
                {
                    link.outbox.push(&Frame::Ping, &[]);
                    link.pinged_at.set(Some(now));
                }
            }
        }
    }
}

/// Returns a function that returns the frame of a call once its body has been sent.
fn finish_call(
    daemon: &Rc<Daemon>,
    stream: StreamId,
    mut call: CallHead,
) -> impl FnOnce() -> Frame + 'static {
    let clock = Arc::clone(&daemon.clock);
    let deadline = Deadline::after(&*clock, Duration::from_micros(call.left_us));
    move || {
        let left = deadline.left(clock.now(), clock.boot());
        call.left_us = left.as_micros() as u64;
        Frame::Call { stream, call }
    }
}

/// Known VMs by name, including this one for the statistics of its own endpoint.
#[derive(Debug, Default)]
pub struct Peers(RefCell<HashMap<VmId, Rc<Peer>>>);

impl Peers {
    /// Returns the VM with a name, and adds it if it is new.
    pub fn get(&self, vm: &VmId) -> Rc<Peer> {
        let mut peers = self.0.borrow_mut();
        let peer = peers
            .entry(VmId::clone(vm))
            .or_insert_with(|| Rc::new(Peer::new(VmId::clone(vm))));
        Rc::clone(peer)
    }

    /// Whether the connection to the gate of a VM is open and bytes arrived a short time ago.
    #[must_use]
    pub fn is_alive(&self, now: Instant, vm: &str) -> bool {
        self.0
            .borrow()
            .get(vm)
            .is_some_and(|peer| peer.is_alive(now))
    }

    /// Removes a VM that is no longer part of the fleet and closes the connection to it.
    pub fn remove(&self, vm: &VmId) {
        let peer = self.0.borrow_mut().remove(vm);
        let link = peer.and_then(|peer| peer.link.borrow_mut().take());
        if let Some(link) = link {
            link.outbox.close();
        }
    }

    /// Checks for silent connections, and for clients that hold memory which others wait for, as long
    /// as the daemon runs.
    pub async fn monitor(&self, daemon: &Rc<Daemon>) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let peers: Vec<Rc<Peer>> = self.0.borrow().values().cloned().collect();
            let now = daemon.clock.now();
            for peer in peers {
                peer.check(now);
            }
            daemon.connections.relieve(daemon);
        }
    }
}

/// Requests the configuration and the VM entries of another daemon; returns whether they arrived.
pub async fn request_state(daemon: &Rc<Daemon>, address: SocketAddr) -> bool {
    let state = request(
        daemon,
        address,
        &Frame::AskState,
        |frame, body| match frame {
            Frame::State { entries, revision } => Some((entries, revision, body)),
            _ => None,
        },
    );
    let Some((entries, revision, body)) = state.await else {
        return false;
    };
    daemon.merge_state(&entries, revision, &body);
    true
}

/// Tells another daemon the state of the local endpoint and applies the newest one that it knows;
/// returns whether it replied.
pub async fn exchange_record(daemon: &Rc<Daemon>, address: SocketAddr) -> bool {
    let record = Frame::Record {
        vm: daemon.vm.to_string(),
        entry: daemon.vm_entry(),
    };
    let reply = request(daemon, address, &record, |frame, _| match frame {
        Frame::Recorded(newest) => Some(newest),
        _ => None,
    });
    let Some(newest) = reply.await else {
        return false;
    };
    if let Some(newest) = newest {
        daemon.apply_record(newest);
    }
    true
}

/// Sends a frame to another daemon over a connection of its own; returns the first of its frames
/// that `decode` accepts, or `None` if none arrives in time.
async fn request<T>(
    daemon: &Rc<Daemon>,
    address: SocketAddr,
    frame: &Frame,
    decode: impl Fn(Frame, Bytes) -> Option<T>,
) -> Option<T> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let outbox = Outbox::new(&daemon.budget);
        let hello = Frame::Hello {
            protocol: PROTOCOL_VERSION,
            vm: daemon.vm.to_string(),
        };
        outbox.push(&hello, &[]);
        outbox.push(frame, &[]);
        let (mut reader, mut writer) = stream.split();
        let read = read_frames(
            &mut reader,
            || {},
            |frame, body| match decode(frame, body) {
                Some(reply) => ControlFlow::Break(reply),
                None => ControlFlow::Continue(()),
            },
        );
        tokio::select! {
            reply = read => reply.ok(),
            _ = outbox.write_to(&mut writer) => None,
        }
    };
    timeout(CONNECT_TIMEOUT * 3, exchange).await.ok().flatten()
}
