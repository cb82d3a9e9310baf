//! Internal headers of calls and responses between two daemons.
//!
//! The receiving daemon trusts them only after it has verified the bearer token.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use policy::id::{ChainId, CustomerName, KindName, ServiceName};
use policy::refusal::{Execution, Reason, Refusal};
use policy::rule::Rank;

#[cfg(test)]
mod tests;

const SERVICE: HeaderName = HeaderName::from_static("sapphiredoor-service");
const KIND: HeaderName = HeaderName::from_static("sapphiredoor-kind");
const CUSTOMER: HeaderName = HeaderName::from_static("sapphiredoor-customer");
const CHAIN: HeaderName = HeaderName::from_static("sapphiredoor-chain");
const TICKET: HeaderName = HeaderName::from_static("sapphiredoor-ticket");
/// Numbers that change with each call, in one header to save bytes:
/// `rank weight line bucket extra-attempts allowance time-left-ms call-id`.
const CALL_NUMBERS: HeaderName = HeaderName::from_static("sapphiredoor-meta");
const ASKED_BY: HeaderName = HeaderName::from_static("sapphiredoor-asked-by");
/// Numbers of a response: `level allowance load-percent draining`.
const RESPONSE_NUMBERS: HeaderName = HeaderName::from_static("sapphiredoor-answer");
const REACHED: HeaderName = HeaderName::from_static("sapphiredoor-reached");
/// Shared key of the sending daemon, as a bearer token.
pub const SHARED_KEY: HeaderName = HeaderName::from_static("sapphiredoor-key");
const REFUSAL: HeaderName = HeaderName::from_static("sapphiredoor-refused");

/// Metadata of a call for the daemon in front of the selected endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallMeta {
    /// Target service.
    pub service: ServiceName,
    /// Kind of work of the chain.
    pub kind: KindName,
    /// Customer of the chain.
    pub customer: CustomerName,
    /// Weight of the customer.
    pub weight: u32,
    /// Importance of the chain; zero is the most urgent.
    pub rank: Rank,
    /// Line of the rule that classified the call.
    pub line: u32,
    /// Who asked for that rule.
    pub asked_by: Arc<str>,
    /// Admission bucket of the chain, 0 to 127.
    pub bucket: u8,
    /// Extra attempts that the rule allows; limits the resends of a ticket.
    pub extra_attempts: u8,
    /// Extra attempts lent to this call.
    pub allowance: u8,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Chain of the call.
    pub chain: ChainId,
    /// Id of this call.
    pub call_id: u64,
    /// Encoded ticket of a call that must run at most once.
    pub ticket: Option<String>,
}

/// Metadata of a response for the daemon that sent the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseMeta {
    /// Admission level of the responding daemon, as text.
    pub level: String,
    /// Admission levels of the dependencies that the call reached, as `service=level` separated by
    /// commas.
    pub reached: String,
    /// Extra attempts that were not used.
    pub allowance: u8,
    /// Fraction of the endpoint's concurrency limit in use, in percent.
    pub load_percent: u16,
    /// Whether the endpoint is draining.
    pub draining: bool,
    /// Set if the call was refused or failed.
    pub refusal: Option<Refusal>,
}

/// An internal header that is missing or malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetaError(&'static str);

impl fmt::Display for MetaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "header {} is missing or malformed: run the same release on both VMs",
            self.0
        )
    }
}

impl std::error::Error for MetaError {}

impl CallMeta {
    /// Writes the metadata into `headers`.
    pub fn write(&self, headers: &mut HeaderMap) {
        insert_text(headers, SERVICE, &self.service);
        insert_text(headers, KIND, &self.kind);
        insert_text(headers, CUSTOMER, &self.customer);
        insert_text(headers, ASKED_BY, &escape(&self.asked_by));
        insert_text(headers, CHAIN, &format!("{:032x}", self.chain));
        let left = self.time_left.as_millis();
        let numbers = format!(
            "{} {} {} {} {} {} {left} {:x}",
            self.rank,
            self.weight,
            self.line,
            self.bucket,
            self.extra_attempts,
            self.allowance,
            self.call_id
        );
        insert_text(headers, CALL_NUMBERS, &numbers);
        if let Some(ticket) = &self.ticket {
            insert_text(headers, TICKET, ticket);
        }
    }

