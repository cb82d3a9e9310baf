//! Guards against a fleet whose watches exceed the rate of the store as it grows, and against
//! delays after which entries are not back in time.

use std::time::Duration;

use rstest::rstest;

use super::{RetryDelay, watch_pause};

/// Reading calls a second that the store takes from 75 daemons and from 96.
#[rstest]
#[case::sixteen(16, 2_000.0)]
#[case::seventy_five(75, 6_000.0)]
#[case::ninety_six(96, 16_000.0)]
fn watches_of_a_changing_fleet_stay_far_under_the_rate_of_the_store(
    #[case] daemons: usize,
    #[case] rate: f64,
) {
    let watches = daemons as f64 / watch_pause(daemons).as_secs_f64();
    assert!(watches <= rate / 20.0, "{watches}");
}

#[test]
fn a_larger_fleet_pauses_no_shorter_and_learns_of_changes_in_time() {
    let mut last = Duration::ZERO;
    for daemons in 0..2_000 {
        let pause = watch_pause(daemons);
        assert!(pause >= last);
        assert!(pause <= Duration::from_secs(2));
        last = pause;
    }
}

#[rstest]
#[case::shortest(0.0)]
#[case::longest(1.0)]
fn an_outage_costs_few_attempts_and_its_end_is_found_within_two_seconds(#[case] random: f64) {
    let mut delay = RetryDelay::default();
    let mut passed = Duration::ZERO;
    let mut attempts = 0;
    while passed < Duration::from_secs(10) {
        let next = delay.next(random);
        assert!(next < Duration::from_secs(2), "{next:?}");
        passed += next;
        attempts += 1;
    }
    assert!(attempts <= 15, "{attempts}");
    delay.reset();
    assert!(delay.next(random) <= Duration::from_millis(500));
}
