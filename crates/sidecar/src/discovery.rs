//! What the daemon reads from and writes to the platform's store.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use adapter::store::{Changes, Event, LeaseId, StoreError, Write, WriteOutcome};
use adapter::{CONFIGURATION_KEY, CONFIGURATION_PREFIX};
use bytes::Bytes;
use log::{info, warn};
use policy::fleet::{Announcement, State, VmEntry};
use policy::id::{Revision, ServiceName, VmId};
use rand::Rng;
use tokio::sync::Notify;

use crate::daemon::Daemon;
use crate::peer;

#[cfg(test)]
mod tests;

/// Prefix of the entries of VMs.
const VM_PREFIX: &str = "sapphiredoor/vm/";

/// Time for which one watch waits. A waiting watch is one call, and the probes of its connection
/// notice earlier when it is silent.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Pause between watches of the fleet. Entries change in series, and each answer of a watch is a call
/// for every daemon; the news that matter at once come from the gates themselves.
const GATHER: Duration = Duration::from_millis(400);

/// Pause after a failed call, before a random part of as much again.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Life of the lease without renewal: longer than the pauses and freezes that a VM survives.
const LEASE_TIME: Duration = Duration::from_secs(8);

/// Time between renewals: three may be lost.
const RENEW_EVERY: Duration = Duration::from_secs(2);

/// Time between looks at entries that have disappeared.
const EXPIRY_CHECK: Duration = Duration::from_millis(500);

/// Time without the store after which other daemons are asked for the configuration.
const ASK_AFTER: Duration = Duration::from_millis(700);

/// Time between questions to other daemons while the store is away.
const ASK_EVERY: Duration = Duration::from_secs(1);

/// Gates of one service whose share is followed.
const MAX_WATCHED: usize = 8;

/// What the tasks of this module share.
#[derive(Debug, Default)]
pub struct Discovery {
    /// Since when the watch of the configuration fails.
    away: Cell<Option<Instant>>,
    /// Revision of the own entry; `None` when it must be read.
    revision: Cell<Option<Revision>>,
    /// Whether the own entry in the store is up to date.
    current: Cell<bool>,
    listed: Cell<bool>,
    wake: Notify,
    /// Wakes the watches when the store is back.
    back: Notify,
}

/// A part of the store that the daemon follows.
#[derive(Clone, Copy, Debug)]
pub enum StorePart {
    /// The operators' configuration.
    Configuration,
    /// The entries of VMs.
    Fleet,
}

impl StorePart {
    fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Fleet => "fleet",
        }
    }
}

fn pause(daemon: &Daemon) -> Duration {
    FAILURE_PAUSE.mul_f64(1.0 + daemon.rng.borrow_mut().random::<f64>())
}

impl Discovery {
    fn failed(&self, daemon: &Daemon, task: &str, error: &StoreError) {
        if self.away.get().is_none() {
            self.away.set(Some(daemon.clock.now()));
            warn!(event = "store_lost", task = task, error:% = error; "what is known stays in force");
        } else if daemon
            .log_limiter
            .allows(daemon.clock.now(), "store_failed")
        {
            info!(event = "store_failed", task = task, error:% = error; "");
        }
    }

    fn answered(&self, daemon: &Daemon) {
        if let Some(since) = self.away.take() {
            let away = daemon.clock.now().saturating_duration_since(since);
            info!(event = "store_regained", after_ms = away.as_millis() as u64; "");
            self.back.notify_waiters();
        }
    }

    /// Waits for changes. A watch that was sent while the store was away may never be answered, so it
    /// is sent again when another call shows that the store is back.
    async fn watch(
        &self,
        daemon: &Daemon,
        prefix: &str,
        after: Revision,
    ) -> Result<Changes, StoreError> {
        tokio::select! {
            changes = daemon.store.watch(prefix, after, WATCH_WAIT) => changes,
            () = self.back.notified() => Ok(Changes {
                events: Vec::new(),
                revision: after,
            }),
        }
    }

    /// Follows a part of the store as long as the daemon runs.
    pub async fn follow(self: Rc<Self>, daemon: Rc<Daemon>, part: StorePart) {
        let mut revision = None;
        loop {
            let result = match (part, revision) {
                (StorePart::Configuration, None) => self.read_configuration(&daemon).await,
                (StorePart::Configuration, Some(after)) => {
                    self.watch_configuration(&daemon, after).await
                }
                (StorePart::Fleet, None) => self.read_fleet(&daemon).await,
                (StorePart::Fleet, Some(after)) => self.watch_fleet(&daemon, after).await,
            };
            match result {
                Ok(next) => {
                    self.answered(&daemon);
                    revision = Some(next);
                }
                Err(StoreError::Compacted) => revision = None,
                Err(error) => {
                    self.failed(&daemon, part.name(), &error);
                    tokio::time::sleep(pause(&daemon)).await;
                }
            }
        }
    }

