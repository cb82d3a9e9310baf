//! Guards against calls that run twice, exceed the attempts of their route, or are said not to have run
//! after an attempt that may have.

use std::time::Duration;

use rstest::rstest;

use super::{AttemptFailure, Attempts, RetryDecision};
use crate::routing::{RetrySafety, Route};

fn attempts(repeat: RetrySafety) -> Attempts {
    Attempts::new(&Route {
        name: "r".into(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        retry_safety: repeat,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        rank: 1,
        attempts: 2,
        services: Vec::new(),
    })
}

#[rstest]
#[case::a_stopped_one_goes_elsewhere(RetrySafety::Never, &[AttemptFailure::NotDelivered; 5], RetryDecision::TryOther, false)]
#[case::a_rejected_one_is_a_repeat(RetrySafety::Never, &[AttemptFailure::Rejected], RetryDecision::Retry, false)]
#[case::the_route_bounds_arrivals(RetrySafety::Never, &[AttemptFailure::Rejected; 2], RetryDecision::GiveUp, false)]
#[case::a_lost_one_that_runs_once_ends(RetrySafety::Never, &[AttemptFailure::Lost], RetryDecision::GiveUp, true)]
#[case::a_lost_one_may_run_again(RetrySafety::Idempotent, &[AttemptFailure::Lost], RetryDecision::Retry, true)]
#[case::no_time_is_left(RetrySafety::Idempotent, &[AttemptFailure::TimedOut], RetryDecision::GiveUp, true)]
#[case::what_may_have_run_stays_so(RetrySafety::Idempotent, &[AttemptFailure::Lost, AttemptFailure::NotDelivered], RetryDecision::TryOther, true)]
fn the_fate_of_the_last_attempt_decides(
    #[case] repeat: RetrySafety,
    #[case] fates: &[AttemptFailure],
    #[case] next: RetryDecision,
    #[case] may_have_run: bool,
) {
    let mut attempts = attempts(repeat);
    let last = fates
        .iter()
        .map(|fate| attempts.record_failure(*fate))
        .last();
    assert_eq!(last, Some(next));
    assert_eq!(attempts.may_have_run(), may_have_run);
}
