//! Handles the paths on the callers' listener that are reserved for the daemon itself:
//! announcements of the endpoint on this VM, and tickets for callers.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use endpoint::announce::{ANNOUNCE_PATH, Announcement, DRAIN_PATH, REPORT_PATH, Report};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use policy::ticket::Ticket;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use transport::{Body, body};

use crate::cluster::Cluster;
use crate::shared::Shared;

/// Prefix of the reserved paths.
pub const RESERVED_PREFIX: &str = "/.sapphiredoor/";
/// Path at which callers get tickets.
pub const TICKETS_PATH: &str = "/.sapphiredoor/tickets";
/// Longest request body on a reserved path.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Tickets issued for one request.
const MAX_TICKETS_PER_REQUEST: u16 = 256;
/// Time in which the request body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// A request for tickets.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketRequest {
    service: String,
    #[serde(default = "one")]
    count: u16,
}

const fn one() -> u16 {
    1
}

#[derive(Debug)]
#[derive(Serialize)]
struct TicketReply {
    tickets: Vec<String>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

/// Handles a request to a reserved path.
pub async fn handle(
    cluster: &Arc<Cluster>,
    request: Request<Incoming>,
    from: SocketAddr,
) -> Response<Body> {
    let shared = &cluster.shared;
    let path = request.uri().path().to_owned();
    if request.method() != Method::POST {
        return error_response(StatusCode::METHOD_NOT_ALLOWED, "use POST");
    }
    let same_vm = from.ip().is_loopback() || from.ip() == own_ip(shared);
    let from_endpoint = matches!(path.as_str(), ANNOUNCE_PATH | REPORT_PATH | DRAIN_PATH);
    if from_endpoint && !same_vm {
        return error_response(
            StatusCode::FORBIDDEN,
            "only the endpoint on this VM may use this path: call the daemon on your own VM",
        );
    }
    match path.as_str() {
        ANNOUNCE_PATH => match read_json::<Announcement>(request).await {
            Ok(announcement) => {
                if shared
                    .admission
                    .apply_announcement(announcement, &shared.rules.load())
                {
                    shared.request_publish();
                }
                no_content()
            }
            Err(response) => *response,
        },
        REPORT_PATH => match read_json::<Report>(request).await {
            Ok(report) => {
                shared.admission.apply_report(report);
                no_content()
            }
            Err(response) => *response,
        },
        DRAIN_PATH => {
            cluster.drain("endpoint");
            no_content()
        }
        TICKETS_PATH => match read_json::<TicketRequest>(request).await {
            Ok(ticket_request) => issue_tickets(shared, &ticket_request),
            Err(response) => *response,
        },
        _ => error_response(
            StatusCode::NOT_FOUND,
            "the daemon has no such path: use a client of the daemon's version",
        ),
    }
}

fn issue_tickets(shared: &Shared, ticket_request: &TicketRequest) -> Response<Body> {
    let now = shared.clock.now();
    let Some(balancer) = shared.balancer(&ticket_request.service) else {
        return error_response(
            StatusCode::NOT_FOUND,
            "no endpoint of the service is known: check the service name",
        );
    };
    let balancer = balancer.lock().expect("balancer lock is never poisoned");
    let mut rng = rand::rng();
    let tickets: Vec<String> = (0..ticket_request.count.clamp(1, MAX_TICKETS_PER_REQUEST))
        .filter_map(|_| balancer.pick(now, &[], &mut rng).cloned())
        .map(|chosen| {
            let wall = shared.clock.wall();
            Ticket::new(chosen.vm, chosen.incarnation, wall, &mut rand::rng()).to_string()
        })
        .collect();
    if tickets.is_empty() {
        return error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "no endpoint takes calls: try again",
        );
    }
    json(StatusCode::OK, &TicketReply { tickets })
}

async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Box<Response<Body>>> {
    let bad_request = |error: &str| Box::new(error_response(StatusCode::BAD_REQUEST, error));
    let collecting = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
    let collected = tokio::time::timeout(BODY_TIMEOUT, collecting)
        .await
        .map_err(|_| bad_request("the body did not arrive in time: send it again"))?
        .map_err(|error| {
            bad_request(&format!(
                "the body cannot be read ({error}): send at most 64 KiB"
            ))
        })?;
    serde_json::from_slice(&collected.to_bytes()).map_err(|error| {
        bad_request(&format!(
            "the body is malformed ({error}): correct the JSON"
        ))
    })
}

fn own_ip(shared: &Shared) -> IpAddr {
    shared.settings.caller_address.ip()
}

fn no_content() -> Response<Body> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = StatusCode::NO_CONTENT;
    response
}

fn error_response(status: StatusCode, error: &str) -> Response<Body> {
    json(
        status,
        &ErrorBody {
            error: error.into(),
        },
    )
}

fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let mut response = Response::new(body::full(serde_json::to_vec(value).unwrap_or_default()));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}
