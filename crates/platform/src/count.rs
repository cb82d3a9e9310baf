//! Counters of the calls to the platform.

use std::sync::atomic::{AtomicU64, Ordering};

/// Calls sent since the start, by kind. The service bills each of them; a waiting watch is one call.
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

/// Values of [`Counters`] at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CounterSnapshot {
    /// Values read.
    pub reads: u64,
    /// Listings.
    pub lists: u64,
    /// Writes, conflicting ones included.
    pub writes: u64,
    /// Watches started.
    pub watches: u64,
    /// Leases granted or renewed.
    pub leases: u64,
    /// Writes refused because the revision had changed.
    pub conflicts: u64,
    /// Calls that ended without a usable answer.
    pub failures: u64,
    /// Watches waiting now.
    pub waiting: u64,
}

/// Kind of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Call {
    Read,
    List,
    Write,
    Watch,
    Lease,
}

impl Counters {
    /// Reads all counters.
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

    pub(crate) fn call(&self, call: Call) {
        let counter = match call {
            Call::Read => &self.reads,
            Call::List => &self.lists,
            Call::Write => &self.writes,
            Call::Watch => &self.watches,
            Call::Lease => &self.leases,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn conflict(&self) {
        self.conflicts.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn wait(&self) -> Waiting<'_> {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        Waiting(&self.waiting)
    }
}

/// Counts one waiting watch until it is dropped.
pub(crate) struct Waiting<'a>(&'a AtomicU64);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
