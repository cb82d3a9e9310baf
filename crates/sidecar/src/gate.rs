//! The gate of the endpoint beside this daemon: all its calls pass here.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use adapter::request::{self, ForwardedRequest};
use adapter::response::RunStatus;
use bytes::Bytes;
use log::info;
use policy::demand::{DemandClass, DemandEstimator};
use policy::fleet::{Announcement, State};
use policy::id::ServiceName;
use policy::queue::{EndpointQueue, EnqueueOutcome, QueuedCall, TimeEstimate, WaitingId};
use policy::selection;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;

use crate::daemon::Daemon;
use crate::endpoint::{Exchange, Outgoing, Pool};
use crate::frame::{CallHead, Frame, Load, NotRun, ResponseHead, SHARE_SCALE, StreamId, Unknown};
use crate::outbox::Outbox;

#[cfg(test)]
mod tests;

/// Part of the drain bound in which calls on their way to a leaving endpoint are still taken. The
/// rest covers the time that a started call needs to reach the endpoint.
const ADMIT_SHARE: f64 = 0.3;

/// Part of the drain bound after which no call is sent to a leaving endpoint.
const SEND_SHARE: f64 = 0.7;

/// Time after SIGTERM in which calls that were on their way are still taken. Later ones would keep
/// the endpoint's own calls coming until the process ends.
const STOP_SLACK: Duration = Duration::from_millis(200);

/// Shortest time in which an endpoint can answer.
const LEAST_TIME: Duration = Duration::from_millis(5);

/// Time after the deadline in which the endpoint's own answer to it is awaited, so that the
/// connection can be kept.
const DEADLINE_SLACK: Duration = Duration::from_millis(40);

/// Time between checks of the waiting calls.
const SWEEP: Duration = Duration::from_millis(10);

/// Time after a failed connection in which calls are refused without another try.
const UNREACHABLE_TIME: Duration = Duration::from_millis(150);

/// Time between looks at the demand.
const DEMAND_CHECK: Duration = Duration::from_millis(100);

/// Weight of a new sample in the part of the calls that the endpoint does not refuse.
const ACCEPTED_WEIGHT: f64 = 0.06;

/// Part of the remembered refusals that is forgotten at each look at the demand, half in 2.3 s: an
/// endpoint that gets no calls because it refused some must be tried again.
const FORGOTTEN: f64 = 0.03;

/// Departures of unknown instances that are remembered: instances follow each other on a VM, and an
/// entry in the store is that of the last or of the one before.
const MAX_DEPARTURES: usize = 8;

/// A share of one, in thousandths.
const FULL_SHARE: u16 = SHARE_SCALE as u16;

/// Change of the share that other daemons are told of, in thousandths.
const SHARE_STEP: u16 = 30;

/// Time after which a share below one is repeated, so that others do not take it for outdated.
const REPEAT_SHARE: Duration = Duration::from_millis(500);

/// Number of a call at this gate.
pub type JobId = u64;

/// When a call must be answered.
#[derive(Clone, Copy, Debug)]
pub struct Deadline {
    /// By the clock that timers use.
    pub at: Instant,
    /// By the clock that also counts time for which the VM was suspended.
    pub boot: Duration,
}

impl Deadline {
    /// Time left by the stricter of both clocks.
    #[must_use]
    pub fn left(&self, now: Instant, boot: Duration) -> Duration {
        self.at
            .saturating_duration_since(now)
            .min(self.boot.saturating_sub(boot))
    }
}

/// What came of a call at a gate.
#[derive(Debug)]
pub enum Outcome {
    /// The endpoint answered.
    Answered(ResponseHead, Bytes),
    /// The call has not run and will not.
    NotRun(NotRun),
    /// It is unknown whether the call has run.
    Unknown(Unknown),
}

/// Where the outcome goes.
#[derive(Debug)]
pub enum OutcomeSender {
    /// To this daemon's own entry.
    Local(oneshot::Sender<(Outcome, Load)>),
    /// To another daemon.
    Peer {
        /// Its connection.
        outbox: Outbox,
        /// Number of the call there.
        stream: StreamId,
    },
}

