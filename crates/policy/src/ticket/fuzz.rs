//! Stateful fuzz of the ticket protocol against an oracle that counts the runs of each key.
//!
//! Clients resend freely and take a new ticket only after "not run". Messages are duplicated,
//! delayed and lost, processes are replaced while the old one may live on, and clocks differ.

use std::collections::HashSet;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::*;
use crate::testing::{find_violation, fuzz_config};

const VMS: usize = 3;
const KEYS: usize = 4;
const EXTRA: u8 = 3;
/// Clocks of two VMs differ by at most twice this.
const OFFSET_MS: i64 = 30_000;
/// Clocks run fast or slow by at most this.
const DRIFT_PPM: i64 = 500;

#[derive(Clone, Debug)]
struct Setup {
    records: usize,
    clocks: Vec<(i64, i64)>,
}

#[derive(Clone, Debug)]
enum Step {
    /// The client of a key sends its ticket, or a new one for a VM after "not run".
    Send(usize, usize),
    Duplicate(usize),
    /// A message arrives, and its answer may be lost.
    Deliver(usize, bool),
    /// A process takes a call from its queue, maybe after a long pause.
    Start(usize, usize),
    Finish(usize, usize, Outcome),
    /// Admission of a process refuses a queued call, and the answer may be lost.
    Shed(usize, usize, bool),
    /// Another daemon asks the named one to void the ticket of a key; the answer may be lost.
    Void(usize, bool),
    /// A VM is replaced under the same id. Unless it has ended, the old process works, cut off.
    Replace(usize, bool),
    Advance(u64),
}

#[derive(Clone, Copy, Debug)]
enum Outcome {
    Answer,
    LongAnswer,
    NoAnswer,
}

#[derive(Debug)]
struct Process {
    vm: usize,
    incarnation: Incarnation,
    book: TicketTable,
    queue: Vec<Ticket>,
    running: Vec<TicketId>,
}

/// All processes, the network, the clients and the oracle.
#[derive(Debug)]
struct World {
    setup: Setup,
    switch: Safeguards,
    ms: u64,
    processes: Vec<Process>,
    messages: Vec<Ticket>,
    /// Current ticket of each key.
    held: Vec<Option<Ticket>>,
    keys: HashMap<TicketId, usize>,
    runs: HashMap<usize, Vec<TicketId>>,
    not_run: HashSet<TicketId>,
    rng: SmallRng,
}

impl World {
    fn new(setup: &Setup, switch: Safeguards) -> Self {
        let mut world = Self {
            setup: setup.clone(),
            switch,
            ms: 1_000_000_000,
            processes: Vec::new(),
            messages: Vec::new(),
            held: vec![None; KEYS],
            keys: HashMap::new(),
            runs: HashMap::new(),
            not_run: HashSet::new(),
            rng: SmallRng::seed_from_u64(1),
        };
        (0..VMS).for_each(|vm| world.boot(vm));
        world
    }

    fn boot(&mut self, vm: usize) {
        let incarnation = self.processes.len() as Incarnation + 1;
        let limits = TicketLimits {
            records: self.setup.records,
            response_bytes: 64,
        };
        let book = TicketTable::new(name(vm), incarnation, limits).with_switch(self.switch);
        self.processes.push(Process {
            vm,
            incarnation,
            book,
            queue: Vec::new(),
            running: Vec::new(),
        });
    }

    fn wall(&self, vm: usize) -> SystemTime {
        let (offset, ppm) = self.setup.clocks[vm];
        let drift = self.ms.cast_signed() / 1_000 * ppm / 1_000;
        SystemTime::UNIX_EPOCH
            + Duration::from_millis((self.ms.cast_signed() + offset + drift) as u64)
    }

    /// The process that a message to `vm` reaches.
    fn newest(&self, vm: usize) -> usize {
        let found = self.processes.iter().rposition(|process| process.vm == vm);
        found.expect("every vm has a process")
    }

