//! Guards against a backlog that drifts from the calls at the gate, against an endpoint that looks
//! cheap because it fails or because another instance was fast, and against a pace that outlives
//! the samples it was derived from.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use super::{Backlog, HoldTime, PaceMeter, RouteCosts, Speed, aged_pace};

const MS: Duration = Duration::from_millis(1);

const HOLD: HoldTime = HoldTime {
    mean: Duration::from_millis(100),
    deviation: Duration::from_millis(30),
};

#[test]
fn backlog_is_what_waiting_and_running_calls_still_need() {
    let start = Instant::now();
    let mut backlog = Backlog::default();
    backlog.record_waiting(1, HOLD);
    backlog.record_waiting(2, HOLD);
    backlog.record_start(start, 1, HOLD);
    assert_eq!(backlog.total(start), MS * 200);
    assert_eq!(backlog.total(start + MS * 40), MS * 160);
    // A call that has run for longer than the mean has still something left.
    assert_eq!(backlog.total(start + MS * 900), MS * 130);
    backlog.record_end(1);
    backlog.record_end(2);
    assert_eq!(backlog.total(start), Duration::ZERO);
}

/// Guards against time readings that are out of order.
#[test]
fn backlog_before_the_start_of_a_call_is_its_whole_time() {
    let earlier = Instant::now();
    let mut backlog = Backlog::default();
    backlog.record_start(earlier + MS * 20, 1, HOLD);
    assert_eq!(backlog.total(earlier), MS * 100);
}

/// Guards against a sum that keeps a call which was refused, cancelled or ended twice.
#[test]
fn backlog_is_empty_after_any_history_without_open_calls() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(20);
    let mut backlog = Backlog::default();
    for id in 0..2_000 {
        let hold_time = HoldTime {
            mean: MS * rng.random_range(0..500),
            ..HOLD
        };
        if rng.random() {
            backlog.record_waiting(id, hold_time);
        }
        if rng.random() {
            backlog.record_start(now, id, hold_time);
        }
        let ended = rng.random_range(0..=id);
        backlog.record_end(ended);
        backlog.record_end(ended);
    }
    (0..2_000).for_each(|id| backlog.record_end(id));
    assert_eq!(backlog.total(now), Duration::ZERO);
}

/// Returns the pace after the figures of responses that are 10 ms apart.
fn pace_of(figures: &[Option<u32>]) -> Option<f64> {
    let start = Instant::now();
    let mut meter = PaceMeter::default();
    for (index, figure) in (0..).zip(figures) {
        meter.record(start + MS * 10 * index, *figure, MS * 40);
    }
    meter.pace()
}

#[rstest]
#[case::never_stated(&[None, None], None)]
#[case::zero_and_absurd(&[Some(0), Some(4_000_000_000)], None)]
#[case::first(&[None, Some(150)], Some(1.5))]
#[case::normal_after_absurd(&[Some(100), Some(5_000), None, Some(0)], Some(1.0))]
fn unusable_figures_count_as_normal(
    #[case] figures: &[Option<u32>],
    #[case] expected: Option<f64>,
) {
    assert_eq!(pace_of(figures), expected);
}

/// Guards against a slow machine that counts twice, in its pace and in its speed.
#[test]
fn a_constant_pace_becomes_the_usual_one() {
    let long = pace_of(&vec![Some(150); 6_000]).unwrap();
    assert!((long - 1.0).abs() < 0.01, "{long}");
    let mut changed = vec![Some(150); 6_000];
    changed.extend([Some(75); 10]);
    let changed = pace_of(&changed).unwrap();
    assert!((changed - 0.5).abs() < 0.02, "{changed}");
}

#[test]
fn the_pace_of_an_old_report_says_nothing() {
    assert!((aged_pace(1.8, Duration::ZERO) - 1.8).abs() < 1e-9);
    assert!(aged_pace(1.8, MS * 150) < 1.41);
    assert!((aged_pace(1.8, MS * 3_000) - 1.0).abs() < 0.01);
}

fn speed_after(samples: usize, ratio: f64, now: Instant) -> Speed {
    let mut speed = Speed::default();
    speed.follow(now, &"i-1".into(), 1);
    for _ in 0..samples {
        speed.record(now, ratio, MS * 10);
    }
    speed
}

#[test]
fn speed_counts_after_a_few_samples_and_is_forgotten_slowly() {
    let now = Instant::now();
    assert!(speed_after(1, 0.1, now).ratio(now) > 0.8);
    assert!((speed_after(200, 1.5, now).ratio(now) - 1.5).abs() < 0.05);
    let later = now + Duration::from_mins(2);
    assert!(speed_after(200, 1.5, now).ratio(later) < 1.05);
}

#[rstest]
#[case::another_instance("i-2", 2)]
#[case::restart_under_the_same_id("i-1", 2)]
fn speed_is_forgotten_with_its_instance(#[case] instance: &str, #[case] started_ms: u64) {
    let now = Instant::now();
    let mut speed = speed_after(200, 0.5, now);
    speed.follow(now, &instance.into(), started_ms);
    assert!((speed.ratio(now) - 1.0).abs() < f64::EPSILON);
    // The response to a call that began before is one of the former instance.
    speed.record(now + MS * 5, 0.1, MS * 10);
    assert!((speed.ratio(now) - 1.0).abs() < f64::EPSILON);
    speed.record(now + MS * 20, 0.1, MS * 10);
    assert!(speed.ratio(now + MS * 20) < 1.0);
}

#[test]
fn a_route_costs_the_mean_over_all_endpoints() {
    let mut costs = RouteCosts::default();
    let route = "r".into();
    assert_eq!(costs.mean(&route), Duration::ZERO);
    assert_eq!(costs.record(&route, MS * 100), None);
    for _ in 0..400 {
        costs.record(&route, MS * 50);
        costs.record(&route, MS * 150);
    }
    let mean = costs.mean(&route);
    assert!(mean > MS * 95 && mean < MS * 105, "{mean:?}");
}
