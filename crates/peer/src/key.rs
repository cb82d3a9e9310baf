//! Shared keys with which daemons authenticate to each other.
//!
//! The first accepted key signs, and every accepted key verifies. A key is rotated by adding the
//! new one last on every daemon, then moving it to the front, then removing the old one.

use std::error::Error;
use std::fmt;
use std::sync::Arc;

use hmac::{Hmac, Mac};
use http::HeaderMap;
use http::header::{AUTHORIZATION, HeaderValue};
use sha2::{Digest, Sha256};
use subtle::{Choice, ConstantTimeEq};

#[cfg(test)]
mod tests;

/// Length of an HMAC-SHA-256 in bytes.
pub const TAG_LEN: usize = 32;

/// Shortest accepted key in bytes.
const MIN_KEY_BYTES: usize = 16;
const BEARER_PREFIX: &str = "Bearer ";

/// Why a list of keys cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The list is empty.
    Missing,
    /// A key is too short.
    Short,
    /// A key contains a space or a character that is not printable ASCII.
    Character,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing => f.write_str("no shared key is set; give at least one in the settings"),
            Self::Short => write!(
                f,
                "a shared key is too short; use at least {MIN_KEY_BYTES} characters"
            ),
            Self::Character => f.write_str(
                "a shared key has an invalid character; use printable ASCII without spaces",
            ),
        }
    }
}

impl Error for KeyError {}

struct Key {
    mac: Hmac<Sha256>,
    digest: [u8; 32],
}

struct Inner {
    keys: Vec<Key>,
    bearer: HeaderValue,
}

/// Accepted keys of a daemon.
#[derive(Clone)]
pub struct Keys {
    inner: Arc<Inner>,
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keys({})", self.inner.keys.len())
    }
}

impl Keys {
    /// Creates the set of accepted keys; the first one is used for sending.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no key, or one is too short or not printable ASCII.
    pub fn new(accepted: &[impl AsRef<str>]) -> Result<Self, KeyError> {
        let first = accepted.first().ok_or(KeyError::Missing)?.as_ref();
        let keys = accepted
            .iter()
            .map(|key| Key::new(key.as_ref()))
            .collect::<Result<_, _>>()?;
        let mut bearer = HeaderValue::from_str(&format!("{BEARER_PREFIX}{first}"))
            .map_err(|_| KeyError::Character)?;
        bearer.set_sensitive(true);
        let inner = Arc::new(Inner { keys, bearer });
        Ok(Self { inner })
    }

    /// Returns the value of the `authorization` header for requests to other daemons.
    #[must_use]
    pub fn bearer(&self) -> &HeaderValue {
        &self.inner.bearer
    }

    /// Returns whether the `authorization` header carries an accepted key, in time that does not
    /// depend on the keys.
    #[must_use]
    pub fn accepts(&self, headers: &HeaderMap) -> bool {
        let mut values = headers.get_all(AUTHORIZATION).iter();
        let (Some(value), None) = (values.next(), values.next()) else {
            return false;
        };
        self.accepts_bearer(value)
    }

    /// Returns whether `value`, in the form of [`Self::bearer`], carries an accepted key.
    #[must_use]
    pub fn accepts_bearer(&self, value: &HeaderValue) -> bool {
        let Some(token) = value.as_bytes().strip_prefix(BEARER_PREFIX.as_bytes()) else {
            return false;
        };
        // Digests have equal length, so the comparison time does not reveal the key length either.
        let digest = Sha256::digest(token);
        let matches = |key: &Key| digest.as_slice().ct_eq(&key.digest);
        self.any(matches)
    }

    /// Returns the tag of `body` under the first key.
    #[must_use]
    pub fn sign(&self, body: &[u8]) -> [u8; TAG_LEN] {
        self.inner.keys[0].sign(body)
    }

    /// Returns whether `tag` is the tag of `body` under an accepted key, in time that does not
    /// depend on the keys or the tag.
    #[must_use]
    pub fn verify(&self, tag: &[u8], body: &[u8]) -> bool {
        self.any(|key| key.sign(body).as_slice().ct_eq(tag))
    }

    fn any(&self, matches: impl Fn(&Key) -> Choice) -> bool {
        let none = Choice::from(0);
        let keys = self.inner.keys.iter();
        keys.fold(none, |found, key| found | matches(key)).into()
    }
}

impl Key {
    fn new(key: &str) -> Result<Self, KeyError> {
        if key.len() < MIN_KEY_BYTES {
            return Err(KeyError::Short);
        }
        if !key.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(KeyError::Character);
        }
        let mac = Hmac::new_from_slice(key.as_bytes()).map_err(|_| KeyError::Short)?;
        let digest = Sha256::digest(key.as_bytes()).into();
        Ok(Self { mac, digest })
    }

    fn sign(&self, body: &[u8]) -> [u8; TAG_LEN] {
        let mut mac = self.mac.clone();
        mac.update(body);
        mac.finalize().into_bytes().into()
    }
}
