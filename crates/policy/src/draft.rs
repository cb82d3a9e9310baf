//! A configuration as the operators wrote it, before it is indexed.
//!
//! [`Draft::findings`] reports what a daemon would accept and that still cannot be meant: entries that
//! no request can match and limits that contradict each other. [`Draft::changes`] compares two
//! versions. The daemon builds its [`Configuration`] from the same draft, so both see the same values.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use crate::id::{OrganisationName, ServiceName};
use crate::organisation::{KeyDigest, Organisation, Organisations, SharedKey};
use crate::routing::{Configuration, ConfigurationVersion, Limits, Route};

#[cfg(test)]
mod tests;

/// An organisation with the digests of its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Membership {
    /// The organisation.
    pub organisation: Organisation,
    /// Digests of its keys, in the order in which they are written.
    pub keys: Vec<KeyDigest>,
}

/// One version of the configuration as written.
#[derive(Clone, Debug)]
pub struct Draft {
    /// Version.
    pub version: ConfigurationVersion,
    /// Bounds on what clients may send.
    pub limits: Limits,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services that it describes.
    pub services: BTreeSet<ServiceName>,
    /// Organisations; `None` if requests need no key.
    pub organisations: Option<Vec<Membership>>,
}

/// Weight of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Some requests are treated otherwise than the entry says, or never served.
    Error,
    /// The entry has no effect, or is probably not meant.
    Warning,
}

/// Something in a configuration that cannot be meant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Its weight.
    pub severity: Severity,
    /// The entry, such as `route r-a`.
    pub place: String,
    /// What is wrong.
    pub found: String,
}

/// Whether an entry was added, removed or changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The older version lacks it.
    Added(String),
    /// The newer version lacks it.
    Removed(String),
    /// A value of it differs.
    Changed {
        /// The entry.
        place: String,
        /// Name of the value.
        value: &'static str,
        /// Value in the older version.
        before: String,
        /// Value in the newer version.
        after: String,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(place) => write!(f, "+ {place}"),
            Self::Removed(place) => write!(f, "- {place}"),
            Self::Changed {
                place,
                value,
                before,
                after,
            } => write!(f, "~ {place}: {value} {before} -> {after}"),
        }
    }
}

impl Draft {
    /// Builds the configuration that a daemon uses.
    ///
    /// # Errors
    ///
    /// Fails if two organisations hold the same key.
    pub fn build(self) -> Result<Configuration, SharedKey> {
        let configuration = Configuration::new(self.version, self.routes, self.limits);
        let Some(members) = self.organisations else {
            return Ok(configuration);
        };
        let mut organisations = Organisations::new();
        for member in members {
            organisations.add(member.organisation, member.keys)?;
        }
        Ok(configuration.with_organisations(organisations))
    }

    /// Returns what cannot be meant, errors first.
    #[must_use]
    pub fn findings(&self) -> Vec<Finding> {
        let mut findings = Findings::default();
        self.check_limits(&mut findings);
        let mut seen: HashMap<(&str, &str), &Route> = HashMap::new();
        for route in &self.routes {
            let place = route_place(route);
            if let Some(first) = seen.insert((&route.host, &route.prefix), route) {
                findings.error(
                    &place,
                    format!("route {} has the same host and prefix", first.name),
                );
            }
            self.check_route(route, &place, &mut findings);
        }
        for member in self.organisations.iter().flatten() {
            check_organisation(member, &mut findings);
        }
        self.check_keys(&mut findings);
        findings.0.sort_by_key(|finding| finding.severity);
        findings.0
    }

