//! Stateful fuzz test of the ticket protocol, with an oracle that counts the runs of each key.
//!
//! Clients resend freely and get a new ticket only after "not run". Messages are duplicated,
//! delayed and lost, processes are replaced while the old one may still be alive, and clocks
//! differ.

use std::collections::HashSet;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::*;
use crate::testing::{find_violation, fuzz_config};

const VM_COUNT: usize = 3;
const KEY_COUNT: usize = 4;
const MAX_RESENDS: u8 = 3;
/// Largest offset of a clock from the true time; two VMs differ by at most twice this.
const MAX_CLOCK_OFFSET_MS: i64 = 30_000;
/// Largest rate error of a clock, fast or slow.
const MAX_CLOCK_DRIFT_PPM: i64 = 500;

#[derive(Clone, Debug)]
struct Setup {
    records: usize,
    /// Clock offset in milliseconds and drift in ppm, by VM.
    clocks: Vec<(i64, i64)>,
}

#[derive(Clone, Debug)]
enum Step {
    /// The client of a key sends its ticket, or after "not run" a new one for the given VM.
    Send(usize, usize),
    Duplicate(usize),
    /// A message arrives; the reply may be lost.
    Deliver(usize, bool),
    /// A process starts a queued call, possibly after a long pause.
    Start(usize, usize),
    Finish(usize, usize, Outcome),
    /// Admission of a process refuses a queued call; the reply may be lost.
    Shed(usize, usize, bool),
    /// Another daemon asks the named process to void the ticket of a key; the reply may be lost.
    Void(usize, bool),
    /// A VM is replaced under the same id. Unless it has exited, the old process keeps working, but
    /// can no longer be reached.
    Replace(usize, bool),
    Advance(u64),
}

#[derive(Clone, Copy, Debug)]
enum Outcome {
    Response,
    LargeResponse,
    NoResponse,
}

#[derive(Debug)]
struct Process {
    vm: usize,
    incarnation: Incarnation,
    table: TicketTable,
    queue: Vec<Ticket>,
    running: Vec<TicketId>,
}

/// All processes, the network, the clients and the oracle.
#[derive(Debug)]
struct Simulation {
    setup: Setup,
    safeguards: Safeguards,
    now_ms: u64,
    processes: Vec<Process>,
    messages: Vec<Ticket>,
    /// Current ticket of each key.
    tickets: Vec<Option<Ticket>>,
    ticket_keys: HashMap<TicketId, usize>,
    runs: HashMap<usize, Vec<TicketId>>,
    not_run: HashSet<TicketId>,
    rng: SmallRng,
}

impl Simulation {
    fn new(setup: &Setup, safeguards: Safeguards) -> Self {
        let mut simulation = Self {
            setup: setup.clone(),
            safeguards,
            now_ms: 1_000_000_000,
            processes: Vec::new(),
            messages: Vec::new(),
            tickets: vec![None; KEY_COUNT],
            ticket_keys: HashMap::new(),
            runs: HashMap::new(),
            not_run: HashSet::new(),
            rng: SmallRng::seed_from_u64(1),
        };
        (0..VM_COUNT).for_each(|vm| simulation.boot(vm));
        simulation
    }

    fn boot(&mut self, vm: usize) {
        let incarnation = self.processes.len() as Incarnation + 1;
        let limits = TicketLimits {
            records: self.setup.records,
            response_bytes: 64,
        };
        let table =
            TicketTable::new(vm_name(vm), incarnation, limits).with_safeguards(self.safeguards);
        self.processes.push(Process {
            vm,
            incarnation,
            table,
            queue: Vec::new(),
            running: Vec::new(),
        });
    }

    fn wall(&self, vm: usize) -> SystemTime {
        let (offset, ppm) = self.setup.clocks[vm];
        let drift = self.now_ms.cast_signed() / 1_000 * ppm / 1_000;
        SystemTime::UNIX_EPOCH
            + Duration::from_millis((self.now_ms.cast_signed() + offset + drift) as u64)
    }

