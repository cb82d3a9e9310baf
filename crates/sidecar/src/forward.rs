//! Entry side of a call: picks its route and endpoint, sends it to a gate, retries it if that is
//! allowed, and returns the response to the caller.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use adapter::request::Request;
use bytes::Bytes;
use log::info;
use policy::attempt::{AttemptFailure, Attempts, RetryDecision};
use policy::fleet::VmEntry;
use policy::id::{DataCentreName, OrganisationName, ServiceName, VmId};
use policy::organisation::{Organisation, call_rank, organisation_rank};
use policy::routing::{RetrySafety, Route};
use policy::selection::{self, Candidate, Estimate};
use policy::throttle::{NewChain, ThrottleDecision, Usage};
use rand::Rng;
use tokio::sync::oneshot;

use crate::daemon::Daemon;
use crate::frame::{
    CallHead, CallHistory, CallKind, Load, NotRun, PACE_SCALE, SHARE_SCALE, Unknown,
};
use crate::gate::{Deadline, Job, JobId, NestedCall, Outcome, OutcomeSender};
use crate::peer::SentCall;
use crate::quota::{self, Token};

#[cfg(test)]
mod tests;

/// Largest number of gates to which one call is sent. A call that a gate refuses costs one round
/// trip and no work.
const MAX_GATES: u32 = 3;

/// Time after the deadline for which an outcome on its way from the gate is still awaited.
const OUTCOME_GRACE: Duration = Duration::from_millis(80);

/// Divisor of the remote penalty of nested calls: the time by which a remote endpoint must be
/// faster to be picked.
const NESTED_PENALTY_DIVISOR: u32 = 2;

/// Retry delay for a caller without a route. Up to as much again is added at random.
const BASE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Why a caller does not get a response of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The daemon has no configuration yet.
    Unconfigured,
    /// No route matches the request.
    NoRoute,
    /// The route needs a key and the request carries none that is valid.
    Unauthorised,
    /// A service that the chain would call has too little headroom.
    Throttled,
    /// The organisation is over its quota.
    OverQuota,
    /// The daemon may exit before the deadline of the call.
    Closing,
    /// No endpoint of the service is known.
    NoEndpoint,
    /// No gate ran the call, and none will.
    NotRun(NotRun),
    /// The call may have run.
    Unknown(Unknown),
}

impl Refusal {
    /// Returns the HTTP status. 429 and 503 promise that the call has not run and will not.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::Unauthorised => 401,
            Self::OverQuota => 429,
            Self::Unconfigured
            | Self::Throttled
            | Self::Closing
            | Self::NoEndpoint
            | Self::NotRun(_) => 503,
            Self::Unknown(Unknown::TimedOut) => 504,
            Self::Unknown(Unknown::Disconnected | Unknown::Damaged) => 502,
        }
    }
}

/// Response to a caller.
#[derive(Debug)]
pub enum Response {
    /// Response of the endpoint.
    Endpoint {
        /// Status.
        status: u16,
        /// Lines of the endpoint's header fields.
        fields: Vec<u8>,
        /// Signature of the endpoint.
        signature: Vec<u8>,
        /// Body.
        body: Bytes,
    },
    /// Refusal by this daemon.
    Refused {
        /// Why.
        refusal: Refusal,
        /// Time after which the caller may retry.
        retry_after: Option<Duration>,
    },
}

/// A call sent to a gate. Dropping it cancels the call if it has no outcome yet.
enum Sent {
    Local {
        daemon: Rc<Daemon>,
        job: Option<JobId>,
        receiver: oneshot::Receiver<(Outcome, Load)>,
        finished: bool,
    },
    Peer(SentCall),
}

impl Drop for Sent {
    fn drop(&mut self) {
        let Self::Local {
            daemon,
            job,
            finished,
            ..
        } = self
        else {
            return;
        };
        daemon.peers.get(&daemon.vm).stats.borrow_mut().call_ended();
        if let (Some(job), false) = (job, *finished) {
            daemon.gate.cancel(daemon, *job);
        }
    }
}

impl Sent {
    fn receiver(&mut self) -> &mut oneshot::Receiver<(Outcome, Load)> {
        match self {
            Self::Local { receiver, .. } => receiver,
            Self::Peer(sent) => &mut sent.receiver,
        }
    }

