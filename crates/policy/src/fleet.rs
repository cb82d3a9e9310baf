//! What a daemon knows of the VMs and their endpoints.
//!
//! Entries come from the platform's store and from the gates themselves. An instance is ordered by
//! its start and, within one start, by its sequence number, so a late word never undoes a newer one.
//! An entry that disappears from the store stays in use for a while, because its lease may have
//! lapsed in an outage while its VM lives.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::id::{DataCentreName, Revision, ServiceName, VmId};

#[cfg(test)]
mod tests;

/// Id of one start of an endpoint.
pub type InstanceId = Arc<str>;

/// Time that an entry has to come back after its lease ended: entries of live VMs are back within
/// about two seconds after the store.
pub const MISSING_ENTRY_GRACE: Duration = Duration::from_millis(2_500);

/// State of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes calls.
    Ready,
    /// It finishes what it has and takes no new calls.
    Draining,
    /// It has ended.
    Gone,
}

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// Id of this start.
    pub instance: InstanceId,
    /// Service that it serves.
    pub service: ServiceName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Address at which only its own VM reaches it.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: u32,
    /// State.
    pub state: State,
    /// Time for which it is still slow after its start.
    pub cold: Duration,
    /// Its start in milliseconds since the Unix epoch.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Order of its announcements.
    pub sequence: u64,
}

impl Announcement {
    /// Whether this one replaces another of the same VM.
    ///
    /// A state that ends an instance stands against anything of the same start that comes later
    /// with a lower or equal sequence number.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let ended = |state: State| state == State::Gone;
        if self.started_ms != other.started_ms
            || self.instance == other.instance && ended(other.state)
        {
            return self.started_ms > other.started_ms;
        }
        if self.instance == other.instance {
            return self.sequence > other.sequence || ended(self.state);
        }
        // Two instances without a start time cannot be ordered; the later word is believed.
        true
    }
}

/// Entry of a VM in the store.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: VmId,
    /// Address of its daemon for other daemons.
    pub peer: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its endpoint.
    pub endpoint: Announcement,
}

#[derive(Debug)]
struct Member {
    entry: VmEntry,
    revision: Revision,
    missing: Option<Instant>,
}

/// View of all VMs.
#[derive(Debug, Default)]
pub struct Fleet {
    members: BTreeMap<VmId, Member>,
    services: HashMap<ServiceName, Vec<VmId>>,
}

impl Fleet {
    /// An empty view.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an entry that was written to the store; returns whether the view changed.
    pub fn apply_write(&mut self, entry: VmEntry, revision: Revision) -> bool {
        let vm = VmId::clone(&entry.vm);
        if let Some(member) = self.members.get_mut(&vm) {
            if revision < member.revision {
                return false;
            }
            member.revision = revision;
            member.missing = None;
            member.entry.peer = entry.peer;
            if !entry.endpoint.supersedes(&member.entry.endpoint) {
                return false;
            }
            member.entry = entry;
        } else {
            let member = Member {
                entry,
                revision,
                missing: None,
            };
            self.members.insert(vm, member);
        }
        self.index();
        true
    }

    /// Takes the word of a gate on its own endpoint; returns whether the view changed.
    pub fn apply_announcement(&mut self, vm: &str, endpoint: Announcement) -> bool {
        let Some(member) = self.members.get_mut(vm) else {
            return false;
        };
        if !endpoint.supersedes(&member.entry.endpoint) {
            return false;
        }
        member.entry.endpoint = endpoint;
        self.index();
        true
    }

    /// Notes that an entry left the store at a revision.
    pub fn apply_removal(&mut self, now: Instant, vm: &str, revision: Revision) {
        if let Some(member) = self.members.get_mut(vm)
            && revision >= member.revision
        {
            member.revision = revision;
            member.missing.get_or_insert(now);
        }
    }

    /// Notes that a whole listing at a revision holds just these VMs.
    pub fn apply_listing(&mut self, now: Instant, vms: &[VmId], revision: Revision) {
        let vms: BTreeSet<&VmId> = vms.iter().collect();
        for (vm, member) in &mut self.members {
            if member.revision <= revision && !vms.contains(vm) {
                member.missing.get_or_insert(now);
            }
        }
    }

    /// Drops entries that have been missing for [`MISSING_ENTRY_GRACE`] and whose gate is not heard; returns them.
    pub fn expire(&mut self, now: Instant, heard: impl Fn(&str) -> bool) -> Vec<VmId> {
        let lost: Vec<VmId> = self
            .members
            .iter()
            .filter(|(vm, member)| {
                member
                    .missing
                    .is_some_and(|since| now.duration_since(since) >= MISSING_ENTRY_GRACE)
                    && !heard(vm)
            })
            .map(|(vm, _)| VmId::clone(vm))
            .collect();
        for vm in &lost {
            self.members.remove(vm);
        }
        if !lost.is_empty() {
            self.index();
        }
        lost
    }

    /// VMs whose entry left the store, with the addresses of their daemons.
    #[must_use]
    pub fn missing(&self) -> Vec<(VmId, SocketAddr)> {
        self.members
            .iter()
            .filter(|(_, member)| member.missing.is_some())
            .map(|(vm, member)| (VmId::clone(vm), member.entry.peer))
            .collect()
    }

    /// VMs whose endpoint serves a service and is ready.
    #[must_use]
    pub fn ready(&self, service: &str) -> &[VmId] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Entry of a VM.
    #[must_use]
    pub fn get(&self, vm: &str) -> Option<&VmEntry> {
        self.members.get(vm).map(|member| &member.entry)
    }

    /// All entries with their revisions.
    pub fn entries(&self) -> impl Iterator<Item = (&VmEntry, Revision)> {
        self.members
            .values()
            .map(|member| (&member.entry, member.revision))
    }

    /// Number of VMs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no VM is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn index(&mut self) {
        self.services.clear();
        for (vm, member) in &self.members {
            let endpoint = &member.entry.endpoint;
            if endpoint.state == State::Ready {
                let service = ServiceName::clone(&endpoint.service);
                let vms = self.services.entry(service).or_default();
                vms.push(VmId::clone(vm));
            }
        }
    }
}
