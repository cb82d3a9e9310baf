//! Token buckets that this daemon owns.

use std::collections::HashMap;
use std::time::Duration;

use super::{
    Ask, ENTRY_SILENCE, Grant, History, MIN_SHARE_RATE, OVERLAP_TIME, OWNER_SILENCE,
    OrganisationKey, QuotaBound, RESERVE_TIME, RESUME_GAP, Recent, SHARE_WINDOW, START_TIME,
    TOKEN_LIFETIME,
};
use crate::id::VmId;
use crate::organisation::Quota;

/// Fraction of the bound's reserve that a new owner may grant beside another owner. Two changes of
/// the owner may follow each other within one window.
const START_FRACTION: f64 = 0.4;

/// Smallest rate at which a new owner grants, in requests per second.
const MIN_START_RATE: f64 = 0.2;

/// Entries without shares from which on there seems to be no earlier owner, and divisor of the number
/// of VMs for larger fleets. Two restarted entries beside two that were cut off exceeded the bound.
const STARTED_ENTRIES: usize = 8;

/// Longest time after which an entry may ask again.
const MAX_RETRY: Duration = Duration::from_secs(1);

/// Shortest time after which an entry may ask again.
const MIN_RETRY: Duration = Duration::from_millis(10);

/// What the owner knows of an entry.
#[derive(Debug)]
struct Entry {
    first_ask: Duration,
    heard: Duration,
    /// Share that it was told last.
    share: f64,
    /// Share that it stated last, which differs if a reply was lost.
    stated: f64,
    /// Whether its share is set aside, because it may spend it without asking.
    is_silent: bool,
    /// Whether no other VM owned the bucket for it when it asked first: its process had just started,
    /// or it knew the owner's VM only.
    is_loyal: bool,
    granted: Recent<6>,
}

impl Entry {
    /// Returns the share that it may spend without asking.
    fn reserve(&self) -> f64 {
        self.share.max(self.stated)
    }
}

/// Bucket of one organisation.
#[derive(Debug)]
struct Account {
    quota: Quota,
    since: Duration,
    tokens: f64,
    filled_at: Duration,
    entries: HashMap<VmId, Entry>,
    granted: Recent<6>,
    /// Tokens that may still be held by entries.
    outstanding: Recent<6>,
    /// Sum of all shares that were told.
    total: f64,
    /// Sum of the shares of silent entries.
    reserved: f64,
    /// Sum of the stated shares that a new owner may grant.
    claimed: f64,
    /// Largest sum of shares under an earlier owner that an entry stated.
    earlier: Option<f64>,
    /// Whether there seems to be no owner on another VM.
    is_sole: bool,
    /// Whether an entry has said that there was one.
    has_other: bool,
    /// Fraction of the fleet's entries that ask and know no owner on another VM.
    asking: f64,
    /// Until when tokens are promised to refused entries.
    promised: Duration,
}

impl Account {
    fn new(now: Duration, quota: Quota) -> Self {
        Self {
            quota,
            since: now,
            tokens: 0.0,
            filled_at: now,
            entries: HashMap::new(),
            granted: Recent::new(SHARE_WINDOW),
            outstanding: Recent::new(TOKEN_LIFETIME),
            total: 0.0,
            reserved: 0.0,
            claimed: 0.0,
            earlier: None,
            is_sole: false,
            has_other: false,
            asking: 0.0,
            promised: now,
        }
    }

    fn capacity(&self) -> f64 {
        self.quota.burst.max(1.0)
    }

    /// Returns the rate at which a new owner grants in addition to the stated shares.
    fn start_rate(&self, bound: QuotaBound) -> f64 {
        let Quota { rate, burst } = self.quota;
        let allowed = (rate * bound.window.as_secs_f64() + burst) * bound.over + bound.slack;
        let reserve = allowed - rate * TOKEN_LIFETIME.as_secs_f64();
        (reserve * START_FRACTION / OVERLAP_TIME.as_secs_f64()).max(MIN_START_RATE)
    }

    /// Notes whether there seems to be no owner on another VM: many entries have asked, and none of them
    /// has heard of one in the time for which shares last. If none of them was told a share either, no
    /// shares are in use. A single entry proves nothing, because another one may spend all of the rate.
    fn review_start(&mut self, vms: usize) {
        let enough = (vms / STARTED_ENTRIES).max(STARTED_ENTRIES);
        if self.entries.len() < enough {
            return;
        }
        if self.earlier.is_none() {
            self.earlier = Some(0.0);
            self.is_sole = true;
        }
        let loyal = self.entries.values().filter(|entry| entry.is_loyal);
        self.is_sole |= loyal.count() >= enough;
        self.is_sole &= !self.has_other;
    }

