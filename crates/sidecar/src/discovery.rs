//! Service discovery through the platform's store.
//!
//! The daemon watches the operators' configuration and the entries of all VMs, and keeps the entry
//! of its own VM under a lease. While the store is unreachable it asks other daemons instead.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use adapter::store::{Changes, Event, Freshness, LeaseId, StoreError, Write, WriteOutcome};
use adapter::{CONFIGURATION_KEY, CONFIGURATION_PREFIX};
use bytes::Bytes;
use log::{info, warn};
use policy::fleet::{Announcement, InstanceId, MISSING_ENTRY_GRACE, State, VmEntry};
use policy::id::{Era, Revision, ServiceName, VmId};
use policy::pacing::{self, RetryDelay};
use policy::position::Position;
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::daemon::Daemon;
use crate::peer;

#[cfg(test)]
mod departure_tests;
#[cfg(test)]
mod era_tests;
#[cfg(test)]
mod tests;

/// Key prefix of the VM entries.
const VM_PREFIX: &str = "sapphiredoor/vm/";

/// Time for which one watch waits for changes. A long wait costs the store only one call, and the
/// keepalive probes of its connection notice a silent store earlier.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for which a watch waits after a failed call. The store may accept a watch in trouble and
/// never answer it, although it answers other calls: a configuration was seen 5 s late after the
/// history had been compacted.
const CHECK_WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest random delay of a watch after the store is reachable again, so that the watches of all
/// daemons do not arrive at one moment.
const MAX_RETURN_DELAY: Duration = Duration::from_millis(250);

/// Lifetime of the lease without renewal: longer than the pauses and freezes that a VM survives.
const LEASE_LIFETIME: Duration = Duration::from_secs(8);

/// Lifetime of the lease of an entry whose endpoint has left. The entry must outlast the daemon that
/// wrote it: an outage of the store in which leases expire, a late restart, and heartbeats that the
/// endpoint sent before and that arrive seconds later.
const DEPARTED_LEASE_LIFETIME: Duration = Duration::from_mins(1);

/// Time between renewals of the lease: three may be lost.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// Time between renewals while the store is unreachable. A renewal is the cheapest call, so it is
/// the one that shows when the store is back.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);

/// Time for which the watches wait for a renewal to show that the store is back, before they try it
/// themselves: the store may refuse renewals and take other calls.
const MAX_PROBE_WAIT: Duration = Duration::from_secs(3);

/// Time between checks for entries that have disappeared.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without the store after which other daemons are asked for the configuration and the fleet.
const STORE_OUTAGE_GRACE: Duration = Duration::from_millis(700);

/// Time between requests to other daemons while the store is unreachable.
const STATE_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Other daemons that are asked at the start what they know of the local endpoint. One that has
/// itself just started may know nothing.
const RECORD_REPLIES: usize = 3;

/// Time between requests to other daemons for what they know of the local endpoint.
const RECORD_INTERVAL: Duration = Duration::from_millis(200);

/// Largest number of gates of one service whose admission share is monitored.
const MAX_MONITORED_GATES: usize = 8;

/// Entry of a VM as it is written.
#[derive(Debug)]
#[derive(Serialize)]
struct StoredEntry<'a> {
    #[serde(flatten)]
    entry: &'a VmEntry,
    /// Era of the store in which the entry is written.
    era: Era,
}

/// What an entry says of the time of its writing. It is decoded apart from the entry, because a
/// flattened entry is buffered with its unknown fields, which may be nested too deeply for that.
#[derive(Debug, Default)]
#[derive(Deserialize)]
struct EntryOrigin {
    /// Era of the store in which the entry was written. Entries of earlier releases lack it.
    era: Option<Era>,
}

/// Lease of this VM's entry.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: LeaseId,
    /// Era in which the store was last known to have it.
    era: Era,
    /// Lifetime without renewal that was asked for.
    lifetime: Duration,
}

