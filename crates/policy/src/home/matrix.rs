//! Fault matrix: every fault of the design page at every step of the ticket and home protocols.
//!
//! `docs/measurements/at-most-once.md` lists what each cell means.

use rstest::rstest;

use super::world::{Leg, Moment, Process, Setup, Step, World};
use super::*;

/// Slot 0 is owned by VM 1 and succeeded by VM 0, so these two have no other role.
const ENTRY: usize = 2;
const TARGET: usize = 3;
const MOMENTS: [Moment; 4] = [
    Moment::BeforeSend,
    Moment::AfterSend,
    Moment::AfterEffect,
    Moment::AfterAnswer,
];
const PAUSE_MS: u64 = 6_000;

/// Protocol step at which the fault occurs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    Claim,
    Store,
    Grant,
    Call,
    Takeover,
    Replacement,
    HandOver,
    Copy,
}

const AT: [At; 8] = [
    At::Claim,
    At::Store,
    At::Grant,
    At::Call,
    At::Takeover,
    At::Replacement,
    At::HandOver,
    At::Copy,
];

impl At {
    const fn leg(self) -> Leg {
        match self {
            Self::Claim => Leg::Claim,
            Self::Store | Self::Copy => Leg::Store,
            Self::Grant => Leg::Grant,
            Self::Call => Leg::Call,
            Self::Takeover | Self::Replacement | Self::HandOver => Leg::Swap,
        }
    }

    /// What starts the step, after the key has run; none if the send of the key does.
    const fn cause(self) -> Option<Step> {
        match self {
            Self::Claim | Self::Store | Self::Grant | Self::Call => None,
            Self::Takeover => Some(Step::Crash(Process::Owner)),
            Self::Replacement | Self::Copy => Some(Step::Crash(Process::Successor)),
            Self::HandOver => Some(Step::Drain(Process::Owner)),
        }
    }
}

/// Faults of the design page, as they reach these protocols.
#[derive(Clone, Copy, Debug)]
enum Fault {
    RequestLost,
    ReplyLost,
    RequestLate,
    ReplyLate,
    RequestRepeated,
    ReplyRepeated,
    Crash(Process),
    Replace(Process),
    Pause(Process),
    Drain(Process),
    BothReplaced,
    OperatorsRace,
    PairCut,
    EntryCut(Process),
    PlatformDown,
    PlatformCut(Process),
    Surge,
    ServiceSlow,
    RetryStorm,
}

