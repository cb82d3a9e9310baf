//! Tokens that this daemon holds for its own requests.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::{
    Ask, BEAT_INTERVAL, Grant, History, MIN_SHARE_RATE, OWNER_SILENCE, OrganisationKey,
    REPLY_TIMEOUT, RESUME_GAP, Recent, SHARE_LIFETIME, TOKEN_LIFETIME,
};
use crate::id::VmId;

/// Organisations that are remembered. The one that was idle for the longest time is removed.
const MAX_ORGANISATIONS: usize = 1_024;

/// Time for which tokens are fetched in advance.
const PREFETCH: Duration = Duration::from_millis(250);

/// Time after an unanswered ask until the next one.
const TIMEOUT_RETRY: Duration = Duration::from_millis(200);

/// Time after the start of the process in which an entry has no history.
const FRESH_TIME: Duration = Duration::from_secs(5);

/// Longest time after which a refused client is told to retry.
const MAX_CLIENT_RETRY: Duration = Duration::from_secs(5);

/// A token for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// When it loses its validity.
    expires: Duration,
}

/// Reply to a request for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// The request may be sent.
    Token(Token),
    /// The request waits until the owner has replied.
    Wait,
    /// The request is refused; there will be a token after this time.
    Refused(Duration),
}

#[derive(Debug)]
pub(super) struct Holding {
    owner: VmId,
    rate: f64,
    /// Numbers of valid tokens with the end of their validity.
    held: VecDeque<(u32, Duration)>,
    /// Number and time of the ask that was not answered.
    pending: Option<(u32, Duration)>,
    asked_at: Duration,
    /// Until when the owner is not asked for a waiting request.
    denied_until: Duration,
    /// Requests refused since the owner was asked last.
    refused: u32,
    share: f64,
    /// Share that the last ask stated.
    stated: f64,
    total: Option<f64>,
    /// When an owner replied last.
    told_at: Option<Duration>,
    /// When an owner on another VM replied last.
    other_at: Option<Duration>,
    /// When the present owner replied last, or became owner.
    heard: Duration,
    /// Tokens of the share, and when they were counted.
    own: (f64, Duration),
    used: Recent<11>,
    used_at: Duration,
}

impl Holding {
    fn new(now: Duration, owner: VmId, rate: f64) -> Self {
        Self {
            owner,
            rate,
            held: VecDeque::new(),
            pending: None,
            asked_at: now,
            denied_until: Duration::ZERO,
            refused: 0,
            share: 0.0,
            stated: 0.0,
            total: None,
            told_at: None,
            other_at: None,
            heard: now,
            own: (0.0, now),
            used: Recent::new(Duration::from_secs(1)),
            used_at: now,
        }
    }

    fn expire(&mut self, now: Duration) {
        self.held.retain(|(_, expires)| *expires > now);
    }

    fn held(&self) -> u32 {
        self.held.iter().map(|(count, _)| count).sum()
    }

    fn is_open(&self, now: Duration) -> bool {
        self.pending
            .is_some_and(|(_, at)| now.saturating_sub(at) < REPLY_TIMEOUT)
    }

    /// Whether the owner has not replied for so long that it must be told.
    fn is_unheard(&self, now: Duration) -> bool {
        now.saturating_sub(self.heard) >= OWNER_SILENCE / 2
            && (self.share > 0.0 || self.pending.is_some())
    }

    /// Returns the share that counts, unless it was told too long ago.
    fn share(&self, now: Duration) -> f64 {
        match self.told_at {
            Some(at) if now.saturating_sub(at) < SHARE_LIFETIME => self.share,
            _ => 0.0,
        }
    }

    /// Returns what is known of earlier owners.
    fn history(&self, now: Duration) -> History {
        let is_recent = |at: Duration| now.saturating_sub(at) < SHARE_LIFETIME;
        if self.other_at.is_some_and(is_recent) {
            History::Other
        } else if self.told_at.is_some_and(is_recent) {
            History::Same
        } else {
            History::None
        }
    }

