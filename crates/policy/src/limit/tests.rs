//! Tests of the learned limit.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use super::ConcurrencyLimiter;

/// Finishes a call every `gap` milliseconds for a minute, at the latency that `model` gives for the
/// current limit, and returns the mean limit over the last half minute.
fn run(
    limiter: &mut ConcurrencyLimiter,
    start: Instant,
    gap: u64,
    model: impl Fn(f64) -> f64,
) -> f64 {
    let mut rng = SmallRng::seed_from_u64(11);
    let (mut sum, mut count) = (0.0, 0.0);
    for step in 0..60_000 / gap {
        let now = start + Duration::from_millis(step * gap);
        let limit = limiter.limit();
        // Exponential service times, so that the noise is that of a real service.
        let latency = -model(f64::from(limit)) * (1.0 - rng.random::<f64>()).ln();
        limiter.finish(now, Duration::from_secs_f64(latency), true, limit);
        if step * gap >= 30_000 {
            sum += f64::from(limiter.limit());
            count += 1.0;
        }
    }
    sum / count
}

/// Guards against a limit that shrinks on noise, or on a slow service further down, where fewer
/// calls at once would only lose throughput; and against one that ignores latency that it causes.
#[rstest]
#[case::constant(1, |_: f64| 0.01, 38.0, 40.0)]
#[case::slow_further_down(1, |_: f64| 0.1, 36.0, 40.0)]
#[case::slow_and_seldom(20, |_: f64| 0.03, 36.0, 40.0)]
#[case::contention(1, |limit: f64| if limit > 10.0 { 0.01 * (limit / 10.0).powi(2) } else { 0.01 }, 5.0, 22.0)]
fn learns_from_latency(
    #[case] gap: u64,
    #[case] model: fn(f64) -> f64,
    #[case] low: f64,
    #[case] high: f64,
) {
    let mut limiter = ConcurrencyLimiter::new(40);
    let start = Instant::now();
    // A first spell at low concurrency teaches the usual latency.
    for step in 0..2_000 {
        let now = start + Duration::from_millis(step);
        limiter.finish(now, Duration::from_millis(10), true, 1);
    }
    let limit = run(&mut limiter, start + Duration::from_secs(2), gap, model);
    assert!((low..=high).contains(&limit), "limit {limit}");
}

/// Guards against reports that raise the limit, close the endpoint, or outlive their truth.
#[rstest]
#[case::idle(0.0, true, 40)]
#[case::busy(1.0, true, 40)]
#[case::overloaded(2.0, true, 20)]
#[case::absurd(1e9, true, 10)]
#[case::not_a_number(f64::NAN, true, 40)]
#[case::unhealthy(0.1, false, 10)]
fn report_only_lowers(#[case] load: f64, #[case] healthy: bool, #[case] limit: u32) {
    let mut limiter = ConcurrencyLimiter::new(40);
    let now = Instant::now();
    limiter.report(now, load, healthy);
    assert_eq!(limiter.limit(), limit);
    limiter.tick(now + Duration::from_secs(3));
    assert_eq!(limiter.limit(), 40);
}

/// Guards against a cold endpoint that gets all its calls at once.
#[test]
fn warm_up_raises_limit_over_ten_seconds() {
    let start = Instant::now();
    let mut limiter = ConcurrencyLimiter::new(40).with_cold_start(start);
    for (seconds, limit) in [(0, 10), (5, 25), (10, 40), (20, 40)] {
        limiter.tick(start + Duration::from_secs(seconds));
        assert_eq!(limiter.limit(), limit);
    }
}
