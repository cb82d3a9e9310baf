//! Limits on the extra attempts of a call chain.
//!
//! The entry grants an [`AttemptAllowance`] from the rule. Each hop spends it, or lends some of it
//! to a nested call as [`LentAttempts`] and reclaims what that call did not spend. Attempts are
//! never copied, so the extra attempts of a whole chain stay within the grant at any fan-out. A
//! [`RetryBudget`] limits retries to a fraction of the calls, and [`ChainTable`] stores the chains
//! in flight on a VM.

use std::collections::hash_map::Entry;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use rand::Rng;

use crate::id::{ChainId, CustomerName};
use crate::refusal::{Execution, Reason, Refusal};
use crate::rule::Rank;

#[cfg(test)]
mod tests;

/// Number of calls that earn one retry.
pub const CALLS_PER_RETRY: u32 = 10;
/// Maximum number of retries that a budget accumulates.
pub const RETRY_BURST: u32 = 10;
/// Upper bound of the random delay before the first retry. It doubles with each retry.
pub const FIRST_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Upper bound of the delay before any retry.
pub const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Extra attempts that a hop may still spend. Not `Clone`, so attempts cannot be duplicated.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct AttemptAllowance {
    left: u8,
}

/// Extra attempts lent to one nested call.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "attempts that are not reclaimed count as spent"]
pub struct LentAttempts {
    count: u8,
}

impl LentAttempts {
    /// Returns the number of extra attempts to send with the nested call.
    #[must_use]
    pub const fn count(&self) -> u8 {
        self.count
    }
}

impl AttemptAllowance {
    /// Creates an allowance from the grant of the entry or from the attempts lent to a call.
    #[must_use]
    pub const fn new(extra: u8) -> Self {
        Self { left: extra }
    }

    /// Returns the extra attempts left.
    #[must_use]
    pub const fn left(&self) -> u8 {
        self.left
    }

    /// Spends one extra attempt, or returns false if none is left.
    #[must_use]
    pub const fn spend(&mut self) -> bool {
        let available = self.left > 0;
        if available {
            self.left -= 1;
        }
        available
    }

    /// Lends at most `limit` attempts to a nested call.
    pub fn lend(&mut self, limit: u8) -> LentAttempts {
        let count = limit.min(self.left);
        self.left -= count;
        LentAttempts { count }
    }

    /// Adds back the attempts that the response to a nested call reports as unspent, at most those
    /// lent.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "lent attempts are reclaimed at most once"
    )]
    pub fn reclaim(&mut self, lent: LentAttempts, unspent: u8) {
        let LentAttempts { count } = lent;
        self.left += unspent.min(count);
    }
}

/// State of a chain on a VM that runs one of its calls.
#[derive(Debug, PartialEq, Eq)]
pub struct ChainState {
    /// Rank assigned at the entry.
    pub rank: Rank,
    /// Bucket of the chain within its rank, 0 to 127.
    pub bucket: u8,
    /// Deadline of the chain.
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
    /// Creates an empty table of at most `limit` chains.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            chains: HashMap::new(),
            deadlines: BTreeSet::new(),
            limit,
        }
    }

    /// Adds a call of a chain. Calls of one chain on one VM share their allowances, the more urgent
    /// rank and the earlier deadline.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the table is full or the deadline has passed.
    pub fn enter(&mut self, now: Instant, id: ChainId, chain: ChainState) -> Result<(), Refusal> {
        self.expire(now);
        if chain.deadline <= now {
            return Err(Refusal::not_run(Reason::Deadline));
        }
        let full = self.chains.len() >= self.limit;
        match self.chains.entry(id) {
            Entry::Occupied(mut entry) => {
                let (known, calls) = entry.get_mut();
                *calls += 1;
                let left = known.allowance.left.saturating_add(chain.allowance.left);
                known.allowance = AttemptAllowance::new(left);
                known.rank = known.rank.min(chain.rank);
                if chain.deadline < known.deadline {
                    self.deadlines.remove(&(known.deadline, id));
                    self.deadlines.insert((chain.deadline, id));
                    known.deadline = chain.deadline;
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

    /// Returns the chain of a call made by the endpoint on this VM, unless its deadline has passed.
    pub fn get(&mut self, now: Instant, id: ChainId) -> Option<&mut ChainState> {
        let (chain, _) = self.chains.get_mut(&id)?;
        (chain.deadline > now).then_some(chain)
    }

    /// Ends a call that received `received` extra attempts and returns the number to report as
    /// unspent.
    #[must_use]
    pub fn leave(&mut self, id: ChainId, received: u8) -> u8 {
        let Entry::Occupied(mut entry) = self.chains.entry(id) else {
            return 0;
        };
        let (chain, calls) = entry.get_mut();
        let LentAttempts { count } = chain.allowance.lend(received);
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

    /// Returns the number of chains in flight.
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

/// Limits retries to a tenth of the calls, plus one initial burst.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    /// Accumulated tenths of a retry; a retry costs [`CALLS_PER_RETRY`].
    tenths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// Creates a budget that covers one burst, so that a daemon with few calls can retry.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            tenths: RETRY_BURST * CALLS_PER_RETRY,
        }
    }

    /// Counts a first attempt, which earns a tenth of a retry.
    pub fn record_call(&mut self) {
        self.tenths = (self.tenths + 1).min(RETRY_BURST * CALLS_PER_RETRY);
    }

    /// Whether the budget covers a retry.
    #[must_use]
    pub const fn allows_retry(&self) -> bool {
        self.tenths >= CALLS_PER_RETRY
    }

    /// Spends one retry, or returns false if the budget does not cover it.
    #[must_use]
    pub const fn spend(&mut self) -> bool {
        let allowed = self.allows_retry();
        if allowed {
            self.tenths -= CALLS_PER_RETRY;
        }
        allowed
    }
}

/// A failed attempt for which a retry is considered.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Why it failed and whether the call ran.
    pub refusal: Refusal,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Retries of this call so far.
    pub retries: u32,
    /// Deadline of the chain.
    pub deadline: Instant,
}

impl FailedAttempt {
    /// Returns the delay before a retry at another endpoint, or `None` if there must be no retry. A
    /// retry spends one extra attempt of the allowance and one retry of the budget.
    pub fn retry_delay(
        &self,
        now: Instant,
        allowance: &mut AttemptAllowance,
        budget: &mut RetryBudget,
        rng: &mut impl Rng,
    ) -> Option<Duration> {
        let safe = self.refusal.execution == Execution::NotRun || self.idempotent;
        if !safe || !may_help(self.refusal.reason) {
            return None;
        }
        let max_delay = FIRST_RETRY_DELAY
            .saturating_mul(1 << self.retries.min(16))
            .min(MAX_RETRY_DELAY);
        let delay = rng.random_range(Duration::ZERO..=max_delay);
        let in_time = now + delay < self.deadline;
        (in_time && budget.allows_retry() && allowance.spend() && budget.spend()).then_some(delay)
    }
}

/// Whether a retry at another endpoint may succeed.
const fn may_help(reason: Reason) -> bool {
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
