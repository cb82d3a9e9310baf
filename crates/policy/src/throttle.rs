//! Refusal of new chains at their entry.
//!
//! Answers overload of a service that a chain reaches through others: the entry learns from
//! answers how many calls each route makes at which service, and admits the share that the
//! scarcest of them can take. A refused client comes back once, so a client that came back goes
//! before a new one, and it is told to come back while its answer can still be in time.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::ServiceName;
use crate::routing::{Route, RouteName};
use crate::selection::Headroom;

#[cfg(test)]
mod tests;

/// Calls at each service that one run led to.
pub type Usage = Vec<(ServiceName, u32)>;

/// Weight of a new run in the mean usage.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Mean calls from which a route counts as using a service.
const USES: f64 = 0.3;

/// Part of the longest patience seen under which a client counts as having come back.
const RETURNED_BELOW: f64 = 0.97;

/// Advantage of a client that came back.
const RETURNED_BOOST: f64 = 2.0;

/// Part of its remaining time for which a client honours a pause.
const HONOURED: f64 = 1.0 / 3.0;

/// Smallest part of the possible pause, so that clients come back spread out and not at once.
const LEAST_PAUSE: f64 = 0.3;

/// Chance of a chain to succeed below which it is refused more and more: its work is wasted.
const LEAST_CHANCE: f64 = 0.4;

/// Share that is admitted in any case, to notice when things are better.
const TRICKLE: f64 = 0.02;

/// Shortest pause.
const MIN_PAUSE: Duration = Duration::from_millis(150);

#[derive(Debug, Default)]
struct RouteState {
    usage: HashMap<ServiceName, f64>,
    time: Duration,
    patience: Duration,
    credit: f64,
}

impl RouteState {
    /// Services that the route uses, with the mean calls of a run.
    fn dependencies(&self) -> impl Iterator<Item = (&ServiceName, &f64)> {
        self.usage.iter().filter(|(_, calls)| **calls >= USES)
    }
}

/// Decision on a new chain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ThrottleDecision {
    /// It goes on, admitted with this share.
    Admitted(f64),
    /// It is refused.
    Refused,
}

/// What an entry knows of its routes.
#[derive(Debug)]
pub struct EntryThrottle {
    phase: f64,
    routes: HashMap<RouteName, RouteState>,
}

impl EntryThrottle {
    /// A throttle that admits the first of several calls at a phase from 0 to 1.
    #[must_use]
    pub fn new(phase: f64) -> Self {
        Self {
            phase,
            routes: HashMap::new(),
        }
    }

    /// Takes what a finished run used, and the time that it took.
    pub fn record_run(&mut self, route: &RouteName, usage: &[(ServiceName, u32)], time: Duration) {
        let state = self.state(route);
        state.time = if state.time.is_zero() {
            time
        } else {
            state.time.mul_f64(1.0 - SAMPLE_WEIGHT) + time.mul_f64(SAMPLE_WEIGHT)
        };
        for calls in state.usage.values_mut() {
            *calls *= 1.0 - SAMPLE_WEIGHT;
        }
        for (service, calls) in usage {
            let calls = f64::from(*calls);
            state
                .usage
                .entry(ServiceName::clone(service))
                .and_modify(|mean| *mean += calls * SAMPLE_WEIGHT)
                .or_insert(calls);
        }
    }

    /// Services that a route reaches through others.
    pub fn all_dependencies(&self) -> impl Iterator<Item = &ServiceName> {
        let uses = self.routes.values().flat_map(RouteState::dependencies);
        uses.map(|(service, _)| service)
    }

    /// Services that a route reaches through others.
    #[must_use]
    pub fn dependencies(&self, route: &RouteName) -> Vec<ServiceName> {
        let state = self.routes.get(route);
        state
            .into_iter()
            .flat_map(RouteState::dependencies)
            .map(|(service, _)| ServiceName::clone(service))
            .collect()
    }

    /// Decides on a new chain that starts at a service. `room_of` gives what a service can take;
    /// `None` stands for a service of which nothing is known.
    pub fn decide(
        &mut self,
        route: &Route,
        service: &ServiceName,
        patience: Duration,
        room_of: impl Fn(&ServiceName) -> Option<Headroom>,
    ) -> ThrottleDecision {
        let state = self.state(&route.name);
        let returned = patience < state.patience.mul_f64(RETURNED_BELOW);
        state.patience = state.patience.max(patience);
        let mut share = room_of(service).map_or(1.0, |room| room.share);
        // Each call that an endpoint refuses ends its chain, since the budget of repeats is small.
        let mut chance = 1.0_f64;
        for (service, calls) in state.dependencies() {
            if let Some(room) = room_of(service) {
                share = share.min(room.share);
                chance *= room.accepted.powf(*calls);
            }
        }
        let share = share.min(chance * LEAST_CHANCE.recip()).max(TRICKLE);
        if route.rank == 0 || share >= 1.0 {
            return ThrottleDecision::Admitted(1.0);
        }
        let share = if returned {
            (share * RETURNED_BOOST).min(1.0)
        } else {
            share
        };
        state.credit += share;
        if state.credit >= 1.0 {
            state.credit -= 1.0;
            return ThrottleDecision::Admitted(share);
        }
        ThrottleDecision::Refused
    }

    /// Pause for a refused client: within what it honours, and so that its answer can be in time.
    ///
    /// `toss` is a random number from 0 to 1.
    #[must_use]
    pub fn retry_delay(&self, route: &Route, patience: Duration, toss: f64) -> Duration {
        let time = self
            .routes
            .get(&route.name)
            .map_or(Duration::ZERO, |state| state.time);
        let honoured = patience.mul_f64(HONOURED);
        let in_time = route.objective.saturating_sub(time);
        let most = if in_time > MIN_PAUSE {
            honoured.min(in_time)
        } else {
            honoured
        };
        most.mul_f64(LEAST_PAUSE + (1.0 - LEAST_PAUSE) * toss)
            .max(MIN_PAUSE)
    }

    fn state(&mut self, route: &RouteName) -> &mut RouteState {
        let phase = self.phase;
        self.routes
            .entry(RouteName::clone(route))
            .or_insert_with(|| RouteState {
                credit: phase,
                ..RouteState::default()
            })
    }
}
