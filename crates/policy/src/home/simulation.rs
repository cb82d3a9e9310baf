//! Simulation in which the home protocol and the ticket protocol are tested together.
//!
//! A [`Simulation`] holds the processes, the network, the platform and the clients. Its oracle
//! records the runs of each key and checks that no key runs twice, that "not run" is true, and that
//! no two processes serve one slot at the same time.

use std::collections::{BTreeMap, HashSet};

use super::*;
use crate::id::{Incarnation, TicketId};
use crate::refusal::Execution;
use crate::ticket::{StoredResponse, Ticket, TicketDecision, TicketLimits, TicketTable};

pub(super) const VM_COUNT: usize = 4;
pub(super) const KEY_COUNT: usize = 3;
const EXTRA_ATTEMPTS: u8 = 2;
const TICK_INTERVAL_MS: u64 = 200;
const CALL_TIMEOUT_MS: u64 = 3_000;
const SERVICE: &str = "despacho";

#[derive(Clone, Debug)]
pub(super) struct Setup {
    /// Clock offset in milliseconds and drift in ppm, by VM.
    pub(super) clocks: Vec<(i64, i64)>,
    pub(super) seed: u64,
}

impl Setup {
    /// Returns a setup with equal clocks.
    pub(super) fn plain() -> Self {
        Self {
            clocks: vec![(0, 0); VM_COUNT],
            seed: 1,
        }
    }
}

/// Messages that a fault can drop, delay or duplicate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageKind {
    Claim,
    ClaimReply,
    Store,
    StoreReply,
    Grant,
    GrantReply,
    Call,
    CallReply,
    Swap,
    SwapReply,
}

impl MessageKind {
    pub(super) const fn reply(self) -> Self {
        match self {
            Self::Claim | Self::ClaimReply => Self::ClaimReply,
            Self::Store | Self::StoreReply => Self::StoreReply,
            Self::Grant | Self::GrantReply => Self::GrantReply,
            Self::Call | Self::CallReply => Self::CallReply,
            Self::Swap | Self::SwapReply => Self::SwapReply,
        }
    }
}

/// Process that a step applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessRef {
    Owner,
    Successor,
    Vm(usize),
}

#[derive(Clone, Debug)]
pub(super) enum Step {
    /// The client sends the key to `entry`, which issues a ticket for `target`.
    Send {
        key: usize,
        entry: usize,
        target: usize,
    },
    /// A network element between client and entry sends the key again, possibly to another entry.
    Duplicate {
        key: usize,
        entry: usize,
        target: usize,
    },
    /// Time passes, in milliseconds.
    Run(u64),
    Pause(ProcessRef, u64),
    Crash(ProcessRef),
    /// Crashes the process if it is alive, and starts a new one under the same VM id.
    Replace(ProcessRef),
    ReplaceBoth,
    Drain(ProcessRef),
    /// Cuts the link between a VM and a process.
    CutFrom(usize, ProcessRef),
    /// Cuts the link between a process and the platform.
    CutPlatform(ProcessRef),
    /// Cuts the links of all processes to the platform.
    PlatformDown,
    /// Cuts the link between the owner and the successor of the current slot.
    CutPair,
    /// Restores all links.
    Heal,
    /// Replaces the processes that have exited.
    Recover,
    /// Loses the next message of a kind.
    Lose(MessageKind),
    /// Delivers the next message of a kind a second time, later by the given milliseconds.
    Repeat(MessageKind, u64),
    /// Delays the next message of a kind by the given milliseconds.
    Delay(MessageKind, u64),
    /// Admission of a VM refuses the next queued call, which voids its ticket.
    Shed(usize),
    /// The endpoint of a VM sends no response to the next call.
    NoAnswer(usize),
    /// Two operators confirm at the same time that both holders have exited, if they have.
    Reassign,
}

#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent faults of a test VM"
)]
struct Vm {
    name: Arc<str>,
    alive: bool,
    incarnation: Incarnation,
    home: HomeNode,
    table: TicketTable,
    paused_until: u64,
    draining: bool,
    shed: bool,
    no_response: bool,
    next_tick: u64,
    /// Whether its member list reflects the latest change of processes and links.
    members_current: bool,
}

/// A call of the client that an entry daemon handles.
#[derive(Debug)]
struct Call {
    key: String,
    entry: (usize, Incarnation),
    target: usize,
    resend: bool,
    ticket: Option<Ticket>,
    voided: u8,
    /// Request without a reply yet. Only its first reply counts, as in a remote procedure call.
    awaiting: Option<MessageKind>,
    sent: bool,
    deadline: u64,
}

