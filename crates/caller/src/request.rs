//! Metadata in the headers of a caller's request.

use std::fmt;
use std::time::Duration;

use http::{HeaderMap, HeaderName, request::Parts};
use policy::id::{ANONYMOUS_CUSTOMER, ChainId, CustomerName, ServiceName};

use crate::header;

#[cfg(test)]
mod tests;

/// Longest service, customer, idempotency key or ticket.
const MAX_NAME_BYTES: usize = 128;

/// Metadata that determines how a request is classified and routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestMeta {
    /// Service that the call goes to.
    pub service: ServiceName,
    /// Customer that the call is for.
    pub customer: CustomerName,
    /// Idempotency key chosen by the caller.
    pub key: Option<String>,
    /// Whether the caller declares this as the first attempt with its key.
    pub first_attempt: bool,
    /// Encoded ticket.
    pub ticket: Option<String>,
    /// Chain that the call claims to belong to.
    pub chain: Option<ChainId>,
    /// Longest time that the caller waits.
    pub timeout: Option<Duration>,
}

/// Why a request cannot be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadRequest {
    /// Neither `sapphiredoor-service` nor `Host` names a service.
    NoService,
    /// A name, key or ticket is empty, too long or not printable ASCII.
    BadName(&'static str),
    /// A chain id or deadline cannot be parsed.
    BadValue(&'static str),
}

impl fmt::Display for BadRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoService => {
                f.write_str("no target service: set the sapphiredoor-service header or Host")
            }
            Self::BadName(name) => {
                write!(
                    f,
                    "header {name}: use 1 to {MAX_NAME_BYTES} printable ASCII characters"
                )
            }
            Self::BadValue(name) => write!(
                f,
                "header {name} is malformed: send a chain id as received, a deadline in milliseconds"
            ),
        }
    }
}

impl std::error::Error for BadRequest {}

impl RequestMeta {
    /// Reads the metadata from the request line and headers.
    ///
    /// # Errors
    ///
    /// Returns an error if the request names no service or a header is malformed; the request must
    /// not be forwarded then.
    pub fn read(parts: &Parts) -> Result<Self, BadRequest> {
        let headers = &parts.headers;
        let service = match valid_name(headers, &header::SERVICE, "sapphiredoor-service")? {
            Some(service) => service.to_owned(),
            None => host_label(parts).ok_or(BadRequest::NoService)?,
        };
        let chain = match headers.get(header::CHAIN_ID) {
            None => None,
            Some(value) => Some(
                value
                    .to_str()
                    .ok()
                    .and_then(|text| ChainId::from_str_radix(text, 16).ok())
                    .ok_or(BadRequest::BadValue("sapphiredoor-chain"))?,
            ),
        };
        let timeout = match headers.get(header::DEADLINE) {
            None => None,
            Some(value) => Some(
                value
                    .to_str()
                    .ok()
                    .and_then(|text| text.parse().ok())
                    .map(Duration::from_millis)
                    .ok_or(BadRequest::BadValue("sapphiredoor-deadline-ms"))?,
            ),
        };
        Ok(Self {
            service: service.into(),
            customer: valid_name(headers, &header::CUSTOMER, "sapphiredoor-customer")?
                .unwrap_or(ANONYMOUS_CUSTOMER)
                .into(),
            key: valid_name(headers, &header::IDEMPOTENCY_KEY, "idempotency-key")?.map(Into::into),
            first_attempt: headers
                .get(header::ATTEMPT)
                .is_some_and(|value| value == "1"),
            ticket: valid_name(headers, &header::TICKET, "sapphiredoor-ticket")?.map(Into::into),
            chain,
            timeout,
        })
    }
}

fn valid_name<'a>(
    headers: &'a HeaderMap,
    header: &HeaderName,
    label: &'static str,
) -> Result<Option<&'a str>, BadRequest> {
    let Some(value) = headers.get(header) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| BadRequest::BadName(label))?;
    let valid = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    if valid {
        Ok(Some(text))
    } else {
        Err(BadRequest::BadName(label))
    }
}

fn host_label(parts: &Parts) -> Option<String> {
    let host = match parts.headers.get(http::header::HOST) {
        Some(value) => value.to_str().ok()?,
        None => parts.uri.host()?,
    };
    let host = host.split(':').next().unwrap_or(host);
    // An IP address does not name a service.
    if host.parse::<std::net::IpAddr>().is_ok() {
        return None;
    }
    let label = host.split('.').next().unwrap_or(host);
    (!label.is_empty() && label.len() <= MAX_NAME_BYTES).then(|| label.to_owned())
}
