//! What callers and endpoints saw, and the promises that it is checked against.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

use adapter::standin::Returned;

use crate::stall::Stall;

#[cfg(test)]
mod tests;

/// Time without trouble after which bounds in time hold again.
pub const RECOVERY_GRACE: Duration = Duration::from_secs(3);

/// Time past a time-out within which its answer must have come.
const LATE_RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// Calls held past their time-outs that are allowed, as a number and as a part of those that reached
/// their time-out.
const LATE_RESPONSE_THRESHOLD: (usize, f64) = (8, 0.25);

/// Time after its last byte within which an unread request may see its connection closed.
const UNREAD_CLOSE_GRACE: Duration = Duration::from_millis(200);

/// Part of the goodput before the faults that must be back after them.
const MIN_RECOVERED_FRACTION: f64 = 0.95;

/// Number of a VM.
pub type VmIndex = usize;

/// A promise of the product.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guarantee {
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
    pub guarantee: Guarantee,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.guarantee, self.detail)
    }
}

/// How an attempt ended for its client.
#[derive(Clone, Debug)]
pub enum CallEnd {
    /// With an answer.
    Response(Returned),
    /// The connection ended without one.
    Closed,
    /// The client left.
    Cancelled,
}

/// An attempt of a client.
#[derive(Clone, Debug)]
pub struct Call {
    /// VM of the client.
    pub vm: VmIndex,
    /// Service that should run it.
    pub service: &'static str,
    /// Whether it must not run twice.
    pub non_idempotent: bool,
    /// Endpoints to which it may be sent.
    pub max_attempts: usize,
    /// Smaller of the route's time-out and the client's patience.
    pub timeout: Duration,
    /// When its last byte was sent.
    pub sent_at: Instant,
    /// When and how it ended.
    pub end: Option<(Instant, CallEnd)>,
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
pub enum DisturbanceKind {
    /// Work of the operators, during which no call may be lost.
    Planned,
    /// A fault of this VM, its links or the store.
    Fault,
    /// A fault of the endpoint of this VM: calls that it has may be lost, and nothing else.
    Endpoint,
}

/// A disturbance of one VM.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// VM.
    pub vm: VmIndex,
    /// Kind.
    pub kind: DisturbanceKind,
    /// Its begin.
    pub from: Instant,
    /// Its end.
    pub until: Instant,
}

/// Bound of repeats.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Repeats for each call of a client.
    pub ratio: f64,
    /// Repeats besides.
    pub slack: f64,
    /// Window.
    pub window: Duration,
}

/// What was seen.
#[derive(Debug, Default)]
pub struct Oracle {
    calls: BTreeMap<String, Call>,
    arrivals: BTreeMap<String, Vec<Arrival>>,
    disturbances: Vec<Disturbance>,
    stalls: Vec<Stall>,
    leaving: HashMap<String, Instant>,
    violations: Vec<Violation>,
    /// Violations of bounds in time, with the begin and the end of what took too long.
    timing_violations: Vec<(Violation, Instant, Instant)>,
}

impl Oracle {
    /// Notes an attempt.
    pub fn record_call(&mut self, id: &str, call: Call) {
        self.calls.insert(id.to_owned(), call);
    }

    /// Notes its end.
    pub fn record_end(&mut self, id: &str, at: Instant, end: CallEnd) {
        if let Some(call) = self.calls.get_mut(id) {
            call.end.get_or_insert((at, end));
        }
    }

    /// Notes an arrival; returns whether the same call arrived before.
    pub fn record_arrival(&mut self, id: &str, arrival: Arrival) -> bool {
        let arrivals = self.arrivals.entry(id.to_owned()).or_default();
        arrivals.push(arrival);
        arrivals.len() > 1
    }

    /// Notes a disturbance.
    pub fn record_disturbance(&mut self, disturbance: Disturbance) {
        self.disturbances.push(disturbance);
    }

    /// Notes that a daemon acknowledged that an instance leaves.
    pub fn record_leaving(&mut self, instance: &str, at: Instant) {
        self.leaving.entry(instance.to_owned()).or_insert(at);
    }

    /// Notes a promise that was seen to be broken.
    pub fn record_violation(&mut self, guarantee: Guarantee, detail: String) {
        self.violations.push(Violation { guarantee, detail });
    }

    /// Notes that something which began at a time took too long.
    pub fn record_late(&mut self, guarantee: Guarantee, detail: String, since: Instant) {
        let violation = Violation { guarantee, detail };
        self.timing_violations
            .push((violation, since, Instant::now()));
    }