    /// Withdraws the call unless it has been started.
    fn withdraw(&self) {
        match self {
            Self::Local { daemon, job, .. } => {
                if let Some(job) = job {
                    daemon.gate.withdraw(daemon, *job);
                }
            }
            Self::Peer(sent) => sent.withdraw(),
        }
    }

    /// Awaits the outcome until the deadline. A call that may outlast this process is withdrawn
    /// while there is time to refuse it, or is given up if it is still running at the end.
    async fn outcome(
        &mut self,
        daemon: &Daemon,
        deadline: Instant,
        hold_time: Duration,
    ) -> (Outcome, Load) {
        let withdrawal = daemon.withdrawal(deadline, hold_time);
        let closed = daemon.closed();
        let timeout = tokio::time::sleep_until((deadline + OUTCOME_GRACE).into());
        tokio::pin!(withdrawal, closed, timeout);
        let mut is_withdrawn = false;
        let result = loop {
            tokio::select! {
                biased;
                result = self.receiver() => break result.map_err(|_| Unknown::Disconnected),
                () = &mut withdrawal, if !is_withdrawn => {
                    is_withdrawn = true;
                    self.withdraw();
                }
                () = &mut closed => break Err(Unknown::Disconnected),
                () = &mut timeout => break Err(Unknown::TimedOut),
            }
        };
        if let Self::Local { finished, .. } = self {
            *finished = result.is_ok();
        }
        result.unwrap_or_else(|reason| (Outcome::Unknown(reason), Load::default()))
    }
}

/// What the configuration in force says about a request.
struct Routing {
    route: Arc<Route>,
    rank: u32,
    /// Organisation whose key the request carries.
    organisation: Option<Arc<Organisation>>,
}

impl Routing {
    /// Looks up the route and the sender of a request, and completes the header fields that are
    /// forwarded. Fails with the refusal, and the route if one matches.
    fn of(daemon: &Daemon, request: &mut Request) -> Result<Self, (Option<Arc<Route>>, Refusal)> {
        let configuration = daemon
            .configuration()
            .ok_or((None, Refusal::Unconfigured))?;
        let route = configuration
            .route(&request.host, request.path())
            .cloned()
            .ok_or((None, Refusal::NoRoute))?;
        let Ok(organisation) = configuration.identify(&route, request.credential) else {
            return Err((Some(route), Refusal::Unauthorised));
        };
        if !configuration.needs_keys() {
            request.credential_fields.append_to(&mut request.fields);
        }
        Ok(Self {
            rank: call_rank(organisation.and_then(|sender| sender.rank), route.rank),
            organisation: organisation.cloned(),
            route,
        })
    }
}

/// Serves a request that a client, or the local endpoint, sent to this daemon.
pub async fn serve(daemon: &Rc<Daemon>, mut request: Request) -> Response {
    let arrived = daemon.clock.now();
    let routing = match Routing::of(daemon, &mut request) {
        Ok(routing) => routing,
        Err((route, refusal)) => {
            return refuse(daemon, arrived, &request, route.as_ref(), refusal);
        }
    };
    let Routing {
        route,
        rank,
        organisation,
    } = routing;
    let timeout = client_timeout(&request, &route).min(route.timeout);
    let deadline = Deadline {
        at: arrived + timeout,
        boot: daemon.clock.boot() + timeout,
    };
    if daemon.ends_before(deadline.at) {
        return refuse(daemon, arrived, &request, Some(&route), Refusal::Closing);
    }
    let service = daemon.splitter.borrow_mut().next(&route);
    let Some(service) = service else {
        return refuse(daemon, arrived, &request, Some(&route), Refusal::NoEndpoint);
    };
    let parent = daemon.gate.parent(&request.id);
    let chain = NewChain {
        route: &route,
        service: &service,
        client_timeout: client_timeout(&request, &route),
        organisation: organisation.as_ref().map(|sender| &sender.name),
    };
    let admission = match &parent {
        Some(parent) => Some((parent.share, false)),
        None => admit(daemon, &chain),
    };
    let Some((share, returned)) = admission else {
        return refuse(daemon, arrived, &request, Some(&route), Refusal::Throttled);
    };
    let token = match take_token(daemon, organisation.as_ref(), parent.is_some()).await {
        Ok(token) => token,
        Err(retry) => return refuse_over_quota(daemon, arrived, &request, &route, retry),
    };
    let nested = parent
        .as_ref()
        .map(|parent| daemon.gate.count_nested(daemon, parent));
    if nested.is_some_and(|nested| nested.is_late) {
        return refuse_late(daemon, arrived, &request, &route);
    }
    let call = Call {
        daemon,
        request: &request,
        route: &route,
        rank: parent.as_ref().map_or(rank, |parent| {
            call_rank(Some(organisation_rank(parent.rank)), route.rank)
        }),
        organisation: match &parent {
            Some(parent) => parent.organisation.clone(),
            None => organisation.map(|sender| OrganisationName::clone(&sender.name)),
        },
        service,
        deadline,
        arrived,
        share,
        returned: nested.map_or(returned, |nested| nested.returned),
        nested,
    };
    match call.run_with(token).await {
        Ok(EndpointResponse {
            status,
            fields,
            signature,
            body,
            usage,
        }) => {
            let time = daemon.clock.now().saturating_duration_since(arrived);
            match &parent {
                Some(parent) => parent.add(&call.service, &usage),
                None if (200..300).contains(&status) => {
                    let mut throttle = daemon.throttle.borrow_mut();
                    throttle.record_run(&route.name, &usage, time);
                }
                None => {}
            }
            daemon
                .metrics
                .record_response(&route.rank.to_string(), "answered", time);
            Response::Endpoint {
                status,
                fields,
                signature,
                body,
            }
        }
        Err(refusal) => refuse(daemon, arrived, &request, Some(&route), refusal),
    }
}

