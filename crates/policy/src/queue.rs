//! Priority queue, concurrency limit and rate limit of one endpoint, in the daemon in front of it.
//!
//! Protects an endpoint against more load than it has slots for. Every call to the endpoint passes
//! this queue, so rank and deadline are enforced in one place. Calls start by rank and, within a
//! rank, in fair shares of their organisations (see [`fair_queue`](crate::fair_queue)). Those of one
//! organisation, and all calls where there are none, start by the time that their chain still needs
//! and by deadline: under overload that completes the most chains. A call that would miss its
//! deadline behind the calls ahead of it is refused early, while the caller can still use the
//! refusal. A call that goes ahead of others displaces the last ones, which belong to the
//! organisations with the longest queues.

use std::time::{Duration, Instant};

use crate::cost::HoldTime;
use crate::fair_queue::{FairQueue, Position};
use crate::held_back::{HeldBack, HeldChange};
use crate::id::OrganisationName;
use crate::rate_limit::RateLimiter;

#[cfg(test)]
mod reference_tests;
#[cfg(test)]
mod tests;

/// Id of a waiting call.
pub type WaitingId = u64;

/// Fraction of the slots in use at once. Endpoints slow down when they are nearly full.
const SLOT_FRACTION: f64 = 0.95;

/// Weight of a new sample in the mean hold time.
const HOLD_TIME_WEIGHT: f64 = 0.05;

/// Weight of a new sample in a [`TimeEstimate`].
const TIME_ESTIMATE_WEIGHT: f64 = 0.1;

/// Lower bound of a time estimate, in mean deviations below the mean: a call with this much time
/// still has a fair chance.
const LOWER_BOUND_DEVIATIONS: f64 = 0.7;

/// Hold time assumed before the first sample.
const INITIAL_HOLD_TIME: Duration = Duration::from_millis(50);

/// Calls that run at once at an endpoint that has not responded since this daemon started. An
/// endpoint takes this many beyond its rate limit.
pub const MAX_UNPROVEN_CALLS: usize = 5;

/// A call that requests a slot.
#[derive(Debug)]
pub struct QueuedCall<T> {
    /// Rank; 0 is the most urgent.
    pub rank: u32,
    /// Time that its chain needs after it.
    pub remaining: Duration,
    /// Instant by which the response is needed.
    pub deadline: Instant,
    /// Shortest time in which the endpoint is expected to respond.
    pub min_time: Duration,
    /// Organisation that sent its chain, if there are organisations.
    pub organisation: Option<OrganisationName>,
    /// Time for which it is expected to hold a slot.
    pub cost: Duration,
    /// The call, returned when it starts or leaves the queue otherwise.
    pub call: T,
}

/// Result of [`EndpointQueue::enqueue`].
#[derive(Debug)]
pub enum EnqueueOutcome<T> {
    /// The call got a slot and starts now.
    Start(T),
    /// The call waits under this id.
    Waiting(WaitingId),
    /// The call cannot be served in time.
    Refused(T),
}

/// Queue and slots of one endpoint.
#[derive(Debug)]
pub struct EndpointQueue<T> {
    slots_limit: usize,
    /// Whether the endpoint has not responded since this daemon started.
    unproven: bool,
    /// Limits the rate of starts while the endpoint states that it is overloaded.
    rate_limiter: RateLimiter,
    running: usize,
    mean_hold_time: Duration,
    next_id: WaitingId,
    waiting: FairQueue<T>,
    held_back: HeldBack,
}