const ENTRY_VM: Process = Process::Vm(ENTRY);
const TARGET_VM: Process = Process::Vm(TARGET);
const ROLES: [Process; 4] = [Process::Owner, Process::Successor, ENTRY_VM, TARGET_VM];

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
        for role in ROLES {
            all.extend([
                Self::Crash(role),
                Self::Replace(role),
                Self::Pause(role),
                Self::Drain(role),
                Self::EntryCut(role),
                Self::PlatformCut(role),
            ]);
        }
        all
    }

    /// The steps that the fault consists of.
    fn steps(self, leg: Leg) -> Vec<Step> {
        match self {
            Self::RequestLost => vec![Step::Lose(leg)],
            Self::ReplyLost => vec![Step::Lose(leg.reply())],
            Self::RequestLate => vec![Step::Delay(leg, PAUSE_MS)],
            Self::ReplyLate => vec![Step::Delay(leg.reply(), PAUSE_MS)],
            Self::RequestRepeated => vec![Step::Repeat(leg, PAUSE_MS)],
            Self::ReplyRepeated => vec![Step::Repeat(leg.reply(), PAUSE_MS)],
            Self::Crash(process) => vec![Step::Crash(process)],
            Self::Replace(process) => vec![Step::Replace(process)],
            Self::Pause(process) => vec![Step::Pause(process, PAUSE_MS)],
            Self::Drain(process) => vec![Step::Drain(process)],
            Self::BothReplaced => vec![Step::ReplaceBoth],
            Self::OperatorsRace => vec![
                Step::Crash(Process::Owner),
                Step::Crash(Process::Successor),
                Step::Reassign,
            ],
            Self::PairCut => vec![Step::CutPair],
            Self::EntryCut(process) => vec![Step::CutFrom(ENTRY, process)],
            Self::PlatformDown => vec![Step::PlatformDown],
            Self::PlatformCut(process) => vec![Step::CutPlatform(process)],
            Self::Surge => vec![Step::Shed(TARGET)],
            Self::ServiceSlow => vec![Step::NoAnswer(TARGET)],
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
fn play(at: At, faults: &[(Leg, Moment, Fault)], switch: Safeguards) -> Result<World, String> {
    let mut world = World::new(&Setup::plain(), switch);
    world.run(8_000)?;
    let send = Step::Send {
        key: 0,
        entry: ENTRY,
        target: TARGET,
    };
    if at.cause().is_some() {
        world.apply(&send)?;
        world.run(2_000)?;
    }
    for (leg, moment, fault) in faults {
        world.trigger(*leg, *moment, fault.steps(*leg));
    }
    world.apply(&at.cause().unwrap_or(send))?;
    world.run(14_000)?;
    world.apply(&Step::Send {
        key: 0,
        entry: ENTRY,
        target: 0,
    })?;
    world.run(5_000)?;
    world.apply(&Step::Heal)?;
    world.recover();
    world.run(14_000)?;
    world.apply(&Step::Send {
        key: 0,
        entry: 1,
        target: 2,
    })?;
    world.run(5_000)?;
    Ok(world)
}

/// Guards against a second run, a false "not run" and a slot that stays without a process, for one
/// fault at each moment of each step.
#[rstest]
fn one_fault(#[values(0, 1, 2, 3, 4, 5, 6, 7)] step: usize) {
    let at = AT[step];
    for fault in Fault::all() {
        for moment in MOMENTS {
            let world = play(at, &[(at.leg(), moment, fault)], Safeguards::default());
            let world =
                world.unwrap_or_else(|cause| panic!("{cause}: {at:?} {fault:?} {moment:?}"));
            assert!(
                world.is_triggered(),
                "no such step: {at:?} {fault:?} {moment:?}"
            );
            assert!(
                world.has_recovered(),
                "no owner: {at:?} {fault:?} {moment:?}"
            );
        }
    }
}

/// Guards against the same for a second fault at the compare-and-swap that the first one causes.
#[rstest]
fn two_faults(
    #[values(
        Fault::Crash(Process::Owner),
        Fault::Crash(Process::Successor),
        Fault::Replace(Process::Owner),
        Fault::Pause(Process::Owner),
        Fault::Pause(Process::Successor),
        Fault::Drain(Process::Owner),
        Fault::PairCut
    )]
    first: Fault,
    #[values(At::Store, At::Copy)] at: At,
) {
    let mut occurred = 0;
    for second in Fault::all() {
        for moment in MOMENTS {
            let faults = [
                (Leg::Store, Moment::AfterEffect, first),
                (Leg::Swap, moment, second),
            ];
            let world = play(at, &faults, Safeguards::default());
            let world = world.unwrap_or_else(|cause| panic!("{cause}: {second:?} {moment:?}"));
            assert!(world.has_recovered(), "no owner: {second:?} {moment:?}");
            occurred += usize::from(world.is_triggered());
        }
    }
    println!("{first:?} at {at:?}: both faults occurred in {occurred} cells");
    assert!(occurred > 0, "the second step never occurs");
}

/// Guards against a matrix that misses a protection that is turned off.
#[rstest]
fn matrix_objects_without(
    #[values(
        Safeguard::IncarnationCheck,
        Safeguard::GrantExpiry,
        Safeguard::TakeoverSwap,
        Safeguard::StoreFirst,
        Safeguard::Quarantine
    )]
    mechanism: Safeguard,
) {
    let switch = Safeguards::without(mechanism);
    let mut found = Vec::new();
    for at in AT {
        for fault in Fault::all() {
            for moment in MOMENTS {
                let world = play(at, &[(at.leg(), moment, fault)], switch);
                if let Err(objection) = world {
                    found.push(format!("{objection}: {fault:?} {moment:?} {at:?}"));
                }
            }
        }
    }
    println!(
        "without {mechanism:?}: {} cells, {:?}",
        found.len(),
        found.first()
    );
    assert!(!found.is_empty(), "the matrix missed the defect");
}
