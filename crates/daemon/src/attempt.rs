//! One attempt of a call: the choice of an endpoint, the send, and what is learned from the answer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use caller::header;
use http::{Request, Response, StatusCode, Uri, Version};
use peer::call::{self, CallMeta, ResponseMeta};
use peer::pool::CallError;
use policy::balancer::{Balancer, Outcome};
use policy::id::{ServiceName, VmId};
use policy::level::AdmissionLevel;
use policy::refusal::{Execution, Reason, Refusal};
use policy::ticket::Ticket;
use transport::{Body, body};

use crate::counter::Counter;
use crate::entry::Call;
use crate::inbound;
use crate::run::{self, Job};
use crate::shared::Shared;

/// An endpoint for one attempt.
#[derive(Debug)]
pub struct Chosen {
    pub vm: VmId,
    pub address: SocketAddr,
    /// Ticket of a call that must run at most once.
    pub ticket: Option<Ticket>,
}

/// Why an attempt brought no answer.
#[derive(Clone, Copy, Debug)]
pub enum Failure {
    /// The daemon of the endpoint said so, or bytes were lost on the way.
    Refused(Refusal),
    /// No byte of this attempt left.
    Unsent,
}

/// Chooses an endpoint, or the one that a ticket names.
pub fn choose(
    shared: &Shared,
    call: &Call,
    held: Option<&Ticket>,
    excluded: &[VmId],
) -> Result<Chosen, Refusal> {
    let service = &call.target.service;
    if let Some(ticket) = held {
        let address = shared.find(service, &ticket.vm, ticket.incarnation);
        let address = address.ok_or(Refusal::unknown(Reason::Ticket))?;
        let vm = Arc::clone(&ticket.vm);
        return Ok(Chosen {
            vm,
            address,
            ticket: Some(ticket.clone()),
        });
    }
    let none = Refusal::not_run(Reason::NoEndpoint);
    let router = shared.router(service).ok_or(none)?;
    let router = router.lock().expect("router lock is never poisoned");
    let now = shared.clock.now();
    let mut rng = rand::rng();
    // With every endpoint tried, one of them may have recovered.
    let chosen = router
        .pick(now, excluded, &mut rng)
        .or_else(|| router.pick(now, &[], &mut rng))
        .ok_or(none)?;
    let mint = || {
        let vm = Arc::clone(&chosen.vm);
        Ticket::new(
            vm,
            chosen.incarnation,
            shared.clock.wall(),
            &mut rand::rng(),
        )
    };
    let ticket = (!call.class.idempotent).then(mint);
    Ok(Chosen {
        vm: Arc::clone(&chosen.vm),
        address: chosen.address,
        ticket,
    })
}

/// Sends one attempt and learns from its answer.
pub async fn send(
    shared: &Arc<Shared>,
    call: &mut Call,
    chosen: &Chosen,
) -> Result<Response<Body>, Failure> {
    let Some(payload) = call.payload.next() else {
        return Err(Failure::Refused(Refusal::unknown(Reason::Connection)));
    };
    call.attempts += 1;
    if call.attempts == 1 {
        shared
            .budget
            .lock()
            .expect("budget lock is never poisoned")
            .record_call();
    }
    let now = shared.clock.now();
    let left = call.deadline.saturating_duration_since(now);
    if left.is_zero() {
        return Err(Failure::Unsent);
    }
    let part = call.allowance.lend(call.allowance.left() / 2);
    let meta = meta(call, chosen, part.count(), left);
    let flight = Flight::new(shared, &call.target.service, &chosen.vm);
    let sent = if chosen.vm == *shared.vm() {
        send_local(shared, call, meta, payload).await
    } else {
        send_remote(shared, call, chosen, &meta, payload, left).await
    };
    match sent {
        Ok((response, answer)) => {
            call.allowance.reclaim(part, answer.allowance);
            learn(shared, call, &chosen.vm, &answer);
            flight.end(outcome(&response, &answer));
            match answer.refusal {
                None => Ok(response),
                Some(refusal) => Err(Failure::Refused(refusal)),
            }
        }
        Err(failure) => {
            match failure {
                Failure::Unsent => {
                    call.allowance.reclaim(part, u8::MAX);
                    flight.end(Outcome::Connection);
                }
                Failure::Refused(Refusal {
                    reason: Reason::Deadline,
                    ..
                }) => {
                    flight.end(Outcome::Failed);
                }
                Failure::Refused(_) => flight.end(Outcome::Connection),
            }
            Err(failure)
        }
    }
}

