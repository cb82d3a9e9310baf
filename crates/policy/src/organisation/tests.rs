//! Guards against a key that opens the account of another organisation, and against keys in logs.

use super::{KeyDigest, Organisation, Organisations, SharedKey};

fn organisation(name: &str) -> Organisation {
    Organisation {
        name: name.into(),
        rank: None,
        quota: None,
    }
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
