//! Stand-in for the platform's store: one address for each VM, so that it can turn one of them away.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::http::{self, Message};
use crate::record::Record;

/// Shortest lifetime of a lease, in milliseconds.
pub const TTL_MIN_MS: u64 = 1_000;

/// Largest number of items on a page.
const PAGE_ITEMS: usize = 500;

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct Data {
    items: BTreeMap<String, Item>,
    /// Changes in order; `None` for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
    /// Time in which a VM gets no response.
    silent: HashMap<String, (Instant, Instant)>,
    /// Number of lease renewals that were answered, by VM.
    renewals: HashMap<String, u64>,
    lost: u64,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
    record: Arc<Record>,
}

/// Answer to a call.
enum Answer {
    Reply(u16, Value),
    /// Nothing more comes over the connection.
    Lost,
}

fn item_body(key: &str, item: &Item) -> Value {
    json!({
        "Key": key, "Value": STANDARD.encode(&item.value), "Revision": item.revision,
        "CreatedRev": item.created, "Lease": item.lease,
    })
}

impl Data {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.history
            .push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    fn is_silent(&self, vm: &str) -> bool {
        let now = Instant::now();
        let window = self.silent.get(vm);
        window.is_some_and(|(from, to)| now >= *from && now < *to)
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let changes = self
            .history
            .iter()
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        let body = |(revision, key, item): &(u64, String, Option<Item>)| match item {
            Some(item) => item_body(key, item),
            None => json!({"Key": key, "Revision": revision, "Tombstone": true}),
        };
        changes.map(body).collect()
    }
}

/// Returns a parameter of a query.
fn parameter(query: &str, name: &str) -> Option<String> {
    let found = query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })?;
    let mut bytes = Vec::new();
    let mut rest = found.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits = [rest.next()?, rest.next()?];
                let text = std::str::from_utf8(&digits).ok()?;
                bytes.push(u8::from_str_radix(text, 16).ok()?);
            }
            b'+' => bytes.push(b' '),
            byte => bytes.push(byte),
        }
    }
    String::from_utf8(bytes).ok()
}

