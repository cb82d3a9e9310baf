//! A server of HTTP/1.1 and HTTP/2 on one port.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

use crate::Body;

/// Maximum size of the request line and headers.
const MAX_HEADER_BYTES: usize = 32 * 1024;
/// Time in which the headers of a request must arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of concurrent streams of an HTTP/2 connection.
const MAX_STREAMS: u32 = 4096;

/// A listening socket with its limits.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    max_connections: usize,
}

impl Server {
    /// Binds a TCP address.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or does not belong to this VM.
    pub async fn new(address: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            listener: TcpListener::bind(address).await?,
            max_connections: 8192,
        })
    }

    /// Sets how many connections are served at a time; further ones wait to be accepted.
    /// The default is 8192.
    #[must_use]
    pub const fn with_max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = max_connections;
        self
    }

    /// Returns the address to which the listener is bound.
    ///
    /// # Errors
    ///
    /// Fails if the socket was closed by the operating system.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` becomes true, then waits for the requests in flight.
    pub async fn serve<H, F>(self, handler: H, mut stop: watch::Receiver<bool>)
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let graceful = GracefulShutdown::new();
        let permits = Arc::new(Semaphore::new(self.max_connections));
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(MAX_HEADER_BYTES);
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_header_list_size(MAX_HEADER_BYTES as u32)
            .max_concurrent_streams(MAX_STREAMS);
        loop {
            let accepted = tokio::select! {
                accepted = accept(&self.listener, &permits) => accepted,
                _ = stop.wait_for(|stop| *stop) => break,
            };
            let Ok((stream, peer, permit)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            // Calls are small. Nagle's algorithm would wait to fill a segment and add up to 40 ms
            // to each.
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            let service = service_fn(move |request| {
                let response = handler(request, peer);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = builder
                .serve_connection(TokioIo::new(stream), service)
                .into_owned();
            let connection = graceful.watch(connection);
            tokio::spawn(async move {
                let _ = connection.await;
                drop(permit);
            });
        }
        drop(self.listener);
        graceful.shutdown().await;
    }
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> io::Result<(
    tokio::net::TcpStream,
    SocketAddr,
    tokio::sync::OwnedSemaphorePermit,
)> {
    let permit = Arc::clone(permits)
        .acquire_owned()
        .await
        .map_err(io::Error::other)?;
    let (stream, peer) = listener.accept().await?;
    Ok((stream, peer, permit))
}
