//! Calls from callers: classification, the decision at the entry, attempts and the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use caller::header;
use caller::request::RequestMeta;
use caller::response;
use http::request::Parts;
use http::{HeaderValue, Request, Response};
use http_body::Body as _;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use policy::allowance::{AttemptAllowance, FailedAttempt, LentAttempts};
use policy::burn;
use policy::id::{CallId, ChainId, VmId};
use policy::level::Bucket;
use policy::refusal::{Execution, Reason, Refusal};
use policy::rule::Class;
use policy::ticket::Ticket;
use rand::Rng;
use transport::{Body, body};

use crate::attempt::{self, Failure};
use crate::cluster::Cluster;
use crate::counter::Counter;
use crate::local;
use crate::once::{Once, about_key};
use crate::shared::Shared;

/// Longest request body that is kept for another attempt, in bytes.
const MAX_REPLAYED: u64 = 64 * 1024;
/// Longest request body of a call that must run at most once, in bytes.
pub const MAX_COLLECTED_REQUEST: usize = 1024 * 1024;
/// Longest body of any request, in bytes.
const MAX_STREAMED: usize = 64 * 1024 * 1024;

/// Moves of one call off VMs that leave or are gone, and sends of one ticket after a connection
/// failed.
pub const MAX_MOVES: u8 = 3;

/// Pause before the second move of a call; it grows with each.
const MOVE_PAUSE: Duration = Duration::from_millis(60);
/// A call on its way.
#[derive(Debug)]
pub struct Call {
    pub id: CallId,
    pub class: Arc<Class>,
    pub target: RequestMeta,
    pub bucket: Bucket,
    pub chain: ChainId,
    pub deadline: Instant,
    pub parts: Parts,
    pub payload: Payload,
    pub allowance: AttemptAllowance,
    pub attempts: u32,
    pub moves: u8,
    /// Whether an attempt without a ticket may have run.
    pub maybe_ran: bool,
    /// Whether the endpoint on this VM made the call.
    pub inner: bool,
}

impl Call {
    /// What the refusal of the last attempt says of all of them.
    fn over_attempts(&self, refusal: Refusal) -> Refusal {
        if self.maybe_ran && refusal.execution == Execution::NotRun {
            return Refusal {
                execution: Execution::Unknown,
                ..refusal
            };
        }
        refusal
    }
}

/// The request body.
#[derive(Debug)]
pub enum Payload {
    /// Kept whole, for as many attempts as needed.
    Kept(Bytes),
    /// Good for one attempt.
    Stream(Option<Body>),
}

impl Payload {
    /// The body for the next attempt, unless it was used up.
    pub fn next(&mut self) -> Option<Body> {
        match self {
            Self::Kept(bytes) => Some(body::full(bytes.clone())),
            Self::Stream(stream) => stream.take(),
        }
    }

    const fn is_kept(&self) -> bool {
        matches!(self, Self::Kept(_))
    }
}

/// Chain of the endpoint on this VM that a call belongs to.
struct Parent {
    chain: ChainId,
    part: LentAttempts,
}

/// Answers a request of a caller or of the endpoint on this VM.
pub async fn handle(
    cluster: Arc<Cluster>,
    request: Request<Incoming>,
    from: SocketAddr,
) -> Response<Body> {
    let shared = Arc::clone(&cluster.shared);
    if request.uri().path().starts_with(local::PREFIX) {
        return local::handle(&cluster, request, from).await;
    }
    shared.counters.count(Counter::EntryCalls);
    let (parts, incoming) = request.into_parts();
    let target = match RequestMeta::read(&parts) {
        Ok(target) => target,
        Err(error) => return bad_request(&shared, &error),
    };
    let ticket = match target
        .ticket
        .as_deref()
        .map(str::parse::<Ticket>)
        .transpose()
    {
        Ok(ticket) => ticket,
        Err(error) => return bad_request(&shared, &error),
    };
    let (mut call, parent) = classify(&shared, parts, target, from);
    let result = match collect(&call.class, incoming).await {
        Ok(payload) => {
            call.payload = payload;
            let served = serve(&cluster, &mut call, ticket).await;
            served.map_err(|refusal| call.over_attempts(refusal))
        }
        Err(refusal) => Err(about_key(&shared, &call, refusal)),
    };
    if let Some(Parent { chain, part }) = parent {
        let now = shared.clock.now();
        shared
            .chains
            .give_back(now, chain, part, call.allowance.left());
    }
    conclude(&shared, &call, result)
}

