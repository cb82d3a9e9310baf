//! Plays runs of the soak one after the other.

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
        .about("Runs real daemons under random faults and checks the promises to callers")
        .arg(
            Arg::new("program")
                .long("program")
                .value_name("FILE")
                .default_value("target/release/sapphiredoor")
                .value_parser(value_parser!(PathBuf))
                .help("The daemon's program"),
        )
        .arg(
            Arg::new("directory")
                .long("directory")
                .value_name("DIR")
                .default_value("target/soak")
                .value_parser(value_parser!(PathBuf))
                .help("Directory of settings and logs; those of runs that kept all promises go"),
        )
        .arg(number("seed", "0", "First seed"))
        .arg(number(
            "runs",
            "6",
            "Seeds to play; six in a row have all kinds of trouble",
        ))
        .arg(number("vms", "6", "VMs of a run, at most 200"))
        .arg(number("faults", "20", "Seconds with faults"))
        .arg(number(
            "settle",
            "15",
            "Seconds after the faults until service must be back",
        ))
}

/// Plays all runs; returns whether every promise was kept.
fn run(matches: &ArgMatches) -> io::Result<bool> {
    let number = |name| *matches.get_one::<u64>(name).expect("it has a default");
    let path = |name| matches.get_one::<PathBuf>(name).expect("it has a default");
    let mut passed = true;
    for seed in number("seed")..number("seed") + number("runs") {
        let directory = path("directory").join(seed.to_string());
        clear(&directory)?;
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
             {after:.3} after, {} stalls of the machine; {} promises broken",
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

fn clear(directory: &Path) -> io::Result<()> {
    if directory.exists() {
        fs::remove_dir_all(directory)?;
    }
    fs::create_dir_all(directory)
}