    /// Returns the differences from an older version, by kind of entry and name.
    #[must_use]
    pub fn changes(&self, older: &Self) -> Vec<Change> {
        let mut changes = Vec::new();
        compare(
            "version",
            &values_of_version(older),
            &values_of_version(self),
            &mut changes,
        );
        compare_entries(
            &routes_by_name(older),
            &routes_by_name(self),
            |name| format!("route {name}"),
            |route| values_of_route(route),
            &mut changes,
        );
        let removed = older.services.difference(&self.services);
        changes.extend(removed.map(|name| Change::Removed(format!("service {name}"))));
        let added = self.services.difference(&older.services);
        changes.extend(added.map(|name| Change::Added(format!("service {name}"))));
        compare_entries(
            &members_by_name(older),
            &members_by_name(self),
            |name| format!("organisation {name}"),
            |member| values_of_member(member),
            &mut changes,
        );
        self.compare_keys(older, &mut changes);
        changes
    }

    fn check_limits(&self, findings: &mut Findings) {
        let limits = &self.limits;
        if limits.head_bytes == 0 || limits.head_time.is_zero() {
            findings.error("limits", "no request head can be received".to_owned());
        }
        if limits.idle_time.is_zero() {
            findings.error("limits", "connections are closed at once".to_owned());
        }
    }

    fn check_route(&self, route: &Route, place: &str, findings: &mut Findings) {
        if route.host.is_empty() || route.host.contains(':') {
            findings.error(
                place,
                format!(
                    "no request has the host {:?}; give it without port",
                    route.host
                ),
            );
        }
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            findings.error(
                place,
                format!(
                    "no path matches {:?}; begin and end it with a slash",
                    route.prefix
                ),
            );
        }
        if route.timeout < route.objective {
            findings.warning(
                place,
                format!(
                    "the timeout of {:?} is shorter than the latency objective of {:?}",
                    route.timeout, route.objective
                ),
            );
        }
        if route.timeout.is_zero() {
            findings.error(
                place,
                "the timeout is 0, so that no call is served".to_owned(),
            );
        }
        if route.services.iter().all(|service| service.weight <= 0.0) {
            findings.error(
                place,
                "all weights are 0, so that no call is served".to_owned(),
            );
        }
        for service in &route.services {
            let name = &service.service;
            if !self.services.is_empty() && !self.services.contains(name) {
                findings.error(place, format!("service {name} is not described"));
            }
            if service.weight == 0.0 {
                findings.warning(
                    place,
                    format!("service {name} has weight 0 and gets no call"),
                );
            }
        }
    }

    /// Reports keys that stand twice, without printing them.
    fn check_keys(&self, findings: &mut Findings) {
        let mut holders: HashMap<KeyDigest, &OrganisationName> = HashMap::new();
        for member in self.organisations.iter().flatten() {
            let name = &member.organisation.name;
            for (index, key) in member.keys.iter().enumerate() {
                let Some(first) = holders.insert(*key, name) else {
                    continue;
                };
                let place = format!("organisation {name}");
                let number = index + 1;
                if first == name {
                    findings.warning(&place, format!("its key number {number} stands twice"));
                } else {
                    findings.error(
                        &place,
                        format!("its key number {number} is held by organisation {first} too"),
                    );
                }
            }
        }
    }

    fn compare_keys(&self, older: &Self, changes: &mut Vec<Change>) {
        let (before, after) = (members_by_name(older), members_by_name(self));
        for (name, new) in &after {
            let Some(old) = before.get(name) else {
                continue;
            };
            let missing = |keys: &[KeyDigest], others: &[KeyDigest]| {
                keys.iter().filter(|key| !others.contains(key)).count()
            };
            let added = missing(&new.keys, &old.keys);
            let removed = missing(&old.keys, &new.keys);
            if added + removed > 0 {
                changes.push(Change::Changed {
                    place: format!("organisation {name}"),
                    value: "keys",
                    before: format!("{} ({removed} removed)", old.keys.len()),
                    after: format!("{} ({added} added)", new.keys.len()),
                });
            }
        }
    }
}

