use rstest::rstest;

use super::*;

const OLD_KEY: &str = "old-key-0123456789";
const NEW_KEY: &str = "new-key-0123456789";

/// Guards against a rotation step that rejects a valid key, and against foreign keys.
#[rstest]
#[case::same(&[OLD_KEY], &[OLD_KEY], true)]
#[case::new_key_added(&[OLD_KEY], &[OLD_KEY, NEW_KEY], true)]
#[case::new_key_first(&[NEW_KEY, OLD_KEY], &[OLD_KEY, NEW_KEY], true)]
#[case::old_key_removed(&[OLD_KEY], &[NEW_KEY], false)]
fn accepts_only_configured_keys(
    #[case] sender: &[&str],
    #[case] receiver: &[&str],
    #[case] expected: bool,
) {
    let sender = Keys::new(sender).expect("keys are valid");
    let receiver = Keys::new(receiver).expect("keys are valid");
    let tag = sender.sign(b"body");
    assert_eq!(receiver.verify(&tag, b"body"), expected);
    assert!(!receiver.verify(&tag, b"other"));
    assert!(!receiver.verify(&tag[1..], b"body"));
    let mut headers = HeaderMap::new();
    headers.insert(AUTHORIZATION, sender.bearer().clone());
    assert_eq!(receiver.accepts(&headers), expected);
}

/// Guards against a malformed or duplicate `authorization` header that is accepted.
#[rstest]
#[case::none(&[])]
#[case::no_scheme(&[OLD_KEY])]
#[case::other_scheme(&["Basic old-key-0123456789"])]
#[case::prefix(&["Bearer old-key-012345678"])]
#[case::empty(&["Bearer "])]
#[case::twice(&["Bearer old-key-0123456789", "Bearer old-key-0123456789"])]
fn rejects_invalid_headers(#[case] values: &[&'static str]) {
    let keys = Keys::new(&[OLD_KEY]).expect("keys are valid");
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(AUTHORIZATION, HeaderValue::from_static(value));
    }
    assert!(!keys.accepts(&headers));
}

/// Guards against an empty or guessable key that gives access to the control interface.
#[rstest]
#[case::missing(&[], KeyError::Missing)]
#[case::empty(&[""], KeyError::Short)]
#[case::short_second(&[OLD_KEY, "short"], KeyError::Short)]
#[case::space(&["old key 0123456789"], KeyError::Character)]
fn rejects_unusable_keys(#[case] keys: &[&str], #[case] expected: KeyError) {
    assert_eq!(Keys::new(keys).err(), Some(expected));
}
