//! Updates waiting to be pushed or piggybacked, least transmitted first.

use std::collections::{BTreeMap, HashMap};

use crate::id::VmId;

/// Queue of members whose records are still to be disseminated.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    /// Members by number of transmissions, then newest first.
    items: BTreeMap<(u32, u64), VmId>,
    /// Key in `items` by member.
    index: HashMap<VmId, (u32, u64)>,
    next_sequence: u64,
}

impl UpdateQueue {
    /// Queues a member's record, with no transmissions counted.
    pub(super) fn push(&mut self, vm: &VmId) {
        self.insert(vm, 0);
    }

    pub(super) fn clear(&mut self) {
        self.items.clear();
        self.index.clear();
    }

    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns members whose records fit into `budget` bytes and counts one transmission for each.
    /// A member leaves the queue after `limit` transmissions.
    ///
    /// `size` returns the bytes of a member's record, or `None` if it is no longer in the table.
    pub(super) fn take(
        &mut self,
        mut budget: usize,
        limit: u32,
        size: impl Fn(&VmId) -> Option<usize>,
    ) -> Vec<VmId> {
        let mut taken = Vec::new();
        let mut dropped = Vec::new();
        for (key, vm) in &self.items {
            match size(vm) {
                None => dropped.push(*key),
                Some(bytes) if bytes <= budget => {
                    budget -= bytes;
                    taken.push((*key, VmId::clone(vm)));
                }
                Some(_) => break,
            }
        }
        for key in dropped {
            if let Some(vm) = self.items.remove(&key) {
                self.index.remove(&vm);
            }
        }
        for ((transmissions, _), vm) in &taken {
            if transmissions + 1 < limit {
                self.insert(vm, transmissions + 1);
            } else if let Some(key) = self.index.remove(vm) {
                self.items.remove(&key);
            }
        }
        taken.into_iter().map(|(_, vm)| vm).collect()
    }

    fn insert(&mut self, vm: &VmId, transmissions: u32) {
        // Newer updates go first among those with equally many transmissions.
        let key = (transmissions, u64::MAX - self.next_sequence);
        self.next_sequence += 1;
        if let Some(old) = self.index.insert(VmId::clone(vm), key) {
            self.items.remove(&old);
        }
        self.items.insert(key, VmId::clone(vm));
    }
}
