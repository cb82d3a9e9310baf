//! Counts of runs per request and per idempotency key.
//!
//! They show whether a call reported as "not run" ran, and whether a key ran more than once.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

const SHARD_COUNT: usize = 16;
/// Maximum number of repeats whose keys a summary lists.
const MAX_LISTED_KEYS: usize = 20;

/// Runs of all endpoints that share the ledger.
#[derive(Debug, Default)]
pub struct Ledger {
    requests: [Mutex<HashMap<u128, u32>>; SHARD_COUNT],
    keys: [Mutex<HashMap<u128, u32>>; SHARD_COUNT],
    repeated: Mutex<Vec<String>>,
    after_leaving: AtomicU64,
}

/// Summary of a [`Ledger`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunSummary {
    /// Runs of requests.
    pub runs: u64,
    /// Idempotency keys and tickets that ran, counted per service.
    pub keys: u64,
    /// Runs of a key or ticket beyond its first.
    pub repeats: u64,
    /// Calls that reached a leaving endpoint after the drain grace. Must be zero.
    pub after_leaving: u64,
    /// Key of each repeat as `service/key`, up to a limit.
    pub repeated: Vec<String>,
}

impl Ledger {
    /// Records the start of a run at a service.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held a lock of the ledger.
    pub fn record_run(&self, service: &str, id: &str, key: Option<&str>) {
        increment(&self.requests, service, id);
        let Some(key) = key else { return };
        if increment(&self.keys, service, key) > 1 {
            let mut repeated = self.repeated.lock().expect("ledger lock is never poisoned");
            if repeated.len() < MAX_LISTED_KEYS {
                repeated.push(format!("{service}/{key}"));
            }
        }
    }

    /// Records a call that reached a leaving endpoint after the drain grace.
    pub fn record_call_after_leaving(&self) {
        self.after_leaving.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of runs of a request at a service.
    #[must_use]
    pub fn runs_of(&self, service: &str, id: &str) -> u32 {
        get(&self.requests, service, id)
    }

    /// Returns the number of runs of a key or ticket at a service.
    #[must_use]
    pub fn runs_of_key(&self, service: &str, key: &str) -> u32 {
        get(&self.keys, service, key)
    }

    /// Returns a summary of all runs.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held a lock of the ledger.
    #[must_use]
    pub fn summary(&self) -> RunSummary {
        let (runs, _) = sum(&self.requests);
        let (key_runs, keys) = sum(&self.keys);
        RunSummary {
            runs,
            keys,
            repeats: key_runs - keys,
            after_leaving: self.after_leaving.load(Ordering::Relaxed),
            repeated: self
                .repeated
                .lock()
                .expect("ledger lock is never poisoned")
                .clone(),
        }
    }
}

type RunCounts = [Mutex<HashMap<u128, u32>>; SHARD_COUNT];

fn hash(service: &str, name: &str) -> u128 {
    xxh3_128(format!("{service}/{name}").as_bytes())
}

fn increment(shards: &RunCounts, service: &str, name: &str) -> u32 {
    let hash = hash(service, name);
    let mut shard = shards[hash as usize % SHARD_COUNT]
        .lock()
        .expect("ledger lock is never poisoned");
    let runs = shard.entry(hash).or_default();
    *runs += 1;
    *runs
}

fn get(shards: &RunCounts, service: &str, name: &str) -> u32 {
    let hash = hash(service, name);
    let shard = shards[hash as usize % SHARD_COUNT]
        .lock()
        .expect("ledger lock is never poisoned");
    shard.get(&hash).copied().unwrap_or(0)
}

fn sum(shards: &RunCounts) -> (u64, u64) {
    shards.iter().fold((0, 0), |(runs, names), shard| {
        let shard = shard.lock().expect("ledger lock is never poisoned");
        let shard_runs: u64 = shard.values().copied().map(u64::from).sum();
        (runs + shard_runs, names + shard.len() as u64)
    })
}