/// State shared by the tasks of this module.
#[derive(Debug, Default)]
pub struct Discovery {
    /// Since when calls to the store fail.
    unreachable_since: Cell<Option<Instant>>,
    /// Position of this VM's entry; `None` when it must be read.
    own_position: Cell<Option<Position>>,
    /// Lease of this VM's entry.
    lease: Cell<Option<Lease>>,
    /// Whether this VM's entry in the store is up to date.
    up_to_date: Cell<bool>,
    /// Whether the fleet has been listed once.
    listed: Cell<bool>,
    /// Wakes the task that keeps this VM's entry.
    write_needed: Notify,
    /// Wakes the watches when the store is reachable again.
    reachable: Notify,
    /// Era of the store when a call last succeeded.
    era: Cell<Option<Era>>,
}

/// A part of the store that the daemon watches.
#[derive(Clone, Copy, Debug)]
pub enum StorePart {
    /// The operators' configuration.
    Configuration,
    /// The VM entries.
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

impl Discovery {
    fn record_failure(&self, daemon: &Daemon, task: &str, error: &StoreError) {
        if self.unreachable_since.get().is_none() {
            self.unreachable_since.set(Some(daemon.clock.now()));
            warn!(event = "store_lost", task = task, error:% = error; "continuing with the configuration and the VMs already known");
        } else if daemon
            .log_limiter
            .allows(daemon.clock.now(), "store_failed")
        {
            info!(event = "store_failed", task = task, error:% = error; "");
        }
    }

    fn record_success(&self, daemon: &Daemon) {
        let era = daemon.store.era();
        let before = self.era.replace(Some(era));
        if let Some(before) = before.filter(|before| *before < era) {
            let own = self.own_position.get().unwrap_or_default();
            info!(event = "store_restored", era = era, before = before, own_revision = own.revision; "listing again");
            self.reachable.notify_waiters();
        }
        if let Some(since) = self.unreachable_since.take() {
            let time = daemon.clock.now().saturating_duration_since(since);
            info!(event = "store_regained", after_ms = time.as_millis() as u64; "");
            self.reachable.notify_waiters();
        }
    }

    /// Waits for changes after a position. A watch that was sent while the store was unreachable may
    /// never be answered. When another call shows that the store is reachable, it is dropped and no
    /// changes are returned, so that the caller sends a new one.
    ///
    /// After the store has returned from an older copy, the position belongs to a history that is
    /// gone, even if its revision has been given out again.
    async fn watch(
        &self,
        daemon: &Daemon,
        prefix: &str,
        after: Position,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        if daemon.store.era() != after.era {
            return Err(StoreError::Compacted);
        }
        let changes = tokio::select! {
            changes = daemon.store.watch(prefix, after.revision, wait) => changes?,
            () = self.reachable.notified() => Changes {
                events: Vec::new(),
                revision: after.revision,
                era: daemon.store.era(),
                odd: 0,
            },
        };
        if changes.era != after.era {
            return Err(StoreError::Compacted);
        }
        log_odd_items(daemon, prefix, changes.odd);
        Ok(changes)
    }

    /// Watches a part of the store as long as the daemon runs.
    pub async fn follow(self: Rc<Self>, daemon: Rc<Daemon>, part: StorePart) {
        let mut position = None;
        // A watch follows each listing, so the first one need not be current.
        let mut freshness = Freshness::Stale;
        let mut delay = RetryDelay::default();
        let mut wait = WATCH_TIMEOUT;
        // Whether no watch has succeeded since a listing replaced one.
        let mut relisted = false;
        loop {
            let result = match (part, position) {
                (StorePart::Configuration, None) => {
                    self.read_configuration(&daemon, freshness).await
                }
                (StorePart::Configuration, Some(after)) => {
                    self.watch_configuration(&daemon, after, wait).await
                }
                (StorePart::Fleet, None) => self.read_fleet(&daemon, freshness).await,
                (StorePart::Fleet, Some(after)) => self.watch_fleet(&daemon, after, wait).await,
            };
            match result {
                Ok(next) => {
                    self.record_success(&daemon);
                    delay.reset();
                    if position.is_some() {
                        wait = WATCH_TIMEOUT;
                        relisted = false;
                    }
                    position = Some(next);
                }
                Err(StoreError::Compacted) => {
                    let after = position.unwrap_or_default();
                    info!(event = "store_listed_again", part = part.name(), after = after.revision, era = daemon.store.era(); "");
                    freshness = Freshness::Current;
                    position = None;
                    // The first listing is urgent; a store that refuses each watch after it is not
                    // asked without a pause.
                    if relisted {
                        tokio::time::sleep(delay.next(random(&daemon))).await;
                    }
                    relisted = true;
                }
                Err(error) => {
                    self.record_failure(&daemon, part.name(), &error);
                    self.wait_for_store(&daemon, delay.next(random(&daemon)))
                        .await;
                    wait = CHECK_WATCH_TIMEOUT;
                    // A listing shows at once what a watch that is never answered would miss.
                    if matches!(part, StorePart::Configuration) {
                        freshness = Freshness::Current;
                        position = None;
                    }
                }
            }
        }
    }

