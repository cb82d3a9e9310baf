//! Connections to the gates of other VMs.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use log::{info, warn};
use policy::id::VmId;
use policy::selection::EndpointStats;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::daemon::Daemon;
use crate::frame::{CallHead, Frame, Load, NotRun, PROTOCOL_VERSION, StreamId, Unknown};
use crate::gate::Outcome;
use crate::outbox::Outbox;
use crate::reader::read_frames;

#[cfg(test)]
mod tests;

/// Time for a connection to another VM: several times the delay between data centres.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// Silence of a connection with open calls after which a sign of life is asked for.
const PING_AFTER: Duration = Duration::from_millis(250);

/// Time in which the sign of life must come. A VM whose quota is used up stands still for a tenth
/// of a second.
const PONG_LIMIT: Duration = Duration::from_millis(500);

/// Time since the last frame in which a gate counts as alive.
const HEARD: Duration = Duration::from_secs(1);

/// Time between checks of all connections.
const CHECK: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Pending {
    sender: oneshot::Sender<(Outcome, Load)>,
    /// Position of the call's last byte in the outbox.
    end: u64,
}

#[derive(Debug)]
struct Link {
    outbox: Outbox,
    pending: RefCell<HashMap<StreamId, Pending>>,
    heard: Cell<Instant>,
    pinged: Cell<Option<Instant>>,
}

/// Another VM as this daemon sees it.
#[derive(Debug)]
pub struct Peer {
    /// Its name.
    pub vm: VmId,
    /// What is known of its endpoint.
    pub target: RefCell<EndpointStats>,
    link: RefCell<Option<Rc<Link>>>,
    next: Cell<StreamId>,
}

/// A call sent to a gate. Dropping it tells the gate that nobody waits.
#[derive(Debug)]
pub struct SentCall {
    peer: Rc<Peer>,
    link: Rc<Link>,
    stream: StreamId,
    /// Gets the outcome.
    pub receiver: oneshot::Receiver<(Outcome, Load)>,
}

impl Drop for SentCall {
    fn drop(&mut self) {
        self.peer.target.borrow_mut().call_ended();
        let open = self.link.pending.borrow_mut().remove(&self.stream);
        if open.is_some() {
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
            target: RefCell::new(EndpointStats::default()),
            link: RefCell::new(None),
            next: Cell::new(0),
        }
    }

    /// Whether the gate was heard a short time ago.
    #[must_use]
    pub fn is_alive(&self, now: Instant) -> bool {
        let link = self.link.borrow();
        link.as_ref().is_some_and(|link| {
            !link.outbox.is_closed() && now.saturating_duration_since(link.heard.get()) < HEARD
        })
    }

    /// Sends a call; `None` when the connection takes no more.
    pub fn call(
        self: &Rc<Self>,
        daemon: &Rc<Daemon>,
        address: SocketAddr,
        call: CallHead,
        body: &Bytes,
    ) -> Option<SentCall> {
        let link = self.link(daemon, address);
        let stream = self.next.get();
        self.next.set(stream.wrapping_add(1));
        let end = link.outbox.push(&Frame::Call { stream, call }, body)?;
        let (sender, receiver) = oneshot::channel();
        link.pending
            .borrow_mut()
            .insert(stream, Pending { sender, end });
        self.target.borrow_mut().call_sent();
        Some(SentCall {
            peer: Rc::clone(self),
            link,
            stream,
            receiver,
        })
    }

    /// Asks the gate for a sign of life, over a new connection if there is none.
    pub fn ping(self: &Rc<Self>, daemon: &Rc<Daemon>, address: SocketAddr) {
        let link = self.link(daemon, address);
        link.outbox.push(&Frame::Ping, &[]);
        if link.pinged.get().is_none() {
            link.pinged.set(Some(daemon.clock.now()));
        }
    }

