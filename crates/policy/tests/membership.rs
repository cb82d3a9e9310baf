//! Stateful property test of membership and adoption against an oracle, and scenarios with many
//! daemons.
//!
//! The environment variables `FUZZ_CASES` and `FUZZ_SEED` set the number of cases and the seed.

#[path = "../examples/fleet/mod.rs"]
mod fleet;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fleet::{Fleet, data_centre_name};
use policy::id::{Incarnation, Revision};
use policy::member::State;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rstest::rstest;

const DAEMON_COUNT: usize = 12;
const DATA_CENTRE_COUNT: usize = 2;
const FUZZ_CASES: u32 = 24;
const FUZZ_SEED: u64 = 7;
/// Fraction of the datagrams that are lost.
const LOSS_FRACTION: f64 = 0.02;
/// Maximum time until other daemons stop selecting a draining or left member (invariant 6).
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(3);
/// Time in which relays that died or were partitioned are replaced and late updates arrive.
const RELAY_CHANGE_GRACE: Duration = Duration::from_secs(20);
/// Maximum time until a rule change is in force at all daemons (invariant 8).
const MAX_RULE_DELAY: Duration = Duration::from_secs(13);
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time without faults after which all daemons agree: covers a reconnect round, a repair and the
/// suspicion timeout.
const CONVERGENCE_TIME: Duration = Duration::from_mins(3);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Vm {
    Down,
    Left,
    Running,
    Draining,
}

/// Expected state of all VMs, known without any protocol.
#[derive(Clone, Debug)]
struct Oracle {
    vms: [Vm; DAEMON_COUNT],
    partitioned: bool,
    rules: Revision,
}

#[derive(Clone, Debug)]
enum Step {
    Start(usize),
    Kill(usize),
    Drain(usize),
    Leave(usize),
    Pause(usize, u64),
    Partition,
    Heal,
    PlatformDown,
    PlatformUp,
    WriteRules,
    Run(u64),
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self {
            vms: [Vm::Running; DAEMON_COUNT],
            partitioned: false,
            rules: 1,
        })
        .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let vm = 0..DAEMON_COUNT;
        prop_oneof![
            3 => vm.clone().prop_map(Step::Start),
            2 => vm.clone().prop_map(Step::Kill),
            1 => vm.clone().prop_map(Step::Drain),
            1 => vm.clone().prop_map(Step::Leave),
            2 => (vm, 1..20_u64).prop_map(|(vm, seconds)| Step::Pause(vm, seconds)),
            1 => Just(Step::Partition),
            1 => Just(Step::Heal),
            1 => Just(Step::PlatformDown),
            1 => Just(Step::PlatformUp),
            2 => Just(Step::WriteRules),
            6 => (1..15_u64).prop_map(Step::Run),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        let runs = |vm: Vm| matches!(vm, Vm::Running | Vm::Draining);
        // Other running daemons remain in the data centre, so that there is one to join through.
        let has_peer = |vm: usize| {
            let others = (0..DAEMON_COUNT)
                .filter(|one| *one != vm && one % DATA_CENTRE_COUNT == vm % DATA_CENTRE_COUNT);
            others.filter(|one| state.vms[*one] == Vm::Running).count() >= 2
        };
        match step {
            Step::Start(vm) => !runs(state.vms[*vm]),
            Step::Kill(vm) => runs(state.vms[*vm]) && has_peer(*vm),
            Step::Leave(vm) | Step::Drain(vm) => state.vms[*vm] == Vm::Running && has_peer(*vm),
            Step::Pause(vm, _) => runs(state.vms[*vm]),
            Step::Partition => !state.partitioned,
            Step::Heal => state.partitioned,
            _ => true,
        }
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Start(vm) => state.vms[*vm] = Vm::Running,
            Step::Kill(vm) => state.vms[*vm] = Vm::Down,
            Step::Drain(vm) => state.vms[*vm] = Vm::Draining,
            Step::Leave(vm) => state.vms[*vm] = Vm::Left,
            Step::Partition => state.partitioned = true,
            Step::Heal => state.partitioned = false,
            Step::WriteRules => state.rules += 1,
            _ => {}
        }
        state
    }
}

/// State of one VM as observed in the table of one process.
#[derive(Clone, Copy, Debug, Default)]
struct Observation {
    incarnation: Incarnation,
    left: bool,
    live: bool,
    removed: bool,
}