    /// Returns the index of the process that messages to `vm` reach.
    fn newest_process(&self, vm: usize) -> usize {
        let found = self.processes.iter().rposition(|process| process.vm == vm);
        found.expect("every VM has a process")
    }

    fn apply(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Send(key, vm) => self.send(key, vm),
            Step::Duplicate(message) => {
                if let Some(at) = pick_index(message, &self.messages) {
                    self.messages.push(self.messages[at].clone());
                }
            }
            Step::Deliver(message, lost) => {
                if let Some(at) = pick_index(message, &self.messages) {
                    let ticket = self.messages.swap_remove(at);
                    return self.deliver(&ticket, lost);
                }
            }
            Step::Start(process, call) => return self.start(process, call),
            Step::Finish(process, call, outcome) => self.finish(process, call, outcome),
            Step::Shed(process, call, lost) => return self.shed(process, call, lost),
            Step::Void(key, lost) => return self.void(key, lost),
            Step::Replace(vm, exited) => {
                if exited {
                    let process = self.newest_process(vm);
                    self.processes[process].queue.clear();
                    self.processes[process].running.clear();
                }
                self.boot(vm);
            }
            Step::Advance(ms) => self.now_ms += ms,
        }
        Ok(())
    }

    fn send(&mut self, key: usize, vm: usize) {
        let wall = self.wall((vm + 1) % VM_COUNT);
        let incarnation = self.processes[self.newest_process(vm)].incarnation;
        let rng = &mut self.rng;
        let ticket = self.tickets[key]
            .get_or_insert_with(|| Ticket::new(vm_name(vm), incarnation, wall, rng))
            .clone();
        self.ticket_keys.insert(ticket.id, key);
        self.messages.push(ticket);
    }

    fn deliver(&mut self, ticket: &Ticket, lost: bool) -> Result<(), String> {
        let vm = (0..VM_COUNT)
            .find(|vm| vm_name(*vm) == ticket.vm)
            .expect("known vm");
        let (wall, process) = (self.wall(vm), self.newest_process(vm));
        let process = &mut self.processes[process];
        match process.table.admit(wall, ticket, MAX_RESENDS) {
            TicketDecision::Queue => process.queue.push(ticket.clone()),
            TicketDecision::Join => {}
            TicketDecision::Stored(response) => {
                let matches = *response.body == ticket.id.to_be_bytes();
                return matches
                    .then_some(())
                    .ok_or_else(|| "response of another call".into());
            }
            TicketDecision::Void => return self.reply(ticket.id, Execution::NotRun, lost),
            TicketDecision::Refused(refusal) => {
                return self.reply(ticket.id, refusal.execution, lost);
            }
        }
        let records = process.table.stats().records;
        (records <= self.setup.records)
            .then_some(())
            .ok_or_else(|| "too many records".into())
    }

    fn start(&mut self, process: usize, call: usize) -> Result<(), String> {
        let process = process % self.processes.len();
        let wall = self.wall(self.processes[process].vm);
        let chosen = &mut self.processes[process];
        let Some(at) = pick_index(call, &chosen.queue) else {
            return Ok(());
        };
        let id = chosen.queue.swap_remove(at).id;
        if let Err(refusal) = chosen.table.start(wall, id) {
            return self.reply(id, refusal.execution, false);
        }
        chosen.running.push(id);
        let runs = self.runs.entry(self.ticket_keys[&id]).or_default();
        runs.push(id);
        if runs.len() > 1 {
            return Err("second run".into());
        }
        if self.not_run.contains(&id) {
            return Err("run after not-run".into());
        }
        Ok(())
    }

    fn finish(&mut self, process: usize, call: usize, outcome: Outcome) {
        let process = process % self.processes.len();
        let process = &mut self.processes[process];
        let Some(at) = pick_index(call, &process.running) else {
            return;
        };
        let id = process.running.swap_remove(at);
        let body = match outcome {
            Outcome::NoResponse => return process.table.fail(id),
            Outcome::Response => id.to_be_bytes().into(),
            Outcome::LargeResponse => vec![0; MAX_RESPONSE_BYTES + 1].into(),
        };
        let response = StoredResponse {
            body,
            ..StoredResponse::default()
        };
        process.table.finish(id, Some(response));
    }

    fn shed(&mut self, process: usize, call: usize, lost: bool) -> Result<(), String> {
        let process = process % self.processes.len();
        let wall = self.wall(self.processes[process].vm);
        let chosen = &mut self.processes[process];
        let Some(at) = pick_index(call, &chosen.queue) else {
            return Ok(());
        };
        let ticket = chosen.queue.swap_remove(at);
        match chosen.table.void(wall, &ticket) {
            Ok(()) => self.reply(ticket.id, Execution::NotRun, lost),
            Err(refusal) => self.reply(ticket.id, refusal.execution, lost),
        }
    }

    fn void(&mut self, key: usize, lost: bool) -> Result<(), String> {
        let Some(ticket) = self.tickets[key].clone() else {
            return Ok(());
        };
        let vm = (0..VM_COUNT)
            .find(|vm| vm_name(*vm) == ticket.vm)
            .expect("known vm");
        let (wall, process) = (self.wall(vm), self.newest_process(vm));
        match self.processes[process].table.void(wall, &ticket) {
            Ok(()) => self.reply(ticket.id, Execution::NotRun, lost),
            Err(refusal) => self.reply(ticket.id, refusal.execution, lost),
        }
    }

    /// Checks a reply against the oracle and passes it to the client, which drops a ticket that did
    /// not run.
    fn reply(&mut self, id: TicketId, execution: Execution, lost: bool) -> Result<(), String> {
        let key = self.ticket_keys[&id];
        let has_run = self.runs.get(&key).is_some_and(|runs| runs.contains(&id));
        match execution {
            Execution::NotRun if has_run => return Err("not-run after a run".into()),
            Execution::Ran if !has_run => return Err("ran without a run".into()),
            Execution::NotRun => {
                self.not_run.insert(id);
                if !lost
                    && self.tickets[key]
                        .as_ref()
                        .is_some_and(|known| known.id == id)
                {
                    self.tickets[key] = None;
                }
            }
            Execution::Ran | Execution::Unknown => {}
        }
        Ok(())
    }
}

