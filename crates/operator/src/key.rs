//! Bearer keys of operators.
//!
//! Only digests of the keys are kept. A key therefore appears neither in debug output nor in a
//! memory dump of the daemon, and the comparison of two digests takes the same time whatever the
//! length of the keys.

use std::fmt;

use sha2::{Digest, Sha256};
use subtle::{Choice, ConstantTimeEq};

#[cfg(test)]
mod tests;

/// Shortest key accepted.
pub const MIN_KEY_BYTES: usize = 16;

/// The keys that the daemon accepts: two during a key rotation.
#[derive(Clone, Default)]
pub struct Keys {
    digests: Vec<[u8; 32]>,
}

/// Error in a list of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The list holds no key.
    Empty,
    /// The key at this position, from 1, is shorter than [`MIN_KEY_BYTES`].
    Short(usize),
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("there is no operator key; put one key a line in the file"),
            Self::Short(position) => write!(
                f,
                "operator key {position} is too short; use at least {MIN_KEY_BYTES} random bytes"
            ),
        }
    }
}

impl std::error::Error for KeyError {}

impl Keys {
    /// Parses a text with one key a line. Blank lines and lines that start with `#` are ignored.
    ///
    /// # Errors
    ///
    /// Fails when there is no key or one is too short.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let mut digests = Vec::new();
        for key in key_lines(text) {
            if key.len() < MIN_KEY_BYTES {
                return Err(KeyError::Short(digests.len() + 1));
            }
            digests.push(digest(key.as_bytes()));
        }
        if digests.is_empty() {
            return Err(KeyError::Empty);
        }
        Ok(Self { digests })
    }

    /// Returns whether `key` is accepted. Takes the same time for all keys of the same length,
    /// accepted or not.
    #[must_use]
    pub fn accepts(&self, key: &[u8]) -> bool {
        let candidate = digest(key);
        let mut found = Choice::from(0);
        for accepted in &self.digests {
            found |= accepted.ct_eq(&candidate);
        }
        found.into()
    }

    /// Returns whether the value of an `authorization` header carries an accepted bearer key.
    #[must_use]
    pub fn authorizes(&self, header: Option<&[u8]>) -> bool {
        let key = header.and_then(|value| value.strip_prefix(b"Bearer "));
        key.is_some_and(|key| self.accepts(key.trim_ascii()))
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keys({} accepted)", self.digests.len())
    }
}

/// Returns the first key of a key file, the one that a client sends.
#[must_use]
pub fn first(text: &str) -> Option<&str> {
    key_lines(text).next()
}

fn key_lines(text: &str) -> impl Iterator<Item = &str> {
    text.lines()
        .map(str::trim)
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
}

fn digest(key: &[u8]) -> [u8; 32] {
    Sha256::digest(key).into()
}
