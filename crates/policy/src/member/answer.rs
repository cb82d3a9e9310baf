//! Observations on received messages, and answers.

use std::sync::Arc;
use std::time::Instant;

use super::{
    Action, Body, DELTA_MISMATCH, EXCHANGE_INTERVAL, Help, MISMATCH, Member, Membership, Message,
    PROBE_INTERVAL, SYNC_INTERVAL, Scope, State, jitter,
};
use crate::id::{DataCentreName, Revision, VmId};

impl Membership {
    pub(super) fn observe_sender(
        &mut self,
        now: Instant,
        message: &Message,
        sender: &Arc<Member>,
        actions: &mut Vec<Action>,
    ) {
        self.observe_revisions(sender, message.rules, message.homes, actions);
        let accused = self.table.get(&message.from).is_some_and(|entry| {
            entry.record.incarnation == message.incarnation
                && matches!(entry.record.state, State::Suspect | State::Dead)
        });
        if accused {
            self.correct(now, &message.from, actions);
        } else {
            // Only suspicions of draining members remain beside a record; contact refutes them.
            self.suspects.remove(&message.from);
        }
        if let Body::Delta { data_centre } = &message.body {
            self.observe_delta(now, data_centre, message.digest, sender, actions);
        } else if sender.data_centre == self.own.data_centre {
            self.observe_digest(now, message.digest, sender, actions);
        }
    }

    pub(super) fn observe_revisions(
        &mut self,
        sender: &Arc<Member>,
        rules: Revision,
        homes: Revision,
        actions: &mut Vec<Action>,
    ) {
        if rules > self.rules || homes > self.homes {
            actions.push(Action::NewerRevision {
                vm: VmId::clone(&sender.vm),
                address: sender.call_address,
                rules,
                homes,
            });
        }
    }

    pub(super) fn observe_digest(
        &mut self,
        now: Instant,
        digest: u64,
        sender: &Arc<Member>,
        actions: &mut Vec<Action>,
    ) {
        if digest == self.table.whole_digest() {
            self.last_match = now;
        } else if self.is_joined()
            && now.saturating_duration_since(self.last_match) > MISMATCH
            && now >= self.next_repair
        {
            self.next_repair = now + jitter(&mut self.rng, SYNC_INTERVAL);
            self.start_sync(now, sender.call_address, Scope::Repair, actions);
        }
    }

    pub(super) fn observe_delta(
        &mut self,
        now: Instant,
        data_centre: &DataCentreName,
        digest: u64,
        sender: &Arc<Member>,
        actions: &mut Vec<Action>,
    ) {
        let matches = digest == self.table.digest(data_centre);
        let relay = self.relay;
        let Some(remote) = self.remotes.get_mut(data_centre) else {
            return;
        };
        remote.heard = now;
        remote.senders.insert(VmId::clone(&sender.vm), now);
        if matches {
            remote.matched = now;
            return;
        }
        let due = now.saturating_duration_since(remote.matched) > DELTA_MISMATCH
            && remote
                .exchanged
                .is_none_or(|last| now.saturating_duration_since(last) > EXCHANGE_INTERVAL);
        if relay && due {
            remote.exchanged = Some(now);
            self.start_sync(now, sender.call_address, Scope::Exchange, actions);
        }
    }

    pub(super) fn answer(
        &mut self,
        now: Instant,
        message: Message,
        sender: &Arc<Member>,
        actions: &mut Vec<Action>,
    ) {
        let to = sender.gossip_address;
        match message.body {
            Body::Ping { target, .. } if target == self.own.vm => {
                let accusation = self.accused(&message.from);
                let mut reply = self.message(Body::Ack { target }, accusation);
                reply.sequence = message.sequence;
                actions.push(Action::Send { to, message: reply });
            }
            Body::PingRequest { target, address } => {
                let help = Help {
                    requester: to,
                    sequence: message.sequence,
                    until: now + PROBE_INTERVAL,
                };
                let probe = self.ping(&target);
                self.help.insert(probe.sequence, help);
                actions.push(Action::Send {
                    to: address,
                    message: probe,
                });
            }
            Body::Ack { target } => {
                let probed = self
                    .probe
                    .as_ref()
                    .is_some_and(|one| one.sequence == message.sequence && one.vm == target);
                if probed {
                    self.probe = None;
                }
                if let Some(help) = self.help.remove(&message.sequence) {
                    let record = self.table.get(&target).map(|one| Arc::clone(&one.record));
                    let mut reply =
                        self.message(Body::Ack { target }, record.into_iter().collect());
                    reply.sequence = help.sequence;
                    actions.push(Action::Send {
                        to: help.requester,
                        message: reply,
                    });
                }
            }
            Body::Ping { .. } | Body::Delta { .. } | Body::Push => {}
        }
    }

    /// Record to send along to a member that is accused.
    pub(super) fn accused(&self, vm: &VmId) -> Vec<Arc<Member>> {
        self.accusation(vm)
            .filter(|record| matches!(record.state, State::Suspect | State::Dead))
            .into_iter()
            .collect()
    }

    pub(super) fn ping(&mut self, vm: &VmId) -> Message {
        let incarnation = self.table.get(vm).map_or(0, |one| one.record.incarnation);
        let accusation = self.accused(vm);
        let body = Body::Ping {
            target: VmId::clone(vm),
            incarnation,
        };
        self.message(body, accusation)
    }
}
