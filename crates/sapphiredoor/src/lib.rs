//! Overload control daemon and operator client.
//!
//! [`run`] is the entry point of the binary: it parses the command line, runs the subcommand and
//! turns an error into an exit code. [`cmd`] defines the command line; every subcommand has a
//! module of its own with one `run`.

use std::ffi::OsString;
use std::io::{self, Write};
use std::process::ExitCode;

use clap::ArgMatches;

use crate::console::Console;
use crate::failure::Failure;

pub mod cmd;
pub mod completions;
pub mod configuration;
pub mod console;
pub mod drain;
pub mod explain;
pub mod failure;
pub mod homes;
pub mod members;
pub mod report;
pub mod rules;
pub mod serve;
pub mod settings;
pub mod sidecar;
pub mod status;
pub mod trace;

#[cfg(test)]
mod tests;

/// Parses the arguments, of which the first is the program's name, and runs the subcommand.
pub fn run<T: Into<OsString> + Clone>(args: impl IntoIterator<Item = T>) -> ExitCode {
    ExitCode::from(execute(args, &mut io::stdout(), &mut io::stderr()))
}

/// Like [`run`], but prints to the given outputs and returns the exit code as a number.
pub fn execute<T: Into<OsString> + Clone>(
    args: impl IntoIterator<Item = T>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> u8 {
    let matches = match cmd::command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => return print_parse_error(&error, out, err),
    };
    let mut console = Console::new(&matches, out, err);
    match dispatch(&matches, &mut console) {
        Ok(()) => 0,
        Err(failure) => {
            console.print_failure(&failure);
            failure.exit_code()
        }
    }
}

fn dispatch(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("serve", matches)) => serve::run(matches),
        Some(("sidecar", matches)) => sidecar::run(matches, console),
        Some(("trace", matches)) => trace::run(matches, console),
        Some(("rules", matches)) => rules::run(matches, console),
        Some(("members", matches)) => members::run(matches, console),
        Some(("status", matches)) => status::run(matches, console),
        Some(("explain", matches)) => explain::run(matches, console),
        Some(("report", matches)) => report::run(matches, console),
        Some(("drain", matches)) => drain::run(matches, console),
        Some(("homes", matches)) => homes::run(matches, console),
        Some(("settings", matches)) => settings::run(matches, console),
        Some(("configuration", matches)) => configuration::run(matches, console),
        Some(("completions", matches)) => completions::run(matches, console),
        // The command line requires one of the subcommands above.
        _ => Err(Failure::Usage("name a subcommand; see --help".to_owned())),
    }
}

/// Prints an error of the command line to `err`, or the requested help or version to `out`.
fn print_parse_error(error: &clap::Error, out: &mut dyn Write, err: &mut dyn Write) -> u8 {
    let text = error.render();
    let written = if error.use_stderr() {
        write!(err, "{text}")
    } else {
        write!(out, "{text}")
    };
    match written {
        Ok(()) => error.exit_code() as u8,
        Err(_) => failure::EXIT_IO,
    }
}
