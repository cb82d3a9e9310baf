//! Admitted level, a threshold that gates feed back to the entries.
//!
//! A gate measures how long calls wait for a slot. When the wait or the refusals exceed a bound,
//! its [`LevelController`] lowers the admitted [`Level`]; when calls hardly wait, it raises the
//! level in growing steps. Steps are randomised per daemon so that many daemons do not move in
//! lockstep. Responses carry the result as an [`AdmissionLevel`] to the entries, whose
//! [`LevelTable`] refuses calls that the gate would refuse, before any work is done for them.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::id::{KindName, ServiceName};
use crate::rule::{LOWEST_RANK, RANK_COUNT, Rank};

mod bucket;
#[cfg(test)]
mod tests;

pub use bucket::BucketAssigner;

/// Position of a chain within its rank, assigned by [`BucketAssigner`]. All calls of a chain have
/// the same bucket, so they are admitted or refused alike.
pub type Bucket = u8;

/// Number of buckets.
pub const BUCKET_COUNT: u8 = 128;
/// Highest bucket.
pub const LAST_BUCKET: Bucket = BUCKET_COUNT - 1;

/// Threshold of admission: all calls up to this rank and bucket are admitted. A higher level admits
/// more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Level {
    /// Least urgent admitted rank.
    pub rank: Rank,
    /// Last admitted bucket of that rank.
    pub bucket: Bucket,
}

impl Level {
    /// Admits all calls.
    pub const FULL: Self = Self {
        rank: LOWEST_RANK,
        bucket: LAST_BUCKET,
    };
    /// Admits one bucket of the most urgent rank.
    pub const LEAST: Self = Self { rank: 0, bucket: 0 };

    /// Whether a call of this rank and bucket is admitted.
    #[must_use]
    pub fn admits(self, rank: Rank, bucket: Bucket) -> bool {
        Self { rank, bucket } <= self
    }
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.rank, self.bucket)
    }
}

/// Error for text that is not a level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LevelError;

impl fmt::Display for LevelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("level is not of the form RANK.BUCKET; ignore the header")
    }
}

impl std::error::Error for LevelError {}

impl FromStr for Level {
    type Err = LevelError;

    fn from_str(text: &str) -> Result<Self, LevelError> {
        let (rank, bucket) = text.split_once('.').ok_or(LevelError)?;
        let rank = rank.parse().map_err(|_| LevelError)?;
        let bucket = bucket.parse().map_err(|_| LevelError)?;
        if rank > LOWEST_RANK || bucket > LAST_BUCKET {
            return Err(LevelError);
        }
        Ok(Self { rank, bucket })
    }
}

/// Calls that a gate admits: all up to a level, and of each less urgent rank as many buckets as its
/// floor needs.
///
/// The text form is the level, then `+RANK.BUCKETS` for each rank whose floor admits buckets beyond
/// the level, as in `0.13+4.20+7.5`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLevel {
    /// Level up to which all calls are admitted.
    pub level: Level,
    /// Number of buckets admitted for the floor of each rank.
    pub floors: [u8; RANK_COUNT],
}

impl AdmissionLevel {
    /// Admits all calls.
    pub const FULL: Self = Self {
        level: Level::FULL,
        floors: [0; RANK_COUNT],
    };

    /// Whether a call of this rank and bucket is admitted.
    #[must_use]
    pub fn admits(&self, rank: Rank, bucket: Bucket) -> bool {
        self.level.admits(rank, bucket) || bucket < self.floors[usize::from(rank.min(LOWEST_RANK))]
    }

    /// Returns the number of admitted buckets of each rank.
    fn buckets(&self) -> [u8; RANK_COUNT] {
        let mut buckets = self.floors;
        for (rank, buckets) in buckets.iter_mut().enumerate() {
            match rank.cmp(&usize::from(self.level.rank)) {
                Ordering::Less => *buckets = BUCKET_COUNT,
                Ordering::Equal => *buckets = (*buckets).max(self.level.bucket + 1),
                Ordering::Greater => {}
            }
        }
        buckets
    }

