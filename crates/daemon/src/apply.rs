//! Applies edits of the rules to the platform with compare-and-swap.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use operator::change::{self, StoredRules};
use operator::message::{ApplyReply, Edit, Problem, ProblemKind};
use platform::{Client, Error};
use policy::id::Revision;
use rand::Rng;

use crate::adopted::ValueKind;

/// Attempts before an edit is given up.
const MAX_ATTEMPTS: u32 = 40;
/// Base and cap of the random delay between two attempts. Its upper bound starts at twice the base
/// and doubles with each attempt.
const RETRY_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(5), Duration::from_millis(250));

/// Reads the stored rules with their revision from the platform.
///
/// # Errors
///
/// Fails if the platform does not reply or the stored value cannot be decoded.
pub async fn current_rules(platform: &Client) -> Result<Option<(Revision, StoredRules)>, Problem> {
    let entry = platform
        .get(ValueKind::Rules.key())
        .await
        .map_err(|error| unavailable(&error))?;
    let Some(entry) = entry else { return Ok(None) };
    Ok(Some((entry.revision, StoredRules::decode(&entry.value)?)))
}

/// Applies an edit at most once. If the reply to a write is lost, the value is read back: either it
/// holds the id of the edit, or writing again on the same revision is safe.
///
/// # Errors
///
/// With [`ProblemKind::Platform`] the edit may or may not have been applied; sending it again with
/// the same id is safe. With the other kinds nothing was written.
pub async fn apply(
    platform: &Client,
    edit: &Edit,
    wall: SystemTime,
) -> Result<ApplyReply, Problem> {
    let mut last = Problem::new(
        ProblemKind::Platform,
        "other edits were written first; apply this one again",
    );
    for attempt in 0..MAX_ATTEMPTS {
        delay_retry(attempt).await;
        let found = match current_rules(platform).await {
            Ok(found) => found,
            Err(problem) if problem.kind == ProblemKind::Platform => {
                last = problem;
                continue;
            }
            Err(problem) => return Err(problem),
        };
        let found = found.as_ref().map(|(revision, stored)| (*revision, stored));
        let decision = change::apply(found, edit, wall)?;
        let Some(swap) = decision.write else {
            return Ok(decision.reply);
        };
        let value = Bytes::from(swap.encoded);
        match platform
            .put(ValueKind::Rules.key(), value, Some(swap.expected), None)
            .await
        {
            Ok(revision) => {
                return Ok(ApplyReply {
                    revision,
                    ..decision.reply
                });
            }
            Err(Error::Conflict { .. }) => {}
            Err(error @ (Error::Unknown { .. } | Error::Unavailable { .. })) => {
                last = unavailable(&error);
            }
            Err(error) => return Err(Problem::new(ProblemKind::Internal, error.to_string())),
        }
    }
    Err(last)
}

async fn delay_retry(attempt: u32) {
    if attempt > 0 {
        let max_delay = RETRY_DELAY_RANGE
            .0
            .saturating_mul(1 << attempt.min(10))
            .min(RETRY_DELAY_RANGE.1);
        let delay = rand::rng().random_range(Duration::ZERO..=max_delay);
        tokio::time::sleep(delay).await;
    }
}

fn unavailable(error: &Error) -> Problem {
    Problem::new(ProblemKind::Platform, error.to_string())
}
