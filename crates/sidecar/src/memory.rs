//! Budget of the bytes that the daemon holds for others.
//!
//! Every body, and every buffer that a slow client or daemon can fill, is counted in one [`Budget`].
//! A [`Grant`] is a part of it and is given back when dropped; [`Grant::attach`] ties one to a body,
//! so that it is given back with the last copy of the body. The budget has three parts: the reserve,
//! which takes one body of the largest allowed size, room for small bodies, and the rest.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::Notify;

#[cfg(test)]
mod tests;

/// Largest body, and the size of the reserve.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// Size up to which a body counts as small: it may use the room that larger ones leave, and it
/// crosses between daemons in one frame.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

/// Size from which a body has a grant of its own. Smaller ones are counted with their request.
const MIN_ATTACHED_BYTES: usize = 4 << 10;

/// Room for small bodies, unless an eighth of the shared part is less.
const SMALL_ROOM_BYTES: usize = 8 << 20;

/// What bytes are held for.
///
/// The names of the variants are labels of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests of clients and of other daemons.
    Request,
    /// Responses of the endpoint and of other daemons.
    Response,
    /// Encoded responses that a client has not read.
    Unread,
    /// Bytes of further requests that a client has sent.
    Buffer,
    /// Frames that another daemon has not read.
    Outbox,
}

/// All kinds, with their labels.
pub const KINDS: [(Kind, &str); 5] = [
    (Kind::Request, "request"),
    (Kind::Response, "response"),
    (Kind::Unread, "unread"),
    (Kind::Buffer, "buffer"),
    (Kind::Outbox, "outbox"),
];

/// Part of the budget that a grant belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Shared,
    Reserve,
}

#[derive(Debug)]
struct State {
    limit: usize,
    /// Bytes held in the shared part.
    shared: usize,
    /// Whether a grant has the reserve.
    reserved: bool,
    by_kind: [usize; KINDS.len()],
    /// Bytes that wait for room.
    waiting: usize,
    /// Bytes that were refused since the last look at the shortage.
    refused: usize,
}

impl State {
    fn reserve(&self) -> usize {
        MAX_BODY_BYTES.min(self.limit / 8 * 5)
    }

    /// Returns the limit of the shared part for a grant of this size.
    fn shared_limit(&self, bytes: usize) -> usize {
        let shared = self.limit - self.reserve();
        if bytes <= SMALL_BODY_BYTES {
            shared
        } else {
            shared - SMALL_ROOM_BYTES.min(shared / 8)
        }
    }
}

/// Budget of one process.
#[derive(Debug)]
pub struct Budget {
    state: Mutex<State>,
    released: Notify,
    /// Orders the small and the large grants that wait, so that none waits forever.
    turns: [tokio::sync::Mutex<()>; 2],
}

impl Budget {
    /// Creates a budget of this many bytes.
    #[must_use]
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                limit,
                shared: 0,
                reserved: false,
                by_kind: [0; KINDS.len()],
                waiting: 0,
                refused: 0,
            }),
            released: Notify::new(),
            turns: Default::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the limit.
    pub fn set_limit(&self, limit: usize) {
        self.state().limit = limit;
        self.released.notify_waiters();
    }

    /// Returns the bytes held in total.
    #[must_use]
    pub fn held(&self) -> usize {
        self.state().by_kind.iter().sum()
    }

    /// Returns the bytes held for a purpose.
    #[must_use]
    pub fn held_for(&self, kind: Kind) -> usize {
        self.state().by_kind[kind as usize]
    }

    /// Returns the bytes that wait for room, were refused since the last call, or exceed the limit.
    #[must_use]
    pub fn take_shortage(&self) -> usize {
        let mut state = self.state();
        let over = state.shared.saturating_sub(state.shared_limit(0));
        state.waiting + std::mem::take(&mut state.refused) + over
    }

    /// Returns the size of the largest body for which there can ever be room.
    #[must_use]
    pub fn largest(&self) -> usize {
        let state = self.state();
        state.reserve().max(state.shared_limit(MAX_BODY_BYTES))
    }

    /// Whether there is room for a small body.
    #[must_use]
    pub fn has_room(&self) -> bool {
        let state = self.state();
        state.shared < state.shared_limit(0)
    }

    /// Returns an empty grant.
    #[must_use]
    pub fn grant(self: &Arc<Self>, kind: Kind) -> Grant {
        Grant {
            budget: Arc::clone(self),
            kind,
            bytes: 0,
            part: Part::Shared,
        }
    }
}

