//! Stand-ins and checks of the scripts in `review/11` and later: `review-standin-3 CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0`
//! leaves the disruption out.

mod configuration;
mod http;
mod proxy;
mod quota;
mod record;
mod store;
mod uploads;
mod vm;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use std::{env, fs};

use record::Record;
use vm::Vm;

/// Result of a case.
pub type Outcome = Result<bool, Box<dyn std::error::Error>>;

/// What a case needs.
pub struct Context {
    /// Record of the case.
    pub record: Arc<Record>,
    /// Whether the disruption happens.
    pub trouble: bool,
    /// Folder for settings and logs.
    pub folder: PathBuf,
}

/// Waits until a condition holds; fails after a time.
pub fn wait_for(what: &str, limit: Duration, condition: impl Fn() -> bool) -> Result<(), String> {
    let end = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= end {
            return Err(format!("no {what} within {limit:?}"));
        }
        thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}

/// Waits until all daemons are ready.
pub fn wait_ready(vms: &[&Arc<Vm>]) -> Result<(), String> {
    wait_for("readiness", Duration::from_secs(15), || {
        vms.iter().all(|vm| vm.is_ready())
    })
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: review-standin-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let folder = env::temp_dir().join(format!("sapphiredoor-review-{}", std::process::id()));
    if let Err(error) = fs::create_dir_all(&folder) {
        eprintln!("{}: {error}", folder.display());
        return ExitCode::from(2);
    }
    let context = Context {
        record: Arc::new(Record::new()),
        trouble: env::var("TROUBLE").map_or(true, |value| value != "0"),
        folder,
    };
    let outcome = match case.as_str() {
        "stale-configuration" => configuration::run(&context),
        "paused-upstream" => uploads::run(&context),
        "two-owners" => quota::run(&context, quota::Trouble::Store),
        "cut-owner" => quota::run(&context, quota::Trouble::Cut),
        _ => Err(format!("there is no case {case}").into()),
    };
    let text = match &outcome {
        Ok(true) => "the rule held".to_owned(),
        Ok(false) => "the rule was broken".to_owned(),
        Err(error) => format!("the case could not run: {error}"),
    };
    context.record.note(format!("result   {text}"));
    let written = context.record.write(Path::new(path));
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&context.folder);
    } else {
        println!("logs: {}", context.folder.display());
    }
    match (outcome, written) {
        (Ok(true), Ok(())) => ExitCode::SUCCESS,
        (Ok(false), Ok(())) => ExitCode::from(1),
        _ => ExitCode::from(2),
    }
}
