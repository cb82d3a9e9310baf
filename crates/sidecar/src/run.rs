//! Startup, reload of the settings and shutdown of the daemon.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use adapter::store::Store;
use log::{info, warn};
use policy::clock::{Clock, SystemClock};
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

use crate::control::Purpose;
use crate::daemon::Daemon;
use crate::discovery::{Discovery, StorePart};
use crate::settings::Settings;
use crate::{client, control, discovery, inbound, logging};

#[cfg(test)]
mod tests;

/// Timeout of a call to the store: far above the milliseconds that it usually takes, and short
/// enough for several attempts within the operators' bounds.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Shortest time from SIGTERM to the exit, unless half of the grace time is shorter. In this time
/// clients can learn that the daemon is no longer ready.
const UNREADY_GRACE: Duration = Duration::from_millis(3_200);

/// Time before the exit in which the failures of calls that still run are written.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time between checks for open calls during the shutdown.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between checks for unwritten responses before the exit.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Time between checks of the settings file, which may change without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// Runs the daemon until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when an address other than that of the metrics cannot be bound or a signal cannot be
/// handled.
pub fn run(path: &Path, settings: Settings) -> std::io::Result<()> {
    let lost_lines = logging::start();
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let store = Store::new(settings.store.address, STORE_TIMEOUT);
    let daemon = Daemon::new(settings, clock, store, lost_lines);
    LocalSet::new().block_on(&runtime, serve(daemon, path.to_owned()))
}

async fn serve(daemon: Rc<Daemon>, path: PathBuf) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let listen = daemon.settings.borrow().listen.clone();
    // The listeners for other daemons and the endpoint come first, so that a ready daemon can
    // serve.
    let peers = bind(listen.peers)?;
    let control_listener = bind(listen.control)?;
    let calls = bind(listen.calls)?;
    let ready = bind(listen.ready)?;
    info!(event = "started", vm = &*daemon.vm, data_centre = &*daemon.data_centre, service = &*daemon.service(), version = env!("CARGO_PKG_VERSION"); "");
    match bind(listen.metrics) {
        Ok(listener) => {
            spawn_local(control::listen(
                Rc::clone(&daemon),
                listener,
                Purpose::Metrics,
            ));
        }
        Err(error) => {
            warn!(event = "metrics_unavailable", address:% = listen.metrics, error:% = error; "free the port or change listen.metrics");
        }
    }
    spawn_local(inbound::listen(Rc::clone(&daemon), peers));
    spawn_local(control::listen(
        Rc::clone(&daemon),
        control_listener,
        Purpose::Control,
    ));
    spawn_local(control::listen(Rc::clone(&daemon), ready, Purpose::Ready));
    spawn_local(client::listen(Rc::clone(&daemon), calls));
    spawn_tasks(&daemon);
    spawn_local(reload(Rc::clone(&daemon), path, hangup));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&daemon).await;
    Ok(())
}

fn spawn_tasks(daemon: &Rc<Daemon>) {
    let tasks = Rc::new(Discovery::default());
    spawn_local(Rc::clone(&tasks).follow(Rc::clone(daemon), StorePart::Configuration));
    spawn_local(Rc::clone(&tasks).follow(Rc::clone(daemon), StorePart::Fleet));
    spawn_local(Rc::clone(&tasks).keep_entry(Rc::clone(daemon)));
    spawn_local(tasks.maintain(Rc::clone(daemon)));
    spawn_local(discovery::compare_records(Rc::clone(daemon)));
    let owner = Rc::clone(daemon);
    spawn_local(async move { owner.peers.monitor(&owner).await });
    let owner = Rc::clone(daemon);
    spawn_local(async move { owner.gate.expire_waiting(&owner).await });
    let owner = Rc::clone(daemon);
    spawn_local(async move { owner.gate.track_demand(&owner).await });
    let owner = Rc::clone(daemon);
    spawn_local(async move { owner.quotas.run(&owner).await });
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Shuts down: waits until no call is open or the grace time ends.
///
/// Each request that was read gets a response before the process exits. Calls that wait for a slot
/// are withdrawn while there is time to refuse them as not run; those that run at an endpoint have
/// until the end, and are then given up without a promise.
async fn stop(daemon: &Rc<Daemon>) {
    let start = daemon.clock.now();
    info!(event = "stopping", calls = daemon.open_calls(); "");
    daemon.stop();
    let grace = daemon.settings.borrow().bounds.grace();
    loop {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        let now = daemon.clock.now();
        let passed = now.saturating_duration_since(start);
        let idle = daemon.open_calls() == 0 && passed >= UNREADY_GRACE.min(grace / 2);
        if idle || daemon.shutdown_deadline().is_some_and(|end| now >= end) {
            break;
        }
    }
    let open = daemon.open_calls();
    daemon.close();
    let answered = async {
        while daemon.open_requests() > 0 {
            tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
        }
    };
    // Clients that do not read would hold up the exit.
    drop(tokio::time::timeout(CLOSE_TIMEOUT, answered).await);
    info!(event = "stopped", calls = open, unanswered = daemon.open_requests(); "");
    // The log writer collects a batch for this long before it writes it.
    tokio::time::sleep(logging::BATCH_INTERVAL).await;
}

/// Reloads the settings on SIGHUP or when the file has changed, as long as the daemon runs.
async fn reload(daemon: Rc<Daemon>, path: PathBuf, mut hangup: Signal) {
    let mut text = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => false,
        };
        let new = match std::fs::read_to_string(&path) {
            Ok(new) => new,
            Err(error) => {
                warn!(event = "settings_unreadable", error:% = error; "keeping the settings in force");
                continue;
            }
        };
        if new == text && !signalled {
            continue;
        }
        match Settings::parse(&new) {
            Ok(settings) => {
                info!(event = "reloaded", changed = new != text; "");
                daemon.gate.set_retry_bound(settings.bounds.retry_bound());
                daemon.budget.set_limit(settings.memory.held_bytes());
                *daemon.settings.borrow_mut() = settings;
            }
            Err(error) => {
                warn!(event = "settings_refused", error:% = error; "keeping the settings in force");
            }
        }
        text = new;
    }
}
