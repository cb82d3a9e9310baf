//! Weighted max-min fair shares of the customers in each rank.
//!
//! Each share has a usage: the hold time of its calls, divided by its weight. The waiting share
//! with the lowest usage is served next. A share that returns after a pause starts at the usage of
//! the share served last, so that idle time earns no credit. Small demands are thus met in full and
//! the others split the rest by weight.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Call;
use crate::id::{CallId, CustomerName};
use crate::rule::{Class, DEFAULT_WEIGHT, RANK_COUNT, Rank};

const UNNAMED_SHARE_COUNT: u32 = 256;
const FIRST_UNNAMED_SHARE: u32 = u32::MAX - UNNAMED_SHARE_COUNT;
const MAX_WEIGHT: u32 = 1_000;

/// Position of a waiting call: its rank, its share and its keys in the orders of that share.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueEntry {
    id: CallId,
    rank: Rank,
    share: u32,
    weight: u32,
    deadline: Instant,
    sequence: u64,
}

impl QueueEntry {
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

/// Queues of all ranks, one per share.
#[derive(Clone, Debug)]
pub(super) struct FairShares {
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
    /// Waiting shares by waiting calls per weight.
    by_backlog: BTreeSet<(u64, u32)>,
    /// Number of waiting calls.
    waiting: usize,
    /// Sum of the weights of the waiting shares.
    weight: u64,
    /// Usage of the share that was served last.
    current_usage: u64,
}

#[derive(Clone, Debug, Default)]
struct Share {
    usage: u64,
    weight: u32,
    by_deadline: BTreeMap<(Instant, u64), CallId>,
    by_arrival: BTreeMap<u64, CallId>,
}

impl Share {
    fn backlog(&self) -> u64 {
        self.by_arrival.len() as u64 * u64::from(MAX_WEIGHT) / u64::from(self.weight.max(1))
    }
}

/// Usage of `time` at `weight`. Counts in microseconds, so that the sum over the lifetime of a
/// process fits into a `u64`.
fn usage(time: Duration, weight: u32) -> u64 {
    let micros = (time.as_micros() as u64).max(1);
    micros * u64::from(MAX_WEIGHT) / u64::from(weight)
}

impl FairShares {
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
                self.next_named = (self.next_named + 1) % FIRST_UNNAMED_SHARE;
                self.next_named
            });
            self.named.insert(name, share);
        }
        let kept: BTreeSet<u32> = self.named.values().copied().collect();
        for rank in &mut self.ranks {
            rank.shares.retain(|key, share| {
                *key >= FIRST_UNNAMED_SHARE || kept.contains(key) || !share.by_arrival.is_empty()
            });
        }
    }

    /// Returns the key of the share and the weight of a call. Named shares come first where usages
    /// are equal.
    pub(super) fn assign(&self, class: &Class) -> (u32, u32) {
        if let Some(share) = self.named.get(&class.customer) {
            return (*share, class.weight.clamp(1, MAX_WEIGHT));
        }
        let hash = xxh3_64_with_seed(class.customer.as_bytes(), self.seed);
        let share = (hash % u64::from(UNNAMED_SHARE_COUNT)) as u32;
        (FIRST_UNNAMED_SHARE + share, DEFAULT_WEIGHT)
    }

    /// Number of shares stored in all ranks.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.ranks.iter().map(|rank| rank.shares.len()).sum()
    }

    pub(super) fn waiting(&self, rank: Rank) -> usize {
        self.ranks[usize::from(rank)].waiting
    }

    pub(super) fn push(&mut self, entry: &QueueEntry) {
        self.ranks[usize::from(entry.rank)].update(entry.share, |share, current_usage| {
            if share.by_arrival.is_empty() {
                share.usage = share.usage.max(current_usage);
            }
            share.weight = entry.weight;
            share
                .by_deadline
                .insert((entry.deadline, entry.sequence), entry.id);
            share.by_arrival.insert(entry.sequence, entry.id);
        });
    }

    pub(super) fn remove(&mut self, entry: &QueueEntry) {
        self.ranks[usize::from(entry.rank)].update(entry.share, |share, _| {
            share.by_deadline.remove(&(entry.deadline, entry.sequence));
            share.by_arrival.remove(&entry.sequence);
        });
    }

    /// Adds the estimated hold time of a starting call to the usage of its share.
    pub(super) fn charge(&mut self, rank: Rank, share: u32, weight: u32, time: Duration) {
        let rank = &mut self.ranks[usize::from(rank)];
        let before = rank.shares.get(&share).map_or(0, |share| share.usage);
        rank.current_usage = rank.current_usage.max(before);
        rank.update(share, |share, _| share.usage += usage(time, weight));
    }

    /// Replaces the estimated hold time of a call by the measured one.
    pub(super) fn correct_charge(
        &mut self,
        rank: Rank,
        share: u32,
        weight: u32,
        charged: Duration,
        hold_time: Duration,
    ) {
        let rank = &mut self.ranks[usize::from(rank)];
        if rank.shares.contains_key(&share) {
            rank.update(share, |share, _| {
                let corrected = share.usage + usage(hold_time, weight);
                share.usage = corrected.saturating_sub(usage(charged, weight));
            });
        }
    }

    /// Call of a rank to run next.
    pub(super) fn first(&self, rank: Rank) -> Option<CallId> {
        let rank = &self.ranks[usize::from(rank)];
        let (_, key) = rank.by_usage.first()?;
        let share = rank.shares.get(key)?;
        share.by_deadline.values().next().copied()
    }

    /// Newest call of the share with the most waiting calls per weight.
    pub(super) fn newest_of_largest(&self, rank: Rank) -> Option<CallId> {
        let rank = &self.ranks[usize::from(rank)];
        let (_, key) = rank.by_backlog.last()?;
        rank.shares
            .get(key)?
            .by_arrival
            .values()
            .next_back()
            .copied()
    }

    /// Maximum number of calls of the rank that run before a new one of this share.
    pub(super) fn calls_ahead(&self, rank: Rank, share: u32, weight: u32) -> f64 {
        let rank = &self.ranks[usize::from(rank)];
        let own = rank
            .shares
            .get(&share)
            .map_or(0, |share| share.by_arrival.len());
        let total_weight = if own == 0 {
            rank.weight + u64::from(weight)
        } else {
            rank.weight
        };
        let by_share = (own as f64 + 1.0) * total_weight as f64 / f64::from(weight);
        by_share.min(rank.waiting as f64)
    }
}

impl RankShares {
    /// Changes a share and updates the orders and sums that depend on it.
    fn update(&mut self, key: u32, change: impl FnOnce(&mut Share, u64)) {
        let share = self.shares.entry(key).or_default();
        let before = share.by_arrival.len();
        if before > 0 {
            self.by_usage.remove(&(share.usage, key));
            self.by_backlog.remove(&(share.backlog(), key));
            self.weight -= u64::from(share.weight);
        }
        change(share, self.current_usage);
        let after = share.by_arrival.len();
        if after > 0 {
            self.by_usage.insert((share.usage, key));
            self.by_backlog.insert((share.backlog(), key));
            self.weight += u64::from(share.weight);
        }
        self.waiting = self.waiting + after - before;
    }
}