fn bad_request(shared: &Shared, error: &dyn std::error::Error) -> Response<Body> {
    shared.counters.count(Counter::EntryBad);
    response::bad_request(error)
}

/// Gives the call its class, from its chain if it comes from the endpoint on this VM.
fn classify(
    shared: &Shared,
    parts: Parts,
    target: RequestMeta,
    from: SocketAddr,
) -> (Call, Option<Parent>) {
    let now = shared.clock.now();
    let own_vm = from.ip().is_loopback() || from.ip() == shared.settings.caller_address.ip();
    let rules = shared.rules.load();
    let method = parts.method.as_str();
    let own = rules.classify(&target.service, method, parts.uri.path(), &target.customer);
    let claimed = target.chain.filter(|_| own_vm);
    let inherited = claimed.and_then(|id| Some((id, shared.chains.inherit(now, id)?)));
    let timeout = target.timeout.unwrap_or(Duration::MAX);
    let id = shared.next_call();
    if let Some((chain, inherited)) = inherited {
        let class = Class {
            idempotent: own.idempotent,
            ..inherited.class
        };
        let allowance = AttemptAllowance::new(inherited.part.count());
        let deadline = now.checked_add(timeout).unwrap_or(inherited.deadline);
        let call = Call {
            id,
            class: Arc::new(class),
            target,
            bucket: inherited.bucket,
            chain,
            deadline: deadline.min(inherited.deadline),
            parts,
            payload: Payload::Stream(None),
            allowance,
            attempts: 0,
            moves: 0,
            maybe_ran: false,
            inner: true,
        };
        return (
            call,
            Some(Parent {
                chain,
                part: inherited.part,
            }),
        );
    }
    let chain: ChainId = rand::rng().random();
    let call = Call {
        id,
        target,
        bucket: shared.bucket(&own, chain),
        chain,
        deadline: now + own.deadline.min(timeout),
        parts,
        payload: Payload::Stream(None),
        allowance: AttemptAllowance::new(own.extra_attempts),
        attempts: 0,
        moves: 0,
        maybe_ran: false,
        inner: false,
        class: Arc::new(own),
    };
    (call, None)
}

/// Keeps small bodies for another attempt, and those of calls that must run at most once.
async fn collect(class: &Class, incoming: Incoming) -> Result<Payload, Refusal> {
    let small = incoming
        .size_hint()
        .upper()
        .is_some_and(|upper| upper <= MAX_REPLAYED);
    if class.idempotent && !small {
        let limited = Limited::new(incoming, MAX_STREAMED);
        return Ok(Payload::Stream(Some(body::boxed(limited))));
    }
    let collecting = Limited::new(incoming, MAX_COLLECTED_REQUEST).collect();
    match tokio::time::timeout(class.deadline, collecting).await {
        Ok(Ok(collected)) => Ok(Payload::Kept(collected.to_bytes())),
        Ok(Err(_)) => Err(Refusal::not_run(Reason::BadRequest)),
        Err(_) => Err(Refusal::not_run(Reason::Deadline)),
    }
}

/// Decides at the entry, then tries until there is an answer or no further attempt is safe.
async fn serve(
    cluster: &Arc<Cluster>,
    call: &mut Call,
    given: Option<Ticket>,
) -> Result<Response<Body>, Refusal> {
    let shared = &cluster.shared;
    admit(shared, call).map_err(|refusal| about_key(shared, call, refusal))?;
    let mut once = Once::new(given);
    let mut excluded = Vec::new();
    loop {
        let chosen = attempt::choose(shared, call, once.held.as_ref(), &excluded)
            .map_err(|refusal| once.about(shared, call, refusal))?;
        let chosen = once.claim(cluster, call, chosen).await?;
        let failure = match attempt::send(shared, call, &chosen).await {
            Ok(response) => return Ok(with_ticket(response, chosen.ticket.as_ref())),
            Err(failure) => failure,
        };
        let refusal = match failure {
            Failure::Refused(refusal) => refusal,
            Failure::Unsent if once.ambiguous => Refusal::unknown(Reason::Connection),
            Failure::Unsent => Refusal::not_run(Reason::Connection),
        };
        call.maybe_ran |= chosen.ticket.is_none() && refusal.execution != Execution::NotRun;
        let resend = chosen.ticket.is_some() && refusal.execution == Execution::Unknown;
        // A void ticket that the caller holds is the caller's to replace.
        let last = once.given && refusal.execution == Execution::NotRun;
        let Some(delay) = retry(shared, call, &refusal, resend).filter(|_| !last) else {
            return Err(refusal);
        };
        if resend {
            once.resend(chosen.ticket);
        } else {
            once.replace(chosen.ticket, failure);
            exclude(&mut excluded, chosen.vm);
        }
        shared.counters.count(Counter::Retries);
        tokio::time::sleep(delay).await;
    }
}

