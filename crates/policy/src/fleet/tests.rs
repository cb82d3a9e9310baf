//! Guards against late announcements of instances that have ended, and against an empty table after
//! an outage of the store.

use std::time::{Duration, Instant};

use crate::position::Position;

use super::{Announcement, Fleet, MISSING_ENTRY_GRACE, State, VmEntry};

fn announcement(instance: &str, started_ms: u64, sequence: u64, state: State) -> Announcement {
    Announcement {
        instance: instance.into(),
        service: "inventario".into(),
        data_centre: "madrid".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        slots: 12,
        state,
        cold: Duration::ZERO,
        started_ms,
        sequence,
    }
}

fn entry(endpoint: Announcement) -> VmEntry {
    VmEntry {
        vm: "vm-1".into(),
        peer: "10.0.0.1:90".parse().unwrap(),
        data_centre: "madrid".into(),
        endpoint,
    }
}

fn at(revision: u64) -> Position {
    Position::new(1, revision)
}

#[test]
fn a_late_heartbeat_of_an_ended_instance_is_ignored() {
    let ended = announcement("i-1", 1_000, 90, State::Ready);
    let current = announcement("i-2", 2_000, 1, State::Ready);
    assert!(current.supersedes(&ended));
    assert!(!ended.supersedes(&current));
}

#[test]
fn the_same_id_with_a_later_start_is_a_new_instance() {
    let ended = announcement("i-1", 1_000, 90, State::Gone);
    let restarted = announcement("i-1", 2_000, 1, State::Ready);
    assert!(restarted.supersedes(&ended));
    assert!(!ended.supersedes(&restarted));
}

/// Guards against a record of another instance that replaces a heartbeat only because it was read
/// later.
#[test]
fn a_record_of_an_unordered_instance_corrects_nothing() {
    let known = announcement("i-1", 1_000, 1, State::Ready);
    let unordered = announcement("i-2", 1_000, 9, State::Gone);
    assert!(unordered.supersedes(&known));
    assert!(!unordered.corrects(&known));
    assert!(announcement("i-2", 1_001, 1, State::Ready).corrects(&known));
    assert!(announcement("i-1", 1_000, 1, State::Gone).corrects(&known));
    assert!(!announcement("i-1", 1_000, 1, State::Ready).corrects(&known));
}

#[test]
fn a_gone_instance_does_not_become_ready() {
    let gone = announcement("i-1", 1_000, 5, State::Gone);
    let late = announcement("i-1", 1_000, 9, State::Ready);
    assert!(!late.supersedes(&gone));
    assert!(gone.supersedes(&announcement("i-1", 1_000, 5, State::Draining)));
}

/// Guards against a late heartbeat that makes an endpoint ready again although it stated in its
/// responses that it leaves.
#[test]
fn a_leaving_instance_does_not_become_ready() {
    let leaving = announcement("i-1", 1_000, 5, State::Leaving);
    for state in [State::Ready, State::Draining] {
        let late = announcement("i-1", 1_000, 9, state);
        assert!(!late.supersedes(&leaving));
        assert!(leaving.supersedes(&late));
    }
    assert!(announcement("i-1", 1_000, 5, State::Gone).supersedes(&leaving));
    assert!(announcement("i-1", 1_001, 1, State::Ready).supersedes(&leaving));
}

#[test]
fn sequence_orders_announcements_of_one_instance() {
    let older = announcement("i-1", 1_000, 5, State::Ready);
    let newer = announcement("i-1", 1_000, 6, State::Draining);
    assert!(newer.supersedes(&older));
    assert!(!older.supersedes(&newer));
}

#[test]
fn a_missing_entry_is_retained_for_the_grace() {
    let now = Instant::now();
    let mut fleet = Fleet::new();
    fleet.apply_write(entry(announcement("i-1", 1, 1, State::Ready)), at(7));
    fleet.apply_removal(now, "vm-1", at(8));
    assert_eq!(fleet.ready("inventario").len(), 1);
    assert!(
        fleet
            .expire(now + MISSING_ENTRY_GRACE / 2, |_| false)
            .is_empty()
    );
    fleet.apply_write(entry(announcement("i-1", 1, 1, State::Ready)), at(9));
    assert!(
        fleet
            .expire(now + MISSING_ENTRY_GRACE * 2, |_| false)
            .is_empty()
    );
    fleet.apply_removal(now, "vm-1", at(10));
    assert!(
        fleet
            .expire(now + MISSING_ENTRY_GRACE * 2, |_| true)
            .is_empty()
    );
    assert_eq!(
        fleet.expire(now + MISSING_ENTRY_GRACE * 2, |_| false).len(),
        1
    );
    assert!(fleet.ready("inventario").is_empty());
}

#[test]
fn an_old_removal_does_not_revert_a_newer_write() {
    let now = Instant::now();
    let mut fleet = Fleet::new();
    fleet.apply_write(entry(announcement("i-1", 1, 1, State::Ready)), at(9));
    fleet.apply_removal(now, "vm-1", at(8));
    assert!(
        fleet
            .expire(now + MISSING_ENTRY_GRACE * 2, |_| false)
            .is_empty()
    );
}

#[test]
fn draining_endpoints_are_not_ready() {
    let mut fleet = Fleet::new();
    fleet.apply_write(entry(announcement("i-1", 1, 1, State::Ready)), at(1));
    assert!(fleet.apply_announcement("vm-1", announcement("i-1", 1, 2, State::Draining)));
    assert!(fleet.ready("inventario").is_empty());
}

/// Guards against entries that are ignored after the store has returned from an older copy, since
/// their revisions are lower, and against VMs that left meanwhile and are kept.
#[test]
fn a_later_era_comes_after_all_revisions_of_an_earlier_one() {
    let now = Instant::now();
    let mut fleet = Fleet::new();
    fleet.apply_write(entry(announcement("i-1", 1, 1, State::Ready)), at(90));
    let restored = Position::new(2, 5);
    assert!(fleet.apply_write(entry(announcement("i-2", 2, 1, State::Ready)), restored));
    assert!(!fleet.apply_write(entry(announcement("i-3", 3, 1, State::Ready)), at(95)));
    fleet.apply_removal(now, "vm-1", at(95));
    assert!(fleet.missing().is_empty());
    fleet.apply_listing(now, &[], Position::new(2, 6));
    assert_eq!(fleet.missing().len(), 1);
}

/// Guards against calls to an endpoint that has left: its old entry is read again after the store
/// has returned from a copy, when its VM has been removed from the table.
#[test]
fn an_endpoint_that_left_is_not_ready_when_its_old_entry_returns() {
    let now = Instant::now();
    let old = entry(announcement("i-1", 1, 1, State::Ready));
    for state in [State::Leaving, State::Gone] {
        let mut fleet = Fleet::new();
        fleet.apply_write(old.clone(), at(5));
        fleet.apply_announcement("vm-1", announcement("i-1", 1, 2, state));
        fleet.apply_removal(now, "vm-1", at(6));
        let later = now + MISSING_ENTRY_GRACE;
        assert_eq!(fleet.expire(later, |_| false).len(), 1);
        fleet.apply_write(old.clone(), Position::new(2, 5));
        assert!(fleet.ready("inventario").is_empty());
        let restarted = entry(announcement("i-1", 2, 1, State::Ready));
        fleet.apply_write(restarted, Position::new(2, 6));
        assert_eq!(fleet.ready("inventario").len(), 1);
    }
}
