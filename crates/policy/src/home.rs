//! Replicated tables that map idempotency keys to tickets.
//!
//! They serve callers that choose a key for a call and cannot send a ticket. Keys hash into
//! [`SLOT_COUNT`] slots. A [`HomeMap`] in the platform names an owner and a successor for each
//! slot: the owner serves its table, and the successor holds a replica. [`HomeNode`] is the state
//! machine of one daemon: events go in, and messages, compare-and-swap requests and replies come
//! out.
//!
//! A ticket that was given out for a key is kept for as long as the key may be resent:
//!
//! - The owner gives out a ticket only after the successor has stored it, and only while it has a
//!   grant, which is a lease from the successor.
//! - Owner and successor change only by compare-and-swap. A new owner either has the table, or
//!   refuses claims until no key of the lost table may be resent.
//! - A successor that has requested a takeover neither grants nor stores until it knows that the
//!   request had no effect. A request whose reply is lost may still take effect later.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::id::{Revision, VmId};
use crate::safeguard::{Safeguard, Safeguards};
use crate::ticket::{TICKET_LIFETIME, unix_ms};

#[cfg(test)]
mod fuzz;
mod map;
#[cfg(test)]
mod matrix;
mod message;
mod role;
#[cfg(test)]
mod simulation;
mod table;
#[cfg(test)]
mod tests;

pub use map::{Eligibility, Holder, HomeMap, HomeMember, SLOT_COUNT, SlotHolders, slot_of};
pub use message::{Action, Claim, ClaimReply, CopyPart, Event, Message, MessageBody, SwapOutcome};
pub use table::KeyEntry;

use map::full_key;
use role::{Owner, PendingClaim, PendingEntry, Role, Successor};
use table::{FullKey, KeyTable};

/// Time for which a caller may resend a key.
pub const KEY_RETENTION: Duration = Duration::from_mins(15);
/// Additional time for which entries are kept, to cover calls in flight, clock offsets and drift.
pub const KEY_RETENTION_MARGIN: Duration = Duration::from_mins(2);
/// Length of a grant, which the owner counts from the sending of its request.
pub const GRANT_DURATION: Duration = Duration::from_secs(3);
/// Time between two grant requests.
pub const GRANT_INTERVAL: Duration = Duration::from_secs(1);
/// Time that the successor waits after the end of its last grant before it takes over.
pub const TAKEOVER_DELAY: Duration = Duration::from_secs(1);
/// Claims whose ticket was issued longer ago, or further in the future, than this are refused.
pub const MAX_CLAIM_AGE: Duration = Duration::from_secs(30);
/// Maximum length of service name and key together, in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// Time for which an entry is kept.
const ENTRY_LIFETIME: Duration = KEY_RETENTION.saturating_add(KEY_RETENTION_MARGIN);
/// Time after which a store without a reply is sent again.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a claim waits for the successor before it is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which the outcome of a compare-and-swap counts as unknown.
const SWAP_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum random wait after the outcome of a compare-and-swap before the next one is sent.
const MAX_SWAP_JITTER: Duration = Duration::from_millis(500);
/// Minimum time between two reads of the map, except after a compare-and-swap that is not known to
/// have succeeded.
const MIN_MAP_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two attempts to move a slot for balance.
const BALANCE_INTERVAL: Duration = Duration::from_secs(10);
/// Gap between two ticks beyond which the process is considered to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Wait before the first map is created, so that members that start together know each other.
const MAP_CREATION_DELAY: Duration = Duration::from_secs(5);
/// Time for which an unresponsive process gets no slots. Within it, membership detects that a
/// process has exited.
const UNRESPONSIVE_EXCLUSION: Duration = Duration::from_secs(30);
/// Number of requests without a reply before a successor counts as unresponsive.
const UNRESPONSIVE_REQUEST_COUNT: u32 = 3;
/// Maximum number of entries in one part of a copy.
const COPY_PART_ENTRIES: usize = 2_000;

/// Bounds of one [`HomeNode`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeLimits {
    /// Maximum number of entries per slot.
    pub slot_entries: usize,
}

impl Default for HomeLimits {
    fn default() -> Self {
        Self {
            slot_entries: 100_000,
        }
    }
}

