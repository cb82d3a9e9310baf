//! Counters of the calls to the platform.

use std::sync::atomic::{AtomicU64, Ordering};

/// Calls sent since the start, by kind. The service bills each of them; a waiting watch is one
/// call.
#[derive(Debug, Default)]
pub struct Counters {
    reads: AtomicU64,
    lists: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    leases: AtomicU64,
    conflicts: AtomicU64,
    failures: AtomicU64,
    waiting: AtomicU64,
}

/// Values of [`Counters`] at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CounterSnapshot {
    /// Reads of single keys.
    pub reads: u64,
    /// Reads of all keys with a prefix.
    pub lists: u64,
    /// Writes, conflicting ones included.
    pub writes: u64,
    /// Watches started.
    pub watches: u64,
    /// Leases granted or renewed.
    pub leases: u64,
    /// Writes refused because the revision had changed.
    pub conflicts: u64,
    /// Calls that ended without a complete response.
    pub failures: u64,
    /// Watches that are waiting.
    pub waiting: u64,
}

/// Kind of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallKind {
    Read,
    List,
    Write,
    Watch,
    Lease,
}

impl Counters {
    /// Returns the current values.
    #[must_use]
    pub fn snapshot(&self) -> CounterSnapshot {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        CounterSnapshot {
            reads: get(&self.reads),
            lists: get(&self.lists),
            writes: get(&self.writes),
            watches: get(&self.watches),
            leases: get(&self.leases),
            conflicts: get(&self.conflicts),
            failures: get(&self.failures),
            waiting: get(&self.waiting),
        }
    }

    pub(crate) fn record_call(&self, kind: CallKind) {
        let counter = match kind {
            CallKind::Read => &self.reads,
            CallKind::List => &self.lists,
            CallKind::Write => &self.writes,
            CallKind::Watch => &self.watches,
            CallKind::Lease => &self.leases,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn record_conflict(&self) {
        self.conflicts.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn record_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn track_waiting(&self) -> WaitingGuard<'_> {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        WaitingGuard(&self.waiting)
    }
}

/// Counts one waiting watch until it is dropped.
pub(crate) struct WaitingGuard<'a>(&'a AtomicU64);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
