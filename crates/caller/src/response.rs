//! Refusals as HTTP answers.

use std::sync::Arc;

use http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE, header::RETRY_AFTER};
use policy::refusal::{Execution, Reason, Refusal};
use policy::rule::Class;
use serde::Serialize;
use transport::{Body, body};

use crate::header;

/// Body of a refusal.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct RefusalBody {
    /// Name of the cause.
    pub error: &'static str,
    /// What the caller can do.
    pub remedy: String,
    /// Whether the call ran.
    pub ran: Execution,
    /// Line of the rule that decided; zero for the built-in default.
    pub rule: u32,
    /// Who asked for that rule.
    pub asked_by: Arc<str>,
    /// Time after which a new attempt makes sense, in milliseconds.
    pub retry_after_ms: u64,
    /// Id of the call, for `explain`.
    pub call: String,
}

/// Answer to a call that was refused or failed.
#[must_use]
pub fn refuse(refusal: &Refusal, class: &Class, call: &str) -> Response<Body> {
    let text = RefusalBody {
        error: refusal.reason.as_str(),
        remedy: remedy(refusal.reason).into(),
        ran: refusal.execution,
        rule: class.line,
        asked_by: Arc::clone(&class.asked_by),
        retry_after_ms: refusal.retry_after.as_millis() as u64,
        call: call.into(),
    };
    answer(refusal, &text)
}

/// Answer to a request that cannot be read.
#[must_use]
pub fn bad_request(error: &dyn std::error::Error) -> Response<Body> {
    let refusal = Refusal::not_run(Reason::BadRequest);
    let text = RefusalBody {
        error: refusal.reason.as_str(),
        remedy: error.to_string(),
        ran: refusal.execution,
        rule: 0,
        asked_by: "built-in default".into(),
        retry_after_ms: 0,
        call: String::new(),
    };
    answer(&refusal, &text)
}

fn answer(refusal: &Refusal, text: &RefusalBody) -> Response<Body> {
    let bytes = serde_json::to_vec(text).unwrap_or_default();
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
        Reason::Deadline => "no answer within the deadline: try again when load is lower",
        Reason::NoEndpoint => "no endpoint of the service is reachable: check the service name",
        Reason::Draining => "the endpoint is leaving: try again",
        Reason::Attempts => "the attempts that the rule allows are spent: do not resend",
        Reason::Ticket => "the ticket is void, expired or in use: fetch a new one if not-run",
        Reason::Home => "the home of the key is unreachable: fetch a ticket and use it instead",
        Reason::Connection => "the connection to the endpoint failed: resend with the same key",
    }
}
