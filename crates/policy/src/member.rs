//! Gossip membership.
//!
//! Each daemon probes one member of its data centre a second, directly and then through others,
//! and suspects a member that does not answer. A suspect has [`SUSPICION_TIMEOUT`] to refute by raising its
//! version; only a member raises its own version. Records are ordered by incarnation, version and
//! state, so an old process never displaces its replacement.
//!
//! Changes are pushed to a few random members at once and then piggybacked on probes a number of
//! times that grows with the logarithm of the membership. Digests of the live members travel with
//! every message; a lasting difference starts a full sync.
//!
//! A data centre is the only authority on its members. Its relays send deltas to relays of the
//! others, and a record of a member is accepted only from the member's own data centre or from a
//! daemon of the receiver's.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use self::queue::Queue;
use self::table::Table;
use crate::id::{DataCentreName, Incarnation, Revision, ServiceName, VmId};

pub use self::message::{Body, Member, Message, State, SyncReply, SyncRequest};

mod answer;
mod merge;
mod message;
mod queue;
mod spread;
mod table;
#[cfg(test)]
mod tests;
mod timer;

/// Interval at which [`Membership::tick`] is to be called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two probes by one daemon.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a suspect has to refute.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);
/// Size limit of one datagram in bytes, authentication included.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Daemons of each data centre that act as relays.
pub const RELAYS_PER_DATA_CENTRE: usize = 3;
/// Daemons of each data centre that hold a contact record.
pub const CONTACTS_PER_DATA_CENTRE: usize = 5;

/// Time without an answer after which other members are asked to probe.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Age of a suspicion at which its holder asks the suspect once more, because a refutation may have
/// been lost.
const LAST_CHANCE: Duration = Duration::from_secs(4);
/// Members asked to probe for this one.
const HELPERS: usize = 3;
/// Members that a change is pushed to.
const FANOUT: usize = 3;
/// Members that a daemon tells directly of its own refutation, drain or departure. Gossip takes
/// several hops, and a suspect that returns late has less than that left.
const TOLD_DIRECTLY: usize = 256;
/// Shortest time between two pushes; bounds the bytes of a mass change.
const PUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two deltas to each other data centre when nothing changes.
const DELTA_PERIOD: Duration = Duration::from_secs(1);
/// Shortest time between two deltas.
const DELTA_INTERVAL: Duration = Duration::from_millis(250);
/// Transmissions of one update by one relay to each other data centre.
const DELTA_TRANSMISSIONS: u32 = 3;
/// Silence after which a relay reports a data centre as unreachable. The last relay of a data centre
/// reaches each of [`RELAYS_PER_DATA_CENTRE`] relays every 3 s, so one lost delta does not count as silence.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(8);
/// Gap between ticks that counts as a pause of this daemon.
const PAUSE: Duration = Duration::from_secs(1);
/// Pause after which this daemon takes the table of its peers in place of its own.
const REJOIN_AFTER: Duration = Duration::from_mins(10);
/// Silence of all members of the data centre after which this daemon removes none.
const ISOLATED_AFTER: Duration = Duration::from_secs(3);
/// Time for which removals count towards the suspicion limit.
const REMOVAL_WINDOW: Duration = Duration::from_mins(10);
/// Silence of all members after which contacts are asked again.
const LONELY_AFTER: Duration = Duration::from_secs(15);
/// Lasting difference of digests within the data centre before a full sync.
const MISMATCH: Duration = Duration::from_secs(10);
/// Lasting difference of digests with another data centre before an exchange.
const DELTA_MISMATCH: Duration = Duration::from_secs(3);
/// Shortest time between two full syncs by one daemon.
const SYNC_INTERVAL: Duration = Duration::from_secs(15);
/// Shortest time between two exchanges with one data centre.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which a sync without an answer counts as failed.
const SYNC_TIMEOUT: Duration = Duration::from_secs(10);
/// Age of a record that its own data centre does not list before it is forgotten.
const FORGET_ABSENT: Duration = Duration::from_mins(1);
/// Time for which syncs carry members that left or died.
const TOMBSTONE_SYNC: Duration = Duration::from_mins(10);
/// Time for which members that left or died are remembered.
const TOMBSTONE: Duration = Duration::from_hours(24);
/// Time between two attempts to reach a dead member.
const RECONNECT_PERIOD: Duration = Duration::from_secs(30);
/// Shortest time between two repetitions of an update to members that hold an older one.
const CORRECTION_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest and longest time after joining before a newcomer acts as relay or contact. Newcomers
/// that join together do not know of each other at first.
const SETTLE_JOINED: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(8));
/// First and longest wait between join attempts.
const JOIN_BACKOFF: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// Longest wait between attempts of a daemon that has a table and hears nobody. Each fetches a table.
const LONELY_BACKOFF: Duration = Duration::from_mins(2);
/// Contacts asked at once.
const JOIN_CONTACTS: usize = 2;
/// Peers asked at once by a daemon that was paused. Some of those that it knows may be gone.
const REPAIR_PEERS: usize = 3;
/// Time between two readings of the contact records by a daemon that reaches nobody. The first one
/// is at a random point within it, so that a fleet that starts at once is spread over it.
const LISTING_PERIOD: Duration = Duration::from_secs(20);
/// Earliest and latest time at which a daemon that found nobody acts as relay and contact. Later
/// than the first reading of the contact records, so that a fleet that starts at once does not
/// consist of relays.
const SETTLE: (Duration, Duration) = (Duration::from_secs(25), Duration::from_secs(45));
/// Bytes of a datagram besides names and updates: authentication, varints and tags.
const FRAMING: usize = 32 + 150;

