//! State that all tasks of the daemon share.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::{Instant, SystemTime};

use arc_swap::ArcSwap;
use peer::key::{KeyError, Keys};
use peer::pool::Pool;
use policy::allowance::RetryBudget;
use policy::balancer::{Balancer, Candidate};
use policy::burn::BurnMeter;
use policy::clock::Clock;
use policy::id::{CallId, ChainId, Incarnation, KindName, ServiceName, VmId};
use policy::level::{Bucket, BucketAssigner, LevelTable};
use policy::rule::{Class, RuleSet};
use tokio::sync::{Notify, watch};

use crate::chain::Chains;
use crate::claim::LocalKeys;
use crate::config::Settings;
use crate::counter::Counters;
use crate::gate::Gate;
use crate::journal::Journal;
use crate::ticket::Tickets;

/// Independently locked parts of the levels.
const LEVEL_SHARDS: usize = 8;

/// Independently locked parts of the customers' rates.
const BUCKET_SHARDS: usize = 8;

/// State of one daemon.
#[derive(Debug)]
pub struct Shared {
    pub settings: Settings,
    pub clock: Arc<dyn Clock>,
    pub incarnation: Incarnation,
    pub started: Instant,
    pub counters: Arc<Counters>,
    pub rules: ArcSwap<RuleSet>,
    pub gate: Arc<Gate>,
    pub chains: Chains,
    pub tickets: Tickets,
    pub local_keys: LocalKeys,
    pub pool: Arc<Pool>,
    pub endpoint: endpoint::client::Client,
    pub burn: Mutex<BurnMeter>,
    pub budget: Mutex<RetryBudget>,
    pub journal: Journal,
    pub keys: Keys,
    /// Set when the own record in the member table must change.
    pub changed: Notify,
    /// Becomes true when the VM is to leave.
    pub leaving: watch::Sender<bool>,
    levels: [Mutex<LevelTable>; LEVEL_SHARDS],
    buckets: [Mutex<BucketAssigner>; BUCKET_SHARDS],
    routers: RwLock<HashMap<ServiceName, Arc<Mutex<Balancer>>>>,
    calls: AtomicU64,
    /// Milliseconds from the start to the last answer of the platform, plus one; zero for none.
    answered: AtomicU64,
}

impl Shared {
    /// State of a daemon that knows no rules, members or endpoint yet.
    ///
    /// # Errors
    ///
    /// Fails if the keys in the settings cannot be used.
    pub fn new(settings: Settings, clock: Arc<dyn Clock>) -> Result<Self, KeyError> {
        let keys = Keys::new(&settings.keys)?;
        let wall = clock
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let incarnation = wall.as_micros() as Incarnation;
        let counters = Arc::new(Counters::new());
        let seed = hash(&(&settings.vm, incarnation));
        let now = clock.now();
        Ok(Self {
            incarnation,
            started: now,
            keys,
            changed: Notify::new(),
            leaving: watch::Sender::new(false),
            gate: Arc::new(Gate::new(Arc::clone(&clock), Arc::clone(&counters), seed)),
            counters,
            rules: ArcSwap::from_pointee(RuleSet::default()),
            chains: Chains::new(),
            local_keys: LocalKeys::default(),
            tickets: Tickets::new(&settings.vm, incarnation),
            pool: Arc::new(Pool::new(Arc::clone(&clock))),
            endpoint: endpoint::client::Client::new(),
            burn: Mutex::new(BurnMeter::new(now)),
            budget: Mutex::new(RetryBudget::new()),
            journal: Journal::new(),
            buckets: std::array::from_fn(|_| Mutex::new(BucketAssigner::new(seed))),
            levels: std::array::from_fn(|_| Mutex::new(LevelTable::new())),
            routers: RwLock::new(HashMap::new()),
            calls: AtomicU64::new(seed),
            answered: AtomicU64::new(0),
            settings,
            clock,
        })
    }

    pub fn vm(&self) -> &VmId {
        &self.settings.vm
    }

