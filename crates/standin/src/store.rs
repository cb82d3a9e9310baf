//! Keys, revisions and leases of the stand-in platform. Pure: the time is an argument.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ::platform::wire::Pair;
use bytes::Bytes;
use policy::id::Revision;

#[cfg(test)]
mod tests;

#[derive(Clone, Debug)]
struct Slot {
    value: Option<Bytes>,
    revision: Revision,
    lease: Option<u64>,
}

/// Why a write had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The key is at this revision, zero if it is absent.
    Conflict(Revision),
    /// The lease has lapsed or never existed.
    UnknownLease,
}

/// The whole state.
#[derive(Debug, Default)]
pub struct Store {
    revision: Revision,
    slots: BTreeMap<String, Slot>,
    leases: BTreeMap<u64, Instant>,
    last_lease: u64,
}

impl Store {
    /// Revision of the latest change of any key.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Latest state of a key; the value of a removed key is `None`.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Pair> {
        self.slots.get(key).map(|slot| pair(key, slot))
    }

    /// Present keys that start with `prefix`.
    #[must_use]
    pub fn list(&self, prefix: &str) -> Vec<Pair> {
        self.slots
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, slot)| slot.value.is_some())
            .map(|(key, slot)| pair(key, slot))
            .collect()
    }

    /// Writes a key and returns the new revision.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the key has another revision than `if_revision`, or the lease has lapsed.
    pub fn put(
        &mut self,
        key: &str,
        value: Bytes,
        if_revision: Option<Revision>,
        lease: Option<u64>,
    ) -> Result<Revision, StoreError> {
        let present = self.slots.get(key).filter(|slot| slot.value.is_some());
        let current = present.map_or(0, |slot| slot.revision);
        if if_revision.is_some_and(|expected| expected != current) {
            return Err(StoreError::Conflict(current));
        }
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Err(StoreError::UnknownLease);
        }
        self.revision += 1;
        let slot = Slot {
            value: Some(value),
            revision: self.revision,
            lease,
        };
        self.slots.insert(key.to_owned(), slot);
        Ok(self.revision)
    }

    /// Grants a lease.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, now + ttl);
        self.last_lease
    }

    /// Restarts a lease.
    ///
    /// # Errors
    ///
    /// [`StoreError::UnknownLease`] if it has lapsed.
    pub fn renew(&mut self, id: u64, ttl: Duration, now: Instant) -> Result<(), StoreError> {
        let end = self.leases.get_mut(&id).ok_or(StoreError::UnknownLease)?;
        *end = now + ttl;
        Ok(())
    }

    /// Ends the leases that have lapsed and removes their keys.
    pub fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, end| *end > now);
        for slot in self.slots.values_mut() {
            let lapsed = slot.lease.is_some_and(|id| !self.leases.contains_key(&id));
            if lapsed && slot.value.is_some() {
                self.revision += 1;
                slot.value = None;
                slot.revision = self.revision;
            }
        }
    }
}

fn pair(key: &str, slot: &Slot) -> Pair {
    Pair {
        key: key.to_owned(),
        value: slot.value.clone(),
        revision: slot.revision,
    }
}
