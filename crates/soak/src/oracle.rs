//! Oracle: records what clients and endpoints observe, and checks it against the guarantees.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

use adapter::standin::ReceivedResponse;
use policy::organisation::{Organisation, Quota};

use crate::stall::Stall;

#[cfg(test)]
mod tests;

/// Time after the end of a disturbance for which it still excuses violations.
pub const RECOVERY_GRACE: Duration = Duration::from_secs(3);

/// Longest delay of a response after the timeout of its call.
const LATE_RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// Late responses that count as a violation: at least this number, and more than this fraction of
/// the calls that reached their timeouts.
const LATE_RESPONSE_THRESHOLD: (usize, f64) = (8, 0.25);

/// Time after a request is sent within which its connection may close with the request unread; this
/// does not count as a lost response.
const UNREAD_CLOSE_GRACE: Duration = Duration::from_millis(200);

/// Fraction of the goodput before the faults that must be reached again after them.
const MIN_RECOVERED_FRACTION: f64 = 0.95;

/// Time after the first statement of a rate limit from which it binds.
const RATE_LIMIT_GRACE: Duration = Duration::from_secs(3);

/// Window over which the calls to an endpoint with a rate limit are counted.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// Factor of the limit that is allowed in a window, and the calls beyond.
const RATE_FACTOR: f64 = 1.5;
const RATE_SLACK: f64 = 5.0;

/// Window over which the runs of an organisation with a quota are counted.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);

/// Factor of the quota that is allowed in a window, and the runs beyond.
const QUOTA_FACTOR: f64 = 1.1;
const QUOTA_SLACK: f64 = 20.0;

/// Index of a VM in its run.
pub type VmIndex = usize;

/// Guarantee of the product.
///
/// The names of the variants are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guarantee {
    /// A non-idempotent call runs at most once.
    Once,
    /// An idempotent call runs no more often than its route allows attempts.
    Attempts,
    /// A call whose response says that it has not run has not run.
    NotRun,
    /// A response is complete, signed and belongs to its request.
    Whole,
    /// A call runs at the service of its route and carries the service of its caller.
    Routed,
    /// A call that times out gets its response soon after the timeout.
    Held,
    /// Without a fault no call loses its response.
    Lost,
    /// Retries stay within the budget that the operators have set.
    Budget,
    /// A leaving endpoint gets no calls after the drain limit.
    Drained,
    /// An endpoint that states a rate limit gets little more than that.
    Limited,
    /// A daemon exits within its grace time after SIGTERM, never by itself, and stays within its
    /// memory limit.
    Ended,
    /// The newest configuration is in force at the end, and no daemon goes back to an older one.
    Configured,
    /// A call that runs carries the name of the organisation that holds its key.
    Attributed,
    /// A key never reaches an endpoint.
    Confidential,
    /// A call without a key that some version held does not run.
    Authorised,
    /// The runs of an organisation stay within its quota.
    Quota,
    /// Service recovers after the faults.
    Returned,
}

/// Violation of a guarantee.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Guarantee that was violated.
    pub guarantee: Guarantee,
    /// What was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.guarantee, self.detail)
    }
}

/// How a call ended for its client.
#[derive(Clone, Debug)]
pub enum CallEnd {
    /// The client got a response.
    Response(ReceivedResponse),
    /// The connection closed without a response.
    Closed,
    /// The client stopped waiting.
    Cancelled,
}

/// A call as its client sees it.
#[derive(Clone, Debug)]
pub struct Call {
    /// VM of the client.
    pub vm: VmIndex,
    /// Service that must run it.
    pub service: &'static str,
    /// Whether it must run at most once.
    pub non_idempotent: bool,
    /// Most attempts that the route allows.
    pub max_attempts: usize,
    /// Smaller of the route timeout and the client timeout.
    pub timeout: Duration,
    /// Key of an organisation that the client sent.
    pub key: Option<String>,
    /// Whether its route needs a key when there are organisations.
    pub needs_key: bool,
    /// Whether it counts in the goodput.
    pub is_measured: bool,
    /// Time just before the request was written to its connection.
    pub sent_at: Instant,
    /// When and how it ended.
    pub end: Option<(Instant, CallEnd)>,
}

/// Arrival of a call at an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of the arrival.
    pub at: Instant,
    /// VM of the endpoint.
    pub vm: VmIndex,
    /// Service of the endpoint.
    pub service: &'static str,
    /// Instance of the endpoint.
    pub instance: String,
    /// Organisation that the endpoint was told.
    pub organisation: Option<String>,
    /// Whether the request contained a key or the field for one.
    pub has_key: bool,
    /// Whether the endpoint started to run it.
    pub ran: bool,
}

