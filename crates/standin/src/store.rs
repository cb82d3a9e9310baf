//! Keys, revisions and leases of the stand-in platform.
//!
//! No I/O and no clock: callers pass the current time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ::platform::wire::Pair;
use bytes::Bytes;
use policy::id::Revision;

#[cfg(test)]
mod tests;

#[derive(Clone, Debug)]
struct KeyState {
    value: Option<Bytes>,
    revision: Revision,
    lease: Option<u64>,
}

/// Why a write or a lease renewal had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The key is at this revision, or absent if zero.
    Conflict(Revision),
    /// The lease has lapsed or never existed.
    UnknownLease,
}

/// Contents of the key-value service.
#[derive(Debug, Default)]
pub struct Store {
    revision: Revision,
    keys: BTreeMap<String, KeyState>,
    leases: BTreeMap<u64, Instant>,
    last_lease: u64,
}

impl Store {
    /// Revision of the latest change of any key.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the latest state of a key; a removed key has the value `None`.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Pair> {
        self.keys.get(key).map(|state| pair(key, state))
    }

    /// Returns the present keys that start with `prefix`.
    #[must_use]
    pub fn list(&self, prefix: &str) -> Vec<Pair> {
        self.keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, state)| state.value.is_some())
            .map(|(key, state)| pair(key, state))
            .collect()
    }

    /// Writes a key and returns the new revision.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the key has another revision than `if_revision`, or the lease is unknown.
    pub fn put(
        &mut self,
        key: &str,
        value: Bytes,
        if_revision: Option<Revision>,
        lease: Option<u64>,
    ) -> Result<Revision, StoreError> {
        let present = self.keys.get(key).filter(|state| state.value.is_some());
        let current = present.map_or(0, |state| state.revision);
        if if_revision.is_some_and(|expected| expected != current) {
            return Err(StoreError::Conflict(current));
        }
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Err(StoreError::UnknownLease);
        }
        self.revision += 1;
        let state = KeyState {
            value: Some(value),
            revision: self.revision,
            lease,
        };
        self.keys.insert(key.to_owned(), state);
        Ok(self.revision)
    }

    /// Grants a lease and returns its id.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, now + ttl);
        self.last_lease
    }

    /// Renews a lease for `ttl` from `now`.
    ///
    /// # Errors
    ///
    /// [`StoreError::UnknownLease`] if it has lapsed or never existed.
    pub fn renew(&mut self, id: u64, ttl: Duration, now: Instant) -> Result<(), StoreError> {
        let expiry = self.leases.get_mut(&id).ok_or(StoreError::UnknownLease)?;
        *expiry = now + ttl;
        Ok(())
    }

    /// Removes lapsed leases and the keys attached to them.
    pub fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, expiry| *expiry > now);
        for state in self.keys.values_mut() {
            let lapsed = state.lease.is_some_and(|id| !self.leases.contains_key(&id));
            if lapsed && state.value.is_some() {
                self.revision += 1;
                state.value = None;
                state.revision = self.revision;
            }
        }
    }
}

fn pair(key: &str, state: &KeyState) -> Pair {
    Pair {
        key: key.to_owned(),
        value: state.value.clone(),
        revision: state.revision,
    }
}
