//! Timers: probes, suspicions, pushes, deltas, joins and reconnects.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use rand::seq::{IndexedRandom, SliceRandom};

use super::{
    Action, Body, CONTACT_LISTING_INTERVAL, DELTA_INTERVAL, DIRECT_PROBE_TIMEOUT,
    DIRECT_PUSH_FANOUT, INTERMEDIARY_COUNT, ISOLATION_TIMEOUT, JOIN_BACKOFF, JOIN_CONTACT_COUNT,
    JoinState, MAX_ISOLATED_BACKOFF, MIN_DELTA_INTERVAL, MIN_PUSH_INTERVAL, Member, Membership,
    PROBE_INTERVAL, PUSH_FANOUT, Probe, PushScope, RELAYS_PER_DATA_CENTRE, REPAIR_PEER_COUNT,
    REPING_AFTER, SUSPICION_TIMEOUT, SYNC_TIMEOUT, State, Suspicion, SyncRequest, SyncScope,
    UNREACHABLE_TIMEOUT, jitter,
};
use crate::id::{DataCentreName, VmId};

impl Membership {
    /// Starts the next probe, escalates a pending one or suspects its target.
    pub(super) fn tick_probe(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(mut probe) = self.probe.take() {
            let waited = now.saturating_duration_since(probe.started);
            if waited >= PROBE_INTERVAL {
                self.suspect(now, &probe.vm, actions);
            } else {
                if waited >= DIRECT_PROBE_TIMEOUT && !probe.indirect {
                    probe.indirect = true;
                    self.probe_indirectly(&probe, actions);
                }
                self.probe = Some(probe);
                return;
            }
        }
        if now < self.next_probe || self.own.state == State::Left {
            return;
        }
        self.next_probe = now + PROBE_INTERVAL;
        if let Some(target) = self.next_probe_target() {
            let message = self.ping_message(&target.vm);
            self.probe = Some(Probe {
                vm: VmId::clone(&target.vm),
                address: target.gossip_address,
                sequence: message.sequence,
                started: now,
                indirect: false,
            });
            actions.push(Action::Send {
                to: target.gossip_address,
                message,
            });
        }
    }

    pub(super) fn probe_indirectly(&mut self, probe: &Probe, actions: &mut Vec<Action>) {
        for intermediary in self.random_members(INTERMEDIARY_COUNT, Some(&probe.vm)) {
            let body = Body::PingRequest {
                target: VmId::clone(&probe.vm),
                address: probe.address,
            };
            let mut message = self.build_message(body, Vec::new());
            message.sequence = probe.sequence;
            actions.push(Action::Send {
                to: intermediary.gossip_address,
                message,
            });
        }
    }

    /// Returns the next member of the round, which visits every member once in random order.
    pub(super) fn next_probe_target(&mut self) -> Option<Arc<Member>> {
        for _ in 0..2 {
            while let Some(vm) = self.round.pop() {
                if let Some(entry) = self.table.get(&vm)
                    && entry.record.state.is_live()
                {
                    return Some(Arc::clone(&entry.record));
                }
            }
            let own = &self.own.vm;
            let live = self.table.live(&self.own.data_centre).iter();
            self.round
                .extend(live.map(|(_, vm)| VmId::clone(vm)).filter(|vm| vm != own));
            self.round.shuffle(&mut self.rng);
        }
        None
    }

    pub(super) fn suspect(&mut self, now: Instant, vm: &VmId, actions: &mut Vec<Action>) {
        let Some(entry) = self.table.get(vm) else {
            return;
        };
        match entry.record.state {
            State::Alive => {
                self.counters.suspected += 1;
                let mut record = Member::clone(&entry.record);
                record.state = State::Suspect;
                self.apply_record(now, Arc::new(record), true, actions);
            }
            State::Draining => {
                self.counters.suspected += 1;
                self.suspects
                    .entry(VmId::clone(vm))
                    .or_insert(Suspicion::new(now));
            }
            State::Suspect | State::Dead | State::Left => {}
        }
    }

    /// Pings suspects again and marks those dead that did not refute in time.
    pub(super) fn tick_suspects(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut timed_out = Vec::new();
        let mut to_reping = Vec::new();
        for (vm, suspicion) in &mut self.suspects {
            let age = now.saturating_duration_since(suspicion.since);
            if age >= SUSPICION_TIMEOUT {
                timed_out.push(VmId::clone(vm));
            } else if age >= REPING_AFTER && !suspicion.repinged {
                suspicion.repinged = true;
                to_reping.push(VmId::clone(vm));
            }
        }
        for vm in to_reping {
            self.send_ping(&vm, actions);
        }
        for vm in timed_out {
            if !self.may_remove(now, &vm) {
                self.counters.removals_held += 1;
                return;
            }
            self.suspects.remove(&vm);
            if let Some(entry) = self.table.get(&vm)
                && entry.record.state.is_live()
            {
                self.counters.removed += 1;
                let mut record = Member::clone(&entry.record);
                record.state = State::Dead;
                self.apply_record(now, Arc::new(record), true, actions);
            }
        }
    }

