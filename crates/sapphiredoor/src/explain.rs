//! `explain`: shows why a customer, a kind of work or a call is served or refused.

use clap::ArgMatches;
use operator::message::ExplainQuery;
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
    let option = |name| matches.get_one::<String>(name).cloned();
    let query = ExplainQuery {
        customer: option("customer"),
        kind: option("kind"),
        call: option("call"),
    };
    let reply = block_on(async { Ok(client.explain(&query).await?) })?;
    console.print_reply(&reply, view::explain)?;
    if let Some(kind) = query.kind.filter(|_| reply.kinds.is_empty()) {
        console.print_progress(&format!(
            "no rule declares the kind {kind}; see `rules show`"
        ));
    }
    if query.call.is_some() && reply.call.is_none() {
        console
            .print_progress("this daemon does not know the call; ask the daemon that answered it");
    }
    Ok(())
}