#[derive(Clone, Debug)]
enum Packet {
    Event(Event),
    ClaimReply(u64, ClaimReply),
    Claim(u64, Claim),
    Call(u64, Ticket),
    Decision(u64, TicketId, TicketDecision),
    SwapRequest(u64, Revision, HomeMap),
    Read,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Node {
    Vm(usize, Incarnation),
    Platform,
}

/// A packet in flight.
#[derive(Clone, Debug)]
struct InFlight {
    from: Node,
    to: Node,
    packet: Packet,
    kind: Option<MessageKind>,
}

/// Moment of a protocol step at which a fault occurs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Moment {
    BeforeSend,
    AfterSend,
    AfterEffect,
    AfterAnswer,
}

#[derive(Debug)]
pub(super) struct Simulation {
    setup: Setup,
    safeguards: Safeguards,
    start: Instant,
    now_ms: u64,
    vms: Vec<Vm>,
    /// Packets in flight by time of delivery in milliseconds and number.
    network: BTreeMap<(u64, u64), InFlight>,
    /// Last number given to a call or packet.
    last_number: u64,
    cut_links: HashSet<(usize, usize)>,
    platform_cut: HashSet<usize>,
    platform_up: bool,
    stored_map: Option<HomeMap>,
    revision: Revision,
    /// Kinds whose next message is lost.
    lose: Vec<MessageKind>,
    /// Kinds whose next message is delayed, and by how many milliseconds.
    delay: Vec<(MessageKind, u64)>,
    /// Kinds whose next message is delivered twice, and how many milliseconds apart.
    repeat: Vec<(MessageKind, u64)>,
    /// Faults that have not occurred yet.
    pending_faults: Vec<(MessageKind, Moment, Vec<Step>)>,
    /// Whether a fault had not occurred by the time of the recovery.
    fault_missed: bool,
    calls: BTreeMap<u64, Call>,
    /// Generation and time of the first send of each key.
    keys: Vec<Option<(u64, u64)>>,
    ticket_keys: HashMap<TicketId, String>,
    /// Key of the last send.
    last: usize,
    runs: BTreeMap<String, Vec<TicketId>>,
    not_run: HashSet<TicketId>,
    pub(super) outcomes: Vec<Execution>,
    sends: HashMap<String, u32>,
    /// Calls with the outcome "not run", and calls that started a run.
    not_run_calls: HashSet<u64>,
    started_calls: HashSet<u64>,
    rng: SmallRng,
}

impl Simulation {
    pub(super) fn new(setup: &Setup, safeguards: Safeguards) -> Self {
        let mut simulation = Self {
            setup: setup.clone(),
            safeguards,
            start: Instant::now(),
            now_ms: 100_000_000,
            vms: Vec::new(),
            network: BTreeMap::new(),
            last_number: 0,
            cut_links: HashSet::new(),
            platform_cut: HashSet::new(),
            platform_up: true,
            stored_map: None,
            revision: 0,
            lose: Vec::new(),
            delay: Vec::new(),
            repeat: Vec::new(),
            pending_faults: Vec::new(),
            fault_missed: false,
            calls: BTreeMap::new(),
            keys: vec![None; KEY_COUNT],
            ticket_keys: HashMap::new(),
            last: 0,
            runs: BTreeMap::new(),
            not_run: HashSet::new(),
            outcomes: Vec::new(),
            sends: HashMap::new(),
            not_run_calls: HashSet::new(),
            started_calls: HashSet::new(),
            rng: SmallRng::seed_from_u64(setup.seed),
        };
        for vm in 0..VM_COUNT {
            let booted = simulation.boot(vm, 1);
            simulation.vms.push(booted);
        }
        let mut map = HomeMap::initial(&simulation.members(0)).expect("all members are eligible");
        // Slots without keys belong to a process outside the simulation, which saves time.
        for slot in &mut map.slots[KEY_COUNT..] {
            slot.owner = Holder::new("vm-elsewhere", 1);
            slot.successor = None;
        }
        simulation.revision = 1;
        simulation.stored_map = Some(map.with_revision(1));
        simulation
    }

