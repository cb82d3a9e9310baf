//! Routes, and the weighted split of a route's calls among services.
//!
//! A [`Configuration`] is immutable. A call keeps the one it started with, and the daemon adopts
//! only a higher version. [`WeightedSplitter`] splits the calls of a route so that after any number
//! of calls each service is within a call or two of the fraction that its weight gives it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::id::ServiceName;
use crate::organisation::{Credential, Organisation, Organisations};

#[cfg(test)]
mod tests;

/// Name of a route.
pub type RouteName = Arc<str>;

/// Version of a configuration; a higher one is newer.
pub type ConfigurationVersion = u64;

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    Never,
}

/// A service that takes a fraction of a route's calls.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other services of the route.
    pub weight: f64,
}

/// Destination and treatment of the calls with one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, under which daemons store what they learn of the route.
    pub name: RouteName,
    /// Host in lower case.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: String,
    /// Whether a call may run more than once.
    pub retry_safety: RetrySafety,
    /// Longest time for which a caller waits for the response.
    pub timeout: Duration,
    /// Latency target of a response.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub rank: u32,
    /// Number of endpoints to which one call may be sent.
    pub attempts: u32,
    /// Services among which the calls are split.
    pub services: Vec<WeightedService>,
    /// Whether its requests need no key.
    pub exempt: bool,
}

/// Bounds on what clients may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Time within which a request head must arrive.
    pub head_time: Duration,
    /// Time for which a connection may be idle.
    pub idle_time: Duration,
}

/// A request needs a key and carries none that is valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unauthorised;

/// One version of the operators' configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Version; a daemon adopts only a higher one.
    pub version: ConfigurationVersion,
    /// Bounds on what clients may send.
    pub limits: Limits,
    /// Organisations; `None` if requests need no key.
    organisations: Option<Organisations>,
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
}

impl Configuration {
    /// Creates a configuration with these routes.
    #[must_use]
    pub fn new(version: ConfigurationVersion, routes: Vec<Route>, limits: Limits) -> Self {
        let mut hosts: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = hosts.entry(route.host.clone()).or_default();
            host.insert(route.prefix.clone(), Arc::new(route));
        }
        Self {
            version,
            limits,
            organisations: None,
            hosts,
        }
    }

    /// Requires a key of one of these organisations in each request to a route that is not exempt.
    #[must_use]
    pub fn with_organisations(mut self, organisations: Organisations) -> Self {
        self.organisations = Some(organisations);
        self
    }

    /// Whether requests need keys.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        self.organisations.is_some()
    }

    /// Returns the organisations, each once for every key that it holds.
    pub fn organisations(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.organisations.iter().flat_map(Organisations::iter)
    }

    /// Returns the organisation that sent a request to a route, or `None` for an anonymous one.
    ///
    /// # Errors
    ///
    /// Fails if the route needs a key and the request carries none that is valid.
    pub fn identify(
        &self,
        route: &Route,
        credential: Credential,
    ) -> Result<Option<&Arc<Organisation>>, Unauthorised> {
        let Some(organisations) = &self.organisations else {
            return Ok(None);
        };
        let holder = match credential {
            Credential::Key(key) => organisations.holder(&key),
            Credential::Missing | Credential::Malformed => None,
        };
        if holder.is_none() && !route.exempt {
            return Err(Unauthorised);
        }
        Ok(holder)
    }

    /// Returns the route of a host with the longest matching path prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        path.rmatch_indices('/')
            .find_map(|(end, _)| prefixes.get(&path[..=end]))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(HashMap::values)
    }
}

#[derive(Debug)]
struct SplitState {
    services: Vec<WeightedService>,
    credits: Vec<f64>,
}

/// Smooth weighted round robin for each route.
#[derive(Debug)]
pub struct WeightedSplitter {
    phase: f64,
    states: HashMap<RouteName, SplitState>,
}

impl WeightedSplitter {
    /// Creates a splitter whose rounds begin at a phase from 0 to 1.
    ///
    /// Daemons use different phases, otherwise all of them send their first calls to the same
    /// service.
    #[must_use]
    pub fn new(phase: f64) -> Self {
        Self {
            phase: phase.clamp(0.0, 1.0),
            states: HashMap::new(),
        }
    }

    /// Returns the service for the next call on a route, or `None` if no service has a positive
    /// weight.
    pub fn next(&mut self, route: &Route) -> Option<ServiceName> {
        if let [service] = route.services.as_slice() {
            return Some(ServiceName::clone(&service.service));
        }
        let total: f64 = route
            .services
            .iter()
            .map(|service| service.weight.max(0.0))
            .sum();
        if total <= 0.0 {
            return None;
        }
        let state = self
            .states
            .entry(RouteName::clone(&route.name))
            .or_insert_with(|| SplitState::new(route, self.phase, total));
        if state.services != route.services {
            *state = SplitState::new(route, self.phase, total);
        }
        state.next(total)
    }
}

impl SplitState {
    fn new(route: &Route, phase: f64, total: f64) -> Self {
        // Any credits that sum to zero keep the split exact; the phase decides which service is
        // first.
        let mut credits: Vec<f64> = vec![0.0; route.services.len()];
        let mut start = phase * total;
        for (index, service) in route.services.iter().enumerate() {
            let weight = service.weight.max(0.0);
            if start < weight {
                credits[index] = total / 2.0;
                for (other, credit) in credits.iter_mut().enumerate() {
                    if other != index {
                        *credit = -total / 2.0 / (route.services.len() - 1) as f64;
                    }
                }
                break;
            }
            start -= weight;
        }
        Self {
            services: route.services.clone(),
            credits,
        }
    }

    fn next(&mut self, total: f64) -> Option<ServiceName> {
        for (credit, service) in self.credits.iter_mut().zip(&self.services) {
            *credit += service.weight.max(0.0);
        }
        let best = (0..self.services.len())
            .filter(|index| self.services[*index].weight > 0.0)
            .max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b]))?;
        self.credits[best] -= total;
        Some(ServiceName::clone(&self.services[best].service))
    }
}
