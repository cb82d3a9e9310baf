//! Changes of the daemon's own record, and the messages that disseminate updates.

use std::sync::Arc;
use std::time::Instant;

use rand::seq::IndexedRandom;

use super::{
    Action, Body, DATAGRAM_OVERHEAD_BYTES, JoinState, MAX_DATAGRAM_BYTES, MAX_DELTA_TRANSMISSIONS,
    MIN_CORRECTION_INTERVAL, MIN_PAUSE, MIN_REJOIN_PAUSE, Member, Membership, Message,
    PROBE_INTERVAL, PushScope, SUSPICION_TIMEOUT, State, Suspicion, jitter,
};
use crate::id::{DataCentreName, Incarnation, VmId};

impl Membership {
    /// Changes this daemon's record, raises its version and disseminates it.
    pub(super) fn publish(
        &mut self,
        now: Instant,
        push: PushScope,
        change: impl FnOnce(&mut Member),
    ) {
        let mut own = Member::clone(&self.own);
        change(&mut own);
        own.version += 1;
        self.own = Arc::new(own);
        self.table.insert(Arc::clone(&self.own), now);
        let vm = VmId::clone(&self.own.vm);
        self.push = self.push.max(Some(push));
        self.disseminate(&vm);
    }

    /// Queues a member's record for dissemination.
    pub(super) fn disseminate(&mut self, vm: &VmId) {
        self.queue.push(vm);
        self.push = self.push.max(Some(PushScope::Gossip));
        // Suspicions stay within the data centre; remote ones are only sent the removal.
        let relayed = self.table.get(vm).is_some_and(|entry| {
            entry.record.data_centre == self.own.data_centre && entry.record.state != State::Suspect
        });
        if self.relay && relayed {
            for remote in self.remotes.values_mut() {
                remote.outbox.push(vm);
            }
            self.delta_pending = true;
        }
    }

    /// If this daemon was paused, resets all observations of silence, schedules a repair or rejoin
    /// after a long pause, and publishes its record with a higher version to refute suspicions.
    pub(super) fn detect_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        if gap <= MIN_PAUSE {
            return;
        }
        // Replies may have been lost during the pause, so silence across it is no reason for a
        // suspicion.
        self.counters.pauses += 1;
        self.last_tick = now;
        self.probe = None;
        self.indirect_probes.clear();
        self.next_probe = now + jitter(&mut self.rng, PROBE_INTERVAL);
        self.last_heard = now;
        self.last_match = now;
        for suspicion in self.suspects.values_mut() {
            *suspicion = Suspicion::new(now);
        }
        for remote in self.remotes.values_mut() {
            remote.last_heard = now;
            remote.last_match = now;
        }
        if gap > SUSPICION_TIMEOUT && self.join_state == JoinState::Joined {
            self.join_state = JoinState::Paused;
            self.next_join = now;
        }
        if gap > MIN_REJOIN_PAUSE && self.is_joined() {
            self.join_state = JoinState::Stale;
            self.queue.clear();
        }
        if self.own.state != State::Left {
            self.publish(now, PushScope::Direct, |_| {});
        }
    }

    pub(super) fn detect_replacement(
        &mut self,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        if incarnation > self.own.incarnation {
            actions.push(Action::Replaced { incarnation });
        }
    }

    /// Sends the known record of `vm` to `vm` itself, so that it can refute it or exit.
    pub(super) fn send_correction(&mut self, now: Instant, vm: &VmId, actions: &mut Vec<Action>) {
        let due = self
            .last_correction
            .is_none_or(|last| now.saturating_duration_since(last) >= MIN_CORRECTION_INTERVAL);
        let Some(record) = self.record_with_suspicion(vm).filter(|_| due) else {
            return;
        };
        self.last_correction = Some(now);
        let to = record.gossip_address;
        let message = self.build_message(Body::Push, vec![record]);
        actions.push(Action::Send { to, message });
    }

    /// Returns the record of `vm`, as a suspect if it is draining and suspected.
    pub(super) fn record_with_suspicion(&self, vm: &VmId) -> Option<Arc<Member>> {
        let record = &self.table.get(vm)?.record;
        if record.state == State::Draining && self.suspects.contains_key(vm) {
            let mut suspected = Member::clone(record);
            suspected.state = State::Suspect;
            return Some(Arc::new(suspected));
        }
        Some(Arc::clone(record))
    }

    /// Builds a message with this daemon's record, `extra` and as many queued updates as fit.
    pub(super) fn build_message(&mut self, body: Body, extra: Vec<Arc<Member>>) -> Message {
        let (digest, queue) = match &body {
            Body::Delta { data_centre } => {
                let digest = self.table.digest(&self.own.data_centre);
                let remote = self.remotes.get_mut(data_centre);
                (digest, remote.map(|remote| &mut remote.outbox))
            }
            _ => (self.table.full_digest(), Some(&mut self.queue)),
        };
        let (target_bytes, limit) = match &body {
            Body::Ping { target, .. } | Body::PingRequest { target, .. } | Body::Ack { target } => {
                (target.len(), None)
            }
            Body::Delta { data_centre } => (data_centre.len(), Some(MAX_DELTA_TRANSMISSIONS)),
            Body::Push => (0, None),
        };
        let members = self.table.live(&self.own.data_centre).len() as u32 + 1;
        let limit = limit.unwrap_or(2 * (u32::BITS - members.leading_zeros()));
        let mut updates = Vec::with_capacity(1 + extra.len());
        updates.push(Arc::clone(&self.own));
        updates.extend(extra);
        let used_bytes = updates.iter().map(|one| one.wire_size()).sum::<usize>();
        let budget_bytes = MAX_DATAGRAM_BYTES.saturating_sub(
            DATAGRAM_OVERHEAD_BYTES + self.own.vm.len() + target_bytes + used_bytes,
        );
        if let Some(queue) = queue {
            let table = &self.table;
            let own = &self.own.vm;
            let taken = queue.take(budget_bytes, limit, |vm| {
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
        let bare = self.build_bare_message(body);
        Message {
            updates,
            digest,
            ..bare
        }
    }

    /// Builds a message with this daemon's record only.
    pub(super) fn build_bare_message(&mut self, body: Body) -> Message {
        self.sequence += 1;
        Message {
            from: VmId::clone(&self.own.vm),
            incarnation: self.own.incarnation,
            sequence: self.sequence,
            body,
            updates: vec![Arc::clone(&self.own)],
            rules: self.rules,
            homes: self.homes,
            digest: self.table.full_digest(),
        }
    }

    /// Returns up to `count` random live members of this data centre, without this daemon and
    /// `except`.
    pub(super) fn random_members(
        &mut self,
        count: usize,
        except: Option<&VmId>,
    ) -> Vec<Arc<Member>> {
        let own = &self.own.vm;
        // Two extra members are drawn, because this daemon and `except` may be among them.
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
