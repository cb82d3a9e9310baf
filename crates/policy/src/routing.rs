//! Routes, and the weights of a route's parts.
//!
//! A [`Configuration`] is immutable. A call keeps the one it started with, and the daemon adopts
//! only a higher version. [`WeightedSplitter`] spreads the calls of a route over its parts so that after
//! any number of calls each part is within one call of its share.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::id::ServiceName;

#[cfg(test)]
mod tests;

/// Name of a route.
pub type RouteName = Arc<str>;

/// Order of configurations.
pub type ConfigurationVersion = u64;

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// It may.
    Idempotent,
    /// It runs once at most.
    Never,
}

/// A service that gets a share of a route's calls.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Service.
    pub service: ServiceName,
    /// Share relative to the other parts.
    pub weight: f64,
}

/// Where the calls of one host and path prefix go, and how they are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: RouteName,
    /// Host in lower case.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: String,
    /// Whether a call may run more than once.
    pub retry_safety: RetrySafety,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub rank: u32,
    /// Endpoints to which one call may be sent.
    pub attempts: u32,
    /// Services that take the calls.
    pub services: Vec<WeightedService>,
}

/// Bounds on what clients may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a head.
    pub head_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time for a head to arrive.
    pub head_time: Duration,
    /// Time that a connection may be idle.
    pub idle_time: Duration,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Version.
    pub version: ConfigurationVersion,
    /// Bounds on what clients may send.
    pub limits: Limits,
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
}

impl Configuration {
    /// A configuration with these routes.
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
            hosts,
        }
    }

    /// The route of a host with the longest prefix that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        path.rmatch_indices('/')
            .find_map(|(end, _)| prefixes.get(&path[..=end]))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(HashMap::values)
    }
}

#[derive(Debug)]
struct Turn {
    parts: Vec<WeightedService>,
    credits: Vec<f64>,
}

/// Smooth weighted round robin for each route.
#[derive(Debug)]
pub struct WeightedSplitter {
    phase: f64,
    turns: HashMap<RouteName, Turn>,
}

impl WeightedSplitter {
    /// A splitter whose rounds begin at a phase from 0 to 1.
    ///
    /// Daemons use different phases, otherwise all of them send their first calls to the same part.
    #[must_use]
    pub fn new(phase: f64) -> Self {
        Self {
            phase: phase.clamp(0.0, 1.0),
            turns: HashMap::new(),
        }
    }

    /// The service of the next call on a route, or `None` when no part has a positive weight.
    pub fn next(&mut self, route: &Route) -> Option<ServiceName> {
        if let [only] = route.services.as_slice() {
            return Some(ServiceName::clone(&only.service));
        }
        let total: f64 = route.services.iter().map(|part| part.weight.max(0.0)).sum();
        if total <= 0.0 {
            return None;
        }
        let turn = self
            .turns
            .entry(RouteName::clone(&route.name))
            .or_insert_with(|| Turn::new(route, self.phase, total));
        if turn.parts != route.services {
            *turn = Turn::new(route, self.phase, total);
        }
        turn.next(total)
    }
}

impl Turn {
    fn new(route: &Route, phase: f64, total: f64) -> Self {
        // Any credits that sum to zero keep the shares exact; the phase decides who is first.
        let mut credits: Vec<f64> = vec![0.0; route.services.len()];
        let mut start = phase * total;
        for (index, part) in route.services.iter().enumerate() {
            let weight = part.weight.max(0.0);
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
            parts: route.services.clone(),
            credits,
        }
    }

    fn next(&mut self, total: f64) -> Option<ServiceName> {
        for (credit, part) in self.credits.iter_mut().zip(&self.parts) {
            *credit += part.weight.max(0.0);
        }
        let best = (0..self.parts.len())
            .filter(|index| self.parts[*index].weight > 0.0)
            .max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b]))?;
        self.credits[best] -= total;
        Some(ServiceName::clone(&self.parts[best].service))
    }
}
