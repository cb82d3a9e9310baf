//! Key-to-ticket tables for callers that have only their own key.
//!
//! Keys hash into [`SLOT_COUNT`] slots. A [`HomeMap`] in the platform names an owner and a successor for
//! each. [`HomeNode`] is the part of one daemon: events go in, and messages, compare-and-swap requests
//! and replies come out.
//!
//! A ticket that was handed out for a key is never forgotten while the key may be resent:
//!
//! - The owner hands out a ticket only after the successor has stored it, and only under a grant of
//!   the successor.
//! - Owner and successor change by compare-and-swap only. A new owner holds the table, or refuses
//!   claims until no key of the lost table may be resent.
//! - A successor that has asked to take over neither grants nor stores until it knows that the
//!   request had no effect. A request whose answer is lost may still take effect later.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::id::{Revision, VmId};
use crate::safeguard::{Safeguard, Safeguards};
use crate::ticket::{TICKET_LIFETIME, millis};

#[cfg(test)]
mod fuzz;
mod map;
#[cfg(test)]
mod matrix;
mod message;
mod role;
mod table;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod world;

pub use map::{Eligibility, Holder, HomeMap, HomeMember, SLOT_COUNT, SlotHolders, slot_of};
pub use message::{Action, Claim, ClaimReply, CopyPart, Event, Message, MessageBody, SwapOutcome};
pub use table::KeyEntry;

use map::full_key;
use role::{Owner, Role, Successor, Waiter, Waiting};
use table::{FullKey, Table};

/// Time for which a caller may resend a key.
pub const KEY_RETENTION: Duration = Duration::from_mins(15);
/// Entries are kept this much longer, for calls on their way, clock offsets and drift.
pub const KEY_RETENTION_MARGIN: Duration = Duration::from_mins(2);
/// Length of a grant, counted by the owner from the moment its request was sent.
pub const GRANT_DURATION: Duration = Duration::from_secs(3);
/// Interval of grant requests.
pub const GRANT_INTERVAL: Duration = Duration::from_secs(1);
/// The successor waits this much longer than its last grant before it takes over.
pub const TAKEOVER_DELAY: Duration = Duration::from_secs(1);
/// A claim whose ticket was minted longer ago, or later than this from now, is refused.
pub const MAX_CLAIM_AGE: Duration = Duration::from_secs(30);
/// Longest service name and key together, in bytes.
pub const MAX_KEY_BYTES: usize = 512;

const KEEP: Duration = KEY_RETENTION.saturating_add(KEY_RETENTION_MARGIN);
const RESEND_INTERVAL: Duration = Duration::from_millis(300);
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
const SWAP_TIMEOUT: Duration = Duration::from_secs(2);
const SWAP_JITTER: Duration = Duration::from_millis(500);
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two moves of slots for balance.
const BALANCE_INTERVAL: Duration = Duration::from_secs(10);
/// A longer gap between ticks means that the process was paused.
const PAUSE: Duration = Duration::from_secs(1);
/// Members that start together are known before the first assignment.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Membership notices within this time that a process has ended.
const SILENT_TIME: Duration = Duration::from_secs(30);
const SILENT_REQUESTS: u32 = 3;
const COPY_PART: usize = 2_000;

/// Bounds of one [`HomeNode`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeLimits {
    /// Most entries of one slot.
    pub slot_entries: usize,
}

impl Default for HomeLimits {
    fn default() -> Self {
        Self {
            slot_entries: 100_000,
        }
    }
}

/// Counts since the start, and current sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HomeStats {
    /// Slots owned.
    pub owned: usize,
    /// Slots succeeded.
    pub succeeded: usize,
    /// Entries held, as owner or successor.
    pub entries: usize,
    /// Compare-and-swap requests sent.
    pub swaps_sent: u64,
    /// Claims answered with a ticket.
    pub claims_answered: u64,
    /// Claims refused.
    pub claims_refused: u64,
}

#[derive(Debug)]
struct Pending {
    sequence: u64,
    map: HomeMap,
    sent: Instant,
}

