//! Guards against urgent calls that wait behind others, and against queued calls that would miss
//! their deadline.

use std::time::{Duration, Instant};

use super::{EndpointQueue, EnqueueOutcome, QueuedCall, TimeEstimate};

const MS: Duration = Duration::from_millis(1);

fn queued(now: Instant, rank: u32, deadline: u32, call: &'static str) -> QueuedCall<&'static str> {
    QueuedCall {
        rank,
        remaining: Duration::ZERO,
        deadline: now + MS * deadline,
        min_time: MS * 5,
        organisation: None,
        cost: MS * 10,
        call,
    }
}

/// A queue with one slot, which is taken, and a hold time of about 10 ms.
fn busy(now: Instant) -> EndpointQueue<&'static str> {
    let mut queue = EndpointQueue::new(1);
    for _ in 0..200 {
        assert!(matches!(
            queue.enqueue(now, queued(now, 0, 1_000, "x")),
            EnqueueOutcome::Start(_)
        ));
        queue.finish(MS * 10);
    }
    queue.enqueue(now, queued(now, 0, 1_000, "running"));
    queue
}

#[test]
fn rank_goes_before_deadline_and_deadline_before_arrival() {
    let now = Instant::now();
    let mut queue = busy(now);
    for (rank, deadline, call) in [(1, 500, "c"), (1, 400, "b"), (2, 100, "d"), (0, 900, "a")] {
        assert!(matches!(
            queue.enqueue(now, queued(now, rank, deadline, call)),
            EnqueueOutcome::Waiting(_)
        ));
    }
    let mut order = Vec::new();
    for _ in 0..4 {
        queue.finish(MS * 10);
        order.push(queue.start_next(now).unwrap());
    }
    assert_eq!(order, ["a", "b", "c", "d"]);
}

/// Guards against chains that are overtaken shortly before their end, so that the work of all their
/// calls is wasted.
#[test]
fn calls_of_chains_that_are_nearly_done_go_first() {
    let now = Instant::now();
    let mut queue = busy(now);
    for (remaining, deadline, call) in [(600, 400, "new"), (0, 900, "last"), (300, 300, "half")] {
        let queued = QueuedCall {
            remaining: MS * remaining,
            ..queued(now, 1, deadline, call)
        };
        let outcome = queue.enqueue(now, queued);
        assert!(matches!(outcome, EnqueueOutcome::Waiting(_)));
    }
    let order: Vec<_> = (0..3)
        .map(|_| {
            queue.finish(MS * 10);
            queue.start_next(now).unwrap()
        })
        .collect();
    assert_eq!(order, ["last", "half", "new"]);
}

#[test]
fn a_call_that_cannot_finish_in_time_is_refused_at_once() {
    let now = Instant::now();
    let mut queue = busy(now);
    for _ in 0..5 {
        queue.enqueue(now, queued(now, 1, 1_000, "ahead"));
    }
    assert!(matches!(
        queue.enqueue(now, queued(now, 1, 30, "late")),
        EnqueueOutcome::Waiting(_)
    ));
    assert!(matches!(
        queue.enqueue(now, queued(now, 2, 40, "late")),
        EnqueueOutcome::Refused("late")
    ));
}

#[test]
fn calls_that_would_miss_their_deadline_expire_before_it() {
    let now = Instant::now();
    let mut queue = busy(now);
    queue.enqueue(now, queued(now, 2, 60, "displaced"));
    for _ in 0..6 {
        queue.enqueue(now, queued(now, 0, 500, "urgent"));
    }
    assert_eq!(queue.expire(now), ["displaced"]);
    assert_eq!(queue.waiting(), 6);
}

#[test]
fn a_cancelled_call_never_starts() {
    let now = Instant::now();
    let mut queue = busy(now);
    let EnqueueOutcome::Waiting(id) = queue.enqueue(now, queued(now, 1, 500, "cancelled")) else {
        panic!("the slot is taken");
    };
    assert_eq!(queue.cancel(id), Some("cancelled"));
    queue.finish(MS * 10);
    assert_eq!(queue.start_next(now), None);
}

#[test]
fn no_more_calls_run_than_the_limit() {
    let now = Instant::now();
    let mut queue = EndpointQueue::new(12);
    for _ in 0..30 {
        queue.enqueue(now, queued(now, 1, 5_000, "x"));
    }
    assert_eq!((queue.running(), queue.waiting()), (11, 19));
    assert_eq!(queue.start_next(now), None);
}

#[test]
fn lower_bound_is_near_the_mean_for_steady_work_and_far_below_for_varied_work() {
    let mut steady = TimeEstimate::default();
    let mut varied = TimeEstimate::default();
    for round in 0..200 {
        steady.record(MS * 700);
        varied.record(if round % 2 == 0 { MS * 20 } else { MS * 180 });
    }
    assert!(
        steady.lower_bound() > MS * 650,
        "{:?}",
        steady.lower_bound()
    );
    assert!(varied.lower_bound() < MS * 60, "{:?}", varied.lower_bound());
}

#[test]
fn a_call_without_time_for_its_work_does_not_take_a_slot() {
    let now = Instant::now();
    let mut queue = busy(now);
    let mut short = queued(now, 1, 600, "short");
    short.min_time = MS * 650;
    assert!(matches!(
        queue.enqueue(now, short),
        EnqueueOutcome::Refused("short")
    ));
}

/// Guards against a full load for an endpoint whose rate limit an earlier process has seen.
#[test]
fn an_unproven_endpoint_runs_few_calls_at_once() {
    let now = Instant::now();
    let mut queue = EndpointQueue::new(100);
    queue.set_unproven(true);
    let started = (0..20)
        .map(|_| queue.enqueue(now, queued(now, 0, 1_000, "x")))
        .filter(|outcome| matches!(outcome, EnqueueOutcome::Start(_)))
        .count();
    assert_eq!(started, 5);
    queue.set_unproven(false);
    assert!(queue.start_next(now).is_some());
}

/// Guards against entries that place calls by slots which the rate limit does not let them use.
#[test]
fn the_reported_capacity_is_the_rate_limit() {
    let now = Instant::now();
    let mut queue: EndpointQueue<&str> = EndpointQueue::new(36);
    for limit in [0.5, 3.0, 10.0, 55.0] {
        queue.apply_rate_limit(now, Some(limit));
        let (calls, hold_time) = queue.capacity();
        let rate = calls as f64 / hold_time.as_secs_f64();
        assert!((rate - limit).abs() < 0.01 * limit, "{rate} for {limit}");
    }
}