    /// Notes the times in which the machine did not run a process that was ready.
    pub fn record_stalls(&mut self, stalls: Vec<Stall>) {
        self.stalls = stalls;
    }

    /// Whether the machine stalled in a time.
    fn has_stalled(&self, from: Instant, until: Instant) -> bool {
        let overlaps = |stall: &Stall| stall.from < until && stall.until > from;
        self.stalls.iter().any(overlaps)
    }

    /// Attempts noted.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no attempt was noted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Part of the attempts sent in a time that were served.
    #[must_use]
    pub fn served_fraction(&self, from: Instant, until: Instant) -> f64 {
        let sent = || {
            let calls = self.calls.values();
            calls.filter(move |call| call.sent_at >= from && call.sent_at < until)
        };
        let served = sent().filter(|call| {
            matches!(&call.end, Some((_, CallEnd::Response(response))) if response.status == 200)
        });
        served.count() as f64 / sent().count().max(1) as f64
    }

    /// Checks everything that was noted.
    #[must_use]
    pub fn check(&self, budget: RetryBudget, drain: Duration) -> Vec<Violation> {
        let mut violations = self.violations.clone();
        for (violation, since, recorded) in &self.timing_violations {
            if !self.has_stalled(*since, *recorded) {
                violations.push(violation.clone());
            }
        }
        let mut report = |guarantee, detail| violations.push(Violation { guarantee, detail });
        for (id, call) in &self.calls {
            self.check_call(id, call, &mut report);
        }
        let (late, timed_out) = self.late_responses();
        if late.len() >= LATE_RESPONSE_THRESHOLD.0
            && late.len() as f64 > LATE_RESPONSE_THRESHOLD.1 * timed_out as f64
        {
            report(
                Guarantee::Held,
                format!("{} of {timed_out}: {late:?}", late.len()),
            );
        }
        if let Some(detail) = self.excess_retries(budget) {
            report(Guarantee::Budget, detail);
        }
        for (id, arrivals) in &self.arrivals {
            for after in arrivals
                .iter()
                .filter_map(|arrival| self.time_past_drain(arrival, drain))
            {
                report(
                    Guarantee::Drained,
                    format!("{id} after {} ms", after.as_millis()),
                );
            }
        }
        violations
    }

    /// Checks the runs and the end of one attempt.
    fn check_call(&self, id: &str, call: &Call, report: &mut impl FnMut(Guarantee, String)) {
        let runs = self.runs(id).count();
        if call.non_idempotent && runs > 1 {
            report(Guarantee::Once, format!("{id} ran {runs} times"));
        }
        if !call.non_idempotent && runs > call.max_attempts {
            report(Guarantee::Attempts, format!("{id} ran {runs} times"));
        }
        if let Some((_, CallEnd::Response(response))) = &call.end
            && response.is_promise()
            && runs > 0
        {
            let status = response.status;
            report(Guarantee::NotRun, format!("{id} ran and got {status}"));
        }
        if let Some(run) = self.runs(id).find(|run| run.service != call.service) {
            let (expected, service) = (call.service, run.service);
            report(
                Guarantee::Routed,
                format!("{id} for {expected} ran at {service}"),
            );
        }
        if self.is_lost(id, call) {
            report(Guarantee::Lost, format!("{id} at VM {}", call.vm));
        }
    }

    /// Time since an endpoint's leaving was acknowledged, if a call arrived there beyond the bound.
    fn time_past_drain(&self, arrival: &Arrival, bound: Duration) -> Option<Duration> {
        let since = *self.leaving.get(&arrival.instance)?;
        let after = arrival.at.checked_duration_since(since)?;
        let faults = [DisturbanceKind::Fault];
        let disturbed = || self.is_disturbed(Some(arrival.vm), &faults, since, arrival.at);
        (after > bound && !disturbed()).then_some(after)
    }

    /// Checks that service is back, given times of the same load before and after the faults.
    ///
    /// Nothing is compared if the machine stalled in one of them.
    #[must_use]
    pub fn check_recovery(
        &self,
        before: (Instant, Instant),
        after: (Instant, Instant),
    ) -> Option<Violation> {
        if self.has_stalled(before.0, before.1) || self.has_stalled(after.0, after.1) {
            return None;
        }
        let (before, after) = (
            self.served_fraction(before.0, before.1),
            self.served_fraction(after.0, after.1),
        );
        (after < MIN_RECOVERED_FRACTION * before).then(|| Violation {
            guarantee: Guarantee::Returned,
            detail: format!("{after:.3} served after the faults, {before:.3} before them"),
        })
    }