/// The part of one daemon in the homes.
#[derive(Debug)]
pub struct HomeNode {
    me: Holder,
    limits: HomeLimits,
    map: Option<HomeMap>,
    no_map: bool,
    members: Vec<HomeMember>,
    /// Processes that did not answer, and until when they get no slots.
    silent: Vec<(Holder, Instant)>,
    /// Index of `members` by VM.
    places: HashMap<VmId, usize>,
    roles: Vec<Role>,
    /// Revision that a takeover request expects while its effect is unknown, by slot.
    doubts: [Option<Revision>; SLOT_COUNT],
    pending: Option<Pending>,
    next_swap: Option<Instant>,
    next_read: Option<Instant>,
    next_balance: Option<Instant>,
    last_tick: Option<Instant>,
    resumed: Option<Instant>,
    draining: bool,
    sequence: u64,
    /// Epoch of each slot whose loss an operator has confirmed. It says nothing of another epoch.
    confirmed_lost: [u64; SLOT_COUNT],
    /// Slots whose holders have all ended, as membership proves.
    gone: [bool; SLOT_COUNT],
    rng: SmallRng,
    stats: HomeStats,
    switch: Safeguards,
}

impl HomeNode {
    /// A home without slots. The seed makes the jitter of this process its own.
    #[must_use]
    pub fn new(me: Holder, limits: HomeLimits, seed: u64) -> Self {
        Self {
            me,
            limits,
            map: None,
            no_map: false,
            members: Vec::new(),
            silent: Vec::new(),
            places: HashMap::new(),
            roles: (0..SLOT_COUNT).map(|_| Role::None).collect(),
            doubts: [None; SLOT_COUNT],
            pending: None,
            next_swap: None,
            next_read: None,
            next_balance: None,
            last_tick: None,
            resumed: None,
            draining: false,
            sequence: 0,
            confirmed_lost: [0; SLOT_COUNT],
            gone: [false; SLOT_COUNT],
            rng: SmallRng::seed_from_u64(seed),
            stats: HomeStats::default(),
            switch: Safeguards::default(),
        }
    }

    #[cfg(test)]
    pub(crate) fn with_switch(mut self, switch: Safeguards) -> Self {
        self.switch = switch;
        self
    }

    /// Newest map known.
    #[must_use]
    pub const fn map(&self) -> Option<&HomeMap> {
        self.map.as_ref()
    }

    /// Whether this process holds no slot, so that a drain may end.
    #[must_use]
    pub fn holds_no_slots(&self) -> bool {
        self.roles.iter().all(|role| matches!(role, Role::None))
    }

    /// Whether this process answers claims for the slot now.
    #[must_use]
    pub fn serves(&self, now: Instant, slot: usize) -> bool {
        let Role::Owner(owner) = &self.roles[slot] else {
            return false;
        };
        let quarantined =
            self.switch.enforces(Safeguard::Quarantine) && self.is_quarantined(now, slot);
        let granted = match owner.granted_until {
            _ if owner.successor.is_none() => true,
            Some(until) => now < until || !self.switch.enforces(Safeguard::GrantExpiry),
            None => false,
        };
        let stopped = owner.stopped && self.switch.enforces(Safeguard::HandOverStop);
        owner.table.is_some() && !stopped && !quarantined && granted
    }

    /// Whether this process owns the slot and refuses claims because its table was lost.
    #[must_use]
    pub fn is_quarantined(&self, now: Instant, slot: usize) -> bool {
        match &self.roles[slot] {
            Role::Owner(owner) => owner.quarantine.is_some_and(|until| now < until),
            Role::Successor(_) | Role::None => false,
        }
    }

    /// Counts and sizes.
    #[must_use]
    pub fn stats(&self) -> HomeStats {
        let mut stats = self.stats;
        for role in &self.roles {
            match role {
                Role::None => {}
                Role::Owner(owner) => {
                    stats.owned += 1;
                    stats.entries += owner.table.as_ref().map_or(0, Table::len);
                }
                Role::Successor(successor) => {
                    stats.succeeded += 1;
                    stats.entries += successor.table.len();
                }
            }
        }
        stats
    }

    /// Bytes of memory held by the tables, estimated.
    #[must_use]
    pub fn memory(&self) -> usize {
        let table = |role: &Role| match role {
            Role::None => 0,
            Role::Owner(owner) => owner.table.as_ref().map_or(0, Table::memory),
            Role::Successor(successor) => successor.table.memory(),
        };
        self.roles.iter().map(table).sum()
    }