#[derive(Debug)]
struct FleetUnderTest {
    fleet: Fleet,
    oracle: Oracle,
    /// Observations by VM and incarnation of the observer, then by observed VM.
    observations: BTreeMap<(usize, Incarnation), [Observation; DAEMON_COUNT]>,
    rules: BTreeMap<(usize, Incarnation), Revision>,
    /// Times at which relays may have been killed, paused or partitioned, which excuses late
    /// updates from remote data centres. Updates within a data centre need no relay.
    relay_faults: Vec<(Duration, Duration)>,
    partitioned_since: Duration,
    /// VMs whose daemon left while it was paused, so that it did not disseminate this.
    left_paused: BTreeSet<usize>,
    /// VMs that accept no new work, with their incarnation and the start of the drain or leave.
    leaving: Vec<(usize, Incarnation, Duration)>,
}

impl FleetUnderTest {
    fn apply(&mut self, step: &Step) {
        let now = self.fleet.instant();
        let elapsed = self.fleet.elapsed();
        match *step {
            Step::Start(vm) => {
                let contacts: Vec<usize> = (0..DAEMON_COUNT).filter(|one| *one != vm).collect();
                self.fleet.start(vm, &contacts);
                self.left_paused.remove(&vm);
            }
            Step::Kill(vm) => {
                self.fleet.kill(vm);
                self.drop_undelivered_drain(vm);
                self.relay_faults.push((elapsed, elapsed));
            }
            Step::Drain(vm) | Step::Leave(vm) => {
                let leave = matches!(step, Step::Leave(_));
                let paused = self.fleet.is_paused(vm);
                if leave && paused {
                    self.left_paused.insert(vm);
                }
                if let Some(process) = self.fleet.process_mut(vm) {
                    let membership = &mut process.membership;
                    let incarnation = membership.own().incarnation;
                    if leave {
                        membership.leave(now);
                    } else {
                        membership.drain(now);
                    }
                    if !paused {
                        self.leaving.push((vm, incarnation, elapsed));
                    }
                }
                if leave {
                    self.run(Duration::from_secs(2));
                    self.fleet.kill(vm);
                }
            }
            Step::Pause(vm, seconds) => {
                let time = Duration::from_secs(seconds);
                self.fleet.pause(vm, time);
                self.drop_undelivered_drain(vm);
                self.relay_faults.push((elapsed, elapsed + time));
            }
            Step::Partition => {
                self.fleet.partition(&[0]);
                self.partitioned_since = elapsed;
            }
            Step::Heal => self.heal(),
            Step::PlatformDown => {
                self.fleet.platform.unavailable = true;
                self.fleet.fail_watches();
            }
            Step::PlatformUp => self.fleet.platform.unavailable = false,
            Step::WriteRules => {
                self.fleet.write_rules();
            }
            Step::Run(seconds) => self.run(Duration::from_secs(seconds)),
        }
    }

    /// Drops a drain or leave of `vm` that it had no time to send.
    fn drop_undelivered_drain(&mut self, vm: usize) {
        let now = self.fleet.elapsed();
        self.leaving
            .retain(|(one, _, since)| *one != vm || *since + CHECK_INTERVAL < now);
    }

    fn heal(&mut self) {
        self.fleet.partition(&[]);
        self.relay_faults
            .push((self.partitioned_since, self.fleet.elapsed()));
    }

    fn run(&mut self, time: Duration) {
        let until = self.fleet.elapsed() + time;
        while self.fleet.elapsed() < until {
            self.fleet.run(CHECK_INTERVAL);
            self.check();
        }
    }

    fn check(&mut self) {
        let observers: Vec<usize> = self.fleet.running().map(|(index, _)| index).collect();
        for by in observers {
            self.check_members(by);
            self.check_rules(by);
            self.check_leaving(by);
        }
    }

    fn check_members(&mut self, by: usize) {
        let Some(membership) = self.fleet.membership(by) else {
            return;
        };
        let key = (by, membership.own().incarnation);
        let observations = self.observations.entry(key).or_default();
        let mut live = 0;
        let mut removed = 0;
        for (of, seen) in observations.iter_mut().enumerate() {
            let Some(view) = membership.member(&self.fleet.nodes[of].vm) else {
                continue;
            };
            let (incarnation, state) = (view.member.incarnation, view.member.state);
            assert!(
                incarnation >= seen.incarnation,
                "VM {by} sees an old process of VM {of}"
            );
            if incarnation > seen.incarnation {
                *seen = Observation::default();
            }
            assert!(
                !(seen.left && state.is_live()),
                "VM {by} sees VM {of} as live after it left"
            );
            seen.incarnation = incarnation;
            seen.left |= state == State::Left;
            seen.removed = state == State::Dead && (seen.live || seen.removed);
            seen.live |= state.is_live();
            if of % DATA_CENTRE_COUNT == by % DATA_CENTRE_COUNT {
                live += usize::from(state.is_live() || state == State::Left);
                removed += usize::from(seen.removed);
            }
        }
        assert!(
            removed * 3 <= live + removed,
            "VM {by} removed {removed} members and kept {live}"
        );
    }

