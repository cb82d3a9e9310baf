//! Calls that other daemons bring to the endpoint on this VM.

use std::sync::Arc;

use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use peer::call::{self, CallMeta, ResponseMeta};
use peer::control::ControlService;
use policy::refusal::{Reason, Refusal};
use transport::{Body, body};

use crate::chain::Reached;
use crate::control::Control;
use crate::counter::Counter;
use crate::entry::MAX_COLLECTED_REQUEST;
use crate::run::{self, Finished, Job};
use crate::shared::Shared;

/// Answers a call of another daemon.
pub async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let key = request.headers().get(call::SHARED_KEY);
    if !key.is_some_and(|key| shared.keys.accepts_bearer(key)) {
        shared.counters.count(Counter::PeerUnauthorized);
        return status(StatusCode::UNAUTHORIZED);
    }
    shared.counters.count(Counter::PeerCalls);
    let (parts, incoming) = request.into_parts();
    let Ok(meta) = CallMeta::read(&parts.headers) else {
        return status(StatusCode::BAD_REQUEST);
    };
    // A run that must not repeat starts only with its whole request.
    let inner = if meta.ticket.is_some() {
        let collecting = Limited::new(incoming, MAX_COLLECTED_REQUEST).collect();
        let Ok(collected) = collecting.await else {
            // An earlier send of the ticket may have run.
            let refusal = Refusal::unknown(Reason::Connection);
            return answer(&shared, refused(refusal, meta.allowance));
        };
        body::full(collected.to_bytes())
    } else {
        body::boxed(incoming)
    };
    let deadline = shared.clock.now() + meta.time_left;
    let finished = run::run(
        &shared,
        Job {
            meta,
            deadline,
            parts,
            body: inner,
        },
    )
    .await;
    answer(&shared, finished)
}

/// Answers a control call of another daemon.
pub async fn control(
    service: &ControlService<Control>,
    request: Request<Incoming>,
) -> Response<Body> {
    let (parts, inner) = service.handle(request).await.into_parts();
    // Control answers are one small message and the status in the trailers.
    match inner.collect().await {
        Ok(collected) => Response::from_parts(parts, body::boxed(collected)),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn refused(refusal: Refusal, unspent: u8) -> Finished {
    Finished {
        result: Err(refusal),
        unspent,
        reached: Reached::new(),
    }
}

/// What this daemon reports of itself with an answer.
pub fn meta(shared: &Shared, finished: &Finished) -> ResponseMeta {
    let reached: Vec<String> = finished
        .reached
        .iter()
        .map(|(service, admitted)| format!("{service}={admitted}"))
        .collect();
    ResponseMeta {
        level: shared.gate.level().to_string(),
        reached: reached.join(","),
        allowance: finished.unspent,
        load_percent: shared.gate.load_percent(),
        draining: shared.gate.is_draining(),
        refusal: finished.result.as_ref().err().copied(),
    }
}

fn answer(shared: &Shared, finished: Finished) -> Response<Body> {
    let meta = meta(shared, &finished);
    let mut response = match finished.result {
        Ok(response) => response,
        Err(refusal) => status(
            StatusCode::from_u16(refusal.reason.status())
                .unwrap_or(StatusCode::SERVICE_UNAVAILABLE),
        ),
    };
    meta.write(response.headers_mut());
    response
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = status;
    response
}
