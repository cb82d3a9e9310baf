//! The world in which the home and the ticket protocol are tested.
//!
//! A [`World`] holds the processes, the network, the platform and the clients. Its oracle is a set
//! of runs per key: no key runs twice, "not run" is true, and no two processes serve one slot at
//! the same time.

use std::collections::{BTreeMap, HashSet};

use super::*;
use crate::id::{Incarnation, TicketId};
use crate::refusal::Ran;
use crate::ticket::{StoredResponse, Ticket, TicketDecision, TicketLimits, TicketTable};

pub(super) const VMS: usize = 4;
pub(super) const KEYS: usize = 3;
const EXTRA: u8 = 2;
const TICK_MS: u64 = 200;
const CALL_TIMEOUT_MS: u64 = 3_000;
const SERVICE: &str = "despacho";

#[derive(Clone, Debug)]
pub(super) struct Setup {
    pub(super) clocks: Vec<(i64, i64)>,
    pub(super) seed: u64,
}

impl Setup {
    /// Equal clocks.
    pub(super) fn plain() -> Self {
        Self {
            clocks: vec![(0, 0); VMS],
            seed: 1,
        }
    }
}

/// Messages that a fault drops or delays, by the step of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Leg {
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

impl Leg {
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Process {
    Owner,
    Successor,
    Vm(usize),
}

#[derive(Clone, Debug)]
pub(super) enum Step {
    /// The client sends the key to `entry`, which mints for `target`.
    Send {
        key: usize,
        entry: usize,
        target: usize,
    },
    /// A network element between client and entry repeats the last send elsewhere.
    Duplicate {
        key: usize,
        entry: usize,
        target: usize,
    },
    /// Milliseconds pass.
    Run(u64),
    Pause(Process, u64),
    Crash(Process),
    /// A crash, if still alive, and a new process under the same id.
    Replace(Process),
    ReplaceBoth,
    Drain(Process),
    /// Cuts a VM from a process, a process from the platform, or the platform from all.
    CutFrom(usize, Process),
    CutPlatform(Process),
    PlatformDown,
    /// Cuts the owner of the current slot from its successor, and heals all links.
    CutPair,
    Heal,
    /// Replaces the processes that have ended.
    Recover,
    /// Loses the next messages of a kind.
    Lose(Leg),
    /// Delivers the next message of a kind again, later.
    Repeat(Leg, u64),
    /// Delays the next messages of a kind.
    Delay(Leg, u64),
    /// Calls of the key of the last send are refused by admission and void.
    Shed(usize),
    /// The endpoint of a VM gives no answer to the next call.
    NoAnswer(usize),
    /// Two operators confirm at once that both holders have ended, if that is so.
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
    book: TicketTable,
    paused_until: u64,
    draining: bool,
    shed: bool,
    no_answer: bool,
    next_tick: u64,
    /// Whether it has heard of the latest change of the members and links.
    informed: bool,
}

/// A send of the client that an entry daemon works on.
#[derive(Debug)]
struct Call {
    key: String,
    entry: (usize, Incarnation),
    target: usize,
    resend: bool,
    ticket: Option<Ticket>,
    voided: u8,
    /// The claim or offer that is under way. Only its first reply counts, as in a remote call.
    awaits: Option<Leg>,
    sent: bool,
    deadline: u64,
}

#[derive(Clone, Debug)]
enum Packet {
    Event(Event),
    ClaimReply(u64, ClaimReply),
    Claim(u64, Claim),
    Offer(u64, Ticket),
    Verdict(u64, TicketId, TicketDecision),
    SwapRequest(u64, Revision, HomeMap),
    Read,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Node {
    Vm(usize, Incarnation),
    Platform,
}

#[derive(Clone, Debug)]
struct Transit {
    from: Node,
    to: Node,
    packet: Packet,
    leg: Option<Leg>,
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
pub(super) struct World {
    setup: Setup,
    safeguards: Switch,
    start: Instant,
    ms: u64,
    vms: Vec<Vm>,
    network: BTreeMap<(u64, u64), Transit>,
    sent: u64,
    cut: HashSet<(usize, usize)>,
    platform_cut: HashSet<usize>,
    platform_up: bool,
    stored: Option<HomeMap>,
    revision: Revision,
    lose: Vec<Leg>,
    delay: Vec<(Leg, u64)>,
    repeat: Vec<(Leg, u64)>,
    /// Faults that wait for their moment.
    triggers: Vec<(Leg, Moment, Vec<Step>)>,
    missed: bool,
    calls: BTreeMap<u64, Call>,
    /// First send of each key, by generation.
    keys: Vec<Option<(u64, u64)>>,
    tickets: HashMap<TicketId, String>,
    last: usize,
    runs: BTreeMap<String, Vec<TicketId>>,
    not_run: HashSet<TicketId>,
    pub(super) outcomes: Vec<Ran>,
    sends: HashMap<String, u32>,
    /// Calls that were answered "not run", and calls that started a run.
    refused: HashSet<u64>,
    starts: HashSet<u64>,
    rng: SmallRng,
}

impl World {
    pub(super) fn new(setup: &Setup, safeguards: Switch) -> Self {
        let mut world = Self {
            setup: setup.clone(),
            safeguards,
            start: Instant::now(),
            ms: 100_000_000,
            vms: Vec::new(),
            network: BTreeMap::new(),
            sent: 0,
            cut: HashSet::new(),
            platform_cut: HashSet::new(),
            platform_up: true,
            stored: None,
            revision: 0,
            lose: Vec::new(),
            delay: Vec::new(),
            repeat: Vec::new(),
            triggers: Vec::new(),
            missed: false,
            calls: BTreeMap::new(),
            keys: vec![None; KEYS],
            tickets: HashMap::new(),
            last: 0,
            runs: BTreeMap::new(),
            not_run: HashSet::new(),
            outcomes: Vec::new(),
            sends: HashMap::new(),
            refused: HashSet::new(),
            starts: HashSet::new(),
            rng: SmallRng::seed_from_u64(setup.seed),
        };
        for vm in 0..VMS {
            let booted = world.boot(vm, 1);
            world.vms.push(booted);
        }
        let mut map = HomeMap::initial(&world.members(0)).expect("all members are usable");
        // Slots without keys belong to a process outside of this world, which saves time.
        for slot in &mut map.slots[KEYS..] {
            slot.owner = Holder::new("vm-elsewhere", 1);
            slot.successor = None;
        }
        world.revision = 1;
        world.stored = Some(map.with_revision(1));
        world
    }

