//! Guards against urgent calls behind others, and against calls held although they have no chance.

use std::time::{Duration, Instant};

use super::{EndpointQueue, EnqueueOutcome, QueuedCall, TimeEstimate};

const MS: Duration = Duration::from_millis(1);

fn bid(now: Instant, rank: u32, due: u32, job: &'static str) -> QueuedCall<&'static str> {
    QueuedCall {
        rank,
        deadline: now + MS * due,
        min_time: MS * 5,
        call: job,
    }
}

/// A lane with one slot, taken, whose calls hold it for about 10 ms.
fn busy(now: Instant) -> EndpointQueue<&'static str> {
    let mut lane = EndpointQueue::new(1);
    for _ in 0..200 {
        assert!(matches!(
            lane.enqueue(now, bid(now, 0, 1_000, "x")),
            EnqueueOutcome::Start(_)
        ));
        lane.finish(MS * 10);
    }
    lane.enqueue(now, bid(now, 0, 1_000, "running"));
    lane
}

#[test]
fn rank_goes_before_deadline_and_deadline_before_arrival() {
    let now = Instant::now();
    let mut lane = busy(now);
    for (rank, due, job) in [(1, 500, "c"), (1, 400, "b"), (2, 100, "d"), (0, 900, "a")] {
        assert!(matches!(
            lane.enqueue(now, bid(now, rank, due, job)),
            EnqueueOutcome::Waiting(_)
        ));
    }
    let mut order = Vec::new();
    for _ in 0..4 {
        lane.finish(MS * 10);
        order.push(lane.start_next(now).unwrap());
    }
    assert_eq!(order, ["a", "b", "c", "d"]);
}

#[test]
fn a_call_that_cannot_finish_in_time_is_refused_at_once() {
    let now = Instant::now();
    let mut lane = busy(now);
    for _ in 0..5 {
        lane.enqueue(now, bid(now, 1, 1_000, "ahead"));
    }
    assert!(matches!(
        lane.enqueue(now, bid(now, 1, 30, "late")),
        EnqueueOutcome::Waiting(_)
    ));
    assert!(matches!(
        lane.enqueue(now, bid(now, 2, 40, "late")),
        EnqueueOutcome::Refused("late")
    ));
}

#[test]
fn waiting_calls_without_a_chance_are_returned_before_their_deadline() {
    let now = Instant::now();
    let mut lane = busy(now);
    lane.enqueue(now, bid(now, 2, 60, "displaced"));
    for _ in 0..6 {
        lane.enqueue(now, bid(now, 0, 500, "urgent"));
    }
    assert_eq!(lane.expire(now), ["displaced"]);
    assert_eq!(lane.waiting(), 6);
}

#[test]
fn a_cancelled_call_never_starts() {
    let now = Instant::now();
    let mut lane = busy(now);
    let EnqueueOutcome::Waiting(id) = lane.enqueue(now, bid(now, 1, 500, "cancelled")) else {
        panic!("the slot is taken");
    };
    assert_eq!(lane.cancel(id), Some("cancelled"));
    lane.finish(MS * 10);
    assert_eq!(lane.start_next(now), None);
}

#[test]
fn no_more_calls_run_than_the_limit() {
    let now = Instant::now();
    let mut lane = EndpointQueue::new(12);
    for _ in 0..30 {
        lane.enqueue(now, bid(now, 1, 5_000, "x"));
    }
    assert_eq!((lane.running(), lane.waiting()), (11, 19));
    assert_eq!(lane.start_next(now), None);
}

#[test]
fn steady_work_needs_nearly_its_mean_and_varied_work_less() {
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
    let mut lane = busy(now);
    let mut short = bid(now, 1, 600, "short");
    short.min_time = MS * 650;
    assert!(matches!(
        lane.enqueue(now, short),
        EnqueueOutcome::Refused("short")
    ));
}