/// Kind of a disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisturbanceKind {
    /// Planned work of the operators, during which no call may be lost.
    Planned,
    /// Fault of this VM, its links or the store.
    Fault,
    /// Fault of the endpoint of this VM; it excuses only the loss of calls.
    Endpoint,
}

/// Period in which one VM is disturbed.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// Disturbed VM.
    pub vm: VmIndex,
    /// Kind, which decides what the disturbance excuses.
    pub kind: DisturbanceKind,
    /// Start.
    pub from: Instant,
    /// End.
    pub until: Instant,
}

/// Retry budget of a service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries per client call.
    pub ratio: f64,
    /// Retries allowed in addition, independent of the number of calls.
    pub slack: f64,
    /// Window over which calls and retries are counted.
    pub window: Duration,
}

/// Rate limit that an endpoint stated for some time.
#[derive(Clone, Debug)]
pub struct RateLimit {
    /// Instance of the endpoint.
    pub instance: String,
    /// Calls per second.
    pub limit: f64,
    /// Start.
    pub from: Instant,
    /// End.
    pub until: Instant,
}

/// Record of a run, and the checks on it.
#[derive(Debug, Default)]
pub struct Oracle {
    calls: BTreeMap<String, Call>,
    arrivals: BTreeMap<String, Vec<Arrival>>,
    disturbances: Vec<Disturbance>,
    stalls: Vec<Stall>,
    /// When the daemon acknowledged that an instance leaves.
    leaving: HashMap<String, Instant>,
    rate_limits: Vec<RateLimit>,
    /// Organisations by key, over all versions.
    keys: HashMap<String, Organisation>,
    violations: Vec<Violation>,
    /// Violations of time bounds, with the start and the end of the period that was too long.
    timing_violations: Vec<(Violation, Instant, Instant)>,
}

impl Oracle {
    /// Records a call that a client sent.
    pub fn record_call(&mut self, id: &str, call: Call) {
        self.calls.insert(id.to_owned(), call);
    }

    /// Records the end of a call; only the first one counts.
    pub fn record_end(&mut self, id: &str, at: Instant, end: CallEnd) {
        if let Some(call) = self.calls.get_mut(id) {
            call.end.get_or_insert((at, end));
        }
    }

    /// Records an arrival; returns whether the same call had arrived before.
    pub fn record_arrival(&mut self, id: &str, arrival: Arrival) -> bool {
        let arrivals = self.arrivals.entry(id.to_owned()).or_default();
        arrivals.push(arrival);
        arrivals.len() > 1
    }

    /// Records a disturbance.
    pub fn record_disturbance(&mut self, disturbance: Disturbance) {
        self.disturbances.push(disturbance);
    }

    /// Records that a daemon acknowledged that an instance leaves.
    pub fn record_leaving(&mut self, instance: &str, at: Instant) {
        self.leaving.entry(instance.to_owned()).or_insert(at);
    }

    /// Records that an endpoint stated a rate limit.
    pub fn record_rate_limit(&mut self, limit: RateLimit) {
        self.rate_limits.push(limit);
    }

    /// Records the organisations of a version with their keys.
    pub fn record_keys(&mut self, organisations: &[(Organisation, Vec<String>)]) {
        for (organisation, keys) in organisations {
            for key in keys {
                self.keys.insert(key.clone(), organisation.clone());
            }
        }
    }

    /// Records a violation.
    pub fn record_violation(&mut self, guarantee: Guarantee, detail: String) {
        self.violations.push(Violation { guarantee, detail });
    }

    /// Records that something has exceeded a time bound until now; ignored if the machine stalled
    /// meanwhile.
    pub fn record_timing_violation(
        &mut self,
        guarantee: Guarantee,
        detail: String,
        since: Instant,
    ) {
        let violation = Violation { guarantee, detail };
        self.timing_violations
            .push((violation, since, Instant::now()));
    }

    /// Records the stalls of the machine.
    pub fn record_stalls(&mut self, stalls: Vec<Stall>) {
        self.stalls = stalls;
    }

    /// Whether the machine stalled in a period.
    fn has_stalled(&self, from: Instant, until: Instant) -> bool {
        let overlaps = |stall: &Stall| stall.from < until && stall.until > from;
        self.stalls.iter().any(overlaps)
    }

