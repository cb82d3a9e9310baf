//! AdmissionLevel level fed back along the chain.
//!
//! A receiver measures how long calls wait for a slot. When the wait or the refusals pass a bound,
//! its [`LevelController`] lowers the admitted [`Level`]; when calls wait little, the level rises in
//! growing steps. Steps are randomised per daemon so that many daemons do not move in lockstep.
//! Answers carry the result as [`AdmissionLevel`] to the entry daemons, whose [`LevelTable`] refuses calls
//! that the receiver would refuse, before any work is done for them.

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

/// Place of a chain within its rank, given by [`BucketAssigner`]. A chain keeps its bucket, so all its calls
/// are admitted or refused alike.
pub type Bucket = u8;

/// Number of buckets.
pub const BUCKET_COUNT: u8 = 128;
/// Highest bucket.
pub const LAST_BUCKET: Bucket = BUCKET_COUNT - 1;

/// Last rank and bucket that are admitted. A higher level admits more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Level {
    /// Lowest admitted rank.
    pub rank: Rank,
    /// Last admitted bucket of that rank.
    pub bucket: Bucket,
}

impl Level {
    /// Admits everything.
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

/// Text that is not a level.
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

/// What a receiver admits: all calls up to a level, and of each rank beyond it the first buckets
/// that fill the floor of the rank.
///
/// The text form is the level, then `+RANK.BUCKETS` for each rank with a floor that reaches beyond
/// the level, as in `0.13+4.20+7.5`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLevel {
    /// Level that holds for all ranks.
    pub level: Level,
    /// Number of buckets of each rank admitted for its floor.
    pub floors: [u8; RANK_COUNT],
}

impl AdmissionLevel {
    /// Admits everything.
    pub const FULL: Self = Self {
        level: Level::FULL,
        floors: [0; RANK_COUNT],
    };

    /// Whether a call of this rank and bucket is admitted.
    #[must_use]
    pub fn admits(&self, rank: Rank, bucket: Bucket) -> bool {
        self.level.admits(rank, bucket) || bucket < self.floors[usize::from(rank.min(LOWEST_RANK))]
    }

    /// Number of admitted buckets of each rank.
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

    /// The level that covers all whole ranks, with the rest as floors.
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

/// Calls of one window that count for one control decision.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    arrived: u32,
    refused: u32,
    left: u32,
    waited: f64,
    /// Calls by which the queue grew, probes included.
    growth: i32,
    windows: u32,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Verdict {
    /// Calls wait, but too few were counted to tell by how much to cut: look on.
    Unclear,
    /// Calls wait or are refused: admit this many times as many calls as now.
    Scale(f64),
    /// Calls hardly wait, so the capacity is not known: admit somewhat more.
    Raise,
}

impl Tally {
    const REFUSED_BOUND: f64 = 0.05;
    const LEAST_SCALE: f64 = 0.2;
    const MOST_SCALE: f64 = 1.2;
    const MOST_DRAIN: f64 = 0.2;
    /// Time in seconds over which a queue is brought to the target.
    const DRAIN_TIME: f64 = 0.5;
    const DRAIN_WAITS: f64 = 10.0;
    /// Calls that may wait whatever the target, because the wait behind a few calls varies by
    /// chance and says little about overload where calls start seldom.
    const FEW_CALLS: f64 = 8.0;
    const CLEAR_CALLS: u32 = 25;
    const CLEAR_WINDOWS: u32 = 10;
    const MOST_TARGETS: f64 = 10.0;

    fn add(&mut self, other: &Self) {
        self.arrived += other.arrived;
        self.refused += other.refused;
        self.left += other.left;
        self.waited += other.waited;
        self.growth += other.growth;
        self.windows = self.windows.max(other.windows);
    }

    fn wait(&self) -> f64 {
        self.waited / f64::from(self.left.max(1))
    }

    /// Target that allows for a few calls in the queue.
    fn target(&self, target: f64) -> f64 {
        let time = LevelController::WINDOW.as_secs_f64() * f64::from(self.windows.max(1));
        let interval = time / f64::from(self.left.max(1));
        let few = Self::FEW_CALLS * interval;
        few.clamp(target, target * Self::MOST_TARGETS)
    }

    /// Whether calls hardly wait and are hardly refused.
    fn calm(&self, target: f64) -> bool {
        let refused = f64::from(self.refused);
        let bound = f64::from(self.arrived.max(1)) * Self::REFUSED_BOUND;
        self.wait() <= self.target(target) / 2.0 && refused <= bound
    }

