//! Organisations of a run, and the keys that its clients send.

use policy::organisation::{Organisation, Quota};
use rand::Rng;
use rand::rngs::SmallRng;

/// Mark in every key, by which endpoints recognize one.
pub const KEY_MARK: &str = "secret-of-";

/// Names, ranks, rates and bursts of the organisations; 0 for no quota. Rates and bursts are for each
/// VM, where the usual demand of an organisation is 8 requests per second.
const ORGANISATIONS: [(&str, Option<u32>, f64, f64); 3] = [
    ("fjord", Some(1), 15.0, 15.0),
    ("glacier", Some(0), 20.0, 5.0),
    ("moor", None, 0.0, 0.0),
];

/// Whether a run has organisations: every second one, and all classes of faults in twelve seeds.
#[must_use]
pub fn is_enabled(seed: u64) -> bool {
    (seed + seed / 6) % 2 == 1
}

/// Returns the organisations with the keys that a version holds: one that the version before held
/// too, and a new one.
#[must_use]
pub fn organisations(version: u64, vms: usize) -> Vec<(Organisation, Vec<String>)> {
    let organisations = ORGANISATIONS.iter().map(|(name, rank, rate, burst)| {
        let quota = Quota {
            rate: rate * vms as f64,
            burst: burst * vms as f64,
        };
        let organisation = Organisation {
            name: (*name).into(),
            rank: *rank,
            quota: (quota.rate > 0.0).then_some(quota),
        };
        (
            organisation,
            vec![key(name, version - 1), key(name, version)],
        )
    });
    organisations.collect()
}

fn key(name: &str, version: u64) -> String {
    format!("{KEY_MARK}{name}-{version}")
}

/// Returns the key that a client sends, if any, and whether both the newest version and the one
/// before hold it. Others are missing, unknown, new or withdrawn.
pub fn pick_key(rng: &mut SmallRng, newest: u64) -> (Option<String>, bool) {
    let (name, ..) = ORGANISATIONS[rng.random_range(0..ORGANISATIONS.len())];
    match rng.random_range(0..100) {
        0..3 => (None, false),
        3..6 => (Some(key(name, u64::MAX)), false),
        6..8 => (Some(key(name, newest)), false),
        8..10 => (Some(key(name, newest.saturating_sub(2))), false),
        _ => (Some(key(name, newest - 1)), true),
    }
}
