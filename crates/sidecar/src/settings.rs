//! Settings of the daemon: JSON with comments, checked at startup and at each reload.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use policy::id::{DataCentreName, ServiceName, VmId};
use policy::quota::QuotaBound;
use policy::retry::RetryBound;
use policy::selection::Placement;
use serde::Deserialize;

#[cfg(test)]
mod tests;

/// Bytes of a megabyte in the limits of a VM.
const BYTES_PER_MB: usize = 1_000_000;

/// Memory for the process itself, in MB: 10 to 24 when idle, with buffers of all connections.
const PROCESS_MB: u64 = 36;

/// Descriptors for files, listeners and the store.
const FILE_DESCRIPTORS: usize = 200;

/// Descriptors for connections to other daemons, from them, and to the endpoint.
const CONNECTION_DESCRIPTORS: usize = 900;

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
    /// Control addresses of daemons that can be asked for the fleet.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: StoreSettings,
    /// Bounds set by the operators.
    pub bounds: BoundSettings,
    /// Rule by which endpoints are picked.
    #[serde(default)]
    pub placement: Placement,
    /// Limits of the process.
    #[serde(default)]
    pub memory: MemorySettings,
}

/// Limits of the process.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MemorySettings {
    /// Memory of the process, in MB.
    pub limit_mb: u64,
    /// Memory that it may hold for others, in MB; derived from the limit if omitted.
    pub held_mb: Option<u64>,
    /// Descriptors of the process.
    pub descriptors: usize,
    /// Connections of clients; derived from the descriptors if omitted.
    pub client_connections: Option<usize>,
}

impl Default for MemorySettings {
    fn default() -> Self {
        Self {
            limit_mb: 160,
            held_mb: None,
            descriptors: 4_100,
            client_connections: None,
        }
    }
}

impl MemorySettings {
    /// Returns the bytes that the process may hold for others.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        let derived = self.limit_mb.saturating_sub(PROCESS_MB);
        self.held_mb.unwrap_or(derived) as usize * BYTES_PER_MB
    }

    /// Returns how many connections of clients may be open.
    #[must_use]
    pub fn client_connections(&self) -> usize {
        let reserved = FILE_DESCRIPTORS + CONNECTION_DESCRIPTORS;
        let derived = self.descriptors.saturating_sub(reserved);
        self.client_connections.unwrap_or(derived)
    }
}

/// Settings of the local endpoint.
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

/// Addresses of the listeners.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Calls of clients and of the local endpoint.
    pub calls: SocketAddr,
    /// Calls of other daemons.
    pub peers: SocketAddr,
    /// Address at which other daemons reach `peers`, if it differs.
    #[serde(default)]
    pub announced: Option<SocketAddr>,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Announcements of the endpoint.
    pub control: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// Settings of the platform's store.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Shortest lease that the store grants, in milliseconds.
    pub shortest_lease_ms: u64,
}

/// Bounds set by the operators.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundSettings {
    /// Time from the notice that an endpoint leaves to its last new call, in milliseconds.
    pub drain_ms: u64,
    /// Time from SIGTERM to the exit of the process, in seconds.
    pub grace_s: f64,
    /// Retries allowed for each call of a client.
    pub repeat_ratio: f64,
    /// Retries allowed in addition, independent of the number of calls.
    pub repeat_slack: f64,
    /// Window in which retries are counted, in seconds.
    pub repeat_window_s: f64,
    /// Window in which the requests of an organisation are counted, in seconds.
    #[serde(default)]
    pub quota_window_s: Option<f64>,
    /// Fraction by which an organisation may exceed its quota in a window.
    #[serde(default)]
    pub quota_over: Option<f64>,
    /// Requests of an organisation allowed in addition in a window.
    #[serde(default)]
    pub quota_slack: Option<f64>,
}

impl BoundSettings {
    /// Returns the time from SIGTERM to the exit of the process.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the time from the notice that an endpoint leaves to its last new call.
    #[must_use]
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Returns the bound on the requests of an organisation.
    #[must_use]
    pub fn quota_bound(&self) -> QuotaBound {
        let default = QuotaBound::default();
        QuotaBound {
            window: self
                .quota_window_s
                .map_or(default.window, Duration::from_secs_f64),
            over: self.quota_over.unwrap_or(default.over),
            slack: self.quota_slack.unwrap_or(default.slack),
        }
    }

    /// Returns the bound on retries.
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
    /// The text is not valid JSON with comments.
    Syntax(String),
    /// A field is missing, unknown or has the wrong type.
    Field(String),
    /// A value is out of range.
    Value {
        /// Path of the field.
        field: &'static str,
        /// Value that was found.
        found: String,
        /// Description of the values that are accepted.
        expected: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path, error) => {
                write!(f, "cannot read {path}: {error}; check --settings")
            }
            Self::Syntax(error) => {
                write!(f, "the settings are not valid JSON with comments: {error}")
            }
            Self::Field(error) => write!(f, "the settings have an invalid field: {error}"),
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
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The error states the file, the invalid field and which values are accepted.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::File(path.display().to_string(), error))?;
        Self::parse(&text)
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// The error states the invalid field and which values are accepted.
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
        let positive = BTreeMap::from([
            ("bounds.grace_s", self.bounds.grace_s),
            ("bounds.repeat_window_s", self.bounds.repeat_window_s),
            (
                "bounds.quota_window_s",
                self.bounds.quota_window_s.unwrap_or(1.0),
            ),
            ("endpoint.heartbeat_ms", self.endpoint.heartbeat_ms as f64),
        ]);
        for (field, value) in positive {
            if !(value > 0.0 && value.is_finite()) {
                return Err(SettingsError::Value {
                    field,
                    found: value.to_string(),
                    expected: "a number above 0",
                });
            }
        }
        let memory = &self.memory;
        let at_least = [
            (
                "memory.limit_mb",
                memory.held_bytes() / BYTES_PER_MB,
                "44 or more, so that 8 MB are left for bodies, or set memory.held_mb",
            ),
            (
                "memory.held_mb",
                memory.held_bytes() / BYTES_PER_MB,
                "8 or more",
            ),
            (
                "memory.client_connections",
                memory.client_connections(),
                "1 or more, or raise memory.descriptors above 1100",
            ),
        ];
        let least = [8, 8, 1];
        for ((field, value, expected), least) in at_least.into_iter().zip(least) {
            let is_derived = field == "memory.limit_mb" && memory.held_mb.is_some();
            if value < least && !is_derived {
                let found = match field {
                    "memory.limit_mb" => memory.limit_mb.to_string(),
                    _ => value.to_string(),
                };
                return Err(SettingsError::Value {
                    field,
                    found,
                    expected,
                });
            }
        }
        let not_negative = BTreeMap::from([
            ("bounds.repeat_ratio", self.bounds.repeat_ratio),
            ("bounds.repeat_slack", self.bounds.repeat_slack),
            ("bounds.quota_over", self.bounds.quota_over.unwrap_or(0.0)),
            ("bounds.quota_slack", self.bounds.quota_slack.unwrap_or(0.0)),
        ]);
        for (field, value) in not_negative {
            if !(value >= 0.0 && value.is_finite()) {
                return Err(SettingsError::Value {
                    field,
                    found: value.to_string(),
                    expected: "0 or a number above 0",
                });
            }
        }
        Ok(())
    }
}
