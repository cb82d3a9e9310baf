//! Bodies of requests and responses.

use std::error::Error;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full};

/// Error while a body is transferred.
pub type BoxError = Box<dyn Error + Send + Sync>;
/// Body of a request or a response.
pub type Body = BoxBody<Bytes, BoxError>;

/// Returns an empty body.
#[must_use]
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed()
}

/// Returns a body with the given bytes.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Boxes a body of any type.
pub fn boxed<B>(body: B) -> Body
where
    B: HttpBody<Data = Bytes> + Send + Sync + 'static,
    B::Error: Into<BoxError>,
{
    body.map_err(Into::into).boxed()
}

/// Reads a complete body. Returns `None` if it fails or is longer than `limit` bytes.
pub async fn read_whole(mut body: Body, limit: usize) -> Option<Bytes> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            if collected.len() + data.len() > limit {
                return None;
            }
            collected.extend_from_slice(&data);
        }
    }
    Some(collected.freeze())
}

/// How a [`Guarded`] body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// All bytes were passed on.
    Complete,
    /// The body failed.
    Failed,
    /// The body was dropped before its end.
    Dropped,
}

/// A body that calls a function once, when it ends, fails or is dropped.
pub struct Guarded<F: FnOnce(End)> {
    inner: Body,
    on_end: Option<F>,
}

impl<F: FnOnce(End)> std::fmt::Debug for Guarded<F> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Guarded")
            .field("ended", &self.on_end.is_none())
            .finish_non_exhaustive()
    }
}

impl<F: FnOnce(End) + Unpin> Guarded<F> {
    /// Wraps a body. If it is already at its end, `on_end` is called at once.
    pub fn new(inner: Body, on_end: F) -> Self {
        let mut guarded = Self {
            inner,
            on_end: Some(on_end),
        };
        if guarded.inner.is_end_stream() {
            guarded.end(End::Complete);
        }
        guarded
    }

    fn end(&mut self, end: End) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }
}

impl<F: FnOnce(End) + Unpin> HttpBody for Guarded<F> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let poll = Pin::new(&mut self.inner).poll_frame(cx);
        match &poll {
            Poll::Ready(None) => self.end(End::Complete),
            Poll::Ready(Some(Err(_))) => self.end(End::Failed),
            Poll::Ready(Some(Ok(_))) if self.inner.is_end_stream() => self.end(End::Complete),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        poll
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<F: FnOnce(End)> Drop for Guarded<F> {
    fn drop(&mut self) {
        if let Some(on_end) = self.on_end.take() {
            on_end(End::Dropped);
        }
    }
}
