//! Send queue of a connection between daemons.
//!
//! Frames that are pushed in one turn of the event loop are sent in one write. Large bodies are sent
//! in parts while no frame waits, in turn, so that they do not delay frames or each other. Counters
//! of bytes show whether the peer can have received a frame: it cannot if the last byte of the frame
//! was not passed to the socket.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::frame::{Encoder, Frame, StreamId};
use crate::memory::{Budget, Grant, Kind};

#[cfg(test)]
mod tests;

/// Bytes that may wait to be written. A peer that lets more accumulate is treated as failed.
const MAX_QUEUED_BYTES: usize = 24 << 20;

/// Bytes of a large body that are sent at once. Frames wait for no more than that.
const PART_BYTES: usize = 32 << 10;

/// Queued bytes up to which the queue is not counted in the budget.
const MIN_COUNTED_BYTES: u64 = 4 << 10;

/// A large body that waits to be sent.
struct Outgoing {
    stream: StreamId,
    /// What has not been sent.
    rest: Bytes,
    /// Whether the peer has room for it.
    accepted: bool,
    /// When it was offered, or when a part was sent last.
    moved_at: Instant,
    /// Returns the frame of the call or response, which follows the body.
    finish: Box<dyn FnOnce() -> Frame>,
    /// Position after that frame.
    end: EndPosition,
}

impl fmt::Debug for Outgoing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Outgoing")
            .field("stream", &self.stream)
            .field("rest", &self.rest.len())
            .field("accepted", &self.accepted)
            .finish_non_exhaustive()
    }
}

/// Position after the last byte of a frame that follows a large body. It is not known before the
/// body has been sent.
#[derive(Clone, Debug)]
pub struct EndPosition(Rc<Cell<u64>>);

impl EndPosition {
    /// Whether the body has been sent.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.0.get() != u64::MAX
    }

    /// Returns the position; no position is reached before it is known.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

impl Default for EndPosition {
    fn default() -> Self {
        Self(Rc::new(Cell::new(u64::MAX)))
    }
}

#[derive(Debug)]
struct Inner {
    encoder: RefCell<Encoder>,
    buffer: RefCell<Vec<u8>>,
    outgoing: RefCell<VecDeque<Outgoing>>,
    /// Bytes of the queue.
    grant: RefCell<Grant>,
    /// Bytes that were queued so far.
    pushed: Cell<u64>,
    /// Bytes of the queue that the socket has accepted so far.
    written: Cell<u64>,
    closed: Cell<bool>,
    push_notify: Notify,
    close_notify: Notify,
}

/// Queue of frames for one connection.
#[derive(Clone, Debug)]
pub struct Outbox(Rc<Inner>);

impl Outbox {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(budget: &Arc<Budget>) -> Self {
        Self(Rc::new(Inner {
            encoder: RefCell::default(),
            buffer: RefCell::default(),
            outgoing: RefCell::default(),
            grant: RefCell::new(budget.grant(Kind::Outbox)),
            pushed: Cell::new(0),
            written: Cell::new(0),
            closed: Cell::new(false),
            push_notify: Notify::new(),
            close_notify: Notify::new(),
        }))
    }

