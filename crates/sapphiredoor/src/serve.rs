//! `serve`: runs the daemon of this VM.

use std::sync::Arc;
use std::thread;

use clap::ArgMatches;
use daemon::config::Settings;
use policy::clock::SystemClock;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::console::path_arg;
use crate::failure::Failure;
use crate::settings;

/// Maximum number of worker threads; the cores of the VM are meant for the endpoint.
const MAX_WORKER_THREADS: usize = 4;

/// Runs the subcommand until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the settings have mistakes or name an address that cannot be used.
pub fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let path = path_arg(matches, "settings")?;
    let settings = settings::load(&path)?;
    logforth::starter_log::stderr().apply();
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let runtime = Builder::new_multi_thread()
        .worker_threads(cores.min(MAX_WORKER_THREADS))
        .enable_all()
        .build()
        .map_err(|error| Failure::Daemon(error.to_string()))?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), Failure> {
    let to_failure = |error: std::io::Error| Failure::Daemon(error.to_string());
    let mut terminate = signal(SignalKind::terminate()).map_err(to_failure)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(to_failure)?;
    let (stop, stopping) = watch::channel(false);
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stop.send_replace(true);
        // Dropping the sender would end the daemon's wait for the stop as well.
        stop.closed().await;
    });
    let clock = Arc::new(SystemClock::new());
    let outcome = daemon::serve(settings, clock, stopping).await;
    outcome.map_err(|error| Failure::Daemon(error.to_string()))
}
