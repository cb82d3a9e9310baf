//! Stand-in for the platform's store.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use adapter::CONFIGURATION_KEY;
use adapter::standin::{self, StoreCall, Transaction};
use adapter::store::{Event, Item, LeaseId};
use bytes::BytesMut;
use policy::id::{Era, Revision};
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use transport::http1::MessageKind;

use crate::net::{self, TaskGroup};
use crate::oracle::VmIndex;

#[cfg(test)]
mod tests;

/// Shortest lifetime of a lease.
pub const MIN_LEASE_LIFETIME: Duration = Duration::from_secs(1);

/// Interval between checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two copies of the data.
const COPY_INTERVAL: Duration = Duration::from_millis(500);

/// Copies that are kept.
const MAX_COPIES: usize = 20;

/// Fault of the store.
///
/// The names of the variants are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Responds after a delay.
    Slow(Duration),
    /// Rejects all requests with this status.
    Refusing(u16),
    /// Executes a request after a delay, then closes the connection without a response.
    Deaf(Duration),
    /// Closes connections without a response.
    Down,
    /// Accepts requests and neither executes them nor responds.
    Silent,
}

/// Keys, revisions and leases.
#[derive(Clone, Debug, Default)]
pub struct StoreData {
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    /// Revision up to which the history has been discarded.
    compacted: Revision,
    revision: Revision,
    /// Lifetime and expiry of each lease.
    leases: HashMap<LeaseId, (Duration, Instant)>,
    last_lease: LeaseId,
}

impl StoreData {
    /// Returns the value of a key.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.items.get(key).map(|item| item.value.clone())
    }

    /// Returns the lease to which a key is attached.
    #[must_use]
    pub fn lease(&self, key: &str) -> Option<LeaseId> {
        self.items.get(key).map(|item| item.lease)
    }

    /// Returns the entries under a prefix whose keys come after a key.
    fn list(&self, prefix: &str, after: Option<&str>) -> Vec<Item> {
        let items = self.items.values();
        items
            .filter(|item| item.key.starts_with(prefix))
            .filter(|item| after.is_none_or(|after| *item.key > *after))
            .cloned()
            .collect()
    }

    /// Returns the changes under a prefix after a revision; `None` if they have been discarded.
    fn changes(&self, prefix: &str, after: Revision) -> Option<Vec<Event>> {
        if after < self.compacted || after > self.revision {
            return None;
        }
        let wanted = |event: &&Event| match event {
            Event::Written(item) => item.revision > after && item.key.starts_with(prefix),
            Event::Removed { key, revision } => *revision > after && key.starts_with(prefix),
        };
        Some(self.history.iter().filter(wanted).cloned().collect())
    }

    fn write(&mut self, key: &str, value: Vec<u8>, lease: LeaseId) {
        let item = Item {
            key: key.to_owned(),
            value,
            revision: self.revision,
            lease,
        };
        self.history.push(Event::Written(item.clone()));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push(Event::Removed {
                key: key.to_owned(),
                revision: self.revision,
            });
        }
    }

    /// Commits a transaction if its conditions hold; returns the status and body of the response.
    pub fn commit(&mut self, transaction: Transaction) -> (u16, Value) {
        let revision = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let expected = &transaction.expected;
        if expected.iter().any(|(key, known)| revision(key) != *known) {
            let items = expected.iter().filter_map(|(key, _)| self.items.get(key));
            let items: Vec<Item> = items.cloned().collect();
            return (412, standin::encode_conflict(&items));
        }
        let exists = |lease: LeaseId| lease == 0 || self.leases.contains_key(&lease);
        if !transaction
            .writes
            .iter()
            .all(|(_, _, lease)| exists(*lease))
        {
            return (404, json!({}));
        }
        self.revision += 1;
        for (key, value, lease) in transaction.writes {
            self.write(&key, value, lease);
        }
        for key in transaction.deletes {
            self.remove(&key);
        }
        (200, standin::encode_commit(self.revision))
    }

    /// Opens a lease that expires `lifetime` after `now`; returns its id.
    fn open_lease(&mut self, now: Instant, lifetime: Duration) -> LeaseId {
        self.last_lease += 1;
        self.leases
            .insert(self.last_lease, (lifetime, now + lifetime));
        self.last_lease
    }

    /// Renews a lease; returns whether it exists.
    fn renew_lease(&mut self, now: Instant, lease: LeaseId) -> bool {
        let known = self.leases.get_mut(&lease);
        known.is_some_and(|(lifetime, end)| {
            *end = now + *lifetime;
            true
        })
    }

    /// Ends a lease and removes its keys.
    fn end_lease(&mut self, lease: LeaseId) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        self.revision += 1;
        let keys: Vec<String> = self
            .items
            .values()
            .filter(|item| item.lease == lease)
            .map(|item| item.key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Ends the leases that have expired; returns whether there were any.
    pub fn expire_leases(&mut self, now: Instant) -> bool {
        let expired = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let expired: Vec<LeaseId> = expired.map(|(lease, _)| *lease).collect();
        for lease in &expired {
            self.end_lease(*lease);
        }
        !expired.is_empty()
    }
}