    fn boot(&self, vm: usize, incarnation: Incarnation) -> Vm {
        let name: Arc<str> = format!("vm-{vm}").into();
        let me = Holder::new(Arc::clone(&name), incarnation);
        let seed = vm as u64 + incarnation * 10;
        Vm {
            alive: true,
            incarnation,
            home: HomeNode::new(me, HomeLimits::default(), seed).with_safeguards(self.safeguards),
            table: TicketTable::new(Arc::clone(&name), incarnation, TicketLimits::default())
                .with_safeguards(self.safeguards),
            name,
            paused_until: 0,
            draining: false,
            shed: false,
            no_response: false,
            next_tick: 0,
            members_current: false,
        }
    }

    fn now(&self, vm: usize) -> Instant {
        let (_, ppm) = self.setup.clocks[vm];
        let ms = self.now_ms.cast_signed() + self.now_ms.cast_signed() / 1_000 * ppm / 1_000;
        self.start + Duration::from_millis(ms as u64)
    }

    fn wall(&self, vm: usize) -> SystemTime {
        let (offset, _) = self.setup.clocks[vm];
        SystemTime::UNIX_EPOCH + Duration::from_millis((self.now_ms.cast_signed() + offset) as u64)
    }

    fn node(&self, vm: usize) -> Node {
        Node::Vm(vm, self.vms[vm].incarnation)
    }

    fn linked(&self, from: Node, to: Node) -> bool {
        match (from, to) {
            (Node::Vm(a, _), Node::Vm(b, _)) => !self.cut_links.contains(&(a.min(b), a.max(b))),
            (Node::Vm(a, _), Node::Platform) | (Node::Platform, Node::Vm(a, _)) => {
                self.platform_up && !self.platform_cut.contains(&a)
            }
            (Node::Platform, Node::Platform) => true,
        }
    }

    /// Returns the members as gossip reports them to a VM.
    fn members(&self, seen_by: usize) -> Vec<HomeMember> {
        let member = |(at, vm): (usize, &Vm)| {
            let reached = self.linked(self.node(seen_by), self.node(at));
            let eligibility = match () {
                () if vm.draining => Eligibility::Draining,
                () if vm.alive && reached => Eligibility::Eligible,
                () => Eligibility::Suspect,
            };
            HomeMember {
                holder: Holder::new(Arc::clone(&vm.name), vm.incarnation),
                data_centre: ["madrid", "chia"][at % 2].into(),
                eligibility,
            }
        };
        self.vms.iter().enumerate().map(member).collect()
    }

    /// Returns the name of a key, chosen so that its slot is the number of the key.
    fn key_name(&self, key: usize) -> String {
        let generation = self.keys[key].map_or(0, |(generation, _)| generation);
        let names = (0..).map(|number| format!("key-{key}-{generation}-{number}"));
        let found = { names }.find(|name| slot_of(SERVICE, name) == key);
        found.expect("some name has the slot")
    }

    /// Returns the slot of the key that was sent last.
    const fn current_slot(&self) -> usize {
        self.last
    }

    fn resolve(&self, process: ProcessRef) -> usize {
        let map = self.stored_map.as_ref().expect("the map exists");
        let holders = &map.slots[self.current_slot()];
        let holder = match process {
            ProcessRef::Vm(vm) => return vm % VM_COUNT,
            ProcessRef::Owner => &holders.owner,
            ProcessRef::Successor => holders.successor.as_ref().unwrap_or(&holders.owner),
        };
        let found = self.vms.iter().position(|vm| vm.name == holder.vm);
        found.expect("holders are known")
    }

