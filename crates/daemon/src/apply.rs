//! Edits of the rules in the platform, by compare-and-swap.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use operator::change::{self, StoredRules};
use operator::message::{ApplyReply, Edit, Problem, ProblemKind};
use platform::{Client, Error};
use policy::id::Revision;
use rand::Rng;

use crate::adopted::Value;

/// Attempts before an edit gives up.
const ATTEMPTS: u32 = 40;
/// First and longest pause between two attempts.
const PAUSE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(250));

/// Reads the rules as the platform holds them.
///
/// # Errors
///
/// Fails if the platform does not answer or holds something else.
pub async fn current(platform: &Client) -> Result<Option<(Revision, StoredRules)>, Problem> {
    let entry = platform
        .get(Value::Rules.key())
        .await
        .map_err(|error| unavailable(&error))?;
    let Some(entry) = entry else { return Ok(None) };
    Ok(Some((entry.revision, StoredRules::decode(&entry.value)?)))
}

/// Applies an edit at most once. A write whose answer was lost is settled by reading back: the
/// value then holds the id of the edit, or a repeat on the same revision is safe.
///
/// # Errors
///
/// [`ProblemKind::Platform`] leaves open whether the edit was applied; sending it again with the
/// same id is safe. With the other kinds nothing was written.
pub async fn apply(
    platform: &Client,
    edit: &Edit,
    wall: SystemTime,
) -> Result<ApplyReply, Problem> {
    let mut last = Problem::new(
        ProblemKind::Platform,
        "other edits came first; apply it again",
    );
    for attempt in 0..ATTEMPTS {
        pause(attempt).await;
        let found = match current(platform).await {
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
            .put(Value::Rules.key(), value, Some(swap.expected), None)
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

async fn pause(attempt: u32) {
    if attempt > 0 {
        let bound = PAUSE.0.saturating_mul(1 << attempt.min(10)).min(PAUSE.1);
        let pause = rand::rng().random_range(Duration::ZERO..=bound);
        tokio::time::sleep(pause).await;
    }
}

fn unavailable(error: &Error) -> Problem {
    Problem::new(ProblemKind::Platform, error.to_string())
}
