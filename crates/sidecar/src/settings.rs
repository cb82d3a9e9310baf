//! Settings of the daemon: JSON with comments, checked before the start.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use policy::id::{DataCentreName, ServiceName, VmId};
use policy::retry::RetryBound;
use serde::Deserialize;

#[cfg(test)]
mod tests;

/// Settings of one daemon.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Endpoint on this VM.
    pub endpoint: EndpointSettings,
    /// Addresses on which the daemon listens.
    pub listen: ListenSettings,
    /// Control addresses of daemons that may know the fleet.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: StoreSettings,
    /// Bounds that the operators set.
    pub bounds: BoundSettings,
}

/// Endpoint beside the daemon.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
    /// Service that it serves.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// Time between its heartbeats in milliseconds.
    pub heartbeat_ms: u64,
}

/// Addresses on which the daemon listens.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Calls of clients and of the endpoint.
    pub calls: SocketAddr,
    /// Calls of other daemons.
    pub peers: SocketAddr,
    /// Address at which other daemons reach `peers`, when it is another one.
    #[serde(default)]
    pub announced: Option<SocketAddr>,
    /// Questions whether the daemon is ready.
    pub ready: SocketAddr,
    /// Announcements of the endpoint.
    pub control: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Shortest lease in milliseconds.
    pub shortest_lease_ms: u64,
}

/// Bounds that the operators set.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundSettings {
    /// Time from the word that an endpoint leaves to its last new call, in milliseconds.
    pub drain_ms: u64,
    /// Time from SIGTERM to the end of the process, in seconds.
    pub grace_s: f64,
    /// Repeats for each call of a client.
    pub repeat_ratio: f64,
    /// Repeats allowed besides.
    pub repeat_slack: f64,
    /// Window in which repeats are counted, in seconds.
    pub repeat_window_s: f64,
}

impl BoundSettings {
    /// Time from SIGTERM to the end of the process.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Time from the word that an endpoint leaves to its last new call.
    #[must_use]
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Bound of repeats.
    #[must_use]
    pub fn retry_bound(&self) -> RetryBound {
        RetryBound {
            ratio: self.repeat_ratio,
            slack: self.repeat_slack,
            window: Duration::from_secs_f64(self.repeat_window_s),
        }
    }
}

/// Why settings cannot be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file cannot be read.
    File(String, std::io::Error),
    /// The text is no JSON with comments.
    Syntax(String),
    /// A field is missing, unknown or of another type.
    Field(String),
    /// A value is out of range.
    Value {
        /// Path of the field.
        field: &'static str,
        /// What was found.
        found: String,
        /// What is expected.
        expected: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path, error) => {
                write!(f, "cannot read {path}: {error}; check --settings")
            }
            Self::Syntax(error) => write!(f, "the settings are no JSON with comments: {error}"),
            Self::Field(error) => write!(f, "the settings have a wrong field: {error}"),
            Self::Value {
                field,
                found,
                expected,
            } => write!(f, "{field} is {found}; set it to {expected}"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Names the file, the place of the mistake and what is expected there.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::File(path.display().to_string(), error))?;
        Self::parse(&text)
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Names the place of the mistake and what is expected there.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let value = jsonc_parser::parse_to_serde_value::<serde_json::Value>(
            text,
            &jsonc_parser::ParseOptions::default(),
        )
        .map_err(|error| SettingsError::Syntax(error.to_string()))?;
        let settings: Self = serde_path_to_error::deserialize(value).map_err(|error| {
            SettingsError::Field(format!("{}: {}", error.path(), error.inner()))
        })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let numbers = BTreeMap::from([
            ("bounds.grace_s", self.bounds.grace_s),
            ("bounds.repeat_window_s", self.bounds.repeat_window_s),
            ("endpoint.heartbeat_ms", self.endpoint.heartbeat_ms as f64),
        ]);
        for (field, value) in numbers {
            if !(value > 0.0 && value.is_finite()) {
                return Err(SettingsError::Value {
                    field,
                    found: value.to_string(),
                    expected: "a number above 0",
                });
            }
        }
        let shares = BTreeMap::from([
            ("bounds.repeat_ratio", self.bounds.repeat_ratio),
            ("bounds.repeat_slack", self.bounds.repeat_slack),
        ]);
        for (field, value) in shares {
            if !(value >= 0.0 && value.is_finite()) {
                return Err(SettingsError::Value {
                    field,
                    found: value.to_string(),
                    expected: "0 or a number above it",
                });
            }
        }
        Ok(())
    }
}
