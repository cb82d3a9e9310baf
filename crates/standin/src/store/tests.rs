use super::*;

/// Guards against a write that takes effect with a stale revision or after its lease lapsed.
#[test]
fn revisions_increase_and_lapsed_leases_remove_keys() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut store = Store::default();
    let lease = store.grant(Duration::from_millis(100), at(0));
    assert_eq!(store.put("a", "1".into(), Some(0), Some(lease)), Ok(1));
    assert_eq!(
        store.put("a", "2".into(), Some(0), None),
        Err(StoreError::Conflict(1))
    );
    assert_eq!(store.put("b", "1".into(), None, None), Ok(2));
    assert_eq!(
        store.renew(lease, Duration::from_millis(100), at(50)),
        Ok(())
    );
    store.expire(at(149));
    assert_eq!(store.list("").len(), 2);
    store.expire(at(150));
    let removed = store.get("a").expect("removed keys keep their revision");
    assert_eq!((removed.value, removed.revision), (None, 3));
    assert_eq!(store.list("").len(), 1);
    assert_eq!(
        store.renew(lease, Duration::ZERO, at(150)),
        Err(StoreError::UnknownLease)
    );
    assert_eq!(
        store.put("a", "3".into(), Some(0), Some(lease)),
        Err(StoreError::UnknownLease)
    );
    assert_eq!(store.put("a", "3".into(), Some(0), None), Ok(4));
}
