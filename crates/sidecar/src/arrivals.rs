//! Large bodies that arrive from another daemon in parts.
//!
//! The sender offers a body, and sends it once the receiver has room for the whole of it. The frame
//! of its call or response follows the last part, so a gate knows nothing of a call whose body is
//! incomplete.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::time::Instant;
use transport::buffer::BodyBuffer;

use crate::frame::StreamId;
use crate::memory::{Budget, Grant, Kind, SMALL_BODY_BYTES};

/// A body that is arriving.
#[derive(Debug)]
struct Arrival {
    size: usize,
    bytes: BodyBuffer,
    /// Room for it; `None` while it waits for some.
    grant: Option<Grant>,
    /// When a part arrived last.
    moved_at: Instant,
    /// Dropped with the arrival, when it is no longer expected.
    expected: Option<oneshot::Sender<()>>,
}

/// Bodies that are arriving on one connection.
#[derive(Clone, Debug, Default)]
pub struct Arrivals(Rc<RefCell<HashMap<StreamId, Arrival>>>);

/// The other daemon broke the rules of the transfer.
#[derive(Debug)]
pub struct BadTransfer;

impl Arrivals {
    /// Notes an offer, for which there is no room yet.
    pub fn offer(&self, stream: StreamId, size: usize) {
        let arrival = Arrival {
            size,
            bytes: BodyBuffer::default(),
            grant: None,
            moved_at: Instant::now(),
            expected: None,
        };
        self.0.borrow_mut().insert(stream, arrival);
    }

    /// Returns when an offered body is no longer expected.
    pub async fn forgotten(&self, stream: StreamId) {
        let (sender, receiver) = oneshot::channel();
        if let Some(arrival) = self.0.borrow_mut().get_mut(&stream) {
            arrival.expected = Some(sender);
        }
        // The sender is never used: it is dropped with the arrival.
        let _ = receiver.await;
    }

    /// Gives an offered body its room; returns whether it is still expected.
    #[must_use]
    pub fn accept(&self, stream: StreamId, grant: Grant) -> bool {
        let mut arrivals = self.0.borrow_mut();
        let Some(arrival) = arrivals.get_mut(&stream) else {
            return false;
        };
        arrival.bytes.reserve(arrival.size);
        arrival.grant = Some(grant);
        arrival.moved_at = Instant::now();
        true
    }

    /// Appends a part. Parts of bodies that are no longer expected are dropped.
    ///
    /// # Errors
    ///
    /// Fails when more arrives than was offered, or without room.
    pub fn append(&self, stream: StreamId, part: &[u8]) -> Result<(), BadTransfer> {
        let mut arrivals = self.0.borrow_mut();
        let Some(arrival) = arrivals.get_mut(&stream) else {
            return Ok(());
        };
        if arrival.grant.is_none() || arrival.bytes.len() + part.len() > arrival.size {
            return Err(BadTransfer);
        }
        arrival.bytes.extend_from_slice(part);
        arrival.moved_at = Instant::now();
        Ok(())
    }

    /// Returns the body of a call or response: the one that has arrived in parts, if there is one,
    /// else that of its frame, which is held already.
    ///
    /// # Errors
    ///
    /// Fails when the parts are incomplete.
    pub fn take(
        &self,
        stream: StreamId,
        body: Bytes,
        budget: &Arc<Budget>,
        kind: Kind,
    ) -> Result<Bytes, BadTransfer> {
        let Some(arrival) = self.0.borrow_mut().remove(&stream) else {
            return Ok(Grant::attach_forced(budget, kind, body));
        };
        match arrival.grant {
            Some(grant) if arrival.bytes.len() == arrival.size => {
                Ok(grant.attach(arrival.bytes.freeze()))
            }
            _ => Err(BadTransfer),
        }
    }

    /// Drops a body that is no longer expected.
    pub fn forget(&self, stream: StreamId) {
        self.0.borrow_mut().remove(&stream);
    }

    /// Whether a body with room has not moved for this long.
    #[must_use]
    pub fn is_stalled(&self, time: Duration) -> bool {
        let arrivals = self.0.borrow();
        let mut accepted = arrivals.values().filter(|arrival| arrival.grant.is_some());
        accepted.any(|arrival| arrival.moved_at.elapsed() >= time)
    }

    /// Drops all bodies.
    pub fn clear(&self) {
        self.0.borrow_mut().clear();
    }
}

/// Whether a body of this size crosses between daemons in parts.
#[must_use]
pub fn is_large(size: usize) -> bool {
    size > SMALL_BODY_BYTES
}
