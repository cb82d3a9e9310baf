//! Throttling of new chains at their entry.
//!
//! Protects services that a chain reaches through other calls. The entry learns from responses how
//! many calls a route makes to each service, and admits the fraction of chains that the most loaded
//! of these dependencies can take. A refused client resends its call once. A resent call is
//! therefore preferred to a new one, and the client is told to resend while its response can still
//! be in time. Chains of organisations are admitted in max-min fair shares (see
//! [`fair_share`](crate::fair_share)).

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::fair_share::FairShares;
use crate::held_back::{HeldBack, HeldChange};
use crate::id::{OrganisationName, ServiceName};
use crate::routing::{Route, RouteName};
use crate::selection::Headroom;

#[cfg(test)]
mod reference_tests;
#[cfg(test)]
mod tests;

/// Number of calls to each service that one run led to.
pub type Usage = Vec<(ServiceName, u32)>;

/// Weight of a new run in the mean usage and run time of a route.
const RUN_SAMPLE_WEIGHT: f64 = 0.1;

/// Mean calls in a run from which a service counts as a dependency of the route.
const MIN_DEPENDENCY_CALLS: f64 = 0.3;

/// Fraction of the longest client timeout seen below which a call counts as resent.
const RESENT_TIMEOUT_FRACTION: f64 = 0.97;

/// Factor on the admission share of a resent call.
const RESENT_SHARE_FACTOR: f64 = 2.0;

/// Largest fraction of the client timeout for which a client honours a retry delay.
const HONOURED_TIMEOUT_FRACTION: f64 = 1.0 / 3.0;

/// Smallest fraction of the possible retry delay. Delays vary above it, so that clients do not
/// resend all at once.
const MIN_DELAY_FRACTION: f64 = 0.3;

/// Chance of success below which chains are refused more and more, because the work of a chain that
/// fails is wasted.
const MIN_SUCCESS_CHANCE: f64 = 0.4;

/// Smallest admission share. The calls that it lets through show when the overload has ended.
const MIN_ADMISSION_SHARE: f64 = 0.02;

/// Shortest retry delay.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);

#[derive(Debug, Default)]
struct RouteState {
    usage: HashMap<ServiceName, f64>,
    run_time: Duration,
    longest_timeout: Duration,
    /// Accumulated admission share. When it reaches 1, a chain is admitted and 1 is subtracted.
    credit: f64,
    /// Shares of the organisations, if any has asked.
    organisations: Option<FairShares>,
}

impl RouteState {
    /// Returns the dependencies of the route with their mean calls in a run.
    fn dependencies(&self) -> impl Iterator<Item = (&ServiceName, &f64)> {
        self.usage
            .iter()
            .filter(|(_, calls)| **calls >= MIN_DEPENDENCY_CALLS)
    }
}

/// A chain that a client wants to start.
#[derive(Clone, Copy, Debug)]
pub struct NewChain<'a> {
    /// Its route.
    pub route: &'a Route,
    /// Service of its first call.
    pub service: &'a ServiceName,
    /// Time for which the client waits.
    pub client_timeout: Duration,
    /// Organisation that sends it, if there are organisations.
    pub organisation: Option<&'a OrganisationName>,
}

/// Decision on a new chain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ThrottleDecision {
    /// It is admitted.
    Admitted {
        /// Admission share of new chains, of its organisation if it has one.
        share: f64,
        /// Whether it is a resent call, which is preferred to new chains.
        resent: bool,
    },
    /// It is refused.
    Refused,
}

/// Throttle of an entry, with what it has learned about its routes.
#[derive(Debug)]
pub struct EntryThrottle {
    phase: f64,
    routes: HashMap<RouteName, RouteState>,
    held_back: HeldBack,
}

impl EntryThrottle {
    /// Creates a throttle. `phase`, from 0 to 1, is the initial admission credit of each route and
    /// decides which of the first calls is admitted.
    #[must_use]
    pub fn new(phase: f64) -> Self {
        Self {
            phase,
            routes: HashMap::new(),
            held_back: HeldBack::default(),
        }
    }

    /// Returns which organisations have started or ceased to be held back since the last call.
    pub fn held_changes(&mut self, now: Instant) -> Vec<HeldChange> {
        self.held_back.changes(now)
    }

