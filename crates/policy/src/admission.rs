//! Ranked queue in front of an endpoint.
//!
//! [`Admission`] decides which call runs next, which waits and which is refused. Calls are ordered
//! by rank, then by the share of their customer, then by deadline. A call that cannot finish in
//! time is refused when it arrives, not after it has waited.
//!
//! A floor keeps a fraction of the slots for a rank while that rank has work. The fraction is
//! measured over about a second, so that a floor of 5% means 5% even with three slots.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::id::{CallId, CustomerName};
use crate::level::{AdmissionLevel, Bucket, LAST_BUCKET, LevelController};
use crate::limit::ConcurrencyLimiter;
use crate::refusal::{Reason, Refusal};
use crate::rule::{Class, LOWEST_RANK, RANK_COUNT, Rank};

use self::share::{Entry, Shares};

mod share;
#[cfg(test)]
mod tests;

/// A call that asks to run.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Number of the call, unique among those queued or running.
    pub id: CallId,
    /// What the rules say of the call.
    pub class: Class,
    /// Time by which the answer is needed.
    pub deadline: Instant,
    /// Bucket of its chain.
    pub bucket: Bucket,
}

/// What to do with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Forward it to the endpoint now.
    Start(CallId),
    /// Refuse it. It has not run.
    Refuse(CallId, Refusal),
}

/// Admission to one endpoint.
#[derive(Clone, Debug)]
pub struct Admission {
    limiter: ConcurrencyLimiter,
    meter: LevelController,
    shares: Shares,
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
    share: u32,
    weight: u32,
    deadline: Instant,
    sequence: u64,
    /// Let in against the estimate of the service time, to correct it.
    trial: bool,
    state: State,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Waiting { since: Instant },
    Running { charged: Duration },
}

/// Work of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct RankState {
    floor: f64,
    running: u32,
    /// Fraction of the slots used over the last second or so.
    used: f64,
    service: Estimate,
    probe_at: Option<Instant>,
}

/// Running estimate of a service time, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    mean: f64,
    deviation: f64,
    at: Option<Instant>,
}

impl Estimate {
    const LEAST_WEIGHT: f64 = 1.0 / 16.0;
    const MEMORY: f64 = 0.5;

    /// Adds a sample. After a pause a sample weighs more, so that an estimate from a slow spell
    /// does not outlive it.
    fn add(&mut self, now: Instant, sample: f64) {
        let Some(at) = self.at else {
            *self = Self {
                mean: sample,
                deviation: sample / 2.0,
                at: Some(now),
            };
            return;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let weight = (1.0 - (-age / Self::MEMORY).exp()).max(Self::LEAST_WEIGHT);
        let error = sample - self.mean;
        self.mean += weight * error;
        self.deviation += weight * (error.abs() - self.deviation);
        self.at = Some(now);
    }

    /// Time in which most calls finish.
    fn likely(&self) -> f64 {
        self.mean + self.deviation
    }

    /// Time that a call needs at least, as far as is known.
    fn least(&self) -> f64 {
        (self.mean - self.deviation).max(0.0)
    }
}

impl Admission {
    const QUEUE_PER_SLOT: usize = 4;
    const QUEUE_LEAST: usize = 16;
    const SHARE_MEMORY: f64 = 1.0;
    const PROBE_INTERVAL: Duration = Duration::from_secs(1);
    const LEAST_CAPACITY: f64 = 0.01;

