use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

use super::*;

fn rules() -> RuleSet {
    let kind = crate::rule::KindRule {
        name: "booking".into(),
        service: "despacho".into(),
        method: None,
        path: None,
        rank: 0,
        deadline_ms: 800,
        floor_percent: 0,
        extra_attempts: 0,
        idempotent: false,
        target_percent: 90.0,
    };
    RuleSet::new(1).with_lines(vec![crate::rule::RuleLine {
        line: 1,
        asked_by: "asked by Ana".into(),
        rule: crate::rule::Rule::Kind(kind),
    }])
}

fn class(customer: &str) -> Class {
    rules().classify("despacho", "POST", "/", customer)
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Guards against calls that count in a window for too long, or leave the long window with the
/// short.
#[rstest]
#[case(0, 5.0, 5.0)]
#[case(299, 5.0, 5.0)]
#[case(330, 0.0, 5.0)]
#[case(3_599, 0.0, 5.0)]
fn calls_expire_from_each_window(#[case] later: u64, #[case] short: f64, #[case] long: f64) {
    let start = Instant::now();
    let mut meter = BurnMeter::new(start).with_rules(&rules());
    meter.record(&class("rosas"), Outcome::Good, start);
    meter.record(&class("rosas"), Outcome::Refused, start);
    let report = meter.report(start + secs(later));
    let row = &report.kinds[0];
    assert!(
        (row.short.burn - short).abs() < 1e-9,
        "short {}",
        row.short.burn
    );
    assert!(
        (row.long.burn - long).abs() < 1e-9,
        "long {}",
        row.long.burn
    );
}

/// Guards against rows that stay in the report after their last calls have expired.
#[test]
fn rows_without_recent_calls_are_omitted() {
    let start = Instant::now();
    let mut meter = BurnMeter::new(start);
    meter.record(&class("rosas"), Outcome::Late, start);
    assert_eq!(
        meter.report(start + LONG_WINDOW + BUCKET_LENGTH),
        Report::default()
    );
}

/// Guards against memory that grows with the number of made-up customer names, and against names
/// without recent calls that keep their place in a full table.
#[test]
fn customer_rows_are_bounded() {
    let start = Instant::now();
    let mut meter = BurnMeter::new(start);
    for name in 0..2 * MAX_CUSTOMERS {
        meter.record(&class(&name.to_string()), Outcome::Good, start);
    }
    meter.record(&class(OTHER_NAME), Outcome::Good, start);
    let rows = meter.report(start).customers;
    assert_eq!(rows.len(), MAX_CUSTOMERS + 1);
    let other = rows
        .iter()
        .find(|row| row.name == OTHER_NAME)
        .expect("row for all other customers");
    assert_eq!(other.long.counts.good, MAX_CUSTOMERS as u64 + 1);

    let later = start + LONG_WINDOW + BUCKET_LENGTH;
    meter.record(&class("new"), Outcome::Good, later);
    assert_eq!(meter.report(later).customers[0].name, "new");
}

/// Guards against calls that are lost or counted twice when the ring buffer wraps around: compares
/// both windows with a list of all calls.
#[test]
fn ring_buffer_agrees_with_a_list_of_calls() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(64), rng);
    let calls = prop::collection::vec((0..900_u64, 0..4_u8), 1..120);
    let check = |calls: Vec<(u64, u8)>| {
        let start = Instant::now();
        let mut meter = BurnMeter::new(start).with_rules(&rules());
        let mut list = Vec::new();
        let mut time = 0;
        for (gap, outcome) in calls {
            time += gap;
            let outcome = [
                Outcome::Good,
                Outcome::Refused,
                Outcome::Late,
                Outcome::Failed,
            ][usize::from(outcome)];
            meter.record(&class("rosas"), outcome, start + secs(time));
            list.push((time / BUCKET_LENGTH.as_secs(), outcome));
            let report = meter.report(start + secs(time));
            let now = time / BUCKET_LENGTH.as_secs();
            for (window, length) in [
                (&report.kinds[0].short, SHORT_BUCKET_COUNT),
                (&report.ranks[0].long, BUCKET_COUNT as u64),
            ] {
                let mut counts = Counts::default();
                for (index, outcome) in &list {
                    if now - index < length {
                        counts.count(*outcome);
                    }
                }
                prop_assert_eq!(window.counts, counts);
            }
        }
        Ok(())
    };
    runner
        .run(&calls, check)
        .expect("windows agree with the list");
}
