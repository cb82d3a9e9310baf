//! Concurrent edits of the rules, against the platform stand-in.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use daemon::apply::{apply, current_rules};
use operator::message::{ApplyOutcome, Edit, ProblemKind};
use platform::Client;
use policy::clock::SystemClock;
use standin::endpoint::free_address;
use standin::platform::{Faults, Platform};

const EDITS_PER_EDITOR: u32 = 1_000;

fn rule_line(editor: &str, number: u32) -> String {
    let rule = format!(r#"{{"customer": {{"name": "{editor}-{number}", "weight": 2}}}}"#);
    format!("{rule} // asked by {editor}\n")
}

async fn new_edit(client: &Client, editor: &str, number: u32) -> Edit {
    loop {
        if let Ok(found) = current_rules(client).await {
            let (base, text) = found.map_or((0, String::new()), |(at, stored)| (at, stored.text));
            // Each editor keeps only its newest rule, so that the value stays small.
            let mut lines: Vec<&str> = text.lines().filter(|line| !line.contains(editor)).collect();
            let own = rule_line(editor, number);
            lines.push(own.trim_end());
            return Edit {
                edit: format!("{editor}-{number}"),
                base,
                text: lines.join("\n") + "\n",
                author: editor.into(),
                reason: "race".into(),
                dry_run: false,
            };
        }
    }
}

/// Applies edits one after the other, each until its outcome is known. Returns how many of them
/// were written.
async fn editor(client: Client, name: &str) -> u32 {
    let mut written = 0;
    for number in 0..EDITS_PER_EDITOR {
        let mut pending = new_edit(&client, name, number).await;
        loop {
            match apply(&client, &pending, SystemTime::UNIX_EPOCH).await {
                Ok(reply) => {
                    written += u32::from(matches!(
                        reply.applied,
                        ApplyOutcome::Written | ApplyOutcome::Already
                    ));
                    break;
                }
                Err(problem) => match problem.kind {
                    // The outcome is unknown: apply the same edit again.
                    ProblemKind::Platform => {}
                    // The edit was not applied because its base is too old: rebase it.
                    ProblemKind::UnknownRevision => {
                        pending = new_edit(&client, name, number).await;
                    }
                    kind => panic!("{kind:?}: {problem}"),
                },
            }
        }
        let (_, stored) = wait_for_rules(&client).await;
        assert!(
            stored.contains(&format!("\"{name}-{number}\"")),
            "edit {name}-{number} is lost"
        );
    }
    written
}

async fn wait_for_rules(client: &Client) -> (u64, String) {
    loop {
        if let Ok(Some((revision, stored))) = current_rules(client).await {
            return (revision, stored.text);
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against an edit that is lost or applied twice when two editors race and responses are
/// lost after the write took effect.
#[tokio::test(flavor = "multi_thread")]
async fn racing_editors_lose_no_edit() {
    let address = free_address().expect("a port is free");
    let platform = Platform::start(address, Arc::new(SystemClock::new())).await;
    let platform = platform.expect("platform stand-in starts");
    platform.set_faults(Faults {
        lose_percent: 20.0,
        seed: 7,
        ..Faults::default()
    });
    let client = || Client::new(platform.address().to_string());
    let (ana, rui) = tokio::join!(editor(client(), "ana"), editor(client(), "rui"));
    assert_eq!((ana, rui), (EDITS_PER_EDITOR, EDITS_PER_EDITOR));
    // Each edit is one write, so the revision is the number of edits that took effect.
    platform.set_faults(Faults::default());
    let (revision, _) = wait_for_rules(&client()).await;
    assert_eq!(revision, u64::from(2 * EDITS_PER_EDITOR));
}
