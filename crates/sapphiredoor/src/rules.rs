//! `rules`: checks, compares and changes the rules.

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::ArgMatches;
use operator::change;
use operator::client::Client;
use operator::file::{self, RulesFile};
use operator::message::{
    ApplyOutcome, ApplyReply, Edit, MemberState, MembersReply, Mistake, RulesReply,
};
use operator::view;
use policy::id::Revision;
use serde::Serialize;
use tokio::time::Instant;

use crate::console::{Console, block_on, client_from_args, path_arg, read_file, text_arg};
use crate::failure::Failure;

#[cfg(test)]
mod tests;

/// Start of the first line that `rules show` prints and `rules apply` reads the base revision from.
const HEADER: &str = "// base revision ";
/// Maximum number of sends of one edit; without a reply by then, its outcome is unknown.
const MAX_SENDS: u32 = 3;
/// Time between two requests for the members, or two sends of an edit.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the subcommand.
///
/// # Errors
///
/// Fails when a file has mistakes, or the daemon does not reply or rejects the request.
pub fn run(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("check", matches)) => check(matches, console),
        Some(("diff", matches)) => diff(matches, console),
        Some(("apply", matches)) => apply(matches, console),
        Some(("history", matches)) => history(matches, console),
        Some(("show", matches)) => show(matches, console),
        Some(("rollback", matches)) => rollback(matches, console),
        _ => Err(Failure::Usage("name a subcommand; see --help".to_owned())),
    }
}

/// Outcome of `rules check`.
#[derive(Debug)]
#[derive(Serialize)]
struct CheckReport {
    rules: usize,
    warnings: Vec<Mistake>,
}

