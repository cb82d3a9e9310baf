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
const WATCHERS: usize = 4;

/// Time for which a watcher sleeps.
const NAP: Duration = Duration::from_millis(10);

/// Delay from which a machine counts as stalled: half of the shortest bound that is checked.
pub const STALLED: Duration = Duration::from_millis(100);

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
pub struct Watch {
    stalls: Arc<Mutex<Vec<Stall>>>,
    ended: Arc<AtomicBool>,
}

impl Watch {
    /// Starts to watch.
    #[must_use]
    pub fn start() -> Self {
        let watch = Self {
            stalls: Arc::default(),
            ended: Arc::default(),
        };
        for _ in 0..WATCHERS {
            let stalls = Arc::clone(&watch.stalls);
            let ended = Arc::clone(&watch.ended);
            thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    let from = Instant::now();
                    thread::sleep(NAP);
                    note(&stalls, from, Instant::now());
                }
            });
        }
        watch
    }

    /// Stalls so far.
    #[must_use]
    pub fn stalls(&self) -> Vec<Stall> {
        let stalls = self.stalls.lock();
        stalls.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

/// Notes a nap that took too long.
fn note(stalls: &Mutex<Vec<Stall>>, from: Instant, until: Instant) {
    if until.duration_since(from) >= NAP + STALLED {
        let mut stalls = stalls.lock().unwrap_or_else(PoisonError::into_inner);
        stalls.push(Stall { from, until });
    }
}
