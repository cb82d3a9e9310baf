//! Gate of the local endpoint: the admission point that all calls to it pass.
//!
//! A call that is admitted waits in the queue for a slot of the endpoint and is then sent to it.
//! The gate reports the outcome, with the load of the endpoint, to the entry that sent the call.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use adapter::request::{self, ForwardedRequest};
use adapter::response::{self, RunStatus, Statement};
use bytes::Bytes;
use log::info;
use policy::clock::Clock;
use policy::cost::{Backlog, HoldTime, PaceMeter};
use policy::demand::{self, DemandClass, DemandEstimator, ElasticRoom};
use policy::fleet::{Announcement, InstanceId, State};
use policy::id::{OrganisationName, ServiceName};
use policy::progress::{self, Progress};
use policy::queue::{EndpointQueue, EnqueueOutcome, QueuedCall, WaitingId};
use policy::retry::{RetryBound, RetryBudget};
use policy::selection;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;

use crate::arrivals::is_large;
use crate::daemon::Daemon;
use crate::endpoint::{Exchange, Outgoing, Pool};
use crate::frame::{
    CallHead, CallHistory, Frame, Load, NotRun, PACE_SCALE, ResponseHead, SHARE_SCALE, StreamId,
    Unknown,
};
use crate::held_back::{self, Place};
use crate::memory::Budget;
use crate::metrics::NO_RATE_LIMIT;
use crate::outbox::Outbox;

#[cfg(test)]
mod statement_tests;
#[cfg(test)]
mod tests;

/// Fraction of the drain bound for which calls already on their way to a leaving endpoint are
/// admitted. The rest leaves an admitted call time to reach the endpoint.
const DRAIN_ADMIT_FRACTION: f64 = 0.3;

/// Fraction of the drain bound after which no call is sent to a leaving endpoint.
const DRAIN_SEND_FRACTION: f64 = 0.7;

/// Time after SIGTERM for which calls already on their way are admitted. Later ones would keep the
/// endpoint making nested calls until the process ends.
const STOP_ADMIT_GRACE: Duration = Duration::from_millis(200);

/// Shortest time in which an endpoint can respond.
const MIN_RESPONSE_TIME: Duration = Duration::from_millis(5);

/// Time after the deadline for which the endpoint's own timeout response is awaited, so that the
/// connection can be reused.
const TIMEOUT_RESPONSE_GRACE: Duration = Duration::from_millis(40);

/// Time between checks for queued calls that can no longer be served in time.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(10);

/// Time after a failed connection attempt for which calls are refused without another attempt.
const CONNECT_BACKOFF: Duration = Duration::from_millis(150);

/// Time between updates of the demand estimate.
const DEMAND_UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Weight of a new sample in the mean fraction of calls that the endpoint does not refuse.
const ACCEPTED_SAMPLE_WEIGHT: f64 = 0.06;

/// Fraction of the endpoint's remembered refusals that each demand update forgets: half of them in
/// 2.3 s. An endpoint that gets no calls because it refused some must be tried again.
const REFUSAL_DECAY_FRACTION: f64 = 0.03;

/// Remembered departures of unknown instances. Instances on a VM replace each other, and its entry
/// in the store belongs to the latest instance or to the one before.
const MAX_DEPARTURES: usize = 8;

/// Admission share of 1, in thousandths.
const FULL_SHARE: u16 = SHARE_SCALE as u16;

/// Largest admission share, in thousandths.
const MAX_SHARE: u16 = (demand::MAX_SHARE * SHARE_SCALE) as u16;

/// Admission share of a chain, in thousandths, below which it counts as one of too many.
const SCARCE_SHARE: u16 = 600;

/// Smallest change of the admission share that is sent to other daemons, in thousandths.
const MIN_SHARE_CHANGE: u16 = 30;

/// Time after which an admission share below the largest one is sent again, so that other daemons
/// do not treat it as outdated.
const SHARE_RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Number of a job at this gate.
pub type JobId = u64;

/// Deadline of a call, by two clocks.
#[derive(Clone, Copy, Debug)]
pub struct Deadline {
    /// By the monotonic clock that timers use.
    pub at: Instant,
    /// By the boot-time clock, which also runs while the VM is suspended.
    pub boot: Duration,
}

impl Deadline {
    /// Returns the deadline after some time from now.
    #[must_use]
    pub fn after(clock: &dyn Clock, left: Duration) -> Self {
        Self {
            at: clock.now() + left,
            boot: clock.boot() + left,
        }
    }

    /// Returns the time left, by the clock on which less is left.
    #[must_use]
    pub fn left(&self, now: Instant, boot: Duration) -> Duration {
        self.at
            .saturating_duration_since(now)
            .min(self.boot.saturating_sub(boot))
    }
}

