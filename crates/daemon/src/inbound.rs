//! Handles calls of other daemons to the endpoint on this VM.

use std::sync::Arc;

use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use peer::call::{self, CallMeta, ResponseMeta};
use peer::control::ControlService;
use policy::refusal::{Reason, Refusal};
use transport::{Body, body};

use crate::chain::ReachedLevels;
use crate::control::Control;
use crate::counter::Counter;
use crate::dispatch::MAX_COLLECTED_REQUEST_BYTES;
use crate::execute::{self, Finished, Job};
use crate::shared::Shared;

/// Handles a call of another daemon.
pub async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let key = request.headers().get(call::SHARED_KEY);
    if !key.is_some_and(|key| shared.keys.accepts_bearer(key)) {
        shared.counters.count(Counter::PeerUnauthorized);
        return empty_response(StatusCode::UNAUTHORIZED);
    }
    shared.counters.count(Counter::PeerCalls);
    let (parts, incoming) = request.into_parts();
    let Ok(meta) = CallMeta::read(&parts.headers) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    // A call that must run at most once starts only after its whole request was received.
    let payload = if meta.ticket.is_some() {
        let collecting = Limited::new(incoming, MAX_COLLECTED_REQUEST_BYTES).collect();
        let Ok(collected) = collecting.await else {
            // An earlier send of the ticket may have run.
            let refusal = Refusal::unknown(Reason::Connection);
            return respond(&shared, refused(refusal, meta.allowance));
        };
        body::full(collected.to_bytes())
    } else {
        body::boxed(incoming)
    };
    let deadline = shared.clock.now() + meta.time_left;
    let finished = execute::execute(
        &shared,
        Job {
            meta,
            deadline,
            parts,
            body: payload,
        },
    )
    .await;
    respond(&shared, finished)
}

/// Handles a control call of another daemon.
pub async fn handle_control(
    service: &ControlService<Control>,
    request: Request<Incoming>,
) -> Response<Body> {
    let (parts, payload) = service.handle(request).await.into_parts();
    // A control response is one small message, with the status in the trailers.
    match payload.collect().await {
        Ok(collected) => Response::from_parts(parts, body::boxed(collected)),
        Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn refused(refusal: Refusal, unspent: u8) -> Finished {
    Finished {
        result: Err(refusal),
        unspent,
        reached: ReachedLevels::new(),
    }
}

/// Returns the level, load and other state that this daemon reports with a response.
pub fn response_meta(shared: &Shared, finished: &Finished) -> ResponseMeta {
    let reached: Vec<String> = finished
        .reached
        .iter()
        .map(|(service, admitted)| format!("{service}={admitted}"))
        .collect();
    ResponseMeta {
        level: shared.admission.level().to_string(),
        reached: reached.join(","),
        allowance: finished.unspent,
        load_percent: shared.admission.load_percent(),
        draining: shared.admission.is_draining(),
        refusal: finished.result.as_ref().err().copied(),
    }
}

fn respond(shared: &Shared, finished: Finished) -> Response<Body> {
    let meta = response_meta(shared, &finished);
    let mut response = match finished.result {
        Ok(response) => response,
        Err(refusal) => empty_response(
            StatusCode::from_u16(refusal.reason.status())
                .unwrap_or(StatusCode::SERVICE_UNAVAILABLE),
        ),
    };
    meta.write(response.headers_mut());
    response
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = status;
    response
}
