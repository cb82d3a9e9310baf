//! Fault plan of a run, generated from its seed.

use std::fmt;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::oracle::VmIndex;
use crate::{endpoint, proxy, store};

#[cfg(test)]
mod tests;

/// Mean time between two actions; the times are exponentially distributed.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(600);

/// Shortest and longest duration of a fault in milliseconds.
const FAULT_DURATION_MS: (u64, u64) = (200, 4_000);

/// First seed whose plans have the actions of [`Generator::statement_action`]. Plans of earlier seeds
/// stay as they were when they found failures.
const FIRST_STATEMENT_SEED: u64 = 1_000;

/// Mean time between two of these actions.
const MEAN_STATEMENT_INTERVAL: Duration = Duration::from_secs(4);

/// Network link of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// To the store.
    Store,
    /// From other daemons.
    Peers,
    /// To the endpoint.
    Endpoint,
}

/// Action on the system under test.
///
/// The names of the variants are printed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Stops a daemon with SIGTERM and restarts it.
    Stop(VmIndex),
    /// Kills a daemon and restarts it.
    Kill(VmIndex),
    /// Kills all daemons and restarts them.
    KillAll,
    /// Pauses a daemon with SIGSTOP.
    Pause(VmIndex, Duration),
    /// Sends a daemon SIGHUP; the flag tells whether its settings have changed.
    Hangup(VmIndex, bool),
    /// Writes a new configuration to the store, as an operator does.
    Configure,
    /// Multiplies the request rate of all clients.
    Burst(f64, Duration),
    /// Makes the store fail for one VM, or for all if none is given.
    Store(Option<VmIndex>, store::Fault, Duration),
    /// Stops the expiry of leases in the store.
    PauseLeases(Duration),
    /// Revokes all leases in the store.
    Revoke,
    /// Discards the change history of the store.
    Compact,
    /// Injects a fault into a link.
    Link(VmIndex, Link, proxy::Fault, Duration),
    /// Crashes an endpoint and starts another instance.
    Crash(VmIndex),
    /// Drains an endpoint and starts another instance.
    Replace(VmIndex),
    /// Takes the store away for a time and lets it return from a copy of this age.
    Restore(Duration, Duration),
    /// Makes an endpoint state a rate limit in calls per second.
    Limit(VmIndex, u32, Duration),
    /// Drains an endpoint that states only in its responses that it leaves, and starts another
    /// instance.
    Depart(VmIndex),
    /// Makes an endpoint misbehave.
    Endpoint(VmIndex, endpoint::Fault, Duration),
}

/// Class of the faults of a run.
///
/// The names of the variants are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultClass {
    /// Planned work of the operators only, during which no call may be lost.
    Planned,
    /// Killed and paused daemons.
    Processes,
    /// Faults of network links.
    Links,
    /// Faults of the store.
    Store,
    /// Faults of endpoints.
    Endpoints,
    /// All other classes mixed.
    All,
}

impl FaultClass {
    const ALL: [Self; 6] = [
        Self::Planned,
        Self::Processes,
        Self::Links,
        Self::Store,
        Self::Endpoints,
        Self::All,
    ];

    /// Returns the class of a seed; six consecutive seeds cover all classes.
    #[must_use]
    pub fn for_seed(seed: u64) -> Self {
        Self::ALL[(seed % Self::ALL.len() as u64) as usize]
    }
}

impl fmt::Display for FaultClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

struct Generator {
    rng: SmallRng,
    vms: usize,
}

impl Generator {
    fn random_vm(&mut self) -> VmIndex {
        self.rng.random_range(0..self.vms)
    }

