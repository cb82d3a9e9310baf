//! Burn rate of the error budgets over a short and a long window.
//!
//! Every finished call counts as good, refused, late or failed, by kind, rank and customer. The
//! burn rate is the fraction of bad calls divided by the fraction that the kind's target allows: 1
//! spends the error budget exactly, 10 spends it ten times too fast. The short window shows the
//! current state, the long one whether it persists. All memory is bounded: calls of customers
//! beyond [`MAX_CUSTOMERS`] count under [`OTHER_NAME`], as do calls of kinds beyond [`MAX_KINDS`].

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::id::KindName;
use crate::rule::{Class, LOWEST_RANK, RANK_COUNT, RuleSet};

#[cfg(test)]
mod tests;

/// Length of the short window.
pub const SHORT_WINDOW: Duration = Duration::from_mins(5);
/// Length of the long window.
pub const LONG_WINDOW: Duration = Duration::from_hours(1);
/// Maximum number of customers with a row of their own.
pub const MAX_CUSTOMERS: usize = 256;
/// Maximum number of kinds with a row of their own: those that rules declare and the default kind.
pub const MAX_KINDS: usize = 512;
/// Name of the row for all other customers or kinds.
pub const OTHER_NAME: &str = "other";

/// Length of one bucket. The newest bucket is only partly elapsed, so a window covers up to one
/// bucket less than its length.
const BUCKET_LENGTH: Duration = Duration::from_secs(30);
const SHORT_BUCKET_COUNT: u64 = SHORT_WINDOW.as_secs() / BUCKET_LENGTH.as_secs();
const BUCKET_COUNT: usize = (LONG_WINDOW.as_secs() / BUCKET_LENGTH.as_secs()) as usize;
/// Target of kinds that no rule declares, in percent.
const DEFAULT_TARGET_PERCENT: f64 = 99.0;
/// Lowest allowed fraction of bad calls, so that a target of 100 gives a finite burn rate.
const MIN_ALLOWED_FRACTION: f64 = 0.000_01;

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Answered within its deadline.
    Good,
    /// Refused before it ran.
    Refused,
    /// Answered or abandoned after its deadline.
    Late,
    /// Ran and failed, or its outcome is unknown.
    Failed,
}

/// Number of calls by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Answered within the deadline.
    pub good: u64,
    /// Refused before they ran.
    pub refused: u64,
    /// Answered or abandoned after the deadline.
    pub late: u64,
    /// Ran and failed, or the outcome is unknown.
    pub failed: u64,
}

impl Counts {
    /// Returns the number of all calls.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.good + self.refused + self.late + self.failed
    }

    /// Returns the number of calls that are not good.
    #[must_use]
    pub const fn bad(&self) -> u64 {
        self.refused + self.late + self.failed
    }

    fn count(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Good => self.good += 1,
            Outcome::Refused => self.refused += 1,
            Outcome::Late => self.late += 1,
            Outcome::Failed => self.failed += 1,
        }
    }

    fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.refused += other.refused;
        self.late += other.late;
        self.failed += other.failed;
    }
}

/// Calls and burn rate of one window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Window {
    /// Calls in the window.
    pub counts: Counts,
    /// Burn rate of the error budget.
    pub burn: f64,
}

/// Burn rates of one kind, rank or customer.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Name of the kind or customer, or number of the rank.
    pub name: String,
    /// Percentage of calls that must be good, averaged over the calls of the long window.
    pub target_percent: f64,
    /// Short window: the last 5 minutes.
    pub short: Window,
    /// Long window: the last hour.
    pub long: Window,
}

/// Burn rates of all kinds, ranks and customers that had calls within the long window.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// By kind, sorted by name.
    pub kinds: Vec<Row>,
    /// By rank, most urgent first.
    pub ranks: Vec<Row>,
    /// By customer, highest burn rate over the short window first.
    pub customers: Vec<Row>,
}

/// Counts finished calls by kind, rank and customer.
#[derive(Debug)]
pub struct BurnMeter {
    start: Instant,
    targets: HashMap<KindName, f64>,
    kinds: SeriesTable,
    ranks: [Series; RANK_COUNT],
    customers: SeriesTable,
}

impl BurnMeter {
    /// Creates a meter without calls.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            targets: HashMap::new(),
            kinds: SeriesTable::new(MAX_KINDS),
            ranks: Default::default(),
            customers: SeriesTable::new(MAX_CUSTOMERS),
        }
    }

    /// Sets the targets of `rules`. Calls counted before keep the target they were counted with.
    #[must_use]
    pub fn with_rules(mut self, rules: &RuleSet) -> Self {
        self.set_rules(rules);
        self
    }

    /// Sets the targets of `rules` for later calls.
    pub fn set_rules(&mut self, rules: &RuleSet) {
        let targets = rules.kinds();
        self.targets = targets
            .map(|(_, kind)| (Arc::clone(&kind.name), kind.target_percent))
            .collect();
    }

    /// Counts a finished call.
    pub fn record(&mut self, class: &Class, outcome: Outcome, now: Instant) {
        let index = self.bucket_index(now);
        let target = self.targets.get(&class.kind).copied();
        let allowed = allowed_fraction(target.unwrap_or(DEFAULT_TARGET_PERCENT));
        self.kinds
            .series(&class.kind, index)
            .record(index, outcome, allowed);
        self.ranks[usize::from(class.rank.min(LOWEST_RANK))].record(index, outcome, allowed);
        self.customers
            .series(&class.customer, index)
            .record(index, outcome, allowed);
    }

    /// Returns the burn rates of all kinds, ranks and customers with calls in the long window.
    #[must_use]
    pub fn report(&self, now: Instant) -> Report {
        let index = self.bucket_index(now);
        let ranks = self.ranks.iter().enumerate();
        let mut report = Report {
            kinds: self.kinds.rows(index),
            ranks: ranks
                .filter_map(|(rank, series)| series.row(&rank.to_string(), index))
                .collect(),
            customers: self.customers.rows(index),
        };
        // The sort is stable, so customers with the same burn rate stay sorted by name.
        report
            .customers
            .sort_by(|a, b| b.short.burn.total_cmp(&a.short.burn));
        report
    }

    fn bucket_index(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.start).as_secs() / BUCKET_LENGTH.as_secs()
    }
}

