//! Stalls of the machine on which the soak runs.
//!
//! On a machine with more work than cores a process may not be scheduled for seconds. The delays
//! that callers then see are no fault of a daemon, so stalls are recorded and count as disturbances
//! of all VMs.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Number of detector threads; several, since a machine may stall some processes and not others.
const THREAD_COUNT: usize = 4;

/// Time for which a detector thread sleeps.
const SLEEP_TIME: Duration = Duration::from_millis(10);

/// Shortest delay that counts as a stall: half of the shortest time bound that is checked.
pub const MIN_STALL: Duration = Duration::from_millis(100);

/// Period in which the machine did not schedule a detector thread.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// Start.
    pub from: Instant,
    /// End.
    pub until: Instant,
}

/// Detects stalls of the machine until it is dropped.
#[derive(Debug)]
pub struct StallDetector {
    stalls: Arc<Mutex<Vec<Stall>>>,
    stopped: Arc<AtomicBool>,
}

impl StallDetector {
    /// Starts the detector threads.
    #[must_use]
    pub fn start() -> Self {
        let detector = Self {
            stalls: Arc::default(),
            stopped: Arc::default(),
        };
        for _ in 0..THREAD_COUNT {
            let stalls = Arc::clone(&detector.stalls);
            let stopped = Arc::clone(&detector.stopped);
            thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    let from = Instant::now();
                    thread::sleep(SLEEP_TIME);
                    record_oversleep(&stalls, from, Instant::now());
                }
            });
        }
        detector
    }

    /// Returns the stalls recorded so far.
    #[must_use]
    pub fn stalls(&self) -> Vec<Stall> {
        let stalls = self.stalls.lock();
        stalls.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for StallDetector {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Records a stall if a sleep took too long.
fn record_oversleep(stalls: &Mutex<Vec<Stall>>, from: Instant, until: Instant) {
    if until.duration_since(from) >= SLEEP_TIME + MIN_STALL {
        let mut stalls = stalls.lock().unwrap_or_else(PoisonError::into_inner);
        stalls.push(Stall { from, until });
    }
}