    /// Admission to an endpoint with `slots` slots. `seed` differs per daemon.
    #[must_use]
    pub fn new(slots: u32, seed: u64) -> Self {
        Self {
            limiter: ConcurrencyLimiter::new(slots),
            meter: LevelController::new(seed),
            shares: Shares::new(seed),
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

    /// Starts the warm-up of a cold endpoint.
    #[must_use]
    pub fn with_cold_start(mut self, now: Instant) -> Self {
        self.limiter = self.limiter.with_cold_start(now);
        self
    }

    /// Sets the number of calls that may wait. The default is 4 per slot and at least 16.
    #[must_use]
    pub const fn with_queue_limit(mut self, limit: usize) -> Self {
        self.queue_limit = Some(limit);
        self
    }

    /// Sets the mean time that calls may wait before the level falls.
    #[must_use]
    pub fn with_wait_target(mut self, target: Duration) -> Self {
        self.meter = self.meter.with_target(target);
        self
    }

    /// Sets the percentage of the slots kept for each rank.
    pub fn set_floors(&mut self, percents: [u8; RANK_COUNT]) {
        for (rank, percent) in self.ranks.iter_mut().zip(percents) {
            rank.floor = f64::from(percent.min(100)) / 100.0;
        }
        self.meter.set_floors(percents);
    }

    /// Tells which customers the rules name. Each gets a share of its own; the others use 256 shares
    /// by a hash of their name, which bounds the state.
    pub fn set_customers(&mut self, names: impl IntoIterator<Item = CustomerName>) {
        self.shares.set_named(names);
    }

    /// Takes over a changed number of slots.
    pub fn set_slots(&mut self, now: Instant, slots: u32) -> Vec<Action> {
        self.limiter.set_slots(slots);
        self.tick(now)
    }

    /// What entry daemons may send, for the answer.
    #[must_use]
    pub fn level(&self) -> AdmissionLevel {
        self.meter.admitted()
    }

    /// Calls that may run at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limiter.limit()
    }

    /// Calls that run now.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Calls that wait now.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.deadlines.len()
    }

    /// Calls running and waiting as a fraction of the limit, for the answer.
    #[must_use]
    pub fn load(&self) -> f64 {
        (f64::from(self.running) + self.waiting() as f64) / f64::from(self.limit())
    }

    /// Offers a call. An id that waits or runs already is ignored.
    pub fn submit(&mut self, now: Instant, offer: &CallRequest) -> Vec<Action> {
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        let id = offer.id;
        if self.calls.contains_key(&id) {
            return actions;
        }
        let rank = offer.class.rank.min(LOWEST_RANK);
        let bucket = offer.bucket.min(LAST_BUCKET);
        if self.draining {
            actions.push(refuse(id, Reason::Draining));
            return actions;
        }
        self.meter.arrived(now, rank, bucket);
        let (share, weight) = self.shares.share_of(&offer.class);
        let mut call = Call {
            rank,
            bucket,
            share,
            weight,
            deadline: offer.deadline,
            sequence: self.sequence,
            trial: false,
            state: State::Waiting { since: now },
        };
        self.sequence += 1;
        if let Some(refusal) = self.too_late(now, &mut call) {
            self.meter.refused(rank, bucket);
            actions.push(Action::Refuse(id, refusal));
            return actions;
        }
        self.enqueue(id, call);
        self.start(now, &mut actions);
        while self.waiting() > self.queue_limit() {
            let Some(victim) = self.victim() else { break };
            if let Some(call) = self.remove(victim) {
                self.meter.refused(call.rank, call.bucket);
            }
            actions.push(refuse(victim, Reason::QueueFull));
        }
        actions
    }

    /// Ends a running call. `ok` tells that the endpoint answered without an error of its own.
    pub fn finish(&mut self, now: Instant, id: CallId, latency: Duration, ok: bool) -> Vec<Action> {
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        let running = self.running;
        if let Some(rank) = self.stop(id, latency) {
            self.limiter.finish(now, latency, ok, running);
            let service = &mut self.ranks[usize::from(rank)].service;
            let sample = latency.as_secs_f64();
            if ok || sample > service.mean {
                service.add(now, sample);
            }
        }
        self.start(now, &mut actions);
        actions
    }

    /// Forgets a call that its caller no longer wants. Its latency teaches nothing.
    pub fn cancel(&mut self, now: Instant, id: CallId) -> Vec<Action> {
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        if self.remove(id).is_none() {
            self.stop(id, Duration::ZERO);
        }
        self.start(now, &mut actions);
        actions
    }

