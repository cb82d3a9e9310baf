//! Guards against a share that follows the admitted calls instead of the demand, which would swing.

use std::time::{Duration, Instant};

use super::{DemandClass, DemandEstimator, MIN_SHARE, TARGET};

const MS: Duration = Duration::from_millis(1);

/// Feeds a demand of `per_s` calls per second of which the meter's own share is admitted.
fn play(per_s: u32, urgent_per_s: u32, capacity: f64) -> Vec<f64> {
    let start = Instant::now();
    let mut meter = DemandEstimator::new(start);
    let mut share = 1.0;
    let mut shares = Vec::new();
    let mut credit = 0.0;
    for ms in 0..8_000_u32 {
        let now = start + MS * ms;
        credit += f64::from(per_s) / 1_000.0 * share;
        while credit >= 1.0 {
            credit -= 1.0;
            meter.record_arrival(now, DemandClass::Elastic(share));
        }
        if urgent_per_s > 0 && ms % (1_000 / urgent_per_s) == 0 {
            meter.record_arrival(now, DemandClass::Urgent);
        }
        if ms % 100 == 0 {
            share = meter.share(now, capacity);
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
    for share in play(400, 0, capacity) {
        assert!((share - TARGET / 2.0).abs() < 0.05, "{share}");
    }
}

#[test]
fn urgent_work_is_taken_off_first() {
    let capacity = 200.0;
    let expected = (capacity * TARGET - 50.0) / 400.0;
    for share in play(400, 50, capacity) {
        assert!((share - expected).abs() < 0.05, "{share} {expected}");
    }
}

#[test]
fn everything_is_admitted_while_there_is_room() {
    assert!(play(100, 20, 200.0).iter().all(|share| *share >= 1.0));
}

#[test]
fn a_trickle_is_left_in_a_flood() {
    assert!(
        play(10_000, 0, 10.0)
            .iter()
            .all(|share| *share >= MIN_SHARE)
    );
}
