//! Runs a call at the endpoint on this VM.
//!
//! A call with a ticket runs in a task of its own and its answer is collected, so that a resend can
//! wait for it or get it again. Other calls stream, and end when their caller goes.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use endpoint::announce::Announcement;
use endpoint::client::{Connection, ForwardError};
use http::request::Parts;
use http::{HeaderValue, Request, Response};
use peer::call::CallMeta;
use policy::admission::CallRequest;
use policy::refusal::{Execution, Reason, Refusal};
use policy::rule::Class;
use policy::ticket::{StoredResponse, Ticket};
use transport::{Body, body};

use crate::chain::Reached;
use crate::counter::Counter;
use crate::entry::MAX_MOVES;
use crate::gate::Slot;
use crate::shared::Shared;
use crate::ticket::{self, Entry, Outcome};
use crate::visit::{Settled, Visit};

/// Longest answer to a call with a ticket, in bytes.
const MAX_COLLECTED: usize = 1024 * 1024;

/// A call that was brought to the daemon of its endpoint.
#[derive(Debug)]
pub struct Job {
    pub meta: CallMeta,
    pub deadline: Instant,
    pub parts: Parts,
    pub body: Body,
}

/// How the call ended, and what goes back with the answer.
#[derive(Debug)]
pub struct Finished {
    pub result: Result<Response<Body>, Refusal>,
    pub unspent: u8,
    pub reached: Reached,
}

impl Finished {
    fn refused(refusal: Refusal, unspent: u8) -> Self {
        Self {
            result: Err(refusal),
            unspent,
            reached: Reached::new(),
        }
    }
}

/// Runs a call, or finds what became of an earlier send of it.
pub async fn run(shared: &Arc<Shared>, job: Job) -> Finished {
    let allowance = job.meta.allowance;
    match check(shared, &job) {
        Err(refusal) => Finished::refused(refusal, allowance),
        Ok((endpoint, None)) => run_streamed(shared, job, endpoint).await,
        Ok((endpoint, Some(ticket))) => run_once(shared, job, endpoint, ticket).await,
    }
}

fn check(shared: &Shared, job: &Job) -> Result<(Announcement, Option<Ticket>), Refusal> {
    let ticket = match &job.meta.ticket {
        None => None,
        // A ticket that cannot be read may name a call that ran.
        Some(text) => Some(text.parse().map_err(|_| Refusal::unknown(Reason::Ticket))?),
    };
    let endpoint = shared
        .gate
        .endpoint()
        .filter(|own| own.service == job.meta.service);
    match (endpoint, ticket) {
        (Some(endpoint), ticket) => Ok((endpoint, ticket)),
        (None, None) => Err(Refusal::not_run(Reason::NoEndpoint)),
        (None, Some(ticket)) => Err(void(shared, &ticket, Refusal::not_run(Reason::NoEndpoint))),
    }
}

/// Makes sure that a call cannot start any more. Returns what can be said of it then.
fn void(shared: &Shared, ticket: &Ticket, refusal: Refusal) -> Refusal {
    match shared.tickets.void(shared.clock.wall(), ticket, refusal) {
        Ok(()) => {
            shared.counters.count(Counter::TicketVoids);
            refusal
        }
        Err(other) => other,
    }
}

/// What the rules said of the call at its entry.
pub fn class(meta: &CallMeta) -> Class {
    Class {
        kind: Arc::clone(&meta.kind),
        rank: meta.rank,
        customer: Arc::clone(&meta.customer),
        weight: meta.weight,
        deadline: meta.time_left,
        extra_attempts: meta.allowance,
        idempotent: meta.ticket.is_none(),
        line: meta.line,
        asked_by: Arc::clone(&meta.asked_by),
    }
}

async fn admit(shared: &Arc<Shared>, job: &Job) -> Result<Slot, Refusal> {
    let offer = CallRequest {
        id: shared.next_call(),
        class: class(&job.meta),
        deadline: job.deadline,
        bucket: job.meta.bucket,
    };
    shared.gate.enter(&offer).await
}

/// Waits for a slot, then opens a connection to the endpoint.
async fn enter(
    shared: &Arc<Shared>,
    job: &Job,
    endpoint: &Announcement,
) -> Result<(Slot, Connection), Refusal> {
    let slot = admit(shared, job).await?;
    let ready = connect(shared, job, endpoint).await?;
    Ok((slot, ready))
}

