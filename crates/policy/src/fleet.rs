//! Table of the VMs and their endpoints.
//!
//! Entries come from the platform's store and from the gates themselves. Announcements are ordered
//! by the start of the instance and, within one instance, by sequence number, so a late
//! announcement never reverts a newer one. An entry that disappears from the store is retained for
//! a while, because its lease may have lapsed in an outage while its VM is alive.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::id::{DataCentreName, ServiceName, VmId};
use crate::position::Position;

#[cfg(test)]
mod tests;

/// Id of an instance, which is one start of an endpoint.
pub type InstanceId = Arc<str>;

/// Time for which a missing entry is retained. Entries of live VMs are written again within about
/// two seconds after the store has come back.
pub const MISSING_ENTRY_GRACE: Duration = Duration::from_millis(2_500);

/// Largest number of slots of an endpoint. The largest deployments have a few hundred.
const MAX_SLOTS: u32 = 1_000_000;

/// Latest start of an instance, in milliseconds since the Unix epoch: the year 2200. A later one
/// comes from a damaged announcement and could never be superseded. The clock of this VM is no
/// bound, as it may be wrong by any time.
const MAX_STARTED_MS: u64 = 7_258_118_400_000;

/// Endpoints that left and are remembered after their VMs have been removed.
const MAX_DEPARTED: usize = 1_024;

/// State of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes calls.
    Ready,
    /// It finishes its calls and takes no new ones.
    Draining,
    /// It stated in its responses that it is about to shut down. Unlike a draining endpoint it does
    /// not become ready again.
    Leaving,
    /// It has ended.
    Gone,
}

/// State of an endpoint as it announces it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Service that it serves.
    pub service: ServiceName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Address of the endpoint, reachable only from its own VM.
    pub address: SocketAddr,
    /// Number of calls that it runs at once.
    pub slots: u32,
    /// Whether it takes calls.
    pub state: State,
    /// Remaining time for which it is slow after its start.
    pub cold: Duration,
    /// Start of the instance in milliseconds since the Unix epoch.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Sequence number among the announcements of the instance.
    pub sequence: u64,
}

impl Announcement {
    /// Checks that the numbers are such as an endpoint can state.
    ///
    /// # Errors
    ///
    /// Returns what is out of range.
    pub fn check(&self) -> Result<(), &'static str> {
        if self.slots > MAX_SLOTS {
            return Err("the number of slots is out of range");
        }
        if self.started_ms > MAX_STARTED_MS {
            return Err("the start is out of range");
        }
        Ok(())
    }

    /// Returns whether this announcement supersedes another one of the same VM.
    ///
    /// Within one instance and start, an announcement that the instance leaves or is gone
    /// supersedes any other, whatever its sequence number, and is superseded only by one that it is
    /// gone.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        if self.started_ms != other.started_ms {
            return self.started_ms > other.started_ms;
        }
        if self.instance == other.instance {
            return match (self.state, other.state) {
                (_, State::Gone) => false,
                (State::Gone, _) => true,
                (_, State::Leaving) => false,
                (State::Leaving, _) => true,
                _ => self.sequence > other.sequence,
            };
        }
        // Two instances with the same start time, or without one, cannot be ordered; the
        // announcement received last counts.
        true
    }

    /// Returns whether two announcements state the same of one instance. A new sequence number alone
    /// is no change.
    #[must_use]
    pub fn same_state(&self, other: &Self) -> bool {
        self.instance == other.instance
            && self.started_ms == other.started_ms
            && self.state == other.state
            && self.slots == other.slots
    }

    /// Returns whether this announcement, which was recorded earlier and is read again, corrects
    /// another one of the same VM.
    ///
    /// The order in which records are read says nothing, so instances that cannot be ordered do not
    /// correct each other.
    #[must_use]
    pub fn corrects(&self, other: &Self) -> bool {
        (self.started_ms != other.started_ms || self.instance == other.instance)
            && self.supersedes(other)
    }
}

/// A VM in the store.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: VmId,
    /// Address at which other daemons reach its daemon.
    pub peer: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// What its endpoint announced last.
    pub endpoint: Announcement,
}

impl VmEntry {
    /// Checks an entry that may come from another writer.
    ///
    /// # Errors
    ///
    /// Returns what is out of range.
    pub fn check(&self) -> Result<(), &'static str> {
        if self.peer.port() == 0 {
            return Err("the port of the daemon is out of range");
        }
        self.endpoint.check()
    }
}

#[derive(Debug)]
struct Member {
    entry: VmEntry,
    position: Position,
    missing_since: Option<Instant>,
}

/// Table of all VMs.
#[derive(Debug, Default)]
pub struct Fleet {
    members: BTreeMap<VmId, Member>,
    /// Last announcements of endpoints that left, whose VMs have been removed. Their old entries
    /// come back with an older copy of the store.
    departed: BTreeMap<VmId, Announcement>,
    services: HashMap<ServiceName, Vec<VmId>>,
    /// From when on the table counts as complete.
    complete_at: Option<Instant>,
}

