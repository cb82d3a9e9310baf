//! Formats replies as text for operators.
//!
//! Every function returns whole lines. [`json`] formats the same replies as JSON.

use std::fmt::Write as _;
use std::time::{Duration, UNIX_EPOCH};

use policy::burn::{Report, Row};
use serde::Serialize;

use crate::message::{
    Action, ApplyOutcome, ApplyReply, ChangeInfo, DrainReply, ExplainReply, HistoryReply,
    HomesReply, MembersReply, MetricsReply, Mistake, ReportReply, RuleChange, StatusReply,
};

#[cfg(test)]
mod tests;

/// Formats a reply as JSON.
#[must_use]
pub fn json(reply: &impl Serialize) -> String {
    let mut text = serde_json::to_string_pretty(reply).unwrap_or_default();
    text.push('\n');
    text
}

/// Formats the members as a table, sorted by data centre and VM.
#[must_use]
pub fn members(reply: &MembersReply) -> String {
    let mut members: Vec<_> = reply.members.iter().collect();
    members.sort_by(|a, b| (&a.data_centre, &a.vm).cmp(&(&b.data_centre, &b.vm)));
    let rows = members.iter().map(|member| {
        let state = member.state.as_str().to_owned();
        let (data_centre, vm) = (member.data_centre.clone(), member.vm.clone());
        let revision = member.revision.to_string();
        [
            data_centre,
            vm,
            state,
            revision,
            member.address.clone(),
            member.services.join(","),
        ]
    });
    let header = ["DATA CENTRE", "VM", "STATE", "RULES", "ADDRESS", "SERVICES"];
    table(header, rows.collect())
}

/// Formats the home slots as a table. Slots without a live holder have the state `lost`.
#[must_use]
pub fn homes(reply: &HomesReply) -> String {
    let rows = reply.slots.iter().map(|home| {
        let state = if home.lost { "lost" } else { "held" };
        let successor = home.successor.clone().unwrap_or_else(|| "-".to_owned());
        let (slot, epoch) = (home.slot.to_string(), home.epoch.to_string());
        [slot, epoch, home.owner.clone(), successor, state.to_owned()]
    });
    table(
        ["SLOT", "EPOCH", "OWNER", "SUCCESSOR", "STATE"],
        rows.collect(),
    )
}

/// Formats the history as a table, newest change first.
#[must_use]
pub fn history(reply: &HistoryReply) -> String {
    let rows = reply.changes.iter().map(|change| {
        let revision = change.revision.to_string();
        let (author, reason) = (change.author.clone(), change.reason.clone());
        [
            revision,
            time(change.time_ms),
            author,
            rule_list(change),
            reason,
        ]
    });
    table(
        ["REVISION", "TIME", "AUTHOR", "RULES", "REASON"],
        rows.collect(),
    )
}

fn rule_list(change: &ChangeInfo) -> String {
    const MAX_SHOWN_RULES: usize = 3;
    let shown = change
        .rules
        .iter()
        .take(MAX_SHOWN_RULES)
        .cloned()
        .collect::<Vec<_>>()
        .join(", ");
    match change.rules.len().saturating_sub(MAX_SHOWN_RULES) + change.more as usize {
        0 => shown,
        more => format!("{shown} and {more} more"),
    }
}

/// Formats the differences by rule, like a diff.
#[must_use]
pub fn changes(changes: &[RuleChange]) -> String {
    if changes.is_empty() {
        return "no rule differs\n".to_owned();
    }
    let mut text = String::new();
    for change in changes {
        let action = match change.action {
            Action::Added => "added",
            Action::Changed => "changed",
            Action::Removed => "removed",
            Action::Moved => "moved",
        };
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{} {action}", change.id);
        for (sign, line) in [('-', &change.before), ('+', &change.after)] {
            if let Some(line) = line {
                let _ = writeln!(text, "  {sign} {line}");
            }
        }
    }
    text
}

