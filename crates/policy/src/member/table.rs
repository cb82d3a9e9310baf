//! Member table with an index and a digest per data centre.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashMap};
use std::hash::BuildHasherDefault;
use std::sync::Arc;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::message::{Member, State};
use crate::id::{DataCentreName, VmId};

/// Record of one member and the local time of its last change.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) record: Arc<Member>,
    pub(super) changed_at: Instant,
}

/// Members of one data centre.
#[derive(Debug, Default)]
pub(super) struct DataCentreMembers {
    /// Live members, sorted by name hash.
    live: Vec<(u64, VmId)>,
    digest: u64,
}

/// All known members, the daemon itself included.
#[derive(Debug, Default)]
pub(super) struct Table {
    /// The hasher has fixed keys, so that runs with one seed are identical.
    entries: HashMap<VmId, Entry, BuildHasherDefault<DefaultHasher>>,
    data_centres: BTreeMap<DataCentreName, DataCentreMembers>,
}

impl Table {
    pub(super) fn get(&self, vm: &str) -> Option<&Entry> {
        self.entries.get(vm)
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub(super) fn data_centres(&self) -> impl Iterator<Item = &DataCentreName> {
        self.data_centres.keys()
    }

    /// Returns the live members of a data centre, lowest name hash first.
    pub(super) fn live(&self, data_centre: &str) -> &[(u64, VmId)] {
        self.data_centres
            .get(data_centre)
            .map_or(&[], |members| members.live.as_slice())
    }

    /// Returns the `count` alive members of a data centre with the lowest name hash.
    ///
    /// Draining members follow if there are too few, so that a data centre whose last daemon drains
    /// can still send its record to remote ones.
    pub(super) fn lowest_by_hash<'a>(
        &'a self,
        data_centre: &str,
        count: usize,
    ) -> impl Iterator<Item = &'a Arc<Member>> {
        let in_state = |state| {
            self.live(data_centre)
                .iter()
                .filter_map(|(_, vm)| self.entries.get(vm))
                .map(|entry| &entry.record)
                .filter(move |record| record.state == state)
        };
        in_state(State::Alive)
            .chain(in_state(State::Draining))
            .take(count)
    }

    /// Returns the digest of the live members of a data centre.
    pub(super) fn digest(&self, data_centre: &str) -> u64 {
        self.data_centres
            .get(data_centre)
            .map_or(0, |members| members.digest)
    }

    /// Returns the digest of all live members.
    pub(super) fn full_digest(&self) -> u64 {
        self.data_centres
            .values()
            .fold(0, |digest, members| digest ^ members.digest)
    }

    /// Stores a record and returns the one that it replaces.
    pub(super) fn insert(&mut self, record: Arc<Member>, now: Instant) -> Option<Arc<Member>> {
        let previous = self.remove(&Arc::clone(&record.vm));
        if record.state.is_live() {
            let members = self
                .data_centres
                .entry(DataCentreName::clone(&record.data_centre))
                .or_default();
            let key = (name_hash(&record.vm), VmId::clone(&record.vm));
            if let Err(at) = members.live.binary_search(&key) {
                members.live.insert(at, key);
            }
            members.digest ^= record_hash(&record);
        }
        let vm = VmId::clone(&record.vm);
        let entry = Entry {
            record,
            changed_at: now,
        };
        self.entries.insert(vm, entry);
        previous
    }

    /// Removes a record without leaving a tombstone.
    pub(super) fn remove(&mut self, vm: &VmId) -> Option<Arc<Member>> {
        let record = self.entries.remove(vm)?.record;
        if record.state.is_live()
            && let Some(members) = self.data_centres.get_mut(&record.data_centre)
        {
            let key = (name_hash(vm), VmId::clone(vm));
            if let Ok(at) = members.live.binary_search(&key) {
                members.live.remove(at);
            }
            members.digest ^= record_hash(&record);
        }
        Some(record)
    }
}

fn name_hash(vm: &str) -> u64 {
    xxh3_64_with_seed(vm.as_bytes(), 0)
}

/// Hashes the fields that identify a version of a record. Suspicions are left out, because they are
/// local to a data centre and short.
fn record_hash(record: &Member) -> u64 {
    let version = u64::from(record.version);
    xxh3_64_with_seed(
        record.vm.as_bytes(),
        record.incarnation.rotate_left(20) ^ version,
    )
}
