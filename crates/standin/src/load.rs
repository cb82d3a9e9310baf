//! Open-loop load generator.
//!
//! Calls arrive as a seeded Poisson process, whether or not earlier calls have ended. The latency
//! of a call counts from its scheduled arrival. Each response is checked to be the complete one to
//! its own request, and each call that ended as "not run" is looked up in the ledger.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::StatusCode;
use http_body_util::Full;
use policy::refusal::Execution;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::runtime::Handle;
use tokio::task::JoinSet;

use crate::ledger::Ledger;
use crate::response::{self, BodyError};
use crate::target::{
    ATTEMPT_HEADER, CUSTOMER_HEADER, CallError, Caller, KEY_HEADER, RAN_HEADER, ReceivedResponse,
    Target, request,
};

#[cfg(test)]
mod tests;

/// Calls in flight beyond which new ones are not sent, to bound memory and open files.
const MAX_IN_FLIGHT_CALLS: usize = 5_000;
/// Delay before a resend.
const RESEND_DELAY: Duration = Duration::from_millis(10);
/// Longest latency that the histograms distinguish, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// A class of calls.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name in tables and JSON lines.
    pub name: String,
    /// Rank of its kind in the rules; used in the output only.
    pub rank: u8,
    /// Called service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Request path.
    pub path: String,
    /// Customers, used round robin; empty for anonymous calls.
    #[serde(default)]
    pub customers: Vec<String>,
    /// Fraction of the total rate.
    pub share: f64,
    /// Whether each call has an idempotency key.
    #[serde(default)]
    pub keyed: bool,
    /// Time from the scheduled arrival within which the response is useful, in milliseconds.
    pub deadline_ms: u64,
    /// Timeout of each attempt at the client, in milliseconds.
    pub timeout_ms: u64,
    /// Resends by the client after failed attempts; several for clients that retry aggressively.
    #[serde(default)]
    pub resends: u32,
}

/// A period of constant rates.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Phase {
    /// Name in tables and JSON lines.
    pub name: String,
    /// Length in seconds.
    pub seconds: f64,
    /// Factors on the rate, by class name; 1 for other classes.
    pub factors: BTreeMap<String, f64>,
}

/// Load of a run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Total calls per second of all classes at factor 1.
    pub rate: f64,
    /// Seed of the arrivals.
    #[serde(default)]
    pub seed: u64,
    /// Classes of calls.
    pub classes: Vec<Class>,
    /// Phases, in order.
    pub phases: Vec<Phase>,
}

impl Plan {
    /// Returns the total duration of the phases.
    #[must_use]
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.phases.iter().map(|phase| phase.seconds).sum())
    }

    /// Returns the calls per second of a class in a phase.
    fn rate_of(&self, class: &Class, phase: &Phase) -> f64 {
        self.rate * class.share * phase.factors.get(&class.name).copied().unwrap_or(1.0)
    }

    /// Returns all calls in the order of their arrival.
    #[must_use]
    pub fn arrivals(&self) -> Arrivals<'_> {
        Arrivals {
            plan: self,
            rng: SmallRng::seed_from_u64(self.seed),
            phase: 0,
            phase_start: 0.0,
            next: Vec::new(),
        }
    }
}

/// Scheduled arrival of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time after the start.
    pub at: Duration,
    /// Index of the class.
    pub class: usize,
    /// Index of the phase.
    pub phase: usize,
}

/// Iterator over the calls of a [`Plan`].
#[derive(Debug)]
pub struct Arrivals<'a> {
    plan: &'a Plan,
    rng: SmallRng,
    phase: usize,
    phase_start: f64,
    /// Next arrival of each class in this phase, in seconds after the start.
    next: Vec<f64>,
}