fn meta(call: &Call, chosen: &Chosen, allowance: u8, left: Duration) -> CallMeta {
    let class = &call.class;
    CallMeta {
        service: Arc::clone(&call.target.service),
        kind: Arc::clone(&class.kind),
        customer: Arc::clone(&class.customer),
        weight: class.weight,
        rank: class.rank,
        line: class.line,
        asked_by: Arc::clone(&class.asked_by),
        bucket: call.bucket,
        extra_attempts: class.extra_attempts,
        allowance,
        time_left: left,
        chain: call.chain,
        call_id: call.id,
        ticket: chosen.ticket.as_ref().map(ToString::to_string),
    }
}

/// The endpoint is on this VM: the hop to another daemon is not needed.
async fn send_local(
    shared: &Arc<Shared>,
    call: &Call,
    meta: CallMeta,
    payload: Body,
) -> Result<(Response<Body>, ResponseMeta), Failure> {
    let job = Job {
        meta,
        deadline: call.deadline,
        parts: call.parts.clone(),
        body: payload,
    };
    let finished = run::run(shared, job).await;
    let answer = inbound::meta(shared, &finished);
    let response = finished
        .result
        .unwrap_or_else(|_| Response::new(body::empty()));
    Ok((response, answer))
}

async fn send_remote(
    shared: &Arc<Shared>,
    call: &Call,
    chosen: &Chosen,
    meta: &CallMeta,
    payload: Body,
    left: Duration,
) -> Result<(Response<Body>, ResponseMeta), Failure> {
    let request = request(shared, call, chosen.address, meta, payload);
    let mut response = match shared.pool.send(chosen.address, request, left).await {
        Ok(response) => response.map(body::boxed),
        Err(error) => {
            shared.counters.count(Counter::PeerFailures);
            return Err(failed(&error));
        }
    };
    match ResponseMeta::take(response.headers_mut()) {
        Ok(answer) => Ok((response, answer)),
        // The peer refused this daemon itself: wrong key, or another release.
        Err(_) if is_rejected(response.status()) => {
            Err(Failure::Refused(Refusal::not_run(Reason::Connection)))
        }
        Err(_) => Err(Failure::Refused(Refusal::unknown(Reason::Connection))),
    }
}

fn is_rejected(status: StatusCode) -> bool {
    matches!(status, StatusCode::UNAUTHORIZED | StatusCode::BAD_REQUEST)
}

const fn failed(error: &CallError) -> Failure {
    match error {
        CallError::Timeout => Failure::Refused(Refusal::unknown(Reason::Deadline)),
        _ if error.is_unsent() => Failure::Unsent,
        _ => Failure::Refused(Refusal::unknown(Reason::Connection)),
    }
}

fn request(
    shared: &Shared,
    call: &Call,
    address: SocketAddr,
    meta: &CallMeta,
    payload: Body,
) -> Request<Body> {
    let mut request = Request::new(payload);
    *request.method_mut() = call.parts.method.clone();
    *request.version_mut() = Version::HTTP_2;
    *request.uri_mut() = uri(address, &call.parts.uri);
    let headers = request.headers_mut();
    *headers = call.parts.headers.clone();
    header::strip(headers);
    headers.remove(http::header::HOST);
    meta.write(headers);
    headers.insert(call::SHARED_KEY, shared.keys.bearer().clone());
    request
}

