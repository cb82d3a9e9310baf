//! `trace`: the log lines of one call over several daemons, in order.
//!
//! The endpoint names the calls that it makes after the call that it runs, so the lines of a whole
//! chain are found by the id of its first call. Clocks of VMs differ by a little; lines of one file
//! keep their order.

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
struct Line {
    timestamp: String,
    #[serde(default)]
    message: String,
    #[serde(default)]
    kvs: BTreeMap<String, Value>,
}

/// A line that belongs to the traced call.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Step {
    /// Time by the clock of its VM.
    pub time: String,
    /// VM, or the file if it does not tell.
    pub vm: String,
    /// What happened.
    pub event: String,
    /// Id of the call of this step.
    pub id: String,
    /// What decided it.
    pub fields: BTreeMap<String, String>,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails when a file cannot be read or no line names the call.
pub fn run(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Failure> {
    let id = matches
        .get_one::<String>("id")
        .ok_or_else(|| Failure::Usage("name the id of a call; see --help".to_owned()))?;
    let files = matches.get_many::<PathBuf>("files").unwrap_or_default();
    let mut steps = Vec::new();
    for file in files {
        let text =
            std::fs::read_to_string(file).map_err(|error| Failure::File(file.clone(), error))?;
        steps.extend(read(file, &text, id));
    }
    // Sorting is stable: lines of one file with the same time keep their order.
    steps.sort_by(|a, b| a.time.cmp(&b.time));
    if steps.is_empty() {
        return Err(Failure::Usage(format!(
            "no line names call {id}; the lines of a second are bounded, see lines_left_out"
        )));
    }
    console.print_reply(&steps, |steps| view(steps))
}

/// Lines of a file that belong to a call or to a call that it led to.
fn read(file: &Path, text: &str, id: &str) -> Vec<Step> {
    // Lines may have a prefix of the collector before the object.
    let lines: Vec<Line> = text
        .lines()
        .filter_map(|line| serde_json::from_str(&line[line.find('{')?..]).ok())
        .collect();
    let vm = lines
        .iter()
        .find_map(|line| {
            (text_of(&line.kvs, "event") == "started").then(|| text_of(&line.kvs, "vm"))
        })
        .unwrap_or_else(|| file.display().to_string());
    lines
        .into_iter()
        .filter(|line| is_part(&text_of(&line.kvs, "id"), id))
        .map(|mut line| {
            let event = text_of(&line.kvs, "event");
            let id = text_of(&line.kvs, "id");
            line.kvs.retain(|key, _| key != "event" && key != "id");
            if !line.message.is_empty() {
                let message = Value::String(line.message);
                line.kvs.insert("message".to_owned(), message);
            }
            let fields = line
                .kvs
                .keys()
                .map(|key| (key.clone(), text_of(&line.kvs, key)));
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

fn is_part(found: &str, id: &str) -> bool {
    found
        .strip_prefix(id)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

fn text_of(fields: &BTreeMap<String, Value>, key: &str) -> String {
    match fields.get(key) {
        None => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
    }
}

fn view(steps: &[Step]) -> String {
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
