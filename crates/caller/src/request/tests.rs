use http::Request;
use rstest::rstest;

use super::*;

fn read(headers: &[(&str, &str)]) -> Result<RequestMeta, BadRequest> {
    let mut request = Request::builder().uri("/bookings");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let (parts, ()) = request
        .body(())
        .expect("test request is valid")
        .into_parts();
    RequestMeta::read(&parts)
}

/// Guards against a call that is sent to a service that the caller did not name.
#[rstest]
#[case(&[("host", "despacho.sabana.example:80")], Ok("despacho"))]
#[case(&[("host", "x"), ("sapphiredoor-service", "vitrina")], Ok("vitrina"))]
#[case(&[("host", "127.0.0.1:8080")], Err(BadRequest::NoService))]
#[case(&[], Err(BadRequest::NoService))]
#[case(&[("sapphiredoor-service", "")], Err(BadRequest::BadName("sapphiredoor-service")))]
fn service_comes_from_its_header_or_host(
    #[case] headers: &[(&str, &str)],
    #[case] expected: Result<&str, BadRequest>,
) {
    assert_eq!(
        read(headers).as_ref().map(|meta| &*meta.service),
        expected.as_ref().copied()
    );
}

/// Guards against malformed values that are treated as absent.
#[rstest]
#[case("sapphiredoor-chain", "zz", BadRequest::BadValue("sapphiredoor-chain"))]
#[case(
    "sapphiredoor-deadline-ms",
    "-1",
    BadRequest::BadValue("sapphiredoor-deadline-ms")
)]
#[case("idempotency-key", "", BadRequest::BadName("idempotency-key"))]
fn rejects_malformed_values(#[case] name: &str, #[case] value: &str, #[case] expected: BadRequest) {
    assert_eq!(read(&[("host", "vitrina"), (name, value)]), Err(expected));
}
