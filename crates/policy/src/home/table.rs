//! Key-to-ticket table of one slot.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use super::ENTRY_LIFETIME;
use crate::ticket::Ticket;

/// Service and key in one shared string.
pub(crate) type FullKey = Arc<str>;

/// An entry as sent between owner and successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyEntry {
    /// Service and key.
    pub key: Arc<str>,
    /// Ticket of the key.
    pub ticket: Ticket,
    /// Number of void tickets that the current ticket has replaced.
    pub version: u8,
}

#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) ticket: Ticket,
    pub(crate) version: u8,
    /// Whether the successor has stored it.
    pub(crate) confirmed: bool,
    kept_until: Instant,
}

/// Entries, and a queue of their keys by time of expiry.
#[derive(Debug, Default)]
pub(crate) struct KeyTable {
    entries: HashMap<FullKey, Entry>,
    expiry_queue: VecDeque<(Instant, FullKey)>,
}

impl KeyTable {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Stores an entry unless the table holds a later version.
    pub(crate) fn store(&mut self, now: Instant, entry: KeyEntry, confirmed: bool) {
        let stored = self.entries.get(&entry.key);
        if stored.is_some_and(|stored| stored.version > entry.version) {
            return;
        }
        let kept_until = now + ENTRY_LIFETIME;
        self.expiry_queue
            .push_back((kept_until, Arc::clone(&entry.key)));
        let value = Entry {
            ticket: entry.ticket,
            version: entry.version,
            confirmed,
            kept_until,
        };
        self.entries.insert(entry.key, value);
    }

    /// Marks an entry as stored by the successor, unless it has changed since it was sent.
    pub(crate) fn confirm(&mut self, key: &str, version: u8) {
        if let Some(entry) = self.entries.get_mut(key)
            && entry.version == version
        {
            entry.confirmed = true;
        }
    }

    pub(crate) fn confirm_all(&mut self) {
        for entry in self.entries.values_mut() {
            entry.confirmed = true;
        }
    }

    /// Splits the table into parts of at most `size` entries. An empty table has one empty part.
    pub(crate) fn parts(&self, size: usize) -> Vec<Vec<KeyEntry>> {
        let all: Vec<KeyEntry> = self
            .entries
            .iter()
            .map(|(key, entry)| KeyEntry {
                key: Arc::clone(key),
                ticket: entry.ticket.clone(),
                version: entry.version,
            })
            .collect();
        if all.is_empty() {
            return vec![Vec::new()];
        }
        all.chunks(size).map(<[KeyEntry]>::to_vec).collect()
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some((until, _)) = self.expiry_queue.front()
            && *until <= now
        {
            let Some((_, key)) = self.expiry_queue.pop_front() else {
                return;
            };
            if self
                .entries
                .get(&key)
                .is_some_and(|entry| entry.kept_until <= now)
            {
                self.entries.remove(&key);
            }
        }
    }

    /// Returns an estimate of the memory in use in bytes, from capacities and the lengths of keys
    /// and VM names.
    pub(crate) fn memory(&self) -> usize {
        const ARC_HEADER_BYTES: usize = 2 * size_of::<usize>();
        let text_bytes = |(key, entry): (&FullKey, &Entry)| {
            key.len() + ARC_HEADER_BYTES + entry.ticket.vm.len() + ARC_HEADER_BYTES
        };
        // The hash table has one control byte per bucket and is filled to at most 7/8.
        self.entries.capacity() * 8 / 7 * (size_of::<(FullKey, Entry)>() + 1)
            + self.expiry_queue.capacity() * size_of::<(Instant, FullKey)>()
            + self.entries.iter().map(text_bytes).sum::<usize>()
    }
}