    /// Takes a token of the share, if the owner is silent.
    fn take_own(&mut self, now: Duration) -> bool {
        let share = self.share(now);
        let silent_at = self
            .told_at
            .map_or(now, |at| at + OWNER_SILENCE)
            .max(self.own.1);
        let rate = share * self.rate;
        if share <= 0.0 || now < silent_at {
            return false;
        }
        let (tokens, _) = self.own;
        let passed = now.saturating_sub(silent_at).as_secs_f64();
        let limit = (rate * PREFETCH.as_secs_f64()).max(1.0);
        let tokens = (tokens + passed * rate).min(limit);
        let is_taken = tokens >= 1.0;
        self.own = (tokens - if is_taken { 1.0 } else { 0.0 }, now);
        is_taken
    }

    fn take_held(&mut self) -> Option<Token> {
        let (count, expires) = self.held.front_mut()?;
        let token = Token { expires: *expires };
        *count -= 1;
        if *count == 0 {
            self.held.pop_front();
        }
        Some(token)
    }

    /// Counts a refusal; returns when the client may retry. Later ones are told later.
    fn refuse(&mut self, now: Duration) -> Duration {
        self.refused += 1;
        let rate = (self.share * self.rate).max(MIN_SHARE_RATE);
        let left = self.denied_until.saturating_sub(now);
        (left + Duration::from_secs_f64(f64::from(self.refused) / rate)).min(MAX_CLIENT_RETRY)
    }
}

/// Tokens of one daemon for the organisations whose requests arrive at it.
#[derive(Debug)]
pub struct QuotaHolder {
    started: Duration,
    seen: Duration,
    next: u32,
    /// Number of VMs of the fleet.
    vms: usize,
    pub(super) holdings: HashMap<OrganisationKey, Holding>,
}