    pub(super) fn tick_push(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let due = self
            .last_push
            .is_none_or(|last| now.saturating_duration_since(last) >= MIN_PUSH_INTERVAL);
        let Some(push) = self.push.filter(|_| due) else {
            return;
        };
        self.push = None;
        self.last_push = Some(now);
        if push == PushScope::Direct {
            let message = self.build_bare_message(Body::Push);
            for member in self.random_members(DIRECT_PUSH_FANOUT, None) {
                actions.push(Action::Send {
                    to: member.gossip_address,
                    message: message.clone(),
                });
            }
        }
        for member in self.random_members(PUSH_FANOUT, None) {
            let message = self.build_message(Body::Push, Vec::new());
            actions.push(Action::Send {
                to: member.gossip_address,
                message,
            });
        }
    }

    /// Whether this daemon is among the `count` local members that act as relays or contacts.
    pub(super) fn is_among_first(&self, count: usize) -> bool {
        self.table
            .lowest_by_hash(&self.own.data_centre, count)
            .any(|member| member.vm == self.own.vm)
    }

    /// Assumes or releases the relay role, sends deltas and publishes the names of silent data
    /// centres.
    pub(super) fn tick_relay(&mut self, now: Instant, actions: &mut Vec<Action>) {
        // A relay that leaves still has to send its last record to the remote data centres.
        let left = self.relay && self.own.state == State::Left;
        let relay =
            now >= self.eligible_at && (left || self.is_among_first(RELAYS_PER_DATA_CENTRE));
        if relay && !self.relay {
            for remote in self.remotes.values_mut() {
                remote.last_heard = now;
                remote.last_match = now;
                remote.outbox.clear();
            }
        }
        self.relay = relay;
        let mut silent = Vec::new();
        if relay {
            for (name, remote) in &self.remotes {
                let is_silent =
                    now.saturating_duration_since(remote.last_heard) > UNREACHABLE_TIMEOUT;
                if is_silent && !self.table.live(name).is_empty() {
                    silent.push(DataCentreName::clone(name));
                }
            }
            let waited = now.saturating_duration_since(self.last_delta);
            if waited >= DELTA_INTERVAL || (self.delta_pending && waited >= MIN_DELTA_INTERVAL) {
                self.last_delta = now;
                self.delta_pending = false;
                self.send_deltas(now, actions);
            }
        }
        if silent != self.own.unreachable {
            self.publish(now, PushScope::Gossip, |own| own.unreachable = silent);
        }
    }

    pub(super) fn send_deltas(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.delta_round += 1;
        let names: Vec<DataCentreName> = self.remotes.keys().map(DataCentreName::clone).collect();
        for name in names {
            let target = self.delta_target(now, &name);
            let Some(to) = target.map(|member| member.gossip_address) else {
                continue;
            };
            let body = Body::Delta { data_centre: name };
            let message = self.build_message(body, Vec::new());
            actions.push(Action::Send { to, message });
        }
        if self.remotes.values().any(|one| !one.outbox.is_empty()) {
            self.delta_pending = true;
        }
    }

    /// Returns the member of a remote data centre that receives the next delta.
    ///
    /// Members that sent deltas act as relays there. The table alone may select dead ones, because
    /// suspicions are not relayed and the suspicion limit can prevent a removal. If no member sent
    /// one, the relays may have been replaced, so any live member is tried in every second round.
    pub(super) fn delta_target(
        &mut self,
        now: Instant,
        name: &DataCentreName,
    ) -> Option<Arc<Member>> {
        let remote = self.remotes.get_mut(name)?;
        remote
            .senders
            .retain(|_, heard| now.saturating_duration_since(*heard) <= UNREACHABLE_TIMEOUT);
        let record = |vm: &VmId| Some(&self.table.get(vm)?.record);
        let senders = remote.senders.keys().filter_map(record);
        let mut candidates: Vec<&Arc<Member>> = senders.filter(|one| one.state.is_live()).collect();
        if candidates.is_empty() && self.delta_round.is_multiple_of(2) {
            let live = self.table.live(name).choose(&mut self.rng);
            candidates.extend(live.and_then(|(_, vm)| record(vm)));
        } else if candidates.is_empty() {
            candidates.extend(self.table.lowest_by_hash(name, RELAYS_PER_DATA_CENTRE));
        }
        let count = candidates.len().max(1);
        candidates
            .get(self.delta_round % count)
            .map(|one| Arc::clone(one))
    }