    /// Returns the number of recorded calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call was recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the fraction of the counted calls sent in a period that got a response with status 200.
    #[must_use]
    pub fn served_fraction(&self, from: Instant, until: Instant) -> f64 {
        let sent = || {
            let calls = self.calls.values();
            calls.filter(move |call| {
                call.is_measured && call.sent_at >= from && call.sent_at < until
            })
        };
        let served = sent().filter(|call| {
            matches!(&call.end, Some((_, CallEnd::Response(response))) if response.status == 200)
        });
        served.count() as f64 / sent().count().max(1) as f64
    }

    /// Checks everything that was recorded; returns the violations.
    #[must_use]
    pub fn check(&self, budget: RetryBudget, drain_limit: Duration) -> Vec<Violation> {
        let mut violations = self.violations.clone();
        for (violation, since, recorded) in &self.timing_violations {
            if !self.has_stalled(*since, *recorded) {
                violations.push(violation.clone());
            }
        }
        let mut report = |guarantee, detail| violations.push(Violation { guarantee, detail });
        for (id, call) in &self.calls {
            self.check_call(id, call, &mut report);
            self.check_sender(id, call, &mut report);
        }
        if let Some(detail) = self.excess_runs() {
            report(Guarantee::Quota, detail);
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
                .filter_map(|arrival| self.time_past_drain(arrival, drain_limit))
            {
                report(
                    Guarantee::Drained,
                    format!("{id} after {} ms", after.as_millis()),
                );
            }
        }
        for limit in &self.rate_limits {
            if let Some(detail) = self.excess_rate(limit) {
                report(Guarantee::Limited, detail);
            }
        }
        violations
    }

    /// Returns the organisation of a call: for a nested call that of its root.
    fn organisation_of(&self, id: &str) -> Option<&Organisation> {
        let root = self.calls.get(id.split('.').next()?)?;
        self.keys.get(root.key.as_ref()?)
    }

    /// Checks what endpoints got to know about the sender of a call.
    fn check_sender(&self, id: &str, call: &Call, report: &mut impl FnMut(Guarantee, String)) {
        let sender = self.organisation_of(id).map(|sender| &*sender.name);
        let refused = call.needs_key && !self.keys.is_empty() && sender.is_none();
        for arrival in self.arrivals.get(id).into_iter().flatten() {
            let told = arrival.organisation.as_deref();
            let wrong = told != sender && (told.is_some() || !self.is_orphan(id, arrival));
            for (violated, guarantee) in [
                (arrival.has_key, Guarantee::Confidential),
                (arrival.ran && wrong, Guarantee::Attributed),
                (arrival.ran && refused, Guarantee::Authorised),
            ] {
                if violated {
                    let vm = arrival.vm;
                    report(
                        guarantee,
                        format!("{id} of {sender:?} at VM {vm} as {told:?}"),
                    );
                }
            }
        }
    }

    /// Whether the daemon may have given up the parent of a nested call before, because its client
    /// no longer waited or a fault ended it.
    fn is_orphan(&self, id: &str, nested: &Arrival) -> bool {
        let root = id
            .split_once('.')
            .and_then(|(root, _)| self.calls.get(root));
        root.is_some_and(|root| {
            let excuses = [DisturbanceKind::Fault, DisturbanceKind::Endpoint];
            root.end.as_ref().is_some_and(|(at, _)| *at <= nested.at)
                || self.is_disturbed(None, &excuses, root.sent_at, nested.at)
        })
    }

    /// Describes a window in which too many calls of an organisation were sent and run. Nested calls
    /// do not count.
    fn excess_runs(&self) -> Option<String> {
        let mut runs: BTreeMap<&str, (Quota, Vec<[Instant; 2]>)> = BTreeMap::new();
        for (id, call) in self.calls.iter().filter(|(id, _)| !id.contains('.')) {
            if let Some(sender) = self.organisation_of(id)
                && let Some(quota) = sender.quota
            {
                let (_, runs) = runs.entry(&sender.name).or_insert((quota, Vec::new()));
                runs.extend(self.runs(id).map(|run| [call.sent_at, run.at]));
            }
        }
        for (name, (quota, runs)) in &mut runs {
            runs.sort();
            let usual = quota.rate * QUOTA_WINDOW.as_secs_f64() + quota.burst;
            let allowed = usual * QUOTA_FACTOR + QUOTA_SLACK;
            for (index, [start, _]) in runs.iter().enumerate() {
                let end = *start + QUOTA_WINDOW;
                let count = runs[index..].iter().filter(|[_, at]| *at <= end).count();
                if count as f64 > allowed {
                    return Some(format!("{count} runs of {name}, {allowed} allowed"));
                }
            }
        }
        None
    }

