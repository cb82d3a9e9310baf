//! Tests of the adaptive concurrency limit.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use super::ConcurrencyLimiter;

/// Finishes a call every `interval_ms` for a minute, with the mean latency that `model` gives for
/// the current limit. Returns the mean limit over the last half minute.
fn mean_limit(
    limiter: &mut ConcurrencyLimiter,
    start: Instant,
    interval_ms: u64,
    model: impl Fn(f64) -> f64,
) -> f64 {
    let mut rng = SmallRng::seed_from_u64(11);
    let (mut sum, mut count) = (0.0, 0.0);
    for step in 0..60_000 / interval_ms {
        let now = start + Duration::from_millis(step * interval_ms);
        let limit = limiter.limit();
        // Exponentially distributed, so that the noise is realistic.
        let latency = -model(f64::from(limit)) * (1.0 - rng.random::<f64>()).ln();
        limiter.record_call(now, Duration::from_secs_f64(latency), true, limit);
        if step * interval_ms >= 30_000 {
            sum += f64::from(limiter.limit());
            count += 1.0;
        }
    }
    sum / count
}

/// Guards against a limit that shrinks on noise or for a slow dependency, where less concurrency
/// would only lose throughput, and against one that ignores latency caused by concurrency.
#[rstest]
#[case::constant(1, |_: f64| 0.01, 38.0, 40.0)]
#[case::slow_dependency(1, |_: f64| 0.1, 36.0, 40.0)]
#[case::slow_and_rare(20, |_: f64| 0.03, 36.0, 40.0)]
#[case::contention(1, |limit: f64| if limit > 10.0 { 0.01 * (limit / 10.0).powi(2) } else { 0.01 }, 5.0, 22.0)]
fn limit_follows_latency_caused_by_concurrency(
    #[case] interval_ms: u64,
    #[case] model: fn(f64) -> f64,
    #[case] low: f64,
    #[case] high: f64,
) {
    let mut limiter = ConcurrencyLimiter::new(40);
    let start = Instant::now();
    // Learns the baseline at low concurrency.
    for step in 0..2_000 {
        let now = start + Duration::from_millis(step);
        limiter.record_call(now, Duration::from_millis(10), true, 1);
    }
    let limit = mean_limit(
        &mut limiter,
        start + Duration::from_secs(2),
        interval_ms,
        model,
    );
    assert!((low..=high).contains(&limit), "limit {limit}");
}

/// Guards against load reports that raise the limit, block all calls, or never expire.
#[rstest]
#[case::idle(0.0, true, 40)]
#[case::busy(1.0, true, 40)]
#[case::overloaded(2.0, true, 20)]
#[case::huge(1e9, true, 10)]
#[case::not_a_number(f64::NAN, true, 40)]
#[case::unhealthy(0.1, false, 10)]
fn load_report_only_lowers_limit(#[case] load: f64, #[case] healthy: bool, #[case] limit: u32) {
    let mut limiter = ConcurrencyLimiter::new(40);
    let now = Instant::now();
    limiter.apply_load_report(now, load, healthy);
    assert_eq!(limiter.limit(), limit);
    limiter.tick(now + Duration::from_secs(3));
    assert_eq!(limiter.limit(), 40);
}

/// Guards against sending the full load to a newly started endpoint at once.
#[test]
fn warm_up_raises_limit_over_ten_seconds() {
    let start = Instant::now();
    let mut limiter = ConcurrencyLimiter::new(40).with_cold_start(start);
    for (seconds, limit) in [(0, 10), (5, 25), (10, 40), (20, 40)] {
        limiter.tick(start + Duration::from_secs(seconds));
        assert_eq!(limiter.limit(), limit);
    }
}
