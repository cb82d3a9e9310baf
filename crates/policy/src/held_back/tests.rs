//! Guards against log lines for each refusal, and against organisations that are reported as held
//! back for ever.

use std::time::{Duration, Instant};

use super::{HeldBack, HeldChange};
use crate::id::OrganisationName;
use crate::organisation::MAX_TRACKED;

#[test]
fn an_organisation_is_reported_once_when_it_starts_and_once_when_it_ends() {
    let now = Instant::now();
    let name: OrganisationName = "a".into();
    let mut held = HeldBack::default();
    for _ in 0..3 {
        held.record(now, Some(&name));
        held.record(now, None);
    }
    let started = HeldChange::Started(OrganisationName::clone(&name));
    assert_eq!(held.changes(now), [started]);
    assert_eq!(held.changes(now + Duration::from_secs(1)), []);
    let ended = HeldChange::Ended {
        organisation: name,
        refused: 3,
    };
    assert_eq!(held.changes(now + Duration::from_secs(2)), [ended]);
}

/// Guards against a gauge that never returns to zero because an organisation was forgotten while it
/// was held back.
#[test]
fn an_organisation_that_is_forgotten_is_reported_as_released() {
    let now = Instant::now();
    let mut held = HeldBack::default();
    for number in 0..=MAX_TRACKED {
        held.record(now, Some(&number.to_string().into()));
    }
    let changes = held.changes(now);
    let started = |change: &&HeldChange| matches!(change, HeldChange::Started(_));
    assert_eq!(changes.iter().filter(started).count(), MAX_TRACKED + 1);
    assert_eq!(changes.len(), MAX_TRACKED + 2);
}