    pub(super) fn apply(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Send { key, entry, target } => self.send(key, entry, target, false),
            Step::Duplicate { key, entry, target } => {
                if self.keys[key].is_some() {
                    self.send(key, entry, target, true);
                }
            }
            Step::Run(ms) => return self.run(ms),
            Step::Pause(process, ms) => {
                let vm = self.resolve(process);
                self.vms[vm].paused_until = self.now_ms + ms;
            }
            Step::Crash(process) => self.crash(self.resolve(process)),
            Step::Replace(process) => self.replace(self.resolve(process)),
            Step::ReplaceBoth => {
                let both = [ProcessRef::Owner, ProcessRef::Successor].map(|one| self.resolve(one));
                for vm in both {
                    self.replace(vm);
                }
            }
            Step::Drain(process) => {
                let vm = self.resolve(process);
                let others = self.vms.iter().filter(|vm| vm.alive && !vm.draining);
                if others.count() > 2 && self.vms[vm].alive {
                    self.vms[vm].draining = true;
                    self.handle(vm, Event::Drain);
                }
            }
            Step::PlatformDown => self.platform_up = false,
            Step::CutPair => {
                let [a, b] =
                    [ProcessRef::Owner, ProcessRef::Successor].map(|one| self.resolve(one));
                self.cut_link(a, b);
            }
            Step::CutFrom(vm, process) => self.cut_link(vm, self.resolve(process)),
            Step::CutPlatform(process) => {
                self.platform_cut.insert(self.resolve(process));
            }
            Step::Heal => {
                self.cut_links.clear();
                self.platform_cut.clear();
                self.platform_up = true;
            }
            Step::Recover => self.recover(),
            Step::Lose(kind) => self.lose.push(kind),
            Step::Repeat(kind, ms) => self.repeat.push((kind, ms)),
            Step::Delay(kind, ms) => self.delay.push((kind, ms)),
            Step::Shed(target) => self.vms[target % VM_COUNT].shed = true,
            Step::NoAnswer(target) => self.vms[target % VM_COUNT].no_response = true,
            Step::Reassign => self.reassign(),
        }
        for vm in &mut self.vms {
            vm.members_current = false;
        }
        Ok(())
    }

    fn reassign(&mut self) {
        let slot = self.current_slot();
        let holders = &self.stored_map.as_ref().expect("the map exists").slots[slot];
        let epoch = holders.epoch;
        let is_running = |holder: &Holder| {
            let same = |vm: &&Vm| vm.name == holder.vm && vm.incarnation == holder.incarnation;
            self.vms.iter().find(same).is_some_and(|vm| vm.alive)
        };
        if is_running(&holders.owner) || holders.successor.as_ref().is_some_and(is_running) {
            return;
        }
        for vm in (0..VM_COUNT)
            .filter(|vm| self.vms[*vm].alive)
            .take(2)
            .collect::<Vec<_>>()
        {
            self.handle(vm, Event::Reassign(slot, epoch));
        }
    }

    fn cut_link(&mut self, a: usize, b: usize) {
        if a != b {
            self.cut_links.insert((a.min(b), a.max(b)));
        }
    }

    fn crash(&mut self, vm: usize) {
        self.vms[vm].alive = false;
        let incarnation = self.vms[vm].incarnation;
        self.calls.retain(|_, call| call.entry != (vm, incarnation));
    }

    fn replace(&mut self, vm: usize) {
        self.crash(vm);
        self.vms[vm] = self.boot(vm, self.vms[vm].incarnation + 1);
    }

    // Clients and entries.

    fn send(&mut self, key: usize, entry: usize, target: usize, duplicate: bool) {
        let (entry, target) = (entry % VM_COUNT, target % VM_COUNT);
        self.last = key;
        let retention_ms = KEY_RETENTION.as_millis() as u64;
        // A client resends a key for 15 minutes at most, and marks the call as a resend.
        let resend = self.keys[key].is_some_and(|(_, first)| self.now_ms - first <= retention_ms);
        if !resend {
            let generation = self.keys[key].map_or(0, |(generation, _)| generation + 1);
            self.keys[key] = Some((generation, self.now_ms));
        }
        if !self.vms[entry].alive {
            return;
        }
        let call = Call {
            key: self.key_name(key),
            entry: (entry, self.vms[entry].incarnation),
            target,
            resend: resend && !duplicate,
            ticket: None,
            voided: 0,
            awaiting: None,
            sent: false,
            deadline: self.now_ms + CALL_TIMEOUT_MS,
        };
        *self.sends.entry(call.key.clone()).or_default() += 1;
        self.last_number += 1;
        let id = self.last_number;
        self.calls.insert(id, call);
        self.send_claim(id, None);
    }

    fn send_claim(&mut self, id: u64, replaces: Option<TicketId>) {
        let call = &self.calls[&id];
        let (entry, target) = (call.entry.0, call.target);
        let slot = slot_of(SERVICE, &call.key);
        let Some(map) = self.vms[entry].home.map() else {
            return;
        };
        let owner = map.slots[slot].owner.clone();
        let wall = self.wall(entry);
        let incarnation = self.vms[target].incarnation;
        let name = Arc::clone(&self.vms[target].name);
        let claim = Claim {
            service: SERVICE.into(),
            key: call.key.as_str().into(),
            ticket: Ticket::new(name, incarnation, wall, &mut self.rng),
            replaces,
            extra_attempts: EXTRA_ATTEMPTS,
        };
        let to = self.address(&owner);
        if let Some(call) = self.calls.get_mut(&id) {
            call.awaiting = Some(MessageKind::Claim);
        }
        self.post(
            self.node(entry),
            to,
            Packet::Claim(id, claim),
            MessageKind::Claim,
        );
    }

    fn address(&self, holder: &Holder) -> Node {
        let vm = self.vms.iter().position(|vm| vm.name == holder.vm);
        Node::Vm(vm.expect("holders are known"), holder.incarnation)
    }

    /// Handles the reply to a claim at the entry.
    fn handle_claim_reply(&mut self, id: u64, reply: &ClaimReply) -> Result<(), String> {
        let Some(call) = self.calls.get_mut(&id) else {
            return Ok(());
        };
        if call
            .awaiting
            .take_if(|kind| *kind == MessageKind::Claim)
            .is_none()
        {
            return Ok(());
        }
        match reply {
            ClaimReply::Unavailable(_) => return self.end_call(id, None),
            ClaimReply::Stored(ticket) | ClaimReply::Found(ticket) => {
                if call
                    .ticket
                    .as_ref()
                    .is_some_and(|known| known.id == ticket.id)
                {
                    // The replacements are used up, and the ticket stays void.
                    return self.end_call(id, Some(Execution::NotRun));
                }
                call.ticket = Some(ticket.clone());
                call.sent = true;
                call.awaiting = Some(MessageKind::Call);
                let (key, entry) = (call.key.clone(), call.entry);
                self.ticket_keys.insert(ticket.id, key);
                let entry = Node::Vm(entry.0, entry.1);
                let to = self.address(&Holder::new(Arc::clone(&ticket.vm), 0));
                let Node::Vm(vm, _) = to else {
                    return Ok(());
                };
                // A connection reaches the process that currently has the address.
                let packet = Packet::Call(id, ticket.clone());
                self.post(entry, self.node(vm), packet, MessageKind::Call);
            }
        }
        Ok(())
    }

    fn apply_decision(
        &mut self,
        id: u64,
        ticket: TicketId,
        decision: &TicketDecision,
    ) -> Result<(), String> {
        let refused = matches!(decision, TicketDecision::Refused(refusal) if refusal.execution == Execution::NotRun);
        if refused || *decision == TicketDecision::Void {
            self.check_not_run(ticket)?;
        }
        let reply = |call: &mut Call| {
            let current = call.ticket.as_ref().is_some_and(|known| known.id == ticket);
            current
                && call
                    .awaiting
                    .take_if(|kind| *kind == MessageKind::Call)
                    .is_some()
        };
        if !self.calls.get_mut(&id).is_some_and(reply) {
            return Ok(());
        }
        match decision {
            TicketDecision::Void => {
                let Some(call) = self.calls.get_mut(&id) else {
                    return Ok(());
                };
                call.voided += 1;
                if call.voided > EXTRA_ATTEMPTS {
                    return self.end_call(id, Some(Execution::NotRun));
                }
                self.send_claim(id, Some(ticket));
            }
            TicketDecision::Queue | TicketDecision::Join => {}
            TicketDecision::Stored(response) => {
                if *response.body != ticket.to_be_bytes() {
                    return Err("response of another call".into());
                }
                return self.end_call(id, Some(Execution::Ran));
            }
            TicketDecision::Refused(refusal) => return self.end_call(id, Some(refusal.execution)),
        }
        Ok(())
    }

    fn check_not_run(&mut self, ticket: TicketId) -> Result<(), String> {
        self.not_run.insert(ticket);
        let ran = self.runs.values().flatten().any(|run| *run == ticket);
        if ran {
            Err("not-run after a run".into())
        } else {
            Ok(())
        }
    }

    /// Reports the outcome of a call to the client. None means that no process served the slot.
    ///
    /// "Not run" is a statement about this call: it has started nothing and never will. It is also
    /// one about the key if neither the client nor a network element has sent the key again
    /// meanwhile.
    fn end_call(&mut self, id: u64, outcome: Option<Execution>) -> Result<(), String> {
        let Some(call) = self.calls.remove(&id) else {
            return Ok(());
        };
        let execution = outcome.unwrap_or(if call.resend {
            Execution::Unknown
        } else {
            Execution::NotRun
        });
        self.outcomes.push(execution);
        if execution != Execution::NotRun {
            return Ok(());
        }
        self.not_run_calls.insert(id);
        let started = self.started_calls.contains(&id);
        let alone = self.sends.get(&call.key) == Some(&1);
        if started || alone && self.runs.contains_key(&call.key) {
            return Err("not-run after a run of the key".into());
        }
        Ok(())
    }

    // Network.

    /// Schedules faults for the given moment of the next message of a kind.
    pub(super) fn schedule_faults(&mut self, kind: MessageKind, moment: Moment, steps: Vec<Step>) {
        self.pending_faults.push((kind, moment, steps));
    }

    /// Returns whether every fault occurred before the recovery.
    pub(super) const fn all_faults_occurred(&self) -> bool {
        !self.fault_missed
    }

    fn fire_faults(&mut self, kind: MessageKind, moment: Moment) {
        let found =
            |(at, when, _): &(MessageKind, Moment, Vec<Step>)| *at == kind && *when == moment;
        while let Some(at) = self.pending_faults.iter().position(found) {
            let (_, _, steps) = self.pending_faults.swap_remove(at);
            for step in steps {
                self.apply(&step)
                    .expect("a fault does not advance the time");
            }
        }
    }

    fn post(&mut self, from: Node, to: Node, packet: Packet, kind: MessageKind) {
        self.fire_faults(kind, Moment::BeforeSend);
        if let Node::Vm(vm, incarnation) = from
            && (!self.vms[vm].alive || self.vms[vm].incarnation != incarnation)
        {
            return;
        }
        if let Some(at) = self.lose.iter().position(|lost| *lost == kind) {
            self.lose.swap_remove(at);
            return;
        }
        if !self.linked(from, to) {
            return;
        }
        let delay = self.delay.iter().position(|(delayed, _)| *delayed == kind);
        let delay = delay.map_or(0, |at| self.delay.swap_remove(at).1);
        let deliver_at = self.now_ms + self.rng.random_range(1..50) + delay;
        let in_flight = InFlight {
            from,
            to,
            packet,
            kind: Some(kind),
        };
        if let Some(at) = self.repeat.iter().position(|(again, _)| *again == kind) {
            let second_delivery_at = deliver_at + self.repeat.swap_remove(at).1;
            self.enqueue(second_delivery_at, in_flight.clone());
        }
        self.enqueue(deliver_at, in_flight);
        self.fire_faults(kind, Moment::AfterSend);
    }

    fn enqueue(&mut self, deliver_at: u64, in_flight: InFlight) {
        self.last_number += 1;
        self.network
            .insert((deliver_at, self.last_number), in_flight);
    }

    /// Posts a read or a watch event, which only cut links affect.
    fn post_without_faults(&mut self, delay: u64, from: Node, to: Node, packet: Packet) {
        if self.linked(from, to) {
            let in_flight = InFlight {
                from,
                to,
                packet,
                kind: None,
            };
            self.enqueue(self.now_ms + delay, in_flight);
        }
    }

    pub(super) fn run(&mut self, ms: u64) -> Result<(), String> {
        let end = self.now_ms + ms;
        // Long runs are there to let the retention time pass, and need fewer ticks.
        let step = if ms > 60_000 {
            TICK_INTERVAL_MS * 4
        } else {
            TICK_INTERVAL_MS
        };
        while self.now_ms < end {
            let until = self.now_ms + step;
            while let Some((&(deliver_at, number), _)) = self.network.first_key_value()
                && deliver_at <= until
            {
                self.now_ms = self.now_ms.max(deliver_at);
                let in_flight = self
                    .network
                    .remove(&(deliver_at, number))
                    .expect("it is the first");
                self.deliver(number, in_flight)?;
            }
            self.now_ms = until;
            self.tick(step)?;
        }
        Ok(())
    }

    fn tick(&mut self, step: u64) -> Result<(), String> {
        for vm in 0..VM_COUNT {
            if !self.vms[vm].alive || self.vms[vm].paused_until > self.now_ms {
                continue;
            }
            if self.vms[vm].next_tick <= self.now_ms {
                self.vms[vm].next_tick = self.now_ms + step;
                if !std::mem::replace(&mut self.vms[vm].members_current, true) {
                    let members = self.members(vm);
                    self.handle(vm, Event::Members(members));
                }
                self.handle(vm, Event::Tick);
                self.gossip(vm);
            }
        }
        let late: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| call.deadline <= self.now_ms)
            .filter(|(_, call)| self.vms[call.entry.0].paused_until <= self.now_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            let sent = self.calls[&id].sent;
            self.end_call(id, sent.then_some(Execution::Unknown))?;
        }
        self.check_slot(self.current_slot())
    }

    /// Delivers the map of another VM by gossip, if it is newer.
    fn gossip(&mut self, vm: usize) {
        let other = self.rng.random_range(0..VM_COUNT);
        let reached = self.linked(self.node(vm), self.node(other)) && self.vms[other].alive;
        let delivered = reached && self.rng.random_bool(0.3);
        let map = self.vms[other].home.map().filter(|_| delivered);
        let known = self.vms[vm].home.map().map_or(0, |map| map.revision);
        if let Some(map) = map.filter(|map| map.revision > known).cloned() {
            self.handle(vm, Event::Map(map));
        }
    }

    /// Checks that at most one running process serves a slot.
    fn check_slot(&self, slot: usize) -> Result<(), String> {
        let serves = |(at, vm): &(usize, &Vm)| {
            vm.alive && vm.paused_until <= self.now_ms && vm.home.serves(self.now(*at), slot)
        };
        let owners = self.vms.iter().enumerate().filter(serves).count();
        if owners > 1 {
            Err("two processes serve a slot".into())
        } else {
            Ok(())
        }
    }

    fn deliver(&mut self, number: u64, in_flight: InFlight) -> Result<(), String> {
        let kind = in_flight.kind;
        if !self.take(number, in_flight)? {
            return Ok(());
        }
        let Some(kind) = kind else {
            return Ok(());
        };
        self.fire_faults(kind, Moment::AfterEffect);
        let request = match kind {
            MessageKind::ClaimReply => MessageKind::Claim,
            MessageKind::StoreReply => MessageKind::Store,
            MessageKind::GrantReply => MessageKind::Grant,
            MessageKind::CallReply => MessageKind::Call,
            MessageKind::SwapReply => MessageKind::Swap,
            _ => return Ok(()),
        };
        self.fire_faults(request, Moment::AfterAnswer);
        Ok(())
    }

    /// Passes a packet to its receiver. Returns false if the receiver cannot be reached, has exited
    /// or is paused.
    fn take(&mut self, number: u64, in_flight: InFlight) -> Result<bool, String> {
        let (from, to) = (in_flight.from, in_flight.to);
        let Node::Vm(vm, incarnation) = to else {
            let linked = self.linked(from, to);
            if linked {
                self.handle_platform_request(from, in_flight.packet);
            }
            return Ok(linked);
        };
        if !self.vms[vm].alive || self.vms[vm].incarnation != incarnation {
            return Ok(false);
        }
        if self.vms[vm].paused_until > self.now_ms {
            // The packet waits in the socket until the process resumes.
            let deliver_at = self.vms[vm].paused_until;
            self.network.insert((deliver_at, number), in_flight);
            return Ok(false);
        }
        match in_flight.packet {
            Packet::Event(event) => self.handle(vm, event),
            Packet::Claim(id, claim) => {
                let wall = self.wall(vm);
                self.handle(vm, Event::Claim(id, claim, wall));
            }
            Packet::ClaimReply(id, reply) => self.handle_claim_reply(id, &reply)?,
            Packet::Call(id, ticket) => self.handle_call(vm, from, id, &ticket)?,
            Packet::Decision(id, ticket, decision) => self.apply_decision(id, ticket, &decision)?,
            Packet::SwapRequest(..) | Packet::Read => {}
        }
        Ok(true)
    }

    fn handle_platform_request(&mut self, from: Node, packet: Packet) {
        let event = match packet {
            Packet::SwapRequest(sequence, expected, map) => {
                let outcome = if self.revision == expected {
                    self.revision += 1;
                    self.stored_map = Some(map.with_revision(self.revision));
                    self.notify_watchers();
                    SwapOutcome::Done(self.revision)
                } else {
                    SwapOutcome::Conflict
                };
                let event = Event::SwapResult(sequence, outcome);
                self.post(
                    Node::Platform,
                    from,
                    Packet::Event(event),
                    MessageKind::SwapReply,
                );
                return;
            }
            _ => Event::Map(self.stored_map.clone().expect("the map exists")),
        };
        self.post_without_faults(2, Node::Platform, from, Packet::Event(event));
    }

    /// Sends the changed map to the processes that watch it, which are chosen at random.
    fn notify_watchers(&mut self) {
        for vm in 0..VM_COUNT {
            if self.rng.random_bool(0.3) {
                let map = self.stored_map.clone().expect("the map exists");
                let delay = self.rng.random_range(1..50);
                let packet = Packet::Event(Event::Map(map));
                self.post_without_faults(delay, Node::Platform, self.node(vm), packet);
            }
        }
    }

    fn handle(&mut self, vm: usize, event: Event) {
        let now = self.now(vm);
        let me = self.node(vm);
        let actions = self.vms[vm].home.handle(now, event);
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    let kind = match message.body {
                        MessageBody::Grant => MessageKind::Grant,
                        MessageBody::GrantReply(_) => MessageKind::GrantReply,
                        MessageBody::Store(..) => MessageKind::Store,
                        MessageBody::StoreReply(_) => MessageKind::StoreReply,
                    };
                    let holder =
                        Holder::new(Arc::clone(&self.vms[vm].name), self.vms[vm].incarnation);
                    let event = Event::Message(holder, message);
                    let to = self.address(&to);
                    self.post(me, to, Packet::Event(event), kind);
                }
                Action::Swap {
                    sequence,
                    expected,
                    map,
                } => {
                    let packet = Packet::SwapRequest(sequence, expected, map);
                    self.post(me, Node::Platform, packet, MessageKind::Swap);
                }
                Action::ReadMap => self.post_without_faults(2, me, Node::Platform, Packet::Read),
                Action::Reply(id, reply) => {
                    if let Some(call) = self.calls.get(&id) {
                        let entry = Node::Vm(call.entry.0, call.entry.1);
                        self.post(
                            me,
                            entry,
                            Packet::ClaimReply(id, reply),
                            MessageKind::ClaimReply,
                        );
                    }
                }
            }
        }
    }

    // Calls at their target.

    fn handle_call(
        &mut self,
        vm: usize,
        from: Node,
        id: u64,
        ticket: &Ticket,
    ) -> Result<(), String> {
        let wall = self.wall(vm);
        let key = self.ticket_keys[&ticket.id].clone();
        let target = &mut self.vms[vm];
        let mut decision = target.table.admit(wall, ticket, EXTRA_ATTEMPTS);
        if decision == TicketDecision::Queue {
            if std::mem::take(&mut target.shed) {
                target
                    .table
                    .void(wall, ticket)
                    .map_err(|_| "queued ticket cannot be voided")?;
                decision = TicketDecision::Void;
            } else if target.table.start(wall, ticket.id).is_ok() {
                self.record_run(id, &key, ticket.id)?;
                let target = &mut self.vms[vm];
                if std::mem::take(&mut target.no_response) {
                    target.table.fail(ticket.id);
                } else {
                    let body = ticket.id.to_be_bytes().into();
                    target.table.finish(
                        ticket.id,
                        Some(StoredResponse {
                            body,
                            ..StoredResponse::default()
                        }),
                    );
                }
                decision = target.table.admit(wall, ticket, EXTRA_ATTEMPTS);
            }
        }
        let me = self.node(vm);
        self.post(
            me,
            from,
            Packet::Decision(id, ticket.id, decision),
            MessageKind::CallReply,
        );
        Ok(())
    }

    fn record_run(&mut self, call: u64, key: &str, ticket: TicketId) -> Result<(), String> {
        let runs = self.runs.entry(key.to_owned()).or_default();
        runs.push(ticket);
        if runs.len() > 1 {
            return Err("second run".into());
        }
        self.started_calls.insert(call);
        if self.not_run.contains(&ticket) || self.not_run_calls.contains(&call) {
            return Err("run after not-run".into());
        }
        Ok(())
    }

    /// Returns the number of keys that ran.
    pub(super) fn keys_run(&self) -> usize {
        self.runs.len()
    }

    /// Replaces the processes that have exited, and drops the faults that have not occurred.
    pub(super) fn recover(&mut self) {
        self.fault_missed = !self.pending_faults.is_empty();
        self.pending_faults.clear();
        for vm in 0..VM_COUNT {
            if !self.vms[vm].alive {
                self.replace(vm);
            }
            self.vms[vm].members_current = false;
        }
    }

    /// Returns whether a process serves the current slot or has it in quarantine.
    pub(super) fn has_recovered(&self) -> bool {
        let slot = self.current_slot();
        let holds_slot = |(at, vm): (usize, &Vm)| {
            vm.home.serves(self.now(at), slot) || vm.home.is_quarantined(self.now(at), slot)
        };
        self.vms.iter().enumerate().any(holds_slot)
    }
}
