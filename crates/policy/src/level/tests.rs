//! Tests of the admitted level.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use super::{
    AdmissionLevel, BUCKET_COUNT, BucketAssigner, LAST_BUCKET, Level, LevelController, LevelTable,
};
use crate::id::{KindName, ServiceName};
use crate::rule::{Class, RANK_COUNT, RuleSet};

const MILLISECOND: Duration = Duration::from_millis(1);

fn admitted(text: &str) -> AdmissionLevel {
    text.parse().expect("valid text")
}

/// Guards against a header that another daemon reads differently.
#[rstest]
#[case("7.127", Some((7, 127)))]
#[case("0.0", Some((0, 0)))]
#[case("3.64+4.20+7.5", Some((3, 64)))]
#[case("8.0", None)]
#[case("0.128", None)]
#[case("-1.3", None)]
#[case("3", None)]
#[case("3.1+9.1", None)]
#[case("", None)]
fn text_form(#[case] text: &str, #[case] expected: Option<(u8, u8)>) {
    let parsed: Option<AdmissionLevel> = text.parse().ok();
    let level = parsed.map(|parsed| (parsed.level.rank, parsed.level.bucket));
    assert_eq!(level, expected);
    if let Some(parsed) = parsed {
        assert_eq!(parsed.to_string(), text);
    }
}

/// Guards against an order that admits less urgent work before more urgent work.
#[test]
fn level_orders_by_rank_then_bucket() {
    let level = Level {
        rank: 3,
        bucket: 64,
    };
    for (rank, bucket, expected) in [(2, 127, true), (3, 64, true), (3, 65, false), (4, 0, false)] {
        assert_eq!(level.admits(rank, bucket), expected, "{rank}.{bucket}");
    }
    let floors = admitted("3.64+4.20");
    assert!(floors.admits(4, 19) && !floors.admits(4, 20) && !floors.admits(5, 0));
}

/// Offers `demand` calls a millisecond of each rank to a receiver that serves `capacity` a
/// millisecond in rank order, with an entry that follows the level at once. Returns the served
/// calls of each rank per millisecond over the last half.
fn receive(
    meter: &mut LevelController,
    demand: [u32; RANK_COUNT],
    capacity: u32,
) -> [f64; RANK_COUNT] {
    const STEPS: u32 = 10_000;
    let mut rng = SmallRng::seed_from_u64(3);
    let start = Instant::now();
    let mut served = [0.0; RANK_COUNT];
    let mut queues: [Vec<(u32, u8)>; RANK_COUNT] = Default::default();
    for step in 0..STEPS {
        let now = start + MILLISECOND * step;
        for rank in 0..RANK_COUNT as u8 {
            for _ in 0..demand[usize::from(rank)] {
                let bucket = rng.random_range(0..BUCKET_COUNT);
                if meter.admitted().admits(rank, bucket) || rng.random_bool(0.01) {
                    meter.arrived(now, rank, bucket);
                    queues[usize::from(rank)].push((step, bucket));
                }
            }
        }
        let mut free = capacity;
        for (rank, queue) in queues.iter_mut().enumerate() {
            let count = (free as usize).min(queue.len());
            free -= count as u32;
            for (since, bucket) in queue.drain(..count) {
                meter.left(rank as u8, bucket, MILLISECOND * (step - since));
                served[rank] += f64::from(u8::from(step >= STEPS / 2));
            }
            for (_, bucket) in queue.split_off(queue.len().min(200)) {
                meter.refused(rank as u8, bucket);
            }
        }
        meter.tick(now);
    }
    served.map(|served| served / f64::from(STEPS / 2))
}

/// Guards against a level that cuts urgent work, leaves capacity idle, or never recovers.
#[rstest]
#[case::calm([10, 0, 0, 0, 20, 0, 0, 10], [10.0, 0.0, 0.0, 0.0, 20.0, 0.0, 0.0, 10.0])]
#[case::lowest_flood([10, 0, 0, 0, 20, 0, 0, 400], [10.0, 0.0, 0.0, 0.0, 20.0, 0.0, 0.0, 10.0])]
#[case::highest_flood([400, 0, 0, 0, 20, 0, 0, 20], [40.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0])]
fn meter_admits_what_fits(#[case] demand: [u32; RANK_COUNT], #[case] expected: [f64; RANK_COUNT]) {
    let mut meter = LevelController::new(5);
    let served = receive(&mut meter, demand, 40);
    for (rank, (served, expected)) in served.iter().zip(expected).enumerate() {
        let slack = 0.05 * expected.max(10.0);
        assert!(
            (served - expected).abs() <= slack,
            "rank {rank}: {served} for {expected}"
        );
    }
    // Five calm seconds later everything is admitted again.
    let start = Instant::now() + Duration::from_secs(100);
    for step in 0..50 {
        let now = start + Duration::from_millis(100) * step;
        for rank in [0, 4, 7] {
            meter.arrived(now, rank, 0);
            meter.left(rank, 0, Duration::ZERO);
        }
    }
    assert_eq!(meter.admitted().level, Level::FULL);
}

