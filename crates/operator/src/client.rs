//! Client of the operator interface.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use policy::id::Revision;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::message::{
    ApplyReply, DrainReply, DrainRequest, Edit, ExplainQuery, ExplainReply, HealthReply,
    HistoryReply, HomesReply, MembersReply, MetricsReply, Problem, ProblemKind, ReadyReply,
    ReassignRequest, ReportReply, RulesQuery, RulesReply, StatusReply,
};

#[cfg(test)]
mod tests;

/// Default timeout of a request. The daemon may have to wait for the platform.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest reply accepted.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Client of the operator interface of one daemon.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    authorization: HeaderValue,
    timeout: Duration,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// Error of a request.
#[derive(Debug)]
pub enum ClientError {
    /// The key has characters that a header cannot carry.
    InvalidKey,
    /// No connection to the daemon could be opened.
    Connect(SocketAddr, legacy::Error),
    /// The connection broke or the timeout expired after the request was sent. It may have taken
    /// effect.
    NoReply(SocketAddr, String),
    /// The reply cannot be parsed.
    InvalidReply(SocketAddr, String),
    /// The daemon reports a problem.
    Problem(Problem),
}

impl ClientError {
    /// Returns whether the request may have taken effect.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::NoReply(..) | Self::InvalidReply(..) => true,
            Self::Problem(problem) => {
                matches!(
                    problem.kind,
                    ProblemKind::Unconfirmed | ProblemKind::Internal
                )
            }
            Self::InvalidKey | Self::Connect(..) => false,
        }
    }

    /// Returns whether the error proves that the request has no effect, even if it was sent before.
    /// An unknown revision is no proof: the history may have dropped the change that an earlier
    /// send made.
    #[must_use]
    pub const fn rules_out_effect(&self) -> bool {
        match self {
            Self::Problem(problem) => matches!(
                problem.kind,
                ProblemKind::BadRequest
                    | ProblemKind::Mistakes
                    | ProblemKind::Conflict
                    | ProblemKind::TooLarge
            ),
            Self::InvalidKey | Self::Connect(..) | Self::NoReply(..) | Self::InvalidReply(..) => {
                false
            }
        }
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidKey => f.write_str(
                "the operator key has characters that a header cannot carry; use printable ASCII",
            ),
            Self::Connect(address, error) => {
                write!(f, "cannot connect to {address}")?;
                let mut cause = std::error::Error::source(error);
                while let Some(error) = cause {
                    write!(f, ": {error}")?;
                    cause = error.source();
                }
                f.write_str("; check --daemon, or ask the daemon of another VM")
            }
            Self::NoReply(address, cause) => write!(
                f,
                "no response from {address}: {cause}; the request may have taken effect, so resend \
                 the same request or check the outcome first"
            ),
            Self::InvalidReply(address, cause) => write!(
                f,
                "{address} sent an invalid response: {cause}; check that it is the operator \
                 address of a daemon of this version"
            ),
            Self::Problem(problem) => problem.fmt(f),
        }
    }
}

impl std::error::Error for ClientError {}

impl From<Problem> for ClientError {
    fn from(problem: Problem) -> Self {
        Self::Problem(problem)
    }
}

impl Client {
    /// Creates a client that sends `key` to the daemon at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the key has characters that a header cannot carry.
    pub fn new(address: SocketAddr, key: &str) -> Result<Self, ClientError> {
        let value = HeaderValue::try_from(format!("Bearer {key}"));
        let mut authorization = value.map_err(|_| ClientError::InvalidKey)?;
        authorization.set_sensitive(true);
        Ok(Self {
            address,
            authorization,
            timeout: REQUEST_TIMEOUT,
            http: legacy::Client::builder(TokioExecutor::new()).build_http(),
        })
    }

    /// Sets the timeout of a request.
    #[must_use]
    pub const fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Checks that the process runs. Needs no accepted key.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn health(&self) -> Result<HealthReply, ClientError> {
        self.get("/health", &()).await
    }

