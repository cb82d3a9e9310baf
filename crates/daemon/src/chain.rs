//! Chains in flight on this VM, in shards. A nested call finds the class, deadline and attempts of
//! its chain here.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use policy::allowance::{AttemptAllowance, ChainState, ChainTable, LentAttempts};
use policy::id::{ChainId, ServiceName};
use policy::level::{AdmissionLevel, Bucket};
use policy::refusal::Refusal;
use policy::rule::Class;

/// Number of shards, each with its own lock.
const SHARD_COUNT: usize = 8;
/// Chains in one shard; a VM has far fewer calls in flight.
const MAX_CHAINS_PER_SHARD: usize = 8192;
/// Services recorded for one chain.
pub const MAX_REACHED_SERVICES: usize = 16;

/// Services that calls of a chain reached, with their admission levels.
pub type ReachedLevels = Vec<(ServiceName, AdmissionLevel)>;

#[derive(Debug)]
struct Shard {
    table: ChainTable,
    contexts: HashMap<ChainId, Context>,
}

#[derive(Debug)]
struct Context {
    class: Class,
    reached: ReachedLevels,
}

/// What a nested call takes over from its chain.
#[derive(Debug)]
pub struct Inherited {
    /// Class that the entry gave the chain.
    pub class: Class,
    /// Admission bucket of the chain.
    pub bucket: Bucket,
    /// Deadline of the chain.
    pub deadline: Instant,
    /// Extra attempts lent to the nested call.
    pub lent: LentAttempts,
}

/// Chains in flight on this VM.
#[derive(Debug)]
pub struct Chains {
    shards: [Mutex<Shard>; SHARD_COUNT],
}

impl Chains {
    pub fn new() -> Self {
        let shard = || Shard {
            table: ChainTable::new(MAX_CHAINS_PER_SHARD),
            contexts: HashMap::new(),
        };
        Self {
            shards: std::array::from_fn(|_| Mutex::new(shard())),
        }
    }

    /// Adds a call that is about to run at the endpoint, with its extra attempts.
    pub fn enter(
        &self,
        now: Instant,
        id: ChainId,
        class: &Class,
        bucket: Bucket,
        deadline: Instant,
        allowance: u8,
    ) -> Result<(), Refusal> {
        let chain = ChainState {
            rank: class.rank,
            bucket,
            deadline,
            customer: Arc::clone(&class.customer),
            allowance: AttemptAllowance::new(allowance),
        };
        let mut shard = self.shard(id);
        shard.table.enter(now, id, chain)?;
        let context = || Context {
            class: class.clone(),
            reached: ReachedLevels::new(),
        };
        shard.contexts.entry(id).or_insert_with(context);
        Ok(())
    }

    /// Ends a call that came with `received` extra attempts. Returns the unspent ones and the
    /// levels of the services that its chain reached.
    pub fn leave(&self, now: Instant, id: ChainId, received: u8) -> (u8, ReachedLevels) {
        let mut shard = self.shard(id);
        let unspent = shard.table.leave(id, received);
        let reached = shard
            .contexts
            .get(&id)
            .map(|context| context.reached.clone());
        if shard.table.get(now, id).is_none() {
            shard.contexts.remove(&id);
        }
        (unspent, reached.unwrap_or_default())
    }

    /// Finds the chain of a nested call and lends the call half of the attempts that are left, so
    /// that parallel calls get some as well. Unspent attempts come back with `reclaim`.
    pub fn inherit(&self, now: Instant, id: ChainId) -> Option<Inherited> {
        let mut shard = self.shard(id);
        let class = shard.contexts.get(&id)?.class.clone();
        let chain = shard.table.get(now, id)?;
        let want = chain.allowance.left().div_ceil(2);
        let (bucket, deadline) = (chain.bucket, chain.deadline);
        Some(Inherited {
            class,
            bucket,
            deadline,
            lent: chain.allowance.lend(want),
        })
    }

    /// Takes back the attempts that a nested call did not spend.
    pub fn reclaim(&self, now: Instant, id: ChainId, lent: LentAttempts, unspent: u8) {
        if let Some(chain) = self.shard(id).table.get(now, id) {
            chain.allowance.reclaim(lent, unspent);
        }
    }

    /// Records the level of a service that a nested call reached.
    pub fn record_reached(&self, id: ChainId, service: &ServiceName, admitted: AdmissionLevel) {
        let mut shard = self.shard(id);
        let Some(context) = shard.contexts.get_mut(&id) else {
            return;
        };
        if let Some(entry) = context.reached.iter_mut().find(|(name, _)| name == service) {
            entry.1 = admitted;
        } else if context.reached.len() < MAX_REACHED_SERVICES {
            context.reached.push((Arc::clone(service), admitted));
        }
    }

    /// Removes chains whose deadline has passed.
    pub fn expire(&self, now: Instant) {
        for shard in &self.shards {
            let mut shard = shard.lock().expect("chain lock is never poisoned");
            let Shard { table, contexts } = &mut *shard;
            table.expire(now);
            contexts.retain(|id, _| table.get(now, *id).is_some());
        }
    }

    fn shard(&self, id: ChainId) -> MutexGuard<'_, Shard> {
        let shard = &self.shards[(id % SHARD_COUNT as u128) as usize];
        shard.lock().expect("chain lock is never poisoned")
    }
}
