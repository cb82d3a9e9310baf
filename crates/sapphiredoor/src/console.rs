//! Helpers that the subcommands share: output, arguments, files and the client of a daemon.

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
    /// Creates a console with the format that `--output` gives.
    #[must_use]
    pub fn new(matches: &ArgMatches, out: &'a mut dyn Write, err: &'a mut dyn Write) -> Self {
        let json = matches
            .get_one::<String>("output")
            .is_some_and(|format| format == "json");
        Self { json, out, err }
    }

    /// Prints a reply as JSON, or as the text that `to_text` returns.
    ///
    /// # Errors
    ///
    /// Fails when the output is closed.
    pub fn print_reply<T: Serialize>(
        &mut self,
        reply: &T,
        to_text: impl FnOnce(&T) -> String,
    ) -> Result<(), Failure> {
        let text = if self.json {
            view::json(reply)
        } else {
            to_text(reply)
        };
        self.print_text(&text)
    }

    /// Prints a text as it is, whichever format is set.
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

    /// Prints a line of progress to the error output.
    pub fn print_progress(&mut self, line: &str) {
        // Progress is not part of the result, so a closed stderr must not stop the command.
        let _ = writeln!(self.err, "{line}");
    }

    /// Prints why the subcommand failed.
    pub fn print_failure(&mut self, failure: &Failure) {
        let line = if self.json {
            error_json(failure)
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

fn error_json(failure: &Failure) -> String {
    let mut value = json!({ "error": failure.to_string(), "code": failure.exit_code() });
    match failure {
        Failure::Mistakes(_, mistakes) => value["mistakes"] = json!(mistakes),
        Failure::Client(ClientError::Problem(error))
        | Failure::OutcomeUnknown(ClientError::Problem(error)) => value["problem"] = json!(error),
        _ => {}
    }
    value.to_string()
}

/// Returns the path given for an argument.
///
/// # Errors
///
/// Fails when it is missing.
pub fn path_arg(matches: &ArgMatches, name: &str) -> Result<PathBuf, Failure> {
    let path = matches.get_one::<PathBuf>(name).cloned();
    path.ok_or_else(|| Failure::Usage(format!("--{name} is missing")))
}

/// Returns the text given for an argument, or an empty string.
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

/// Creates a client of the daemon at `--daemon` with the operator key in `--key-file`.
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

/// Runs a future to completion on this thread.
///
/// # Errors
///
/// Fails when the future does, or when the runtime cannot be built.
pub fn block_on<T>(future: impl Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.map_err(Failure::Output)?.block_on(future)
}
