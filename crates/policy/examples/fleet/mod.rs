//! Many daemons' state machines in one process over a queue of messages with passed-in time.
//!
//! Datagrams have loss and delay; syncs, pulls and platform calls have delay only and fail across a
//! cut. A paused daemon takes everything that arrived when it resumes.

#![allow(
    dead_code,
    reason = "the example and the tests each use a part of the harness"
)]

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use policy::adoption::{self, Adoption};
use policy::id::{DataCentreName, Incarnation, Revision, VmId};
use policy::member::{
    Action, Endpoint, Member, Membership, Message, State, SyncReply, SyncRequest, TICK_INTERVAL,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// IP and UDP headers of one datagram in bytes.
const UDP_HEADERS: usize = 28;
/// Authentication, names, sequence, revisions and digest of one datagram in bytes, at most.
const MESSAGE_FIXED: usize = 32 + 110;
/// Headers, acknowledgements and HTTP/2 frames of one control call in bytes.
const CALL_FIXED: usize = 700;
/// Size of the rules in bytes: rules of 100 kinds and 100 customers at 150 bytes a line.
const VALUE_BYTES: usize = 30_000;
const WATCH_LIMIT: Duration = Duration::from_secs(30);
const RENEWAL: Duration = Duration::from_secs(3);
const FIRST_INCARNATION: Incarnation = 1_700_000_000_000_000;

/// Values that daemons adopt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Value {
    Rules,
    Homes,
}

/// Kinds of platform calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Waiting,
    Watch,
    Read,
    List,
    Contact,
}

/// One process.
#[derive(Debug)]
pub struct Process {
    pub membership: Membership,
    pub rules: Adoption,
    pub homes: Adoption,
    generation: u64,
    contact: Option<u64>,
}

/// Traffic and time of one daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub datagrams: u64,
    pub sent: u64,
    pub received: u64,
    pub calls: u64,
    pub busy: Duration,
}

/// One VM and its process, if it runs.
#[derive(Debug)]
pub struct Node {
    pub data_centre: usize,
    pub vm: VmId,
    pub process: Option<Process>,
    pub usage: Usage,
    paused_until: u64,
    last_incarnation: Incarnation,
}

#[derive(Debug)]
enum Kind {
    Tick(u64),
    Datagram(Box<Message>),
    Sync(usize, u64, SyncRequest),
    Synced(u64, SocketAddr, Option<SyncReply>),
    Pull(usize, u64, Value, Revision),
    Pulled(u64, SocketAddr, Value, Option<Revision>),
    Read(u64, Value),
    WatchEnd(u64, Value, u64),
    Listed(u64, Vec<SocketAddr>),
}

#[derive(Debug)]
struct Event {
    at: u64,
    order: u64,
    node: usize,
    kind: Kind,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// Platform with two values and the contact records.
#[derive(Debug, Default)]
pub struct Platform {
    pub rules: Revision,
    pub homes: Revision,
    pub down: bool,
    /// Calls in each second; a waiting watch counts as one in each.
    pub calls: BTreeMap<u64, [u64; 5]>,
    /// Watches by node and value, with an id.
    watches: BTreeMap<(usize, Value), (u64, Revision)>,
    contacts: BTreeSet<usize>,
}

/// A removal of a member that a daemon noted.
#[derive(Clone, Copy, Debug)]
pub struct Removal {
    pub at: Duration,
    pub by: usize,
    pub node: usize,
}

/// Many daemons.
#[derive(Debug)]
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub platform: Platform,
    /// Part of the datagrams that are lost.
    pub loss: f64,
    /// Data centres that reach only each other.
    pub cut: BTreeSet<usize>,
    pub removals: Vec<Removal>,
    start: Instant,
    now: u64,
    counted: u64,
    order: u64,
    generation: u64,
    seed: u64,
    rng: SmallRng,
    events: BinaryHeap<Event>,
    by_address: HashMap<SocketAddr, usize>,
    by_vm: HashMap<VmId, usize>,
}

