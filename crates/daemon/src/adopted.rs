//! The two values that all daemons take from the platform, the rules and the home map: where new
//! revisions come from, and how they are taken over.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use operator::change::StoredRules;
use peer::proto::{PullReply, PullRequest};
use platform::{Change, Entry};
use policy::adoption::{Action, Adoption};
use policy::home::{Event, HomeMap};
use policy::id::Revision;
use policy::rule::RuleSet;
use tokio::task::AbortHandle;

use crate::cluster::Cluster;
use crate::counter::Counter;
use crate::shared::Shared;

/// Which value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Value {
    Rules,
    Homes,
}

impl Value {
    /// Key in the platform.
    pub const fn key(self) -> &'static str {
        match self {
            Self::Rules => "rules",
            Self::Homes => "homes",
        }
    }
}

#[derive(Debug)]
struct State {
    adoption: Adoption,
    /// Content of the key in the platform, as peers get it.
    content: Bytes,
    /// The watch that is under way.
    watch: Option<AbortHandle>,
}

/// The newest revision of a value that this daemon has in force.
#[derive(Debug)]
pub struct Adopted {
    value: Value,
    shared: Arc<Shared>,
    state: Mutex<State>,
}

impl Adopted {
    pub fn new(value: Value, shared: Arc<Shared>) -> Self {
        let seed = shared.incarnation ^ value as u64;
        let adoption = Adoption::new(shared.clock.now(), seed);
        Self {
            value,
            shared,
            state: Mutex::new(State {
                adoption,
                content: Bytes::new(),
                watch: None,
            }),
        }
    }

    pub fn in_force(&self) -> Revision {
        self.lock().adoption.in_force()
    }

    pub fn is_ready(&self) -> bool {
        self.lock().adoption.is_ready()
    }

    /// Content of the key in the platform as of the revision in force.
    pub fn content(&self) -> Bytes {
        self.lock().content.clone()
    }

    pub fn hear(&self, from: SocketAddr, revision: Revision) {
        self.lock().adoption.record_peer_revision(from, revision);
    }

    pub fn tick(&self, relay: bool, peers: &[SocketAddr]) -> Vec<Action> {
        let mut state = self.lock();
        state.adoption.set_relay(relay);
        state.adoption.set_peers(peers);
        state.adoption.tick(self.shared.clock.now())
    }

    /// Answers a peer that has an older revision.
    pub fn answer(&self, request: PullRequest) -> PullReply {
        let state = self.lock();
        let revision = state.adoption.in_force();
        let newer = revision > request.revision;
        let value = if newer {
            state.content.to_vec()
        } else {
            Vec::new()
        };
        PullReply { revision, value }
    }

    /// Carries out what adoption asks for.
    pub async fn perform(&self, cluster: &Arc<Cluster>, action: Action) {
        let key = self.value.key();
        match action {
            Action::Pull { from, revision } => {
                let answered = self.pull(cluster, from, revision).await;
                self.lock()
                    .adoption
                    .pull_ended(self.shared.clock.now(), from, answered);
            }
            Action::Watch { after } => {
                let change = self.count(cluster.platform.watch(key, after)).await;
                let answered = change.is_some();
                if let Some(Some(Change::Value(entry))) = change {
                    self.take(cluster, entry.revision, entry.value);
                }
                self.lock()
                    .adoption
                    .watch_ended(self.shared.clock.now(), answered);
            }
            Action::EndWatch => self.end_watch(),
            Action::Read => {
                let answered = self.read(cluster).await;
                self.lock()
                    .adoption
                    .read_ended(self.shared.clock.now(), answered);
            }
        }
    }

    /// Remembers the watch that is under way.
    pub fn begin_watch(&self, watch: AbortHandle) {
        self.lock().watch = Some(watch);
    }

    /// Ends the watch that is under way.
    pub fn end_watch(&self) {
        if let Some(watch) = self.lock().watch.take() {
            watch.abort();
        }
    }

    async fn pull(&self, cluster: &Arc<Cluster>, from: SocketAddr, revision: Revision) -> bool {
        let mut client = cluster.client(from);
        let request = PullRequest { revision };
        let reply = match self.value {
            Value::Rules => client.pull_rules(request).await,
            Value::Homes => client.pull_homes(request).await,
        };
        let Ok(reply) = reply else { return false };
        if !reply.value.is_empty() {
            self.take(cluster, reply.revision, reply.value.into());
        }
        true
    }

    /// Reads the value from the platform. Returns whether the platform answered.
    pub async fn read(&self, cluster: &Arc<Cluster>) -> bool {
        match self.count(cluster.platform.get(self.value.key())).await {
            None => return false,
            Some(Some(Entry {
                revision, value, ..
            })) => self.take(cluster, revision, value),
            Some(None) if self.value == Value::Homes => cluster.homes(Event::NoMap),
            Some(None) => {}
        }
        true
    }

    async fn count<T>(&self, call: impl Future<Output = Result<T, platform::Error>>) -> Option<T> {
        self.shared.counters.count(Counter::PlatformCalls);
        let result = call.await;
        match &result {
            Ok(_) => self.shared.platform_answered(),
            Err(_) => self.shared.counters.count(Counter::PlatformFailures),
        }
        result.ok()
    }

    /// Takes a revision into force if it is higher than the one in force and can be read.
    pub fn take(&self, cluster: &Arc<Cluster>, revision: Revision, content: Bytes) {
        match self.value {
            Value::Rules => match read_rules(revision, &content) {
                Ok(rules) => {
                    // Under the lock, so that an older revision cannot overtake this one.
                    if self.install(revision, content, || self.shared.adopt(rules)) {
                        self.shared.counters.count(Counter::RulesAdopted);
                        log::info!("rules of revision {revision} are in force");
                    }
                }
                Err(cause) => self.refuse(revision, &cause),
            },
            Value::Homes => match serde_json::from_slice::<HomeMap>(&content) {
                Ok(map) => {
                    self.install(revision, content, || ());
                    cluster.homes(Event::Map(HomeMap { revision, ..map }));
                }
                Err(error) => self.refuse(revision, &error.to_string()),
            },
        }
    }

    fn install(&self, revision: Revision, content: Bytes, put: impl FnOnce()) -> bool {
        let mut state = self.lock();
        let higher = state.adoption.adopt(revision);
        if higher {
            state.content = content;
            put();
        }
        higher
    }

    fn refuse(&self, revision: Revision, cause: &str) {
        self.lock().adoption.reject(revision);
        let key = self.value.key();
        log::error!("revision {revision} of {key} cannot be read ({cause}): write it again");
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("value lock is never poisoned")
    }
}

fn read_rules(revision: Revision, content: &Bytes) -> Result<RuleSet, String> {
    let stored = StoredRules::decode(content).map_err(|problem| problem.to_string())?;
    match operator::file::parse(stored.text.as_bytes()).into_result() {
        Ok((file, _)) => Ok(file.rule_set(revision)),
        Err(mistakes) => Err(mistakes
            .first()
            .map(ToString::to_string)
            .unwrap_or_default()),
    }
}