impl OutcomeSender {
    fn send(self, outcome: Outcome, load: Load) {
        match self {
            // The entry may have stopped waiting.
            Self::Local(sender) => drop(sender.send((outcome, load))),
            Self::Peer { outbox, stream } => {
                let (frame, body) = match outcome {
                    Outcome::Answered(response, body) => (
                        Frame::Response {
                            stream,
                            response,
                            load,
                        },
                        body,
                    ),
                    Outcome::NotRun(reason) => (
                        Frame::NotRun {
                            stream,
                            reason,
                            load,
                        },
                        Bytes::new(),
                    ),
                    Outcome::Unknown(reason) => (
                        Frame::Unknown {
                            stream,
                            reason,
                            load,
                        },
                        Bytes::new(),
                    ),
                };
                if outbox.push(&frame, &body).is_none() {
                    outbox.close();
                }
            }
        }
    }
}

/// A call at the gate.
#[derive(Debug)]
pub struct Job {
    /// The call.
    pub call: CallHead,
    /// Its body.
    pub body: Bytes,
    /// When it must be answered.
    pub deadline: Deadline,
    /// Where its outcome goes.
    pub sender: OutcomeSender,
}

#[derive(Debug)]
enum Stage {
    Waiting(WaitingId),
    Running(AbortHandle),
}

#[derive(Debug)]
struct Active {
    stage: Stage,
    idempotent: bool,
    call: String,
}

/// A running call as the origin of the endpoint's own calls.
#[derive(Debug, Default)]
pub struct ParentCall {
    /// Share with which its chain was admitted; `None` for urgent work.
    pub share: Option<u16>,
    usage: RefCell<BTreeMap<ServiceName, u32>>,
}

impl ParentCall {
    /// Adds an answered call to a service, and what that call led to.
    pub fn add(&self, service: &ServiceName, usage: &[(ServiceName, u32)]) {
        let mut own = self.usage.borrow_mut();
        *own.entry(ServiceName::clone(service)).or_default() += 1;
        for (service, calls) in usage {
            *own.entry(ServiceName::clone(service)).or_default() += calls;
        }
    }
}

/// The word that an instance ends which this process does not know yet.
#[derive(Debug)]
struct Departure {
    instance: String,
    /// Its start; later ones with the same id are others.
    born: u64,
    /// When the word came, by the boot-time clock.
    since: Duration,
}

/// When an endpoint said that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leaving {
    /// At this time, by the boot-time clock.
    Since(Duration),
    /// To an earlier process, at a time that is not known.
    Earlier,
}

/// Gate of one endpoint.
#[derive(Debug)]
pub struct Gate {
    announcement: RefCell<Option<Announcement>>,
    leaving: Cell<Option<Leaving>>,
    departures: RefCell<VecDeque<Departure>>,
    unreachable: Cell<Option<Instant>>,
    lane: RefCell<EndpointQueue<(JobId, Job)>>,
    active: RefCell<HashMap<JobId, Active>>,
    times: RefCell<HashMap<String, TimeEstimate>>,
    pool: Rc<Pool>,
    parents: RefCell<HashMap<String, Rc<ParentCall>>>,
    demand: RefCell<DemandEstimator>,
    share: Cell<u16>,
    /// Part of the calls that the endpoint does not refuse.
    accepted: Cell<f64>,
    next: Cell<JobId>,
    waiting: Notify,
}

impl Gate {
    /// A gate for the endpoint at an address, which is not known yet.
    #[must_use]
    pub fn new(address: std::net::SocketAddr, now: Instant) -> Self {
        Self {
            announcement: RefCell::new(None),
            leaving: Cell::new(None),
            departures: RefCell::default(),
            unreachable: Cell::new(None),
            lane: RefCell::new(EndpointQueue::new(1)),
            active: RefCell::new(HashMap::new()),
            times: RefCell::new(HashMap::new()),
            pool: Rc::new(Pool::new(address)),
            parents: RefCell::new(HashMap::new()),
            demand: RefCell::new(DemandEstimator::new(now)),
            share: Cell::new(FULL_SHARE),
            accepted: Cell::new(1.0),
            next: Cell::new(1),
            waiting: Notify::new(),
        }
    }

    /// What the endpoint said last.
    #[must_use]
    pub fn announcement(&self) -> Option<Announcement> {
        self.announcement.borrow().clone()
    }

    /// Whether an instance is the one beside this daemon.
    fn serves(&self, instance: &str) -> bool {
        let announcement = self.announcement.borrow();
        announcement
            .as_ref()
            .is_some_and(|known| *known.instance == *instance)
    }

