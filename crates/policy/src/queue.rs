//! The queue of one endpoint, held by the daemon beside it.
//!
//! Answers a load that exceeds the endpoint's slots: every call passes this one queue, so rank and
//! deadline are decided here. Calls start in the order of their rank and, within a rank, of their
//! deadline. A call that cannot finish in time behind those ahead of it is refused while its caller
//! can still use the refusal, instead of when its deadline passes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Number of a waiting call.
pub type WaitingId = u64;

/// Share of the slots in use at once. Endpoints slow down when they are nearly full.
const SLOT_SHARE: f64 = 0.95;

/// Weight of a new sample in the mean holding time.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Weight of a new sample in the mean needed time.
const NEEDED_WEIGHT: f64 = 0.1;

/// Mean deviations below the mean at which a call still has a fair chance.
const NEEDED_DEVIATIONS: f64 = 0.7;

/// Holding time before the first sample.
const FIRST_GUESS: Duration = Duration::from_millis(50);

/// Place in the queue: rank, deadline, order of arrival.
type Place = (u32, Instant, WaitingId);

/// A call that asks for a slot.
#[derive(Debug)]
pub struct QueuedCall<T> {
    /// Rank; 0 is the most urgent.
    pub rank: u32,
    /// When the answer must be there.
    pub deadline: Instant,
    /// Least time in which the endpoint can be expected to answer it.
    pub min_time: Duration,
    /// The call.
    pub call: T,
}

/// What becomes of a bid.
#[derive(Debug)]
pub enum EnqueueOutcome<T> {
    /// It has a slot and starts now.
    Start(T),
    /// It waits under this number.
    Waiting(WaitingId),
    /// It cannot be served in time.
    Refused(T),
}

/// Queue and slots of one endpoint.
#[derive(Debug)]
pub struct EndpointQueue<T> {
    limit: usize,
    running: usize,
    held: Duration,
    next: WaitingId,
    waiting: BTreeMap<Place, QueuedCall<T>>,
    places: BTreeMap<WaitingId, Place>,
}

impl<T> EndpointQueue<T> {
    /// A lane for an endpoint with this many slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        let mut lane = Self {
            limit: 1,
            running: 0,
            held: FIRST_GUESS,
            next: 0,
            waiting: BTreeMap::new(),
            places: BTreeMap::new(),
        };
        lane.set_slots(slots);
        lane
    }

    /// Changes the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.limit = ((f64::from(slots) * SLOT_SHARE) as usize).max(1);
    }

    /// Calls that may run at once.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Calls that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Calls that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Mean time for which a call holds a slot.
    #[must_use]
    pub fn mean_hold_time(&self) -> Duration {
        self.held
    }

    /// Takes a bid.
    pub fn enqueue(&mut self, now: Instant, bid: QueuedCall<T>) -> EnqueueOutcome<T> {
        if self.running < self.limit && self.waiting.is_empty() {
            self.running += 1;
            return EnqueueOutcome::Start(bid.call);
        }
        let place = (bid.rank, bid.deadline, self.next);
        let ahead = self.waiting.range(..place).count();
        if self.too_late(now, ahead, &bid) {
            return EnqueueOutcome::Refused(bid.call);
        }
        self.next += 1;
        self.places.insert(place.2, place);
        self.waiting.insert(place, bid);
        EnqueueOutcome::Waiting(place.2)
    }

    /// Removes a waiting call, which then never starts.
    pub fn cancel(&mut self, id: WaitingId) -> Option<T> {
        let place = self.places.remove(&id)?;
        self.waiting.remove(&place).map(|bid| bid.call)
    }

    /// Frees the slot of a call that held it for some time.
    pub fn finish(&mut self, held: Duration) {
        self.running = self.running.saturating_sub(1);
        let mean = self.held.as_secs_f64() * (1.0 - SAMPLE_WEIGHT);
        self.held = Duration::from_secs_f64(mean + held.as_secs_f64() * SAMPLE_WEIGHT);
    }

    /// Takes the next call that has a slot and can still be served in time.
    ///
    /// Calls that cannot are left for [`EndpointQueue::expire`].
    pub fn start_next(&mut self, now: Instant) -> Option<T> {
        if self.running >= self.limit {
            return None;
        }
        let place = self
            .waiting
            .iter()
            .find(|(_, bid)| now + bid.min_time < bid.deadline)
            .map(|(place, _)| *place)?;
        self.running += 1;
        self.places.remove(&place.2);
        self.waiting.remove(&place).map(|bid| bid.call)
    }

    /// Removes the waiting calls that can no longer be served in time.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        let mut ahead = 0;
        let mut late = Vec::new();
        for (place, bid) in &self.waiting {
            if self.too_late(now, ahead, bid) {
                late.push(place.2);
            } else {
                ahead += 1;
            }
        }
        late.into_iter().filter_map(|id| self.cancel(id)).collect()
    }

    /// Removes all waiting calls.
    pub fn clear(&mut self) -> Vec<T> {
        self.places.clear();
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_values().map(|bid| bid.call).collect()
    }

    /// Expected wait of a call behind all others.
    #[must_use]
    pub fn next_wait(&self) -> Duration {
        self.wait(self.waiting.len())
    }

    /// Expected wait of a call with `ahead` calls before it.
    fn wait(&self, ahead: usize) -> Duration {
        let busy = (self.running + ahead + 1).saturating_sub(self.limit);
        self.held.mul_f64(busy as f64 / self.limit as f64)
    }

    fn too_late(&self, now: Instant, ahead: usize, bid: &QueuedCall<T>) -> bool {
        now + self.wait(ahead) + bid.min_time >= bid.deadline
    }
}

/// Time that calls of one route need at an endpoint, learned from those that succeeded.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimeEstimate {
    mean: f64,
    deviation: f64,
}

impl TimeEstimate {
    /// Takes the time of a call that succeeded.
    pub fn record(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        if self.mean == 0.0 {
            self.mean = time;
        }
        self.deviation += NEEDED_WEIGHT * ((time - self.mean).abs() - self.deviation);
        self.mean += NEEDED_WEIGHT * (time - self.mean);
    }

    /// Least time with which a call has a fair chance.
    ///
    /// Work of one kind varies little between calls and work of another kind varies a lot, so the
    /// mean alone would refuse too many of the latter.
    #[must_use]
    pub fn lower_bound(&self) -> Duration {
        Duration::from_secs_f64((self.mean - NEEDED_DEVIATIONS * self.deviation).max(0.0))
    }
}