impl QuotaHolder {
    /// Creates the state of a process that starts now.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            started: now,
            seen: now,
            next: 0,
            vms: 1,
            holdings: HashMap::new(),
        }
    }

    /// Forgets all shares if the process stood still, as other daemons may spend them.
    fn resume(&mut self, now: Duration) {
        if now.saturating_sub(self.seen) >= RESUME_GAP {
            self.holdings.clear();
            self.started = now;
        }
        self.seen = now;
    }

    /// Notes which VM owns the bucket of an organisation, and its rate.
    pub fn set_owner(&mut self, now: Duration, key: OrganisationKey, owner: &VmId, rate: f64) {
        self.resume(now);
        if let Some(holding) = self.holdings.get_mut(&key) {
            holding.rate = rate;
            if holding.owner != *owner {
                holding.owner = VmId::clone(owner);
                holding.other_at = holding.told_at;
                holding.pending = None;
                holding.denied_until = now;
                holding.heard = now;
            }
            return;
        }
        if self.holdings.len() >= MAX_ORGANISATIONS {
            let idle = self.holdings.iter().min_by_key(|(_, state)| state.used_at);
            let idle = idle.map(|(key, _)| *key);
            self.holdings.retain(|key, _| Some(*key) != idle);
        }
        let holding = Holding::new(now, VmId::clone(owner), rate);
        self.holdings.insert(key, holding);
    }

    /// Notes the number of VMs of the fleet.
    pub fn set_vms(&mut self, vms: usize) {
        self.vms = vms;
    }

    /// Forgets organisations that have no quota any more.
    pub fn retain(&mut self, has_quota: impl Fn(OrganisationKey) -> bool) {
        self.holdings.retain(|key, _| has_quota(*key));
    }

    /// Takes a token for a request, which may have waited for a reply before.
    pub fn take(&mut self, now: Duration, key: OrganisationKey) -> Take {
        self.resume(now);
        let Some(holding) = self.holdings.get_mut(&key) else {
            return Take::Refused(TIMEOUT_RETRY);
        };
        holding.used_at = now;
        holding.expire(now);
        if let Some(token) = holding.take_held() {
            holding.used.add(now, 1);
            return Take::Token(token);
        }
        if holding.take_own(now) {
            holding.used.add(now, 1);
            return Take::Token(Token { expires: now });
        }
        if now < holding.denied_until {
            return Take::Refused(holding.refuse(now));
        }
        Take::Wait
    }

    /// Returns the ask to send for waiting requests, unless one is open.
    pub fn ask(&mut self, now: Duration, key: OrganisationKey, waiting: u32) -> Option<Ask> {
        self.resume(now);
        let is_fresh = now.saturating_sub(self.started) < FRESH_TIME;
        let holding = self.holdings.get_mut(&key)?;
        if holding.is_open(now) {
            return None;
        }
        holding.expire(now);
        let used = f64::from(holding.used.sum(now));
        let prefetch = (used * PREFETCH.as_secs_f64()) as u32;
        let share = match holding.total {
            None if is_fresh => 1.0 / self.vms.max(1) as f64,
            _ => holding.share(now),
        };
        let ask = Ask {
            number: self.next,
            wanted: waiting + prefetch,
            returned: holding.held(),
            share,
            total: holding.total.filter(|_| {
                holding
                    .told_at
                    .is_some_and(|at| now.saturating_sub(at) < SHARE_LIFETIME)
            }),
            unheard: holding.is_unheard(now),
            history: holding.history(now),
        };
        self.next = self.next.wrapping_add(1);
        holding.stated = if holding.total.is_some() { share } else { 0.0 };
        holding.held.clear();
        holding.pending = Some((ask.number, now));
        holding.asked_at = now;
        holding.refused = 0;
        Some(ask)
    }

    /// Applies the reply to an ask.
    pub fn apply_grant(&mut self, now: Duration, key: OrganisationKey, vm: &VmId, grant: Grant) {
        self.resume(now);
        let Some(holding) = self.holdings.get_mut(&key) else {
            return;
        };
        let Some((number, asked_at)) = holding.pending else {
            return;
        };
        if number != grant.number || holding.owner != *vm {
            return;
        }
        holding.pending = None;
        if !grant.is_owner {
            holding.denied_until = now + TIMEOUT_RETRY;
            return;
        }
        holding.heard = now;
        holding.told_at = Some(now);
        holding.share = grant.share;
        holding.total = grant.total.or(holding.total);
        holding.own = (0.0, now);
        let expires = asked_at + TOKEN_LIFETIME;
        if grant.granted > 0 && expires > now {
            holding.held.push_back((grant.granted, expires));
        }
        if !grant.retry.is_zero() {
            holding.denied_until = now + grant.retry;
        }
    }

    /// Notes that a request has waited for a reply in vain. Further ones do not wait for a while.
    pub fn record_timeout(&mut self, now: Duration, key: OrganisationKey) {
        if let Some(holding) = self.holdings.get_mut(&key) {
            holding.denied_until = holding.denied_until.max(now + TIMEOUT_RETRY);
        }
    }

    /// Takes back the token of a request that has not run and will not.
    pub fn give_back(&mut self, now: Duration, key: OrganisationKey, token: Token) {
        if let Some(holding) = self.holdings.get_mut(&key)
            && token.expires > now
        {
            holding.held.push_back((1, token.expires));
        }
    }

    /// Returns the organisations whose owner must hear from this entry, because it has a share or had
    /// one when it asked last.
    pub fn due(&mut self, now: Duration) -> Vec<OrganisationKey> {
        self.resume(now);
        let due = self.holdings.iter().filter(|(_, holding)| {
            // The owner sets a stated share aside until it hears that the share has ended.
            (holding.share(now) > 0.0 || holding.stated > 0.0)
                && now.saturating_sub(holding.asked_at) >= BEAT_INTERVAL
        });
        due.map(|(key, _)| *key).collect()
    }

    /// Returns the number of valid tokens.
    #[must_use]
    pub fn held(&self) -> u32 {
        self.holdings.values().map(Holding::held).sum()
    }
}
