//! Guards against calls that run twice, exceed the attempts of their route, or are reported as not
//! run although an attempt may have run.

use std::time::Duration;

use rstest::rstest;

use super::{AttemptFailure, Attempts, RetryDecision};
use crate::routing::{RetrySafety, Route};

fn attempts(retry_safety: RetrySafety) -> Attempts {
    Attempts::new(&Route {
        name: "r".into(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        retry_safety,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        rank: 1,
        attempts: 2,
        exempt: false,
        services: Vec::new(),
    })
}

#[rstest]
#[case::an_undelivered_call_tries_another_gate(RetrySafety::Never, &[AttemptFailure::NotDelivered; 5], RetryDecision::TryOther, false)]
#[case::a_rejected_call_is_retried(RetrySafety::Never, &[AttemptFailure::Rejected], RetryDecision::Retry, false)]
#[case::the_route_bounds_deliveries(RetrySafety::Never, &[AttemptFailure::Rejected; 2], RetryDecision::GiveUp, false)]
#[case::a_lost_call_that_is_not_idempotent_ends(RetrySafety::Never, &[AttemptFailure::Lost], RetryDecision::GiveUp, true)]
#[case::a_lost_idempotent_call_is_retried(RetrySafety::Idempotent, &[AttemptFailure::Lost], RetryDecision::Retry, true)]
#[case::a_timed_out_call_ends(RetrySafety::Idempotent, &[AttemptFailure::TimedOut], RetryDecision::GiveUp, true)]
#[case::a_later_undelivered_attempt_does_not_undo_may_have_run(RetrySafety::Idempotent, &[AttemptFailure::Lost, AttemptFailure::NotDelivered], RetryDecision::TryOther, true)]
fn the_last_failure_decides(
    #[case] retry_safety: RetrySafety,
    #[case] failures: &[AttemptFailure],
    #[case] decision: RetryDecision,
    #[case] may_have_run: bool,
) {
    let mut attempts = attempts(retry_safety);
    let last = failures
        .iter()
        .map(|failure| attempts.record_failure(*failure))
        .last();
    assert_eq!(last, Some(decision));
    assert_eq!(attempts.may_have_run(), may_have_run);
}
