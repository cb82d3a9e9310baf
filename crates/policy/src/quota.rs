//! Quotas of organisations that hold over all daemons together.
//!
//! One daemon owns the token bucket of an organisation. The others ask it for tokens and spend them
//! on requests. An entry that receives many tokens is told a share of the rate, which the owner sets
//! aside while it does not hear from the entry. The entry spends this share when it does not hear
//! from the owner, so both together stay below the rate. All times are those of the boot-time clock,
//! which includes the time for which a VM was suspended.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::id::VmId;

mod holder;
mod owner;
#[cfg(test)]
mod tests;

pub use holder::{QuotaHolder, Take, Token};
pub use owner::QuotaOwner;

/// Hash of an organisation's name, which stands for it on the wire.
pub type OrganisationKey = u64;

/// Time from an ask for tokens to the end of their validity.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(500);

/// Time for which a request waits for the reply to an ask. A round trip takes up to 3 ms.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// Time between asks of an entry that has a share.
const BEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Silence of an entry after which its owner sets its share aside: more than two beats.
const ENTRY_SILENCE: Duration = Duration::from_millis(500);

/// Silence of an owner after which an entry spends its share, and age of the first ask at which a
/// new owner counts a stated share. By then the owner has set the share aside, even if messages
/// were delayed by half a second.
const OWNER_SILENCE: Duration = Duration::from_secs(1);

/// Time after the last reply for which an entry spends its share.
const SHARE_LIFETIME: Duration = Duration::from_secs(6);

/// Time for which an owner sets the share of a silent entry aside.
const RESERVE_TIME: Duration = Duration::from_secs(7);

/// Time for which two daemons may consider themselves owners: the fleet is seen up to 2.5 s apart,
/// and tokens are valid for [`TOKEN_LIFETIME`].
const OVERLAP_TIME: Duration = Duration::from_secs(3);

/// Time after which no entry spends a share that it was told by an earlier owner: 2.5 s,
/// [`SHARE_LIFETIME`] and [`TOKEN_LIFETIME`].
const START_TIME: Duration = Duration::from_secs(9);

/// Time for which grants are counted for the shares.
const SHARE_WINDOW: Duration = Duration::from_secs(5);

/// Smallest share that is told to an entry, in requests per second.
const MIN_SHARE_RATE: f64 = 1.0;

/// Gap between two readings of the clock after which the process counts as newly started. Reserved
/// shares have ended on no daemon by then, and a VM without CPU quota stands still for 0.1 s.
const RESUME_GAP: Duration = Duration::from_secs(1);

/// Returns the key of an organisation.
#[must_use]
pub fn key(name: &str) -> OrganisationKey {
    xxh3_64(name.as_bytes())
}

/// Returns the VM that owns the bucket of an organisation, by rendezvous hashing.
#[must_use]
pub fn owner(key: OrganisationKey, vms: &[VmId]) -> Option<&VmId> {
    vms.iter()
        .max_by_key(|vm| (xxh3_64_with_seed(vm.as_bytes(), key), *vm))
}

/// Bound of the operators on the requests in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBound {
    /// Length of the window.
    pub window: Duration,
    /// Fraction by which the quota may be exceeded.
    pub over: f64,
    /// Requests that may be added to that.
    pub slack: f64,
}

impl Default for QuotaBound {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            over: 0.1,
            slack: 20.0,
        }
    }
}

/// What an entry knows of earlier owners of a bucket, from the time for which shares last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum History {
    /// No owner has replied to it.
    #[default]
    None,
    /// All replies came from the VM that it asks now, maybe from an earlier process there.
    Same,
    /// Another VM has replied to it.
    Other,
}

/// Request of an entry for tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    /// Number among the asks of the entry.
    pub number: u32,
    /// Tokens that it wants.
    pub wanted: u32,
    /// Unused tokens that it gives back.
    pub returned: u32,
    /// Share of the rate that it was told.
    pub share: f64,
    /// Sum of the shares of all entries when it was told its own; `None` if it was told none.
    pub total: Option<f64>,
    /// Whether it has not heard from the owner, so that it may spend its share.
    pub unheard: bool,
    /// What it knows of earlier owners.
    pub history: History,
}

/// Reply to an ask.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// Number of the ask.
    pub number: u32,
    /// Tokens that the entry may spend.
    pub granted: u32,
    /// Time after which there will be a token, if none was granted.
    pub retry: Duration,
    /// Share of the rate that is set aside for the entry.
    pub share: f64,
    /// Sum of the shares of all entries; `None` while a new owner does not know it.
    pub total: Option<f64>,
    /// Whether the sender owns the bucket.
    pub is_owner: bool,
}

/// Counts events of the last `N` slots of time.
#[derive(Clone, Debug)]
struct Recent<const N: usize> {
    counts: [u32; N],
    slot: Duration,
    head: u64,
}

impl<const N: usize> Recent<N> {
    fn new(length: Duration) -> Self {
        Self {
            counts: [0; N],
            slot: length / (N as u32 - 1),
            head: 0,
        }
    }

    fn advance(&mut self, now: Duration) {
        let head = (now.as_nanos() / self.slot.as_nanos()) as u64;
        let passed = head.saturating_sub(self.head).min(N as u64);
        for step in 0..passed {
            self.counts[((head - step) % N as u64) as usize] = 0;
        }
        self.head = self.head.max(head);
    }

    fn add(&mut self, now: Duration, count: u32) {
        self.advance(now);
        self.counts[(self.head % N as u64) as usize] += count;
    }

    /// Returns the number of events in at least the whole length.
    fn sum(&mut self, now: Duration) -> u32 {
        self.advance(now);
        self.counts.iter().sum()
    }

    fn subtract(&mut self, mut count: u32) {
        for slot in &mut self.counts {
            let part = count.min(*slot);
            *slot -= part;
            count -= part;
        }
    }
}
