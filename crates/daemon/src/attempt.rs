//! One attempt of a call: chooses an endpoint, sends the call, and records the levels and load that
//! come back with the response.

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
use crate::dispatch::Call;
use crate::execute::{self, Job};
use crate::inbound;
use crate::shared::Shared;

/// The endpoint that one attempt is sent to.
#[derive(Debug)]
pub struct ChosenEndpoint {
    pub vm: VmId,
    pub address: SocketAddr,
    /// Ticket of a call that must run at most once.
    pub ticket: Option<Ticket>,
}

/// Why an attempt brought no response.
#[derive(Clone, Copy, Debug)]
pub enum Failure {
    /// The daemon in front of the endpoint refused the call, the connection failed after bytes had
    /// been sent, or no response came in time.
    Refused(Refusal),
    /// No byte of this attempt was sent.
    Unsent,
}

/// Returns the endpoint that `bound` names, or lets the balancer choose one. A call that must run
/// at most once gets a new ticket for the chosen endpoint.
pub fn choose_endpoint(
    shared: &Shared,
    call: &Call,
    bound: Option<&Ticket>,
    excluded: &[VmId],
) -> Result<ChosenEndpoint, Refusal> {
    let service = &call.target.service;
    if let Some(ticket) = bound {
        let address = shared.endpoint_address(service, &ticket.vm, ticket.incarnation);
        let address = address.ok_or(Refusal::unknown(Reason::Ticket))?;
        let vm = Arc::clone(&ticket.vm);
        return Ok(ChosenEndpoint {
            vm,
            address,
            ticket: Some(ticket.clone()),
        });
    }
    let no_endpoint = Refusal::not_run(Reason::NoEndpoint);
    let balancer = shared.balancer(service).ok_or(no_endpoint)?;
    let balancer = balancer.lock().expect("balancer lock is never poisoned");
    let now = shared.clock.now();
    let mut rng = rand::rng();
    // If every endpoint was tried, one of them may have recovered: choose among all again.
    let chosen = balancer
        .pick(now, excluded, &mut rng)
        .or_else(|| balancer.pick(now, &[], &mut rng))
        .ok_or(no_endpoint)?;
    let new_ticket = || {
        let vm = Arc::clone(&chosen.vm);
        Ticket::new(
            vm,
            chosen.incarnation,
            shared.clock.wall(),
            &mut rand::rng(),
        )
    };
    let ticket = (!call.class.idempotent).then(new_ticket);
    Ok(ChosenEndpoint {
        vm: Arc::clone(&chosen.vm),
        address: chosen.address,
        ticket,
    })
}

/// Sends one attempt and records what its response says about the endpoint.
pub async fn send(
    shared: &Arc<Shared>,
    call: &mut Call,
    chosen: &ChosenEndpoint,
) -> Result<Response<Body>, Failure> {
    let Some(payload) = call.payload.next_body() else {
        return Err(Failure::Refused(Refusal::unknown(Reason::Connection)));
    };
    call.attempts += 1;
    if call.attempts == 1 {
        shared
            .retry_budget
            .lock()
            .expect("budget lock is never poisoned")
            .record_call();
    }
    let now = shared.clock.now();
    let left = call.deadline.saturating_duration_since(now);
    if left.is_zero() {
        return Err(Failure::Unsent);
    }
    let lent_attempts = call.allowance.lend(call.allowance.left() / 2);
    let meta = call_meta(call, chosen, lent_attempts.count(), left);
    let in_flight = InFlight::new(shared, &call.target.service, &chosen.vm);
    let sent = if chosen.vm == *shared.vm() {
        send_to_own_endpoint(shared, call, meta, payload).await
    } else {
        send_to_peer(shared, call, chosen, &meta, payload, left).await
    };
    match sent {
        Ok((response, response_meta)) => {
            call.allowance
                .reclaim(lent_attempts, response_meta.allowance);
            record_response_meta(shared, call, &chosen.vm, &response_meta);
            in_flight.end(balancer_outcome(&response, &response_meta));
            match response_meta.refusal {
                None => Ok(response),
                Some(refusal) => Err(Failure::Refused(refusal)),
            }
        }
        Err(failure) => {
            match failure {
                Failure::Unsent => {
                    call.allowance.reclaim(lent_attempts, u8::MAX);
                    in_flight.end(Outcome::Connection);
                }
                Failure::Refused(Refusal {
                    reason: Reason::Deadline,
                    ..
                }) => {
                    in_flight.end(Outcome::Failed);
                }
                Failure::Refused(_) => in_flight.end(Outcome::Connection),
            }
            Err(failure)
        }
    }
}

