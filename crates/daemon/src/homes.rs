//! Runs the home slots of this daemon: claims of keys, messages between the owner and the successor
//! of a slot, and the home map in the platform.
//!
//! The home of an idempotency key is the daemon that owns the key's slot. It keeps the ticket that
//! is bound to the key.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use operator::message::{HomeInfo, HomesReply};
use peer::convert::home_message_to_wire;
use peer::proto;
use platform::Error;
use policy::home::{
    Action, Claim, ClaimReply, Eligibility, Event, Holder, HomeLimits, HomeMap, HomeMember,
    HomeNode, HomeStats, Message, SlotHolders, SwapOutcome, slot_of,
};
use policy::id::Revision;
use policy::member::{MemberView, State};
use tokio::sync::oneshot;

use crate::adopted::ValueKind;
use crate::cluster::Cluster;

/// Time between two ticks of the home slots.
pub const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Time that a claim may take, at this daemon or at another.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);

#[derive(Debug)]
struct Inner {
    /// Decides what happens with the slots.
    node: HomeNode,
    /// Claims that wait for a reply, by request number.
    claims: HashMap<u64, oneshot::Sender<ClaimReply>>,
    /// Last request number that was used.
    last: u64,
}

/// The home slots of this daemon.
#[derive(Debug)]
pub struct Homes {
    own: Holder,
    inner: Mutex<Inner>,
}

impl Homes {
    pub fn new(own: Holder) -> Self {
        let node = HomeNode::new(own.clone(), HomeLimits::default(), own.incarnation);
        let inner = Inner {
            node,
            claims: HashMap::new(),
            last: 0,
        };
        Self {
            own,
            inner: Mutex::new(inner),
        }
    }

    pub fn stats(&self) -> HomeStats {
        self.lock().node.stats()
    }

    /// Whether this daemon is neither owner nor successor of a slot.
    pub fn holds_no_slots(&self) -> bool {
        self.lock().node.holds_no_slots()
    }

    /// Returns the daemon that owns the slot of a key.
    fn owner(&self, service: &str, key: &str) -> Option<Holder> {
        let inner = self.lock();
        let slot = inner.node.map()?.slots.get(slot_of(service, key))?;
        Some(slot.owner.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("home slot lock is never poisoned")
    }
}

impl Cluster {
    /// Handles an event of the home slots and performs the actions that follow.
    pub fn handle_home_event(self: &Arc<Self>, event: Event) {
        let actions = {
            let mut inner = self.homes.lock();
            // Read under the lock, so that the time that the home slots see never goes back.
            let now = self.shared.clock.now();
            inner.node.handle(now, event)
        };
        for action in actions {
            self.perform_home_action(action);
        }
    }

    /// Ticks the home slots for ever.
    pub async fn tick_homes(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let members = self.members().iter().map(home_member).collect();
            self.handle_home_event(Event::Members(members));
            self.handle_home_event(Event::Tick);
        }
    }

    /// Returns the holders of all home slots, for operators.
    pub fn home_slots(&self) -> HomesReply {
        let live: HashSet<Holder> = self
            .members()
            .iter()
            .filter(|view| view.member.state.is_live())
            .map(|view| Holder::new(Arc::clone(&view.member.vm), view.member.incarnation))
            .collect();
        let inner = self.homes.lock();
        let Some(map) = inner.node.map() else {
            return HomesReply::default();
        };
        let info = |(slot, holders): (usize, &SlotHolders)| HomeInfo {
            slot: slot as u32,
            epoch: holders.epoch,
            owner: holders.owner.vm.to_string(),
            successor: holders
                .successor
                .as_ref()
                .map(|holder| holder.vm.to_string()),
            lost: !holders
                .successor
                .iter()
                .chain([&holders.owner])
                .any(|holder| live.contains(holder)),
        };
        HomesReply {
            revision: map.revision,
            slots: map.slots.iter().enumerate().map(info).collect(),
        }
    }

    fn perform_home_action(self: &Arc<Self>, action: Action) {
        match action {
            Action::Send(to, message) => {
                let cluster = Arc::clone(self);
                tokio::spawn(async move { cluster.send_home_message(to, message).await });
            }
            Action::Swap {
                sequence,
                expected,
                map,
            } => {
                let cluster = Arc::clone(self);
                tokio::spawn(async move {
                    let outcome = cluster.swap_home_map(expected, &map).await;
                    cluster.handle_home_event(Event::SwapResult(sequence, outcome));
                });
            }
            Action::ReadMap => {
                let cluster = Arc::clone(self);
                tokio::spawn(async move { cluster.home_map.read(&cluster).await });
            }
            Action::Reply(request, reply) => {
                let sender = self.homes.lock().claims.remove(&request);
                if let Some(sender) = sender {
                    let _ = sender.send(reply);
                }
            }
        }
    }