/// Refuses a request: records the refusal and computes when the caller may retry.
fn refuse(
    daemon: &Daemon,
    arrived: Instant,
    request: &Request,
    route: Option<&Arc<Route>>,
    refusal: Refusal,
) -> Response {
    let now = daemon.clock.now();
    let time = now.saturating_duration_since(arrived);
    let status = refusal.status();
    let rank = route.map_or_else(|| "none".to_owned(), |route| route.rank.to_string());
    let outcome = status.to_string();
    daemon.metrics.record_response(&rank, &outcome, time);
    if daemon.log_limiter.allows(now, "call_refused") {
        let name = route.map_or("none", |route| &*route.name);
        let configuration = daemon.configuration();
        let version = configuration.as_ref().map_or(0, |active| active.version);
        let sender = configuration
            .as_ref()
            .zip(route)
            .and_then(|(active, route)| {
                let sender = active.identify(route, request.credential).ok()?;
                sender.map(|sender| &*sender.name)
            });
        info!(event = "call_refused", id = &*request.id, route = name, organisation = sender.unwrap_or("none"), version = version, status = status, reason:? = refusal, after_ms = time.as_millis() as u64; "");
    }
    let retry_after = (status == 503).then(|| {
        let random: f64 = daemon.rng.borrow_mut().random();
        route.map_or_else(
            || BASE_RETRY_DELAY.mul_f64(1.0 + random),
            |route| {
                let time_left = client_timeout(request, route).saturating_sub(time);
                daemon
                    .throttle
                    .borrow()
                    .retry_delay(route, time_left, random)
            },
        )
    });
    Response::Refused {
        refusal,
        retry_after,
    }
}

/// Refuses a nested call whose chain cannot end in time.
fn refuse_late(
    daemon: &Daemon,
    arrived: Instant,
    request: &Request,
    route: &Arc<Route>,
) -> Response {
    let refusal = Refusal::NotRun(NotRun::Late);
    refuse(daemon, arrived, request, Some(route), refusal)
}

/// Takes a token for a request if its sender has a quota; fails with the time after which the client
/// may retry. Nested calls do not count towards the quota.
async fn take_token(
    daemon: &Rc<Daemon>,
    sender: Option<&Arc<Organisation>>,
    nested: bool,
) -> Result<Option<Token>, Duration> {
    match sender.filter(|sender| sender.quota.is_some() && !nested) {
        Some(sender) => quota::admit(daemon, sender).await.map(Some),
        None => Ok(None),
    }
}

/// Refuses a request of an organisation that is over its quota.
fn refuse_over_quota(
    daemon: &Daemon,
    arrived: Instant,
    request: &Request,
    route: &Arc<Route>,
    retry: Duration,
) -> Response {
    let refusal = Refusal::OverQuota;
    refuse(daemon, arrived, request, Some(route), refusal);
    Response::Refused {
        refusal,
        retry_after: Some(retry),
    }
}