fn uri(address: SocketAddr, original: &Uri) -> Uri {
    let path = original
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    let built = Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path);
    built.build().unwrap_or_default()
}

fn outcome(response: &Response<Body>, answer: &ResponseMeta) -> Outcome {
    match answer.refusal {
        None if response.status().is_server_error() => Outcome::Failed,
        None => Outcome::Ok,
        Some(refusal) => match refusal.reason {
            Reason::Draining => Outcome::Draining,
            Reason::QueueFull | Reason::Level => Outcome::Refused,
            Reason::Deadline if refusal.execution == Execution::NotRun => Outcome::Refused,
            Reason::Ticket | Reason::Attempts | Reason::BadRequest | Reason::Home => Outcome::Ok,
            // The endpoint left its daemon without a notice, and may come back.
            Reason::NoEndpoint => Outcome::Connection,
            Reason::Deadline | Reason::Connection => Outcome::Failed,
        },
    }
}

/// Takes the levels, load and notices of an answer.
fn learn(shared: &Shared, call: &Call, vm: &VmId, answer: &ResponseMeta) {
    let now = shared.clock.now();
    let service = &call.target.service;
    let kind = &call.class.kind;
    let own: AdmissionLevel = answer.level.parse().unwrap_or(AdmissionLevel::FULL);
    let reached: Vec<(ServiceName, AdmissionLevel)> = answer
        .reached
        .split(',')
        .filter_map(|part| part.split_once('='))
        .filter_map(|(name, level)| Some((name.into(), level.parse().ok()?)))
        .collect();
    {
        let mut levels = shared.levels(kind);
        levels.observe(now, service, own);
        for (name, admitted) in &reached {
            levels.observe(now, name, *admitted);
        }
        let names: Vec<ServiceName> = reached.iter().map(|(name, _)| Arc::clone(name)).collect();
        if answer.refusal.is_none() {
            levels.observe_path(now, kind, service, &names);
        }
    }
    if let Some(router) = shared.router(service) {
        let mut router = router.lock().expect("router lock is never poisoned");
        router.observe_level(now, vm, own.level);
        router.observe_load(now, vm, f64::from(answer.load_percent) / 100.0);
        if answer.draining {
            router.mark_draining(now, vm);
        }
    }
    // The endpoint on this VM made the call: its own answer tells what it reached.
    shared.chains.reach(call.chain, service, own);
    for (name, admitted) in &reached {
        shared.chains.reach(call.chain, name, *admitted);
    }
}

/// A call under way, counted by its router until it ends or is dropped.
struct Flight {
    router: Option<Arc<Mutex<Balancer>>>,
    shared: Arc<Shared>,
    vm: VmId,
    started: Instant,
    ended: bool,
}

impl Flight {
    fn new(shared: &Arc<Shared>, service: &ServiceName, vm: &VmId) -> Self {
        let router = shared.router(service);
        let started = shared.clock.now();
        if let Some(router) = &router {
            router
                .lock()
                .expect("router lock is never poisoned")
                .call_started(started, vm);
        }
        let (shared, vm) = (Arc::clone(shared), Arc::clone(vm));
        Self {
            router,
            shared,
            vm,
            started,
            ended: false,
        }
    }

    fn end(mut self, outcome: Outcome) {
        self.ended = true;
        let now = self.shared.clock.now();
        let latency = now.saturating_duration_since(self.started);
        if let Some(router) = &self.router {
            let mut router = router.lock().expect("router lock is never poisoned");
            router.call_finished(now, &self.vm, outcome, latency, &mut rand::rng());
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if let Some(router) = self.router.as_ref().filter(|_| !self.ended) {
            router
                .lock()
                .expect("router lock is never poisoned")
                .call_cancelled(&self.vm);
        }
    }
}
