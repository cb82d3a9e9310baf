//! `report`: shows the burn rates of the error budgets.

use std::path::PathBuf;

use clap::ArgMatches;
use operator::{chart, view};

use crate::console::{Console, block_on, client_from_args};
use crate::failure::Failure;

/// Runs the subcommand.
///
/// # Errors
///
/// Fails when the daemon does not reply or the chart cannot be written.
pub fn run(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Failure> {
    let client = client_from_args(matches)?;
    let reply = block_on(async { Ok(client.report().await?) })?;
    if let Some(path) = matches.get_one::<PathBuf>("svg") {
        let title = format!("Burn of the error budgets at {}", reply.vm);
        let written = std::fs::write(path, chart::svg(&reply.burn, &title));
        written.map_err(|error| Failure::File(path.clone(), error))?;
    }
    console.print_reply(&reply, view::report)
}
