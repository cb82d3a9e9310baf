//! Tests of the load balancer.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::{Balancer, Candidate, Outcome};
use crate::id::VmId;
use crate::level::Level;

const LATENCY: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);

fn candidate(index: u16) -> Candidate {
    Candidate {
        vm: format!("vm-{index}").into(),
        incarnation: 1,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8_000 + index)),
        data_centre: if index < 3 { "madrid" } else { "chia" }.into(),
        slots: 10,
        cold: false,
        suspected: false,
        draining: false,
    }
}

struct Fixture {
    balancer: Balancer,
    rng: SmallRng,
    now: Instant,
}

impl Fixture {
    /// Creates local endpoints 0 to 2 and remote endpoints 3 to 5.
    fn new(change: impl Fn(u16, &mut Candidate)) -> Self {
        let mut fixture = Self {
            balancer: Balancer::new("madrid".into()),
            rng: SmallRng::seed_from_u64(4),
            now: Instant::now(),
        };
        fixture.update(change);
        fixture
    }

    fn update(&mut self, change: impl Fn(u16, &mut Candidate)) {
        let candidates = (0..6).map(|index| {
            let mut candidate = candidate(index);
            change(index, &mut candidate);
            candidate
        });
        self.balancer.update(self.now, candidates);
    }

    fn pick(&mut self, exclude: &[VmId]) -> Option<VmId> {
        let picked = self.balancer.pick(self.now, exclude, &mut self.rng);
        picked.map(|candidate| Arc::clone(&candidate.vm))
    }

    /// Makes one call; `model` maps the index of the endpoint to outcome and latency.
    fn call(&mut self, model: impl Fn(usize) -> (Outcome, Duration)) -> Option<usize> {
        let vm = self.pick(&[])?;
        let index = vm[3..].parse().expect("the name ends in a number");
        let (outcome, latency) = model(index);
        self.balancer.call_started(self.now, &vm);
        self.now += Duration::from_millis(1);
        let rng = &mut self.rng;
        self.balancer
            .call_finished(self.now, &vm, outcome, latency, rng);
        Some(index)
    }

    /// Makes `count` calls and returns how many each endpoint got.
    fn calls(&mut self, count: u32, model: impl Fn(usize) -> (Outcome, Duration)) -> [u32; 6] {
        let mut counts = [0; 6];
        for _ in 0..count {
            if let Some(index) = self.call(&model) {
                counts[index] += 1;
            }
        }
        counts
    }
}

fn healthy(_: usize) -> (Outcome, Duration) {
    (Outcome::Ok, LATENCY)
}

/// Guards against calls that leave the data centre without need, and against an uneven load
/// of the local endpoints.
#[test]
fn healthy_calls_stay_local_and_spread() {
    let counts = Fixture::new(|_, _| {}).calls(3_000, healthy);
    assert_eq!(counts[3..], [0, 0, 0]);
    assert!(
        counts[..3].iter().all(|count| (800..1_200).contains(count)),
        "{counts:?}"
    );
}

/// Guards against suspicion or draining that leaves no endpoint to pick, and against a wrong
/// preference between bad endpoints.
#[rstest]
#[case::all_suspected(&[true; 6], &[false; 6], true)]
#[case::local_suspected(&[true, true, true, false, false, false], &[false; 6], true)]
#[case::all_draining(&[false; 6], &[true; 6], true)]
#[case::draining_after_suspected(&[true; 6], &[true, true, true, true, true, false], true)]
fn suspicion_and_draining_leave_an_endpoint_to_pick(
    #[case] suspected: &[bool; 6],
    #[case] draining: &[bool; 6],
    #[case] found: bool,
) {
    let mut fixture = Fixture::new(|index, candidate| {
        candidate.suspected = suspected[usize::from(index)];
        candidate.draining = draining[usize::from(index)];
    });
    for _ in 0..100 {
        let vm = fixture.pick(&[]);
        assert_eq!(vm.is_some(), found);
        let index: usize = vm.expect("an endpoint is left")[3..]
            .parse()
            .expect("the name ends in a number");
        let better = (0..6).any(|other| !suspected[other] && !draining[other]);
        assert!(!better || (!suspected[index] && !draining[index]));
        assert!(draining.iter().all(|draining| *draining) || !draining[index]);
    }
}

