//! HTTP interface for operators.
//!
//! Every path except `/health` requires a bearer key. Requests are not logged, because a log line
//! could contain the key.

use std::fmt::{self, Debug};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, BuildError, ConfigDropshot, ConfigLogging,
    ConfigLoggingLevel, ErrorStatusCode, HandlerTaskMode, HttpError, HttpResponseError,
    HttpResponseOk, HttpServer, Query, RawRequest, RequestContext, ServerBuilder, endpoint,
};
use http_body_util::{BodyExt, Limited};
use policy::id::Revision;
use serde::de::DeserializeOwned;

use crate::key::Keys;
use crate::message::{
    ApplyReply, DrainReply, DrainRequest, Edit, ExplainQuery, ExplainReply, HealthReply,
    HistoryReply, HomesReply, MembersReply, MetricsReply, Problem, ProblemKind, ReadyReply,
    ReassignRequest, ReportReply, RulesQuery, RulesReply, StatusReply,
};

#[cfg(test)]
mod tests;

/// Largest request body: a rules file of 1 MB with every character escaped.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Future of a reply that may wait for the platform.
pub type ReplyFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, Problem>> + Send + 'a>>;

/// Operations of the daemon that the interface serves.
///
/// Methods that return a [`ReplyFuture`] may read or write the platform. The others return data
/// that the daemon holds in memory and do not block.
pub trait Daemon: Debug + Send + Sync + 'static {
    /// Returns whether the daemon is ready.
    fn ready(&self) -> ReadyReply;

    /// Returns the members of the fleet as this daemon sees them.
    fn members(&self) -> MembersReply;

    /// Returns the text of the rules in force, or of an earlier revision. Fails with
    /// [`ProblemKind::UnknownRevision`] or [`ProblemKind::Platform`].
    fn rules(&self, revision: Option<Revision>) -> ReplyFuture<'_, RulesReply>;

    /// Returns the last changes of the rules, newest first.
    fn history(&self) -> ReplyFuture<'_, HistoryReply>;

    /// Applies an edit with [`crate::change::apply`] and compare-and-swap, at most once for each
    /// edit id. Fails with [`ProblemKind::Unconfirmed`] if a write may have taken effect and the
    /// value cannot be read back.
    fn apply(&self, edit: Edit) -> ReplyFuture<'_, ApplyReply>;

    /// Starts to drain this VM, or returns the progress of the drain.
    fn drain(&self, request: DrainRequest) -> ReplyFuture<'_, DrainReply>;

    /// Returns owner and successor of the home slots.
    fn homes(&self) -> HomesReply;

    /// Reassigns a home slot, after an operator has confirmed that its processes have exited.
    ///
    /// # Errors
    ///
    /// [`ProblemKind::Conflict`] if the slot has changed or one of the processes is alive.
    fn reassign(&self, request: ReassignRequest) -> Result<HomesReply, Problem>;

    /// Explains why a customer, a kind or a call was served or refused. Implementations extend
    /// [`ExplainReply::new`].
    fn explain(&self, query: &ExplainQuery) -> ExplainReply;

    /// Returns the burn rates of the calls for which this daemon is the entry.
    fn report(&self) -> ReportReply;

    /// Returns the state of the daemon.
    fn status(&self) -> StatusReply;

    /// Returns the counters since the start.
    fn metrics(&self) -> MetricsReply;
}

/// Handle of the running interface. Dropping it stops the listener.
pub struct Server {
    http: HttpServer<Context>,
}

/// Error when the interface starts.
#[derive(Debug)]
pub enum ServerError {
    /// A path is registered twice.
    Paths(ApiDescriptionRegisterError),
    /// The listener cannot be bound to the address.
    Listen(SocketAddr, Box<BuildError>),
    /// The logger of the HTTP library cannot be created.
    Log(std::io::Error),
}