/// Guards against a lost receiver that blocks its callers for good, and against refusals without
/// probes, after which a recovery would go unseen.
#[test]
fn table_probes_and_forgets() {
    let mut table = LevelTable::new();
    let mut rng = SmallRng::seed_from_u64(1);
    let (service, kind) = (ServiceName::from("cuentas"), KindName::from("tide"));
    let start = Instant::now();
    let mut passed = 0;
    for step in 0..10_000 {
        let now = start + MILLISECOND * step;
        table.observe(now, &service, admitted("3.64"));
        assert!(table.admit(now, &service, &kind, 3, 64, &mut rng));
        passed += u32::from(table.admit(now, &service, &kind, 7, 0, &mut rng));
    }
    assert!((50..=200).contains(&passed), "{passed} probes of 10000");
    let last = start + Duration::from_secs(10);
    let quiet = last + Duration::from_millis(100);
    let first = (0..20).filter(|_| table.admit(quiet, &service, &kind, 7, 0, &mut rng));
    assert!(first.count() <= 2);
    let later = last + LevelTable::LEVEL_LIFE;
    assert!((0..20).all(|_| table.admit(later, &service, &kind, 7, 0, &mut rng)));
    table.tick(later);
    assert_eq!(table.level(later, &service), AdmissionLevel::FULL);
}

/// Guards against calls that are refused only at a deeper service, and against refusing a kind for
/// a service that it seldom reaches.
#[test]
fn table_combines_levels_along_the_path() {
    let mut table = LevelTable::new();
    let mut rng = SmallRng::seed_from_u64(1);
    let [front, deep, rare] = ["despacho", "cuentas", "lotes"].map(ServiceName::from);
    let [booking, quote] = ["booking", "quote"].map(KindName::from);
    let now = Instant::now();
    for step in 0..200 {
        let both = [&deep, &rare].map(Arc::clone);
        let reached = if step % 50 == 0 {
            &both[..]
        } else {
            &both[..1]
        };
        table.observe_path(now, &booking, &front, reached);
    }
    table.observe(now, &deep, admitted("0.10"));
    let count = |table: &mut LevelTable, kind: &KindName, rng: &mut SmallRng| {
        let admits = (0..100).filter(|_| table.admit(now, &front, kind, 0, 50, rng));
        admits.count()
    };
    assert!(count(&mut table, &booking, &mut rng) <= 5);
    assert_eq!(count(&mut table, &quote, &mut rng), 100);
    table.observe(now, &rare, admitted("0.10"));
    table.observe(now + Duration::from_secs(1), &deep, admitted("7.127"));
    let later = now + Duration::from_secs(1);
    assert!(table.admit(later, &front, &booking, 0, 50, &mut rng));
}

/// Guards against a level that cuts small customers as much as large ones, ignores weights, or
/// serves a named customer worse than unnamed ones, many of which are made up.
#[test]
fn buckets_cut_customers_to_a_common_rate() {
    let mut buckets = BucketAssigner::new(1);
    buckets.set_customers(["named".into(), "heavy".into()]);
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(2);
    // Calls a millisecond, and calls below bucket 64, which is reached at 315 calls a second.
    let customers = [
        ("small", 1, 0.1),
        ("named", 1, 2.0),
        ("heavy", 3, 2.0),
        ("u", 1, 8.0),
    ];
    let mut admitted = [0.0; 5];
    for step in 0..10_000_u32 {
        let now = start + MILLISECOND * step;
        let mut call = |name: &str, weight, rng: &mut SmallRng| {
            let class = Class {
                weight,
                ..RuleSet::default().classify("despacho", "GET", "/", name)
            };
            buckets.bucket(now, &class, rng.random()) < 64 && step >= 5_000
        };
        for (index, (name, weight, rate)) in customers.iter().enumerate() {
            let calls = (rng.random::<f64>() + rate) as u32;
            let passed = (0..calls).filter(|_| call(name, *weight, &mut rng)).count();
            admitted[index] += passed as f64 / 5.0;
        }
        let made_up = format!("made-up-{step}");
        admitted[4] += f64::from(u8::from(call(&made_up, 1, &mut rng))) / 5.0;
    }
    let expected = [100.0, 315.0, 945.0, 315.0, 1_000.0];
    for (index, (admitted, expected)) in admitted.iter().zip(expected).enumerate() {
        let near = (admitted / expected - 1.0_f64).abs() < 0.15;
        assert!(near, "{index}: {admitted} a second for {expected}");
    }
    assert_eq!(buckets.len(), 258);
}

