//! Plays random histories of calls, gates and faults on the decisions that keep calls from running
//! twice, refusals true and repeats under their bound.
//!
//! Frames get lost or arrive late, endpoints refuse, crash and lose answers, and clients leave. What
//! the endpoints saw is compared with what the callers were told.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use policy::attempt::{AttemptFailure, Attempts, RetryDecision};
use policy::queue::{EndpointQueue, EnqueueOutcome, QueuedCall, WaitingId};
use policy::retry::{FleetRetryBudget, RetryBound};
use policy::routing::{RetrySafety, Route};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const HISTORIES: u64 = 10_000;
const DAEMONS: usize = 4;
const GATES: usize = 3;
const SLOTS: u32 = 3;
const CALLS: usize = 60;
/// Milliseconds in which calls begin.
const SPAN: u64 = 1_500;
/// Milliseconds after which nothing happens any more.
const END: u64 = 6_000;
/// Milliseconds between checks of the waiting calls.
const SWEEP: u64 = 10;
/// Offers of one call, as in the daemon.
const OFFERS: usize = 3;
const ATTEMPTS: u32 = 2;
/// Repeats besides those that calls earn: few, so that the budget binds, or many, so that the
/// attempts of a call do.
const SLACKS: [f64; 2] = [8.0, 60.0];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Served,
    NotRun,
    MayHaveRun,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Begin(usize),
    Arrive {
        job: Job,
        gate: usize,
    },
    Finish {
        job: Job,
        gate: usize,
        start: u32,
    },
    Outcome {
        job: Job,
        fate: Option<AttemptFailure>,
    },
    Leave(usize),
    Crash(usize),
    Sweep,
}

/// An offer of a call to a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Job {
    call: usize,
    offer: usize,
}

struct Call {
    route: Route,
    daemon: usize,
    due: u64,
    attempts: Attempts,
    gates: Vec<usize>,
    left: bool,
    told: Option<Told>,
    runs: u32,
    arrivals: u32,
}

struct Gate {
    lane: EndpointQueue<Job>,
    waiting: HashMap<Job, WaitingId>,
    running: Vec<Job>,
    /// Starts of its endpoint.
    starts: u32,
}

impl Gate {
    fn new(starts: u32) -> Self {
        Self {
            lane: EndpointQueue::new(SLOTS),
            waiting: HashMap::new(),
            running: Vec::new(),
            starts,
        }
    }
}

/// Chances of the faults of one history.
struct Chances {
    lost: f64,
    late: f64,
    rejected: f64,
    unanswered: f64,
    leaving: f64,
}

struct History {
    rng: SmallRng,
    start: Instant,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    chances: Chances,
    calls: Vec<Call>,
    gates: Vec<Gate>,
    bound: RetryBound,
    budgets: Vec<FleetRetryBudget>,
}

