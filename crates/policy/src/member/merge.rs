//! Merging of records and listings of other daemons.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Instant;

use super::{
    Action, CORRECTION_INTERVAL, FORGET_ABSENT, ISOLATED_AFTER, Member, MemberView, Membership,
    Push, Queue, REMOVAL_WINDOW, Remote, Scope, State, Suspicion, TOMBSTONE, TOMBSTONE_SYNC,
};
use crate::id::{DataCentreName, VmId};

impl Membership {
    /// Merges a record that a daemon of `source` sent.
    pub(super) fn accept(
        &mut self,
        now: Instant,
        record: &Arc<Member>,
        source: &DataCentreName,
        spread: bool,
        actions: &mut Vec<Action>,
    ) {
        if record.vm == self.own.vm {
            self.accept_own(now, record, actions);
            return;
        }
        let local = record.data_centre == self.own.data_centre;
        let known = self.table.get(&record.vm);
        let known = known.map(|entry| Arc::clone(&entry.record));
        let known = known.as_ref();
        let authority =
            *source == record.data_centre || (*source == self.own.data_centre && !local);
        let newer = known.is_none_or(|known| {
            record.order() > known.order()
                && (known.state != State::Left || record.incarnation > known.incarnation)
        });
        let accuses_draining = record.state == State::Suspect
            && known.is_some_and(|known| {
                known.state == State::Draining
                    && known.incarnation == record.incarnation
                    && known.version <= record.version
            });
        if authority && accuses_draining {
            // A daemon never takes up work again after a drain, so the suspicion stays beside it.
            if local {
                self.suspects
                    .entry(VmId::clone(&record.vm))
                    .or_insert(Suspicion::new(now));
            }
            return;
        }
        if !authority || !newer {
            self.counters.ignored_records += 1;
            // A peer that repeats a record older than a removal has missed the removal.
            let missed = known.is_some_and(|known| {
                !known.state.is_live() && record.state.is_live() && record.order() < known.order()
            });
            if authority && missed && spread && self.correction_due(now) {
                let vm = VmId::clone(&record.vm);
                self.queue.push(&vm);
            }
            return;
        }
        let known_live = known.is_some_and(|known| known.state.is_live());
        let mut record = Arc::clone(record);
        if local && record.state == State::Dead && known_live && !self.may_remove(now, &record.vm) {
            self.counters.removals_held += 1;
            let mut held = Member::clone(&record);
            held.state = State::Suspect;
            if known.is_some_and(|known| held.order() <= known.order()) {
                return;
            }
            record = Arc::new(held);
        }
        self.store(now, record, spread, actions);
    }

    pub(super) fn correction_due(&mut self, now: Instant) -> bool {
        let due = self
            .last_correction
            .is_none_or(|last| now.saturating_duration_since(last) >= CORRECTION_INTERVAL);
        if due {
            self.last_correction = Some(now);
        }
        due
    }

    pub(super) fn accept_own(&mut self, now: Instant, record: &Member, actions: &mut Vec<Action>) {
        if record.incarnation != self.own.incarnation {
            self.observe_namesake(record.incarnation, actions);
            return;
        }
        let accused = matches!(record.state, State::Suspect | State::Dead)
            && record.version >= self.own.version;
        let ahead = record.version > self.own.version;
        if (accused || ahead) && self.own.state != State::Left {
            self.counters.refuted += 1;
            self.publish(now, Push::Tell, |own| {
                own.version = own.version.max(record.version);
            });
        }
    }

    pub(super) fn store(
        &mut self,
        now: Instant,
        record: Arc<Member>,
        spread: bool,
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
                .or_insert_with(|| Remote {
                    heard: now,
                    matched: now,
                    exchanged: None,
                    senders: BTreeMap::new(),
                    outbox: Queue::default(),
                });
        }
        if spread {
            self.spread(&vm);
        }
        actions.push(Action::Changed {
            member: record,
            previous,
        });
    }

    /// Whether `vm` of this data centre may be removed.
    pub(super) fn may_remove(&mut self, now: Instant, vm: &VmId) -> bool {
        self.removals
            .retain(|(_, at)| now.saturating_duration_since(*at) < REMOVAL_WINDOW);
        let live = self.table.live(&self.own.data_centre).len();
        let removed = self.removals.len();
        let isolated = now.saturating_duration_since(self.last_contact) > ISOLATED_AFTER;
        let suspects = self.suspects.len() + usize::from(!self.suspects.contains_key(vm));
        !isolated && (suspects + removed) * 3 <= live + removed
    }

    /// Merges the listing of a peer, and forgets or repeats what it lacks.
    pub(super) fn reconcile(
        &mut self,
        now: Instant,
        sender: &Arc<Member>,
        members: &[Arc<Member>],
        scope: Scope,
        request: bool,
        actions: &mut Vec<Action>,
    ) {
        let source = &sender.data_centre;
        let foreign = *source != self.own.data_centre;
        let spread = request || (foreign && scope == Scope::Exchange);
        for record in members {
            // A daemon without a table, or with an outdated one, has none to protect and may have no
            // peer in its own data centre.
            let trusted = !request && matches!(scope, Scope::Join | Scope::Rejoin);
            let source = if trusted { &record.data_centre } else { source };
            self.accept(now, record, source, spread, actions);
        }
        if !foreign {
            self.last_contact = now;
        } else if let Some(remote) = self.remotes.get_mut(source) {
            remote.heard = now;
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
                        .is_none_or(|one| one.order() < record.order())
                    && (scope != Scope::Exchange
                        || (record.data_centre == *source
                            && now.saturating_duration_since(entry.changed_at) > FORGET_ABSENT))
            })
            .map(|entry| Arc::clone(&entry.record))
            .collect();
        for record in missing {
            match scope {
                Scope::Exchange if foreign && !listed.contains_key(&record.vm) => {
                    let mut forgotten = Member::clone(&record);
                    forgotten.state = State::Dead;
                    self.store(now, Arc::new(forgotten), true, actions);
                }
                Scope::Rejoin if !listed.contains_key(&record.vm) => {
                    let mut forgotten = Member::clone(&record);
                    forgotten.state = State::Dead;
                    self.store(now, Arc::new(forgotten), false, actions);
                }
                Scope::Repair => self.queue.push(&record.vm),
                _ => {}
            }
        }
    }

    pub(super) fn listing(&self, now: Instant, scope: Scope) -> Vec<Arc<Member>> {
        let own = &self.own;
        let mut members = vec![Arc::clone(own)];
        for entry in self.table.entries() {
            let record = &entry.record;
            let recent = now.saturating_duration_since(entry.changed_at) < TOMBSTONE_SYNC;
            let exchange = scope == Scope::Exchange;
            let wanted = !exchange || record.data_centre == own.data_centre;
            if record.vm == own.vm || !wanted || !(record.state.is_live() || recent) {
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

    pub(super) fn forget(&mut self, now: Instant) {
        let gone: Vec<VmId> = self
            .table
            .entries()
            .filter(|entry| {
                !entry.record.state.is_live()
                    && now.saturating_duration_since(entry.changed_at) > TOMBSTONE
                    && entry.record.vm != self.own.vm
            })
            .map(|entry| VmId::clone(&entry.record.vm))
            .collect();
        for vm in gone {
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
