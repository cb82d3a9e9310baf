//! Runs by request and by idempotency key, for the checks of "not run" and "at most once".

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

const SHARDS: usize = 16;
/// Keys named in a report.
const MAX_NAMED: usize = 20;

/// Runs of all endpoints that share it.
#[derive(Debug, Default)]
pub struct Ledger {
    requests: [Mutex<HashMap<u128, u32>>; SHARDS],
    keys: [Mutex<HashMap<u128, u32>>; SHARDS],
    repeated: Mutex<Vec<String>>,
    after_leaving: AtomicU64,
}

/// Summary of a [`Ledger`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunSummary {
    /// Runs of requests.
    pub runs: u64,
    /// Idempotency keys and tickets that ran, by service.
    pub keys: u64,
    /// Runs of a key or ticket after its first run.
    pub repeats: u64,
    /// Calls that a leaving endpoint got after the bound. Must be zero.
    pub after_leaving: u64,
    /// Some of the keys that ran more than once.
    pub repeated: Vec<String>,
}

impl Ledger {
    /// Records that the work for a request starts at a service.
    ///
    /// # Panics
    ///
    /// Panics if a thread panicked while it held the ledger.
    pub fn record_run(&self, service: &str, id: &str, key: Option<&str>) {
        add(&self.requests, service, id);
        let Some(key) = key else { return };
        if add(&self.keys, service, key) > 1 {
            let mut repeated = self.repeated.lock().expect("ledger lock is never poisoned");
            if repeated.len() < MAX_NAMED {
                repeated.push(format!("{service}/{key}"));
            }
        }
    }

    /// Records that a leaving endpoint got a call after the bound.
    pub fn record_call_after_leaving(&self) {
        self.after_leaving.fetch_add(1, Ordering::Relaxed);
    }

    /// Runs of a request at a service.
    #[must_use]
    pub fn runs_of(&self, service: &str, id: &str) -> u32 {
        get(&self.requests, service, id)
    }

    /// Runs of a key or ticket at a service.
    #[must_use]
    pub fn runs_of_key(&self, service: &str, key: &str) -> u32 {
        get(&self.keys, service, key)
    }

    /// Summary of all runs.
    ///
    /// # Panics
    ///
    /// Panics if a thread panicked while it held the ledger.
    #[must_use]
    pub fn summary(&self) -> RunSummary {
        let (runs, _) = totals(&self.requests);
        let (key_runs, keys) = totals(&self.keys);
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

type Shards = [Mutex<HashMap<u128, u32>>; SHARDS];

fn hash(service: &str, name: &str) -> u128 {
    xxh3_128(format!("{service}/{name}").as_bytes())
}

fn add(shards: &Shards, service: &str, name: &str) -> u32 {
    let hash = hash(service, name);
    let mut shard = shards[hash as usize % SHARDS]
        .lock()
        .expect("ledger lock is never poisoned");
    let runs = shard.entry(hash).or_default();
    *runs += 1;
    *runs
}

fn get(shards: &Shards, service: &str, name: &str) -> u32 {
    let hash = hash(service, name);
    let shard = shards[hash as usize % SHARDS]
        .lock()
        .expect("ledger lock is never poisoned");
    shard.get(&hash).copied().unwrap_or(0)
}

fn totals(shards: &Shards) -> (u64, u64) {
    shards.iter().fold((0, 0), |(runs, names), shard| {
        let shard = shard.lock().expect("ledger lock is never poisoned");
        let sum: u64 = shard.values().copied().map(u64::from).sum();
        (runs + sum, names + shard.len() as u64)
    })
}
