//! `homes`: lists the home slots and reassigns lost ones.

use clap::ArgMatches;
use operator::message::ReassignRequest;
use operator::view;

use crate::console::{Console, block_on, client_from_args};
use crate::failure::Failure;

/// Runs the subcommand.
///
/// # Errors
///
/// Fails when the daemon does not reply, or rejects the reassignment.
pub fn run(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Failure> {
    let reply = match matches.subcommand() {
        Some(("list", matches)) => {
            let client = client_from_args(matches)?;
            block_on(async { Ok(client.homes().await?) })?
        }
        Some(("reassign", matches)) => {
            let client = client_from_args(matches)?;
            let number = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
            let slot = matches.get_one::<u32>("slot").copied().unwrap_or_default();
            let request = ReassignRequest {
                slot,
                epoch: number("epoch"),
            };
            block_on(async { Ok(client.reassign(&request).await?) })?
        }
        _ => return Err(Failure::Usage("name a subcommand; see --help".to_owned())),
    };
    console.print_reply(&reply, view::homes)
}
