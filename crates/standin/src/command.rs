//! Command line.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use standin::scenario::Error;

mod endpoint;
mod latency;
mod load;
mod platform;
mod scenario;

/// Parses the command line and runs the subcommand.
pub(crate) fn run() -> Result<(), Error> {
    let matches = definition().get_matches();
    let runtime = tokio::runtime::Runtime::new().map_err(Error::io("start the runtime"))?;
    runtime.block_on(async {
        match matches.subcommand() {
            Some(("platform", matches)) => platform::run(matches).await,
            Some(("endpoint", matches)) => endpoint::run(matches).await,
            Some(("load", matches)) => load::run(matches).await,
            Some(("scenario", matches)) => scenario::run(matches).await,
            Some(("latency", matches)) => latency::run(matches).await,
            _ => unreachable!("a subcommand is required"),
        }
    })
}

fn definition() -> Command {
    Command::new("standin")
        .about("Stand-ins for the platform, endpoints and callers")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([platform(), endpoint(), load(), scenario(), latency()])
}

fn platform() -> Command {
    Command::new("platform")
        .about("Serve the key-value service until interrupted")
        .arg(address("listen", "Address to listen on"))
}

fn endpoint() -> Command {
    let spec = file(
        "SPEC",
        "Properties of the endpoint in JSON with comments; defaults if omitted",
    );
    Command::new("endpoint")
        .about("Serve one endpoint until interrupted")
        .arg(spec.required(false))
        .arg(address("listen", "Address to listen on"))
        .arg(address(
            "daemon",
            "Caller address of the daemon on the endpoint's VM",
        ))
}

fn load() -> Command {
    let to = address(
        "to",
        "Caller address of a daemon; repeat the option for round robin",
    );
    Command::new("load")
        .about("Send the calls of a plan to daemons")
        .arg(file("PLAN", "Plan in JSON with comments"))
        .arg(to.required(true).action(ArgAction::Append))
        .arg(json())
}

fn scenario() -> Command {
    let control = Arg::new("control")
        .long("control")
        .value_name("none")
        .value_parser(["none"])
        .conflicts_with("daemon")
        .help("Send the load directly to the endpoints, without daemons");
    let compare = Arg::new("compare")
        .long("compare")
        .action(ArgAction::SetTrue)
        .conflicts_with("control")
        .help("Run without daemons first and print the ratios");
    Command::new("scenario")
        .about("Run a fleet under load and injected faults")
        .arg(file("SCENARIO", "Scenario in JSON with comments"))
        .arg(daemon())
        .arg(control)
        .arg(compare)
        .arg(json())
        .arg(directory())
}

fn latency() -> Command {
    let rate = option(
        "rate",
        "CALLS",
        value_parser!(f64),
        "Calls per second; repeat the option to measure several rates",
    );
    let rounds = option("rounds", "COUNT", value_parser!(u32), "Rounds at each rate");
    let seconds = option(
        "seconds",
        "SECONDS",
        value_parser!(f64),
        "Length of a round",
    );
    Command::new("latency")
        .about("Measure the latency that two daemons add")
        .arg(daemon())
        .arg(rate.action(ArgAction::Append))
        .arg(rounds.default_value("3"))
        .arg(seconds.default_value("5"))
        .arg(json())
        .arg(directory())
}

fn address(name: &'static str, help: &'static str) -> Arg {
    option(name, "ADDRESS", value_parser!(SocketAddr), help)
}

fn option(
    name: &'static str,
    value: &'static str,
    parser: impl Into<ValueParser>,
    help: &'static str,
) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name(value)
        .value_parser(parser.into())
        .help(help)
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new("file")
        .value_name(name)
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help(help)
}

fn daemon() -> Arg {
    option(
        "daemon",
        "PATH",
        value_parser!(PathBuf),
        "Path of the sapphiredoor binary; by default this program runs the daemon itself",
    )
}

fn json() -> Arg {
    option(
        "json",
        "FILE",
        value_parser!(PathBuf),
        "Write the results as JSON lines to this file",
    )
}

fn directory() -> Arg {
    let help = "Keep the settings and logs of the daemons in this directory";
    option("directory", "PATH", value_parser!(PathBuf), help)
}

/// Returns the daemon binary: the given one, or this program, which also has `serve`.
fn daemon_path(matches: &ArgMatches) -> Result<PathBuf, Error> {
    match path(matches, "daemon") {
        Some(given) => Ok(given.to_owned()),
        None => std::env::current_exe().map_err(Error::io("find this program")),
    }
}

/// Returns the path given for an option.
fn path<'a>(matches: &'a ArgMatches, name: &str) -> Option<&'a Path> {
    matches.get_one::<PathBuf>(name).map(PathBuf::as_path)
}

/// Runs `work` with the given directory, or with a temporary one that is removed on success.
async fn with_directory<T>(
    matches: &ArgMatches,
    work: impl AsyncFnOnce(&Path) -> Result<T, Error>,
) -> Result<T, Error> {
    let given = path(matches, "directory");
    let temporary =
        std::env::temp_dir().join(format!("sapphiredoor-standin-{}", std::process::id()));
    let directory = given.unwrap_or(&temporary);
    std::fs::create_dir_all(directory)
        .map_err(Error::io(format!("create {}", directory.display())))?;
    let result = work(directory).await?;
    if given.is_none() {
        std::fs::remove_dir_all(&temporary)
            .map_err(Error::io(format!("remove {}", temporary.display())))?;
    }
    Ok(result)
}

/// Writes JSON lines to the file given by `--json`, if any.
fn write_json(matches: &ArgMatches, text: &str) -> Result<(), Error> {
    let Some(path) = path(matches, "json") else {
        return Ok(());
    };
    std::fs::write(path, text).map_err(Error::io(format!("write {}", path.display())))
}

/// Waits for Ctrl-C.
async fn wait_for_interrupt() -> Result<(), Error> {
    tokio::signal::ctrl_c()
        .await
        .map_err(Error::io("wait for an interrupt"))
}
