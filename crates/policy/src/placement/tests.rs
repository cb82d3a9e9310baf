//! Guards against calls that leave their data centre without need, pile up on one endpoint, or go to
//! an endpoint that just failed.

use std::time::{Duration, Instant};

use super::{Candidate, EJECTION, Load, Room, Sizes, Target, choose};
use crate::id::VmId;
use crate::traffic::{Repeat, Route};

const MS: Duration = Duration::from_millis(1);

fn load(calls: u32) -> Load {
    Load {
        calls,
        limit: 10,
        held: MS * 50,
        share: 1.0,
        accepted: 1.0,
    }
}

fn route() -> Route {
    Route {
        name: "r".into(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        repeat: Repeat::Idempotent,
        timeout: MS * 800,
        objective: MS * 800,
        rank: 1,
        attempts: 2,
        parts: Vec::new(),
    }
}

fn pick(now: Instant, targets: &[(&VmId, &Target, bool)]) -> String {
    let candidates: Vec<Candidate<'_>> = targets
        .iter()
        .map(|(vm, target, near)| Candidate {
            vm,
            target: Some(target),
            near: *near,
            room: 1.0,
        })
        .collect();
    choose(now, &route(), MS * 60, &candidates, 1)
        .unwrap()
        .to_string()
}

#[test]
fn the_own_data_centre_is_left_only_when_it_is_full() {
    let now = Instant::now();
    let (near, far): (VmId, VmId) = ("near".into(), "far".into());
    let mut here = Target::default();
    let mut there = Target::default();
    there.report(now, load(0));
    here.report(now, load(9));
    assert_eq!(
        pick(now, &[(&near, &here, true), (&far, &there, false)]),
        "near"
    );
    here.report(now, load(40));
    assert_eq!(
        pick(now, &[(&near, &here, true), (&far, &there, false)]),
        "far"
    );
}

#[test]
fn own_calls_since_the_report_count() {
    let now = Instant::now();
    let (first, second): (VmId, VmId) = ("first".into(), "second".into());
    let mut a = Target::default();
    let mut b = Target::default();
    a.report(now, load(9));
    b.report(now, load(10));
    for _ in 0..5 {
        a.sent();
    }
    assert_eq!(
        pick(now, &[(&first, &a, true), (&second, &b, true)]),
        "second"
    );
}

#[test]
fn a_failed_endpoint_is_left_out_for_a_while() {
    let now = Instant::now();
    let (first, second): (VmId, VmId) = ("first".into(), "second".into());
    let mut a = Target::default();
    let mut b = Target::default();
    b.report(now, load(40));
    a.failed(now);
    assert_eq!(
        pick(now, &[(&first, &a, true), (&second, &b, true)]),
        "second"
    );
    let later = now + EJECTION + MS;
    assert_eq!(
        pick(later, &[(&first, &a, true), (&second, &b, true)]),
        "first"
    );
}

#[test]
fn something_is_chosen_although_all_failed() {
    let now = Instant::now();
    let only: VmId = "only".into();
    let mut target = Target::default();
    target.failed(now);
    assert_eq!(pick(now, &[(&only, &target, false)]), "only");
}

#[test]
fn a_stopping_gate_is_left_out_until_it_is_back() {
    let now = Instant::now();
    let (first, second): (VmId, VmId) = ("first".into(), "second".into());
    let mut a = Target::default();
    let mut b = Target::default();
    a.leaves(now, MS * 8_000);
    let later = now + MS * 5_000;
    b.report(later, load(40));
    assert_eq!(
        pick(later, &[(&first, &a, true), (&second, &b, true)]),
        "second"
    );
    a.restored();
    assert_eq!(
        pick(later, &[(&first, &a, true), (&second, &b, true)]),
        "first"
    );
}

#[test]
fn large_answers_stay_in_their_data_centre_longer_but_not_at_any_price() {
    let mut sizes = Sizes::default();
    let mut small = route();
    small.name = "small".into();
    let mut large = route();
    large.name = "large".into();
    sizes.answered(&small.name, 400);
    sizes.answered(&large.name, 400 << 10);
    assert!(sizes.far_penalty(&small) < sizes.far_penalty(&large));
    assert!(sizes.far_penalty(&large) <= large.objective / 2);
}

#[test]
fn a_chain_goes_where_the_services_below_have_room() {
    let now = Instant::now();
    let (near, far): (VmId, VmId) = ("near".into(), "far".into());
    let target = Target::default();
    let candidate = |vm, near, room| Candidate {
        vm,
        target: Some(&target),
        near,
        room,
    };
    let pick = |room| {
        let candidates = [candidate(&near, true, room), candidate(&far, false, 1.0)];
        choose(now, &route(), MS * 200, &candidates, 0)
            .unwrap()
            .to_string()
    };
    assert_eq!(pick(0.9), "near");
    assert_eq!(pick(0.3), "far");
}

#[test]
fn an_endpoint_that_is_left_out_does_not_lower_the_room_of_the_others() {
    let now = Instant::now();
    let mut serving = Target::default();
    let mut stopping = Target::default();
    serving.report(now, load(5));
    stopping.report(now, load(0));
    stopping.leaves(now, MS * 8_000);
    let rooms = [&serving, &stopping].map(|target| target.room(now));
    let room = Room::sum(rooms.into_iter().flatten()).unwrap();
    assert!((room.share - 1.0).abs() < f64::EPSILON, "{room:?}");
}
