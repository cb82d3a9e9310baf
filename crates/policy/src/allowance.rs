//! Bounded extra attempts over a call chain.
//!
//! The entry grants an [`AttemptAllowance`] from the rule. Every hop spends it, or lends a [`LentAttempts`] of it
//! to a child call and takes back what the child left. Parts are never copied, so the extra
//! attempts of a whole chain stay within the grant at any fan-out. A [`RetryBudget`] bounds retries
//! by volume, and [`ChainTable`] holds the chains in flight on a VM.

use std::collections::hash_map::Entry;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use rand::Rng;

use crate::id::{ChainId, CustomerName};
use crate::refusal::{Execution, Reason, Refusal};
use crate::rule::Rank;

#[cfg(test)]
mod tests;

/// Retries are at most one in this many calls.
pub const CALLS_PER_RETRY: u32 = 10;
/// Retries that a budget saves up for a burst.
pub const RETRY_BURST: u32 = 10;
/// Upper bound of the first delay before a retry. It doubles with each attempt.
pub const FIRST_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Upper bound of any delay before a retry.
pub const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Extra attempts that a hop holds. It is not `Clone`, so attempts cannot be duplicated.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct AttemptAllowance {
    left: u8,
}

/// Extra attempts lent to one child call.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a part that is dropped counts as spent"]
pub struct LentAttempts {
    count: u8,
}

impl LentAttempts {
    /// Extra attempts to name in the child call.
    #[must_use]
    pub const fn count(&self) -> u8 {
        self.count
    }
}

impl AttemptAllowance {
    /// The grant of an entry, or the part that came with a call.
    #[must_use]
    pub const fn new(extra: u8) -> Self {
        Self { left: extra }
    }

    /// Extra attempts held.
    #[must_use]
    pub const fn left(&self) -> u8 {
        self.left
    }

    /// Spends one extra attempt, if there is one.
    #[must_use]
    pub const fn spend(&mut self) -> bool {
        let held = self.left > 0;
        if held {
            self.left -= 1;
        }
        held
    }

    /// Lends at most `want` attempts to a child call.
    pub fn lend(&mut self, want: u8) -> LentAttempts {
        let count = want.min(self.left);
        self.left -= count;
        LentAttempts { count }
    }

    /// Takes back what the answer of a child reports as unspent, at most what was lent.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a part is given back at most once"
    )]
    pub fn reclaim(&mut self, part: LentAttempts, unspent: u8) {
        let LentAttempts { count } = part;
        self.left += unspent.min(count);
    }
}

/// State of one chain on the VM where a call of it runs.
#[derive(Debug, PartialEq, Eq)]
pub struct ChainState {
    /// Rank assigned at the entry.
    pub rank: Rank,
    /// Hash of the chain id, 0 to 127.
    pub bucket: u8,
    /// End of the chain.
    pub deadline: Instant,
    /// Customer named at the entry.
    pub customer: CustomerName,
    /// Extra attempts left on this VM.
    pub allowance: AttemptAllowance,
}

/// Chains in flight on a VM.
#[derive(Debug)]
pub struct ChainTable {
    chains: HashMap<ChainId, (ChainState, u32)>,
    deadlines: BTreeSet<(Instant, ChainId)>,
    limit: usize,
}

