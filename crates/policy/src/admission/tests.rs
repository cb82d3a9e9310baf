//! Tests of the priority queue.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use super::{Action, Admission, CallRequest};
use crate::id::CallId;
use crate::refusal::{Execution, Reason};
use crate::rule::{Class, RANK_COUNT, Rank, RuleSet};

const HOLD_TIME: Duration = Duration::from_millis(10);

fn class(rank: Rank, customer: &str, weight: u32) -> Class {
    Class {
        rank,
        weight,
        ..RuleSet::default().classify("despacho", "POST", "/", customer)
    }
}

fn request(id: CallId, rank: Rank, customer: &str, deadline: Instant) -> CallRequest {
    CallRequest {
        id,
        class: class(rank, customer, 1),
        deadline,
        bucket: (id % 128) as u8,
    }
}

fn started(actions: &[Action]) -> Vec<CallId> {
    let start = |action: &Action| match action {
        Action::Start(id) => Some(*id),
        Action::Refuse(..) => None,
    };
    actions.iter().filter_map(start).collect()
}

fn refused(actions: &[Action]) -> Vec<(CallId, Reason)> {
    let refuse = |action: &Action| match action {
        Action::Start(_) => None,
        Action::Refuse(id, refusal) => {
            assert_eq!(
                refusal.execution,
                Execution::NotRun,
                "a queued call has not run"
            );
            Some((*id, refusal.reason))
        }
    };
    actions.iter().filter_map(refuse).collect()
}

/// Returns an admission control that has learned a hold time of 10 ms, and the time after that.
fn trained(slots: u32) -> (Admission, Instant) {
    let mut admission = Admission::new(slots, 7);
    let mut now = Instant::now();
    for round in 0..20 * RANK_COUNT as CallId {
        let id = 1_000_000 + round;
        let rank = (round % RANK_COUNT as CallId) as Rank;
        admission.submit(
            now,
            &request(id, rank, "teacher", now + Duration::from_secs(9)),
        );
        now += HOLD_TIME;
        admission.finish(now, id, HOLD_TIME, true);
    }
    (admission, now)
}

/// Guards against an order that ignores rank or deadline.
#[test]
fn calls_start_by_rank_then_deadline() {
    let (mut admission, now) = trained(1);
    let far = now + Duration::from_secs(5);
    admission.submit(now, &request(0, 0, "a", far));
    for (id, rank, left) in [
        (1, 7, 900),
        (2, 3, 900),
        (3, 0, 900),
        (4, 3, 500),
        (5, 0, 800),
    ] {
        let deadline = now + Duration::from_millis(left);
        assert!(
            admission
                .submit(now, &request(id, rank, "a", deadline))
                .is_empty()
        );
    }
    let mut order = vec![0];
    let mut now = now;
    for _ in 0..5 {
        now += HOLD_TIME;
        let last = *order.last().expect("a call runs");
        order.extend(started(&admission.finish(now, last, HOLD_TIME, true)));
    }
    assert_eq!(order, [0, 5, 3, 4, 2, 1]);
}

/// Guards against queueing calls that cannot finish by their deadline.
#[rstest]
#[case::time_enough(200, false)]
#[case::wait_alone_too_long(30, true)]
#[case::wait_and_hold_time_too_long(54, true)]
fn refuses_calls_that_miss_their_deadline(#[case] left_ms: u64, #[case] late: bool) {
    let (mut admission, now) = trained(1);
    for id in 0..5 {
        admission.submit(now, &request(id, 4, "a", now + Duration::from_secs(2)));
    }
    // No probe is due: training may have used the one that this rank has per second.
    admission.ranks[4].next_probe = Some(now + Duration::from_secs(1));
    let deadline = now + Duration::from_millis(left_ms);
    let actions = admission.submit(now, &request(9, 4, "a", deadline));
    assert_eq!(
        refused(&actions),
        if late {
            vec![(9, Reason::Deadline)]
        } else {
            vec![]
        }
    );
}

