//! Send queue of a connection between daemons.
//!
//! Frames that are pushed in one turn of the event loop are sent in one write. Counters of bytes
//! show whether the peer can have received a frame: it cannot if the last byte of the frame was not
//! passed to the socket.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::Notify;

use crate::frame::{Encoder, Frame};

#[cfg(test)]
mod tests;

/// Bytes that may wait to be written. A peer that lets more accumulate is treated as failed.
const MAX_QUEUED_BYTES: usize = 24 << 20;

#[derive(Debug, Default)]
struct Inner {
    encoder: RefCell<Encoder>,
    buffer: RefCell<Vec<u8>>,
    /// Bytes that were queued so far.
    pushed: Cell<u64>,
    /// Bytes that the socket has accepted so far.
    written: Cell<u64>,
    closed: Cell<bool>,
    push_notify: Notify,
    close_notify: Notify,
}

/// Queue of frames for one connection.
#[derive(Clone, Debug, Default)]
pub struct Outbox(Rc<Inner>);

impl Outbox {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
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
        if before + body.len() > MAX_QUEUED_BYTES {
            return None;
        }
        let mut encoder = self.0.encoder.borrow_mut();
        encoder.encode(frame, body, &mut buffer);
        let end = self.0.pushed.get() + (buffer.len() - before) as u64;
        self.0.pushed.set(end);
        self.0.push_notify.notify_one();
        Some(end)
    }

    /// Whether the bytes up to a position can have reached the peer.
    #[must_use]
    pub fn may_have_been_sent(&self, position: u64) -> bool {
        self.0.written.get() >= position
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.0.closed.set(true);
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

    /// Writes queued frames until the connection fails.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub async fn write_to(&self, writer: &mut (impl AsyncWrite + Unpin)) -> std::io::Result<()> {
        loop {
            let bytes = std::mem::take(&mut *self.0.buffer.borrow_mut());
            if bytes.is_empty() {
                self.0.push_notify.notified().await;
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
        }
    }
}
