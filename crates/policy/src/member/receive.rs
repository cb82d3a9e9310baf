//! Handling of received messages and replies to them.

use std::sync::Arc;
use std::time::Instant;

use super::{
    Action, Body, DELTA_MISMATCH_GRACE, DIGEST_MISMATCH_GRACE, IndirectProbe,
    MIN_EXCHANGE_INTERVAL, MIN_SYNC_INTERVAL, Member, Membership, Message, PROBE_INTERVAL, State,
    SyncScope, jitter,
};
use crate::id::{DataCentreName, Revision, VmId};

impl Membership {
    /// Compares the sender's revisions and digest with the local ones and clears or reports a
    /// suspicion of it.
    pub(super) fn handle_sender(
        &mut self,
        now: Instant,
        message: &Message,
        sender: &Arc<Member>,
        actions: &mut Vec<Action>,
    ) {
        self.check_revisions(sender, message.rules, message.homes, actions);
        let suspected = self.table.get(&message.from).is_some_and(|entry| {
            entry.record.incarnation == message.incarnation
                && matches!(entry.record.state, State::Suspect | State::Dead)
        });
        if suspected {
            self.send_correction(now, &message.from, actions);
        } else {
            // A suspicion of a draining member is kept outside its record; a message refutes it.
            self.suspects.remove(&message.from);
        }
        if let Body::Delta { data_centre } = &message.body {
            self.handle_delta(now, data_centre, message.digest, sender, actions);
        } else if sender.data_centre == self.own.data_centre {
            self.check_digest(now, message.digest, sender, actions);
        }
    }

    pub(super) fn check_revisions(
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

    /// Starts a full sync after a lasting digest mismatch within the data centre.
    pub(super) fn check_digest(
        &mut self,
        now: Instant,
        digest: u64,
        sender: &Arc<Member>,
        actions: &mut Vec<Action>,
    ) {
        if digest == self.table.full_digest() {
            self.last_match = now;
        } else if self.is_joined()
            && now.saturating_duration_since(self.last_match) > DIGEST_MISMATCH_GRACE
            && now >= self.next_repair
        {
            self.next_repair = now + jitter(&mut self.rng, MIN_SYNC_INTERVAL);
            self.start_sync(now, sender.call_address, SyncScope::Repair, actions);
        }
    }

    /// Records a delta of a remote data centre and starts an exchange after a lasting mismatch.
    pub(super) fn handle_delta(
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
        remote.last_heard = now;
        remote.senders.insert(VmId::clone(&sender.vm), now);
        if matches {
            remote.last_match = now;
            return;
        }
        let due = now.saturating_duration_since(remote.last_match) > DELTA_MISMATCH_GRACE
            && remote
                .last_exchange
                .is_none_or(|last| now.saturating_duration_since(last) > MIN_EXCHANGE_INTERVAL);
        if relay && due {
            remote.last_exchange = Some(now);
            self.start_sync(now, sender.call_address, SyncScope::Exchange, actions);
        }
    }

    pub(super) fn handle_body(
        &mut self,
        now: Instant,
        message: Message,
        sender: &Arc<Member>,
        actions: &mut Vec<Action>,
    ) {
        let to = sender.gossip_address;
        match message.body {
            Body::Ping { target, .. } if target == self.own.vm => {
                let update = self.suspicion_update(&message.from);
                let mut reply = self.build_message(Body::Ack { target }, update);
                reply.sequence = message.sequence;
                actions.push(Action::Send { to, message: reply });
            }
            Body::PingRequest { target, address } => {
                let pending = IndirectProbe {
                    requester: to,
                    sequence: message.sequence,
                    expires_at: now + PROBE_INTERVAL,
                };
                let probe = self.ping_message(&target);
                self.indirect_probes.insert(probe.sequence, pending);
                actions.push(Action::Send {
                    to: address,
                    message: probe,
                });
            }
            Body::Ack { target } => {
                let acknowledged = self
                    .probe
                    .as_ref()
                    .is_some_and(|one| one.sequence == message.sequence && one.vm == target);
                if acknowledged {
                    self.probe = None;
                }
                if let Some(pending) = self.indirect_probes.remove(&message.sequence) {
                    let record = self.table.get(&target).map(|one| Arc::clone(&one.record));
                    let mut reply =
                        self.build_message(Body::Ack { target }, record.into_iter().collect());
                    reply.sequence = pending.sequence;
                    actions.push(Action::Send {
                        to: pending.requester,
                        message: reply,
                    });
                }
            }
            Body::Ping { .. } | Body::Delta { .. } | Body::Push => {}
        }
    }

    /// Returns the record to send to a suspect or dead member, so that it can refute it.
    pub(super) fn suspicion_update(&self, vm: &VmId) -> Vec<Arc<Member>> {
        self.record_with_suspicion(vm)
            .filter(|record| matches!(record.state, State::Suspect | State::Dead))
            .into_iter()
            .collect()
    }

    pub(super) fn ping_message(&mut self, vm: &VmId) -> Message {
        let incarnation = self.table.get(vm).map_or(0, |one| one.record.incarnation);
        let update = self.suspicion_update(vm);
        let body = Body::Ping {
            target: VmId::clone(vm),
            incarnation,
        };
        self.build_message(body, update)
    }
}