    fn boot(&self, vm: usize, incarnation: Incarnation) -> Vm {
        let name: Arc<str> = format!("vm-{vm}").into();
        let me = Holder::new(Arc::clone(&name), incarnation);
        let seed = vm as u64 + incarnation * 10;
        Vm {
            alive: true,
            incarnation,
            home: HomeNode::new(me, HomeLimits::default(), seed).with_safeguards(self.safeguards),
            book: TicketTable::new(Arc::clone(&name), incarnation, TicketLimits::default())
                .with_safeguards(self.safeguards),
            name,
            paused_until: 0,
            draining: false,
            shed: false,
            no_answer: false,
            next_tick: 0,
            informed: false,
        }
    }

    fn now(&self, vm: usize) -> Instant {
        let (_, ppm) = self.setup.clocks[vm];
        let ms = self.ms.cast_signed() + self.ms.cast_signed() / 1_000 * ppm / 1_000;
        self.start + Duration::from_millis(ms as u64)
    }

    fn wall(&self, vm: usize) -> SystemTime {
        let (offset, _) = self.setup.clocks[vm];
        SystemTime::UNIX_EPOCH + Duration::from_millis((self.ms.cast_signed() + offset) as u64)
    }

    fn node(&self, vm: usize) -> Node {
        Node::Vm(vm, self.vms[vm].incarnation)
    }

