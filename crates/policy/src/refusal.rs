//! Refusals, and whether the refused call ran.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a call ran at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// No byte of the call reached an endpoint, and none will.
    NotRun,
    /// An endpoint finished the call.
    Ran,
    /// Bytes left for an endpoint and no whole answer came back.
    Unknown,
}

impl Execution {
    /// Value of the `sapphiredoor-ran` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }

    /// Reads the value of the `sapphiredoor-ran` header.
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
    /// The request is malformed or over a size bound.
    BadRequest,
    /// The target service admits only more urgent work.
    Level,
    /// The endpoint's queue is full of more urgent work.
    QueueFull,
    /// The call cannot finish, or did not finish, within its deadline.
    Deadline,
    /// No endpoint of the service is known or reachable.
    NoEndpoint,
    /// The endpoint is leaving.
    Draining,
    /// The allowance of attempts is spent.
    Attempts,
    /// The ticket is void, expired or names another incarnation.
    Ticket,
    /// The home of the idempotency key cannot be reached.
    Home,
    /// The connection to the endpoint or its daemon failed.
    Connection,
}

impl Reason {
    /// Name used in answers, logs and metrics.
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

    /// Reads the name used in answers.
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

    /// HTTP status of an answer with this reason.
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
    /// Cause of the refusal.
    pub reason: Reason,
    /// Whether the call ran.
    pub execution: Execution,
    /// Time after which a new attempt makes sense.
    pub retry_after: Duration,
}

impl Refusal {
    const RETRY_AFTER: Duration = Duration::from_secs(1);

    /// A refusal before any byte reached an endpoint.
    #[must_use]
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            execution: Execution::NotRun,
            retry_after: Self::RETRY_AFTER,
        }
    }

    /// A failure after bytes left for an endpoint.
    #[must_use]
    pub const fn unknown(reason: Reason) -> Self {
        Self {
            reason,
            execution: Execution::Unknown,
            retry_after: Self::RETRY_AFTER,
        }
    }

    /// Sets the time after which a new attempt makes sense.
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
