//! Guards against calls that run twice, exceed the attempts of their route, or are said not to have run
//! after an attempt that may have.

use std::time::Duration;

use rstest::rstest;

use super::{Attempts, Fate, Next};
use crate::traffic::{Repeat, Route};

fn attempts(repeat: Repeat) -> Attempts {
    Attempts::new(&Route {
        name: "r".into(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        repeat,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        rank: 1,
        attempts: 2,
        parts: Vec::new(),
    })
}

#[rstest]
#[case::a_stopped_one_goes_elsewhere(Repeat::Never, &[Fate::Stopped; 5], Next::Elsewhere, false)]
#[case::a_rejected_one_is_a_repeat(Repeat::Never, &[Fate::Rejected], Next::Repeat, false)]
#[case::the_route_bounds_arrivals(Repeat::Never, &[Fate::Rejected; 2], Next::End, false)]
#[case::a_lost_one_that_runs_once_ends(Repeat::Never, &[Fate::Lost], Next::End, true)]
#[case::a_lost_one_may_run_again(Repeat::Idempotent, &[Fate::Lost], Next::Repeat, true)]
#[case::no_time_is_left(Repeat::Idempotent, &[Fate::TimedOut], Next::End, true)]
#[case::what_may_have_run_stays_so(Repeat::Idempotent, &[Fate::Lost, Fate::Stopped], Next::Elsewhere, true)]
fn the_fate_of_the_last_attempt_decides(
    #[case] repeat: Repeat,
    #[case] fates: &[Fate],
    #[case] next: Next,
    #[case] may_have_run: bool,
) {
    let mut attempts = attempts(repeat);
    let last = fates.iter().map(|fate| attempts.failed(*fate)).last();
    assert_eq!(last, Some(next));
    assert_eq!(attempts.may_have_run(), may_have_run);
}