/// What the daemon has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Gossip address.
        to: SocketAddr,
        /// Datagram.
        message: Message,
    },
    /// Call `Sync` and pass the outcome to [`Membership::handle_sync_reply`] or
    /// [`Membership::handle_sync_failure`].
    Sync {
        /// Call address.
        to: SocketAddr,
        /// Request.
        request: SyncRequest,
    },
    /// Read the contact records in the platform and pass them to
    /// [`Membership::handle_contacts`].
    ListContacts,
    /// A member was learned, changed or removed.
    Changed {
        /// New record.
        member: Arc<Member>,
        /// Record before; none for a new member.
        previous: Option<Arc<Member>>,
    },
    /// A data centre became unreachable or reachable.
    ReachabilityChanged {
        /// Data centre.
        data_centre: DataCentreName,
        /// Whether its relays are heard.
        reachable: bool,
    },
    /// A peer has a higher revision in force than this daemon.
    NewerRevision {
        /// Peer.
        vm: VmId,
        /// Call address of the peer.
        address: SocketAddr,
        /// Rules revision in force at the peer.
        rules: Revision,
        /// Home map revision in force at the peer.
        homes: Revision,
    },
    /// Another process with this VM's id and a higher incarnation exists. This one must end.
    Replaced {
        /// Incarnation of the other process.
        incarnation: Incarnation,
    },
}

/// Service of an endpoint as its daemon publishes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Service name.
    pub service: ServiceName,
    /// Concurrent calls that the endpoint takes.
    pub slots: u32,
    /// Whether it started less than the warm-up time ago.
    pub cold: bool,
}

/// One member as this daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Record.
    pub member: Arc<Member>,
    /// Whether the member is suspected, also while it drains.
    pub suspect: bool,
    /// Whether the member's data centre cannot be reached.
    pub unreachable: bool,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages of processes that were replaced.
    pub ignored_messages: u64,
    /// Records that were older than the known one or came from a data centre without authority.
    pub ignored_records: u64,
    /// Suspicions raised by this daemon.
    pub suspected: u64,
    /// Members removed by this daemon.
    pub removed: u64,
    /// Removals that the suspicion limit held back.
    pub removals_held: u64,
    /// Accusations that this daemon refuted.
    pub refuted: u64,
    /// Pauses of this daemon.
    pub pauses: u64,
    /// Syncs started by this daemon.
    pub syncs: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// Has no table of another daemon.
    New,
    Joined,
    /// Was paused for so long that peers may have removed it and stopped to tell it of changes.
    Paused,
    /// Was paused for so long that its table is out of date.
    Stale,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Push {
    /// To a few members, which pass it on.
    Gossip,
    /// Also this daemon's own record to [`TOLD_DIRECTLY`] members.
    Tell,
}

