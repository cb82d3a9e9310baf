//! Measures the processor time of control calls over one loopback connection, both sides together.

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use peer::control::{ControlClient, ControlHandler, ControlService, Http2Channel};
use peer::key::Keys;
use peer::proto::{
    ClaimReply, ClaimRequest, HomeMessage, PullReply, PullRequest, VoidReply, VoidRequest,
};
use policy::member::{SyncReply, SyncRequest};
use tokio::net::{TcpListener, TcpStream};

const CALL_COUNT: u32 = 10_000;
const VALUE_BYTES: usize = 30_000;

struct Handler;

impl ControlHandler for Handler {
    async fn sync(&self, _: SyncRequest) -> SyncReply {
        SyncReply::default()
    }

    async fn pull_rules(&self, request: PullRequest) -> PullReply {
        PullReply {
            revision: request.revision + 1,
            value: vec![b'x'; VALUE_BYTES],
        }
    }

    async fn pull_homes(&self, _: PullRequest) -> PullReply {
        PullReply::default()
    }

    async fn claim_key(&self, request: ClaimRequest) -> ClaimReply {
        ClaimReply {
            ticket: request.ticket,
            ..ClaimReply::default()
        }
    }

    async fn exchange_home(&self, message: HomeMessage) -> Option<HomeMessage> {
        Some(message)
    }

    async fn void_ticket(&self, _: VoidRequest) -> VoidReply {
        VoidReply { voided: true }
    }
}

/// Returns the user and system time of this process, fields 14 and 15 of `/proc/self/stat`.
fn process_time() -> Duration {
    /// Unit of these fields (`USER_HZ` is 100).
    const TICK: Duration = Duration::from_millis(10);
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: u32 = ticks.filter_map(|field| field.parse::<u32>().ok()).sum();
    TICK * ticks
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    let keys = Keys::new(&["measurement-key-0123456789"])?;
    let service = ControlService::new(Arc::new(Handler), keys.clone());
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let serve = service_fn(move |request: Request<Incoming>| {
            let service = service.clone();
            async move { Ok::<_, std::convert::Infallible>(service.handle(request).await) }
        });
        hyper::server::conn::http2::Builder::new(TokioExecutor::new())
            .serve_connection(TokioIo::new(stream), serve)
            .await
            .map_err(std::io::Error::other)
    });
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let channel = Http2Channel::new(sender, |body| body);
    let mut client = ControlClient::new(channel, format!("http://{address}").parse()?, keys);
    println!("| call | us, both sides |");
    println!("|---|---|");
    let before = process_time();
    for _ in 0..CALL_COUNT {
        client.exchange_home(HomeMessage::default()).await?;
    }
    let micros = process_time().saturating_sub(before).as_secs_f64() * 1e6 / f64::from(CALL_COUNT);
    println!("| grant | {micros:.0} |");
    let before = process_time();
    for _ in 0..CALL_COUNT {
        client.pull_rules(PullRequest::default()).await?;
    }
    let micros = process_time().saturating_sub(before).as_secs_f64() * 1e6 / f64::from(CALL_COUNT);
    println!("| pull of {VALUE_BYTES} bytes | {micros:.0} |");
    Ok(())
}