    fn check_rules(&mut self, by: usize) {
        let Some(process) = self.fleet.process_mut(by) else {
            return;
        };
        let key = (by, process.membership.own().incarnation);
        let revision = process.rules.in_force();
        let before = self.rules.insert(key, revision).unwrap_or(0);
        assert!(
            revision >= before,
            "VM {by} reverted its rules to an older revision"
        );
        assert!(revision <= self.fleet.platform.rules);
    }

    /// Checks that reachable daemons no longer see a draining or left member as usable after
    /// [`MAX_DRAIN_DELAY`].
    fn check_leaving(&self, by: usize) {
        let now = self.fleet.elapsed();
        for (vm, incarnation, since) in &self.leaving {
            let local = vm % DATA_CENTRE_COUNT == by % DATA_CENTRE_COUNT;
            let until = *since + MAX_DRAIN_DELAY;
            let is_disturbed = self
                .relay_faults
                .iter()
                .any(|(from, to)| *from <= until && *to + RELAY_CHANGE_GRACE >= *since);
            let is_excused = !local && (self.oracle.partitioned || is_disturbed);
            let resumed = self.fleet.resumed_at(by);
            if now < until.max(resumed + MAX_DRAIN_DELAY) + CHECK_INTERVAL || is_excused {
                continue;
            }
            let view = self.fleet.membership(by);
            let view = view.and_then(|one| one.member(&self.fleet.nodes[*vm].vm));
            let usable = view.is_some_and(|view| {
                view.member.incarnation == *incarnation && view.member.state == State::Alive
            });
            assert!(
                !usable,
                "VM {by} still selects VM {vm}, which has been leaving since {since:?}"
            );
        }
    }

    /// Checks that every daemon agrees with the oracle after [`CONVERGENCE_TIME`] without faults.
    fn check_convergence(&mut self) {
        if self.oracle.partitioned {
            self.heal();
            self.oracle.partitioned = false;
        }
        self.fleet.platform.unavailable = false;
        // Between the last two members of a data centre, a single lost probe raises a suspicion.
        self.fleet.loss = 0.0;
        self.run(CONVERGENCE_TIME);
        let rules = self.fleet.platform.rules;
        for (by, process) in self.fleet.running() {
            assert_eq!(process.rules.in_force(), rules, "rules of VM {by}");
            let unreachable = process.membership.unreachable();
            assert!(
                unreachable.is_empty(),
                "VM {by} lists {unreachable:?} as unreachable"
            );
            for (of, vm) in self.oracle.vms.iter().enumerate() {
                let state = self.fleet.state_seen(by, of);
                let agrees = match vm {
                    Vm::Running => state == Some(State::Alive),
                    Vm::Draining => state == Some(State::Draining),
                    // The suspicion limit may keep it as a suspect; remote data centres then still
                    // list it as live.
                    Vm::Down => true,
                    Vm::Left if self.left_paused.contains(&of) => true,
                    Vm::Left => state.is_none_or(|one| !one.is_live()),
                };
                assert!(agrees, "VM {by} sees VM {of} as {state:?}, expected {vm:?}");
                if let Some(current) = self.fleet.membership(of) {
                    let view = process.membership.member(&self.fleet.nodes[of].vm);
                    let seen = view.map(|view| view.member.incarnation);
                    assert_eq!(
                        seen,
                        Some(current.own().incarnation),
                        "incarnation of VM {of} at VM {by}"
                    );
                }
            }
        }
    }
}

#[derive(Debug)]
struct Fuzz;

impl StateMachineTest for Fuzz {
    type SystemUnderTest = FleetUnderTest;
    type Reference = Oracle;