    /// Takes an event and returns what to do. `now` must not go back.
    #[must_use]
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Map(map) => self.adopt(now, map, &mut out),
            Event::NoMap => self.no_map = self.map.is_none(),
            Event::SwapResult(sequence, outcome) => self.swapped(now, sequence, outcome, &mut out),
            Event::Members(members) => {
                let places = members.iter().enumerate();
                self.places = places
                    .map(|(at, member)| (Arc::clone(&member.holder.vm), at))
                    .collect();
                self.members = members;
                self.find_gone();
            }
            Event::Claim(request, claim, wall) => {
                if !self.claim(now, request, claim, wall, &mut out) {
                    self.refuse(request, &mut out);
                }
            }
            Event::Message(from, message) => self.receive(now, &from, message, &mut out),
            Event::Drain => self.draining = true,
            Event::Reassign(slot, epoch) => self.confirmed_lost[slot % SLOT_COUNT] = epoch,
        }
        out
    }

    fn refuse(&mut self, request: u64, out: &mut Vec<Action>) {
        self.stats.claims_refused += 1;
        out.push(Action::Reply(
            request,
            ClaimReply::Unavailable(self.revision()),
        ));
    }

    fn revision(&self) -> Revision {
        self.map.as_ref().map_or(0, |map| map.revision)
    }

    const fn next(&mut self) -> u64 {
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

    /// Answers a claim now or later; false if it must be refused.
    fn claim(
        &mut self,
        now: Instant,
        request: u64,
        claim: Claim,
        wall: SystemTime,
        out: &mut Vec<Action>,
    ) -> bool {
        let key = full_key(&claim.service, &claim.key);
        let slot = slot_of(&claim.service, &claim.key);
        // A claim that was held up on its way could come after the entry of its key was dropped.
        let minted = claim
            .ticket
            .expires_ms
            .saturating_sub(TICKET_LIFETIME.as_millis() as u64);
        let timely = minted.abs_diff(millis(wall)) <= MAX_CLAIM_AGE.as_millis() as u64
            || !self.switch.enforces(Safeguard::ClaimAge);
        if !timely || key.len() > MAX_KEY_BYTES || !self.serves(now, slot) {
            return false;
        }
        let limit = self.limits.slot_entries;
        let store_first = self.switch.enforces(Safeguard::StoreFirst);
        let Role::Owner(owner) = &mut self.roles[slot] else {
            return false;
        };
        let alone = owner.successor.is_none();
        let Some(table) = &mut owner.table else {
            return false;
        };
        table.expire(now);
        let offered = claim.ticket.id;
        let held = table.get(&key);
        let fresh = match held {
            None if table.len() >= limit => return false,
            None => Some(0),
            Some(entry) => {
                let replaced = claim.replaces == Some(entry.ticket.id);
                (replaced && entry.confirmed && entry.version < claim.extra_attempts)
                    .then(|| entry.version + 1)
            }
        };
        let key = FullKey::from(key);
        if let Some(version) = fresh {
            let entry = KeyEntry {
                key: Arc::clone(&key),
                ticket: claim.ticket,
                version,
            };
            table.store(now, entry, alone || !store_first);
        }
        let waiter = Waiter {
            request,
            offered,
            since: now,
        };
        let first = !owner.waiting.contains_key(&key);
        let waiting = owner
            .waiting
            .entry(Arc::clone(&key))
            .or_insert_with(|| Waiting {
                waiters: Vec::new(),
                sent: now,
            });
        waiting.waiters.push(waiter);
        if first && !alone {
            self.send_store(now, slot, &key, out);
        }
        self.settle(now, slot, out);
        true
    }

    /// Sends an entry to the successor if it is not confirmed.
    fn send_store(&mut self, now: Instant, slot: usize, key: &FullKey, out: &mut Vec<Action>) {
        let sequence = self.next();
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
        if let Some(waiting) = owner.waiting.get_mut(key) {
            waiting.sent = now;
        }
        let sent = KeyEntry {
            key: Arc::clone(key),
            ticket: entry.ticket.clone(),
            version: entry.version,
        };
        owner
            .stores
            .push_back((sequence, Arc::clone(key), entry.version));
        let epoch = owner.epoch;
        let body = MessageBody::Store(vec![sent], None);
        out.push(Action::Send(
            successor,
            self.message(slot, epoch, sequence, body),
        ));
    }

    /// Answers the claims whose entries the successor has stored.
    fn settle(&mut self, now: Instant, slot: usize, out: &mut Vec<Action>) {
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
        owner.waiting.retain(|key, waiting| {
            let Some(entry) = table.get(key).filter(|entry| entry.confirmed) else {
                return true;
            };
            for waiter in waiting.waiters.drain(..) {
                let ticket = entry.ticket.clone();
                let reply = if waiter.offered == ticket.id {
                    ClaimReply::Stored(ticket)
                } else {
                    ClaimReply::Found(ticket)
                };
                *answered += 1;
                out.push(Action::Reply(waiter.request, reply));
            }
            false
        });
    }

    // Messages.

    fn receive(&mut self, now: Instant, from: &Holder, message: Message, out: &mut Vec<Action>) {
        if message.revision > self.revision() {
            self.read(now, out);
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
                let role = self.successor(from, slot, epoch);
                MessageBody::GrantReply(role.is_some_and(|role| role.grant(now)))
            }
            MessageBody::Store(entries, copy) => {
                let role = self.successor(from, slot, epoch);
                let stored = role.is_some_and(|role| role.store(now, entries, copy));
                MessageBody::StoreReply(stored)
            }
            MessageBody::GrantReply(granted) => {
                return self.granted(now, from, slot, epoch, sequence, granted, out);
            }
            MessageBody::StoreReply(stored) => {
                return self.stored(now, from, slot, epoch, sequence, stored, out);
            }
        };
        let reply = self.message(slot, epoch, sequence, body);
        out.push(Action::Send(from.clone(), reply));
    }

    /// The role of successor for `from` at `epoch`, unless a takeover may be under way.
    fn successor(&mut self, from: &Holder, slot: usize, epoch: u64) -> Option<&mut Successor> {
        if self.doubts[slot].is_some() && self.switch.enforces(Safeguard::PendingTakeover) {
            return None;
        }
        match &mut self.roles[slot] {
            Role::Successor(role) if role.epoch == epoch && role.owner == *from => Some(role),
            _ => None,
        }
    }

    /// The role of owner for a reply of `from` at `epoch`.
    fn owner(&mut self, from: &Holder, slot: usize, epoch: u64) -> Option<&mut Owner> {
        match &mut self.roles[slot] {
            Role::Owner(role) if role.epoch == epoch && role.successor.as_ref() == Some(from) => {
                Some(role)
            }
            _ => None,
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "the fields of a message, taken apart once"
    )]
    fn granted(
        &mut self,
        now: Instant,
        from: &Holder,
        slot: usize,
        epoch: u64,
        sequence: u64,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(role) = self.owner(from, slot, epoch) else {
            return;
        };
        let sent = role.asked.iter().find(|(asked, _)| *asked == sequence);
        if let Some(&(_, sent)) = sent
            && granted
        {
            role.granted_until = role.granted_until.max(Some(sent + GRANT_DURATION));
            role.asked.retain(|(asked, _)| *asked > sequence);
            role.heard = now;
            role.unanswered = 0;
            self.settle(now, slot, out);
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "the fields of a message, taken apart once"
    )]
    fn stored(
        &mut self,
        now: Instant,
        from: &Holder,
        slot: usize,
        epoch: u64,
        sequence: u64,
        stored: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(role) = self.owner(from, slot, epoch) else {
            return;
        };
        if !stored {
            return;
        }
        role.heard = now;
        role.unanswered = 0;
        if let Some(copying) = &mut role.copying {
            let (part, index) = (copying.id + copying.index as u64, copying.index + 1);
            if sequence != part {
                return;
            }
            copying.index = index;
            copying.sent = None;
            if index == copying.parts.len() {
                role.copying = None;
                if let Some(table) = &mut role.table {
                    table.confirm_all();
                }
            }
            self.drive(now, slot, out);
        } else if let Some(at) = role.stores.iter().position(|store| store.0 == sequence) {
            if let (Some((_, key, version)), Some(table)) =
                (role.stores.remove(at), &mut role.table)
            {
                table.confirm(&key, version);
            }
            self.settle(now, slot, out);
        }
    }

    // Time.

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.last_tick.is_none_or(|last| now - last > PAUSE) {
            self.resumed = Some(now);
        }
        self.last_tick = Some(now);
        self.silent.retain(|(_, until)| now < *until);
        for slot in 0..SLOT_COUNT {
            if !matches!(self.roles[slot], Role::None) {
                self.drive(now, slot, out);
                self.time_out(now, slot, out);
            }
        }
        if self.map.is_none() {
            self.read(now, out);
        }
        self.change(now, out);
    }

    /// Continues a copy, renews the grant and repeats stores.
    fn drive(&mut self, now: Instant, slot: usize, out: &mut Vec<Action>) {
        let sequence = self.next();
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
                .sent
                .is_some_and(|sent| now - sent < RESEND_INTERVAL)
            {
                return;
            }
            copying.sent = Some(now);
            role.unanswered += 1;
            let part = CopyPart {
                id: copying.id,
                index: copying.index,
                last: copying.index + 1 == copying.parts.len(),
                quarantine: role
                    .quarantine
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
            .last_asked
            .is_none_or(|last| now - last >= GRANT_INTERVAL)
        {
            role.last_asked = Some(now);
            role.asked.push_back((sequence, now));
            role.asked.retain(|(_, sent)| now - *sent < GRANT_DURATION);
            role.unanswered += 1;
            let message = self.message(slot, epoch, sequence, MessageBody::Grant);
            out.push(Action::Send(successor, message));
        }
        self.repeat_stores(now, slot, out);
    }

    fn repeat_stores(&mut self, now: Instant, slot: usize, out: &mut Vec<Action>) {
        let Role::Owner(role) = &mut self.roles[slot] else {
            return;
        };
        let due = |waiting: &Waiting| now - waiting.sent >= RESEND_INTERVAL;
        let keys = role.waiting.iter().filter(|(_, waiting)| due(waiting));
        let keys: Vec<FullKey> = keys.map(|(key, _)| Arc::clone(key)).collect();
        for key in keys {
            self.send_store(now, slot, &key, out);
        }
    }

    /// Refuses claims that have waited too long, and forgets stores that nobody waits for.
    fn time_out(&mut self, now: Instant, slot: usize, out: &mut Vec<Action>) {
        let Role::Owner(role) = &mut self.roles[slot] else {
            return;
        };
        let mut late = Vec::new();
        role.waiting.retain(|_, waiting| {
            waiting.waiters.retain(|waiter| {
                let keep = now - waiter.since < CLAIM_TIMEOUT;
                if !keep {
                    late.push(waiter.request);
                }
                keep
            });
            !waiting.waiters.is_empty()
        });
        let waiting = &role.waiting;
        role.stores.retain(|(_, key, _)| waiting.contains_key(key));
        for request in late {
            self.refuse(request, out);
        }
    }

    // The map.

    fn read(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.next_read.is_none_or(|next| next <= now) {
            self.next_read = Some(now + READ_INTERVAL);
            out.push(Action::ReadMap);
        }
    }

    fn swapped(
        &mut self,
        now: Instant,
        sequence: u64,
        outcome: SwapOutcome,
        out: &mut Vec<Action>,
    ) {
        let pending = self.pending.take_if(|pending| pending.sequence == sequence);
        let delay = self.rng.random_range(Duration::ZERO..=SWAP_JITTER);
        self.next_swap = Some(now + delay);
        if let (SwapOutcome::Done(revision), Some(pending)) = (outcome, pending) {
            self.adopt(now, pending.map.with_revision(revision), out);
        } else {
            // An outcome of an earlier request says nothing about the current one.
            self.next_read = None;
            self.read(now, out);
        }
    }

    fn adopt(&mut self, now: Instant, map: HomeMap, out: &mut Vec<Action>) {
        if map.revision <= self.revision() || !map.is_complete() {
            return;
        }
        for (slot, holders) in map.slots.iter().enumerate() {
            // A request that expected an older revision can take effect no more.
            if self.doubts[slot].is_some_and(|expected| map.revision > expected) {
                self.doubts[slot] = None;
            }
            self.assign(now, slot, holders, out);
        }
        self.map = Some(map);
        self.find_gone();
    }

    /// Notes the slots whose holders have all ended.
    fn find_gone(&mut self) {
        let Some(map) = &self.map else {
            return;
        };
        let ended = |holder: &Holder| self.ended(holder);
        let gone = |slot: &SlotHolders| ended(&slot.owner) && slot.successor.iter().all(ended);
        let gone: Vec<bool> = map.slots.iter().map(gone).collect();
        self.gone.copy_from_slice(&gone);
    }

    /// Takes the role that the map gives this process.
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
                for waiter in owner
                    .waiting
                    .into_values()
                    .flat_map(|waiting| waiting.waiters)
                {
                    self.refuse(waiter.request, out);
                }
            }
            if holders.successor.as_ref() == Some(&self.me) {
                Role::successor(holders)
            } else {
                Role::None
            }
        };
        self.roles[slot] = role;
        self.drive(now, slot, out);
    }

    /// Asks for the changes of the map that this process needs, all in one request.
    fn change(&mut self, now: Instant, out: &mut Vec<Action>) {
        if let Some(pending) = &self.pending {
            if now - pending.sent < SWAP_TIMEOUT {
                return;
            }
            self.pending = None;
            self.next_read = None;
            self.read(now, out);
        }
        if self.next_swap.is_some_and(|next| now < next) {
            return;
        }
        let Some(map) = &self.map else {
            return self.create(now, out);
        };
        let slots = (0..SLOT_COUNT).filter(|slot| self.wanted(now, map, *slot).is_some());
        let slots: Vec<usize> = slots.collect();
        let balances = slots.is_empty() && self.next_balance.is_none_or(|next| next <= now);
        if slots.is_empty() && !balances {
            return;
        }
        // Each change sees the earlier ones, so that one candidate does not get all slots.
        let mut map = map.clone();
        let mut wanted = Vec::new();
        for slot in slots {
            if let Some(holders) = self.wanted(now, &map, slot) {
                map.slots[slot] = holders.clone();
                wanted.push((slot, holders));
            }
        }
        if balances {
            wanted.extend(self.balance(now, &map));
            self.next_balance = Some(now + BALANCE_INTERVAL);
        }
        if wanted.is_empty() {
            return;
        }
        for (slot, holders) in &wanted {
            let silent = match &mut self.roles[*slot] {
                Role::Successor(role) => {
                    self.doubts[*slot] = Some(map.revision);
                    Some(&role.owner)
                }
                Role::Owner(role) => {
                    role.stopped |= holders.owner != self.me;
                    role.successor.as_ref().filter(|_| role.is_silent(now))
                }
                Role::None => None,
            };
            if let Some(holder) = silent
                && !self.silent.iter().any(|(known, _)| known == holder)
            {
                self.silent.push((holder.clone(), now + SILENT_TIME));
            }
            map.slots[*slot] = holders.clone();
        }
        if !self.switch.enforces(Safeguard::TakeoverSwap) {
            for (slot, mut holders) in wanted {
                if matches!(self.roles[slot], Role::Successor(_)) {
                    holders.successor = None;
                    self.assign(now, slot, &holders, out);
                }
            }
        }
        self.swap(now, map, out);
    }

    /// Asks for the first map, if this process comes first among the members.
    fn create(&mut self, now: Instant, out: &mut Vec<Action>) {
        let usable = self.members.iter().filter(|member| member.is_eligible());
        let first = usable.map(|member| &member.holder).min();
        let settled = self
            .resumed
            .is_some_and(|resumed| now - resumed >= SETTLE_TIME);
        if !self.no_map || !settled || first != Some(&self.me) {
            return;
        }
        if let Some(map) = HomeMap::initial(&self.members) {
            self.swap(now, map, out);
        }
    }

    fn swap(&mut self, now: Instant, map: HomeMap, out: &mut Vec<Action>) {
        let sequence = self.next();
        self.stats.swaps_sent += 1;
        out.push(Action::Swap {
            sequence,
            expected: map.revision,
            map: map.clone(),
        });
        self.pending = Some(Pending {
            sequence,
            map,
            sent: now,
        });
    }

    /// The holders that this process wants for a slot, if they differ.
    fn wanted(&self, now: Instant, map: &HomeMap, slot: usize) -> Option<SlotHolders> {
        let held = &map.slots[slot];
        let me = &self.me;
        let confirmed = self.confirmed_lost[slot] == held.epoch;
        let beside = |avoid: &[&Holder]| {
            let silent = self.silent.iter().map(|(holder, _)| holder);
            let avoid: Vec<&Holder> = avoid.iter().copied().chain(silent).collect();
            map.candidate(slot, &self.members, me, &avoid)
        };
        let reassign = || Some(held.with_owner(me.clone(), beside(&[]), true));
        match &self.roles[slot] {
            Role::Owner(role) if role.table.is_none() => reassign(),
            Role::Owner(role) if (self.draining || role.stopped) && role.successor.is_some() => {
                self.hand_over(now, map, slot, role)
            }
            Role::Owner(role) => {
                let Some(successor) = &role.successor else {
                    return beside(&[]).map(|found| held.with_successor(Some(found)));
                };
                let leaving = self.member(successor).is_some_and(|member| {
                    member.holder == *successor && member.eligibility == Eligibility::Draining
                });
                let gone = role.is_silent(now) || self.ended(successor);
                if !gone && !leaving {
                    return None;
                }
                let other = beside(&[successor]);
                (gone || other.is_some()).then(|| held.with_successor(other))
            }
            Role::Successor(role) => match role.granted_until {
                Some(until) => {
                    let awake = self.resumed.is_none_or(|resumed| now - resumed >= PAUSE);
                    (awake && now >= until + TAKEOVER_DELAY)
                        .then(|| held.with_owner(me.clone(), beside(&[&role.owner]), false))
                }
                None if self.ended(&role.owner) || confirmed => reassign(),
                None => None,
            },
            Role::None if confirmed => reassign(),
            Role::None if self.gone[slot] => {
                let first = map.candidate(slot, &self.members, &held.owner, &[]);
                if first.as_ref() == Some(me) {
                    reassign()
                } else {
                    None
                }
            }
            Role::None => None,
        }
    }

    /// Moves one slot away from this process, or from the successor of one of its slots, if that
    /// holds more than twice its share. The first members of a fleet would hold all slots else.
    fn balance(&self, now: Instant, map: &HomeMap) -> Option<(usize, SlotHolders)> {
        let usable = self.members.iter().filter(|member| member.is_eligible());
        let most = 2 * (2 * SLOT_COUNT).div_ceil(usable.count().max(1));
        let held = map.held();
        let count = |holder: &Holder| held.get(holder).copied().unwrap_or(0);
        let me = &self.me;
        (0..SLOT_COUNT).find_map(|slot| {
            let Role::Owner(role) = &self.roles[slot] else {
                return None;
            };
            let successor = role.successor.as_ref()?;
            let loaded = [me, successor]
                .into_iter()
                .find(|holder| count(holder) > most)?;
            let other = map.candidate(slot, &self.members, successor, &[me])?;
            if !self.serves(now, slot) || count(&other) + 1 >= count(loaded) {
                return None;
            }
            let slot_holders = &map.slots[slot];
            let changed = if loaded == me {
                slot_holders.with_owner(successor.clone(), Some(other), false)
            } else {
                slot_holders.with_successor(Some(other))
            };
            Some((slot, changed))
        })
    }

    /// Gives a slot to its successor, once that has the whole table.
    fn hand_over(
        &self,
        now: Instant,
        map: &HomeMap,
        slot: usize,
        role: &Owner,
    ) -> Option<SlotHolders> {
        let successor = role.successor.clone()?;
        let held = &map.slots[slot];
        if role.is_silent(now) || self.ended(&successor) {
            let other = map.candidate(slot, &self.members, &self.me, &[&successor]);
            return (other.is_some() || !self.draining).then(|| held.with_successor(other));
        }
        let whole = role.copying.is_none() && role.granted_until.is_some_and(|until| now < until);
        (role.stopped || whole).then(|| {
            let other = map.candidate(slot, &self.members, &successor, &[&self.me]);
            held.with_owner(successor, other, false)
        })
    }

    /// What is known of the VM of a process.
    fn member(&self, holder: &Holder) -> Option<&HomeMember> {
        self.places
            .get(&holder.vm)
            .map(|place| &self.members[*place])
    }

    /// Whether a newer process on the same VM proves that this one has ended.
    fn ended(&self, holder: &Holder) -> bool {
        let newest = self.member(holder);
        newest.is_some_and(|member| member.holder.incarnation > holder.incarnation)
    }
}