    fn apply(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Send(key, vm) => self.send(key, vm),
            Step::Duplicate(message) => {
                if let Some(at) = index(message, &self.messages) {
                    self.messages.push(self.messages[at].clone());
                }
            }
            Step::Deliver(message, lose) => {
                if let Some(at) = index(message, &self.messages) {
                    let ticket = self.messages.swap_remove(at);
                    return self.deliver(&ticket, lose);
                }
            }
            Step::Start(process, call) => return self.start(process, call),
            Step::Finish(process, call, outcome) => self.finish(process, call, outcome),
            Step::Shed(process, call, lose) => return self.shed(process, call, lose),
            Step::Void(key, lose) => return self.void(key, lose),
            Step::Replace(vm, ended) => {
                if ended {
                    let process = self.newest(vm);
                    self.processes[process].queue.clear();
                    self.processes[process].running.clear();
                }
                self.boot(vm);
            }
            Step::Advance(ms) => self.ms += ms,
        }
        Ok(())
    }

    fn send(&mut self, key: usize, vm: usize) {
        let wall = self.wall((vm + 1) % VMS);
        let incarnation = self.processes[self.newest(vm)].incarnation;
        let rng = &mut self.rng;
        let ticket = self.held[key]
            .get_or_insert_with(|| Ticket::new(name(vm), incarnation, wall, rng))
            .clone();
        self.keys.insert(ticket.id, key);
        self.messages.push(ticket);
    }

    fn deliver(&mut self, ticket: &Ticket, lose: bool) -> Result<(), String> {
        let vm = (0..VMS)
            .find(|vm| name(*vm) == ticket.vm)
            .expect("known vm");
        let (wall, process) = (self.wall(vm), self.newest(vm));
        let process = &mut self.processes[process];
        match process.book.admit(wall, ticket, EXTRA) {
            TicketDecision::Queue => process.queue.push(ticket.clone()),
            TicketDecision::Join => {}
            TicketDecision::Stored(answer) => {
                let own = *answer.body == ticket.id.to_be_bytes();
                return own
                    .then_some(())
                    .ok_or_else(|| "answer of another call".into());
            }
            TicketDecision::Void => return self.answer(ticket.id, Execution::NotRun, lose),
            TicketDecision::Refused(refusal) => {
                return self.answer(ticket.id, refusal.execution, lose);
            }
        }
        let held = process.book.stats().records;
        (held <= self.setup.records)
            .then_some(())
            .ok_or_else(|| "too many records".into())
    }

    fn start(&mut self, process: usize, call: usize) -> Result<(), String> {
        let process = process % self.processes.len();
        let wall = self.wall(self.processes[process].vm);
        let chosen = &mut self.processes[process];
        let Some(at) = index(call, &chosen.queue) else {
            return Ok(());
        };
        let id = chosen.queue.swap_remove(at).id;
        if let Err(refusal) = chosen.book.start(wall, id) {
            return self.answer(id, refusal.execution, false);
        }
        chosen.running.push(id);
        let runs = self.runs.entry(self.keys[&id]).or_default();
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
        let Some(at) = index(call, &process.running) else {
            return;
        };
        let id = process.running.swap_remove(at);
        let body = match outcome {
            Outcome::NoAnswer => return process.book.fail(id),
            Outcome::Answer => id.to_be_bytes().into(),
            Outcome::LongAnswer => vec![0; MAX_RESPONSE_BYTES + 1].into(),
        };
        let answer = StoredResponse {
            body,
            ..StoredResponse::default()
        };
        process.book.finish(id, Some(answer));
    }

    fn shed(&mut self, process: usize, call: usize, lose: bool) -> Result<(), String> {
        let process = process % self.processes.len();
        let wall = self.wall(self.processes[process].vm);
        let chosen = &mut self.processes[process];
        let Some(at) = index(call, &chosen.queue) else {
            return Ok(());
        };
        let ticket = chosen.queue.swap_remove(at);
        match chosen.book.void(wall, &ticket) {
            Ok(()) => self.answer(ticket.id, Execution::NotRun, lose),
            Err(refusal) => self.answer(ticket.id, refusal.execution, lose),
        }
    }

    fn void(&mut self, key: usize, lose: bool) -> Result<(), String> {
        let Some(ticket) = self.held[key].clone() else {
            return Ok(());
        };
        let vm = (0..VMS)
            .find(|vm| name(*vm) == ticket.vm)
            .expect("known vm");
        let (wall, process) = (self.wall(vm), self.newest(vm));
        match self.processes[process].book.void(wall, &ticket) {
            Ok(()) => self.answer(ticket.id, Execution::NotRun, lose),
            Err(refusal) => self.answer(ticket.id, refusal.execution, lose),
        }
    }

    /// Checks an answer and gives it to the client, which drops a ticket that did not run.
    fn answer(&mut self, id: TicketId, ran: Execution, lose: bool) -> Result<(), String> {
        let key = self.keys[&id];
        let has_run = self.runs.get(&key).is_some_and(|runs| runs.contains(&id));
        match ran {
            Execution::NotRun if has_run => return Err("not-run after a run".into()),
            Execution::Ran if !has_run => return Err("ran without a run".into()),
            Execution::NotRun => {
                self.not_run.insert(id);
                if !lose && self.held[key].as_ref().is_some_and(|held| held.id == id) {
                    self.held[key] = None;
                }
            }
            Execution::Ran | Execution::Unknown => {}
        }
        Ok(())
    }
}

fn name(vm: usize) -> VmId {
    format!("vm-{vm}").into()
}

fn index<T>(any: usize, list: &[T]) -> Option<usize> {
    any.checked_rem(list.len())
}

/// Generates steps. The model itself is the oracle in [`World`].
#[derive(Debug)]
struct Model;

impl ReferenceStateMachine for Model {
    type State = Setup;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Setup> {
        let clock = (-OFFSET_MS..=OFFSET_MS, -DRIFT_PPM..=DRIFT_PPM);
        let clocks = prop::collection::vec(clock, VMS);
        (prop_oneof![Just(2_usize), Just(100)], clocks)
            .prop_map(|(records, clocks)| Setup { records, clocks })
            .boxed()
    }

