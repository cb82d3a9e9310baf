//! Control RPCs between daemons.
//!
//! [`ControlService`] serves the requests whose path starts with [`PATH_PREFIX`] on the port that
//! also takes calls. [`ControlClient`] sends requests to a peer over a given channel, such as an
//! [`Http2Channel`].

use std::error::Error;
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, Uri};
use http_body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http2::SendRequest;
use policy::member::{SyncReply, SyncRequest};
use tonic::{Code, Status};
use tower::Service;

use crate::key::Keys;
use crate::proto::peer_client::PeerClient;
use crate::proto::peer_server::{Peer, PeerServer};
use crate::proto::{
    self, ClaimReply, ClaimRequest, HomeMessage, PullReply, PullRequest, VoidReply, VoidRequest,
};

#[cfg(test)]
mod tests;

/// Path prefix of every control request.
pub const PATH_PREFIX: &str = "/sapphiredoor.peer.v1.Peer/";

/// Covers the largest value of the platform and ten times the planned number of members.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
const DEFAULT_RPC_TIMEOUT: Duration = Duration::from_secs(2);

type BoxError = Box<dyn Error + Send + Sync>;
type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Handles the control RPCs of other daemons.
pub trait ControlHandler: Send + Sync + 'static {
    /// Exchanges member tables.
    fn sync(&self, request: SyncRequest) -> impl Future<Output = SyncReply> + Send;

    /// Returns the rules in force if they are newer than the requester's.
    fn pull_rules(&self, request: PullRequest) -> impl Future<Output = PullReply> + Send;

    /// Returns the home map in force if it is newer than the requester's.
    fn pull_homes(&self, request: PullRequest) -> impl Future<Output = PullReply> + Send;

    /// As owner of the key's home slot, stores a ticket for the key or returns the one it has.
    fn claim_key(&self, request: ClaimRequest) -> impl Future<Output = ClaimReply> + Send;

    /// Handles a message between owner and successor of a home slot and returns the reply, or
    /// `None` if the message is malformed or for another process.
    fn exchange_home(
        &self,
        message: HomeMessage,
    ) -> impl Future<Output = Option<HomeMessage>> + Send;

    /// Voids a ticket whose call has not started.
    fn void_ticket(&self, request: VoidRequest) -> impl Future<Output = VoidReply> + Send;
}

/// Returns whether a request is a control request rather than a call.
#[must_use]
pub fn is_control(uri: &Uri) -> bool {
    uri.path().starts_with(PATH_PREFIX)
}

/// Adapter from the generated service to the handler.
struct Adapter<H> {
    handler: Arc<H>,
}

type RpcResult<T> = Result<tonic::Response<T>, Status>;

#[tonic::async_trait]
impl<H: ControlHandler> Peer for Adapter<H> {
    async fn sync(
        &self,
        request: tonic::Request<proto::SyncRequest>,
    ) -> RpcResult<proto::SyncReply> {
        let request = SyncRequest::from(request.get_ref());
        if request.members.is_empty() {
            return Err(Status::invalid_argument("sync without a readable sender"));
        }
        let reply = self.handler.sync(request).await;
        Ok(tonic::Response::new(proto::SyncReply::from(&reply)))
    }

    async fn pull_rules(&self, request: tonic::Request<PullRequest>) -> RpcResult<PullReply> {
        let reply = self.handler.pull_rules(request.into_inner()).await;
        Ok(tonic::Response::new(reply))
    }

    async fn pull_homes(&self, request: tonic::Request<PullRequest>) -> RpcResult<PullReply> {
        let reply = self.handler.pull_homes(request.into_inner()).await;
        Ok(tonic::Response::new(reply))
    }

    async fn claim_key(&self, request: tonic::Request<ClaimRequest>) -> RpcResult<ClaimReply> {
        let reply = self.handler.claim_key(request.into_inner()).await;
        Ok(tonic::Response::new(reply))
    }

