//! Guards against chains that go on although they cannot end in time, and against chains that are
//! given up although they can.

use std::time::Duration;

use super::{Progress, cannot_finish};

const MS: Duration = Duration::from_millis(1);

fn trained() -> Progress {
    let mut progress = Progress::default();
    for _ in 0..50 {
        progress.record_run("catalogo", 10, MS * 700);
    }
    progress
}

#[test]
fn the_remaining_time_falls_with_each_nested_call() {
    let progress = trained();
    let mut last = progress.remaining("catalogo", 0);
    assert_eq!(last, MS * 700);
    for made in 1..=10 {
        let remaining = progress.remaining("catalogo", made);
        assert!(remaining < last);
        last = remaining;
    }
    assert_eq!(last, Duration::ZERO);
    assert_eq!(progress.remaining("catalogo", 12), Duration::ZERO);
}

#[test]
fn a_route_without_complete_runs_is_never_given_up() {
    let progress = Progress::default();
    assert_eq!(progress.remaining("reserva", 1), Duration::ZERO);
    assert!(!cannot_finish(Duration::ZERO, Duration::ZERO));
}

#[test]
fn a_chain_is_given_up_only_far_below_the_time_it_needs() {
    let remaining = trained().remaining("catalogo", 5);
    assert!(!cannot_finish(MS * 350, remaining));
    assert!(!cannot_finish(MS * 300, remaining));
    assert!(cannot_finish(MS * 200, remaining));
}
