//! Stalls of the machine on which the soak runs.
//!
//! On a machine with more work than cores a process may not run for seconds. What callers then see is
//! no fault of a daemon, so stalls are noted and count as disturbances of all VMs.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Threads that watch: a machine may stall some processes and not others.
const THREAD_COUNT: usize = 4;

/// Time for which a watcher sleeps.
const SLEEP_TIME: Duration = Duration::from_millis(10);

/// Delay from which a machine counts as stalled: half of the shortest bound that is checked.
pub const MIN_STALL: Duration = Duration::from_millis(100);

/// A time in which the machine did not run a watcher.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// Its begin.
    pub from: Instant,
    /// Its end.
    pub until: Instant,
}

/// Watches the machine until it is dropped.
#[derive(Debug)]
pub struct StallDetector {
    stalls: Arc<Mutex<Vec<Stall>>>,
    stopped: Arc<AtomicBool>,
}

impl StallDetector {
    /// Starts to watch.
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

    /// Stalls so far.
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

/// Notes a nap that took too long.
fn record_oversleep(stalls: &Mutex<Vec<Stall>>, from: Instant, until: Instant) {
    if until.duration_since(from) >= SLEEP_TIME + MIN_STALL {
        let mut stalls = stalls.lock().unwrap_or_else(PoisonError::into_inner);
        stalls.push(Stall { from, until });
    }
}