#[derive(Debug)]
struct Probe {
    vm: VmId,
    address: SocketAddr,
    sequence: u64,
    started: Instant,
    indirect: bool,
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    since: Instant,
    asked: bool,
}

impl Suspicion {
    const fn new(since: Instant) -> Self {
        let asked = false;
        Self { since, asked }
    }
}

#[derive(Debug)]
struct Help {
    requester: SocketAddr,
    sequence: u64,
    until: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    /// Whole table for a daemon that has none.
    Join,
    /// Whole table in place of the own one.
    Rejoin,
    /// Whole table besides the own one.
    Repair,
    /// Members of the two data centres.
    Exchange,
}

/// Observations of another data centre.
#[derive(Debug)]
struct Remote {
    heard: Instant,
    matched: Instant,
    exchanged: Option<Instant>,
    /// Members that sent a delta and when.
    senders: BTreeMap<VmId, Instant>,
    outbox: Queue,
}

/// Membership of one daemon.
#[derive(Debug)]
pub struct Membership {
    own: Arc<Member>,
    table: Table,
    rng: SmallRng,
    queue: Queue,
    remotes: BTreeMap<DataCentreName, Remote>,
    suspects: BTreeMap<VmId, Suspicion>,
    removals: Vec<(VmId, Instant)>,
    unreachable: BTreeSet<DataCentreName>,
    counters: Counters,
    rules: Revision,
    homes: Revision,

    sequence: u64,
    round: Vec<VmId>,
    probe: Option<Probe>,
    help: HashMap<u64, Help>,
    next_probe: Instant,
    next_reconnect: Instant,
    last_tick: Instant,
    last_contact: Instant,
    last_match: Instant,
    last_correction: Option<Instant>,

    push: Option<Push>,
    last_push: Option<Instant>,
    relay: bool,
    delta: bool,
    last_delta: Instant,
    turn: usize,

    contacts: Vec<SocketAddr>,
    next_listing: Instant,
    syncs: HashMap<SocketAddr, (Scope, Instant)>,
    standing: Standing,
    settled_at: Instant,
    next_join: Instant,
    join_wait: Duration,
    next_repair: Instant,
}

impl Membership {
    /// Starts with the daemon's own record only.
    ///
    /// `own` gives the ids and addresses of this daemon; its incarnation is the start of the
    /// process.
    #[must_use]
    pub fn new(now: Instant, own: Member, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let own = Arc::new(own);
        let mut table = Table::default();
        table.insert(Arc::clone(&own), now);
        let settle = rng.random_range(SETTLE.0..SETTLE.1);
        Self {
            table,
            queue: Queue::default(),
            remotes: BTreeMap::new(),
            suspects: BTreeMap::new(),
            removals: Vec::new(),
            unreachable: BTreeSet::new(),
            counters: Counters::default(),
            rules: 0,
            homes: 0,
            sequence: 0,
            round: Vec::new(),
            probe: None,
            help: HashMap::new(),
            next_probe: now + rng.random_range(Duration::ZERO..PROBE_INTERVAL),
            next_reconnect: now + rng.random_range(Duration::ZERO..RECONNECT_PERIOD),
            last_tick: now,
            last_contact: now,
            last_match: now,
            last_correction: None,
            push: None,
            last_push: None,
            relay: false,
            delta: false,
            last_delta: now,
            turn: rng.random_range(0..RELAYS_PER_DATA_CENTRE),
            contacts: Vec::new(),
            next_listing: now + rng.random_range(Duration::ZERO..LISTING_PERIOD),
            syncs: HashMap::new(),
            standing: Standing::New,
            settled_at: now + settle,
            next_join: now,
            join_wait: JOIN_BACKOFF.0,
            next_repair: now,
            own,
            rng,
        }
    }

    /// Call addresses to join through. Replaces those given before.
    pub fn set_contacts(&mut self, now: Instant, contacts: Vec<SocketAddr>) {
        let own = self.own.call_address;
        self.contacts = contacts.into_iter().filter(|at| *at != own).collect();
        if self.standing == Standing::New {
            self.next_join = now;
        }
    }