    /// Waits before the next attempt of a watch after a failed call: for a delay or, where renewals
    /// probe the store, until one of them succeeds.
    async fn wait_for_store(&self, daemon: &Daemon, delay: Duration) {
        if self.lease.get().is_some() {
            let wait = MAX_PROBE_WAIT + delay;
            // A timeout is the fallback for a store that refuses renewals alone.
            drop(tokio::time::timeout(wait, self.reachable.notified()).await);
            tokio::time::sleep(MAX_RETURN_DELAY.mul_f64(random(daemon))).await;
        } else {
            tokio::time::sleep(delay).await;
        }
    }

    async fn read_configuration(
        &self,
        daemon: &Daemon,
        freshness: Freshness,
    ) -> Result<Position, StoreError> {
        let listing = daemon.store.list(CONFIGURATION_PREFIX, freshness).await?;
        log_odd_items(daemon, CONFIGURATION_PREFIX, listing.odd);
        for item in listing.items {
            if item.key == CONFIGURATION_KEY {
                daemon.apply_configuration(Bytes::from(item.value), item.revision);
            }
        }
        Ok(Position::new(listing.era, listing.revision))
    }

    async fn watch_configuration(
        &self,
        daemon: &Daemon,
        after: Position,
        wait: Duration,
    ) -> Result<Position, StoreError> {
        let changes = self
            .watch(daemon, CONFIGURATION_PREFIX, after, wait)
            .await?;
        for event in changes.events {
            match event {
                Event::Written(item) if item.key == CONFIGURATION_KEY => {
                    daemon.apply_configuration(Bytes::from(item.value), item.revision);
                }
                Event::Written(_) | Event::Removed { .. } => {}
            }
        }
        Ok(after.max(Position::new(changes.era, changes.revision)))
    }

    async fn read_fleet(
        &self,
        daemon: &Rc<Daemon>,
        freshness: Freshness,
    ) -> Result<Position, StoreError> {
        let listing = daemon.store.list(VM_PREFIX, freshness).await?;
        log_odd_items(daemon, VM_PREFIX, listing.odd);
        let mut vms = Vec::with_capacity(listing.items.len() + 1);
        let mut own_lease = None;
        for item in listing.items {
            let position = Position::new(listing.era, item.revision);
            if let Some(vm) = self.apply_entry(daemon, &item.key, &item.value, position) {
                if vm == daemon.vm {
                    own_lease = Some(item.lease);
                }
                vms.push(vm);
            }
        }
        // This VM is not gone if its entry is missing: the entry is written again.
        vms.push(VmId::clone(&daemon.vm));
        let position = Position::new(listing.era, listing.revision);
        let now = daemon.clock.now();
        // Where this VM's entry has lapsed, or is yet to be written, so may be those of others.
        let complete_at = if own_lease.is_some() {
            now
        } else {
            now + MISSING_ENTRY_GRACE
        };
        daemon.fleet.borrow_mut().apply_listing(now, &vms, position);
        daemon.fleet.borrow_mut().set_complete_at(complete_at);
        self.check_lease(listing.era, own_lease);
        if own_lease.is_none() {
            self.rewrite_own_entry(Some(Position::new(listing.era, 0)));
        }
        self.listed.set(true);
        self.write_needed.notify_one();
        // Where all VMs start together, their entries follow within a few seconds.
        tokio::time::sleep(pacing::MAX_WATCH_PAUSE).await;
        Ok(Position::new(listing.era, listing.revision))
    }

