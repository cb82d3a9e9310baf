//! `status`: shows the state or the counters of one daemon.

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
    if matches.get_flag("counters") {
        let reply = block_on(async { Ok(client.metrics().await?) })?;
        return console.print_reply(&reply, view::metrics);
    }
    let (status, ready) = block_on(async {
        let status = client.status().await?;
        Ok((status, client.ready().await?))
    })?;
    console.print_reply(&status, view::status)?;
    for missing in ready.missing {
        console.print_progress(&format!("not ready: {missing}"));
    }
    Ok(())
}
