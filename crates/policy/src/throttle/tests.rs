//! Guards against chains that start although a dependency has no headroom for their calls.

use std::time::{Duration, Instant};

use super::{EntryThrottle, NewChain, ThrottleDecision};
use crate::id::ServiceName;
use crate::routing::{RetrySafety, Route, WeightedService};
use crate::selection::Headroom;

const MS: Duration = Duration::from_millis(1);

pub(super) fn route(name: &str, rank: u32) -> Route {
    Route {
        name: name.into(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        retry_safety: RetrySafety::Idempotent,
        timeout: MS * 1_200,
        objective: MS * 1_500,
        rank,
        attempts: 2,
        exempt: false,
        services: vec![WeightedService {
            service: "vitrina".into(),
            weight: 1.0,
        }],
    }
}

fn admitted(
    throttle: &mut EntryThrottle,
    route: &Route,
    client_timeout: Duration,
    share: f64,
) -> usize {
    (0..100)
        .filter(|_| decide(throttle, route, client_timeout, share) != ThrottleDecision::Refused)
        .count()
}

pub(super) fn headroom(share: f64, accepted: f64) -> Headroom {
    Headroom {
        capacity: 100.0,
        share,
        accepted,
    }
}

/// Decides with this admission share at the dependency and no limit at any other service.
fn decide(
    throttle: &mut EntryThrottle,
    route: &Route,
    client_timeout: Duration,
    share: f64,
) -> ThrottleDecision {
    let chain = chain(route, client_timeout);
    throttle.decide(Instant::now(), &chain, |service| {
        (**service == *"inventario").then(|| headroom(share, 1.0))
    })
}

/// A chain without an organisation.
pub(super) fn chain(route: &Route, client_timeout: Duration) -> NewChain<'_> {
    NewChain {
        route,
        service: &route.services[0].service,
        client_timeout,
        organisation: None,
    }
}

pub(super) fn trained_throttle() -> EntryThrottle {
    let mut throttle = EntryThrottle::new(0.0);
    let dependency: ServiceName = "inventario".into();
    throttle.record_run(&"catalogo".into(), &[(dependency, 8)], MS * 700);
    throttle.record_run(&"historial".into(), &[], MS * 500);
    throttle
}

#[test]
fn only_routes_that_depend_on_the_overloaded_service_are_refused() {
    let mut throttle = trained_throttle();
    let client_timeout = MS * 5_000;
    assert_eq!(
        admitted(&mut throttle, &route("catalogo", 1), client_timeout, 0.4),
        40
    );
    assert_eq!(
        admitted(&mut throttle, &route("historial", 1), client_timeout, 0.4),
        100
    );
}

#[test]
fn the_most_urgent_rank_is_not_refused_at_the_entry() {
    let mut throttle = trained_throttle();
    let urgent = route("catalogo", 0);
    assert_eq!(admitted(&mut throttle, &urgent, MS * 5_000, 0.1), 100);
}

#[test]
fn a_resent_call_is_preferred_to_a_new_one() {
    let mut throttle = trained_throttle();
    let catalogo = route("catalogo", 1);
    admitted(&mut throttle, &catalogo, MS * 5_000, 0.4);
    assert_eq!(admitted(&mut throttle, &catalogo, MS * 4_500, 0.4), 80);
}

/// Guards against gates that take a resent call for one of many new ones, and lower their share
/// although there is no further demand.
#[test]
fn a_resent_call_is_marked() {
    let mut throttle = trained_throttle();
    let catalogo = route("catalogo", 1);
    let resent = |throttle: &mut EntryThrottle, timeout| {
        let decisions = (0..10).map(|_| decide(throttle, &catalogo, timeout, 0.4));
        decisions
            .filter_map(|decision| match decision {
                ThrottleDecision::Admitted { share, resent } => {
                    assert!((share - 0.4).abs() < 1e-9, "{share}");
                    Some(resent)
                }
                ThrottleDecision::Refused => None,
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(resent(&mut throttle, MS * 5_000), [false; 4]);
    assert_eq!(resent(&mut throttle, MS * 4_500), [true; 8]);
}

#[test]
fn a_refused_client_is_told_to_resend_while_it_can_be_served_in_time() {
    let throttle = trained_throttle();
    let catalogo = route("catalogo", 1);
    for random in [0.0, 0.5, 1.0] {
        let delay = throttle.retry_delay(&catalogo, MS * 5_000, random);
        assert!(delay + MS * 700 <= catalogo.objective, "{delay:?}");
    }
}

#[test]
fn a_route_is_throttled_for_its_first_service_too() {
    let mut throttle = EntryThrottle::new(0.0);
    let catalogo = route("catalogo", 1);
    let admitted = (0..100)
        .filter(|_| {
            let chain = chain(&catalogo, MS * 5_000);
            throttle.decide(Instant::now(), &chain, |_| Some(headroom(0.5, 1.0)))
                != ThrottleDecision::Refused
        })
        .count();
    assert_eq!(admitted, 50);
}

#[test]
fn chains_that_would_end_by_a_refusal_are_not_started() {
    let count = |accepted: f64| {
        let mut throttle = trained_throttle();
        let catalogo = route("catalogo", 1);
        (0..100)
            .filter(|_| {
                let headroom_of = |service: &ServiceName| {
                    (**service == *"inventario").then(|| headroom(1.0, accepted))
                };
                let chain = chain(&catalogo, MS * 5_000);
                throttle.decide(Instant::now(), &chain, headroom_of) != ThrottleDecision::Refused
            })
            .count()
    };
    assert_eq!(count(0.99), 100);
    assert!(count(0.45) <= 3, "{}", count(0.45));
}

/// Guards against organisations that are refused although they may not be: because nothing is known
/// of the service, as when the entry is cut off from its gates, or because they are urgent.
#[test]
fn organisations_are_admitted_without_a_known_share_and_at_the_most_urgent_rank() {
    let mut throttle = trained_throttle();
    let name = "a".into();
    for (rank, share) in [(1, None), (0, Some(0.1))] {
        let catalogo = route("catalogo", rank);
        let chain = NewChain {
            organisation: Some(&name),
            ..chain(&catalogo, MS * 5_000)
        };
        for _ in 0..100 {
            let headroom_of = |_: &ServiceName| share.map(|share| headroom(share, 1.0));
            let decision = throttle.decide(Instant::now(), &chain, headroom_of);
            let admitted = ThrottleDecision::Admitted {
                share: 1.0,
                resent: false,
            };
            assert_eq!(decision, admitted);
        }
    }
}
