//! Stateful fuzz test of the home protocol together with the ticket protocol.

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rstest::rstest;

use super::simulation::{KEY_COUNT, MessageKind, ProcessRef, Setup, Simulation, Step, VM_COUNT};
use super::*;
use crate::testing::{find_violation, fuzz_config};

/// Largest offset of a wall clock from the true time.
const MAX_CLOCK_OFFSET_MS: i64 = 10_000;
/// Largest rate error of a clock, fast or slow.
const MAX_CLOCK_DRIFT_PPM: i64 = 2_000;

/// Generates the steps. Their effects are checked by the oracle in [`Simulation`].
#[derive(Debug)]
struct Model;

fn message_kinds() -> impl Strategy<Value = MessageKind> {
    prop_oneof![
        Just(MessageKind::Claim),
        Just(MessageKind::ClaimReply),
        Just(MessageKind::Store),
        Just(MessageKind::StoreReply),
        Just(MessageKind::Grant),
        Just(MessageKind::GrantReply),
        Just(MessageKind::Call),
        Just(MessageKind::CallReply),
        Just(MessageKind::Swap),
        Just(MessageKind::SwapReply),
    ]
}

fn process() -> impl Strategy<Value = ProcessRef> {
    prop_oneof![
        3 => Just(ProcessRef::Owner),
        3 => Just(ProcessRef::Successor),
        2 => (0..VM_COUNT).prop_map(ProcessRef::Vm),
    ]
}

impl ReferenceStateMachine for Model {
    type State = Setup;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Setup> {
        let clock = (
            -MAX_CLOCK_OFFSET_MS..=MAX_CLOCK_OFFSET_MS,
            -MAX_CLOCK_DRIFT_PPM..=MAX_CLOCK_DRIFT_PPM,
        );
        (prop::collection::vec(clock, VM_COUNT), 0..1_000_u64)
            .prop_map(|(clocks, seed)| Setup { clocks, seed })
            .boxed()
    }

    fn transitions(_: &Setup) -> BoxedStrategy<Step> {
        let vm = 0..VM_COUNT;
        let send = (0..KEY_COUNT, vm.clone(), vm.clone());
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
            2 => message_kinds().prop_map(Step::Lose),
            2 => (message_kinds(), pause.clone()).prop_map(|(kind, ms)| Step::Delay(kind, ms)),
            2 => (message_kinds(), pause).prop_map(|(kind, ms)| Step::Repeat(kind, ms)),
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
struct HomeTest;

impl StateMachineTest for HomeTest {
    type SystemUnderTest = Simulation;
    type Reference = Model;

    fn init_test(setup: &Setup) -> Simulation {
        let mut simulation = Simulation::new(setup, Safeguards::default());
        simulation.run(8_000).expect("nothing is sent yet");
        simulation
    }

    fn apply(mut simulation: Simulation, _: &Setup, step: Step) -> Simulation {
        if let Err(violation) = simulation.apply(&step) {
            panic!("{violation} at {step:?}");
        }
        simulation
    }

    fn teardown(mut simulation: Simulation, _: Setup) {
        simulation
            .run(10_000)
            .expect("no violation after the last step");
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config(200))]

    /// Guards against a second run of a key, and against two processes that serve one slot.
    #[test]
    fn never_runs_twice(sequential 1..60 => HomeTest);
}

/// Guards against generated steps that no longer lead to runs, refusals and unknown outcomes.
#[test]
fn steps_reach_all_outcomes() {
    let steps = Model::sequential_strategy(1..60);
    let mut runner = TestRunner::new(fuzz_config(1));
    let (mut keys, mut counts) = (0, [0; 3]);
    for _ in 0..50 {
        let (setup, steps, _) = steps.new_tree(&mut runner).expect("no filter").current();
        let mut simulation = HomeTest::init_test(&setup);
        for step in &steps {
            simulation.apply(step).expect("no violation");
        }
        keys += simulation.keys_run();
        for outcome in &simulation.outcomes {
            counts[*outcome as usize] += 1;
        }
    }
    let [not_run, ran, unknown] = counts;
    println!("50 cases: {keys} keys ran; {ran} responses, {not_run} not-run, {unknown} unknown");
    assert!(keys >= 50 && not_run >= 10 && unknown >= 10);
}

/// Guards against an oracle that does not notice when a safeguard is turned off.
#[rstest]
#[case(Safeguard::IncarnationCheck)]
#[case(Safeguard::VoidFinal)]
#[case(Safeguard::GrantExpiry)]
#[case(Safeguard::TakeoverSwap)]
#[case(Safeguard::StoreFirst)]
#[case(Safeguard::Quarantine)]
fn oracle_detects_missing_safeguard(#[case] safeguard: Safeguard) {
    let steps = Model::sequential_strategy(1..60);
    let violation = find_violation(&steps, 3_000, |(setup, steps, _)| {
        let mut simulation = Simulation::new(&setup, Safeguards::without(safeguard));
        simulation.run(8_000)?;
        steps.iter().try_for_each(|step| simulation.apply(step))?;
        simulation.run(10_000)
    });
    println!("without {safeguard:?}: {violation}");
}
