//! Starts the daemon, runs its tasks and stops it without aborting requests.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use peer::control::{ControlService, is_control};
use peer::gossip::GossipSocket;
use peer::key::KeyError;
use policy::clock::Clock;
use tokio::sync::watch;
use tokio::task::JoinSet;
use transport::server::Server;

use crate::cluster::Cluster;
use crate::config::Settings;
use crate::control::Control;
use crate::counter::{METRICS_INTERVAL, MetricsSender};
use crate::operator_api::OperatorApi;
use crate::shared::Shared;
use crate::{dispatch, homes, inbound};

/// Time between two checks of the queue in front of the endpoint.
const ADMISSION_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two removals of expired state.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time in which home slots can be handed over before the listeners close.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which gossip informs the other members that this one has left.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// Why the daemon cannot start.
#[derive(Debug)]
pub enum ServeError {
    /// An address in the settings cannot be used.
    Listen(&'static str, SocketAddr, std::io::Error),
    /// The keys in the settings cannot be used.
    Key(KeyError),
    /// The operators' interface cannot start.
    Operator(operator::server::ServerError),
}

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(field, address, error) => write!(
                f,
                "cannot listen on {address} ({error}): set {field} to a free address of this VM"
            ),
            Self::Key(error) => write!(f, "keys: {error}"),
            Self::Operator(error) => write!(f, "operator_address: {error}"),
        }
    }
}

impl std::error::Error for ServeError {}

/// Runs the daemon until `stop` becomes true and all requests in flight are answered.
///
/// # Errors
///
/// Fails if an address or key in the settings cannot be used.
pub async fn serve(
    settings: Settings,
    clock: Arc<dyn Clock>,
    stop: watch::Receiver<bool>,
) -> Result<(), ServeError> {
    let keys = operator::key::Keys::parse(&settings.keys.join("\n")).unwrap_or_default();
    let shared = Arc::new(Shared::new(settings, clock).map_err(ServeError::Key)?);
    let settings = &shared.settings;
    let caller_server = listen("caller_address", settings.caller_address).await?;
    let peer_server = listen(
        "peer_address",
        settings.peer_listen.unwrap_or(settings.peer_address),
    )
    .await?;
    let gossip = GossipSocket::bind(settings.gossip_address, shared.keys.clone())
        .await
        .map_err(|error| ServeError::Listen("gossip_address", settings.gossip_address, error))?;
    log::info!(
        "started {} in {}, incarnation {}",
        settings.vm,
        settings.data_centre,
        shared.incarnation
    );
    let platform = platform::Client::new(settings.platform_address.to_string());
    let cluster = Cluster::new(Arc::clone(&shared), platform, gossip);
    let cluster = Arc::new(cluster);
    let control = ControlService::new(
        Arc::new(Control::new(Arc::clone(&cluster))),
        shared.keys.clone(),
    );
    let (close, closing) = watch::channel(false);
    let mut listeners = JoinSet::new();
    let context = Arc::clone(&cluster);
    let handler = move |request, from| dispatch::handle(Arc::clone(&context), request, from);
    listeners.spawn(caller_server.serve(handler, closing.clone()));
    let context = Arc::clone(&shared);
    let handler = move |request: Request<Incoming>, _| {
        let (context, control) = (Arc::clone(&context), control.clone());
        async move {
            if is_control(request.uri()) {
                inbound::handle_control(&control, request).await
            } else {
                inbound::handle(context, request).await
            }
        }
    };
    listeners.spawn(peer_server.serve(handler, closing));
    let mut tasks = JoinSet::new();
    tasks.spawn(run_timers(Arc::clone(&shared)));
    tasks.spawn(Arc::clone(&cluster).receive_gossip());
    tasks.spawn(Arc::clone(&cluster).tick());
    tasks.spawn(Arc::clone(&cluster).tick_homes());
    tasks.spawn(Arc::clone(&cluster).publish_endpoint());
    tasks.spawn(Arc::clone(&cluster).update_balancers());
    tasks.spawn(Arc::clone(&cluster).maintain_contact());
    tasks.spawn(send_metrics(Arc::clone(&shared)));
    let daemon = Arc::new(OperatorApi::new(Arc::clone(&cluster)));
    let operator_server = operator::server::Server::start(settings.operator_address, keys, daemon)
        .map_err(ServeError::Operator)?;
    drain_on_stop(&cluster, stop).await;
    close.send_replace(true);
    while listeners.join_next().await.is_some() {}
    cluster.leave();
    tokio::time::sleep(LEAVE_PROPAGATION_TIME).await;
    operator_server.close().await;
    log::info!("stopped {}", shared.settings.vm);
    Ok(())
}

async fn listen(field: &'static str, address: SocketAddr) -> Result<Server, ServeError> {
    let error = |error| ServeError::Listen(field, address, error);
    Server::new(address).await.map_err(error)
}

/// Waits for the request to stop, drains, and gives callers and peers time to learn of it.
async fn drain_on_stop(cluster: &Arc<Cluster>, mut stop: watch::Receiver<bool>) {
    // An error means that the sender was dropped, which also stops the daemon.
    let _ = stop.wait_for(|stop| *stop).await;
    cluster.drain("stop");
    tokio::time::sleep(Duration::from_millis(cluster.shared.settings.linger_ms)).await;
    // Bounded, because slots cannot be handed over while the platform is down.
    let handed_over = async {
        while !cluster.homes.holds_no_slots() {
            tokio::time::sleep(homes::TICK_INTERVAL).await;
        }
    };
    let _ = tokio::time::timeout(HANDOVER_TIMEOUT, handed_over).await;
}

/// Ticks admission and removes expired state.
async fn run_timers(shared: Arc<Shared>) {
    let mut admission = tokio::time::interval(ADMISSION_TICK_INTERVAL);
    let mut expiry = tokio::time::interval(EXPIRY_INTERVAL);
    loop {
        tokio::select! {
            _ = admission.tick() => shared.admission.tick(),
            _ = expiry.tick() => shared.expire(),
        }
    }
}

/// Sends the counters to the collector in the settings, if there is one.
async fn send_metrics(shared: Arc<Shared>) {
    let Some(address) = shared.settings.metrics_address else {
        return;
    };
    let prefix = format!("sapphiredoor.{}", shared.settings.vm);
    let mut sender = match MetricsSender::new(address, &prefix) {
        Ok(sender) => sender,
        Err(error) => {
            log::error!("no metrics are sent ({error}): check metrics_address");
            return;
        }
    };
    let mut ticks = tokio::time::interval(METRICS_INTERVAL);
    loop {
        ticks.tick().await;
        let stats = shared.admission.stats();
        sender.send(&shared.counters, stats.running.into(), stats.waiting as u64);
    }
}
