//! `trace`: prints the log lines of one call from the logs of several daemons, in order of time.
//!
//! Endpoints give a nested call an id that starts with the id of its parent call, so the lines of a
//! whole chain are found by the id of its first call. The clocks of the VMs differ slightly, so
//! lines of different files can be out of order; lines of one file with the same time keep their
//! order.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use clap::ArgMatches;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::console::Console;
use crate::failure::Failure;

#[cfg(test)]
mod tests;

/// A log line of a daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
struct LogLine {
    timestamp: String,
    #[serde(default)]
    message: String,
    #[serde(default)]
    kvs: BTreeMap<String, Value>,
}

/// A log line of the traced call or of a call nested in it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Step {
    /// Time by the clock of the VM.
    pub time: String,
    /// Name of the VM, or path of the file if its log does not name the VM.
    pub vm: String,
    /// Name of the event.
    pub event: String,
    /// Id of the call of this step.
    pub id: String,
    /// Other fields of the line.
    pub fields: BTreeMap<String, String>,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails when a file cannot be read or no line belongs to the call.
pub fn run(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Failure> {
    let id = matches
        .get_one::<String>("id")
        .ok_or_else(|| Failure::Usage("name the id of a call; see --help".to_owned()))?;
    let files = matches.get_many::<PathBuf>("files").unwrap_or_default();
    let mut steps = Vec::new();
    for file in files {
        let text =
            std::fs::read_to_string(file).map_err(|error| Failure::File(file.clone(), error))?;
        steps.extend(read_steps(file, &text, id));
    }
    // Sorting is stable: lines of one file with the same time keep their order.
    steps.sort_by(|a, b| a.time.cmp(&b.time));
    if steps.is_empty() {
        return Err(Failure::Usage(format!(
            "no line names call {id}; daemons limit the lines per second, see lines_left_out"
        )));
    }
    console.print_reply(&steps, |steps| render(steps))
}

/// Returns the lines of a log that belong to a call or to the calls nested in it.
fn read_steps(file: &Path, text: &str, id: &str) -> Vec<Step> {
    // A log collector may put a prefix before the JSON object.
    let lines: Vec<LogLine> = text
        .lines()
        .filter_map(|line| serde_json::from_str(&line[line.find('{')?..]).ok())
        .collect();
    let vm = lines
        .iter()
        .find_map(|line| {
            (field_text(&line.kvs, "event") == "started").then(|| field_text(&line.kvs, "vm"))
        })
        .unwrap_or_else(|| file.display().to_string());
    lines
        .into_iter()
        .filter(|line| is_in_chain(&field_text(&line.kvs, "id"), id))
        .map(|mut line| {
            let event = field_text(&line.kvs, "event");
            let id = field_text(&line.kvs, "id");
            line.kvs.retain(|key, _| key != "event" && key != "id");
            if !line.message.is_empty() {
                let message = Value::String(line.message);
                line.kvs.insert("message".to_owned(), message);
            }
            let fields = line
                .kvs
                .keys()
                .map(|key| (key.clone(), field_text(&line.kvs, key)));
            Step {
                time: line.timestamp,
                vm: vm.clone(),
                event,
                id,
                fields: fields.collect(),
            }
        })
        .collect()
}

/// Returns whether the call `found` is the call `id` or nested in it.
fn is_in_chain(found: &str, id: &str) -> bool {
    found
        .strip_prefix(id)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

fn field_text(fields: &BTreeMap<String, Value>, key: &str) -> String {
    match fields.get(key) {
        None => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
    }
}

fn render(steps: &[Step]) -> String {
    let mut text = String::new();
    for step in steps {
        let fields: Vec<String> = step
            .fields
            .iter()
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{} {} {} {} {}",
            step.time,
            step.vm,
            step.event,
            step.id,
            fields.join(" ")
        );
    }
    text
}
