//! `settings check`: reports the mistakes in a settings file.

use std::path::Path;

use clap::ArgMatches;
use daemon::config::{ConfigError, Settings};

use crate::console::{Console, path_arg};
use crate::failure::Failure;

/// Runs the subcommand.
///
/// # Errors
///
/// Fails when the file cannot be read or has mistakes.
pub fn run(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Failure> {
    let Some(("check", matches)) = matches.subcommand() else {
        return Err(Failure::Usage("name a subcommand; see --help".to_owned()));
    };
    let path = path_arg(matches, "file")?;
    load(&path)?;
    console.print_text(&format!("{} has no mistakes\n", path.display()))
}

/// Reads and checks the settings of the daemon.
///
/// # Errors
///
/// Fails when the file cannot be read or has mistakes.
pub fn load(path: &Path) -> Result<Settings, Failure> {
    Settings::load(path).map_err(|error| match error {
        ConfigError::Read(path, error) => Failure::File(path, error),
        mistakes @ ConfigError::Mistakes(_) => {
            Failure::Settings(path.to_owned(), mistakes.to_string())
        }
    })
}