    async fn send_home_message(self: Arc<Self>, to: Holder, message: Message) {
        let Some(address) = self.address(&to) else {
            return;
        };
        let wire = home_message_to_wire(&self.homes.own, &to, &message);
        let reply = self.client(address).exchange_home(wire).await;
        if let Some(reply) = reply.ok().and_then(|reply| Message::try_from(reply).ok()) {
            self.handle_home_event(Event::Message(to, reply));
        }
    }

    /// Handles a message of another daemon and returns the reply to it.
    pub fn handle_home_message(
        self: &Arc<Self>,
        wire: proto::HomeMessage,
    ) -> Option<proto::HomeMessage> {
        let to: Holder = wire.to.clone()?.into();
        if to != self.homes.own {
            return None;
        }
        let from: Holder = wire.from.clone()?.into();
        let message = Message::try_from(wire).ok()?;
        let sequence = message.sequence;
        let event = Event::Message(from.clone(), message);
        let actions = {
            let mut inner = self.homes.lock();
            let now = self.shared.clock.now();
            inner.node.handle(now, event)
        };
        let mut reply = None;
        for action in actions {
            match action {
                Action::Send(to, message) if to == from && message.sequence == sequence => {
                    reply = Some(home_message_to_wire(&self.homes.own, &from, &message));
                }
                other => self.perform_home_action(other),
            }
        }
        reply
    }

    async fn swap_home_map(&self, expected: Revision, map: &HomeMap) -> SwapOutcome {
        let Ok(content) = serde_json::to_vec(map) else {
            return SwapOutcome::Conflict;
        };
        let key = ValueKind::Homes.key();
        match self
            .platform
            .put(key, Bytes::from(content), Some(expected), None)
            .await
        {
            Ok(revision) => SwapOutcome::Done(revision),
            Err(Error::Conflict { .. }) => SwapOutcome::Conflict,
            Err(_) => SwapOutcome::Unknown,
        }
    }

    /// Claims a key at the owner of its slot.
    pub async fn claim(self: &Arc<Self>, claim: Claim) -> ClaimReply {
        let unavailable = ClaimReply::Unavailable(self.home_map.in_force());
        let Some(owner) = self.homes.owner(&claim.service, &claim.key) else {
            return unavailable;
        };
        if owner == self.homes.own {
            return self.claim_as_owner(claim).await;
        }
        let Some(address) = self.address(&owner) else {
            return unavailable;
        };
        let mut client = self.client(address).with_timeout(CLAIM_TIMEOUT);
        let reply = client.claim_key((&claim).into()).await;
        reply
            .ok()
            .and_then(|reply| reply.try_into().ok())
            .unwrap_or(unavailable)
    }

    /// Handles a claim as the owner of the slot.
    pub async fn claim_as_owner(self: &Arc<Self>, claim: Claim) -> ClaimReply {
        let (sender, receiver) = oneshot::channel();
        let wall = self.shared.clock.wall();
        let request = {
            let mut inner = self.homes.lock();
            inner.last += 1;
            let request = inner.last;
            inner.claims.insert(request, sender);
            request
        };
        self.handle_home_event(Event::Claim(request, claim, wall));
        let reply = tokio::time::timeout(CLAIM_TIMEOUT, receiver).await;
        self.homes.lock().claims.remove(&request);
        let unavailable = ClaimReply::Unavailable(self.home_map.in_force());
        reply.ok().and_then(Result::ok).unwrap_or(unavailable)
    }
}

fn home_member(view: &MemberView) -> HomeMember {
    let member = &view.member;
    let eligibility = match member.state {
        State::Draining | State::Left => Eligibility::Draining,
        State::Alive if !view.suspect && !view.unreachable => Eligibility::Eligible,
        State::Alive | State::Suspect | State::Dead => Eligibility::Suspect,
    };
    HomeMember {
        holder: Holder::new(Arc::clone(&member.vm), member.incarnation),
        data_centre: Arc::clone(&member.data_centre),
        eligibility,
    }
}