    /// Builds the highest level that these buckets admit, with the buckets beyond it as floors.
    fn from_buckets(buckets: [u8; RANK_COUNT]) -> Self {
        let whole = buckets.iter().take_while(|count| **count >= BUCKET_COUNT);
        let rank = whole.count();
        let level = match buckets.get(rank) {
            None => Level::FULL,
            Some(0) if rank == 0 => Level::LEAST,
            Some(0) => Level {
                rank: rank as Rank - 1,
                bucket: LAST_BUCKET,
            },
            Some(count) => Level {
                rank: rank as Rank,
                bucket: count - 1,
            },
        };
        let mut floors = buckets;
        floors[..rank].fill(0);
        Self { level, floors }
    }
}

impl fmt::Display for AdmissionLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.level)?;
        for rank in self.level.rank..=LOWEST_RANK {
            let buckets = self.floors[usize::from(rank)];
            if buckets > 0 && !self.level.admits(rank, buckets - 1) {
                write!(f, "+{rank}.{buckets}")?;
            }
        }
        Ok(())
    }
}

impl FromStr for AdmissionLevel {
    type Err = LevelError;

    fn from_str(text: &str) -> Result<Self, LevelError> {
        let mut parts = text.split('+');
        let level = parts.next().ok_or(LevelError)?.parse()?;
        let mut floors = [0; RANK_COUNT];
        for part in parts {
            let (rank, buckets) = part.split_once('.').ok_or(LevelError)?;
            let rank: usize = rank.parse().map_err(|_| LevelError)?;
            let buckets: u8 = buckets.parse().map_err(|_| LevelError)?;
            let floor = floors.get_mut(rank).ok_or(LevelError)?;
            *floor = buckets.min(BUCKET_COUNT);
        }
        Ok(Self { level, floors })
    }
}

/// Calls counted since the last adjustment of the level.
#[derive(Clone, Copy, Debug, Default)]
struct CallCounts {
    arrived: u32,
    refused: u32,
    /// Calls that left the queue to run or because their deadline passed.
    dequeued: u32,
    wait_seconds: f64,
    /// Growth of the queue in calls, probes included.
    queue_growth: i32,
    windows: u32,
}

/// Adjustment of the number of admitted calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Adjustment {
    /// Calls wait, but too few were counted to choose a scale: keep counting.
    TooFewCalls,
    /// Calls wait or are refused: multiply the admitted calls by this factor.
    Scale(f64),
    /// Calls hardly wait, so the capacity is not known: admit slightly more.
    Raise,
}

impl CallCounts {
    const MAX_REFUSED_FRACTION: f64 = 0.05;
    const MIN_SCALE: f64 = 0.2;
    const MAX_SCALE: f64 = 1.2;
    /// Largest fraction by which calls are cut below the number served, to drain a queue.
    const MAX_DRAIN_FRACTION: f64 = 0.2;
    /// Time in which a queue is reduced to the target wait.
    const DRAIN_SECONDS: f64 = 0.5;
    /// Additional time for draining, as a multiple of the mean wait.
    const DRAIN_WAIT_FACTOR: f64 = 10.0;
    /// Queued calls allowed whatever the target: where calls start rarely, the wait behind a few
    /// calls varies by chance and says little about overload.
    const TOLERATED_QUEUED_CALLS: f64 = 8.0;
    /// Arrivals to count before the admitted calls are scaled. After `MAX_DECISION_WINDOWS` windows
    /// fewer are enough.
    const MIN_DECISION_CALLS: u32 = 25;
    const MAX_DECISION_WINDOWS: u32 = 10;
    /// Largest factor by which the target is raised for the tolerated queued calls.
    const MAX_TARGET_FACTOR: f64 = 10.0;

    fn add(&mut self, other: &Self) {
        self.arrived += other.arrived;
        self.refused += other.refused;
        self.dequeued += other.dequeued;
        self.wait_seconds += other.wait_seconds;
        self.queue_growth += other.queue_growth;
        self.windows = self.windows.max(other.windows);
    }

    fn mean_wait(&self) -> f64 {
        self.wait_seconds / f64::from(self.dequeued.max(1))
    }

    /// Target wait, raised so that a few queued calls are tolerated.
    fn adjusted_target(&self, target: f64) -> f64 {
        let time = LevelController::WINDOW.as_secs_f64() * f64::from(self.windows.max(1));
        let interval = time / f64::from(self.dequeued.max(1));
        let few = Self::TOLERATED_QUEUED_CALLS * interval;
        few.clamp(target, target * Self::MAX_TARGET_FACTOR)
    }