/// Formats the outcome of an edit.
#[must_use]
pub fn apply(reply: &ApplyReply) -> String {
    let revision = reply.revision;
    let outcome = match reply.applied {
        ApplyOutcome::Written => format!("written as revision {revision}"),
        ApplyOutcome::Already => format!("already written as revision {revision}"),
        ApplyOutcome::Unchanged => format!("revision {revision} has these rules already"),
        ApplyOutcome::DryRun => format!("dry run against revision {revision}, nothing written"),
    };
    let merged = if reply.merged {
        ", merged with edits since the base"
    } else {
        ""
    };
    let changes = if reply.applied == ApplyOutcome::Already {
        String::new()
    } else {
        changes(&reply.changes)
    };
    format!("{changes}{}{outcome}{merged}\n", mistakes(&reply.warnings))
}

/// Formats mistakes, one a line.
#[must_use]
pub fn mistakes(mistakes: &[Mistake]) -> String {
    mistakes
        .iter()
        .fold(String::new(), |text, mistake| format!("{text}{mistake}\n"))
}

/// Formats the rules that apply to a customer and to kinds, and the outcome of a call.
#[must_use]
pub fn explain(reply: &ExplainReply) -> String {
    let mut text = format!("rules of revision {}\n", reply.revision);
    if let Some(call) = &reply.call {
        let source = rule_source(call.line, &call.asked_by);
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "call {} at {}: {} ({}), kind {}, rank {}, customer {}, {source}: {}",
            call.call,
            time(call.time_ms),
            call.outcome,
            call.ran,
            call.kind,
            call.rank,
            printable(&call.customer),
            printable(&call.detail)
        );
    }
    if let Some(customer) = &reply.customer {
        let source = rule_source(customer.line, &customer.asked_by);
        let (name, weight) = (printable(&customer.customer), customer.weight);
        let _ = writeln!(text, "customer {name}: weight {weight}, {source}");
    }
    let rows = reply.kinds.iter().map(|kind| {
        let admitted = match kind.admitted {
            Some(true) => "yes",
            Some(false) => "no",
            None => "unknown",
        };
        [
            kind.kind.clone(),
            kind.service.clone(),
            kind.rank.to_string(),
            kind.deadline_ms.to_string(),
            kind.floor_percent.to_string(),
            kind.extra_attempts.to_string(),
            if kind.idempotent { "yes" } else { "no" }.to_owned(),
            admitted.to_owned(),
            rule_source(kind.line, &kind.asked_by),
        ]
    });
    let rows: Vec<_> = rows.collect();
    if !rows.is_empty() {
        let header = [
            "KIND",
            "SERVICE",
            "RANK",
            "DEADLINE MS",
            "FLOOR %",
            "EXTRA",
            "IDEMPOTENT",
            "ADMITTED",
            "WHY",
        ];
        text.push_str(&table(header, rows));
    }
    text
}

fn rule_source(line: u32, asked_by: &str) -> String {
    match line {
        0 => "built-in default".to_owned(),
        line => format!("line {line}, {asked_by}"),
    }
}

/// Formats the burn rates by kind, rank and customer.
#[must_use]
pub fn report(reply: &ReportReply) -> String {
    let Report {
        kinds,
        ranks,
        customers,
    } = &reply.burn;
    format!(
        "calls that entered at {}; burn 1 spends the error budget exactly\n\n{}\n{}\n{}",
        reply.vm,
        burn_table("KIND", kinds),
        burn_table("RANK", ranks),
        burn_table("CUSTOMER", customers)
    )
}

fn burn_table(first_column: &'static str, rows: &[Row]) -> String {
    let rows = rows.iter().map(|row| {
        let counts = &row.short.counts;
        [
            row.name.clone(),
            format!("{:.2}", row.target_percent),
            format!("{:.2}", row.short.burn),
            format!("{:.2}", row.long.burn),
            counts.good.to_string(),
            counts.refused.to_string(),
            counts.late.to_string(),
            counts.failed.to_string(),
        ]
    });
    let header = [
        first_column,
        "TARGET %",
        "BURN 5MIN",
        "BURN 1H",
        "GOOD 5MIN",
        "REFUSED",
        "LATE",
        "FAILED",
    ];
    table(header, rows.collect())
}

