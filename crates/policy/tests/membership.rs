//! Stateful fuzz of membership and adoption against a simple oracle, and scenarios over many
//! daemons.
//!
//! `FUZZ_CASES` and `FUZZ_SEED` run the fuzz longer or with another seed.

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

const DAEMONS: usize = 12;
const DATA_CENTRES: usize = 2;
const FUZZ_CASES: u32 = 24;
const FUZZ_SEED: u64 = 7;
const LOSS: f64 = 0.02;
/// Bound of invariant 6.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// Time in which the relays that died or were cut off are replaced and updates catch up.
const RELAY_CHANGE: Duration = Duration::from_secs(20);
/// Bound of invariant 8.
const RULE_BOUND: Duration = Duration::from_secs(13);
const CHECK: Duration = Duration::from_millis(500);
/// Quiet time after which all daemons agree: a reconnect round, a repair and the suspicion time.
const CONVERGENCE: Duration = Duration::from_mins(3);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Vm {
    Down,
    Left,
    Running,
    Draining,
}

/// What an observer of all VMs knows without any protocol.
#[derive(Clone, Debug)]
struct Oracle {
    vms: [Vm; DAEMONS],
    cut: bool,
    rules: Revision,
}

#[derive(Clone, Debug)]
enum Step {
    Start(usize),
    Kill(usize),
    Drain(usize),
    Leave(usize),
    Pause(usize, u64),
    Cut,
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
            vms: [Vm::Running; DAEMONS],
            cut: false,
            rules: 1,
        })
        .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let vm = 0..DAEMONS;
        prop_oneof![
            3 => vm.clone().prop_map(Step::Start),
            2 => vm.clone().prop_map(Step::Kill),
            1 => vm.clone().prop_map(Step::Drain),
            1 => vm.clone().prop_map(Step::Leave),
            2 => (vm, 1..20_u64).prop_map(|(vm, seconds)| Step::Pause(vm, seconds)),
            1 => Just(Step::Cut),
            1 => Just(Step::Heal),
            1 => Just(Step::PlatformDown),
            1 => Just(Step::PlatformUp),
            2 => Just(Step::WriteRules),
            6 => (1..15_u64).prop_map(Step::Run),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        let up = |vm: Vm| matches!(vm, Vm::Running | Vm::Draining);
        // One running daemon in each data centre remains, so that there is one to join through.
        let spare = |vm: usize| {
            let others =
                (0..DAEMONS).filter(|one| *one != vm && one % DATA_CENTRES == vm % DATA_CENTRES);
            others.filter(|one| state.vms[*one] == Vm::Running).count() >= 2
        };
        match step {
            Step::Start(vm) => !up(state.vms[*vm]),
            Step::Kill(vm) => up(state.vms[*vm]) && spare(*vm),
            Step::Leave(vm) | Step::Drain(vm) => state.vms[*vm] == Vm::Running && spare(*vm),
            Step::Pause(vm, _) => up(state.vms[*vm]),
            Step::Cut => !state.cut,
            Step::Heal => state.cut,
            _ => true,
        }
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Start(vm) => state.vms[*vm] = Vm::Running,
            Step::Kill(vm) => state.vms[*vm] = Vm::Down,
            Step::Drain(vm) => state.vms[*vm] = Vm::Draining,
            Step::Leave(vm) => state.vms[*vm] = Vm::Left,
            Step::Cut => state.cut = true,
            Step::Heal => state.cut = false,
            Step::WriteRules => state.rules += 1,
            _ => {}
        }
        state
    }
}

/// What one process has seen of one VM.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    incarnation: Incarnation,
    left: bool,
    live: bool,
    removed: bool,
}

#[derive(Debug)]
struct Subject {
    fleet: Fleet,
    oracle: Oracle,
    /// By the observer's VM and incarnation, then by VM.
    seen: BTreeMap<(usize, Incarnation), [Seen; DAEMONS]>,
    rules: BTreeMap<(usize, Incarnation), Revision>,
    /// Times at which relays were killed, paused or cut off. Within one data centre updates need no
    /// relay, so there is no excuse for a late one.
    disturbed: Vec<(Duration, Duration)>,
    cut_since: Duration,
    /// VMs that ended while they were paused and told nobody.
    crashed: BTreeSet<usize>,
    /// VMs that take no new work, since when, with their incarnation.
    leaving: Vec<(usize, Incarnation, Duration)>,
}

