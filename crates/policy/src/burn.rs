//! Service-level burn over a short and a long window.
//!
//! Every finished call counts as good, refused, late or failed, by kind, rank and customer. The
//! share of calls that are not good, divided by the share that the kind's target allows, is the
//! burn rate: 1 spends the error budget exactly, 10 spends it ten times too fast. A short window
//! shows what happens now, a long one whether it lasts. All memory is bounded: calls of customers
//! beyond [`MAX_CUSTOMERS`] count under [`OTHER_NAME`], calls of kinds beyond [`MAX_KINDS`] likewise.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::id::KindName;
use crate::rule::{Class, LOWEST_RANK, RANK_COUNT, RuleSet};

#[cfg(test)]
mod tests;

/// Short window.
pub const SHORT_WINDOW: Duration = Duration::from_mins(5);
/// Long window.
pub const LONG_WINDOW: Duration = Duration::from_hours(1);
/// Customers counted one by one.
pub const MAX_CUSTOMERS: usize = 256;
/// Kinds counted one by one. Beyond the kinds that rules declare there is only the default one.
pub const MAX_KINDS: usize = 512;
/// Name that calls of further customers and kinds count under.
pub const OTHER_NAME: &str = "other";

/// Length of one bucket. The newest bucket is partly filled, so a window covers up to one bucket
/// less than its length.
const STEP: Duration = Duration::from_secs(30);
const SHORT_BUCKETS: u64 = SHORT_WINDOW.as_secs() / STEP.as_secs();
const BUCKETS: usize = (LONG_WINDOW.as_secs() / STEP.as_secs()) as usize;
/// Target of kinds that no rule declares, in percent.
const DEFAULT_TARGET: f64 = 99.0;
/// Smallest share of bad calls that a target allows, so that a target of 100 gives a finite burn.
const MIN_ALLOWED: f64 = 0.000_01;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Answered within its deadline.
    Good,
    /// Refused before it ran.
    Refused,
    /// Answered or given up after its deadline.
    Late,
    /// Ran and failed, or its outcome is unknown.
    Failed,
}

/// Calls by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Answered within the deadline.
    pub good: u64,
    /// Refused before they ran.
    pub refused: u64,
    /// Answered or given up after the deadline.
    pub late: u64,
    /// Ran and failed, or the outcome is unknown.
    pub failed: u64,
}

impl Counts {
    /// All calls.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.good + self.refused + self.late + self.failed
    }

    /// Calls that are not good.
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

/// Calls and burn of one window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Window {
    /// Calls in the window.
    pub counts: Counts,
    /// Burn rate of the error budget.
    pub burn: f64,
}

/// Burn of one kind, rank or customer.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Name of the kind or customer, or number of the rank.
    pub name: String,
    /// Percentage of calls that must be good, averaged over the calls of the long window.
    pub target_percent: f64,
    /// The last 5 minutes.
    pub short: Window,
    /// The last hour.
    pub long: Window,
}

/// Burn of all kinds, ranks and customers that had calls within the long window.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// By kind, in order of name.
    pub kinds: Vec<Row>,
    /// By rank, most urgent first.
    pub ranks: Vec<Row>,
    /// By customer, highest burn over the short window first.
    pub customers: Vec<Row>,
}

/// Counts finished calls by kind, rank and customer.
#[derive(Debug)]
pub struct BurnMeter {
    start: Instant,
    targets: HashMap<KindName, f64>,
    kinds: Table,
    ranks: [Series; RANK_COUNT],
    customers: Table,
}

impl BurnMeter {
    /// An empty meter.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            targets: HashMap::new(),
            kinds: Table::new(MAX_KINDS),
            ranks: Default::default(),
            customers: Table::new(MAX_CUSTOMERS),
        }
    }

    /// Takes the targets of `rules`. Calls counted before keep the target they were counted with.
    #[must_use]
    pub fn with_rules(mut self, rules: &RuleSet) -> Self {
        self.set_rules(rules);
        self
    }

    /// Takes the targets of `rules` for the calls from now on.
    pub fn set_rules(&mut self, rules: &RuleSet) {
        let targets = rules.kinds();
        self.targets = targets
            .map(|(_, kind)| (Arc::clone(&kind.name), kind.target_percent))
            .collect();
    }

    /// Counts a finished call.
    pub fn record(&mut self, class: &Class, outcome: Outcome, now: Instant) {
        let step = self.step(now);
        let target = self.targets.get(&class.kind).copied();
        let allowed = allowed(target.unwrap_or(DEFAULT_TARGET));
        self.kinds
            .series(&class.kind, step)
            .record(step, outcome, allowed);
        self.ranks[usize::from(class.rank.min(LOWEST_RANK))].record(step, outcome, allowed);
        self.customers
            .series(&class.customer, step)
            .record(step, outcome, allowed);
    }

    /// Burn of everything that had calls within the long window.
    #[must_use]
    pub fn report(&self, now: Instant) -> Report {
        let step = self.step(now);
        let ranks = self.ranks.iter().enumerate();
        let mut report = Report {
            kinds: self.kinds.rows(step),
            ranks: ranks
                .filter_map(|(rank, series)| series.row(&rank.to_string(), step))
                .collect(),
            customers: self.customers.rows(step),
        };
        // The sort is stable, so customers with the same burn stay in order of name.
        report
            .customers
            .sort_by(|a, b| b.short.burn.total_cmp(&a.short.burn));
        report
    }

    fn step(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.start).as_secs() / STEP.as_secs()
    }
}

