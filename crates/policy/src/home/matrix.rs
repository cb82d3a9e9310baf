//! Fault matrix: every fault listed in the design document, at every step of the ticket and home
//! protocols.
//!
//! `docs/measurements/at-most-once.md` describes the cells.

use rstest::rstest;

use super::simulation::{MessageKind, Moment, ProcessRef, Setup, Simulation, Step};
use super::*;

/// VM 1 is the owner of slot 0 and VM 0 its successor, so entry and target hold no role in it.
const ENTRY_VM: usize = 2;
const TARGET_VM: usize = 3;
const MOMENTS: [Moment; 4] = [
    Moment::BeforeSend,
    Moment::AfterSend,
    Moment::AfterEffect,
    Moment::AfterAnswer,
];
/// Length of the pauses and message delays.
const FAULT_DELAY_MS: u64 = 6_000;

/// Protocol step at which the fault occurs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProtocolStep {
    Claim,
    Store,
    Grant,
    Call,
    Takeover,
    Replacement,
    HandOver,
    Copy,
}

const PROTOCOL_STEPS: [ProtocolStep; 8] = [
    ProtocolStep::Claim,
    ProtocolStep::Store,
    ProtocolStep::Grant,
    ProtocolStep::Call,
    ProtocolStep::Takeover,
    ProtocolStep::Replacement,
    ProtocolStep::HandOver,
    ProtocolStep::Copy,
];

impl ProtocolStep {
    const fn message_kind(self) -> MessageKind {
        match self {
            Self::Claim => MessageKind::Claim,
            Self::Store | Self::Copy => MessageKind::Store,
            Self::Grant => MessageKind::Grant,
            Self::Call => MessageKind::Call,
            Self::Takeover | Self::Replacement | Self::HandOver => MessageKind::Swap,
        }
    }

    /// Fault that starts the protocol step, after the key has run. None if sending the key starts
    /// it.
    const fn initial_fault(self) -> Option<Step> {
        match self {
            Self::Claim | Self::Store | Self::Grant | Self::Call => None,
            Self::Takeover => Some(Step::Crash(ProcessRef::Owner)),
            Self::Replacement | Self::Copy => Some(Step::Crash(ProcessRef::Successor)),
            Self::HandOver => Some(Step::Drain(ProcessRef::Owner)),
        }
    }
}

/// Faults listed in the design document, as they affect these protocols.
#[derive(Clone, Copy, Debug)]
enum Fault {
    RequestLost,
    ReplyLost,
    RequestLate,
    ReplyLate,
    RequestRepeated,
    ReplyRepeated,
    Crash(ProcessRef),
    Replace(ProcessRef),
    Pause(ProcessRef),
    Drain(ProcessRef),
    BothReplaced,
    OperatorsRace,
    PairCut,
    EntryCut(ProcessRef),
    PlatformDown,
    PlatformCut(ProcessRef),
    Surge,
    ServiceSlow,
    RetryStorm,
}

const ENTRY_PROCESS: ProcessRef = ProcessRef::Vm(ENTRY_VM);
const TARGET_PROCESS: ProcessRef = ProcessRef::Vm(TARGET_VM);
const FAULTY_PROCESSES: [ProcessRef; 4] = [
    ProcessRef::Owner,
    ProcessRef::Successor,
    ENTRY_PROCESS,
    TARGET_PROCESS,
];

impl Fault {
    fn all() -> Vec<Self> {
        let mut all = vec![
            Self::RequestLost,
            Self::ReplyLost,
            Self::RequestLate,
            Self::ReplyLate,
            Self::RequestRepeated,
            Self::ReplyRepeated,
            Self::BothReplaced,
            Self::OperatorsRace,
            Self::PairCut,
            Self::PlatformDown,
            Self::Surge,
            Self::ServiceSlow,
            Self::RetryStorm,
        ];
        for process in FAULTY_PROCESSES {
            all.extend([
                Self::Crash(process),
                Self::Replace(process),
                Self::Pause(process),
                Self::Drain(process),
                Self::EntryCut(process),
                Self::PlatformCut(process),
            ]);
        }
        all
    }

    /// Returns the steps of which the fault consists.
    fn steps(self, kind: MessageKind) -> Vec<Step> {
        match self {
            Self::RequestLost => vec![Step::Lose(kind)],
            Self::ReplyLost => vec![Step::Lose(kind.reply())],
            Self::RequestLate => vec![Step::Delay(kind, FAULT_DELAY_MS)],
            Self::ReplyLate => vec![Step::Delay(kind.reply(), FAULT_DELAY_MS)],
            Self::RequestRepeated => vec![Step::Repeat(kind, FAULT_DELAY_MS)],
            Self::ReplyRepeated => vec![Step::Repeat(kind.reply(), FAULT_DELAY_MS)],
            Self::Crash(process) => vec![Step::Crash(process)],
            Self::Replace(process) => vec![Step::Replace(process)],
            Self::Pause(process) => vec![Step::Pause(process, FAULT_DELAY_MS)],
            Self::Drain(process) => vec![Step::Drain(process)],
            Self::BothReplaced => vec![Step::ReplaceBoth],
            Self::OperatorsRace => vec![
                Step::Crash(ProcessRef::Owner),
                Step::Crash(ProcessRef::Successor),
                Step::Reassign,
            ],
            Self::PairCut => vec![Step::CutPair],
            Self::EntryCut(process) => vec![Step::CutFrom(ENTRY_VM, process)],
            Self::PlatformDown => vec![Step::PlatformDown],
            Self::PlatformCut(process) => vec![Step::CutPlatform(process)],
            Self::Surge => vec![Step::Shed(TARGET_VM)],
            Self::ServiceSlow => vec![Step::NoAnswer(TARGET_VM)],
            Self::RetryStorm => (0..6)
                .map(|send| Step::Send {
                    key: 0,
                    entry: send % 4,
                    target: (send + 1) % 4,
                })
                .collect(),
        }
    }
}