impl fmt::Display for ServerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Paths(error) => write!(f, "operator paths conflict: {error}; report this bug"),
            Self::Listen(address, error) => write!(
                f,
                "cannot listen for operators on {address}: {error}; set a free address of this VM"
            ),
            Self::Log(error) => write!(f, "cannot log: {error}; check that stderr is open"),
        }
    }
}

impl std::error::Error for ServerError {}

impl Server {
    /// Listens on `address` and serves `daemon` to operators with one of `keys`.
    ///
    /// # Errors
    ///
    /// Fails when the listener cannot be bound to the address.
    pub fn start(
        address: SocketAddr,
        keys: Keys,
        daemon: Arc<dyn Daemon>,
    ) -> Result<Self, ServerError> {
        let config = ConfigDropshot {
            bind_address: address,
            default_request_body_max_bytes: MAX_BODY_BYTES,
            // An edit runs to completion even if the operator's connection breaks.
            default_handler_task_mode: HandlerTaskMode::Detached,
            ..ConfigDropshot::default()
        };
        let logging = ConfigLogging::StderrTerminal {
            level: ConfigLoggingLevel::Critical,
        };
        let log = logging.to_logger("operator").map_err(ServerError::Log)?;
        let paths = api_description().map_err(ServerError::Paths)?;
        let http = ServerBuilder::new(paths, Context { keys, daemon }, log)
            .config(config)
            .start()
            .map_err(|error| ServerError::Listen(address, Box::new(error)))?;
        Ok(Self { http })
    }

    /// Returns the address that the interface listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.http.local_addr()
    }

    /// Finishes the requests in flight and closes the listener.
    pub async fn close(self) {
        if let Err(error) = self.http.close().await {
            log::warn!("operator interface did not close cleanly: {error}");
        }
    }
}

impl Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server")
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}

#[derive(Debug)]
struct Context {
    keys: Keys,
    daemon: Arc<dyn Daemon>,
}

type Request = RequestContext<Context>;
type HandlerResult<T> = Result<HttpResponseOk<T>, Problem>;

fn api_description() -> Result<ApiDescription<Context>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(get_health)?;
    api.register(get_ready)?;
    api.register(get_members)?;
    api.register(get_rules)?;
    api.register(post_rules)?;
    api.register(get_history)?;
    api.register(get_explain)?;
    api.register(get_report)?;
    api.register(get_status)?;
    api.register(get_metrics)?;
    api.register(post_drain)?;
    api.register(get_homes)?;
    api.register(post_homes)?;
    Ok(api)
}

fn authorize(request: &Request) -> Result<&dyn Daemon, Problem> {
    let Context { keys, daemon } = request.context();
    let header = request.request.headers().get(http::header::AUTHORIZATION);
    if keys.authorizes(header.map(http::HeaderValue::as_bytes)) {
        Ok(&**daemon)
    } else {
        Err(Problem::new(
            ProblemKind::Unauthorized,
            "the operator key is missing or not accepted; pass --key-file with a key of this fleet",
        ))
    }
}

/// Reads a body as JSON.
///
/// The typed bodies of the HTTP library are not used, because it reads them before the handler can
/// check the key.
async fn decode<T: DeserializeOwned>(request: RawRequest) -> Result<T, Problem> {
    let body = Limited::new(request.into_inner().into_body(), MAX_BODY_BYTES);
    let body = body.collect().await.map_err(|error| {
        let message =
            format!("the body cannot be read: {error}; send at most {MAX_BODY_BYTES} bytes");
        Problem::new(ProblemKind::BadRequest, message)
    })?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| {
        let message =
            format!("the body is not a valid request: {error}; use a client of this version");
        Problem::new(ProblemKind::BadRequest, message)
    })
}

/// Replies as long as the process runs. Needs no key.
#[endpoint { method = GET, path = "/health" }]
async fn get_health(_request: Request) -> HandlerResult<HealthReply> {
    Ok(HttpResponseOk(HealthReply { alive: true }))
}