fn allowed(target: f64) -> f64 {
    ((100.0 - target) / 100.0).clamp(MIN_ALLOWED, 1.0)
}

/// Series by name, at most `limit` of them and one for all further names.
#[derive(Debug)]
struct Table {
    limit: usize,
    swept: u64,
    series: HashMap<Arc<str>, Series>,
    other: Series,
}

impl Table {
    fn new(limit: usize) -> Self {
        Self {
            limit,
            swept: 0,
            series: HashMap::new(),
            other: Series::default(),
        }
    }

    fn series(&mut self, name: &Arc<str>, step: u64) -> &mut Series {
        // A caller may name itself as the row of the rest is named.
        if **name == *OTHER_NAME {
            return &mut self.other;
        }
        // A full table is swept at most once a bucket, so a flood of names costs no scan per call.
        if self.series.len() >= self.limit && self.swept < step && !self.series.contains_key(name) {
            self.swept = step;
            self.series
                .retain(|_, series| series.window(step, BUCKETS as u64).counts.total() > 0);
        }
        if self.series.len() >= self.limit && !self.series.contains_key(name) {
            return &mut self.other;
        }
        self.series.entry(Arc::clone(name)).or_default()
    }

    fn rows(&self, step: u64) -> Vec<Row> {
        let rows = self
            .series
            .iter()
            .filter_map(|(name, series)| series.row(name, step));
        let mut rows: Vec<Row> = rows.collect();
        rows.sort_by(|a, b| a.name.cmp(&b.name));
        rows.extend(self.other.row(OTHER_NAME, step));
        rows
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    counts: Counts,
    /// Bad calls that the targets allow.
    allowed: f64,
}

/// Ring of buckets, 5 KB. The bucket of a step is at its remainder.
#[derive(Debug)]
struct Series {
    newest: u64,
    buckets: Box<[Bucket; BUCKETS]>,
}

impl Default for Series {
    fn default() -> Self {
        Self {
            newest: 0,
            buckets: Box::new([Bucket::default(); BUCKETS]),
        }
    }
}

impl Series {
    fn record(&mut self, step: u64, outcome: Outcome, allowed: f64) {
        self.advance(step);
        // Time passed in by several threads may arrive slightly out of order.
        let bucket = &mut self.buckets[(self.newest % BUCKETS as u64) as usize];
        bucket.counts.count(outcome);
        bucket.allowed += allowed;
    }

    fn advance(&mut self, step: u64) {
        let stale = step.saturating_sub(self.newest).min(BUCKETS as u64);
        for back in 0..stale {
            self.buckets[((step - back) % BUCKETS as u64) as usize] = Bucket::default();
        }
        self.newest = self.newest.max(step);
    }

    /// Sum of the `length` buckets up to `step`.
    fn window(&self, step: u64, length: u64) -> Bucket {
        let step = step.max(self.newest);
        let mut sum = Bucket::default();
        for back in 0..length.min(BUCKETS as u64) {
            let Some(at) = step.checked_sub(back) else {
                break;
            };
            // Buckets newer than the last call do not exist yet.
            if at <= self.newest && self.newest - at < BUCKETS as u64 {
                let bucket = &self.buckets[(at % BUCKETS as u64) as usize];
                sum.counts.add(&bucket.counts);
                sum.allowed += bucket.allowed;
            }
        }
        sum
    }

    fn row(&self, name: &str, step: u64) -> Option<Row> {
        let long = self.window(step, BUCKETS as u64);
        let total = long.counts.total();
        (total > 0).then(|| Row {
            name: name.to_owned(),
            target_percent: 100.0 * (1.0 - long.allowed / total as f64),
            short: self.window(step, SHORT_BUCKETS).into(),
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
