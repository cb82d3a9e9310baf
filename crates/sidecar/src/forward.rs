//! One call: its route, its endpoint, and what its caller gets.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use adapter::request::Request;
use bytes::Bytes;
use log::info;
use policy::attempt::{AttemptFailure, Attempts, RetryDecision};
use policy::id::{DataCentreName, ServiceName, VmId};
use policy::routing::{RetrySafety, Route};
use policy::selection::{self, Candidate};
use policy::throttle::{ThrottleDecision, Usage};
use rand::Rng;
use tokio::sync::oneshot;

use crate::daemon::Daemon;
use crate::frame::{CallHead, CallKind, Load, NotRun, SHARE_SCALE, Unknown};
use crate::gate::{Deadline, Job, JobId, Outcome, OutcomeSender};
use crate::peer::SentCall;

#[cfg(test)]
mod tests;

/// Gates to which one call is offered. An offer that a gate refuses costs one round trip and no
/// work.
const MAX_OFFERS: u32 = 3;

/// Time after the deadline in which an outcome that is on its way is still awaited.
const OUTCOME_SLACK: Duration = Duration::from_millis(80);

/// Part of the usual gain for which a call of a chain leaves its data centre.
const DEEP_CALLS: u32 = 2;

/// Pause of a caller without a route, before a random part of as much again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Why a caller gets no endpoint's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet.
    Unconfigured,
    /// No route fits.
    NoRoute,
    /// A service below has no room for the calls that it would make.
    Throttled,
    /// This daemon ends before the call would.
    Closing,
    /// No endpoint of the service is known.
    NoEndpoint,
    /// No gate took the call; it has not run.
    NotRun(NotRun),
    /// It is unknown whether the call has run.
    Unknown(Unknown),
}

impl Refusal {
    /// Status of the answer. 503 promises that the call has not run and will not.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
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

/// What a caller gets.
#[derive(Debug)]
pub enum Response {
    /// The endpoint's answer.
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
    /// An answer of this daemon.
    Refused {
        /// Why.
        refusal: Refusal,
        /// When the caller may come back.
        retry_after: Option<Duration>,
    },
}

enum Sent {
    Local {
        daemon: Rc<Daemon>,
        job: Option<JobId>,
        receiver: oneshot::Receiver<(Outcome, Load)>,
        decided: bool,
    },
    Peer(SentCall),
}

impl Drop for Sent {
    fn drop(&mut self) {
        let Self::Local {
            daemon,
            job,
            decided,
            ..
        } = self
        else {
            return;
        };
        daemon
            .peers
            .get(&daemon.vm)
            .target
            .borrow_mut()
            .call_ended();
        if let (Some(job), false) = (job, *decided) {
            daemon.gate.cancel(daemon, *job);
        }
    }
}

impl Sent {
    async fn outcome(&mut self, limit: Instant) -> (Outcome, Load) {
        let receiver = match self {
            Self::Local { receiver, .. } => receiver,
            Self::Peer(sent) => &mut sent.receiver,
        };
        let result = tokio::time::timeout_at(limit.into(), receiver).await;
        if let Self::Local { decided, .. } = self {
            *decided = matches!(result, Ok(Ok(_)));
        }
        match result {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => (Outcome::Unknown(Unknown::Disconnected), Load::default()),
            Err(_) => (Outcome::Unknown(Unknown::TimedOut), Load::default()),
        }
    }
}

/// Counts a call as open until it is dropped.
struct OpenCall<'a>(&'a Daemon);