impl Arrivals<'_> {
    fn next_gap(&mut self, class: usize, phase: &Phase) -> f64 {
        let rate = self.plan.rate_of(&self.plan.classes[class], phase);
        let exponential = -self.rng.random::<f64>().max(f64::MIN_POSITIVE).ln();
        if rate > 0.0 {
            exponential / rate
        } else {
            f64::INFINITY
        }
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        loop {
            let phase = self.plan.phases.get(self.phase)?;
            if self.next.is_empty() {
                for class in 0..self.plan.classes.len() {
                    let first = self.phase_start + self.next_gap(class, phase);
                    self.next.push(first);
                }
            }
            let end = self.phase_start + phase.seconds;
            let scheduled = self.next.iter().copied().enumerate();
            let (class, at) = scheduled.min_by(|a, b| a.1.total_cmp(&b.1))?;
            if at < end {
                self.next[class] = at + self.next_gap(class, phase);
                return Some(Arrival {
                    at: Duration::from_secs_f64(at),
                    class,
                    phase: self.phase,
                });
            }
            self.phase += 1;
            self.phase_start = end;
            self.next.clear();
        }
    }
}

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete response to this request arrived within the deadline of the class.
    Served,
    /// The complete response to this request arrived after the deadline.
    Late,
    /// Did not run: refused as not run, or the connection attempt failed.
    NotRun,
    /// Ran, without a useful response.
    Ran,
    /// May have run.
    Unknown,
    /// Answered with status 200 and a wrong body.
    Wrong(BodyError),
    /// Not sent, because too many calls were in flight.
    Unsent,
}

/// Counts and latencies of one class in one phase.
#[derive(Clone, Debug)]
pub struct PhaseStats {
    /// Calls scheduled.
    pub offered: u64,
    /// Calls served completely and in time.
    pub served: u64,
    /// Calls served completely but too late.
    pub late: u64,
    /// Calls that did not run.
    pub not_run: u64,
    /// Calls that ran without a useful response.
    pub ran: u64,
    /// Calls that may have run.
    pub unknown: u64,
    /// Calls with a wrong response body.
    pub wrong: u64,
    /// Calls not sent, because too many were in flight.
    pub unsent: u64,
    /// Requests sent, resends included.
    pub attempts: u64,
    /// Latencies of the calls served, late ones included, in microseconds.
    pub latency: Histogram<u64>,
}

impl PhaseStats {
    fn new() -> Self {
        Self {
            offered: 0,
            served: 0,
            late: 0,
            not_run: 0,
            ran: 0,
            unknown: 0,
            wrong: 0,
            unsent: 0,
            attempts: 0,
            latency: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("bounds are valid"),
        }
    }

    fn record(&mut self, outcome: CallOutcome, attempts: u32, latency: Duration) {
        self.offered += 1;
        self.attempts += u64::from(attempts);
        if matches!(outcome, CallOutcome::Served | CallOutcome::Late) {
            self.latency.saturating_record(latency.as_micros() as u64);
        }
        let count = match outcome {
            CallOutcome::Served => &mut self.served,
            CallOutcome::Late => &mut self.late,
            CallOutcome::NotRun => &mut self.not_run,
            CallOutcome::Ran => &mut self.ran,
            CallOutcome::Unknown => &mut self.unknown,
            CallOutcome::Wrong(_) => &mut self.wrong,
            CallOutcome::Unsent => &mut self.unsent,
        };
        *count += 1;
    }

    /// Returns the fraction of the offered calls that were served in time, 1 if none was offered.
    #[must_use]
    pub fn success_rate(&self) -> f64 {
        if self.offered == 0 {
            return 1.0;
        }
        self.served as f64 / self.offered as f64
    }
}

/// Counts of one class in one second of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct SecondStats {
    /// Calls scheduled in this second.
    pub offered: u32,
    /// Calls scheduled in this second that were served completely and in time.
    pub served: u32,
    /// Calls served completely and in time that ended in this second.
    pub goodput: u32,
}

/// Results of one class.
#[derive(Clone, Debug)]
pub struct ClassResult {
    /// Class that the results belong to.
    pub class: Class,
    /// Statistics by phase.
    pub phases: Vec<PhaseStats>,
    /// Statistics by second after the start.
    pub seconds: Vec<SecondStats>,
    /// Errors of wrong response bodies.
    pub body_errors: Vec<BodyError>,
    not_run_ids: Vec<String>,
}

