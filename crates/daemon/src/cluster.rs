//! Runs the membership protocol: the gossip socket, the timers, and control calls between daemons.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Uri;
use peer::control::ControlClient;
use peer::gossip::GossipSocket;
use peer::pool::PoolChannel;
use peer::proto::PullRequest;
use policy::adoption;
use policy::balancer::Candidate;
use policy::home::Holder;
use policy::id::{DataCentreName, Revision, ServiceName, VmId};
use policy::member::{Action, Endpoint, Member, MemberView, Membership, Message, State};
use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::adopted::{AdoptedValue, ValueKind};
use crate::homes::Homes;
use crate::shared::Shared;

/// Prefix of the contact records in the platform.
const CONTACT_PREFIX: &str = "contacts/";
/// Lifetime of a contact record without renewal.
const CONTACT_TTL: Duration = Duration::from_secs(30);
/// Time between two renewals of the own contact record.
const CONTACT_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two checks whether the announcement of the endpoint has expired.
const ENDPOINT_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Upper bound of rounds in which members are asked for their rules revision after an edit.
const MAX_POLL_ROUNDS: u32 = 60;
/// Upper bound of members asked in one round.
const MAX_POLLED_MEMBERS: usize = 200;
/// Time between two rounds.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

type BoxedTask = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Membership of this daemon, with the clients and state that its actions need.
#[derive(Debug)]
pub struct Cluster {
    pub shared: Arc<Shared>,
    pub rules: AdoptedValue,
    pub home_map: AdoptedValue,
    pub homes: Homes,
    pub platform: platform::Client,
    membership: Mutex<Membership>,
    socket: GossipSocket,
    /// Rules revision in force at other members, as last reported.
    revisions: Mutex<HashMap<VmId, Revision>>,
    /// Notified when the balancers must be updated from the member table.
    members_changed: Notify,
}

impl Cluster {
    pub fn new(shared: Arc<Shared>, platform: platform::Client, socket: GossipSocket) -> Self {
        let now = shared.clock.now();
        let settings = &shared.settings;
        let own = Member {
            vm: Arc::clone(&settings.vm),
            incarnation: shared.incarnation,
            version: 0,
            state: State::Alive,
            data_centre: Arc::clone(&settings.data_centre),
            call_address: settings.peer_address,
            gossip_address: settings.gossip_address,
            service: None,
            slots: 0,
            cold: false,
            unreachable: Vec::new(),
        };
        let mut hasher = DefaultHasher::new();
        (&own.vm, own.incarnation).hash(&mut hasher);
        let mut membership = Membership::new(now, own, hasher.finish());
        membership.set_contacts(now, settings.contacts.clone());
        Self {
            rules: AdoptedValue::new(ValueKind::Rules, Arc::clone(&shared)),
            home_map: AdoptedValue::new(ValueKind::Homes, Arc::clone(&shared)),
            homes: Homes::new(Holder::new(Arc::clone(&settings.vm), shared.incarnation)),
            platform,
            membership: Mutex::new(membership),
            socket,
            revisions: Mutex::new(HashMap::new()),
            members_changed: Notify::new(),
            shared,
        }
    }

    /// Returns the address for calls and control calls of a daemon, unless it has restarted.
    pub fn address(&self, holder: &Holder) -> Option<SocketAddr> {
        let member = self.lock().member(&holder.vm)?.member;
        (member.incarnation == holder.incarnation).then_some(member.call_address)
    }

    pub fn members(&self) -> Vec<MemberView> {
        self.lock().members().collect()
    }

    /// Returns the bytes of gossip sent and received, without IP and UDP headers, and the datagrams
    /// dropped.
    pub fn gossip_counts(&self) -> peer::gossip::Counts {
        self.socket.counts()
    }

    /// Handles a sync of another daemon.
    pub async fn handle_sync(
        self: &Arc<Self>,
        request: &policy::member::SyncRequest,
    ) -> policy::member::SyncReply {
        let (reply, actions) = self.lock().handle_sync_request(self.now(), request);
        self.perform(actions).await;
        reply
    }

    /// Returns the rules revision in force at another member as last reported, or zero.
    pub fn revision_of(&self, vm: &VmId) -> Revision {
        let revisions = self
            .revisions
            .lock()
            .expect("revision lock is never poisoned");
        revisions.get(vm).copied().unwrap_or_default()
    }

    fn record_revision(&self, vm: &VmId, revision: Revision) {
        let mut revisions = self
            .revisions
            .lock()
            .expect("revision lock is never poisoned");
        match revisions.get_mut(vm) {
            Some(known) => *known = revision.max(*known),
            None => {
                revisions.insert(Arc::clone(vm), revision);
            }
        }
    }

