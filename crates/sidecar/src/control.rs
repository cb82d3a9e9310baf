//! HTTP servers for announcements of the endpoint, readiness checks and metrics.

use std::rc::Rc;
use std::time::Duration;

use adapter::announcement::{self, ACKNOWLEDGEMENT, EndpointMessage};
use adapter::response::{self, CallerResponse};
use bytes::BytesMut;
use log::{info, warn};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use transport::http1::{Decoder, Message, MessageKind};

use crate::daemon::Daemon;
use crate::discovery;
use crate::listener::accept;

/// Path at which the metrics are served.
pub const METRICS_PATH: &str = "/metrics";

/// Largest head and largest body of a request, in bytes each.
const MAX_BYTES: usize = 64 << 10;

/// Time for which a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time in which the store must have taken a departure. The endpoint waits one second for the
/// response.
const RECORD_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which the store alone is awaited. It usually takes a write within milliseconds.
const STORE_GRACE: Duration = Duration::from_millis(200);

/// Time between rounds in which other daemons are told of a departure.
const TELL_INTERVAL: Duration = Duration::from_millis(50);

/// What a listener is for.
#[derive(Clone, Copy, Debug)]
pub enum Purpose {
    /// Announcements of the endpoint.
    Control,
    /// Readiness checks.
    Ready,
    /// Metrics.
    Metrics,
}

impl Purpose {
    fn name(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Ready => "ready",
            Self::Metrics => "metrics",
        }
    }
}

/// Accepts connections as long as the daemon runs.
pub async fn listen(daemon: Rc<Daemon>, listener: TcpListener, purpose: Purpose) {
    accept(listener, purpose.name(), |stream| {
        tokio::task::spawn_local(serve(Rc::clone(&daemon), stream, purpose));
    })
    .await;
}

async fn serve(daemon: Rc<Daemon>, mut stream: TcpStream, purpose: Purpose) {
    let mut decoder = Decoder::new(MessageKind::Request, MAX_BYTES, MAX_BYTES);
    let mut buffer = BytesMut::new();
    loop {
        let (last, (status, body)) = match decoder.take(&mut buffer) {
            Ok(Some(message)) => (
                message.head.close,
                respond(&daemon, purpose, &message).await,
            ),
            Ok(None) => {
                let read = timeout(IDLE_TIMEOUT, stream.read_buf(&mut buffer)).await;
                if !matches!(read, Ok(Ok(count)) if count > 0) {
                    return;
                }
                continue;
            }
            Err(_) => (true, (400, Vec::new())),
        };
        let caller_response = CallerResponse {
            status,
            id: None,
            fields: b"Content-Type: application/json\r\n",
            signature: &[],
            length: body.len(),
            retry_after: None,
            close: last,
        };
        let mut bytes = Vec::with_capacity(256 + body.len());
        response::encode(&caller_response, &mut bytes);
        bytes.extend_from_slice(&body);
        if stream.write_all(&bytes).await.is_err() || last {
            return;
        }
    }
}

/// Handles a request; returns the status and the body of the response.
async fn respond(daemon: &Rc<Daemon>, purpose: Purpose, message: &Message) -> (u16, Vec<u8>) {
    match purpose {
        Purpose::Ready if message.head.target() == adapter::READY_PATH => {
            (if daemon.is_ready() { 200 } else { 503 }, Vec::new())
        }
        Purpose::Metrics if message.head.target() == METRICS_PATH => {
            daemon.update_gauges();
            (200, daemon.metrics.text())
        }
        Purpose::Control => match announcement::decode(message) {
            Ok(decoded) => {
                apply_endpoint_message(daemon, &decoded);
                if decoded.leaves() && !wait_for_record(daemon, &decoded).await {
                    return (503, Vec::new());
                }
                (200, ACKNOWLEDGEMENT.to_vec())
            }
            Err(error) => {
                if daemon
                    .log_limiter
                    .allows(daemon.clock.now(), "announcement_refused")
                {
                    warn!(event = "announcement_refused", error:% = error; "ignoring the announcement");
                }
                (400, Vec::new())
            }
        },
        Purpose::Ready | Purpose::Metrics => (404, Vec::new()),
    }
}

/// Applies a heartbeat or a departure, and publishes the change.
fn apply_endpoint_message(daemon: &Rc<Daemon>, message: &EndpointMessage) {
    let changed = match message {
        EndpointMessage::Heartbeat(announcement) => {
            daemon.gate.apply_announcement(daemon, announcement.clone())
        }
        EndpointMessage::Departure {
            instance,
            started_ms,
        } => {
            let known = daemon.gate.apply_departure(daemon, instance, *started_ms);
            if !known {
                info!(event = "departure_unknown", instance = &**instance; "");
            }
            known
        }
    };
    if changed {
        daemon.publish_endpoint();
    }
}

/// Waits until the store has the departure of the sender of a message; returns whether it has.
///
/// An acknowledged departure binds the daemon also after it has been killed and started again. Other
/// daemons can be killed with it, so only the store keeps a departure. They are told while the store
/// is away, for the case that this daemon is killed alone. The gate refuses calls meanwhile.
async fn wait_for_record(daemon: &Rc<Daemon>, message: &EndpointMessage) -> bool {
    let (instance, started_ms) = message.incarnation();
    let tell_others = async {
        tokio::time::sleep(STORE_GRACE).await;
        while discovery::exchange_records(daemon).await == 0 {
            tokio::time::sleep(TELL_INTERVAL).await;
        }
    };
    let record = async {
        tokio::select! {
            () = daemon.wait_for_departure(instance, started_ms) => {}
            () = tell_others => daemon.wait_for_departure(instance, started_ms).await,
        }
    };
    if timeout(RECORD_TIMEOUT, record).await.is_ok() {
        return true;
    }
    let known = daemon.gate.announcement();
    let (known, state) = known.map_or_else(
        || (String::new(), None),
        |known| (known.instance.to_string(), Some(known.state)),
    );
    warn!(event = "departure_unrecorded", instance = instance, born = started_ms.unwrap_or(0), known = &*known, state:? = state; "the gate has not applied it or the store has not taken it; not acknowledging it");
    false
}
