//! Assignment of buckets to new chains.
//!
//! A level cuts the calls of one rank by bucket. With random buckets a cut would remove the same
//! fraction of every customer's calls, and the fair shares at the gate could not correct that.
//! Instead an entry spreads the calls of a customer over the buckets up to the customer's own rate
//! divided by its weight. A level then admits every customer up to the same rate per weight, which
//! is weighted max-min fairness: small demands pass whole and large ones are cut to a common rate.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{BUCKET_COUNT, Bucket, LAST_BUCKET};
use crate::id::{ChainId, CustomerName};
use crate::rule::{Class, LOWEST_RANK, RANK_COUNT};

/// Assigns buckets to chains by the call rates of their customers at this entry.
#[derive(Clone, Debug)]
pub struct BucketAssigner {
    seed: u64,
    named: HashMap<CustomerName, [Rate; RANK_COUNT]>,
    unnamed: Vec<[Rate; RANK_COUNT]>,
}

/// Calls per second, averaged over about a second.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    at: Option<Instant>,
    rate: f64,
}

impl Rate {
    fn record(&mut self, now: Instant) -> f64 {
        let time_constant = BucketAssigner::RATE_TIME_CONSTANT.as_secs_f64();
        let before = self.at.unwrap_or(now);
        let age = now.saturating_duration_since(before).as_secs_f64();
        self.rate = self.rate * (-age / time_constant).exp() + 1.0 / time_constant;
        self.at = Some(now);
        self.rate
    }
}

impl BucketAssigner {
    const UNNAMED_RATE_COUNT: u64 = 256;
    const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);
    /// Rate per weight at which a customer reaches the last bucket.
    const MAX_CALLS_PER_SECOND: f64 = 100_000.0;

    /// Creates an assigner without named customers. `seed` differs per daemon.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            named: HashMap::new(),
            unnamed: vec![[Rate::default(); RANK_COUNT]; Self::UNNAMED_RATE_COUNT as usize],
        }
    }

    /// Sets the customers that the rules name. Each has a rate of its own; all others are hashed by
    /// name onto 256 rates, which bounds the state and never favours them.
    pub fn set_customers(&mut self, names: impl IntoIterator<Item = CustomerName>) {
        let mut old = std::mem::take(&mut self.named);
        for name in names {
            let rates = old.remove(&name).unwrap_or_default();
            self.named.insert(name, rates);
        }
    }

    /// Number of stored rates.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.named.len() + self.unnamed.len()
    }

    /// Returns the bucket of a new chain. Buckets divide the rates on a logarithmic scale, so that
    /// one bucket is about a tenth of the rate for small and large customers.
    pub fn bucket(&mut self, now: Instant, class: &Class, chain: ChainId) -> Bucket {
        let (rates, weight) = if let Some(rates) = self.named.get_mut(&class.customer) {
            (rates, class.weight.max(1))
        } else {
            let hash = xxh3_64_with_seed(class.customer.as_bytes(), self.seed);
            (
                &mut self.unnamed[(hash % Self::UNNAMED_RATE_COUNT) as usize],
                1,
            )
        };
        let rate = rates[usize::from(class.rank.min(LOWEST_RANK))].record(now) / f64::from(weight);
        let uniform = xxh3_64_with_seed(&chain.to_le_bytes(), 0) as f64 / u64::MAX as f64;
        (Self::buckets_below(uniform * rate) as Bucket).min(LAST_BUCKET)
    }

    /// Number of buckets that admit calls up to a rate.
    fn buckets_below(rate: f64) -> f64 {
        rate.ln_1p() / Self::MAX_CALLS_PER_SECOND.ln_1p() * f64::from(BUCKET_COUNT)
    }

    /// Number of buckets that admit `scale` times the rate that `buckets` admit.
    pub(super) fn scaled(buckets: u8, scale: f64) -> f64 {
        let fraction = f64::from(buckets) / f64::from(BUCKET_COUNT);
        let rate = (fraction * Self::MAX_CALLS_PER_SECOND.ln_1p()).exp_m1();
        Self::buckets_below(rate * scale)
    }
}