    /// Whether a call runs or waits.
    #[must_use]
    pub fn is_active(&self, id: JobId) -> bool {
        self.active.borrow().contains_key(&id)
    }

    /// Calls that run or wait.
    #[must_use]
    pub fn active_calls(&self) -> usize {
        self.active.borrow().len()
    }

    /// Load of the endpoint.
    #[must_use]
    pub fn load(&self) -> Load {
        let lane = self.lane.borrow();
        Load {
            calls: (lane.running() + lane.waiting()) as u32,
            limit: lane.limit() as u32,
            held_us: lane.mean_hold_time().as_micros() as u32,
            share: self.share.get(),
            accepted: (self.accepted.get() * SHARE_SCALE) as u16,
        }
    }

    /// The running call that made a call, which the endpoint names after it.
    ///
    /// The name alone is no proof, but a client that forges it gains a place among calls of its own
    /// rank and nothing else.
    #[must_use]
    pub fn parent(&self, id: &str) -> Option<Rc<ParentCall>> {
        let (parent, _) = id.rsplit_once('.')?;
        self.parents.borrow().get(parent).cloned()
    }

    /// Follows the demand, and tells other daemons what share of it fits, as long as the daemon runs.
    pub async fn track_demand(&self, daemon: &Rc<Daemon>) {
        let mut told = (FULL_SHARE, daemon.clock.now());
        loop {
            tokio::time::sleep(DEMAND_CHECK).await;
            let now = daemon.clock.now();
            let load: selection::Load = self.load().into();
            let mut demand = self.demand.borrow_mut();
            demand.adjust(self.lane.borrow().next_wait(), load.hold_time);
            let share = demand.share(now, load.capacity());
            drop(demand);
            self.share.set((share * SHARE_SCALE) as u16);
            self.accepted
                .set(1.0 - (1.0 - self.accepted.get()) * (1.0 - FORGOTTEN));
            let load = self.load();
            let room = load.share.min(load.accepted);
            let news = room.abs_diff(told.0) >= SHARE_STEP;
            let due = room < FULL_SHARE && now.saturating_duration_since(told.1) >= REPEAT_SHARE;
            if news || due {
                told = (room, now);
                if news && daemon.log_limiter.allows(now, "room") {
                    info!(event = "room", share = load.share, accepted = load.accepted, calls = load.calls, limit = load.limit, held_us = load.held_us; "");
                }
                daemon.subscribers.notify(&Frame::Load(load));
                let own = daemon.peers.get(&daemon.vm);
                own.target.borrow_mut().record_load(now, load.into());
            }
        }
    }

    /// Takes a call; returns its number while it is not decided.
    pub fn submit(&self, daemon: &Rc<Daemon>, job: Job) -> Option<JobId> {
        let now = daemon.clock.now();
        if let Some(reason) = self.refusal(daemon, now, &job) {
            self.refuse(daemon, job, reason);
            return None;
        }
        let demanded = match job.call.share {
            None => DemandClass::Urgent,
            Some(share) => DemandClass::Elastic(f64::from(share) / SHARE_SCALE),
        };
        self.demand.borrow_mut().record_arrival(now, demanded);
        let id = self.next.get();
        self.next.set(id + 1);
        let idempotent = job.call.kind.idempotent;
        let call = job.call.id.clone();
        let needed = self
            .times
            .borrow()
            .get(&job.call.kind.route)
            .map_or(LEAST_TIME, |times| times.lower_bound().max(LEAST_TIME));
        let bid = QueuedCall {
            // Calls of work that is under way go before new ones of their rank.
            rank: job.call.kind.rank * 2 + u32::from(!job.call.kind.nested),
            deadline: job.deadline.at,
            min_time: needed,
            call: (id, job),
        };
        let offer = self.lane.borrow_mut().enqueue(now, bid);
        match offer {
            EnqueueOutcome::Start((id, job)) => self.start(daemon, id, job),
            EnqueueOutcome::Waiting(waiting) => {
                let active = Active {
                    stage: Stage::Waiting(waiting),
                    idempotent,
                    call,
                };
                self.active.borrow_mut().insert(id, active);
                self.waiting.notify_one();
            }
            EnqueueOutcome::Refused((_, job)) => {
                self.refuse(daemon, job, NotRun::Busy);
                return None;
            }
        }
        Some(id)
    }

