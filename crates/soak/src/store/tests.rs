use std::time::{Duration, Instant};

use adapter::standin::Transaction;

use super::Content;

fn write(key: &str, expected: u64, lease: u64) -> Transaction {
    Transaction {
        expected: vec![(key.to_owned(), expected)],
        writes: vec![(key.to_owned(), b"v".to_vec(), lease)],
        deletes: Vec::new(),
    }
}

/// Guards against a stand-in whose conditions always hold: it would hide lost updates.
#[test]
fn a_write_needs_its_condition_and_its_lease() {
    let mut content = Content::default();
    assert_eq!(content.commit(write("a", 0, 0)).0, 200);
    assert_eq!(content.commit(write("a", 0, 0)).0, 412);
    assert_eq!(content.commit(write("a", 1, 5)).0, 404);
    assert_eq!(content.commit(write("a", 1, 0)).0, 200);
}

/// Guards against entries that outlive their lease.
#[test]
fn keys_end_with_their_lease() {
    let mut content = Content::default();
    let now = Instant::now();
    let lease = content.open(now, Duration::from_secs(1));
    assert_eq!(content.commit(write("a", 0, lease)).0, 200);
    assert!(content.renew(now + Duration::from_millis(900), lease));
    assert!(!content.expire(now + Duration::from_millis(1_800)));
    assert!(content.expire(now + Duration::from_millis(1_900)));
    assert!(content.list("", None).is_empty());
    let changes = content.changes("", 0).unwrap();
    assert_eq!(changes.len(), 2, "the write and the removal");
}

/// Guards against a watch that silently skips a history that is gone.
#[test]
fn a_history_that_is_gone_is_said_to_be() {
    let mut content = Content::default();
    assert_eq!(content.commit(write("a", 0, 0)).0, 200);
    content.compacted = content.revision;
    assert!(content.changes("", 0).is_none());
    assert!(content.changes("", 1).unwrap().is_empty());
}
