//! Settings of the daemon: a JSON file with comments, validated as a whole at start.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use jsonc_parser::ParseOptions;
use policy::id::{DataCentreName, VmId};
use serde::Deserialize;

#[cfg(test)]
mod tests;

/// Shortest shared key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// Settings of one daemon.
#[derive(Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// TCP address for callers and the endpoint on this VM.
    pub caller_address: SocketAddr,
    /// TCP address for other daemons.
    pub peer_address: SocketAddr,
    /// TCP address to listen on for other daemons, if it differs from the one they connect to.
    #[serde(default)]
    pub peer_listen: Option<SocketAddr>,
    /// UDP address for gossip.
    pub gossip_address: SocketAddr,
    /// TCP address for operators.
    pub operator_address: SocketAddr,
    /// Address of the platform key-value service.
    pub platform_address: SocketAddr,
    /// Keys that daemons and operators share. The first is sent, all are accepted.
    pub keys: Vec<String>,
    /// Peer addresses (`peer_address`) of daemons to join through.
    #[serde(default)]
    pub contacts: Vec<SocketAddr>,
    /// UDP address of a `StatsD` collector for metrics.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Time between the start of draining and the close of the listeners, in milliseconds.
    #[serde(default = "default_linger")]
    pub linger_ms: u64,
}

const fn default_linger() -> u64 {
    3_000
}

impl fmt::Debug for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The keys stay out of logs.
        f.debug_struct("Settings")
            .field("vm", &self.vm)
            .field("data_centre", &self.data_centre)
            .field("caller_address", &self.caller_address)
            .field("peer_address", &self.peer_address)
            .finish_non_exhaustive()
    }
}

/// One mistake in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// Name of the field, or part of the file.
    pub place: String,
    /// What is expected, or how to correct it.
    pub remedy: String,
}

/// Why the settings cannot be used.
#[derive(Debug)]
pub enum ConfigError {
    /// The file cannot be read.
    Read(PathBuf, std::io::Error),
    /// The text has mistakes.
    Mistakes(Vec<Mistake>),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(path, error) => {
                write!(
                    f,
                    "cannot read settings {} ({error}): check the path",
                    path.display()
                )
            }
            Self::Mistakes(mistakes) => {
                f.write_str("the settings have mistakes:")?;
                for mistake in mistakes {
                    write!(f, "\n  {}: {}", mistake.place, mistake.remedy)?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for ConfigError {}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Lists every mistake with its place and remedy.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ConfigError::Read(path.to_owned(), error))?;
        Self::parse(&text)
    }

    /// Reads and checks a text.
    ///
    /// # Errors
    ///
    /// Lists every mistake with its place and remedy.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let options = ParseOptions::default();
        let mistake = |place: &str, remedy: String| {
            ConfigError::Mistakes(vec![Mistake {
                place: place.into(),
                remedy,
            }])
        };
        let value = jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &options)
            .map_err(|error| mistake("file", format!("{error}; write JSON with comments")))?;
        let settings: Self = serde_json::from_value(value)
            .map_err(|error| mistake("fields", format!("{error}; see docs/operators.md")))?;
        let mistakes = settings.mistakes();
        if mistakes.is_empty() {
            Ok(settings)
        } else {
            Err(ConfigError::Mistakes(mistakes))
        }
    }

    fn mistakes(&self) -> Vec<Mistake> {
        let mut found = Vec::new();
        let mut check = |valid: bool, place: &str, remedy: &str| {
            if !valid {
                found.push(Mistake {
                    place: place.into(),
                    remedy: remedy.into(),
                });
            }
        };
        check(
            is_name(&self.vm),
            "vm",
            "use 1 to 64 letters, digits, '-' or '_'",
        );
        check(
            is_name(&self.data_centre),
            "data_centre",
            "use 1 to 64 letters, digits, '-' or '_'",
        );
        check(!self.keys.is_empty(), "keys", "give at least one key");
        let long_enough = self.keys.iter().all(|key| key.len() >= MIN_KEY_BYTES);
        check(long_enough, "keys", "use at least 16 bytes for each key");
        check(
            self.linger_ms <= 60_000,
            "linger_ms",
            "use at most 60000 ms",
        );
        let tcp = [
            ("caller_address", self.caller_address),
            ("peer_address", self.peer_address),
            ("operator_address", self.operator_address),
        ];
        for (position, (name, address)) in tcp.iter().enumerate() {
            let taken = tcp[..position].iter().any(|(_, other)| other == address);
            check(
                !taken || address.port() == 0,
                name,
                "use an address of its own",
            );
        }
        found
    }
}

fn is_name(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    (1..=64).contains(&text.len()) && text.chars().all(plain)
}
