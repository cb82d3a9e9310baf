//! Organisations whose calls are being refused for lack of capacity.
//!
//! Lets operators see who is held back without a line or a metric for each refusal.

use std::time::{Duration, Instant};

use crate::id::OrganisationName;
use crate::organisation::MAX_TRACKED;
use crate::recent_map::RecentMap;

#[cfg(test)]
mod tests;

/// Time without a refusal after which an organisation is no longer held back.
const RELEASE_TIME: Duration = Duration::from_secs(2);

/// An organisation started or ceased to be held back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeldChange {
    /// A first call of it was refused.
    Started(OrganisationName),
    /// No call of it has been refused for some time.
    Ended {
        /// Its name.
        organisation: OrganisationName,
        /// Calls that were refused.
        refused: u64,
    },
}

/// Refusals of one organisation.
#[derive(Debug)]
struct Held {
    last: Instant,
    refused: u64,
}

/// The organisations that are held back.
#[derive(Debug)]
pub struct HeldBack {
    held: RecentMap<OrganisationName, Held>,
    /// Changes that have not been returned yet.
    pending: Vec<HeldChange>,
}

impl Default for HeldBack {
    fn default() -> Self {
        Self {
            held: RecentMap::new(MAX_TRACKED),
            pending: Vec::new(),
        }
    }
}

impl HeldBack {
    /// Records that a call was refused for lack of capacity.
    pub fn record(&mut self, now: Instant, organisation: Option<&OrganisationName>) {
        let Some(name) = organisation else {
            return;
        };
        if self.held.get(name).is_none() {
            if self.held.len() >= MAX_TRACKED {
                self.end_oldest();
            }
            let started = HeldChange::Started(OrganisationName::clone(name));
            self.pending.push(started);
        }
        let new = || Held {
            last: now,
            refused: 0,
        };
        let held = self.held.use_or_insert_with(name, new);
        held.last = now;
        held.refused += 1;
    }

    /// Returns the changes since the last call.
    pub fn changes(&mut self, now: Instant) -> Vec<HeldChange> {
        while let Some((_, held)) = self.held.oldest() {
            if now.saturating_duration_since(held.last) < RELEASE_TIME {
                break;
            }
            self.end_oldest();
        }
        std::mem::take(&mut self.pending)
    }

    fn end_oldest(&mut self) {
        let Some((name, held)) = self.held.oldest() else {
            return;
        };
        let (organisation, refused) = (OrganisationName::clone(name), held.refused);
        self.held.remove(&organisation);
        self.pending.push(HeldChange::Ended {
            organisation,
            refused,
        });
    }
}
