//! Admission control and priority queue in front of an endpoint.
//!
//! [`Admission`] decides which call runs next, which waits and which is refused. Calls are ordered
//! by rank, then by the fair share of their customer, then by deadline. A call that cannot finish
//! by its deadline is refused on arrival, not after it has waited.
//!
//! A floor reserves a fraction of the slots for a rank while that rank has calls. The fraction is
//! measured over about a second, so that a floor of 5% holds even with three slots.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::id::{CallId, CustomerName};
use crate::level::{AdmissionLevel, Bucket, LAST_BUCKET, LevelController};
use crate::limit::ConcurrencyLimiter;
use crate::refusal::{Reason, Refusal};
use crate::rule::{Class, LOWEST_RANK, RANK_COUNT, Rank};

use self::share::{FairShares, QueueEntry};

mod share;
#[cfg(test)]
mod tests;

/// A call submitted for admission.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Id of the call, unique among those queued or running.
    pub id: CallId,
    /// Class that the rules give the call.
    pub class: Class,
    /// Instant by which the response is needed.
    pub deadline: Instant,
    /// Bucket of the call's chain within its rank.
    pub bucket: Bucket,
}

/// Decision on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Forward the call to the endpoint now.
    Start(CallId),
    /// Refuse the call. It has not run.
    Refuse(CallId, Refusal),
}

/// Admission control of one endpoint.
#[derive(Clone, Debug)]
pub struct Admission {
    limiter: ConcurrencyLimiter,
    level_controller: LevelController,
    shares: FairShares,
    ranks: [RankState; RANK_COUNT],
    calls: HashMap<CallId, Call>,
    deadlines: BTreeSet<(Instant, CallId)>,
    running: u32,
    queue_limit: Option<usize>,
    sequence: u64,
    updated: Option<Instant>,
    draining: bool,
}

#[derive(Clone, Debug)]
struct Call {
    rank: Rank,
    bucket: Bucket,
    /// Key of the fair share that the call counts towards.
    share: u32,
    weight: u32,
    deadline: Instant,
    /// Order of arrival.
    sequence: u64,
    /// Admitted although the estimated hold time exceeds the remaining time, to correct the
    /// estimate.
    probe: bool,
    state: CallState,
}

#[derive(Clone, Copy, Debug)]
enum CallState {
    Waiting {
        since: Instant,
    },
    /// `charged` is the estimated hold time already added to the usage of the customer's share.
    Running {
        charged: Duration,
    },
}

/// Slot usage of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct RankState {
    /// Fraction of the slots reserved for the rank.
    floor: f64,
    running: u32,
    /// Fraction of the slots used, averaged over about a second.
    used_fraction: f64,
    hold_time: HoldTimeEstimate,
    next_probe: Option<Instant>,
}

/// Moving mean and mean deviation of a hold time, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct HoldTimeEstimate {
    mean: f64,
    deviation: f64,
    at: Option<Instant>,
}

impl HoldTimeEstimate {
    const MIN_SAMPLE_WEIGHT: f64 = 1.0 / 16.0;
    const TIME_CONSTANT_SECONDS: f64 = 0.5;

    /// Adds a sample. It weighs more after a pause, so that an estimate from a slow period does not
    /// outlast that period.
    fn record(&mut self, now: Instant, sample: f64) {
        let Some(at) = self.at else {
            *self = Self {
                mean: sample,
                deviation: sample / 2.0,
                at: Some(now),
            };
            return;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let weight =
            (1.0 - (-age / Self::TIME_CONSTANT_SECONDS).exp()).max(Self::MIN_SAMPLE_WEIGHT);
        let error = sample - self.mean;
        self.mean += weight * error;
        self.deviation += weight * (error.abs() - self.deviation);
        self.at = Some(now);
    }

    /// Time within which most calls finish.
    fn upper_bound(&self) -> f64 {
        self.mean + self.deviation
    }

    /// Shortest time that a call is expected to need.
    fn lower_bound(&self) -> f64 {
        (self.mean - self.deviation).max(0.0)
    }
}

impl Admission {
    const QUEUED_CALLS_PER_SLOT: usize = 4;
    const MIN_QUEUE_LIMIT: usize = 16;
    const USAGE_TIME_CONSTANT_SECONDS: f64 = 1.0;
    const PROBE_INTERVAL: Duration = Duration::from_secs(1);
    /// Smallest fraction of the slots that an estimate assumes to be free for a rank.
    const MIN_FREE_FRACTION: f64 = 0.01;

