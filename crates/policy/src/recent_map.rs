//! Map of bounded size that forgets the entry which was not used for the longest time.
//!
//! State by organisation must not grow with the names that a configuration has had over time.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

#[cfg(test)]
mod tests;

/// A bounded map.
#[derive(Debug)]
pub struct RecentMap<K, V> {
    capacity: usize,
    /// Number of uses so far, which orders the entries by their last use.
    uses: u64,
    entries: HashMap<K, (u64, V)>,
    by_use: BTreeMap<u64, K>,
}

impl<K: Clone + Eq + Hash, V> RecentMap<K, V> {
    /// Creates a map for this many entries.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            uses: 0,
            entries: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns an entry. This does not count as a use.
    #[must_use]
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|(_, value)| value)
    }

    /// Returns an entry to change. This does not count as a use.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.entries.get_mut(key).map(|(_, value)| value)
    }

    /// Uses an entry, which is created if it is missing.
    pub fn use_or_insert_with(&mut self, key: &K, create: impl FnOnce() -> V) -> &mut V {
        match self.entries.get(key) {
            Some((used, _)) => {
                self.by_use.remove(used);
            }
            None if self.entries.len() >= self.capacity => {
                if let Some((_, oldest)) = self.by_use.pop_first() {
                    self.entries.remove(&oldest);
                }
            }
            None => {}
        }
        self.uses += 1;
        self.by_use.insert(self.uses, key.clone());
        let (used, value) = self
            .entries
            .entry(key.clone())
            .or_insert_with(|| (0, create()));
        *used = self.uses;
        value
    }

    /// Removes an entry.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let (used, value) = self.entries.remove(key)?;
        self.by_use.remove(&used);
        Some(value)
    }

    /// Returns all entries in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter().map(|(key, (_, value))| (key, value))
    }

    /// Returns the entry that was not used for the longest time.
    #[must_use]
    pub fn oldest(&self) -> Option<(&K, &V)> {
        let (_, key) = self.by_use.first_key_value()?;
        Some((key, self.get(key)?))
    }
}
