//! SWIM-style gossip membership.
//!
//! Each daemon probes one member of its data centre a second, first directly and then through
//! intermediaries, and suspects a member that does not reply. A suspect that does not refute the
//! suspicion by raising its version within [`SUSPICION_TIMEOUT`] is marked dead; only a member
//! raises its own version. Records are ordered by incarnation, version and state, so an old process
//! never displaces its replacement.
//!
//! Updates are pushed to a few random members at once and then piggybacked on probes. The number of
//! transmissions grows with the logarithm of the number of members. Every message carries a digest
//! of the live members; a lasting mismatch starts a full sync.
//!
//! Each data centre is the only authority on its members. Its relays send deltas to the relays of
//! the remote ones, and a record is accepted only from a daemon in the member's data centre or,
//! for a remote member, from a daemon in the receiver's data centre.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use self::queue::UpdateQueue;
use self::table::Table;
use crate::id::{DataCentreName, Incarnation, Revision, ServiceName, VmId};

pub use self::message::{Body, Member, Message, State, SyncReply, SyncRequest};

mod disseminate;
mod merge;
mod message;
mod queue;
mod receive;
mod table;
#[cfg(test)]
mod tests;
mod timer;

/// Interval at which [`Membership::tick`] must be called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two probes by one daemon.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a suspect has to refute the suspicion.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a datagram in bytes, authentication included.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Number of daemons in each data centre that act as relays.
pub const RELAYS_PER_DATA_CENTRE: usize = 3;
/// Number of daemons in each data centre that hold a contact record.
pub const CONTACTS_PER_DATA_CENTRE: usize = 5;

/// Time without an acknowledgement after which a probe continues through intermediaries.
const DIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Age of a suspicion at which the suspect is pinged again, because its refutation may have been
/// lost.
const REPING_AFTER: Duration = Duration::from_secs(4);
/// Number of intermediaries of an indirect probe.
const INTERMEDIARY_COUNT: usize = 3;
/// Number of random members that updates are pushed to.
const PUSH_FANOUT: usize = 3;
/// Number of members that a daemon sends its own refutation, drain or leave to directly. Gossip
/// takes several hops, and a suspect that resumes late has less time than that left.
const DIRECT_PUSH_FANOUT: usize = 256;
/// Minimum time between two pushes; limits the traffic when many members change at once.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two deltas to a remote data centre when nothing changes.
const DELTA_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two deltas.
const MIN_DELTA_INTERVAL: Duration = Duration::from_millis(250);
/// Number of times that a relay sends an update to each remote data centre.
const MAX_DELTA_TRANSMISSIONS: u32 = 3;
/// Time without a delta after which a relay reports a data centre as unreachable. The last relay of
/// a data centre reaches each of [`RELAYS_PER_DATA_CENTRE`] relays every 3 s, so one lost delta is
/// tolerated.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Gap between ticks above which this daemon is considered to have been paused.
const MIN_PAUSE: Duration = Duration::from_secs(1);
/// Pause above which this daemon replaces its table with that of a peer.
const MIN_REJOIN_PAUSE: Duration = Duration::from_mins(10);
/// Time without a message from the local data centre after which this daemon marks no member dead.
const REMOVAL_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which removals count towards the suspicion limit, see [`Membership::may_remove`].
const REMOVAL_WINDOW: Duration = Duration::from_mins(10);
/// Time without a message after which this daemon is isolated and syncs with contacts again.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which a digest mismatch within the data centre is tolerated before a full sync.
const DIGEST_MISMATCH_GRACE: Duration = Duration::from_secs(10);
/// Time for which a digest mismatch with a remote data centre is tolerated before an exchange.
const DELTA_MISMATCH_GRACE: Duration = Duration::from_secs(3);
/// Minimum time between two full syncs by one daemon.
const MIN_SYNC_INTERVAL: Duration = Duration::from_secs(15);
/// Minimum time between two exchanges with the same data centre.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which a sync without a reply has failed.
const SYNC_TIMEOUT: Duration = Duration::from_secs(10);
/// Age above which a record that its own data centre does not list is marked dead.
const ABSENT_MEMBER_GRACE: Duration = Duration::from_mins(1);
/// Time for which syncs carry left and dead members.
const TOMBSTONE_SYNC_LIFETIME: Duration = Duration::from_mins(10);
/// Time for which left and dead members stay in the table.
const TOMBSTONE_LIFETIME: Duration = Duration::from_hours(24);
/// Time between two pings to dead members.
const RECONNECT_INTERVAL: Duration = Duration::from_secs(30);
/// Minimum time between two corrections of members that hold an outdated record.
const MIN_CORRECTION_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest and longest delay after joining before a daemon acts as relay or contact. Daemons that
/// join together do not know of each other at first.
const JOINED_ROLE_DELAY: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(8));
/// Initial and maximum backoff between join attempts.
const JOIN_BACKOFF: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// Maximum backoff between sync attempts of an isolated daemon. Each attempt fetches a full table.
const MAX_ISOLATED_BACKOFF: Duration = Duration::from_mins(2);
/// Number of contacts that a daemon syncs with at once to join.
const JOIN_CONTACT_COUNT: usize = 2;
/// Number of peers that a daemon syncs with at once after a pause. Some may have exited.
const REPAIR_PEER_COUNT: usize = 3;
/// Time between two reads of the contact records by a daemon that is isolated or has not joined.
/// The first read is at a random time within it, which spreads those of a fleet that starts at
/// once.
const CONTACT_LISTING_INTERVAL: Duration = Duration::from_secs(20);
/// Shortest and longest delay after the start before a daemon that has not joined acts as relay and
/// contact. Longer than [`CONTACT_LISTING_INTERVAL`], so that not every daemon of a fleet that
/// starts at once becomes a relay.
const UNJOINED_ROLE_DELAY: (Duration, Duration) =
    (Duration::from_secs(25), Duration::from_secs(45));