    /// Returns the fraction of the rate that entries which have not asked may spend.
    fn unclaimed(&self) -> f64 {
        (self.earlier.unwrap_or(1.0) - self.total).max(0.0)
    }

    /// Returns the sum of the shares that entries may spend, if this owner knows it. The next owner
    /// sets aside what is stated here.
    fn stated_total(&self, now: Duration) -> Option<f64> {
        if now.saturating_sub(self.since) >= START_TIME {
            return Some(self.total);
        }
        self.earlier.map(|_| self.total + self.unclaimed())
    }

    fn rate(&self, now: Duration, bound: QuotaBound) -> f64 {
        let rate = self.quota.rate;
        let age = now.saturating_sub(self.since);
        let filled = if age < OVERLAP_TIME {
            // Another daemon may take itself for the owner too, and then grants as much. An entry asks
            // one of them only, so each may grant for the entries that ask it.
            let least = if self.is_sole {
                let free = 1.0 - self.unclaimed() - self.reserved;
                self.asking.max(0.5).min(free)
            } else {
                0.0
            };
            rate * self.claimed.max(least) + self.start_rate(bound)
        } else if age < START_TIME {
            rate * (1.0 - self.unclaimed() - self.reserved) + self.start_rate(bound)
        } else {
            rate * (1.0 - self.reserved)
        };
        filled.clamp(0.0, rate)
    }

    /// Adds the tokens since the last time, at the rate that holds now.
    fn fill(&mut self, now: Duration, bound: QuotaBound) {
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        let rate = self.rate(now, bound);
        self.tokens = (self.tokens + passed * rate).min(self.capacity());
        self.filled_at = now;
    }

    /// Determines which entries are silent, and which fraction of the entries of a fleet asks.
    fn review(&mut self, now: Duration, vms: usize) {
        self.entries
            .retain(|_, entry| now.saturating_sub(entry.heard) < RESERVE_TIME);
        (self.total, self.reserved, self.claimed) = (0.0, 0.0, 0.0);
        let is_asking =
            |entry: &&Entry| entry.is_loyal && now.saturating_sub(entry.heard) < OVERLAP_TIME;
        let asking = self.entries.values().filter(is_asking).count();
        self.asking = asking as f64 / vms.max(self.entries.len()).max(1) as f64;
        for entry in self.entries.values_mut() {
            entry.is_silent |= now.saturating_sub(entry.heard) >= ENTRY_SILENCE;
            self.total += entry.share;
            if entry.is_silent {
                self.reserved += entry.reserve();
            } else if now.saturating_sub(entry.first_ask) >= OWNER_SILENCE {
                self.claimed += entry.share;
            }
        }
    }

    /// Returns the share to tell an entry.
    fn share(&mut self, now: Duration, vm: &VmId) -> f64 {
        let all = self.granted.sum(now);
        let rate = self.quota.rate;
        let Some(entry) = self.entries.get_mut(vm) else {
            return 0.0;
        };
        if now.saturating_sub(self.since) >= START_TIME && !entry.is_silent {
            let share = f64::from(entry.granted.sum(now)) / f64::from(all.max(1));
            let others = (self.total - entry.share).max(0.0);
            let told = if share * rate < MIN_SHARE_RATE {
                0.0
            } else {
                share.min((1.0 - others).max(0.0))
            };
            self.total = others + told;
            entry.share = told;
        }
        entry.share
    }

    /// Records that an entry has asked.
    fn record_ask(&mut self, now: Duration, vm: &VmId, ask: Ask) {
        let room = (1.0 - self.total).max(0.0);
        let is_starting = now.saturating_sub(self.since) < START_TIME;
        let is_fresh = ask.total.is_none() && ask.share > 0.0;
        let stated = if is_starting && !is_fresh && ask.share * self.quota.rate >= MIN_SHARE_RATE {
            ask.share.clamp(0.0, room)
        } else {
            0.0
        };
        self.has_other |= ask.history == History::Other;
        // Later asks state what this owner told.
        if is_starting && !self.entries.contains_key(vm) {
            self.earlier = match (self.earlier, ask.total) {
                (Some(first), Some(second)) => Some(first.max(second)),
                (first, second) => first.or(second),
            };
        }
        let total = &mut self.total;
        let entry = self.entries.entry(VmId::clone(vm)).or_insert_with(|| {
            *total += stated;
            Entry {
                first_ask: now,
                heard: now,
                share: stated,
                stated: 0.0,
                is_silent: false,
                is_loyal: is_fresh || ask.history == History::Same,
                granted: Recent::new(SHARE_WINDOW),
            }
        });
        entry.heard = now;
        if entry.is_silent {
            self.reserved = (self.reserved - entry.reserve()).max(0.0);
        }
        entry.stated = if is_fresh {
            0.0
        } else {
            ask.share.clamp(0.0, 1.0)
        };
        entry.is_silent = ask.unheard;
        if entry.is_silent {
            self.reserved += entry.reserve();
        }
    }

