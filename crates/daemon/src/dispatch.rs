//! Handles calls from callers and from the endpoint on this VM: classifies and admits them, sends
//! the attempts and returns the response.

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
use crate::call_ticket::{CallTicket, account_for_earlier_sends};
use crate::cluster::Cluster;
use crate::counter::Counter;
use crate::reserved_paths;
use crate::shared::Shared;

/// Longest request body of an idempotent call that is buffered for a retry.
const MAX_REPLAYED_BYTES: u64 = 64 * 1024;
/// Longest request body of a call that must run at most once.
pub const MAX_COLLECTED_REQUEST_BYTES: usize = 1024 * 1024;
/// Longest body of any request.
const MAX_STREAMED_BYTES: usize = 64 * 1024 * 1024;

/// Retries of one call that spend no allowance: on another VM after one that is draining or
/// unreachable, and resends of a ticket after its connection failed.
pub const MAX_FREE_RETRIES: u8 = 3;

/// Delay before the second free retry of a call; each further one waits this much longer.
const FREE_RETRY_DELAY_STEP: Duration = Duration::from_millis(60);

/// A call that is being dispatched.
#[derive(Debug)]
pub struct Call {
    pub id: CallId,
    pub class: Arc<Class>,
    pub target: RequestMeta,
    /// Admission bucket of the chain.
    pub bucket: Bucket,
    pub chain: ChainId,
    pub deadline: Instant,
    pub parts: Parts,
    pub payload: Payload,
    /// Extra attempts that the call and its nested calls may still spend.
    pub allowance: AttemptAllowance,
    /// Attempts sent so far.
    pub attempts: u32,
    /// Retries so far that spent no allowance.
    pub free_retries: u8,
    /// Whether an attempt without a ticket may have run.
    pub may_have_run: bool,
    /// Whether the endpoint on this VM made the call while serving another.
    pub nested: bool,
}

impl Call {
    /// Turns the refusal of the last attempt into that of the call: "not run" becomes "unknown" if
    /// an earlier attempt may have run.
    fn refusal_of_call(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run && refusal.execution == Execution::NotRun {
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
    /// Buffered whole, for any number of attempts.
    Buffered(Bytes),
    /// Streamed, for a single attempt.
    Stream(Option<Body>),
}

impl Payload {
    /// Returns the body for the next attempt, or `None` if the stream was used already.
    pub fn next_body(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) => Some(body::full(bytes.clone())),
            Self::Stream(stream) => stream.take(),
        }
    }

    const fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }
}

/// The running call on this VM that made a nested call, and the attempts that it lent.
struct Parent {
    chain: ChainId,
    lent: LentAttempts,
}

/// Handles a request of a caller or of the endpoint on this VM.
pub async fn handle(
    cluster: Arc<Cluster>,
    request: Request<Incoming>,
    from: SocketAddr,
) -> Response<Body> {
    let shared = Arc::clone(&cluster.shared);
    if request
        .uri()
        .path()
        .starts_with(reserved_paths::RESERVED_PREFIX)
    {
        return reserved_paths::handle(&cluster, request, from).await;
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
            served.map_err(|refusal| call.refusal_of_call(refusal))
        }
        Err(refusal) => Err(account_for_earlier_sends(&shared, &call, refusal)),
    };
    if let Some(Parent { chain, lent }) = parent {
        let now = shared.clock.now();
        shared
            .chains
            .reclaim(now, chain, lent, call.allowance.left());
    }
    finish_call(&shared, &call, result)
}

fn bad_request(shared: &Shared, error: &dyn std::error::Error) -> Response<Body> {
    shared.counters.count(Counter::EntryBadRequest);
    response::bad_request(error)
}

/// Classifies a call. A nested call inherits the class, bucket and deadline of its chain.
fn classify(
    shared: &Shared,
    parts: Parts,
    target: RequestMeta,
    from: SocketAddr,
) -> (Call, Option<Parent>) {
    let now = shared.clock.now();
    let same_vm = from.ip().is_loopback() || from.ip() == shared.settings.caller_address.ip();
    let rules = shared.rules.load();
    let method = parts.method.as_str();
    let own_class = rules.classify(&target.service, method, parts.uri.path(), &target.customer);
    let named_chain = target.chain.filter(|_| same_vm);
    let inherited = named_chain.and_then(|id| Some((id, shared.chains.inherit(now, id)?)));
    let timeout = target.timeout.unwrap_or(Duration::MAX);
    let id = shared.next_call_id();
    if let Some((chain, inherited)) = inherited {
        let class = Class {
            idempotent: own_class.idempotent,
            ..inherited.class
        };
        let allowance = AttemptAllowance::new(inherited.lent.count());
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
            free_retries: 0,
            may_have_run: false,
            nested: true,
        };
        return (
            call,
            Some(Parent {
                chain,
                lent: inherited.lent,
            }),
        );
    }
    let chain: ChainId = rand::rng().random();
    let call = Call {
        id,
        target,
        bucket: shared.bucket_for(&own_class, chain),
        chain,
        deadline: now + own_class.deadline.min(timeout),
        parts,
        payload: Payload::Stream(None),
        allowance: AttemptAllowance::new(own_class.extra_attempts),
        attempts: 0,
        free_retries: 0,
        may_have_run: false,
        nested: false,
        class: Arc::new(own_class),
    };
    (call, None)
}

