//! Weighted max-min shares of the customers in each rank.
//!
//! Each share has a usage: the slot time it was given, divided by its weight. The waiting share with
//! the least usage is next. A share that returns after a pause starts at the usage that is served at
//! the time, so that idle time earns no credit. In this way small demands are met in full and the
//! others split the rest by weight.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Call;
use crate::id::{CallId, CustomerName};
use crate::rule::{Class, DEFAULT_WEIGHT, RANK_COUNT, Rank};

const UNNAMED_SHARES: u32 = 256;
const FIRST_UNNAMED: u32 = u32::MAX - UNNAMED_SHARES;
const HIGHEST_WEIGHT: u32 = 1_000;

/// A waiting call as the queue of its share sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    id: CallId,
    rank: Rank,
    share: u32,
    weight: u32,
    deadline: Instant,
    sequence: u64,
}

impl Entry {
    pub(super) const fn new(id: CallId, call: &Call) -> Self {
        Self {
            id,
            rank: call.rank,
            share: call.share,
            weight: call.weight,
            deadline: call.deadline,
            sequence: call.sequence,
        }
    }
}

/// Queues of all ranks.
#[derive(Clone, Debug)]
pub(super) struct Shares {
    seed: u64,
    named: HashMap<CustomerName, u32>,
    next_named: u32,
    ranks: [RankShares; RANK_COUNT],
}

#[derive(Clone, Debug, Default)]
struct RankShares {
    shares: HashMap<u32, Share>,
    /// Waiting shares by usage.
    by_usage: BTreeSet<(u64, u32)>,
    /// Waiting shares by calls per weight.
    by_backlog: BTreeSet<(u64, u32)>,
    waiting: usize,
    weight: u64,
    /// Usage of the share that was served last.
    served: u64,
}

#[derive(Clone, Debug, Default)]
struct Share {
    usage: u64,
    weight: u32,
    by_deadline: BTreeMap<(Instant, u64), CallId>,
    by_age: BTreeMap<u64, CallId>,
}

impl Share {
    fn backlog(&self) -> u64 {
        self.by_age.len() as u64 * u64::from(HIGHEST_WEIGHT) / u64::from(self.weight.max(1))
    }
}

/// Usage of `time` at `weight`. Microseconds keep the sum of a process lifetime within the range.
fn usage(time: Duration, weight: u32) -> u64 {
    let micros = (time.as_micros() as u64).max(1);
    micros * u64::from(HIGHEST_WEIGHT) / u64::from(weight)
}

impl Shares {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            seed,
            named: HashMap::new(),
            next_named: 0,
            ranks: Default::default(),
        }
    }

    pub(super) fn set_named(&mut self, names: impl IntoIterator<Item = CustomerName>) {
        let old = std::mem::take(&mut self.named);
        for name in names {
            let share = old.get(&name).copied().unwrap_or_else(|| {
                self.next_named = (self.next_named + 1) % FIRST_UNNAMED;
                self.next_named
            });
            self.named.insert(name, share);
        }
        let kept: BTreeSet<u32> = self.named.values().copied().collect();
        for rank in &mut self.ranks {
            rank.shares.retain(|key, share| {
                *key >= FIRST_UNNAMED || kept.contains(key) || !share.by_age.is_empty()
            });
        }
    }

    /// Share and weight of a call. Named shares come first where usages are equal.
    pub(super) fn share_of(&self, class: &Class) -> (u32, u32) {
        if let Some(share) = self.named.get(&class.customer) {
            return (*share, class.weight.clamp(1, HIGHEST_WEIGHT));
        }
        let hash = xxh3_64_with_seed(class.customer.as_bytes(), self.seed);
        let share = (hash % u64::from(UNNAMED_SHARES)) as u32;
        (FIRST_UNNAMED + share, DEFAULT_WEIGHT)
    }

    /// Shares kept in all ranks.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.ranks.iter().map(|rank| rank.shares.len()).sum()
    }

    pub(super) fn waiting(&self, rank: Rank) -> usize {
        self.ranks[usize::from(rank)].waiting
    }

    pub(super) fn push(&mut self, entry: &Entry) {
        self.ranks[usize::from(entry.rank)].update(entry.share, |share, served| {
            if share.by_age.is_empty() {
                share.usage = share.usage.max(served);
            }
            share.weight = entry.weight;
            share
                .by_deadline
                .insert((entry.deadline, entry.sequence), entry.id);
            share.by_age.insert(entry.sequence, entry.id);
        });
    }

    pub(super) fn remove(&mut self, entry: &Entry) {
        self.ranks[usize::from(entry.rank)].update(entry.share, |share, _| {
            share.by_deadline.remove(&(entry.deadline, entry.sequence));
            share.by_age.remove(&entry.sequence);
        });
    }

    /// Charges a share for a call that starts.
    pub(super) fn charge(&mut self, rank: Rank, share: u32, weight: u32, time: Duration) {
        let rank = &mut self.ranks[usize::from(rank)];
        let before = rank.shares.get(&share).map_or(0, |share| share.usage);
        rank.served = rank.served.max(before);
        rank.update(share, |share, _| share.usage += usage(time, weight));
    }

    /// Replaces the estimated time of a call by the time it took.
    pub(super) fn settle(
        &mut self,
        rank: Rank,
        share: u32,
        weight: u32,
        charged: Duration,
        took: Duration,
    ) {
        let rank = &mut self.ranks[usize::from(rank)];
        if rank.shares.contains_key(&share) {
            rank.update(share, |share, _| {
                let usage_now = share.usage + usage(took, weight);
                share.usage = usage_now.saturating_sub(usage(charged, weight));
            });
        }
    }

    /// Call that is next in a rank.
    pub(super) fn first(&self, rank: Rank) -> Option<CallId> {
        let rank = &self.ranks[usize::from(rank)];
        let (_, key) = rank.by_usage.first()?;
        let share = rank.shares.get(key)?;
        share.by_deadline.values().next().copied()
    }

    /// Newest call of the share with the most calls per weight.
    pub(super) fn newest(&self, rank: Rank) -> Option<CallId> {
        let rank = &self.ranks[usize::from(rank)];
        let (_, key) = rank.by_backlog.last()?;
        rank.shares.get(key)?.by_age.values().next_back().copied()
    }

    /// Calls of the rank that run before a new one of this share, at most.
    pub(super) fn ahead(&self, rank: Rank, share: u32, weight: u32) -> f64 {
        let rank = &self.ranks[usize::from(rank)];
        let own = rank
            .shares
            .get(&share)
            .map_or(0, |share| share.by_age.len());
        let others = if own == 0 {
            rank.weight + u64::from(weight)
        } else {
            rank.weight
        };
        let by_share = (own as f64 + 1.0) * others as f64 / f64::from(weight);
        by_share.min(rank.waiting as f64)
    }
}

impl RankShares {
    /// Changes a share and keeps the orders and sums in step.
    fn update(&mut self, key: u32, change: impl FnOnce(&mut Share, u64)) {
        let share = self.shares.entry(key).or_default();
        let before = share.by_age.len();
        if before > 0 {
            self.by_usage.remove(&(share.usage, key));
            self.by_backlog.remove(&(share.backlog(), key));
            self.weight -= u64::from(share.weight);
        }
        change(share, self.served);
        let after = share.by_age.len();
        if after > 0 {
            self.by_usage.insert((share.usage, key));
            self.by_backlog.insert((share.backlog(), key));
            self.weight += u64::from(share.weight);
        }
        self.waiting = self.waiting + after - before;
    }
}
