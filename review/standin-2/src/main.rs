//! Cases of the second review. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.

mod departure;
mod memory;
mod owners;
mod reborn;
mod shutdown;
mod world;

use std::path::PathBuf;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let record = PathBuf::from(arguments.next().unwrap_or_else(|| "record.txt".to_owned()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    let local = tokio::task::LocalSet::new();
    let play = async {
        match case.as_str() {
            "departure" if trouble => departure::run(departure::Variant::Outage, &record).await,
            "departure" => departure::run(departure::Variant::Calm, &record).await,
            "departure-copy" => departure::run(departure::Variant::Copy, &record).await,
            "departure-late" => departure::run(departure::Variant::Late, &record).await,
            "memory" => memory::run(trouble, &record).await,
            "owners" => owners::run(trouble, &record).await,
            "reborn" if trouble => reborn::run(reborn::Variant::Step, &record).await,
            "reborn" => reborn::run(reborn::Variant::Calm, &record).await,
            "reborn-forged" => reborn::run(reborn::Variant::Forged, &record).await,
            "shutdown" => shutdown::run(trouble, &record).await,
            _ => Err(std::io::Error::other("unknown case")),
        }
    };
    let result = local.block_on(&runtime, async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            result = play => result,
            () = tokio::time::sleep(LIMIT) => Err(std::io::Error::other("it takes too long")),
            _ = terminate.recv() => Err(std::io::Error::other("SIGTERM")),
            _ = interrupt.recv() => Err(std::io::Error::other("SIGINT")),
        }
    });
    // Drops the machines of a case that was given up, which ends their processes.
    drop(local);
    drop(runtime);
    let code = match result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    };
    std::process::exit(code);
}