    async fn read_configuration(&self, daemon: &Daemon) -> Result<Revision, StoreError> {
        let listing = daemon.store.list(CONFIGURATION_PREFIX).await?;
        for item in listing.items {
            if item.key == CONFIGURATION_KEY {
                daemon.apply_configuration(Bytes::from(item.value), item.revision);
            }
        }
        Ok(listing.revision)
    }

    async fn watch_configuration(
        &self,
        daemon: &Daemon,
        after: Revision,
    ) -> Result<Revision, StoreError> {
        let changes = self.watch(daemon, CONFIGURATION_PREFIX, after).await?;
        for event in changes.events {
            match event {
                Event::Written(item) if item.key == CONFIGURATION_KEY => {
                    daemon.apply_configuration(Bytes::from(item.value), item.revision);
                }
                Event::Written(_) | Event::Removed { .. } => {}
            }
        }
        Ok(changes.revision.max(after))
    }

    async fn read_fleet(&self, daemon: &Rc<Daemon>) -> Result<Revision, StoreError> {
        let listing = daemon.store.list(VM_PREFIX).await?;
        let mut vms = Vec::with_capacity(listing.items.len());
        let mut own = 0;
        for item in listing.items {
            if let Some(entry) = self.take_entry(daemon, &item.key, &item.value, item.revision) {
                if entry == daemon.vm {
                    own = item.revision;
                }
                vms.push(entry);
            }
        }
        daemon
            .fleet
            .borrow_mut()
            .apply_listing(daemon.clock.now(), &vms, listing.revision);
        if own == 0 {
            self.own_entry_lost(Some(0));
        }
        self.listed.set(true);
        self.wake.notify_one();
        tokio::time::sleep(GATHER).await;
        Ok(listing.revision)
    }

    async fn watch_fleet(
        &self,
        daemon: &Rc<Daemon>,
        after: Revision,
    ) -> Result<Revision, StoreError> {
        let changes = self.watch(daemon, VM_PREFIX, after).await?;
        for event in changes.events {
            match event {
                Event::Written(item) => {
                    self.take_entry(daemon, &item.key, &item.value, item.revision);
                }
                Event::Removed { key, revision } => {
                    let Some(vm) = key.strip_prefix(VM_PREFIX) else {
                        continue;
                    };
                    if *vm == *daemon.vm {
                        info!(event = "own_entry_removed", revision = revision; "writing it again");
                        self.own_entry_lost(Some(0));
                    } else {
                        let now = daemon.clock.now();
                        daemon.fleet.borrow_mut().apply_removal(now, vm, revision);
                    }
                }
            }
        }
        tokio::time::sleep(GATHER).await;
        Ok(changes.revision.max(after))
    }

    /// Takes an entry that was read; returns the name of its VM if it can be used.
    fn take_entry(
        &self,
        daemon: &Rc<Daemon>,
        key: &str,
        value: &[u8],
        revision: Revision,
    ) -> Option<VmId> {
        let vm = key.strip_prefix(VM_PREFIX)?;
        let entry: VmEntry = match serde_json::from_slice(value) {
            Ok(entry) => entry,
            Err(error) => {
                if daemon
                    .log_limiter
                    .allows(daemon.clock.now(), "entry_refused")
                {
                    warn!(event = "entry_refused", vm = vm, error:% = error; "the entry is left out");
                }
                return None;
            }
        };
        if *entry.vm != *vm {
            return None;
        }
        if *vm == *daemon.vm {
            self.take_own(daemon, &entry, revision);
        } else {
            daemon
                .fleet
                .borrow_mut()
                .apply_write(entry.clone(), revision);
            // Whoever writes its entry runs, also after it was found to be stopping.
            daemon.peers.get(&entry.vm).target.borrow_mut().readmit();
        }
        Some(entry.vm)
    }