    /// Ends a call whose caller no longer waits. A running call that must not run twice goes on.
    pub fn cancel(&self, daemon: &Rc<Daemon>, id: JobId) {
        let mut active = self.active.borrow_mut();
        let Some(call) = active.get(&id) else {
            return;
        };
        match &call.stage {
            Stage::Waiting(waiting) => {
                let job = self.lane.borrow_mut().cancel(*waiting);
                active.remove(&id);
                drop(active);
                if let Some((_, job)) = job {
                    job.sender
                        .send(Outcome::NotRun(NotRun::Cancelled), self.load());
                }
            }
            Stage::Running(handle) if call.idempotent => {
                handle.abort();
                self.parents.borrow_mut().remove(&call.call);
                active.remove(&id);
                drop(active);
                let held = self.lane.borrow().mean_hold_time();
                self.lane.borrow_mut().finish(held);
                self.fill(daemon);
            }
            Stage::Running(_) => {}
        }
    }

    /// Takes a heartbeat; returns whether it changed anything that others must know.
    pub fn apply_announcement(&self, daemon: &Rc<Daemon>, mut announcement: Announcement) -> bool {
        let departed = self.departure(&announcement);
        if departed.is_some() {
            announcement.state = State::Gone;
        }
        let mut current = self.announcement.borrow_mut();
        let changed = match &*current {
            None => true,
            Some(known)
                if known.instance == announcement.instance
                    && known.started_ms == announcement.started_ms =>
            {
                if !announcement.supersedes(known) {
                    return false;
                }
                known.state != announcement.state || known.slots != announcement.slots
            }
            Some(known) => {
                if !announcement.supersedes(known) {
                    info!(event = "announcement_outdated", instance = &*announcement.instance, born = announcement.started_ms, known = &*known.instance, known_born = known.started_ms; "");
                    return false;
                }
                self.pool.clear();
                true
            }
        };
        self.unreachable.set(None);
        let state = announcement.state;
        self.lane.borrow_mut().set_slots(announcement.slots);
        if changed {
            info!(event = "endpoint", instance = &*announcement.instance, service = &*announcement.service, state:? = state, born = announcement.started_ms, sequence = announcement.sequence, slots = announcement.slots; "");
        }
        let first = current.is_none();
        *current = Some(announcement);
        drop(current);
        self.leaving.set(match (state, self.leaving.get()) {
            (State::Ready, _) => None,
            // A predecessor of this process may have acknowledged long ago that the endpoint leaves.
            (_, Some(Leaving::Earlier)) => Some(Leaving::Earlier),
            _ if first => Some(Leaving::Earlier),
            (_, before) => departed.map(Leaving::Since).or(before),
        });
        if state != State::Ready {
            self.leave(daemon);
        }
        self.fill(daemon);
        changed
    }

    /// When the word came that an announced instance ends, if it came before the announcement.
    fn departure(&self, announced: &Announcement) -> Option<Duration> {
        let departures = self.departures.borrow();
        let found = departures.iter().find(|departure| {
            departure.instance == *announced.instance && announced.started_ms <= departure.born
        });
        found.map(|departure| departure.since)
    }

    /// Remembers that an instance ends which is not the known one: its entry may still be read from the
    /// store.
    fn remember_departure(&self, daemon: &Daemon, instance: &str, born: Option<u64>) {
        let now = daemon.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        let now = now.unwrap_or_default().as_millis() as u64;
        let mut departures = self.departures.borrow_mut();
        if departures.len() >= MAX_DEPARTURES {
            departures.pop_front();
        }
        departures.push_back(Departure {
            instance: instance.to_owned(),
            born: born.unwrap_or(now),
            since: daemon.clock.boot(),
        });
    }

    /// Takes the word that an instance ends; returns whether it is the one beside this daemon.
    pub fn apply_departure(&self, daemon: &Rc<Daemon>, instance: &str, born: Option<u64>) -> bool {
        let mut current = self.announcement.borrow_mut();
        let known = current.as_mut().filter(|known| {
            *known.instance == *instance && born.is_none_or(|born| born == known.started_ms)
        });
        let Some(known) = known else {
            self.remember_departure(daemon, instance, born);
            return false;
        };
        if known.state == State::Gone {
            return false;
        }
        known.state = State::Gone;
        info!(event = "endpoint", instance = instance, state:? = State::Gone; "");
        drop(current);
        self.leave(daemon);
        true
    }

