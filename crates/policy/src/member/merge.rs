//! Merging of records received in messages and syncs.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Instant;

use super::{
    ABSENT_MEMBER_GRACE, Action, MIN_CORRECTION_INTERVAL, Member, MemberView, Membership,
    PushScope, REMOVAL_SILENCE_TIMEOUT, REMOVAL_WINDOW, RemoteDataCentre, State, Suspicion,
    SyncScope, TOMBSTONE_LIFETIME, TOMBSTONE_SYNC_LIFETIME, UpdateQueue,
};
use crate::id::{DataCentreName, VmId};

impl Membership {
    /// Merges a record sent by a daemon in data centre `source`.
    pub(super) fn merge_record(
        &mut self,
        now: Instant,
        record: &Arc<Member>,
        source: &DataCentreName,
        disseminate: bool,
        actions: &mut Vec<Action>,
    ) {
        if record.vm == self.own.vm {
            self.merge_own_record(now, record, actions);
            return;
        }
        let local = record.data_centre == self.own.data_centre;
        let known = self.table.get(&record.vm);
        let known = known.map(|entry| Arc::clone(&entry.record));
        let known = known.as_ref();
        let authoritative =
            *source == record.data_centre || (*source == self.own.data_centre && !local);
        let newer = known.is_none_or(|known| {
            record.order_key() > known.order_key()
                && (known.state != State::Left || record.incarnation > known.incarnation)
        });
        let suspects_draining = record.state == State::Suspect
            && known.is_some_and(|known| {
                known.state == State::Draining
                    && known.incarnation == record.incarnation
                    && known.version <= record.version
            });
        if authoritative && suspects_draining {
            // A drain is final, so the record stays draining and the suspicion is kept outside it.
            if local {
                self.suspects
                    .entry(VmId::clone(&record.vm))
                    .or_insert(Suspicion::new(now));
            }
            return;
        }
        if !authoritative || !newer {
            self.counters.ignored_records += 1;
            // A peer that still disseminates an older live record has missed the removal.
            let missed_removal = known.is_some_and(|known| {
                !known.state.is_live()
                    && record.state.is_live()
                    && record.order_key() < known.order_key()
            });
            if authoritative && missed_removal && disseminate && self.correction_due(now) {
                let vm = VmId::clone(&record.vm);
                self.queue.push(&vm);
            }
            return;
        }
        let known_live = known.is_some_and(|known| known.state.is_live());
        let mut record = Arc::clone(record);
        if local && record.state == State::Dead && known_live && !self.may_remove(now, &record.vm) {
            self.counters.removals_held += 1;
            let mut suspect = Member::clone(&record);
            suspect.state = State::Suspect;
            if known.is_some_and(|known| suspect.order_key() <= known.order_key()) {
                return;
            }
            record = Arc::new(suspect);
        }
        self.apply_record(now, record, disseminate, actions);
    }

    /// Whether a correction may be sent now; if so, records it as sent.
    pub(super) fn correction_due(&mut self, now: Instant) -> bool {
        let due = self
            .last_correction
            .is_none_or(|last| now.saturating_duration_since(last) >= MIN_CORRECTION_INTERVAL);
        if due {
            self.last_correction = Some(now);
        }
        due
    }

    /// Refutes a record of this daemon that suspects it or has a higher version.
    pub(super) fn merge_own_record(
        &mut self,
        now: Instant,
        record: &Member,
        actions: &mut Vec<Action>,
    ) {
        if record.incarnation != self.own.incarnation {
            self.detect_replacement(record.incarnation, actions);
            return;
        }
        let suspected = matches!(record.state, State::Suspect | State::Dead)
            && record.version >= self.own.version;
        let ahead = record.version > self.own.version;
        if (suspected || ahead) && self.own.state != State::Left {
            self.counters.refuted += 1;
            self.publish(now, PushScope::Direct, |own| {
                own.version = own.version.max(record.version);
            });
        }
    }

    /// Puts a record into the table and updates the suspicions and removals that depend on it.
    pub(super) fn apply_record(
        &mut self,
        now: Instant,
        record: Arc<Member>,
        disseminate: bool,
        actions: &mut Vec<Action>,
    ) {
        let vm = VmId::clone(&record.vm);
        let local = record.data_centre == self.own.data_centre;
        let previous = self.table.insert(Arc::clone(&record), now);
        if local {
            if record.state == State::Suspect {
                self.suspects.insert(VmId::clone(&vm), Suspicion::new(now));
            } else {
                self.suspects.remove(&vm);
            }
            let was_live = previous.as_ref().is_some_and(|one| one.state.is_live());
            if record.state == State::Dead && was_live {
                self.removals.push((VmId::clone(&vm), now));
            } else if record.state.is_live() {
                self.removals.retain(|(removed, _)| *removed != vm);
            }
        } else {
            self.remotes
                .entry(DataCentreName::clone(&record.data_centre))
                .or_insert_with(|| RemoteDataCentre {
                    last_heard: now,
                    last_match: now,
                    last_exchange: None,
                    senders: BTreeMap::new(),
                    outbox: UpdateQueue::default(),
                });
        }
        if disseminate {
            self.disseminate(&vm);
        }
        actions.push(Action::Changed {
            member: record,
            previous,
        });
    }

