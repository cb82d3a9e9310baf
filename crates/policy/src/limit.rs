//! Learned concurrency limit.
//!
//! The limit starts at the announced slots. When the latency of finished calls rises above its usual
//! value, half the limit is tried, and kept if it lowers the latency. The limit grows again while
//! latency stays near the usual value. Load reports may lower the
//! limit for a short time but never raise it, because they can be late or wrong.

use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Concurrency limit of one endpoint.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    slots: u32,
    tolerance: f64,
    learned: f64,
    usual: Option<f64>,
    window: Window,
    trial: Option<Trial>,
    cold_since: Option<Instant>,
    warmth: f64,
    report: Option<Report>,
}

/// Latencies of the calls that finished in one window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    start: Option<Instant>,
    count: u32,
    sum: f64,
    busiest: u32,
}

/// A trial of half the limit: latencies at the limit and at half of it.
#[derive(Clone, Copy, Debug, Default)]
struct Trial {
    limit: f64,
    high: Mean,
    low: Mean,
}

/// Mean over windows.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    count: u32,
    sum: f64,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.count += 1;
        self.sum += value;
    }

    fn value(self) -> f64 {
        self.sum / f64::from(self.count.max(1))
    }
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: Instant,
    fraction: f64,
}

impl ConcurrencyLimiter {
    /// Ratio of latency to usual latency above which the limit shrinks.
    pub const TOLERANCE: f64 = 2.0;
    /// Time a cold endpoint takes to reach all its slots.
    pub const WARM_UP: Duration = Duration::from_secs(10);

    const COLD_FRACTION: f64 = 0.25;
    const SHRINK: f64 = 0.5;
    const GROWTH: f64 = 0.05;
    const WINDOW: Duration = Duration::from_millis(100);
    const WINDOW_CALLS: u32 = 32;
    const WINDOW_LONGEST: Duration = Duration::from_secs(5);
    const FALL_WEIGHT: f64 = 0.2;
    const RISE_WEIGHT: f64 = 0.02;
    const HELPED: f64 = 0.75;
    const TRIAL_WINDOWS: u32 = 4;
    const REPORT_LIFE: Duration = Duration::from_secs(3);
    const REPORT_LOWEST: f64 = 0.25;

    /// A limiter of a warm endpoint with `slots` slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            tolerance: Self::TOLERANCE,
            learned: f64::from(slots),
            usual: None,
            window: Window::default(),
            trial: None,
            cold_since: None,
            warmth: 1.0,
            report: None,
        }
    }

    /// Starts the warm-up at `now`.
    #[must_use]
    pub fn with_cold_start(mut self, now: Instant) -> Self {
        self.cold_since = Some(now);
        self.warmth = Self::COLD_FRACTION;
        self
    }

    /// Sets the ratio of latency to usual latency above which the limit shrinks.
    #[must_use]
    pub const fn with_tolerance(mut self, tolerance: f64) -> Self {
        self.tolerance = tolerance;
        self
    }

    /// Calls that may run at once, between 1 and the slots.
    #[must_use]
    pub fn limit(&self) -> u32 {
        let reported = self.report.map_or(1.0, |report| report.fraction);
        let slots = f64::from(self.slots);
        let limit = (self.learned * reported).min(slots * self.warmth);
        (limit as u32).clamp(1, self.slots)
    }

    /// Announced slots.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Takes over a changed number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        self.learned = self.learned * f64::from(slots) / f64::from(self.slots);
        self.slots = slots;
    }

    /// Advances the warm-up and drops reports that are too old.
    pub fn tick(&mut self, now: Instant) {
        if let Some(since) = self.cold_since {
            let passed = now.saturating_duration_since(since).as_secs_f64();
            let done = (passed / Self::WARM_UP.as_secs_f64()).min(1.0);
            self.warmth = Self::COLD_FRACTION + (1.0 - Self::COLD_FRACTION) * done;
            if done >= 1.0 {
                self.cold_since = None;
            }
        }
        if let Some(report) = self.report
            && now.saturating_duration_since(report.at) >= Self::REPORT_LIFE
        {
            self.report = None;
        }
    }

    /// Takes a report of the endpoint. A load above 1 or ill health lowers the limit for 3 s, to a
    /// quarter of the learned limit at most.
    pub fn report(&mut self, now: Instant, load: f64, healthy: bool) {
        let by_load = if load > 1.0 { 1.0 / load } else { 1.0 };
        let by_health = if healthy { 1.0 } else { Self::REPORT_LOWEST };
        let fraction = by_load.min(by_health).clamp(Self::REPORT_LOWEST, 1.0);
        self.report = Some(Report { at: now, fraction });
    }

    /// Learns from a finished call, with the number of calls that ran beside it.
    ///
    /// Failures count only when they are slower than usual: a fast failure says nothing about the
    /// concurrency that the endpoint can sustain.
    pub fn finish(&mut self, now: Instant, latency: Duration, ok: bool, running: u32) {
        self.tick(now);
        let latency = latency.as_secs_f64();
        if !ok && self.usual.is_none_or(|usual| latency <= usual) {
            return;
        }
        let window = &mut self.window;
        let start = *window.start.get_or_insert(now);
        window.count += 1;
        window.sum += latency;
        window.busiest = window.busiest.max(running);
        let age = now.saturating_duration_since(start);
        let full = window.count >= Self::WINDOW_CALLS && age >= Self::WINDOW;
        if full || age >= Self::WINDOW_LONGEST {
            let closed = std::mem::take(window);
            self.learn(closed.sum / f64::from(closed.count), closed.busiest);
        }
    }

    fn learn(&mut self, latency: f64, busiest: u32) {
        let usual = *self.usual.get_or_insert(latency);
        let halved = self.trial.is_some_and(|trial| self.learned < trial.limit);
        if halved || latency > usual * self.tolerance {
            self.try_half(latency);
            return;
        }
        self.trial = None;
        // While the limit is lowered, latency near the bound is its own doing and must not become
        // usual, or bound and limit would drift up together.
        let weight = if latency < usual {
            Self::FALL_WEIGHT
        } else if self.learned >= f64::from(self.slots) {
            Self::RISE_WEIGHT
        } else {
            0.0
        };
        self.usual = Some(usual + weight * (latency - usual));
        // A limit that was not reached has not been tested, so it does not grow.
        if f64::from(busiest) * 2.0 >= self.learned {
            let slots = f64::from(self.slots);
            let step = (slots * Self::GROWTH).max(1.0);
            self.learned = (self.learned + step).min(slots);
        }
    }

    /// Tries half the limit and keeps it if that helps.
    ///
    /// If the calls wait for each other, half of them take half the time. If the latency stays,
    /// concurrency is not its cause (a slow service further down, or another mix of calls): a low
    /// limit would only lose throughput, so all slots are used and the latency becomes the usual one.
    fn try_half(&mut self, latency: f64) {
        let Some(trial) = &mut self.trial else {
            // This window can hold calls from before the latency rose, so it decides nothing.
            self.trial = Some(Trial {
                limit: self.learned,
                ..Trial::default()
            });
            return;
        };
        if self.learned >= trial.limit {
            trial.high.add(latency);
            if trial.high.count >= Self::TRIAL_WINDOWS {
                self.learned *= Self::SHRINK;
            }
            return;
        }
        trial.low.add(latency);
        if trial.low.count < Self::TRIAL_WINDOWS {
            return;
        }
        let low = trial.low.value();
        if low > trial.high.value() * Self::HELPED {
            self.usual = Some(low);
            self.learned = f64::from(self.slots);
        }
        self.learned = self.learned.max(1.0);
        self.trial = None;
    }
}
