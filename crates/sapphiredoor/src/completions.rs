//! `completions`: prints the completion script of a shell.

use clap::ArgMatches;
use clap_complete::Shell;

use crate::cmd;
use crate::console::Console;
use crate::failure::Failure;

/// Runs the subcommand.
///
/// # Errors
///
/// Fails when the output is closed.
pub fn run(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Failure> {
    let shell = matches.get_one::<Shell>("shell").copied();
    let shell = shell.ok_or_else(|| Failure::Usage("name a shell; see --help".to_owned()))?;
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut cmd::command(), "sapphiredoor", &mut script);
    console.print_text(&String::from_utf8_lossy(&script))
}
