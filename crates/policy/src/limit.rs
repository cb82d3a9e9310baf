//! Adaptive concurrency limit of an endpoint.
//!
//! The limit starts at the announced number of slots. When the latency of finished calls rises well
//! above its baseline, the limiter tries half the limit and keeps it if that lowers the latency.
//! The limit grows again while latency stays near the baseline. Load reports can lower the limit
//! for a short time but never raise it, because they can be late or wrong.

use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Concurrency limit of one endpoint.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    slots: u32,
    max_ratio: f64,
    learned_limit: f64,
    /// Latency in seconds without overload.
    baseline: Option<f64>,
    window: Window,
    trial: Option<Trial>,
    warm_up_start: Option<Instant>,
    /// Fraction of the slots available during the warm-up.
    warm_up_fraction: f64,
    report: Option<LoadReport>,
}

/// Latencies in seconds of the calls that finished in one window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    start: Option<Instant>,
    count: u32,
    sum: f64,
    /// Most calls that ran concurrently.
    max_running: u32,
}

/// Comparison of the latencies at the limit and at half of it.
#[derive(Clone, Copy, Debug, Default)]
struct Trial {
    limit: f64,
    at_limit: Mean,
    at_half: Mean,
}

/// Mean of the latencies of several windows.
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
struct LoadReport {
    at: Instant,
    fraction: f64,
}

impl ConcurrencyLimiter {
    /// Ratio of latency to baseline above which half the limit is tried.
    pub const MAX_LATENCY_RATIO: f64 = 2.0;
    /// Time in which a newly started endpoint reaches all its slots.
    pub const WARM_UP_TIME: Duration = Duration::from_secs(10);

    const WARM_UP_START_FRACTION: f64 = 0.25;
    /// Fraction of the limit that a trial uses.
    const TRIAL_FRACTION: f64 = 0.5;
    /// Fraction of the slots by which the limit grows after a window.
    const GROWTH_FRACTION: f64 = 0.05;
    const MIN_WINDOW: Duration = Duration::from_millis(100);
    const MIN_WINDOW_CALLS: u32 = 32;
    const MAX_WINDOW: Duration = Duration::from_secs(5);
    const BASELINE_FALL_WEIGHT: f64 = 0.2;
    const BASELINE_RISE_WEIGHT: f64 = 0.02;
    /// Ratio of the latency at half the limit to that at the limit above which a trial has failed.
    const TRIAL_SUCCESS_RATIO: f64 = 0.75;
    /// Windows that a trial measures at the limit, and then at half of it.
    const TRIAL_WINDOW_COUNT: u32 = 4;
    const REPORT_LIFETIME: Duration = Duration::from_secs(3);
    /// Smallest fraction to which a load report can lower the learned limit.
    const MIN_REPORT_FRACTION: f64 = 0.25;

