//! Home slots at work: claims, messages between owner and successor, and the map in the platform.

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

use crate::adopted::Value;
use crate::cluster::Cluster;

/// Time between two ticks of the homes.
pub const TICK: Duration = Duration::from_millis(200);
/// Time that a claim may take, here or at another daemon.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);

#[derive(Debug)]
struct Inner {
    home: HomeNode,
    /// Claims that wait for a reply, by the number of the request.
    claims: HashMap<u64, oneshot::Sender<ClaimReply>>,
    last: u64,
}

/// The home slots of this daemon.
#[derive(Debug)]
pub struct Homes {
    me: Holder,
    inner: Mutex<Inner>,
}

impl Homes {
    pub fn new(me: Holder) -> Self {
        let home = HomeNode::new(me.clone(), HomeLimits::default(), me.incarnation);
        let inner = Inner {
            home,
            claims: HashMap::new(),
            last: 0,
        };
        Self {
            me,
            inner: Mutex::new(inner),
        }
    }

    pub fn stats(&self) -> HomeStats {
        self.lock().home.stats()
    }

    /// Whether this daemon holds no slot.
    pub fn holds_no_slots(&self) -> bool {
        self.lock().home.holds_no_slots()
    }

    /// The process that owns the slot of a key.
    fn owner(&self, service: &str, key: &str) -> Option<Holder> {
        let inner = self.lock();
        let slot = inner.home.map()?.slots.get(slot_of(service, key))?;
        Some(slot.owner.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("home lock is never poisoned")
    }
}

impl Cluster {
    /// Takes an event of the homes and carries out what it leads to.
    pub fn homes(self: &Arc<Self>, event: Event) {
        let actions = {
            let mut inner = self.homes.lock();
            // Read under the lock, so that the time of the homes does not go back.
            let now = self.shared.clock.now();
            inner.home.handle(now, event)
        };
        for action in actions {
            self.perform_home(action);
        }
    }

    /// Ticks the homes for ever.
    pub async fn tick_homes(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let members = self.members().iter().map(standing).collect();
            self.homes(Event::Members(members));
            self.homes(Event::Tick);
        }
    }

    /// Holders of all home slots, for operators.
    pub fn home_slots(&self) -> HomesReply {
        let live: HashSet<Holder> = self
            .members()
            .iter()
            .filter(|view| view.member.state.is_live())
            .map(|view| Holder::new(Arc::clone(&view.member.vm), view.member.incarnation))
            .collect();
        let inner = self.homes.lock();
        let Some(map) = inner.home.map() else {
            return HomesReply::default();
        };
        let info = |(slot, held): (usize, &SlotHolders)| HomeInfo {
            slot: slot as u32,
            epoch: held.epoch,
            owner: held.owner.vm.to_string(),
            successor: held.successor.as_ref().map(|holder| holder.vm.to_string()),
            lost: !held
                .successor
                .iter()
                .chain([&held.owner])
                .any(|holder| live.contains(holder)),
        };
        HomesReply {
            revision: map.revision,
            slots: map.slots.iter().enumerate().map(info).collect(),
        }
    }

    fn perform_home(self: &Arc<Self>, action: Action) {
        match action {
            Action::Send(to, message) => {
                let cluster = Arc::clone(self);
                tokio::spawn(async move { cluster.send_home(to, message).await });
            }
            Action::Swap {
                sequence,
                expected,
                map,
            } => {
                let cluster = Arc::clone(self);
                tokio::spawn(async move {
                    let outcome = cluster.swap(expected, &map).await;
                    cluster.homes(Event::SwapResult(sequence, outcome));
                });
            }
            Action::ReadMap => {
                let cluster = Arc::clone(self);
                tokio::spawn(async move { cluster.home_map.read(&cluster).await });
            }
            Action::Reply(request, reply) => {
                let waiting = self.homes.lock().claims.remove(&request);
                if let Some(waiting) = waiting {
                    let _ = waiting.send(reply);
                }
            }
        }
    }

    async fn send_home(self: Arc<Self>, to: Holder, message: Message) {
        let Some(address) = self.address(&to) else {
            return;
        };
        let wire = home_message_to_wire(&self.homes.me, &to, &message);
        let reply = self.client(address).exchange_home(wire).await;
        if let Some(reply) = reply.ok().and_then(|reply| Message::try_from(reply).ok()) {
            self.homes(Event::Message(to, reply));
        }
    }

    /// Takes a message of another daemon and returns the reply to it.
    pub fn receive_home(self: &Arc<Self>, wire: proto::HomeMessage) -> Option<proto::HomeMessage> {
        let to: Holder = wire.to.clone()?.into();
        if to != self.homes.me {
            return None;
        }
        let from: Holder = wire.from.clone()?.into();
        let message = Message::try_from(wire).ok()?;
        let sequence = message.sequence;
        let event = Event::Message(from.clone(), message);
        let actions = {
            let mut inner = self.homes.lock();
            let now = self.shared.clock.now();
            inner.home.handle(now, event)
        };
        let mut reply = None;
        for action in actions {
            match action {
                Action::Send(to, message) if to == from && message.sequence == sequence => {
                    reply = Some(home_message_to_wire(&self.homes.me, &from, &message));
                }
                other => self.perform_home(other),
            }
        }
        reply
    }

    async fn swap(&self, expected: Revision, map: &HomeMap) -> SwapOutcome {
        let Ok(content) = serde_json::to_vec(map) else {
            return SwapOutcome::Conflict;
        };
        let key = Value::Homes.key();
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

    /// Asks the home of a key for its ticket.
    pub async fn claim(self: &Arc<Self>, claim: Claim) -> ClaimReply {
        let unavailable = ClaimReply::Unavailable(self.home_map.in_force());
        let Some(owner) = self.homes.owner(&claim.service, &claim.key) else {
            return unavailable;
        };
        if owner == self.homes.me {
            return self.claim_here(claim).await;
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

    /// Answers a claim as the owner of the slot.
    pub async fn claim_here(self: &Arc<Self>, claim: Claim) -> ClaimReply {
        let (sender, receiver) = oneshot::channel();
        let wall = self.shared.clock.wall();
        let request = {
            let mut inner = self.homes.lock();
            inner.last += 1;
            let request = inner.last;
            inner.claims.insert(request, sender);
            request
        };
        self.homes(Event::Claim(request, claim, wall));
        let reply = tokio::time::timeout(CLAIM_TIMEOUT, receiver).await;
        self.homes.lock().claims.remove(&request);
        let unavailable = ClaimReply::Unavailable(self.home_map.in_force());
        reply.ok().and_then(Result::ok).unwrap_or(unavailable)
    }
}

fn standing(view: &MemberView) -> HomeMember {
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
