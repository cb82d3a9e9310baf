//! Command line of the soak: executes runs with consecutive seeds.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use soak::plan::FaultClass;
use soak::run::{RunOptions, run_seed};

fn main() -> ExitCode {
    match run(&command().get_matches()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("soak")
        .about("Runs real daemons under random faults and checks the guarantees to callers")
        .arg(
            Arg::new("program")
                .long("program")
                .value_name("FILE")
                .default_value("target/release/sapphiredoor")
                .value_parser(value_parser!(PathBuf))
                .help("Program file of the daemon"),
        )
        .arg(
            Arg::new("directory")
                .long("directory")
                .value_name("DIR")
                .default_value("target/soak")
                .value_parser(value_parser!(PathBuf))
                .help(
                    "Directory for settings and logs; those of runs without violations are removed",
                ),
        )
        .arg(number("seed", "0", "First seed"))
        .arg(number(
            "runs",
            "6",
            "Number of seeds to run; six consecutive seeds cover all classes of faults",
        ))
        .arg(number("vms", "6", "VMs in a run, 2 to 200"))
        .arg(number(
            "faults",
            "20",
            "Seconds during which faults are injected",
        ))
        .arg(number(
            "settle",
            "15",
            "Seconds after the faults within which service must recover",
        ))
}

/// Executes all runs; returns whether none had a violation.
fn run(matches: &ArgMatches) -> io::Result<bool> {
    let number = |name| {
        *matches
            .get_one::<u64>(name)
            .expect("the argument has a default")
    };
    let path = |name| {
        matches
            .get_one::<PathBuf>(name)
            .expect("the argument has a default")
    };
    let mut passed = true;
    for seed in number("seed")..number("seed") + number("runs") {
        let directory = path("directory").join(seed.to_string());
        empty_directory(&directory)?;
        println!("seed {seed}: {}", FaultClass::for_seed(seed));
        let outcome = run_seed(&RunOptions {
            program: path("program").clone(),
            directory: directory.clone(),
            seed,
            vms: number("vms").clamp(2, 200) as usize,
            fault_time: Duration::from_secs(number("faults")),
            settle_time: Duration::from_secs(number("settle")),
        })?;
        let [before, during, after] = outcome.served;
        println!(
            "seed {seed}: {} requests, {} faults, served {before:.3} before, {during:.3} during, \
             {after:.3} after, {} stalls of the machine; {} violations",
            outcome.requests,
            outcome.faults,
            outcome.stalls,
            outcome.violations.len()
        );
        for violation in &outcome.violations {
            println!("  {violation}");
        }
        if outcome.violations.is_empty() {
            fs::remove_dir_all(&directory)?;
        } else {
            passed = false;
            println!("  logs: {}", directory.display());
        }
    }
    Ok(passed)
}

fn empty_directory(directory: &Path) -> io::Result<()> {
    if directory.exists() {
        fs::remove_dir_all(directory)?;
    }
    fs::create_dir_all(directory)
}