    /// Creates the admission control of an endpoint with `slots` slots. `seed` differs per daemon.
    #[must_use]
    pub fn new(slots: u32, seed: u64) -> Self {
        Self {
            limiter: ConcurrencyLimiter::new(slots),
            level_controller: LevelController::new(seed),
            shares: FairShares::new(seed),
            ranks: [RankState::default(); RANK_COUNT],
            calls: HashMap::new(),
            deadlines: BTreeSet::new(),
            running: 0,
            queue_limit: None,
            sequence: 0,
            updated: None,
            draining: false,
        }
    }

    /// Starts the warm-up of a newly started endpoint.
    #[must_use]
    pub fn with_cold_start(mut self, now: Instant) -> Self {
        self.limiter = self.limiter.with_cold_start(now);
        self
    }

    /// Sets the maximum number of waiting calls. The default is 4 per slot and at least 16.
    #[must_use]
    pub const fn with_queue_limit(mut self, limit: usize) -> Self {
        self.queue_limit = Some(limit);
        self
    }

    /// Sets the mean wait above which the admitted level is lowered.
    #[must_use]
    pub fn with_wait_target(mut self, target: Duration) -> Self {
        self.level_controller = self.level_controller.with_wait_target(target);
        self
    }

    /// Sets the percentage of the slots reserved for each rank.
    pub fn set_floors(&mut self, percents: [u8; RANK_COUNT]) {
        for (rank, percent) in self.ranks.iter_mut().zip(percents) {
            rank.floor = f64::from(percent.min(100)) / 100.0;
        }
        self.level_controller.set_floors(percents);
    }

    /// Sets the customers that the rules name. Each has a fair share of its own; all others are
    /// hashed by name onto 256 shares, which bounds the state.
    pub fn set_customers(&mut self, names: impl IntoIterator<Item = CustomerName>) {
        self.shares.set_named(names);
    }

    /// Sets the number of slots and returns the calls to start or refuse.
    pub fn set_slots(&mut self, now: Instant, slots: u32) -> Vec<Action> {
        self.limiter.set_slots(slots);
        self.tick(now)
    }

    /// Admitted level, sent to entries with each response.
    #[must_use]
    pub fn level(&self) -> AdmissionLevel {
        self.level_controller.admitted()
    }

    /// Maximum number of calls that may run concurrently.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limiter.limit()
    }