impl ClassResult {
    fn second_mut(&mut self, at: Duration) -> &mut SecondStats {
        let index = at.as_secs() as usize;
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, SecondStats::default());
        }
        &mut self.seconds[index]
    }
}

/// Results of a plan.
#[derive(Clone, Debug)]
pub struct LoadResults {
    /// Plan that was run.
    pub plan: Plan,
    /// Results by class.
    pub classes: Vec<ClassResult>,
    /// Calls reported as not run that ran, `None` without a ledger. Must be zero.
    pub not_run_but_ran: Option<u64>,
}

struct Shared {
    plan: Plan,
    start: Instant,
    target: Arc<Target>,
    caller: Caller,
    in_flight: AtomicUsize,
    classes: Vec<Mutex<ClassResult>>,
}

/// Runs the plan from `start` and returns when all calls have ended.
///
/// # Panics
///
/// Panics if the thread that starts the calls cannot be created.
pub async fn run(
    plan: Plan,
    target: Arc<Target>,
    ledger: Option<&Ledger>,
    start: Instant,
) -> LoadResults {
    let classes = plan.classes.iter().map(|class| {
        Mutex::new(ClassResult {
            class: class.clone(),
            phases: plan.phases.iter().map(|_| PhaseStats::new()).collect(),
            seconds: Vec::new(),
            body_errors: Vec::new(),
            not_run_ids: Vec::new(),
        })
    });
    let shared = Arc::new(Shared {
        classes: classes.collect(),
        start,
        target,
        caller: Caller::new(),
        in_flight: AtomicUsize::new(0),
        plan,
    });
    // A thread sleeps more precisely than the runtime's timer, which rounds up to 1 ms.
    let starter = Arc::clone(&shared);
    let handle = Handle::current();
    let calls = tokio::task::spawn_blocking(move || start_calls(&starter, &handle));
    let mut calls = calls.await.expect("starting calls does not panic");
    while calls.join_next().await.is_some() {}
    drop(calls);
    let shared = Arc::into_inner(shared).expect("all calls have ended");
    let classes = shared
        .classes
        .into_iter()
        .map(|class| class.into_inner().expect("class lock is never poisoned"));
    let classes: Vec<_> = classes.collect();
    LoadResults {
        not_run_but_ran: ledger.map(|ledger| count_false_not_run(&classes, ledger)),
        plan: shared.plan,
        classes,
    }
}

/// Counts the calls that ended as not run although they ran.
fn count_false_not_run(classes: &[ClassResult], ledger: &Ledger) -> u64 {
    let counts = classes.iter().map(|result| {
        let ids = result.not_run_ids.iter();
        ids.filter(|id| ledger.runs_of(&result.class.service, id) > 0)
            .count() as u64
    });
    counts.sum()
}

fn start_calls(shared: &Arc<Shared>, handle: &Handle) -> JoinSet<()> {
    let mut calls = JoinSet::new();
    for (number, arrival) in shared.plan.arrivals().enumerate() {
        let scheduled = shared.start + arrival.at;
        let wait = scheduled.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            std::thread::sleep(wait);
        }
        while calls.try_join_next().is_some() {}
        if shared.in_flight.load(Ordering::Relaxed) >= MAX_IN_FLIGHT_CALLS {
            shared.record(arrival, CallOutcome::Unsent, 0, String::new());
            continue;
        }
        shared.in_flight.fetch_add(1, Ordering::Relaxed);
        let shared = Arc::clone(shared);
        calls.spawn_on(async move { shared.call(number, arrival).await }, handle);
    }
    calls
}