    /// Whether calls hardly wait and few are refused.
    fn is_underloaded(&self, target: f64) -> bool {
        let refused = f64::from(self.refused);
        let bound = f64::from(self.arrived.max(1)) * Self::MAX_REFUSED_FRACTION;
        self.mean_wait() <= self.adjusted_target(target) / 2.0 && refused <= bound
    }

    /// Chooses the adjustment for the counted calls.
    ///
    /// While calls wait, the number served is the capacity. Arrivals are scaled to that number,
    /// slightly below it while the wait is above three quarters of the target and slightly above it
    /// otherwise. A controller of the wait alone would keep cutting while a long queue already
    /// drains.
    fn adjustment(&self, target: f64) -> Adjustment {
        if self.is_underloaded(target) {
            return Adjustment::Raise;
        }
        if self.arrived < Self::MIN_DECISION_CALLS && self.windows < Self::MAX_DECISION_WINDOWS {
            return Adjustment::TooFewCalls;
        }
        let arrived = f64::from(self.arrived.max(1));
        let served = arrived - f64::from(self.refused) - f64::from(self.queue_growth);
        // A long queue is drained slowly: calls already on their way keep arriving for about its
        // wait.
        let time = Self::DRAIN_SECONDS + Self::DRAIN_WAIT_FACTOR * self.mean_wait();
        let drain = (self.mean_wait() - self.adjusted_target(target) * 0.75) / time;
        let scale = served / arrived * (1.0 - drain.min(Self::MAX_DRAIN_FRACTION));
        Adjustment::Scale(scale.clamp(Self::MIN_SCALE, Self::MAX_SCALE))
    }
}

/// Feedback controller of a gate's admitted level, driven by the time that calls wait for a slot.
#[derive(Clone, Debug)]
pub struct LevelController {
    wait_target: Duration,
    level: Level,
    rng: SmallRng,
    window_end: Option<Instant>,
    /// The level has just changed, so this window still contains calls sent before the change.
    settling: bool,
    counts: [CallCounts; RANK_COUNT],
    /// Calls that arrived since the last adjustment, by rank and bucket, probes included.
    arrived: Box<[[u32; BUCKET_COUNT as usize]; RANK_COUNT]>,
    last_arrivals: [Option<Instant>; RANK_COUNT],
    /// Consecutive raises.
    raise_count: u32,
    floors: [Floor; RANK_COUNT],
}

/// Controller of the buckets admitted for the floor of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Floor {
    enabled: bool,
    /// The rank uses less than its floor.
    underused: bool,
    buckets: u8,
    raise_count: u32,
    counts: CallCounts,
    settling: bool,
}

impl LevelController {
    /// Default target of the mean wait for a slot.
    pub const WAIT_TARGET: Duration = Duration::from_millis(20);

    const WINDOW: Duration = Duration::from_millis(100);
    const DEMAND_LIFETIME: Duration = Duration::from_secs(2);
    const RAISE_STEP_BUCKETS: f64 = 0.5;
    const RAISE_STEP_CALL_FRACTION: f64 = 0.02;
    const FLOOR_RAISE_STEP_BUCKETS: f64 = 1.0;
    const MIN_FLOOR_SCALE: f64 = 0.6;
    /// Count of consecutive raises above which each raise doubles the step.
    const SLOW_RAISE_COUNT: u32 = 4;
    const MAX_DOUBLINGS: u32 = 8;
    /// Largest number of buckets that the first raise into a rank admits.
    const MAX_NEW_RANK_BUCKETS: u32 = 4;
    /// Upper bound of the raise count on entering a rank, which bounds the next steps.
    const NEW_RANK_RAISE_COUNT: u32 = Self::SLOW_RAISE_COUNT + 3;

