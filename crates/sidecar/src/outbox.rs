//! Bytes that wait to be written to a connection between daemons.
//!
//! Frames that are pushed in one turn of the event loop leave in one write. The counters tell whether
//! a frame can have reached the other side: one whose last byte was not handed to the socket has not.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::Notify;

use crate::frame::{Encoder, Frame};

#[cfg(test)]
mod tests;

/// Bytes that may wait. A peer that does not read for so long is treated as failed.
const MAX_WAITING: usize = 24 << 20;

#[derive(Debug, Default)]
struct Inner {
    encoder: RefCell<Encoder>,
    buffer: RefCell<Vec<u8>>,
    pushed: Cell<u64>,
    written: Cell<u64>,
    closed: Cell<bool>,
    filled: Notify,
    close_notify: Notify,
}

/// Queue of frames for one connection.
#[derive(Clone, Debug, Default)]
pub struct Outbox(Rc<Inner>);

impl Outbox {
    /// An empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Queues a frame; returns the position of its last byte, or `None` when the connection is
    /// closed or has too much waiting.
    #[allow(
        clippy::must_use_candidate,
        reason = "a lost connection is noticed by its reader too"
    )]
    pub fn push(&self, frame: &Frame, body: &[u8]) -> Option<u64> {
        if self.0.closed.get() {
            return None;
        }
        let mut buffer = self.0.buffer.borrow_mut();
        let before = buffer.len();
        if before + body.len() > MAX_WAITING {
            return None;
        }
        let mut encoder = self.0.encoder.borrow_mut();
        encoder.encode(frame, body, &mut buffer);
        let end = self.0.pushed.get() + (buffer.len() - before) as u64;
        self.0.pushed.set(end);
        self.0.filled.notify_one();
        Some(end)
    }

    /// Whether the byte at a position can have reached the other side.
    #[must_use]
    pub fn may_have_been_sent(&self, position: u64) -> bool {
        self.0.written.get() >= position
    }

    /// Ends the connection.
    pub fn close(&self) {
        self.0.closed.set(true);
        self.0.close_notify.notify_one();
    }

    /// Whether the connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.0.closed.get()
    }

    /// Waits for the end of the connection.
    pub async fn closed(&self) {
        while !self.0.closed.get() {
            self.0.close_notify.notified().await;
        }
    }

    /// Writes frames as they come until the connection fails.
    ///
    /// # Errors
    ///
    /// Fails with the error of the connection.
    pub async fn write_to(&self, writer: &mut (impl AsyncWrite + Unpin)) -> std::io::Result<()> {
        loop {
            let bytes = std::mem::take(&mut *self.0.buffer.borrow_mut());
            if bytes.is_empty() {
                self.0.filled.notified().await;
                continue;
            }
            let mut rest = bytes.as_slice();
            while !rest.is_empty() {
                // A write that is dropped while it waits has taken no bytes, so none is missed here.
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