/// Counters since the start, and current sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HomeStats {
    /// Slots of which this process is the owner.
    pub owned: usize,
    /// Slots of which this process is the successor.
    pub succeeded: usize,
    /// Entries in the tables of these slots.
    pub entries: usize,
    /// Compare-and-swap requests sent.
    pub swaps_sent: u64,
    /// Claims to which the reply was a ticket.
    pub claims_answered: u64,
    /// Claims refused.
    pub claims_refused: u64,
}

/// A compare-and-swap request whose outcome is not known yet.
#[derive(Debug)]
struct PendingSwap {
    sequence: u64,
    map: HomeMap,
    sent_at: Instant,
}

/// State machine of one daemon for all slots that it owns or succeeds.
#[derive(Debug)]
pub struct HomeNode {
    me: Holder,
    limits: HomeLimits,
    map: Option<HomeMap>,
    /// Whether the platform is known to hold no map.
    no_map: bool,
    members: Vec<HomeMember>,
    /// Processes that did not reply, and until when they get no slots.
    unresponsive: Vec<(Holder, Instant)>,
    /// Index into `members` by VM.
    member_index: HashMap<VmId, usize>,
    roles: Vec<Role>,
    /// Revision that a takeover request of this process expects, by slot, while its effect is
    /// unknown.
    pending_takeovers: [Option<Revision>; SLOT_COUNT],
    pending_swap: Option<PendingSwap>,
    next_swap: Option<Instant>,
    next_read: Option<Instant>,
    next_balance: Option<Instant>,
    last_tick: Option<Instant>,
    /// First tick, or first tick after the last pause of this process.
    resumed_at: Option<Instant>,
    draining: bool,
    sequence: u64,
    /// Epoch for which an operator has confirmed that the holders have exited, by slot. It does not
    /// apply to other epochs.
    confirmed_lost: [u64; SLOT_COUNT],
    /// Whether membership proves that all holders have exited, by slot.
    holders_exited: [bool; SLOT_COUNT],
    rng: SmallRng,
    stats: HomeStats,
    safeguards: Safeguards,
}

impl HomeNode {
    /// Creates a node without slots. Seeds must differ between processes, so that their jitter
    /// does.
    #[must_use]
    pub fn new(me: Holder, limits: HomeLimits, seed: u64) -> Self {
        Self {
            me,
            limits,
            map: None,
            no_map: false,
            members: Vec::new(),
            unresponsive: Vec::new(),
            member_index: HashMap::new(),
            roles: (0..SLOT_COUNT).map(|_| Role::None).collect(),
            pending_takeovers: [None; SLOT_COUNT],
            pending_swap: None,
            next_swap: None,
            next_read: None,
            next_balance: None,
            last_tick: None,
            resumed_at: None,
            draining: false,
            sequence: 0,
            confirmed_lost: [0; SLOT_COUNT],
            holders_exited: [false; SLOT_COUNT],
            rng: SmallRng::seed_from_u64(seed),
            stats: HomeStats::default(),
            safeguards: Safeguards::default(),
        }
    }

    #[cfg(test)]
    pub(crate) fn with_safeguards(mut self, safeguards: Safeguards) -> Self {
        self.safeguards = safeguards;
        self
    }

    /// Returns the newest known map.
    #[must_use]
    pub const fn map(&self) -> Option<&HomeMap> {
        self.map.as_ref()
    }

    /// Returns whether this process holds no slots, so that a drain may end.
    #[must_use]
    pub fn holds_no_slots(&self) -> bool {
        self.roles.iter().all(|role| matches!(role, Role::None))
    }

    /// Returns whether this process serves claims for the slot now.
    #[must_use]
    pub fn serves(&self, now: Instant, slot: usize) -> bool {
        let Role::Owner(owner) = &self.roles[slot] else {
            return false;
        };
        let quarantined =
            self.safeguards.enforces(Safeguard::Quarantine) && self.is_quarantined(now, slot);
        let granted = match owner.granted_until {
            _ if owner.successor.is_none() => true,
            Some(until) => now < until || !self.safeguards.enforces(Safeguard::GrantExpiry),
            None => false,
        };
        let stopped = owner.stopped && self.safeguards.enforces(Safeguard::HandOverStop);
        owner.table.is_some() && !stopped && !quarantined && granted
    }

    /// Returns whether this process owns the slot but refuses claims because the table was lost.
    #[must_use]
    pub fn is_quarantined(&self, now: Instant, slot: usize) -> bool {
        match &self.roles[slot] {
            Role::Owner(owner) => owner.quarantined_until.is_some_and(|until| now < until),
            Role::Successor(_) | Role::None => false,
        }
    }