fn exclude(excluded: &mut Vec<VmId>, vm: VmId) {
    if !excluded.contains(&vm) {
        excluded.push(vm);
    }
}

/// Refuses a call that the target, or a service behind it, does not admit now.
fn admit(shared: &Shared, call: &Call) -> Result<(), Refusal> {
    let now = shared.clock.now();
    let Call { class, target, .. } = call;
    let mut levels = shared.levels(&class.kind);
    let mut rng = rand::rng();
    let service = &target.service;
    if levels.admit(now, service, &class.kind, class.rank, call.bucket, &mut rng) {
        return Ok(());
    }
    let reached = levels.path_levels(now, &class.kind, service);
    drop(levels);
    // The callers before must still see that calls of this kind come to these services.
    for (service, admitted) in &reached {
        shared.chains.reach(call.chain, service, *admitted);
    }
    shared.counters.count(Counter::LevelRefused);
    Err(Refusal::not_run(Reason::Level))
}

/// Decides on another attempt. Sending a ticket again to the same VM cannot start a second run.
/// Neither that nor moving a call off a VM that leaves or is gone uses an endpoint, so both spend no
/// allowance.
fn retry(shared: &Shared, call: &mut Call, refusal: &Refusal, resend: bool) -> Option<Duration> {
    if !call.payload.is_kept() {
        return None;
    }
    let left = matches!(refusal.reason, Reason::Draining | Reason::Connection);
    let lost = resend && refusal.reason == Reason::Connection;
    if (lost || (left && refusal.execution == Execution::NotRun)) && call.moves < MAX_MOVES {
        call.moves += 1;
        // A connection that was just opened in vain is not opened again at once.
        let pause = MOVE_PAUSE * u32::from(call.moves - 1);
        return Some(pause);
    }
    let attempt = FailedAttempt {
        refusal: *refusal,
        idempotent: call.class.idempotent || resend,
        retries: call.attempts.saturating_sub(1),
        deadline: call.deadline,
    };
    let now = shared.clock.now();
    let mut budget = shared.budget.lock().expect("budget lock is never poisoned");
    attempt.retry_delay(now, &mut call.allowance, &mut budget, &mut rand::rng())
}

fn with_ticket(mut response: Response<Body>, ticket: Option<&Ticket>) -> Response<Body> {
    let value = ticket.and_then(|ticket| HeaderValue::from_str(&ticket.to_string()).ok());
    if let Some(value) = value {
        response.headers_mut().insert(header::TICKET, value);
    }
    response
}

/// Counts the outcome and writes the answer.
fn conclude(
    shared: &Shared,
    call: &Call,
    result: Result<Response<Body>, Refusal>,
) -> Response<Body> {
    let now = shared.clock.now();
    let refusal = result.as_ref().err().copied();
    let outcome = match &result {
        Ok(response) if response.status().is_server_error() => burn::Outcome::Failed,
        Ok(_) if now > call.deadline => burn::Outcome::Late,
        Ok(_) => burn::Outcome::Good,
        Err(refusal) if refusal.execution == Execution::NotRun => burn::Outcome::Refused,
        Err(_) => burn::Outcome::Failed,
    };
    shared
        .burn
        .lock()
        .expect("burn lock is never poisoned")
        .record(&call.class, outcome, now);
    shared
        .counters
        .count(match refusal.map(|refusal| refusal.execution) {
            None | Some(Execution::Ran) => Counter::EntryServed,
            Some(Execution::NotRun) => Counter::EntryNotRun,
            Some(Execution::Unknown) => Counter::EntryUnknown,
        });
    if let Some(refusal) = refusal {
        shared.counters.count(refusal.reason.into());
    }
    let wall = shared.clock.wall();
    shared
        .journal
        .record(wall, call.id, &call.class, refusal, call.attempts);
    let id = format!("{:016x}", call.id);
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => response::refuse(&refusal, &call.class, &id),
    };
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(header::CALL_ID, value);
    }
    response
}