    /// Creates a controller that admits all calls. `seed` differs per daemon.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            wait_target: Self::WAIT_TARGET,
            level: Level::FULL,
            rng: SmallRng::seed_from_u64(seed),
            window_end: None,
            settling: false,
            counts: [CallCounts::default(); RANK_COUNT],
            arrived: Box::new([[0; BUCKET_COUNT as usize]; RANK_COUNT]),
            last_arrivals: [None; RANK_COUNT],
            raise_count: 0,
            floors: [Floor::default(); RANK_COUNT],
        }
    }

    /// Sets the target of the mean wait for a slot.
    #[must_use]
    pub const fn with_wait_target(mut self, target: Duration) -> Self {
        self.wait_target = target;
        self
    }

    /// Sets the floors of the ranks in percent; only whether a rank has one matters.
    pub fn set_floors(&mut self, percents: [u8; RANK_COUNT]) {
        for (floor, percent) in self.floors.iter_mut().zip(percents) {
            if (percent > 0) != floor.enabled {
                *floor = Floor {
                    enabled: percent > 0,
                    buckets: if percent > 0 { BUCKET_COUNT } else { 0 },
                    ..Floor::default()
                };
            }
        }
    }

    /// Sets which ranks use less than their floor. Such a floor is not lowered: its calls wait by
    /// chance only, since they start before others.
    pub fn set_underused(&mut self, underused: [bool; RANK_COUNT]) {
        for (floor, underused) in self.floors.iter_mut().zip(underused) {
            floor.underused = underused;
        }
    }

    /// Returns the currently admitted level.
    #[must_use]
    pub fn admitted(&self) -> AdmissionLevel {
        AdmissionLevel {
            level: self.level,
            floors: self.floors.map(|floor| floor.buckets),
        }
    }

    /// Counts a call that arrived.
    pub fn record_arrival(&mut self, now: Instant, rank: Rank, bucket: Bucket) {
        self.tick(now);
        let index = usize::from(rank);
        self.last_arrivals[index] = Some(now);
        self.arrived[index][usize::from(bucket)] += 1;
        self.record(rank, bucket, 1, |counts| counts.arrived += 1);
    }

    /// Counts a call that left the queue after `wait`, to run or because its deadline passed.
    pub fn record_dequeue(&mut self, rank: Rank, bucket: Bucket, wait: Duration) {
        self.record(rank, bucket, -1, |counts| {
            counts.dequeued += 1;
            counts.wait_seconds += wait.as_secs_f64();
        });
    }

    /// Counts a call that was refused for lack of capacity.
    pub fn record_refusal(&mut self, rank: Rank, bucket: Bucket) {
        self.record(rank, bucket, -1, |counts| counts.refused += 1);
    }

    /// Updates the counts of the level or of the rank's floor. Probes beyond both count for
    /// neither: they wait because they are beyond the level, and counting them would lower it
    /// further.
    fn record(
        &mut self,
        rank: Rank,
        bucket: Bucket,
        queue_change: i32,
        update: impl FnOnce(&mut CallCounts),
    ) {
        let counts = &mut self.counts[usize::from(rank)];
        let floor = &mut self.floors[usize::from(rank)];
        counts.queue_growth += queue_change;
        floor.counts.queue_growth += queue_change;
        if self.level.admits(rank, bucket) {
            update(counts);
        } else if bucket < floor.buckets {
            update(&mut floor.counts);
        }
    }

    /// Adjusts the level at the end of a window.
    pub fn tick(&mut self, now: Instant) {
        match self.window_end {
            Some(end) if now < end => return,
            Some(_) => self.adjust(now),
            None => {}
        }
        let jitter = self.rng.random_range(0.8..1.2);
        self.window_end = Some(now + Self::WINDOW.mul_f64(jitter));
    }

    fn adjust(&mut self, now: Instant) {
        let target = self.wait_target.as_secs_f64();
        let mut total = CallCounts::default();
        for (rank, counts) in self.counts.iter_mut().enumerate() {
            counts.windows += 1;
            if rank <= usize::from(self.level.rank) {
                total.add(counts);
            }
        }
        for floor in &mut self.floors {
            floor.adjust(target, &mut self.rng);
        }
        match total.adjustment(target) {
            _ if std::mem::take(&mut self.settling) => {}
            Adjustment::TooFewCalls => return,
            Adjustment::Scale(scale) => {
                self.raise_count = 0;
                self.settling = true;
                let scale = scale.powf(self.rng.random_range(0.75..1.25));
                let change = f64::from(total.arrived) * (scale - 1.0);
                if change < 0.0 {
                    self.lower(-change, target);
                } else {
                    let step = round_randomly(change / self.calls_per_bucket(), &mut self.rng);
                    self.raise(now, step);
                }
            }
            Adjustment::Raise => {
                let proportional = f64::from(total.arrived) * Self::RAISE_STEP_CALL_FRACTION
                    / self.calls_per_bucket();
                let step = raise_step(
                    self.raise_count,
                    Self::RAISE_STEP_BUCKETS + proportional,
                    &mut self.rng,
                );
                self.raise_count += 1;
                self.raise(now, step);
            }
        }
        self.counts = [CallCounts::default(); RANK_COUNT];
        *self.arrived = [[0; BUCKET_COUNT as usize]; RANK_COUNT];
    }

    /// Arrivals per bucket, averaged over the buckets just below the level.
    fn calls_per_bucket(&self) -> f64 {
        let last = usize::from(self.level.bucket);
        let first = last.saturating_sub(8);
        let buckets = &self.arrived[usize::from(self.level.rank)][first..=last];
        let sum: u32 = buckets.iter().sum();
        (f64::from(sum) / buckets.len() as f64).max(1.0)
    }

    /// Lowers the level by a number of the counted arrivals. A rank whose own calls hardly wait is
    /// not cut, however many calls of less urgent ranks were.
    fn lower(&mut self, mut excess_calls: f64, target: f64) {
        loop {
            let Level { rank, bucket } = self.level;
            let calls = f64::from(self.arrived[usize::from(rank)][usize::from(bucket)]);
            if calls > excess_calls {
                if self.rng.random_bool(1.0 - excess_calls / calls) {
                    return;
                }
                excess_calls = calls;
            }
            excess_calls -= calls;
            if self.level == Level::LEAST {
                return;
            }
            if bucket > 0 {
                self.level.bucket -= 1;
                continue;
            }
            self.level = Level {
                rank: rank - 1,
                bucket: LAST_BUCKET,
            };
            if self.counts[usize::from(rank - 1)].is_underloaded(target) {
                return;
            }
        }
    }

    fn raise(&mut self, now: Instant, step: u32) {
        let bucket = u32::from(self.level.bucket) + step;
        if step == 0 {
            return;
        }
        if bucket <= u32::from(LAST_BUCKET) {
            self.level.bucket = bucket as Bucket;
            return;
        }
        // Skips ranks without demand: raising through them takes many steps and admits nothing.
        let next = (self.level.rank + 1..=LOWEST_RANK).find(|rank| self.has_demand(now, *rank));
        self.level = match next {
            Some(rank) if self.level.bucket == LAST_BUCKET => {
                // The demand of the next rank is not known, so only a few of its buckets are
                // admitted.
                self.raise_count = self.raise_count.min(Self::NEW_RANK_RAISE_COUNT);
                let bucket = step.min(Self::MAX_NEW_RANK_BUCKETS) as Bucket - 1;
                Level { rank, bucket }
            }
            Some(_) => Level {
                rank: self.level.rank,
                bucket: LAST_BUCKET,
            },
            None => Level::FULL,
        };
    }

    fn has_demand(&self, now: Instant, rank: Rank) -> bool {
        self.last_arrivals[usize::from(rank)]
            .is_some_and(|arrival| now.saturating_duration_since(arrival) < Self::DEMAND_LIFETIME)
    }
}

