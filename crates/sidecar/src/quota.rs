//! Quotas of organisations: asks the owner of an organisation's bucket for tokens, answers the asks
//! of other daemons, and lets requests wait for the reply.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use log::info;
use policy::fleet::{MISSING_ENTRY_GRACE, State};
use policy::id::{OrganisationName, VmId};
use policy::organisation::{Organisation, Quota};
use policy::quota::{
    self, Ask, Grant, OrganisationKey, QuotaBound, QuotaHolder, QuotaOwner, REPLY_TIMEOUT, Take,
};
use rand::Rng;
use tokio::sync::Notify;

use crate::daemon::Daemon;
use crate::frame::Frame;

#[cfg(test)]
mod tests;

/// Time between checks of the fleet, of silent entries and of due asks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a refusal after which an organisation counts as not limited.
const LIMITED_TIME: Duration = Duration::from_secs(5);

/// Organisations whose refusals are counted for the log.
const MAX_LIMITED: usize = 1_024;

/// Requests of one organisation that wait for a reply.
#[derive(Debug, Default)]
struct Waiters {
    notify: Notify,
    count: Cell<u32>,
}

/// An organisation with a quota.
#[derive(Debug)]
struct Limit {
    name: OrganisationName,
    owner: Option<VmId>,
    quota: Quota,
}

/// The fleet and the configuration for which the owners were determined.
#[derive(Debug, Default)]
struct View {
    version: Option<u64>,
    /// Whether all VMs are known. Until then this daemon owns no bucket and asks others only: one that
    /// knows only itself would own all buckets, like any other that has just started.
    is_complete: bool,
    vms: Vec<VmId>,
    limits: HashMap<OrganisationKey, Limit>,
}

/// Refusals of an organisation that is over its quota.
#[derive(Debug)]
struct Limited {
    name: OrganisationName,
    refused: u32,
    last: Instant,
}

/// Quotas as one daemon sees them.
#[derive(Debug)]
pub struct Quotas {
    owner: RefCell<QuotaOwner>,
    holder: RefCell<QuotaHolder>,
    view: RefCell<View>,
    waiters: RefCell<HashMap<OrganisationKey, Rc<Waiters>>>,
    limited: RefCell<HashMap<OrganisationKey, Limited>>,
}

/// Permission to send one request. It goes back when it is dropped, unless the request was sent.
#[derive(Debug)]
pub struct Token {
    daemon: Rc<Daemon>,
    key: OrganisationKey,
    held: quota::Token,
    is_sent: bool,
}

impl Token {
    /// Sets whether the request may have run or may still run.
    pub fn set_sent(&mut self, is_sent: bool) {
        self.is_sent = is_sent;
    }
}

impl Drop for Token {
    fn drop(&mut self) {
        if !self.is_sent {
            let now = self.daemon.clock.boot();
            let mut holder = self.daemon.quotas.holder.borrow_mut();
            holder.give_back(now, self.key, self.held);
        }
    }
}

/// Counts a request as waiting until it is dropped.
struct Waiting {
    daemon: Rc<Daemon>,
    key: OrganisationKey,
    waiters: Rc<Waiters>,
}

impl Waiting {
    fn new(daemon: &Rc<Daemon>, key: OrganisationKey) -> Self {
        let mut all = daemon.quotas.waiters.borrow_mut();
        let waiters = Rc::clone(all.entry(key).or_default());
        waiters.count.set(waiters.count.get() + 1);
        Self {
            daemon: Rc::clone(daemon),
            key,
            waiters,
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let left = self.waiters.count.get() - 1;
        self.waiters.count.set(left);
        if left == 0 {
            self.daemon.quotas.waiters.borrow_mut().remove(&self.key);
        }
    }
}

/// Takes a token for a request of an organisation with a quota, and waits for the owner of its
/// bucket if necessary.
///
/// # Errors
///
/// Returns the time after which the client may retry if the organisation is over its quota.
pub async fn admit(
    daemon: &Rc<Daemon>,
    organisation: &Arc<Organisation>,
) -> Result<Token, Duration> {
    let key = quota::key(&organisation.name);
    daemon.quotas.follow_configuration(daemon);
    let limit = tokio::time::Instant::now() + REPLY_TIMEOUT;
    let mut waiting = None;
    loop {
        let now = daemon.clock.boot();
        daemon.quotas.set_owner(now, key);
        let reply = daemon.quotas.holder.borrow_mut().take(now, key);
        match reply {
            Take::Token(held) => {
                return Ok(Token {
                    daemon: Rc::clone(daemon),
                    key,
                    held,
                    is_sent: false,
                });
            }
            Take::Refused(retry) => {
                let retry = retry.max(incomplete_for(daemon));
                return Err(daemon.quotas.refuse(daemon, key, organisation, retry));
            }
            Take::Wait => {}
        }
        let waiting = waiting.get_or_insert_with(|| Waiting::new(daemon, key));
        let notified = waiting.waiters.notify.notified();
        daemon.quotas.send_ask(daemon, key);
        if tokio::time::timeout_at(limit, notified).await.is_err() {
            daemon.quotas.record_timeout(daemon, key);
        }
    }
}

/// Returns the time until all VMs are known.
fn incomplete_for(daemon: &Daemon) -> Duration {
    let fleet = daemon.fleet.borrow();
    let time = fleet.incomplete_for(daemon.clock.now());
    time.unwrap_or(MISSING_ENTRY_GRACE)
}

impl Quotas {
    /// Creates the state of a process that starts now.
    #[must_use]
    pub fn new(now: Duration, bound: QuotaBound) -> Self {
        Self {
            owner: RefCell::new(QuotaOwner::new(now, bound)),
            holder: RefCell::new(QuotaHolder::new(now)),
            view: RefCell::default(),
            waiters: RefCell::default(),
            limited: RefCell::default(),
        }
    }

