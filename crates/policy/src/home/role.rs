//! Role of this process for one slot: owner, successor or none.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use super::message::CopyPart;
use super::table::{FullKey, KeyTable};
use super::{
    COPY_PART_ENTRIES, ENTRY_LIFETIME, GRANT_DURATION, Holder, KeyEntry, SlotHolders,
    UNRESPONSIVE_REQUEST_COUNT,
};
use crate::id::TicketId;

/// A claim without a reply yet.
#[derive(Debug)]
pub(super) struct PendingClaim {
    pub(super) request: u64,
    pub(super) offered: TicketId,
    pub(super) since: Instant,
}

/// Claims for an entry that the successor has not confirmed, and when the entry was last sent.
#[derive(Debug)]
pub(super) struct PendingEntry {
    pub(super) claims: Vec<PendingClaim>,
    pub(super) sent_at: Instant,
}

/// A copy of the table to the successor, sent part by part.
#[derive(Debug)]
pub(super) struct CopyProgress {
    pub(super) id: u64,
    pub(super) parts: Vec<Vec<KeyEntry>>,
    pub(super) index: usize,
    pub(super) sent_at: Option<Instant>,
}

#[derive(Debug)]
pub(super) struct Owner {
    pub(super) epoch: u64,
    /// Epoch in which this process became the owner.
    pub(super) since: u64,
    pub(super) successor: Option<Holder>,
    /// None if the map names this process as the owner, but it never had the table.
    pub(super) table: Option<KeyTable>,
    pub(super) quarantined_until: Option<Instant>,
    /// Unfinished copy of the table to the successor.
    pub(super) copying: Option<CopyProgress>,
    pub(super) granted_until: Option<Instant>,
    pub(super) last_reply: Instant,
    /// Grant requests and copy parts sent since the last reply.
    pub(super) unanswered: u32,
    pub(super) last_request: Option<Instant>,
    /// Sequence and send time of the grant requests without a reply.
    pub(super) grant_requests: VecDeque<(u64, Instant)>,
    /// Sequence, key and version of the stores without a reply.
    pub(super) stores_in_flight: VecDeque<(u64, FullKey, u8)>,
    pub(super) pending_entries: HashMap<FullKey, PendingEntry>,
    /// Whether a handover was requested, after which this process no longer serves the slot.
    pub(super) stopped: bool,
}

impl Owner {
    /// Returns whether the successor has not replied for the length of a grant.
    pub(super) fn is_unresponsive(&self, now: Instant) -> bool {
        self.unanswered >= UNRESPONSIVE_REQUEST_COUNT && now - self.last_reply > GRANT_DURATION
    }
}

#[derive(Debug)]
pub(super) struct Successor {
    pub(super) epoch: u64,
    pub(super) owner: Holder,
    pub(super) table: KeyTable,
    pub(super) quarantined_until: Option<Instant>,
    /// Number of the current copy, and index of its next part.
    pub(super) expected_part: (u64, usize),
    /// End of the last grant. None until the table is complete.
    pub(super) granted_until: Option<Instant>,
}

impl Successor {
    /// Extends the grant if the table is complete, and returns whether it is.
    pub(super) fn grant(&mut self, now: Instant) -> bool {
        let complete = self.granted_until.is_some();
        if complete {
            self.granted_until = Some(now + GRANT_DURATION);
        }
        complete
    }

    /// Stores entries, or the expected part of a copy. Returns whether they are stored.
    pub(super) fn store(
        &mut self,
        now: Instant,
        entries: Vec<KeyEntry>,
        copy: Option<CopyPart>,
    ) -> bool {
        self.table.expire(now);
        let Some(part) = copy else {
            let complete = self.granted_until.is_some();
            if complete {
                self.insert(now, entries);
            }
            return complete;
        };
        let (id, next) = self.expected_part;
        if part.id > id && part.index == 0 {
            self.table = KeyTable::default();
            self.granted_until = None;
            self.expected_part = (part.id, 0);
        } else if part.id != id || part.index > next {
            return false;
        } else if part.index < next {
            return true;
        }
        self.expected_part.1 += 1;
        self.insert(now, entries);
        self.quarantined_until = (!part.quarantine.is_zero()).then(|| now + part.quarantine);
        if part.last {
            self.granted_until = Some(now + GRANT_DURATION);
        }
        true
    }

    fn insert(&mut self, now: Instant, entries: Vec<KeyEntry>) {
        for entry in entries {
            self.table.store(now, entry, true);
        }
    }
}

/// Role of this process for a slot.
#[derive(Debug, Default)]
pub(super) enum Role {
    #[default]
    None,
    Owner(Box<Owner>),
    Successor(Box<Successor>),
}

impl Role {
    /// Creates the role of successor, without entries until the owner has copied them.
    pub(super) fn successor(holders: &SlotHolders) -> Self {
        Self::Successor(Box::new(Successor {
            epoch: holders.epoch,
            owner: holders.owner.clone(),
            table: KeyTable::default(),
            quarantined_until: None,
            expected_part: (0, 0),
            granted_until: None,
        }))
    }

    /// Creates the role of owner. It keeps the table of the old role only if that table is
    /// complete.
    pub(super) fn owner(
        now: Instant,
        old: Self,
        holders: &SlotHolders,
        sequence: &mut u64,
    ) -> Self {
        let owner_changed = holders.epoch == holders.since;
        let (table, quarantined_until, pending_entries) = match old {
            Self::Owner(role) if role.since == holders.since => {
                let role = *role;
                (role.table, role.quarantined_until, role.pending_entries)
            }
            Self::Successor(role)
                if role.granted_until.is_some()
                    && owner_changed
                    && !holders.lost
                    && role.epoch + 1 == holders.epoch =>
            {
                let role = *role;
                (Some(role.table), role.quarantined_until, HashMap::new())
            }
            _ if owner_changed && holders.lost => (
                Some(KeyTable::default()),
                Some(now + ENTRY_LIFETIME),
                HashMap::new(),
            ),
            _ if owner_changed && holders.epoch == 1 => {
                (Some(KeyTable::default()), None, HashMap::new())
            }
            _ => (None, None, HashMap::new()),
        };
        let parts = table.as_ref().map(|table| table.parts(COPY_PART_ENTRIES));
        let copying = parts.filter(|_| holders.successor.is_some()).map(|parts| {
            let id = *sequence + 1;
            // Every part has its own sequence number, so that a reply identifies its part.
            *sequence += parts.len() as u64;
            CopyProgress {
                id,
                parts,
                index: 0,
                sent_at: None,
            }
        });
        Self::Owner(Box::new(Owner {
            epoch: holders.epoch,
            since: holders.since,
            successor: holders.successor.clone(),
            table,
            quarantined_until,
            copying,
            granted_until: None,
            last_reply: now,
            unanswered: 0,
            last_request: None,
            grant_requests: VecDeque::new(),
            stores_in_flight: VecDeque::new(),
            pending_entries,
            stopped: false,
        }))
    }
}