/// Bytes of a [`Budget`], given back when dropped.
pub struct Grant {
    budget: Arc<Budget>,
    kind: Kind,
    bytes: usize,
    part: Part,
}

impl fmt::Debug for Grant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Grant")
            .field("kind", &self.kind)
            .field("bytes", &self.bytes)
            .field("part", &self.part)
            .finish_non_exhaustive()
    }
}

/// Counts bytes as waiting until it is dropped.
struct Waiting<'a> {
    budget: &'a Budget,
    bytes: usize,
}

impl<'a> Waiting<'a> {
    fn new(budget: &'a Budget, bytes: usize) -> Self {
        budget.state().waiting += bytes;
        Self { budget, bytes }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.budget.state().waiting -= self.bytes;
    }
}

impl Grant {
    /// Returns the bytes that are granted.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the largest size for which there can ever be room.
    #[must_use]
    pub fn largest(&self) -> usize {
        self.budget.largest()
    }

    /// Sets the size; returns whether there is room for it. Without room nothing changes.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        // Responses that wait go before new large bodies.
        let is_behind = bytes > SMALL_BODY_BYTES && self.budget.state().waiting > 0;
        let fits = !(is_behind && bytes > self.bytes) && self.try_resize(bytes);
        if !fits {
            self.budget.state().refused += bytes - self.bytes;
        }
        fits
    }

    fn try_resize(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            self.set(bytes);
            return true;
        }
        let mut state = self.budget.state();
        let reserve = state.reserve();
        match self.part {
            Part::Reserve if bytes > reserve => return false,
            Part::Reserve => {}
            Part::Shared if state.shared + bytes - self.bytes <= state.shared_limit(bytes) => {}
            Part::Shared => {
                if bytes <= SMALL_BODY_BYTES || bytes > reserve || state.reserved {
                    return false;
                }
                state.shared -= self.bytes;
                state.reserved = true;
                self.part = Part::Reserve;
            }
        }
        drop(state);
        self.set(bytes);
        true
    }

    /// Sets the size whether or not there is room: the bytes are held already.
    pub fn force(&mut self, bytes: usize) {
        if bytes != self.bytes {
            self.set(bytes);
        }
    }

    /// Sets the size once there is room for it.
    pub async fn resize_when_free(&mut self, bytes: usize) {
        if bytes <= self.bytes {
            self.force(bytes);
            return;
        }
        let budget = Arc::clone(&self.budget);
        let turn = &budget.turns[usize::from(bytes > SMALL_BODY_BYTES)];
        if turn.try_lock().is_ok() && self.try_resize(bytes) {
            return;
        }
        let _waiting = Waiting::new(&budget, bytes - self.bytes);
        let _turn = turn.lock().await;
        loop {
            let released = budget.released.notified();
            if self.try_resize(bytes) {
                return;
            }
            released.await;
        }
    }

    fn set(&mut self, bytes: usize) {
        let mut state = self.budget.state();
        let by_kind = &mut state.by_kind[self.kind as usize];
        *by_kind = *by_kind - self.bytes + bytes;
        match self.part {
            Part::Shared => state.shared = state.shared - self.bytes + bytes,
            Part::Reserve => {}
        }
        if bytes == 0 && self.part == Part::Reserve {
            state.reserved = false;
            self.part = Part::Shared;
        }
        drop(state);
        if bytes < self.bytes {
            self.budget.released.notify_waiters();
        }
        self.bytes = bytes;
    }

    /// Ties the grant to a body: it is given back when the last copy of the body is dropped.
    #[must_use]
    pub fn attach(self, body: Bytes) -> Bytes {
        if body.len() < MIN_ATTACHED_BYTES {
            return body;
        }
        Bytes::from_owner(Granted { body, _grant: self })
    }

    /// Ties a grant to a body that is held already, whether or not there is room.
    #[must_use]
    pub fn attach_forced(budget: &Arc<Budget>, kind: Kind, body: Bytes) -> Bytes {
        if body.len() < MIN_ATTACHED_BYTES {
            return body;
        }
        let mut grant = budget.grant(kind);
        grant.force(body.len());
        grant.attach(body)
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.set(0);
        }
    }
}

/// A body with its grant.
struct Granted {
    body: Bytes,
    _grant: Grant,
}

impl AsRef<[u8]> for Granted {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