    fn linked(&self, from: Node, to: Node) -> bool {
        match (from, to) {
            (Node::Vm(a, _), Node::Vm(b, _)) => !self.cut.contains(&(a.min(b), a.max(b))),
            (Node::Vm(a, _), Node::Platform) | (Node::Platform, Node::Vm(a, _)) => {
                self.platform_up && !self.platform_cut.contains(&a)
            }
            (Node::Platform, Node::Platform) => true,
        }
    }

    /// What the gossip has told a VM.
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

    /// Name of a key, chosen so that its slot is the number of the key.
    fn key_name(&self, key: usize) -> String {
        let generation = self.keys[key].map_or(0, |(generation, _)| generation);
        let names = (0..).map(|number| format!("key-{key}-{generation}-{number}"));
        let found = { names }.find(|name| slot_of(SERVICE, name) == key);
        found.expect("some name has the slot")
    }

    /// Slot of the key that was sent last.
    const fn current_slot(&self) -> usize {
        self.last
    }

    fn resolve(&self, process: Process) -> usize {
        let map = self.stored.as_ref().expect("the map exists");
        let holders = &map.slots[self.current_slot()];
        let holder = match process {
            Process::Vm(vm) => return vm % VMS,
            Process::Owner => &holders.owner,
            Process::Successor => holders.successor.as_ref().unwrap_or(&holders.owner),
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
                self.vms[vm].paused_until = self.ms + ms;
            }
            Step::Crash(process) => self.crash(self.resolve(process)),
            Step::Replace(process) => self.replace(self.resolve(process)),
            Step::ReplaceBoth => {
                let both = [Process::Owner, Process::Successor].map(|one| self.resolve(one));
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
                let [a, b] = [Process::Owner, Process::Successor].map(|one| self.resolve(one));
                self.cut_link(a, b);
            }
            Step::CutFrom(vm, process) => self.cut_link(vm, self.resolve(process)),
            Step::CutPlatform(process) => {
                self.platform_cut.insert(self.resolve(process));
            }
            Step::Heal => {
                self.cut.clear();
                self.platform_cut.clear();
                self.platform_up = true;
            }
            Step::Recover => self.recover(),
            Step::Lose(leg) => self.lose.push(leg),
            Step::Repeat(leg, ms) => self.repeat.push((leg, ms)),
            Step::Delay(leg, ms) => self.delay.push((leg, ms)),
            Step::Shed(target) => self.vms[target % VMS].shed = true,
            Step::NoAnswer(target) => self.vms[target % VMS].no_answer = true,
            Step::Reassign => self.reassign(),
        }
        for vm in &mut self.vms {
            vm.informed = false;
        }
        Ok(())
    }

    fn reassign(&mut self) {
        let slot = self.current_slot();
        let holders = &self.stored.as_ref().expect("the map exists").slots[slot];
        let epoch = holders.epoch;
        let works = |holder: &Holder| {
            let same = |vm: &&Vm| vm.name == holder.vm && vm.incarnation == holder.incarnation;
            self.vms.iter().find(same).is_some_and(|vm| vm.alive)
        };
        if works(&holders.owner) || holders.successor.as_ref().is_some_and(works) {
            return;
        }
        for vm in (0..VMS)
            .filter(|vm| self.vms[*vm].alive)
            .take(2)
            .collect::<Vec<_>>()
        {
            self.handle(vm, Event::Reassign(slot, epoch));
        }
    }