    fn init_test(oracle: &Oracle) -> FleetUnderTest {
        let mut fleet = Fleet::joined(DAEMON_COUNT, DATA_CENTRE_COUNT, LOSS_FRACTION, FUZZ_SEED);
        fleet.run(Duration::from_secs(10));
        FleetUnderTest {
            fleet,
            oracle: oracle.clone(),
            observations: BTreeMap::new(),
            rules: BTreeMap::new(),
            relay_faults: Vec::new(),
            partitioned_since: Duration::ZERO,
            left_paused: BTreeSet::new(),
            leaving: Vec::new(),
        }
    }

    fn apply(mut tested: FleetUnderTest, oracle: &Oracle, step: Step) -> FleetUnderTest {
        tested.apply(&step);
        tested.oracle = oracle.clone();
        tested.check();
        tested
    }

    fn teardown(mut tested: FleetUnderTest, _: Oracle) {
        tested.check_convergence();
    }
}

fn env_or<T: std::str::FromStr>(name: &str, default: T) -> T {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: env_or("FUZZ_CASES", FUZZ_CASES),
        rng_seed: RngSeed::Fixed(env_or("FUZZ_SEED", FUZZ_SEED)),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    })]

    /// Guards against old processes that return, member tables that are emptied, rules that revert,
    /// calls to members that left, and daemons that disagree forever.
    #[test]
    fn fleet_agrees_with_the_oracle(sequential 1..30 => Fuzz);
}

/// Guards against rules that come into force later than [`MAX_RULE_DELAY`].
#[rstest]
#[case::three(3, 1)]
#[case::thirty(30, 3)]
#[case::hundred(100, 7)]
fn rules_are_in_force_within_the_bound(#[case] daemons: usize, #[case] data_centres: usize) {
    let mut fleet = Fleet::joined(daemons, data_centres, 0.01, 3);
    fleet.run(Duration::from_secs(10));
    let revision = fleet.write_rules();
    let took = fleet.run_until(MAX_RULE_DELAY, |fleet| {
        fleet
            .running()
            .all(|(_, one)| one.rules.in_force() == revision)
    });
    assert!(took.is_some());
}

/// Guards against a partitioned data centre whose members are removed, or that is not marked.
#[test]
fn partitioned_data_centre_is_marked_unreachable_but_kept() {
    let mut fleet = Fleet::joined(21, 3, 0.01, 3);
    fleet.run(Duration::from_secs(10));
    fleet.partition(&[0]);
    fleet.run(Duration::from_mins(5));
    for (by, process) in fleet.running() {
        let live = (0..21).filter(|of| fleet.state_seen(by, *of).is_some_and(State::is_live));
        assert_eq!(live.count(), 21);
        let expected = if by % 3 == 0 { 2 } else { 1 };
        assert_eq!(process.membership.unreachable().len(), expected);
    }
    fleet.partition(&[]);
    let healed = fleet.run_until(MAX_RULE_DELAY, |fleet| {
        let mut processes = fleet.running();
        processes.all(|(_, one)| one.membership.unreachable().is_empty())
    });
    assert!(healed.is_some());
}

/// Guards against the removal of daemons that resume within the suspicion timeout.
#[test]
fn briefly_paused_daemons_are_not_removed() {
    let mut fleet = Fleet::joined(100, 3, 0.01, 3);
    fleet.run(Duration::from_secs(10));
    for index in 0..5 {
        fleet.pause(index, Duration::from_secs(5));
    }
    fleet.run(Duration::from_secs(20));
    assert_eq!(fleet.removals.len(), 0);
}

/// Guards against platform calls from the whole fleet instead of its relays.
#[test]
fn platform_calls_stay_within_their_bounds() {
    const MAX_QUIET_CALLS_PER_SECOND: u64 = 100;
    const MAX_START_CALLS_PER_SECOND: u64 = 300;
    let mut fleet = Fleet::new(140, 7, 0.01, 3);
    fleet.platform.rules = 1;
    for index in 0..140 {
        fleet.start(index, &[]);
    }
    fleet.run(Duration::from_mins(2));
    assert!(fleet.running().all(|(_, one)| one.rules.in_force() == 1));
    assert!(fleet.peak_calls(Duration::ZERO) < MAX_START_CALLS_PER_SECOND);
    let from = fleet.elapsed();
    fleet.run(Duration::from_mins(2));
    assert!(fleet.peak_calls(from) < MAX_QUIET_CALLS_PER_SECOND);
    let relays = fleet.running().filter(|(_, one)| one.membership.is_relay());
    assert_eq!(relays.count(), 7 * 3);
    let live = fleet
        .running()
        .map(|(_, one)| one.membership.live_count(&data_centre_name(0)));
    assert!(live.into_iter().all(|live| live == 20));
}
