//! Guards against calls that leave their data centre without need, pile up on one endpoint, or go to
//! an endpoint that just failed.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::{Candidate, EJECTION, EndpointStats, Headroom, Load, ResponseSizes, pick_endpoint};
use crate::id::VmId;
use crate::routing::{RetrySafety, Route};

const MS: Duration = Duration::from_millis(1);

fn load(calls: u32) -> Load {
    Load {
        calls,
        limit: 10,
        hold_time: MS * 50,
        share: 1.0,
        accepted: 1.0,
    }
}

fn route() -> Route {
    Route {
        name: "r".into(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        retry_safety: RetrySafety::Idempotent,
        timeout: MS * 800,
        objective: MS * 800,
        rank: 1,
        attempts: 2,
        services: Vec::new(),
    }
}

fn pick(now: Instant, targets: &[(&VmId, &EndpointStats, bool)]) -> String {
    let candidates: Vec<Candidate<'_>> = targets
        .iter()
        .map(|(vm, target, near)| Candidate {
            vm,
            target: Some(target),
            is_local: *near,
            dependency_share: 1.0,
        })
        .collect();
    pick_endpoint(now, &route(), MS * 60, &candidates, 1)
        .unwrap()
        .to_string()
}

#[test]
fn the_own_data_centre_is_left_only_when_it_is_full() {
    let now = Instant::now();
    let (near, far): (VmId, VmId) = ("near".into(), "far".into());
    let mut here = EndpointStats::default();
    let mut there = EndpointStats::default();
    there.record_load(now, load(0));
    here.record_load(now, load(9));
    assert_eq!(
        pick(now, &[(&near, &here, true), (&far, &there, false)]),
        "near"
    );
    here.record_load(now, load(40));
    assert_eq!(
        pick(now, &[(&near, &here, true), (&far, &there, false)]),
        "far"
    );
}

#[test]
fn own_calls_since_the_report_count() {
    let now = Instant::now();
    let (first, second): (VmId, VmId) = ("first".into(), "second".into());
    let mut a = EndpointStats::default();
    let mut b = EndpointStats::default();
    a.record_load(now, load(9));
    b.record_load(now, load(10));
    for _ in 0..5 {
        a.call_sent();
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
    let mut a = EndpointStats::default();
    let mut b = EndpointStats::default();
    b.record_load(now, load(40));
    a.record_failure(now);
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
    let mut target = EndpointStats::default();
    target.record_failure(now);
    assert_eq!(pick(now, &[(&only, &target, false)]), "only");
}

#[test]
fn a_stopping_gate_is_left_out_until_it_is_back() {
    let now = Instant::now();
    let (first, second): (VmId, VmId) = ("first".into(), "second".into());
    let mut a = EndpointStats::default();
    let mut b = EndpointStats::default();
    a.eject_for(now, MS * 8_000);
    let later = now + MS * 5_000;
    b.record_load(later, load(40));
    assert_eq!(
        pick(later, &[(&first, &a, true), (&second, &b, true)]),
        "second"
    );
    a.readmit();
    assert_eq!(
        pick(later, &[(&first, &a, true), (&second, &b, true)]),
        "first"
    );
}

#[test]
fn large_answers_stay_in_their_data_centre_longer_but_not_at_any_price() {
    let mut sizes = ResponseSizes::default();
    let mut small = route();
    small.name = "small".into();
    let mut large = route();
    large.name = "large".into();
    sizes.record(&small.name, 400);
    sizes.record(&large.name, 400 << 10);
    assert!(sizes.remote_penalty(&small) < sizes.remote_penalty(&large));
    assert!(sizes.remote_penalty(&large) <= large.objective / 2);
}

#[test]
fn a_chain_goes_where_the_services_below_have_room() {
    let now = Instant::now();
    let (near, far): (VmId, VmId) = ("near".into(), "far".into());
    let target = EndpointStats::default();
    let candidate = |vm, near, room| Candidate {
        vm,
        target: Some(&target),
        is_local: near,
        dependency_share: room,
    };
    let pick = |room| {
        let candidates = [candidate(&near, true, room), candidate(&far, false, 1.0)];
        pick_endpoint(now, &route(), MS * 200, &candidates, 0)
            .unwrap()
            .to_string()
    };
    assert_eq!(pick(0.9), "near");
    assert_eq!(pick(0.3), "far");
}

#[test]
fn an_endpoint_that_is_left_out_does_not_lower_the_room_of_the_others() {
    let now = Instant::now();
    let mut serving = EndpointStats::default();
    let mut stopping = EndpointStats::default();
    serving.record_load(now, load(5));
    let refusing = Load {
        share: 0.0,
        ..load(0)
    };
    stopping.record_load(now, refusing);
    stopping.eject_for(now, MS * 8_000);
    let rooms = [&serving, &stopping].map(|target| target.headroom(now));
    let room = Headroom::sum(rooms.into_iter().flatten()).unwrap();
    assert!((room.share - 1.0).abs() < f64::EPSILON, "{room:?}");
}

/// Plays one endpoint of five that refuses half of its calls at once, as a faulty one does, to 60
/// daemons. The answers to calls begun before a refusal ended the time for which a daemon left the
/// endpoint out, so more calls were refused than the operators' bound lets be repeated.
#[test]
fn an_endpoint_that_refuses_half_gets_few_calls() {
    const DAEMONS: usize = 60;
    const ENDPOINTS: usize = 5;
    const CALLS: usize = 30_000;
    /// Daemon, endpoint and end of a call that is answered.
    type Running = (usize, usize, Instant);
    let start = Instant::now();
    let vms: Vec<VmId> = (0..ENDPOINTS).map(|vm| vm.to_string().into()).collect();
    let mut targets: Vec<Vec<EndpointStats>> = (0..DAEMONS)
        .map(|_| (0..ENDPOINTS).map(|_| EndpointStats::default()).collect())
        .collect();
    let mut running: VecDeque<Running> = VecDeque::new();
    let mut accepted = 1.0;
    let mut refused = 0;
    let mut turn = false;
    let stated = |accepted| Load {
        accepted,
        ..load(5)
    };
    for call in 0..CALLS {
        // 6,000 calls a second come from all daemons by turns.
        let now = start + MS.mul_f64(call as f64 / 6.0);
        while let Some((daemon, endpoint, end)) = running.pop_front_if(|call| call.2 <= now) {
            let target = &mut targets[daemon][endpoint];
            target.record_load(end, stated(if endpoint == 0 { accepted } else { 1.0 }));
            target.record_response(end, &route().name, MS * 50);
        }
        // Gates tell all daemons a changed load ten times a second.
        if call % 600 == 0 {
            for known in &mut targets {
                known[0].record_load(now, stated(accepted));
            }
        }
        let daemon = call * 7 % DAEMONS;
        let known = &mut targets[daemon];
        let candidates: Vec<Candidate<'_>> = (0..ENDPOINTS)
            .map(|index| Candidate {
                vm: &vms[index],
                target: Some(&known[index]),
                is_local: true,
                dependency_share: 1.0,
            })
            .collect();
        let chosen = pick_endpoint(now, &route(), MS * 60, &candidates, call).unwrap();
        let chosen: usize = chosen.parse().unwrap();
        if chosen == 0 {
            turn = !turn;
            accepted += 0.06 * (f64::from(u8::from(!turn)) - accepted);
        }
        if chosen == 0 && turn {
            refused += 1;
            known[0].record_load(now, stated(accepted));
            known[0].record_failure(now);
        } else {
            running.push_back((daemon, chosen, now + MS * 50));
        }
    }
    let share = f64::from(refused) / CALLS as f64;
    // The bound of marnota-logs-grown is 0.2 of 371 calls of clients a second and 95 repeats in 10 s;
    // daemons spend 0.4 of the one and 0.5 of the other. More refusals than that lose calls.
    let bound = (0.4 * 0.2 * 371.0 + 0.5 * 9.5) / 6_000.0;
    assert!(share < bound, "{share} of the calls were refused");
}
