//! Guards against chains that start although a service below has no room for their calls.

use std::time::Duration;

use super::{EntryThrottle, ThrottleDecision};
use crate::id::ServiceName;
use crate::routing::{RetrySafety, Route, WeightedService};
use crate::selection::Headroom;

const MS: Duration = Duration::from_millis(1);

fn route(name: &str, rank: u32) -> Route {
    Route {
        name: name.into(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        retry_safety: RetrySafety::Idempotent,
        timeout: MS * 1_200,
        objective: MS * 1_500,
        rank,
        attempts: 2,
        services: vec![WeightedService {
            service: "vitrina".into(),
            weight: 1.0,
        }],
    }
}

fn admitted(throttle: &mut EntryThrottle, route: &Route, patience: Duration, share: f64) -> usize {
    (0..100)
        .filter(|_| decide(throttle, route, patience, share) != ThrottleDecision::Refused)
        .count()
}

fn room(share: f64, accepted: f64) -> Headroom {
    Headroom {
        capacity: 100.0,
        share,
        accepted,
    }
}

/// Decides with this share at the deep service and all of the demand at any other.
fn decide(
    throttle: &mut EntryThrottle,
    route: &Route,
    patience: Duration,
    share: f64,
) -> ThrottleDecision {
    let own = &route.services[0].service;
    throttle.decide(route, own, patience, |service| {
        (**service == *"inventario").then(|| room(share, 1.0))
    })
}

fn learned() -> EntryThrottle {
    let mut throttle = EntryThrottle::new(0.0);
    let deep: ServiceName = "inventario".into();
    throttle.record_run(&"catalogo".into(), &[(deep, 8)], MS * 700);
    throttle.record_run(&"historial".into(), &[], MS * 500);
    throttle
}

#[test]
fn only_routes_that_reach_the_scarce_service_are_refused() {
    let mut throttle = learned();
    let patience = MS * 5_000;
    assert_eq!(
        admitted(&mut throttle, &route("catalogo", 1), patience, 0.4),
        40
    );
    assert_eq!(
        admitted(&mut throttle, &route("historial", 1), patience, 0.4),
        100
    );
}

#[test]
fn the_most_urgent_rank_is_not_refused_at_the_entry() {
    let mut throttle = learned();
    let urgent = route("catalogo", 0);
    assert_eq!(admitted(&mut throttle, &urgent, MS * 5_000, 0.1), 100);
}

#[test]
fn a_client_that_came_back_goes_before_a_new_one() {
    let mut throttle = learned();
    let catalogo = route("catalogo", 1);
    admitted(&mut throttle, &catalogo, MS * 5_000, 0.4);
    assert_eq!(admitted(&mut throttle, &catalogo, MS * 4_500, 0.4), 80);
}

#[test]
fn a_refused_client_is_asked_to_return_while_it_can_be_served_in_time() {
    let throttle = learned();
    let catalogo = route("catalogo", 1);
    for toss in [0.0, 0.5, 1.0] {
        let pause = throttle.retry_delay(&catalogo, MS * 5_000, toss);
        assert!(pause + MS * 700 <= catalogo.objective, "{pause:?}");
    }
}

#[test]
fn a_route_is_refused_for_its_own_service_too() {
    let mut throttle = EntryThrottle::new(0.0);
    let catalogo = route("catalogo", 1);
    let own = &catalogo.services[0].service;
    let admitted = (0..100)
        .filter(|_| {
            throttle.decide(&catalogo, own, MS * 5_000, |_| Some(room(0.5, 1.0)))
                != ThrottleDecision::Refused
        })
        .count();
    assert_eq!(admitted, 50);
}

#[test]
fn chains_that_refusals_would_end_are_not_started() {
    let count = |accepted: f64| {
        let mut throttle = learned();
        let catalogo = route("catalogo", 1);
        let own = &catalogo.services[0].service;
        (0..100)
            .filter(|_| {
                let room_of = |service: &ServiceName| {
                    (**service == *"inventario").then(|| room(1.0, accepted))
                };
                throttle.decide(&catalogo, own, MS * 5_000, room_of) != ThrottleDecision::Refused
            })
            .count()
    };
    assert_eq!(count(0.99), 100);
    assert!(count(0.45) <= 3, "{}", count(0.45));
}
