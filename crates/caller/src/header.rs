//! Headers that callers and daemons exchange.

use http::{HeaderMap, HeaderName};

/// Target service; without it the first label of `Host` counts.
pub const SERVICE: HeaderName = HeaderName::from_static("sapphiredoor-service");
/// Customer that the call is for.
pub const CUSTOMER: HeaderName = HeaderName::from_static("sapphiredoor-customer");
/// The caller's own key of a call that must run at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Number of the send of a key, from 1, as the caller counts it.
pub const ATTEMPT: HeaderName = HeaderName::from_static("sapphiredoor-attempt");
/// Ticket of a call that must run at most once.
pub const TICKET: HeaderName = HeaderName::from_static("sapphiredoor-ticket");
/// Chain that a call belongs to. Endpoints copy it from the request they serve to their own calls.
pub const CHAIN_ID: HeaderName = HeaderName::from_static("sapphiredoor-chain");
/// Time left for the call, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("sapphiredoor-deadline-ms");
/// Whether a refused call ran: `not-run`, `ran` or `unknown`.
pub const RAN: HeaderName = HeaderName::from_static("sapphiredoor-ran");
/// Id of the call, for `explain`.
pub const CALL_ID: HeaderName = HeaderName::from_static("sapphiredoor-call");

/// Prefix of the headers that belong to the system.
pub const PREFIX: &str = "sapphiredoor-";

/// Removes every header of the system, and those that belong to one connection only.
pub fn strip(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
    strip_hop_by_hop(headers);
}

/// Removes the headers that belong to one connection only.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    const HOP_BY_HOP: [&str; 7] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}
