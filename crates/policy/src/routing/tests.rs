//! Guards against calls on the wrong route and against splits that drift from their weights.

use std::collections::HashMap;
use std::time::Duration;

use super::{Configuration, Limits, RetrySafety, Route, WeightedService, WeightedSplitter};

fn route(prefix: &str, services: &[(&str, f64)]) -> Route {
    Route {
        name: prefix.into(),
        host: "h.example".to_owned(),
        prefix: prefix.to_owned(),
        retry_safety: RetrySafety::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        rank: 1,
        attempts: 2,
        exempt: false,
        services: services
            .iter()
            .map(|(service, weight)| WeightedService {
                service: (*service).into(),
                weight: *weight,
            })
            .collect(),
    }
}

fn limits() -> Limits {
    Limits {
        head_bytes: 1_000,
        body_bytes: 1_000,
        head_time: Duration::from_secs(1),
        idle_time: Duration::from_secs(1),
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("/a/", &[("s", 1.0)]),
        route("/a/b/", &[("t", 1.0)]),
        route("/", &[("u", 1.0)]),
    ];
    let configuration = Configuration::new(1, routes, limits());
    let name = |host: &str, path: &str| {
        configuration
            .route(host, path)
            .map(|route| route.name.to_string())
    };
    assert_eq!(name("h.example", "/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(name("h.example", "/a/b").as_deref(), Some("/a/"));
    assert_eq!(name("h.example", "/ab/c").as_deref(), Some("/"));
    assert_eq!(name("other.example", "/a/b/c"), None);
}

#[test]
fn services_stay_within_two_calls_of_their_weight() {
    let split = route("/a/", &[("s", 70.0), ("t", 20.0), ("u", 10.0)]);
    for phase in 0..20 {
        let mut splitter = WeightedSplitter::new(f64::from(phase) / 20.0);
        let mut counts: HashMap<String, f64> = HashMap::new();
        for calls in 1..=200 {
            let service = splitter.next(&split).unwrap();
            *counts.entry(service.to_string()).or_default() += 1.0;
            for weighted in &split.services {
                let expected = f64::from(calls) * weighted.weight / 100.0;
                let count = counts.get(&*weighted.service).copied().unwrap_or(0.0);
                assert!(
                    (count - expected).abs() <= 1.6,
                    "{phase} {calls} {counts:?}"
                );
            }
        }
    }
}

#[test]
fn daemons_with_different_phases_start_with_different_services() {
    let split = route("/a/", &[("s", 50.0), ("t", 50.0)]);
    let first = |phase| WeightedSplitter::new(phase).next(&split).unwrap();
    assert_ne!(first(0.1), first(0.9));
}