impl<'a> OpenCall<'a> {
    fn new(daemon: &'a Daemon) -> Self {
        daemon.open_requests.set(daemon.open_requests.get() + 1);
        Self(daemon)
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

/// Serves a request that arrived at this daemon from its own VM.
pub async fn serve(daemon: &Rc<Daemon>, request: Request) -> Response {
    let arrived = daemon.clock.now();
    let _open = OpenCall::new(daemon);
    let Some(adopted) = daemon.configuration() else {
        return refuse(daemon, arrived, &request, None, Refusal::Unconfigured);
    };
    let Some(route) = adopted.route(&request.host, request.path()).cloned() else {
        return refuse(daemon, arrived, &request, None, Refusal::NoRoute);
    };
    let patience = patience_of(&request, &route).min(route.timeout);
    let deadline = Deadline {
        at: arrived + patience,
        boot: daemon.clock.boot() + patience,
    };
    if daemon.ends_before(deadline.at) {
        return refuse(daemon, arrived, &request, Some(&route), Refusal::Closing);
    }
    let service = daemon.splitter.borrow_mut().next(&route);
    let Some(service) = service else {
        return refuse(daemon, arrived, &request, Some(&route), Refusal::NoEndpoint);
    };
    let parent = daemon.gate.parent(&request.id);
    let share = match &parent {
        Some(parent) => parent.share,
        None => match admit(daemon, &route, &service, patience_of(&request, &route)) {
            ThrottleDecision::Refused => {
                return refuse(daemon, arrived, &request, Some(&route), Refusal::Throttled);
            }
            // The most urgent work is not elastic.
            ThrottleDecision::Admitted(share) => {
                (route.rank > 0).then_some((share * SHARE_SCALE) as u16)
            }
        },
    };
    // Calls of endpoints earn no repeats: the operators' bound counts those of clients.
    if parent.is_none() {
        let daemons = daemon.fleet.borrow().len();
        daemon
            .budget
            .borrow_mut()
            .record_call(arrived, &service, daemons);
    }
    let call = Call {
        daemon,
        request: &request,
        route: &route,
        service,
        deadline,
        arrived,
        share,
        nested: parent.is_some(),
    };
    match call.run().await {
        Ok(Answer {
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
        let version = daemon.configuration().map_or(0, |adopted| adopted.version);
        info!(event = "call_refused", id = &*request.id, route = name, version = version, status = status, reason:? = refusal, after_ms = time.as_millis() as u64; "");
    }
    let retry_after = (status == 503).then(|| {
        let toss: f64 = daemon.rng.borrow_mut().random();
        route.map_or_else(
            || RETRY_PAUSE.mul_f64(1.0 + toss),
            |route| {
                let patience = patience_of(request, route).saturating_sub(time);
                daemon.throttle.borrow().retry_delay(route, patience, toss)
            },
        )
    });
    Response::Refused {
        refusal,
        retry_after,
    }
}

fn patience_of(request: &Request, route: &Route) -> Duration {
    request.client_timeout.unwrap_or(route.timeout)
}

/// Decides on a new chain.
fn admit(
    daemon: &Daemon,
    route: &Route,
    service: &ServiceName,
    patience: Duration,
) -> ThrottleDecision {
    let mut throttle = daemon.throttle.borrow_mut();
    throttle.decide(route, service, patience, |service| {
        daemon.headroom_of(service, None)
    })
}

struct Answer {
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
    service: ServiceName,
    deadline: Deadline,
    arrived: Instant,
    share: Option<u16>,
    nested: bool,
}

impl Call<'_> {
    /// Offers the call to gates until one answers or nothing more may be tried.
    async fn run(&self) -> Result<Answer, Refusal> {
        let mut refused: Vec<VmId> = Vec::new();
        let mut attempts = Attempts::new(self.route);
        let mut last = Refusal::NoEndpoint;
        for _ in 0..MAX_OFFERS {
            let Some(vm) = self.choose(&refused) else {
                break;
            };
            let Some(mut sent) = self.send(&vm) else {
                refused.push(vm);
                continue;
            };
            let (outcome, load) = sent.outcome(self.deadline.at + OUTCOME_SLACK).await;
            drop(sent);
            let now = self.daemon.clock.now();
            self.log_attempt(now, &vm, &outcome, load);
            self.note(now, &vm, &outcome, load);
            let fate = match outcome {
                Outcome::Answered(answer, body) => {
                    let mut sizes = self.daemon.sizes.borrow_mut();
                    sizes.record(&self.route.name, body.len());
                    return Ok(Answer {
                        status: answer.status,
                        fields: answer.fields,
                        signature: answer.signature,
                        body,
                        usage: answer.usage,
                    });
                }
                Outcome::NotRun(reason) => {
                    // An earlier attempt may have run, so its failure stays the answer.
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
            let again = match attempts.record_failure(fate) {
                RetryDecision::TryOther => true,
                RetryDecision::Retry => self.may_repeat(now, attempts.delivered()),
                RetryDecision::GiveUp => false,
            };
            if !again {
                break;
            }
            if now >= self.deadline.at {
                break;
            }
            refused.push(vm);
        }
        Err(last)
    }

    /// Tells why a gate did not answer the call.
    fn log_attempt(&self, now: Instant, vm: &VmId, outcome: &Outcome, load: Load) {
        let reason = match outcome {
            Outcome::Answered(..) => return,
            Outcome::NotRun(reason) => format!("{reason:?}"),
            Outcome::Unknown(reason) => format!("{reason:?}"),
        };
        if self.daemon.log_limiter.allows(now, "attempt_failed") {
            let age = now.saturating_duration_since(self.arrived).as_millis() as u64;
            info!(event = "attempt_failed", id = &*self.request.id, service = &*self.service, vm = &**vm, reason = &*reason, age_ms = age, calls = load.calls, limit = load.limit; "");
        }
    }

    fn may_repeat(&self, now: Instant, arrivals: u32) -> bool {
        let daemons = self.daemon.fleet.borrow().len();
        let granted = self
            .daemon
            .budget
            .borrow_mut()
            .try_take(now, &self.service, daemons);
        if granted {
            self.daemon.metrics.retries.inc();
        }
        if self.daemon.log_limiter.allows(now, "call_repeat") {
            info!(event = "call_repeat", id = &*self.request.id, route = &*self.route.name, arrivals = arrivals, granted = granted, age_ms = now.saturating_duration_since(self.arrived).as_millis() as u64; "");
        }
        granted
    }

    fn choose(&self, refused: &[VmId]) -> Option<VmId> {
        let now = self.daemon.clock.now();
        let fleet = self.daemon.fleet.borrow();
        let vms = fleet.ready(&self.service);
        let peers: Vec<_> = vms
            .iter()
            .filter(|vm| !refused.contains(vm))
            .map(|vm| (vm, self.daemon.peers.get(vm)))
            .collect();
        let uses = if self.nested {
            Vec::new()
        } else {
            self.daemon.throttle.borrow().dependencies(&self.route.name)
        };
        let room = |centre: &str| {
            uses.iter()
                .filter_map(|service| self.daemon.headroom_of(service, Some(centre)))
                .map(|room| room.share)
                .fold(1.0, f64::min)
        };
        // The room of a data centre is a sum over its endpoints, so it is taken once for each.
        let mut rooms: BTreeMap<&DataCentreName, f64> = BTreeMap::new();
        let targets: Vec<_> = peers.iter().map(|(_, peer)| peer.target.borrow()).collect();
        let candidates: Vec<Candidate<'_>> = peers
            .iter()
            .zip(&targets)
            .filter_map(|((vm, _), target)| {
                let centre = &fleet.get(vm)?.data_centre;
                Some(Candidate {
                    vm,
                    target: Some(target),
                    is_local: *centre == self.daemon.data_centre,
                    dependency_share: *rooms.entry(centre).or_insert_with(|| room(centre)),
                })
            })
            .collect();
        let toss = self.daemon.rng.borrow_mut().random::<u32>() as usize;
        let far = self.daemon.sizes.borrow().remote_penalty(self.route);
        // A chain makes its calls one after another, so a wait for each of them adds up.
        let far = if self.nested { far / DEEP_CALLS } else { far };
        selection::pick_endpoint(now, self.route, far, &candidates, toss).cloned()
    }

    fn send(&self, vm: &VmId) -> Option<Sent> {
        let daemon = self.daemon;
        let fleet = daemon.fleet.borrow();
        let entry = fleet.get(vm)?;
        let left = self.deadline.left(daemon.clock.now(), daemon.clock.boot());
        let call = CallHead {
            id: self.request.id.clone(),
            left_us: left.as_micros() as u64,
            share: self.share,
            target: self.request.target.clone(),
            kind: CallKind {
                instance: entry.endpoint.instance.to_string(),
                caller: daemon.service().to_string(),
                route: self.route.name.to_string(),
                rank: self.route.rank,
                idempotent: self.route.retry_safety == RetrySafety::Idempotent,
                nested: self.nested,
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
        daemon.peers.get(vm).target.borrow_mut().call_sent();
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
            decided: false,
        })
    }

    /// Takes what an outcome tells about the endpoint.
    fn note(&self, now: Instant, vm: &VmId, outcome: &Outcome, load: Load) {
        let peer = self.daemon.peers.get(vm);
        let mut target = peer.target.borrow_mut();
        if *vm == self.daemon.vm {
            target.record_load(now, load.into());
        }
        match outcome {
            Outcome::Answered(answer, _) => {
                let held = Duration::from_micros(answer.held_us);
                target.record_response(now, &self.route.name, held);
            }
            // A lost connection has been noted with the peer; a damaged answer is no reason to leave
            // the endpoint out.
            Outcome::NotRun(NotRun::Busy | NotRun::Late | NotRun::Cancelled)
            | Outcome::Unknown(_) => {}
            Outcome::NotRun(_) => target.record_failure(now),
        }
    }
}