fn vm_name(vm: usize) -> VmId {
    format!("vm-{vm}").into()
}

fn pick_index<T>(any: usize, list: &[T]) -> Option<usize> {
    any.checked_rem(list.len())
}

/// Generates the steps. Their effects are checked by the oracle in [`Simulation`].
#[derive(Debug)]
struct Model;

impl ReferenceStateMachine for Model {
    type State = Setup;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Setup> {
        let clock = (
            -MAX_CLOCK_OFFSET_MS..=MAX_CLOCK_OFFSET_MS,
            -MAX_CLOCK_DRIFT_PPM..=MAX_CLOCK_DRIFT_PPM,
        );
        let clocks = prop::collection::vec(clock, VM_COUNT);
        (prop_oneof![Just(2_usize), Just(100)], clocks)
            .prop_map(|(records, clocks)| Setup { records, clocks })
            .boxed()
    }

    fn transitions(_: &Setup) -> BoxedStrategy<Step> {
        let pick = 0..64_usize;
        let outcome = prop_oneof![
            Just(Outcome::Response),
            Just(Outcome::LargeResponse),
            Just(Outcome::NoResponse)
        ];
        let ms = prop_oneof![0..2_000_u64, 1_000..60_000_u64, 600_000..1_000_000_u64];
        prop_oneof![
            6 => (0..KEY_COUNT, 0..VM_COUNT).prop_map(|(key, vm)| Step::Send(key, vm)),
            2 => pick.clone().prop_map(Step::Duplicate),
            8 => (pick.clone(), any::<bool>())
                .prop_map(|(message, lost)| Step::Deliver(message, lost)),
            6 => (pick.clone(), pick.clone())
                .prop_map(|(process, call)| Step::Start(process, call)),
            3 => (pick.clone(), pick.clone(), outcome)
                .prop_map(|(process, call, outcome)| Step::Finish(process, call, outcome)),
            2 => (pick.clone(), pick, any::<bool>())
                .prop_map(|(process, call, lost)| Step::Shed(process, call, lost)),
            2 => (0..KEY_COUNT, any::<bool>()).prop_map(|(key, lost)| Step::Void(key, lost)),
            1 => (0..VM_COUNT, any::<bool>()).prop_map(|(vm, exited)| Step::Replace(vm, exited)),
            2 => ms.prop_map(Step::Advance),
        ]
        .boxed()
    }