/// Returns the fraction of bad calls that a target in percent allows.
fn allowed_fraction(target: f64) -> f64 {
    ((100.0 - target) / 100.0).clamp(MIN_ALLOWED_FRACTION, 1.0)
}

/// Series by name: at most `limit` of them, and one for all other names.
#[derive(Debug)]
struct SeriesTable {
    limit: usize,
    /// Bucket index of the last removal of series without recent calls.
    last_sweep: u64,
    series: HashMap<Arc<str>, Series>,
    other: Series,
}

impl SeriesTable {
    fn new(limit: usize) -> Self {
        Self {
            limit,
            last_sweep: 0,
            series: HashMap::new(),
            other: Series::default(),
        }
    }

    fn series(&mut self, name: &Arc<str>, index: u64) -> &mut Series {
        // A customer may have the same name as the row for all others.
        if **name == *OTHER_NAME {
            return &mut self.other;
        }
        // A full table is swept at most once per bucket, so a flood of names does not cost a scan
        // per call.
        if self.series.len() >= self.limit
            && self.last_sweep < index
            && !self.series.contains_key(name)
        {
            self.last_sweep = index;
            self.series
                .retain(|_, series| series.window(index, BUCKET_COUNT as u64).counts.total() > 0);
        }
        if self.series.len() >= self.limit && !self.series.contains_key(name) {
            return &mut self.other;
        }
        self.series.entry(Arc::clone(name)).or_default()
    }

    fn rows(&self, index: u64) -> Vec<Row> {
        let rows = self
            .series
            .iter()
            .filter_map(|(name, series)| series.row(name, index));
        let mut rows: Vec<Row> = rows.collect();
        rows.sort_by(|a, b| a.name.cmp(&b.name));
        rows.extend(self.other.row(OTHER_NAME, index));
        rows
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    counts: Counts,
    /// Number of bad calls that the targets allow.
    allowed: f64,
}

/// Ring buffer of buckets, 5 KB. Bucket `index` is at `index % BUCKET_COUNT`.
#[derive(Debug)]
struct Series {
    newest: u64,
    buckets: Box<[Bucket; BUCKET_COUNT]>,
}

impl Default for Series {
    fn default() -> Self {
        Self {
            newest: 0,
            buckets: Box::new([Bucket::default(); BUCKET_COUNT]),
        }
    }
}

impl Series {
    fn record(&mut self, index: u64, outcome: Outcome, allowed: f64) {
        self.advance(index);
        // Threads can pass in times slightly out of order; calls always count in the newest bucket.
        let bucket = &mut self.buckets[(self.newest % BUCKET_COUNT as u64) as usize];
        bucket.counts.count(outcome);
        bucket.allowed += allowed;
    }

    fn advance(&mut self, index: u64) {
        let new_buckets = index.saturating_sub(self.newest).min(BUCKET_COUNT as u64);
        for back in 0..new_buckets {
            self.buckets[((index - back) % BUCKET_COUNT as u64) as usize] = Bucket::default();
        }
        self.newest = self.newest.max(index);
    }

    /// Sum of the last `length` buckets up to `index`.
    fn window(&self, index: u64, length: u64) -> Bucket {
        let index = index.max(self.newest);
        let mut sum = Bucket::default();
        for back in 0..length.min(BUCKET_COUNT as u64) {
            let Some(at) = index.checked_sub(back) else {
                break;
            };
            // Buckets newer than the last call do not exist yet.
            if at <= self.newest && self.newest - at < BUCKET_COUNT as u64 {
                let bucket = &self.buckets[(at % BUCKET_COUNT as u64) as usize];
                sum.counts.add(&bucket.counts);
                sum.allowed += bucket.allowed;
            }
        }
        sum
    }

    fn row(&self, name: &str, index: u64) -> Option<Row> {
        let long = self.window(index, BUCKET_COUNT as u64);
        let total = long.counts.total();
        (total > 0).then(|| Row {
            name: name.to_owned(),
            target_percent: 100.0 * (1.0 - long.allowed / total as f64),
            short: self.window(index, SHORT_BUCKET_COUNT).into(),
            long: long.into(),
        })
    }
}

impl From<Bucket> for Window {
    fn from(bucket: Bucket) -> Self {
        let bad = bucket.counts.bad() as f64;
        Self {
            counts: bucket.counts,
            burn: if bad > 0.0 { bad / bucket.allowed } else { 0.0 },
        }
    }
}