/// Guards against calls to a draining endpoint more than 3 s after the notice, also when the notice
/// comes with a response and the member table lags behind.
#[test]
fn draining_endpoint_gets_no_calls_after_three_seconds() {
    let mut fixture = Fixture::new(|_, _| {});
    let vms: Vec<VmId> = (0..6).map(|index| candidate(index).vm).collect();
    for vm in &vms {
        fixture.balancer.call_started(fixture.now, vm);
        let rng = &mut fixture.rng;
        fixture
            .balancer
            .call_finished(fixture.now, vm, Outcome::Draining, LATENCY, rng);
    }
    assert!(fixture.pick(&[]).is_some());
    fixture.now += Duration::from_millis(2_999);
    fixture.update(|_, _| {});
    assert!(fixture.pick(&[]).is_some());
    fixture.now += Duration::from_millis(1);
    assert_eq!(fixture.pick(&[]), None);
    fixture.update(|_, candidate| candidate.incarnation = 2);
    assert!(fixture.pick(&[]).is_some());
}

/// Guards against calls to a crashed endpoint after the first error, against probes that do not
/// become rarer, and against an endpoint that is never readmitted.
#[test]
fn connection_error_ejects_with_growing_back_off() {
    let mut fixture = Fixture::new(|_, _| {});
    let crashed = |index| {
        if index == 1 {
            (Outcome::Connection, LATENCY)
        } else {
            healthy(index)
        }
    };
    let mut errors = Vec::new();
    for _ in 0..20_000 {
        if fixture.call(crashed) == Some(1) {
            errors.push(fixture.now);
        }
    }
    let gaps: Vec<Duration> = errors.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(
        (4..=9).contains(&errors.len()),
        "{} errors in 20 s",
        errors.len()
    );
    assert!(gaps.windows(2).all(|pair| pair[1] > pair[0]), "{gaps:?}");
    fixture.now += Duration::from_secs(40);
    let counts = fixture.calls(3_000, healthy);
    assert!(counts[1] > 800, "{counts:?}");
}

/// Guards against a slow or failing endpoint that keeps getting calls.
#[rstest]
#[case::slow(Outcome::Ok, 20)]
#[case::failing(Outcome::Failed, 1)]
fn bad_endpoint_is_ejected(#[case] outcome: Outcome, #[case] slower: u32) {
    let mut fixture = Fixture::new(|_, _| {});
    fixture.calls(300, healthy);
    let bad = |index| {
        if index == 1 {
            (outcome, LATENCY * slower)
        } else {
            healthy(index)
        }
    };
    fixture.calls(300, bad);
    let counts = fixture.calls(3_000, bad);
    assert!(counts[1] < 100, "{counts:?}");
}

/// Guards against ejections that empty the set when everything fails.
#[rstest]
#[case(Outcome::Connection)]
#[case(Outcome::Failed)]
fn ejections_never_empty_the_set(#[case] outcome: Outcome) {
    let mut fixture = Fixture::new(|_, _| {});
    let counts = fixture.calls(3_000, |_| (outcome, LATENCY));
    assert_eq!(counts.iter().sum::<u32>(), 3_000);
}

/// Guards against a saturated data centre that keeps all its calls, or sends all of them to remote
/// ones.
#[test]
fn spill_is_bounded() {
    let mut fixture = Fixture::new(|_, _| {});
    let full = |index| {
        if index < 3 {
            (Outcome::Refused, LATENCY)
        } else {
            healthy(index)
        }
    };
    fixture.calls(300, full);
    let counts = fixture.calls(3_000, full);
    let spilled: u32 = counts[3..].iter().sum();
    assert!((1_000..=1_600).contains(&spilled), "{counts:?}");
    let all_full = |_| (Outcome::Refused, LATENCY);
    fixture.calls(1_000, all_full);
    let counts = fixture.calls(3_000, all_full);
    let spilled: u32 = counts[3..].iter().sum();
    assert!(spilled <= 900, "{counts:?}");
    fixture.now += Duration::from_secs(10);
    let counts = fixture.calls(3_000, healthy);
    assert_eq!(counts[3..], [0, 0, 0]);
}