/// Guards against a hold time estimate from a slow period that refuses every later call.
#[test]
fn wrong_hold_time_is_corrected() {
    let (mut admission, mut now) = trained(1);
    for id in 0..50 {
        admission.submit(now, &request(id, 4, "a", now + Duration::from_secs(9)));
        now += Duration::from_secs(2);
        admission.finish(now, id, Duration::from_secs(2), true);
    }
    let mut served = 0;
    for id in 100..400 {
        let deadline = now + Duration::from_millis(100);
        served += started(&admission.submit(now, &request(id, 4, "a", deadline))).len();
        now += HOLD_TIME;
        admission.finish(now, id, HOLD_TIME, true);
    }
    assert!(served >= 150, "{served} of 300 served");
}

/// Guards against starting calls that expired while the process was paused.
#[test]
fn pause_refuses_expired_calls_before_start() {
    let (mut admission, now) = trained(2);
    for id in 0..6 {
        let left = if id < 4 { 500 } else { 60_000 };
        admission.submit(now, &request(id, 4, "a", now + Duration::from_millis(left)));
    }
    admission.limiter.set_slots(4);
    let actions = admission.tick(now + Duration::from_secs(10));
    let expired = [Action::Refuse(2, super::Refusal::not_run(Reason::Deadline))];
    assert_eq!(actions[..1], expired);
    assert_eq!(refused(&actions).len(), 2);
    assert_eq!(started(&actions), [4, 5]);
    assert!(matches!(actions[1], Action::Refuse(3, _)));
}

/// Guards against a full queue that refuses urgent calls or evicts the oldest call.
#[test]
fn eviction_takes_newest_of_lowest_rank_above_floor() {
    let (mut admission, now) = trained(1);
    admission = admission.with_queue_limit(4);
    let mut floors = [0; RANK_COUNT];
    floors[7] = 25;
    admission.set_floors(floors);
    let deadline = now + Duration::from_secs(5);
    let mut evicted = Vec::new();
    for (id, rank) in [
        (0, 0),
        (1, 7),
        (2, 7),
        (3, 5),
        (4, 5),
        (5, 0),
        (6, 0),
        (7, 7),
        (8, 0),
    ] {
        evicted.extend(refused(
            &admission.submit(now, &request(id, rank, "a", deadline)),
        ));
    }
    let full = |id| (id, Reason::QueueFull);
    assert_eq!(evicted, [full(2), full(4), full(7), full(3)]);
}

/// Submits calls of several streams in rounds of 10 ms, each call with a hold time of 10 ms. A
/// stream is given by rank, customer, weight and calls per round. Returns the calls served per
/// stream in 5 s, after 2 s in which the measured usage settles.
fn serve_streams(
    admission: &mut Admission,
    start: Instant,
    streams: &[(Rank, &str, u32, u32)],
) -> Vec<u32> {
    let mut served = vec![0; streams.len()];
    let mut running: Vec<CallId> = Vec::new();
    let mut id = 0;
    let mut now = start;
    for round in 0..700 {
        let mut actions = Vec::new();
        for call in running.drain(..) {
            actions.extend(admission.finish(now, call, HOLD_TIME, true));
        }
        for (index, (rank, customer, weight, calls_per_round)) in streams.iter().enumerate() {
            for _ in 0..*calls_per_round {
                id += 1;
                let call = CallRequest {
                    class: class(*rank, customer, *weight),
                    ..request(
                        id * 16 + index as CallId,
                        *rank,
                        customer,
                        now + Duration::from_secs(1),
                    )
                };
                actions.extend(admission.submit(now, &call));
            }
        }
        for call in started(&actions) {
            served[(call % 16) as usize] += u32::from(round >= 200);
            running.push(call);
        }
        now += HOLD_TIME;
    }
    served
}