    /// Queues a frame; returns the position after its last byte, or `None` when the connection is
    /// closed or too many bytes wait.
    #[allow(
        clippy::must_use_candidate,
        reason = "the reader of a broken connection notices the failure too"
    )]
    pub fn push(&self, frame: &Frame, body: &[u8]) -> Option<u64> {
        if self.0.closed.get() {
            return None;
        }
        let mut buffer = self.0.buffer.borrow_mut();
        let before = buffer.len();
        let waiting = self.0.pushed.get() - self.0.written.get();
        if waiting as usize + body.len() > MAX_QUEUED_BYTES {
            return None;
        }
        let mut encoder = self.0.encoder.borrow_mut();
        encoder.encode(frame, body, &mut buffer);
        let end = self.0.pushed.get() + (buffer.len() - before) as u64;
        self.0.pushed.set(end);
        self.count_queued();
        self.0.push_notify.notify_one();
        Some(end)
    }

    /// Offers a large body and queues it; `finish` returns the frame that follows it. Returns the
    /// position after that frame, or `None` when the connection is closed.
    #[allow(
        clippy::must_use_candidate,
        reason = "the reader of a broken connection notices the failure too"
    )]
    pub fn push_large(
        &self,
        stream: StreamId,
        body: Bytes,
        finish: impl FnOnce() -> Frame + 'static,
    ) -> Option<EndPosition> {
        let size = u32::try_from(body.len()).ok()?;
        self.push(&Frame::Offer { stream, size }, &[])?;
        let end = EndPosition::default();
        self.0.outgoing.borrow_mut().push_back(Outgoing {
            stream,
            rest: body,
            accepted: false,
            moved_at: Instant::now(),
            finish: Box::new(finish),
            end: end.clone(),
        });
        Some(end)
    }

    /// Starts to send a body for which the peer has room.
    pub fn accept(&self, stream: StreamId) {
        let mut outgoing = self.0.outgoing.borrow_mut();
        if let Some(found) = outgoing.iter_mut().find(|body| body.stream == stream) {
            found.accepted = true;
            self.0.push_notify.notify_one();
        }
    }

    /// Drops a body that the peer no longer expects. The frame after it is not sent.
    pub fn withdraw(&self, stream: StreamId) {
        let mut outgoing = self.0.outgoing.borrow_mut();
        outgoing.retain(|body| body.stream != stream);
    }

    /// Drops the bodies that have not moved for this long; returns their calls.
    #[must_use]
    pub fn withdraw_stalled(&self, time: Duration) -> Vec<StreamId> {
        let mut outgoing = self.0.outgoing.borrow_mut();
        let is_stalled = |body: &Outgoing| body.moved_at.elapsed() >= time;
        let stalled = outgoing.iter().filter(|body| is_stalled(body));
        let streams = stalled.map(|body| body.stream).collect();
        outgoing.retain(|body| !is_stalled(body));
        streams
    }

    /// Returns the number of large bodies that have not been sent whole.
    #[must_use]
    pub fn unsent_bodies(&self) -> usize {
        self.0.outgoing.borrow().len()
    }

    /// Whether the bytes up to a position can have reached the peer.
    #[must_use]
    pub fn may_have_been_sent(&self, position: u64) -> bool {
        self.0.written.get() >= position
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.0.closed.set(true);
        self.0.outgoing.borrow_mut().clear();
        self.0.close_notify.notify_one();
    }

    /// Whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.0.closed.get()
    }

    /// Waits until the connection is closed.
    pub async fn closed(&self) {
        while !self.0.closed.get() {
            self.0.close_notify.notified().await;
        }
    }

    /// Counts the queue in the budget once it is long.
    fn count_queued(&self) {
        let queued = self.0.pushed.get() - self.0.written.get();
        let counted = if queued < MIN_COUNTED_BYTES {
            0
        } else {
            queued as usize
        };
        self.0.grant.borrow_mut().force(counted);
    }

    /// Takes the next part of the large body whose turn it is, with the head of its frame. Queues
    /// the frame of the call or response after the last part.
    fn next_part(&self) -> Option<(Vec<u8>, Bytes)> {
        let mut outgoing = self.0.outgoing.borrow_mut();
        let index = outgoing.iter().position(|body| body.accepted)?;
        let mut body = outgoing.remove(index)?;
        body.moved_at = Instant::now();
        let part = body.rest.split_to(body.rest.len().min(PART_BYTES));
        let frame = Frame::Part {
            stream: body.stream,
        };
        let mut head = Vec::with_capacity(16);
        let mut encoder = self.0.encoder.borrow_mut();
        encoder.encode_head(&frame, part.len(), &mut head);
        drop(encoder);
        if body.rest.is_empty() {
            drop(outgoing);
            // The part is written before the queue is looked at again.
            if let Some(end) = self.push(&(body.finish)(), &[]) {
                body.end.0.set(end);
            }
        } else {
            outgoing.push_back(body);
        }
        Some((head, part))
    }

    /// Writes queued frames until the connection fails.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub async fn write_to(&self, writer: &mut (impl AsyncWrite + Unpin)) -> std::io::Result<()> {
        loop {
            let bytes = std::mem::take(&mut *self.0.buffer.borrow_mut());
            if bytes.is_empty() {
                if let Some((head, part)) = self.next_part() {
                    writer.write_all_buf(&mut head.chain(part)).await?;
                } else {
                    self.0.push_notify.notified().await;
                }
                continue;
            }
            let mut rest = bytes.as_slice();
            while !rest.is_empty() {
                // A write that is cancelled while it waits has sent no bytes, so the count is
                // exact.
                let count = writer.write(rest).await?;
                if count == 0 {
                    return Err(std::io::ErrorKind::WriteZero.into());
                }
                self.0.written.set(self.0.written.get() + count as u64);
                rest = &rest[count..];
            }
            self.count_queued();
        }
    }
}