    /// Returns counters and current sizes.
    #[must_use]
    pub fn stats(&self) -> HomeStats {
        let mut stats = self.stats;
        for role in &self.roles {
            match role {
                Role::None => {}
                Role::Owner(owner) => {
                    stats.owned += 1;
                    stats.entries += owner.table.as_ref().map_or(0, KeyTable::len);
                }
                Role::Successor(successor) => {
                    stats.succeeded += 1;
                    stats.entries += successor.table.len();
                }
            }
        }
        stats
    }

    /// Returns an estimate of the memory used by the tables in bytes.
    #[must_use]
    pub fn memory(&self) -> usize {
        let table_memory = |role: &Role| match role {
            Role::None => 0,
            Role::Owner(owner) => owner.table.as_ref().map_or(0, KeyTable::memory),
            Role::Successor(successor) => successor.table.memory(),
        };
        self.roles.iter().map(table_memory).sum()
    }

    /// Handles an event and returns the resulting actions. `now` must not go back.
    #[must_use]
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Map(map) => self.adopt_map(now, map, &mut out),
            Event::NoMap => self.no_map = self.map.is_none(),
            Event::SwapResult(sequence, outcome) => self.end_swap(now, sequence, outcome, &mut out),
            Event::Members(members) => {
                let indexed = members.iter().enumerate();
                self.member_index = indexed
                    .map(|(at, member)| (Arc::clone(&member.holder.vm), at))
                    .collect();
                self.members = members;
                self.update_holders_exited();
            }
            Event::Claim(request, claim, wall) => {
                if !self.handle_claim(now, request, claim, wall, &mut out) {
                    self.refuse_claim(request, &mut out);
                }
            }
            Event::Message(from, message) => self.handle_message(now, &from, message, &mut out),
            Event::Drain => self.draining = true,
            Event::Reassign(slot, epoch) => self.confirmed_lost[slot % SLOT_COUNT] = epoch,
        }
        out
    }

    fn refuse_claim(&mut self, request: u64, out: &mut Vec<Action>) {
        self.stats.claims_refused += 1;
        out.push(Action::Reply(
            request,
            ClaimReply::Unavailable(self.revision()),
        ));
    }

    fn revision(&self) -> Revision {
        self.map.as_ref().map_or(0, |map| map.revision)
    }

    const fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    fn message(&self, slot: usize, epoch: u64, sequence: u64, body: MessageBody) -> Message {
        Message {
            slot,
            epoch,
            revision: self.revision(),
            sequence,
            body,
        }
    }

    // Claims.

    /// Replies to a claim now or later. Returns false if the claim must be refused.
    fn handle_claim(
        &mut self,
        now: Instant,
        request: u64,
        claim: Claim,
        wall: SystemTime,
        out: &mut Vec<Action>,
    ) -> bool {
        let key = full_key(&claim.service, &claim.key);
        let slot = slot_of(&claim.service, &claim.key);
        // A delayed claim could arrive after the entry of its key has expired.
        let issued_ms = claim
            .ticket
            .expires_ms
            .saturating_sub(TICKET_LIFETIME.as_millis() as u64);
        let timely = issued_ms.abs_diff(unix_ms(wall)) <= MAX_CLAIM_AGE.as_millis() as u64
            || !self.safeguards.enforces(Safeguard::ClaimAge);
        if !timely || key.len() > MAX_KEY_BYTES || !self.serves(now, slot) {
            return false;
        }
        let limit = self.limits.slot_entries;
        let store_first = self.safeguards.enforces(Safeguard::StoreFirst);
        let Role::Owner(owner) = &mut self.roles[slot] else {
            return false;
        };
        let no_successor = owner.successor.is_none();
        let Some(table) = &mut owner.table else {
            return false;
        };
        table.expire(now);
        let offered = claim.ticket.id;
        let stored = table.get(&key);
        let new_version = match stored {
            None if table.len() >= limit => return false,
            None => Some(0),
            Some(entry) => {
                let replaced = claim.replaces == Some(entry.ticket.id);
                (replaced && entry.confirmed && entry.version < claim.extra_attempts)
                    .then(|| entry.version + 1)
            }
        };
        let key = FullKey::from(key);
        if let Some(version) = new_version {
            let entry = KeyEntry {
                key: Arc::clone(&key),
                ticket: claim.ticket,
                version,
            };
            table.store(now, entry, no_successor || !store_first);
        }
        let pending_claim = PendingClaim {
            request,
            offered,
            since: now,
        };
        let first = !owner.pending_entries.contains_key(&key);
        let pending = owner
            .pending_entries
            .entry(Arc::clone(&key))
            .or_insert_with(|| PendingEntry {
                claims: Vec::new(),
                sent_at: now,
            });
        pending.claims.push(pending_claim);
        if first && !no_successor {
            self.send_store(now, slot, &key, out);
        }
        self.reply_to_claims(now, slot, out);
        true
    }

    /// Sends an entry to the successor unless it is already confirmed.
    fn send_store(&mut self, now: Instant, slot: usize, key: &FullKey, out: &mut Vec<Action>) {
        let sequence = self.next_sequence();
        let Role::Owner(owner) = &mut self.roles[slot] else {
            return;
        };
        let entry = owner.table.as_ref().and_then(|table| table.get(key));
        let (Some(entry), Some(successor)) = (entry, owner.successor.clone()) else {
            return;
        };
        if entry.confirmed || owner.copying.is_some() {
            return;
        }
        if let Some(pending) = owner.pending_entries.get_mut(key) {
            pending.sent_at = now;
        }
        let sent = KeyEntry {
            key: Arc::clone(key),
            ticket: entry.ticket.clone(),
            version: entry.version,
        };
        owner
            .stores_in_flight
            .push_back((sequence, Arc::clone(key), entry.version));
        let epoch = owner.epoch;
        let body = MessageBody::Store(vec![sent], None);
        out.push(Action::Send(
            successor,
            self.message(slot, epoch, sequence, body),
        ));
    }

    /// Replies to the claims whose entries the successor has stored.
    fn reply_to_claims(&mut self, now: Instant, slot: usize, out: &mut Vec<Action>) {
        if !self.serves(now, slot) {
            return;
        }
        let Role::Owner(owner) = &mut self.roles[slot] else {
            return;
        };
        let Some(table) = &owner.table else {
            return;
        };
        let answered = &mut self.stats.claims_answered;
        owner.pending_entries.retain(|key, pending| {
            let Some(entry) = table.get(key).filter(|entry| entry.confirmed) else {
                return true;
            };
            for claim in pending.claims.drain(..) {
                let ticket = entry.ticket.clone();
                let reply = if claim.offered == ticket.id {
                    ClaimReply::Stored(ticket)
                } else {
                    ClaimReply::Found(ticket)
                };
                *answered += 1;
                out.push(Action::Reply(claim.request, reply));
            }
            false
        });
    }

    // Messages.

    fn handle_message(
        &mut self,
        now: Instant,
        from: &Holder,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        if message.revision > self.revision() {
            self.read_map(now, out);
        }
        let Message {
            slot,
            epoch,
            sequence,
            body,
            ..
        } = message;
        if slot >= SLOT_COUNT {
            return;
        }
        let body = match body {
            MessageBody::Grant => {
                let role = self.successor_role(from, slot, epoch);
                MessageBody::GrantReply(role.is_some_and(|role| role.grant(now)))
            }
            MessageBody::Store(entries, copy) => {
                let role = self.successor_role(from, slot, epoch);
                let stored = role.is_some_and(|role| role.store(now, entries, copy));
                MessageBody::StoreReply(stored)
            }
            MessageBody::GrantReply(granted) => {
                return self.handle_grant_reply(now, from, slot, epoch, sequence, granted, out);
            }
            MessageBody::StoreReply(stored) => {
                return self.handle_store_reply(now, from, slot, epoch, sequence, stored, out);
            }
        };
        let reply = self.message(slot, epoch, sequence, body);
        out.push(Action::Send(from.clone(), reply));
    }

    /// Returns the role of successor to the owner `from` in `epoch`, unless a takeover is pending.
    fn successor_role(&mut self, from: &Holder, slot: usize, epoch: u64) -> Option<&mut Successor> {
        if self.pending_takeovers[slot].is_some()
            && self.safeguards.enforces(Safeguard::PendingTakeover)
        {
            return None;
        }
        match &mut self.roles[slot] {
            Role::Successor(role) if role.epoch == epoch && role.owner == *from => Some(role),
            _ => None,
        }
    }

    /// Returns the role of owner whose successor is `from` in `epoch`.
    fn owner_role(&mut self, from: &Holder, slot: usize, epoch: u64) -> Option<&mut Owner> {
        match &mut self.roles[slot] {
            Role::Owner(role) if role.epoch == epoch && role.successor.as_ref() == Some(from) => {
                Some(role)
            }
            _ => None,
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "the fields of a message, destructured by the caller"
    )]
    fn handle_grant_reply(
        &mut self,
        now: Instant,
        from: &Holder,
        slot: usize,
        epoch: u64,
        sequence: u64,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(role) = self.owner_role(from, slot, epoch) else {
            return;
        };
        let request = role
            .grant_requests
            .iter()
            .find(|(number, _)| *number == sequence);
        if let Some(&(_, sent)) = request
            && granted
        {
            role.granted_until = role.granted_until.max(Some(sent + GRANT_DURATION));
            role.grant_requests.retain(|(number, _)| *number > sequence);
            role.last_reply = now;
            role.unanswered = 0;
            self.reply_to_claims(now, slot, out);
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "the fields of a message, destructured by the caller"
    )]
    fn handle_store_reply(
        &mut self,
        now: Instant,
        from: &Holder,
        slot: usize,
        epoch: u64,
        sequence: u64,
        stored: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(role) = self.owner_role(from, slot, epoch) else {
            return;
        };
        if !stored {
            return;
        }
        role.last_reply = now;
        role.unanswered = 0;
        if let Some(copying) = &mut role.copying {
            let (part_sequence, index) = (copying.id + copying.index as u64, copying.index + 1);
            if sequence != part_sequence {
                return;
            }
            copying.index = index;
            copying.sent_at = None;
            if index == copying.parts.len() {
                role.copying = None;
                if let Some(table) = &mut role.table {
                    table.confirm_all();
                }
            }
            self.maintain_slot(now, slot, out);
        } else if let Some(at) = role
            .stores_in_flight
            .iter()
            .position(|store| store.0 == sequence)
        {
            if let (Some((_, key, version)), Some(table)) =
                (role.stores_in_flight.remove(at), &mut role.table)
            {
                table.confirm(&key, version);
            }
            self.reply_to_claims(now, slot, out);
        }
    }

    // Timers.

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self
            .last_tick
            .is_none_or(|last| now - last > PAUSE_THRESHOLD)
        {
            self.resumed_at = Some(now);
        }
        self.last_tick = Some(now);
        self.unresponsive.retain(|(_, until)| now < *until);
        for slot in 0..SLOT_COUNT {
            if !matches!(self.roles[slot], Role::None) {
                self.maintain_slot(now, slot, out);
                self.time_out_claims(now, slot, out);
            }
        }
        if self.map.is_none() {
            self.read_map(now, out);
        }
        self.change_map(now, out);
    }

    /// Removes expired entries and, as the owner, continues a copy, renews the grant and
    /// retransmits stores.
    fn maintain_slot(&mut self, now: Instant, slot: usize, out: &mut Vec<Action>) {
        let sequence = self.next_sequence();
        let Role::Owner(role) = &mut self.roles[slot] else {
            if let Role::Successor(role) = &mut self.roles[slot] {
                role.table.expire(now);
            }
            return;
        };
        let (Some(table), Some(successor)) = (&mut role.table, role.successor.clone()) else {
            return;
        };
        table.expire(now);
        let epoch = role.epoch;
        if let Some(copying) = &mut role.copying {
            if copying
                .sent_at
                .is_some_and(|sent| now - sent < RETRANSMIT_INTERVAL)
            {
                return;
            }
            copying.sent_at = Some(now);
            role.unanswered += 1;
            let part = CopyPart {
                id: copying.id,
                index: copying.index,
                last: copying.index + 1 == copying.parts.len(),
                quarantine: role
                    .quarantined_until
                    .map_or(Duration::ZERO, |until| until.saturating_duration_since(now)),
            };
            let sequence = copying.id + copying.index as u64;
            let body = MessageBody::Store(copying.parts[copying.index].clone(), Some(part));
            out.push(Action::Send(
                successor,
                self.message(slot, epoch, sequence, body),
            ));
            return;
        }
        if role
            .last_request
            .is_none_or(|last| now - last >= GRANT_INTERVAL)
        {
            role.last_request = Some(now);
            role.grant_requests.push_back((sequence, now));
            role.grant_requests
                .retain(|(_, sent)| now - *sent < GRANT_DURATION);
            role.unanswered += 1;
            let message = self.message(slot, epoch, sequence, MessageBody::Grant);
            out.push(Action::Send(successor, message));
        }
        self.retransmit_stores(now, slot, out);
    }

    fn retransmit_stores(&mut self, now: Instant, slot: usize, out: &mut Vec<Action>) {
        let Role::Owner(role) = &mut self.roles[slot] else {
            return;
        };
        let due = |pending: &PendingEntry| now - pending.sent_at >= RETRANSMIT_INTERVAL;
        let keys = role
            .pending_entries
            .iter()
            .filter(|(_, pending)| due(pending));
        let keys: Vec<FullKey> = keys.map(|(key, _)| Arc::clone(key)).collect();
        for key in keys {
            self.send_store(now, slot, &key, out);
        }
    }

    /// Refuses claims that have waited too long, and drops stores for which no claim waits.
    fn time_out_claims(&mut self, now: Instant, slot: usize, out: &mut Vec<Action>) {
        let Role::Owner(role) = &mut self.roles[slot] else {
            return;
        };
        let mut timed_out = Vec::new();
        role.pending_entries.retain(|_, pending| {
            pending.claims.retain(|claim| {
                let keep = now - claim.since < CLAIM_TIMEOUT;
                if !keep {
                    timed_out.push(claim.request);
                }
                keep
            });
            !pending.claims.is_empty()
        });
        let pending = &role.pending_entries;
        role.stores_in_flight
            .retain(|(_, key, _)| pending.contains_key(key));
        for request in timed_out {
            self.refuse_claim(request, out);
        }
    }

    // The map.

    fn read_map(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.next_read.is_none_or(|next| next <= now) {
            self.next_read = Some(now + MIN_MAP_READ_INTERVAL);
            out.push(Action::ReadMap);
        }
    }

    /// Handles the outcome of a compare-and-swap and allows the next one after a random delay.
    fn end_swap(
        &mut self,
        now: Instant,
        sequence: u64,
        outcome: SwapOutcome,
        out: &mut Vec<Action>,
    ) {
        let pending = self
            .pending_swap
            .take_if(|pending| pending.sequence == sequence);
        let delay = self.rng.random_range(Duration::ZERO..=MAX_SWAP_JITTER);
        self.next_swap = Some(now + delay);
        if let (SwapOutcome::Done(revision), Some(pending)) = (outcome, pending) {
            self.adopt_map(now, pending.map.with_revision(revision), out);
        } else {
            // The outcome of an earlier request says nothing about the current one.
            self.next_read = None;
            self.read_map(now, out);
        }
    }

    fn adopt_map(&mut self, now: Instant, map: HomeMap, out: &mut Vec<Action>) {
        if map.revision <= self.revision() || !map.is_complete() {
            return;
        }
        for (slot, holders) in map.slots.iter().enumerate() {
            // A request that expected an older revision can no longer take effect.
            if self.pending_takeovers[slot].is_some_and(|expected| map.revision > expected) {
                self.pending_takeovers[slot] = None;
            }
            self.assign(now, slot, holders, out);
        }
        self.map = Some(map);
        self.update_holders_exited();
    }

    /// Updates the record of the slots whose holders have all exited.
    fn update_holders_exited(&mut self) {
        let Some(map) = &self.map else {
            return;
        };
        let exited = |holder: &Holder| self.has_exited(holder);
        let all_exited =
            |slot: &SlotHolders| exited(&slot.owner) && slot.successor.iter().all(exited);
        let all_exited: Vec<bool> = map.slots.iter().map(all_exited).collect();
        self.holders_exited.copy_from_slice(&all_exited);
    }

    /// Changes the role of this process in a slot to that in the map.
    fn assign(&mut self, now: Instant, slot: usize, holders: &SlotHolders, out: &mut Vec<Action>) {
        let epoch = match &self.roles[slot] {
            Role::None => 0,
            Role::Owner(role) => role.epoch,
            Role::Successor(role) => role.epoch,
        };
        if epoch == holders.epoch {
            return;
        }
        let old = std::mem::take(&mut self.roles[slot]);
        let role = if holders.owner == self.me {
            Role::owner(now, old, holders, &mut self.sequence)
        } else {
            if let Role::Owner(owner) = old {
                for claim in owner
                    .pending_entries
                    .into_values()
                    .flat_map(|pending| pending.claims)
                {
                    self.refuse_claim(claim.request, out);
                }
            }
            if holders.successor.as_ref() == Some(&self.me) {
                Role::successor(holders)
            } else {
                Role::None
            }
        };
        self.roles[slot] = role;
        self.maintain_slot(now, slot, out);
    }

    /// Requests the map changes that this process needs, all in one compare-and-swap.
    fn change_map(&mut self, now: Instant, out: &mut Vec<Action>) {
        if let Some(pending) = &self.pending_swap {
            if now - pending.sent_at < SWAP_TIMEOUT {
                return;
            }
            self.pending_swap = None;
            self.next_read = None;
            self.read_map(now, out);
        }
        if self.next_swap.is_some_and(|next| now < next) {
            return;
        }
        let Some(map) = &self.map else {
            return self.create_map(now, out);
        };
        let slots = (0..SLOT_COUNT).filter(|slot| self.wanted_holders(now, map, *slot).is_some());
        let slots: Vec<usize> = slots.collect();
        let balance_due = slots.is_empty() && self.next_balance.is_none_or(|next| next <= now);
        if slots.is_empty() && !balance_due {
            return;
        }
        // Each change is based on the earlier ones, so that one candidate does not get all slots.
        let mut map = map.clone();
        let mut wanted = Vec::new();
        for slot in slots {
            if let Some(holders) = self.wanted_holders(now, &map, slot) {
                map.slots[slot] = holders.clone();
                wanted.push((slot, holders));
            }
        }
        if balance_due {
            wanted.extend(self.balancing_move(now, &map));
            self.next_balance = Some(now + BALANCE_INTERVAL);
        }
        if wanted.is_empty() {
            return;
        }
        for (slot, holders) in &wanted {
            let excluded = match &mut self.roles[*slot] {
                Role::Successor(role) => {
                    self.pending_takeovers[*slot] = Some(map.revision);
                    Some(&role.owner)
                }
                Role::Owner(role) => {
                    role.stopped |= holders.owner != self.me;
                    role.successor
                        .as_ref()
                        .filter(|_| role.is_unresponsive(now))
                }
                Role::None => None,
            };
            if let Some(holder) = excluded
                && !self.unresponsive.iter().any(|(known, _)| known == holder)
            {
                self.unresponsive
                    .push((holder.clone(), now + UNRESPONSIVE_EXCLUSION));
            }
            map.slots[*slot] = holders.clone();
        }
        if !self.safeguards.enforces(Safeguard::TakeoverSwap) {
            for (slot, mut holders) in wanted {
                if matches!(self.roles[slot], Role::Successor(_)) {
                    holders.successor = None;
                    self.assign(now, slot, &holders, out);
                }
            }
        }
        self.send_swap(now, map, out);
    }

    /// Requests the creation of the map, if this process sorts first among the eligible members.
    fn create_map(&mut self, now: Instant, out: &mut Vec<Action>) {
        let eligible = self.members.iter().filter(|member| member.is_eligible());
        let first = eligible.map(|member| &member.holder).min();
        let delay_passed = self
            .resumed_at
            .is_some_and(|resumed| now - resumed >= MAP_CREATION_DELAY);
        if !self.no_map || !delay_passed || first != Some(&self.me) {
            return;
        }
        if let Some(map) = HomeMap::initial(&self.members) {
            self.send_swap(now, map, out);
        }
    }

    fn send_swap(&mut self, now: Instant, map: HomeMap, out: &mut Vec<Action>) {
        let sequence = self.next_sequence();
        self.stats.swaps_sent += 1;
        out.push(Action::Swap {
            sequence,
            expected: map.revision,
            map: map.clone(),
        });
        self.pending_swap = Some(PendingSwap {
            sequence,
            map,
            sent_at: now,
        });
    }

    /// Returns the holders that this process wants for a slot, if they differ from the current
    /// ones.
    fn wanted_holders(&self, now: Instant, map: &HomeMap, slot: usize) -> Option<SlotHolders> {
        let current = &map.slots[slot];
        let me = &self.me;
        let confirmed = self.confirmed_lost[slot] == current.epoch;
        let candidate_avoiding = |avoid: &[&Holder]| {
            let unresponsive = self.unresponsive.iter().map(|(holder, _)| holder);
            let avoid: Vec<&Holder> = avoid.iter().copied().chain(unresponsive).collect();
            map.candidate(slot, &self.members, me, &avoid)
        };
        let reassign = || Some(current.with_owner(me.clone(), candidate_avoiding(&[]), true));
        match &self.roles[slot] {
            Role::Owner(role) if role.table.is_none() => reassign(),
            Role::Owner(role) if (self.draining || role.stopped) && role.successor.is_some() => {
                self.handover_holders(now, map, slot, role)
            }
            Role::Owner(role) => {
                let Some(successor) = &role.successor else {
                    return candidate_avoiding(&[])
                        .map(|found| current.with_successor(Some(found)));
                };
                let draining = self.member(successor).is_some_and(|member| {
                    member.holder == *successor && member.eligibility == Eligibility::Draining
                });
                let failed = role.is_unresponsive(now) || self.has_exited(successor);
                if !failed && !draining {
                    return None;
                }
                let other = candidate_avoiding(&[successor]);
                (failed || other.is_some()).then(|| current.with_successor(other))
            }
            Role::Successor(role) => match role.granted_until {
                Some(until) => {
                    let unpaused = self
                        .resumed_at
                        .is_none_or(|resumed| now - resumed >= PAUSE_THRESHOLD);
                    (unpaused && now >= until + TAKEOVER_DELAY).then(|| {
                        current.with_owner(me.clone(), candidate_avoiding(&[&role.owner]), false)
                    })
                }
                None if self.has_exited(&role.owner) || confirmed => reassign(),
                None => None,
            },
            Role::None if confirmed => reassign(),
            Role::None if self.holders_exited[slot] => {
                let first = map.candidate(slot, &self.members, &current.owner, &[]);
                if first.as_ref() == Some(me) {
                    reassign()
                } else {
                    None
                }
            }
            Role::None => None,
        }
    }

    /// Returns one slot of this process with its new holders, if this process or the successor of
    /// the slot has more than twice the mean number of roles. That one gives up its role in the
    /// slot. Without this, the first members of a fleet would hold all slots.
    fn balancing_move(&self, now: Instant, map: &HomeMap) -> Option<(usize, SlotHolders)> {
        let eligible = self.members.iter().filter(|member| member.is_eligible());
        let max_held = 2 * (2 * SLOT_COUNT).div_ceil(eligible.count().max(1));
        let held = map.held_counts();
        let count = |holder: &Holder| held.get(holder).copied().unwrap_or(0);
        let me = &self.me;
        (0..SLOT_COUNT).find_map(|slot| {
            let Role::Owner(role) = &self.roles[slot] else {
                return None;
            };
            let successor = role.successor.as_ref()?;
            let overloaded = [me, successor]
                .into_iter()
                .find(|holder| count(holder) > max_held)?;
            let other = map.candidate(slot, &self.members, successor, &[me])?;
            if !self.serves(now, slot) || count(&other) + 1 >= count(overloaded) {
                return None;
            }
            let slot_holders = &map.slots[slot];
            let changed = if overloaded == me {
                slot_holders.with_owner(successor.clone(), Some(other), false)
            } else {
                slot_holders.with_successor(Some(other))
            };
            Some((slot, changed))
        })
    }

    /// Returns the holders that hand a slot over to its successor, once that has the complete
    /// table.
    fn handover_holders(
        &self,
        now: Instant,
        map: &HomeMap,
        slot: usize,
        role: &Owner,
    ) -> Option<SlotHolders> {
        let successor = role.successor.clone()?;
        let current = &map.slots[slot];
        if role.is_unresponsive(now) || self.has_exited(&successor) {
            let other = map.candidate(slot, &self.members, &self.me, &[&successor]);
            return (other.is_some() || !self.draining).then(|| current.with_successor(other));
        }
        let complete =
            role.copying.is_none() && role.granted_until.is_some_and(|until| now < until);
        (role.stopped || complete).then(|| {
            let other = map.candidate(slot, &self.members, &successor, &[&self.me]);
            current.with_owner(successor, other, false)
        })
    }

    /// Returns the member that runs on the VM of a process.
    fn member(&self, holder: &Holder) -> Option<&HomeMember> {
        self.member_index
            .get(&holder.vm)
            .map(|index| &self.members[*index])
    }

    /// Returns whether a newer process on the same VM proves that this one has exited.
    fn has_exited(&self, holder: &Holder) -> bool {
        let newest = self.member(holder);
        newest.is_some_and(|member| member.holder.incarnation > holder.incarnation)
    }
}
