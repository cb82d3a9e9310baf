//! Assignment of slots to processes, stored as one value in the platform.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::id::{DataCentreName, Incarnation, Revision, VmId};

/// Number of slots that keys hash into.
pub const SLOT_COUNT: usize = 64;

/// A daemon process that can hold slots.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Holder {
    /// VM of the process.
    pub vm: VmId,
    /// Start time of the process.
    pub incarnation: Incarnation,
}

impl Holder {
    /// Names the process `incarnation` on `vm`.
    #[must_use]
    pub fn new(vm: impl Into<VmId>, incarnation: Incarnation) -> Self {
        Self {
            vm: vm.into(),
            incarnation,
        }
    }
}

/// State of one VM, from membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeMember {
    /// Newest process known on the VM.
    pub holder: Holder,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Whether the process may get new slots.
    pub eligibility: Eligibility,
}

/// Whether a process may get new slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// Alive and not draining.
    Eligible,
    /// Suspected, unreachable or dead. The process gets no new slots and keeps those it has.
    Suspect,
    /// Draining. The process hands over its slots.
    Draining,
}

impl HomeMember {
    /// Returns whether the process may get new slots.
    #[must_use]
    pub fn is_eligible(&self) -> bool {
        self.eligibility == Eligibility::Eligible
    }
}

/// Holders of one slot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotHolders {
    /// Process that serves the slot.
    pub owner: Holder,
    /// Process that stores every entry before the owner uses it. None only if there is no other
    /// member.
    pub successor: Option<Holder>,
    /// Number of changes of this slot, from 1.
    pub epoch: u64,
    /// Epoch in which the owner became the owner.
    pub since: u64,
    /// Whether the owner started without the table of the slot, because it was lost.
    pub lost: bool,
}

impl SlotHolders {
    /// Returns the holders of the next epoch, with another successor.
    #[must_use]
    pub fn with_successor(&self, successor: Option<Holder>) -> Self {
        Self {
            successor,
            epoch: self.epoch + 1,
            ..self.clone()
        }
    }

    /// Returns the holders of the next epoch, with another owner. `lost` means that this owner does
    /// not have the table.
    #[must_use]
    pub fn with_owner(&self, owner: Holder, successor: Option<Holder>, lost: bool) -> Self {
        Self {
            owner,
            successor,
            epoch: self.epoch + 1,
            since: self.epoch + 1,
            lost,
        }
    }
}

/// Holders of all slots at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HomeMap {
    /// Revision of the value in the platform, which is not part of the value.
    #[serde(skip)]
    pub revision: Revision,
    /// Holders by slot.
    pub slots: Vec<SlotHolders>,
}

impl HomeMap {
    /// Creates the first assignment of all slots, or none if no member is eligible. Owners and
    /// successors alternate over the data centres, and within each over its members. A successor is
    /// in another data centre than the owner if there is one.
    #[must_use]
    pub fn initial(members: &[HomeMember]) -> Option<Self> {
        let mut centres: BTreeMap<&str, Vec<&Holder>> = BTreeMap::new();
        for member in members.iter().filter(|member| member.is_eligible()) {
            let holders = centres.entry(&*member.data_centre).or_default();
            holders.push(&member.holder);
        }
        let mut centres: Vec<Vec<&Holder>> = centres.into_values().collect();
        if centres.is_empty() {
            return None;
        }
        for holders in &mut centres {
            holders.sort();
        }
        let count = centres.len();
        let slots = (0..SLOT_COUNT).map(|slot| {
            let (centre, round) = (slot % count, slot / count);
            let own = &centres[centre];
            let owner = own[round % own.len()];
            let successor = if count > 1 {
                let step = 1 + round % (count - 1);
                let other = &centres[(centre + step) % count];
                Some(other[(round + slot) % other.len()])
            } else {
                (own.len() > 1).then(|| own[(round + 1) % own.len()])
            };
            SlotHolders {
                owner: owner.clone(),
                successor: successor.cloned(),
                epoch: 1,
                since: 1,
                lost: false,
            }
        });
        Some(Self {
            revision: 0,
            slots: slots.collect(),
        })
    }

    /// Sets the revision that the platform gave the value.
    #[must_use]
    pub const fn with_revision(mut self, revision: Revision) -> Self {
        self.revision = revision;
        self
    }

    /// Returns whether the map has the number of slots that this version expects.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.slots.len() == SLOT_COUNT
    }

    /// Returns the holders of the slot of a key.
    #[must_use]
    pub fn holders(&self, service: &str, key: &str) -> &SlotHolders {
        &self.slots[slot_of(service, key)]
    }

    /// Returns the number of slots that each process owns or succeeds.
    pub(crate) fn held_counts(&self) -> HashMap<&Holder, usize> {
        let mut held = HashMap::new();
        for slot in &self.slots {
            for holder in [Some(&slot.owner), slot.successor.as_ref()]
                .into_iter()
                .flatten()
            {
                *held.entry(holder).or_default() += 1;
            }
        }
        held
    }

    /// Returns the best eligible member to hold a slot together with `owner`. Members in another
    /// data centre come first, then those with the fewest slots, then the order of a hash that
    /// differs from slot to slot.
    #[must_use]
    pub fn candidate(
        &self,
        slot: usize,
        members: &[HomeMember],
        owner: &Holder,
        avoid: &[&Holder],
    ) -> Option<Holder> {
        let centre = members.iter().find(|member| member.holder == *owner);
        let centre = centre.map(|member| &member.data_centre);
        let allowed = |member: &&HomeMember| {
            member.is_eligible() && member.holder != *owner && !avoid.contains(&&member.holder)
        };
        let held = self.held_counts();
        let cost = |member: &&HomeMember| {
            let vm = member.holder.vm.as_bytes();
            (
                Some(&member.data_centre) == centre,
                held.get(&member.holder).copied().unwrap_or(0),
                xxh3_64_with_seed(vm, slot as u64),
            )
        };
        let found = members.iter().filter(allowed).min_by_key(cost);
        found.map(|member| member.holder.clone())
    }
}

/// Returns the slot of a key.
#[must_use]
pub fn slot_of(service: &str, key: &str) -> usize {
    (xxh3_64(full_key(service, key).as_bytes()) % SLOT_COUNT as u64) as usize
}

/// Joins service and key into one string. It is unambiguous, because a service name contains no
/// line break.
pub(crate) fn full_key(service: &str, key: &str) -> String {
    format!("{service}\n{key}")
}