impl Floor {
    fn adjust(&mut self, target: f64, rng: &mut SmallRng) {
        self.counts.windows += 1;
        let adjustment = self.counts.adjustment(target);
        if adjustment == Adjustment::TooFewCalls && !self.settling {
            return;
        }
        self.counts = CallCounts::default();
        if !self.enabled || std::mem::take(&mut self.settling) {
            return;
        }
        let buckets = match adjustment {
            Adjustment::TooFewCalls => return,
            Adjustment::Scale(scale) if scale < 1.0 && self.underused => return,
            Adjustment::Scale(scale) => {
                self.raise_count = 0;
                self.settling = true;
                // A floor has few calls, so one window can overstate the overload.
                let scale = scale.max(LevelController::MIN_FLOOR_SCALE);
                let scale = scale.powf(rng.random_range(0.75..1.25));
                round_randomly(BucketAssigner::scaled(self.buckets, scale), rng).max(1)
            }
            Adjustment::Raise => {
                let step = raise_step(
                    self.raise_count,
                    LevelController::FLOOR_RAISE_STEP_BUCKETS,
                    rng,
                );
                self.raise_count += 1;
                u32::from(self.buckets) + step
            }
        };
        self.buckets = buckets.min(BUCKET_COUNT.into()) as u8;
    }
}