    async fn watch_fleet(
        &self,
        daemon: &Rc<Daemon>,
        after: Position,
        wait: Duration,
    ) -> Result<Position, StoreError> {
        let changes = self.watch(daemon, VM_PREFIX, after, wait).await?;
        for event in changes.events {
            match event {
                Event::Written(item) => {
                    let position = Position::new(changes.era, item.revision);
                    self.apply_entry(daemon, &item.key, &item.value, position);
                }
                Event::Removed { key, revision } => {
                    let Some(vm) = key.strip_prefix(VM_PREFIX) else {
                        continue;
                    };
                    if *vm == *daemon.vm {
                        info!(event = "own_entry_removed", revision = revision; "writing it again");
                        self.rewrite_own_entry(Some(Position::new(changes.era, 0)));
                    } else {
                        let now = daemon.clock.now();
                        let position = Position::new(changes.era, revision);
                        daemon.fleet.borrow_mut().apply_removal(now, vm, position);
                    }
                }
            }
        }
        pause_watch(daemon).await;
        Ok(after.max(Position::new(changes.era, changes.revision)))
    }

    /// Applies an entry that was read; returns the name of its VM if the entry is valid.
    fn apply_entry(
        &self,
        daemon: &Rc<Daemon>,
        key: &str,
        value: &[u8],
        position: Position,
    ) -> Option<VmId> {
        let vm = key.strip_prefix(VM_PREFIX)?;
        let decoded = serde_json::from_slice(value).map_err(|error| error.to_string());
        let checked = decoded.and_then(|entry: VmEntry| {
            entry.check().map_err(ToOwned::to_owned)?;
            Ok(entry)
        });
        let entry = match checked {
            Ok(entry) => entry,
            Err(error) => {
                if daemon
                    .log_limiter
                    .allows(daemon.clock.now(), "entry_refused")
                {
                    warn!(event = "entry_refused", vm = vm, error:% = error; "ignoring the entry");
                }
                return None;
            }
        };
        if *entry.vm != *vm {
            return None;
        }
        if *vm == *daemon.vm {
            let origin: EntryOrigin = serde_json::from_slice(value).unwrap_or_default();
            self.apply_own_entry(daemon, &entry, origin.era, position);
        } else {
            daemon
                .fleet
                .borrow_mut()
                .apply_write(entry.clone(), position);
            // A daemon that writes its entry is running, even if it announced that it stops.
            daemon.peers.get(&entry.vm).stats.borrow_mut().readmit();
        }
        Some(entry.vm)
    }

    /// Applies the entry of this VM: at the start that of an earlier process, later its own.
    ///
    /// An entry whose endpoint left is taken over too. Without it, a heartbeat that arrives late
    /// would make the endpoint ready again. `written` is the era in which the entry was written: the
    /// store may have returned since from a copy that lacks a departure, so an endpoint that is ready
    /// in an entry of an earlier era is left to its own heartbeat.
    fn apply_own_entry(
        &self,
        daemon: &Rc<Daemon>,
        entry: &VmEntry,
        written: Option<Era>,
        position: Position,
    ) {
        if self
            .own_position
            .get()
            .is_some_and(|known| position < known)
        {
            return;
        }
        self.own_position.set(Some(position));
        let usable = entry.endpoint.service == daemon.service()
            && entry.endpoint.address == daemon.settings.borrow().endpoint.address;
        let endpoint = newest_announcement(daemon, entry);
        let (instance, state) = (InstanceId::clone(&endpoint.instance), endpoint.state);
        let is_outdated = state == State::Ready
            && written.is_some_and(|era| era < position.era)
            && daemon.gate.announcement().is_none();
        if is_outdated {
            info!(event = "entry_not_taken_over", instance = &*instance, state:? = state, era = position.era, written = written; "the store has returned from a copy since; waiting for a heartbeat");
        } else if !usable {
            info!(event = "entry_not_taken_over", instance = &*instance, state:? = state, service = &*entry.endpoint.service, address:% = entry.endpoint.address; "the entry is of another endpoint");
        } else if daemon.gate.apply_record(daemon, endpoint) {
            info!(event = "entry_taken_over", instance = &*instance, state:? = state, revision = position.revision; "");
            self.up_to_date.set(false);
            daemon.publish_endpoint();
        }
        match daemon.vm_entry() {
            Some(own) if same_state(&own, entry) => {
                daemon.note_record(&entry.endpoint, position.era);
            }
            Some(_) => {
                self.up_to_date.set(false);
                self.write_needed.notify_one();
            }
            None => {}
        }
    }

