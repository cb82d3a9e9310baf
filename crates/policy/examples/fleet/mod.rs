//! Discrete-event simulation of many daemons' membership and adoption state machines.
//!
//! Datagrams are delayed and may be lost; syncs, pulls and platform calls are only delayed and fail
//! across a partition. A paused daemon handles everything that arrived once it resumes.

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
const UDP_HEADER_BYTES: usize = 28;
/// Upper bound of the authentication, names, sequence, revisions and digest of a datagram in bytes.
const MAX_MESSAGE_OVERHEAD_BYTES: usize = 32 + 110;
/// Headers, acknowledgements and HTTP/2 frames of one control call in bytes.
const CALL_OVERHEAD_BYTES: usize = 700;
/// Size of a pulled value in bytes: rules for 100 call kinds and 100 customers, 150 bytes a line.
const VALUE_BYTES: usize = 30_000;
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
const CONTACT_RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
const FIRST_INCARNATION: Incarnation = 1_700_000_000_000_000;

/// Values that daemons adopt from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Value {
    Rules,
    Homes,
}

/// Kinds of platform calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformCall {
    /// Watch that waits for a change, counted once a second.
    WaitingWatch,
    /// Start of a watch.
    Watch,
    Read,
    ListContacts,
    WriteContact,
}

/// One daemon process.
#[derive(Debug)]
pub struct Process {
    pub membership: Membership,
    pub rules: Adoption,
    pub homes: Adoption,
    /// Distinguishes events for this process from those for an earlier one on the VM.
    generation: u64,
    /// When the contact record is renewed next, in microseconds.
    contact_renewal: Option<u64>,
}

/// Traffic and processor time of one daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub datagrams: u64,
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Control calls, as client or server.
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
    /// Start of the process or end of its last pause, in microseconds.
    paused_until: u64,
    last_incarnation: Incarnation,
}

/// Kind of an [`Event`], with the generation of the process that handles it. A request has the node
/// and generation that receive the outcome instead.
#[derive(Debug)]
enum EventKind {
    Tick(u64),
    Datagram(Box<Message>),
    SyncRequest(usize, u64, SyncRequest),
    SyncOutcome(u64, SocketAddr, Option<SyncReply>),
    PullRequest(usize, u64, Value, Revision),
    PullOutcome(u64, SocketAddr, Value, Option<Revision>),
    ReadOutcome(u64, Value),
    WatchOutcome(u64, Value, u64),
    ContactList(u64, Vec<SocketAddr>),
}

/// Event of the simulation. Earlier events compare as greater, so that the heap pops them first;
/// events at the same time are handled in the order of their creation.
#[derive(Debug)]
struct Event {
    /// Time in microseconds.
    at: u64,
    order: u64,
    node: usize,
    kind: EventKind,
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

/// Simulated platform with two values and the contact records.
#[derive(Debug, Default)]
pub struct Platform {
    pub rules: Revision,
    pub homes: Revision,
    pub unavailable: bool,
    /// Calls in each second by [`PlatformCall`].
    pub calls: BTreeMap<u64, [u64; 5]>,
    /// Id and last known revision of each watch, by node and value.
    watches: BTreeMap<(usize, Value), (u64, Revision)>,
    /// Nodes with a contact record.
    contacts: BTreeSet<usize>,
}

/// Removal of a member from a daemon's table.
#[derive(Clone, Copy, Debug)]
pub struct Removal {
    pub at: Duration,
    pub by: usize,
    pub node: usize,
}

/// Simulated fleet of daemons.
#[derive(Debug)]
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub platform: Platform,
    /// Fraction of the datagrams that are lost.
    pub loss: f64,
    /// Data centres that can reach only each other, and not the platform.
    pub partitioned: BTreeSet<usize>,
    pub removals: Vec<Removal>,
    start: Instant,
    /// Simulated time since the start, in microseconds.
    now: u64,
    counted_second: u64,
    event_count: u64,
    last_generation: u64,
    seed: u64,
    rng: SmallRng,
    events: BinaryHeap<Event>,
    node_by_address: HashMap<SocketAddr, usize>,
    node_by_vm: HashMap<VmId, usize>,
}

