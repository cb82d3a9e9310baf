//! Keeps a chain registered on this VM while the endpoint runs a call of it.

use std::sync::Arc;
use std::time::Instant;

use policy::id::ChainId;
use policy::level::Bucket;
use policy::refusal::Refusal;
use policy::rule::Class;

use crate::chain::ReachedLevels;
use crate::execute::{Job, class};
use crate::shared::Shared;

/// What a call that ran reports with its response.
#[derive(Debug, Default)]
pub struct ChainReport {
    /// Extra attempts that were not spent.
    pub unspent: u8,
    pub reached: ReachedLevels,
}

impl ChainReport {
    pub fn take(&mut self) -> Self {
        std::mem::take(self)
    }
}

/// Keeps a chain registered in [`Shared::chains`] until it is dropped.
pub struct ChainGuard {
    pub shared: Arc<Shared>,
    chain: ChainId,
    class: Class,
    bucket: Bucket,
    deadline: Instant,
    /// Extra attempts that came with the call and have not been returned.
    unreturned: u8,
}

impl ChainGuard {
    pub fn new(shared: &Arc<Shared>, job: &Job, allowance: u8) -> Result<Self, Refusal> {
        let meta = &job.meta;
        let guard = Self {
            shared: Arc::clone(shared),
            chain: meta.chain,
            class: class(meta),
            bucket: meta.bucket,
            deadline: job.deadline,
            unreturned: allowance,
        };
        guard.enter(allowance)?;
        Ok(guard)
    }

    fn enter(&self, allowance: u8) -> Result<(), Refusal> {
        let now = self.shared.clock.now();
        let chains = &self.shared.chains;
        chains.enter(
            now,
            self.chain,
            &self.class,
            self.bucket,
            self.deadline,
            allowance,
        )
    }

    /// Returns the unspent attempts and the services reached. The chain stays registered, without
    /// attempts, until the guard is dropped.
    pub fn take_report(&mut self) -> ChainReport {
        let received = std::mem::take(&mut self.unreturned);
        let registered = self.enter(0).is_ok();
        let now = self.shared.clock.now();
        let (unspent, reached) = self.shared.chains.leave(now, self.chain, received);
        if !registered {
            // The deadline has passed and with it the chain, so no attempts are returned.
            return ChainReport {
                unspent: 0,
                reached,
            };
        }
        ChainReport { unspent, reached }
    }
}

impl Drop for ChainGuard {
    fn drop(&mut self) {
        self.shared
            .chains
            .leave(self.shared.clock.now(), self.chain, self.unreturned);
    }
}