    async fn exchange_home(&self, message: tonic::Request<HomeMessage>) -> RpcResult<HomeMessage> {
        let reply = self.handler.exchange_home(message.into_inner()).await;
        let reply = reply.ok_or_else(|| Status::failed_precondition("message for another process"));
        Ok(tonic::Response::new(reply?))
    }

    async fn void_ticket(&self, request: tonic::Request<VoidRequest>) -> RpcResult<VoidReply> {
        let reply = self.handler.void_ticket(request.into_inner()).await;
        Ok(tonic::Response::new(reply))
    }
}

/// Control server as a `tower` service. Cloning is cheap.
pub struct ControlService<H> {
    inner: PeerServer<Adapter<H>>,
    keys: Keys,
}

impl<H> Clone for ControlService<H> {
    fn clone(&self) -> Self {
        Self {
            inner: self.inner.clone(),
            keys: self.keys.clone(),
        }
    }
}

impl<H> fmt::Debug for ControlService<H> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ControlService").finish_non_exhaustive()
    }
}

impl<H: ControlHandler> ControlService<H> {
    /// Serves `handler` to peers that authenticate with one of the keys.
    #[must_use]
    pub fn new(handler: Arc<H>, keys: Keys) -> Self {
        let inner = PeerServer::new(Adapter { handler })
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        Self { inner, keys }
    }

    /// Handles one request. A request without an accepted key does not reach the handler.
    pub async fn handle<B>(&self, request: Request<B>) -> Response<tonic::body::Body>
    where
        B: Body + Send + 'static,
        B::Error: Into<BoxError> + Send + 'static,
    {
        if !self.keys.accepts(request.headers()) {
            return Status::unauthenticated("no accepted shared key").into_http();
        }
        let Ok(response) = self.inner.clone().call(request).await;
        response
    }
}

impl<H, B> Service<Request<B>> for ControlService<H>
where
    H: ControlHandler,
    B: Body + Send + 'static,
    B::Error: Into<BoxError> + Send + 'static,
{
    type Response = Response<tonic::body::Body>;
    type Error = std::convert::Infallible;
    type Future = BoxFuture<Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let service = self.clone();
        Box::pin(async move { Ok(service.handle(request).await) })
    }
}

/// HTTP/2 connection of `hyper` as a channel for [`ControlClient`].
#[derive(Clone)]
pub struct Http2Channel<B> {
    sender: SendRequest<B>,
    body: fn(tonic::body::Body) -> B,
}

impl<B> fmt::Debug for Http2Channel<B> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Http2Channel").finish_non_exhaustive()
    }
}

impl<B> Http2Channel<B> {
    /// Wraps a connection; `body` converts the request bodies.
    #[must_use]
    pub const fn new(sender: SendRequest<B>, body: fn(tonic::body::Body) -> B) -> Self {
        Self { sender, body }
    }
}

impl<B: Body + Send + 'static> Service<Request<tonic::body::Body>> for Http2Channel<B> {
    type Response = Response<Incoming>;
    type Error = hyper::Error;
    type Future = BoxFuture<Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.sender.poll_ready(context)
    }

    fn call(&mut self, request: Request<tonic::body::Body>) -> Self::Future {
        Box::pin(self.sender.send_request(request.map(self.body)))
    }
}

/// Why a control RPC failed. Except after [`Self::Unauthenticated`], the peer may have handled it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlError {
    /// The peer does not accept this daemon's key.
    Unauthenticated,
    /// No reply within the timeout.
    Timeout,
    /// The connection failed or the peer could not reply.
    Unavailable(String),
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unauthenticated => {
                f.write_str("the peer rejected the shared key; compare the settings")
            }
            Self::Timeout => f.write_str("the peer did not reply in time; try another"),
            Self::Unavailable(cause) => write!(f, "the peer is unavailable ({cause}); try another"),
        }
    }
}

impl Error for ControlError {}

