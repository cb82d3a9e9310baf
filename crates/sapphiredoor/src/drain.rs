//! `drain`: drains the VM of a daemon.

use std::time::Duration;

use clap::ArgMatches;
use operator::client::{Client, ClientError};
use operator::message::{DrainReply, DrainRequest};
use operator::view;
use tokio::time::Instant;

use crate::console::{Console, block_on, client_from_args, text_arg};
use crate::failure::Failure;

/// Time between two requests for the progress.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the subcommand.
///
/// # Errors
///
/// Fails when the daemon does not reply, or work is left when the wait time has passed.
pub fn run(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Failure> {
    let client = client_from_args(matches)?;
    let request = DrainRequest {
        author: text_arg(matches, "author"),
        reason: text_arg(matches, "reason"),
    };
    let secs = matches
        .get_one::<u64>("wait-seconds")
        .copied()
        .unwrap_or_default();
    let limit = matches.get_flag("wait").then(|| Duration::from_secs(secs));
    let reply = block_on(drain_vm(&client, &request, limit, console))?;
    console.print_reply(&reply, view::drain)?;
    if limit.is_some() && !reply.done {
        let message = format!(
            "{} is not drained after {secs} s; run it again to go on",
            reply.vm
        );
        return Err(Failure::WaitTimeout(message));
    }
    Ok(())
}

/// Requests the drain and, with a limit, polls until no work is left or the limit has passed. A
/// drained daemon exits, so a refused connection after the first reply counts as drained.
async fn drain_vm(
    client: &Client,
    request: &DrainRequest,
    limit: Option<Duration>,
    console: &mut Console<'_>,
) -> Result<DrainReply, Failure> {
    let mut reply = client.drain(request).await?;
    let start = Instant::now();
    let mut shown = String::new();
    while limit.is_some_and(|limit| start.elapsed() < limit) && !reply.done {
        let line = view::drain(&reply);
        if line != shown {
            console.print_progress(line.trim_end());
            shown = line;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        reply = match client.drain(request).await {
            Ok(reply) => reply,
            Err(error @ ClientError::Connect(..)) => {
                console.print_progress(&format!("assuming that the daemon is drained: {error}"));
                DrainReply {
                    vm: reply.vm,
                    done: true,
                    ..DrainReply::default()
                }
            }
            Err(error) if error.may_have_taken_effect() => reply,
            Err(error) => return Err(error.into()),
        };
    }
    Ok(reply)
}
