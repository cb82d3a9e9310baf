//! Simulates random histories of calls, gates and faults.
//!
//! The histories check that no call runs twice unless it is idempotent, that no call is reported as
//! not run although it ran, and that retries stay under their bound. Frames get lost or arrive
//! late, endpoints refuse calls, crash and lose responses, and clients cancel. The runs at the
//! endpoints are compared with what the callers were told.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use policy::attempt::{AttemptFailure, Attempts, RetryDecision};
use policy::queue::{EndpointQueue, EnqueueOutcome, QueuedCall, WaitingId};
use policy::retry::{RetryBound, RetryBudget};
use policy::routing::{RetrySafety, Route};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const HISTORY_COUNT: u64 = 10_000;
const GATES: usize = 3;
const SLOTS: u32 = 3;
const CALLS: usize = 60;
/// Calls begin within this time.
const CALL_START_SPAN_MS: u64 = 1_500;
/// End of a history, after which nothing happens any more.
const HISTORY_END_MS: u64 = 6_000;
/// Time between two checks of the waiting calls.
const SWEEP_INTERVAL_MS: u64 = 10;
/// Largest number of gates to which a call is offered, as in the daemon.
const MAX_OFFERS: usize = 3;
const MAX_ATTEMPTS: u32 = 2;
/// Retries allowed besides those that calls earn: few, so that the retry budget is the limit, or
/// many, so that the attempts of a call are.
const RETRY_SLACKS: [f64; 2] = [8.0, 60.0];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerOutcome {
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
        restarts: u32,
    },
    Outcome {
        job: Job,
        failure: Option<AttemptFailure>,
    },
    Cancel(usize),
    Crash(usize),
    Sweep,
}

/// A call offered to a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Job {
    call: usize,
    offer: usize,
    /// Whether an earlier attempt may have reached an endpoint.
    retry: bool,
}

struct Call {
    route: Route,
    deadline_ms: u64,
    attempts: Attempts,
    gates: Vec<usize>,
    cancelled: bool,
    caller_outcome: Option<CallerOutcome>,
    runs: u32,
    arrivals: u32,
}

struct Gate {
    queue: EndpointQueue<Job>,
    waiting: HashMap<Job, WaitingId>,
    running: Vec<Job>,
    /// Number of restarts of its endpoint.
    restarts: u32,
}

impl Gate {
    fn new(restarts: u32) -> Self {
        Self {
            queue: EndpointQueue::new(SLOTS),
            waiting: HashMap::new(),
            running: Vec::new(),
            restarts,
        }
    }
}

/// Probabilities of the faults in one history.
struct Probabilities {
    lost_frame: f64,
    late_frame: f64,
    rejected_call: f64,
    lost_response: f64,
    cancelled_call: f64,
}

struct History {
    rng: SmallRng,
    start: Instant,
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    next_sequence: u64,
    probabilities: Probabilities,
    calls: Vec<Call>,
    gates: Vec<Gate>,
    bound: RetryBound,
    /// Each gate's part of the retry budget.
    budgets: Vec<RetryBudget>,
}