impl Store {
    /// Starts the store without an address.
    pub fn start(record: Arc<Record>) -> Arc<Self> {
        let store = Arc::new(Self {
            data: Mutex::new(Data {
                revision: 7,
                ..Data::default()
            }),
            changed: Condvar::new(),
            record,
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let now = Instant::now();
                let mut data = expiring.data();
                let ended: Vec<u64> = data
                    .leases
                    .iter()
                    .filter(|(_, (_, end))| *end <= now)
                    .map(|(id, _)| *id)
                    .collect();
                for lease in ended {
                    data.end_lease(lease);
                }
                drop(data);
                expiring.changed.notify_all();
            }
        });
        store
    }

    fn data(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap()
    }

    /// Opens an address for the calls of one VM.
    pub fn listen(self: &Arc<Self>, vm: &str, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::clone(self);
        let vm = vm.to_owned();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, vm) = (Arc::clone(&store), vm.clone());
                thread::spawn(move || drop(store.serve(&vm, stream)));
            }
        });
        Ok(())
    }

    /// Writes a key as the operator does; returns once it is acknowledged.
    pub fn write_as_operator(&self, key: &str, value: &Value) {
        let mut data = self.data();
        data.revision += 1;
        data.write(key, value.to_string().into_bytes(), 0);
        drop(data);
        self.changed.notify_all();
    }

    /// Gives one VM no response for some time from now on.
    pub fn silence(&self, vm: &str, time: Duration) {
        let now = Instant::now();
        self.data().silent.insert(vm.to_owned(), (now, now + time));
    }

    /// Returns the number of lease renewals of a VM that were answered.
    pub fn renewals(&self, vm: &str) -> u64 {
        self.data().renewals.get(vm).copied().unwrap_or(0)
    }

    /// Returns the number of calls that got no response.
    pub fn lost(&self) -> u64 {
        self.data().lost
    }

    /// Whether a key exists.
    pub fn has(&self, key: &str) -> bool {
        self.data().items.contains_key(key)
    }

    fn serve(&self, vm: &str, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader)? {
            let (status, body) = match self.answer(vm, &request) {
                Answer::Reply(status, body) => (status, body),
                Answer::Lost => {
                    self.data().lost += 1;
                    self.record
                        .note(format!("store    no response to {vm}: {}", request.line));
                    // The connection stays open until the caller closes it.
                    return io::copy(&mut reader.by_ref(), &mut io::sink()).map(drop);
                }
            };
            // An answer takes 4 ms.
            thread::sleep(Duration::from_millis(4));
            let fields = [("Content-Type", "application/json".to_owned())];
            http::write(
                &mut writer,
                &format!("HTTP/1.1 {status} S"),
                &fields,
                body.to_string().as_bytes(),
            )?;
        }
        Ok(())
    }

    fn answer(&self, vm: &str, request: &Message) -> Answer {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let mut data = self.data();
        if data.is_silent(vm) {
            return Answer::Lost;
        }
        let text = |name| parameter(query, name).unwrap_or_default();
        let number = |name| text(name).parse::<u64>().unwrap_or(0);
        let (status, body) = match (request.word(0), path) {
            ("GET", "/v1/kv-key") => {
                let key = text("Key");
                match data.items.get(&key) {
                    Some(item) => {
                        let mut body = item_body(&key, item);
                        body["StoreRevision"] = data.revision.into();
                        (200, body)
                    }
                    None => (404, json!({"StoreRevision": data.revision})),
                }
            }
            ("GET", "/v1/kv-range") => {
                let (prefix, after) = (text("PathPrefix"), parameter(query, "after"));
                let found = data.items.iter().filter(|(key, _)| {
                    key.starts_with(&prefix) && after.as_ref().is_none_or(|after| *key > after)
                });
                let found: Vec<Value> = found.map(|(key, item)| item_body(key, item)).collect();
                let truncated = found.len() > PAGE_ITEMS;
                let items: Vec<Value> = found.into_iter().take(PAGE_ITEMS).collect();
                (
                    200,
                    json!({"items": items, "Truncated": truncated, "StoreRevision": data.revision}),
                )
            }
            ("GET", "/v1/kv-watch") => {
                let (prefix, after) = (text("PathPrefix"), number("after"));
                let end = Instant::now() + Duration::from_millis(number("WaitMs").min(30_000));
                loop {
                    let events = data.events(&prefix, after);
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        if data.is_silent(vm) {
                            return Answer::Lost;
                        }
                        break (
                            200,
                            json!({"events": events, "StoreRevision": data.revision}),
                        );
                    }
                    data = self.changed.wait_timeout(data, left).unwrap().0;
                }
            }
            ("POST", "/v1/kv-txn") => Self::commit(&mut data, &body),
            ("POST", "/v1/kv-lease") => {
                let ttl = Duration::from_millis(
                    body["TtlMs"]
                        .as_u64()
                        .unwrap_or(0)
                        .clamp(TTL_MIN_MS, 600_000),
                );
                data.last_lease += 1;
                let id = data.last_lease;
                data.leases.insert(id, (ttl, Instant::now() + ttl));
                (200, json!({"Lease": id, "TtlMs": ttl.as_millis() as u64}))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                *data.renewals.entry(vm.to_owned()).or_default() += 1;
                match data.leases.get_mut(&id) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, json!({"TtlMs": ttl.as_millis() as u64}))
                    }
                    None => (404, json!({})),
                }
            }
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                data.end_lease(id);
                (200, json!({}))
            }
            _ => (404, json!({})),
        };
        drop(data);
        if request.word(0) != "GET" {
            self.changed.notify_all();
        }
        Answer::Reply(status, body)
    }

    fn commit(data: &mut Data, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let key = |row: &Value| row["Key"].as_str().unwrap_or("").to_owned();
        let expected = rows("ExpectedRev");
        let revision = |row: &Value| data.items.get(&key(row)).map_or(0, |item| item.revision);
        if expected
            .iter()
            .any(|row| row["Revision"].as_u64() != Some(revision(row)))
        {
            let items = expected
                .iter()
                .filter_map(|row| Some(item_body(&key(row), data.items.get(&key(row))?)));
            return (412, json!({"items": items.collect::<Vec<Value>>()}));
        }
        let writes = rows("Writes");
        if writes
            .iter()
            .any(|row| key(row).starts_with("op/") || key(row).starts_with("servers/"))
        {
            return (403, json!({}));
        }
        let lease = |row: &Value| row["Lease"].as_u64().unwrap_or(0);
        if writes
            .iter()
            .any(|row| lease(row) != 0 && !data.leases.contains_key(&lease(row)))
        {
            return (404, json!({}));
        }
        data.revision += 1;
        for row in &writes {
            let value = STANDARD
                .decode(row["Value"].as_str().unwrap_or(""))
                .unwrap_or_default();
            data.write(&key(row), value, lease(row));
        }
        for row in rows("Deletes") {
            data.remove(row.as_str().unwrap_or(""));
        }
        (200, json!({"Revision": data.revision}))
    }
}
