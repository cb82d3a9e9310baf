//! HTTP responses to refused calls.

use std::sync::Arc;

use http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE, header::RETRY_AFTER};
use policy::refusal::{Execution, Reason, Refusal};
use policy::rule::Class;
use serde::Serialize;
use transport::{Body, body};

use crate::header;

/// JSON body of a response to a refused call.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct RefusalBody {
    /// Name of the reason.
    pub error: &'static str,
    /// What the caller can do.
    pub remedy: String,
    /// Whether the call ran.
    pub ran: Execution,
    /// Line of the rule that applied; zero for the built-in default.
    pub rule: u32,
    /// Who asked for that rule.
    pub asked_by: Arc<str>,
    /// Time to wait before a retry, in milliseconds.
    pub retry_after_ms: u64,
    /// Id of the call, for the `explain` command.
    pub call: String,
}

/// Returns the response to a call that was refused or failed.
#[must_use]
pub fn refuse(refusal: &Refusal, class: &Class, call: &str) -> Response<Body> {
    let content = RefusalBody {
        error: refusal.reason.as_str(),
        remedy: remedy(refusal.reason).into(),
        ran: refusal.execution,
        rule: class.line,
        asked_by: Arc::clone(&class.asked_by),
        retry_after_ms: refusal.retry_after.as_millis() as u64,
        call: call.into(),
    };
    build_response(refusal, &content)
}

/// Returns the response to a request that cannot be parsed.
#[must_use]
pub fn bad_request(error: &dyn std::error::Error) -> Response<Body> {
    let refusal = Refusal::not_run(Reason::BadRequest);
    let content = RefusalBody {
        error: refusal.reason.as_str(),
        remedy: error.to_string(),
        ran: refusal.execution,
        rule: 0,
        asked_by: "built-in default".into(),
        retry_after_ms: 0,
        call: String::new(),
    };
    build_response(&refusal, &content)
}

fn build_response(refusal: &Refusal, content: &RefusalBody) -> Response<Body> {
    let bytes = serde_json::to_vec(content).unwrap_or_default();
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() =
        StatusCode::from_u16(refusal.reason.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(
        header::RAN,
        HeaderValue::from_static(refusal.execution.as_str()),
    );
    let seconds = refusal.retry_after.as_millis().div_ceil(1000) as u64;
    headers.insert(RETRY_AFTER, seconds.into());
    response
}

const fn remedy(reason: Reason) -> &'static str {
    match reason {
        Reason::BadRequest => "the request is malformed: correct it before sending it again",
        Reason::Level => "the service admits only more urgent work now: try again later",
        Reason::QueueFull => "the queue is full of more urgent work: try again later",
        Reason::Deadline => "no response within the deadline: try again when load is lower",
        Reason::NoEndpoint => "no endpoint of the service is reachable: check the service name",
        Reason::Draining => "the endpoint is draining: try again",
        Reason::Attempts => "the attempts that the rule allows are used up: do not resend",
        Reason::Ticket => "the ticket is void, expired or in use: fetch a new one if not-run",
        Reason::Home => "the home of the key is unreachable: fetch a ticket and use it instead",
        Reason::Connection => "the connection to the endpoint failed: resend with the same key",
    }
}
