//! Connections from other daemons: their calls to the endpoint beside this one.

use std::cell::RefCell;
use std::collections::HashMap;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use log::{info, warn};
use tokio::net::{TcpListener, TcpStream};

use crate::daemon::Daemon;
use crate::frame::{Frame, PROTOCOL_VERSION, StreamId};
use crate::gate::{Deadline, Job, JobId, OutcomeSender};
use crate::listener::accept;
use crate::outbox::Outbox;
use crate::reader::read_frames;

/// Calls of one connection after which the finished ones are forgotten.
const PURGE_AT: usize = 1_024;

/// Connections of other daemons, which are told when the endpoint changes.
#[derive(Debug, Default)]
pub struct Subscribers(RefCell<Vec<Outbox>>);

impl Subscribers {
    /// Sends a frame to all daemons that are connected.
    pub fn notify(&self, frame: &Frame) {
        self.0.borrow_mut().retain(|outbox| {
            if outbox.push(frame, &[]).is_none() {
                outbox.close();
            }
            !outbox.is_closed()
        });
    }

    fn add(&self, outbox: Outbox) {
        self.0.borrow_mut().push(outbox);
    }
}

/// Accepts connections of other daemons as long as the daemon runs.
pub async fn listen(daemon: Rc<Daemon>, listener: TcpListener) {
    accept(listener, "peers", |stream| {
        tokio::task::spawn_local(serve(Rc::clone(&daemon), stream));
    })
    .await;
}

struct Connection {
    daemon: Rc<Daemon>,
    outbox: Outbox,
    jobs: RefCell<HashMap<StreamId, JobId>>,
}

async fn serve(daemon: Rc<Daemon>, mut stream: TcpStream) {
    if let Err(error) = transport::socket::tune(&stream) {
        warn!(event = "socket_options_refused", error:% = error; "");
        return;
    }
    let connection = Connection {
        daemon,
        outbox: Outbox::new(),
        jobs: RefCell::new(HashMap::new()),
    };
    let (mut reader, mut writer) = stream.split();
    let read = read_frames(
        &mut reader,
        || {},
        |frame, body| {
            if connection.take(frame, body) {
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
    connection.end();
}

impl Connection {
    /// Handles a frame; returns whether the connection goes on.
    fn take(&self, frame: Frame, body: Bytes) -> bool {
        match frame {
            Frame::Hello { protocol, vm } => {
                if protocol != PROTOCOL_VERSION {
                    warn!(event = "peer_protocol", vm = &*vm, found = protocol, expected = PROTOCOL_VERSION; "run the same release on all VMs");
                    return false;
                }
                self.outbox.push(&self.daemon.endpoint_frame(), &[]);
                self.daemon.subscribers.add(self.outbox.clone());
            }
            Frame::Call { stream, call } => {
                let left = Duration::from_micros(call.left_us);
                let deadline = Deadline {
                    at: self.daemon.clock.now() + left,
                    boot: self.daemon.clock.boot() + left,
                };
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
            Frame::Cancel { stream } => {
                let id = self.jobs.borrow_mut().remove(&stream);
                if let Some(id) = id {
                    self.daemon.gate.cancel(&self.daemon, id);
                }
            }
            Frame::Ping => {
                self.outbox.push(&Frame::Pong, &[]);
            }
            Frame::AskState => {
                let (frame, body) = self.daemon.state_frame();
                self.outbox.push(&frame, &body);
            }
            Frame::Endpoint { .. }
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

    fn remember(&self, stream: StreamId, id: JobId) {
        let mut jobs = self.jobs.borrow_mut();
        if jobs.len() >= PURGE_AT {
            jobs.retain(|_, id| self.daemon.gate.is_active(*id));
        }
        jobs.insert(stream, id);
    }

    /// Ends the calls of a daemon that no longer waits for them.
    fn end(&self) {
        self.outbox.close();
        for (_, id) in self.jobs.take() {
            self.daemon.gate.cancel(&self.daemon, id);
        }
    }
}
