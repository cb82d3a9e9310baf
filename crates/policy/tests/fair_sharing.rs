//! Compares the orders in which the queue of an endpoint could serve organisations: first come first
//! served, in proportion to usual demand, and max-min. Guards against a change after which the
//! organisations that are served worst get less, or fewer calls are served in total.
//!
//! The load is that of the scarce service: 68 slots and 36 ms of mean work, offered 1.5 times what
//! it can serve by 71 organisations, one of which sends 7.5 times its usual rate. The figures stand
//! in `docs/design/fair-sharing.md`; print them with `--nocapture`.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use policy::id::OrganisationName;
use policy::queue::{EndpointQueue, EnqueueOutcome, QueuedCall};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ORGANISATIONS: usize = 71;
const SLOTS: u32 = 68;
const MEAN_WORK_S: f64 = 0.036;
const OVERLOAD: f64 = 1.5;
/// The organisation that sends more than usual, counted from the largest, and the factor.
const EXCESSIVE: (usize, f64) = (4, 7.5);
const OBJECTIVE: Duration = Duration::from_millis(150);
const TIMEOUT: Duration = Duration::from_millis(500);
const EXPIRY_INTERVAL: Duration = Duration::from_millis(10);
const RUN: Duration = Duration::from_secs(10);

/// Order between the organisations.
#[derive(Clone, Copy, Debug)]
enum Order {
    FirstCome,
    Proportional,
    MaxMin,
}

/// What was asked and served, for one organisation.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: u32,
    served: u32,
    in_time: u32,
}

/// Fractions of the calls, in total and of the tenth of the organisations that is served worst.
#[derive(Debug)]
struct Result {
    served: f64,
    in_time: f64,
    worst_served: f64,
    worst_in_time: f64,
}

/// Usual demand of each organisation.
fn usual() -> Vec<f64> {
    let ranks = 1..=ORGANISATIONS;
    ranks.map(|rank| (rank as f64).powf(-1.2)).collect()
}

/// A work time: log-normal with a coefficient of variation of 0.5; 1 in 100 takes 4 times as long.
fn work(rng: &mut SmallRng) -> Duration {
    let variance = (0.5_f64 * 0.5).ln_1p();
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    let factor = if rng.random_bool(0.01) { 4.0 } else { 1.0 };
    let mean = MEAN_WORK_S / 1.03;
    Duration::from_secs_f64(mean * factor * (normal * variance.sqrt() - variance / 2.0).exp())
}

fn play(order: Order, seed: u64) -> Result {
    let mut rng = SmallRng::seed_from_u64(seed);
    let usual = usual();
    let mut demand = usual.clone();
    demand[EXCESSIVE.0] *= EXCESSIVE.1;
    let total: f64 = demand.iter().sum();
    let names: Vec<OrganisationName> = (0..ORGANISATIONS)
        .map(|index| index.to_string().into())
        .collect();
    let mut tallies = vec![Tally::default(); ORGANISATIONS];
    let mut queue: EndpointQueue<(usize, Instant, Duration)> = EndpointQueue::new(SLOTS);
    let rate = queue.limit() as f64 / MEAN_WORK_S * OVERLOAD;
    let start = Instant::now();
    let mut running: BinaryHeap<Reverse<(Instant, usize, Instant, Duration)>> = BinaryHeap::new();
    let (mut arrival, mut expiry) = (start, start);
    while arrival < start + RUN {
        let end = running.peek().map(|Reverse((end, ..))| *end);
        let now = end.map_or(arrival, |end| end.min(arrival)).min(expiry);
        if now == expiry {
            queue.expire(now);
            expiry += EXPIRY_INTERVAL;
        } else if end == Some(now)
            && let Some(Reverse((_, index, arrived, work))) = running.pop()
        {
            queue.finish(work);
            let tally: &mut Tally = &mut tallies[index];
            tally.served += u32::from(now <= arrived + TIMEOUT);
            tally.in_time += u32::from(now <= arrived + OBJECTIVE);
        } else {
            arrival += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
            let mut point = rng.random::<f64>() * total;
            let found = demand.iter().position(|demand| {
                point -= demand;
                point < 0.0
            });
            let index = found.unwrap_or(0);
            tallies[index].asked += 1;
            let call = (index, now, work(&mut rng));
            let (organisation, cost) = match order {
                Order::FirstCome => (None, MEAN_WORK_S),
                Order::Proportional => (Some(index), MEAN_WORK_S / usual[index]),
                Order::MaxMin => (Some(index), MEAN_WORK_S),
            };
            let queued = QueuedCall {
                rank: 1,
                remaining: Duration::ZERO,
                deadline: now + TIMEOUT,
                min_time: Duration::from_millis(20),
                organisation: organisation.map(|index| OrganisationName::clone(&names[index])),
                cost: Duration::from_secs_f64(cost),
                call,
            };
            if let EnqueueOutcome::Start((index, arrived, work)) = queue.enqueue(now, queued) {
                running.push(Reverse((now + work, index, arrived, work)));
            }
        }
        while let Some((index, arrived, work)) = queue.start_next(now) {
            running.push(Reverse((now + work, index, arrived, work)));
        }
    }
    let fraction = |of: fn(&Tally) -> u32| {
        let asked: u32 = tallies.iter().map(|tally| tally.asked).sum();
        f64::from(tallies.iter().map(of).sum::<u32>()) / f64::from(asked)
    };
    let worst = |of: fn(&Tally) -> u32| {
        let asked = tallies.iter().filter(|tally| tally.asked > 0);
        let mut shares: Vec<_> = asked
            .map(|tally| f64::from(of(tally)) / f64::from(tally.asked))
            .collect();
        shares.sort_by(f64::total_cmp);
        let tenth = ORGANISATIONS / 10;
        shares[..tenth].iter().sum::<f64>() / tenth as f64
    };
    Result {
        served: fraction(|tally| tally.served),
        in_time: fraction(|tally| tally.in_time),
        worst_served: worst(|tally| tally.served),
        worst_in_time: worst(|tally| tally.in_time),
    }
}

#[test]
fn max_min_serves_the_worst_tenth_best_and_loses_no_total() {
    for seed in [1, 2] {
        let [first_come, proportional, max_min] =
            [Order::FirstCome, Order::Proportional, Order::MaxMin].map(|order| {
                let started = Instant::now();
                let result = play(order, seed);
                let time = started.elapsed();
                println!("seed {seed} {order:?}: {result:.3?} in {time:.2?}");
                result
            });
        for other in [&first_come, &proportional] {
            assert!(max_min.worst_served > other.worst_served);
            assert!(max_min.worst_in_time > other.worst_in_time);
            assert!(max_min.served > other.served * 0.98);
        }
        assert!(max_min.in_time > first_come.in_time);
    }
}