    fn transitions(_: &Setup) -> BoxedStrategy<Step> {
        let pick = 0..64_usize;
        let outcome = prop_oneof![
            Just(Outcome::Answer),
            Just(Outcome::LongAnswer),
            Just(Outcome::NoAnswer)
        ];
        let ms = prop_oneof![0..2_000_u64, 1_000..60_000_u64, 600_000..1_000_000_u64];
        prop_oneof![
            6 => (0..KEYS, 0..VMS).prop_map(|(key, vm)| Step::Send(key, vm)),
            2 => pick.clone().prop_map(Step::Duplicate),
            8 => (pick.clone(), any::<bool>())
                .prop_map(|(message, lose)| Step::Deliver(message, lose)),
            6 => (pick.clone(), pick.clone())
                .prop_map(|(process, call)| Step::Start(process, call)),
            3 => (pick.clone(), pick.clone(), outcome)
                .prop_map(|(process, call, outcome)| Step::Finish(process, call, outcome)),
            2 => (pick.clone(), pick, any::<bool>())
                .prop_map(|(process, call, lose)| Step::Shed(process, call, lose)),
            2 => (0..KEYS, any::<bool>()).prop_map(|(key, lose)| Step::Void(key, lose)),
            1 => (0..VMS, any::<bool>()).prop_map(|(vm, ended)| Step::Replace(vm, ended)),
            2 => ms.prop_map(Step::Advance),
        ]
        .boxed()
    }

    fn apply(state: Setup, _: &Step) -> Setup {
        state
    }
}

#[derive(Debug)]
struct Tickets;

impl StateMachineTest for Tickets {
    type SystemUnderTest = World;
    type Reference = Model;

    fn init_test(setup: &Setup) -> World {
        World::new(setup, Safeguards::default())
    }

    fn apply(mut world: World, _: &Setup, step: Step) -> World {
        if let Err(objection) = world.apply(&step) {
            panic!("{objection} at {step:?}");
        }
        world
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config(400))]

    /// Guards against a second run of a key, and against "not run" for a call that runs.
    #[test]
    fn never_runs_twice(sequential 1..120 => Tickets);
}

/// Guards against an oracle that misses a protection that is turned off.
#[rstest]
#[case(Safeguard::IncarnationCheck)]
#[case(Safeguard::StartCheck)]
#[case(Safeguard::VoidFinal)]
fn oracle_objects_without(#[case] mechanism: Safeguard) {
    let steps = Model::sequential_strategy(1..120);
    let found = find_violation(&steps, 3_000, |(setup, steps, _)| {
        let mut world = World::new(&setup, Safeguards::without(mechanism));
        steps.iter().try_for_each(|step| world.apply(step))
    });
    println!("without {mechanism:?}: {found}");
}

/// Faults of the design page, as they reach the ticket protocol.
fn faults() -> Vec<Step> {
    vec![
        // A resend, a repeated message, and a lost one.
        Step::Send(0, 1),
        Step::Duplicate(0),
        Step::Deliver(0, true),
        // A silent or slow endpoint.
        Step::Finish(0, 0, Outcome::NoAnswer),
        // Overload or a drain, with the answer delivered or lost.
        Step::Shed(0, 0, false),
        Step::Shed(0, 0, true),
        Step::Void(0, false),
        Step::Void(0, true),
        // A crash with a replacement, and a replacement of a process that is cut off.
        Step::Replace(0, true),
        Step::Replace(0, false),
        // A pause, a pause beyond the expiry, and one beyond the removal of the record.
        Step::Advance(5_000),
        Step::Advance(TICKET_LIFETIME.as_millis() as u64),
        Step::Advance(40 * 60_000),
    ]
}

/// Guards against a second run or a false "not run" for every two faults at every two steps, with
/// a free and with a full book, and with clocks that differ.
#[rstest]
fn two_faults(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] first: usize,
    #[values(1, 100)] records: usize,
    #[values(-OFFSET_MS, 0, OFFSET_MS)] offset: i64,
) {
    let send = Step::Send(0, 0);
    let deliver = Step::Deliver(0, false);
    let start = Step::Start(0, 0);
    let finish = Step::Finish(0, 0, Outcome::Answer);
    let once = [send, deliver, start, finish];
    let plain: Vec<Step> = once.iter().chain(&once).chain(&once).cloned().collect();
    let setup = Setup {
        records,
        clocks: vec![(offset, 0), (0, 0), (0, 0)],
    };
    let faults = faults();
    for early in 0..=plain.len() {
        for late in early..=plain.len() {
            for second in &faults {
                let mut steps = plain.clone();
                steps.insert(late, second.clone());
                steps.insert(early, faults[first].clone());
                let mut world = World::new(&setup, Safeguards::default());
                let outcome = steps.iter().try_for_each(|step| world.apply(step));
                assert_eq!(outcome, Ok(()), "{steps:?}");
            }
        }
    }
}