    /// Fetches whether the daemon is ready, and the conditions that are not met.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn ready(&self) -> Result<ReadyReply, ClientError> {
        self.get("/ready", &()).await
    }

    /// Fetches the members of the fleet.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn members(&self) -> Result<MembersReply, ClientError> {
        self.get("/members", &()).await
    }

    /// Fetches the text of the rules in force, or of an earlier revision.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn rules(&self, revision: Option<Revision>) -> Result<RulesReply, ClientError> {
        self.get("/rules", &RulesQuery { revision }).await
    }

    /// Fetches the last changes of the rules, newest first.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn history(&self) -> Result<HistoryReply, ClientError> {
        self.get("/history", &()).await
    }

    /// Applies an edit. Safe to resend with the same edit id.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn apply(&self, edit: &Edit) -> Result<ApplyReply, ClientError> {
        self.post("/rules", edit).await
    }

    /// Explains why a customer, a kind or a call was served or refused.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn explain(&self, query: &ExplainQuery) -> Result<ExplainReply, ClientError> {
        self.get("/explain", query).await
    }

    /// Fetches the burn rates of the error budgets.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn report(&self) -> Result<ReportReply, ClientError> {
        self.get("/report", &()).await
    }

    /// Fetches the state of the daemon.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn status(&self) -> Result<StatusReply, ClientError> {
        self.get("/status", &()).await
    }

    /// Fetches the counters of the daemon.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn metrics(&self) -> Result<MetricsReply, ClientError> {
        self.get("/metrics", &()).await
    }

    /// Drains the VM of the daemon, or fetches the progress. Safe to resend.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn drain(&self, request: &DrainRequest) -> Result<DrainReply, ClientError> {
        self.post("/drain", request).await
    }

    /// Fetches owner and successor of the home slots.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn homes(&self) -> Result<HomesReply, ClientError> {
        self.get("/homes", &()).await
    }

    /// Confirms that the processes of a home slot have exited, so that it gets new holders.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn reassign(&self, request: &ReassignRequest) -> Result<HomesReply, ClientError> {
        self.post("/homes", request).await
    }

    async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &impl Serialize,
    ) -> Result<T, ClientError> {
        let query =
            serde_urlencoded::to_string(query).map_err(|error| self.invalid_reply(&error))?;
        let separator = if query.is_empty() { "" } else { "?" };
        let path = format!("{path}{separator}{query}");
        self.send(Method::GET, &path, Bytes::new()).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, ClientError> {
        let body = serde_json::to_vec(body).map_err(|error| self.invalid_reply(&error))?;
        self.send(Method::POST, path, body.into()).await
    }

    async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, ClientError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::AUTHORIZATION, self.authorization.clone())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| self.invalid_reply(&error))?;
        let response = tokio::time::timeout(self.timeout, self.exchange(request));
        let (status, body) = response.await.map_err(|_| {
            ClientError::NoReply(self.address, format!("none within {:?}", self.timeout))
        })??;
        if status.is_success() {
            serde_json::from_slice(&body).map_err(|error| self.invalid_reply(&error))
        } else {
            Err(self.problem(status, &body))
        }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let response = self.http.request(request).await.map_err(|error| {
            if error.is_connect() {
                ClientError::Connect(self.address, error)
            } else {
                ClientError::NoReply(self.address, error.to_string())
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES)
            .collect()
            .await;
        let body = body.map_err(|error| ClientError::NoReply(self.address, error.to_string()))?;
        Ok((status, body.to_bytes()))
    }

    fn problem(&self, status: StatusCode, body: &[u8]) -> ClientError {
        match serde_json::from_slice::<Problem>(body) {
            Ok(problem) => problem.into(),
            Err(_) if status == StatusCode::NOT_FOUND => {
                let message = "the daemon has no such path; use a client of the daemon's version";
                Problem::new(ProblemKind::NotFound, message).into()
            }
            Err(error) => {
                ClientError::InvalidReply(self.address, format!("status {status}, {error}"))
            }
        }
    }

    fn invalid_reply(&self, error: &dyn fmt::Display) -> ClientError {
        ClientError::InvalidReply(self.address, error.to_string())
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}