/// Guards against a cold endpoint that gets as many calls as a warm one at once, or never.
#[test]
fn cold_endpoint_warms_up() {
    let mut fixture = Fixture::new(|index, candidate| {
        candidate.cold = index == 0;
        candidate.draining = index > 2;
    });
    let calls_to_cold_endpoint = |fixture: &mut Fixture| {
        let mut counts = [0; 6];
        for _ in 0..3 {
            let mut in_flight = Vec::new();
            for _ in 0..30 {
                let vm = fixture.pick(&[]).expect("an endpoint is left");
                fixture.balancer.call_started(fixture.now, &vm);
                in_flight.push(vm);
            }
            for vm in in_flight {
                counts[vm[3..].parse::<usize>().expect("the name ends in a number")] += 1;
                let rng = &mut fixture.rng;
                fixture
                    .balancer
                    .call_finished(fixture.now, &vm, Outcome::Ok, LATENCY, rng);
            }
        }
        counts[0]
    };
    let cold = calls_to_cold_endpoint(&mut fixture);
    fixture.now += 10 * SECOND;
    let warm = calls_to_cold_endpoint(&mut fixture);
    assert!(cold < 20 && warm > 24, "{cold} cold, {warm} warm");
}

/// Guards against misleading reports that outweigh what this daemon observes itself.
#[test]
fn own_observations_outweigh_reports() {
    let mut fixture = Fixture::new(|_, _| {});
    let mut counts = [0; 6];
    for _ in 0..3_000 {
        for index in 0..3 {
            let vm = candidate(index).vm;
            // The fast endpoint reports that it is overloaded, the slow ones that they are idle.
            let load = if index == 0 { 9.0 } else { 0.0 };
            let level = if index == 0 {
                Level::LEAST
            } else {
                Level::FULL
            };
            fixture.balancer.observe_load(fixture.now, &vm, load);
            fixture.balancer.observe_level(fixture.now, &vm, level);
        }
        let slower = |index| {
            if index == 0 {
                healthy(index)
            } else {
                (Outcome::Ok, LATENCY * 6)
            }
        };
        if let Some(index) = fixture.call(slower) {
            counts[index] += 1;
        }
    }
    assert!(counts[0] > counts[1] && counts[0] > counts[2], "{counts:?}");
}

/// Guards against a retry at an endpoint that was already tried.
#[test]
fn excluded_endpoints_are_not_picked() {
    let mut fixture = Fixture::new(|_, _| {});
    let vms: Vec<VmId> = (0..6).map(|index| candidate(index).vm).collect();
    for left in 0..6 {
        let exclude: Vec<VmId> = vms.iter().filter(|vm| **vm != vms[left]).cloned().collect();
        assert_eq!(fixture.pick(&exclude), Some(Arc::clone(&vms[left])));
    }
    assert_eq!(fixture.pick(&vms), None);
}

/// Guards against a probe that never finishes and keeps its endpoint ejected for ever.
#[test]
fn lost_probe_is_retried() {
    let mut fixture = Fixture::new(|_, _| {});
    let vm = candidate(1).vm;
    fixture.balancer.call_started(fixture.now, &vm);
    let rng = &mut fixture.rng;
    fixture
        .balancer
        .call_finished(fixture.now, &vm, Outcome::Connection, LATENCY, rng);
    fixture.now += SECOND;
    assert_eq!(fixture.pick(&[]), Some(Arc::clone(&vm)));
    fixture.balancer.call_started(fixture.now, &vm);
    fixture.now += SECOND;
    assert_ne!(fixture.pick(&[]), Some(Arc::clone(&vm)));
    fixture.now += 10 * SECOND;
    assert_eq!(fixture.pick(&[]), Some(vm));
}
