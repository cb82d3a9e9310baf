//! Runs a call at the endpoint on this VM.
//!
//! A call with a ticket runs in its own task and its response is stored, so that a resend can wait
//! for it or get it again. Other calls stream, and end when their caller disconnects.

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

use crate::admission::Slot;
use crate::chain::ReachedLevels;
use crate::chain_guard::{ChainGuard, ChainReport};
use crate::counter::Counter;
use crate::dispatch::MAX_FREE_RETRIES;
use crate::shared::Shared;
use crate::ticket::{self, Lookup, Outcome};

/// Longest response to a call with a ticket.
const MAX_STORED_RESPONSE_BYTES: usize = 1024 * 1024;

/// A call that reached the daemon in front of its endpoint.
#[derive(Debug)]
pub struct Job {
    pub meta: CallMeta,
    pub deadline: Instant,
    pub parts: Parts,
    pub body: Body,
}

/// How a call ended, and what is reported with the response.
#[derive(Debug)]
pub struct Finished {
    pub result: Result<Response<Body>, Refusal>,
    /// Extra attempts that were not spent.
    pub unspent: u8,
    pub reached: ReachedLevels,
}

impl Finished {
    fn refused(refusal: Refusal, unspent: u8) -> Self {
        Self {
            result: Err(refusal),
            unspent,
            reached: ReachedLevels::new(),
        }
    }
}

/// Runs a call, or returns the outcome of an earlier send with the same ticket.
pub async fn execute(shared: &Arc<Shared>, job: Job) -> Finished {
    let allowance = job.meta.allowance;
    match check(shared, &job) {
        Err(refusal) => Finished::refused(refusal, allowance),
        Ok((endpoint, None)) => run_streamed(shared, job, endpoint).await,
        Ok((endpoint, Some(ticket))) => run_once(shared, job, endpoint, ticket).await,
    }
}

/// Reads the ticket and checks that the endpoint on this VM serves the service of the call.
fn check(shared: &Shared, job: &Job) -> Result<(Announcement, Option<Ticket>), Refusal> {
    let ticket = match &job.meta.ticket {
        None => None,
        // A malformed ticket may belong to a call that ran.
        Some(text) => Some(text.parse().map_err(|_| Refusal::unknown(Reason::Ticket))?),
    };
    let endpoint = shared
        .admission
        .endpoint()
        .filter(|own| own.service == job.meta.service);
    match (endpoint, ticket) {
        (Some(endpoint), ticket) => Ok((endpoint, ticket)),
        (None, None) => Err(Refusal::not_run(Reason::NoEndpoint)),
        (None, Some(ticket)) => Err(void(shared, &ticket, Refusal::not_run(Reason::NoEndpoint))),
    }
}

/// Makes a ticket void, so that its call can no longer start. Returns `refusal`, or the reason why
/// the ticket cannot be made void, such as a call that has started.
fn void(shared: &Shared, ticket: &Ticket, refusal: Refusal) -> Refusal {
    match shared.tickets.void(shared.clock.wall(), ticket, refusal) {
        Ok(()) => {
            shared.counters.count(Counter::TicketVoids);
            refusal
        }
        Err(other) => other,
    }
}

/// Rebuilds the class that the entry gave the call.
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
    let request = CallRequest {
        id: shared.next_call_id(),
        class: class(&job.meta),
        deadline: job.deadline,
        bucket: job.meta.bucket,
    };
    shared.admission.acquire_slot(&request).await
}

/// Waits for a slot, then gets a connection to the endpoint.
async fn acquire(
    shared: &Arc<Shared>,
    job: &Job,
    endpoint: &Announcement,
) -> Result<(Slot, Connection), Refusal> {
    let slot = admit(shared, job).await?;
    let connection = connect(shared, job, endpoint).await?;
    Ok((slot, connection))
}