    /// Verdict on this window.
    ///
    /// While calls wait, the number served is the capacity. Arrivals are brought to that number, a
    /// bit less while the wait is above three quarters of the target and a bit more below. Steps
    /// that follow the wait alone would cut on while a long queue is already emptying.
    fn verdict(&self, target: f64) -> Verdict {
        if self.calm(target) {
            return Verdict::Raise;
        }
        if self.arrived < Self::CLEAR_CALLS && self.windows < Self::CLEAR_WINDOWS {
            return Verdict::Unclear;
        }
        let arrived = f64::from(self.arrived.max(1));
        let served = arrived - f64::from(self.refused) - f64::from(self.growth);
        // A long queue is brought down slowly: calls on the way here keep coming for about its wait.
        let time = Self::DRAIN_TIME + Self::DRAIN_WAITS * self.wait();
        let drain = (self.wait() - self.target(target) * 0.75) / time;
        let scale = served / arrived * (1.0 - drain.min(Self::MOST_DRAIN));
        Verdict::Scale(scale.clamp(Self::LEAST_SCALE, Self::MOST_SCALE))
    }
}

/// Level of one receiver, driven by the time that calls wait for a slot.
#[derive(Clone, Debug)]
pub struct LevelController {
    target: Duration,
    level: Level,
    rng: SmallRng,
    closes: Option<Instant>,
    /// The last window changed the level, so this one still holds calls sent before the change.
    settling: bool,
    tallies: [Tally; RANK_COUNT],
    /// Calls of this window by rank and bucket, probes included.
    arrived: Box<[[u32; BUCKET_COUNT as usize]; RANK_COUNT]>,
    seen: [Option<Instant>; RANK_COUNT],
    calm: u32,
    floors: [Floor; RANK_COUNT],
}

/// BucketAssigner of one rank admitted for its floor.
#[derive(Clone, Copy, Debug, Default)]
struct Floor {
    kept: bool,
    unfilled: bool,
    buckets: u8,
    calm: u32,
    tally: Tally,
    settling: bool,
}

impl LevelController {
    /// Mean time that calls may wait for a slot.
    pub const TARGET: Duration = Duration::from_millis(20);

    const WINDOW: Duration = Duration::from_millis(100);
    const DEMAND_LIFE: Duration = Duration::from_secs(2);
    const STEP: f64 = 0.5;
    const STEP_PART: f64 = 0.02;
    const FLOOR_STEP: f64 = 1.0;
    const FLOOR_SCALE: f64 = 0.6;
    const SLOW_STEPS: u32 = 4;
    const MOST_DOUBLINGS: u32 = 8;
    const ENTRY_STEP: u32 = 4;
    const ENTRY_CALM: u32 = Self::SLOW_STEPS + 3;