    /// Polls the members that have not reported `revision` or a higher one, for a while after an
    /// edit, so that its author sees where it is not in force yet.
    pub async fn poll_revisions(self: Arc<Self>, revision: Revision) {
        for _ in 0..MAX_POLL_ROUNDS {
            let members = self.members();
            let behind = members.iter().filter(|view| {
                view.member.state.is_live() && self.revision_of(&view.member.vm) < revision
            });
            let mut polls = JoinSet::new();
            for view in behind.take(MAX_POLLED_MEMBERS) {
                let (cluster, member) = (Arc::clone(&self), Arc::clone(&view.member));
                polls.spawn(async move { cluster.ask_revision(&member).await });
            }
            if polls.is_empty() {
                return;
            }
            polls.join_all().await;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn ask_revision(&self, member: &Member) {
        // No revision is higher, so the reply contains no value.
        let request = PullRequest {
            revision: Revision::MAX,
        };
        if let Ok(reply) = self.client(member.call_address).pull_rules(request).await {
            self.record_revision(&member.vm, reply.revision);
        }
    }

    /// Returns a client for control calls to a peer.
    pub fn client(&self, address: SocketAddr) -> ControlClient<PoolChannel> {
        let channel = PoolChannel::new(Arc::clone(&self.shared.pool), address);
        let origin = Uri::builder()
            .scheme("http")
            .authority(address.to_string())
            .path_and_query("/");
        ControlClient::new(
            channel,
            origin.build().unwrap_or_default(),
            self.shared.keys.clone(),
        )
    }

    /// Receives gossip for ever.
    pub async fn receive_gossip(self: Arc<Self>) {
        loop {
            match self.socket.receive().await {
                Ok(message) => self.handle_gossip(message).await,
                // The socket reports an error when a peer is unreachable.
                Err(_) => tokio::time::sleep(policy::member::TICK_INTERVAL).await,
            }
        }
    }

    async fn handle_gossip(self: &Arc<Self>, message: Message) {
        self.record_revision(&message.from, message.rules);
        let actions = self.lock().receive(self.now(), message);
        self.perform(actions).await;
    }

    /// Ticks membership and adoption for ever.
    pub async fn tick(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(policy::member::TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let actions = self.lock().tick(self.now());
            self.perform(actions).await;
            self.tick_adoption();
        }
    }

    fn tick_adoption(self: &Arc<Self>) {
        let (relay, peers) = {
            let mut membership = self.lock();
            (
                membership.is_relay(),
                membership.random_peers(policy::adoption::STARTUP_PEERS),
            )
        };
        for action in self.rules.tick(relay, &peers) {
            self.perform_adoption(action, |cluster| &cluster.rules);
        }
        for action in self.home_map.tick(relay, &peers) {
            self.perform_adoption(action, |cluster| &cluster.home_map);
        }
        let (rules, homes) = (self.rules.in_force(), self.home_map.in_force());
        self.lock().set_revisions(rules, homes);
    }

    fn perform_adoption(
        self: &Arc<Self>,
        action: adoption::Action,
        value: fn(&Self) -> &AdoptedValue,
    ) {
        if action == adoption::Action::EndWatch {
            value(self).end_watch();
            return;
        }
        let cluster = Arc::clone(self);
        let task = tokio::spawn(async move { value(&cluster).perform(&cluster, action).await });
        if matches!(action, adoption::Action::Watch { .. }) {
            value(self).set_watch(task.abort_handle());
        }
    }

    /// Publishes changes of the endpoint on this VM for ever.
    pub async fn publish_endpoint(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(ENDPOINT_CHECK_INTERVAL);
        loop {
            tokio::select! {
                () = self.shared.member_changed.notified() => {}
                _ = ticks.tick() => {}
            }
            let endpoint = self.shared.admission.endpoint().map(|own| Endpoint {
                service: own.service,
                slots: own.slots,
                cold: own.cold,
            });
            let now = self.now();
            let mut membership = self.lock();
            membership.set_endpoint(now, endpoint);
            if *self.shared.leaving.borrow() {
                membership.drain(now);
            }
            drop(membership);
            self.members_changed.notify_one();
        }
    }

    /// Updates the balancers from the member table for ever. Changes in quick succession are
    /// applied together.
    pub async fn update_balancers(self: Arc<Self>) {
        loop {
            self.members_changed.notified().await;
            let members = self.members();
            self.shared.update_balancers(candidates(&members));
            tokio::time::sleep(policy::member::TICK_INTERVAL).await;
        }
    }

    /// Starts to drain: refuses new calls, hands home slots over and publishes the state.
    pub fn drain(self: &Arc<Self>, cause: &str) {
        self.shared.drain(cause);
        self.handle_home_event(policy::home::Event::Drain);
    }

    /// Publishes that this daemon has left.
    pub fn leave(&self) {
        self.lock().leave(self.now());
    }

    /// Maintains the contact record of this daemon in the platform for ever, while it is a contact.
    pub async fn maintain_contact(self: Arc<Self>) {
        let mut lease = None;
        let mut ticks = tokio::time::interval(CONTACT_INTERVAL);
        loop {
            ticks.tick().await;
            let is_contact = self.lock().is_contact(self.now());
            lease = if is_contact {
                self.renew_contact(lease).await
            } else {
                None
            };
        }
    }

    async fn list_contacts(&self) {
        let Ok(entries) = self.platform.list(CONTACT_PREFIX).await else {
            return;
        };
        self.shared.record_platform_reply();
        let found = entries
            .iter()
            .filter_map(|entry| std::str::from_utf8(&entry.value).ok());
        let contacts = found.filter_map(|text| text.parse().ok()).collect();
        self.lock().handle_contacts(self.now(), contacts);
    }

    async fn renew_contact(&self, lease: Option<platform::LeaseId>) -> Option<platform::LeaseId> {
        if let Some(lease) = lease
            && self.platform.renew_lease(lease, CONTACT_TTL).await.is_ok()
        {
            return Some(lease);
        }
        let lease = self.platform.grant_lease(CONTACT_TTL).await.ok()?;
        let settings = &self.shared.settings;
        let key = format!("{CONTACT_PREFIX}{}/{}", settings.data_centre, settings.vm);
        let value = Bytes::from(settings.peer_address.to_string());
        self.platform
            .put(&key, value, None, Some(lease))
            .await
            .ok()?;
        Some(lease)
    }

    async fn perform(self: &Arc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.socket.send(to, &message).await,
                Action::Sync { to, request } => {
                    let cluster = Arc::clone(self);
                    tokio::spawn(cluster.sync(to, request));
                }
                Action::ListContacts => {
                    let cluster = Arc::clone(self);
                    tokio::spawn(async move { cluster.list_contacts().await });
                }
                Action::Changed { .. } => self.members_changed.notify_one(),
                Action::ReachabilityChanged {
                    data_centre,
                    reachable,
                } => {
                    log_reachability(&data_centre, reachable);
                    self.members_changed.notify_one();
                }
                Action::NewerRevision {
                    address,
                    rules,
                    homes,
                    ..
                } => {
                    self.rules.record_peer_revision(address, rules);
                    self.home_map.record_peer_revision(address, homes);
                }
                Action::Replaced { incarnation } => {
                    log::error!(
                        "replaced by incarnation {incarnation} of this VM: draining; stop this process"
                    );
                    self.drain("replacement");
                }
            }
        }
    }