    /// Takes the entry of this VM: its predecessor's at the start, its own later.
    fn take_own(&self, daemon: &Rc<Daemon>, entry: &VmEntry, revision: Revision) {
        if self.revision.get().is_some_and(|known| revision < known) {
            return;
        }
        self.revision.set(Some(revision));
        let usable = entry.endpoint.service == daemon.service()
            && entry.endpoint.address == daemon.settings.borrow().endpoint.address
            && entry.endpoint.state != State::Gone;
        if daemon.gate.announcement().is_none() && usable {
            let endpoint = newest(daemon, entry);
            info!(event = "entry_taken_over", instance = &*endpoint.instance, state:? = endpoint.state, revision = revision; "");
            daemon.gate.apply_announcement(daemon, endpoint);
            self.current.set(false);
            daemon.publish_endpoint();
        }
        if daemon.vm_entry().is_some_and(|own| !same(&own, entry)) {
            self.current.set(false);
            self.wake.notify_one();
        }
    }

    fn own_entry_lost(&self, revision: Option<Revision>) {
        self.revision.set(revision);
        self.current.set(false);
        self.wake.notify_one();
    }

    /// Keeps the entry of this VM and its lease as long as the daemon runs.
    pub async fn keep_entry(self: Rc<Self>, daemon: Rc<Daemon>) {
        let mut lease: Option<LeaseId> = None;
        let mut renewed = daemon.clock.now();
        loop {
            tokio::select! {
                () = daemon.entry_changed.notified() => self.current.set(false),
                () = self.wake.notified() => {}
                () = tokio::time::sleep(RENEW_EVERY) => {}
            }
            if !self.listed.get() || daemon.vm_entry().is_none() {
                continue;
            }
            let due = daemon.clock.now().saturating_duration_since(renewed) >= RENEW_EVERY;
            if let Some(id) = lease.filter(|_| due) {
                match self.renew(&daemon, id).await {
                    Some(true) => renewed = daemon.clock.now(),
                    Some(false) => lease = None,
                    None => {}
                }
            }
            if self.current.get() && lease.is_some() {
                continue;
            }
            match self.write_entry(&daemon, &mut lease, &mut renewed).await {
                Ok(()) => self.answered(&daemon),
                Err(error) => {
                    self.failed(&daemon, "entry", &error);
                    tokio::time::sleep(pause(&daemon)).await;
                    self.wake.notify_one();
                }
            }
        }
    }

    /// Renews the lease; returns whether it lives, or `None` when the store does not tell.
    ///
    /// The renewal is the only regular call, so it also notices that the store is back.
    async fn renew(&self, daemon: &Daemon, lease: LeaseId) -> Option<bool> {
        match daemon.store.renew_lease(lease).await {
            Ok(lives) => {
                self.answered(daemon);
                if !lives {
                    info!(event = "lease_ended", lease = lease; "opening another one");
                    self.own_entry_lost(None);
                }
                Some(lives)
            }
            Err(error) => {
                self.failed(daemon, "lease", &error);
                None
            }
        }
    }

    async fn write_entry(
        &self,
        daemon: &Rc<Daemon>,
        lease: &mut Option<LeaseId>,
        renewed: &mut Instant,
    ) -> Result<(), StoreError> {
        let key = format!("{VM_PREFIX}{}", daemon.vm);
        let Some(entry) = daemon.vm_entry() else {
            return Ok(());
        };
        let id = if let Some(id) = *lease {
            id
        } else {
            let shortest = Duration::from_millis(daemon.settings.borrow().store.shortest_lease_ms);
            let (id, _) = daemon.store.open_lease(LEASE_TIME.max(shortest)).await?;
            *renewed = daemon.clock.now();
            *lease = Some(id);
            id
        };
        let expected = if let Some(revision) = self.revision.get() {
            revision
        } else {
            let item = daemon.store.get(&key).await?;
            item.map_or(0, |item| item.revision)
        };
        let value = serde_json::to_vec(&entry).expect("entries have a serializable form");
        let write = Write {
            key: &key,
            value: &value,
            lease: id,
            expected,
        };
        // Until the answer is there the revision is unknown: the write may be done without one.
        self.revision.set(None);
        match daemon.store.write(&write).await? {
            WriteOutcome::Done(revision) => {
                self.revision.set(Some(revision));
                let same = daemon.vm_entry().is_some_and(|own| same(&own, &entry));
                self.current.set(same);
                if !same {
                    self.wake.notify_one();
                }
                info!(event = "entry_written", revision = revision, state:? = entry.endpoint.state; "");
            }
            WriteOutcome::Conflict(revision) => {
                self.revision.set(Some(revision));
                self.wake.notify_one();
            }
            WriteOutcome::NoLease => {
                *lease = None;
                self.wake.notify_one();
            }
        }
        Ok(())
    }