impl Fleet {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies an entry that was written to the store; returns whether the table changed.
    pub fn apply_write(&mut self, mut entry: VmEntry, position: Position) -> bool {
        let vm = VmId::clone(&entry.vm);
        if let Some(member) = self.members.get_mut(&vm) {
            if position < member.position {
                return false;
            }
            member.position = position;
            member.missing_since = None;
            member.entry.peer = entry.peer;
            if !entry.endpoint.supersedes(&member.entry.endpoint) {
                return false;
            }
            member.entry = entry;
        } else {
            if let Some(departed) = self.departed.remove(&vm)
                && !entry.endpoint.supersedes(&departed)
            {
                entry.endpoint = departed;
            }
            let member = Member {
                entry,
                position,
                missing_since: None,
            };
            self.members.insert(vm, member);
        }
        self.rebuild_index();
        true
    }

    /// Applies an announcement that a gate sent about its endpoint; returns whether the table
    /// changed.
    pub fn apply_announcement(&mut self, vm: &str, endpoint: Announcement) -> bool {
        let Some(member) = self.members.get_mut(vm) else {
            return false;
        };
        if !endpoint.supersedes(&member.entry.endpoint) {
            return false;
        }
        member.entry.endpoint = endpoint;
        self.rebuild_index();
        true
    }

    /// Applies what a daemon says of its own endpoint; returns whether the table changed. A VM that
    /// is not in the table is added: its entry may not be in the store yet.
    pub fn apply_report(&mut self, entry: VmEntry) -> bool {
        if self.members.contains_key(&entry.vm) {
            let vm = VmId::clone(&entry.vm);
            return self.apply_announcement(&vm, entry.endpoint);
        }
        self.apply_write(entry, Position::default())
    }

    /// Returns the newest announcement known of a VM, which may have been removed.
    #[must_use]
    pub fn newest(&self, vm: &str) -> Option<&Announcement> {
        let member = self.members.get(vm).map(|member| &member.entry.endpoint);
        member.or_else(|| self.departed.get(vm))
    }

    /// Marks an entry that left the store at a position as missing.
    pub fn apply_removal(&mut self, now: Instant, vm: &str, position: Position) {
        if let Some(member) = self.members.get_mut(vm)
            && position >= member.position
        {
            member.position = position;
            member.missing_since.get_or_insert(now);
        }
    }

    /// Notes that the table has been filled and is complete from a time on: at once if nothing can be
    /// missing, else when the entries of live VMs have had time to return.
    pub fn set_complete_at(&mut self, at: Instant) {
        let earliest = self.complete_at.map_or(at, |known| known.min(at));
        self.complete_at = Some(earliest);
    }

    /// Returns the time until the table is complete, or `None` if it has not been filled. A VM that
    /// is missing from the table before that may be alive.
    #[must_use]
    pub fn incomplete_for(&self, now: Instant) -> Option<Duration> {
        self.complete_at.map(|at| at.saturating_duration_since(now))
    }

    /// Marks every entry that a full listing of the store at a position lacks as missing.
    pub fn apply_listing(&mut self, now: Instant, vms: &[VmId], position: Position) {
        let vms: BTreeSet<&VmId> = vms.iter().collect();
        for (vm, member) in &mut self.members {
            if member.position <= position && !vms.contains(vm) {
                member.missing_since.get_or_insert(now);
            }
        }
    }

    /// Removes and returns entries that have been missing for [`MISSING_ENTRY_GRACE`] and whose
    /// gate is unresponsive.
    pub fn expire(&mut self, now: Instant, responds: impl Fn(&str) -> bool) -> Vec<VmId> {
        let expired: Vec<VmId> = self
            .members
            .iter()
            .filter(|(vm, member)| {
                member
                    .missing_since
                    .is_some_and(|since| now.duration_since(since) >= MISSING_ENTRY_GRACE)
                    && !responds(vm)
            })
            .map(|(vm, _)| VmId::clone(vm))
            .collect();
        for vm in &expired {
            let endpoint = self.members.remove(vm).map(|member| member.entry.endpoint);
            let departed = endpoint.filter(|endpoint| endpoint.state != State::Ready);
            if let Some(endpoint) = departed {
                self.departed.insert(VmId::clone(vm), endpoint);
            }
        }
        while self.departed.len() > MAX_DEPARTED {
            self.departed.pop_first();
        }
        if !expired.is_empty() {
            self.rebuild_index();
        }
        expired
    }

    /// Returns the VMs whose entry left the store, with the addresses of their daemons.
    #[must_use]
    pub fn missing(&self) -> Vec<(VmId, SocketAddr)> {
        self.members
            .iter()
            .filter(|(_, member)| member.missing_since.is_some())
            .map(|(vm, member)| (VmId::clone(vm), member.entry.peer))
            .collect()
    }

    /// Returns the VMs whose endpoint serves a service and is ready.
    #[must_use]
    pub fn ready(&self, service: &str) -> &[VmId] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the entry of a VM.
    #[must_use]
    pub fn get(&self, vm: &str) -> Option<&VmEntry> {
        self.members.get(vm).map(|member| &member.entry)
    }

    /// Returns all entries with their positions.
    pub fn entries(&self) -> impl Iterator<Item = (&VmEntry, Position)> {
        self.members
            .values()
            .map(|member| (&member.entry, member.position))
    }

    /// Returns the number of VMs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no VM is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn rebuild_index(&mut self) {
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
