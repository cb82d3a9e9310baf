//! Organisations whose clients identify themselves by keys.
//!
//! A key belongs to one organisation. Only digests of keys are kept, so that the time of a look-up
//! does not depend on how much of a guessed key is right, and no key can be printed by accident.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use sha2::{Digest, Sha256};

use crate::id::OrganisationName;

#[cfg(test)]
mod tests;

/// Ranks of routes that are told apart within one rank of an organisation.
const ROUTE_RANKS: u32 = 1 << 16;

/// Returns the rank of a call: the rank of its organisation takes precedence over that of its route.
/// Without organisations it is the rank of the route.
#[must_use]
pub fn call_rank(organisation: Option<u32>, route: u32) -> u32 {
    organisation
        .unwrap_or(0)
        .saturating_mul(ROUTE_RANKS)
        .saturating_add(route.min(ROUTE_RANKS - 1))
}

/// Returns the rank of the organisation in the rank of a call.
#[must_use]
pub fn organisation_rank(call: u32) -> u32 {
    call / ROUTE_RANKS
}
/// Largest number of organisations for which a part of a daemon keeps state. The one that was idle
/// for the longest time is forgotten first.
pub const MAX_TRACKED: usize = 1_024;

/// SHA-256 digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn new(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// What a request says about the organisation of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// It carries no key.
    Missing,
    /// It carries something that is not exactly one key.
    Malformed,
    /// It carries the key with this digest.
    Key(KeyDigest),
}

/// Limit on the requests of an organisation, over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub rate: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// An organisation in one version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// Rank of its requests, which takes precedence over that of their routes; 0 is the most
    /// urgent.
    pub rank: Option<u32>,
    /// Limit on its requests; `None` if there is none.
    pub quota: Option<Quota>,
}

/// Two organisations hold the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedKey {
    /// The organisation that was added first.
    pub first: OrganisationName,
    /// The other one.
    pub second: OrganisationName,
}

/// The organisations of one version of the configuration, by key.
#[derive(Clone, Debug, Default)]
pub struct Organisations {
    by_key: HashMap<KeyDigest, Arc<Organisation>>,
}

impl Organisations {
    /// Creates an empty table, in which no key is valid.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an organisation with the digests of its keys.
    ///
    /// # Errors
    ///
    /// Fails if another organisation holds one of the keys.
    pub fn add(
        &mut self,
        organisation: Organisation,
        keys: impl IntoIterator<Item = KeyDigest>,
    ) -> Result<(), SharedKey> {
        let organisation = Arc::new(organisation);
        for key in keys {
            let before = self.by_key.insert(key, Arc::clone(&organisation));
            if let Some(before) = before.filter(|before| before.name != organisation.name) {
                return Err(SharedKey {
                    first: OrganisationName::clone(&before.name),
                    second: OrganisationName::clone(&organisation.name),
                });
            }
        }
        Ok(())
    }

    /// Returns the organisation that holds a key.
    #[must_use]
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<Organisation>> {
        self.by_key.get(key)
    }

    /// Returns the organisations, each once for every key that it holds.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.by_key.values()
    }
}
