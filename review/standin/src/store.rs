//! Stand-in for the platform's metadata store.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Head, query};
use crate::json::{Json, base64};

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Event {
    key: String,
    revision: u64,
    /// `None` for a key that was removed.
    item: Option<Item>,
}

#[derive(Debug, Default)]
struct Data {
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    revision: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
    /// Whether the store neither executes nor answers calls. Leases pause meanwhile.
    down: bool,
}

/// Stand-in store.
#[derive(Debug, Default)]
pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"Key":"{key}","Value":"{}","Revision":{},"CreatedRev":{},"Lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: u64) {
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
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event {
            key: key.to_owned(),
            revision: self.revision,
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push(Event {
                key: key.to_owned(),
                revision: self.revision,
                item: None,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        self.revision += 1;
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
        true
    }

    fn commit(&mut self, body: &Json) -> (u16, String) {
        let list = |name| body.get(name).map_or(&[][..], Json::list);
        let text = |row: &Json, name| row.get(name).map_or("", Json::text).to_owned();
        let number = |row: &Json, name| row.get(name).map_or(0, Json::number);
        let holds = list("ExpectedRev").iter().all(|row| {
            let known = self
                .items
                .get(&text(row, "Key"))
                .map_or(0, |item| item.revision);
            known == number(row, "Revision")
        });
        if !holds {
            let items: Vec<String> = list("ExpectedRev")
                .iter()
                .filter_map(|row| {
                    let key = text(row, "Key");
                    self.items.get(&key).map(|item| item_json(&key, item))
                })
                .collect();
            return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        let exists = |lease| lease == 0 || self.leases.contains_key(&lease);
        if !list("Writes")
            .iter()
            .all(|row| exists(number(row, "Lease")))
        {
            return (404, "{}".to_owned());
        }
        self.revision += 1;
        for row in list("Writes") {
            self.put(&text(row, "Key"), text(row, "Value"), number(row, "Lease"));
        }
        for key in list("Deletes") {
            self.remove(key.text());
        }
        (200, format!(r#"{{"Revision":{}}}"#, self.revision))
    }
}

impl Store {
    /// Starts the store at an address.
    pub fn start(address: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::new(Self::default());
        store.data.lock().unwrap().revision = 100;
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&server);
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        let expiry = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiry.expire();
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator.
    pub fn write(&self, key: &str, value: &[u8]) {
        let mut data = self.data.lock().unwrap();
        data.revision += 1;
        data.put(key, base64(value), 0);
        drop(data);
        self.changed.notify_all();
    }

    /// Takes the store away, or brings it back.
    pub fn set_down(&self, down: bool) {
        let mut data = self.data.lock().unwrap();
        data.down = down;
        let now = Instant::now();
        for (life, end) in data.leases.values_mut() {
            *end = now + *life;
        }
        drop(data);
        self.changed.notify_all();
    }

    fn is_down(&self) -> bool {
        self.data.lock().unwrap().down
    }

    fn expire(&self) {
        let mut data = self.data.lock().unwrap();
        if data.down {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = data
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        let any = !ended.is_empty();
        for lease in ended {
            data.end_lease(lease);
        }
        drop(data);
        if any {
            self.changed.notify_all();
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.head() {
            let Ok(body) = connection.body(head.length()) else {
                return;
            };
            thread::sleep(Duration::from_millis(4));
            if self.is_down() {
                return;
            }
            let (status, body) = self.execute(&head, &body);
            if self.is_down() {
                return;
            }
            let text = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.write(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn execute(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let mut words = head.line.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let path = target.split('?').next().unwrap_or("");
        let body = Json::parse(body).unwrap_or(Json::Null);
        let number = |name| query(target, name).and_then(|text| text.parse::<u64>().ok());
        let id = path
            .rsplit('/')
            .next()
            .and_then(|text| text.parse::<u64>().ok());
        let prefix = query(target, "PathPrefix").unwrap_or_default();
        let mut data = self.data.lock().unwrap();
        match (method, path) {
            ("GET", "/v1/kv-key") => {
                let key = query(target, "Key").unwrap_or_default();
                let found = data.items.get(&key);
                found.map_or((404, "{}".to_owned()), |item| {
                    let mut text = item_json(&key, item);
                    text.pop();
                    (
                        200,
                        format!(r#"{text},"StoreRevision":{}}}"#, data.revision),
                    )
                })
            }
            ("GET", "/v1/kv-range") => {
                let after = query(target, "after");
                let items: Vec<String> = data
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix))
                    .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after))
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let revision = data.revision;
                let items = items.join(",");
                (
                    200,
                    format!(
                        r#"{{"items":[{items}],"Truncated":false,"StoreRevision":{revision}}}"#
                    ),
                )
            }
            ("GET", "/v1/kv-watch") => {
                let after = number("after").unwrap_or(0);
                let wait = Duration::from_millis(number("WaitMs").unwrap_or(0).min(30_000));
                let end = Instant::now() + wait;
                loop {
                    let events: Vec<String> = data
                        .events
                        .iter()
                        .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                        .map(|event| match &event.item {
                            Some(item) => item_json(&event.key, item),
                            None => format!(
                                r#"{{"Key":"{}","Revision":{},"Tombstone":true}}"#,
                                event.key, event.revision
                            ),
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let revision = data.revision;
                        let events = events.join(",");
                        return (
                            200,
                            format!(r#"{{"events":[{events}],"StoreRevision":{revision}}}"#),
                        );
                    }
                    data = self.changed.wait_timeout(data, left).unwrap().0;
                }
            }
            ("POST", "/v1/kv-txn") => {
                let answer = data.commit(&body);
                drop(data);
                self.changed.notify_all();
                answer
            }
            ("POST", "/v1/kv-lease") => {
                let life = body
                    .get("TtlMs")
                    .map_or(1_000, Json::number)
                    .clamp(1_000, 600_000);
                data.last_lease += 1;
                let lease = 7_000 + data.last_lease;
                let time = Duration::from_millis(life);
                data.leases.insert(lease, (time, Instant::now() + time));
                (200, format!(r#"{{"Lease":{lease},"TtlMs":{life}}}"#))
            }
            ("POST", _) if path.starts_with("/v1/kv-keep/") => {
                let known = id.and_then(|id| data.leases.get_mut(&id));
                known.map_or((404, "{}".to_owned()), |(life, end)| {
                    *end = Instant::now() + *life;
                    (200, format!(r#"{{"TtlMs":{}}}"#, life.as_millis()))
                })
            }
            ("DELETE", _) if path.starts_with("/v1/kv-lease-end/") => {
                let known = id.is_some_and(|id| data.end_lease(id));
                drop(data);
                self.changed.notify_all();
                (if known { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }
}
