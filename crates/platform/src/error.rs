//! Errors of the client.

use std::error;
use std::fmt;

use policy::id::Revision;

use crate::MAX_VALUE_BYTES;

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The key has another revision than the write expected. The write had no effect.
    Conflict {
        /// Revision of the key now, zero if it is absent.
        current: Revision,
    },
    /// The call certainly had no effect.
    Unavailable {
        /// Cause of the failure.
        cause: String,
    },
    /// No complete response arrived. The call may have taken effect, or may still do so.
    Unknown {
        /// Cause of the failure.
        cause: String,
    },
    /// The value is larger than the platform allows. The write was not sent.
    TooLarge {
        /// Size of the value in bytes.
        size: usize,
    },
    /// The lease has lapsed. The call had no effect.
    LeaseLapsed,
    /// The platform rejected the call, or its response to a read cannot be parsed. The call had no
    /// effect.
    Rejected {
        /// HTTP status.
        status: u16,
        /// Body of the response, or why it cannot be parsed.
        message: String,
    },
    /// The key contains characters that do not fit into a path, or ends with `/watch`. The call was
    /// not sent.
    BadKey {
        /// The key.
        key: String,
    },
}

impl Error {
    /// Returns whether the call had no effect and will have none.
    #[must_use]
    pub const fn is_without_effect(&self) -> bool {
        !matches!(self, Self::Unknown { .. })
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { current } => write!(
                f,
                "the key is at revision {current} now; read it again and repeat the change"
            ),
            Self::Unavailable { cause } => write!(
                f,
                "the platform cannot be reached ({cause}) and nothing was changed; try again later"
            ),
            Self::Unknown { cause } => write!(
                f,
                "the platform's response was lost ({cause}); read the key before repeating the change"
            ),
            Self::TooLarge { size } => write!(
                f,
                "the value has {size} bytes, more than the platform's {MAX_VALUE_BYTES}; make it smaller"
            ),
            Self::LeaseLapsed => f.write_str("the lease has lapsed; ask for a new one"),
            Self::Rejected { status, message } => write!(
                f,
                "the platform rejected the call with status {status} ({message}); check that it serves /v1"
            ),
            Self::BadKey { key } => write!(
                f,
                "the key {key:?} is invalid; use letters, digits and . _ - / without a final /watch"
            ),
        }
    }
}

impl error::Error for Error {}