    /// Creates the limiter of an endpoint with `slots` slots, without a warm-up.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            max_ratio: Self::MAX_LATENCY_RATIO,
            learned_limit: f64::from(slots),
            baseline: None,
            window: Window::default(),
            trial: None,
            warm_up_start: None,
            warm_up_fraction: 1.0,
            report: None,
        }
    }

    /// Starts the warm-up at `now`.
    #[must_use]
    pub fn with_cold_start(mut self, now: Instant) -> Self {
        self.warm_up_start = Some(now);
        self.warm_up_fraction = Self::WARM_UP_START_FRACTION;
        self
    }

    /// Sets the ratio of latency to baseline above which half the limit is tried.
    #[must_use]
    pub const fn with_max_ratio(mut self, max_ratio: f64) -> Self {
        self.max_ratio = max_ratio;
        self
    }

    /// Maximum number of concurrent calls, between 1 and the slots.
    #[must_use]
    pub fn limit(&self) -> u32 {
        let reported = self.report.map_or(1.0, |report| report.fraction);
        let slots = f64::from(self.slots);
        let limit = (self.learned_limit * reported).min(slots * self.warm_up_fraction);
        (limit as u32).clamp(1, self.slots)
    }

    /// Announced number of slots.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Sets the announced number of slots and scales the learned limit with it.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        self.learned_limit = self.learned_limit * f64::from(slots) / f64::from(self.slots);
        self.slots = slots;
    }

    /// Advances the warm-up and discards an expired load report.
    pub fn tick(&mut self, now: Instant) {
        if let Some(since) = self.warm_up_start {
            let elapsed = now.saturating_duration_since(since).as_secs_f64();
            let done = (elapsed / Self::WARM_UP_TIME.as_secs_f64()).min(1.0);
            self.warm_up_fraction =
                Self::WARM_UP_START_FRACTION + (1.0 - Self::WARM_UP_START_FRACTION) * done;
            if done >= 1.0 {
                self.warm_up_start = None;
            }
        }
        if let Some(report) = self.report
            && now.saturating_duration_since(report.at) >= Self::REPORT_LIFETIME
        {
            self.report = None;
        }
    }

    /// Applies a load report of the endpoint. A load above 1 or an unhealthy endpoint lowers the
    /// limit for 3 s, but not below a quarter of the learned limit.
    pub fn apply_load_report(&mut self, now: Instant, load: f64, healthy: bool) {
        let load_fraction = if load > 1.0 { 1.0 / load } else { 1.0 };
        let health_fraction = if healthy {
            1.0
        } else {
            Self::MIN_REPORT_FRACTION
        };
        let fraction = load_fraction
            .min(health_fraction)
            .clamp(Self::MIN_REPORT_FRACTION, 1.0);
        self.report = Some(LoadReport { at: now, fraction });
    }

    /// Records a finished call and the number of calls that were running, itself included.
    ///
    /// A failure counts only if it was slower than the baseline: a fast failure says nothing about
    /// the concurrency that the endpoint can sustain.
    pub fn record_call(&mut self, now: Instant, latency: Duration, ok: bool, running: u32) {
        self.tick(now);
        let latency = latency.as_secs_f64();
        if !ok && self.baseline.is_none_or(|baseline| latency <= baseline) {
            return;
        }
        let window = &mut self.window;
        let start = *window.start.get_or_insert(now);
        window.count += 1;
        window.sum += latency;
        window.max_running = window.max_running.max(running);
        let age = now.saturating_duration_since(start);
        let full = window.count >= Self::MIN_WINDOW_CALLS && age >= Self::MIN_WINDOW;
        if full || age >= Self::MAX_WINDOW {
            let closed = std::mem::take(window);
            self.adjust(closed.sum / f64::from(closed.count), closed.max_running);
        }
    }

    fn adjust(&mut self, latency: f64, max_running: u32) {
        let baseline = *self.baseline.get_or_insert(latency);
        let trying_half = self
            .trial
            .is_some_and(|trial| self.learned_limit < trial.limit);
        if trying_half || latency > baseline * self.max_ratio {
            self.try_half_limit(latency);
            return;
        }
        self.trial = None;
        // While the limit is reduced, latency near the allowed maximum must not raise the baseline,
        // or that maximum and the limit would drift up together.
        let weight = if latency < baseline {
            Self::BASELINE_FALL_WEIGHT
        } else if self.learned_limit >= f64::from(self.slots) {
            Self::BASELINE_RISE_WEIGHT
        } else {
            0.0
        };
        self.baseline = Some(baseline + weight * (latency - baseline));
        // Grows the limit only if at least half of it was used: an unused limit is untested.
        if f64::from(max_running) * 2.0 >= self.learned_limit {
            let slots = f64::from(self.slots);
            let step = (slots * Self::GROWTH_FRACTION).max(1.0);
            self.learned_limit = (self.learned_limit + step).min(slots);
        }
    }

    /// Tries half the limit and keeps it if that lowers the latency.
    ///
    /// If calls wait for each other, half as many take half the time. If the latency stays high,
    /// concurrency is not its cause (a slow dependency, or a different mix of calls): a low limit
    /// would only lose throughput, so all slots are used and the latency becomes the baseline.
    fn try_half_limit(&mut self, latency: f64) {
        let Some(trial) = &mut self.trial else {
            // Ignores this window: it can contain calls from before the latency rose.
            self.trial = Some(Trial {
                limit: self.learned_limit,
                ..Trial::default()
            });
            return;
        };
        if self.learned_limit >= trial.limit {
            trial.at_limit.add(latency);
            if trial.at_limit.count >= Self::TRIAL_WINDOW_COUNT {
                self.learned_limit *= Self::TRIAL_FRACTION;
            }
            return;
        }
        trial.at_half.add(latency);
        if trial.at_half.count < Self::TRIAL_WINDOW_COUNT {
            return;
        }
        let half_latency = trial.at_half.value();
        if half_latency > trial.at_limit.value() * Self::TRIAL_SUCCESS_RATIO {
            self.baseline = Some(half_latency);
            self.learned_limit = f64::from(self.slots);
        }
        self.learned_limit = self.learned_limit.max(1.0);
        self.trial = None;
    }
}