    /// Begins the time in which a leaving endpoint takes its last calls, unless it has begun.
    fn leave(&self, daemon: &Daemon) {
        let leaving = self.leaving.get();
        let now = Leaving::Since(daemon.clock.boot());
        self.leaving.set(leaving.or(Some(now)));
    }

    /// Whether the time in which a leaving endpoint takes calls is over.
    fn has_left(&self, daemon: &Daemon, share: f64) -> bool {
        let bound = daemon.settings.borrow().bounds.drain().mul_f64(share);
        match self.leaving.get() {
            None => false,
            Some(Leaving::Since(since)) => daemon.clock.boot().saturating_sub(since) >= bound,
            Some(Leaving::Earlier) => true,
        }
    }

    fn refusal(&self, daemon: &Daemon, now: Instant, job: &Job) -> Option<NotRun> {
        if !self.serves(&job.call.kind.instance) {
            return Some(NotRun::Unknown);
        }
        let stopping = daemon.stopping_for();
        if self.has_left(daemon, ADMIT_SHARE) || stopping.is_some_and(|time| time >= STOP_SLACK) {
            return Some(NotRun::Leaving);
        }
        if self
            .unreachable
            .get()
            .is_some_and(|since| now.saturating_duration_since(since) < UNREACHABLE_TIME)
        {
            return Some(NotRun::Unreachable);
        }
        None
    }

    fn refuse(&self, daemon: &Daemon, job: Job, reason: NotRun) {
        let label = format!("{reason:?}");
        daemon.metrics.refused.with_label_values(&[&label]).inc();
        if daemon
            .log_limiter
            .allows(daemon.clock.now(), "gate_refused")
        {
            let load = self.load();
            let left = job.deadline.left(daemon.clock.now(), daemon.clock.boot());
            info!(event = "gate_refused", id = &*job.call.id, route = &*job.call.kind.route, reason = &*label, left_ms = left.as_millis() as u64, calls = load.calls, limit = load.limit, held_us = load.held_us; "");
        }
        job.sender.send(Outcome::NotRun(reason), self.load());
    }

    fn start(&self, daemon: &Rc<Daemon>, id: JobId, job: Job) {
        let idempotent = job.call.kind.idempotent;
        let call = job.call.id.clone();
        let parent = ParentCall {
            share: job.call.share,
            usage: RefCell::default(),
        };
        self.parents
            .borrow_mut()
            .insert(call.clone(), Rc::new(parent));
        let owner = Rc::clone(daemon);
        let pool = Rc::clone(&self.pool);
        let task = tokio::task::spawn_local(async move {
            let started = owner.clock.now();
            let outcome = run(&owner, &pool, &job).await;
            owner.gate.finish(&owner, id, job, started, outcome);
        });
        let active = Active {
            stage: Stage::Running(task.abort_handle()),
            idempotent,
            call,
        };
        self.active.borrow_mut().insert(id, active);
    }

    fn finish(
        &self,
        daemon: &Rc<Daemon>,
        id: JobId,
        job: Job,
        started: Instant,
        mut outcome: Outcome,
    ) {
        self.active.borrow_mut().remove(&id);
        let parent = self.parents.borrow_mut().remove(&job.call.id);
        let now = daemon.clock.now();
        let held = now.saturating_duration_since(started);
        let mut lane = self.lane.borrow_mut();
        match &mut outcome {
            Outcome::Answered(answer, _) => {
                answer.held_us = held.as_micros() as u64;
                if let Some(parent) = parent {
                    answer.usage = parent.usage.take().into_iter().collect();
                }
                lane.finish(held);
                if (200..300).contains(&answer.status) {
                    let mut times = self.times.borrow_mut();
                    times
                        .entry(job.call.kind.route.clone())
                        .or_default()
                        .record(held);
                }
            }
            Outcome::NotRun(_) | Outcome::Unknown(_) => {
                let mean = lane.mean_hold_time();
                lane.finish(mean);
            }
        }
        drop(lane);
        let refused = matches!(outcome, Outcome::NotRun(NotRun::Rejected));
        let sample = if refused { 0.0 } else { 1.0 };
        let mean = self.accepted.get();
        self.accepted.set(mean + ACCEPTED_WEIGHT * (sample - mean));
        self.fill(daemon);
        match outcome {
            Outcome::NotRun(reason) => self.refuse(daemon, job, reason),
            outcome => {
                if let Outcome::Unknown(reason) = &outcome
                    && daemon.log_limiter.allows(now, "endpoint_failed")
                {
                    info!(event = "endpoint_failed", id = &*job.call.id, route = &*job.call.kind.route, instance = &*job.call.kind.instance, reason:? = reason, held_ms = held.as_millis() as u64; "");
                }
                job.sender.send(outcome, self.load());
            }
        }
    }

