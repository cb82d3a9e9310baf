//! The assignment of slots to processes, one value in the platform.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::id::{DataCentreName, Incarnation, Revision, VmId};

/// Number of slots that keys hash into.
pub const SLOT_COUNT: usize = 64;

/// One daemon process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Holder {
    /// VM of the process.
    pub vm: VmId,
    /// Start of the process.
    pub incarnation: Incarnation,
}

impl Holder {
    /// The process `incarnation` on `vm`.
    #[must_use]
    pub fn new(vm: impl Into<VmId>, incarnation: Incarnation) -> Self {
        Self {
            vm: vm.into(),
            incarnation,
        }
    }
}

/// What membership knows of one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeMember {
    /// Newest process known on the VM.
    pub holder: Holder,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Whether the process may hold slots.
    pub eligibility: Eligibility,
}

/// Whether a process may hold slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// Alive and staying.
    Eligible,
    /// Suspected, unreachable or dead. It gets no slots, and keeps those it has.
    Suspect,
    /// Draining. It gives its slots away.
    Draining,
}

impl HomeMember {
    /// Whether the process may get slots.
    #[must_use]
    pub fn is_eligible(&self) -> bool {
        self.eligibility == Eligibility::Eligible
    }
}

/// Holders of one slot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotHolders {
    /// Serves the slot.
    pub owner: Holder,
    /// Stores every entry before the owner uses it. None only while there is no other member.
    pub successor: Option<Holder>,
    /// Number of changes of this slot, from 1.
    pub epoch: u64,
    /// Epoch in which the owner became the owner.
    pub since: u64,
    /// Whether the owner began without the table of the slot.
    pub lost: bool,
}

impl SlotHolders {
    /// The same owner with another successor.
    #[must_use]
    pub fn with_successor(&self, successor: Option<Holder>) -> Self {
        Self {
            successor,
            epoch: self.epoch + 1,
            ..self.clone()
        }
    }

    /// Another owner, which holds the table unless it is `lost`.
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

/// Holders of all slots at one revision of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HomeMap {
    /// Revision of the value in the platform. It is not part of the value.
    #[serde(skip)]
    pub revision: Revision,
    /// Holders by slot.
    pub slots: Vec<SlotHolders>,
}

impl HomeMap {
    /// Assigns all slots for the first time. Owners and successors alternate over the data centres
    /// and over the members of each; a successor is in another data centre if there is one. The
    /// result is none without a usable member.
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

    /// Whether the value has the number of slots of this version.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.slots.len() == SLOT_COUNT
    }

    /// Holders of the slot of a key.
    #[must_use]
    pub fn holders(&self, service: &str, key: &str) -> &SlotHolders {
        &self.slots[slot_of(service, key)]
    }

    /// Numbers of slots that each process owns or succeeds.
    pub(crate) fn held(&self) -> HashMap<&Holder, usize> {
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

    /// The usable member that suits best beside `owner`: in another data centre, holding the fewest
    /// slots, then by a hash that differs from slot to slot.
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
        let fits = |member: &&HomeMember| {
            member.is_eligible() && member.holder != *owner && !avoid.contains(&&member.holder)
        };
        let held = self.held();
        let cost = |member: &&HomeMember| {
            let vm = member.holder.vm.as_bytes();
            (
                Some(&member.data_centre) == centre,
                held.get(&member.holder).copied().unwrap_or(0),
                xxh3_64_with_seed(vm, slot as u64),
            )
        };
        let found = members.iter().filter(fits).min_by_key(cost);
        found.map(|member| member.holder.clone())
    }
}

/// Slot of a key.
#[must_use]
pub fn slot_of(service: &str, key: &str) -> usize {
    (xxh3_64(full_key(service, key).as_bytes()) % SLOT_COUNT as u64) as usize
}

/// Service and key in one string, without ambiguity because a service has no line break.
pub(crate) fn full_key(service: &str, key: &str) -> String {
    format!("{service}\n{key}")
}