/// Returns the time of the runtime, which tests can pause.
fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Stand-in store.
#[derive(Debug, Default)]
pub struct Store {
    data: RefCell<StoreData>,
    changed: Notify,
    faults: RefCell<HashMap<VmIndex, Fault>>,
    paused: Cell<bool>,
    /// Number of returns from an older copy.
    era: Cell<Era>,
    /// Copies of the last seconds, oldest first.
    copies: RefCell<VecDeque<(Instant, StoreData)>>,
}

impl Store {
    /// Sets or clears the fault of the store for one VM.
    pub fn set_fault(&self, vm: VmIndex, fault: Option<Fault>) {
        match fault {
            Some(fault) => self.faults.borrow_mut().insert(vm, fault),
            None => self.faults.borrow_mut().remove(&vm),
        };
        self.changed.notify_waiters();
    }

    /// Stops or resumes the expiry of leases.
    pub fn pause_leases(&self, paused: bool) {
        self.paused.set(paused);
    }

    /// Writes a configuration as an operator.
    pub fn write_configuration(&self, bytes: Vec<u8>) {
        let transaction = Transaction {
            writes: vec![(CONFIGURATION_KEY.to_owned(), bytes, 0)],
            ..Transaction::default()
        };
        // A write without a condition or a lease always succeeds.
        self.write(transaction);
    }

    /// Ends all leases without notifying their owners.
    pub fn revoke_leases(&self) {
        let mut data = self.data.borrow_mut();
        let leases: Vec<LeaseId> = data.leases.keys().copied().collect();
        for lease in leases {
            data.end_lease(lease);
        }
        drop(data);
        self.changed.notify_waiters();
    }

    /// Discards the change history.
    pub fn compact(&self) {
        let mut data = self.data.borrow_mut();
        data.compacted = data.revision;
        data.history.clear();
    }

    /// Applies an unconditional write.
    pub fn write(&self, transaction: Transaction) {
        self.data.borrow_mut().commit(transaction);
        self.changed.notify_waiters();
    }

    /// Opens a lease; returns its id.
    pub fn open_lease(&self, lifetime: Duration) -> LeaseId {
        self.data.borrow_mut().open_lease(now(), lifetime)
    }

    /// Returns a copy of the data.
    #[must_use]
    pub fn copy(&self) -> StoreData {
        self.data.borrow().clone()
    }

    /// Returns from an older copy. What daemons wrote since is lost with their leases; the
    /// operators write their configuration again.
    pub fn restore(&self, copy: StoreData) {
        let lost = self.data.replace(copy);
        self.era.set(self.era.get() + 1);
        if let Some(configuration) = lost.items.get(CONFIGURATION_KEY) {
            self.write_configuration(configuration.value.clone());
        }
        self.changed.notify_waiters();
    }

    /// Returns from a copy of at least this age, or the oldest one.
    pub fn restore_older(&self, age: Duration) {
        let copies = self.copies.borrow();
        let is_older = |copy: &&(Instant, StoreData)| copy.0.elapsed() >= age;
        let older = copies.iter().rev().find(is_older);
        let copy = older.or(copies.front()).map(|(_, copy)| copy.clone());
        drop(copies);
        if let Some(copy) = copy {
            self.restore(copy);
        }
    }

    fn keep_copy(&self) {
        let mut copies = self.copies.borrow_mut();
        let newest = copies.back().map(|(at, _)| *at);
        if newest.is_none_or(|at| at + COPY_INTERVAL <= now()) {
            copies.push_back((now(), self.copy()));
        }
        if copies.len() > MAX_COPIES {
            copies.pop_front();
        }
    }

