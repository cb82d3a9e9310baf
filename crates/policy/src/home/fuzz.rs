//! Stateful fuzz of the home protocol together with the ticket protocol.

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rstest::rstest;

use super::world::{KEYS, Leg, Process, Setup, Step, VMS, World};
use super::*;
use crate::testing::{find_violation, fuzz_config};

/// Wall clocks differ from the true time by at most this.
const OFFSET_MS: i64 = 10_000;
/// Clocks run fast or slow by at most this.
const DRIFT_PPM: i64 = 2_000;

/// Generates steps. The model itself is the oracle in [`World`].
#[derive(Debug)]
struct Model;

fn legs() -> impl Strategy<Value = Leg> {
    prop_oneof![
        Just(Leg::Claim),
        Just(Leg::ClaimReply),
        Just(Leg::Store),
        Just(Leg::StoreReply),
        Just(Leg::Grant),
        Just(Leg::GrantReply),
        Just(Leg::Call),
        Just(Leg::CallReply),
        Just(Leg::Swap),
        Just(Leg::SwapReply),
    ]
}

fn process() -> impl Strategy<Value = Process> {
    prop_oneof![
        3 => Just(Process::Owner),
        3 => Just(Process::Successor),
        2 => (0..VMS).prop_map(Process::Vm),
    ]
}

impl ReferenceStateMachine for Model {
    type State = Setup;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Setup> {
        let clock = (-OFFSET_MS..=OFFSET_MS, -DRIFT_PPM..=DRIFT_PPM);
        (prop::collection::vec(clock, VMS), 0..1_000_u64)
            .prop_map(|(clocks, seed)| Setup { clocks, seed })
            .boxed()
    }

    fn transitions(_: &Setup) -> BoxedStrategy<Step> {
        let vm = 0..VMS;
        let send = (0..KEYS, vm.clone(), vm.clone());
        let pause = prop_oneof![500..3_000_u64, 3_000..9_000_u64];
        let run = prop_oneof![
            8 => 50..1_500_u64,
            8 => 3_000..8_000_u64,
            1 => 100_000..200_000_u64,
            1 => 850_000..1_100_000_u64,
        ];
        prop_oneof![
            14 => send.clone()
                .prop_map(|(key, entry, target)| Step::Send { key, entry, target }),
            2 => send.prop_map(|(key, entry, target)| Step::Duplicate { key, entry, target }),
            14 => run.prop_map(Step::Run),
            2 => (process(), pause.clone()).prop_map(|(process, ms)| Step::Pause(process, ms)),
            1 => process().prop_map(Step::Crash),
            2 => process().prop_map(Step::Replace),
            1 => Just(Step::ReplaceBoth),
            1 => process().prop_map(Step::Drain),
            1 => (vm.clone(), process()).prop_map(|(vm, process)| Step::CutFrom(vm, process)),
            1 => process().prop_map(Step::CutPlatform),
            1 => Just(Step::PlatformDown),
            1 => Just(Step::CutPair),
            3 => Just(Step::Heal),
            3 => Just(Step::Recover),
            2 => legs().prop_map(Step::Lose),
            2 => (legs(), pause.clone()).prop_map(|(leg, ms)| Step::Delay(leg, ms)),
            2 => (legs(), pause).prop_map(|(leg, ms)| Step::Repeat(leg, ms)),
            1 => vm.clone().prop_map(Step::Shed),
            1 => vm.prop_map(Step::NoAnswer),
            1 => Just(Step::Reassign),
        ]
        .boxed()
    }

    fn apply(state: Setup, _: &Step) -> Setup {
        state
    }
}

#[derive(Debug)]
struct Homes;

impl StateMachineTest for Homes {
    type SystemUnderTest = World;
    type Reference = Model;

    fn init_test(setup: &Setup) -> World {
        let mut world = World::new(setup, Safeguards::default());
        world.run(8_000).expect("nothing is sent yet");
        world
    }

    fn apply(mut world: World, _: &Setup, step: Step) -> World {
        if let Err(objection) = world.apply(&step) {
            panic!("{objection} at {step:?}");
        }
        world
    }

    fn teardown(mut world: World, _: Setup) {
        world
            .run(10_000)
            .expect("the oracle agrees after the last step");
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config(200))]

    /// Guards against a second run of a key, and against two processes that serve one slot.
    #[test]
    fn never_runs_twice(sequential 1..60 => Homes);
}

/// Guards against steps that no longer reach runs, refusals or unknown outcomes.
#[test]
fn steps_reach_all_outcomes() {
    let steps = Model::sequential_strategy(1..60);
    let mut runner = TestRunner::new(fuzz_config(1));
    let (mut keys, mut counts) = (0, [0; 3]);
    for _ in 0..50 {
        let (setup, steps, _) = steps.new_tree(&mut runner).expect("no filter").current();
        let mut world = Homes::init_test(&setup);
        for step in &steps {
            world.apply(step).expect("the oracle agrees");
        }
        keys += world.keys_run();
        for outcome in &world.outcomes {
            counts[*outcome as usize] += 1;
        }
    }
    let [not_run, ran, unknown] = counts;
    println!("50 cases: {keys} keys ran; {ran} answers, {not_run} not-run, {unknown} unknown");
    assert!(keys >= 50 && not_run >= 10 && unknown >= 10);
}

/// Guards against an oracle that misses a protection that is turned off.
#[rstest]
#[case(Safeguard::IncarnationCheck)]
#[case(Safeguard::VoidFinal)]
#[case(Safeguard::GrantExpiry)]
#[case(Safeguard::TakeoverSwap)]
#[case(Safeguard::StoreFirst)]
#[case(Safeguard::Quarantine)]
fn oracle_objects_without(#[case] mechanism: Safeguard) {
    let steps = Model::sequential_strategy(1..60);
    let found = find_violation(&steps, 3_000, |(setup, steps, _)| {
        let mut world = World::new(&setup, Safeguards::without(mechanism));
        world.run(8_000)?;
        steps.iter().try_for_each(|step| world.apply(step))?;
        world.run(10_000)
    });
    println!("without {mechanism:?}: {found}");
}
