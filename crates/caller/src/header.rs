//! Headers that callers and daemons exchange.

use http::{HeaderMap, HeaderName};

/// Target service; the default is the first label of `Host`.
pub const SERVICE: HeaderName = HeaderName::from_static("sapphiredoor-service");
/// Customer that the call is for.
pub const CUSTOMER: HeaderName = HeaderName::from_static("sapphiredoor-customer");
/// Key that the caller chose for a call that must run at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Number of the attempt with an idempotency key, counted by the caller from 1.
pub const ATTEMPT: HeaderName = HeaderName::from_static("sapphiredoor-attempt");
/// Ticket of a call that must run at most once.
pub const TICKET: HeaderName = HeaderName::from_static("sapphiredoor-ticket");
/// Chain that a call belongs to. Endpoints copy it from the request they serve to nested calls.
pub const CHAIN_ID: HeaderName = HeaderName::from_static("sapphiredoor-chain");
/// Time until the deadline of the call, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("sapphiredoor-deadline-ms");
/// Whether a refused call ran: `not-run`, `ran` or `unknown`.
pub const RAN: HeaderName = HeaderName::from_static("sapphiredoor-ran");
/// Id of the call, for the `explain` command.
pub const CALL_ID: HeaderName = HeaderName::from_static("sapphiredoor-call");

/// Prefix of the headers that sapphiredoor defines.
pub const PREFIX: &str = "sapphiredoor-";

/// Removes the headers that sapphiredoor defines, and the hop-by-hop headers.
pub fn strip(headers: &mut HeaderMap) {
    let names: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(PREFIX))
        .cloned()
        .collect();
    for name in names {
        headers.remove(name);
    }
    strip_hop_by_hop(headers);
}

/// Removes the hop-by-hop headers, which apply to a single connection.
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
