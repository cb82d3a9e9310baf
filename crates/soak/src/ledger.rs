//! What callers and endpoints saw, and the promises that it is checked against.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

use adapter::standin::ReceivedResponse;

use crate::stall::Stall;

#[cfg(test)]
mod tests;

/// Time without trouble after which bounds in time hold again.
pub const CONTACT: Duration = Duration::from_secs(3);

/// Time past a time-out within which its answer must have come.
const HELD: Duration = Duration::from_millis(500);

/// Calls held past their time-outs that are allowed, as a number and as a part of those that reached
/// their time-out.
const HELD_ALLOWED: (usize, f64) = (8, 0.25);

/// Time after its last byte within which an unread request may see its connection closed.
const UNREAD: Duration = Duration::from_millis(200);

/// Part of the goodput before the faults that must be back after them.
const RETURNED: f64 = 0.95;

/// Number of a VM.
pub type VmIndex = usize;

/// A promise of the product.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A call that must not run twice runs once at most.
    Once,
    /// A call that may run again runs on no more endpoints than its route allows.
    Attempts,
    /// A call that was refused as not run has not run.
    NotRun,
    /// An answer is whole, signed and its request's own.
    Whole,
    /// A call runs at the service of its route, and names its caller's service.
    Routed,
    /// Time-outs are answered in time.
    Held,
    /// Without unplanned trouble no call loses its answer.
    Lost,
    /// Repeats stay under the operators' bound.
    Budget,
    /// A leaving endpoint gets no calls after the bound.
    Drained,
    /// A stopped process ends in its grace time, and none ends by itself.
    Ended,
    /// The newest configuration is in force at the end, and none goes back.
    Configured,
    /// Service returns after the faults.
    Returned,
}

/// A broken promise.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Promise.
    pub promise: Promise,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.seen)
    }
}

/// How an attempt ended for its client.
#[derive(Clone, Debug)]
pub enum End {
    /// With an answer.
    Answered(ReceivedResponse),
    /// The connection ended without one.
    Closed,
    /// The client left.
    Left,
}

/// An attempt of a client.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// VM of the client.
    pub vm: VmIndex,
    /// Service that should run it.
    pub service: &'static str,
    /// Whether it must not run twice.
    pub once: bool,
    /// Endpoints to which it may be sent.
    pub attempts: usize,
    /// Smaller of the route's time-out and the client's patience.
    pub limit: Duration,
    /// When its last byte was sent.
    pub sent: Instant,
    /// When and how it ended.
    pub end: Option<(Instant, End)>,
}

/// An arrival of a call at an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When.
    pub at: Instant,
    /// VM of the endpoint.
    pub vm: VmIndex,
    /// Service of the endpoint.
    pub service: &'static str,
    /// Instance.
    pub instance: String,
    /// Whether the endpoint began to work on it.
    pub ran: bool,
}

/// Kind of a disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Work of the operators, during which no call may be lost.
    Planned,
    /// A fault of this VM, its links or the store.
    Fault,
    /// A fault of the endpoint of this VM: calls that it has may be lost, and nothing else.
    Endpoint,
}

/// A disturbance of one VM.
#[derive(Clone, Debug)]
pub struct Span {
    /// VM.
    pub vm: VmIndex,
    /// Kind.
    pub trouble: Trouble,
    /// Its begin.
    pub from: Instant,
    /// Its end.
    pub until: Instant,
}

/// Bound of repeats.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Repeats for each call of a client.
    pub ratio: f64,
    /// Repeats besides.
    pub slack: f64,
    /// Window.
    pub window: Duration,
}

/// What was seen.
#[derive(Debug, Default)]
pub struct Ledger {
    attempts: BTreeMap<String, Attempt>,
    arrivals: BTreeMap<String, Vec<Arrival>>,
    spans: Vec<Span>,
    stalls: Vec<Stall>,
    leaving: HashMap<String, Instant>,
    violations: Vec<Violation>,
    /// Violations of bounds in time, with the begin and the end of what took too long.
    timed: Vec<(Violation, Instant, Instant)>,
}

impl Ledger {
    /// Notes an attempt.
    pub fn sent(&mut self, id: &str, attempt: Attempt) {
        self.attempts.insert(id.to_owned(), attempt);
    }