/// Buffers small bodies for a retry, and all bodies of calls that must run at most once. Streams
/// the others.
async fn collect(class: &Class, incoming: Incoming) -> Result<Payload, Refusal> {
    let small = incoming
        .size_hint()
        .upper()
        .is_some_and(|upper| upper <= MAX_REPLAYED_BYTES);
    if class.idempotent && !small {
        let limited = Limited::new(incoming, MAX_STREAMED_BYTES);
        return Ok(Payload::Stream(Some(body::boxed(limited))));
    }
    let collecting = Limited::new(incoming, MAX_COLLECTED_REQUEST_BYTES).collect();
    match tokio::time::timeout(class.deadline, collecting).await {
        Ok(Ok(collected)) => Ok(Payload::Buffered(collected.to_bytes())),
        Ok(Err(_)) => Err(Refusal::not_run(Reason::BadRequest)),
        Err(_) => Err(Refusal::not_run(Reason::Deadline)),
    }
}

/// Admits a call, then sends attempts until there is a response or no further attempt is safe.
async fn serve(
    cluster: &Arc<Cluster>,
    call: &mut Call,
    caller_ticket: Option<Ticket>,
) -> Result<Response<Body>, Refusal> {
    let shared = &cluster.shared;
    admit(shared, call).map_err(|refusal| account_for_earlier_sends(shared, call, refusal))?;
    let mut call_ticket = CallTicket::new(caller_ticket);
    let mut excluded = Vec::new();
    loop {
        let chosen = attempt::choose_endpoint(shared, call, call_ticket.bound.as_ref(), &excluded)
            .map_err(|refusal| call_ticket.refusal_before_send(shared, call, refusal))?;
        let chosen = call_ticket.claim(cluster, call, chosen).await?;
        let failure = match attempt::send(shared, call, &chosen).await {
            Ok(response) => return Ok(with_ticket(response, chosen.ticket.as_ref())),
            Err(failure) => failure,
        };
        let refusal = match failure {
            Failure::Refused(refusal) => refusal,
            Failure::Unsent if call_ticket.may_have_run => Refusal::unknown(Reason::Connection),
            Failure::Unsent => Refusal::not_run(Reason::Connection),
        };
        call.may_have_run |= chosen.ticket.is_none() && refusal.execution != Execution::NotRun;
        let resend = chosen.ticket.is_some() && refusal.execution == Execution::Unknown;
        // Only the caller can replace a void ticket that it sent itself.
        let last = call_ticket.from_caller && refusal.execution == Execution::NotRun;
        let Some(delay) = retry_delay(shared, call, &refusal, resend).filter(|_| !last) else {
            return Err(refusal);
        };
        if resend {
            call_ticket.resend(chosen.ticket);
        } else {
            call_ticket.replace(chosen.ticket, failure);
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

/// Refuses a call that its target or a dependency of the target does not admit now.
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
    // The daemons earlier in the chain must still see that calls of this kind reach these services.
    for (service, admitted) in &reached {
        shared.chains.record_reached(call.chain, service, *admitted);
    }
    shared.counters.count(Counter::LevelRefused);
    Err(Refusal::not_run(Reason::Level))
}

/// Returns the delay before another attempt, or `None` if there must be none. Resending a ticket to
/// the same VM cannot start a second run. Neither that nor a retry after a VM that is draining or
/// unreachable uses an endpoint, so both spend no allowance.
fn retry_delay(
    shared: &Shared,
    call: &mut Call,
    refusal: &Refusal,
    resend: bool,
) -> Option<Duration> {
    if !call.payload.is_buffered() {
        return None;
    }
    let unavailable = matches!(refusal.reason, Reason::Draining | Reason::Connection);
    let connection_lost = resend && refusal.reason == Reason::Connection;
    if (connection_lost || (unavailable && refusal.execution == Execution::NotRun))
        && call.free_retries < MAX_FREE_RETRIES
    {
        call.free_retries += 1;
        // The first free retry is immediate; later ones wait, so that a connection that just failed
        // is not opened again at once.
        let delay = FREE_RETRY_DELAY_STEP * u32::from(call.free_retries - 1);
        return Some(delay);
    }
    let attempt = FailedAttempt {
        refusal: *refusal,
        idempotent: call.class.idempotent || resend,
        retries: call.attempts.saturating_sub(1),
        deadline: call.deadline,
    };
    let now = shared.clock.now();
    let mut budget = shared
        .retry_budget
        .lock()
        .expect("budget lock is never poisoned");
    attempt.retry_delay(now, &mut call.allowance, &mut budget, &mut rand::rng())
}

fn with_ticket(mut response: Response<Body>, ticket: Option<&Ticket>) -> Response<Body> {
    let value = ticket.and_then(|ticket| HeaderValue::from_str(&ticket.to_string()).ok());
    if let Some(value) = value {
        response.headers_mut().insert(header::TICKET, value);
    }
    response
}

/// Records the outcome of a call and builds its response.
fn finish_call(
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
        .recent_calls
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