async fn run_streamed(shared: &Arc<Shared>, job: Job, endpoint: Announcement) -> Finished {
    let allowance = job.meta.allowance;
    let deadline = job.deadline;
    let entered = enter(shared, &job, &endpoint).await;
    let entered =
        entered.and_then(|(slot, ready)| Ok((slot, ready, Visit::new(shared, &job, allowance)?)));
    let (slot, ready, mut visit) = match entered {
        Ok(entered) => entered,
        Err(refusal) => return Finished::refused(refusal, allowance),
    };
    let sent = send(shared, job, ready).await;
    let Settled { unspent, reached } = visit.settle();
    let result = match sent {
        Ok(response) => Ok(hold(response, slot, visit, deadline)),
        Err(refusal) => {
            slot.finish(false);
            Err(refusal)
        }
    };
    Finished {
        result,
        unspent,
        reached,
    }
}

/// Keeps the slot and the chain until the body of the answer ended; the endpoint may call others
/// while it streams.
fn hold(response: Response<Body>, slot: Slot, visit: Visit, deadline: Instant) -> Response<Body> {
    let ok = !response.status().is_server_error();
    let on_end = move |end| {
        if end == body::End::Failed {
            visit.shared.counters.count(Counter::EndpointBroken);
        }
        let late = visit.shared.clock.now() > deadline;
        slot.finish(ok && !late && end != body::End::Failed);
        drop(visit);
    };
    response.map(|inner| body::boxed(body::Guarded::new(inner, on_end)))
}

async fn run_once(
    shared: &Arc<Shared>,
    job: Job,
    endpoint: Announcement,
    ticket: Ticket,
) -> Finished {
    let allowance = job.meta.allowance;
    let deadline = job.deadline;
    let wall = shared.clock.wall();
    let settled = Arc::new(Mutex::new(Settled::default()));
    let resends = job.meta.extra_attempts.saturating_add(MAX_MOVES);
    let waiter = match shared.tickets.offer(wall, &ticket, resends) {
        Entry::Run(sender, waiter) => {
            let (shared, settled) = (Arc::clone(shared), Arc::clone(&settled));
            tokio::spawn(async move {
                tokio::select! {
                    () = start_once(&shared, job, endpoint, &ticket, &settled) => {}
                    // Every caller gave up. `void` fails if the bytes have left.
                    () = abandoned(&shared, &sender, &ticket) => {}
                }
            });
            waiter
        }
        Entry::Wait(waiter) => {
            shared.counters.count(Counter::TicketResends);
            settled
                .lock()
                .expect("settled lock is never poisoned")
                .unspent = allowance;
            waiter
        }
        Entry::Known(outcome) => {
            shared.counters.count(Counter::TicketResends);
            return finished(
                outcome,
                Settled {
                    unspent: allowance,
                    reached: Reached::new(),
                },
            );
        }
        Entry::Void => return Finished::refused(Refusal::not_run(Reason::Ticket), allowance),
    };
    let left = deadline.saturating_duration_since(shared.clock.now());
    match tokio::time::timeout(left, ticket::outcome(waiter)).await {
        Ok(Some(outcome)) => {
            let settled = settled
                .lock()
                .expect("settled lock is never poisoned")
                .take();
            finished(outcome, settled)
        }
        Ok(None) => Finished::refused(Refusal::unknown(Reason::Connection), 0),
        Err(_) => Finished::refused(Refusal::unknown(Reason::Deadline), 0),
    }
}

/// Returns once nobody waits for a call that has not started, and has made its ticket void.
async fn abandoned(
    shared: &Shared,
    sender: &tokio::sync::watch::Sender<Option<Outcome>>,
    ticket: &Ticket,
) {
    sender.closed().await;
    let refusal = Refusal::not_run(Reason::Deadline);
    let voided = shared.tickets.void(shared.clock.wall(), ticket, refusal);
    if voided.is_err() {
        // It has started: it runs to its end, and a resend may still wait for it.
        std::future::pending::<()>().await;
    }
}

async fn start_once(
    shared: &Arc<Shared>,
    job: Job,
    endpoint: Announcement,
    ticket: &Ticket,
    settled: &Mutex<Settled>,
) {
    let allowance = job.meta.allowance;
    let deadline = job.deadline;
    let entered = enter(shared, &job, &endpoint).await;
    let entered = entered.and_then(|(slot, ready)| {
        Ok((
            slot,
            ready,
            shared.tickets.start(shared.clock.wall(), ticket)?,
        ))
    });
    let (slot, ready, most) = match entered {
        Ok(entered) => entered,
        Err(refusal) => {
            settled
                .lock()
                .expect("settled lock is never poisoned")
                .unspent = allowance;
            void(shared, ticket, refusal);
            return;
        }
    };
    let mut visit = match Visit::new(shared, &job, allowance.min(most)) {
        Ok(visit) => visit,
        // The start is recorded and cannot be taken back.
        Err(refusal) => {
            shared
                .tickets
                .lose(ticket, Refusal::unknown(refusal.reason));
            return;
        }
    };
    let collected = match send(shared, job, ready).await {
        Ok(response) => collect(shared, response, deadline).await,
        Err(refusal) => Err(refusal),
    };
    *settled.lock().expect("settled lock is never poisoned") = visit.settle();
    slot.finish(collected.is_ok());
    match collected {
        Ok(answer) => shared.tickets.finish(ticket, answer),
        Err(refusal) if refusal.execution == Execution::NotRun => {
            void(shared, ticket, refusal);
        }
        Err(refusal) => shared.tickets.lose(ticket, refusal),
    }
}