impl From<Status> for ControlError {
    fn from(status: Status) -> Self {
        match status.code() {
            Code::Unauthenticated => Self::Unauthenticated,
            Code::DeadlineExceeded => Self::Timeout,
            _ => Self::Unavailable(status.message().to_owned()),
        }
    }
}

/// Client for the control RPCs of one peer.
#[derive(Clone, Debug)]
pub struct ControlClient<T> {
    inner: PeerClient<T>,
    keys: Keys,
    timeout: Duration,
}

impl<T> ControlClient<T>
where
    T: tonic::client::GrpcService<tonic::body::Body>,
    T::Error: Into<BoxError>,
    T::ResponseBody: Body<Data = Bytes> + Send + 'static,
    <T::ResponseBody as Body>::Error: Into<BoxError> + Send,
{
    /// Creates a client for the peer at `origin`, such as `http://10.0.0.1:7000`, over `channel`.
    pub fn new(channel: T, origin: Uri, keys: Keys) -> Self {
        let inner = PeerClient::with_origin(channel, origin)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        Self {
            inner,
            keys,
            timeout: DEFAULT_RPC_TIMEOUT,
        }
    }

    /// Sets the timeout of each RPC.
    #[must_use]
    pub const fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Exchanges member tables.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer does not reply in time or rejects the key.
    pub async fn sync(&mut self, request: &SyncRequest) -> Result<SyncReply, ControlError> {
        let request = self.request(proto::SyncRequest::from(request));
        let reply = with_timeout(self.timeout, self.inner.sync(request)).await?;
        Ok(SyncReply::from(&reply))
    }

    /// Requests newer rules.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer does not reply in time or rejects the key.
    pub async fn pull_rules(&mut self, request: PullRequest) -> Result<PullReply, ControlError> {
        let request = self.request(request);
        with_timeout(self.timeout, self.inner.pull_rules(request)).await
    }

    /// Requests a newer home map.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer does not reply in time or rejects the key.
    pub async fn pull_homes(&mut self, request: PullRequest) -> Result<PullReply, ControlError> {
        let request = self.request(request);
        with_timeout(self.timeout, self.inner.pull_homes(request)).await
    }

    /// Stores a ticket for a key, or returns the one that the key has.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer does not reply in time or rejects the key.
    pub async fn claim_key(&mut self, request: ClaimRequest) -> Result<ClaimReply, ControlError> {
        let request = self.request(request);
        with_timeout(self.timeout, self.inner.claim_key(request)).await
    }

    /// Sends a message between owner and successor of a home slot and returns the reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer does not reply in time, rejects the key, or is another process
    /// than the one addressed.
    pub async fn exchange_home(
        &mut self,
        message: HomeMessage,
    ) -> Result<HomeMessage, ControlError> {
        let message = self.request(message);
        with_timeout(self.timeout, self.inner.exchange_home(message)).await
    }

    /// Voids a ticket whose call has not started.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer does not reply in time or rejects the key.
    pub async fn void_ticket(&mut self, request: VoidRequest) -> Result<VoidReply, ControlError> {
        let request = self.request(request);
        with_timeout(self.timeout, self.inner.void_ticket(request)).await
    }

    fn request<M>(&self, message: M) -> tonic::Request<M> {
        let mut request = tonic::Request::new(message);
        request.set_timeout(self.timeout);
        let bearer = self.keys.bearer().as_bytes();
        if let Ok(value) = bearer.try_into() {
            request.metadata_mut().insert("authorization", value);
        }
        request
    }
}

async fn with_timeout<M>(
    timeout: Duration,
    rpc: impl Future<Output = Result<tonic::Response<M>, Status>>,
) -> Result<M, ControlError> {
    match tokio::time::timeout(timeout, rpc).await {
        Ok(Ok(response)) => Ok(response.into_inner()),
        Ok(Err(status)) => Err(status.into()),
        Err(_) => Err(ControlError::Timeout),
    }
}