    /// Takes back unused tokens, unless more could then be spent at once than the bucket holds.
    fn take_back(&mut self, now: Duration, returned: u32) {
        self.outstanding.advance(now);
        self.outstanding.subtract(returned);
        let held = f64::from(self.outstanding.sum(now));
        let room = (self.capacity() - held - self.tokens).max(0.0);
        self.tokens += f64::from(returned).min(room);
    }

    fn grant(&mut self, now: Duration, vm: &VmId, wanted: u32) -> u32 {
        let granted = wanted.min(self.tokens.max(0.0) as u32);
        self.tokens -= f64::from(granted);
        self.granted.add(now, granted);
        self.outstanding.add(now, granted);
        if let Some(entry) = self.entries.get_mut(vm) {
            entry.granted.add(now, granted);
        }
        granted
    }

    /// Promises a token to a refused entry; returns when there will be one.
    fn promise(&mut self, now: Duration, rate: f64) -> Duration {
        let rate = rate.max(MIN_START_RATE);
        let missing = ((1.0 - self.tokens) / rate).max(0.0);
        let at = self
            .promised
            .max(now + Duration::from_secs_f64(missing))
            .clamp(now + MIN_RETRY, now + MAX_RETRY);
        self.promised = at + Duration::from_secs_f64(1.0 / rate);
        at.saturating_sub(now)
    }
}

/// The buckets that one daemon owns.
#[derive(Debug)]
pub struct QuotaOwner {
    bound: QuotaBound,
    vms: usize,
    accounts: HashMap<OrganisationKey, Account>,
    reviewed_at: Duration,
}

impl QuotaOwner {
    /// Creates the state of a process that starts now.
    #[must_use]
    pub fn new(now: Duration, bound: QuotaBound) -> Self {
        Self {
            bound,
            vms: 0,
            accounts: HashMap::new(),
            reviewed_at: now,
        }
    }

    /// Replaces the bound of the operators.
    pub fn set_bound(&mut self, bound: QuotaBound) {
        self.bound = bound;
    }

    /// Applies a new fleet or configuration: which organisations this daemon owns, and the number
    /// of VMs. Returns the organisations whose owner it has become.
    pub fn set_owned(
        &mut self,
        now: Duration,
        vms: usize,
        owned: &HashMap<OrganisationKey, Quota>,
    ) -> Vec<OrganisationKey> {
        self.review(now);
        self.vms = vms;
        self.accounts.retain(|key, _| owned.contains_key(key));
        let mut new = Vec::new();
        for (key, quota) in owned {
            let account = self.accounts.entry(*key).or_insert_with(|| {
                new.push(*key);
                Account::new(now, *quota)
            });
            account.quota = *quota;
            account.tokens = account.tokens.min(account.capacity());
        }
        new
    }

    /// Determines which entries are silent; the daemon calls it every 100 ms. All buckets start
    /// again if the process stood still, as another daemon may have become their owner.
    pub fn review(&mut self, now: Duration) {
        let paused = now.saturating_sub(self.reviewed_at) >= RESUME_GAP;
        self.reviewed_at = now;
        for account in self.accounts.values_mut() {
            if paused {
                *account = Account::new(now, account.quota);
                continue;
            }
            account.review(now, self.vms);
            account.fill(now, self.bound);
        }
    }

    /// Answers an ask of an entry.
    pub fn answer(&mut self, now: Duration, key: OrganisationKey, vm: &VmId, ask: Ask) -> Grant {
        if now.saturating_sub(self.reviewed_at) >= RESUME_GAP {
            self.review(now);
        }
        let Some(account) = self.accounts.get_mut(&key) else {
            return Grant {
                number: ask.number,
                granted: 0,
                retry: MAX_RETRY,
                share: 0.0,
                total: None,
                is_owner: false,
            };
        };
        account.fill(now, self.bound);
        account.record_ask(now, vm, ask);
        account.review_start(self.vms);
        account.take_back(now, ask.returned);
        // Tokens granted to an entry that does not hear this daemon would be lost.
        let wanted = if ask.unheard { 0 } else { ask.wanted };
        let granted = account.grant(now, vm, wanted);
        let retry = if granted == 0 && wanted > 0 {
            let rate = account.rate(now, self.bound);
            account.promise(now, rate)
        } else {
            Duration::ZERO
        };
        Grant {
            number: ask.number,
            granted,
            retry,
            share: account.share(now, vm),
            total: account.stated_total(now),
            is_owner: true,
        }
    }

    /// Returns the number of buckets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether this daemon owns no bucket.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
