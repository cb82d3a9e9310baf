//! Headers that a call carries between two daemons.
//!
//! They are believed only after the bearer token was checked.

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
/// `rank weight line bucket attempts allowance deadline-ms call`.
const CALL: HeaderName = HeaderName::from_static("sapphiredoor-meta");
const RULE: HeaderName = HeaderName::from_static("sapphiredoor-asked-by");
/// Numbers that come back: `level allowance queue-ms`.
const ANSWER: HeaderName = HeaderName::from_static("sapphiredoor-answer");
const REACHED: HeaderName = HeaderName::from_static("sapphiredoor-reached");
/// Shared key of the sending daemon, in the form of a bearer token.
pub const SHARED_KEY: HeaderName = HeaderName::from_static("sapphiredoor-key");
const REFUSED: HeaderName = HeaderName::from_static("sapphiredoor-refused");

/// What a call carries to the daemon of the chosen endpoint.
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
    /// Importance of the chain.
    pub rank: Rank,
    /// Line of the rule that gave the class.
    pub line: u32,
    /// Who asked for that rule.
    pub asked_by: Arc<str>,
    /// Admission bucket of the chain, 0 to 127.
    pub bucket: u8,
    /// Extra attempts that the rule allows, for resends.
    pub extra_attempts: u8,
    /// Extra attempts handed over with the call.
    pub allowance: u8,
    /// Time left for the call.
    pub time_left: Duration,
    /// Chain of the call.
    pub chain: ChainId,
    /// Id of this call.
    pub call_id: u64,
    /// Text of the ticket of a call that must run at most once.
    pub ticket: Option<String>,
}

/// What an answer carries back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseMeta {
    /// What the answering daemon admits, as text.
    pub level: String,
    /// What the services that the call reached admit, as `service=level` separated by commas.
    pub reached: String,
    /// Extra attempts that were not spent.
    pub allowance: u8,
    /// Share of the endpoint's limit in use, in percent.
    pub load_percent: u16,
    /// Whether the endpoint leaves.
    pub draining: bool,
    /// Set when the call was refused or failed.
    pub refusal: Option<Refusal>,
}

/// Headers of the system that are missing or malformed.
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
    /// Writes the headers.
    pub fn write(&self, headers: &mut HeaderMap) {
        put(headers, SERVICE, &self.service);
        put(headers, KIND, &self.kind);
        put(headers, CUSTOMER, &self.customer);
        put(headers, RULE, &escape(&self.asked_by));
        put(headers, CHAIN, &format!("{:032x}", self.chain));
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
        put(headers, CALL, &numbers);
        if let Some(ticket) = &self.ticket {
            put(headers, TICKET, ticket);
        }
    }

    /// Reads the headers.
    ///
    /// # Errors
    ///
    /// Names the first header that is missing or malformed.
    pub fn read(headers: &HeaderMap) -> Result<Self, MetaError> {
        let numbers = text(headers, &CALL, "sapphiredoor-meta")?;
        let mut parts = numbers.split(' ');
        let chain = text(headers, &CHAIN, "sapphiredoor-chain")?;
        Ok(Self {
            service: text(headers, &SERVICE, "sapphiredoor-service")?.into(),
            kind: text(headers, &KIND, "sapphiredoor-kind")?.into(),
            customer: text(headers, &CUSTOMER, "sapphiredoor-customer")?.into(),
            asked_by: unescape(text(headers, &RULE, "sapphiredoor-asked-by")?).into(),
            chain: ChainId::from_str_radix(chain, 16)
                .map_err(|_| MetaError("sapphiredoor-chain"))?,
            rank: number(&mut parts)?,
            weight: number(&mut parts)?,
            line: number(&mut parts)?,
            bucket: number(&mut parts)?,
            extra_attempts: number(&mut parts)?,
            allowance: number(&mut parts)?,
            time_left: Duration::from_millis(number(&mut parts)?),
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
    /// Writes the headers.
    pub fn write(&self, headers: &mut HeaderMap) {
        let numbers = format!(
            "{} {} {} {}",
            self.level,
            self.allowance,
            self.load_percent,
            u8::from(self.draining)
        );
        put(headers, ANSWER, &numbers);
        if !self.reached.is_empty() {
            put(headers, REACHED, &self.reached);
        }
        if let Some(refused) = &self.refusal {
            let text = format!(
                "{} {} {}",
                refused.reason.as_str(),
                refused.execution.as_str(),
                refused.retry_after.as_millis()
            );
            put(headers, REFUSED, &text);
        }
    }

    /// Reads the headers and removes them.
    ///
    /// # Errors
    ///
    /// Names the first header that is missing or malformed.
    pub fn take(headers: &mut HeaderMap) -> Result<Self, MetaError> {
        let answer = headers
            .remove(ANSWER)
            .ok_or(MetaError("sapphiredoor-answer"))?;
        let refused = headers.remove(REFUSED);
        let reached = headers.remove(REACHED);
        let mut parts = answer.to_str().unwrap_or_default().split(' ');
        Ok(Self {
            level: parts.next().unwrap_or_default().to_owned(),
            reached: reached
                .and_then(|value| value.to_str().map(Into::into).ok())
                .unwrap_or_default(),
            allowance: number(&mut parts)?,
            load_percent: number(&mut parts)?,
            draining: number::<u8>(&mut parts)? == 1,
            refusal: match refused {
                None => None,
                Some(value) => Some(read_refusal(value.to_str().unwrap_or_default())?),
            },
        })
    }
}

fn read_refusal(text: &str) -> Result<Refusal, MetaError> {
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

fn put(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

fn text<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
    label: &'static str,
) -> Result<&'a str, MetaError> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .ok_or(MetaError(label))
}

fn number<T: std::str::FromStr>(parts: &mut std::str::Split<'_, char>) -> Result<T, MetaError> {
    parts
        .next()
        .and_then(|part| part.parse().ok())
        .ok_or(MetaError("sapphiredoor-meta"))
}

/// Header values are ASCII, names of people are not.
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
    let decoded = chars.next().map(|one| match one {
        't' => '\t',
        'n' => '\n',
        'r' => '\r',
        other => other,
    });
    (decoded, chars.as_str())
}