/// Upper bound of the bytes of a datagram besides names and updates: authentication, varints, tags.
const DATAGRAM_OVERHEAD_BYTES: usize = 32 + 150;

/// Action that the daemon must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Gossip address.
        to: SocketAddr,
        /// Datagram.
        message: Message,
    },
    /// Call `Sync` on the peer and pass the outcome to [`Membership::handle_sync_reply`] or
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
        /// Previous record; `None` for a new member.
        previous: Option<Arc<Member>>,
    },
    /// A data centre became unreachable or reachable.
    ReachabilityChanged {
        /// Data centre.
        data_centre: DataCentreName,
        /// Whether its relays can be reached.
        reachable: bool,
    },
    /// A peer has a higher revision of the rules or the home map in force.
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
    /// A process with the same VM id and a higher incarnation exists; this one must exit.
    Replaced {
        /// Incarnation of the other process.
        incarnation: Incarnation,
    },
}

/// Endpoint as its daemon publishes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Service name.
    pub service: ServiceName,
    /// Number of concurrent calls that the endpoint accepts.
    pub slots: u32,
    /// Whether the endpoint is still within its warm-up time.
    pub cold: bool,
}

/// One member as this daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Record.
    pub member: Arc<Member>,
    /// Whether the member is suspected; its state may still be [`State::Draining`].
    pub suspect: bool,
    /// Whether the member's data centre cannot be reached.
    pub unreachable: bool,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages from replaced processes and from unknown senders.
    pub ignored_messages: u64,
    /// Records that were not newer than the known one or came from a data centre without authority.
    pub ignored_records: u64,
    /// Suspicions raised by this daemon.
    pub suspected: u64,
    /// Members that this daemon marked dead.
    pub removed: u64,
    /// Removals that the suspicion limit prevented.
    pub removals_held: u64,
    /// Suspicions of this daemon that it refuted.
    pub refuted: u64,
    /// Pauses of this daemon.
    pub pauses: u64,
    /// Syncs started by this daemon.
    pub syncs: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JoinState {
    /// Has not received a table from another daemon.
    New,
    Joined,
    /// Was paused for so long that peers may have marked it dead and stopped sending it updates.
    Paused,
    /// Was paused for so long that its table is outdated.
    Stale,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PushScope {
    /// Updates to a few members, which disseminate them further.
    Gossip,
    /// Additionally this daemon's own record to [`DIRECT_PUSH_FANOUT`] members.
    Direct,
}

/// Probe by this daemon that is not yet acknowledged.
#[derive(Debug)]
struct Probe {
    vm: VmId,
    address: SocketAddr,
    sequence: u64,
    started: Instant,
    /// Whether intermediaries have been asked.
    indirect: bool,
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    since: Instant,
    /// Whether the suspect was pinged again after [`REPING_AFTER`].
    repinged: bool,
}

impl Suspicion {
    const fn new(since: Instant) -> Self {
        let repinged = false;
        Self { since, repinged }
    }
}

/// Probe that this daemon runs as an intermediary.
#[derive(Debug)]
struct IndirectProbe {
    requester: SocketAddr,
    /// Sequence number of the requester's probe.
    sequence: u64,
    expires_at: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SyncScope {
    /// Full table for a daemon that has none.
    Join,
    /// Full table that replaces this daemon's.
    Rejoin,
    /// Full table that is merged into this daemon's.
    Repair,
    /// Members of the two data centres in both directions.
    Exchange,
}

/// State kept for a remote data centre.
#[derive(Debug)]
struct RemoteDataCentre {
    last_heard: Instant,
    /// When the digests last matched.
    last_match: Instant,
    last_exchange: Option<Instant>,
    /// Time of the last delta of each relay.
    senders: BTreeMap<VmId, Instant>,
    /// Updates for the next deltas.
    outbox: UpdateQueue,
}

/// Gossip state machine of one daemon, without I/O.
#[derive(Debug)]
pub struct Membership {
    own: Arc<Member>,
    table: Table,
    rng: SmallRng,
    queue: UpdateQueue,
    remotes: BTreeMap<DataCentreName, RemoteDataCentre>,
    suspects: BTreeMap<VmId, Suspicion>,
    /// Members marked dead within [`REMOVAL_WINDOW`].
    removals: Vec<(VmId, Instant)>,
    unreachable: BTreeSet<DataCentreName>,
    counters: Counters,
    rules: Revision,
    homes: Revision,

    sequence: u64,
    /// Members that are still to be probed in this round.
    round: Vec<VmId>,
    probe: Option<Probe>,
    /// Probes for other members by the sequence number of the ping.
    indirect_probes: HashMap<u64, IndirectProbe>,
    next_probe: Instant,
    next_reconnect: Instant,
    last_tick: Instant,
    /// When a member of this data centre last sent a message.
    last_heard: Instant,
    last_match: Instant,
    last_correction: Option<Instant>,

    /// Scope of the pending push.
    push: Option<PushScope>,
    last_push: Option<Instant>,
    relay: bool,
    delta_pending: bool,
    last_delta: Instant,
    /// Number of delta rounds, from a random start; selects the relay that receives the next delta.
    delta_round: usize,

    contacts: Vec<SocketAddr>,
    next_listing: Instant,
    pending_syncs: HashMap<SocketAddr, (SyncScope, Instant)>,
    join_state: JoinState,
    /// Time from which this daemon may act as relay and contact.
    eligible_at: Instant,
    next_join: Instant,
    join_backoff: Duration,
    next_repair: Instant,
}

impl Membership {
    /// Creates a membership that holds only the daemon's own record.
    ///
    /// The incarnation in `own` is the start time of the process.
    #[must_use]
    pub fn new(now: Instant, own: Member, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let own = Arc::new(own);
        let mut table = Table::default();
        table.insert(Arc::clone(&own), now);
        let role_delay = rng.random_range(UNJOINED_ROLE_DELAY.0..UNJOINED_ROLE_DELAY.1);
        Self {
            table,
            queue: UpdateQueue::default(),
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
            indirect_probes: HashMap::new(),
            next_probe: now + rng.random_range(Duration::ZERO..PROBE_INTERVAL),
            next_reconnect: now + rng.random_range(Duration::ZERO..RECONNECT_INTERVAL),
            last_tick: now,
            last_heard: now,
            last_match: now,
            last_correction: None,
            push: None,
            last_push: None,
            relay: false,
            delta_pending: false,
            last_delta: now,
            delta_round: rng.random_range(0..RELAYS_PER_DATA_CENTRE),
            contacts: Vec::new(),
            next_listing: now + rng.random_range(Duration::ZERO..CONTACT_LISTING_INTERVAL),
            pending_syncs: HashMap::new(),
            join_state: JoinState::New,
            eligible_at: now + role_delay,
            next_join: now,
            join_backoff: JOIN_BACKOFF.0,
            next_repair: now,
            own,
            rng,
        }
    }

    /// Replaces the call addresses of the daemons to join through.
    pub fn set_contacts(&mut self, now: Instant, contacts: Vec<SocketAddr>) {
        let own = self.own.call_address;
        self.contacts = contacts.into_iter().filter(|at| *at != own).collect();
        if self.join_state == JoinState::New {
            self.next_join = now;
        }
    }

    /// Handles the outcome of an [`Action::ListContacts`].
    ///
    /// A daemon that finds no record is the first of the fleet and acts as relay and contact
    /// without delay.
    pub fn handle_contacts(&mut self, now: Instant, contacts: Vec<SocketAddr>) {
        if contacts.is_empty() && self.contacts.is_empty() && !self.is_joined() {
            self.eligible_at = self.eligible_at.min(now);
        }
        if !contacts.is_empty() {
            self.set_contacts(now, contacts);
        }
    }

    /// Records the revisions in force at this daemon. A higher revision is pushed to other members.
    pub fn set_revisions(&mut self, rules: Revision, homes: Revision) {
        if rules > self.rules || homes > self.homes {
            self.rules = self.rules.max(rules);
            self.homes = self.homes.max(homes);
            self.push = self.push.max(Some(PushScope::Gossip));
            self.delta_pending = true;
        }
    }

    /// Publishes the endpoint on this VM or its absence.
    pub fn set_endpoint(&mut self, now: Instant, endpoint: Option<Endpoint>) {
        let (service, slots, cold) = endpoint.map_or((None, 0, false), |endpoint| {
            (Some(endpoint.service), endpoint.slots, endpoint.cold)
        });
        let own = &self.own;
        if (&own.service, own.slots, own.cold) != (&service, slots, cold) {
            self.publish(now, PushScope::Gossip, |own| {
                own.service = service;
                own.slots = slots;
                own.cold = cold;
            });
        }
    }

    /// Publishes that this daemon accepts no new work. This is final for the process.
    pub fn drain(&mut self, now: Instant) {
        if self.own.state == State::Alive {
            self.publish(now, PushScope::Direct, |own| own.state = State::Draining);
        }
    }

    /// Publishes that this daemon leaves. The daemon must call [`Self::tick`] for another second to
    /// disseminate this.
    pub fn leave(&mut self, now: Instant) {
        if self.own.state != State::Left {
            self.publish(now, PushScope::Direct, |own| own.state = State::Left);
        }
    }

    /// Makes a member the next probe target, for example after a failed connection to it.
    pub fn probe_next(&mut self, vm: &VmId) {
        let local = self.table.get(vm).is_some_and(|entry| {
            entry.record.state == State::Alive && entry.record.data_centre == self.own.data_centre
        });
        if local && *vm != self.own.vm && self.round.last() != Some(vm) {
            self.round.push(VmId::clone(vm));
        }
    }

    /// Advances all timers; must be called every [`TICK_INTERVAL`].
    #[must_use]
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.detect_pause(now);
        self.last_tick = now;
        self.indirect_probes
            .retain(|_, pending| pending.expires_at > now);
        self.tick_probe(now, &mut actions);
        self.tick_suspects(now, &mut actions);
        self.tick_relay(now, &mut actions);
        self.tick_reachability(&mut actions);
        self.tick_push(now, &mut actions);
        self.tick_join(now, &mut actions);
        if now >= self.next_reconnect {
            self.next_reconnect = now + jitter(&mut self.rng, RECONNECT_INTERVAL);
            self.expire_tombstones(now);
            self.reconnect(&mut actions);
        }
        actions
    }

    /// Handles an authenticated datagram.
    #[must_use]
    pub fn receive(&mut self, now: Instant, message: Message) -> Vec<Action> {
        let mut actions = Vec::new();
        self.detect_pause(now);
        if message.from == self.own.vm {
            self.detect_replacement(message.incarnation, &mut actions);
            return actions;
        }
        let known = self.table.get(&message.from).map(|entry| &entry.record);
        if known.is_some_and(|known| known.incarnation > message.incarnation) {
            self.counters.ignored_messages += 1;
            // The replaced process may still run; it exits when it learns of its replacement.
            self.send_correction(now, &message.from, &mut actions);
            return actions;
        }
        let own_record = message.updates.iter().find(|one| one.vm == message.from);
        let Some(sender) = own_record.or(known).map(Arc::clone) else {
            self.counters.ignored_messages += 1;
            return actions;
        };
        if sender.data_centre == self.own.data_centre {
            self.last_heard = now;
        }
        for record in &message.updates {
            self.merge_record(now, record, &sender.data_centre, true, &mut actions);
        }
        self.handle_sender(now, &message, &sender, &mut actions);
        self.handle_body(now, message, &sender, &mut actions);
        actions
    }

    /// Handles a sync request and returns the reply to send.
    #[must_use]
    pub fn handle_sync_request(
        &mut self,
        now: Instant,
        request: &SyncRequest,
    ) -> (SyncReply, Vec<Action>) {
        let mut actions = Vec::new();
        let scope = if request.members.len() > 1 {
            SyncScope::Exchange
        } else {
            SyncScope::Join
        };
        if let Some(sender) = request.members.first() {
            self.reconcile(now, sender, &request.members, scope, true, &mut actions);
        }
        let reply = SyncReply {
            members: self.sync_members(now, scope),
            rules: self.rules,
            homes: self.homes,
        };
        (reply, actions)
    }

    /// Handles the reply of the peer at `from` to an [`Action::Sync`].
    #[must_use]
    pub fn handle_sync_reply(
        &mut self,
        now: Instant,
        from: SocketAddr,
        reply: &SyncReply,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some((scope, _)) = self.pending_syncs.remove(&from) else {
            return actions;
        };
        let Some(sender) = reply.members.first() else {
            return actions;
        };
        self.reconcile(now, sender, &reply.members, scope, false, &mut actions);
        match scope {
            SyncScope::Join => {
                if self.join_state == JoinState::New {
                    let role_delay = self
                        .rng
                        .random_range(JOINED_ROLE_DELAY.0..JOINED_ROLE_DELAY.1);
                    self.eligible_at = now + role_delay;
                    self.last_heard = now;
                    self.last_match = now;
                }
                self.join_state = JoinState::Joined;
                self.join_backoff = JOIN_BACKOFF.0;
                let own = VmId::clone(&self.own.vm);
                self.disseminate(&own);
                if sender.data_centre != self.own.data_centre {
                    // A remote data centre may have been partitioned and hold outdated records of
                    // this one.
                    for peer in self.random_peers(JOIN_CONTACT_COUNT) {
                        self.start_sync(now, peer, SyncScope::Repair, &mut actions);
                    }
                }
            }
            SyncScope::Rejoin => self.join_state = JoinState::Joined,
            SyncScope::Repair if self.join_state == JoinState::Paused => {
                self.join_state = JoinState::Joined;
            }
            SyncScope::Repair | SyncScope::Exchange => {}
        }
        self.check_revisions(sender, reply.rules, reply.homes, &mut actions);
        actions
    }

    /// Handles the failure of an [`Action::Sync`].
    pub fn handle_sync_failure(&mut self, from: SocketAddr) {
        self.pending_syncs.remove(&from);
    }

    /// Whether this daemon has received the table of another one.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.join_state != JoinState::New
    }

    /// Whether this daemon is a relay of its data centre. Only relays watch the platform.
    #[must_use]
    pub const fn is_relay(&self) -> bool {
        self.relay
    }

    /// Whether this daemon must hold a contact record in the platform.
    #[must_use]
    pub fn is_contact(&self, now: Instant) -> bool {
        now >= self.eligible_at && self.is_among_first(CONTACTS_PER_DATA_CENTRE)
    }

    /// Relays of a data centre according to this daemon's table.
    pub fn relays<'a>(&'a self, data_centre: &str) -> impl Iterator<Item = &'a Arc<Member>> {
        self.table
            .lowest_by_hash(data_centre, RELAYS_PER_DATA_CENTRE)
    }

    /// All members, including left and dead ones that are still in the table.
    pub fn members(&self) -> impl Iterator<Item = MemberView> {
        self.table.entries().map(|entry| self.view(&entry.record))
    }

    /// Member on the given VM.
    #[must_use]
    pub fn member(&self, vm: &str) -> Option<MemberView> {
        self.table.get(vm).map(|entry| self.view(&entry.record))
    }

    /// Number of live members of a data centre.
    #[must_use]
    pub fn live_count(&self, data_centre: &str) -> usize {
        self.table.live(data_centre).len()
    }

    /// Call addresses of up to `count` random live peers in this data centre.
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

    /// Data centres that are currently unreachable.
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

/// Returns `period` with up to 25% of jitter in either direction.
fn jitter(rng: &mut SmallRng, period: Duration) -> Duration {
    period.mul_f64(rng.random_range(0.75..1.25))
}
