//! Admission in front of the endpoint on this VM.

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

/// Figures of the gate for reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct GateFigures {
    pub limit: u32,
    pub running: u32,
    pub waiting: usize,
    pub slots: u32,
}

#[derive(Debug)]
struct State {
    presence: Presence,
    admission: Admission,
    waiting: HashMap<CallId, oneshot::Sender<Result<(), Refusal>>>,
}

/// Admission in front of the endpoint on this VM.
#[derive(Debug)]
pub struct Gate {
    clock: Arc<dyn Clock>,
    counters: Arc<Counters>,
    state: Mutex<State>,
}

/// A call that holds a slot of the endpoint. Dropping it without `finish` cancels the call.
#[derive(Debug)]
pub struct Slot {
    gate: Arc<Gate>,
    id: CallId,
    started: Instant,
    finished: bool,
}

/// A call in the queue. Dropping it gives its place free.
struct Place {
    gate: Arc<Gate>,
    id: CallId,
    left: bool,
}

impl Gate {
    /// A gate without an endpoint. `seed` differs per daemon.
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

    /// Takes an announcement. Returns whether peers must hear of it.
    pub fn announce(&self, announcement: Announcement, rules: &RuleSet) -> bool {
        let mut state = self.lock();
        let now = self.clock.now();
        let first = state.presence.current(now).is_none();
        let (slots, cold) = (announcement.slots.max(1), announcement.cold);
        let service = Arc::clone(&announcement.service);
        let changed = state.presence.apply_announcement(now, announcement);
        if changed {
            state.adopt(&service, rules);
            if first && cold {
                state.admission = state.admission.clone().with_cold_start(now);
            }
            let actions = state.admission.set_slots(now, slots);
            state.perform(actions);
        }
        changed
    }

    /// Takes floors and named customers from new rules.
    pub fn adopt(&self, rules: &RuleSet) {
        let mut state = self.lock();
        let now = self.clock.now();
        let service = state
            .presence
            .current(now)
            .map(|current| Arc::clone(&current.service));
        if let Some(service) = service {
            state.adopt(&service, rules);
        }
    }

    pub fn report(&self, report: Report) {
        let now = self.clock.now();
        self.lock()
            .admission
            .apply_load_report(now, report.load, report.healthy);
    }

    /// Refuses everything that waits and everything that comes.
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

    /// The endpoint, unless its announcement lapsed.
    pub fn endpoint(&self) -> Option<Announcement> {
        let now = self.clock.now();
        self.lock().presence.current(now).cloned()
    }

    /// Lets time pass.
    pub fn tick(&self) {
        let mut state = self.lock();
        let now = self.clock.now();
        let actions = state.admission.tick(now);
        state.perform(actions);
    }

    pub fn level(&self) -> AdmissionLevel {
        self.lock().admission.level()
    }

    /// Used share of the limit, in percent.
    pub fn load_percent(&self) -> u16 {
        (self.lock().admission.load() * 100.0).min(f64::from(u16::MAX)) as u16
    }

    pub fn figures(&self) -> GateFigures {
        let state = self.lock();
        let now = self.clock.now();
        GateFigures {
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
    pub async fn enter(self: &Arc<Self>, offer: &CallRequest) -> Result<Slot, Refusal> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut state = self.lock();
            let now = self.clock.now();
            state.waiting.insert(offer.id, sender);
            let actions = state.admission.submit(now, offer);
            state.perform(actions);
        }
        let mut place = Place {
            gate: Arc::clone(self),
            id: offer.id,
            left: false,
        };
        let verdict = receiver
            .await
            .unwrap_or(Err(Refusal::not_run(Reason::Draining)));
        place.left = true;
        match verdict {
            Ok(()) => Ok(Slot {
                gate: Arc::clone(self),
                id: offer.id,
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
        self.state.lock().expect("gate lock is never poisoned")
    }
}

impl State {
    fn adopt(&mut self, service: &str, rules: &RuleSet) {
        self.admission.set_floors(rules.floors(service));
        self.admission
            .set_customers(rules.customers().map(|(_, rule)| Arc::clone(&rule.name)));
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (id, verdict) = match action {
                Action::Start(id) => (id, Ok(())),
                Action::Refuse(id, refusal) => (id, Err(refusal)),
            };
            // Without a receiver the call was cancelled, and `Place` takes it out of the queue.
            if let Some(sender) = self.waiting.remove(&id) {
                let _ = sender.send(verdict);
            }
        }
    }
}

impl Slot {
    /// Ends the call. `ok` is false when the endpoint failed.
    pub fn finish(mut self, ok: bool) {
        self.finished = true;
        let latency = self
            .gate
            .clock
            .now()
            .saturating_duration_since(self.started);
        self.gate.finish(self.id, latency, ok);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.finished {
            self.gate.cancel(self.id);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.left {
            self.gate.counters.count(Counter::AdmissionCancelled);
            self.gate.cancel(self.id);
        }
    }
}