fn call_meta(call: &Call, chosen: &ChosenEndpoint, allowance: u8, left: Duration) -> CallMeta {
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

/// Runs the call at the endpoint on this VM, without a hop to another daemon.
async fn send_to_own_endpoint(
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
    let finished = execute::execute(shared, job).await;
    let response_meta = inbound::response_meta(shared, &finished);
    let response = finished
        .result
        .unwrap_or_else(|_| Response::new(body::empty()));
    Ok((response, response_meta))
}

async fn send_to_peer(
    shared: &Arc<Shared>,
    call: &Call,
    chosen: &ChosenEndpoint,
    meta: &CallMeta,
    payload: Body,
    left: Duration,
) -> Result<(Response<Body>, ResponseMeta), Failure> {
    let request = request(shared, call, chosen.address, meta, payload);
    let mut response = match shared.pool.send(chosen.address, request, left).await {
        Ok(response) => response.map(body::boxed),
        Err(error) => {
            shared.counters.count(Counter::PeerFailures);
            return Err(to_failure(&error));
        }
    };
    match ResponseMeta::take(response.headers_mut()) {
        Ok(response_meta) => Ok((response, response_meta)),
        // The peer rejected the request of this daemon: wrong key, or another release.
        Err(_) if is_rejected(response.status()) => {
            Err(Failure::Refused(Refusal::not_run(Reason::Connection)))
        }
        Err(_) => Err(Failure::Refused(Refusal::unknown(Reason::Connection))),
    }
}

fn is_rejected(status: StatusCode) -> bool {
    matches!(status, StatusCode::UNAUTHORIZED | StatusCode::BAD_REQUEST)
}

const fn to_failure(error: &CallError) -> Failure {
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

fn balancer_outcome(response: &Response<Body>, response_meta: &ResponseMeta) -> Outcome {
    match response_meta.refusal {
        None if response.status().is_server_error() => Outcome::Failed,
        None => Outcome::Ok,
        Some(refusal) => match refusal.reason {
            Reason::Draining => Outcome::Draining,
            Reason::QueueFull | Reason::Level => Outcome::Refused,
            Reason::Deadline if refusal.execution == Execution::NotRun => Outcome::Refused,
            Reason::Ticket | Reason::Attempts | Reason::BadRequest | Reason::Home => Outcome::Ok,
            // The endpoint stopped without draining and may come back.
            Reason::NoEndpoint => Outcome::Connection,
            Reason::Deadline | Reason::Connection => Outcome::Failed,
        },
    }
}

/// Records the admission levels, load and draining flag that came with a response.
fn record_response_meta(shared: &Shared, call: &Call, vm: &VmId, response_meta: &ResponseMeta) {
    let now = shared.clock.now();
    let service = &call.target.service;
    let kind = &call.class.kind;
    let own_level: AdmissionLevel = response_meta.level.parse().unwrap_or(AdmissionLevel::FULL);
    let reached: Vec<(ServiceName, AdmissionLevel)> = response_meta
        .reached
        .split(',')
        .filter_map(|part| part.split_once('='))
        .filter_map(|(name, level)| Some((name.into(), level.parse().ok()?)))
        .collect();
    {
        let mut levels = shared.levels(kind);
        levels.observe(now, service, own_level);
        for (name, admitted) in &reached {
            levels.observe(now, name, *admitted);
        }
        let names: Vec<ServiceName> = reached.iter().map(|(name, _)| Arc::clone(name)).collect();
        if response_meta.refusal.is_none() {
            levels.observe_path(now, kind, service, &names);
        }
    }
    if let Some(balancer) = shared.balancer(service) {
        let mut balancer = balancer.lock().expect("balancer lock is never poisoned");
        balancer.observe_level(now, vm, own_level.level);
        balancer.observe_load(now, vm, f64::from(response_meta.load_percent) / 100.0);
        if response_meta.draining {
            balancer.mark_draining(now, vm);
        }
    }
    // For a nested call: the response to the parent call reports which services the chain reached.
    shared.chains.record_reached(call.chain, service, own_level);
    for (name, admitted) in &reached {
        shared.chains.record_reached(call.chain, name, *admitted);
    }
}

/// A call in flight. The balancer counts it until it ends or is dropped.
struct InFlight {
    balancer: Option<Arc<Mutex<Balancer>>>,
    shared: Arc<Shared>,
    vm: VmId,
    started: Instant,
    ended: bool,
}

impl InFlight {
    fn new(shared: &Arc<Shared>, service: &ServiceName, vm: &VmId) -> Self {
        let balancer = shared.balancer(service);
        let started = shared.clock.now();
        if let Some(balancer) = &balancer {
            balancer
                .lock()
                .expect("balancer lock is never poisoned")
                .call_started(started, vm);
        }
        let (shared, vm) = (Arc::clone(shared), Arc::clone(vm));
        Self {
            balancer,
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
        if let Some(balancer) = &self.balancer {
            let mut balancer = balancer.lock().expect("balancer lock is never poisoned");
            balancer.call_finished(now, &self.vm, outcome, latency, &mut rand::rng());
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(balancer) = self.balancer.as_ref().filter(|_| !self.ended) {
            balancer
                .lock()
                .expect("balancer lock is never poisoned")
                .call_cancelled(&self.vm);
        }
    }
}
