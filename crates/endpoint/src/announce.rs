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
/// Path of the notice that the endpoint leaves.
pub const DRAIN_PATH: &str = "/.sapphiredoor/drain";
/// Time after which an announcement that was not repeated lapses.
pub const ANNOUNCE_TTL: Duration = Duration::from_secs(5);

/// The endpoint is here and takes calls.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the endpoint offers.
    pub service: ServiceName,
    /// Address that takes HTTP/1.1.
    pub address: SocketAddr,
    /// Calls that it can run at a time.
    pub slots: u32,
    /// Whether it has just started.
    #[serde(default)]
    pub cold: bool,
}

/// What the endpoint says of its load. It may lag or mislead.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Used share of the slots, 0 to 1 or more.
    pub load: f64,
    /// Whether the endpoint believes that it works.
    pub healthy: bool,
}

/// Whether the endpoint on this VM is present.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    announced: Option<(Announcement, Instant)>,
    draining: bool,
}

impl Presence {
    /// No endpoint yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an announcement. Returns whether something other than the time changed.
    pub fn apply_announcement(&mut self, now: Instant, announcement: Announcement) -> bool {
        let changed = self.current(now) != Some(&announcement);
        self.announced = Some((announcement, now));
        changed
    }

    /// The endpoint leaves: it gets no new calls.
    pub const fn mark_draining(&mut self) {
        self.draining = true;
    }

    /// Whether the endpoint leaves.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// The announcement in force, if it has not lapsed.
    #[must_use]
    pub fn current(&self, now: Instant) -> Option<&Announcement> {
        self.announced
            .as_ref()
            .filter(|(_, at)| now.saturating_duration_since(*at) < ANNOUNCE_TTL)
            .map(|(announcement, _)| announcement)
    }
}