    /// Marks this VM's entry as outdated and wakes the task that writes it.
    fn rewrite_own_entry(&self, position: Option<Position>) {
        self.own_position.set(position);
        self.up_to_date.set(false);
        self.write_needed.notify_one();
    }

    /// Gives up a lease that the store opened in an earlier era, unless this VM's entry is attached
    /// to it: the copy from which the store returned may lack the lease and give out its id again.
    fn check_lease(&self, era: Era, own_lease: Option<LeaseId>) {
        let Some(lease) = self.lease.get() else {
            return;
        };
        if own_lease == Some(lease.id) {
            self.lease.set(Some(Lease { era, ..lease }));
        } else if lease.era < era {
            self.lease.set(None);
            self.rewrite_own_entry(None);
        }
    }

    /// Keeps the entry of this VM and its lease as long as the daemon runs.
    pub async fn keep_entry(self: Rc<Self>, daemon: Rc<Daemon>) {
        let mut renewed = daemon.clock.now();
        let mut delay = RetryDelay::default();
        loop {
            let interval = if self.unreachable_since.get().is_some() {
                PROBE_INTERVAL
            } else {
                LEASE_RENEWAL_INTERVAL
            };
            tokio::select! {
                () = daemon.entry_changed.notified() => self.up_to_date.set(false),
                () = self.write_needed.notified() => {}
                () = tokio::time::sleep(interval) => {}
            }
            if !self.listed.get() || daemon.vm_entry().is_none() {
                continue;
            }
            let must_renew = daemon.clock.now().saturating_duration_since(renewed) >= interval;
            if let Some(lease) = self.lease.get().filter(|_| must_renew) {
                match self.renew(&daemon, lease.id).await {
                    Some(true) => renewed = daemon.clock.now(),
                    Some(false) => self.lease.set(None),
                    None => {}
                }
            }
            if self.up_to_date.get() && self.lease.get().is_some() {
                continue;
            }
            match self.write_entry(&daemon, &mut renewed).await {
                Ok(()) => {
                    self.record_success(&daemon);
                    delay.reset();
                }
                Err(error) => {
                    self.record_failure(&daemon, "entry", &error);
                    tokio::time::sleep(delay.next(random(&daemon))).await;
                    self.write_needed.notify_one();
                }
            }
        }
    }

    /// Renews the lease; returns whether it still exists, or `None` when the call failed.
    ///
    /// The renewal is the only regular call, so it also notices that the store is reachable again.
    async fn renew(&self, daemon: &Daemon, lease: LeaseId) -> Option<bool> {
        match daemon.store.renew_lease(lease).await {
            Ok(exists) => {
                self.record_success(daemon);
                if !exists {
                    info!(event = "lease_ended", lease = lease; "opening another one");
                    self.rewrite_own_entry(None);
                }
                Some(exists)
            }
            Err(error) => {
                self.record_failure(daemon, "lease", &error);
                None
            }
        }
    }

    /// Reads the entry of this VM and applies it: an earlier process may have written it. Returns
    /// its revision, 0 if there is none.
    async fn read_own_entry(&self, daemon: &Rc<Daemon>, key: &str) -> Result<Revision, StoreError> {
        let Some(item) = daemon.store.get(key).await? else {
            return Ok(0);
        };
        let position = Position::new(daemon.store.era(), item.revision);
        self.apply_entry(daemon, &item.key, &item.value, position);
        Ok(item.revision)
    }