    /// Notes that the platform answered.
    pub fn platform_answered(&self) {
        let passed = self.clock.now().saturating_duration_since(self.started);
        self.answered
            .store(passed.as_millis() as u64 + 1, Ordering::Relaxed);
    }

    /// Time since the platform last answered, in milliseconds.
    pub fn platform_age_ms(&self) -> Option<u64> {
        let at = self.answered.load(Ordering::Relaxed).checked_sub(1)?;
        let passed = self.clock.now().saturating_duration_since(self.started);
        Some((passed.as_millis() as u64).saturating_sub(at))
    }

    /// Asks for the own record in the member table to be brought up to date.
    pub fn publish(&self) {
        self.changed.notify_one();
    }

    /// Starts to leave: no new work, and peers are told.
    pub fn drain(&self, cause: &str) {
        if !self.leaving.send_replace(true) {
            log::info!("draining, asked by {cause}");
        }
        self.gate.drain();
        self.publish();
    }

    /// An id that no other call of this process has.
    pub fn next_call(&self) -> CallId {
        self.calls.fetch_add(1, Ordering::Relaxed)
    }

    /// Levels as seen by calls of one kind.
    pub fn levels(&self, kind: &KindName) -> MutexGuard<'_, LevelTable> {
        let shard = hash(kind) as usize % LEVEL_SHARDS;
        self.levels[shard]
            .lock()
            .expect("level lock is never poisoned")
    }

    /// Admission bucket of a new chain.
    pub fn bucket(&self, class: &Class, chain: ChainId) -> Bucket {
        let shard = &self.buckets[hash(&class.customer) as usize % BUCKET_SHARDS];
        let mut buckets = shard.lock().expect("bucket lock is never poisoned");
        buckets.bucket(self.clock.now(), class, chain)
    }

    /// The router of a service, if an endpoint of it is known.
    pub fn router(&self, service: &str) -> Option<Arc<Mutex<Balancer>>> {
        let routers = self.routers.read().expect("router lock is never poisoned");
        routers.get(service).map(Arc::clone)
    }

    /// Address of the daemon of one incarnation of a VM.
    pub fn endpoint_address(
        &self,
        service: &str,
        vm: &str,
        incarnation: Incarnation,
    ) -> Option<SocketAddr> {
        let router = self.router(service)?;
        let router = router.lock().expect("router lock is never poisoned");
        let found = router.candidates().find(|candidate| &*candidate.vm == vm)?;
        (found.incarnation == incarnation).then_some(found.address)
    }

    /// Takes over the endpoints of all services.
    pub fn route(&self, mut services: HashMap<ServiceName, Vec<Candidate>>) {
        let now = self.clock.now();
        let mut routers = self.routers.write().expect("router lock is never poisoned");
        for service in routers.keys() {
            services.entry(Arc::clone(service)).or_default();
        }
        for (service, candidates) in services {
            let own = Arc::clone(&self.settings.data_centre);
            let router = routers
                .entry(service)
                .or_insert_with(|| Arc::new(Mutex::new(Balancer::new(own))));
            router
                .lock()
                .expect("router lock is never poisoned")
                .update(now, candidates);
        }
    }

    /// Takes rules into force.
    pub fn adopt(&self, rules: RuleSet) {
        self.gate.adopt(&rules);
        for shard in &self.buckets {
            let names = rules.customers().map(|(_, rule)| Arc::clone(&rule.name));
            shard
                .lock()
                .expect("bucket lock is never poisoned")
                .set_customers(names);
        }
        self.burn
            .lock()
            .expect("burn lock is never poisoned")
            .set_rules(&rules);
        self.rules.store(Arc::new(rules));
    }

    /// Drops what is too old. Called every second.
    pub fn expire(&self) {
        let now = self.clock.now();
        self.chains.expire(now);
        self.tickets.advance(self.clock.wall());
        for shard in &self.levels {
            shard
                .lock()
                .expect("level lock is never poisoned")
                .tick(now);
        }
    }
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
