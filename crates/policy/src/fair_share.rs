//! Division of the admission share of an entry between organisations.
//!
//! When only a share of the new chains can be admitted, organisations that ask for little are
//! admitted as usual, and the others get equal rates (max-min). Each entry decides by the demand
//! that it has seen in the last seconds. What it admits in total remains the share of its demand,
//! and each admitted call states the share of its own organisation, so that the gates still find
//! the whole demand as the sum of `1 / share` (see [`demand`](crate::demand)).

use std::time::{Duration, Instant};

use crate::demand::MIN_SHARE;
use crate::id::OrganisationName;
use crate::organisation::MAX_TRACKED;
use crate::recent_map::RecentMap;

#[cfg(test)]
mod tests;

/// Time over which demand is averaged. At 40 requests a second to an entry it holds 200 of them,
/// enough to tell the large organisations from the small ones.
const DEMAND_WINDOW: Duration = Duration::from_secs(5);

/// Time and fraction of the demand for which a computed level is used. They bound the work under a
/// flood of requests.
const LEVEL_LIFETIME: Duration = Duration::from_millis(20);
const LEVEL_DEMAND_FRACTION: f64 = 0.02;

/// Bisection steps, after which the level is exact to one part in a million.
const LEVEL_STEPS: u32 = 24;

/// Step of the initial credits, the golden ratio: successive multiples spread evenly over 0 to 1.
const CREDIT_STEP: f64 = 0.618_033_988_749_895;

/// Rates of one organisation at the entry, as decaying sums over [`DEMAND_WINDOW`].
#[derive(Clone, Copy, Debug)]
struct Demand {
    fresh: f64,
    resent: f64,
    updated_at: Instant,
    /// Chains in the window at the latest ask, including that one. Shares are given by it.
    asked: f64,
    /// Accumulated admission share. When it reaches 1, a chain is admitted and 1 is subtracted.
    credit: f64,
}

impl Demand {
    /// Returns new and resent chains in the window.
    fn at(&self, now: Instant) -> (f64, f64) {
        let passed = now.saturating_duration_since(self.updated_at);
        let factor = (-passed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp();
        (self.fresh * factor, self.resent * factor)
    }

    fn record(&mut self, now: Instant, resent: bool) {
        (self.fresh, self.resent) = self.at(now);
        self.updated_at = now;
        if resent {
            self.resent += 1.0;
        } else {
            self.fresh += 1.0;
        }
        self.asked = self.fresh + self.resent;
    }
}

/// Chains per window up to which an organisation is admitted under an admission share.
#[derive(Clone, Copy, Debug)]
struct Level {
    value: f64,
    share: f64,
    computed_at: Instant,
    /// Chains after which it is computed again.
    remaining: f64,
}

/// Demand of the organisations at an entry for one route.
#[derive(Debug)]
pub struct FairShares {
    demands: RecentMap<OrganisationName, Demand>,
    level: Option<Level>,
    next_credit: f64,
    /// Factor on the share of a resent chain.
    resent_factor: f64,
    /// Chains that the share of all allows, minus the admitted ones. It corrects the level, since
    /// the demand of those who seldom ask is known badly.
    balance: f64,
}

impl FairShares {
    /// Creates shares without demand. The initial credits of the organisations follow from `phase`,
    /// from 0 to 1. A resent chain gets `resent_factor` times the share of a new one.
    #[must_use]
    pub fn new(phase: f64, resent_factor: f64) -> Self {
        Self {
            demands: RecentMap::new(MAX_TRACKED),
            level: None,
            next_credit: phase,
            resent_factor,
            balance: 0.0,
        }
    }

    /// Records a chain that an organisation asks for, and returns the share of its chains to admit
    /// while this share of all can be admitted, and whether this one is.
    pub fn decide(
        &mut self,
        now: Instant,
        organisation: &OrganisationName,
        resent: bool,
        share: f64,
    ) -> (f64, bool) {
        let next_credit = &mut self.next_credit;
        let demand = self.demands.use_or_insert_with(organisation, || {
            *next_credit = (*next_credit + CREDIT_STEP).fract();
            Demand {
                fresh: 0.0,
                resent: 0.0,
                updated_at: now,
                asked: 0.0,
                credit: *next_credit,
            }
        });
        demand.record(now, resent);
        let asked = demand.asked;
        if share >= 1.0 {
            return (1.0, true);
        }
        let own = own_share(self.level(now, share), asked, floor(share));
        let factor = if resent { self.resent_factor } else { 1.0 };
        self.balance += (share * factor).min(1.0);
        if own < 1.0
            && let Some(demand) = self.demands.get_mut(organisation)
        {
            demand.credit += (own * factor).min(1.0);
            if demand.credit < 1.0 {
                return (own, false);
            }
            demand.credit -= 1.0;
        }
        self.balance -= 1.0;
        (own, true)
    }

    /// Returns the demand up to which an organisation is admitted, so that all together are admitted
    /// at this share.
    fn level(&mut self, now: Instant, share: f64) -> f64 {
        if let Some(level) = &mut self.level
            && level.remaining >= 1.0
            && (level.share - share).abs() < 1e-6
            && now.saturating_duration_since(level.computed_at) < LEVEL_LIFETIME
        {
            level.remaining -= 1.0;
            return level.value;
        }
        let known = self.demands.iter().map(|(_, known)| known);
        let demands: Vec<_> = known.map(|known| (known.at(now), known.asked)).collect();
        let admitted = |share_of: &dyn Fn(f64) -> f64| -> f64 {
            let factor = self.resent_factor;
            let rate = |((fresh, resent), asked): &((f64, f64), f64)| {
                let share = share_of(*asked);
                fresh * share + resent * (share * factor).min(1.0)
            };
            demands.iter().map(rate).sum()
        };
        let target = admitted(&|_| share);
        self.balance = self.balance.clamp(-target, target);
        let corrected = target + self.balance;
        let largest = demands.iter().map(|(_, asked)| *asked).fold(0.0, f64::max);
        let (mut low, mut high) = (0.0, largest);
        for _ in 0..LEVEL_STEPS {
            let middle = f64::midpoint(low, high);
            if admitted(&|asked| own_share(middle, asked, floor(share))) < corrected {
                low = middle;
            } else {
                high = middle;
            }
        }
        self.level = Some(Level {
            value: high,
            share,
            computed_at: now,
            remaining: target / share * LEVEL_DEMAND_FRACTION,
        });
        high
    }
}

/// Returns the share of an organisation that has asked for this many chains in the window.
fn own_share(level: f64, asked: f64, floor: f64) -> f64 {
    if asked <= level {
        1.0
    } else {
        (level / asked).max(floor)
    }
}

/// Returns the smallest share of an organisation. Gates count a call with a stated share below
/// [`MIN_SHARE`] as if it were that, so only a smaller share of all goes below it.
fn floor(share: f64) -> f64 {
    share.min(MIN_SHARE)
}
