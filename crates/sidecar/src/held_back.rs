//! Reports of the organisations that are held back at this daemon.

use log::info;
use policy::held_back::HeldChange;

use crate::daemon::Daemon;

#[cfg(test)]
mod tests;

/// Where an organisation is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// In the queue of the gate.
    Queue,
    /// At the entry, which refuses new chains.
    Entry,
}

impl Place {
    fn label(self) -> &'static str {
        match self {
            Self::Queue => "queue",
            Self::Entry => "entry",
        }
    }
}

/// Logs changes and counts them in the metrics.
pub fn report(daemon: &Daemon, place: Place, changes: Vec<HeldChange>) {
    let now = daemon.clock.now();
    let label = place.label();
    let held = daemon.metrics.held_back.with_label_values(&[label]);
    for change in changes {
        match change {
            HeldChange::Started(organisation) => {
                held.inc();
                if daemon.log_limiter.allows(now, "organisation_held_back") {
                    info!(event = "organisation_held_back", organisation = &*organisation, place = label; "");
                }
            }
            HeldChange::Ended {
                organisation,
                refused,
            } => {
                held.dec();
                let refusals = &daemon.metrics.held_refusals;
                refusals.with_label_values(&[label]).inc_by(refused);
                if daemon.log_limiter.allows(now, "organisation_released") {
                    info!(event = "organisation_released", organisation = &*organisation, place = label, refused = refused; "");
                }
            }
        }
    }
}