    /// Describes a window in which an endpoint got too many calls for the limit that it stated.
    fn excess_rate(&self, limit: &RateLimit) -> Option<String> {
        let from = limit.from + RATE_LIMIT_GRACE;
        let arrivals = self.arrivals.values().flatten();
        let mut times: Vec<Instant> = arrivals
            .filter(|arrival| arrival.instance == limit.instance)
            .map(|arrival| arrival.at)
            .filter(|at| (from..limit.until).contains(at))
            .collect();
        times.sort();
        let allowed = limit.limit * RATE_WINDOW.as_secs_f64() * RATE_FACTOR + RATE_SLACK;
        for (index, start) in times.iter().enumerate() {
            let end = times.partition_point(|at| *at < *start + RATE_WINDOW);
            let count = end - index;
            if count as f64 > allowed && !self.has_stalled(*start, *start + RATE_WINDOW) {
                let instance = &limit.instance;
                return Some(format!("{count} calls to {instance}, {allowed} allowed"));
            }
        }
        None
    }

    /// Checks the runs and the end of one call.
    fn check_call(&self, id: &str, call: &Call, report: &mut impl FnMut(Guarantee, String)) {
        let runs = self.runs(id).count();
        if call.non_idempotent && runs > 1 {
            report(Guarantee::Once, format!("{id} ran {runs} times"));
        }
        if !call.non_idempotent && runs > call.max_attempts {
            report(Guarantee::Attempts, format!("{id} ran {runs} times"));
        }
        if let Some((_, CallEnd::Response(response))) = &call.end
            && response.states_not_run()
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

    /// Returns the time from the acknowledged leaving of an endpoint to the arrival of a call if it
    /// exceeds the drain limit and no fault of the VM excuses it.
    fn time_past_drain(&self, arrival: &Arrival, drain_limit: Duration) -> Option<Duration> {
        let since = *self.leaving.get(&arrival.instance)?;
        let after = arrival.at.checked_duration_since(since)?;
        let faults = [DisturbanceKind::Fault];
        let disturbed = || self.is_disturbed(Some(arrival.vm), &faults, since, arrival.at);
        (after > drain_limit && !disturbed()).then_some(after)
    }

    /// Checks that service has recovered, given periods of equal load before and after the faults.
    ///
    /// Skipped if the machine stalled in one of the periods.
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

    /// Whether a disturbance of the given kinds, or the grace after it, overlaps a period; `None`
    /// stands for any VM.
    fn is_disturbed(
        &self,
        vm: Option<VmIndex>,
        kinds: &[DisturbanceKind],
        from: Instant,
        until: Instant,
    ) -> bool {
        // A stall affects all VMs like a fault.
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

    /// Whether a call lost its response without a fault that excuses it.
    fn is_lost(&self, id: &str, call: &Call) -> bool {
        let Some((at, CallEnd::Closed)) = &call.end else {
            return false;
        };
        let unread = self.runs(id).next().is_none() && *at <= call.sent_at + UNREAD_CLOSE_GRACE;
        let excuses = [DisturbanceKind::Fault, DisturbanceKind::Endpoint];
        !unread && !self.is_disturbed(None, &excuses, call.sent_at, *at)
    }

    /// Returns the calls whose responses came too late or never, and the number of calls that
    /// reached their timeouts.
    fn late_responses(&self) -> (Vec<&str>, usize) {
        let mut late = Vec::new();
        let mut timed_out = 0;
        for (id, call) in &self.calls {
            let deadline = call.sent_at + call.timeout;
            let end = call.end.as_ref().map(|(at, _)| *at);
            let kinds = [DisturbanceKind::Fault, DisturbanceKind::Planned];
            if end.is_some_and(|end| end <= deadline)
                || matches!(call.end, Some((_, CallEnd::Cancelled)))
                || self.is_disturbed(
                    Some(call.vm),
                    &kinds,
                    call.sent_at,
                    deadline + LATE_RESPONSE_GRACE,
                )
            {
                continue;
            }
            timed_out += 1;
            if end.is_none_or(|end| end > deadline + LATE_RESPONSE_GRACE) {
                late.push(id.as_str());
            }
        }
        (late, timed_out)
    }

    /// Describes a window in which a service got more retries than the budget allows.
    ///
    /// The id of a nested call is the id of its parent call, a dot and a number. Nested calls of a
    /// retried execution, which have an `r` before the number, count as retries too. The retries of
    /// a window are compared with the calls of the same window, the one before or the one half a
    /// window earlier, whichever has most.
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