    // Boxed, because `perform` spawns syncs and a sync calls `perform`.
    fn sync(self: Arc<Self>, to: SocketAddr, request: policy::member::SyncRequest) -> BoxedTask {
        Box::pin(async move {
            let reply = self.client(to).sync(&request).await;
            let Ok(reply) = reply else {
                self.lock().handle_sync_failure(to);
                return;
            };
            let actions = self.lock().handle_sync_reply(self.now(), to, &reply);
            self.perform(actions).await;
        })
    }

    fn now(&self) -> Instant {
        self.shared.clock.now()
    }

    fn lock(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .expect("membership lock is never poisoned")
    }
}

fn log_reachability(data_centre: &DataCentreName, reachable: bool) {
    if reachable {
        log::info!("data centre {data_centre} is reachable again");
    } else {
        log::warn!("data centre {data_centre} is unreachable");
    }
}

/// Returns the live endpoints of each service.
fn candidates(members: &[MemberView]) -> HashMap<ServiceName, Vec<Candidate>> {
    let mut services: HashMap<ServiceName, Vec<Candidate>> = HashMap::new();
    for MemberView {
        member,
        suspect,
        unreachable,
    } in members
    {
        let Some(service) = member.service.as_ref().filter(|_| member.state.is_live()) else {
            continue;
        };
        services
            .entry(Arc::clone(service))
            .or_default()
            .push(Candidate {
                vm: Arc::clone(&member.vm),
                incarnation: member.incarnation,
                address: member.call_address,
                data_centre: Arc::clone(&member.data_centre),
                slots: member.slots,
                cold: member.cold,
                suspected: *suspect || *unreachable,
                draining: member.state == State::Draining,
            });
    }
    services
}