impl Fleet {
    /// Creates VMs spread evenly over the data centres, without running processes.
    pub fn new(daemons: usize, data_centres: usize, loss: f64, seed: u64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            platform: Platform::default(),
            loss,
            partitioned: BTreeSet::new(),
            removals: Vec::new(),
            start: Instant::now(),
            now: 0,
            counted_second: 0,
            event_count: 0,
            last_generation: 0,
            seed,
            rng: SmallRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            node_by_address: HashMap::new(),
            node_by_vm: HashMap::new(),
        };
        for index in 0..daemons {
            let data_centre = index % data_centres;
            let vm: VmId = format!("pt-centro-{data_centre}-vm-{index:04}").into();
            fleet.node_by_address.insert(address(index, 7000), index);
            fleet.node_by_address.insert(address(index, 7001), index);
            fleet.node_by_vm.insert(VmId::clone(&vm), index);
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

    /// Creates a fleet in which every daemon runs and knows all others.
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
            let mut reply_members = members.clone();
            reply_members.swap(0, contact);
            let Some(process) = &mut fleet.nodes[index].process else {
                continue;
            };
            let reply = SyncReply {
                members: reply_members,
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

    /// Starts a new process on a VM. `contacts` are the nodes in its settings to join through.
    pub fn start(&mut self, index: usize, contacts: &[usize]) {
        self.last_generation += 1;
        let generation = self.last_generation;
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
            contact_renewal: None,
        });
        let first_tick = self.rng.random_range(0..TICK_INTERVAL.as_micros() as u64);
        self.push(first_tick, index, EventKind::Tick(generation));
    }

