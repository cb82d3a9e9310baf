//! Admission in front of the endpoint on this VM: the queue and its slots, around the decisions of
//! `policy::admission`.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use endpoint::announce::{Announcement, Presence, Report};
use policy::admission::{Action, Admission, CallRequest};
use policy::clock::Clock;
use policy::id::CallId;
use policy::level::AdmissionLevel;
use policy::refusal::{Reason, Refusal};
use policy::rule::RuleSet;
use tokio::sync::oneshot;

use crate::counter::{Counter, Counters};

/// Current counts of admission, for operators and metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionStats {
    /// Calls that may run at once.
    pub limit: u32,
    pub running: u32,
    pub waiting: usize,
    /// Slots that the endpoint announced.
    pub slots: u32,
}

#[derive(Debug)]
struct State {
    presence: Presence,
    admission: Admission,
    /// Senders of the decisions on queued calls.
    waiting: HashMap<CallId, oneshot::Sender<Result<(), Refusal>>>,
}

/// Admission in front of the endpoint on this VM.
#[derive(Debug)]
pub struct EndpointAdmission {
    clock: Arc<dyn Clock>,
    counters: Arc<Counters>,
    state: Mutex<State>,
}

/// A call that holds a slot of the endpoint. Dropping it without `finish` cancels the call.
#[derive(Debug)]
pub struct Slot {
    admission: Arc<EndpointAdmission>,
    id: CallId,
    started: Instant,
    finished: bool,
}

/// A call that waits for a slot. Dropping it before the decision removes it from the queue.
struct QueuedCall {
    admission: Arc<EndpointAdmission>,
    id: CallId,
    decided: bool,
}

impl EndpointAdmission {
    /// Admission without an endpoint. `seed` differs per daemon.
    pub fn new(clock: Arc<dyn Clock>, counters: Arc<Counters>, seed: u64) -> Self {
        let state = State {
            presence: Presence::new(),
            admission: Admission::new(1, seed),
            waiting: HashMap::new(),
        };
        Self {
            clock,
            counters,
            state: Mutex::new(state),
        }
    }

    /// Applies an announcement of the endpoint. Returns whether it must be published to the
    /// members.
    pub fn apply_announcement(&self, announcement: Announcement, rules: &RuleSet) -> bool {
        let mut state = self.lock();
        let now = self.clock.now();
        let first = state.presence.current(now).is_none();
        let (slots, cold) = (announcement.slots.max(1), announcement.cold);
        let service = Arc::clone(&announcement.service);
        let changed = state.presence.apply_announcement(now, announcement);
        if changed {
            state.apply_rules(&service, rules);
            if first && cold {
                state.admission = state.admission.clone().with_cold_start(now);
            }
            let actions = state.admission.set_slots(now, slots);
            state.perform(actions);
        }
        changed
    }

    /// Takes the floors and the named customers from new rules.
    pub fn apply_rules(&self, rules: &RuleSet) {
        let mut state = self.lock();
        let now = self.clock.now();
        let service = state
            .presence
            .current(now)
            .map(|current| Arc::clone(&current.service));
        if let Some(service) = service {
            state.apply_rules(&service, rules);
        }
    }

    pub fn apply_report(&self, report: Report) {
        let now = self.clock.now();
        self.lock()
            .admission
            .apply_load_report(now, report.load, report.healthy);
    }

    /// Refuses all queued calls and all new ones.
    pub fn drain(&self) {
        let mut state = self.lock();
        let now = self.clock.now();
        state.presence.mark_draining();
        let actions = state.admission.drain(now);
        state.perform(actions);
    }

    pub fn is_draining(&self) -> bool {
        self.lock().presence.is_draining()
    }

    /// The announcement of the endpoint, unless it has expired.
    pub fn endpoint(&self) -> Option<Announcement> {
        let now = self.clock.now();
        self.lock().presence.current(now).cloned()
    }

    /// Refuses queued calls whose deadline has passed, adjusts the admission level, then starts
    /// others.
    pub fn tick(&self) {
        let mut state = self.lock();
        let now = self.clock.now();
        let actions = state.admission.tick(now);
        state.perform(actions);
    }

    pub fn level(&self) -> AdmissionLevel {
        self.lock().admission.level()
    }

    /// Used fraction of the concurrency limit, in percent.
    pub fn load_percent(&self) -> u16 {
        (self.lock().admission.load() * 100.0).min(f64::from(u16::MAX)) as u16
    }

    pub fn stats(&self) -> AdmissionStats {
        let state = self.lock();
        let now = self.clock.now();
        AdmissionStats {
            limit: state.admission.limit(),
            running: state.admission.running(),
            waiting: state.admission.waiting(),
            slots: state
                .presence
                .current(now)
                .map_or(0, |current| current.slots),
        }
    }

    /// Waits for a slot.
    pub async fn acquire_slot(self: &Arc<Self>, request: &CallRequest) -> Result<Slot, Refusal> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut state = self.lock();
            let now = self.clock.now();
            state.waiting.insert(request.id, sender);
            let actions = state.admission.submit(now, request);
            state.perform(actions);
        }
        let mut queued = QueuedCall {
            admission: Arc::clone(self),
            id: request.id,
            decided: false,
        };
        let decision = receiver
            .await
            .unwrap_or(Err(Refusal::not_run(Reason::Draining)));
        queued.decided = true;
        match decision {
            Ok(()) => Ok(Slot {
                admission: Arc::clone(self),
                id: request.id,
                started: self.clock.now(),
                finished: false,
            }),
            Err(refusal) => {
                self.counters.count(Counter::AdmissionRefused);
                Err(refusal)
            }
        }
    }

    fn cancel(&self, id: CallId) {
        let mut state = self.lock();
        let now = self.clock.now();
        state.waiting.remove(&id);
        let actions = state.admission.cancel(now, id);
        state.perform(actions);
    }

    fn finish(&self, id: CallId, latency: Duration, ok: bool) {
        let mut state = self.lock();
        let now = self.clock.now();
        let actions = state.admission.finish(now, id, latency, ok);
        state.perform(actions);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("admission lock is never poisoned")
    }
}

impl State {
    fn apply_rules(&mut self, service: &str, rules: &RuleSet) {
        self.admission.set_floors(rules.floors(service));
        self.admission
            .set_customers(rules.customers().map(|(_, rule)| Arc::clone(&rule.name)));
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (id, decision) = match action {
                Action::Start(id) => (id, Ok(())),
                Action::Refuse(id, refusal) => (id, Err(refusal)),
            };
            // Without a receiver the call was cancelled, and dropping `QueuedCall` removes it.
            if let Some(sender) = self.waiting.remove(&id) {
                let _ = sender.send(decision);
            }
        }
    }
}

impl Slot {
    /// Ends the call and releases the slot. `ok` is false if the endpoint failed.
    pub fn finish(mut self, ok: bool) {
        self.finished = true;
        let latency = self
            .admission
            .clock
            .now()
            .saturating_duration_since(self.started);
        self.admission.finish(self.id, latency, ok);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.finished {
            self.admission.cancel(self.id);
        }
    }
}

impl Drop for QueuedCall {
    fn drop(&mut self) {
        if !self.decided {
            self.admission.counters.count(Counter::AdmissionCancelled);
            self.admission.cancel(self.id);
        }
    }
}
