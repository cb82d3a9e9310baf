//! Guards against a configuration that passes the check although some of its entries cannot be
//! meant, and against a key in a report.

use std::time::Duration;

use rstest::rstest;

use super::{Change, Draft, Membership, Severity};
use crate::organisation::{KeyDigest, Organisation, Quota};
use crate::routing::{Limits, RetrySafety, Route, WeightedService};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        retry_safety: RetrySafety::Idempotent,
        timeout: Duration::from_secs(2),
        objective: Duration::from_secs(1),
        rank: 1,
        attempts: 2,
        exempt: false,
        services: vec![
            WeightedService {
                service: "despacho".into(),
                weight: 90.0,
            },
            WeightedService {
                service: "vitrina".into(),
                weight: 10.0,
            },
        ],
    }
}

fn member(name: &str, keys: &[&str]) -> Membership {
    Membership {
        organisation: Organisation {
            name: name.into(),
            rank: None,
            quota: Some(Quota {
                rate: 5.0,
                burst: 5.0,
            }),
        },
        keys: keys
            .iter()
            .map(|key| KeyDigest::new(key.as_bytes()))
            .collect(),
    }
}

fn draft() -> Draft {
    Draft {
        version: 7,
        limits: Limits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        },
        routes: vec![route("a", "/a/"), route("b", "/a/b/")],
        services: ["despacho".into(), "vitrina".into()].into(),
        organisations: Some(vec![member("one", &["k1", "k2"]), member("two", &["k3"])]),
    }
}

#[test]
fn a_sound_configuration_has_no_findings() {
    assert_eq!(draft().findings(), []);
}

#[rstest]
#[case::same_prefix_twice(|d: &mut Draft| d.routes[1].prefix = "/a/".into(), Severity::Error, "route b", "route a")]
#[case::open_prefix(|d: &mut Draft| d.routes[0].prefix = "/a".into(), Severity::Error, "route a", "slash")]
#[case::host_with_port(|d: &mut Draft| d.routes[0].host = "h:80".into(), Severity::Error, "route a", "port")]
#[case::unknown_service(|d: &mut Draft| d.routes[0].services[0].service = "x".into(), Severity::Error, "route a", "service x")]
#[case::no_weight(|d: &mut Draft| { for part in &mut d.routes[0].services { part.weight = 0.0; } }, Severity::Error, "route a", "all weights")]
#[case::weight_of_nothing(|d: &mut Draft| d.routes[0].services[1].weight = 0.0, Severity::Warning, "route a", "vitrina")]
#[case::timeout_before_objective(|d: &mut Draft| d.routes[0].timeout = Duration::from_millis(500), Severity::Warning, "route a", "500ms")]
#[case::burst_below_one(|d: &mut Draft| d.organisations.as_mut().unwrap()[0].organisation.quota = Some(Quota { rate: 5.0, burst: 0.0 }), Severity::Error, "organisation one", "burst is 0")]
#[case::no_key(|d: &mut Draft| d.organisations.as_mut().unwrap()[1].keys.clear(), Severity::Warning, "organisation two", "no key")]
#[case::key_twice(|d: &mut Draft| d.organisations.as_mut().unwrap()[0].keys[1] = KeyDigest::new(b"k1"), Severity::Warning, "organisation one", "number 2 stands twice")]
#[case::shared_key(|d: &mut Draft| d.organisations.as_mut().unwrap()[1].keys[0] = KeyDigest::new(b"k1"), Severity::Error, "organisation two", "organisation one")]
#[case::no_head(|d: &mut Draft| d.limits.head_bytes = 0, Severity::Error, "limits", "head")]
fn each_contradiction_is_found_once(
    #[case] break_it: fn(&mut Draft),
    #[case] severity: Severity,
    #[case] place: &str,
    #[case] part: &str,
) {
    let mut broken = draft();
    break_it(&mut broken);
    let findings = broken.findings();
    let heaviest = findings.first().unwrap();
    assert_eq!(heaviest.severity, severity, "{findings:?}");
    assert_eq!(heaviest.place, place);
    assert!(heaviest.found.contains(part), "{findings:?}");
}

#[test]
fn changes_name_what_differs() {
    let mut newer = draft();
    newer.version = 9;
    newer.routes[0].timeout = Duration::from_secs(3);
    newer.routes[1].name = "c".into();
    let members = newer.organisations.as_mut().unwrap();
    members[0].keys = vec![KeyDigest::new(b"k2"), KeyDigest::new(b"k9")];
    members.push(member("three", &[]));
    let text: Vec<String> = newer
        .changes(&draft())
        .iter()
        .map(Change::to_string)
        .collect();
    assert_eq!(
        text,
        [
            "~ version: number 7 -> 9",
            "~ route a: timeout 2s -> 3s",
            "- route b",
            "+ route c",
            "+ organisation three",
            "~ organisation one: keys 2 (1 removed) -> 2 (1 added)",
        ]
    );
    assert_eq!(draft().changes(&draft()), []);
}