#[derive(Debug, Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn error(&mut self, place: &str, found: String) {
        self.add(Severity::Error, place, found);
    }

    fn warning(&mut self, place: &str, found: String) {
        self.add(Severity::Warning, place, found);
    }

    fn add(&mut self, severity: Severity, place: &str, found: String) {
        self.0.push(Finding {
            severity,
            place: place.to_owned(),
            found,
        });
    }
}

fn route_place(route: &Route) -> String {
    format!("route {}", route.name)
}

fn check_organisation(member: &Membership, findings: &mut Findings) {
    let place = format!("organisation {}", member.organisation.name);
    if member.keys.is_empty() {
        findings.warning(
            &place,
            "it has no key, so that no request is its own".to_owned(),
        );
    }
    if let Some(quota) = member.organisation.quota
        && quota.burst < 1.0
    {
        findings.error(
            &place,
            format!(
                "its rate of {} a second never grants a request, as the burst is {}",
                quota.rate, quota.burst
            ),
        );
    }
}

/// Names of values and the values as text.
type Values = Vec<(&'static str, String)>;

fn compare(place: &str, before: &Values, after: &Values, changes: &mut Vec<Change>) {
    for ((value, before), (_, after)) in before.iter().zip(after) {
        if before != after {
            changes.push(Change::Changed {
                place: place.to_owned(),
                value,
                before: before.clone(),
                after: after.clone(),
            });
        }
    }
}

fn compare_entries<T>(
    before: &BTreeMap<&str, T>,
    after: &BTreeMap<&str, T>,
    place: impl Fn(&str) -> String,
    values: impl Fn(&T) -> Values,
    changes: &mut Vec<Change>,
) {
    let names: BTreeSet<&str> = before.keys().chain(after.keys()).copied().collect();
    for name in names {
        match (before.get(name), after.get(name)) {
            (None, _) => changes.push(Change::Added(place(name))),
            (_, None) => changes.push(Change::Removed(place(name))),
            (Some(old), Some(new)) => compare(&place(name), &values(old), &values(new), changes),
        }
    }
}

fn routes_by_name(draft: &Draft) -> BTreeMap<&str, &Route> {
    let named = draft.routes.iter().map(|route| (&*route.name, route));
    named.collect()
}

fn members_by_name(draft: &Draft) -> BTreeMap<&str, &Membership> {
    let members = draft.organisations.iter().flatten();
    let named = members.map(|member| (&*member.organisation.name, member));
    named.collect()
}

fn values_of_version(draft: &Draft) -> Values {
    let limits = &draft.limits;
    vec![
        ("number", draft.version.to_string()),
        ("keys needed", draft.organisations.is_some().to_string()),
        ("largest head", limits.head_bytes.to_string()),
        ("largest body", limits.body_bytes.to_string()),
        ("head time", format!("{:?}", limits.head_time)),
        ("idle time", format!("{:?}", limits.idle_time)),
    ]
}

fn values_of_route(route: &Route) -> Values {
    let parts = route.services.iter();
    let parts: Vec<String> = parts
        .map(|part| format!("{}:{}", part.service, part.weight))
        .collect();
    vec![
        ("host", route.host.clone()),
        ("prefix", route.prefix.clone()),
        ("retry safety", format!("{:?}", route.retry_safety)),
        ("timeout", format!("{:?}", route.timeout)),
        ("objective", format!("{:?}", route.objective)),
        ("rank", route.rank.to_string()),
        ("attempts", route.attempts.to_string()),
        ("exempt", route.exempt.to_string()),
        ("services", parts.join(",")),
    ]
}

fn values_of_member(member: &Membership) -> Values {
    let quota = member.organisation.quota;
    let number = |value: Option<f64>| value.map_or_else(|| "none".to_owned(), |v| v.to_string());
    let rank = member.organisation.rank;
    vec![
        (
            "rank",
            rank.map_or_else(|| "none".to_owned(), |rank| rank.to_string()),
        ),
        ("rate", number(quota.map(|quota| quota.rate))),
        ("burst", number(quota.map(|quota| quota.burst))),
    ]
}