    /// Notes its end.
    pub fn ended(&mut self, id: &str, at: Instant, end: End) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.end.get_or_insert((at, end));
        }
    }

    /// Notes an arrival; returns whether the same call arrived before.
    pub fn arrived(&mut self, id: &str, arrival: Arrival) -> bool {
        let arrivals = self.arrivals.entry(id.to_owned()).or_default();
        arrivals.push(arrival);
        arrivals.len() > 1
    }

    /// Notes a disturbance.
    pub fn disturbed(&mut self, span: Span) {
        self.spans.push(span);
    }

    /// Notes that a daemon acknowledged that an instance leaves.
    pub fn leaves(&mut self, instance: &str, at: Instant) {
        self.leaving.entry(instance.to_owned()).or_insert(at);
    }

    /// Notes a promise that was seen to be broken.
    pub fn broken(&mut self, promise: Promise, seen: String) {
        self.violations.push(Violation { promise, seen });
    }

    /// Notes that something which began at a time took too long.
    pub fn overdue(&mut self, promise: Promise, seen: String, since: Instant) {
        let violation = Violation { promise, seen };
        self.timed.push((violation, since, Instant::now()));
    }

    /// Notes the times in which the machine did not run a process that was ready.
    pub fn stalled(&mut self, stalls: Vec<Stall>) {
        self.stalls = stalls;
    }

    /// Whether the machine stalled in a time.
    fn has_stalled(&self, from: Instant, until: Instant) -> bool {
        let within = |stall: &Stall| stall.from < until && stall.until > from;
        self.stalls.iter().any(within)
    }

    /// Attempts noted.
    #[must_use]
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether no attempt was noted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Part of the attempts sent in a time that were served.
    #[must_use]
    pub fn served(&self, from: Instant, until: Instant) -> f64 {
        let sent = || {
            let attempts = self.attempts.values();
            attempts.filter(move |attempt| attempt.sent >= from && attempt.sent < until)
        };
        let served = sent().filter(|attempt| {
            matches!(&attempt.end, Some((_, End::Answered(answer))) if answer.status == 200)
        });
        served.count() as f64 / sent().count().max(1) as f64
    }

    /// Checks everything that was noted.
    #[must_use]
    pub fn check(&self, budget: Budget, drain: Duration) -> Vec<Violation> {
        let mut violations = self.violations.clone();
        for (violation, since, noted) in &self.timed {
            if !self.has_stalled(*since, *noted) {
                violations.push(violation.clone());
            }
        }
        let mut report = |promise, seen| violations.push(Violation { promise, seen });
        for (id, attempt) in &self.attempts {
            self.check_attempt(id, attempt, &mut report);
        }
        let (late, due) = self.held();
        if late.len() >= HELD_ALLOWED.0 && late.len() as f64 > HELD_ALLOWED.1 * due as f64 {
            report(Promise::Held, format!("{} of {due}: {late:?}", late.len()));
        }
        if let Some(seen) = self.excess(budget) {
            report(Promise::Budget, seen);
        }
        for (id, arrivals) in &self.arrivals {
            for after in arrivals
                .iter()
                .filter_map(|arrival| self.drained(arrival, drain))
            {
                report(
                    Promise::Drained,
                    format!("{id} after {} ms", after.as_millis()),
                );
            }
        }
        violations
    }

    /// Checks the runs and the end of one attempt.
    fn check_attempt(&self, id: &str, attempt: &Attempt, report: &mut impl FnMut(Promise, String)) {
        let runs = self.runs(id).count();
        if attempt.once && runs > 1 {
            report(Promise::Once, format!("{id} ran {runs} times"));
        }
        if !attempt.once && runs > attempt.attempts {
            report(Promise::Attempts, format!("{id} ran {runs} times"));
        }
        if let Some((_, End::Answered(answer))) = &attempt.end
            && answer.states_not_run()
            && runs > 0
        {
            let status = answer.status;
            report(Promise::NotRun, format!("{id} ran and got {status}"));
        }
        if let Some(run) = self.runs(id).find(|run| run.service != attempt.service) {
            let (asked, service) = (attempt.service, run.service);
            report(
                Promise::Routed,
                format!("{id} for {asked} ran at {service}"),
            );
        }
        if self.is_lost(id, attempt) {
            report(Promise::Lost, format!("{id} at VM {}", attempt.vm));
        }
    }

    /// Time since an endpoint's leaving was acknowledged, if a call arrived there beyond the bound.
    fn drained(&self, arrival: &Arrival, bound: Duration) -> Option<Duration> {
        let since = *self.leaving.get(&arrival.instance)?;
        let after = arrival.at.checked_duration_since(since)?;
        let faults = [Trouble::Fault];
        let disturbed = || self.is_disturbed(Some(arrival.vm), &faults, since, arrival.at);
        (after > bound && !disturbed()).then_some(after)
    }

    /// Checks that service is back, given times of the same load before and after the faults.
    ///
    /// Nothing is compared if the machine stalled in one of them.
    #[must_use]
    pub fn check_return(
        &self,
        before: (Instant, Instant),
        after: (Instant, Instant),
    ) -> Option<Violation> {
        if self.has_stalled(before.0, before.1) || self.has_stalled(after.0, after.1) {
            return None;
        }
        let (before, after) = (
            self.served(before.0, before.1),
            self.served(after.0, after.1),
        );
        (after < RETURNED * before).then(|| Violation {
            promise: Promise::Returned,
            seen: format!("{after:.3} served after the faults, {before:.3} before them"),
        })
    }

    fn runs(&self, id: &str) -> impl Iterator<Item = &Arrival> {
        let arrivals = self.arrivals.get(id).into_iter().flatten();
        arrivals.filter(|arrival| arrival.ran)
    }

    fn is_disturbed(
        &self,
        vm: Option<VmIndex>,
        troubles: &[Trouble],
        from: Instant,
        until: Instant,
    ) -> bool {
        // A stall harms all VMs like a fault.
        let stalled = || {
            let before = from.checked_sub(CONTACT).unwrap_or(from);
            troubles.contains(&Trouble::Fault) && self.has_stalled(before, until)
        };
        let disturbed = self.spans.iter().any(|span| {
            vm.is_none_or(|vm| vm == span.vm)
                && troubles.contains(&span.trouble)
                && span.from <= until
                && span.until + CONTACT >= from
        });
        disturbed || stalled()
    }

    /// Whether an attempt lost its answer without an excuse.
    fn is_lost(&self, id: &str, attempt: &Attempt) -> bool {
        let Some((at, End::Closed)) = &attempt.end else {
            return false;
        };
        let unread = self.runs(id).next().is_none() && *at <= attempt.sent + UNREAD;
        let excuses = [Trouble::Fault, Trouble::Endpoint];
        !unread && !self.is_disturbed(None, &excuses, attempt.sent, *at)
    }

    /// Attempts whose time-out was answered too late, and the number that reached their time-out.
    fn held(&self) -> (Vec<&str>, usize) {
        let mut late = Vec::new();
        let mut due = 0;
        for (id, attempt) in &self.attempts {
            let limit = attempt.sent + attempt.limit;
            let end = attempt.end.as_ref().map(|(at, _)| *at);
            let troubles = [Trouble::Fault, Trouble::Planned];
            if end.is_some_and(|end| end <= limit)
                || matches!(attempt.end, Some((_, End::Left)))
                || self.is_disturbed(Some(attempt.vm), &troubles, attempt.sent, limit + HELD)
            {
                continue;
            }
            due += 1;
            if end.is_none_or(|end| end > limit + HELD) {
                late.push(id.as_str());
            }
        }
        (late, due)
    }

    /// A window in which a service got more repeats than the budget allows.
    ///
    /// Calls of endpoints are named after the call that made them; those of a repeated run count as
    /// repeats too.
    fn excess(&self, budget: Budget) -> Option<String> {
        let mut repeats: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
        for (id, arrivals) in &self.arrivals {
            let inherited = id
                .rsplit_once('.')
                .is_some_and(|(_, turn)| turn.starts_with('r'));
            for arrival in arrivals.iter().skip(usize::from(!inherited)) {
                repeats.entry(arrival.service).or_default().push(arrival.at);
            }
        }
        for (service, times) in &mut repeats {
            times.sort();
            let mut sent: Vec<Instant> = Vec::new();
            for (id, attempt) in &self.attempts {
                if attempt.service == *service && !id.contains('.') {
                    sent.push(attempt.sent);
                }
            }
            sent.sort();
            let between = |times: &[Instant], from: Instant, until: Instant| {
                times.partition_point(|at| *at <= until) - times.partition_point(|at| *at < from)
            };
            for end in times.iter() {
                let start = |windows: f64| end.checked_sub(budget.window.mul_f64(windows));
                let Some(from) = start(1.0) else { continue };
                let count = between(times, from, *end);
                let asked = [(1.0, 0.0), (2.0, 1.0), (1.5, 0.5)]
                    .into_iter()
                    .filter_map(|(from, until)| Some(between(&sent, start(from)?, start(until)?)))
                    .max()
                    .unwrap_or(0);
                if count as f64 > budget.ratio * asked as f64 + budget.slack {
                    return Some(format!("{count} repeats at {service} for {asked} calls"));
                }
            }
        }
        None
    }
}
