//! What subcommands share: output, files and the connection to a daemon.

use std::fmt;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::ArgMatches;
use operator::client::{Client, ClientError};
use operator::{key, view};
use serde::Serialize;
use serde_json::json;

use crate::failure::Failure;

/// Output of a subcommand.
pub struct Console<'a> {
    json: bool,
    out: &'a mut dyn Write,
    err: &'a mut dyn Write,
}

impl<'a> Console<'a> {
    /// Takes the format from `--output`.
    #[must_use]
    pub fn new(matches: &ArgMatches, out: &'a mut dyn Write, err: &'a mut dyn Write) -> Self {
        let json = matches
            .get_one::<String>("output")
            .is_some_and(|format| format == "json");
        Self { json, out, err }
    }

    /// Prints a reply as JSON, or as the text that `text` makes of it.
    ///
    /// # Errors
    ///
    /// Fails when the output is closed.
    pub fn print_reply<T: Serialize>(
        &mut self,
        reply: &T,
        text: impl FnOnce(&T) -> String,
    ) -> Result<(), Failure> {
        let text = if self.json {
            view::json(reply)
        } else {
            text(reply)
        };
        self.print_text(&text)
    }

    /// Prints a text in both formats.
    ///
    /// # Errors
    ///
    /// Fails when the output is closed.
    pub fn print_text(&mut self, text: &str) -> Result<(), Failure> {
        let written = self
            .out
            .write_all(text.as_bytes())
            .and_then(|()| self.out.flush());
        written.map_err(Failure::Output)
    }

    /// Prints a line of progress beside the output.
    pub fn print_progress(&mut self, line: &str) {
        // Progress is no result: a closed stderr must not stop the command.
        let _ = writeln!(self.err, "{line}");
    }

    /// Prints why the subcommand failed.
    pub fn print_failure(&mut self, failure: &Failure) {
        let line = if self.json {
            describe(failure)
        } else {
            format!("error: {failure}")
        };
        self.print_progress(&line);
    }
}

impl fmt::Debug for Console<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Console")
            .field("json", &self.json)
            .finish_non_exhaustive()
    }
}

fn describe(failure: &Failure) -> String {
    let mut value = json!({ "error": failure.to_string(), "code": failure.exit_code() });
    match failure {
        Failure::Mistakes(_, mistakes) => value["mistakes"] = json!(mistakes),
        Failure::Client(ClientError::Problem(problem))
        | Failure::OutcomeUnknown(ClientError::Problem(problem)) => {
            value["problem"] = json!(problem)
        }
        _ => {}
    }
    value.to_string()
}

/// Path given for an argument.
///
/// # Errors
///
/// Fails when it is missing.
pub fn path_arg(matches: &ArgMatches, name: &str) -> Result<PathBuf, Failure> {
    let path = matches.get_one::<PathBuf>(name).cloned();
    path.ok_or_else(|| Failure::Usage(format!("--{name} is missing")))
}

/// Text given for an argument, or empty.
#[must_use]
pub fn text_arg(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

/// Reads a file.
///
/// # Errors
///
/// Fails when it cannot be read.
pub fn read_file(path: &Path) -> Result<Vec<u8>, Failure> {
    std::fs::read(path).map_err(|error| Failure::File(path.to_owned(), error))
}

/// Client of the daemon that `--daemon` and `--key-file` name.
///
/// # Errors
///
/// Fails when one of the two is missing or the key file cannot be used.
pub fn client_from_args(matches: &ArgMatches) -> Result<Client, Failure> {
    let address = matches.get_one::<SocketAddr>("daemon").copied();
    let address = address.ok_or_else(|| Failure::Usage("--daemon is missing".to_owned()))?;
    let path = path_arg(matches, "key-file")?;
    let text = String::from_utf8_lossy(&read_file(&path)?).into_owned();
    let key = key::first(&text).ok_or_else(|| Failure::MissingKey(path))?;
    Ok(Client::new(address, key)?)
}

/// Runs a task to its end on this thread.
///
/// # Errors
///
/// Fails when the task does.
pub fn block_on<T>(task: impl Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.map_err(Failure::Output)?.block_on(task)
}