/// Returns the buckets to add after `raise_count` consecutive raises. `base` includes a constant
/// that does not depend on the level: together with proportional cuts it makes the levels of the
/// gates of a service converge.
fn raise_step(raise_count: u32, base: f64, rng: &mut SmallRng) -> u32 {
    let doublings = raise_count.saturating_sub(LevelController::SLOW_RAISE_COUNT);
    let step = base * f64::from(1_u32 << doublings.min(LevelController::MAX_DOUBLINGS));
    round_randomly(step * rng.random_range(0.5..1.5), rng)
}

/// Rounds up or down at random so that the mean is `value`. Steps smaller than a bucket thus take
/// effect on average, and daemons with the same overload do not take them at the same time.
fn round_randomly(value: f64, rng: &mut SmallRng) -> u32 {
    (value + rng.random::<f64>()) as u32
}

/// What an entry has learned from responses: the admitted levels of services, and the dependencies
/// that calls of each kind reach.
#[derive(Clone, Debug, Default)]
pub struct LevelTable {
    services: HashMap<ServiceName, ServiceLevel>,
    /// Dependencies by kind and called service.
    dependencies: HashMap<KindName, HashMap<ServiceName, Vec<Dependency>>>,
}

/// Number of admitted buckets of each rank of one service, averaged over its recent responses.
///
/// Buckets are averaged instead of levels: a single gate whose level crosses several ranks without
/// demand would shift the mean level of all calls.
#[derive(Clone, Copy, Debug)]
struct ServiceLevel {
    updated: Instant,
    buckets: [f32; RANK_COUNT],
    next_probe: Instant,
}

/// A service reached through calls of one kind to another service.
#[derive(Clone, Debug)]
struct Dependency {
    service: ServiceName,
    last_reached: Instant,
    /// Fraction of the calls that reach it, as a moving average.
    call_fraction: f32,
}

impl LevelTable {
    /// Age at which a level no longer refuses calls.
    pub const LEVEL_LIFETIME: Duration = Duration::from_secs(3);
    /// Age at which a dependency that is no longer reached is removed.
    pub const DEPENDENCY_LIFETIME: Duration = Duration::from_secs(30);

    const SMOOTHING_TIME: Duration = Duration::from_millis(50);
    const PROBE_INTERVAL: Duration = Duration::from_secs(1);
    /// Fraction of the refused calls that are sent as probes, besides one in each interval.
    const PROBE_FRACTION: f64 = 0.01;
    const DEPENDENCY_SAMPLE_WEIGHT: f32 = 0.05;
    /// Fraction of the calls of a kind that must reach a dependency for its level to refuse them.
    const MIN_CALL_FRACTION: f32 = 0.5;
    const MAX_DEPENDENCIES: usize = 16;

    /// Creates an empty table, which admits all calls.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the admitted level that came with a response from an endpoint of `service`.
    pub fn observe(&mut self, now: Instant, service: &ServiceName, admitted: AdmissionLevel) {
        let buckets = admitted.buckets().map(f32::from);
        let Some(old) = self.services.get_mut(service) else {
            let fresh = ServiceLevel {
                updated: now,
                buckets,
                next_probe: now + Self::PROBE_INTERVAL,
            };
            self.services.insert(Arc::clone(service), fresh);
            return;
        };
        let age = now.saturating_duration_since(old.updated).as_secs_f64();
        let weight = 1.0 - (-age / Self::SMOOTHING_TIME.as_secs_f64()).exp();
        // Responses at the same instant still count, or a burst of them would be ignored.
        let weight = weight.max(0.02);
        old.updated = now;
        for (old, new) in old.buckets.iter_mut().zip(buckets) {
            *old += weight as f32 * (new - *old);
        }
    }

    /// Records the dependencies that one call of `kind` to `service` reached.
    pub fn observe_path(
        &mut self,
        now: Instant,
        kind: &KindName,
        service: &ServiceName,
        reached: &[ServiceName],
    ) {
        if !self.dependencies.contains_key(kind) {
            self.dependencies.insert(Arc::clone(kind), HashMap::new());
        }
        let Some(by_service) = self.dependencies.get_mut(kind) else {
            return;
        };
        if reached.is_empty() && !by_service.contains_key(service) {
            return;
        }
        let dependencies = by_service.entry(Arc::clone(service)).or_default();
        for dependency in &mut *dependencies {
            let is_reached = reached.contains(&dependency.service);
            if is_reached {
                dependency.last_reached = now;
            }
            let target = if is_reached { 1.0 } else { 0.0 };
            dependency.call_fraction +=
                Self::DEPENDENCY_SAMPLE_WEIGHT * (target - dependency.call_fraction);
        }
        dependencies.retain(|dependency| {
            now.saturating_duration_since(dependency.last_reached) < Self::DEPENDENCY_LIFETIME
        });
        for service in reached {
            let known = dependencies
                .iter()
                .any(|dependency| dependency.service == *service);
            if !known && dependencies.len() < Self::MAX_DEPENDENCIES {
                dependencies.push(Dependency {
                    service: Arc::clone(service),
                    last_reached: now,
                    call_fraction: 1.0,
                });
            }
        }
    }