impl Shared {
    async fn call(&self, number: usize, arrival: Arrival) {
        let class = &self.plan.classes[arrival.class];
        let id = format!("{:x}-{number}", self.plan.seed);
        let mut previous = None;
        let mut attempts = 0;
        let outcome = loop {
            attempts += 1;
            let outcome = self.attempt(class, number, &id, attempts).await;
            if outcome == CallOutcome::Served {
                break outcome;
            }
            let merged = merge_attempts(previous, outcome);
            previous = Some(merged);
            if attempts > class.resends {
                break merged;
            }
            tokio::time::sleep(RESEND_DELAY).await;
        };
        self.record(arrival, outcome, attempts, id);
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    async fn attempt(&self, class: &Class, number: usize, id: &str, attempt: u32) -> CallOutcome {
        let Some(address) = self.target.address(&class.service) else {
            return CallOutcome::NotRun;
        };
        let mut builder = request(address, &class.service, &class.method, &class.path);
        builder = builder.header(response::ID_HEADER, id);
        if class.keyed {
            builder = builder
                .header(KEY_HEADER, format!("key-{id}"))
                .header(ATTEMPT_HEADER, attempt);
        }
        if let Some(index) = number.checked_rem(class.customers.len()) {
            builder = builder.header(CUSTOMER_HEADER, &class.customers[index]);
        }
        let Ok(request) = builder.body(Full::new(Bytes::new())) else {
            return CallOutcome::NotRun;
        };
        let timeout = Duration::from_millis(class.timeout_ms);
        outcome(id, &self.caller.call(request, timeout).await)
    }

    fn record(&self, arrival: Arrival, outcome: CallOutcome, attempts: u32, id: String) {
        let now = self.start.elapsed();
        let mut result = self.classes[arrival.class]
            .lock()
            .expect("class lock is never poisoned");
        let latency = now.saturating_sub(arrival.at);
        let deadline = Duration::from_millis(result.class.deadline_ms);
        let outcome = match outcome {
            CallOutcome::Served if latency > deadline => CallOutcome::Late,
            outcome => outcome,
        };
        result.phases[arrival.phase].record(outcome, attempts, latency);
        result.second_mut(arrival.at).offered += 1;
        match outcome {
            CallOutcome::Served => {
                result.second_mut(arrival.at).served += 1;
                result.second_mut(now).goodput += 1;
            }
            CallOutcome::NotRun => result.not_run_ids.push(id),
            CallOutcome::Wrong(error) => result.body_errors.push(error),
            CallOutcome::Late | CallOutcome::Ran | CallOutcome::Unknown | CallOutcome::Unsent => {}
        }
    }
}

/// Returns the outcome of one attempt.
fn outcome(id: &str, result: &Result<ReceivedResponse, CallError>) -> CallOutcome {
    let response = match result {
        Ok(response) => response,
        Err(CallError::Connect) => return CallOutcome::NotRun,
        Err(CallError::Disconnected | CallError::Body | CallError::Timeout) => {
            return CallOutcome::Unknown;
        }
    };
    if response.status == StatusCode::OK {
        return response::check(id, &response.body)
            .map_or_else(CallOutcome::Wrong, |()| CallOutcome::Served);
    }
    let ran = response
        .headers
        .get(RAN_HEADER)
        .and_then(|ran| ran.to_str().ok());
    match ran.and_then(Execution::parse) {
        Some(Execution::NotRun) => CallOutcome::NotRun,
        Some(Execution::Unknown) => CallOutcome::Unknown,
        Some(Execution::Ran) | None => CallOutcome::Ran,
    }
}

/// Merges the outcomes of failed attempts of one call.
///
/// The call counts as not run only if no attempt ran or may have run.
const fn merge_attempts(previous: Option<CallOutcome>, outcome: CallOutcome) -> CallOutcome {
    match (previous, outcome) {
        (Some(CallOutcome::Wrong(error)), _) | (_, CallOutcome::Wrong(error)) => {
            CallOutcome::Wrong(error)
        }
        (Some(CallOutcome::Unknown), _) => CallOutcome::Unknown,
        (Some(CallOutcome::Ran), CallOutcome::NotRun) => CallOutcome::Ran,
        _ => outcome,
    }
}

impl fmt::Display for CallOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Served => f.write_str("served"),
            Self::Late => f.write_str("served late"),
            Self::NotRun => f.write_str("not run"),
            Self::Ran => f.write_str("ran"),
            Self::Unknown => f.write_str("unknown"),
            Self::Wrong(error) => write!(f, "wrong response: {error}"),
            Self::Unsent => f.write_str("unsent"),
        }
    }
}