    /// Drops VMs that are gone and asks others while the store is away, as long as the daemon runs.
    pub async fn maintain(self: Rc<Self>, daemon: Rc<Daemon>) {
        let mut asked = None;
        loop {
            tokio::time::sleep(EXPIRY_CHECK).await;
            let now = daemon.clock.now();
            // Without the store nobody can write an entry again, so nobody is gone yet.
            if self.away.get().is_none() {
                let lost = daemon
                    .fleet
                    .borrow_mut()
                    .expire(now, |vm| daemon.peers.is_alive(now, vm));
                for vm in lost {
                    info!(event = "vm_gone", vm = &*vm; "");
                    daemon.peers.remove(&vm);
                }
                for (vm, address) in daemon.fleet.borrow().missing() {
                    daemon.peers.get(&vm).ping(&daemon, address);
                }
            }
            watch_reached(&daemon, now);
            let age = |since| now.saturating_duration_since(since);
            let configured = daemon.configuration().is_some();
            if must_ask(configured, self.away.get().map(age), asked.map(age)) {
                asked = Some(now);
                if let Some(address) = someone(&daemon) {
                    peer::request_state(&daemon, address).await;
                }
            }
        }
    }
}

/// Whether to ask another daemon for the configuration, by the times since the store was lost and
/// since the last question.
///
/// A daemon without any configuration refuses everything, so it does not wait for the store to fail.
fn must_ask(configured: bool, away: Option<Duration>, asked: Option<Duration>) -> bool {
    if configured {
        away.is_some_and(|away| away >= ASK_AFTER) && asked.is_none_or(|asked| asked >= ASK_EVERY)
    } else {
        asked.is_none_or(|asked| asked >= EXPIRY_CHECK)
    }
}

/// Keeps connections to gates of the services that chains from here reach, so that they tell their
/// share.
fn watch_reached(daemon: &Rc<Daemon>, now: Instant) {
    let mut services: Vec<ServiceName> = daemon
        .throttle
        .borrow()
        .all_dependencies()
        .cloned()
        .collect();
    services.sort_unstable();
    services.dedup();
    for service in services {
        let vms: Vec<(VmId, SocketAddr)> = {
            let fleet = daemon.fleet.borrow();
            let ready = fleet.ready(&service).iter().take(MAX_WATCHED);
            ready
                .filter_map(|vm| Some((VmId::clone(vm), fleet.get(vm)?.peer)))
                .collect()
        };
        for (vm, address) in vms {
            let peer = daemon.peers.get(&vm);
            if vm != daemon.vm && !peer.is_alive(now) && !peer.target.borrow().is_ejected(now) {
                peer.ping(daemon, address);
            }
        }
    }
}

/// What is known of the endpoint of an entry: other daemons may have heard that it left when the
/// predecessor of this process could not write it.
fn newest(daemon: &Daemon, entry: &VmEntry) -> Announcement {
    let fleet = daemon.fleet.borrow();
    let known = fleet.get(&entry.vm).map(|known| &known.endpoint);
    let newer = known.filter(|known| known.supersedes(&entry.endpoint));
    newer.unwrap_or(&entry.endpoint).clone()
}

/// Whether two entries of a VM say the same; the sequence number of a heartbeat alone is no news.
fn same(a: &VmEntry, b: &VmEntry) -> bool {
    let (x, y) = (&a.endpoint, &b.endpoint);
    a.peer == b.peer
        && x.instance == y.instance
        && x.started_ms == y.started_ms
        && x.state == y.state
        && x.slots == y.slots
}

/// Address of a daemon that may know more: a known one, else a seed.
fn someone(daemon: &Daemon) -> Option<SocketAddr> {
    let settings = daemon.settings.borrow();
    let fleet = daemon.fleet.borrow();
    let mut known: Vec<SocketAddr> = fleet
        .entries()
        .filter(|(entry, _)| entry.vm != daemon.vm)
        .map(|(entry, _)| entry.peer)
        .collect();
    // Ports are the same on all VMs, and seeds are named by their control addresses.
    let port = settings.listen.peers.port();
    known.extend(
        settings
            .seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), port)),
    );
    if known.is_empty() {
        return None;
    }
    let index = daemon.rng.borrow_mut().random_range(0..known.len());
    Some(known[index])
}
