//! `configuration check`: reports what is wrong with a configuration before it is sent, and what it
//! changes.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use adapter::configuration;
use clap::ArgMatches;
use policy::draft::{Change, Draft, Severity};
use serde::Serialize;

use crate::console::{Console, path_arg, read_file};
use crate::failure::Failure;

#[cfg(test)]
mod tests;

/// A finding as it is printed.
#[derive(Debug)]
#[derive(Serialize)]
struct FindingRow {
    severity: &'static str,
    place: String,
    found: String,
}

/// Outcome of `configuration check`.
#[derive(Debug)]
#[derive(Serialize)]
struct CheckReport {
    version: u64,
    findings: Vec<FindingRow>,
    changes: Vec<String>,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails when a file cannot be read or decoded, and when the check finds errors.
pub fn run(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Failure> {
    let Some(("check", matches)) = matches.subcommand() else {
        return Err(Failure::Usage("name a subcommand; see --help".to_owned()));
    };
    let path = path_arg(matches, "file")?;
    let draft = load(&path)?;
    let active = matches.get_one::<PathBuf>("in-force");
    let active = active.map(|path| load(path)).transpose()?;
    let report = report(&draft, active.as_ref());
    console.print_reply(&report, table)?;
    let errors = report.findings.iter();
    let errors = errors.filter(|row| row.severity == severity_name(Severity::Error));
    match errors.count() {
        0 => Ok(()),
        count => Err(Failure::Settings(path, format!("{count} errors"))),
    }
}

fn load(path: &Path) -> Result<Draft, Failure> {
    configuration::decode_draft(&read_file(path)?)
        .map_err(|error| Failure::Settings(path.to_owned(), error.to_string()))
}

fn report(draft: &Draft, active: Option<&Draft>) -> CheckReport {
    let findings = draft.findings().into_iter().map(|finding| FindingRow {
        severity: severity_name(finding.severity),
        place: finding.place,
        found: finding.found,
    });
    let mut findings: Vec<FindingRow> = findings.collect();
    if let Some(active) = active
        && draft.version <= active.version
    {
        let row = FindingRow {
            severity: severity_name(Severity::Error),
            place: "version".to_owned(),
            found: format!(
                "{} is not higher than {}, which is in force, so that no daemon adopts it",
                draft.version, active.version
            ),
        };
        findings.insert(0, row);
    }
    let changes = active.map(|active| draft.changes(active));
    CheckReport {
        version: draft.version,
        findings,
        changes: changes.iter().flatten().map(Change::to_string).collect(),
    }
}

fn severity_name(severity: Severity) -> &'static str {
    match severity {
        Severity::Error => "error",
        Severity::Warning => "warning",
    }
}

fn table(report: &CheckReport) -> String {
    let place_width = |row: &FindingRow| row.place.chars().count();
    let width = report.findings.iter().map(place_width).max().unwrap_or(0);
    let mut text = String::new();
    // Writing to a string cannot fail.
    for row in &report.findings {
        let _ = writeln!(
            text,
            "{:7}  {:width$}  {}",
            row.severity, row.place, row.found
        );
    }
    for change in &report.changes {
        let _ = writeln!(text, "{change}");
    }
    let _ = writeln!(
        text,
        "version {}: {} findings, {} changes",
        report.version,
        report.findings.len(),
        report.changes.len()
    );
    text
}