/// Guards against floors that fail under a flood of more urgent calls, that exceed their fraction,
/// or that leave slots idle while their rank has no calls.
#[rstest]
#[case::floors_kept(&[(0, "a", 1, 40), (4, "a", 1, 40), (7, "a", 1, 40)], &[0.70, 0.20, 0.10])]
#[case::small_demand(&[(0, "a", 1, 40), (4, "a", 1, 40), (7, "a", 1, 0)], &[0.80, 0.20, 0.0])]
#[case::urgent_first(&[(0, "a", 1, 2), (4, "a", 1, 40), (7, "a", 1, 40)], &[0.50, 0.40, 0.10])]
fn floors_divide_the_slots(#[case] streams: &[(Rank, &str, u32, u32)], #[case] expected: &[f64]) {
    for slots in [1, 2, 4, 20] {
        // A load of half a slot cannot be made of whole calls.
        if slots == 1 && streams[0].3 == 2 {
            continue;
        }
        let mut admission = Admission::new(slots, 7);
        admission.set_floors([0, 0, 0, 0, 20, 0, 0, 10]);
        let streams: Vec<_> = streams
            .iter()
            .map(|(rank, name, weight, calls_per_round)| {
                let calls_per_round = if *calls_per_round == 2 {
                    slots / 2
                } else {
                    *calls_per_round
                };
                (*rank, *name, *weight, calls_per_round)
            })
            .collect();
        let served = serve_streams(&mut admission, Instant::now(), &streams);
        let total = f64::from(slots * 500);
        for (served, expected) in served.iter().zip(expected) {
            let fraction = f64::from(*served) / total;
            assert!(
                (fraction - expected).abs() < 0.04,
                "{slots} slots: {fraction} for {expected}"
            );
        }
    }
}

/// Guards against a flooding customer that takes the fair share of small ones, against ignored
/// weights, and against a named customer that is served worse than an unnamed one.
#[rstest]
#[case::small_demand_is_met(&[(4, "flood", 1, 100), (4, "small", 1, 2)], &[0.8, 0.2])]
#[case::equal_shares(&[(4, "flood", 1, 100), (4, "less", 1, 20)], &[0.5, 0.5])]
#[case::weights(&[(4, "named", 3, 100), (4, "less", 1, 100)], &[0.75, 0.25])]
#[case::named_not_worse(&[(4, "named", 1, 10), (4, "u1", 1, 100), (4, "u2", 1, 100)], &[0.33, 0.33, 0.33])]
fn customers_get_fair_shares(#[case] streams: &[(Rank, &str, u32, u32)], #[case] expected: &[f64]) {
    let mut admission = Admission::new(10, 7);
    admission.set_customers(["named".into()]);
    let served = serve_streams(&mut admission, Instant::now(), streams);
    for (served, expected) in served.iter().zip(expected) {
        let fraction = f64::from(*served) / 5_000.0;
        assert!(
            (fraction - expected).abs() < 0.04,
            "{fraction} for {expected}"
        );
    }
}

/// Guards against many made-up names that crowd out a named customer, and against unbounded state.
#[test]
fn unnamed_customers_are_bounded() {
    let mut admission = Admission::new(10, 7);
    admission.set_customers(["named".into()]);
    let start = Instant::now();
    let mut running: Vec<CallId> = Vec::new();
    let mut served = 0;
    for round in 0..2_000_u32 {
        let now = start + HOLD_TIME * round;
        let mut actions = Vec::new();
        for id in running.drain(..) {
            actions.extend(admission.finish(now, id, HOLD_TIME, true));
        }
        let deadline = now + Duration::from_secs(1);
        for index in 0..100 {
            let id = u64::from(round) * 1_000 + index + 1;
            let name = Arc::<str>::from(format!("made-up-{id}"));
            actions.extend(admission.submit(now, &request(id, 4, &name, deadline)));
        }
        let id = u64::from(round) * 1_000;
        actions.extend(admission.submit(now, &request(id, 4, "named", deadline)));
        running = started(&actions);
        served += running.iter().filter(|id| **id % 1_000 == 0).count();
    }
    // One of 257 equal shares is 78 calls of 20,000.
    assert!(served >= 78, "named customer served {served} times");
    assert!(
        admission.shares.len() <= 257,
        "{} shares",
        admission.shares.len()
    );
}