impl History {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut chance = || {
            if rng.random_bool(0.5) {
                rng.random_range(0.0..0.4)
            } else {
                0.0
            }
        };
        let chances = Chances {
            lost: chance(),
            late: chance(),
            rejected: chance(),
            unanswered: chance(),
            leaving: chance(),
        };
        let bound = RetryBound {
            ratio: 0.2,
            slack: SLACKS[(seed % 2) as usize],
            window: Duration::from_secs(10),
        };
        let mut history = Self {
            rng,
            start: Instant::now(),
            now: 0,
            events: BTreeMap::new(),
            next: 0,
            chances,
            calls: Vec::new(),
            gates: (0..GATES).map(|_| Gate::new(0)).collect(),
            bound,
            budgets: (0..DAEMONS).map(|_| FleetRetryBudget::new(bound)).collect(),
        };
        for index in 0..CALLS {
            history.plan(index);
        }
        for _ in 0..history.rng.random_range(0..3) {
            let gate = history.rng.random_range(0..GATES);
            let at = history.rng.random_range(0..SPAN);
            history.at(at, Event::Crash(gate));
        }
        for at in (0..END).step_by(SWEEP as usize) {
            history.at(at, Event::Sweep);
        }
        history
    }

    fn plan(&mut self, index: usize) {
        let begin = self.rng.random_range(0..SPAN);
        let due = begin + self.rng.random_range(50..900);
        let route = Route {
            name: "r".into(),
            host: "h".to_owned(),
            prefix: "/".to_owned(),
            retry_safety: if self.rng.random_bool(0.5) {
                RetrySafety::Never
            } else {
                RetrySafety::Idempotent
            },
            timeout: Duration::from_millis(due - begin),
            objective: Duration::from_millis(due - begin),
            rank: self.rng.random_range(0..3),
            attempts: ATTEMPTS,
            services: Vec::new(),
        };
        self.calls.push(Call {
            attempts: Attempts::new(&route),
            route,
            daemon: self.rng.random_range(0..DAEMONS),
            due,
            gates: Vec::new(),
            left: false,
            told: None,
            runs: 0,
            arrivals: 0,
        });
        self.at(begin, Event::Begin(index));
        if self.rng.random_bool(self.chances.leaving) {
            let at = self.rng.random_range(begin..due);
            self.at(at, Event::Leave(index));
        }
    }

    fn at(&mut self, time: u64, event: Event) {
        self.next += 1;
        self.events.insert((time, self.next), event);
    }

    fn after(&mut self, pause: u64, event: Event) {
        self.at(self.now + pause, event);
    }

    fn instant(&self, time: u64) -> Instant {
        self.start + Duration::from_millis(time)
    }

    fn play(&mut self) {
        while let Some(((time, _), event)) = self.events.pop_first() {
            self.now = time;
            match event {
                Event::Begin(call) => {
                    let now = self.instant(time);
                    let daemon = self.calls[call].daemon;
                    self.budgets[daemon].record_call(now, &"s".into(), DAEMONS);
                    self.offer(call);
                }
                Event::Arrive { job, gate } => self.arrive(job, gate),
                Event::Finish { job, gate, start } => self.finish(job, gate, start),
                Event::Outcome { job, fate } => self.outcome(job, fate),
                Event::Leave(call) => self.leave(call),
                Event::Crash(gate) => self.crash(gate),
                Event::Sweep => self.sweep(),
            }
        }
    }

    /// Offers a call to a gate that has not had it.
    fn offer(&mut self, index: usize) {
        let gates = &self.calls[index].gates;
        let free: Vec<usize> = (0..GATES).filter(|gate| !gates.contains(gate)).collect();
        let open = gates.len() < OFFERS && !free.is_empty() && self.now < self.calls[index].due;
        if !open {
            return self.tell(index);
        }
        let gate = free[self.rng.random_range(0..free.len())];
        self.calls[index].gates.push(gate);
        let job = Job {
            call: index,
            offer: self.calls[index].gates.len(),
        };
        let due = self.calls[index].due;
        if self.rng.random_bool(self.chances.lost) {
            // The connection ends; whether the frame arrived before is open.
            if self.rng.random_bool(0.5) {
                self.after(1, Event::Arrive { job, gate });
            }
            let fate = Some(AttemptFailure::Lost);
            self.after(20, Event::Outcome { job, fate });
        } else {
            let late = self.rng.random_bool(self.chances.late);
            let pause = if late {
                self.rng.random_range(1..1_500)
            } else {
                1
            };
            self.after(pause, Event::Arrive { job, gate });
        }
        let fate = Some(AttemptFailure::TimedOut);
        self.at(due + 20, Event::Outcome { job, fate });
    }

    /// Gives the caller its final answer.
    fn tell(&mut self, index: usize) {
        let call = &mut self.calls[index];
        let told = if call.attempts.may_have_run() {
            Told::MayHaveRun
        } else {
            Told::NotRun
        };
        assert_eq!(call.told, None, "a call has one answer");
        call.told = Some(told);
    }

    fn arrive(&mut self, job: Job, gate: usize) {
        let call = &self.calls[job.call];
        let bid = QueuedCall {
            rank: call.route.rank,
            deadline: self.instant(call.due),
            min_time: Duration::from_millis(20),
            call: job,
        };
        let now = self.instant(self.now);
        match self.gates[gate].lane.enqueue(now, bid) {
            EnqueueOutcome::Start(job) => self.run(job, gate),
            EnqueueOutcome::Waiting(id) => {
                self.gates[gate].waiting.insert(job, id);
            }
            EnqueueOutcome::Refused(job) => self.stopped(job),
        }
    }

    fn stopped(&mut self, job: Job) {
        let fate = Some(AttemptFailure::NotDelivered);
        self.after(1, Event::Outcome { job, fate });
    }

    fn run(&mut self, job: Job, gate: usize) {
        self.calls[job.call].arrivals += 1;
        if self.rng.random_bool(self.chances.rejected) {
            self.gates[gate].lane.finish(Duration::from_millis(1));
            let fate = Some(AttemptFailure::Rejected);
            return self.after(1, Event::Outcome { job, fate });
        }
        self.calls[job.call].runs += 1;
        self.gates[gate].running.push(job);
        let work = self.rng.random_range(5..80);
        let start = self.gates[gate].starts;
        self.after(work, Event::Finish { job, gate, start });
    }

    fn finish(&mut self, job: Job, gate: usize, start: u32) {
        let known = &mut self.gates[gate];
        if known.starts != start {
            return;
        }
        known.running.retain(|running| *running != job);
        known.lane.finish(Duration::from_millis(40));
        let lost = self.rng.random_bool(self.chances.unanswered);
        let fate = lost.then_some(AttemptFailure::Lost);
        self.after(1, Event::Outcome { job, fate });
    }

    fn outcome(&mut self, job: Job, fate: Option<AttemptFailure>) {
        let call = &mut self.calls[job.call];
        // Only the outcome of the last offer counts; the others have been given up.
        if call.told.is_some() || call.left || call.gates.len() != job.offer {
            return;
        }
        let Some(fate) = fate else {
            call.told = Some(Told::Served);
            return;
        };
        let next = call.attempts.record_failure(fate);
        let daemon = call.daemon;
        let now = self.instant(self.now);
        let again = match next {
            RetryDecision::TryOther => true,
            RetryDecision::Retry => self.budgets[daemon].try_take(now, &"s".into(), DAEMONS),
            RetryDecision::GiveUp => false,
        };
        if again {
            self.offer(job.call);
        } else {
            self.tell(job.call);
        }
    }

    fn leave(&mut self, index: usize) {
        let call = &mut self.calls[index];
        if call.told.is_some() {
            return;
        }
        call.left = true;
        let job = Job {
            call: index,
            offer: call.gates.len(),
        };
        for gate in &mut self.gates {
            if let Some(id) = gate.waiting.remove(&job) {
                assert_eq!(gate.lane.cancel(id), Some(job));
            }
        }
    }

    /// Ends the gate of an endpoint: what waits there is lost with what runs.
    fn crash(&mut self, gate: usize) {
        let starts = self.gates[gate].starts + 1;
        let mut known = std::mem::replace(&mut self.gates[gate], Gate::new(starts));
        let jobs = known.lane.clear().into_iter().chain(known.running);
        for job in jobs {
            let fate = Some(AttemptFailure::Lost);
            self.after(1, Event::Outcome { job, fate });
        }
    }

    fn sweep(&mut self) {
        let now = self.instant(self.now);
        for gate in 0..GATES {
            for job in self.gates[gate].lane.expire(now) {
                self.gates[gate].waiting.remove(&job);
                self.stopped(job);
            }
            while let Some(job) = self.gates[gate].lane.start_next(now) {
                self.gates[gate].waiting.remove(&job);
                self.run(job, gate);
            }
        }
    }

    fn check(&self, seed: u64) {
        let mut repeats = 0;
        for (index, call) in self.calls.iter().enumerate() {
            let told = || format!("history {seed}, call {index}: {:?}", call.told);
            if call.route.retry_safety == RetrySafety::Never {
                assert!(call.runs <= 1, "{} ran {} times", told(), call.runs);
            }
            assert!(
                call.arrivals <= ATTEMPTS,
                "{} arrived {}",
                told(),
                call.arrivals
            );
            if call.told == Some(Told::NotRun) {
                assert_eq!(call.runs, 0, "{} ran", told());
            }
            assert!(call.told.is_some() || call.left, "{} has no answer", told());
            repeats += call.arrivals.saturating_sub(1);
        }
        let bound = self.bound.ratio * CALLS as f64 + self.bound.slack;
        assert!(
            f64::from(repeats) <= bound,
            "history {seed}: {repeats} repeats"
        );
    }
}

#[test]
fn no_call_runs_twice_and_no_refusal_is_false() {
    for seed in 0..HISTORIES {
        let mut history = History::new(seed);
        history.play();
        history.check(seed);
    }
}
