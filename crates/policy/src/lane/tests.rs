//! Guards against urgent calls behind others, and against calls held although they have no chance.

use std::time::{Duration, Instant};

use super::{Bid, Lane, NeededTime, Offer};

const MS: Duration = Duration::from_millis(1);

fn bid(now: Instant, rank: u32, due: u32, job: &'static str) -> Bid<&'static str> {
    Bid {
        rank,
        due: now + MS * due,
        needed: MS * 5,
        job,
    }
}

/// A lane with one slot, taken, whose calls hold it for about 10 ms.
fn busy(now: Instant) -> Lane<&'static str> {
    let mut lane = Lane::new(1);
    for _ in 0..200 {
        assert!(matches!(
            lane.offer(now, bid(now, 0, 1_000, "x")),
            Offer::Start(_)
        ));
        lane.finish(MS * 10);
    }
    lane.offer(now, bid(now, 0, 1_000, "running"));
    lane
}

#[test]
fn rank_goes_before_deadline_and_deadline_before_arrival() {
    let now = Instant::now();
    let mut lane = busy(now);
    for (rank, due, job) in [(1, 500, "c"), (1, 400, "b"), (2, 100, "d"), (0, 900, "a")] {
        assert!(matches!(
            lane.offer(now, bid(now, rank, due, job)),
            Offer::Waiting(_)
        ));
    }
    let mut order = Vec::new();
    for _ in 0..4 {
        lane.finish(MS * 10);
        order.push(lane.start(now).unwrap());
    }
    assert_eq!(order, ["a", "b", "c", "d"]);
}

#[test]
fn a_call_that_cannot_finish_in_time_is_refused_at_once() {
    let now = Instant::now();
    let mut lane = busy(now);
    for _ in 0..5 {
        lane.offer(now, bid(now, 1, 1_000, "ahead"));
    }
    assert!(matches!(
        lane.offer(now, bid(now, 1, 30, "late")),
        Offer::Waiting(_)
    ));
    assert!(matches!(
        lane.offer(now, bid(now, 2, 40, "late")),
        Offer::Refused("late")
    ));
}

#[test]
fn waiting_calls_without_a_chance_are_returned_before_their_deadline() {
    let now = Instant::now();
    let mut lane = busy(now);
    lane.offer(now, bid(now, 2, 60, "displaced"));
    for _ in 0..6 {
        lane.offer(now, bid(now, 0, 500, "urgent"));
    }
    assert_eq!(lane.expire(now), ["displaced"]);
    assert_eq!(lane.waiting(), 6);
}

#[test]
fn a_cancelled_call_never_starts() {
    let now = Instant::now();
    let mut lane = busy(now);
    let Offer::Waiting(id) = lane.offer(now, bid(now, 1, 500, "cancelled")) else {
        panic!("the slot is taken");
    };
    assert_eq!(lane.cancel(id), Some("cancelled"));
    lane.finish(MS * 10);
    assert_eq!(lane.start(now), None);
}

#[test]
fn no_more_calls_run_than_the_limit() {
    let now = Instant::now();
    let mut lane = Lane::new(12);
    for _ in 0..30 {
        lane.offer(now, bid(now, 1, 5_000, "x"));
    }
    assert_eq!((lane.running(), lane.waiting()), (11, 19));
    assert_eq!(lane.start(now), None);
}

#[test]
fn steady_work_needs_nearly_its_mean_and_varied_work_less() {
    let mut steady = NeededTime::default();
    let mut varied = NeededTime::default();
    for round in 0..200 {
        steady.succeeded(MS * 700);
        varied.succeeded(if round % 2 == 0 { MS * 20 } else { MS * 180 });
    }
    assert!(steady.least() > MS * 650, "{:?}", steady.least());
    assert!(varied.least() < MS * 60, "{:?}", varied.least());
}

#[test]
fn a_call_without_time_for_its_work_does_not_take_a_slot() {
    let now = Instant::now();
    let mut lane = busy(now);
    let mut short = bid(now, 1, 600, "short");
    short.needed = MS * 650;
    assert!(matches!(lane.offer(now, short), Offer::Refused("short")));
}