    /// Number of running calls.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Number of waiting calls.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.deadlines.len()
    }

    /// Running and waiting calls as a fraction of the limit, sent with each response.
    #[must_use]
    pub fn load(&self) -> f64 {
        (f64::from(self.running) + self.waiting() as f64) / f64::from(self.limit())
    }

    /// Submits a call. An id that is already waiting or running is ignored.
    pub fn submit(&mut self, now: Instant, request: &CallRequest) -> Vec<Action> {
        let mut actions = Vec::new();
        self.update(now, &mut actions);
        let id = request.id;
        if self.calls.contains_key(&id) {
            return actions;
        }
        let rank = request.class.rank.min(LOWEST_RANK);
        let bucket = request.bucket.min(LAST_BUCKET);
        if self.draining {
            actions.push(refuse(id, Reason::Draining));
            return actions;
        }
        self.level_controller.record_arrival(now, rank, bucket);
        let (share, weight) = self.shares.assign(&request.class);
        let mut call = Call {
            rank,
            bucket,
            share,
            weight,
            deadline: request.deadline,
            sequence: self.sequence,
            probe: false,
            state: CallState::Waiting { since: now },
        };
        self.sequence += 1;
        if let Some(refusal) = self.check_deadline(now, &mut call) {
            self.level_controller.record_refusal(rank, bucket);
            actions.push(Action::Refuse(id, refusal));
            return actions;
        }
        self.enqueue(id, call);
        self.start_calls(now, &mut actions);
        while self.waiting() > self.queue_limit() {
            let Some(victim) = self.victim() else { break };
            if let Some(call) = self.remove(victim) {
                self.level_controller.record_refusal(call.rank, call.bucket);
            }
            actions.push(refuse(victim, Reason::QueueFull));
        }
        actions
    }

    /// Ends a running call. `ok` tells whether the endpoint responded without an error of its own.
    pub fn finish(&mut self, now: Instant, id: CallId, latency: Duration, ok: bool) -> Vec<Action> {
        let mut actions = Vec::new();
        self.update(now, &mut actions);
        let running = self.running;
        if let Some(rank) = self.end_running(id, latency) {
            self.limiter.record_call(now, latency, ok, running);
            let hold_time = &mut self.ranks[usize::from(rank)].hold_time;
            let sample = latency.as_secs_f64();
            if ok || sample > hold_time.mean {
                hold_time.record(now, sample);
            }
        }
        self.start_calls(now, &mut actions);
        actions
    }

    /// Removes a call that its caller has cancelled. Its latency is not recorded.
    pub fn cancel(&mut self, now: Instant, id: CallId) -> Vec<Action> {
        let mut actions = Vec::new();
        self.update(now, &mut actions);
        if self.remove(id).is_none() {
            self.end_running(id, Duration::ZERO);
        }
        self.start_calls(now, &mut actions);
        actions
    }

    /// Refuses waiting calls whose deadline has passed, adjusts the admitted level and starts calls
    /// while slots are free.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.update(now, &mut actions);
        self.level_controller.tick(now);
        self.start_calls(now, &mut actions);
        actions
    }

    /// Refuses all waiting and later calls. Running calls finish as usual.
    pub fn drain(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.update(now, &mut actions);
        self.draining = true;
        let mut waiting: Vec<CallId> = self.deadlines.iter().map(|(_, id)| *id).collect();
        waiting.sort_unstable();
        for id in waiting {
            self.remove(id);
            actions.push(refuse(id, Reason::Draining));
        }
        actions
    }

    /// Applies a load report of the endpoint, which can only lower the limit.
    pub fn apply_load_report(&mut self, now: Instant, load: f64, healthy: bool) {
        self.limiter.apply_load_report(now, load, healthy);
    }

    fn queue_limit(&self) -> usize {
        let limit = self.limit() as usize * Self::QUEUED_CALLS_PER_SLOT;
        self.queue_limit.unwrap_or(limit.max(Self::MIN_QUEUE_LIMIT))
    }

    /// Updates the measured slot usage and refuses calls whose deadline has passed.
    fn update(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.limiter.tick(now);
        let before = *self.updated.get_or_insert(now);
        let passed = now.saturating_duration_since(before).as_secs_f64();
        if passed > 0.0 {
            let weight = 1.0 - (-passed / Self::USAGE_TIME_CONSTANT_SECONDS).exp();
            let limit = f64::from(self.limit());
            for rank in &mut self.ranks {
                rank.used_fraction +=
                    weight * (f64::from(rank.running) / limit - rank.used_fraction);
            }
            self.updated = Some(now);
            let underused = self
                .ranks
                .each_ref()
                .map(|rank| rank.used_fraction < rank.floor);
            self.level_controller.set_underused(underused);
        }
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.refuse_late(now, id, actions);
        }
    }

    /// Refuses a waiting call that can no longer finish by its deadline.
    fn refuse_late(&mut self, now: Instant, id: CallId, actions: &mut Vec<Action>) {
        if let Some(call) = self.remove(id) {
            if let CallState::Waiting { since } = call.state {
                let wait = now.saturating_duration_since(since);
                self.level_controller
                    .record_dequeue(call.rank, call.bucket, wait);
            }
            actions.push(refuse(id, Reason::Deadline));
        }
    }

    fn enqueue(&mut self, id: CallId, call: Call) {
        self.deadlines.insert((call.deadline, id));
        self.shares.push(&QueueEntry::new(id, &call));
        self.calls.insert(id, call);
    }

    /// Removes a waiting call from the queue.
    fn remove(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.get(&id)?;
        if !matches!(call.state, CallState::Waiting { .. }) {
            return None;
        }
        self.deadlines.remove(&(call.deadline, id));
        self.shares.remove(&QueueEntry::new(id, call));
        self.calls.remove(&id)
    }

    /// Ends a running call and returns its rank.
    fn end_running(&mut self, id: CallId, latency: Duration) -> Option<Rank> {
        let call = self.calls.get(&id)?;
        let CallState::Running { charged } = call.state else {
            return None;
        };
        let call = self.calls.remove(&id)?;
        self.shares
            .correct_charge(call.rank, call.share, call.weight, charged, latency);
        self.running -= 1;
        self.ranks[usize::from(call.rank)].running -= 1;
        Some(call.rank)
    }

    /// Starts waiting calls while slots are free.
    fn start_calls(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while self.running < self.limit() {
            let Some(rank) = self.next_rank() else { break };
            let Some(id) = self.shares.first(rank) else {
                break;
            };
            let Some(call) = self.calls.get(&id) else {
                break;
            };
            if self.misses_deadline(now, call, 0.0) {
                self.refuse_late(now, id, actions);
                continue;
            }
            self.start_call(now, id);
            actions.push(Action::Start(id));
        }
    }

    fn start_call(&mut self, now: Instant, id: CallId) {
        let Some(mut call) = self.remove(id) else {
            return;
        };
        let CallState::Waiting { since } = call.state else {
            return;
        };
        let wait = now.saturating_duration_since(since);
        self.level_controller
            .record_dequeue(call.rank, call.bucket, wait);
        let rank = &mut self.ranks[usize::from(call.rank)];
        let charged = Duration::from_secs_f64(rank.hold_time.mean);
        rank.running += 1;
        self.running += 1;
        self.shares
            .charge(call.rank, call.share, call.weight, charged);
        call.state = CallState::Running { charged };
        self.calls.insert(id, call);
    }

    /// Rank that gets the next free slot: the most urgent waiting one below its floor, or else the
    /// most urgent waiting one.
    fn next_rank(&self) -> Option<Rank> {
        let mut ranks = (0..=LOWEST_RANK).filter(|rank| self.shares.waiting(*rank) > 0);
        let first = ranks.next()?;
        if self.below_floor(first) {
            return Some(first);
        }
        Some(ranks.find(|rank| self.below_floor(*rank)).unwrap_or(first))
    }

    fn below_floor(&self, rank: Rank) -> bool {
        let rank = &self.ranks[usize::from(rank)];
        let slots = (rank.floor * f64::from(self.limit())).ceil();
        rank.used_fraction < rank.floor && f64::from(rank.running) < slots
    }

    /// Returns a refusal if the call is not expected to finish by its deadline.
    ///
    /// If only the estimated hold time rules the call out, one call a second is admitted as a
    /// probe: without finished calls a wrong estimate would never be corrected.
    fn check_deadline(&mut self, now: Instant, call: &mut Call) -> Option<Refusal> {
        let wait = self.expected_wait(call);
        if !self.misses_deadline(now, call, wait) {
            return None;
        }
        let rank = &mut self.ranks[usize::from(call.rank)];
        let remaining = call.deadline.saturating_duration_since(now);
        let probe_due = rank.next_probe.is_none_or(|at| now >= at);
        if probe_due && remaining.as_secs_f64() > wait {
            rank.next_probe = Some(now + Self::PROBE_INTERVAL);
            call.probe = true;
            return None;
        }
        let delay = Duration::from_secs_f64(wait.clamp(0.1, 10.0));
        Some(Refusal::not_run(Reason::Deadline).with_retry_after(delay))
    }

    /// Whether a call that waits `wait` more seconds is expected to miss its deadline. While other
    /// calls of the rank wait, the estimate is the upper bound of the hold time: a slot spent on a
    /// call that misses its deadline is lost to a call that would meet its own.
    fn misses_deadline(&self, now: Instant, call: &Call, wait: f64) -> bool {
        let hold_time = &self.ranks[usize::from(call.rank)].hold_time;
        let min_time = if call.probe {
            0.0
        } else if self.shares.waiting(call.rank) > 1 {
            hold_time.upper_bound()
        } else {
            hold_time.lower_bound()
        };
        let remaining = call.deadline.saturating_duration_since(now);
        remaining.as_secs_f64() <= wait + min_time
    }

    /// Expected time in seconds until a new call starts.
    fn expected_wait(&self, call: &Call) -> f64 {
        if self.running < self.limit() && self.deadlines.is_empty() {
            return 0.0;
        }
        let own = usize::from(call.rank);
        let mut urgent_work = 0.0;
        let mut occupied = 0.0;
        for (index, state) in self.ranks.iter().enumerate() {
            match index.cmp(&own) {
                std::cmp::Ordering::Less => {
                    urgent_work += self.shares.waiting(index as Rank) as f64 * state.hold_time.mean;
                    occupied += state.used_fraction;
                }
                std::cmp::Ordering::Equal => {}
                std::cmp::Ordering::Greater => occupied += state.used_fraction.min(state.floor),
            }
        }
        let state = &self.ranks[own];
        let ahead = self.shares.calls_ahead(call.rank, call.share, call.weight);
        let own_work = (ahead + 1.0) * state.hold_time.mean;
        let free_fraction = (1.0 - occupied)
            .max(state.floor)
            .max(Self::MIN_FREE_FRACTION);
        let limit = f64::from(self.limit());
        // More urgent calls in the queue delay the call once; later ones keep taking their fraction
        // of the slots. A floor bounds both delays.
        let by_order = urgent_work / limit + own_work / (limit * free_fraction);
        if state.floor > 0.0 {
            by_order.min(own_work / (limit * state.floor))
        } else {
            by_order
        }
    }

    /// Call to evict from a full queue: the newest call of the customer with the most waiting calls
    /// per weight, in the least urgent rank that occupies more of the queue than its floor.
    fn victim(&self) -> Option<CallId> {
        let limit = self.queue_limit() as f64;
        let above = |rank: &Rank| {
            let waiting = self.shares.waiting(*rank) as f64;
            waiting > 0.0 && waiting > self.ranks[usize::from(*rank)].floor * limit
        };
        let rank = (0..=LOWEST_RANK).rev().find(above)?;
        self.shares.newest_of_largest(rank)
    }
}

const fn refuse(id: CallId, reason: Reason) -> Action {
    Action::Refuse(id, Refusal::not_run(reason))
}