    /// Reads the metadata from `headers`.
    ///
    /// # Errors
    ///
    /// Returns the name of the first header that is missing or malformed.
    pub fn read(headers: &HeaderMap) -> Result<Self, MetaError> {
        let numbers = header_text(headers, &CALL_NUMBERS, "sapphiredoor-meta")?;
        let mut parts = numbers.split(' ');
        let chain = header_text(headers, &CHAIN, "sapphiredoor-chain")?;
        Ok(Self {
            service: header_text(headers, &SERVICE, "sapphiredoor-service")?.into(),
            kind: header_text(headers, &KIND, "sapphiredoor-kind")?.into(),
            customer: header_text(headers, &CUSTOMER, "sapphiredoor-customer")?.into(),
            asked_by: unescape(header_text(headers, &ASKED_BY, "sapphiredoor-asked-by")?).into(),
            chain: ChainId::from_str_radix(chain, 16)
                .map_err(|_| MetaError("sapphiredoor-chain"))?,
            rank: next_number(&mut parts)?,
            weight: next_number(&mut parts)?,
            line: next_number(&mut parts)?,
            bucket: next_number(&mut parts)?,
            extra_attempts: next_number(&mut parts)?,
            allowance: next_number(&mut parts)?,
            time_left: Duration::from_millis(next_number(&mut parts)?),
            call_id: parts
                .next()
                .and_then(|part| u64::from_str_radix(part, 16).ok())
                .ok_or(MetaError("sapphiredoor-meta"))?,
            ticket: headers
                .get(TICKET)
                .and_then(|value| value.to_str().ok())
                .map(Into::into),
        })
    }
}

impl ResponseMeta {
    /// Writes the metadata into `headers`.
    pub fn write(&self, headers: &mut HeaderMap) {
        let numbers = format!(
            "{} {} {} {}",
            self.level,
            self.allowance,
            self.load_percent,
            u8::from(self.draining)
        );
        insert_text(headers, RESPONSE_NUMBERS, &numbers);
        if !self.reached.is_empty() {
            insert_text(headers, REACHED, &self.reached);
        }
        if let Some(refusal) = &self.refusal {
            let text = format!(
                "{} {} {}",
                refusal.reason.as_str(),
                refusal.execution.as_str(),
                refusal.retry_after.as_millis()
            );
            insert_text(headers, REFUSAL, &text);
        }
    }

    /// Reads the metadata and removes its headers.
    ///
    /// # Errors
    ///
    /// Returns the name of the first header that is missing or malformed.
    pub fn take(headers: &mut HeaderMap) -> Result<Self, MetaError> {
        let numbers = headers
            .remove(RESPONSE_NUMBERS)
            .ok_or(MetaError("sapphiredoor-answer"))?;
        let refusal = headers.remove(REFUSAL);
        let reached = headers.remove(REACHED);
        let mut parts = numbers.to_str().unwrap_or_default().split(' ');
        Ok(Self {
            level: parts.next().unwrap_or_default().to_owned(),
            reached: reached
                .and_then(|value| value.to_str().map(Into::into).ok())
                .unwrap_or_default(),
            allowance: next_number(&mut parts)?,
            load_percent: next_number(&mut parts)?,
            draining: next_number::<u8>(&mut parts)? == 1,
            refusal: match refusal {
                None => None,
                Some(value) => Some(parse_refusal(value.to_str().unwrap_or_default())?),
            },
        })
    }
}

fn parse_refusal(text: &str) -> Result<Refusal, MetaError> {
    let error = MetaError("sapphiredoor-refused");
    let mut parts = text.split(' ');
    let reason = parts.next().and_then(Reason::parse).ok_or(error)?;
    let execution = parts.next().and_then(Execution::parse).ok_or(error)?;
    let delay = parts
        .next()
        .and_then(|part| part.parse().ok())
        .ok_or(error)?;
    Ok(Refusal {
        reason,
        execution,
        retry_after: Duration::from_millis(delay),
    })
}

fn insert_text(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
    label: &'static str,
) -> Result<&'a str, MetaError> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .ok_or(MetaError(label))
}

fn next_number<T: std::str::FromStr>(
    parts: &mut std::str::Split<'_, char>,
) -> Result<T, MetaError> {
    parts
        .next()
        .and_then(|part| part.parse().ok())
        .ok_or(MetaError("sapphiredoor-meta"))
}

/// Escapes text for a header value, which is ASCII, while names of people need not be.
fn escape(text: &str) -> String {
    text.escape_default().to_string()
}

fn unescape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    let mut rest = text;
    while let Some((plain, escaped)) = rest.split_once('\\') {
        out.push_str(plain);
        let (decoded, after) = unescape_one(escaped);
        out.extend(decoded);
        rest = after;
    }
    out.push_str(rest);
    out
}

fn unescape_one(escaped: &str) -> (Option<char>, &str) {
    if let Some((hex, after)) = escaped
        .strip_prefix("u{")
        .and_then(|tail| tail.split_once('}'))
    {
        return (
            u32::from_str_radix(hex, 16).ok().and_then(char::from_u32),
            after,
        );
    }
    let mut chars = escaped.chars();
    let decoded = chars.next().map(|escape| match escape {
        't' => '\t',
        'n' => '\n',
        'r' => '\r',
        other => other,
    });
    (decoded, chars.as_str())
}
