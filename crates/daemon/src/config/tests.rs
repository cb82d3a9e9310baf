use rstest::rstest;

use super::*;

const GOOD: &str = r#"{
    // The VM in Madrid.
    "vm": "despacho-1",
    "data_centre": "madrid",
    "caller_address": "127.0.0.1:7001",
    "peer_address": "127.0.0.1:7002",
    "gossip_address": "127.0.0.1:7002",
    "operator_address": "127.0.0.1:7003",
    "platform_address": "127.0.0.1:7100",
    "keys": ["0123456789abcdef"],
}"#;

/// Guards against a parser that rejects comments or a trailing comma.
#[test]
fn reads_json_with_comments() {
    let settings = Settings::parse(GOOD).expect("settings of the test are valid");
    assert_eq!(
        (&*settings.vm, settings.linger_ms),
        ("despacho-1", default_linger())
    );
}

/// Guards against a mistake that is accepted, or reported without its place and remedy.
#[rstest]
#[case("despacho-1", "despacho 1", "vm: use 1 to 64")]
#[case("0123456789abcdef", "short", "keys: use at least 16 bytes")]
#[case(
    "127.0.0.1:7003",
    "127.0.0.1:7002",
    "operator_address: use an address of its own"
)]
#[case("\"vm\"", "\"name\"", "fields: unknown field `name`")]
#[case("127.0.0.1:7001", "localhost:7001", "fields: invalid socket address")]
#[case("{", "[", "file: ")]
fn error_names_place_and_remedy(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let error = Settings::parse(&GOOD.replace(from, to)).expect_err("mistake was accepted");
    assert!(error.to_string().contains(expected), "{error}");
}

/// Guards against validation that stops at the first mistake.
#[test]
fn reports_every_mistake() {
    let text = GOOD.replace("madrid", "").replace("0123456789abcdef", "x");
    let error = Settings::parse(&text).expect_err("mistakes were accepted");
    assert_eq!(error.to_string().lines().count(), 3, "{error}");
}

/// Guards against keys in logs.
#[test]
fn debug_output_has_no_key() {
    let settings = Settings::parse(GOOD).expect("settings of the test are valid");
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
}
