//! `members`: lists the daemons of the fleet.

use clap::ArgMatches;
use operator::view;

use crate::console::{Console, block_on, client_from_args};
use crate::failure::Failure;

/// Runs the subcommand.
///
/// # Errors
///
/// Fails when the daemon does not reply.
pub fn run(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Failure> {
    let client = client_from_args(matches)?;
    let reply = block_on(async { Ok(client.members().await?) })?;
    console.print_reply(&reply, view::members)
}