    /// Starts waiting calls while there are slots.
    fn fill(&self, daemon: &Rc<Daemon>) {
        loop {
            let next = self.lane.borrow_mut().start_next(daemon.clock.now());
            let Some((id, job)) = next else {
                return;
            };
            self.start(daemon, id, job);
        }
    }

    /// Refuses waiting calls that can no longer be served, as long as the daemon runs.
    pub async fn expire_waiting(&self, daemon: &Rc<Daemon>) {
        loop {
            if self.lane.borrow().waiting() == 0 {
                self.waiting.notified().await;
            }
            tokio::time::sleep(SWEEP).await;
            let (jobs, reason) = if self.has_left(daemon, ADMIT_SHARE) {
                (self.lane.borrow_mut().clear(), NotRun::Leaving)
            } else {
                let now = daemon.clock.now();
                (self.lane.borrow_mut().expire(now), NotRun::Late)
            };
            for (id, job) in jobs {
                self.active.borrow_mut().remove(&id);
                self.refuse(daemon, job, reason);
            }
        }
    }
}

async fn run(daemon: &Rc<Daemon>, pool: &Pool, job: &Job) -> Outcome {
    let outgoing = Outgoing {
        id: &job.call.id,
        idempotent: job.call.kind.idempotent,
    };
    let build = || build(daemon, job);
    let limit = job.deadline.at + DEADLINE_SLACK;
    let exchange = pool.exchange(&*daemon.clock, &outgoing, build);
    match tokio::time::timeout_at(limit.into(), exchange).await {
        Err(_) => Outcome::Unknown(Unknown::TimedOut),
        Ok(Exchange::NotSent(reason)) => {
            if reason == NotRun::Unreachable {
                daemon.gate.unreachable.set(Some(daemon.clock.now()));
            }
            Outcome::NotRun(reason)
        }
        Ok(Exchange::Failed(reason)) => Outcome::Unknown(reason),
        Ok(Exchange::Answered(answer, body)) => {
            match answer.run_status {
                RunStatus::Ran => {}
                RunStatus::NotRun => return Outcome::NotRun(NotRun::Rejected),
                RunStatus::Misdirected => return Outcome::NotRun(NotRun::Unknown),
                RunStatus::Unsigned => return Outcome::Unknown(Unknown::Damaged),
            }
            let head = ResponseHead {
                status: answer.status,
                fields: answer.fields,
                signature: answer.signature,
                held_us: 0,
                usage: Vec::new(),
            };
            Outcome::Answered(head, body)
        }
    }
}

/// Makes the request's bytes, if it may still be sent.
fn build(daemon: &Rc<Daemon>, job: &Job) -> Result<Vec<u8>, NotRun> {
    let gate = &daemon.gate;
    if gate.has_left(daemon, SEND_SHARE) {
        return Err(NotRun::Leaving);
    }
    if !gate.serves(&job.call.kind.instance) {
        return Err(NotRun::Unknown);
    }
    let left = job.deadline.left(daemon.clock.now(), daemon.clock.boot());
    if left < LEAST_TIME {
        return Err(NotRun::Late);
    }
    let forward = ForwardedRequest {
        id: &job.call.id,
        method: &job.call.kind.method,
        target: &job.call.target,
        fields: &job.call.kind.fields,
        length: job.body.len(),
        left,
        instance: &job.call.kind.instance,
        caller: &job.call.kind.caller,
    };
    let mut bytes = Vec::with_capacity(512 + job.body.len());
    request::encode(&forward, &mut bytes);
    bytes.extend_from_slice(&job.body);
    Ok(bytes)
}
