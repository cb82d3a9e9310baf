//! Clock interface.
//!
//! The daemon uses [`SystemClock`]; tests and simulations use [`ManualClock`].

use std::fmt::Debug;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

/// Source of time.
pub trait Clock: Debug + Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall time at process start plus the monotonic time elapsed since, so that it
    /// never goes back.
    fn wall(&self) -> SystemTime;

    /// Returns the time since the VM booted, including the time for which it was suspended.
    fn boot(&self) -> Duration;
}

/// The clock of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
    wall: SystemTime,
}

impl SystemClock {
    /// Creates a clock; the wall clock is read only here.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            wall: SystemTime::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        self.wall + self.start.elapsed()
    }

    fn boot(&self) -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::new(
            u64::try_from(time.tv_sec).unwrap_or(0),
            u32::try_from(time.tv_nsec).unwrap_or(0),
        )
    }
}

/// A clock that moves only by [`ManualClock::advance`].
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock whose wall time starts at the Unix epoch.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Mutex::new(Duration::ZERO),
        }
    }

    /// Moves the clock forward.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock of the clock.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().expect("clock lock is never poisoned") += step;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().expect("clock lock is never poisoned")
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }

    fn boot(&self) -> Duration {
        self.elapsed()
    }
}
