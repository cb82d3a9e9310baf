//! Guards against a rate above the limit that an endpoint states, in any window, and against a limit
//! that never ends.

use std::time::{Duration, Instant};

use proptest::prelude::*;

use super::RateLimiter;

const MS: Duration = Duration::from_millis(1);

/// Window over which the platform counts the calls to an endpoint with a limit.
const WINDOW_MS: u64 = 4_000;

fn limited(now: Instant, limit: f64) -> RateLimiter {
    let mut limiter = RateLimiter::default();
    limiter.apply_limit(now, Some(limit));
    limiter
}

/// Starts a call every millisecond in which it is allowed; returns when they started.
fn starts(limiter: &mut RateLimiter, now: Instant, millis: u64) -> Vec<u64> {
    let mut times = Vec::new();
    for time in 0..millis {
        let at = now + MS * time as u32;
        while limiter.allows(at) {
            limiter.record_start(at);
            times.push(time);
            assert!(times.len() < 1_000_000, "the limiter is unlimited");
        }
    }
    times
}

fn busiest_window(times: &[u64]) -> usize {
    let count = |from: u64| {
        let window = from..from + WINDOW_MS;
        times.iter().filter(|at| window.contains(at)).count()
    };
    times.iter().map(|from| count(*from)).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Guards against bursts after a pause and against a bucket that fills without bound.
    #[test]
    fn no_window_exceeds_the_limit(
        limit in 0.0_f64..60.0,
        idle in 0_u64..20_000,
        later in 0.0_f64..60.0,
    ) {
        let now = Instant::now();
        let mut limiter = limited(now, limit);
        let from = now + Duration::from_millis(idle);
        let times = starts(&mut limiter, from, 8_000);
        prop_assert!(busiest_window(&times) as f64 <= 1.5 * 4.0 * limit + 5.0);
        prop_assert!(times.len() as f64 >= (8.0 * limit).floor() - 1.0);
        // A new limit holds from the moment at which it is stated.
        let from = from + Duration::from_secs(8);
        limiter.apply_limit(from, Some(later));
        let times = starts(&mut limiter, from, 8_000);
        prop_assert!(busiest_window(&times) as f64 <= 1.5 * 4.0 * later + 5.0);
    }
}

/// Guards against a limit that is taken for ended because responses were read out of order.
#[test]
fn a_limit_ends_only_some_time_after_it_was_last_stated() {
    let now = Instant::now();
    let mut limiter = limited(now, 10.0);
    limiter.apply_limit(now + MS * 300, Some(10.0));
    limiter.apply_limit(now + MS * 301, None);
    assert_eq!(limiter.rate(), Some(10.0));
    limiter.apply_limit(now + MS * 900, None);
    assert_eq!(limiter.rate(), None);
    assert!(limiter.allows(now + MS * 900));
}

#[test]
fn waits_follow_the_rate() {
    let now = Instant::now();
    let mut limiter = limited(now, 10.0);
    assert_eq!(limiter.wait(now, 0), MS * 100);
    assert_eq!(limiter.wait(now, 4), MS * 500);
    let later = now + MS * 200;
    assert!(limiter.allows(later));
    limiter.record_start(later);
    assert_eq!(limiter.wait(later, 0).as_millis(), 0);
    limiter.record_start(later);
    assert!(limiter.wait(later, 0) > MS * 90);
}