/// Refuses a request whose body is too large to be held beside the others.
pub fn refuse_body(daemon: &Daemon, bytes: usize) -> Response {
    record_refused_body(daemon, bytes);
    let random: f64 = daemon.rng.borrow_mut().random();
    Response::Refused {
        refusal: Refusal::NotRun(NotRun::Busy),
        retry_after: Some(BASE_RETRY_DELAY.mul_f64(1.0 + random)),
    }
}

/// Records that a body was refused.
pub fn record_refused_body(daemon: &Daemon, bytes: usize) {
    daemon.metrics.memory.bodies_refused.inc();
    if daemon
        .log_limiter
        .allows(daemon.clock.now(), "body_refused")
    {
        info!(event = "body_refused", bytes = bytes, held = daemon.budget.held(); "the request has not run");
    }
}

/// Returns the time for which the caller waits: that of the request, else that of the route.
fn client_timeout(request: &Request, route: &Route) -> Duration {
    request.client_timeout.unwrap_or(route.timeout)
}

/// Decides whether a new chain is admitted; returns its admission share, `None` for urgent work, and
/// whether the chain was refused before.
fn admit(daemon: &Daemon, chain: &NewChain<'_>) -> Option<(Option<u16>, bool)> {
    let mut throttle = daemon.throttle.borrow_mut();
    let decision = throttle.decide(daemon.clock.now(), chain, |service| {
        daemon.headroom_of(service, None)
    });
    match decision {
        ThrottleDecision::Refused => None,
        // Calls of rank 0, the most urgent one, are not elastic.
        ThrottleDecision::Admitted { share, resent } => {
            let share = (chain.route.rank > 0).then_some((share * SHARE_SCALE) as u16);
            Some((share, resent))
        }
    }
}

struct EndpointResponse {
    status: u16,
    fields: Vec<u8>,
    signature: Vec<u8>,
    body: Bytes,
    usage: Usage,
}

struct Call<'a> {
    daemon: &'a Rc<Daemon>,
    request: &'a Request,
    route: &'a Arc<Route>,
    rank: u32,
    /// Organisation that sent its chain.
    organisation: Option<OrganisationName>,
    service: ServiceName,
    deadline: Deadline,
    arrived: Instant,
    /// Admission share of its chain, in thousandths; `None` for urgent work.
    share: Option<u16>,
    /// Whether its chain was refused before and has returned.
    returned: bool,
    /// Its position in its chain, if it was made while serving another call.
    nested: Option<NestedCall>,
}

