//! Refused and failed calls: the reason, and whether the endpoint executed the call.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether an endpoint executed a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// No byte of the call reached an endpoint, and none will.
    NotRun,
    /// An endpoint finished executing the call.
    Ran,
    /// Bytes were sent to an endpoint, but no complete response was received.
    Unknown,
}

impl Execution {
    /// Returns the value of the `sapphiredoor-ran` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }

    /// Parses the value of the `sapphiredoor-ran` header.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "not-run" => Some(Self::NotRun),
            "ran" => Some(Self::Ran),
            "unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}

/// Why a call was refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is malformed or exceeds a size limit.
    BadRequest,
    /// The service or a dependency admits only more urgent calls.
    Level,
    /// The endpoint's queue is full of more urgent calls.
    QueueFull,
    /// The call cannot finish, or did not finish, within its deadline.
    Deadline,
    /// No endpoint of the service is known or reachable.
    NoEndpoint,
    /// The endpoint is draining.
    Draining,
    /// No extra attempts are left.
    Attempts,
    /// The ticket is void or expired, or names another incarnation.
    Ticket,
    /// The home of the idempotency key is unreachable.
    Home,
    /// The connection to the endpoint or its daemon failed.
    Connection,
}

impl Reason {
    /// Returns the name used in responses, logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::Level => "level",
            Self::QueueFull => "queue-full",
            Self::Deadline => "deadline",
            Self::NoEndpoint => "no-endpoint",
            Self::Draining => "draining",
            Self::Attempts => "attempts",
            Self::Ticket => "ticket",
            Self::Home => "home",
            Self::Connection => "connection",
        }
    }

    /// Parses the name used in responses.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        const ALL: [Reason; 10] = [
            Reason::BadRequest,
            Reason::Level,
            Reason::QueueFull,
            Reason::Deadline,
            Reason::NoEndpoint,
            Reason::Draining,
            Reason::Attempts,
            Reason::Ticket,
            Reason::Home,
            Reason::Connection,
        ];
        ALL.into_iter().find(|reason| reason.as_str() == text)
    }

    /// Returns the HTTP status of a response with this reason.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Level | Self::QueueFull | Self::Attempts => 429,
            Self::Deadline => 504,
            Self::NoEndpoint | Self::Draining | Self::Home => 503,
            Self::Ticket => 409,
            Self::Connection => 502,
        }
    }
}

/// A call that was refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal or failure.
    pub reason: Reason,
    /// Whether an endpoint executed the call.
    pub execution: Execution,
    /// Delay before the caller should retry.
    pub retry_after: Duration,
}

impl Refusal {
    const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

    /// Creates a refusal before any byte reached an endpoint.
    #[must_use]
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            execution: Execution::NotRun,
            retry_after: Self::DEFAULT_RETRY_DELAY,
        }
    }

    /// Creates a failure after bytes were sent to an endpoint.
    #[must_use]
    pub const fn unknown(reason: Reason) -> Self {
        Self {
            reason,
            execution: Execution::Unknown,
            retry_after: Self::DEFAULT_RETRY_DELAY,
        }
    }

    /// Sets the delay before the caller should retry.
    #[must_use]
    pub const fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = delay;
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.reason.as_str(), self.execution.as_str())
    }
}
