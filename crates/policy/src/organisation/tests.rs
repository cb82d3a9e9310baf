//! Guards against a key that opens the account of another organisation, and against keys in logs.

use super::{KeyDigest, Organisation, Organisations, SharedKey, call_rank, organisation_rank};

fn organisation(name: &str) -> Organisation {
    Organisation {
        name: name.into(),
        rank: None,
        quota: None,
    }
}

/// Guards against an order in which urgent routes of an organisation wait behind its others.
#[test]
fn the_rank_of_the_organisation_comes_before_that_of_the_route() {
    assert!(call_rank(Some(0), 60_000) < call_rank(Some(1), 0));
    assert!(call_rank(Some(1), 0) < call_rank(Some(1), 2));
    assert!(call_rank(Some(1), u32::MAX) < call_rank(Some(2), 0));
    assert_eq!(call_rank(None, 2), 2);
    assert_eq!(organisation_rank(call_rank(Some(3), 2)), 3);
    assert!(call_rank(Some(u32::MAX), 0) >= call_rank(Some(1 << 15), 0));
}

#[test]
fn a_key_identifies_only_its_holder() {
    let mut all = Organisations::new();
    all.add(
        organisation("a"),
        [KeyDigest::new(b"k1"), KeyDigest::new(b"k2")],
    )
    .unwrap();
    all.add(organisation("b"), [KeyDigest::new(b"k3")]).unwrap();
    let holder = |key: &[u8]| all.holder(&KeyDigest::new(key)).map(|found| &*found.name);
    assert_eq!(holder(b"k1"), Some("a"));
    assert_eq!(holder(b"k2"), Some("a"));
    assert_eq!(holder(b"k3"), Some("b"));
    assert_eq!(holder(b"k"), None);
    assert_eq!(holder(b"k1 "), None);
    assert_eq!(holder(b""), None);
}

#[test]
fn one_key_in_two_organisations_is_an_error() {
    let mut all = Organisations::new();
    all.add(organisation("a"), [KeyDigest::new(b"k1")]).unwrap();
    let shared = all.add(organisation("b"), [KeyDigest::new(b"k1")]);
    let expected = SharedKey {
        first: "a".into(),
        second: "b".into(),
    };
    assert_eq!(shared, Err(expected));
}

#[test]
fn a_digest_is_not_printed() {
    assert_eq!(format!("{:?}", KeyDigest::new(b"k1")), "KeyDigest(..)");
}