/// Returns whether the daemon is ready.
#[endpoint { method = GET, path = "/ready" }]
async fn get_ready(request: Request) -> HandlerResult<ReadyReply> {
    Ok(HttpResponseOk(authorize(&request)?.ready()))
}

/// Returns the members of the fleet.
#[endpoint { method = GET, path = "/members" }]
async fn get_members(request: Request) -> HandlerResult<MembersReply> {
    Ok(HttpResponseOk(authorize(&request)?.members()))
}

/// Returns the text of the rules.
#[endpoint { method = GET, path = "/rules" }]
async fn get_rules(request: Request, query: Query<RulesQuery>) -> HandlerResult<RulesReply> {
    let daemon = authorize(&request)?;
    let reply = daemon.rules(query.into_inner().revision).await?;
    Ok(HttpResponseOk(reply))
}

/// Applies an edit of the rules.
#[endpoint { method = POST, path = "/rules" }]
async fn post_rules(request: Request, body: RawRequest) -> HandlerResult<ApplyReply> {
    let daemon = authorize(&request)?;
    Ok(HttpResponseOk(daemon.apply(decode(body).await?).await?))
}

/// Returns the last changes of the rules.
#[endpoint { method = GET, path = "/history" }]
async fn get_history(request: Request) -> HandlerResult<HistoryReply> {
    Ok(HttpResponseOk(authorize(&request)?.history().await?))
}

/// Explains why a customer, a kind or a call was served or refused.
#[endpoint { method = GET, path = "/explain" }]
async fn get_explain(request: Request, query: Query<ExplainQuery>) -> HandlerResult<ExplainReply> {
    let daemon = authorize(&request)?;
    Ok(HttpResponseOk(daemon.explain(&query.into_inner())))
}

/// Returns the burn rates of the error budgets.
#[endpoint { method = GET, path = "/report" }]
async fn get_report(request: Request) -> HandlerResult<ReportReply> {
    Ok(HttpResponseOk(authorize(&request)?.report()))
}

/// Returns the state of the daemon.
#[endpoint { method = GET, path = "/status" }]
async fn get_status(request: Request) -> HandlerResult<StatusReply> {
    Ok(HttpResponseOk(authorize(&request)?.status()))
}

/// Returns the counters since the start.
#[endpoint { method = GET, path = "/metrics" }]
async fn get_metrics(request: Request) -> HandlerResult<MetricsReply> {
    Ok(HttpResponseOk(authorize(&request)?.metrics()))
}

/// Drains the VM, or returns the progress.
#[endpoint { method = POST, path = "/drain" }]
async fn post_drain(request: Request, body: RawRequest) -> HandlerResult<DrainReply> {
    let daemon = authorize(&request)?;
    Ok(HttpResponseOk(daemon.drain(decode(body).await?).await?))
}

/// Returns owner and successor of the home slots.
#[endpoint { method = GET, path = "/homes" }]
async fn get_homes(request: Request) -> HandlerResult<HomesReply> {
    Ok(HttpResponseOk(authorize(&request)?.homes()))
}

/// Reassigns a home slot whose processes have exited.
#[endpoint { method = POST, path = "/homes" }]
async fn post_homes(request: Request, body: RawRequest) -> HandlerResult<HomesReply> {
    let daemon = authorize(&request)?;
    Ok(HttpResponseOk(daemon.reassign(decode(body).await?)?))
}

impl HttpResponseError for Problem {
    fn status_code(&self) -> ErrorStatusCode {
        ErrorStatusCode::from_u16(self.kind.status())
            .unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}

impl From<HttpError> for Problem {
    fn from(error: HttpError) -> Self {
        let status = error.status_code.as_u16();
        let kind = match status {
            404 => ProblemKind::NotFound,
            413 => ProblemKind::TooLarge,
            400..500 => ProblemKind::BadRequest,
            _ => ProblemKind::Internal,
        };
        Self::new(kind, error.external_message)
    }
}
