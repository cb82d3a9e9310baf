//! Guards against small organisations that are refused for the demand of a large one, and against
//! an admitted total or stated shares that mislead the gates.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use super::FairShares;
use crate::demand::MIN_SHARE;
use crate::organisation::MAX_TRACKED;

/// Asks and admitted chains of one organisation, and the demand that the latter state.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: f64,
    admitted: f64,
    stated: f64,
}

/// Plays 60 s of random demand with these rates per second at one entry.
fn play(rates: &[f64], resent: f64, share: f64, seed: u64) -> Vec<Tally> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut shares = FairShares::new(rng.random(), 2.0);
    let mut tallies = vec![Tally::default(); rates.len()];
    let total: f64 = rates.iter().sum();
    let mut now = Instant::now();
    let (warm, end) = (now + Duration::from_secs(10), now + Duration::from_secs(70));
    while now < end {
        now += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / total);
        let mut point = rng.random::<f64>() * total;
        let index = rates.iter().position(|rate| {
            point -= rate;
            point < 0.0
        });
        let index = index.unwrap_or(0);
        let again = rng.random_bool(resent);
        let name = index.to_string().into();
        let (own, admitted) = shares.decide(now, &name, again, share);
        if now < warm {
            continue;
        }
        let tally = &mut tallies[index];
        tally.asked += 1.0;
        if admitted {
            tally.admitted += 1.0;
            tally.stated += own.max(MIN_SHARE).recip();
        }
    }
    tallies
}

fn sum(tallies: &[Tally], of: impl Fn(&Tally) -> f64) -> f64 {
    tallies.iter().map(of).sum()
}

/// Sizes by a power law of exponent 1.2, with one organisation at 7.5 times its usual rate.
fn power_law(total: f64) -> Vec<f64> {
    let mut rates: Vec<_> = (1..=71).map(|rank| f64::from(rank).powf(-1.2)).collect();
    rates[3] *= 7.5;
    let sum: f64 = rates.iter().sum();
    rates.iter().map(|rate| rate * total / sum).collect()
}

/// Guards against a total that differs from the one by which the gates derive their share, and
/// against stated shares that do not add up to the demand.
#[rstest]
fn the_admitted_total_is_the_share_and_states_the_whole_demand(
    #[values(0.9, 0.5, 0.2, 0.06)] share: f64,
    #[values(40.0, 200.0)] rate: f64,
    #[values(true, false)] even: bool,
) {
    let rates = if even {
        vec![rate / 500.0; 500]
    } else {
        power_law(rate)
    };
    let tallies = play(&rates, 0.0, share, 7);
    let asked = sum(&tallies, |tally| tally.asked);
    let admitted = sum(&tallies, |tally| tally.admitted);
    let stated = sum(&tallies, |tally| tally.stated);
    let ratio = admitted / asked / share;
    assert!((0.97..1.03).contains(&ratio), "admitted {ratio} of {share}");
    let ratio = stated / asked;
    assert!((0.97..1.03).contains(&ratio), "stated {ratio}");
}

#[test]
fn resent_chains_keep_their_preference_and_the_total() {
    let tallies = play(&power_law(200.0), 0.3, 0.4, 8);
    let asked = sum(&tallies, |tally| tally.asked);
    let admitted = sum(&tallies, |tally| tally.admitted);
    let expected = asked * (0.7 * 0.4 + 0.3 * 0.8);
    let ratio = admitted / expected;
    assert!((0.95..1.05).contains(&ratio), "{ratio}");
}

#[test]
fn organisations_with_little_demand_are_admitted_and_the_others_get_equal_rates() {
    let tallies = play(&[1.0, 2.0, 3.0, 40.0, 60.0], 0.0, 0.5, 9);
    for tally in &tallies[..3] {
        let share = tally.admitted / tally.asked;
        assert!(share > 0.97, "{tally:?}");
    }
    let ratio = tallies[4].admitted / tallies[3].admitted;
    assert!((0.9..1.1).contains(&ratio), "{ratio}");
}

/// Guards against organisations that are never admitted and therefore cannot show that the overload
/// has ended.
#[test]
fn the_largest_organisation_keeps_probing() {
    let mut rates = vec![1.0; 50];
    rates.push(400.0);
    let tallies = play(&rates, 0.0, 0.1, 10);
    let largest = tallies[50];
    let share = largest.admitted / largest.asked;
    assert!((0.04..0.06).contains(&share), "{share}");
}

#[test]
fn what_no_organisation_demands_goes_to_those_that_ask() {
    let now = Instant::now();
    let mut shares = FairShares::new(0.5, 2.0);
    let alone = "alone".into();
    let admitted = (0..1_000)
        .filter(|_| shares.decide(now, &alone, false, 0.5).1)
        .count();
    assert!((490..=510).contains(&admitted), "{admitted}");
    assert!((0..100).all(|_| shares.decide(now, &alone, false, 1.0).1));
}

#[test]
fn organisations_beyond_the_bound_are_forgotten() {
    let now = Instant::now();
    let mut shares = FairShares::new(0.5, 2.0);
    for number in 0..2 * MAX_TRACKED {
        shares.decide(now, &number.to_string().into(), false, 0.5);
    }
    assert_eq!(shares.demands.len(), MAX_TRACKED);
}

/// Guards against an organisation that is throttled for what it asked before the VM was suspended,
/// and against a clock reading that is earlier than the one before.
#[test]
fn demand_before_a_pause_does_not_count() {
    let start = Instant::now();
    let mut shares = FairShares::new(0.5, 2.0);
    let (large, small) = ("large".into(), "small".into());
    for _ in 0..1_000 {
        shares.decide(start, &large, false, 0.5);
    }
    let later = start + Duration::from_mins(1);
    let mut admitted = [0; 2];
    for _ in 0..200 {
        admitted[0] += u32::from(shares.decide(later, &large, false, 0.5).1);
        admitted[1] += u32::from(shares.decide(later, &small, false, 0.5).1);
    }
    assert!(admitted[0].abs_diff(admitted[1]) <= 10, "{admitted:?}");
    assert!(shares.decide(start, &small, false, 1.0).1);
}