    /// Writes the entry of this VM, under a new lease if there is none.
    async fn write_entry(
        &self,
        daemon: &Rc<Daemon>,
        renewed: &mut Instant,
    ) -> Result<(), StoreError> {
        let key = format!("{VM_PREFIX}{}", daemon.vm);
        let lifetime = lease_lifetime(daemon);
        let lease = if let Some(lease) = self.lease.get().filter(|lease| lease.lifetime == lifetime)
        {
            lease
        } else {
            let (id, _) = daemon.store.open_lease(lifetime).await?;
            *renewed = daemon.clock.now();
            let lease = Lease {
                id,
                era: daemon.store.era(),
                lifetime,
            };
            self.lease.set(Some(lease));
            lease
        };
        let own = self.own_position.get();
        let expected = if let Some(own) = own.filter(|own| own.era == daemon.store.era()) {
            own.revision
        } else {
            self.read_own_entry(daemon, &key).await?
        };
        let Some(entry) = daemon.vm_entry() else {
            return Ok(());
        };
        if lease_lifetime(daemon) != lifetime {
            // The endpoint left, or came, while the store was asked.
            self.write_needed.notify_one();
            return Ok(());
        }
        let stored = StoredEntry {
            entry: &entry,
            era: daemon.store.era(),
        };
        let value = serde_json::to_vec(&stored).expect("entries have a serializable form");
        let write = Write {
            key: &key,
            value: &value,
            lease: lease.id,
            expected,
        };
        // The position is unknown until the store responds: the write may succeed without a
        // response.
        self.own_position.set(None);
        match daemon.store.write(&write).await? {
            WriteOutcome::Done(revision) => {
                let position = Position::new(daemon.store.era(), revision);
                self.own_position.set(Some(position));
                daemon.note_record(&entry.endpoint, position.era);
                let same = daemon
                    .vm_entry()
                    .is_some_and(|own| same_state(&own, &entry));
                self.up_to_date.set(same);
                if !same {
                    self.write_needed.notify_one();
                }
                info!(event = "entry_written", revision = revision, state:? = entry.endpoint.state; "");
            }
            // The position is still unknown, so the entry is read before the next attempt.
            WriteOutcome::Conflict(_) => self.write_needed.notify_one(),
            WriteOutcome::NoLease => {
                self.lease.set(None);
                self.write_needed.notify_one();
            }
        }
        Ok(())
    }

    /// Removes VMs that are gone, keeps connections to the gates of dependencies, and asks other
    /// daemons for their state while the store is unreachable or no configuration is known, as long
    /// as the daemon runs.
    pub async fn maintain(self: Rc<Self>, daemon: Rc<Daemon>) {
        let mut requested = None;
        loop {
            tokio::time::sleep(MAINTENANCE_INTERVAL).await;
            let now = daemon.clock.now();
            // While the store is unreachable no daemon can rewrite its entry, so a missing entry
            // does not mean that its VM is gone.
            if self.unreachable_since.get().is_none() {
                let gone = daemon
                    .fleet
                    .borrow_mut()
                    .expire(now, |vm| daemon.peers.is_alive(now, vm));
                for vm in gone {
                    info!(event = "vm_gone", vm = &*vm; "");
                    daemon.peers.remove(&vm);
                }
                for (vm, address) in daemon.fleet.borrow().missing() {
                    daemon.peers.get(&vm).ping(&daemon, address);
                }
            }
            ping_dependencies(&daemon, now);
            let age = |since| now.saturating_duration_since(since);
            let configured = daemon.configuration().is_some();
            if must_request(
                configured,
                self.unreachable_since.get().map(age),
                requested.map(age),
            ) {
                requested = Some(now);
                if let Some(address) = random_daemon(&daemon) {
                    peer::request_state(&daemon, address).await;
                }
            }
        }
    }
}

/// Logs that items under a prefix cannot be decoded and are ignored.
fn log_odd_items(daemon: &Daemon, prefix: &str, count: usize) {
    if count > 0
        && daemon
            .log_limiter
            .allows(daemon.clock.now(), "item_refused")
    {
        warn!(event = "item_refused", prefix = prefix, count = count; "another writer spoilt them; ignoring them");
    }
}

/// Returns a random number from 0 to 1.
fn random(daemon: &Daemon) -> f64 {
    daemon.rng.borrow_mut().random()
}

/// Pauses before the next watch of the fleet. Urgent changes come directly from the gates.
async fn pause_watch(daemon: &Daemon) {
    let daemons = daemon.fleet.borrow().len();
    tokio::time::sleep(pacing::watch_pause(daemons)).await;
}

/// Whether to ask another daemon for its state, given the times for which the store has been
/// unreachable and since the last request.
///
/// A daemon without a configuration refuses all calls, so it does not wait for the store to fail.
fn must_request(
    configured: bool,
    unreachable: Option<Duration>,
    requested: Option<Duration>,
) -> bool {
    if configured {
        unreachable.is_some_and(|time| time >= STORE_OUTAGE_GRACE)
            && requested.is_none_or(|time| time >= STATE_REQUEST_INTERVAL)
    } else {
        requested.is_none_or(|time| time >= MAINTENANCE_INTERVAL)
    }
}

/// Keeps connections to gates of the dependencies of this entry's chains, so that they report their
/// admission share.
fn ping_dependencies(daemon: &Rc<Daemon>, now: Instant) {
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
            let ready = fleet.ready(&service).iter().take(MAX_MONITORED_GATES);
            ready
                .filter_map(|vm| Some((VmId::clone(vm), fleet.get(vm)?.peer)))
                .collect()
        };
        for (vm, address) in vms {
            let peer = daemon.peers.get(&vm);
            if vm != daemon.vm && !peer.is_alive(now) && !peer.stats.borrow().is_ejected(now) {
                peer.ping(daemon, address);
            }
        }
    }
}

