//! Guards against an admission share that follows the admitted calls instead of the demand and
//! therefore oscillates, and against one that falls because refused calls return.

use std::time::{Duration, Instant};

use super::{DemandClass, DemandEstimator, MIN_SHARE, TARGET_UTILISATION};

const MS: Duration = Duration::from_millis(1);

/// Feeds a demand of `per_s` elastic calls per second, admitted at the estimator's own share, and
/// of `urgent_per_s` urgent ones. Returns the shares after the first 4 s.
fn shares_under_demand(per_s: u32, urgent_per_s: u32, capacity: f64) -> Vec<f64> {
    let start = Instant::now();
    let mut estimator = DemandEstimator::new(start);
    let mut share = 1.0;
    let mut shares = Vec::new();
    let mut credit = 0.0;
    for ms in 0..8_000_u32 {
        let now = start + MS * ms;
        credit += f64::from(per_s) / 1_000.0 * share;
        while credit >= 1.0 {
            credit -= 1.0;
            estimator.record_arrival(now, DemandClass::Elastic(share));
        }
        if urgent_per_s > 0 && ms % (1_000 / urgent_per_s) == 0 {
            estimator.record_arrival(now, DemandClass::Urgent);
        }
        if ms % 100 == 0 {
            share = estimator.room(now, capacity).share().min(1.0);
            if ms > 4_000 {
                shares.push(share);
            }
        }
    }
    shares
}

#[test]
fn the_share_settles_where_the_admitted_work_fits() {
    let capacity = 200.0;
    for share in shares_under_demand(400, 0, capacity) {
        assert!((share - TARGET_UTILISATION / 2.0).abs() < 0.05, "{share}");
    }
}

#[test]
fn urgent_work_is_subtracted_from_the_capacity_first() {
    let capacity = 200.0;
    let expected = (capacity * TARGET_UTILISATION - 50.0) / 400.0;
    for share in shares_under_demand(400, 50, capacity) {
        assert!((share - expected).abs() < 0.05, "{share} {expected}");
    }
}

#[test]
fn everything_is_admitted_while_there_is_headroom() {
    assert!(
        shares_under_demand(100, 20, 200.0)
            .iter()
            .all(|share| *share >= 1.0)
    );
}

#[test]
fn the_share_does_not_fall_below_its_minimum_in_a_flood() {
    assert!(
        shares_under_demand(10_000, 0, 10.0)
            .iter()
            .all(|share| *share >= MIN_SHARE)
    );
}

/// Guards against the fault seen on a quiet day with 96 daemons: a moment of overload lowered the
/// share, the refused calls returned and were counted as further demand, and the share stayed low
/// although the gate was half idle.
#[test]
fn returning_calls_do_not_keep_the_share_low() {
    let start = Instant::now();
    let mut estimator = DemandEstimator::new(start);
    let capacity = 200.0;
    let (mut new, mut returned) = (0.0, 0.0);
    let mut share: f64 = 0.2;
    for ms in 0..4_000_u32 {
        let now = start + MS * ms;
        // 140 new calls a second; a refused one returns once and is preferred.
        new += 0.14 * share;
        returned += 0.14 * (1.0 - share) * (2.0 * share).min(1.0);
        while new >= 1.0 {
            new -= 1.0;
            estimator.record_arrival(now, DemandClass::Elastic(share));
        }
        while returned >= 1.0 {
            returned -= 1.0;
            estimator.record_arrival(now, DemandClass::Returned);
        }
        if ms % 100 == 99 {
            share = estimator.room(now, capacity).share().min(1.0);
        }
    }
    assert!(share >= 1.0, "{share}");
}