    /// Lets time pass: refuses calls that are too late, then starts others.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        self.meter.tick(now);
        self.start(now, &mut actions);
        actions
    }

    /// Refuses everything that waits, and all later offers. Running calls finish as usual.
    pub fn drain(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        self.draining = true;
        let mut waiting: Vec<CallId> = self.deadlines.iter().map(|(_, id)| *id).collect();
        waiting.sort_unstable();
        for id in waiting {
            self.remove(id);
            actions.push(refuse(id, Reason::Draining));
        }
        actions
    }

    /// Takes a load report of the endpoint. It may only lower the limit.
    pub fn apply_load_report(&mut self, now: Instant, load: f64, healthy: bool) {
        self.limiter.report(now, load, healthy);
    }

    fn queue_limit(&self) -> usize {
        let limit = self.limit() as usize * Self::QUEUE_PER_SLOT;
        self.queue_limit.unwrap_or(limit.max(Self::QUEUE_LEAST))
    }

    /// Brings the measured shares up to date and refuses calls whose deadline has passed.
    fn advance(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.limiter.tick(now);
        let before = *self.updated.get_or_insert(now);
        let passed = now.saturating_duration_since(before).as_secs_f64();
        if passed > 0.0 {
            let weight = 1.0 - (-passed / Self::SHARE_MEMORY).exp();
            let limit = f64::from(self.limit());
            for rank in &mut self.ranks {
                rank.used += weight * (f64::from(rank.running) / limit - rank.used);
            }
            self.updated = Some(now);
            let unfilled = self.ranks.each_ref().map(|rank| rank.used < rank.floor);
            self.meter.set_unfilled(unfilled);
        }
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.give_up(now, id, actions);
        }
    }

    /// Refuses a waiting call that can no longer finish in time.
    fn give_up(&mut self, now: Instant, id: CallId, actions: &mut Vec<Action>) {
        if let Some(call) = self.remove(id) {
            if let State::Waiting { since } = call.state {
                let wait = now.saturating_duration_since(since);
                self.meter.left(call.rank, call.bucket, wait);
            }
            actions.push(refuse(id, Reason::Deadline));
        }
    }

    fn enqueue(&mut self, id: CallId, call: Call) {
        self.deadlines.insert((call.deadline, id));
        self.shares.push(&Entry::new(id, &call));
        self.calls.insert(id, call);
    }

    /// Takes a waiting call out of the queue.
    fn remove(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.get(&id)?;
        if !matches!(call.state, State::Waiting { .. }) {
            return None;
        }
        self.deadlines.remove(&(call.deadline, id));
        self.shares.remove(&Entry::new(id, call));
        self.calls.remove(&id)
    }

    /// Ends a running call and returns its rank.
    fn stop(&mut self, id: CallId, latency: Duration) -> Option<Rank> {
        let call = self.calls.get(&id)?;
        let State::Running { charged } = call.state else {
            return None;
        };
        let call = self.calls.remove(&id)?;
        self.shares
            .settle(call.rank, call.share, call.weight, charged, latency);
        self.running -= 1;
        self.ranks[usize::from(call.rank)].running -= 1;
        Some(call.rank)
    }

    /// Starts calls while slots are free.
    fn start(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while self.running < self.limit() {
            let Some(rank) = self.next_rank() else { break };
            let Some(id) = self.shares.first(rank) else {
                break;
            };
            let Some(call) = self.calls.get(&id) else {
                break;
            };
            if self.hopeless(now, call, 0.0) {
                self.give_up(now, id, actions);
                continue;
            }
            self.run(now, id);
            actions.push(Action::Start(id));
        }
    }

    fn run(&mut self, now: Instant, id: CallId) {
        let Some(mut call) = self.remove(id) else {
            return;
        };
        let State::Waiting { since } = call.state else {
            return;
        };
        let wait = now.saturating_duration_since(since);
        self.meter.left(call.rank, call.bucket, wait);
        let rank = &mut self.ranks[usize::from(call.rank)];
        let charged = Duration::from_secs_f64(rank.service.mean);
        rank.running += 1;
        self.running += 1;
        self.shares
            .charge(call.rank, call.share, call.weight, charged);
        call.state = State::Running { charged };
        self.calls.insert(id, call);
    }

    /// Rank that gets the next free slot: the most urgent one that is below its floor, or else the
    /// most urgent one.
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
        rank.used < rank.floor && f64::from(rank.running) < slots
    }

    /// Refusal of a call that would wait longer than its time allows.
    ///
    /// Where only the service time speaks against the call, one call a second may try: without
    /// finished calls a wrong estimate would never be corrected.
    fn too_late(&mut self, now: Instant, call: &mut Call) -> Option<Refusal> {
        let wait = self.wait(call);
        if !self.hopeless(now, call, wait) {
            return None;
        }
        let rank = &mut self.ranks[usize::from(call.rank)];
        let left = call.deadline.saturating_duration_since(now);
        let due = rank.probe_at.is_none_or(|at| now >= at);
        if due && left.as_secs_f64() > wait {
            rank.probe_at = Some(now + Self::PROBE_INTERVAL);
            call.trial = true;
            return None;
        }
        let delay = Duration::from_secs_f64(wait.clamp(0.1, 10.0));
        Some(Refusal::not_run(Reason::Deadline).with_retry_after(delay))
    }

    /// Whether a call that waits `wait` seconds more cannot finish by its deadline. While others of
    /// its rank wait, it must be likely to finish: a slot given to a call that runs out of time is
    /// taken from one that would not.
    fn hopeless(&self, now: Instant, call: &Call, wait: f64) -> bool {
        let service = &self.ranks[usize::from(call.rank)].service;
        let needed = if call.trial {
            0.0
        } else if self.shares.waiting(call.rank) > 1 {
            service.likely()
        } else {
            service.least()
        };
        let left = call.deadline.saturating_duration_since(now);
        left.as_secs_f64() <= wait + needed
    }

    /// Estimated time in seconds until a new call starts.
    fn wait(&self, call: &Call) -> f64 {
        if self.running < self.limit() && self.deadlines.is_empty() {
            return 0.0;
        }
        let own = usize::from(call.rank);
        let mut urgent_work = 0.0;
        let mut taken = 0.0;
        for (index, state) in self.ranks.iter().enumerate() {
            match index.cmp(&own) {
                std::cmp::Ordering::Less => {
                    urgent_work += self.shares.waiting(index as Rank) as f64 * state.service.mean;
                    taken += state.used;
                }
                std::cmp::Ordering::Equal => {}
                std::cmp::Ordering::Greater => taken += state.used.min(state.floor),
            }
        }
        let state = &self.ranks[own];
        let ahead = self.shares.ahead(call.rank, call.share, call.weight);
        let own_work = (ahead + 1.0) * state.service.mean;
        let left = (1.0 - taken).max(state.floor).max(Self::LEAST_CAPACITY);
        let limit = f64::from(self.limit());
        // Urgent work that waits delays the call once; urgent work still to come takes its share.
        // A floor bounds both.
        let by_order = urgent_work / limit + own_work / (limit * left);
        if state.floor > 0.0 {
            by_order.min(own_work / (limit * state.floor))
        } else {
            by_order
        }
    }

    /// Newest call of the customer with the most calls for its weight, in the lowest rank that
    /// holds more of the queue than its floor.
    fn victim(&self) -> Option<CallId> {
        let limit = self.queue_limit() as f64;
        let above = |rank: &Rank| {
            let waiting = self.shares.waiting(*rank) as f64;
            waiting > 0.0 && waiting > self.ranks[usize::from(*rank)].floor * limit
        };
        let rank = (0..=LOWEST_RANK).rev().find(above)?;
        self.shares.newest(rank)
    }
}

const fn refuse(id: CallId, reason: Reason) -> Action {
    Action::Refuse(id, Refusal::not_run(reason))
}
