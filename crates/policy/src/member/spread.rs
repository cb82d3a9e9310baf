//! The daemon's own record and the messages that spread updates.

use std::sync::Arc;
use std::time::Instant;

use rand::seq::IndexedRandom;

use super::{
    Action, Body, CORRECTION_INTERVAL, DELTA_TRANSMISSIONS, FRAMING, MAX_DATAGRAM_BYTES, Member,
    Membership, Message, PAUSE, PROBE_INTERVAL, Push, REJOIN_AFTER, SUSPICION_TIMEOUT, Standing,
    State, Suspicion, jitter,
};
use crate::id::{DataCentreName, Incarnation, VmId};

impl Membership {
    pub(super) fn publish(&mut self, now: Instant, push: Push, change: impl FnOnce(&mut Member)) {
        let mut own = Member::clone(&self.own);
        change(&mut own);
        own.version += 1;
        self.own = Arc::new(own);
        self.table.insert(Arc::clone(&self.own), now);
        let vm = VmId::clone(&self.own.vm);
        self.push = self.push.max(Some(push));
        self.spread(&vm);
    }

    pub(super) fn spread(&mut self, vm: &VmId) {
        self.queue.push(vm);
        self.push = self.push.max(Some(Push::Gossip));
        // Suspicion stays within the data centre; the others learn of a removal.
        let relayed = self.table.get(vm).is_some_and(|entry| {
            entry.record.data_centre == self.own.data_centre && entry.record.state != State::Suspect
        });
        if self.relay && relayed {
            for remote in self.remotes.values_mut() {
                remote.outbox.push(vm);
            }
            self.delta = true;
        }
    }

    pub(super) fn observe_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        if gap <= PAUSE {
            return;
        }
        // Answers may have been lost while this daemon was paused, so no silence observed over the
        // pause counts against others.
        self.counters.pauses += 1;
        self.last_tick = now;
        self.probe = None;
        self.help.clear();
        self.next_probe = now + jitter(&mut self.rng, PROBE_INTERVAL);
        self.last_contact = now;
        self.last_match = now;
        for suspicion in self.suspects.values_mut() {
            *suspicion = Suspicion::new(now);
        }
        for remote in self.remotes.values_mut() {
            remote.heard = now;
            remote.matched = now;
        }
        if gap > SUSPICION_TIMEOUT && self.standing == Standing::Joined {
            self.standing = Standing::Paused;
            self.next_join = now;
        }
        if gap > REJOIN_AFTER && self.is_joined() {
            self.standing = Standing::Stale;
            self.queue.clear();
        }
        if self.own.state != State::Left {
            self.publish(now, Push::Tell, |_| {});
        }
    }

    pub(super) fn observe_namesake(&mut self, incarnation: Incarnation, actions: &mut Vec<Action>) {
        if incarnation > self.own.incarnation {
            actions.push(Action::Replaced { incarnation });
        }
    }

    /// Sends the known record of `vm` to `vm` itself, so that it can refute or end.
    pub(super) fn correct(&mut self, now: Instant, vm: &VmId, actions: &mut Vec<Action>) {
        let due = self
            .last_correction
            .is_none_or(|last| now.saturating_duration_since(last) >= CORRECTION_INTERVAL);
        let Some(record) = self.accusation(vm).filter(|_| due) else {
            return;
        };
        self.last_correction = Some(now);
        let to = record.gossip_address;
        let message = self.message(Body::Push, vec![record]);
        actions.push(Action::Send { to, message });
    }

    /// Record of `vm` with the suspicion that is kept locally while it drains.
    pub(super) fn accusation(&self, vm: &VmId) -> Option<Arc<Member>> {
        let record = &self.table.get(vm)?.record;
        if record.state == State::Draining && self.suspects.contains_key(vm) {
            let mut accused = Member::clone(record);
            accused.state = State::Suspect;
            return Some(Arc::new(accused));
        }
        Some(Arc::clone(record))
    }

    pub(super) fn message(&mut self, body: Body, extra: Vec<Arc<Member>>) -> Message {
        let (digest, queue) = match &body {
            Body::Delta { data_centre } => {
                let digest = self.table.digest(&self.own.data_centre);
                let remote = self.remotes.get_mut(data_centre);
                (digest, remote.map(|remote| &mut remote.outbox))
            }
            _ => (self.table.whole_digest(), Some(&mut self.queue)),
        };
        let (target, limit) = match &body {
            Body::Ping { target, .. } | Body::PingRequest { target, .. } | Body::Ack { target } => {
                (target.len(), None)
            }
            Body::Delta { data_centre } => (data_centre.len(), Some(DELTA_TRANSMISSIONS)),
            Body::Push => (0, None),
        };
        let members = self.table.live(&self.own.data_centre).len() as u32 + 1;
        let limit = limit.unwrap_or(2 * (u32::BITS - members.leading_zeros()));
        let mut updates = Vec::with_capacity(1 + extra.len());
        updates.push(Arc::clone(&self.own));
        updates.extend(extra);
        let used = updates.iter().map(|one| one.wire_size()).sum::<usize>();
        let budget = MAX_DATAGRAM_BYTES.saturating_sub(FRAMING + self.own.vm.len() + target + used);
        if let Some(queue) = queue {
            let table = &self.table;
            let own = &self.own.vm;
            let taken = queue.take(budget, limit, |vm| {
                let bytes = table.get(vm)?.record.wire_size();
                Some(if vm == own { 0 } else { bytes })
            });
            let records = taken.iter().filter(|vm| *vm != own);
            updates.extend(records.filter_map(|vm| Some(Arc::clone(&table.get(vm)?.record))));
        }
        let body = match body {
            Body::Delta { .. } => Body::Delta {
                data_centre: DataCentreName::clone(&self.own.data_centre),
            },
            body => body,
        };
        let bare = self.bare_message(body);
        Message {
            updates,
            digest,
            ..bare
        }
    }

    /// Message with this daemon's own record only.
    pub(super) fn bare_message(&mut self, body: Body) -> Message {
        self.sequence += 1;
        Message {
            from: VmId::clone(&self.own.vm),
            incarnation: self.own.incarnation,
            sequence: self.sequence,
            body,
            updates: vec![Arc::clone(&self.own)],
            rules: self.rules,
            homes: self.homes,
            digest: self.table.whole_digest(),
        }
    }

    pub(super) fn random_members(
        &mut self,
        count: usize,
        except: Option<&VmId>,
    ) -> Vec<Arc<Member>> {
        let own = &self.own.vm;
        // Two more are drawn, because this daemon and the excepted one may be among them.
        self.table
            .live(&self.own.data_centre)
            .choose_multiple(&mut self.rng, count + 2)
            .map(|(_, vm)| vm)
            .filter(|vm| *vm != own && Some(*vm) != except)
            .take(count)
            .filter_map(|vm| Some(Arc::clone(&self.table.get(vm)?.record)))
            .collect()
    }
}