    fn apply(state: Setup, _: &Step) -> Setup {
        state
    }
}

#[derive(Debug)]
struct TicketTest;

impl StateMachineTest for TicketTest {
    type SystemUnderTest = Simulation;
    type Reference = Model;

    fn init_test(setup: &Setup) -> Simulation {
        Simulation::new(setup, Safeguards::default())
    }

    fn apply(mut simulation: Simulation, _: &Setup, step: Step) -> Simulation {
        if let Err(violation) = simulation.apply(&step) {
            panic!("{violation} at {step:?}");
        }
        simulation
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config(400))]

    /// Guards against a second run of a key, and against "not run" for a call that runs, before or
    /// after.
    #[test]
    fn never_runs_twice(sequential 1..120 => TicketTest);
}

/// Guards against an oracle that does not notice when a safeguard is turned off.
#[rstest]
#[case(Safeguard::IncarnationCheck)]
#[case(Safeguard::StartCheck)]
#[case(Safeguard::VoidFinal)]
fn oracle_detects_missing_safeguard(#[case] safeguard: Safeguard) {
    let steps = Model::sequential_strategy(1..120);
    let violation = find_violation(&steps, 3_000, |(setup, steps, _)| {
        let mut simulation = Simulation::new(&setup, Safeguards::without(safeguard));
        steps.iter().try_for_each(|step| simulation.apply(step))
    });
    println!("without {safeguard:?}: {violation}");
}

/// Faults listed in the design document, as steps of the ticket protocol.
fn faults() -> Vec<Step> {
    vec![
        // A resend, a duplicated message, and a lost reply.
        Step::Send(0, 1),
        Step::Duplicate(0),
        Step::Deliver(0, true),
        // An endpoint that sends no response or is slow.
        Step::Finish(0, 0, Outcome::NoResponse),
        // Overload or a drain, with the reply delivered or lost.
        Step::Shed(0, 0, false),
        Step::Shed(0, 0, true),
        Step::Void(0, false),
        Step::Void(0, true),
        // A crash with a replacement, and a replacement of a process that is partitioned.
        Step::Replace(0, true),
        Step::Replace(0, false),
        // A short pause, a pause past the expiry, and one past the removal of the record.
        Step::Advance(5_000),
        Step::Advance(TICKET_LIFETIME.as_millis() as u64),
        Step::Advance(40 * 60_000),
    ]
}

/// Guards against a second run or a false "not run" for every pair of faults at every pair of
/// steps, with a table that is full or not, and with clocks that differ.
#[rstest]
fn two_faults(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] first: usize,
    #[values(1, 100)] records: usize,
    #[values(-MAX_CLOCK_OFFSET_MS, 0, MAX_CLOCK_OFFSET_MS)] offset: i64,
) {
    let send = Step::Send(0, 0);
    let deliver = Step::Deliver(0, false);
    let start = Step::Start(0, 0);
    let finish = Step::Finish(0, 0, Outcome::Response);
    let call = [send, deliver, start, finish];
    let fault_free: Vec<Step> = call.iter().chain(&call).chain(&call).cloned().collect();
    let setup = Setup {
        records,
        clocks: vec![(offset, 0), (0, 0), (0, 0)],
    };
    let faults = faults();
    for early in 0..=fault_free.len() {
        for late in early..=fault_free.len() {
            for second in &faults {
                let mut steps = fault_free.clone();
                steps.insert(late, second.clone());
                steps.insert(early, faults[first].clone());
                let mut simulation = Simulation::new(&setup, Safeguards::default());
                let outcome = steps.iter().try_for_each(|step| simulation.apply(step));
                assert_eq!(outcome, Ok(()), "{steps:?}");
            }
        }
    }
}