/// Sends the key before and during the faults, and again through another data centre after them.
fn run_with_faults(
    protocol_step: ProtocolStep,
    faults: &[(MessageKind, Moment, Fault)],
    safeguards: Safeguards,
) -> Result<Simulation, String> {
    let mut simulation = Simulation::new(&Setup::plain(), safeguards);
    simulation.run(8_000)?;
    let send = Step::Send {
        key: 0,
        entry: ENTRY_VM,
        target: TARGET_VM,
    };
    if protocol_step.initial_fault().is_some() {
        simulation.apply(&send)?;
        simulation.run(2_000)?;
    }
    for (kind, moment, fault) in faults {
        simulation.schedule_faults(*kind, *moment, fault.steps(*kind));
    }
    simulation.apply(&protocol_step.initial_fault().unwrap_or(send))?;
    simulation.run(14_000)?;
    simulation.apply(&Step::Send {
        key: 0,
        entry: ENTRY_VM,
        target: 0,
    })?;
    simulation.run(5_000)?;
    simulation.apply(&Step::Heal)?;
    simulation.recover();
    simulation.run(14_000)?;
    simulation.apply(&Step::Send {
        key: 0,
        entry: 1,
        target: 2,
    })?;
    simulation.run(5_000)?;
    Ok(simulation)
}

/// Guards against a second run, a false "not run" and a slot that stays without an owner, with one
/// fault at each moment of each protocol step.
#[rstest]
fn one_fault(#[values(0, 1, 2, 3, 4, 5, 6, 7)] step: usize) {
    let protocol_step = PROTOCOL_STEPS[step];
    for fault in Fault::all() {
        for moment in MOMENTS {
            let simulation = run_with_faults(
                protocol_step,
                &[(protocol_step.message_kind(), moment, fault)],
                Safeguards::default(),
            );
            let simulation = simulation.unwrap_or_else(|violation| {
                panic!("{violation}: {protocol_step:?} {fault:?} {moment:?}")
            });
            assert!(
                simulation.all_faults_occurred(),
                "fault not reached: {protocol_step:?} {fault:?} {moment:?}"
            );
            assert!(
                simulation.has_recovered(),
                "no owner: {protocol_step:?} {fault:?} {moment:?}"
            );
        }
    }
}

/// Guards against the same failures with a second fault at the compare-and-swap that the first one
/// causes.
#[rstest]
fn two_faults(
    #[values(
        Fault::Crash(ProcessRef::Owner),
        Fault::Crash(ProcessRef::Successor),
        Fault::Replace(ProcessRef::Owner),
        Fault::Pause(ProcessRef::Owner),
        Fault::Pause(ProcessRef::Successor),
        Fault::Drain(ProcessRef::Owner),
        Fault::PairCut
    )]
    first: Fault,
    #[values(ProtocolStep::Store, ProtocolStep::Copy)] protocol_step: ProtocolStep,
) {
    let mut occurred = 0;
    for second in Fault::all() {
        for moment in MOMENTS {
            let faults = [
                (MessageKind::Store, Moment::AfterEffect, first),
                (MessageKind::Swap, moment, second),
            ];
            let simulation = run_with_faults(protocol_step, &faults, Safeguards::default());
            let simulation =
                simulation.unwrap_or_else(|violation| panic!("{violation}: {second:?} {moment:?}"));
            assert!(
                simulation.has_recovered(),
                "no owner: {second:?} {moment:?}"
            );
            occurred += usize::from(simulation.all_faults_occurred());
        }
    }
    println!("{first:?} at {protocol_step:?}: both faults occurred in {occurred} cells");
    assert!(occurred > 0, "no cell reached both faults");
}

/// Guards against a matrix that does not notice when a safeguard is turned off.
#[rstest]
fn matrix_detects_missing_safeguard(
    #[values(
        Safeguard::IncarnationCheck,
        Safeguard::GrantExpiry,
        Safeguard::TakeoverSwap,
        Safeguard::StoreFirst,
        Safeguard::Quarantine
    )]
    safeguard: Safeguard,
) {
    let safeguards = Safeguards::without(safeguard);
    let mut violations = Vec::new();
    for protocol_step in PROTOCOL_STEPS {
        for fault in Fault::all() {
            for moment in MOMENTS {
                let simulation = run_with_faults(
                    protocol_step,
                    &[(protocol_step.message_kind(), moment, fault)],
                    safeguards,
                );
                if let Err(violation) = simulation {
                    violations.push(format!(
                        "{violation}: {fault:?} {moment:?} {protocol_step:?}"
                    ));
                }
            }
        }
    }
    println!(
        "without {safeguard:?}: {} cells, {:?}",
        violations.len(),
        violations.first()
    );
    assert!(!violations.is_empty(), "the matrix found no violation");
}