    /// Keeps copies and removes the keys of expired leases until the run ends.
    pub async fn run_expiry(self: Rc<Self>) {
        loop {
            tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
            self.keep_copy();
            if !self.paused.get() && self.data.borrow_mut().expire_leases(now()) {
                self.changed.notify_waiters();
            }
        }
    }

    /// Serves the connections of one VM.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, vm: VmIndex, tasks: TaskGroup) {
        while let Ok((stream, _)) = listener.accept().await {
            tasks.spawn(Rc::clone(&self).serve_connection(stream, vm));
        }
    }

    async fn serve_connection(self: Rc<Self>, mut stream: TcpStream, vm: VmIndex) {
        let mut decoder = net::decoder(MessageKind::Request);
        let mut buffer = BytesMut::new();
        while let Some(message) = net::read_message(&mut stream, &mut decoder, &mut buffer).await {
            let Some(call) = standin::decode_call(&message) else {
                let unknown = standin::encode_json_response(400, self.era.get(), &json!({}));
                drop(stream.write_all(&unknown).await);
                return;
            };
            let fault = self.faults.borrow().get(&vm).copied();
            let (status, body) = match fault {
                Some(Fault::Down) => return,
                Some(Fault::Silent) => return std::future::pending().await,
                Some(Fault::Refusing(status)) => (status, json!({})),
                Some(Fault::Deaf(delay)) => {
                    tokio::time::sleep(delay).await;
                    self.execute(call, vm).await;
                    return;
                }
                Some(Fault::Slow(delay)) => {
                    tokio::time::sleep(delay).await;
                    self.execute(call, vm).await
                }
                None => self.execute(call, vm).await,
            };
            let response = standin::encode_json_response(status, self.era.get(), &body);
            if self.faults.borrow().get(&vm) == Some(&Fault::Down)
                || stream.write_all(&response).await.is_err()
            {
                return;
            }
        }
    }

    async fn execute(&self, call: StoreCall, vm: VmIndex) -> (u16, Value) {
        let now = now();
        match call {
            StoreCall::Get(key) => {
                let data = self.data.borrow();
                let found = data.items.get(&key);
                found.map_or((404, json!({})), |item| (200, standin::encode_item(item)))
            }
            StoreCall::List { prefix, after } => {
                let data = self.data.borrow();
                let items = data.list(&prefix, after.as_deref());
                (200, standin::encode_list(&items, data.revision))
            }
            StoreCall::Watch {
                prefix,
                after,
                wait,
            } => self.watch(&prefix, after, now + wait, vm).await,
            StoreCall::Commit(transaction) => {
                let response = self.data.borrow_mut().commit(transaction);
                self.changed.notify_waiters();
                response
            }
            StoreCall::OpenLease(lifetime) => {
                let lease = self.data.borrow_mut().open_lease(now, lifetime);
                (200, standin::encode_lease(lease, lifetime))
            }
            StoreCall::RenewLease(lease) => {
                let exists = self.data.borrow_mut().renew_lease(now, lease);
                (if exists { 200 } else { 404 }, json!({}))
            }
            StoreCall::EndLease(lease) => {
                self.data.borrow_mut().end_lease(lease);
                self.changed.notify_waiters();
                (200, json!({}))
            }
        }
    }

    /// Waits for changes under a prefix until the end of the watch.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        end: Instant,
        vm: VmIndex,
    ) -> (u16, Value) {
        loop {
            let changed = self.changed.notified();
            {
                let data = self.data.borrow();
                match data.changes(prefix, after) {
                    None => return (410, json!({})),
                    Some(events) if !events.is_empty() || now() >= end => {
                        return (200, standin::encode_changes(&events, data.revision));
                    }
                    Some(_) => {}
                }
            }
            let fault = self.faults.borrow().get(&vm).copied();
            match fault {
                Some(Fault::Down) => return (503, json!({})),
                Some(Fault::Silent) => return std::future::pending().await,
                _ => {}
            }
            // A timeout ends the wait too; the next iteration then returns, as the watch has ended.
            drop(tokio::time::timeout_at(end.into(), changed).await);
        }
    }
}