/// How a call ended at a gate.
#[derive(Debug)]
pub enum Outcome {
    /// The endpoint responded.
    Answered(ResponseHead, Bytes),
    /// The call has not run and will not.
    NotRun(NotRun),
    /// The call may have run.
    Unknown(Unknown),
}

/// Where the outcome of a job is sent.
#[derive(Debug)]
pub enum OutcomeSender {
    /// To the entry in this daemon.
    Local(oneshot::Sender<(Outcome, Load)>),
    /// To the entry in another daemon.
    Peer {
        /// Outbox of the connection to it.
        outbox: Outbox,
        /// Number of the call on that connection.
        stream: StreamId,
    },
}

impl OutcomeSender {
    fn send(self, outcome: Outcome, load: Load) {
        match self {
            // Sending fails when the entry has stopped waiting.
            Self::Local(sender) => drop(sender.send((outcome, load))),
            Self::Peer { outbox, stream } => {
                let (frame, body) = match outcome {
                    Outcome::Answered(response, body) if is_large(body.len()) => {
                        let finish = move || Frame::Response {
                            stream,
                            response,
                            load,
                        };
                        if outbox.push_large(stream, body, finish).is_none() {
                            outbox.close();
                        }
                        return;
                    }
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

/// A call queued or running at the gate.
#[derive(Debug)]
pub struct Job {
    /// The call.
    pub call: CallHead,
    /// Its body.
    pub body: Bytes,
    /// Its deadline.
    pub deadline: Deadline,
    /// Where its outcome is sent.
    pub sender: OutcomeSender,
}

#[derive(Debug)]
enum Stage {
    Waiting(WaitingId),
    Running(AbortHandle),
}

/// What the gate knows of a job while it is queued or running.
#[derive(Debug)]
struct ActiveJob {
    stage: Stage,
    idempotent: bool,
    call_id: String,
}

/// A running call, as the parent of the nested calls that the endpoint makes for it.
#[derive(Debug)]
pub struct ParentCall {
    /// Admission share at which its chain was admitted; `None` for urgent work.
    pub share: Option<u16>,
    history: CallHistory,
    route: String,
    deadline: Deadline,
    /// Rank of the call.
    pub rank: u32,
    /// Organisation that sent the chain.
    pub organisation: Option<OrganisationName>,
    /// Time that the chain needs after it.
    remaining: Duration,
    /// Nested calls made so far.
    made: Cell<u32>,
    usage: RefCell<BTreeMap<ServiceName, u32>>,
}

/// A nested call as its gate sees it.
#[derive(Clone, Copy, Debug)]
pub struct NestedCall {
    /// Whether the run that made it was itself a retry.
    pub of_retry: bool,
    /// Whether its chain was refused before and has returned.
    pub returned: bool,
    /// Time that its chain needs after it.
    pub remaining: Duration,
    /// Whether its chain can no longer end in time.
    pub is_late: bool,
}

impl ParentCall {
    fn new(job: &Job) -> Self {
        Self {
            share: job.call.share,
            history: job.call.history,
            route: job.call.kind.route.clone(),
            deadline: job.deadline,
            rank: job.call.kind.rank,
            organisation: job.call.organisation.clone(),
            remaining: Duration::from_millis(u64::from(job.call.remaining_ms)),
            made: Cell::new(0),
            usage: RefCell::default(),
        }
    }

    /// Counts an answered nested call to a service, and the calls that it led to.
    pub fn add(&self, service: &ServiceName, usage: &[(ServiceName, u32)]) {
        let mut own = self.usage.borrow_mut();
        *own.entry(ServiceName::clone(service)).or_default() += 1;
        for (service, calls) in usage {
            *own.entry(ServiceName::clone(service)).or_default() += calls;
        }
    }
}

/// Departure of an instance that has not been announced to this process.
#[derive(Debug)]
struct Departure {
    instance: String,
    /// Start of the instance; a later start under the same id is another instance.
    started_ms: u64,
    /// When the notice arrived, by the boot-time clock.
    since: Duration,
}

/// When an endpoint announced that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leaving {
    /// At this time, by the boot-time clock.
    Since(Duration),
    /// Possibly before this process started, at an unknown time.
    Earlier,
}

/// Gate of one endpoint.
#[derive(Debug)]
pub struct Gate {
    /// Start of this daemon in milliseconds since the Unix epoch.
    started_ms: u64,
    announcement: RefCell<Option<Announcement>>,
    leaving: Cell<Option<Leaving>>,
    departures: RefCell<VecDeque<Departure>>,
    unreachable_since: Cell<Option<Instant>>,
    queue: RefCell<EndpointQueue<(JobId, Job)>>,
    active: RefCell<HashMap<JobId, ActiveJob>>,
    /// What the endpoint's runs have shown, by route.
    progress: RefCell<Progress>,
    /// Slot time that queued and running calls still need.
    backlog: RefCell<Backlog>,
    /// Pace of the machine, as the endpoint's responses state it.
    pace: Cell<PaceMeter>,
    /// This gate's part of the retry budget of its service.
    budget: RefCell<RetryBudget>,
    pool: Rc<Pool>,
    /// Running calls by id.
    parents: RefCell<HashMap<String, Rc<ParentCall>>>,
    demand: RefCell<DemandEstimator>,
    /// Elastic work that the endpoint can take and that is demanded of it.
    room: Cell<ElasticRoom>,
    /// What the endpoint's last response states.
    statement: Cell<Statement>,
    /// Mean fraction of calls that the endpoint does not refuse.
    accepted: Cell<f64>,
    next_id: Cell<JobId>,
    /// Wakes the task that expires queued jobs.
    queued: Notify,
}

impl Gate {
    /// Creates the gate of the endpoint at an address. Its instance is not known yet.
    #[must_use]
    pub fn new(
        address: std::net::SocketAddr,
        bound: RetryBound,
        budget: Arc<Budget>,
        clock: &dyn Clock,
    ) -> Self {
        let now = clock.now();
        let wall = clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        Self {
            started_ms: wall.unwrap_or_default().as_millis() as u64,
            announcement: RefCell::new(None),
            leaving: Cell::new(None),
            departures: RefCell::default(),
            unreachable_since: Cell::new(None),
            queue: RefCell::new(EndpointQueue::new(1)),
            active: RefCell::new(HashMap::new()),
            progress: RefCell::default(),
            backlog: RefCell::default(),
            pace: Cell::default(),
            budget: RefCell::new(RetryBudget::new(bound, now)),
            pool: Rc::new(Pool::new(address, budget)),
            parents: RefCell::new(HashMap::new()),
            demand: RefCell::new(DemandEstimator::new(now)),
            room: Cell::default(),
            statement: Cell::default(),
            accepted: Cell::new(1.0),
            next_id: Cell::new(1),
            queued: Notify::new(),
        }
    }

    /// Returns the latest announcement of the endpoint.
    #[must_use]
    pub fn announcement(&self) -> Option<Announcement> {
        self.announcement.borrow().clone()
    }

    /// Returns the announced instance and its start.
    fn incarnation(&self) -> Option<(InstanceId, u64)> {
        let announcement = self.announcement.borrow();
        let known = announcement.as_ref()?;
        Some((InstanceId::clone(&known.instance), known.started_ms))
    }

    /// Whether an instance is the announced one.
    fn serves(&self, instance: &str) -> bool {
        let announcement = self.announcement.borrow();
        announcement
            .as_ref()
            .is_some_and(|known| *known.instance == *instance)
    }

    /// Whether an instance gets no calls because it left or because a later one has taken its place.
    ///
    /// A start that is not known can be later than the known one: its heartbeat may still arrive.
    /// Two starts under one id cannot be told apart by those who send calls.
    #[must_use]
    pub fn has_left(&self, instance: &str, started_ms: Option<u64>) -> bool {
        let announcement = self.announcement.borrow();
        announcement.as_ref().is_some_and(|known| {
            if *known.instance == *instance {
                known.state != State::Ready
                    && started_ms.is_none_or(|started_ms| started_ms == known.started_ms)
            } else {
                started_ms.is_some_and(|started_ms| started_ms < known.started_ms)
            }
        })
    }

    /// Whether a job is queued or running.
    #[must_use]
    pub fn is_active(&self, id: JobId) -> bool {
        self.active.borrow().contains_key(&id)
    }

    /// Returns the number of queued and running jobs.
    #[must_use]
    pub fn active_calls(&self) -> usize {
        self.active.borrow().len()
    }

    /// Returns the load of the endpoint.
    #[must_use]
    pub fn load(&self, now: Instant) -> Load {
        let queue = self.queue.borrow();
        let backlog = self.backlog.borrow().total(now).as_micros();
        let (limit, hold_time) = queue.capacity();
        Load {
            calls: (queue.running() + queue.waiting()) as u32,
            limit: limit as u32,
            held_us: hold_time.as_micros() as u32,
            room: self.room.get().room as u32,
            demand: self.room.get().demand as u32,
            accepted: (self.accepted.get() * SHARE_SCALE) as u16,
            backlog_us: u32::try_from(backlog).unwrap_or(u32::MAX),
            pace: self
                .pace
                .get()
                .pace()
                .map_or(0, |pace| (pace * PACE_SCALE).max(1.0) as u16),
        }
    }

    /// Returns the time for which calls of a route hold a slot; that of all routes if nothing is
    /// known of the route.
    fn hold_time(&self, route: &str) -> HoldTime {
        let known = self.progress.borrow().hold_time(route);
        known.unwrap_or_else(|| HoldTime {
            mean: self.queue.borrow().mean_hold_time(),
            deviation: Duration::ZERO,
        })
    }

    /// Returns the running parent of a nested call. The id of a nested call is that of its parent
    /// with a dot and a suffix.
    ///
    /// The id alone is no proof, but a client that forges one only gets ahead of other calls of its
    /// own rank.
    #[must_use]
    pub fn parent(&self, id: &str) -> Option<Rc<ParentCall>> {
        let (parent, _) = id.rsplit_once('.')?;
        self.parents.borrow().get(parent).cloned()
    }

    /// Sets the operators' bound on retries.
    pub fn set_retry_bound(&self, bound: RetryBound) {
        self.budget.borrow_mut().set_bound(bound);
    }

    /// Counts a nested call that a running call makes; returns what follows from its position.
    pub fn count_nested(&self, daemon: &Daemon, parent: &ParentCall) -> NestedCall {
        let made = parent.made.get() + 1;
        parent.made.set(made);
        let own = self.progress.borrow().remaining(&parent.route, made);
        let left = parent
            .deadline
            .left(daemon.clock.now(), daemon.clock.boot());
        NestedCall {
            of_retry: parent.history.retry || parent.history.of_retry,
            returned: parent.history.returned,
            remaining: parent.remaining + own,
            is_late: progress::cannot_finish(left, own),
        }
    }

    /// Applies a call to the retry budget; returns whether it may be delivered.
    fn charge_budget(&self, daemon: &Daemon, now: Instant, call: &CallHead) -> bool {
        let gates = daemon.fleet.borrow().ready(&daemon.service()).len();
        let mut budget = self.budget.borrow_mut();
        if call.history.retry {
            return budget.try_take(now, gates);
        }
        if call.history.of_retry {
            budget.record_repeat(now, gates);
        } else if !call.kind.nested && !call.history.offered {
            // The operators' bound counts calls of clients only.
            budget.record_call(now, gates);
        }
        true
    }

    /// Updates the demand estimate and sends other daemons the admission share that fits, as long
    /// as the daemon runs.
    pub async fn track_demand(&self, daemon: &Rc<Daemon>) {
        let mut sent = (FULL_SHARE, daemon.clock.now());
        loop {
            tokio::time::sleep(DEMAND_UPDATE_INTERVAL).await;
            let now = daemon.clock.now();
            let in_queue = self.queue.borrow_mut().held_changes(now);
            held_back::report(daemon, Place::Queue, in_queue);
            let at_entry = daemon.throttle.borrow_mut().held_changes(now);
            held_back::report(daemon, Place::Entry, at_entry);
            let load: selection::Load = self.load(now).into();
            let mut demand = self.demand.borrow_mut();
            demand.adjust(self.queue.borrow().next_wait(now), load.hold_time);
            let room = demand.room(now, load.capacity());
            drop(demand);
            self.room.set(room);
            let share = (room.share() * SHARE_SCALE) as u16;
            self.accepted
                .set(1.0 - (1.0 - self.accepted.get()) * (1.0 - REFUSAL_DECAY_FRACTION));
            let load = self.load(now);
            let usable = share.min(load.accepted).min(FULL_SHARE);
            let changed = usable.abs_diff(sent.0) >= MIN_SHARE_CHANGE;
            let resend = (usable < FULL_SHARE || share < MAX_SHARE)
                && now.saturating_duration_since(sent.1) >= SHARE_RESEND_INTERVAL;
            if changed || resend {
                sent = (usable, now);
                if changed && daemon.log_limiter.allows(now, "room") {
                    info!(event = "room", share = share, accepted = load.accepted, calls = load.calls, limit = load.limit, held_us = load.held_us; "");
                }
                daemon.subscribers.notify(&Frame::Load(load));
                let own = daemon.peers.get(&daemon.vm);
                own.stats.borrow_mut().record_load(now, load.into());
            }
        }
    }

    /// Starts, queues or refuses a call; returns its number unless it was refused.
    pub fn submit(&self, daemon: &Rc<Daemon>, job: Job) -> Option<JobId> {
        let now = daemon.clock.now();
        if let Some(reason) = self.refusal(daemon, now, &job) {
            self.send_refusal(daemon, job, reason);
            return None;
        }
        if !self.charge_budget(daemon, now, &job.call) {
            self.send_refusal(daemon, job, NotRun::Budget);
            return None;
        }
        let class = match job.call.share {
            None => DemandClass::Urgent,
            Some(_) if job.call.history.returned => DemandClass::Returned,
            Some(share) => DemandClass::Elastic(f64::from(share) / SHARE_SCALE),
        };
        // The gate that got the call first has counted it.
        if !job.call.history.offered {
            self.demand.borrow_mut().record_arrival(now, class);
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let idempotent = job.call.kind.idempotent;
        let call_id = job.call.id.clone();
        let min_time = self.progress.borrow().lower_bound(&job.call.kind.route);
        let hold_time = self.hold_time(&job.call.kind.route);
        let queued_call = QueuedCall {
            organisation: job.call.organisation.clone(),
            cost: hold_time.mean,
            // Nested calls go before new chains of the same rank.
            rank: (job.call.kind.rank.saturating_mul(2))
                .saturating_add(u32::from(!job.call.kind.nested)),
            remaining: queue_remaining(&job.call),
            deadline: job.deadline.at,
            min_time: min_time.max(MIN_RESPONSE_TIME),
            call: (id, job),
        };
        let enqueued = self.queue.borrow_mut().enqueue(now, queued_call);
        match enqueued {
            EnqueueOutcome::Start((id, job)) => self.start(daemon, id, job),
            EnqueueOutcome::Waiting(waiting) => {
                self.backlog.borrow_mut().record_waiting(id, hold_time);
                let active = ActiveJob {
                    stage: Stage::Waiting(waiting),
                    idempotent,
                    call_id,
                };
                self.active.borrow_mut().insert(id, active);
                self.queued.notify_one();
            }
            EnqueueOutcome::Refused((_, job)) => {
                self.refuse(daemon, job, NotRun::Busy);
                return None;
            }
        }
        Some(id)
    }

    /// Gives back a job whose caller can wait no longer, unless it has been started.
    pub fn withdraw(&self, daemon: &Rc<Daemon>, id: JobId) {
        let mut active = self.active.borrow_mut();
        let Some(Stage::Waiting(waiting)) = active.get(&id).map(|found| &found.stage) else {
            return;
        };
        let job = self.queue.borrow_mut().cancel(*waiting);
        active.remove(&id);
        drop(active);
        self.backlog.borrow_mut().record_end(id);
        if let Some((_, job)) = job {
            if job.call.history.retry {
                self.budget.borrow_mut().give_back();
            }
            job.sender.send(
                Outcome::NotRun(NotRun::Cancelled),
                self.load(daemon.clock.now()),
            );
        }
    }

    /// Cancels a job whose caller no longer waits. A running call that is not idempotent keeps
    /// running.
    pub fn cancel(&self, daemon: &Rc<Daemon>, id: JobId) {
        let mut active = self.active.borrow_mut();
        let Some(found) = active.get(&id) else {
            return;
        };
        match &found.stage {
            Stage::Waiting(_) => {
                drop(active);
                self.withdraw(daemon, id);
            }
            Stage::Running(handle) if found.idempotent => {
                handle.abort();
                self.parents.borrow_mut().remove(&found.call_id);
                active.remove(&id);
                drop(active);
                self.backlog.borrow_mut().record_end(id);
                let hold_time = self.queue.borrow().mean_hold_time();
                self.queue.borrow_mut().finish(hold_time);
                self.start_queued(daemon);
            }
            Stage::Running(_) => {}
        }
    }

    /// Applies a heartbeat; returns whether it changed anything that other daemons must know.
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
                let mut queue = self.queue.borrow_mut();
                queue.clear_rate_limit();
                queue.set_unproven(false);
                self.pace.take();
                true
            }
        };
        self.unreachable_since.set(None);
        let state = announcement.state;
        self.queue.borrow_mut().set_slots(announcement.slots);
        if changed {
            info!(event = "endpoint", instance = &*announcement.instance, service = &*announcement.service, state:? = state, born = announcement.started_ms, sequence = announcement.sequence, slots = announcement.slots; "");
        }
        let first = current.is_none();
        if first && announcement.started_ms < self.started_ms {
            self.queue.borrow_mut().set_unproven(true);
        }
        *current = Some(announcement);
        drop(current);
        self.leaving.set(match (state, self.leaving.get()) {
            (State::Ready, _) => None,
            // An earlier process of this daemon may have acknowledged long ago that the endpoint
            // leaves.
            (_, Some(Leaving::Earlier)) => Some(Leaving::Earlier),
            _ if first => Some(Leaving::Earlier),
            (_, before) => departed.map(Leaving::Since).or(before),
        });
        if state != State::Ready {
            self.start_draining(daemon);
        }
        self.start_queued(daemon);
        changed
    }

    /// Applies an announcement that an earlier process of this daemon recorded outside itself, if it
    /// is newer than the known one; returns whether it was applied.
    ///
    /// The earlier process may have acknowledged long ago that the endpoint leaves, and the known
    /// announcement may be a heartbeat that the endpoint sent before that and that arrived late.
    pub fn apply_record(&self, daemon: &Rc<Daemon>, record: Announcement) -> bool {
        let known = self.announcement();
        if known.is_some_and(|known| !record.corrects(&known)) {
            return false;
        }
        if record.state != State::Ready {
            self.leaving.set(Some(Leaving::Earlier));
        }
        self.apply_announcement(daemon, record);
        true
    }

    /// Returns when the departure of an announced instance was reported, if that was before its
    /// announcement.
    fn departure(&self, announced: &Announcement) -> Option<Duration> {
        let departures = self.departures.borrow();
        let found = departures.iter().find(|departure| {
            departure.instance == *announced.instance
                && announced.started_ms <= departure.started_ms
        });
        found.map(|departure| departure.since)
    }

    /// Remembers that an instance other than the announced one ends: its entry may still be read
    /// from the store.
    fn remember_departure(&self, daemon: &Daemon, instance: &str, started_ms: Option<u64>) {
        let now = daemon.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        let now = now.unwrap_or_default().as_millis() as u64;
        let mut departures = self.departures.borrow_mut();
        if departures.len() >= MAX_DEPARTURES {
            departures.pop_front();
        }
        departures.push_back(Departure {
            instance: instance.to_owned(),
            started_ms: started_ms.unwrap_or(now),
            since: daemon.clock.boot(),
        });
    }

    /// Applies the notice that an instance ends; returns whether it is the announced one and was
    /// not gone before.
    pub fn apply_departure(
        &self,
        daemon: &Rc<Daemon>,
        instance: &str,
        started_ms: Option<u64>,
    ) -> bool {
        let mut current = self.announcement.borrow_mut();
        let known = current.as_mut().filter(|known| {
            *known.instance == *instance
                && started_ms.is_none_or(|started_ms| started_ms == known.started_ms)
        });
        let Some(known) = known else {
            self.remember_departure(daemon, instance, started_ms);
            return false;
        };
        if known.state == State::Gone {
            return false;
        }
        known.state = State::Gone;
        info!(event = "endpoint", instance = instance, state:? = State::Gone; "");
        drop(current);
        self.start_draining(daemon);
        true
    }

    /// Starts the drain time of a leaving endpoint, unless it has started.
    fn start_draining(&self, daemon: &Daemon) {
        let leaving = self.leaving.get();
        let now = Leaving::Since(daemon.clock.boot());
        self.leaving.set(leaving.or(Some(now)));
    }

    /// Whether a fraction of the drain bound has passed since the endpoint announced that it
    /// leaves.
    fn drain_elapsed(&self, daemon: &Daemon, fraction: f64) -> bool {
        let bound = daemon.settings.borrow().bounds.drain().mul_f64(fraction);
        match self.leaving.get() {
            None => false,
            Some(Leaving::Since(since)) => daemon.clock.boot().saturating_sub(since) >= bound,
            Some(Leaving::Earlier) => true,
        }
    }

    /// Returns why a job cannot be admitted, or `None` if it can.
    fn refusal(&self, daemon: &Daemon, now: Instant, job: &Job) -> Option<NotRun> {
        if !self.serves(&job.call.kind.instance) {
            return Some(NotRun::Unknown);
        }
        let stopping = daemon.stopping_for();
        if self.drain_elapsed(daemon, DRAIN_ADMIT_FRACTION)
            || stopping.is_some_and(|time| time >= STOP_ADMIT_GRACE)
        {
            return Some(NotRun::Leaving);
        }
        if self
            .unreachable_since
            .get()
            .is_some_and(|since| now.saturating_duration_since(since) < CONNECT_BACKOFF)
        {
            return Some(NotRun::Unreachable);
        }
        None
    }

    /// Refuses a call for which the retry budget was charged.
    fn refuse(&self, daemon: &Daemon, job: Job, reason: NotRun) {
        if job.call.history.retry && reason != NotRun::Rejected {
            self.budget.borrow_mut().give_back();
        }
        self.send_refusal(daemon, job, reason);
    }

    fn send_refusal(&self, daemon: &Daemon, job: Job, reason: NotRun) {
        let label = format!("{reason:?}");
        daemon.metrics.refused.with_label_values(&[&label]).inc();
        if daemon
            .log_limiter
            .allows(daemon.clock.now(), "gate_refused")
        {
            let load = self.load(daemon.clock.now());
            let left = job.deadline.left(daemon.clock.now(), daemon.clock.boot());
            info!(event = "gate_refused", id = &*job.call.id, route = &*job.call.kind.route, organisation = job.call.organisation.as_deref().unwrap_or("none"), reason = &*label, left_ms = left.as_millis() as u64, calls = load.calls, limit = load.limit, held_us = load.held_us; "");
        }
        let load = self.load(daemon.clock.now());
        job.sender.send(Outcome::NotRun(reason), load);
    }

    /// Records the pace that the endpoint states in a response.
    fn record_pace(&self, now: Instant, load: Option<response::Load>) {
        let mut meter = self.pace.get();
        let hold_time = self.queue.borrow().mean_hold_time();
        meter.record(now, load.and_then(|load| load.pace), hold_time);
        self.pace.set(meter);
    }

    /// Applies what the endpoint states in a response.
    fn apply_statement(&self, daemon: &Daemon, statement: Statement) {
        let now = daemon.clock.now();
        let mut queue = self.queue.borrow_mut();
        queue.set_unproven(false);
        queue.apply_rate_limit(now, statement.rate_limit);
        drop(queue);
        let before = self.statement.replace(statement);
        let sent = daemon.metrics.sent.get();
        if before.rate_limit != statement.rate_limit {
            let limit = statement.rate_limit.unwrap_or(NO_RATE_LIMIT);
            daemon.metrics.rate_limit.set(limit);
            if daemon.log_limiter.allows(now, "endpoint_rate_limit") {
                let load = self.load(now);
                info!(event = "endpoint_rate_limit", limit = limit, before = before.rate_limit.unwrap_or(NO_RATE_LIMIT), sent = sent, calls = load.calls, slots = load.limit; "");
            }
        }
        if statement.leaving {
            self.apply_leaving(daemon);
        }
        if before.leaving != statement.leaving && daemon.log_limiter.allows(now, "endpoint_leaving")
        {
            info!(event = "endpoint_leaving", leaving = statement.leaving, sent = sent; "");
        }
    }

    /// Applies that the endpoint states in its responses that it leaves.
    fn apply_leaving(&self, daemon: &Daemon) {
        let mut current = self.announcement.borrow_mut();
        let Some(known) = current
            .as_mut()
            .filter(|known| matches!(known.state, State::Ready | State::Draining))
        else {
            return;
        };
        known.state = State::Leaving;
        info!(event = "endpoint", instance = &*known.instance, state:? = known.state; "");
        drop(current);
        self.start_draining(daemon);
        daemon.publish_endpoint();
    }

    fn start(&self, daemon: &Rc<Daemon>, id: JobId, job: Job) {
        let hold_time = self.hold_time(&job.call.kind.route);
        let mut backlog = self.backlog.borrow_mut();
        backlog.record_start(daemon.clock.now(), id, hold_time);
        drop(backlog);
        let idempotent = job.call.kind.idempotent;
        let call_id = job.call.id.clone();
        let parent = Rc::new(ParentCall::new(&job));
        self.parents.borrow_mut().insert(call_id.clone(), parent);
        let owner = Rc::clone(daemon);
        let pool = Rc::clone(&self.pool);
        let task = tokio::task::spawn_local(async move {
            let started = owner.clock.now();
            let outcome = run(&owner, &pool, &job).await;
            owner.gate.finish(&owner, id, job, started, outcome);
        });
        let active = ActiveJob {
            stage: Stage::Running(task.abort_handle()),
            idempotent,
            call_id,
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
        self.backlog.borrow_mut().record_end(id);
        let parent = self.parents.borrow_mut().remove(&job.call.id);
        let now = daemon.clock.now();
        let hold_time = now.saturating_duration_since(started);
        let mut queue = self.queue.borrow_mut();
        match &mut outcome {
            Outcome::Answered(response, _) => {
                response.held_us = hold_time.as_micros() as u64;
                let made = parent.as_ref().map_or(0, |parent| parent.made.get());
                if let Some(parent) = parent {
                    response.usage = parent.usage.take().into_iter().collect();
                }
                queue.finish(hold_time);
                if (200..300).contains(&response.status) {
                    let mut progress = self.progress.borrow_mut();
                    progress.record_run(&job.call.kind.route, made, hold_time);
                }
            }
            Outcome::NotRun(_) | Outcome::Unknown(_) => {
                let mean = queue.mean_hold_time();
                queue.finish(mean);
            }
        }
        drop(queue);
        let refused = matches!(outcome, Outcome::NotRun(NotRun::Rejected));
        let sample = if refused { 0.0 } else { 1.0 };
        let mean = self.accepted.get();
        self.accepted
            .set(mean + ACCEPTED_SAMPLE_WEIGHT * (sample - mean));
        self.start_queued(daemon);
        match outcome {
            Outcome::NotRun(reason) => self.refuse(daemon, job, reason),
            outcome => {
                if let Outcome::Unknown(reason) = &outcome
                    && daemon.log_limiter.allows(now, "endpoint_failed")
                {
                    info!(event = "endpoint_failed", id = &*job.call.id, route = &*job.call.kind.route, instance = &*job.call.kind.instance, reason:? = reason, held_ms = hold_time.as_millis() as u64; "");
                }
                job.sender.send(outcome, self.load(now));
            }
        }
    }

    /// Starts queued jobs while there are free slots.
    fn start_queued(&self, daemon: &Rc<Daemon>) {
        loop {
            let next = self.queue.borrow_mut().start_next(daemon.clock.now());
            let Some((id, job)) = next else {
                return;
            };
            self.start(daemon, id, job);
        }
    }

    /// Refuses queued jobs that can no longer be served, as long as the daemon runs.
    pub async fn expire_waiting(&self, daemon: &Rc<Daemon>) {
        loop {
            if self.queue.borrow().waiting() == 0 {
                self.queued.notified().await;
            }
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            let hold_time = self.queue.borrow().mean_hold_time();
            let leaves =
                self.drain_elapsed(daemon, DRAIN_ADMIT_FRACTION) || daemon.must_withdraw(hold_time);
            let (jobs, reason) = if leaves {
                (self.queue.borrow_mut().clear(), NotRun::Leaving)
            } else {
                let now = daemon.clock.now();
                (self.queue.borrow_mut().expire(now), NotRun::Late)
            };
            for (id, job) in jobs {
                self.active.borrow_mut().remove(&id);
                self.backlog.borrow_mut().record_end(id);
                self.refuse(daemon, job, reason);
            }
            // A rate limit lets calls start although none has finished.
            self.start_queued(daemon);
        }
    }
}

/// Returns the remaining time of a call's chain for the order of the queue.
///
/// The order counts it only for chains that were admitted while their services had far too little
/// room: otherwise all chains can finish, and those that have just begun must not be overtaken until
/// they are late.
fn queue_remaining(call: &CallHead) -> Duration {
    if call.share.is_some_and(|share| share < SCARCE_SHARE) {
        Duration::from_millis(u64::from(call.remaining_ms))
    } else {
        Duration::ZERO
    }
}

/// Sends a job's request to the endpoint and awaits its response.
async fn run(daemon: &Rc<Daemon>, pool: &Pool, job: &Job) -> Outcome {
    let outgoing = Outgoing {
        id: &job.call.id,
        idempotent: job.call.kind.idempotent,
        body: &job.body,
    };
    let incarnation = daemon.gate.incarnation();
    let encode = || encode_request(daemon, job);
    let limit = job.deadline.at + TIMEOUT_RESPONSE_GRACE;
    let exchange = pool.exchange(&*daemon.clock, &outgoing, encode);
    match tokio::time::timeout_at(limit.into(), exchange).await {
        Err(_) => Outcome::Unknown(Unknown::TimedOut),
        Ok(Exchange::NotSent(reason)) => {
            if reason == NotRun::Unreachable {
                daemon.gate.unreachable_since.set(Some(daemon.clock.now()));
            }
            Outcome::NotRun(reason)
        }
        Ok(Exchange::Failed(reason)) => Outcome::Unknown(reason),
        Ok(Exchange::Answered(response, body)) => {
            // A response of an earlier start under the same id says nothing about the present one.
            if matches!(response.run_status, RunStatus::Ran | RunStatus::NotRun)
                && daemon.gate.incarnation() == incarnation
            {
                daemon.gate.apply_statement(daemon, response.statement);
                daemon.gate.record_pace(daemon.clock.now(), response.load);
            }
            match response.run_status {
                RunStatus::Ran => {}
                RunStatus::NotRun => return Outcome::NotRun(NotRun::Rejected),
                RunStatus::Misdirected => return Outcome::NotRun(NotRun::Unknown),
                RunStatus::Unsigned => return Outcome::Unknown(Unknown::Damaged),
            }
            let head = ResponseHead {
                status: response.status,
                fields: response.fields,
                signature: response.signature,
                held_us: 0,
                usage: Vec::new(),
            };
            Outcome::Answered(head, body)
        }
    }
}

/// Encodes the head of a job's request, or returns why it must no longer be sent.
fn encode_request(daemon: &Rc<Daemon>, job: &Job) -> Result<Vec<u8>, NotRun> {
    let gate = &daemon.gate;
    if gate.drain_elapsed(daemon, DRAIN_SEND_FRACTION) {
        return Err(NotRun::Leaving);
    }
    if !gate.serves(&job.call.kind.instance) {
        return Err(NotRun::Unknown);
    }
    let left = job.deadline.left(daemon.clock.now(), daemon.clock.boot());
    if left < MIN_RESPONSE_TIME {
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
        organisation: job.call.organisation.as_deref(),
    };
    let mut bytes = Vec::with_capacity(512);
    request::encode(&forward, &mut bytes);
    daemon.metrics.sent.inc();
    Ok(bytes)
}
