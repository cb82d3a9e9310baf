//! Tests of the choice of an endpoint.

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

struct Bench {
    router: Balancer,
    rng: SmallRng,
    now: Instant,
}

impl Bench {
    /// Endpoints 0 to 2 in the own data centre and 3 to 5 in another.
    fn new(change: impl Fn(u16, &mut Candidate)) -> Self {
        let mut bench = Self {
            router: Balancer::new("madrid".into()),
            rng: SmallRng::seed_from_u64(4),
            now: Instant::now(),
        };
        bench.update(change);
        bench
    }

    fn update(&mut self, change: impl Fn(u16, &mut Candidate)) {
        let candidates = (0..6).map(|index| {
            let mut candidate = candidate(index);
            change(index, &mut candidate);
            candidate
        });
        self.router.update(self.now, candidates);
    }

    fn pick(&mut self, exclude: &[VmId]) -> Option<VmId> {
        let picked = self.router.pick(self.now, exclude, &mut self.rng);
        picked.map(|candidate| Arc::clone(&candidate.vm))
    }

    /// Makes one call whose outcome and latency `model` gives by the number of the endpoint.
    fn call(&mut self, model: impl Fn(usize) -> (Outcome, Duration)) -> Option<usize> {
        let vm = self.pick(&[])?;
        let index = vm[3..].parse().expect("a number");
        let (outcome, latency) = model(index);
        self.router.call_started(self.now, &vm);
        self.now += Duration::from_millis(1);
        let rng = &mut self.rng;
        self.router
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

fn fine(_: usize) -> (Outcome, Duration) {
    (Outcome::Ok, LATENCY)
}

/// Guards against calls that leave the data centre without need, and against unequal shares.
#[test]
fn healthy_calls_stay_local_and_spread() {
    let counts = Bench::new(|_, _| {}).calls(3_000, fine);
    assert_eq!(counts[3..], [0, 0, 0]);
    assert!(
        counts[..3].iter().all(|count| (800..1_200).contains(count)),
        "{counts:?}"
    );
}

/// Guards against a failure detector or a failing set that leaves no target, and against a wrong
/// preference between bad endpoints.
#[rstest]
#[case::all_suspected(&[true; 6], &[false; 6], true)]
#[case::own_suspected(&[true, true, true, false, false, false], &[false; 6], true)]
#[case::all_draining(&[false; 6], &[true; 6], true)]
#[case::draining_after_suspected(&[true; 6], &[true, true, true, true, true, false], true)]
fn a_target_is_left(
    #[case] suspected: &[bool; 6],
    #[case] draining: &[bool; 6],
    #[case] found: bool,
) {
    let mut bench = Bench::new(|index, candidate| {
        candidate.suspected = suspected[usize::from(index)];
        candidate.draining = draining[usize::from(index)];
    });
    for _ in 0..100 {
        let vm = bench.pick(&[]);
        assert_eq!(vm.is_some(), found);
        let index: usize = vm.expect("a target")[3..].parse().expect("a number");
        let better = (0..6).any(|other| !suspected[other] && !draining[other]);
        assert!(!better || (!suspected[index] && !draining[index]));
        assert!(draining.iter().all(|draining| *draining) || !draining[index]);
    }
}

/// Guards against work for a leaving endpoint more than 3 s after the notice, also when the
/// notice comes with an answer and membership lags behind.
#[test]
fn draining_endpoint_gets_nothing_after_three_seconds() {
    let mut bench = Bench::new(|_, _| {});
    let vms: Vec<VmId> = (0..6).map(|index| candidate(index).vm).collect();
    for vm in &vms {
        bench.router.call_started(bench.now, vm);
        let rng = &mut bench.rng;
        bench
            .router
            .call_finished(bench.now, vm, Outcome::Draining, LATENCY, rng);
    }
    assert!(bench.pick(&[]).is_some());
    bench.now += Duration::from_millis(2_999);
    bench.update(|_, _| {});
    assert!(bench.pick(&[]).is_some());
    bench.now += Duration::from_millis(1);
    assert_eq!(bench.pick(&[]), None);
    bench.update(|_, candidate| candidate.incarnation = 2);
    assert!(bench.pick(&[]).is_some());
}

/// Guards against calls to a crashed endpoint beyond the first error, against probes that do not
/// become rarer, and against an endpoint that never returns.
#[test]
fn connection_error_ejects_with_growing_back_off() {
    let mut bench = Bench::new(|_, _| {});
    let crashed = |index| {
        if index == 1 {
            (Outcome::Connection, LATENCY)
        } else {
            fine(index)
        }
    };
    let mut errors = Vec::new();
    for _ in 0..20_000 {
        if bench.call(crashed) == Some(1) {
            errors.push(bench.now);
        }
    }
    let gaps: Vec<Duration> = errors.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(
        (4..=9).contains(&errors.len()),
        "{} errors in 20 s",
        errors.len()
    );
    assert!(gaps.windows(2).all(|pair| pair[1] > pair[0]), "{gaps:?}");
    bench.now += Duration::from_secs(40);
    let counts = bench.calls(3_000, fine);
    assert!(counts[1] > 800, "{counts:?}");
}

/// Guards against a slow or failing endpoint that keeps its share.
#[rstest]
#[case::slow(Outcome::Ok, 20)]
#[case::failing(Outcome::Failed, 1)]
fn bad_endpoint_is_ejected(#[case] outcome: Outcome, #[case] slower: u32) {
    let mut bench = Bench::new(|_, _| {});
    bench.calls(300, fine);
    let bad = |index| {
        if index == 1 {
            (outcome, LATENCY * slower)
        } else {
            fine(index)
        }
    };
    bench.calls(300, bad);
    let counts = bench.calls(3_000, bad);
    assert!(counts[1] < 100, "{counts:?}");
}

/// Guards against ejections that empty the set when everything fails.
#[rstest]
#[case(Outcome::Connection)]
#[case(Outcome::Failed)]
fn ejections_never_empty_the_set(#[case] outcome: Outcome) {
    let mut bench = Bench::new(|_, _| {});
    let counts = bench.calls(3_000, |_| (outcome, LATENCY));
    assert_eq!(counts.iter().sum::<u32>(), 3_000);
}

/// Guards against a saturated data centre that keeps all its calls, or sends them all away.
#[test]
fn spill_is_bounded() {
    let mut bench = Bench::new(|_, _| {});
    let full = |index| {
        if index < 3 {
            (Outcome::Refused, LATENCY)
        } else {
            fine(index)
        }
    };
    bench.calls(300, full);
    let counts = bench.calls(3_000, full);
    let away: u32 = counts[3..].iter().sum();
    assert!((1_000..=1_600).contains(&away), "{counts:?}");
    let all_full = |_| (Outcome::Refused, LATENCY);
    bench.calls(1_000, all_full);
    let counts = bench.calls(3_000, all_full);
    let away: u32 = counts[3..].iter().sum();
    assert!(away <= 900, "{counts:?}");
    bench.now += Duration::from_secs(10);
    let counts = bench.calls(3_000, fine);
    assert_eq!(counts[3..], [0, 0, 0]);
}

/// Guards against a cold endpoint that gets its whole share at once, or never.
#[test]
fn cold_endpoint_warms_up() {
    let mut bench = Bench::new(|index, candidate| {
        candidate.cold = index == 0;
        candidate.draining = index > 2;
    });
    let flight = |bench: &mut Bench| {
        let mut counts = [0; 6];
        for _ in 0..3 {
            let mut open = Vec::new();
            for _ in 0..30 {
                let vm = bench.pick(&[]).expect("a target");
                bench.router.call_started(bench.now, &vm);
                open.push(vm);
            }
            for vm in open {
                counts[vm[3..].parse::<usize>().expect("a number")] += 1;
                let rng = &mut bench.rng;
                bench
                    .router
                    .call_finished(bench.now, &vm, Outcome::Ok, LATENCY, rng);
            }
        }
        counts[0]
    };
    let cold = flight(&mut bench);
    bench.now += 10 * SECOND;
    let warm = flight(&mut bench);
    assert!(cold < 20 && warm > 24, "{cold} cold, {warm} warm");
}

/// Guards against misleading reports that outweigh what this daemon sees itself.
#[test]
fn own_observation_comes_before_reports() {
    let mut bench = Bench::new(|_, _| {});
    let mut counts = [0; 6];
    for _ in 0..3_000 {
        for index in 0..3 {
            let vm = candidate(index).vm;
            // The fast endpoint claims to be overloaded, the slow ones to be idle.
            let load = if index == 0 { 9.0 } else { 0.0 };
            let level = if index == 0 {
                Level::LEAST
            } else {
                Level::FULL
            };
            bench.router.observe_load(bench.now, &vm, load);
            bench.router.observe_level(bench.now, &vm, level);
        }
        let slower = |index| {
            if index == 0 {
                fine(index)
            } else {
                (Outcome::Ok, LATENCY * 6)
            }
        };
        if let Some(index) = bench.call(slower) {
            counts[index] += 1;
        }
    }
    assert!(counts[0] > counts[1] && counts[0] > counts[2], "{counts:?}");
}

/// Guards against a retry at the endpoint that was tried already.
#[test]
fn excluded_endpoints_are_not_picked() {
    let mut bench = Bench::new(|_, _| {});
    let vms: Vec<VmId> = (0..6).map(|index| candidate(index).vm).collect();
    for left in 0..6 {
        let exclude: Vec<VmId> = vms.iter().filter(|vm| **vm != vms[left]).cloned().collect();
        assert_eq!(bench.pick(&exclude), Some(Arc::clone(&vms[left])));
    }
    assert_eq!(bench.pick(&vms), None);
}

/// Guards against a probe that is never finished and keeps its endpoint out for good.
#[test]
fn lost_probe_is_repeated() {
    let mut bench = Bench::new(|_, _| {});
    let vm = candidate(1).vm;
    bench.router.call_started(bench.now, &vm);
    let rng = &mut bench.rng;
    bench
        .router
        .call_finished(bench.now, &vm, Outcome::Connection, LATENCY, rng);
    bench.now += SECOND;
    assert_eq!(bench.pick(&[]), Some(Arc::clone(&vm)));
    bench.router.call_started(bench.now, &vm);
    bench.now += SECOND;
    assert_ne!(bench.pick(&[]), Some(Arc::clone(&vm)));
    bench.now += 10 * SECOND;
    assert_eq!(bench.pick(&[]), Some(vm));
}
