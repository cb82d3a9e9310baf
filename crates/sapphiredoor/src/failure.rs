//! Errors of subcommands and their exit codes.

use std::fmt;
use std::io;
use std::path::PathBuf;

use operator::client::ClientError;
use operator::message::{Mistake, ProblemKind};
use operator::view;

/// The daemon reports a problem of its own or of the platform.
pub const EXIT_DAEMON: u8 = 1;
/// The command line cannot be used.
pub const EXIT_USAGE: u8 = 2;
/// The rules or the settings have mistakes.
pub const EXIT_MISTAKES: u8 = 3;
/// Another edit conflicts with this one, or the revision is not known.
pub const EXIT_CONFLICT: u8 = 4;
/// The connection to the daemon failed.
pub const EXIT_UNREACHABLE: u8 = 5;
/// The request may or may not have taken effect.
pub const EXIT_OUTCOME_UNKNOWN: u8 = 6;
/// A change is not in force, or a VM not drained, when the wait time has passed.
pub const EXIT_WAIT_TIMEOUT: u8 = 7;
/// The operator key is missing or not accepted.
pub const EXIT_KEY: u8 = 8;
/// A file or the output cannot be read or written.
pub const EXIT_IO: u8 = 9;

/// Exit codes with their meanings, as the help and the operators' page list them.
pub const EXIT_CODES: [(u8, &str); 10] = [
    (0, "done"),
    (
        EXIT_DAEMON,
        "the daemon or the platform reports a problem; nothing was changed",
    ),
    (EXIT_USAGE, "the command line cannot be used"),
    (
        EXIT_MISTAKES,
        "the rules or the settings have mistakes; nothing was changed",
    ),
    (
        EXIT_CONFLICT,
        "another edit is in the way; fetch the rules and repeat the change",
    ),
    (
        EXIT_UNREACHABLE,
        "no connection to the daemon; nothing was changed",
    ),
    (
        EXIT_OUTCOME_UNKNOWN,
        "the outcome is not known; run the same command again",
    ),
    (
        EXIT_WAIT_TIMEOUT,
        "written, and not in force or not drained within the time to wait",
    ),
    (EXIT_KEY, "the operator key is missing or not accepted"),
    (EXIT_IO, "a file or the output cannot be read or written"),
];

/// Why a subcommand failed.
#[derive(Debug)]
pub enum Failure {
    /// The arguments cannot be used.
    Usage(String),
    /// A file cannot be read or written.
    File(PathBuf, io::Error),
    /// The output cannot be written.
    Output(io::Error),
    /// The rules have mistakes.
    Mistakes(PathBuf, Vec<Mistake>),
    /// The settings have mistakes.
    Settings(PathBuf, String),
    /// The daemon cannot start.
    Daemon(String),
    /// The key file holds no key.
    MissingKey(PathBuf),
    /// A request failed.
    Client(ClientError),
    /// The last send of a request failed, and an earlier one may have taken effect.
    OutcomeUnknown(ClientError),
    /// A change is not in force, or a VM not drained, when the wait time has passed.
    WaitTimeout(String),
}

impl Failure {
    /// Returns the exit code of the program.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => EXIT_USAGE,
            Self::File(..) | Self::Output(_) => EXIT_IO,
            Self::Mistakes(..) | Self::Settings(..) => EXIT_MISTAKES,
            Self::MissingKey(_) | Self::Client(ClientError::InvalidKey) => EXIT_KEY,
            Self::Client(ClientError::Connect(..)) => EXIT_UNREACHABLE,
            Self::Client(ClientError::NoReply(..) | ClientError::InvalidReply(..))
            | Self::OutcomeUnknown(_) => EXIT_OUTCOME_UNKNOWN,
            Self::Daemon(_) => EXIT_DAEMON,
            Self::Client(ClientError::Problem(problem)) => match problem.kind {
                ProblemKind::Unauthorized => EXIT_KEY,
                ProblemKind::Mistakes | ProblemKind::TooLarge => EXIT_MISTAKES,
                ProblemKind::Conflict | ProblemKind::UnknownRevision => EXIT_CONFLICT,
                ProblemKind::Unconfirmed | ProblemKind::Internal => EXIT_OUTCOME_UNKNOWN,
                ProblemKind::BadRequest | ProblemKind::Platform | ProblemKind::NotFound => {
                    EXIT_DAEMON
                }
            },
            Self::WaitTimeout(_) => EXIT_WAIT_TIMEOUT,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(message) | Self::WaitTimeout(message) | Self::Daemon(message) => {
                f.write_str(message)
            }
            Self::File(path, error) => {
                write!(
                    f,
                    "{}: {error}; check the path and its permissions",
                    path.display()
                )
            }
            Self::Output(error) => write!(f, "cannot write the output: {error}"),
            Self::Mistakes(path, mistakes) => {
                let list = view::mistakes(mistakes);
                write!(f, "{} has mistakes\n{}", path.display(), list.trim_end())
            }
            Self::Settings(path, message) => write!(f, "{}: {message}", path.display()),
            Self::MissingKey(path) => write!(
                f,
                "{} holds no key; put the operator key on a line of its own",
                path.display()
            ),
            Self::Client(error) => error.fmt(f),
            Self::OutcomeUnknown(error) => {
                write!(
                    f,
                    "an earlier send may have taken effect, and the last failed: {error}"
                )
            }
        }
    }
}

impl std::error::Error for Failure {}

impl From<ClientError> for Failure {
    fn from(error: ClientError) -> Self {
        Self::Client(error)
    }
}
