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

/// Guards against a header text that daemons write and parse differently.
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
fn level_text_round_trips(#[case] text: &str, #[case] expected: Option<(u8, u8)>) {
    let parsed: Option<AdmissionLevel> = text.parse().ok();
    let level = parsed.map(|parsed| (parsed.level.rank, parsed.level.bucket));
    assert_eq!(level, expected);
    if let Some(parsed) = parsed {
        assert_eq!(parsed.to_string(), text);
    }
}

/// Guards against a level that admits less urgent calls before more urgent ones.
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

/// Sends `demand` calls of each rank per millisecond to a gate that serves `capacity` calls per
/// millisecond in rank order, from an entry that applies the level at once. Returns the calls of
/// each rank served per millisecond over the last half.
fn serve(
    controller: &mut LevelController,
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
                if controller.admitted().admits(rank, bucket) || rng.random_bool(0.01) {
                    controller.record_arrival(now, rank, bucket);
                    queues[usize::from(rank)].push((step, bucket));
                }
            }
        }
        let mut free = capacity;
        for (rank, queue) in queues.iter_mut().enumerate() {
            let count = (free as usize).min(queue.len());
            free -= count as u32;
            for (since, bucket) in queue.drain(..count) {
                controller.record_dequeue(rank as u8, bucket, MILLISECOND * (step - since));
                served[rank] += f64::from(u8::from(step >= STEPS / 2));
            }
            for (_, bucket) in queue.split_off(queue.len().min(200)) {
                controller.record_refusal(rank as u8, bucket);
            }
        }
        controller.tick(now);
    }
    served.map(|served| served / f64::from(STEPS / 2))
}

/// Guards against a level that cuts urgent calls, leaves capacity idle, or never recovers.
#[rstest]
#[case::no_overload([10, 0, 0, 0, 20, 0, 0, 10], [10.0, 0.0, 0.0, 0.0, 20.0, 0.0, 0.0, 10.0])]
#[case::lowest_flood([10, 0, 0, 0, 20, 0, 0, 400], [10.0, 0.0, 0.0, 0.0, 20.0, 0.0, 0.0, 10.0])]
#[case::highest_flood([400, 0, 0, 0, 20, 0, 0, 20], [40.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0])]
fn controller_admits_up_to_capacity(
    #[case] demand: [u32; RANK_COUNT],
    #[case] expected: [f64; RANK_COUNT],
) {
    let mut controller = LevelController::new(5);
    let served = serve(&mut controller, demand, 40);
    for (rank, (served, expected)) in served.iter().zip(expected).enumerate() {
        let slack = 0.05 * expected.max(10.0);
        assert!(
            (served - expected).abs() <= slack,
            "rank {rank}: {served} for {expected}"
        );
    }
    // After five seconds without waiting all calls are admitted again.
    let start = Instant::now() + Duration::from_secs(100);
    for step in 0..50 {
        let now = start + Duration::from_millis(100) * step;
        for rank in [0, 4, 7] {
            controller.record_arrival(now, rank, 0);
            controller.record_dequeue(rank, 0, Duration::ZERO);
        }
    }
    assert_eq!(controller.admitted().level, Level::FULL);
}

/// Guards against refusing calls for good because of the last level of a gate that is gone, and
/// against refusing without probes, which would hide a recovery.
#[test]
fn table_sends_probes_and_drops_expired_levels() {
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
    let after_pause = last + Duration::from_millis(100);
    let first = (0..20).filter(|_| table.admit(after_pause, &service, &kind, 7, 0, &mut rng));
    assert!(first.count() <= 2);
    let later = last + LevelTable::LEVEL_LIFETIME;
    assert!((0..20).all(|_| table.admit(later, &service, &kind, 7, 0, &mut rng)));
    table.tick(later);
    assert_eq!(table.level(later, &service), AdmissionLevel::FULL);
}

/// Guards against sending calls that a dependency will refuse, and against refusing a kind because
/// of a dependency that it rarely reaches.
#[test]
fn table_checks_levels_of_usual_dependencies() {
    let mut table = LevelTable::new();
    let mut rng = SmallRng::seed_from_u64(1);
    let [called, usual, rare] = ["despacho", "cuentas", "lotes"].map(ServiceName::from);
    let [booking, quote] = ["booking", "quote"].map(KindName::from);
    let now = Instant::now();
    for step in 0..200 {
        let both = [&usual, &rare].map(Arc::clone);
        let reached = if step % 50 == 0 {
            &both[..]
        } else {
            &both[..1]
        };
        table.observe_path(now, &booking, &called, reached);
    }
    table.observe(now, &usual, admitted("0.10"));
    let count = |table: &mut LevelTable, kind: &KindName, rng: &mut SmallRng| {
        let admits = (0..100).filter(|_| table.admit(now, &called, kind, 0, 50, rng));
        admits.count()
    };
    assert!(count(&mut table, &booking, &mut rng) <= 5);
    assert_eq!(count(&mut table, &quote, &mut rng), 100);
    table.observe(now, &rare, admitted("0.10"));
    table.observe(now + Duration::from_secs(1), &usual, admitted("7.127"));
    let later = now + Duration::from_secs(1);
    assert!(table.admit(later, &called, &booking, 0, 50, &mut rng));
}

/// Guards against a level that cuts small customers as much as large ones, ignores weights, or
/// serves a named customer worse than unnamed ones, many of them made up.
#[test]
fn buckets_cut_customers_to_a_common_rate() {
    let mut buckets = BucketAssigner::new(1);
    buckets.set_customers(["named".into(), "heavy".into()]);
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(2);
    // Customers with their weight and calls per millisecond. Bucket 64 is at 315 calls per second.
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

/// Guards against daemons that raise and lower their levels in lockstep: 40 gates of one service
/// and 40 entries, which all see the same levels, at four times the capacity.
#[test]
fn many_daemons_do_not_move_in_lockstep() {
    const DAEMONS: usize = 40;
    const CAPACITY: usize = 2;
    const STEPS: usize = 10_000;
    let mut rng = SmallRng::seed_from_u64(9);
    let start = Instant::now();
    let (service, kind) = (ServiceName::from("registos"), KindName::from("raking"));
    let mut controllers: Vec<_> = (0..DAEMONS as u64).map(LevelController::new).collect();
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
                    let gate = rng.random_range(0..DAEMONS);
                    controllers[gate].record_arrival(now, 4, bucket);
                    if queues[gate].len() < 200 {
                        queues[gate].push_back((step, bucket));
                    } else {
                        controllers[gate].record_refusal(4, bucket);
                    }
                }
            }
        }
        for (controller, queue) in controllers.iter_mut().zip(&mut queues) {
            for _ in 0..CAPACITY {
                if let Some((since, bucket)) = queue.pop_front() {
                    controller.record_dequeue(4, bucket, MILLISECOND * (step - since) as u32);
                    served += 1;
                    let entry = rng.random_range(0..DAEMONS);
                    tables[entry].observe(now, &service, controller.admitted());
                }
            }
        }
        if step % 100 == 99 && step >= STEPS / 2 {
            windows.push(f64::from(served) / (100 * DAEMONS * CAPACITY) as f64);
            for (controller, levels) in controllers.iter().zip(&mut levels) {
                let level = controller.admitted().level;
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
    let mean_levels: Vec<f64> = (0..windows.len())
        .map(|window| levels.iter().map(|level| level[window]).sum::<f64>() / DAEMONS as f64)
        .collect();
    let mean_variance = levels.iter().map(|level| variance(level)).sum::<f64>() / DAEMONS as f64;
    let ratio = DAEMONS as f64 * variance(&mean_levels) / mean_variance;
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