    fn runs(&self, id: &str) -> impl Iterator<Item = &Arrival> {
        let arrivals = self.arrivals.get(id).into_iter().flatten();
        arrivals.filter(|arrival| arrival.ran)
    }

    fn is_disturbed(
        &self,
        vm: Option<VmIndex>,
        kinds: &[DisturbanceKind],
        from: Instant,
        until: Instant,
    ) -> bool {
        // A stall harms all VMs like a fault.
        let stalled = || {
            let before = from.checked_sub(RECOVERY_GRACE).unwrap_or(from);
            kinds.contains(&DisturbanceKind::Fault) && self.has_stalled(before, until)
        };
        let disturbed = self.disturbances.iter().any(|disturbance| {
            vm.is_none_or(|vm| vm == disturbance.vm)
                && kinds.contains(&disturbance.kind)
                && disturbance.from <= until
                && disturbance.until + RECOVERY_GRACE >= from
        });
        disturbed || stalled()
    }

    /// Whether an attempt lost its answer without an excuse.
    fn is_lost(&self, id: &str, call: &Call) -> bool {
        let Some((at, CallEnd::Closed)) = &call.end else {
            return false;
        };
        let unread = self.runs(id).next().is_none() && *at <= call.sent_at + UNREAD_CLOSE_GRACE;
        let excuses = [DisturbanceKind::Fault, DisturbanceKind::Endpoint];
        !unread && !self.is_disturbed(None, &excuses, call.sent_at, *at)
    }

    /// Attempts whose time-out was answered too late, and the number that reached their time-out.
    fn late_responses(&self) -> (Vec<&str>, usize) {
        let mut late = Vec::new();
        let mut timed_out = 0;
        for (id, call) in &self.calls {
            let limit = call.sent_at + call.timeout;
            let end = call.end.as_ref().map(|(at, _)| *at);
            let kinds = [DisturbanceKind::Fault, DisturbanceKind::Planned];
            if end.is_some_and(|end| end <= limit)
                || matches!(call.end, Some((_, CallEnd::Cancelled)))
                || self.is_disturbed(
                    Some(call.vm),
                    &kinds,
                    call.sent_at,
                    limit + LATE_RESPONSE_GRACE,
                )
            {
                continue;
            }
            timed_out += 1;
            if end.is_none_or(|end| end > limit + LATE_RESPONSE_GRACE) {
                late.push(id.as_str());
            }
        }
        (late, timed_out)
    }

    /// A window in which a service got more repeats than the budget allows.
    ///
    /// Calls of endpoints are named after the call that made them; those of a repeated run count as
    /// repeats too.
    fn excess_retries(&self, budget: RetryBudget) -> Option<String> {
        let mut retries: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
        for (id, arrivals) in &self.arrivals {
            let parent_retried = id
                .rsplit_once('.')
                .is_some_and(|(_, suffix)| suffix.starts_with('r'));
            for arrival in arrivals.iter().skip(usize::from(!parent_retried)) {
                retries.entry(arrival.service).or_default().push(arrival.at);
            }
        }
        for (service, times) in &mut retries {
            times.sort();
            let mut sent: Vec<Instant> = Vec::new();
            for (id, call) in &self.calls {
                if call.service == *service && !id.contains('.') {
                    sent.push(call.sent_at);
                }
            }
            sent.sort();
            let count_between = |times: &[Instant], from: Instant, until: Instant| {
                times.partition_point(|at| *at <= until) - times.partition_point(|at| *at < from)
            };
            for end in times.iter() {
                let start = |windows: f64| end.checked_sub(budget.window.mul_f64(windows));
                let Some(from) = start(1.0) else { continue };
                let count = count_between(times, from, *end);
                let call_count = [(1.0, 0.0), (2.0, 1.0), (1.5, 0.5)]
                    .into_iter()
                    .filter_map(|(from, until)| {
                        Some(count_between(&sent, start(from)?, start(until)?))
                    })
                    .max()
                    .unwrap_or(0);
                if count as f64 > budget.ratio * call_count as f64 + budget.slack {
                    return Some(format!(
                        "{count} retries at {service} for {call_count} calls"
                    ));
                }
            }
        }
        None
    }
}