    fn link(self: &Rc<Self>, daemon: &Rc<Daemon>, address: SocketAddr) -> Rc<Link> {
        let mut current = self.link.borrow_mut();
        if let Some(link) = current.as_ref().filter(|link| !link.outbox.is_closed()) {
            return Rc::clone(link);
        }
        let link = Rc::new(Link {
            outbox: Outbox::new(),
            pending: RefCell::new(HashMap::new()),
            heard: Cell::new(daemon.clock.now()),
            pinged: Cell::new(None),
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

    async fn connect(&self, daemon: &Rc<Daemon>, link: &Link, address: SocketAddr) -> String {
        let mut stream = match timeout(CONNECT_LIMIT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return format!("connect: {error}"),
            Err(_) => return "connect: no answer in time".to_owned(),
        };
        if let Err(error) = transport::socket::tune(&stream) {
            return format!("socket options: {error}");
        }
        link.heard.set(daemon.clock.now());
        let (mut reader, mut writer) = stream.split();
        let heard = || {
            link.heard.set(daemon.clock.now());
            link.pinged.set(None);
        };
        let read = read_frames(&mut reader, heard, |frame, body| {
            self.take(daemon, link, frame, body);
            ControlFlow::<Infallible>::Continue(())
        });
        tokio::select! {
            Err(lost) = read => lost.to_string(),
            result = link.outbox.write_to(&mut writer) => {
                result.map_or_else(|error| format!("write: {error}"), |()| "written".to_owned())
            }
            () = link.outbox.closed() => "given up without a sign of life".to_owned(),
        }
    }

    fn take(&self, daemon: &Rc<Daemon>, link: &Link, frame: Frame, body: Bytes) {
        let (stream, outcome, load) = match frame {
            Frame::Response {
                stream,
                response,
                load,
            } => (stream, Outcome::Answered(response, body), load),
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
                self.target.borrow_mut().record_load(now, load.into());
                return;
            }
            Frame::Pong => return,
            Frame::Hello { .. }
            | Frame::Call { .. }
            | Frame::Cancel { .. }
            | Frame::Ping
            | Frame::AskState => {
                warn!(event = "peer_frame_unexpected", vm = &*self.vm; "closing the connection");
                link.outbox.close();
                return;
            }
        };
        self.target
            .borrow_mut()
            .record_load(daemon.clock.now(), load.into());
        let pending = link.pending.borrow_mut().remove(&stream);
        if let Some(pending) = pending {
            // The caller may have stopped waiting in this turn.
            drop(pending.sender.send((outcome, load)));
        }
    }

    fn disconnected(&self, daemon: &Rc<Daemon>, link: &Link, cause: &str) {
        link.outbox.close();
        let pending = link.pending.take();
        self.target.borrow_mut().record_failure(daemon.clock.now());
        info!(event = "peer_lost", vm = &*self.vm, cause = cause, calls = pending.len(); "");
        for (_, call) in pending {
            let outcome = if link.outbox.may_have_been_sent(call.end) {
                Outcome::Unknown(Unknown::Disconnected)
            } else {
                Outcome::NotRun(NotRun::Unreachable)
            };
            drop(call.sender.send((outcome, Load::default())));
        }
    }

    fn check(&self, now: Instant) {
        let link = self.link.borrow().clone();
        let Some(link) = link.filter(|link| !link.outbox.is_closed()) else {
            return;
        };
        match link.pinged.get() {
            Some(asked) if now.saturating_duration_since(asked) >= PONG_LIMIT => {
                link.outbox.close();
            }
            Some(_) => {}
            None => {
                let waits = !link.pending.borrow().is_empty();
                if waits && now.saturating_duration_since(link.heard.get()) >= PING_AFTER {
                    link.outbox.push(&Frame::Ping, &[]);
                    link.pinged.set(Some(now));
                }
            }
        }
    }
}

/// All other VMs.
#[derive(Debug, Default)]
pub struct Peers(RefCell<HashMap<VmId, Rc<Peer>>>);

impl Peers {
    /// The VM with this name.
    pub fn get(&self, vm: &VmId) -> Rc<Peer> {
        let mut peers = self.0.borrow_mut();
        let peer = peers
            .entry(VmId::clone(vm))
            .or_insert_with(|| Rc::new(Peer::new(VmId::clone(vm))));
        Rc::clone(peer)
    }

    /// Whether the gate of a VM was heard a short time ago.
    #[must_use]
    pub fn is_alive(&self, now: Instant, vm: &str) -> bool {
        self.0
            .borrow()
            .get(vm)
            .is_some_and(|peer| peer.is_alive(now))
    }

    /// Forgets a VM that is no longer part of the fleet.
    pub fn remove(&self, vm: &VmId) {
        let peer = self.0.borrow_mut().remove(vm);
        let link = peer.and_then(|peer| peer.link.borrow_mut().take());
        if let Some(link) = link {
            link.outbox.close();
        }
    }

    /// Looks for silent connections as long as the daemon runs.
    pub async fn monitor(&self, daemon: &Rc<Daemon>) {
        loop {
            tokio::time::sleep(CHECK).await;
            let peers: Vec<Rc<Peer>> = self.0.borrow().values().cloned().collect();
            let now = daemon.clock.now();
            for peer in peers {
                peer.check(now);
            }
        }
    }
}

/// Asks another daemon for the configuration and the fleet that it knows.
pub async fn request_state(daemon: &Rc<Daemon>, address: SocketAddr) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let outbox = Outbox::new();
        let hello = Frame::Hello {
            protocol: PROTOCOL_VERSION,
            vm: daemon.vm.to_string(),
        };
        outbox.push(&hello, &[]);
        outbox.push(&Frame::AskState, &[]);
        let (mut reader, mut writer) = stream.split();
        let read = read_frames(
            &mut reader,
            || {},
            |frame, body| match frame {
                Frame::State { entries, revision } => {
                    daemon.merge_state(&entries, revision, &body);
                    ControlFlow::Break(())
                }
                _ => ControlFlow::Continue(()),
            },
        );
        tokio::select! {
            answer = read => answer.ok(),
            _ = outbox.write_to(&mut writer) => None,
        }
    };
    matches!(timeout(CONNECT_LIMIT * 3, ask).await, Ok(Some(())))
}
