//! Probes, suspicion, relays, joins and other timers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use rand::seq::{IndexedRandom, SliceRandom};

use super::{
    Action, Body, DELTA_INTERVAL, DELTA_PERIOD, DIRECT_TIMEOUT, FANOUT, HELPERS, JOIN_BACKOFF,
    JOIN_CONTACTS, LAST_CHANCE, LISTING_PERIOD, LONELY_AFTER, LONELY_BACKOFF, Member, Membership,
    PROBE_INTERVAL, PUSH_INTERVAL, Probe, Push, RELAYS_PER_DATA_CENTRE, REPAIR_PEERS,
    SUSPICION_TIMEOUT, SYNC_TIMEOUT, Scope, Standing, State, Suspicion, SyncRequest, TOLD_DIRECTLY,
    UNREACHABLE_AFTER, jitter,
};
use crate::id::{DataCentreName, VmId};

impl Membership {
    pub(super) fn tick_probe(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(mut probe) = self.probe.take() {
            let waited = now.saturating_duration_since(probe.started);
            if waited >= PROBE_INTERVAL {
                self.suspect(now, &probe.vm, actions);
            } else {
                if waited >= DIRECT_TIMEOUT && !probe.indirect {
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
        if let Some(target) = self.next_target() {
            let message = self.ping(&target.vm);
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
        for helper in self.random_members(HELPERS, Some(&probe.vm)) {
            let body = Body::PingRequest {
                target: VmId::clone(&probe.vm),
                address: probe.address,
            };
            let mut message = self.message(body, Vec::new());
            message.sequence = probe.sequence;
            actions.push(Action::Send {
                to: helper.gossip_address,
                message,
            });
        }
    }

    /// Next member of the round, which visits every member once in random order.
    pub(super) fn next_target(&mut self) -> Option<Arc<Member>> {
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
                self.store(now, Arc::new(record), true, actions);
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

    pub(super) fn tick_suspects(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut due = Vec::new();
        let mut asked = Vec::new();
        for (vm, suspicion) in &mut self.suspects {
            let age = now.saturating_duration_since(suspicion.since);
            if age >= SUSPICION_TIMEOUT {
                due.push(VmId::clone(vm));
            } else if age >= LAST_CHANCE && !suspicion.asked {
                suspicion.asked = true;
                asked.push(VmId::clone(vm));
            }
        }
        for vm in asked {
            self.ask(&vm, actions);
        }
        for vm in due {
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
                self.store(now, Arc::new(record), true, actions);
            }
        }
    }

    pub(super) fn tick_push(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let due = self
            .last_push
            .is_none_or(|last| now.saturating_duration_since(last) >= PUSH_INTERVAL);
        let Some(push) = self.push.filter(|_| due) else {
            return;
        };
        self.push = None;
        self.last_push = Some(now);
        if push == Push::Tell {
            let message = self.bare_message(Body::Push);
            for member in self.random_members(TOLD_DIRECTLY, None) {
                actions.push(Action::Send {
                    to: member.gossip_address,
                    message: message.clone(),
                });
            }
        }
        for member in self.random_members(FANOUT, None) {
            let message = self.message(Body::Push, Vec::new());
            actions.push(Action::Send {
                to: member.gossip_address,
                message,
            });
        }
    }

    pub(super) fn is_among_lowest(&self, count: usize) -> bool {
        self.table
            .lowest(&self.own.data_centre, count)
            .any(|member| member.vm == self.own.vm)
    }

    pub(super) fn tick_relay(&mut self, now: Instant, actions: &mut Vec<Action>) {
        // A relay that left still has to tell the other data centres so.
        let left = self.relay && self.own.state == State::Left;
        let relay =
            now >= self.settled_at && (left || self.is_among_lowest(RELAYS_PER_DATA_CENTRE));
        if relay && !self.relay {
            for remote in self.remotes.values_mut() {
                remote.heard = now;
                remote.matched = now;
                remote.outbox.clear();
            }
        }
        self.relay = relay;
        let mut silent = Vec::new();
        if relay {
            for (name, remote) in &self.remotes {
                let quiet = now.saturating_duration_since(remote.heard) > UNREACHABLE_AFTER;
                if quiet && !self.table.live(name).is_empty() {
                    silent.push(DataCentreName::clone(name));
                }
            }
            let waited = now.saturating_duration_since(self.last_delta);
            if waited >= DELTA_PERIOD || (self.delta && waited >= DELTA_INTERVAL) {
                self.last_delta = now;
                self.delta = false;
                self.send_deltas(now, actions);
            }
        }
        if silent != self.own.unreachable {
            self.publish(now, Push::Gossip, |own| own.unreachable = silent);
        }
    }

    pub(super) fn send_deltas(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.turn += 1;
        let names: Vec<DataCentreName> = self.remotes.keys().map(DataCentreName::clone).collect();
        for name in names {
            let target = self.delta_target(now, &name);
            let Some(to) = target.map(|member| member.gossip_address) else {
                continue;
            };
            let body = Body::Delta { data_centre: name };
            let message = self.message(body, Vec::new());
            actions.push(Action::Send { to, message });
        }
        if self.remotes.values().any(|one| !one.outbox.is_empty()) {
            self.delta = true;
        }
    }

    /// Member of another data centre to send the next delta to.
    ///
    /// Members that sent deltas act as relays there. The table alone may name dead ones, because
    /// suspicion is not relayed and the suspicion limit can hold back a removal. Without a sender
    /// the relays of a silent data centre may have been replaced, so all its members are tried.
    pub(super) fn delta_target(
        &mut self,
        now: Instant,
        name: &DataCentreName,
    ) -> Option<Arc<Member>> {
        let remote = self.remotes.get_mut(name)?;
        remote
            .senders
            .retain(|_, heard| now.saturating_duration_since(*heard) <= UNREACHABLE_AFTER);
        let record = |vm: &VmId| Some(&self.table.get(vm)?.record);
        let senders = remote.senders.keys().filter_map(record);
        let mut candidates: Vec<&Arc<Member>> = senders.filter(|one| one.state.is_live()).collect();
        if candidates.is_empty() && self.turn.is_multiple_of(2) {
            let live = self.table.live(name).choose(&mut self.rng);
            candidates.extend(live.and_then(|(_, vm)| record(vm)));
        } else if candidates.is_empty() {
            candidates.extend(self.table.lowest(name, RELAYS_PER_DATA_CENTRE));
        }
        let count = candidates.len().max(1);
        candidates.get(self.turn % count).map(|one| Arc::clone(one))
    }

    /// A data centre is unreachable when most relays of this one hear nothing from it.
    pub(super) fn tick_reachable(&mut self, actions: &mut Vec<Action>) {
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

    pub(super) fn tick_join(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.syncs
            .retain(|_, (_, started)| now.saturating_duration_since(*started) < SYNC_TIMEOUT);
        if self.own.state == State::Left {
            return;
        }
        if now < self.next_join {
            return;
        }
        let lonely = self.is_lonely(now);
        if self.standing == Standing::Paused && !lonely {
            self.next_join = now + jitter(&mut self.rng, JOIN_BACKOFF.0);
            for peer in self.random_peers(REPAIR_PEERS) {
                self.start_sync(now, peer, Scope::Repair, actions);
            }
            return;
        }
        if self.standing == Standing::Stale && !lonely {
            self.next_join = now + jitter(&mut self.rng, JOIN_BACKOFF.0);
            for peer in self.random_peers(1) {
                self.start_sync(now, peer, Scope::Rejoin, actions);
            }
            return;
        }
        if self.is_joined() && !lonely {
            self.join_wait = JOIN_BACKOFF.0;
            return;
        }
        if now >= self.next_listing {
            self.next_listing = now + jitter(&mut self.rng, LISTING_PERIOD);
            actions.push(Action::ListContacts);
        }
        if self.contacts.is_empty() {
            return;
        }
        self.next_join = now + jitter(&mut self.rng, self.join_wait);
        let (longest, count) = if self.is_joined() {
            (LONELY_BACKOFF, 1)
        } else {
            (JOIN_BACKOFF.1, JOIN_CONTACTS)
        };
        self.join_wait = (self.join_wait * 2).min(longest);
        let chosen: Vec<SocketAddr> = self
            .contacts
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect();
        let scope = match self.standing {
            Standing::New => Scope::Join,
            Standing::Stale => Scope::Rejoin,
            Standing::Joined | Standing::Paused => Scope::Repair,
        };
        for contact in chosen {
            self.start_sync(now, contact, scope, actions);
        }
    }

    /// Whether this daemon hears none of its peers, or nobody at all if it knows no peer.
    fn is_lonely(&self, now: Instant) -> bool {
        let silent = |heard: Instant| now.saturating_duration_since(heard) > LONELY_AFTER;
        let has_peers = self.table.live(&self.own.data_centre).len() > 1;
        let others_silent = self.remotes.values().all(|remote| silent(remote.heard));
        silent(self.last_contact) && (has_peers || others_silent)
    }

    pub(super) fn start_sync(
        &mut self,
        now: Instant,
        to: SocketAddr,
        scope: Scope,
        actions: &mut Vec<Action>,
    ) {
        self.counters.syncs += 1;
        self.syncs.insert(to, (scope, now));
        let members = if scope == Scope::Exchange {
            self.listing(now, scope)
        } else {
            vec![Arc::clone(&self.own)]
        };
        let request = SyncRequest { members };
        actions.push(Action::Sync { to, request });
    }

    /// Probes one dead member of this data centre, which may have been cut off or paused.
    pub(super) fn reconnect(&mut self, actions: &mut Vec<Action>) {
        let dead: Vec<Arc<Member>> = self
            .table
            .entries()
            .map(|entry| &entry.record)
            .filter(|one| one.state == State::Dead && one.data_centre == self.own.data_centre)
            .map(Arc::clone)
            .collect();
        if let Some(member) = dead.choose(&mut self.rng) {
            self.ask(&VmId::clone(&member.vm), actions);
        }
    }

    /// Pings a member outside the round; its answer carries its current record.
    pub(super) fn ask(&mut self, vm: &VmId, actions: &mut Vec<Action>) {
        let Some(to) = self.table.get(vm).map(|one| one.record.gossip_address) else {
            return;
        };
        let message = self.ping(vm);
        actions.push(Action::Send { to, message });
    }
}