    fn random_duration(&mut self) -> Duration {
        Duration::from_millis(
            self.rng
                .random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1),
        )
    }

    fn pick<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.rng.random_range(0..choices.len())]
    }

    fn random_delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(20..600))
    }

    fn random_action(&mut self, class: FaultClass) -> Action {
        let class = match class {
            FaultClass::All => self.pick(&FaultClass::ALL[..5]),
            class => class,
        };
        match class {
            FaultClass::Planned | FaultClass::All => self.planned_action(),
            FaultClass::Processes => match self.rng.random_range(0..8) {
                0..3 => Action::Kill(self.random_vm()),
                3..6 => Action::Pause(self.random_vm(), self.random_duration()),
                6 => Action::KillAll,
                _ => self.planned_action(),
            },
            FaultClass::Links => {
                let fault = match self.rng.random_range(0..5) {
                    0 => proxy::Fault::Delayed(self.random_delay()),
                    1 => proxy::Fault::Reset,
                    2 => proxy::Fault::CutForward,
                    3 => proxy::Fault::CutBackward,
                    _ => proxy::Fault::Silent,
                };
                let link = self.pick(&[Link::Store, Link::Peers, Link::Endpoint]);
                Action::Link(self.random_vm(), link, fault, self.random_duration())
            }
            FaultClass::Store => match self.rng.random_range(0..10) {
                0 => Action::Revoke,
                1 => Action::Compact,
                2 => Action::PauseLeases(self.random_duration()),
                3 => self.planned_action(),
                _ => {
                    let vm = self.rng.random_bool(0.5).then(|| self.random_vm());
                    let fault = match self.rng.random_range(0..5) {
                        0 => store::Fault::Slow(self.random_delay()),
                        1 => store::Fault::Refusing(503),
                        2 => store::Fault::Refusing(429),
                        3 => store::Fault::Deaf(self.random_delay()),
                        _ => store::Fault::Down,
                    };
                    Action::Store(vm, fault, self.random_duration())
                }
            },
            FaultClass::Endpoints => match self.rng.random_range(0..10) {
                0 | 1 => Action::Crash(self.random_vm()),
                2 => Action::Replace(self.random_vm()),
                _ => {
                    let fault = self.pick(&[
                        endpoint::Fault::Slow,
                        endpoint::Fault::Refusing,
                        endpoint::Fault::Closing,
                        endpoint::Fault::Short,
                        endpoint::Fault::Garbled,
                        endpoint::Fault::Unsigned,
                        endpoint::Fault::Doubled,
                        endpoint::Fault::Silent,
                    ]);
                    Action::Endpoint(self.random_vm(), fault, self.random_duration())
                }
            },
        }
    }

    /// Returns actions at random times with this mean interval.
    fn plan(
        &mut self,
        interval: Duration,
        time: Duration,
        mut next_action: impl FnMut(&mut Self) -> Action,
    ) -> Vec<(Duration, Action)> {
        let mut plan = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            let random: f64 = self.rng.random_range(1e-6..1.0);
            at += interval.mul_f64(-random.ln());
            if at >= time {
                return plan;
            }
            plan.push((at, next_action(self)));
        }
    }

    /// Returns an action on what the store and the endpoints state about themselves.
    fn statement_action(&mut self) -> Action {
        match self.rng.random_range(0..3) {
            0 => {
                let age = Duration::from_millis(self.rng.random_range(500..8_000));
                Action::Restore(age, self.random_delay())
            }
            1 => {
                // The platform's bound holds from three seconds after the first statement.
                let time = Duration::from_millis(self.rng.random_range(5_000..10_000));
                Action::Limit(self.random_vm(), self.rng.random_range(1..12), time)
            }
            _ => Action::Depart(self.random_vm()),
        }
    }

    fn planned_action(&mut self) -> Action {
        match self.rng.random_range(0..6) {
            0 | 1 => Action::Stop(self.random_vm()),
            2 => Action::Hangup(self.random_vm(), self.rng.random_bool(0.5)),
            3 => Action::Configure,
            4 => Action::Replace(self.random_vm()),
            _ => Action::Burst(self.rng.random_range(2.0..8.0), self.random_duration()),
        }
    }
}

/// Generates the actions of a run with their times since its start; a seed always gives the same
/// plan.
#[must_use]
pub fn generate(seed: u64, vms: usize, time: Duration) -> Vec<(Duration, Action)> {
    let mut generator = Generator {
        rng: SmallRng::seed_from_u64(seed),
        vms,
    };
    let class = FaultClass::for_seed(seed);
    let random_action = |generator: &mut Generator| generator.random_action(class);
    let mut plan = generator.plan(MEAN_FAULT_INTERVAL, time, random_action);
    if seed >= FIRST_STATEMENT_SEED && class != FaultClass::Planned {
        plan.extend(generator.plan(MEAN_STATEMENT_INTERVAL, time, Generator::statement_action));
        plan.sort_by_key(|(at, _)| *at);
    }
    plan
}