impl History {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut probability = || {
            if rng.random_bool(0.5) {
                rng.random_range(0.0..0.4)
            } else {
                0.0
            }
        };
        let probabilities = Probabilities {
            lost_frame: probability(),
            late_frame: probability(),
            rejected_call: probability(),
            lost_response: probability(),
            cancelled_call: probability(),
        };
        let bound = RetryBound {
            ratio: 0.2,
            slack: RETRY_SLACKS[(seed % 2) as usize],
            window: Duration::from_secs(10),
        };
        let mut history = Self {
            rng,
            start: Instant::now(),
            now_ms: 0,
            events: BTreeMap::new(),
            next_sequence: 0,
            probabilities,
            calls: Vec::new(),
            gates: (0..GATES).map(|_| Gate::new(0)).collect(),
            bound,
            budgets: (0..GATES)
                .map(|_| RetryBudget::new(bound, Instant::now()))
                .collect(),
        };
        for index in 0..CALLS {
            history.add_call(index);
        }
        for _ in 0..history.rng.random_range(0..3) {
            let gate = history.rng.random_range(0..GATES);
            let at = history.rng.random_range(0..CALL_START_SPAN_MS);
            history.at(at, Event::Crash(gate));
        }
        for at in (0..HISTORY_END_MS).step_by(SWEEP_INTERVAL_MS as usize) {
            history.at(at, Event::Sweep);
        }
        history
    }

    fn add_call(&mut self, index: usize) {
        let begin = self.rng.random_range(0..CALL_START_SPAN_MS);
        let deadline_ms = begin + self.rng.random_range(50..900);
        let route = Route {
            name: "r".into(),
            host: "h".to_owned(),
            prefix: "/".to_owned(),
            retry_safety: if self.rng.random_bool(0.5) {
                RetrySafety::Never
            } else {
                RetrySafety::Idempotent
            },
            timeout: Duration::from_millis(deadline_ms - begin),
            objective: Duration::from_millis(deadline_ms - begin),
            rank: self.rng.random_range(0..3),
            attempts: MAX_ATTEMPTS,
            exempt: false,
            services: Vec::new(),
        };
        self.calls.push(Call {
            attempts: Attempts::new(&route),
            route,
            deadline_ms,
            gates: Vec::new(),
            cancelled: false,
            caller_outcome: None,
            runs: 0,
            arrivals: 0,
        });
        self.at(begin, Event::Begin(index));
        if self.rng.random_bool(self.probabilities.cancelled_call) {
            let at = self.rng.random_range(begin..deadline_ms);
            self.at(at, Event::Cancel(index));
        }
    }

    fn at(&mut self, time: u64, event: Event) {
        self.next_sequence += 1;
        self.events.insert((time, self.next_sequence), event);
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.at(self.now_ms + delay_ms, event);
    }

    fn instant(&self, time: u64) -> Instant {
        self.start + Duration::from_millis(time)
    }

    fn run_events(&mut self) {
        while let Some(((time, _), event)) = self.events.pop_first() {
            self.now_ms = time;
            match event {
                Event::Begin(call) => {
                    self.offer(call);
                }
                Event::Arrive { job, gate } => self.arrive(job, gate),
                Event::Finish {
                    job,
                    gate,
                    restarts,
                } => self.finish(job, gate, restarts),
                Event::Outcome { job, failure } => self.outcome(job, failure),
                Event::Cancel(call) => self.cancel_call(call),
                Event::Crash(gate) => self.crash(gate),
                Event::Sweep => self.sweep(),
            }
        }
    }

    /// Offers a call to a gate that was not tried yet.
    fn offer(&mut self, index: usize) {
        let gates = &self.calls[index].gates;
        let free: Vec<usize> = (0..GATES).filter(|gate| !gates.contains(gate)).collect();
        let can_offer = gates.len() < MAX_OFFERS
            && !free.is_empty()
            && self.now_ms < self.calls[index].deadline_ms;
        if !can_offer {
            return self.send_final_response(index);
        }
        let gate = free[self.rng.random_range(0..free.len())];
        self.calls[index].gates.push(gate);
        let job = Job {
            call: index,
            offer: self.calls[index].gates.len(),
            retry: self.calls[index].attempts.delivered() > 0,
        };
        let deadline_ms = self.calls[index].deadline_ms;
        if self.rng.random_bool(self.probabilities.lost_frame) {
            // The connection ends; the frame may or may not have arrived before.
            if self.rng.random_bool(0.5) {
                self.after(1, Event::Arrive { job, gate });
            }
            let failure = Some(AttemptFailure::Lost);
            self.after(20, Event::Outcome { job, failure });
        } else {
            let late = self.rng.random_bool(self.probabilities.late_frame);
            let delay_ms = if late {
                self.rng.random_range(1..1_500)
            } else {
                1
            };
            self.after(delay_ms, Event::Arrive { job, gate });
        }
        let failure = Some(AttemptFailure::TimedOut);
        self.at(deadline_ms + 20, Event::Outcome { job, failure });
    }

    /// Sends the final response to the caller.
    fn send_final_response(&mut self, index: usize) {
        let call = &mut self.calls[index];
        let caller_outcome = if call.attempts.may_have_run() {
            CallerOutcome::MayHaveRun
        } else {
            CallerOutcome::NotRun
        };
        assert_eq!(call.caller_outcome, None, "a call has one response");
        call.caller_outcome = Some(caller_outcome);
    }

    fn arrive(&mut self, job: Job, gate: usize) {
        let now = self.instant(self.now_ms);
        if !job.retry {
            self.budgets[gate].record_call(now, GATES);
        } else if !self.budgets[gate].try_take(now, GATES) {
            return self.not_delivered(job);
        }
        let call = &self.calls[job.call];
        let queued = QueuedCall {
            rank: call.route.rank,
            remaining: Duration::from_millis(call.deadline_ms % 3),
            deadline: self.instant(call.deadline_ms),
            min_time: Duration::from_millis(20),
            organisation: None,
            cost: Duration::from_millis(20),
            call: job,
        };
        match self.gates[gate].queue.enqueue(now, queued) {
            EnqueueOutcome::Start(job) => self.run(job, gate),
            EnqueueOutcome::Waiting(id) => {
                self.gates[gate].waiting.insert(job, id);
            }
            EnqueueOutcome::Refused(job) => self.not_delivered(job),
        }
    }

    fn not_delivered(&mut self, job: Job) {
        let failure = Some(AttemptFailure::NotDelivered);
        self.after(1, Event::Outcome { job, failure });
    }

    fn run(&mut self, job: Job, gate: usize) {
        self.calls[job.call].arrivals += 1;
        if self.rng.random_bool(self.probabilities.rejected_call) {
            self.gates[gate].queue.finish(Duration::from_millis(1));
            let failure = Some(AttemptFailure::Rejected);
            return self.after(1, Event::Outcome { job, failure });
        }
        self.calls[job.call].runs += 1;
        self.gates[gate].running.push(job);
        let work = self.rng.random_range(5..80);
        let restarts = self.gates[gate].restarts;
        self.after(
            work,
            Event::Finish {
                job,
                gate,
                restarts,
            },
        );
    }

    fn finish(&mut self, job: Job, gate: usize, restarts: u32) {
        let known = &mut self.gates[gate];
        if known.restarts != restarts {
            return;
        }
        known.running.retain(|running| *running != job);
        known.queue.finish(Duration::from_millis(40));
        let lost = self.rng.random_bool(self.probabilities.lost_response);
        let failure = lost.then_some(AttemptFailure::Lost);
        self.after(1, Event::Outcome { job, failure });
    }

    fn outcome(&mut self, job: Job, failure: Option<AttemptFailure>) {
        let call = &mut self.calls[job.call];
        // Only the outcome of the last offer counts; earlier offers have been given up.
        if call.caller_outcome.is_some() || call.cancelled || call.gates.len() != job.offer {
            return;
        }
        let Some(failure) = failure else {
            call.caller_outcome = Some(CallerOutcome::Served);
            return;
        };
        let decision = call.attempts.record_failure(failure);
        match decision {
            RetryDecision::TryOther | RetryDecision::Retry => self.offer(job.call),
            RetryDecision::GiveUp => self.send_final_response(job.call),
        }
    }

    fn cancel_call(&mut self, index: usize) {
        let call = &mut self.calls[index];
        if call.caller_outcome.is_some() {
            return;
        }
        call.cancelled = true;
        let job = Job {
            call: index,
            offer: call.gates.len(),
            retry: call.attempts.delivered() > 0,
        };
        for gate in &mut self.gates {
            if let Some(id) = gate.waiting.remove(&job) {
                assert_eq!(gate.queue.cancel(id), Some(job));
            }
        }
    }

    /// Crashes a gate with its endpoint: its waiting and running calls are lost.
    fn crash(&mut self, gate: usize) {
        let restarts = self.gates[gate].restarts + 1;
        let mut known = std::mem::replace(&mut self.gates[gate], Gate::new(restarts));
        let jobs = known.queue.clear().into_iter().chain(known.running);
        for job in jobs {
            let failure = Some(AttemptFailure::Lost);
            self.after(1, Event::Outcome { job, failure });
        }
    }

    fn sweep(&mut self) {
        let now = self.instant(self.now_ms);
        for gate in 0..GATES {
            for job in self.gates[gate].queue.expire(now) {
                self.gates[gate].waiting.remove(&job);
                self.not_delivered(job);
            }
            while let Some(job) = self.gates[gate].queue.start_next(now) {
                self.gates[gate].waiting.remove(&job);
                self.run(job, gate);
            }
        }
    }

    fn check(&self, seed: u64) {
        let mut retries = 0;
        for (index, call) in self.calls.iter().enumerate() {
            let description = || format!("history {seed}, call {index}: {:?}", call.caller_outcome);
            if call.route.retry_safety == RetrySafety::Never {
                assert!(call.runs <= 1, "{} ran {} times", description(), call.runs);
            }
            assert!(
                call.arrivals <= MAX_ATTEMPTS,
                "{} arrived {}",
                description(),
                call.arrivals
            );
            if call.caller_outcome == Some(CallerOutcome::NotRun) {
                assert_eq!(call.runs, 0, "{} ran", description());
            }
            assert!(
                call.caller_outcome.is_some() || call.cancelled,
                "{} has no response",
                description()
            );
            retries += call.arrivals.saturating_sub(1);
        }
        let bound = self.bound.ratio * CALLS as f64 + self.bound.slack;
        assert!(
            f64::from(retries) <= bound,
            "history {seed}: {retries} retries"
        );
    }
}

#[test]
fn no_call_runs_twice_or_is_reported_as_not_run_after_a_run() {
    for seed in 0..HISTORY_COUNT {
        let mut history = History::new(seed);
        history.run_events();
        history.check(seed);
    }
}
