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

/// Guards against calls that stay in a window too long, or that leave the long one with the short.
#[rstest]
#[case(0, 5.0, 5.0)]
#[case(299, 5.0, 5.0)]
#[case(330, 0.0, 5.0)]
#[case(3_599, 0.0, 5.0)]
fn windows_slide(#[case] later: u64, #[case] short: f64, #[case] long: f64) {
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

/// Guards against rows of the past that never leave.
#[test]
fn silent_rows_leave_after_the_long_window() {
    let start = Instant::now();
    let mut meter = BurnMeter::new(start);
    meter.record(&class("rosas"), Outcome::Late, start);
    assert_eq!(meter.report(start + LONG_WINDOW + STEP), Report::default());
}

/// Guards against memory that grows with the number of customer names a caller makes up, and
/// against names that occupy the table after they fell silent.
#[test]
fn customers_are_bounded() {
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
        .expect("row of the rest");
    assert_eq!(other.long.counts.good, MAX_CUSTOMERS as u64 + 1);

    let later = start + LONG_WINDOW + STEP;
    meter.record(&class("new"), Outcome::Good, later);
    assert_eq!(meter.report(later).customers[0].name, "new");
}

/// Guards against calls that are lost or counted twice when the ring wraps: both windows are
/// compared with a list of all calls.
#[test]
fn ring_agrees_with_a_list_of_calls() {
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
            list.push((time / STEP.as_secs(), outcome));
            let report = meter.report(start + secs(time));
            let now = time / STEP.as_secs();
            for (window, length) in [
                (&report.kinds[0].short, SHORT_BUCKETS),
                (&report.ranks[0].long, BUCKETS as u64),
            ] {
                let mut counts = Counts::default();
                for (step, outcome) in &list {
                    if now - step < length {
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
