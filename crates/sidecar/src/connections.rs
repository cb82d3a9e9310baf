//! Register of the connections of clients.
//!
//! It bounds their number and decides which of them is closed when memory or descriptors run short:
//! the one that has made the least progress for the longest time, or the longest idle one.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use log::info;
use slab::Slab;
use tokio::sync::Notify;

use crate::daemon::Daemon;

#[cfg(test)]
mod tests;

/// Bytes that a client must take or send to count as having made progress.
const PROGRESS_BYTES: usize = 64 << 10;

/// Time without progress before which a client is not closed for memory. An ordinary client that
/// waits for its processor takes less.
const MIN_STALL_TIME: Duration = Duration::from_secs(1);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// For the next request.
    Request,
    /// For this daemon.
    Daemon,
    /// For the client, which must take or send bytes.
    Client,
}

/// Connection of a client.
#[derive(Debug)]
pub struct ClientState {
    wait: Cell<Wait>,
    /// When the wait began, or when the client last made progress.
    since: Cell<Instant>,
    /// Bytes that the client has taken or sent since then.
    moved: Cell<usize>,
    /// Bytes that are held until the client makes progress.
    held: Cell<usize>,
    closed: Cell<bool>,
    close_notify: Notify,
}

impl ClientState {
    fn new(now: Instant) -> Self {
        Self {
            wait: Cell::new(Wait::Request),
            since: Cell::new(now),
            moved: Cell::new(0),
            held: Cell::new(0),
            closed: Cell::new(false),
            close_notify: Notify::new(),
        }
    }

    /// Sets what the connection waits for, and how many bytes are held meanwhile.
    pub fn set_wait(&self, now: Instant, wait: Wait, held: usize) {
        self.held.set(held);
        if self.wait.replace(wait) != wait {
            self.since.set(now);
            self.moved.set(0);
        }
    }

    /// Counts bytes that the client has taken or sent.
    pub fn record_progress(&self, now: Instant, bytes: usize) {
        let moved = self.moved.get() + bytes;
        if moved >= PROGRESS_BYTES {
            self.since.set(now);
            self.moved.set(0);
        } else {
            self.moved.set(moved);
        }
    }

    /// Returns when the wait began, or when the client last made progress.
    #[must_use]
    pub fn since(&self) -> Instant {
        self.since.get()
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        while !self.closed.get() {
            self.close_notify.notified().await;
        }
    }

    /// Whether the daemon has decided to close the connection.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    fn close(&self) {
        self.closed.set(true);
        self.close_notify.notify_one();
    }
}

/// Connections of clients that are open.
#[derive(Debug, Default)]
pub struct Connections(RefCell<Slab<Rc<ClientState>>>);

/// A connection in the register, removed when dropped.
#[derive(Debug)]
pub struct Registered {
    daemon: Rc<Daemon>,
    key: usize,
    /// Its state.
    pub state: Rc<ClientState>,
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.daemon.connections.0.borrow_mut().remove(self.key);
    }
}

impl Connections {
    /// Registers a connection; `None` if there are too many and none of them is idle.
    #[must_use]
    pub fn register(daemon: &Rc<Daemon>) -> Option<Registered> {
        let now = daemon.clock.now();
        let limit = daemon.settings.borrow().memory.client_connections();
        let mut entries = daemon.connections.0.borrow_mut();
        if entries.len() >= limit {
            let close = |wait| Self::close_worst(&entries, wait, now, Duration::ZERO);
            let closed = close(Wait::Request).or_else(|| close(Wait::Client));
            daemon.metrics.memory.crowded.inc();
            if daemon.log_limiter.allows(now, "connections_full") {
                info!(event = "connections_full", limit = limit, closed_another = closed.is_some(); "raise memory.client_connections if the process may have more descriptors");
            }
            closed?;
        }
        let state = Rc::new(ClientState::new(now));
        let key = entries.insert(Rc::clone(&state));
        drop(entries);
        Some(Registered {
            daemon: Rc::clone(daemon),
            key,
            state,
        })
    }

    /// Closes the connection that has waited longest, if that is at least this long; returns for how
    /// long, and how many bytes are held for it.
    fn close_worst(
        entries: &Slab<Rc<ClientState>>,
        wait: Wait,
        now: Instant,
        least: Duration,
    ) -> Option<(Duration, usize)> {
        let waiting = entries
            .iter()
            .map(|(_, state)| state)
            .filter(|state| state.wait.get() == wait && !state.closed.get());
        let worst = waiting.min_by_key(|state| state.since.get())?;
        let time = now.saturating_duration_since(worst.since.get());
        if time < least {
            return None;
        }
        worst.close();
        Some((time, worst.held.get()))
    }

    /// Closes the connections whose clients have made no progress for longest until enough memory
    /// is free for what waits.
    pub fn relieve(&self, daemon: &Daemon) {
        let mut shortage = daemon.budget.take_shortage();
        if shortage == 0 {
            return;
        }
        daemon.subscribers.drop_stalled();
        let now = daemon.clock.now();
        let entries = self.0.borrow();
        while shortage > 0 {
            let worst = Self::close_worst(&entries, Wait::Client, now, MIN_STALL_TIME);
            let Some((time, held)) = worst else {
                return;
            };
            shortage = shortage.saturating_sub(held.max(1));
            daemon.metrics.memory.slow_closed.inc();
            if daemon.log_limiter.allows(now, "slow_client_closed") {
                info!(event = "slow_client_closed", stalled_ms = time.as_millis() as u64, held = held, total = daemon.budget.held(); "memory is short");
            }
        }
    }
}