    /// Whether a call may be sent: the service and the dependencies that this kind usually reaches
    /// through it admit the rank and bucket, or the call is a probe.
    pub fn admit(
        &mut self,
        now: Instant,
        service: &ServiceName,
        kind: &KindName,
        rank: Rank,
        bucket: Bucket,
        rng: &mut impl Rng,
    ) -> bool {
        let dependencies = self
            .dependencies
            .get(kind)
            .and_then(|by_service| by_service.get(service));
        let frequent = dependencies.into_iter().flatten().filter(|dependency| {
            dependency.call_fraction >= Self::MIN_CALL_FRACTION
                && now.saturating_duration_since(dependency.last_reached)
                    < Self::DEPENDENCY_LIFETIME
        });
        let services = frequent.map(|dependency| &dependency.service);
        let mut refused = None;
        for service in std::iter::once(service).chain(services) {
            let Some(level) = self.services.get(service) else {
                continue;
            };
            let fresh = now.saturating_duration_since(level.updated) < Self::LEVEL_LIFETIME;
            if fresh && !level.admits(rank, bucket) {
                refused = Some(Arc::clone(service));
                break;
            }
        }
        let Some(level) = refused.and_then(|service| self.services.get_mut(&service)) else {
            return true;
        };
        let probe = now >= level.next_probe || rng.random_bool(Self::PROBE_FRACTION);
        if probe {
            level.next_probe = now + Self::PROBE_INTERVAL;
        }
        probe
    }

    /// Returns the last known level of a service, for reports.
    #[must_use]
    pub fn level(&self, now: Instant, service: &ServiceName) -> AdmissionLevel {
        match self.services.get(service) {
            Some(level) if now.saturating_duration_since(level.updated) < Self::LEVEL_LIFETIME => {
                level.admitted()
            }
            _ => AdmissionLevel::FULL,
        }
    }

    /// Returns the levels of a service and of the dependencies that this kind usually reaches.
    #[must_use]
    pub fn path_levels(
        &self,
        now: Instant,
        kind: &KindName,
        service: &ServiceName,
    ) -> Vec<(ServiceName, AdmissionLevel)> {
        let dependencies = self
            .dependencies
            .get(kind)
            .and_then(|by_service| by_service.get(service));
        let frequent = dependencies
            .into_iter()
            .flatten()
            .filter(|dependency| dependency.call_fraction >= Self::MIN_CALL_FRACTION);
        std::iter::once(service)
            .chain(frequent.map(|dependency| &dependency.service))
            .map(|service| (Arc::clone(service), self.level(now, service)))
            .collect()
    }

    /// Removes expired levels and dependencies. Call it every few seconds.
    pub fn tick(&mut self, now: Instant) {
        let fresh = |at: Instant, life| now.saturating_duration_since(at) < life;
        self.services
            .retain(|_, level| fresh(level.updated, Self::LEVEL_LIFETIME));
        for by_service in self.dependencies.values_mut() {
            by_service.retain(|_, dependencies| {
                dependencies
                    .retain(|dependency| fresh(dependency.last_reached, Self::DEPENDENCY_LIFETIME));
                !dependencies.is_empty()
            });
        }
        self.dependencies
            .retain(|_, by_service| !by_service.is_empty());
    }
}

impl ServiceLevel {
    fn admits(&self, rank: Rank, bucket: Bucket) -> bool {
        f32::from(bucket) + 0.5 < self.buckets[usize::from(rank.min(LOWEST_RANK))]
    }

    fn admitted(&self) -> AdmissionLevel {
        AdmissionLevel::from_buckets(self.buckets.map(|buckets| buckets.round() as u8))
    }
}