impl ChainTable {
    /// An empty table of at most `limit` chains.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            chains: HashMap::new(),
            deadlines: BTreeSet::new(),
            limit,
        }
    }

    /// Adds a call of a chain. Calls of one chain on one VM share their allowances, and keep the
    /// more urgent rank and the earlier deadline.
    ///
    /// # Errors
    ///
    /// A refusal if the table is full or the deadline has passed.
    pub fn enter(&mut self, now: Instant, id: ChainId, chain: ChainState) -> Result<(), Refusal> {
        self.expire(now);
        if chain.deadline <= now {
            return Err(Refusal::not_run(Reason::Deadline));
        }
        let full = self.chains.len() >= self.limit;
        match self.chains.entry(id) {
            Entry::Occupied(mut entry) => {
                let (held, calls) = entry.get_mut();
                *calls += 1;
                let left = held.allowance.left.saturating_add(chain.allowance.left);
                held.allowance = AttemptAllowance::new(left);
                held.rank = held.rank.min(chain.rank);
                if chain.deadline < held.deadline {
                    self.deadlines.remove(&(held.deadline, id));
                    self.deadlines.insert((chain.deadline, id));
                    held.deadline = chain.deadline;
                }
            }
            Entry::Vacant(_) if full => return Err(Refusal::not_run(Reason::QueueFull)),
            Entry::Vacant(entry) => {
                self.deadlines.insert((chain.deadline, id));
                entry.insert((chain, 1));
            }
        }
        Ok(())
    }

    /// The chain of a call from the endpoint on this VM, if it is in flight and in time.
    pub fn get(&mut self, now: Instant, id: ChainId) -> Option<&mut ChainState> {
        let (chain, _) = self.chains.get_mut(&id)?;
        (chain.deadline > now).then_some(chain)
    }

    /// Ends a call that came with `brought` extra attempts and returns those to report as unspent.
    #[must_use]
    pub fn leave(&mut self, id: ChainId, brought: u8) -> u8 {
        let Entry::Occupied(mut entry) = self.chains.entry(id) else {
            return 0;
        };
        let (chain, calls) = entry.get_mut();
        let LentAttempts { count } = chain.allowance.lend(brought);
        *calls -= 1;
        if *calls == 0 {
            let (chain, _) = entry.remove();
            self.deadlines.remove(&(chain.deadline, id));
        }
        count
    }

    /// Removes chains whose deadline has passed.
    pub fn expire(&mut self, now: Instant) {
        while let Some(&(deadline, id)) = self.deadlines.first()
            && deadline <= now
        {
            self.deadlines.pop_first();
            self.chains.remove(&id);
        }
    }

    /// Chains held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.chains.len()
    }

    /// Whether no chain is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.chains.is_empty()
    }
}

/// Volume budget: every call earns a tenth of a retry, on top of one burst at the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    /// Tenths of a retry saved.
    saved: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// A budget with the savings for one burst, so that a daemon with few calls can retry.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            saved: RETRY_BURST * CALLS_PER_RETRY,
        }
    }

    /// Counts a first attempt.
    pub fn record_call(&mut self) {
        self.saved = (self.saved + 1).min(RETRY_BURST * CALLS_PER_RETRY);
    }

    /// Whether a retry is covered.
    #[must_use]
    pub const fn allows_retry(&self) -> bool {
        self.saved >= CALLS_PER_RETRY
    }

    /// Spends one retry, if it is covered.
    #[must_use]
    pub const fn spend(&mut self) -> bool {
        let covered = self.allows_retry();
        if covered {
            self.saved -= CALLS_PER_RETRY;
        }
        covered
    }
}

/// A failed attempt for which a retry is considered.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// How it failed.
    pub refusal: Refusal,
    /// Whether calls of its kind may run more than once.
    pub idempotent: bool,
    /// Retries of this call so far.
    pub retries: u32,
    /// End of the chain.
    pub deadline: Instant,
}

impl FailedAttempt {
    /// Decides on a retry at another endpoint. The result is the delay before it; the allowance and
    /// the budget are spent only if there is one.
    pub fn retry_delay(
        &self,
        now: Instant,
        allowance: &mut AttemptAllowance,
        budget: &mut RetryBudget,
        rng: &mut impl Rng,
    ) -> Option<Duration> {
        let safe = self.refusal.execution == Execution::NotRun || self.idempotent;
        if !safe || !helps(self.refusal.reason) {
            return None;
        }
        let bound = FIRST_RETRY_DELAY
            .saturating_mul(1 << self.retries.min(16))
            .min(MAX_RETRY_DELAY);
        let delay = rng.random_range(Duration::ZERO..=bound);
        let in_time = now + delay < self.deadline;
        (in_time && budget.allows_retry() && allowance.spend() && budget.spend()).then_some(delay)
    }
}

/// Whether another endpoint may answer differently.
const fn helps(reason: Reason) -> bool {
    match reason {
        Reason::QueueFull
        | Reason::NoEndpoint
        | Reason::Draining
        | Reason::Ticket
        | Reason::Connection => true,
        Reason::BadRequest | Reason::Level | Reason::Deadline | Reason::Attempts | Reason::Home => {
            false
        }
    }
}
