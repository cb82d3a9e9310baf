//! Operators' HTTP interface.
//!
//! Every path but `/health` asks for a bearer key. Requests are not logged, because a log line of a
//! request could carry the key.

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

/// Largest request body, in bytes: a rules file of 1 MB with every character escaped.
const MAX_BODY: usize = 2 * 1024 * 1024;

/// Answer that may wait for the platform.
pub type ReplyFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, Problem>> + Send + 'a>>;

/// What the interface asks of the daemon that it belongs to.
///
/// The methods that return an [`Answer`] may read or write the platform. The others return what
/// the daemon holds in memory and do not block.
pub trait Daemon: Debug + Send + Sync + 'static {
    /// Whether the daemon can serve.
    fn ready(&self) -> ReadyReply;

    /// Members of the fleet as this daemon sees them.
    fn members(&self) -> MembersReply;

    /// Text of the rules in force, or of an earlier revision. Fails with
    /// [`ProblemKind::UnknownRevision`] or [`ProblemKind::Platform`].
    fn rules(&self, revision: Option<Revision>) -> ReplyFuture<'_, RulesReply>;

    /// The last changes of the rules, newest first.
    fn history(&self) -> ReplyFuture<'_, HistoryReply>;

    /// Applies an edit by compare-and-swap with [`crate::change::apply`], at most once for each
    /// edit id. Fails with [`ProblemKind::Unconfirmed`] if a write may have taken effect and cannot
    /// be read back.
    fn apply(&self, edit: Edit) -> ReplyFuture<'_, ApplyReply>;

    /// Starts to drain this VM, or reports the progress of a drain.
    fn drain(&self, request: DrainRequest) -> ReplyFuture<'_, DrainReply>;

    /// Holders of the home slots.
    fn homes(&self) -> HomesReply;

    /// Takes an operator's word that the processes of a home slot have ended.
    ///
    /// # Errors
    ///
    /// [`ProblemKind::Conflict`] if the slot has changed or one of them is alive.
    fn reassign(&self, request: ReassignRequest) -> Result<HomesReply, Problem>;

    /// Why a customer, a kind or a call was served or refused. Starts from [`ExplainReply::new`].
    fn explain(&self, query: &ExplainQuery) -> ExplainReply;

    /// Service-level burn of the calls that entered at this daemon.
    fn report(&self) -> ReportReply;

    /// State of the daemon.
    fn status(&self) -> StatusReply;

    /// Counters since the start.
    fn metrics(&self) -> MetricsReply;
}

/// The running interface. Dropping it stops the listener.
pub struct Server {
    http: HttpServer<Context>,
}

/// Why the interface cannot start.
#[derive(Debug)]
pub enum ServerError {
    /// A path is registered twice.
    Paths(ApiDescriptionRegisterError),
    /// The address cannot be used.
    Listen(SocketAddr, Box<BuildError>),
    /// The logger of the HTTP library cannot be made.
    Log(std::io::Error),
}

impl fmt::Display for ServerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Paths(error) => write!(f, "operator paths clash: {error}; report this fault"),
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
    /// Listens on `address` and answers with what `daemon` knows.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be used.
    pub fn start(
        address: SocketAddr,
        keys: Keys,
        daemon: Arc<dyn Daemon>,
    ) -> Result<Self, ServerError> {
        let config = ConfigDropshot {
            bind_address: address,
            default_request_body_max_bytes: MAX_BODY,
            // An edit runs to its end when the operator's connection breaks.
            default_handler_task_mode: HandlerTaskMode::Detached,
            ..ConfigDropshot::default()
        };
        let logging = ConfigLogging::StderrTerminal {
            level: ConfigLoggingLevel::Critical,
        };
        let log = logging.to_logger("operator").map_err(ServerError::Log)?;
        let paths = paths().map_err(ServerError::Paths)?;
        let http = ServerBuilder::new(paths, Context { keys, daemon }, log)
            .config(config)
            .start()
            .map_err(|error| ServerError::Listen(address, Box::new(error)))?;
        Ok(Self { http })
    }

    /// Address that the interface listens on.
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
type Reply<T> = Result<HttpResponseOk<T>, Problem>;

