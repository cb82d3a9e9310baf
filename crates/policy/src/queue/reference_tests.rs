//! Guards against a change of the order or the refusals of the queue where there are no
//! organisations: random histories are played through it and through the order that it had before
//! organisations existed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use proptest::collection::vec;
use proptest::prelude::*;

use super::{EndpointQueue, EnqueueOutcome, QueuedCall, WaitingId};

const MS: Duration = Duration::from_millis(1);

type Key = (u32, Duration, Instant, WaitingId);

/// The waiting calls, ordered as before organisations existed. Slots and the rate limit are those
/// of a queue without waiting calls of its own.
struct Reference {
    slots: EndpointQueue<u32>,
    next_id: WaitingId,
    waiting: BTreeMap<Key, QueuedCall<u32>>,
}

impl Reference {
    fn enqueue(&mut self, now: Instant, queued: QueuedCall<u32>) -> EnqueueOutcome<u32> {
        if self.slots.may_start(now) && self.waiting.is_empty() {
            self.slots.record_start(now);
            return EnqueueOutcome::Start(queued.call);
        }
        let key = (queued.rank, queued.remaining, queued.deadline, self.next_id);
        let ahead = self.waiting.range(..key).count();
        if self.would_miss_deadline(now, ahead, &queued) {
            return EnqueueOutcome::Refused(queued.call);
        }
        self.next_id += 1;
        self.waiting.insert(key, queued);
        EnqueueOutcome::Waiting(key.3)
    }

    fn would_miss_deadline(&self, now: Instant, ahead: usize, queued: &QueuedCall<u32>) -> bool {
        now + self.slots.expected_wait(now, ahead) + queued.min_time >= queued.deadline
    }

    fn remove(&mut self, id: WaitingId) -> Option<u32> {
        let key = *self.waiting.keys().find(|key| key.3 == id)?;
        self.waiting.remove(&key).map(|queued| queued.call)
    }

    fn start_next(&mut self, now: Instant) -> Option<u32> {
        if !self.slots.may_start(now) {
            return None;
        }
        let mut calls = self.waiting.iter();
        let (key, _) = calls.find(|(_, queued)| now + queued.min_time < queued.deadline)?;
        let id = key.3;
        self.slots.record_start(now);
        self.remove(id)
    }

    fn expire(&mut self, now: Instant) -> Vec<u32> {
        let mut ahead = 0;
        let mut late = Vec::new();
        for (key, queued) in &self.waiting {
            if self.would_miss_deadline(now, ahead, queued) {
                late.push(key.3);
            } else {
                ahead += 1;
            }
        }
        late.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    fn clear(&mut self) -> Vec<u32> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_values().map(|queued| queued.call).collect()
    }
}

/// One step of a history.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A call of a rank arrives, with its chain's remaining time, its deadline, its shortest time
    /// and its cost in milliseconds.
    Enqueue(u32, u32, u32, u32, u32),
    /// A running call ends after this many milliseconds.
    Finish(u32),
    /// The call with this id is cancelled.
    Cancel(WaitingId),
    Expire,
    Clear,
    RateLimit(Option<f64>),
    /// This many milliseconds pass.
    Pass(u32),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let enqueue = (0..4_u32, 0..3_u32, 5..600_u32, 1..60_u32, 0..200_u32);
    let step = prop_oneof![
        12 => enqueue.prop_map(|(rank, left, deadline, min, cost)| {
            Step::Enqueue(rank, left * 40, deadline, min, cost)
        }),
        8 => (1..80_u32).prop_map(Step::Finish),
        1 => (0..150_u64).prop_map(Step::Cancel),
        2 => Just(Step::Expire),
        1 => prop::option::of(20.0..400.0).prop_map(Step::RateLimit),
        5 => (0..12_u32).prop_map(Step::Pass),
    ];
    let clear = prop_oneof![60 => step, 1 => Just(Step::Clear)];
    vec(clear, 1..300)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn without_organisations_the_order_is_the_earlier_one(steps in steps(), slots in 1..12_u32) {
        let mut now = Instant::now();
        let mut queue = EndpointQueue::new(slots);
        let mut reference = Reference {
            slots: EndpointQueue::new(slots),
            next_id: 0,
            waiting: BTreeMap::new(),
        };
        for (call, step) in steps.into_iter().enumerate() {
            match step {
                Step::Enqueue(rank, remaining, deadline, min_time, cost) => {
                    let queued = || QueuedCall {
                        rank,
                        remaining: MS * remaining,
                        deadline: now + MS * deadline,
                        min_time: MS * min_time,
                        organisation: None,
                        cost: MS * cost,
                        call: call as u32,
                    };
                    let outcome = format!("{:?}", queue.enqueue(now, queued()));
                    let expected = format!("{:?}", reference.enqueue(now, queued()));
                    prop_assert_eq!(outcome, expected);
                }
                Step::Finish(time) => {
                    queue.finish(MS * time);
                    reference.slots.finish(MS * time);
                }
                Step::Cancel(id) => prop_assert_eq!(queue.cancel(id), reference.remove(id)),
                Step::Expire => prop_assert_eq!(queue.expire(now), reference.expire(now)),
                Step::Clear => prop_assert_eq!(queue.clear(), reference.clear()),
                Step::RateLimit(limit) => {
                    queue.apply_rate_limit(now, limit);
                    reference.slots.apply_rate_limit(now, limit);
                }
                Step::Pass(time) => now += MS * time,
            }
            let next = queue.start_next(now);
            prop_assert_eq!(next, reference.start_next(now));
            prop_assert_eq!(queue.waiting(), reference.waiting.len());
            let wait = reference.slots.expected_wait(now, reference.waiting.len());
            prop_assert_eq!(queue.next_wait(now), wait);
        }
    }
}
