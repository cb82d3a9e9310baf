use rstest::rstest;

use super::*;

fn meta() -> CallMeta {
    CallMeta {
        service: "despacho".into(),
        kind: "booking".into(),
        customer: "rosas".into(),
        weight: 20,
        rank: 0,
        line: 3,
        asked_by: "asked by Iñés \\ \"dispatch\"".into(),
        bucket: 127,
        extra_attempts: 3,
        allowance: 2,
        time_left: Duration::from_millis(800),
        chain: u128::MAX - 5,
        call_id: u64::MAX,
        ticket: Some("vm-1.5.abc.9".into()),
    }
}

/// Guards against a field that is lost or changed between two daemons.
#[test]
fn call_headers_keep_every_field() {
    let mut headers = HeaderMap::new();
    meta().write(&mut headers);
    assert_eq!(CallMeta::read(&headers), Ok(meta()));
}

/// Guards against a refusal whose reason or execution state is lost on the way back.
#[rstest]
#[case(None)]
#[case(Some(Refusal::not_run(Reason::QueueFull)))]
#[case(Some(Refusal::unknown(Reason::Connection)))]
fn response_headers_keep_every_field(#[case] refusal: Option<Refusal>) {
    let sent = ResponseMeta {
        level: "3.70".into(),
        reached: "lotes=0.13+4.20".into(),
        allowance: 1,
        load_percent: 140,
        draining: true,
        refusal,
    };
    let mut headers = HeaderMap::new();
    sent.write(&mut headers);
    assert_eq!(ResponseMeta::take(&mut headers), Ok(sent));
    assert!(headers.is_empty());
}

/// Guards against a call that is served although its headers are malformed.
#[rstest]
#[case(CALL_NUMBERS, "0 1")]
#[case(CALL_NUMBERS, "x 1 1 1 1 1 1 1")]
#[case(CALL_NUMBERS, "0 1 1 300 1 1 1 1")]
#[case(CHAIN, "not hex")]
fn malformed_headers_are_rejected(#[case] name: HeaderName, #[case] value: &'static str) {
    let mut headers = HeaderMap::new();
    meta().write(&mut headers);
    headers.insert(name, HeaderValue::from_static(value));
    CallMeta::read(&headers).expect_err("malformed header was accepted");
}