fn paths() -> Result<ApiDescription<Context>, ApiDescriptionRegisterError> {
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
/// The typed bodies of the HTTP library are read before the handler runs, and so before the key is
/// checked.
async fn decode<T: DeserializeOwned>(request: RawRequest) -> Result<T, Problem> {
    let body = Limited::new(request.into_inner().into_body(), MAX_BODY);
    let body = body.collect().await.map_err(|error| {
        let message = format!("the body cannot be read: {error}; send at most {MAX_BODY} bytes");
        Problem::new(ProblemKind::BadRequest, message)
    })?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| {
        let message = format!("the body is not understood: {error}; use a client of this version");
        Problem::new(ProblemKind::BadRequest, message)
    })
}

/// Answers while the process runs.
#[endpoint { method = GET, path = "/health" }]
async fn get_health(_request: Request) -> Reply<HealthReply> {
    Ok(HttpResponseOk(HealthReply { alive: true }))
}

/// Whether the daemon can serve.
#[endpoint { method = GET, path = "/ready" }]
async fn get_ready(request: Request) -> Reply<ReadyReply> {
    Ok(HttpResponseOk(authorize(&request)?.ready()))
}

/// Members of the fleet.
#[endpoint { method = GET, path = "/members" }]
async fn get_members(request: Request) -> Reply<MembersReply> {
    Ok(HttpResponseOk(authorize(&request)?.members()))
}

/// Text of the rules.
#[endpoint { method = GET, path = "/rules" }]
async fn get_rules(request: Request, query: Query<RulesQuery>) -> Reply<RulesReply> {
    let daemon = authorize(&request)?;
    let reply = daemon.rules(query.into_inner().revision).await?;
    Ok(HttpResponseOk(reply))
}

/// Applies an edit of the rules.
#[endpoint { method = POST, path = "/rules" }]
async fn post_rules(request: Request, body: RawRequest) -> Reply<ApplyReply> {
    let daemon = authorize(&request)?;
    Ok(HttpResponseOk(daemon.apply(decode(body).await?).await?))
}

/// The last changes of the rules.
#[endpoint { method = GET, path = "/history" }]
async fn get_history(request: Request) -> Reply<HistoryReply> {
    Ok(HttpResponseOk(authorize(&request)?.history().await?))
}

/// Why a customer, a kind or a call was served or refused.
#[endpoint { method = GET, path = "/explain" }]
async fn get_explain(request: Request, query: Query<ExplainQuery>) -> Reply<ExplainReply> {
    let daemon = authorize(&request)?;
    Ok(HttpResponseOk(daemon.explain(&query.into_inner())))
}

/// Service-level burn.
#[endpoint { method = GET, path = "/report" }]
async fn get_report(request: Request) -> Reply<ReportReply> {
    Ok(HttpResponseOk(authorize(&request)?.report()))
}

/// State of the daemon.
#[endpoint { method = GET, path = "/status" }]
async fn get_status(request: Request) -> Reply<StatusReply> {
    Ok(HttpResponseOk(authorize(&request)?.status()))
}

/// Counters since the start.
#[endpoint { method = GET, path = "/metrics" }]
async fn get_metrics(request: Request) -> Reply<MetricsReply> {
    Ok(HttpResponseOk(authorize(&request)?.metrics()))
}

/// Drains the VM.
#[endpoint { method = POST, path = "/drain" }]
async fn post_drain(request: Request, body: RawRequest) -> Reply<DrainReply> {
    let daemon = authorize(&request)?;
    Ok(HttpResponseOk(daemon.drain(decode(body).await?).await?))
}

/// Holders of the home slots.
#[endpoint { method = GET, path = "/homes" }]
async fn get_homes(request: Request) -> Reply<HomesReply> {
    Ok(HttpResponseOk(authorize(&request)?.homes()))
}

/// Confirms that the processes of a home slot have ended.
#[endpoint { method = POST, path = "/homes" }]
async fn post_homes(request: Request, body: RawRequest) -> Reply<HomesReply> {
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