/// Formats the state of a daemon.
#[must_use]
pub fn status(reply: &StatusReply) -> String {
    let yes_or_no = |flag| if flag { "yes" } else { "no" }.to_owned();
    let platform = reply.platform_age_ms.map_or_else(
        || "never answered".to_owned(),
        |age| format!("answered {} ago", duration(age)),
    );
    let lines = [
        ("vm", format!("{} in {}", reply.vm, reply.data_centre)),
        ("version", reply.version.clone()),
        ("up", duration(reply.uptime_ms)),
        ("ready", yes_or_no(reply.ready)),
        ("draining", yes_or_no(reply.draining)),
        ("rules", format!("revision {}", reply.revision)),
        ("platform", platform),
        (
            "members",
            format!("{} alive, {} doubtful", reply.alive, reply.doubtful),
        ),
        (
            "homes",
            format!(
                "{} owned, {} as successor",
                reply.homes_owned, reply.homes_succeeded
            ),
        ),
        ("tickets", reply.tickets.to_string()),
    ];
    let mut text = String::new();
    for (name, value) in lines {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{name:<9} {value}");
    }
    let rows = reply.services.iter().map(|service| {
        let level = format!("{}.{}", service.level_rank, service.level_bucket);
        let numbers = [
            service.slots,
            service.limit,
            service.running,
            service.queued,
        ];
        let [slots, limit, running, queued] = numbers.map(|number| number.to_string());
        [
            service.service.clone(),
            slots,
            limit,
            running,
            queued,
            level,
        ]
    });
    let header = ["SERVICE", "SLOTS", "LIMIT", "RUNNING", "QUEUED", "LEVEL"];
    text + "\n" + &table(header, rows.collect())
}

/// Formats the counters as a table, sorted by name.
#[must_use]
pub fn metrics(reply: &MetricsReply) -> String {
    let rows = reply.counters.iter();
    let rows = rows.map(|(name, value)| [name.clone(), value.to_string()]);
    table(["COUNTER", "VALUE"], rows.collect())
}

/// Formats the progress of a drain.
#[must_use]
pub fn drain(reply: &DrainReply) -> String {
    let DrainReply {
        vm,
        running,
        homes,
        done,
    } = reply;
    if *done {
        format!("{vm} is drained\n")
    } else {
        format!("{vm} is draining: {running} calls running, {homes} home slots to hand over\n")
    }
}

fn time(time_ms: u64) -> String {
    let time = UNIX_EPOCH.checked_add(Duration::from_millis(time_ms));
    // The formatter fails beyond the year 9999. 70 million hours end in the year 9955.
    let time = time.filter(|time| *time < UNIX_EPOCH + Duration::from_hours(70_000_000));
    time.map_or_else(
        || "unknown".to_owned(),
        |time| humantime::format_rfc3339_seconds(time).to_string(),
    )
}

fn duration(ms: u64) -> String {
    let rounded = if ms < 1_000 { ms } else { ms / 1_000 * 1_000 };
    humantime::format_duration(Duration::from_millis(rounded)).to_string()
}

/// Replaces control characters. Customer names come from callers and must not control the
/// operator's terminal.
fn printable(text: &str) -> String {
    let shown = |c: char| {
        if c.is_control() {
            char::REPLACEMENT_CHARACTER
        } else {
            c
        }
    };
    text.chars().map(shown).collect()
}

/// Formats a table with columns as wide as their widest cell, two spaces apart.
fn table<const N: usize>(header: [&str; N], rows: Vec<[String; N]>) -> String {
    let mut lines = vec![header.map(str::to_owned)];
    lines.extend(rows.into_iter().map(|row| row.map(|cell| printable(&cell))));
    let widths: [usize; N] = std::array::from_fn(|column| {
        let cells = lines.iter().map(|line| line[column].chars().count());
        cells.max().unwrap_or(0)
    });
    let mut text = String::new();
    for line in &lines {
        let mut row = String::new();
        for (cell, width) in line.iter().zip(widths) {
            // Writing to a string cannot fail.
            let _ = write!(row, "{cell:<width$}  ");
        }
        text.push_str(row.trim_end());
        text.push('\n');
    }
    text
}
