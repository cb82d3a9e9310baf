//! Connections from other daemons, which carry their calls to the local endpoint.

use std::cell::RefCell;
use std::collections::HashMap;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use log::{info, warn};
use policy::id::VmId;
use tokio::net::{TcpListener, TcpStream};

use crate::arrivals::Arrivals;
use crate::daemon::Daemon;
use crate::forward;
use crate::frame::{Frame, Load, NotRun, PROTOCOL_VERSION, StreamId, Unknown};
use crate::gate::{Deadline, Job, JobId, OutcomeSender};
use crate::listener::accept;
use crate::memory::{Kind, MAX_BODY_BYTES};
use crate::outbox::Outbox;
use crate::reader::read_frames;

/// Number of remembered calls of one connection at which the finished ones are removed.
const PURGE_COUNT: usize = 1_024;

/// Time for which a body may stand still while memory is short: longer than a busy daemon does.
const MAX_BODY_STALL: Duration = Duration::from_secs(3);

/// Connections from other daemons, which are notified when the local endpoint changes.
#[derive(Debug, Default)]
pub struct Subscribers(RefCell<Vec<Subscriber>>);

/// A connection from another daemon.
#[derive(Debug)]
struct Subscriber {
    outbox: Outbox,
    arrivals: Arrivals,
}

impl Subscribers {
    /// Sends a frame to all connected daemons and removes closed connections.
    pub fn notify(&self, frame: &Frame) {
        self.0.borrow_mut().retain(|subscriber| {
            let outbox = &subscriber.outbox;
            if outbox.push(frame, &[]).is_none() {
                outbox.close();
            }
            !outbox.is_closed()
        });
    }

    /// Returns the number of responses that are being sent in parts.
    pub fn unsent_bodies(&self) -> usize {
        let subscribers = self.0.borrow();
        let unsent = |subscriber: &Subscriber| subscriber.outbox.unsent_bodies();
        subscribers.iter().map(unsent).sum()
    }

    /// Gives up bodies that daemons which stand still neither send nor take. An unsent response is
    /// reported as lost. A connection over which a request has stopped is closed, since its call must
    /// not run without its body.
    pub fn drop_stalled(&self) {
        for subscriber in &*self.0.borrow() {
            for stream in subscriber.outbox.withdraw_stalled(MAX_BODY_STALL) {
                let lost = Frame::Unknown {
                    stream,
                    reason: Unknown::TimedOut,
                    load: Load::default(),
                };
                subscriber.outbox.push(&lost, &[]);
            }
            if subscriber.arrivals.is_stalled(MAX_BODY_STALL) {
                subscriber.outbox.close();
            }
        }
    }

    fn add(&self, outbox: Outbox, arrivals: Arrivals) {
        let subscriber = Subscriber { outbox, arrivals };
        self.0.borrow_mut().push(subscriber);
    }
}

/// Accepts connections from other daemons as long as the daemon runs.
pub async fn listen(daemon: Rc<Daemon>, listener: TcpListener) {
    accept(listener, "peers", |stream| {
        tokio::task::spawn_local(serve(Rc::clone(&daemon), stream));
    })
    .await;
}

struct Connection {
    daemon: Rc<Daemon>,
    outbox: Outbox,
    /// VM of the other daemon, once it has stated it.
    vm: RefCell<Option<VmId>>,
    jobs: RefCell<HashMap<StreamId, JobId>>,
    arrivals: Arrivals,
}

async fn serve(daemon: Rc<Daemon>, mut stream: TcpStream) {
    if let Err(error) = transport::socket::tune(&stream) {
        warn!(event = "socket_options_refused", error:% = error; "");
        return;
    }
    let connection = Connection {
        outbox: Outbox::new(&daemon.budget),
        daemon,
        vm: RefCell::new(None),
        jobs: RefCell::new(HashMap::new()),
        arrivals: Arrivals::default(),
    };
    let (mut reader, mut writer) = stream.split();
    let read = read_frames(
        &mut reader,
        || {},
        |frame, body| {
            if connection.handle_frame(frame, body) {
                ControlFlow::Continue(())
            } else {
                ControlFlow::Break(())
            }
        },
    );
    tokio::select! {
        _ = read => {}
        _ = connection.outbox.write_to(&mut writer) => {}
        () = connection.outbox.closed() => {}
    }
    connection.close();
}

