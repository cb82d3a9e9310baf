use rstest::rstest;

use super::*;

const KEY_FILE: &str = "# operators\n\nfirst-key-0123456789\nsecond-key-0123456789\n";

/// Guards against a key rotation that refuses the older key, and against a prefix of a key or
/// another authorization scheme that is accepted.
#[rstest]
#[case(Some("Bearer first-key-0123456789"), true)]
#[case(Some("Bearer second-key-0123456789"), true)]
#[case(Some("Bearer first-key-012345678"), false)]
#[case(Some("Bearer "), false)]
#[case(Some("Basic first-key-0123456789"), false)]
#[case(Some("first-key-0123456789"), false)]
#[case(None, false)]
fn only_listed_bearer_keys_are_accepted(#[case] header: Option<&str>, #[case] accepted: bool) {
    let keys = Keys::parse(KEY_FILE).expect("keys are long enough");
    assert_eq!(keys.authorizes(header.map(str::as_bytes)), accepted);
}

/// Guards against a daemon that starts with a short key, which can be guessed, or without a key.
#[rstest]
#[case("# none\n", KeyError::Empty)]
#[case("first-key-0123456789\nshort\n", KeyError::Short(2))]
fn short_and_missing_keys_are_refused(#[case] text: &str, #[case] error: KeyError) {
    assert_eq!(Keys::parse(text).map(|_| ()), Err(error));
}

/// Guards against keys that leak into logs.
#[test]
fn debug_output_hides_keys() {
    let keys = Keys::parse(KEY_FILE).expect("keys are long enough");
    assert_eq!(format!("{keys:?}"), "Keys(2 accepted)");
}