    /// Takes the outcome of an [`Action::ListContacts`].
    ///
    /// A daemon that finds no record is the first of the fleet and need not wait for others.
    pub fn handle_contacts(&mut self, now: Instant, contacts: Vec<SocketAddr>) {
        if contacts.is_empty() && self.contacts.is_empty() && !self.is_joined() {
            self.settled_at = self.settled_at.min(now);
        }
        if !contacts.is_empty() {
            self.set_contacts(now, contacts);
        }
    }

    /// Revisions that this daemon has in force. A rise is pushed to other members.
    pub fn set_revisions(&mut self, rules: Revision, homes: Revision) {
        if rules > self.rules || homes > self.homes {
            self.rules = self.rules.max(rules);
            self.homes = self.homes.max(homes);
            self.push = self.push.max(Some(Push::Gossip));
            self.delta = true;
        }
    }

    /// Publishes the endpoint on this VM, or that there is none.
    pub fn set_endpoint(&mut self, now: Instant, endpoint: Option<Endpoint>) {
        let (service, slots, cold) = endpoint.map_or((None, 0, false), |endpoint| {
            (Some(endpoint.service), endpoint.slots, endpoint.cold)
        });
        let own = &self.own;
        if (&own.service, own.slots, own.cold) != (&service, slots, cold) {
            self.publish(now, Push::Gossip, |own| {
                own.service = service;
                own.slots = slots;
                own.cold = cold;
            });
        }
    }

    /// Publishes that this daemon takes no new work. It does not take it up again.
    pub fn drain(&mut self, now: Instant) {
        if self.own.state == State::Alive {
            self.publish(now, Push::Tell, |own| own.state = State::Draining);
        }
    }

    /// Publishes that this daemon ends. It must be ticked for another second to spread this.
    pub fn leave(&mut self, now: Instant) {
        if self.own.state != State::Left {
            self.publish(now, Push::Tell, |own| own.state = State::Left);
        }
    }

    /// Makes a member the next one to be probed, for example after a failed connection to it.
    pub fn probe_next(&mut self, vm: &VmId) {
        let local = self.table.get(vm).is_some_and(|entry| {
            entry.record.state == State::Alive && entry.record.data_centre == self.own.data_centre
        });
        if local && *vm != self.own.vm && self.round.last() != Some(vm) {
            self.round.push(VmId::clone(vm));
        }
    }