    /// A meter that admits everything. `seed` differs per daemon.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            target: Self::TARGET,
            level: Level::FULL,
            rng: SmallRng::seed_from_u64(seed),
            closes: None,
            settling: false,
            tallies: [Tally::default(); RANK_COUNT],
            arrived: Box::new([[0; BUCKET_COUNT as usize]; RANK_COUNT]),
            seen: [None; RANK_COUNT],
            calm: 0,
            floors: [Floor::default(); RANK_COUNT],
        }
    }

    /// Sets the mean time that calls may wait for a slot.
    #[must_use]
    pub const fn with_target(mut self, target: Duration) -> Self {
        self.target = target;
        self
    }

    /// Tells which ranks have a floor.
    pub fn set_floors(&mut self, percents: [u8; RANK_COUNT]) {
        for (floor, percent) in self.floors.iter_mut().zip(percents) {
            if (percent > 0) != floor.kept {
                *floor = Floor {
                    kept: percent > 0,
                    buckets: if percent > 0 { BUCKET_COUNT } else { 0 },
                    ..Floor::default()
                };
            }
        }
    }

    /// Tells which ranks use less than their floor. Such a floor is not lowered: its calls wait by
    /// chance, and start before others.
    pub fn set_unfilled(&mut self, unfilled: [bool; RANK_COUNT]) {
        for (floor, unfilled) in self.floors.iter_mut().zip(unfilled) {
            floor.unfilled = unfilled;
        }
    }

    /// What is admitted now.
    #[must_use]
    pub fn admitted(&self) -> AdmissionLevel {
        AdmissionLevel {
            level: self.level,
            floors: self.floors.map(|floor| floor.buckets),
        }
    }

    /// Counts a call that arrived.
    pub fn arrived(&mut self, now: Instant, rank: Rank, bucket: Bucket) {
        self.tick(now);
        let index = usize::from(rank);
        self.seen[index] = Some(now);
        self.arrived[index][usize::from(bucket)] += 1;
        self.count(rank, bucket, 1, |tally| tally.arrived += 1);
    }

    /// Counts a call that left the queue after `wait`, to run or because it was too late.
    pub fn left(&mut self, rank: Rank, bucket: Bucket, wait: Duration) {
        self.count(rank, bucket, -1, |tally| {
            tally.left += 1;
            tally.waited += wait.as_secs_f64();
        });
    }

    /// Counts a call that was refused for lack of capacity.
    pub fn refused(&mut self, rank: Rank, bucket: Bucket) {
        self.count(rank, bucket, -1, |tally| tally.refused += 1);
    }

    /// Counts for the level or for the floor of the rank. Probes beyond both count for neither: they
    /// wait because they are beyond the level, and counting them would lower it further.
    fn count(&mut self, rank: Rank, bucket: Bucket, growth: i32, add: impl FnOnce(&mut Tally)) {
        let tally = &mut self.tallies[usize::from(rank)];
        let floor = &mut self.floors[usize::from(rank)];
        tally.growth += growth;
        floor.tally.growth += growth;
        if self.level.admits(rank, bucket) {
            add(tally);
        } else if bucket < floor.buckets {
            add(&mut floor.tally);
        }
    }

    /// Closes the window when its time has come.
    pub fn tick(&mut self, now: Instant) {
        match self.closes {
            Some(closes) if now < closes => return,
            Some(_) => self.step(now),
            None => {}
        }
        let jitter = self.rng.random_range(0.8..1.2);
        self.closes = Some(now + Self::WINDOW.mul_f64(jitter));
    }

    fn step(&mut self, now: Instant) {
        let target = self.target.as_secs_f64();
        let mut total = Tally::default();
        for (rank, tally) in self.tallies.iter_mut().enumerate() {
            tally.windows += 1;
            if rank <= usize::from(self.level.rank) {
                total.add(tally);
            }
        }
        for floor in &mut self.floors {
            floor.step(target, &mut self.rng);
        }
        match total.verdict(target) {
            _ if std::mem::take(&mut self.settling) => {}
            Verdict::Unclear => return,
            Verdict::Scale(scale) => {
                self.calm = 0;
                self.settling = true;
                let scale = scale.powf(self.rng.random_range(0.75..1.25));
                let change = f64::from(total.arrived) * (scale - 1.0);
                if change < 0.0 {
                    self.lower(-change, target);
                } else {
                    let step = round(change / self.density(), &mut self.rng);
                    self.raise(now, step);
                }
            }
            Verdict::Raise => {
                let part = f64::from(total.arrived) * Self::STEP_PART / self.density();
                let step = raise_step(self.calm, Self::STEP + part, &mut self.rng);
                self.calm += 1;
                self.raise(now, step);
            }
        }
        self.tallies = [Tally::default(); RANK_COUNT];
        *self.arrived = [[0; BUCKET_COUNT as usize]; RANK_COUNT];
    }

    /// Calls of this window per bucket, just below the level.
    fn density(&self) -> f64 {
        let last = usize::from(self.level.bucket);
        let first = last.saturating_sub(8);
        let buckets = &self.arrived[usize::from(self.level.rank)][first..=last];
        let sum: u32 = buckets.iter().sum();
        (f64::from(sum) / buckets.len() as f64).max(1.0)
    }

    /// Lowers the level by a number of calls of this window. A rank whose own calls hardly wait is
    /// not cut, however much the ranks below it were.
    fn lower(&mut self, mut excess: f64, target: f64) {
        loop {
            let Level { rank, bucket } = self.level;
            let here = f64::from(self.arrived[usize::from(rank)][usize::from(bucket)]);
            if here > excess {
                if self.rng.random_bool(1.0 - excess / here) {
                    return;
                }
                excess = here;
            }
            excess -= here;
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
            if self.tallies[usize::from(rank - 1)].calm(target) {
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
        // Ranks without demand are passed over: they would take many steps and admit nothing.
        let next = (self.level.rank + 1..=LOWEST_RANK).find(|rank| self.wanted(now, *rank));
        self.level = match next {
            Some(rank) if self.level.bucket == LAST_BUCKET => {
                // The demand of the next rank is not known, so it is opened with a small step.
                self.calm = self.calm.min(Self::ENTRY_CALM);
                let bucket = step.min(Self::ENTRY_STEP) as Bucket - 1;
                Level { rank, bucket }
            }
            Some(_) => Level {
                rank: self.level.rank,
                bucket: LAST_BUCKET,
            },
            None => Level::FULL,
        };
    }

    fn wanted(&self, now: Instant, rank: Rank) -> bool {
        self.seen[usize::from(rank)]
            .is_some_and(|seen| now.saturating_duration_since(seen) < Self::DEMAND_LIFE)
    }
}

impl Floor {
    fn step(&mut self, target: f64, rng: &mut SmallRng) {
        self.tally.windows += 1;
        let verdict = self.tally.verdict(target);
        if verdict == Verdict::Unclear && !self.settling {
            return;
        }
        self.tally = Tally::default();
        if !self.kept || std::mem::take(&mut self.settling) {
            return;
        }
        let buckets = match verdict {
            Verdict::Unclear => return,
            Verdict::Scale(scale) if scale < 1.0 && self.unfilled => return,
            Verdict::Scale(scale) => {
                self.calm = 0;
                self.settling = true;
                // A floor holds few calls, so a window can look far worse than it is.
                let scale = scale.max(LevelController::FLOOR_SCALE);
                let scale = scale.powf(rng.random_range(0.75..1.25));
                round(BucketAssigner::scaled(self.buckets, scale), rng).max(1)
            }
            Verdict::Raise => {
                let step = raise_step(self.calm, LevelController::FLOOR_STEP, rng);
                self.calm += 1;
                u32::from(self.buckets) + step
            }
        };
        self.buckets = buckets.min(BUCKET_COUNT.into()) as u8;
    }
}

/// BucketAssigner to add after `calm` windows in a row without overload. `base` holds a part that does not
/// depend on the level: with proportional cuts it makes the levels of receivers of a service alike.
fn raise_step(calm: u32, base: f64, rng: &mut SmallRng) -> u32 {
    let doublings = calm.saturating_sub(LevelController::SLOW_STEPS);
    let step = base * f64::from(1_u32 << doublings.min(LevelController::MOST_DOUBLINGS));
    round(step * rng.random_range(0.5..1.5), rng)
}

/// Rounds up or down at random so that the mean is `value`. Steps of less than a bucket are real
/// steps on average, and daemons that see the same overload do not take them at the same time.
fn round(value: f64, rng: &mut SmallRng) -> u32 {
    (value + rng.random::<f64>()) as u32
}

/// Levels of the services that an entry daemon calls, and the services reached through them.
#[derive(Clone, Debug, Default)]
pub struct LevelTable {
    services: HashMap<ServiceName, Observed>,
    paths: HashMap<KindName, HashMap<ServiceName, Vec<Reach>>>,
}

/// AdmissionLevel buckets of each rank of one service, averaged over the endpoints that answered of late.
///
/// BucketAssigner are averaged and not levels: a single receiver whose level passes several empty ranks
/// would move the mean level of all calls.
#[derive(Clone, Copy, Debug)]
struct Observed {
    at: Instant,
    buckets: [f32; RANK_COUNT],
    probe_at: Instant,
}

/// How often calls of one kind to one service reach another service.
#[derive(Clone, Debug)]
struct Reach {
    service: ServiceName,
    at: Instant,
    share: f32,
}

impl LevelTable {
    /// Age at which a level no longer refuses calls.
    pub const LEVEL_LIFE: Duration = Duration::from_secs(3);
    /// Age at which an unseen path is forgotten.
    pub const PATH_LIFE: Duration = Duration::from_secs(30);

    const SMOOTHING: Duration = Duration::from_millis(50);
    const PROBE_INTERVAL: Duration = Duration::from_secs(1);
    const PROBE_SHARE: f64 = 0.01;
    const REACH_WEIGHT: f32 = 0.05;
    const REACH_SHARE: f32 = 0.5;
    const LONGEST_PATH: usize = 16;

    /// An empty table: everything is admitted.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the level of an answer from an endpoint of `service`.
    pub fn observe(&mut self, now: Instant, service: &ServiceName, admitted: AdmissionLevel) {
        let buckets = admitted.buckets().map(f32::from);
        let Some(old) = self.services.get_mut(service) else {
            let fresh = Observed {
                at: now,
                buckets,
                probe_at: now + Self::PROBE_INTERVAL,
            };
            self.services.insert(Arc::clone(service), fresh);
            return;
        };
        let age = now.saturating_duration_since(old.at).as_secs_f64();
        let weight = 1.0 - (-age / Self::SMOOTHING.as_secs_f64()).exp();
        // Answers in the same instant still count, or a burst of them would be ignored.
        let weight = weight.max(0.02);
        old.at = now;
        for (old, new) in old.buckets.iter_mut().zip(buckets) {
            *old += weight as f32 * (new - *old);
        }
    }

    /// Takes the services that one call of `kind` to `service` reached further down.
    pub fn observe_path(
        &mut self,
        now: Instant,
        kind: &KindName,
        service: &ServiceName,
        reached: &[ServiceName],
    ) {
        if !self.paths.contains_key(kind) {
            self.paths.insert(Arc::clone(kind), HashMap::new());
        }
        let Some(paths) = self.paths.get_mut(kind) else {
            return;
        };
        if reached.is_empty() && !paths.contains_key(service) {
            return;
        }
        let path = paths.entry(Arc::clone(service)).or_default();
        for reach in &mut *path {
            let hit = reached.contains(&reach.service);
            if hit {
                reach.at = now;
            }
            let target = if hit { 1.0 } else { 0.0 };
            reach.share += Self::REACH_WEIGHT * (target - reach.share);
        }
        path.retain(|reach| now.saturating_duration_since(reach.at) < Self::PATH_LIFE);
        for service in reached {
            let known = path.iter().any(|reach| reach.service == *service);
            if !known && path.len() < Self::LONGEST_PATH {
                path.push(Reach {
                    service: Arc::clone(service),
                    at: now,
                    share: 1.0,
                });
            }
        }
    }

    /// Whether a call may be sent: the service, and those that this kind usually reaches through
    /// it, admit the rank and bucket, or the call is a probe.
    pub fn admit(
        &mut self,
        now: Instant,
        service: &ServiceName,
        kind: &KindName,
        rank: Rank,
        bucket: Bucket,
        rng: &mut impl Rng,
    ) -> bool {
        let path = self.paths.get(kind).and_then(|paths| paths.get(service));
        let usual = path.into_iter().flatten().filter(|reach| {
            reach.share >= Self::REACH_SHARE
                && now.saturating_duration_since(reach.at) < Self::PATH_LIFE
        });
        let deeper = usual.map(|reach| &reach.service);
        let mut refused = None;
        for service in std::iter::once(service).chain(deeper) {
            let Some(observed) = self.services.get(service) else {
                continue;
            };
            let fresh = now.saturating_duration_since(observed.at) < Self::LEVEL_LIFE;
            if fresh && !observed.admits(rank, bucket) {
                refused = Some(Arc::clone(service));
                break;
            }
        }
        let Some(observed) = refused.and_then(|service| self.services.get_mut(&service)) else {
            return true;
        };
        let probe = now >= observed.probe_at || rng.random_bool(Self::PROBE_SHARE);
        if probe {
            observed.probe_at = now + Self::PROBE_INTERVAL;
        }
        probe
    }

    /// Level of a service as last observed, for reports.
    #[must_use]
    pub fn level(&self, now: Instant, service: &ServiceName) -> AdmissionLevel {
        match self.services.get(service) {
            Some(old) if now.saturating_duration_since(old.at) < Self::LEVEL_LIFE => old.admitted(),
            _ => AdmissionLevel::FULL,
        }
    }

    /// Levels of a service and of those that this kind usually reaches through it.
    #[must_use]
    pub fn path_levels(
        &self,
        now: Instant,
        kind: &KindName,
        service: &ServiceName,
    ) -> Vec<(ServiceName, AdmissionLevel)> {
        let path = self.paths.get(kind).and_then(|paths| paths.get(service));
        let usual = path
            .into_iter()
            .flatten()
            .filter(|reach| reach.share >= Self::REACH_SHARE);
        std::iter::once(service)
            .chain(usual.map(|reach| &reach.service))
            .map(|service| (Arc::clone(service), self.level(now, service)))
            .collect()
    }

    /// Drops levels and paths that are too old. Call it every few seconds.
    pub fn tick(&mut self, now: Instant) {
        let fresh = |at: Instant, life| now.saturating_duration_since(at) < life;
        self.services
            .retain(|_, observed| fresh(observed.at, Self::LEVEL_LIFE));
        for paths in self.paths.values_mut() {
            paths.retain(|_, path| {
                path.retain(|reach| fresh(reach.at, Self::PATH_LIFE));
                !path.is_empty()
            });
        }
        self.paths.retain(|_, paths| !paths.is_empty());
    }
}

impl Observed {
    fn admits(&self, rank: Rank, bucket: Bucket) -> bool {
        f32::from(bucket) + 0.5 < self.buckets[usize::from(rank.min(LOWEST_RANK))]
    }

    fn admitted(&self) -> AdmissionLevel {
        AdmissionLevel::from_buckets(self.buckets.map(|buckets| buckets.round() as u8))
    }
}