fn finished(outcome: Outcome, settled: Settled) -> Finished {
    let result = match outcome {
        Outcome::Answered(answer) => Ok(response(&answer)),
        Outcome::Refused(refusal) => Err(refusal),
    };
    Finished {
        result,
        unspent: settled.unspent,
        reached: settled.reached,
    }
}

fn response(answer: &StoredResponse) -> Response<Body> {
    let mut response = Response::new(body::full(Bytes::copy_from_slice(&answer.body)));
    if let Ok(status) = http::StatusCode::from_u16(answer.status) {
        *response.status_mut() = status;
    }
    for (name, value) in &answer.headers {
        let name = http::HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

async fn collect(
    shared: &Shared,
    response: Response<Body>,
    deadline: Instant,
) -> Result<StoredResponse, Refusal> {
    let (parts, inner) = response.into_parts();
    let left = deadline.saturating_duration_since(shared.clock.now());
    match tokio::time::timeout(left, body::read_whole(inner, MAX_COLLECTED)).await {
        Ok(Some(whole)) => Ok(stored(&parts, &whole)),
        Ok(None) => {
            shared.counters.count(Counter::EndpointBroken);
            Err(Refusal::unknown(Reason::Connection))
        }
        Err(_) => Err(Refusal::unknown(Reason::Deadline)),
    }
}

fn stored(parts: &http::response::Parts, body: &[u8]) -> StoredResponse {
    let headers = parts.headers.iter();
    StoredResponse {
        status: parts.status.as_u16(),
        headers: headers
            .map(|(name, value)| (name.as_str().into(), value.as_bytes().into()))
            .collect(),
        body: body.into(),
    }
}

/// Opens a connection to the endpoint, and checks the deadline after that.
async fn connect(
    shared: &Shared,
    job: &Job,
    endpoint: &Announcement,
) -> Result<Connection, Refusal> {
    let ready = shared
        .endpoint
        .acquire(endpoint.address)
        .await
        .map_err(|_| Refusal::not_run(Reason::Connection))?;
    if shared.clock.now() >= job.deadline {
        return Err(Refusal::not_run(Reason::Deadline));
    }
    Ok(ready)
}

/// Sends the call to the endpoint.
async fn send(
    shared: &Arc<Shared>,
    job: Job,
    ready: Connection,
) -> Result<Response<Body>, Refusal> {
    shared.counters.count(Counter::EndpointRuns);
    let left = job.deadline.saturating_duration_since(shared.clock.now());
    let once = job.meta.ticket.is_some();
    let request = request(&job.meta, job.parts, job.body, left);
    let call = format!("{:016x}", shared.next_call());
    match tokio::time::timeout(left, ready.send(request, &call)).await {
        Ok(Ok(mut response)) => {
            caller::header::strip(response.headers_mut());
            Ok(response)
        }
        // Nothing left, but the start of a call with a ticket is recorded and stays so.
        Ok(Err(ForwardError::Connect(_) | ForwardError::Closed)) if !once => {
            Err(Refusal::not_run(Reason::Connection))
        }
        Ok(Err(error)) => {
            if matches!(error, ForwardError::IdMismatch) {
                shared.counters.count(Counter::EndpointBroken);
            }
            Err(Refusal::unknown(Reason::Connection))
        }
        Err(_) => Err(Refusal::unknown(Reason::Deadline)),
    }
}

fn request(meta: &CallMeta, parts: Parts, inner: Body, left: Duration) -> Request<Body> {
    let mut request = Request::new(inner);
    *request.method_mut() = parts.method;
    let path = parts
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() = parts.headers;
    let headers = request.headers_mut();
    caller::header::strip(headers);
    let values = [
        (http::header::HOST, meta.service.to_string()),
        (caller::header::CHAIN_ID, format!("{:032x}", meta.chain)),
        (caller::header::CUSTOMER, meta.customer.to_string()),
        (caller::header::DEADLINE, left.as_millis().to_string()),
    ];
    for (name, value) in values {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
    if let Some(Ok(value)) = meta.ticket.as_deref().map(HeaderValue::from_str) {
        headers.insert(caller::header::TICKET, value);
    }
    request
}