    /// Marks a data centre as unreachable when most local relays report so.
    pub(super) fn tick_reachability(&mut self, actions: &mut Vec<Action>) {
        let relays: Vec<_> = self.relays(&self.own.data_centre).collect();
        if self.unreachable.is_empty() && relays.iter().all(|one| one.unreachable.is_empty()) {
            return;
        }
        let mut unreachable = BTreeSet::new();
        for name in self.table.data_centres() {
            let votes = relays
                .iter()
                .filter(|relay| relay.unreachable.contains(name))
                .count();
            if votes * 2 > relays.len() {
                unreachable.insert(DataCentreName::clone(name));
            }
        }
        for name in unreachable.symmetric_difference(&self.unreachable) {
            actions.push(Action::ReachabilityChanged {
                data_centre: DataCentreName::clone(name),
                reachable: self.unreachable.contains(name),
            });
        }
        self.unreachable = unreachable;
    }

    /// Joins, repairs the table after a pause, or reconnects an isolated daemon through contacts.
    pub(super) fn tick_join(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.pending_syncs
            .retain(|_, (_, started)| now.saturating_duration_since(*started) < SYNC_TIMEOUT);
        if self.own.state == State::Left {
            return;
        }
        if now < self.next_join {
            return;
        }
        let isolated = self.is_isolated(now);
        if self.join_state == JoinState::Paused && !isolated {
            self.next_join = now + jitter(&mut self.rng, JOIN_BACKOFF.0);
            for peer in self.random_peers(REPAIR_PEER_COUNT) {
                self.start_sync(now, peer, SyncScope::Repair, actions);
            }
            return;
        }
        if self.join_state == JoinState::Stale && !isolated {
            self.next_join = now + jitter(&mut self.rng, JOIN_BACKOFF.0);
            for peer in self.random_peers(1) {
                self.start_sync(now, peer, SyncScope::Rejoin, actions);
            }
            return;
        }
        if self.is_joined() && !isolated {
            self.join_backoff = JOIN_BACKOFF.0;
            return;
        }
        if now >= self.next_listing {
            self.next_listing = now + jitter(&mut self.rng, CONTACT_LISTING_INTERVAL);
            actions.push(Action::ListContacts);
        }
        if self.contacts.is_empty() {
            return;
        }
        self.next_join = now + jitter(&mut self.rng, self.join_backoff);
        let (longest, count) = if self.is_joined() {
            (MAX_ISOLATED_BACKOFF, 1)
        } else {
            (JOIN_BACKOFF.1, JOIN_CONTACT_COUNT)
        };
        self.join_backoff = (self.join_backoff * 2).min(longest);
        let chosen: Vec<SocketAddr> = self
            .contacts
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect();
        let scope = match self.join_state {
            JoinState::New => SyncScope::Join,
            JoinState::Stale => SyncScope::Rejoin,
            JoinState::Joined | JoinState::Paused => SyncScope::Repair,
        };
        for contact in chosen {
            self.start_sync(now, contact, scope, actions);
        }
    }

    /// Whether no message arrives from local peers or, without local peers, from any data centre.
    fn is_isolated(&self, now: Instant) -> bool {
        let silent = |heard: Instant| now.saturating_duration_since(heard) > ISOLATION_TIMEOUT;
        let has_peers = self.table.live(&self.own.data_centre).len() > 1;
        let remotes_silent = self
            .remotes
            .values()
            .all(|remote| silent(remote.last_heard));
        silent(self.last_heard) && (has_peers || remotes_silent)
    }

    pub(super) fn start_sync(
        &mut self,
        now: Instant,
        to: SocketAddr,
        scope: SyncScope,
        actions: &mut Vec<Action>,
    ) {
        self.counters.syncs += 1;
        self.pending_syncs.insert(to, (scope, now));
        let members = if scope == SyncScope::Exchange {
            self.sync_members(now, scope)
        } else {
            vec![Arc::clone(&self.own)]
        };
        let request = SyncRequest { members };
        actions.push(Action::Sync { to, request });
    }

    /// Pings one dead member of this data centre, which may have been partitioned or paused.
    pub(super) fn reconnect(&mut self, actions: &mut Vec<Action>) {
        let dead: Vec<Arc<Member>> = self
            .table
            .entries()
            .map(|entry| &entry.record)
            .filter(|one| one.state == State::Dead && one.data_centre == self.own.data_centre)
            .map(Arc::clone)
            .collect();
        if let Some(member) = dead.choose(&mut self.rng) {
            self.send_ping(&VmId::clone(&member.vm), actions);
        }
    }

    /// Pings a member outside the probe round; the acknowledgement carries its current record.
    pub(super) fn send_ping(&mut self, vm: &VmId, actions: &mut Vec<Action>) {
        let Some(to) = self.table.get(vm).map(|one| one.record.gossip_address) else {
            return;
        };
        let message = self.ping_message(vm);
        actions.push(Action::Send { to, message });
    }
}