    /// Advances all timers. To be called every [`TICK_INTERVAL`].
    #[must_use]
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.observe_pause(now);
        self.last_tick = now;
        self.help.retain(|_, help| help.until > now);
        self.tick_probe(now, &mut actions);
        self.tick_suspects(now, &mut actions);
        self.tick_relay(now, &mut actions);
        self.tick_reachable(&mut actions);
        self.tick_push(now, &mut actions);
        self.tick_join(now, &mut actions);
        if now >= self.next_reconnect {
            self.next_reconnect = now + jitter(&mut self.rng, RECONNECT_PERIOD);
            self.forget(now);
            self.reconnect(&mut actions);
        }
        actions
    }

    /// Takes a verified datagram.
    #[must_use]
    pub fn receive(&mut self, now: Instant, message: Message) -> Vec<Action> {
        let mut actions = Vec::new();
        self.observe_pause(now);
        if message.from == self.own.vm {
            self.observe_namesake(message.incarnation, &mut actions);
            return actions;
        }
        let known = self.table.get(&message.from).map(|entry| &entry.record);
        if known.is_some_and(|known| known.incarnation > message.incarnation) {
            self.counters.ignored_messages += 1;
            // The replaced process may still run; it ends when it learns of its replacement.
            self.correct(now, &message.from, &mut actions);
            return actions;
        }
        let own_record = message.updates.iter().find(|one| one.vm == message.from);
        let Some(sender) = own_record.or(known).map(Arc::clone) else {
            self.counters.ignored_messages += 1;
            return actions;
        };
        if sender.data_centre == self.own.data_centre {
            self.last_contact = now;
        }
        for record in &message.updates {
            self.accept(now, record, &sender.data_centre, true, &mut actions);
        }
        self.observe_sender(now, &message, &sender, &mut actions);
        self.answer(now, message, &sender, &mut actions);
        actions
    }

    /// Answers another daemon's sync.
    #[must_use]
    pub fn handle_sync_request(
        &mut self,
        now: Instant,
        request: &SyncRequest,
    ) -> (SyncReply, Vec<Action>) {
        let mut actions = Vec::new();
        let scope = if request.members.len() > 1 {
            Scope::Exchange
        } else {
            Scope::Join
        };
        if let Some(sender) = request.members.first() {
            self.reconcile(now, sender, &request.members, scope, true, &mut actions);
        }
        let reply = SyncReply {
            members: self.listing(now, scope),
            rules: self.rules,
            homes: self.homes,
        };
        (reply, actions)
    }

    /// Takes the answer of the peer at `from` to an [`Action::Sync`].
    #[must_use]
    pub fn handle_sync_reply(
        &mut self,
        now: Instant,
        from: SocketAddr,
        reply: &SyncReply,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some((scope, _)) = self.syncs.remove(&from) else {
            return actions;
        };
        let Some(sender) = reply.members.first() else {
            return actions;
        };
        self.reconcile(now, sender, &reply.members, scope, false, &mut actions);
        match scope {
            Scope::Join => {
                if self.standing == Standing::New {
                    let settle = self.rng.random_range(SETTLE_JOINED.0..SETTLE_JOINED.1);
                    self.settled_at = now + settle;
                    self.last_contact = now;
                    self.last_match = now;
                }
                self.standing = Standing::Joined;
                self.join_wait = JOIN_BACKOFF.0;
                let own = VmId::clone(&self.own.vm);
                self.spread(&own);
                if sender.data_centre != self.own.data_centre {
                    // Another data centre may have been cut off and know old members of this one.
                    for peer in self.random_peers(JOIN_CONTACTS) {
                        self.start_sync(now, peer, Scope::Repair, &mut actions);
                    }
                }
            }
            Scope::Rejoin => self.standing = Standing::Joined,
            Scope::Repair if self.standing == Standing::Paused => {
                self.standing = Standing::Joined;
            }
            Scope::Repair | Scope::Exchange => {}
        }
        self.observe_revisions(sender, reply.rules, reply.homes, &mut actions);
        actions
    }

    /// Takes the failure of an [`Action::Sync`].
    pub fn handle_sync_failure(&mut self, from: SocketAddr) {
        self.syncs.remove(&from);
    }

    /// Whether this daemon has the table of another one.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.standing != Standing::New
    }

    /// Whether this daemon is a relay of its data centre and watches the platform.
    #[must_use]
    pub const fn is_relay(&self) -> bool {
        self.relay
    }

    /// Whether this daemon should hold a contact record in the platform.
    #[must_use]
    pub fn is_contact(&self, now: Instant) -> bool {
        now >= self.settled_at && self.is_among_lowest(CONTACTS_PER_DATA_CENTRE)
    }

    /// Relays of a data centre as this daemon knows them.
    pub fn relays<'a>(&'a self, data_centre: &str) -> impl Iterator<Item = &'a Arc<Member>> {
        self.table.lowest(data_centre, RELAYS_PER_DATA_CENTRE)
    }

    /// All members, also those that left or died and are still remembered.
    pub fn members(&self) -> impl Iterator<Item = MemberView> {
        self.table.entries().map(|entry| self.view(&entry.record))
    }

    /// One member.
    #[must_use]
    pub fn member(&self, vm: &str) -> Option<MemberView> {
        self.table.get(vm).map(|entry| self.view(&entry.record))
    }

    /// Number of live members of a data centre.
    #[must_use]
    pub fn live_count(&self, data_centre: &str) -> usize {
        self.table.live(data_centre).len()
    }

    /// Up to `count` random call addresses of other live members of this data centre.
    pub fn random_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        self.random_members(count, None)
            .iter()
            .map(|member| member.call_address)
            .collect()
    }

    /// This daemon's own record.
    #[must_use]
    pub const fn own(&self) -> &Arc<Member> {
        &self.own
    }

    /// Data centres that cannot be reached.
    #[must_use]
    pub const fn unreachable(&self) -> &BTreeSet<DataCentreName> {
        &self.unreachable
    }

    /// Counts since the start.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }
}

/// `period` varied by up to a quarter.
fn jitter(rng: &mut SmallRng, period: Duration) -> Duration {
    period.mul_f64(rng.random_range(0.75..1.25))
}