impl Subject {
    fn apply(&mut self, step: &Step) {
        let now = self.fleet.instant();
        let elapsed = self.fleet.elapsed();
        match *step {
            Step::Start(vm) => {
                let contacts: Vec<usize> = (0..DAEMONS).filter(|one| *one != vm).collect();
                self.fleet.start(vm, &contacts);
                self.crashed.remove(&vm);
            }
            Step::Kill(vm) => {
                self.fleet.kill(vm);
                self.silence(vm);
                self.disturbed.push((elapsed, elapsed));
            }
            Step::Drain(vm) | Step::Leave(vm) => {
                let leave = matches!(step, Step::Leave(_));
                let paused = self.fleet.is_paused(vm);
                if leave && paused {
                    self.crashed.insert(vm);
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
                self.silence(vm);
                self.disturbed.push((elapsed, elapsed + time));
            }
            Step::Cut => {
                self.fleet.cut_off(&[0]);
                self.cut_since = elapsed;
            }
            Step::Heal => self.heal(),
            Step::PlatformDown => {
                self.fleet.platform.down = true;
                self.fleet.break_watches();
            }
            Step::PlatformUp => self.fleet.platform.down = false,
            Step::WriteRules => {
                self.fleet.write_rules();
            }
            Step::Run(seconds) => self.run(Duration::from_secs(seconds)),
        }
    }

    /// Forgets a drain of `vm` that had no time to be told.
    fn silence(&mut self, vm: usize) {
        let now = self.fleet.elapsed();
        self.leaving
            .retain(|(one, _, since)| *one != vm || *since + CHECK < now);
    }

    fn heal(&mut self) {
        self.fleet.cut_off(&[]);
        self.disturbed.push((self.cut_since, self.fleet.elapsed()));
    }

    fn run(&mut self, time: Duration) {
        let until = self.fleet.elapsed() + time;
        while self.fleet.elapsed() < until {
            self.fleet.run(CHECK);
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
        let seen = self.seen.entry(key).or_default();
        let mut live = 0;
        let mut removed = 0;
        for (of, seen) in seen.iter_mut().enumerate() {
            let Some(view) = membership.member(&self.fleet.nodes[of].vm) else {
                continue;
            };
            let (incarnation, state) = (view.member.incarnation, view.member.state);
            assert!(
                incarnation >= seen.incarnation,
                "VM {by} sees an old process of VM {of}"
            );
            if incarnation > seen.incarnation {
                *seen = Seen::default();
            }
            assert!(
                !(seen.left && state.is_live()),
                "VM {by} sees VM {of} return that left"
            );
            seen.incarnation = incarnation;
            seen.left |= state == State::Left;
            seen.removed = state == State::Dead && (seen.live || seen.removed);
            seen.live |= state.is_live();
            if of % DATA_CENTRES == by % DATA_CENTRES {
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
        assert!(revision >= before, "VM {by} reverted its rules");
        assert!(revision <= self.fleet.platform.rules);
    }

    /// Members within reach see no endpoint that left as usable after the bound.
    fn check_leaving(&self, by: usize) {
        let now = self.fleet.elapsed();
        for (vm, incarnation, since) in &self.leaving {
            let local = vm % DATA_CENTRES == by % DATA_CENTRES;
            let until = *since + DRAIN_BOUND;
            let disturbed = self
                .disturbed
                .iter()
                .any(|(from, to)| *from <= until && *to + RELAY_CHANGE >= *since);
            let excused = !local && (self.oracle.cut || disturbed);
            let resumed = self.fleet.resumed_at(by);
            if now < until.max(resumed + DRAIN_BOUND) + CHECK || excused {
                continue;
            }
            let view = self.fleet.membership(by);
            let view = view.and_then(|one| one.member(&self.fleet.nodes[*vm].vm));
            let usable = view.is_some_and(|view| {
                view.member.incarnation == *incarnation && view.member.state == State::Alive
            });
            assert!(!usable, "VM {by} still uses VM {vm} that left at {since:?}");
        }
    }

    /// After a quiet time every daemon sees what the oracle knows.
    fn check_convergence(&mut self) {
        if self.oracle.cut {
            self.heal();
            self.oracle.cut = false;
        }
        self.fleet.platform.down = false;
        // A lost probe between the last two members of a data centre is a suspicion at any time.
        self.fleet.loss = 0.0;
        self.run(CONVERGENCE);
        let rules = self.fleet.platform.rules;
        for (by, process) in self.fleet.running() {
            assert_eq!(process.rules.in_force(), rules, "rules of VM {by}");
            let unreachable = process.membership.unreachable();
            assert!(
                unreachable.is_empty(),
                "VM {by} does not reach {unreachable:?}"
            );
            for (of, vm) in self.oracle.vms.iter().enumerate() {
                let state = self.fleet.view(by, of);
                let agrees = match vm {
                    Vm::Running => state == Some(State::Alive),
                    Vm::Draining => state == Some(State::Draining),
                    // The suspicion limit may keep it as a suspect; other data centres then still
                    // list it.
                    Vm::Down => true,
                    Vm::Left if self.crashed.contains(&of) => true,
                    Vm::Left => state.is_none_or(|one| !one.is_live()),
                };
                assert!(agrees, "VM {by} sees VM {of} as {state:?}, which is {vm:?}");
                if let Some(current) = self.fleet.membership(of) {
                    let view = process.membership.member(&self.fleet.nodes[of].vm);
                    let seen = view.map(|view| view.member.incarnation);
                    assert_eq!(seen, Some(current.own().incarnation), "VM {by} of VM {of}");
                }
            }
        }
    }
}

#[derive(Debug)]
struct Fuzz;

impl StateMachineTest for Fuzz {
    type SystemUnderTest = Subject;
    type Reference = Oracle;

    fn init_test(oracle: &Oracle) -> Subject {
        let mut fleet = Fleet::joined(DAEMONS, DATA_CENTRES, LOSS, FUZZ_SEED);
        fleet.run(Duration::from_secs(10));
        Subject {
            fleet,
            oracle: oracle.clone(),
            seen: BTreeMap::new(),
            rules: BTreeMap::new(),
            disturbed: Vec::new(),
            cut_since: Duration::ZERO,
            crashed: BTreeSet::new(),
            leaving: Vec::new(),
        }
    }

    fn apply(mut subject: Subject, oracle: &Oracle, step: Step) -> Subject {
        subject.apply(&step);
        subject.oracle = oracle.clone();
        subject.check();
        subject
    }

    fn teardown(mut subject: Subject, _: Oracle) {
        subject.check_convergence();
    }
}

fn setting<T: std::str::FromStr>(name: &str, default: T) -> T {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: setting("FUZZ_CASES", FUZZ_CASES),
        rng_seed: RngSeed::Fixed(setting("FUZZ_SEED", FUZZ_SEED)),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    })]

    /// Guards against old processes that return, lists that are emptied, rules that revert, work for
    /// members that left, and daemons that disagree for ever.
    #[test]
    fn fleet_agrees_with_the_oracle(sequential 1..30 => Fuzz);
}

/// Guards against rules that miss the bound.
#[rstest]
#[case::three(3, 1)]
#[case::thirty(30, 3)]
#[case::hundred(100, 7)]
fn rules_are_in_force_within_the_bound(#[case] daemons: usize, #[case] data_centres: usize) {
    let mut fleet = Fleet::joined(daemons, data_centres, 0.01, 3);
    fleet.run(Duration::from_secs(10));
    let revision = fleet.write_rules();
    let took = fleet.run_until(RULE_BOUND, |fleet| {
        fleet
            .running()
            .all(|(_, one)| one.rules.in_force() == revision)
    });
    assert!(took.is_some());
}

/// Guards against a data centre that is removed while it is cut off, or not marked.
#[test]
fn cut_off_data_centre_is_kept_and_marked() {
    let mut fleet = Fleet::joined(21, 3, 0.01, 3);
    fleet.run(Duration::from_secs(10));
    fleet.cut_off(&[0]);
    fleet.run(Duration::from_mins(5));
    for (by, process) in fleet.running() {
        let live = (0..21).filter(|of| fleet.view(by, *of).is_some_and(State::is_live));
        assert_eq!(live.count(), 21);
        let expected = if by % 3 == 0 { 2 } else { 1 };
        assert_eq!(process.membership.unreachable().len(), expected);
    }
    fleet.cut_off(&[]);
    let healed = fleet.run_until(RULE_BOUND, |fleet| {
        let mut processes = fleet.running();
        processes.all(|(_, one)| one.membership.unreachable().is_empty())
    });
    assert!(healed.is_some());
}

/// Guards against paused VMs that are removed although they return within the suspicion time.
#[test]
fn paused_vms_are_not_removed() {
    let mut fleet = Fleet::joined(100, 3, 0.01, 3);
    fleet.run(Duration::from_secs(10));
    for index in 0..5 {
        fleet.pause(index, Duration::from_secs(5));
    }
    fleet.run(Duration::from_secs(20));
    assert_eq!(fleet.removals.len(), 0);
}

/// Guards against a platform that is asked by the whole fleet.
#[test]
fn platform_calls_stay_within_their_bounds() {
    const QUIET: u64 = 100;
    const START: u64 = 300;
    let mut fleet = Fleet::new(140, 7, 0.01, 3);
    fleet.platform.rules = 1;
    for index in 0..140 {
        fleet.start(index, &[]);
    }
    fleet.run(Duration::from_mins(2));
    assert!(fleet.running().all(|(_, one)| one.rules.in_force() == 1));
    assert!(fleet.peak_calls(Duration::ZERO) < START);
    let from = fleet.elapsed();
    fleet.run(Duration::from_mins(2));
    assert!(fleet.peak_calls(from) < QUIET);
    let relays = fleet.running().filter(|(_, one)| one.membership.is_relay());
    assert_eq!(relays.count(), 7 * 3);
    let live = fleet
        .running()
        .map(|(_, one)| one.membership.live_count(&data_centre_name(0)));
    assert!(live.into_iter().all(|live| live == 20));
}