/// Returns the newest announcement of an entry's endpoint: other daemons may know that it left when
/// an earlier process of this daemon could not write that.
fn newest_announcement(daemon: &Daemon, entry: &VmEntry) -> Announcement {
    let fleet = daemon.fleet.borrow();
    let known = fleet.get(&entry.vm).map(|known| &known.endpoint);
    let newer = known.filter(|known| known.supersedes(&entry.endpoint));
    newer.unwrap_or(&entry.endpoint).clone()
}

/// Returns the lifetime of the lease that the present entry of this VM needs.
fn lease_lifetime(daemon: &Daemon) -> Duration {
    let known = daemon.gate.announcement();
    let lifetime = if known.is_some_and(|known| known.state != State::Ready) {
        DEPARTED_LEASE_LIFETIME
    } else {
        LEASE_LIFETIME
    };
    let shortest = Duration::from_millis(daemon.settings.borrow().store.shortest_lease_ms);
    lifetime.max(shortest)
}

/// Whether two entries of a VM have the same content.
fn same_state(a: &VmEntry, b: &VmEntry) -> bool {
    a.peer == b.peer && a.endpoint.same_state(&b.endpoint)
}

/// Compares the state of the local endpoint with what other daemons know of it, until some of them
/// have replied after the start.
///
/// The store may have returned from a copy that lacks a departure, or may not have taken it before
/// an earlier process of this daemon was killed.
pub async fn compare_records(daemon: Rc<Daemon>) {
    let mut replies = 0;
    while replies < RECORD_REPLIES {
        tokio::time::sleep(RECORD_INTERVAL).await;
        replies += exchange_records(&daemon).await;
    }
}

/// Tells some other daemons the state of the local endpoint and applies newer ones that they know;
/// returns how many replied.
pub async fn exchange_records(daemon: &Rc<Daemon>) -> usize {
    let mut addresses = other_daemons(daemon);
    let count = RECORD_REPLIES.min(addresses.len());
    let (chosen, _) = addresses.partial_shuffle(&mut *daemon.rng.borrow_mut(), count);
    let exchanges = chosen
        .iter()
        .map(|address| peer::exchange_record(daemon, *address));
    let replies = futures::future::join_all(exchanges).await;
    replies.into_iter().filter(|replied| *replied).count()
}

/// Returns the address of a random daemon among the known ones and the seeds.
fn random_daemon(daemon: &Daemon) -> Option<SocketAddr> {
    other_daemons(daemon)
        .choose(&mut *daemon.rng.borrow_mut())
        .copied()
}

/// Returns the addresses of the known daemons and the seeds.
fn other_daemons(daemon: &Daemon) -> Vec<SocketAddr> {
    let settings = daemon.settings.borrow();
    let fleet = daemon.fleet.borrow();
    let mut known: Vec<SocketAddr> = fleet
        .entries()
        .filter(|(entry, _)| entry.vm != daemon.vm)
        .map(|(entry, _)| entry.peer)
        .collect();
    // Seeds are given by their control addresses; the port for peers is the same on all VMs.
    let port = settings.listen.peers.port();
    known.extend(
        settings
            .seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), port)),
    );
    known
}