impl<T> EndpointQueue<T> {
    /// Creates the queue of an endpoint with this many slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        let mut queue = Self {
            slots_limit: 1,
            unproven: false,
            rate_limiter: RateLimiter::default(),
            running: 0,
            mean_hold_time: INITIAL_HOLD_TIME,
            next_id: 0,
            waiting: FairQueue::default(),
            held_back: HeldBack::default(),
        };
        queue.set_slots(slots);
        queue
    }

    /// Sets the number of slots. The limit is 95% of them and at least one.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots_limit = ((f64::from(slots) * SLOT_FRACTION) as usize).max(1);
    }

    /// Returns the number of calls that may run at once.
    #[must_use]
    pub fn limit(&self) -> usize {
        if self.unproven {
            self.slots_limit.min(MAX_UNPROVEN_CALLS)
        } else {
            self.slots_limit
        }
    }

    /// Sets whether the endpoint may have stated a rate limit that this daemon does not know. Until
    /// it responds, at most [`MAX_UNPROVEN_CALLS`] run at once.
    pub fn set_unproven(&mut self, unproven: bool) {
        self.unproven = unproven;
    }

    /// Applies the rate limit that a response of the endpoint states, in calls per second, or that
    /// it states none.
    pub fn apply_rate_limit(&mut self, now: Instant, limit: Option<f64>) {
        self.rate_limiter.apply_limit(now, limit);
    }

    /// Ends the rate limit: another instance has replaced the endpoint.
    pub fn clear_rate_limit(&mut self) {
        self.rate_limiter.clear();
    }

    /// Returns how many calls may run at once and for how long each holds its slot, so that their
    /// quotient is the rate at which calls can be finished.
    #[must_use]
    pub fn capacity(&self) -> (usize, Duration) {
        let hold_time = self.mean_hold_time;
        let Some(rate) = self.rate_limiter.rate() else {
            return (self.limit(), hold_time);
        };
        let concurrent = (rate * hold_time.as_secs_f64()).ceil() as usize;
        let limit = concurrent.clamp(1, self.limit());
        let paced = Duration::from_secs_f64(limit as f64 / rate);
        (limit, paced.max(hold_time))
    }

    /// Returns the number of running calls.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of waiting calls.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the mean time for which a call holds a slot.
    #[must_use]
    pub fn mean_hold_time(&self) -> Duration {
        self.mean_hold_time
    }

    /// Starts, queues or refuses a call.
    pub fn enqueue(&mut self, now: Instant, queued: QueuedCall<T>) -> EnqueueOutcome<T> {
        if self.may_start(now) && self.waiting.is_empty() {
            self.record_start(now);
            let organisation = queued.organisation.as_ref();
            self.waiting.charge(queued.rank, organisation, queued.cost);
            return EnqueueOutcome::Start(queued.call);
        }
        let id = self.next_id;
        let position = self.waiting.position(id, &queued);
        if self.would_miss_deadline(now, position, &queued) {
            self.held_back.record(now, queued.organisation.as_ref());
            return EnqueueOutcome::Refused(queued.call);
        }
        self.next_id += 1;
        self.waiting.insert(now, id, queued);
        EnqueueOutcome::Waiting(id)
    }

    /// Removes a waiting call so that it never starts.
    pub fn cancel(&mut self, id: WaitingId) -> Option<T> {
        self.waiting.remove(id).map(|queued| queued.call)
    }

    /// Returns which organisations have started or ceased to be held back since the last call.
    pub fn held_changes(&mut self, now: Instant) -> Vec<HeldChange> {
        self.held_back.changes(now)
    }

    /// Frees the slot of a finished call and records how long the call held it.
    pub fn finish(&mut self, hold_time: Duration) {
        self.running = self.running.saturating_sub(1);
        let mean = self.mean_hold_time.as_secs_f64() * (1.0 - HOLD_TIME_WEIGHT);
        self.mean_hold_time =
            Duration::from_secs_f64(mean + hold_time.as_secs_f64() * HOLD_TIME_WEIGHT);
    }

    /// Starts the next call that can still be served in time, if a slot is free.
    ///
    /// Calls that cannot be served in time stay queued for [`EndpointQueue::expire`].
    pub fn start_next(&mut self, now: Instant) -> Option<T> {
        if !self.may_start(now) {
            return None;
        }
        let next = self
            .waiting
            .take_next(now, |queued| now + queued.min_time < queued.deadline)?;
        self.record_start(now);
        Some(next.call)
    }

    /// Removes and returns the waiting calls that can no longer be served in time.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        let late = self
            .waiting
            .late(|position, queued| self.would_miss_deadline(now, position, queued));
        let late = late.into_iter().filter_map(|id| self.waiting.remove(id));
        late.map(|queued| {
            self.held_back.record(now, queued.organisation.as_ref());
            queued.call
        })
        .collect()
    }

    /// Removes and returns all waiting calls.
    pub fn clear(&mut self) -> Vec<T> {
        let waiting = self.waiting.clear();
        waiting.into_iter().map(|queued| queued.call).collect()
    }

    /// Returns the expected wait of a call behind all others.
    #[must_use]
    pub fn next_wait(&self, now: Instant) -> Duration {
        self.expected_wait(now, self.waiting.len())
    }

    /// Whether a slot is free and the rate limit allows a start.
    fn may_start(&self, now: Instant) -> bool {
        self.running < self.limit() && self.rate_limiter.allows(now)
    }

    fn record_start(&mut self, now: Instant) {
        self.running += 1;
        self.rate_limiter.record_start(now);
    }

    /// Returns the expected wait of a call with `ahead` calls before it.
    fn expected_wait(&self, now: Instant, ahead: usize) -> Duration {
        let busy = (self.running + ahead + 1).saturating_sub(self.limit());
        let slot = self
            .mean_hold_time
            .mul_f64(busy as f64 / self.limit() as f64);
        slot.max(self.rate_limiter.wait(now, ahead))
    }

    fn would_miss_deadline(
        &self,
        now: Instant,
        position: Position,
        queued: &QueuedCall<T>,
    ) -> bool {
        let wait = self.expected_wait(now, position.ahead).max(position.wait);
        wait.saturating_add(queued.min_time) >= queued.deadline.saturating_duration_since(now)
    }
}

/// Time that calls of one route take at an endpoint, learned from successful calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimeEstimate {
    mean: f64,
    deviation: f64,
}

impl TimeEstimate {
    /// Records the time of a successful call.
    pub fn record(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        if self.mean == 0.0 {
            self.mean = time;
        }
        self.deviation += TIME_ESTIMATE_WEIGHT * ((time - self.mean).abs() - self.deviation);
        self.mean += TIME_ESTIMATE_WEIGHT * (time - self.mean);
    }

    /// Returns the mean time and the mean deviation from it.
    #[must_use]
    pub fn hold_time(&self) -> HoldTime {
        HoldTime {
            mean: Duration::from_secs_f64(self.mean),
            deviation: Duration::from_secs_f64(self.deviation.max(0.0)),
        }
    }

    /// Returns the shortest time with which a call has a fair chance to succeed.
    ///
    /// Some kinds of work vary little between calls and others a lot. The mean alone would refuse
    /// too many calls of the latter.
    #[must_use]
    pub fn lower_bound(&self) -> Duration {
        Duration::from_secs_f64((self.mean - LOWER_BOUND_DEVIATIONS * self.deviation).max(0.0))
    }
}