/// Guards against calls that are lost on drain or accepted after it.
#[test]
fn drain_refuses_waiting_and_later_calls() {
    let (mut admission, now) = trained(1);
    let deadline = now + Duration::from_secs(5);
    for id in 0..3 {
        admission.submit(now, &request(id, 4, "a", deadline));
    }
    let draining = |id| (id, Reason::Draining);
    assert_eq!(refused(&admission.drain(now)), [draining(1), draining(2)]);
    assert_eq!(
        refused(&admission.submit(now, &request(3, 0, "a", deadline))),
        [draining(3)]
    );
    assert!(admission.finish(now, 0, HOLD_TIME, true).is_empty());
    assert_eq!((admission.running(), admission.waiting()), (0, 0));
}

/// Guards against slots that leak when callers cancel.
#[test]
fn cancel_frees_slot_and_queue() {
    let (mut admission, now) = trained(1);
    let deadline = now + Duration::from_secs(5);
    for id in 0..3 {
        admission.submit(now, &request(id, 4, "a", deadline));
    }
    assert!(admission.cancel(now, 1).is_empty());
    assert_eq!(started(&admission.cancel(now, 0)), [2]);
    assert!(admission.cancel(now, 99).is_empty());
    assert_eq!((admission.running(), admission.waiting()), (1, 0));
}

/// Guards against calls that get no decision or two, or start above the limit or after their
/// deadline, under random sequences of events.
#[test]
fn every_call_gets_one_decision() {
    for seed in 0..60 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut admission = Admission::new(rng.random_range(1..12), seed);
        admission.set_floors([0, 0, 0, 0, 30, 0, 0, 10]);
        admission.set_customers(["c0".into(), "c1".into()]);
        let mut now = Instant::now();
        let mut waiting: BTreeMap<CallId, Instant> = BTreeMap::new();
        let mut running: Vec<CallId> = Vec::new();
        for id in 0..1_500 {
            let actions = match rng.random_range(0..20) {
                0..=9 => {
                    let deadline = now + Duration::from_millis(rng.random_range(0..300));
                    let name = format!("c{}", rng.random_range(0..5));
                    waiting.insert(id, deadline);
                    let rank = rng.random_range(0..RANK_COUNT as Rank);
                    admission.submit(now, &request(id, rank, &name, deadline))
                }
                10..=15 if !running.is_empty() => {
                    let done = running.swap_remove(rng.random_range(0..running.len()));
                    let latency = Duration::from_millis(rng.random_range(1..60));
                    admission.finish(now, done, latency, rng.random_bool(0.8))
                }
                16 if rng.random_bool(0.5) => match waiting.pop_first() {
                    Some((gone, _)) => admission.cancel(now, gone),
                    None => Vec::new(),
                },
                17 => {
                    admission.apply_load_report(
                        now,
                        rng.random_range(0.0..3.0),
                        rng.random_bool(0.9),
                    );
                    Vec::new()
                }
                18 if id == 1_499 => admission.drain(now),
                _ => {
                    now += Duration::from_millis(rng.random_range(0..30));
                    admission.tick(now)
                }
            };
            for action in &actions {
                let (Action::Start(call) | Action::Refuse(call, _)) = action;
                let deadline = waiting
                    .remove(call)
                    .expect("one decision per call, and none after cancel");
                if matches!(action, Action::Start(_)) {
                    assert!(deadline > now, "seed {seed}: call {call} started late");
                    running.push(*call);
                    assert!(
                        running.len() as u32 <= admission.limit(),
                        "seed {seed}: limit"
                    );
                }
            }
            assert_eq!(admission.running(), running.len() as u32);
            assert_eq!(admission.waiting(), waiting.len());
        }
        let left = refused(&admission.drain(now));
        assert_eq!(
            left.len(),
            waiting.len(),
            "seed {seed}: drain refuses all waiting calls"
        );
    }
}
