//! Errors of subcommands and their exit codes.

use std::fmt;
use std::io;
use std::path::PathBuf;

use operator::client::ClientError;
use operator::message::{Mistake, ProblemKind};
use operator::view;

/// The daemon reports a problem of its own or of the platform.
pub const DAEMON: u8 = 1;
/// The command line cannot be used.
pub const USAGE: u8 = 2;
/// The rules or the settings have mistakes.
pub const MISTAKES: u8 = 3;
/// Another edit is in the way.
pub const CONFLICT: u8 = 4;
/// The daemon was not reached.
pub const UNREACHED: u8 = 5;
/// The outcome is not known.
pub const LOST: u8 = 6;
/// The time to wait ran out.
pub const WAITING: u8 = 7;
/// The operator key is not accepted.
pub const KEY: u8 = 8;
/// A file or the output cannot be read or written.
pub const OUTPUT: u8 = 9;

/// Exit codes with their meaning.
pub const CODES: [(u8, &str); 10] = [
    (0, "done"),
    (
        DAEMON,
        "the daemon or the platform reports a problem; nothing was changed",
    ),
    (USAGE, "the command line cannot be used"),
    (
        MISTAKES,
        "the rules or the settings have mistakes; nothing was changed",
    ),
    (
        CONFLICT,
        "another edit is in the way; fetch the rules and repeat the change",
    ),
    (
        UNREACHED,
        "no connection to the daemon; nothing was changed",
    ),
    (LOST, "the outcome is not known; run the same command again"),
    (
        WAITING,
        "written, and not in force or not drained within the time to wait",
    ),
    (KEY, "the operator key is missing or not accepted"),
    (OUTPUT, "a file or the output cannot be read or written"),
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
    Key(PathBuf),
    /// A request failed.
    Client(ClientError),
    /// A request failed after an earlier send of it may have taken effect.
    Open(ClientError),
    /// The time to wait ran out.
    Waiting(String),
}

impl Failure {
    /// Exit code of the program.
    #[must_use]
    pub const fn code(&self) -> u8 {
        match self {
            Self::Usage(_) => USAGE,
            Self::File(..) | Self::Output(_) => OUTPUT,
            Self::Mistakes(..) | Self::Settings(..) => MISTAKES,
            Self::Key(_) | Self::Client(ClientError::InvalidKey) => KEY,
            Self::Client(ClientError::Connect(..)) => UNREACHED,
            Self::Client(ClientError::NoReply(..) | ClientError::InvalidReply(..))
            | Self::Open(_) => LOST,
            Self::Daemon(_) => DAEMON,
            Self::Client(ClientError::Problem(problem)) => match problem.kind {
                ProblemKind::Unauthorized => KEY,
                ProblemKind::Mistakes | ProblemKind::TooLarge => MISTAKES,
                ProblemKind::Conflict | ProblemKind::UnknownRevision => CONFLICT,
                ProblemKind::Unconfirmed | ProblemKind::Internal => LOST,
                ProblemKind::BadRequest | ProblemKind::Platform | ProblemKind::NotFound => DAEMON,
            },
            Self::Waiting(_) => WAITING,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(message) | Self::Waiting(message) | Self::Daemon(message) => {
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
            Self::Key(path) => write!(
                f,
                "{} holds no key; put the operator key on a line of its own",
                path.display()
            ),
            Self::Client(error) => error.fmt(f),
            Self::Open(error) => {
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