async fn run_streamed(shared: &Arc<Shared>, job: Job, endpoint: Announcement) -> Finished {
    let allowance = job.meta.allowance;
    let deadline = job.deadline;
    let acquired = acquire(shared, &job, &endpoint).await;
    let acquired = acquired.and_then(|(slot, connection)| {
        Ok((slot, connection, ChainGuard::new(shared, &job, allowance)?))
    });
    let (slot, connection, mut guard) = match acquired {
        Ok(acquired) => acquired,
        Err(refusal) => return Finished::refused(refusal, allowance),
    };
    let sent = send(shared, job, connection).await;
    let ChainReport { unspent, reached } = guard.take_report();
    let result = match sent {
        Ok(response) => Ok(hold_slot(response, slot, guard, deadline)),
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

/// Holds the slot and the chain until the response body has ended; the endpoint may make nested
/// calls while it streams.
fn hold_slot(
    response: Response<Body>,
    slot: Slot,
    guard: ChainGuard,
    deadline: Instant,
) -> Response<Body> {
    let ok = !response.status().is_server_error();
    let on_end = move |end| {
        if end == body::End::Failed {
            guard.shared.counters.count(Counter::EndpointBroken);
        }
        let late = guard.shared.clock.now() > deadline;
        slot.finish(ok && !late && end != body::End::Failed);
        drop(guard);
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
    let report = Arc::new(Mutex::new(ChainReport::default()));
    let resends = job.meta.extra_attempts.saturating_add(MAX_FREE_RETRIES);
    let waiter = match shared.tickets.find_or_insert(wall, &ticket, resends) {
        Lookup::Run(sender, waiter) => {
            let (shared, report) = (Arc::clone(shared), Arc::clone(&report));
            tokio::spawn(async move {
                tokio::select! {
                    () = start_once(&shared, job, endpoint, &ticket, &report) => {}
                    // Every caller gave up. `void` fails if the call was already sent.
                    () = void_if_abandoned(&shared, &sender, &ticket) => {}
                }
            });
            waiter
        }
        Lookup::Wait(waiter) => {
            shared.counters.count(Counter::TicketResends);
            report
                .lock()
                .expect("report lock is never poisoned")
                .unspent = allowance;
            waiter
        }
        Lookup::Known(outcome) => {
            shared.counters.count(Counter::TicketResends);
            return to_finished(
                outcome,
                ChainReport {
                    unspent: allowance,
                    reached: ReachedLevels::new(),
                },
            );
        }
        Lookup::Void => return Finished::refused(Refusal::not_run(Reason::Ticket), allowance),
    };
    let left = deadline.saturating_duration_since(shared.clock.now());
    match tokio::time::timeout(left, ticket::wait_for_outcome(waiter)).await {
        Ok(Some(outcome)) => {
            let report = report.lock().expect("report lock is never poisoned").take();
            to_finished(outcome, report)
        }
        Ok(None) => Finished::refused(Refusal::unknown(Reason::Connection), 0),
        Err(_) => Finished::refused(Refusal::unknown(Reason::Deadline), 0),
    }
}

/// Waits until no caller waits for the call any more, then makes its ticket void. Never returns if
/// the call has started.
async fn void_if_abandoned(
    shared: &Shared,
    sender: &tokio::sync::watch::Sender<Option<Outcome>>,
    ticket: &Ticket,
) {
    sender.closed().await;
    let refusal = Refusal::not_run(Reason::Deadline);
    let voided = shared.tickets.void(shared.clock.wall(), ticket, refusal);
    if voided.is_err() {
        // The call has started: it runs to its end, and a resend may still wait for it.
        std::future::pending::<()>().await;
    }
}

/// Waits for a slot, marks the ticket as started, runs the call and records its outcome.
async fn start_once(
    shared: &Arc<Shared>,
    job: Job,
    endpoint: Announcement,
    ticket: &Ticket,
    report: &Mutex<ChainReport>,
) {
    let allowance = job.meta.allowance;
    let deadline = job.deadline;
    let acquired = acquire(shared, &job, &endpoint).await;
    let acquired = acquired.and_then(|(slot, connection)| {
        Ok((
            slot,
            connection,
            shared.tickets.start(shared.clock.wall(), ticket)?,
        ))
    });
    let (slot, connection, max_extra) = match acquired {
        Ok(acquired) => acquired,
        Err(refusal) => {
            report
                .lock()
                .expect("report lock is never poisoned")
                .unspent = allowance;
            void(shared, ticket, refusal);
            return;
        }
    };
    let mut guard = match ChainGuard::new(shared, &job, allowance.min(max_extra)) {
        Ok(guard) => guard,
        // The start is recorded and cannot be undone.
        Err(refusal) => {
            shared
                .tickets
                .fail(ticket, Refusal::unknown(refusal.reason));
            return;
        }
    };
    let collected = match send(shared, job, connection).await {
        Ok(response) => collect(shared, response, deadline).await,
        Err(refusal) => Err(refusal),
    };
    *report.lock().expect("report lock is never poisoned") = guard.take_report();
    slot.finish(collected.is_ok());
    match collected {
        Ok(stored) => shared.tickets.finish(ticket, stored),
        Err(refusal) if refusal.execution == Execution::NotRun => {
            void(shared, ticket, refusal);
        }
        Err(refusal) => shared.tickets.fail(ticket, refusal),
    }
}

fn to_finished(outcome: Outcome, report: ChainReport) -> Finished {
    let result = match outcome {
        Outcome::Answered(stored) => Ok(to_response(&stored)),
        Outcome::Refused(refusal) => Err(refusal),
    };
    Finished {
        result,
        unspent: report.unspent,
        reached: report.reached,
    }
}

fn to_response(stored: &StoredResponse) -> Response<Body> {
    let mut response = Response::new(body::full(Bytes::copy_from_slice(&stored.body)));
    if let Ok(status) = http::StatusCode::from_u16(stored.status) {
        *response.status_mut() = status;
    }
    for (name, value) in &stored.headers {
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
    match tokio::time::timeout(left, body::read_whole(inner, MAX_STORED_RESPONSE_BYTES)).await {
        Ok(Some(whole)) => Ok(to_stored(&parts, &whole)),
        Ok(None) => {
            shared.counters.count(Counter::EndpointBroken);
            Err(Refusal::unknown(Reason::Connection))
        }
        Err(_) => Err(Refusal::unknown(Reason::Deadline)),
    }
}

fn to_stored(parts: &http::response::Parts, body: &[u8]) -> StoredResponse {
    let headers = parts.headers.iter();
    StoredResponse {
        status: parts.status.as_u16(),
        headers: headers
            .map(|(name, value)| (name.as_str().into(), value.as_bytes().into()))
            .collect(),
        body: body.into(),
    }
}

/// Gets an idle or new connection to the endpoint, then checks the deadline.
async fn connect(
    shared: &Shared,
    job: &Job,
    endpoint: &Announcement,
) -> Result<Connection, Refusal> {
    let connection = shared
        .endpoint
        .acquire(endpoint.address)
        .await
        .map_err(|_| Refusal::not_run(Reason::Connection))?;
    if shared.clock.now() >= job.deadline {
        return Err(Refusal::not_run(Reason::Deadline));
    }
    Ok(connection)
}

/// Sends the call to the endpoint.
async fn send(
    shared: &Arc<Shared>,
    job: Job,
    connection: Connection,
) -> Result<Response<Body>, Refusal> {
    shared.counters.count(Counter::EndpointRuns);
    let left = job.deadline.saturating_duration_since(shared.clock.now());
    let has_ticket = job.meta.ticket.is_some();
    let request = request(&job.meta, job.parts, job.body, left);
    let call = format!("{:016x}", shared.next_call_id());
    match tokio::time::timeout(left, connection.send(request, &call)).await {
        Ok(Ok(mut response)) => {
            caller::header::strip(response.headers_mut());
            Ok(response)
        }
        // Nothing was sent, but the start of a call with a ticket is recorded and cannot be undone.
        Ok(Err(ForwardError::Connect(_) | ForwardError::Closed)) if !has_ticket => {
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