    fn cut_link(&mut self, a: usize, b: usize) {
        if a != b {
            self.cut.insert((a.min(b), a.max(b)));
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

    fn send(&mut self, key: usize, entry: usize, target: usize, copy: bool) {
        let (entry, target) = (entry % VMS, target % VMS);
        self.last = key;
        let life = KEY_RETENTION.as_millis() as u64;
        // A client resends a key for 15 minutes at most, and declares it.
        let resend = self.keys[key].is_some_and(|(_, first)| self.ms - first <= life);
        if !resend {
            let generation = self.keys[key].map_or(0, |(generation, _)| generation + 1);
            self.keys[key] = Some((generation, self.ms));
        }
        if !self.vms[entry].alive {
            return;
        }
        let call = Call {
            key: self.key_name(key),
            entry: (entry, self.vms[entry].incarnation),
            target,
            resend: resend && !copy,
            ticket: None,
            voided: 0,
            awaits: None,
            sent: false,
            deadline: self.ms + CALL_TIMEOUT_MS,
        };
        *self.sends.entry(call.key.clone()).or_default() += 1;
        self.sent += 1;
        let id = self.sent;
        self.calls.insert(id, call);
        self.claim(id, None);
    }

    fn claim(&mut self, id: u64, replaces: Option<TicketId>) {
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
            extra_attempts: EXTRA,
        };
        let to = self.address(&owner);
        if let Some(call) = self.calls.get_mut(&id) {
            call.awaits = Some(Leg::Claim);
        }
        self.post(self.node(entry), to, Packet::Claim(id, claim), Leg::Claim);
    }

    fn address(&self, holder: &Holder) -> Node {
        let vm = self.vms.iter().position(|vm| vm.name == holder.vm);
        Node::Vm(vm.expect("holders are known"), holder.incarnation)
    }

    /// The entry acts on the answer of the home.
    fn claimed(&mut self, id: u64, reply: &ClaimReply) -> Result<(), String> {
        let Some(call) = self.calls.get_mut(&id) else {
            return Ok(());
        };
        if call.awaits.take_if(|leg| *leg == Leg::Claim).is_none() {
            return Ok(());
        }
        match reply {
            ClaimReply::Unavailable(_) => return self.end(id, None),
            ClaimReply::Stored(ticket) | ClaimReply::Found(ticket) => {
                if call
                    .ticket
                    .as_ref()
                    .is_some_and(|held| held.id == ticket.id)
                {
                    // The replacements are spent, and the ticket is void for good.
                    return self.end(id, Some(Ran::NotRun));
                }
                call.ticket = Some(ticket.clone());
                call.sent = true;
                call.awaits = Some(Leg::Call);
                let (key, entry) = (call.key.clone(), call.entry);
                self.tickets.insert(ticket.id, key);
                let entry = Node::Vm(entry.0, entry.1);
                let to = self.address(&Holder::new(Arc::clone(&ticket.vm), 0));
                let Node::Vm(vm, _) = to else {
                    return Ok(());
                };
                // A connection reaches whatever process has the address now.
                let packet = Packet::Offer(id, ticket.clone());
                self.post(entry, self.node(vm), packet, Leg::Call);
            }
        }
        Ok(())
    }

    fn judged(
        &mut self,
        id: u64,
        ticket: TicketId,
        verdict: &TicketDecision,
    ) -> Result<(), String> {
        let refused =
            matches!(verdict, TicketDecision::Refused(refusal) if refusal.ran == Ran::NotRun);
        if refused || *verdict == TicketDecision::Void {
            self.check_not_run(ticket)?;
        }
        let reply = |call: &mut Call| {
            let current = call.ticket.as_ref().is_some_and(|held| held.id == ticket);
            current && call.awaits.take_if(|leg| *leg == Leg::Call).is_some()
        };
        if !self.calls.get_mut(&id).is_some_and(reply) {
            return Ok(());
        }
        match verdict {
            TicketDecision::Void => {
                let Some(call) = self.calls.get_mut(&id) else {
                    return Ok(());
                };
                call.voided += 1;
                if call.voided > EXTRA {
                    return self.end(id, Some(Ran::NotRun));
                }
                self.claim(id, Some(ticket));
            }
            TicketDecision::Queue | TicketDecision::Join => {}
            TicketDecision::Stored(answer) => {
                if *answer.body != ticket.to_be_bytes() {
                    return Err("answer of another call".into());
                }
                return self.end(id, Some(Ran::Ran));
            }
            TicketDecision::Refused(refusal) => return self.end(id, Some(refusal.ran)),
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

    /// The client gets an answer. None means that the home was unavailable.
    ///
    /// "Not run" speaks of this send: it has started nothing and never will. It speaks of the key
    /// as well if the client, or an element of the network, has not sent the key again meanwhile.
    fn end(&mut self, id: u64, outcome: Option<Ran>) -> Result<(), String> {
        let Some(call) = self.calls.remove(&id) else {
            return Ok(());
        };
        let ran = outcome.unwrap_or(if call.resend {
            Ran::Unknown
        } else {
            Ran::NotRun
        });
        self.outcomes.push(ran);
        if ran != Ran::NotRun {
            return Ok(());
        }
        self.refused.insert(id);
        let started = self.starts.contains(&id);
        let alone = self.sends.get(&call.key) == Some(&1);
        if started || alone && self.runs.contains_key(&call.key) {
            return Err("not-run after a run of the key".into());
        }
        Ok(())
    }

    // Network.

    /// Lets a fault occur at the given moment of the next message of this kind.
    pub(super) fn trigger(&mut self, leg: Leg, moment: Moment, steps: Vec<Step>) {
        self.triggers.push((leg, moment, steps));
    }

    /// Whether every fault occurred before the recovery.
    pub(super) const fn is_triggered(&self) -> bool {
        !self.missed
    }

    fn reach(&mut self, leg: Leg, moment: Moment) {
        let found = |(at, when, _): &(Leg, Moment, Vec<Step>)| *at == leg && *when == moment;
        while let Some(at) = self.triggers.iter().position(found) {
            let (_, _, steps) = self.triggers.swap_remove(at);
            for step in steps {
                self.apply(&step).expect("faults alone run nothing");
            }
        }
    }

    fn post(&mut self, from: Node, to: Node, packet: Packet, leg: Leg) {
        self.reach(leg, Moment::BeforeSend);
        if let Node::Vm(vm, incarnation) = from
            && (!self.vms[vm].alive || self.vms[vm].incarnation != incarnation)
        {
            return;
        }
        if let Some(at) = self.lose.iter().position(|lost| *lost == leg) {
            self.lose.swap_remove(at);
            return;
        }
        if !self.linked(from, to) {
            return;
        }
        let held = self.delay.iter().position(|(held, _)| *held == leg);
        let held = held.map_or(0, |at| self.delay.swap_remove(at).1);
        let due = self.ms + self.rng.random_range(1..50) + held;
        let transit = Transit {
            from,
            to,
            packet,
            leg: Some(leg),
        };
        if let Some(at) = self.repeat.iter().position(|(again, _)| *again == leg) {
            let again = due + self.repeat.swap_remove(at).1;
            self.enqueue(again, transit.clone());
        }
        self.enqueue(due, transit);
        self.reach(leg, Moment::AfterSend);
    }

    fn enqueue(&mut self, due: u64, transit: Transit) {
        self.sent += 1;
        self.network.insert((due, self.sent), transit);
    }

    /// Reads and watches are not subject to the chosen losses.
    fn exchange(&mut self, delay: u64, from: Node, to: Node, packet: Packet) {
        if self.linked(from, to) {
            let transit = Transit {
                from,
                to,
                packet,
                leg: None,
            };
            self.enqueue(self.ms + delay, transit);
        }
    }

    pub(super) fn run(&mut self, ms: u64) -> Result<(), String> {
        let end = self.ms + ms;
        // Long runs let the retention pass; they need fewer ticks.
        let step = if ms > 60_000 { TICK_MS * 4 } else { TICK_MS };
        while self.ms < end {
            let until = self.ms + step;
            while let Some((&(due, number), _)) = self.network.first_key_value()
                && due <= until
            {
                self.ms = self.ms.max(due);
                let transit = self
                    .network
                    .remove(&(due, number))
                    .expect("it is the first");
                self.deliver(number, transit)?;
            }
            self.ms = until;
            self.tick(step)?;
        }
        Ok(())
    }

    fn tick(&mut self, step: u64) -> Result<(), String> {
        for vm in 0..VMS {
            if !self.vms[vm].alive || self.vms[vm].paused_until > self.ms {
                continue;
            }
            if self.vms[vm].next_tick <= self.ms {
                self.vms[vm].next_tick = self.ms + step;
                if !std::mem::replace(&mut self.vms[vm].informed, true) {
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
            .filter(|(_, call)| call.deadline <= self.ms)
            .filter(|(_, call)| self.vms[call.entry.0].paused_until <= self.ms)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            let sent = self.calls[&id].sent;
            self.end(id, sent.then_some(Ran::Unknown))?;
        }
        self.check_slot(self.current_slot())
    }

    /// The newest map that a neighbour has arrives by gossip.
    fn gossip(&mut self, vm: usize) {
        let other = self.rng.random_range(0..VMS);
        let reached = self.linked(self.node(vm), self.node(other)) && self.vms[other].alive;
        let heard = reached && self.rng.random_bool(0.3);
        let map = self.vms[other].home.map().filter(|_| heard);
        let known = self.vms[vm].home.map().map_or(0, |map| map.revision);
        if let Some(map) = map.filter(|map| map.revision > known).cloned() {
            self.handle(vm, Event::Map(map));
        }
    }

    /// At most one process that works serves a slot.
    fn check_slot(&self, slot: usize) -> Result<(), String> {
        let serves = |(at, vm): &(usize, &Vm)| {
            vm.alive && vm.paused_until <= self.ms && vm.home.serves(self.now(*at), slot)
        };
        let owners = self.vms.iter().enumerate().filter(serves).count();
        if owners > 1 {
            Err("two processes serve a slot".into())
        } else {
            Ok(())
        }
    }

    fn deliver(&mut self, number: u64, transit: Transit) -> Result<(), String> {
        let leg = transit.leg;
        if !self.take(number, transit)? {
            return Ok(());
        }
        let Some(leg) = leg else {
            return Ok(());
        };
        self.reach(leg, Moment::AfterEffect);
        let request = match leg {
            Leg::ClaimReply => Leg::Claim,
            Leg::StoreReply => Leg::Store,
            Leg::GrantReply => Leg::Grant,
            Leg::CallReply => Leg::Call,
            Leg::SwapReply => Leg::Swap,
            _ => return Ok(()),
        };
        self.reach(request, Moment::AfterAnswer);
        Ok(())
    }

    /// Hands a packet to its receiver; false if that is gone or paused.
    fn take(&mut self, number: u64, transit: Transit) -> Result<bool, String> {
        let (from, to) = (transit.from, transit.to);
        let Node::Vm(vm, incarnation) = to else {
            let linked = self.linked(from, to);
            if linked {
                self.platform(from, transit.packet);
            }
            return Ok(linked);
        };
        if !self.vms[vm].alive || self.vms[vm].incarnation != incarnation {
            return Ok(false);
        }
        if self.vms[vm].paused_until > self.ms {
            // The packet waits in the socket until the process goes on.
            let due = self.vms[vm].paused_until;
            self.network.insert((due, number), transit);
            return Ok(false);
        }
        match transit.packet {
            Packet::Event(event) => self.handle(vm, event),
            Packet::Claim(id, claim) => {
                let wall = self.wall(vm);
                self.handle(vm, Event::Claim(id, claim, wall));
            }
            Packet::ClaimReply(id, reply) => self.claimed(id, &reply)?,
            Packet::Offer(id, ticket) => self.offer(vm, from, id, &ticket)?,
            Packet::Verdict(id, ticket, verdict) => self.judged(id, ticket, &verdict)?,
            Packet::SwapRequest(..) | Packet::Read => {}
        }
        Ok(true)
    }

    fn platform(&mut self, from: Node, packet: Packet) {
        let event = match packet {
            Packet::SwapRequest(sequence, expected, map) => {
                let outcome = if self.revision == expected {
                    self.revision += 1;
                    self.stored = Some(map.with_revision(self.revision));
                    self.notify();
                    SwapOutcome::Done(self.revision)
                } else {
                    SwapOutcome::Conflict
                };
                let event = Event::SwapResult(sequence, outcome);
                self.post(Node::Platform, from, Packet::Event(event), Leg::SwapReply);
                return;
            }
            _ => Event::Map(self.stored.clone().expect("the map exists")),
        };
        self.exchange(2, Node::Platform, from, Packet::Event(event));
    }

    /// Some processes watch the map.
    fn notify(&mut self) {
        for vm in 0..VMS {
            if self.rng.random_bool(0.3) {
                let map = self.stored.clone().expect("the map exists");
                let delay = self.rng.random_range(1..50);
                let packet = Packet::Event(Event::Map(map));
                self.exchange(delay, Node::Platform, self.node(vm), packet);
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
                    let leg = match message.body {
                        MessageBody::Grant => Leg::Grant,
                        MessageBody::GrantReply(_) => Leg::GrantReply,
                        MessageBody::Store(..) => Leg::Store,
                        MessageBody::StoreReply(_) => Leg::StoreReply,
                    };
                    let holder =
                        Holder::new(Arc::clone(&self.vms[vm].name), self.vms[vm].incarnation);
                    let event = Event::Message(holder, message);
                    let to = self.address(&to);
                    self.post(me, to, Packet::Event(event), leg);
                }
                Action::Swap {
                    sequence,
                    expected,
                    map,
                } => {
                    let packet = Packet::SwapRequest(sequence, expected, map);
                    self.post(me, Node::Platform, packet, Leg::Swap);
                }
                Action::ReadMap => self.exchange(2, me, Node::Platform, Packet::Read),
                Action::Reply(id, reply) => {
                    if let Some(call) = self.calls.get(&id) {
                        let entry = Node::Vm(call.entry.0, call.entry.1);
                        self.post(me, entry, Packet::ClaimReply(id, reply), Leg::ClaimReply);
                    }
                }
            }
        }
    }

    // Runs.

    fn offer(&mut self, vm: usize, from: Node, id: u64, ticket: &Ticket) -> Result<(), String> {
        let wall = self.wall(vm);
        let key = self.tickets[&ticket.id].clone();
        let target = &mut self.vms[vm];
        let mut verdict = target.book.admit(wall, ticket, EXTRA);
        if verdict == TicketDecision::Queue {
            if std::mem::take(&mut target.shed) {
                target
                    .book
                    .void(wall, ticket)
                    .map_err(|_| "queued ticket cannot be voided")?;
                verdict = TicketDecision::Void;
            } else if target.book.start(wall, ticket.id).is_ok() {
                self.record(id, &key, ticket.id)?;
                let target = &mut self.vms[vm];
                if std::mem::take(&mut target.no_answer) {
                    target.book.fail(ticket.id);
                } else {
                    let body = ticket.id.to_be_bytes().into();
                    target.book.finish(
                        ticket.id,
                        Some(StoredResponse {
                            body,
                            ..StoredResponse::default()
                        }),
                    );
                }
                verdict = target.book.admit(wall, ticket, EXTRA);
            }
        }
        let me = self.node(vm);
        self.post(
            me,
            from,
            Packet::Verdict(id, ticket.id, verdict),
            Leg::CallReply,
        );
        Ok(())
    }

    fn record(&mut self, call: u64, key: &str, ticket: TicketId) -> Result<(), String> {
        let runs = self.runs.entry(key.to_owned()).or_default();
        runs.push(ticket);
        if runs.len() > 1 {
            return Err("second run".into());
        }
        self.starts.insert(call);
        if self.not_run.contains(&ticket) || self.refused.contains(&call) {
            return Err("run after not-run".into());
        }
        Ok(())
    }

    /// Number of keys that ran.
    pub(super) fn keys_run(&self) -> usize {
        self.runs.len()
    }

    /// Replaces the processes that have ended. Faults that have not occurred will not.
    pub(super) fn recover(&mut self) {
        self.missed = !self.triggers.is_empty();
        self.triggers.clear();
        for vm in 0..VMS {
            if !self.vms[vm].alive {
                self.replace(vm);
            }
            self.vms[vm].informed = false;
        }
    }

    /// Whether a process serves the current slot or waits for the end of its quarantine.
    pub(super) fn has_recovered(&self) -> bool {
        let slot = self.current_slot();
        let works = |(at, vm): (usize, &Vm)| {
            vm.home.serves(self.now(at), slot) || vm.home.is_quarantined(self.now(at), slot)
        };
        self.vms.iter().enumerate().any(works)
    }
}