fn check(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Failure> {
    let path = path_arg(matches, "file")?;
    let (file, warnings) = parse_file(&path, &read_file(&path)?)?;
    if matches.get_flag("strict") && !warnings.is_empty() {
        return Err(Failure::Mistakes(path, warnings));
    }
    if matches.get_flag("canonical") {
        return console.print_text(&file.canonical());
    }
    let checked = CheckReport {
        rules: file.blocks.len(),
        warnings,
    };
    console.print_reply(&checked, |checked| {
        let (rules, warnings) = (checked.rules, checked.warnings.len());
        let list = view::mistakes(&checked.warnings);
        format!(
            "{list}{}: {rules} rules, no errors, {warnings} warnings\n",
            path.display()
        )
    })
}

fn diff(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Failure> {
    let paths: Vec<&PathBuf> = matches.get_many("files").unwrap_or_default().collect();
    let (older, newer) = match paths.as_slice() {
        [older, newer] => (load(older)?.file, newer),
        [newer] => {
            let client = client_from_args(matches)?;
            let revision = matches.get_one::<Revision>("revision").copied();
            let reply = block_on(async { Ok(client.rules(revision).await?) })?;
            (file::parse(reply.text.as_bytes()).file, newer)
        }
        _ => {
            return Err(Failure::Usage(
                "name one or two files; see --help".to_owned(),
            ));
        }
    };
    let newer = load(newer)?.file;
    console.print_reply(&change::diff(&older, &newer), |changes| {
        view::changes(changes)
    })
}

fn apply(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Failure> {
    let path = path_arg(matches, "file")?;
    let loaded = load(&path)?;
    let base = matches.get_one::<Revision>("base").copied().or(loaded.base);
    let base = base.ok_or_else(|| {
        let remedy = "pass --base REVISION, or start from the output of `rules show`";
        Failure::Usage(format!(
            "{} names no base revision; {remedy}",
            path.display()
        ))
    })?;
    send_and_wait(
        matches,
        &client_from_args(matches)?,
        &build_edit(matches, base, loaded.text),
        console,
    )
}

fn rollback(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Failure> {
    let client = client_from_args(matches)?;
    let to = matches.get_one::<Revision>("to").copied();
    let (target, current) = block_on(async {
        let target = client.rules(to).await?;
        Ok((target, client.rules(None).await?))
    })?;
    let base = matches
        .get_one::<Revision>("base")
        .copied()
        .unwrap_or(current.revision);
    let edit = build_edit(matches, base, target.text);
    send_and_wait(matches, &client, &edit, console)
}

fn history(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Failure> {
    let client = client_from_args(matches)?;
    let reply = block_on(async { Ok(client.history().await?) })?;
    console.print_reply(&reply, view::history)
}

fn show(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Failure> {
    let client = client_from_args(matches)?;
    let revision = matches.get_one::<Revision>("revision").copied();
    let reply = block_on(async { Ok(client.rules(revision).await?) })?;
    console.print_reply(&reply, |RulesReply { revision, text }| {
        format!("{HEADER}{revision}\n{text}")
    })
}

/// Returns the rules and warnings of a file, or its mistakes if one is an error.
fn parse_file(path: &Path, bytes: &[u8]) -> Result<(RulesFile, Vec<Mistake>), Failure> {
    let parsed = file::parse(bytes).into_result();
    parsed.map_err(|mistakes| Failure::Mistakes(path.to_owned(), mistakes))
}

/// A rules file without errors.
struct LoadedFile {
    /// Base revision in the first line, if the file has that line of `rules show`.
    base: Option<Revision>,
    /// Text without the base line.
    text: String,
    file: RulesFile,
}

fn load(path: &Path) -> Result<LoadedFile, Failure> {
    let bytes = read_file(path)?;
    // The whole file is checked, so that mistakes have the line numbers that an editor shows.
    parse_file(path, &bytes)?;
    let text = String::from_utf8_lossy(&bytes);
    let (base, text) = split_base_line(&text);
    Ok(LoadedFile {
        base,
        text: text.to_owned(),
        file: file::parse(text.as_bytes()).file,
    })
}

fn split_base_line(text: &str) -> (Option<Revision>, &str) {
    let (first, rest) = text.split_once('\n').unwrap_or((text, ""));
    let base = first
        .strip_prefix(HEADER)
        .and_then(|base| base.trim_end().parse().ok());
    (base, if base.is_some() { rest } else { text })
}

fn build_edit(matches: &ArgMatches, base: Revision, rules: String) -> Edit {
    let edit_id = matches.get_one::<String>("edit-id").cloned();
    Edit {
        edit: edit_id.unwrap_or_else(|| change::edit_id(&rules, base)),
        base,
        text: rules,
        author: text_arg(matches, "author"),
        reason: text_arg(matches, "reason"),
        dry_run: matches.get_flag("dry-run"),
    }
}

/// Sends an edit and, with `--wait`, waits until it is in force.
fn send_and_wait(
    matches: &ArgMatches,
    client: &Client,
    edit: &Edit,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let reply = block_on(send_until_reply(client, edit, console))?;
    console.print_reply(&reply, view::apply)?;
    if !matches.get_flag("wait") || reply.applied == ApplyOutcome::DryRun {
        return Ok(());
    }
    let secs = matches
        .get_one::<u64>("wait-seconds")
        .copied()
        .unwrap_or_default();
    block_on(wait_until_in_force(
        client,
        reply.revision,
        Duration::from_secs(secs),
        console,
    ))
}

/// Sends an edit until a reply comes, at most [`MAX_SENDS`] times. Resends only while the outcome is
/// unknown; the edit id makes the request idempotent.
async fn send_until_reply(
    client: &Client,
    edit: &Edit,
    console: &mut Console<'_>,
) -> Result<ApplyReply, Failure> {
    let mut outcome_unknown = false;
    let mut sends = 1;
    loop {
        let error = match client.apply(edit).await {
            Ok(reply) => return Ok(reply),
            Err(error) => error,
        };
        outcome_unknown |= error.may_have_taken_effect();
        if !outcome_unknown || error.rules_out_effect() {
            return Err(error.into());
        }
        let Edit { edit: id, base, .. } = edit;
        if sends == MAX_SENDS {
            console.print_progress(&format!("run it again with --base {base} --edit-id {id}"));
            return Err(Failure::OutcomeUnknown(error));
        }
        console.print_progress(&format!("send {sends} of edit {id}: {error}"));
        sends += 1;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until every reachable daemon has the revision in force.
async fn wait_until_in_force(
    client: &Client,
    revision: Revision,
    limit: Duration,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let start = Instant::now();
    let mut shown = "no daemon has replied".to_owned();
    loop {
        match client.members().await {
            Ok(reply) => {
                let (line, all) = adoption_progress(&reply, revision);
                if line != shown {
                    console.print_progress(&line);
                    shown = line;
                }
                if all {
                    return Ok(());
                }
            }
            Err(error) if error.may_have_taken_effect() => {}
            Err(error) => return Err(error.into()),
        }
        if start.elapsed() >= limit {
            let message = format!(
                "{shown} after {} s; see `members` for those behind; the change stays in place",
                limit.as_secs()
            );
            return Err(Failure::WaitTimeout(message));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns how many daemons have the revision in force, and whether all reachable ones do.
fn adoption_progress(reply: &MembersReply, revision: Revision) -> (String, bool) {
    let count = |states: &[MemberState], min_revision: Revision| {
        let members = reply.members.iter();
        let matching = members
            .filter(|member| states.contains(&member.state) && member.revision >= min_revision);
        matching.count()
    };
    let reachable = [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Draining,
    ];
    let (adopted, reached) = (count(&reachable, revision), count(&reachable, 0));
    let suffix = match count(&[MemberState::Unreachable], 0) {
        0 => String::new(),
        unreachable => format!(", {unreachable} cannot be reached"),
    };
    let line = format!("{adopted} of {reached} daemons have revision {revision} in force{suffix}");
    (line, adopted == reached)
}
