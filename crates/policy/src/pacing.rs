//! Pacing of a daemon's calls to the platform's store.
//!
//! Protects the store against the size of the fleet. A change of one entry ends the watch of every
//! daemon, so the calls to the store grow with the number of daemons times the changes. The pause
//! between watches therefore grows with the fleet. While the store refuses calls, the delay between
//! attempts grows up to a bound that still finds it again in time.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Watches of the fleet that all daemons together may send in a second while entries change.
const FLEET_WATCHES_PER_SECOND: f64 = 48.0;

/// Shortest pause between two watches of a daemon. Entries change in bursts.
const MIN_WATCH_PAUSE: Duration = Duration::from_millis(400);

/// Longest pause between two watches. A new VM must get calls within a few seconds, and one whose
/// entry was removed is retained for 2.5 s.
pub const MAX_WATCH_PAUSE: Duration = Duration::from_secs(2);

/// Delay after the first failed call. Up to as much again is added at random.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Longest delay, without the random part. Entries that lapsed in an outage must be back within two
/// seconds of its end.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(750);

/// Returns the pause between two watches of the entries of a fleet of this many daemons.
#[must_use]
pub fn watch_pause(daemons: usize) -> Duration {
    let pause = Duration::from_secs_f64(daemons as f64 / FLEET_WATCHES_PER_SECOND);
    pause.clamp(MIN_WATCH_PAUSE, MAX_WATCH_PAUSE)
}

/// Delays between the attempts of one task while its calls fail.
#[derive(Clone, Copy, Debug)]
pub struct RetryDelay {
    next: Duration,
}

impl Default for RetryDelay {
    fn default() -> Self {
        Self {
            next: FIRST_RETRY_DELAY,
        }
    }
}

impl RetryDelay {
    /// Returns the delay after a failed call. `random` is a random number from 0 to 1.
    pub fn next(&mut self, random: f64) -> Duration {
        let delay = self.next.mul_f64(1.0 + random);
        self.next = (self.next * 2).min(MAX_RETRY_DELAY);
        delay
    }

    /// Records a call that succeeded.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
