//! Announcements of the endpoint, sent to the daemon on its VM once a second.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use policy::id::ServiceName;
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Path of an announcement.
pub const ANNOUNCE_PATH: &str = "/.sapphiredoor/announce";
/// Path of a load report.
pub const REPORT_PATH: &str = "/.sapphiredoor/report";
/// Path of the notice that the endpoint is draining.
pub const DRAIN_PATH: &str = "/.sapphiredoor/drain";
/// Time after which an announcement expires unless the endpoint renews it.
pub const ANNOUNCE_TTL: Duration = Duration::from_secs(5);

/// Announces that the endpoint is running and takes calls.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the endpoint offers.
    pub service: ServiceName,
    /// Address of its HTTP/1.1 server.
    pub address: SocketAddr,
    /// Number of calls that it can run concurrently.
    pub slots: u32,
    /// Whether it has just started.
    #[serde(default)]
    pub cold: bool,
}

/// Load as the endpoint reports it. It may be outdated or wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Fraction of the slots in use; may exceed 1.
    pub load: f64,
    /// Whether the endpoint considers itself healthy.
    pub healthy: bool,
}

/// Tracks whether the endpoint on this VM is announced and whether it is draining.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    announced: Option<(Announcement, Instant)>,
    draining: bool,
}

impl Presence {
    /// Creates the state before the first announcement.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an announcement. Returns whether it differs from the one in force.
    pub fn apply_announcement(&mut self, now: Instant, announcement: Announcement) -> bool {
        let changed = self.current(now) != Some(&announcement);
        self.announced = Some((announcement, now));
        changed
    }

    /// Records that the endpoint is draining and gets no new calls.
    pub const fn mark_draining(&mut self) {
        self.draining = true;
    }

    /// Returns whether the endpoint is draining.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns the latest announcement unless it has expired.
    #[must_use]
    pub fn current(&self, now: Instant) -> Option<&Announcement> {
        self.announced
            .as_ref()
            .filter(|(_, at)| now.saturating_duration_since(*at) < ANNOUNCE_TTL)
            .map(|(announcement, _)| announcement)
    }
}