/// Guards against daemons that raise and lower their levels in lockstep: 40 receivers of one
/// service and 40 entries at four times the capacity, which all hear the same levels.
#[test]
fn many_daemons_do_not_oscillate_together() {
    const DAEMONS: usize = 40;
    const CAPACITY: usize = 2;
    const STEPS: usize = 10_000;
    let mut rng = SmallRng::seed_from_u64(9);
    let start = Instant::now();
    let (service, kind) = (ServiceName::from("registos"), KindName::from("raking"));
    let mut meters: Vec<_> = (0..DAEMONS as u64).map(LevelController::new).collect();
    let mut tables: Vec<_> = (0..DAEMONS).map(|_| LevelTable::new()).collect();
    let mut queues = vec![std::collections::VecDeque::new(); DAEMONS];
    let mut windows = Vec::new();
    let mut levels: Vec<Vec<f64>> = vec![Vec::new(); DAEMONS];
    let mut served = 0;
    for step in 0..STEPS {
        let now = start + MILLISECOND * step as u32;
        for table in &mut tables {
            for _ in 0..4 * CAPACITY {
                let bucket = rng.random_range(0..BUCKET_COUNT);
                if table.admit(now, &service, &kind, 4, bucket, &mut rng) {
                    let receiver = rng.random_range(0..DAEMONS);
                    meters[receiver].arrived(now, 4, bucket);
                    if queues[receiver].len() < 200 {
                        queues[receiver].push_back((step, bucket));
                    } else {
                        meters[receiver].refused(4, bucket);
                    }
                }
            }
        }
        for (meter, queue) in meters.iter_mut().zip(&mut queues) {
            for _ in 0..CAPACITY {
                if let Some((since, bucket)) = queue.pop_front() {
                    meter.left(4, bucket, MILLISECOND * (step - since) as u32);
                    served += 1;
                    let entry = rng.random_range(0..DAEMONS);
                    tables[entry].observe(now, &service, meter.admitted());
                }
            }
        }
        if step % 100 == 99 && step >= STEPS / 2 {
            windows.push(f64::from(served) / (100 * DAEMONS * CAPACITY) as f64);
            for (meter, levels) in meters.iter().zip(&mut levels) {
                let level = meter.admitted().level;
                let whole = f64::from(level.rank) * f64::from(LAST_BUCKET + 1);
                levels.push(whole + f64::from(level.bucket));
            }
        }
        if step % 100 == 99 {
            served = 0;
        }
    }
    let mean = windows.iter().sum::<f64>() / windows.len() as f64;
    let lowest = windows.iter().copied().fold(f64::INFINITY, f64::min);
    assert!(mean >= 0.95, "mean goodput {mean}");
    assert!(lowest >= 0.8, "lowest goodput of a window {lowest}");
    // Independent levels give a ratio near 1, levels in lockstep one of 40.
    let together: Vec<f64> = (0..windows.len())
        .map(|window| levels.iter().map(|level| level[window]).sum::<f64>() / DAEMONS as f64)
        .collect();
    let alone = levels.iter().map(|level| variance(level)).sum::<f64>() / DAEMONS as f64;
    let ratio = DAEMONS as f64 * variance(&together) / alone;
    assert!(
        ratio < DAEMONS as f64 / 4.0,
        "synchronisation ratio {ratio}"
    );
}

fn variance(values: &[f64]) -> f64 {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let squares = values.iter().map(|value| (value - mean).powi(2));
    squares.sum::<f64>() / values.len() as f64
}
