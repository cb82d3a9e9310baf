//! Buckets of new chains.
//!
//! A level cuts the calls of one rank by bucket. If buckets were drawn at random, a cut would take
//! the same part of every customer, and the shares at the receiver could not repair that. Instead
//! an entry spreads the calls of a customer over the buckets up to its own rate for its weight. A
//! level then admits each customer up to the same rate, which is a weighted max-min share: small
//! demands pass whole and the large ones are cut to a common rate.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{BUCKET_COUNT, Bucket, LAST_BUCKET};
use crate::id::{ChainId, CustomerName};
use crate::rule::{Class, LOWEST_RANK, RANK_COUNT};

/// Rates of the customers that enter here, and the buckets of their chains.
#[derive(Clone, Debug)]
pub struct BucketAssigner {
    seed: u64,
    named: HashMap<CustomerName, [Rate; RANK_COUNT]>,
    unnamed: Vec<[Rate; RANK_COUNT]>,
}

/// Calls a second, decayed over about a second.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    at: Option<Instant>,
    rate: f64,
}

impl Rate {
    fn add(&mut self, now: Instant) -> f64 {
        let memory = BucketAssigner::MEMORY.as_secs_f64();
        let before = self.at.unwrap_or(now);
        let age = now.saturating_duration_since(before).as_secs_f64();
        self.rate = self.rate * (-age / memory).exp() + 1.0 / memory;
        self.at = Some(now);
        self.rate
    }
}

impl BucketAssigner {
    const UNNAMED: u64 = 256;
    const MEMORY: Duration = Duration::from_secs(1);
    /// Calls a second of one customer at which the last bucket is reached.
    const HIGHEST_RATE: f64 = 100_000.0;

    /// Knows no customer by name. `seed` differs per daemon.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            named: HashMap::new(),
            unnamed: vec![[Rate::default(); RANK_COUNT]; Self::UNNAMED as usize],
        }
    }

    /// Tells which customers the rules name. Each has a rate of its own; the others share 256 rates
    /// by a hash of their name, which bounds the state and never favours them.
    pub fn set_customers(&mut self, names: impl IntoIterator<Item = CustomerName>) {
        let mut old = std::mem::take(&mut self.named);
        for name in names {
            let rates = old.remove(&name).unwrap_or_default();
            self.named.insert(name, rates);
        }
    }

    /// Rates kept.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.named.len() + self.unnamed.len()
    }

    /// Bucket of a new chain. Rates are on a logarithmic scale, so that one bucket is about a tenth
    /// of the rate whether customers are small or large.
    pub fn bucket(&mut self, now: Instant, class: &Class, chain: ChainId) -> Bucket {
        let (rates, weight) = if let Some(rates) = self.named.get_mut(&class.customer) {
            (rates, class.weight.max(1))
        } else {
            let hash = xxh3_64_with_seed(class.customer.as_bytes(), self.seed);
            (&mut self.unnamed[(hash % Self::UNNAMED) as usize], 1)
        };
        let rate = rates[usize::from(class.rank.min(LOWEST_RANK))].add(now) / f64::from(weight);
        let place = xxh3_64_with_seed(&chain.to_le_bytes(), 0) as f64 / u64::MAX as f64;
        (Self::below(place * rate) as Bucket).min(LAST_BUCKET)
    }

    /// Buckets that hold the calls below a rate.
    fn below(rate: f64) -> f64 {
        rate.ln_1p() / Self::HIGHEST_RATE.ln_1p() * f64::from(BUCKET_COUNT)
    }

    /// Buckets that admit `scale` times the rate that `buckets` admit.
    pub(super) fn scaled(buckets: u8, scale: f64) -> f64 {
        let height = f64::from(buckets) / f64::from(BUCKET_COUNT);
        let rate = (height * Self::HIGHEST_RATE.ln_1p()).exp_m1();
        Self::below(rate * scale)
    }
}