    /// Answers an ask of another daemon.
    pub fn answer(&self, daemon: &Daemon, vm: &VmId, key: OrganisationKey, ask: Ask) -> Grant {
        self.follow_configuration(daemon);
        let now = daemon.clock.boot();
        let grant = self.owner.borrow_mut().answer(now, key, vm, ask);
        daemon.metrics.quota.grants.inc_by(u64::from(grant.granted));
        grant
    }

    /// Applies the reply of another daemon to an ask, and wakes the waiting requests.
    pub fn apply_grant(&self, daemon: &Daemon, vm: &VmId, key: OrganisationKey, grant: Grant) {
        let now = daemon.clock.boot();
        self.holder.borrow_mut().apply_grant(now, key, vm, grant);
        if let Some(waiters) = self.waiters.borrow().get(&key) {
            waiters.notify.notify_waiters();
        }
    }

    /// Follows the fleet and sends due asks, as long as the daemon runs.
    pub async fn run(&self, daemon: &Rc<Daemon>) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            self.follow_fleet(daemon);
            let now = daemon.clock.boot();
            self.owner.borrow_mut().review(now);
            let due = self.holder.borrow_mut().due(now);
            for key in due {
                self.set_owner(now, key);
                self.send_ask(daemon, key);
            }
            self.log_unlimited(daemon);
            let metrics = &daemon.metrics;
            metrics.quota.held.set(self.holder.borrow().held().into());
            let owned = self.owner.borrow().len();
            metrics
                .quota
                .owned
                .set(i64::try_from(owned).unwrap_or(i64::MAX));
        }
    }

    /// Determines the owners again if another configuration is in force.
    fn follow_configuration(&self, daemon: &Daemon) {
        let version = daemon.configuration().map(|active| active.version);
        if self.view.borrow().version != version {
            self.follow(daemon);
        }
    }

    /// Determines the owners again if other VMs are ready or another configuration is in force.
    fn follow_fleet(&self, daemon: &Daemon) {
        let version = daemon.configuration().map(|active| active.version);
        let is_complete = incomplete_for(daemon).is_zero();
        let changed = {
            let view = self.view.borrow();
            let fleet = daemon.fleet.borrow();
            let ready = fleet.entries().map(|(entry, _)| entry);
            let ready = ready.filter(|entry| entry.endpoint.state == State::Ready);
            view.version != version
                || view.is_complete != is_complete
                || !ready.map(|entry| &entry.vm).eq(view.vms.iter())
        };
        if changed {
            self.follow(daemon);
        }
    }

    fn follow(&self, daemon: &Daemon) {
        let Some(configuration) = daemon.configuration() else {
            return;
        };
        let vms: Vec<VmId> = {
            let fleet = daemon.fleet.borrow();
            let ready = fleet.entries().map(|(entry, _)| entry);
            let ready = ready.filter(|entry| entry.endpoint.state == State::Ready);
            ready.map(|entry| VmId::clone(&entry.vm)).collect()
        };
        let is_complete = incomplete_for(daemon).is_zero();
        let may_own = |vm: &&VmId| is_complete || **vm != daemon.vm;
        let candidates: Vec<VmId> = vms.iter().filter(may_own).cloned().collect();
        let mut limits = HashMap::new();
        for organisation in configuration.organisations() {
            let key = quota::key(&organisation.name);
            if let Some(quota) = organisation.quota {
                limits.entry(key).or_insert_with(|| Limit {
                    name: OrganisationName::clone(&organisation.name),
                    owner: quota::owner(key, &candidates).cloned(),
                    quota,
                });
            }
        }
        let own: HashMap<OrganisationKey, Quota> = limits
            .iter()
            .filter(|(_, limit)| limit.owner.as_ref() == Some(&daemon.vm))
            .map(|(key, limit)| (*key, limit.quota))
            .collect();
        let now = daemon.clock.boot();
        let mut owner = self.owner.borrow_mut();
        owner.set_bound(daemon.settings.borrow().bounds.quota_bound());
        for key in owner.set_owned(now, vms.len(), &own) {
            if daemon.log_limiter.allows(daemon.clock.now(), "quota_owner") {
                info!(event = "quota_owner", organisation = &*limits[&key].name, rate = limits[&key].quota.rate, vms = vms.len(); "");
            }
        }
        let mut holder = self.holder.borrow_mut();
        holder.set_vms(vms.len());
        holder.retain(|key| limits.contains_key(&key));
        *self.view.borrow_mut() = View {
            version: Some(configuration.version),
            is_complete,
            vms,
            limits,
        };
    }

    /// Tells the holder which VM owns the bucket of an organisation.
    fn set_owner(&self, now: Duration, key: OrganisationKey) {
        let view = self.view.borrow();
        if let Some(limit) = view.limits.get(&key)
            && let Some(owner) = &limit.owner
        {
            let mut holder = self.holder.borrow_mut();
            holder.set_owner(now, key, owner, limit.quota.rate);
        }
    }

    fn owner_of(&self, key: OrganisationKey) -> Option<VmId> {
        self.view.borrow().limits.get(&key)?.owner.clone()
    }

    /// Asks the owner for tokens, unless an ask is open. If this daemon is the owner, it answers at
    /// once.
    fn send_ask(&self, daemon: &Rc<Daemon>, key: OrganisationKey) {
        let waiters = self.waiters.borrow().get(&key).map(Rc::clone);
        let waiting = waiters.map_or(0, |waiters| waiters.count.get());
        let now = daemon.clock.boot();
        let Some(vm) = self.owner_of(key) else {
            return;
        };
        let Some(ask) = self.holder.borrow_mut().ask(now, key, waiting) else {
            return;
        };
        if vm == daemon.vm {
            let grant = self.answer(daemon, &vm, key, ask);
            self.apply_grant(daemon, &vm, key, grant);
            return;
        }
        let address = daemon.fleet.borrow().get(&vm).map(|entry| entry.peer);
        if let Some(address) = address {
            daemon.metrics.quota.asks.inc();
            let ask = Frame::QuotaAsk {
                organisation: key,
                ask,
            };
            daemon.peers.get(&vm).send(daemon, address, &ask);
        }
    }

    /// Records that a request has waited for a reply in vain, and checks the connection.
    fn record_timeout(&self, daemon: &Rc<Daemon>, key: OrganisationKey) {
        let now = daemon.clock.boot();
        self.holder.borrow_mut().record_timeout(now, key);
        daemon.metrics.quota.timeouts.inc();
        let Some(vm) = self.owner_of(key) else {
            return;
        };
        if daemon
            .log_limiter
            .allows(daemon.clock.now(), "quota_timeout")
        {
            let view = self.view.borrow();
            let name = view.limits.get(&key).map_or("", |limit| &*limit.name);
            info!(event = "quota_timeout", organisation = name, vm = &*vm; "");
        }
        let address = daemon.fleet.borrow().get(&vm).map(|entry| entry.peer);
        if let Some(address) = address.filter(|_| vm != daemon.vm) {
            daemon.peers.get(&vm).ping(daemon, address);
        }
    }

    /// Counts a refusal; returns when the client may retry. Up to half as much is added at random,
    /// so that clients do not return together.
    fn refuse(
        &self,
        daemon: &Daemon,
        key: OrganisationKey,
        organisation: &Organisation,
        retry: Duration,
    ) -> Duration {
        daemon.metrics.quota.refusals.inc();
        let last = daemon.clock.now();
        let mut limited = self.limited.borrow_mut();
        if limited.len() < MAX_LIMITED || limited.contains_key(&key) {
            let state = limited.entry(key).or_insert_with(|| {
                info!(event = "quota_limited", organisation = &*organisation.name; "");
                Limited {
                    name: OrganisationName::clone(&organisation.name),
                    refused: 0,
                    last,
                }
            });
            state.refused += 1;
            state.last = last;
        }
        let random: f64 = daemon.rng.borrow_mut().random();
        retry.mul_f64(1.0 + random / 2.0)
    }

    fn log_unlimited(&self, daemon: &Daemon) {
        let now = daemon.clock.now();
        self.limited.borrow_mut().retain(|_, state| {
            let is_limited = now.saturating_duration_since(state.last) < LIMITED_TIME;
            if !is_limited {
                info!(event = "quota_unlimited", organisation = &*state.name, refused = state.refused; "");
            }
            is_limited
        });
    }
}
