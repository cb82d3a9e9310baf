//! Rules and the classification of calls.
//!
//! A rule either declares a kind of call, with the requests that it matches, its rank and its
//! limits, or gives a customer a weight. [`RuleSet::classify`] assigns each call a [`Class`] that
//! applies to its whole chain.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{CustomerName, KindName, Revision, ServiceName};

#[cfg(test)]
mod tests;

/// Priority of a kind of call. Zero is the most urgent.
pub type Rank = u8;

/// Least urgent rank.
pub const LOWEST_RANK: Rank = 7;
/// Number of ranks.
pub const RANK_COUNT: usize = LOWEST_RANK as usize + 1;
/// Rank of calls that no rule matches.
pub const DEFAULT_RANK: Rank = 4;
/// Deadline of calls that no rule matches.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(5);
/// Weight of a customer that no rule names, and the lowest weight.
pub const DEFAULT_WEIGHT: u32 = 1;

/// One line of the rules file.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Declares a kind of call.
    Kind(KindRule),
    /// Gives a customer a weight.
    Customer(CustomerRule),
}

/// A kind of call and the requests that it matches.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindRule {
    /// Name of the kind, unique in the file.
    pub name: KindName,
    /// Called service.
    pub service: ServiceName,
    /// HTTP method; any if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// Prefix of the path; any if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// Rank, 0 (most urgent) to 7.
    pub rank: Rank,
    /// Time limit of the whole chain, in milliseconds.
    pub deadline_ms: u32,
    /// Percentage of an endpoint's slots reserved for this rank while it has calls.
    #[serde(default)]
    pub floor_percent: u8,
    /// Extra attempts allowed in the whole chain, resends by the client included.
    #[serde(default)]
    pub extra_attempts: u8,
    /// Whether the call may run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Percentage of calls that must succeed within the deadline.
    #[serde(default = "default_target")]
    pub target_percent: f64,
}

const fn default_target() -> f64 {
    99.0
}

/// A customer and its weight among the customers of the same rank.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerRule {
    /// Name of the customer, unique in the file.
    pub name: CustomerName,
    /// Weight of the customer's fair share, 1 to 1,000. An unnamed customer has 1.
    pub weight: u32,
}

/// A rule with its line in the rules file and who asked for it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RuleLine {
    /// Line in the rules file, starting at 1; zero for the built-in default.
    pub line: u32,
    /// Comment that names who asked for the rule.
    pub asked_by: Arc<str>,
    /// The rule itself.
    pub rule: Rule,
}

/// Class that the rules assign to a call and its whole chain.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Kind of call.
    pub kind: KindName,
    /// Rank of the kind.
    pub rank: Rank,
    /// Customer of the call.
    pub customer: CustomerName,
    /// Weight of the customer.
    pub weight: u32,
    /// Time limit of the whole chain.
    pub deadline: Duration,
    /// Extra attempts allowed in the whole chain.
    pub extra_attempts: u8,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Line of the matching rule, zero for the built-in default.
    pub line: u32,
    /// Who asked for that rule.
    pub asked_by: Arc<str>,
}

/// The rules of one revision.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSet {
    /// Revision in the platform's store, zero for the built-in default.
    pub revision: Revision,
    /// Rules in the order of the file.
    pub lines: Vec<RuleLine>,
}

impl Default for RuleSet {
    fn default() -> Self {
        Self::new(0)
    }
}

impl RuleSet {
    /// Creates an empty set, which gives every call the default class.
    #[must_use]
    pub const fn new(revision: Revision) -> Self {
        Self {
            revision,
            lines: Vec::new(),
        }
    }

    /// Appends rules.
    #[must_use]
    pub fn with_lines(mut self, lines: Vec<RuleLine>) -> Self {
        self.lines.extend(lines);
        self
    }

    /// Returns the class of a call. The first matching kind in the file applies.
    #[must_use]
    pub fn classify(&self, service: &str, method: &str, path: &str, customer: &str) -> Class {
        let weight = self.weight(customer);
        let customer = CustomerName::from(customer);
        let found = self
            .kinds()
            .find(|(_, kind)| kind.matches(service, method, path));
        match found {
            Some((line, kind)) => Class {
                kind: Arc::clone(&kind.name),
                rank: kind.rank.min(LOWEST_RANK),
                customer,
                weight,
                deadline: Duration::from_millis(kind.deadline_ms.into()),
                extra_attempts: kind.extra_attempts,
                idempotent: kind.idempotent,
                line: line.line,
                asked_by: Arc::clone(&line.asked_by),
            },
            None => Class {
                kind: "default".into(),
                rank: DEFAULT_RANK,
                customer,
                weight,
                deadline: DEFAULT_DEADLINE,
                extra_attempts: 0,
                idempotent: matches!(method, "GET" | "HEAD" | "OPTIONS"),
                line: 0,
                asked_by: "built-in default".into(),
            },
        }
    }

    /// Returns the weight of a customer.
    #[must_use]
    pub fn weight(&self, customer: &str) -> u32 {
        self.customers()
            .find(|(_, rule)| &*rule.name == customer)
            .map_or(DEFAULT_WEIGHT, |(_, rule)| rule.weight.max(DEFAULT_WEIGHT))
    }

    /// Returns the percentage of the slots of an endpoint of `service` reserved for each rank.
    ///
    /// The floors of all kinds with the same rank and service add up. A rank without a floor at
    /// `service` takes its highest floor at any other service: calls keep their rank along the
    /// chain and would otherwise lose their floor at the dependencies. The sum over all ranks is at
    /// most 100; more urgent ranks come first.
    #[must_use]
    pub fn floors(&self, service: &str) -> [u8; RANK_COUNT] {
        let mut sums: HashMap<&str, [u8; RANK_COUNT]> = HashMap::new();
        for (_, kind) in self.kinds() {
            let floor = &mut sums.entry(&kind.service).or_default()[rank_index(kind.rank)];
            *floor = floor.saturating_add(kind.floor_percent);
        }
        let mut floors = sums.get(service).copied().unwrap_or_default();
        let mut left = 100;
        for (rank, floor) in floors.iter_mut().enumerate() {
            if *floor == 0 {
                *floor = sums.values().map(|sum| sum[rank]).max().unwrap_or(0);
            }
            *floor = (*floor).min(left);
            left -= *floor;
        }
        floors
    }

    /// Returns the rules that declare kinds.
    pub fn kinds(&self) -> impl Iterator<Item = (&RuleLine, &KindRule)> {
        self.lines.iter().filter_map(|line| match &line.rule {
            Rule::Kind(kind) => Some((line, kind)),
            Rule::Customer(_) => None,
        })
    }

    /// Returns the rules that give customers a weight.
    pub fn customers(&self) -> impl Iterator<Item = (&RuleLine, &CustomerRule)> {
        self.lines.iter().filter_map(|line| match &line.rule {
            Rule::Customer(customer) => Some((line, customer)),
            Rule::Kind(_) => None,
        })
    }
}

fn rank_index(rank: Rank) -> usize {
    usize::from(rank.min(LOWEST_RANK))
}

impl KindRule {
    fn matches(&self, service: &str, method: &str, path: &str) -> bool {
        &*self.service == service
            && self.method.as_deref().is_none_or(|own| own == method)
            && self.path.as_deref().is_none_or(|own| path.starts_with(own))
    }
}