impl Connection {
    /// Handles a frame; returns whether the connection stays open.
    fn handle_frame(&self, frame: Frame, body: Bytes) -> bool {
        match frame {
            Frame::Hello { protocol, vm } => {
                if protocol != PROTOCOL_VERSION {
                    warn!(event = "peer_protocol", vm = &*vm, found = protocol, expected = PROTOCOL_VERSION; "run the same release on all VMs");
                    return false;
                }
                *self.vm.borrow_mut() = Some(vm.into());
                self.outbox.push(&self.daemon.endpoint_frame(), &[]);
                let subscribers = &self.daemon.subscribers;
                subscribers.add(self.outbox.clone(), self.arrivals.clone());
            }
            Frame::Call { stream, call } => {
                let budget = &self.daemon.budget;
                let Ok(body) = self.arrivals.take(stream, body, budget, Kind::Request) else {
                    return false;
                };
                let left = Duration::from_micros(call.left_us);
                let deadline = Deadline::after(&*self.daemon.clock, left);
                let sender = OutcomeSender::Peer {
                    outbox: self.outbox.clone(),
                    stream,
                };
                let job = Job {
                    call,
                    body,
                    deadline,
                    sender,
                };
                if let Some(id) = self.daemon.gate.submit(&self.daemon, job) {
                    self.remember(stream, id);
                }
            }
            Frame::Offer { stream, size } => return self.accept_offer(stream, size as usize),
            Frame::Part { stream } => return self.arrivals.append(stream, &body).is_ok(),
            Frame::Accept { stream } => self.outbox.accept(stream),
            Frame::Cancel { stream } => {
                self.arrivals.forget(stream);
                self.outbox.withdraw(stream);
                let id = self.jobs.borrow_mut().remove(&stream);
                if let Some(id) = id {
                    self.daemon.gate.cancel(&self.daemon, id);
                }
            }
            Frame::Withdraw { stream } => {
                let id = self.jobs.borrow().get(&stream).copied();
                if let Some(id) = id {
                    self.daemon.gate.withdraw(&self.daemon, id);
                }
            }
            Frame::Ping => {
                self.outbox.push(&Frame::Pong, &[]);
            }
            Frame::AskState => {
                let (frame, body) = self.daemon.state_frame();
                self.outbox.push(&frame, &body);
            }
            Frame::Record { vm, entry } => {
                let newest = self.daemon.keep_record(&vm, entry);
                self.outbox.push(&Frame::Recorded(newest), &[]);
            }
            Frame::QuotaAsk { organisation, ask } => {
                let Some(vm) = self.vm.borrow().clone() else {
                    return false;
                };
                let grant = self
                    .daemon
                    .quotas
                    .answer(&self.daemon, &vm, organisation, ask);
                let grant = Frame::QuotaGrant {
                    organisation,
                    grant,
                };
                self.outbox.push(&grant, &[]);
            }
            Frame::Endpoint { .. }
            | Frame::QuotaGrant { .. }
            | Frame::Recorded(_)
            | Frame::Response { .. }
            | Frame::NotRun { .. }
            | Frame::Unknown { .. }
            | Frame::Load(_)
            | Frame::Pong
            | Frame::State { .. } => {
                info!(event = "peer_frame_unexpected"; "closing the connection");
                return false;
            }
        }
        true
    }

    /// Makes room for the body of a call, or refuses the call; returns whether the connection stays
    /// open.
    fn accept_offer(&self, stream: StreamId, size: usize) -> bool {
        if size > MAX_BODY_BYTES {
            return false;
        }
        let mut grant = self.daemon.budget.grant(Kind::Request);
        if grant.resize(size) {
            self.arrivals.offer(stream, size);
            // The arrival was noted in the line above.
            let _ = self.arrivals.accept(stream, grant);
            self.outbox.push(&Frame::Accept { stream }, &[]);
        } else {
            forward::record_refused_body(&self.daemon, size);
            let refusal = Frame::NotRun {
                stream,
                reason: NotRun::Busy,
                load: self.daemon.gate.load(self.daemon.clock.now()),
            };
            self.outbox.push(&refusal, &[]);
        }
        true
    }

    /// Remembers the job of a call, so that the call can be cancelled.
    fn remember(&self, stream: StreamId, id: JobId) {
        let mut jobs = self.jobs.borrow_mut();
        if jobs.len() >= PURGE_COUNT {
            jobs.retain(|_, id| self.daemon.gate.is_active(*id));
        }
        jobs.insert(stream, id);
    }

    /// Closes the connection and cancels its calls, whose caller no longer waits.
    fn close(&self) {
        self.outbox.close();
        for (_, id) in self.jobs.take() {
            self.daemon.gate.cancel(&self.daemon, id);
        }
    }
}