    /// Whether the suspicion limit permits marking the local member `vm` dead.
    ///
    /// Suspects and recent removals may be at most a third of the members; with more, or when this
    /// daemon receives nothing, the fault is probably in the network or at this daemon.
    pub(super) fn may_remove(&mut self, now: Instant, vm: &VmId) -> bool {
        self.removals
            .retain(|(_, at)| now.saturating_duration_since(*at) < REMOVAL_WINDOW);
        let live = self.table.live(&self.own.data_centre).len();
        let removed = self.removals.len();
        let silent = now.saturating_duration_since(self.last_heard) > REMOVAL_SILENCE_TIMEOUT;
        let suspects = self.suspects.len() + usize::from(!self.suspects.contains_key(vm));
        !silent && (suspects + removed) * 3 <= live + removed
    }

    /// Merges the members in a sync. Live members in this daemon's table that the sync lacks or has
    /// an older record of are then marked dead or disseminated again, depending on the scope.
    pub(super) fn reconcile(
        &mut self,
        now: Instant,
        sender: &Arc<Member>,
        members: &[Arc<Member>],
        scope: SyncScope,
        request: bool,
        actions: &mut Vec<Action>,
    ) {
        let source = &sender.data_centre;
        let is_remote = *source != self.own.data_centre;
        let disseminate = request || (is_remote && scope == SyncScope::Exchange);
        for record in members {
            // A daemon with no table or an outdated one has nothing to protect and may have no peer
            // in its own data centre, so it accepts all records.
            let trusted = !request && matches!(scope, SyncScope::Join | SyncScope::Rejoin);
            let source = if trusted { &record.data_centre } else { source };
            self.merge_record(now, record, source, disseminate, actions);
        }
        if !is_remote {
            self.last_heard = now;
        } else if let Some(remote) = self.remotes.get_mut(source) {
            remote.last_heard = now;
        }
        let listed: HashMap<&VmId, &Arc<Member>> =
            members.iter().map(|one| (&one.vm, one)).collect();
        let own = &self.own.vm;
        let missing: Vec<Arc<Member>> = self
            .table
            .entries()
            .filter(|entry| {
                let record = &entry.record;
                record.state.is_live()
                    && record.vm != *own
                    && listed
                        .get(&record.vm)
                        .is_none_or(|one| one.order_key() < record.order_key())
                    && (scope != SyncScope::Exchange
                        || (record.data_centre == *source
                            && now.saturating_duration_since(entry.changed_at)
                                > ABSENT_MEMBER_GRACE))
            })
            .map(|entry| Arc::clone(&entry.record))
            .collect();
        for record in missing {
            match scope {
                SyncScope::Exchange if is_remote && !listed.contains_key(&record.vm) => {
                    let mut dead = Member::clone(&record);
                    dead.state = State::Dead;
                    self.apply_record(now, Arc::new(dead), true, actions);
                }
                SyncScope::Rejoin if !listed.contains_key(&record.vm) => {
                    let mut dead = Member::clone(&record);
                    dead.state = State::Dead;
                    self.apply_record(now, Arc::new(dead), false, actions);
                }
                SyncScope::Repair => self.queue.push(&record.vm),
                _ => {}
            }
        }
    }

    /// Returns the members to send in a sync, this daemon's record first.
    pub(super) fn sync_members(&self, now: Instant, scope: SyncScope) -> Vec<Arc<Member>> {
        let own = &self.own;
        let mut members = vec![Arc::clone(own)];
        for entry in self.table.entries() {
            let record = &entry.record;
            let recent = now.saturating_duration_since(entry.changed_at) < TOMBSTONE_SYNC_LIFETIME;
            let exchange = scope == SyncScope::Exchange;
            let in_scope = !exchange || record.data_centre == own.data_centre;
            if record.vm == own.vm || !in_scope || !(record.state.is_live() || recent) {
                continue;
            }
            if exchange && record.state == State::Suspect {
                let mut member = Member::clone(record);
                member.state = State::Alive;
                members.push(Arc::new(member));
            } else {
                members.push(Arc::clone(record));
            }
        }
        members
    }

    /// Drops left and dead members from the table after [`TOMBSTONE_LIFETIME`].
    pub(super) fn expire_tombstones(&mut self, now: Instant) {
        let expired: Vec<VmId> = self
            .table
            .entries()
            .filter(|entry| {
                !entry.record.state.is_live()
                    && now.saturating_duration_since(entry.changed_at) > TOMBSTONE_LIFETIME
                    && entry.record.vm != self.own.vm
            })
            .map(|entry| VmId::clone(&entry.record.vm))
            .collect();
        for vm in expired {
            self.table.remove(&vm);
        }
    }

    pub(super) fn view(&self, record: &Arc<Member>) -> MemberView {
        MemberView {
            member: Arc::clone(record),
            suspect: record.state == State::Suspect || self.suspects.contains_key(&record.vm),
            unreachable: self.unreachable.contains(&record.data_centre),
        }
    }
}