    /// Records the usage of a finished run and the time that it took.
    pub fn record_run(&mut self, route: &RouteName, usage: &[(ServiceName, u32)], time: Duration) {
        let state = self.state(route);
        state.run_time = if state.run_time.is_zero() {
            time
        } else {
            state.run_time.mul_f64(1.0 - RUN_SAMPLE_WEIGHT) + time.mul_f64(RUN_SAMPLE_WEIGHT)
        };
        for calls in state.usage.values_mut() {
            *calls *= 1.0 - RUN_SAMPLE_WEIGHT;
        }
        for (service, calls) in usage {
            let calls = f64::from(*calls);
            state
                .usage
                .entry(ServiceName::clone(service))
                .and_modify(|mean| *mean += calls * RUN_SAMPLE_WEIGHT)
                .or_insert(calls);
        }
    }

    /// Returns the dependencies of all routes, with duplicates.
    pub fn all_dependencies(&self) -> impl Iterator<Item = &ServiceName> {
        let dependencies = self.routes.values().flat_map(RouteState::dependencies);
        dependencies.map(|(service, _)| service)
    }

    /// Returns the dependencies of a route.
    #[must_use]
    pub fn dependencies(&self, route: &RouteName) -> Vec<ServiceName> {
        let state = self.routes.get(route);
        state
            .into_iter()
            .flat_map(RouteState::dependencies)
            .map(|(service, _)| ServiceName::clone(service))
            .collect()
    }

    /// Decides on a new chain. `headroom_of` returns what a service can take, or `None` for a service
    /// of which nothing is known.
    pub fn decide(
        &mut self,
        now: Instant,
        chain: &NewChain<'_>,
        headroom_of: impl Fn(&ServiceName) -> Option<Headroom>,
    ) -> ThrottleDecision {
        let NewChain {
            route,
            service,
            client_timeout,
            organisation,
        } = *chain;
        let phase = self.phase;
        let state = self.state(&route.name);
        let resent = client_timeout < state.longest_timeout.mul_f64(RESENT_TIMEOUT_FRACTION);
        state.longest_timeout = state.longest_timeout.max(client_timeout);
        let mut share = headroom_of(service).map_or(1.0, |headroom| headroom.share);
        // Each call that an endpoint refuses ends its chain, since the retry budget is small.
        let mut success_chance = 1.0_f64;
        for (service, calls) in state.dependencies() {
            if let Some(headroom) = headroom_of(service) {
                share = share.min(headroom.share);
                success_chance *= headroom.accepted.powf(*calls);
            }
        }
        let share = share
            .min(success_chance * MIN_SUCCESS_CHANCE.recip())
            .max(MIN_ADMISSION_SHARE);
        if let Some(organisation) = organisation
            && route.rank > 0
        {
            let shares = state
                .organisations
                .get_or_insert_with(|| FairShares::new(phase, RESENT_SHARE_FACTOR));
            let (share, admitted) = shares.decide(now, organisation, resent, share);
            if admitted {
                return ThrottleDecision::Admitted { share, resent };
            }
            self.held_back.record(now, Some(organisation));
            return ThrottleDecision::Refused;
        }
        if route.rank == 0 || share >= 1.0 {
            return ThrottleDecision::Admitted { share: 1.0, resent };
        }
        let factor = if resent { RESENT_SHARE_FACTOR } else { 1.0 };
        state.credit += (share * factor).min(1.0);
        if state.credit >= 1.0 {
            state.credit -= 1.0;
            return ThrottleDecision::Admitted { share, resent };
        }
        ThrottleDecision::Refused
    }

    /// Returns the delay after which a refused client is told to resend. It is short enough that
    /// the client honours it and, if possible, that the response can still be in time.
    ///
    /// `random` is a random number from 0 to 1.
    #[must_use]
    pub fn retry_delay(&self, route: &Route, client_timeout: Duration, random: f64) -> Duration {
        let time = self
            .routes
            .get(&route.name)
            .map_or(Duration::ZERO, |state| state.run_time);
        let max_honoured = client_timeout.mul_f64(HONOURED_TIMEOUT_FRACTION);
        let in_time = route.objective.saturating_sub(time);
        let max_delay = if in_time > MIN_RETRY_DELAY {
            max_honoured.min(in_time)
        } else {
            max_honoured
        };
        max_delay
            .mul_f64(MIN_DELAY_FRACTION + (1.0 - MIN_DELAY_FRACTION) * random)
            .max(MIN_RETRY_DELAY)
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
