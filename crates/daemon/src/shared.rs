//! State shared by all tasks of the daemon.

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

use crate::admission::EndpointAdmission;
use crate::chain::Chains;
use crate::config::Settings;
use crate::counter::Counters;
use crate::endpoint_keys::EndpointKeys;
use crate::recent_calls::RecentCalls;
use crate::ticket::Tickets;

/// Shards of the levels by kind, each with its own lock.
const LEVEL_SHARD_COUNT: usize = 8;

/// Shards of the bucket assigners by customer, each with its own lock.
const BUCKET_SHARD_COUNT: usize = 8;

/// State of one daemon.
#[derive(Debug)]
pub struct Shared {
    pub settings: Settings,
    pub clock: Arc<dyn Clock>,
    /// Microseconds since the Unix epoch at which this daemon started.
    pub incarnation: Incarnation,
    pub started: Instant,
    pub counters: Arc<Counters>,
    pub rules: ArcSwap<RuleSet>,
    pub admission: Arc<EndpointAdmission>,
    pub chains: Chains,
    pub tickets: Tickets,
    /// Tickets of the keys that the endpoint on this VM sent.
    pub endpoint_keys: EndpointKeys,
    /// Connections to other daemons.
    pub pool: Arc<Pool>,
    /// Client for the endpoint on this VM.
    pub endpoint: endpoint::client::Client,
    /// Burn rates of the error budgets.
    pub burn: Mutex<BurnMeter>,
    pub retry_budget: Mutex<RetryBudget>,
    pub recent_calls: RecentCalls,
    /// Keys shared by the daemons.
    pub keys: Keys,
    /// Notified when the own record in the member table must be updated.
    pub member_changed: Notify,
    /// Becomes true when the daemon starts to drain.
    pub leaving: watch::Sender<bool>,
    levels: [Mutex<LevelTable>; LEVEL_SHARD_COUNT],
    buckets: [Mutex<BucketAssigner>; BUCKET_SHARD_COUNT],
    balancers: RwLock<HashMap<ServiceName, Arc<Mutex<Balancer>>>>,
    next_id: AtomicU64,
    /// Milliseconds from the start to the last reply of the platform, plus one. Zero if there was
    /// none.
    platform_replied_ms: AtomicU64,
}

impl Shared {
    /// Creates the state of a daemon without rules, members and endpoint.
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
            member_changed: Notify::new(),
            leaving: watch::Sender::new(false),
            admission: Arc::new(EndpointAdmission::new(
                Arc::clone(&clock),
                Arc::clone(&counters),
                seed,
            )),
            counters,
            rules: ArcSwap::from_pointee(RuleSet::default()),
            chains: Chains::new(),
            endpoint_keys: EndpointKeys::default(),
            tickets: Tickets::new(&settings.vm, incarnation),
            pool: Arc::new(Pool::new(Arc::clone(&clock))),
            endpoint: endpoint::client::Client::new(),
            burn: Mutex::new(BurnMeter::new(now)),
            retry_budget: Mutex::new(RetryBudget::new()),
            recent_calls: RecentCalls::new(),
            buckets: std::array::from_fn(|_| Mutex::new(BucketAssigner::new(seed))),
            levels: std::array::from_fn(|_| Mutex::new(LevelTable::new())),
            balancers: RwLock::new(HashMap::new()),
            next_id: AtomicU64::new(seed),
            platform_replied_ms: AtomicU64::new(0),
            settings,
            clock,
        })
    }

    pub fn vm(&self) -> &VmId {
        &self.settings.vm
    }

    /// Records that the platform replied.
    pub fn record_platform_reply(&self) {
        let elapsed = self.clock.now().saturating_duration_since(self.started);
        self.platform_replied_ms
            .store(elapsed.as_millis() as u64 + 1, Ordering::Relaxed);
    }

    /// Returns the milliseconds since the last reply of the platform, if there was one.
    pub fn platform_age_ms(&self) -> Option<u64> {
        let at = self
            .platform_replied_ms
            .load(Ordering::Relaxed)
            .checked_sub(1)?;
        let elapsed = self.clock.now().saturating_duration_since(self.started);
        Some((elapsed.as_millis() as u64).saturating_sub(at))
    }

    /// Requests an update of the own record in the member table.
    pub fn request_publish(&self) {
        self.member_changed.notify_one();
    }

    /// Starts to drain: refuses new calls and publishes the state.
    pub fn drain(&self, cause: &str) {
        if !self.leaving.send_replace(true) {
            log::info!("draining, asked by {cause}");
        }
        self.admission.drain();
        self.request_publish();
    }

    /// Returns an id that no other call of this process has.
    pub fn next_call_id(&self) -> CallId {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the level table for calls of a kind.
    pub fn levels(&self, kind: &KindName) -> MutexGuard<'_, LevelTable> {
        let shard = hash(kind) as usize % LEVEL_SHARD_COUNT;
        self.levels[shard]
            .lock()
            .expect("level lock is never poisoned")
    }

    /// Assigns the admission bucket of a new chain.
    pub fn bucket_for(&self, class: &Class, chain: ChainId) -> Bucket {
        let shard = &self.buckets[hash(&class.customer) as usize % BUCKET_SHARD_COUNT];
        let mut buckets = shard.lock().expect("bucket lock is never poisoned");
        buckets.bucket(self.clock.now(), class, chain)
    }

    /// Returns the balancer of a service, if an endpoint of it is or was known.
    pub fn balancer(&self, service: &str) -> Option<Arc<Mutex<Balancer>>> {
        let balancers = self
            .balancers
            .read()
            .expect("balancer lock is never poisoned");
        balancers.get(service).map(Arc::clone)
    }

    /// Returns the address of the daemon on a VM, if it serves the service and its incarnation
    /// matches.
    pub fn endpoint_address(
        &self,
        service: &str,
        vm: &str,
        incarnation: Incarnation,
    ) -> Option<SocketAddr> {
        let balancer = self.balancer(service)?;
        let balancer = balancer.lock().expect("balancer lock is never poisoned");
        let found = balancer
            .candidates()
            .find(|candidate| &*candidate.vm == vm)?;
        (found.incarnation == incarnation).then_some(found.address)
    }

    /// Updates the balancers with the endpoints of all services. A service that is not listed has
    /// no endpoint any more.
    pub fn update_balancers(&self, mut services: HashMap<ServiceName, Vec<Candidate>>) {
        let now = self.clock.now();
        let mut balancers = self
            .balancers
            .write()
            .expect("balancer lock is never poisoned");
        for service in balancers.keys() {
            services.entry(Arc::clone(service)).or_default();
        }
        for (service, candidates) in services {
            let own = Arc::clone(&self.settings.data_centre);
            let balancer = balancers
                .entry(service)
                .or_insert_with(|| Arc::new(Mutex::new(Balancer::new(own))));
            balancer
                .lock()
                .expect("balancer lock is never poisoned")
                .update(now, candidates);
        }
    }

    /// Puts rules into force.
    pub fn apply_rules(&self, rules: RuleSet) {
        self.admission.apply_rules(&rules);
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

    /// Removes expired chains, tickets and levels. Called every second.
    pub fn expire(&self) {
        let now = self.clock.now();
        self.chains.expire(now);
        self.tickets.remove_expired(self.clock.wall());
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