impl Fleet {
    /// VMs spread evenly over the data centres. No process runs.
    pub fn new(daemons: usize, data_centres: usize, loss: f64, seed: u64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            platform: Platform::default(),
            loss,
            cut: BTreeSet::new(),
            removals: Vec::new(),
            start: Instant::now(),
            now: 0,
            counted: 0,
            order: 0,
            generation: 0,
            seed,
            rng: SmallRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            by_address: HashMap::new(),
            by_vm: HashMap::new(),
        };
        for index in 0..daemons {
            let data_centre = index % data_centres;
            let vm: VmId = format!("pt-centro-{data_centre}-vm-{index:04}").into();
            fleet.by_address.insert(address(index, 7000), index);
            fleet.by_address.insert(address(index, 7001), index);
            fleet.by_vm.insert(VmId::clone(&vm), index);
            fleet.nodes.push(Node {
                data_centre,
                vm,
                process: None,
                usage: Usage::default(),
                paused_until: 0,
                last_incarnation: FIRST_INCARNATION,
            });
        }
        fleet
    }

    /// A fleet in which every daemon runs and knows all others.
    pub fn joined(daemons: usize, data_centres: usize, loss: f64, seed: u64) -> Self {
        let mut fleet = Self::new(daemons, data_centres, loss, seed);
        fleet.platform.rules = 1;
        fleet.platform.homes = 1;
        for index in 0..daemons {
            fleet.start(index, &[]);
        }
        let members: Vec<Arc<Member>> = (0..daemons).map(|index| fleet.record(index)).collect();
        let now = fleet.instant();
        for index in 0..daemons {
            let contact = (index + 1) % daemons;
            let mut listing = members.clone();
            listing.swap(0, contact);
            let Some(process) = &mut fleet.nodes[index].process else {
                continue;
            };
            let reply = SyncReply {
                members: listing,
                rules: 1,
                homes: 1,
            };
            let membership = &mut process.membership;
            membership.set_contacts(now, vec![address(contact, 7000)]);
            let _ = membership.tick(now);
            let _ = membership.handle_sync_reply(now, address(contact, 7000), &reply);
            for adoption in [&mut process.rules, &mut process.homes] {
                let _ = adoption.adopt(1);
                adoption.read_ended(now, true);
            }
            process.membership.set_revisions(1, 1);
        }
        fleet
    }

    /// Starts a new process on a VM. `contacts` are the nodes that its settings name.
    pub fn start(&mut self, index: usize, contacts: &[usize]) {
        self.generation += 1;
        let generation = self.generation;
        let now = self.instant();
        let seed = self.seed ^ (generation << 20);
        let incarnation =
            (FIRST_INCARNATION + self.now).max(self.nodes[index].last_incarnation + 1);
        let node = &mut self.nodes[index];
        node.last_incarnation = incarnation;
        node.paused_until = self.now;
        let own = Member {
            vm: VmId::clone(&node.vm),
            incarnation,
            version: 0,
            state: State::Alive,
            data_centre: data_centre_name(node.data_centre),
            call_address: address(index, 7000),
            gossip_address: address(index, 7001),
            service: None,
            slots: 0,
            cold: false,
            unreachable: Vec::new(),
        };
        let mut membership = Membership::new(now, own, seed);
        membership.set_contacts(
            now,
            contacts.iter().map(|one| address(*one, 7000)).collect(),
        );
        membership.set_endpoint(
            now,
            Some(Endpoint {
                service: format!("service-{:02}", index % 80).into(),
                slots: 35,
                cold: false,
            }),
        );
        node.process = Some(Process {
            membership,
            rules: Adoption::new(now, seed ^ 1),
            homes: Adoption::new(now, seed ^ 2),
            generation,
            contact: None,
        });
        let phase = self.rng.random_range(0..TICK_INTERVAL.as_micros() as u64);
        self.push(phase, index, Kind::Tick(generation));
    }

    /// Ends a process without notice.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].process = None;
        self.platform.contacts.remove(&index);
        self.platform.watches.retain(|(node, _), _| *node != index);
    }

    /// Cuts data centres off from all others and from the platform; none heals all cuts.
    pub fn cut_off(&mut self, data_centres: &[usize]) {
        self.cut = data_centres.iter().copied().collect();
        self.break_watches();
    }

    /// Pauses a process.
    pub fn pause(&mut self, index: usize, time: Duration) {
        let node = &mut self.nodes[index];
        node.paused_until = node.paused_until.max(self.now + time.as_micros() as u64);
    }

    pub fn is_paused(&self, index: usize) -> bool {
        self.nodes[index].paused_until > self.now
    }

    /// Start of the process or end of its last pause.
    pub fn resumed_at(&self, index: usize) -> Duration {
        Duration::from_micros(self.nodes[index].paused_until)
    }

    /// Accepts a rule at the platform.
    pub fn write_rules(&mut self) -> Revision {
        self.platform.rules += 1;
        self.wake_watches();
        self.platform.rules
    }

    pub fn elapsed(&self) -> Duration {
        Duration::from_micros(self.now)
    }

    pub fn instant(&self) -> Instant {
        self.start + self.elapsed()
    }

    pub fn membership(&self, index: usize) -> Option<&Membership> {
        self.nodes[index]
            .process
            .as_ref()
            .map(|one| &one.membership)
    }

    pub fn process_mut(&mut self, index: usize) -> Option<&mut Process> {
        self.nodes[index].process.as_mut()
    }

    /// Running processes.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Process)> {
        let nodes = self.nodes.iter().enumerate();
        nodes.filter_map(|(index, node)| Some((index, node.process.as_ref()?)))
    }

    /// State of a node in the eyes of another.
    pub fn view(&self, by: usize, of: usize) -> Option<State> {
        let view = self.membership(by)?.member(&self.nodes[of].vm)?;
        Some(view.member.state)
    }

    /// Runs for `time`.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time.as_micros() as u64;
        while self.step(until) {}
        self.now = until;
    }

    /// Runs until `done`, checked every `TICK_INTERVAL`, or for `limit`. Returns the time taken.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let from = self.elapsed();
        while self.elapsed() < from + limit {
            if done(self) {
                return Some(self.elapsed().saturating_sub(from));
            }
            self.run(TICK_INTERVAL / 2);
        }
        done(self).then(|| self.elapsed().saturating_sub(from))
    }

    fn record(&self, index: usize) -> Arc<Member> {
        let membership = self.membership(index).expect("the process runs");
        Arc::clone(membership.own())
    }

    fn push(&mut self, delay: u64, node: usize, kind: Kind) {
        self.order += 1;
        self.events.push(Event {
            at: self.now + delay,
            order: self.order,
            node,
            kind,
        });
    }

    fn step(&mut self, until: u64) -> bool {
        if self.events.peek().is_none_or(|event| event.at > until) {
            return false;
        }
        let Some(mut event) = self.events.pop() else {
            return false;
        };
        self.now = self.now.max(event.at);
        self.count_waiting();
        let paused_until = self.nodes[event.node].paused_until;
        if paused_until > self.now {
            event.at = paused_until;
            self.events.push(event);
            return true;
        }
        self.handle(event.node, event.kind);
        true
    }

    fn handle(&mut self, index: usize, kind: Kind) {
        let now = self.instant();
        let up = self.reaches_platform(index);
        let clock = Instant::now();
        let Some(process) = &mut self.nodes[index].process else {
            if let Kind::Sync(from, generation, _) = kind {
                let failed = Kind::Synced(generation, address(index, 7000), None);
                self.push(1_000, from, failed);
            }
            return;
        };
        let same = |generation: u64| generation == process.generation;
        let membership = &mut process.membership;
        match kind {
            Kind::Tick(generation) if same(generation) => {
                let actions = membership.tick(now);
                process.rules.set_relay(membership.is_relay());
                process.homes.set_relay(membership.is_relay());
                let rules = process.rules.tick(now);
                let homes = process.homes.tick(now);
                self.nodes[index].usage.busy += clock.elapsed();
                self.act(index, actions);
                self.adopt(index, Value::Rules, rules);
                self.adopt(index, Value::Homes, homes);
                self.hold_contact(index);
                self.push(
                    TICK_INTERVAL.as_micros() as u64,
                    index,
                    Kind::Tick(generation),
                );
            }
            Kind::Datagram(message) => {
                let bytes = datagram_bytes(&message) as u64;
                let actions = membership.receive(now, *message);
                let usage = &mut self.nodes[index].usage;
                usage.busy += clock.elapsed();
                usage.received += bytes;
                self.act(index, actions);
            }
            Kind::Sync(from, generation, request) => {
                let (reply, actions) = membership.handle_sync_request(now, &request);
                let bytes = listing_bytes(&request.members) + listing_bytes(&reply.members);
                self.nodes[index].usage.busy += clock.elapsed();
                self.call_bytes(index, from, bytes);
                self.act(index, actions);
                let delay = self.delay();
                let synced = Kind::Synced(generation, address(index, 7000), Some(reply));
                self.push(delay, from, synced);
            }
            Kind::Synced(generation, from, reply) if same(generation) => {
                let was_joined = membership.is_joined();
                let actions = if let Some(reply) = reply {
                    membership.handle_sync_reply(now, from, &reply)
                } else {
                    membership.handle_sync_failure(from);
                    Vec::new()
                };
                if !was_joined && membership.is_joined() {
                    let peers = membership.random_peers(adoption::STARTUP_PEERS);
                    process.rules.set_peers(&peers);
                    process.homes.set_peers(&peers);
                }
                self.nodes[index].usage.busy += clock.elapsed();
                self.act(index, actions);
            }
            Kind::Pull(from, generation, value, _) => {
                let revision = process.adoption(value).in_force();
                self.call_bytes(index, from, VALUE_BYTES);
                let delay = self.delay();
                let pulled = Kind::Pulled(generation, address(index, 7000), value, Some(revision));
                self.push(delay, from, pulled);
            }
            Kind::Pulled(generation, from, value, revision) if same(generation) => {
                process.install(value, revision.unwrap_or(0));
                process
                    .adoption(value)
                    .pull_ended(now, from, revision.is_some());
            }
            Kind::Read(generation, value) if same(generation) => {
                let revision = self.platform.revision(value);
                if up {
                    process.install(value, revision);
                }
                process.adoption(value).read_ended(now, up);
            }
            Kind::WatchEnd(generation, value, id) if same(generation) => {
                let watch = self.platform.watches.get(&(index, value));
                if watch.is_some_and(|(current, _)| *current == id) {
                    self.platform.watches.remove(&(index, value));
                    if up {
                        process.install(value, self.platform.revision(value));
                    }
                    process.adoption(value).watch_ended(now, up);
                }
            }
            Kind::Listed(generation, contacts) if same(generation) => {
                process.membership.handle_contacts(now, contacts);
            }
            _ => {}
        }
    }

    fn act(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let usage = &mut self.nodes[index].usage;
                    usage.datagrams += 1;
                    usage.sent += datagram_bytes(&message) as u64;
                    let lost = self.rng.random_bool(self.loss);
                    if let Some(target) = self.reach(index, to)
                        && !lost
                    {
                        let delay = self.delay();
                        self.push(delay, target, Kind::Datagram(Box::new(message)));
                    }
                }
                Action::Sync { to, request } => {
                    let generation = self.generation_of(index);
                    let delay = self.delay();
                    let (node, kind) = match self.reach(index, to) {
                        Some(target) => (target, Kind::Sync(index, generation, request)),
                        None => (index, Kind::Synced(generation, to, None)),
                    };
                    self.push(delay, node, kind);
                }
                Action::ListContacts => {
                    self.count_call(Call::List);
                    let contacts = &self.platform.contacts;
                    let listed = contacts.iter().map(|one| address(*one, 7000)).collect();
                    if self.reaches_platform(index) {
                        let generation = self.generation_of(index);
                        self.push(2_000, index, Kind::Listed(generation, listed));
                    }
                }
                Action::Changed { member, .. } => {
                    if member.state == State::Dead
                        && let Some(node) = self.by_vm.get(&member.vm)
                    {
                        self.removals.push(Removal {
                            at: Duration::from_micros(self.now),
                            by: index,
                            node: *node,
                        });
                    }
                }
                Action::NewerRevision {
                    address,
                    rules,
                    homes,
                    ..
                } => {
                    if let Some(process) = &mut self.nodes[index].process {
                        process.rules.record_peer_revision(address, rules);
                        process.homes.record_peer_revision(address, homes);
                    }
                }
                Action::Replaced { .. } => self.kill(index),
                Action::ReachabilityChanged { .. } => {}
            }
        }
    }

    fn adopt(&mut self, index: usize, value: Value, actions: Vec<adoption::Action>) {
        let generation = self.generation_of(index);
        for action in actions {
            match action {
                adoption::Action::Pull { from, revision } => {
                    let delay = self.delay();
                    let (node, kind) = match self.reach(index, from) {
                        Some(target) => (target, Kind::Pull(index, generation, value, revision)),
                        None => (index, Kind::Pulled(generation, from, value, None)),
                    };
                    self.push(delay, node, kind);
                }
                adoption::Action::Read => {
                    self.count_call(Call::Read);
                    self.push(2_000, index, Kind::Read(generation, value));
                }
                adoption::Action::Watch { after } => {
                    self.count_call(Call::Watch);
                    let id = self.order;
                    self.platform.watches.insert((index, value), (id, after));
                    let answered =
                        !self.reaches_platform(index) || self.platform.revision(value) > after;
                    let wait = if answered {
                        2_000
                    } else {
                        WATCH_LIMIT.as_micros() as u64
                    };
                    self.push(wait, index, Kind::WatchEnd(generation, value, id));
                }
                adoption::Action::EndWatch => {
                    self.platform.watches.remove(&(index, value));
                }
            }
        }
    }

    fn wake_watches(&mut self) {
        let due: Vec<(usize, Value, u64)> = self
            .platform
            .watches
            .iter()
            .filter(|((_, value), (_, after))| self.platform.revision(*value) > *after)
            .map(|((node, value), (id, _))| (*node, *value, *id))
            .collect();
        for (node, value, id) in due {
            let generation = self.generation_of(node);
            self.push(2_000, node, Kind::WatchEnd(generation, value, id));
        }
    }

    /// Writes and renews the contact record of a daemon that should hold one.
    fn hold_contact(&mut self, index: usize) {
        let now = self.instant();
        let at = self.now;
        let renewal = RENEWAL
            .mul_f64(self.rng.random_range(0.75..1.25))
            .as_micros() as u64;
        let Some(process) = &mut self.nodes[index].process else {
            return;
        };
        if process.membership.is_contact(now) {
            if process.contact.is_none_or(|due| at >= due) {
                process.contact = Some(at + renewal);
                self.platform.contacts.insert(index);
                self.count_call(Call::Contact);
            }
        } else if process.contact.take().is_some() {
            self.platform.contacts.remove(&index);
            self.count_call(Call::Contact);
        }
    }

    /// Counts the waiting watches once a second.
    fn count_waiting(&mut self) {
        let second = self.now / 1_000_000;
        if second != self.counted {
            self.counted = second;
            let waiting = self.platform.watches.len() as u64;
            self.platform.calls.entry(second).or_default()[Call::Waiting as usize] += waiting;
        }
    }

    /// Highest number of platform calls in one second since `from`, waiting watches counted.
    pub fn peak_calls(&self, from: Duration) -> u64 {
        let calls = self.platform.calls.range(from.as_secs()..);
        calls
            .map(|(_, calls)| calls.iter().sum())
            .max()
            .unwrap_or(0)
    }

    /// Whether a daemon reaches the platform, which is outside the cut.
    fn reaches_platform(&self, index: usize) -> bool {
        !self.platform.down && !self.cut.contains(&self.nodes[index].data_centre)
    }

    /// Ends the watches that the platform can no longer answer.
    pub fn break_watches(&mut self) {
        let broken: Vec<(usize, Value, u64)> = self
            .platform
            .watches
            .iter()
            .filter(|((node, _), _)| !self.reaches_platform(*node))
            .map(|((node, value), (id, _))| (*node, *value, *id))
            .collect();
        for (node, value, id) in broken {
            let generation = self.generation_of(node);
            self.push(2_000, node, Kind::WatchEnd(generation, value, id));
        }
    }

    fn count_call(&mut self, call: Call) {
        let second = self.now / 1_000_000;
        self.platform.calls.entry(second).or_default()[call as usize] += 1;
    }

    fn call_bytes(&mut self, server: usize, client: usize, bytes: usize) {
        for index in [server, client] {
            let usage = &mut self.nodes[index].usage;
            usage.calls += 1;
            usage.sent += (bytes + CALL_FIXED) as u64 / 2;
            usage.received += (bytes + CALL_FIXED) as u64 / 2;
        }
    }

    fn generation_of(&self, index: usize) -> u64 {
        let process = self.nodes[index].process.as_ref();
        process.map_or(0, |one| one.generation)
    }

    fn reach(&self, from: usize, to: SocketAddr) -> Option<usize> {
        let target = *self.by_address.get(&to)?;
        let side = |index: usize| self.cut.contains(&self.nodes[index].data_centre);
        (side(from) == side(target)).then_some(target)
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(500..2_000)
    }
}

impl Process {
    pub fn adoption(&mut self, value: Value) -> &mut Adoption {
        match value {
            Value::Rules => &mut self.rules,
            Value::Homes => &mut self.homes,
        }
    }

    fn install(&mut self, value: Value, revision: Revision) {
        if self.adoption(value).adopt(revision) {
            let (rules, homes) = (self.rules.in_force(), self.homes.in_force());
            self.membership.set_revisions(rules, homes);
        }
    }
}

impl Platform {
    const fn revision(&self, value: Value) -> Revision {
        match value {
            Value::Rules => self.rules,
            Value::Homes => self.homes,
        }
    }
}

pub fn data_centre_name(index: usize) -> DataCentreName {
    format!("pt-centro-{index}").into()
}

pub fn address(index: usize, port: u16) -> SocketAddr {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], port))
}

/// Upper bound of the size of a datagram in bytes, all headers included.
pub fn datagram_bytes(message: &Message) -> usize {
    UDP_HEADERS + MESSAGE_FIXED + listing_bytes(&message.updates)
}

fn listing_bytes(members: &[Arc<Member>]) -> usize {
    members.iter().map(|one| one.wire_size()).sum()
}
