//! `sidecar`: runs the daemon beside an endpoint on the users' platform.

use clap::ArgMatches;
use sidecar::settings::{Settings, SettingsError};

use crate::console::{Console, path_arg};
use crate::failure::Failure;

/// Runs the daemon until the process receives SIGTERM or SIGINT. With `--check`, only checks the
/// settings.
///
/// # Errors
///
/// Fails when the settings have mistakes or name an address that cannot be used.
pub fn run(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Failure> {
    let path = path_arg(matches, "settings")?;
    let settings = Settings::load(&path).map_err(|error| match error {
        SettingsError::File(_, error) => Failure::File(path.clone(), error),
        error => Failure::Settings(path.clone(), error.to_string()),
    })?;
    if matches.get_flag("check") {
        return console.print_text(&format!("{} has no mistakes\n", path.display()));
    }
    sidecar::run(&path, settings).map_err(|error| Failure::Daemon(error.to_string()))
}
