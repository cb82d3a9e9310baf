use std::time::{Duration, Instant};

use adapter::standin::Transaction;

use adapter::CONFIGURATION_KEY;

use super::{Store, StoreData};

fn write(key: &str, expected: u64, lease: u64) -> Transaction {
    Transaction {
        expected: vec![(key.to_owned(), expected)],
        writes: vec![(key.to_owned(), b"v".to_vec(), lease)],
        deletes: Vec::new(),
    }
}

/// Guards against a stand-in that ignores the conditions of writes and so hides lost updates.
#[test]
fn a_write_requires_its_expected_revision_and_lease() {
    let mut data = StoreData::default();
    assert_eq!(data.commit(write("a", 0, 0)).0, 200);
    assert_eq!(data.commit(write("a", 0, 0)).0, 412);
    assert_eq!(data.commit(write("a", 1, 5)).0, 404);
    assert_eq!(data.commit(write("a", 1, 0)).0, 200);
}

/// Guards against keys that outlive their lease.
#[test]
fn keys_are_removed_with_their_lease() {
    let mut data = StoreData::default();
    let now = Instant::now();
    let lease = data.open_lease(now, Duration::from_secs(1));
    assert_eq!(data.commit(write("a", 0, lease)).0, 200);
    assert!(data.renew_lease(now + Duration::from_millis(900), lease));
    assert!(!data.expire_leases(now + Duration::from_millis(1_800)));
    assert!(data.expire_leases(now + Duration::from_millis(1_900)));
    assert!(data.list("", None).is_empty());
    let changes = data.changes("", 0).unwrap();
    assert_eq!(changes.len(), 2, "the write and the removal");
}

/// Guards against a watch that silently skips compacted history.
#[test]
fn changes_before_the_compaction_are_refused() {
    let mut data = StoreData::default();
    assert_eq!(data.commit(write("a", 0, 0)).0, 200);
    data.compacted = data.revision;
    assert!(data.changes("", 0).is_none());
    assert!(data.changes("", 1).unwrap().is_empty());
}

/// Guards against a return from a copy that daemons could not tell from a running store: revisions
/// go back, the writes of daemons are lost and those of the operators are written again.
#[test]
fn a_restored_store_has_lost_what_daemons_wrote_since() {
    let store = Store::default();
    store.write_configuration(b"1".to_vec());
    let copy = store.copy();
    store.write(write("a", 0, 0));
    store.write(write("b", 0, 0));
    store.write_configuration(b"2".to_vec());
    assert_eq!(store.copy().revision, 4);
    store.restore(copy);
    let data = store.copy();
    assert_eq!((data.revision, store.era.get()), (2, 1));
    assert_eq!(data.value(CONFIGURATION_KEY), Some(b"2".to_vec()));
    assert_eq!(data.value("a"), None);
    assert!(data.changes("", 4).is_none(), "the history is gone");
}