    /// Ends a process without a drain or a leave.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].process = None;
        self.platform.contacts.remove(&index);
        self.platform.watches.retain(|(node, _), _| *node != index);
    }

    /// Separates the given data centres from all others and from the platform. An empty slice heals
    /// the partition.
    pub fn partition(&mut self, data_centres: &[usize]) {
        self.partitioned = data_centres.iter().copied().collect();
        self.fail_watches();
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

    /// Writes a new rules revision to the platform and returns it.
    pub fn write_rules(&mut self) -> Revision {
        self.platform.rules += 1;
        self.complete_watches();
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

    /// Returns the running processes with the indices of their nodes.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Process)> {
        let nodes = self.nodes.iter().enumerate();
        nodes.filter_map(|(index, node)| Some((index, node.process.as_ref()?)))
    }

    /// Returns the state of node `of` in the table of node `by`.
    pub fn state_seen(&self, by: usize, of: usize) -> Option<State> {
        let view = self.membership(by)?.member(&self.nodes[of].vm)?;
        Some(view.member.state)
    }

    /// Simulates `time`.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time.as_micros() as u64;
        while self.process_next(until) {}
        self.now = until;
    }

    /// Runs until `done` holds, checked twice per [`TICK_INTERVAL`], or for `limit`. Returns the
    /// time taken, or `None` if `done` never held.
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

    /// Schedules an event after `delay` microseconds.
    fn push(&mut self, delay: u64, node: usize, kind: EventKind) {
        self.event_count += 1;
        self.events.push(Event {
            at: self.now + delay,
            order: self.event_count,
            node,
            kind,
        });
    }

    /// Handles the next event up to `until`; returns `false` if there is none.
    fn process_next(&mut self, until: u64) -> bool {
        if self.events.peek().is_none_or(|event| event.at > until) {
            return false;
        }
        let Some(mut event) = self.events.pop() else {
            return false;
        };
        self.now = self.now.max(event.at);
        self.count_waiting_watches();
        let paused_until = self.nodes[event.node].paused_until;
        if paused_until > self.now {
            event.at = paused_until;
            self.events.push(event);
            return true;
        }
        self.handle_event(event.node, event.kind);
        true
    }

    fn handle_event(&mut self, index: usize, kind: EventKind) {
        let now = self.instant();
        let reaches_platform = self.reaches_platform(index);
        let started = Instant::now();
        let Some(process) = &mut self.nodes[index].process else {
            if let EventKind::SyncRequest(from, generation, _) = kind {
                let failed = EventKind::SyncOutcome(generation, address(index, 7000), None);
                self.push(1_000, from, failed);
            }
            return;
        };
        let is_current = |generation: u64| generation == process.generation;
        let membership = &mut process.membership;
        match kind {
            EventKind::Tick(generation) if is_current(generation) => {
                let actions = membership.tick(now);
                process.rules.set_relay(membership.is_relay());
                process.homes.set_relay(membership.is_relay());
                let rules = process.rules.tick(now);
                let homes = process.homes.tick(now);
                self.nodes[index].usage.busy += started.elapsed();
                self.perform(index, actions);
                self.perform_adoption(index, Value::Rules, rules);
                self.perform_adoption(index, Value::Homes, homes);
                self.update_contact(index);
                self.push(
                    TICK_INTERVAL.as_micros() as u64,
                    index,
                    EventKind::Tick(generation),
                );
            }
            EventKind::Datagram(message) => {
                let bytes = datagram_bytes(&message) as u64;
                let actions = membership.receive(now, *message);
                let usage = &mut self.nodes[index].usage;
                usage.busy += started.elapsed();
                usage.received += bytes;
                self.perform(index, actions);
            }
            EventKind::SyncRequest(from, generation, request) => {
                let (reply, actions) = membership.handle_sync_request(now, &request);
                let bytes = members_bytes(&request.members) + members_bytes(&reply.members);
                self.nodes[index].usage.busy += started.elapsed();
                self.record_call_bytes(index, from, bytes);
                self.perform(index, actions);
                let delay = self.random_delay();
                let synced = EventKind::SyncOutcome(generation, address(index, 7000), Some(reply));
                self.push(delay, from, synced);
            }
            EventKind::SyncOutcome(generation, from, reply) if is_current(generation) => {
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
                self.nodes[index].usage.busy += started.elapsed();
                self.perform(index, actions);
            }
            EventKind::PullRequest(from, generation, value, _) => {
                let revision = process.adoption(value).in_force();
                self.record_call_bytes(index, from, VALUE_BYTES);
                let delay = self.random_delay();
                let pulled =
                    EventKind::PullOutcome(generation, address(index, 7000), value, Some(revision));
                self.push(delay, from, pulled);
            }
            EventKind::PullOutcome(generation, from, value, revision) if is_current(generation) => {
                process.adopt_revision(value, revision.unwrap_or(0));
                process
                    .adoption(value)
                    .pull_ended(now, from, revision.is_some());
            }
            EventKind::ReadOutcome(generation, value) if is_current(generation) => {
                let revision = self.platform.revision(value);
                if reaches_platform {
                    process.adopt_revision(value, revision);
                }
                process.adoption(value).read_ended(now, reaches_platform);
            }
            EventKind::WatchOutcome(generation, value, id) if is_current(generation) => {
                let watch = self.platform.watches.get(&(index, value));
                if watch.is_some_and(|(current, _)| *current == id) {
                    self.platform.watches.remove(&(index, value));
                    if reaches_platform {
                        process.adopt_revision(value, self.platform.revision(value));
                    }
                    process.adoption(value).watch_ended(now, reaches_platform);
                }
            }
            EventKind::ContactList(generation, contacts) if is_current(generation) => {
                process.membership.handle_contacts(now, contacts);
            }
            _ => {}
        }
    }

    fn perform(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let usage = &mut self.nodes[index].usage;
                    usage.datagrams += 1;
                    usage.sent += datagram_bytes(&message) as u64;
                    let lost = self.rng.random_bool(self.loss);
                    if let Some(target) = self.reachable_node(index, to)
                        && !lost
                    {
                        let delay = self.random_delay();
                        self.push(delay, target, EventKind::Datagram(Box::new(message)));
                    }
                }
                Action::Sync { to, request } => {
                    let generation = self.generation_of(index);
                    let delay = self.random_delay();
                    let (node, kind) = match self.reachable_node(index, to) {
                        Some(target) => {
                            (target, EventKind::SyncRequest(index, generation, request))
                        }
                        None => (index, EventKind::SyncOutcome(generation, to, None)),
                    };
                    self.push(delay, node, kind);
                }
                Action::ListContacts => {
                    self.count_call(PlatformCall::ListContacts);
                    let contacts = &self.platform.contacts;
                    let listed = contacts.iter().map(|one| address(*one, 7000)).collect();
                    if self.reaches_platform(index) {
                        let generation = self.generation_of(index);
                        self.push(2_000, index, EventKind::ContactList(generation, listed));
                    }
                }
                Action::Changed { member, .. } => {
                    if member.state == State::Dead
                        && let Some(node) = self.node_by_vm.get(&member.vm)
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

    fn perform_adoption(&mut self, index: usize, value: Value, actions: Vec<adoption::Action>) {
        let generation = self.generation_of(index);
        for action in actions {
            match action {
                adoption::Action::Pull { from, revision } => {
                    let delay = self.random_delay();
                    let (node, kind) = match self.reachable_node(index, from) {
                        Some(target) => (
                            target,
                            EventKind::PullRequest(index, generation, value, revision),
                        ),
                        None => (index, EventKind::PullOutcome(generation, from, value, None)),
                    };
                    self.push(delay, node, kind);
                }
                adoption::Action::Read => {
                    self.count_call(PlatformCall::Read);
                    self.push(2_000, index, EventKind::ReadOutcome(generation, value));
                }
                adoption::Action::Watch { after } => {
                    self.count_call(PlatformCall::Watch);
                    let id = self.event_count;
                    self.platform.watches.insert((index, value), (id, after));
                    let completes =
                        !self.reaches_platform(index) || self.platform.revision(value) > after;
                    let wait = if completes {
                        2_000
                    } else {
                        WATCH_TIMEOUT.as_micros() as u64
                    };
                    self.push(wait, index, EventKind::WatchOutcome(generation, value, id));
                }
                adoption::Action::EndWatch => {
                    self.platform.watches.remove(&(index, value));
                }
            }
        }
    }

    /// Completes the watches whose value has a newer revision.
    fn complete_watches(&mut self) {
        let completed: Vec<(usize, Value, u64)> = self
            .platform
            .watches
            .iter()
            .filter(|((_, value), (_, after))| self.platform.revision(*value) > *after)
            .map(|((node, value), (id, _))| (*node, *value, *id))
            .collect();
        for (node, value, id) in completed {
            let generation = self.generation_of(node);
            self.push(2_000, node, EventKind::WatchOutcome(generation, value, id));
        }
    }

    /// Writes, renews or deletes the contact record of a daemon, as its membership requires.
    fn update_contact(&mut self, index: usize) {
        let now = self.instant();
        let at = self.now;
        let renewal = CONTACT_RENEWAL_INTERVAL
            .mul_f64(self.rng.random_range(0.75..1.25))
            .as_micros() as u64;
        let Some(process) = &mut self.nodes[index].process else {
            return;
        };
        if process.membership.is_contact(now) {
            if process
                .contact_renewal
                .is_none_or(|renew_at| at >= renew_at)
            {
                process.contact_renewal = Some(at + renewal);
                self.platform.contacts.insert(index);
                self.count_call(PlatformCall::WriteContact);
            }
        } else if process.contact_renewal.take().is_some() {
            self.platform.contacts.remove(&index);
            self.count_call(PlatformCall::WriteContact);
        }
    }

    /// Counts the waiting watches once per second.
    fn count_waiting_watches(&mut self) {
        let second = self.now / 1_000_000;
        if second != self.counted_second {
            self.counted_second = second;
            let waiting = self.platform.watches.len() as u64;
            self.platform.calls.entry(second).or_default()[PlatformCall::WaitingWatch as usize] +=
                waiting;
        }
    }

    /// Returns the highest number of platform calls in one second since `from`, waiting watches
    /// included.
    pub fn peak_calls(&self, from: Duration) -> u64 {
        let calls = self.platform.calls.range(from.as_secs()..);
        calls
            .map(|(_, calls)| calls.iter().sum())
            .max()
            .unwrap_or(0)
    }

    /// Whether a daemon can reach the platform, which is outside the partitioned data centres.
    fn reaches_platform(&self, index: usize) -> bool {
        !self.platform.unavailable && !self.partitioned.contains(&self.nodes[index].data_centre)
    }

    /// Fails the watches whose daemons can no longer reach the platform.
    pub fn fail_watches(&mut self) {
        let broken: Vec<(usize, Value, u64)> = self
            .platform
            .watches
            .iter()
            .filter(|((node, _), _)| !self.reaches_platform(*node))
            .map(|((node, value), (id, _))| (*node, *value, *id))
            .collect();
        for (node, value, id) in broken {
            let generation = self.generation_of(node);
            self.push(2_000, node, EventKind::WatchOutcome(generation, value, id));
        }
    }

    fn count_call(&mut self, call: PlatformCall) {
        let second = self.now / 1_000_000;
        self.platform.calls.entry(second).or_default()[call as usize] += 1;
    }

    /// Counts a control call and its bytes at both ends.
    fn record_call_bytes(&mut self, server: usize, client: usize, bytes: usize) {
        for index in [server, client] {
            let usage = &mut self.nodes[index].usage;
            usage.calls += 1;
            usage.sent += (bytes + CALL_OVERHEAD_BYTES) as u64 / 2;
            usage.received += (bytes + CALL_OVERHEAD_BYTES) as u64 / 2;
        }
    }

    fn generation_of(&self, index: usize) -> u64 {
        let process = self.nodes[index].process.as_ref();
        process.map_or(0, |one| one.generation)
    }

    /// Returns the node with address `to` if `from` can reach it.
    fn reachable_node(&self, from: usize, to: SocketAddr) -> Option<usize> {
        let target = *self.node_by_address.get(&to)?;
        let is_partitioned =
            |index: usize| self.partitioned.contains(&self.nodes[index].data_centre);
        (is_partitioned(from) == is_partitioned(target)).then_some(target)
    }

    /// Returns a random network delay in microseconds.
    fn random_delay(&mut self) -> u64 {
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

    fn adopt_revision(&mut self, value: Value, revision: Revision) {
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

/// Returns an upper bound of the size of a datagram in bytes, all headers included.
pub fn datagram_bytes(message: &Message) -> usize {
    UDP_HEADER_BYTES + MAX_MESSAGE_OVERHEAD_BYTES + members_bytes(&message.updates)
}

fn members_bytes(members: &[Arc<Member>]) -> usize {
    members.iter().map(|one| one.wire_size()).sum()
}