impl Call<'_> {
    /// Sends the call as [`Self::run`] does. The token goes back if the call has not run.
    async fn run_with(&self, mut token: Option<Token>) -> Result<EndpointResponse, Refusal> {
        let mut set_sent = |is_sent| {
            if let Some(token) = &mut token {
                token.set_sent(is_sent);
            }
        };
        // A call whose client disconnects may still run.
        set_sent(true);
        let result = self.run().await;
        let not_run = matches!(
            result,
            Err(Refusal::NoEndpoint | Refusal::NotRun(_) | Refusal::Closing)
        );
        set_sent(!not_run);
        result
    }

    /// Sends the call to gates until an endpoint responds or no further attempt is allowed.
    async fn run(&self) -> Result<EndpointResponse, Refusal> {
        let mut tried: Vec<VmId> = Vec::new();
        let mut attempts = Attempts::new(self.route);
        let mut last = Refusal::NoEndpoint;
        for _ in 0..MAX_GATES {
            let Some((vm, estimate)) = self.pick(&tried) else {
                break;
            };
            let history = CallHistory {
                offered: !tried.is_empty(),
                retry: attempts.delivered() > 0,
                of_retry: self.nested.is_some_and(|nested| nested.of_retry),
                returned: self.returned,
            };
            let Some(mut sent) = self.send(&vm, history) else {
                tried.push(vm);
                continue;
            };
            let hold_time = self.daemon.costs.borrow().mean(&self.route.name);
            let (outcome, load) = sent.outcome(self.daemon, self.deadline.at, hold_time).await;
            drop(sent);
            let now = self.daemon.clock.now();
            self.log_attempt(now, &vm, estimate, &outcome, load);
            self.record(now, &vm, &outcome, load);
            let failure = match outcome {
                Outcome::Answered(response, body) => {
                    let mut sizes = self.daemon.sizes.borrow_mut();
                    sizes.record(&self.route.name, body.len());
                    return Ok(EndpointResponse {
                        status: response.status,
                        fields: response.fields,
                        signature: response.signature,
                        body,
                        usage: response.usage,
                    });
                }
                Outcome::NotRun(reason) => {
                    // If an earlier attempt may have run, the caller must get its failure.
                    if !attempts.may_have_run() {
                        last = Refusal::NotRun(reason);
                    }
                    match reason {
                        NotRun::Rejected => AttemptFailure::Rejected,
                        _ => AttemptFailure::NotDelivered,
                    }
                }
                Outcome::Unknown(reason) => {
                    last = Refusal::Unknown(reason);
                    match reason {
                        Unknown::TimedOut => AttemptFailure::TimedOut,
                        _ => AttemptFailure::Lost,
                    }
                }
            };
            let retry = match attempts.record_failure(failure) {
                RetryDecision::TryOther => true,
                // The next gate decides whether its part of the retry budget allows it.
                RetryDecision::Retry => {
                    self.log_retry(now, attempts.delivered());
                    true
                }
                RetryDecision::GiveUp => false,
            };
            if !retry || now >= self.deadline.at {
                break;
            }
            // Another gate could not answer before this process exits.
            if self.daemon.ends_before(self.deadline.at) && self.daemon.must_withdraw(hold_time) {
                if matches!(last, Refusal::NotRun(_)) {
                    last = Refusal::Closing;
                }
                break;
            }
            tried.push(vm);
        }
        Err(last)
    }

    /// Logs why an attempt failed.
    fn log_attempt(
        &self,
        now: Instant,
        vm: &VmId,
        estimate: Option<Estimate>,
        outcome: &Outcome,
        load: Load,
    ) {
        let reason = match outcome {
            Outcome::Answered(..) => return,
            Outcome::NotRun(reason) => format!("{reason:?}"),
            Outcome::Unknown(reason) => format!("{reason:?}"),
        };
        if self.daemon.log_limiter.allows(now, "attempt_failed") {
            let age = now.saturating_duration_since(self.arrived).as_millis() as u64;
            let expected = estimate.map(|estimate| estimate.wait + estimate.hold);
            let ms = |time: Option<Duration>| time.map(|time| time.as_millis() as u64);
            let backlog = estimate.map(|estimate| estimate.backlog);
            let pace = estimate.map(|estimate| (estimate.pace * PACE_SCALE) as u64);
            info!(event = "attempt_failed", id = &*self.request.id, service = &*self.service, vm = &**vm, reason = &*reason, age_ms = age, calls = load.calls, limit = load.limit, expected_ms = ms(expected), backlog_ms = ms(backlog), pace = pace; "");
        }
    }

    fn log_retry(&self, now: Instant, delivered: u32) {
        self.daemon.metrics.retries.inc();
        if self.daemon.log_limiter.allows(now, "call_repeat") {
            info!(event = "call_repeat", id = &*self.request.id, route = &*self.route.name, arrivals = delivered, age_ms = now.saturating_duration_since(self.arrived).as_millis() as u64; "");
        }
    }

    /// Picks the VM for the next attempt, apart from those that were tried; returns it with what
    /// the call is expected to find there, if it was picked by cost.
    fn pick(&self, tried: &[VmId]) -> Option<(VmId, Option<Estimate>)> {
        let now = self.daemon.clock.now();
        let fleet = self.daemon.fleet.borrow();
        let vms = fleet.ready(&self.service);
        let peers: Vec<_> = vms
            .iter()
            .filter(|vm| !tried.contains(vm))
            .map(|vm| (vm, self.daemon.peers.get(vm)))
            .collect();
        let dependencies = if self.nested.is_some() {
            Vec::new()
        } else {
            self.daemon.throttle.borrow().dependencies(&self.route.name)
        };
        let share_at = |centre: &str| {
            dependencies
                .iter()
                .filter_map(|service| self.daemon.headroom_of(service, Some(centre)))
                .map(|headroom| headroom.share)
                .fold(1.0, f64::min)
        };
        for (vm, peer) in &peers {
            if let Some(VmEntry { endpoint, .. }) = fleet.get(vm) {
                let mut stats = peer.stats.borrow_mut();
                stats.follow_instance(now, &endpoint.instance, endpoint.started_ms);
            }
        }
        // The headroom of a data centre is a sum over its endpoints, so it is computed once for
        // each.
        let mut shares: BTreeMap<&DataCentreName, f64> = BTreeMap::new();
        let stats: Vec<_> = peers.iter().map(|(_, peer)| peer.stats.borrow()).collect();
        let candidates: Vec<Candidate<'_>> = peers
            .iter()
            .zip(&stats)
            .filter_map(|((vm, _), stats)| {
                let centre = &fleet.get(vm)?.data_centre;
                Some(Candidate {
                    vm,
                    target: Some(stats),
                    is_local: *centre == self.daemon.data_centre,
                    dependency_share: *shares.entry(centre).or_insert_with(|| share_at(centre)),
                })
            })
            .collect();
        let random: u32 = self.daemon.rng.borrow_mut().random();
        let penalty = self.daemon.sizes.borrow().remote_penalty(self.route);
        // A chain makes its nested calls one after another, so their waiting times add up.
        let penalty = if self.nested.is_some() {
            penalty / NESTED_PENALTY_DIVISOR
        } else {
            penalty
        };
        let placement = self.daemon.settings.borrow().placement;
        let picks = |rule| self.daemon.metrics.picks.with_label_values(&[rule]).inc();
        if placement.is_by_cost(&candidates) {
            picks("cost");
            let costs = self.daemon.costs.borrow();
            return selection::pick_by_cost(now, self.route, penalty, &costs, &candidates, random)
                .map(|(vm, estimate)| (VmId::clone(vm), Some(estimate)));
        }
        picks("load");
        let random = random as usize;
        selection::pick_endpoint(now, self.route, penalty, &candidates, random)
            .map(|vm| (VmId::clone(vm), None))
    }

    /// Sends the call to the gate of a VM; returns `None` if the connection takes no more.
    fn send(&self, vm: &VmId, history: CallHistory) -> Option<Sent> {
        let daemon = self.daemon;
        let fleet = daemon.fleet.borrow();
        let entry = fleet.get(vm)?;
        let left = self.deadline.left(daemon.clock.now(), daemon.clock.boot());
        let call = CallHead {
            id: self.request.id.clone(),
            left_us: left.as_micros() as u64,
            share: self.share,
            history,
            remaining_ms: self
                .nested
                .map_or(0, |nested| nested.remaining.as_millis() as u32),
            target: self.request.target.clone(),
            organisation: self.organisation.clone(),
            kind: CallKind {
                instance: entry.endpoint.instance.to_string(),
                caller: daemon.service().to_string(),
                route: self.route.name.to_string(),
                rank: self.rank,
                idempotent: self.route.retry_safety == RetrySafety::Idempotent,
                nested: self.nested.is_some(),
                method: self.request.method.clone(),
                fields: self.request.fields.clone(),
            },
        };
        let address = entry.peer;
        drop(fleet);
        if *vm != daemon.vm {
            let peer = daemon.peers.get(vm);
            let sent = peer.call(daemon, address, call, &self.request.body)?;
            return Some(Sent::Peer(sent));
        }
        let (sender, receiver) = oneshot::channel();
        daemon.peers.get(vm).stats.borrow_mut().call_sent();
        let job = Job {
            call,
            body: self.request.body.clone(),
            deadline: self.deadline,
            sender: OutcomeSender::Local(sender),
        };
        let job = daemon.gate.submit(daemon, job);
        Some(Sent::Local {
            daemon: Rc::clone(daemon),
            job,
            receiver,
            finished: false,
        })
    }

    /// Updates the statistics of the endpoint after an attempt.
    fn record(&self, now: Instant, vm: &VmId, outcome: &Outcome, load: Load) {
        let peer = self.daemon.peers.get(vm);
        let mut stats = peer.stats.borrow_mut();
        if *vm == self.daemon.vm {
            stats.record_load(now, load.into());
        }
        match outcome {
            Outcome::Answered(response, _) => {
                let hold_time = Duration::from_micros(response.held_us);
                stats.record_response(now, &self.route.name, hold_time);
                if (200..300).contains(&response.status) {
                    let mut costs = self.daemon.costs.borrow_mut();
                    stats.record_cost(now, &mut costs, &self.route.name, hold_time);
                }
            }
            // A broken connection has been recorded by the peer, and a damaged response is no
            // reason to eject the endpoint.
            Outcome::NotRun(NotRun::Busy | NotRun::Late | NotRun::Cancelled | NotRun::Budget)
            | Outcome::Unknown(_) => {}
            Outcome::NotRun(_) => stats.record_failure(now),
        }
    }
}
