//! The two values that all daemons adopt from the platform, the rules and the home map. New
//! revisions come from the platform itself or from peers that have them already.

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

/// One of the adopted values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueKind {
    Rules,
    Homes,
}

impl ValueKind {
    /// Key of the value in the platform.
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
    /// Value of the key in the platform, unparsed, as peers get it.
    content: Bytes,
    /// The running watch on the platform.
    watch: Option<AbortHandle>,
}

/// A value with the revision that is in force at this daemon.
#[derive(Debug)]
pub struct AdoptedValue {
    value: ValueKind,
    shared: Arc<Shared>,
    state: Mutex<State>,
}

impl AdoptedValue {
    pub fn new(value: ValueKind, shared: Arc<Shared>) -> Self {
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

    /// Returns the unparsed value of the revision in force. Empty if there is none.
    pub fn content(&self) -> Bytes {
        self.lock().content.clone()
    }

    /// Records that a peer has a revision in force.
    pub fn record_peer_revision(&self, from: SocketAddr, revision: Revision) {
        self.lock().adoption.record_peer_revision(from, revision);
    }

    /// Returns the actions to perform now. Relays watch the platform; other daemons pull from
    /// peers.
    pub fn tick(&self, relay: bool, peers: &[SocketAddr]) -> Vec<Action> {
        let mut state = self.lock();
        state.adoption.set_relay(relay);
        state.adoption.set_peers(peers);
        state.adoption.tick(self.shared.clock.now())
    }

    /// Returns the revision in force, and the value if the peer has an older one.
    pub fn handle_pull(&self, request: PullRequest) -> PullReply {
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

    /// Performs an action that adoption asked for.
    pub async fn perform(&self, cluster: &Arc<Cluster>, action: Action) {
        let key = self.value.key();
        match action {
            Action::Pull { from, revision } => {
                let replied = self.pull(cluster, from, revision).await;
                self.lock()
                    .adoption
                    .pull_ended(self.shared.clock.now(), from, replied);
            }
            Action::Watch { after } => {
                let change = self
                    .record_platform_call(cluster.platform.watch(key, after))
                    .await;
                let replied = change.is_some();
                if let Some(Some(Change::Value(entry))) = change {
                    self.adopt(cluster, entry.revision, entry.value);
                }
                self.lock()
                    .adoption
                    .watch_ended(self.shared.clock.now(), replied);
            }
            Action::EndWatch => self.end_watch(),
            Action::Read => {
                let replied = self.read(cluster).await;
                self.lock()
                    .adoption
                    .read_ended(self.shared.clock.now(), replied);
            }
        }
    }

    /// Stores the handle of the running watch.
    pub fn set_watch(&self, watch: AbortHandle) {
        self.lock().watch = Some(watch);
    }

    /// Aborts the running watch.
    pub fn end_watch(&self) {
        if let Some(watch) = self.lock().watch.take() {
            watch.abort();
        }
    }

    async fn pull(&self, cluster: &Arc<Cluster>, from: SocketAddr, revision: Revision) -> bool {
        let mut client = cluster.client(from);
        let request = PullRequest { revision };
        let reply = match self.value {
            ValueKind::Rules => client.pull_rules(request).await,
            ValueKind::Homes => client.pull_homes(request).await,
        };
        let Ok(reply) = reply else { return false };
        if !reply.value.is_empty() {
            self.adopt(cluster, reply.revision, reply.value.into());
        }
        true
    }

    /// Reads the value from the platform and adopts it. Returns whether the platform replied.
    pub async fn read(&self, cluster: &Arc<Cluster>) -> bool {
        match self
            .record_platform_call(cluster.platform.get(self.value.key()))
            .await
        {
            None => return false,
            Some(Some(Entry {
                revision, value, ..
            })) => self.adopt(cluster, revision, value),
            Some(None) if self.value == ValueKind::Homes => cluster.handle_home_event(Event::NoMap),
            Some(None) => {}
        }
        true
    }

    async fn record_platform_call<T>(
        &self,
        call: impl Future<Output = Result<T, platform::Error>>,
    ) -> Option<T> {
        self.shared.counters.count(Counter::PlatformCalls);
        let result = call.await;
        match &result {
            Ok(_) => self.shared.record_platform_reply(),
            Err(_) => self.shared.counters.count(Counter::PlatformFailures),
        }
        result.ok()
    }

    /// Puts a revision into force if it is higher than the one in force and can be parsed.
    pub fn adopt(&self, cluster: &Arc<Cluster>, revision: Revision, content: Bytes) {
        match self.value {
            ValueKind::Rules => match read_rules(revision, &content) {
                Ok(rules) => {
                    // Applied under the lock, so that an older revision cannot overwrite this one.
                    if self.install(revision, content, || self.shared.apply_rules(rules)) {
                        self.shared.counters.count(Counter::RulesAdopted);
                        log::info!("rules of revision {revision} are in force");
                    }
                }
                Err(cause) => self.reject(revision, &cause),
            },
            ValueKind::Homes => match serde_json::from_slice::<HomeMap>(&content) {
                Ok(map) => {
                    self.install(revision, content, || ());
                    cluster.handle_home_event(Event::Map(HomeMap { revision, ..map }));
                }
                Err(error) => self.reject(revision, &error.to_string()),
            },
        }
    }

    /// Stores a revision and calls `apply` if it is higher than the one in force.
    fn install(&self, revision: Revision, content: Bytes, apply: impl FnOnce()) -> bool {
        let mut state = self.lock();
        let higher = state.adoption.adopt(revision);
        if higher {
            state.content = content;
            apply();
        }
        higher
    }

    fn reject(&self, revision: Revision, cause: &str) {
        self.lock().adoption.reject(revision);
        let key = self.value.key();
        log::error!("revision {revision} of {key} cannot be read ({cause}): write it again");
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("adoption lock is never poisoned")
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
