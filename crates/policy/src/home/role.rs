//! What a process is for one slot.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use super::message::CopyPart;
use super::table::{FullKey, Table};
use super::{COPY_PART, GRANT_DURATION, Holder, KEEP, KeyEntry, SILENT_REQUESTS, SlotHolders};
use crate::id::TicketId;

/// A claim that waits for its reply.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) request: u64,
    pub(super) offered: TicketId,
    pub(super) since: Instant,
}

/// Claims that wait until the successor has stored the entry.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) waiters: Vec<Waiter>,
    pub(super) sent: Instant,
}

#[derive(Debug)]
pub(super) struct Copying {
    pub(super) id: u64,
    pub(super) parts: Vec<Vec<KeyEntry>>,
    pub(super) index: usize,
    pub(super) sent: Option<Instant>,
}

#[derive(Debug)]
pub(super) struct Owner {
    pub(super) epoch: u64,
    pub(super) since: u64,
    pub(super) successor: Option<Holder>,
    /// None if the map names this process without it ever having had the table.
    pub(super) table: Option<Table>,
    pub(super) quarantine: Option<Instant>,
    /// Copy to the successor that is not complete.
    pub(super) copying: Option<Copying>,
    pub(super) granted_until: Option<Instant>,
    pub(super) heard: Instant,
    pub(super) unanswered: u32,
    pub(super) last_asked: Option<Instant>,
    pub(super) asked: VecDeque<(u64, Instant)>,
    pub(super) stores: VecDeque<(u64, FullKey, u8)>,
    pub(super) waiting: HashMap<FullKey, Waiting>,
    /// The slot was offered to the successor, so this process serves it no more.
    pub(super) stopped: bool,
}

impl Owner {
    /// Whether the successor has not answered for the length of a grant.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        self.unanswered >= SILENT_REQUESTS && now - self.heard > GRANT_DURATION
    }
}

#[derive(Debug)]
pub(super) struct Successor {
    pub(super) epoch: u64,
    pub(super) owner: Holder,
    pub(super) table: Table,
    pub(super) quarantine: Option<Instant>,
    /// Copy and next part that is expected.
    pub(super) copy: (u64, usize),
    /// Since the table is whole: end of the last grant given.
    pub(super) granted_until: Option<Instant>,
}

impl Successor {
    /// Grants, if the table is whole.
    pub(super) fn grant(&mut self, now: Instant) -> bool {
        let whole = self.granted_until.is_some();
        if whole {
            self.granted_until = Some(now + GRANT_DURATION);
        }
        whole
    }

    /// Stores an entry, or the expected part of a copy.
    pub(super) fn store(
        &mut self,
        now: Instant,
        entries: Vec<KeyEntry>,
        copy: Option<CopyPart>,
    ) -> bool {
        self.table.expire(now);
        let Some(part) = copy else {
            let whole = self.granted_until.is_some();
            if whole {
                self.insert(now, entries);
            }
            return whole;
        };
        let (id, next) = self.copy;
        if part.id > id && part.index == 0 {
            self.table = Table::default();
            self.granted_until = None;
            self.copy = (part.id, 0);
        } else if part.id != id || part.index > next {
            return false;
        } else if part.index < next {
            return true;
        }
        self.copy.1 += 1;
        self.insert(now, entries);
        self.quarantine = (!part.quarantine.is_zero()).then(|| now + part.quarantine);
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

/// What this process is for a slot.
#[derive(Debug, Default)]
pub(super) enum Role {
    #[default]
    None,
    Owner(Box<Owner>),
    Successor(Box<Successor>),
}

impl Role {
    /// The role of successor, without the table until the owner has copied it.
    pub(super) fn successor(holders: &SlotHolders) -> Self {
        Self::Successor(Box::new(Successor {
            epoch: holders.epoch,
            owner: holders.owner.clone(),
            table: Table::default(),
            quarantine: None,
            copy: (0, 0),
            granted_until: None,
        }))
    }

    /// The role of owner. It keeps the table of the old role only where that is whole.
    pub(super) fn owner(
        now: Instant,
        old: Self,
        holders: &SlotHolders,
        sequence: &mut u64,
    ) -> Self {
        let initial = holders.epoch == holders.since;
        let (table, quarantine, waiting) = match old {
            Self::Owner(role) if role.since == holders.since => {
                let role = *role;
                (role.table, role.quarantine, role.waiting)
            }
            Self::Successor(role)
                if role.granted_until.is_some()
                    && initial
                    && !holders.lost
                    && role.epoch + 1 == holders.epoch =>
            {
                let role = *role;
                (Some(role.table), role.quarantine, HashMap::new())
            }
            _ if initial && holders.lost => {
                (Some(Table::default()), Some(now + KEEP), HashMap::new())
            }
            _ if initial && holders.epoch == 1 => (Some(Table::default()), None, HashMap::new()),
            _ => (None, None, HashMap::new()),
        };
        let parts = table.as_ref().map(|table| table.parts(COPY_PART));
        let copying = parts.filter(|_| holders.successor.is_some()).map(|parts| {
            let id = *sequence + 1;
            // Every part has a sequence of its own, so that a reply names its part.
            *sequence += parts.len() as u64;
            Copying {
                id,
                parts,
                index: 0,
                sent: None,
            }
        });
        Self::Owner(Box::new(Owner {
            epoch: holders.epoch,
            since: holders.since,
            successor: holders.successor.clone(),
            table,
            quarantine,
            copying,
            granted_until: None,
            heard: now,
            unanswered: 0,
            last_asked: None,
            asked: VecDeque::new(),
            stores: VecDeque::new(),
            waiting,
            stopped: false,
        }))
    }
}
