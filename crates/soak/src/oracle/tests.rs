//! Each check must find the violation that it is for, and nothing else.

use std::time::{Duration, Instant};

use adapter::standin::ReceivedResponse;
use policy::organisation::{Organisation, Quota};

use super::{
    Arrival, Call, CallEnd, Disturbance, DisturbanceKind, Guarantee, Oracle, RateLimit, RetryBudget,
};
use crate::stall::Stall;

const RETRY_BUDGET: RetryBudget = RetryBudget {
    ratio: 0.2,
    slack: 3.0,
    window: Duration::from_secs(10),
};

const DRAIN_LIMIT: Duration = Duration::from_secs(2);

fn call(sent_at: Instant, non_idempotent: bool) -> Call {
    Call {
        vm: 0,
        service: "shop",
        non_idempotent,
        max_attempts: 2,
        timeout: Duration::from_secs(1),
        key: None,
        needs_key: true,
        is_measured: true,
        sent_at,
        end: None,
    }
}

fn arrival(at: Instant, ran: bool) -> Arrival {
    Arrival {
        at,
        vm: 1,
        service: "shop",
        instance: "i-1".to_owned(),
        organisation: None,
        has_key: false,
        ran,
    }
}

fn response(status: u16, signed: bool) -> CallEnd {
    CallEnd::Response(ReceivedResponse {
        status,
        id: None,
        signed,
    })
}

fn violated(oracle: &Oracle) -> Vec<Guarantee> {
    let violations = oracle.check(RETRY_BUDGET, DRAIN_LIMIT);
    violations
        .iter()
        .map(|violation| violation.guarantee)
        .collect()
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn finds_runs_beyond_those_allowed() {
    let start = Instant::now();
    for (non_idempotent, runs, expected) in [
        (true, 1, vec![]),
        (true, 2, vec![Guarantee::Once]),
        (false, 2, vec![]),
        (false, 3, vec![Guarantee::Attempts]),
    ] {
        let mut oracle = Oracle::default();
        oracle.record_call("a", call(start, non_idempotent));
        for index in 0..runs {
            oracle.record_arrival("a", arrival(start + ms(index), true));
        }
        oracle.record_end("a", start + ms(9), response(200, true));
        assert_eq!(violated(&oracle), expected, "{non_idempotent} {runs}");
    }
}

#[test]
fn finds_a_run_of_a_call_reported_as_not_run() {
    let start = Instant::now();
    for (status, ran, expected) in [
        (503, true, vec![Guarantee::NotRun]),
        (429, true, vec![Guarantee::NotRun]),
        (503, false, vec![]),
        (502, true, vec![]),
    ] {
        let mut oracle = Oracle::default();
        oracle.record_call("a", call(start, true));
        oracle.record_arrival("a", arrival(start, ran));
        oracle.record_end("a", start + ms(5), response(status, false));
        assert_eq!(violated(&oracle), expected, "{status} {ran}");
    }
}

#[test]
fn finds_a_run_at_another_service() {
    let start = Instant::now();
    let mut oracle = Oracle::default();
    let mut stock_call = call(start, true);
    stock_call.service = "stock";
    oracle.record_call("a", stock_call);
    oracle.record_arrival("a", arrival(start, true));
    oracle.record_end("a", start + ms(5), response(200, true));
    assert_eq!(violated(&oracle), [Guarantee::Routed]);
}

#[test]
fn a_lost_response_is_a_violation_unless_a_fault_excuses_it() {
    let start = Instant::now() + Duration::from_mins(1);
    let disturbance = |kind, from: Instant| Disturbance {
        vm: 2,
        kind,
        from,
        until: from + ms(100),
    };
    let long_ago = start.checked_sub(Duration::from_secs(20)).unwrap();
    for (ran, after, excuse, expected) in [
        (true, 50, None, vec![Guarantee::Lost]),
        (false, 900, None, vec![Guarantee::Lost]),
        (false, 50, None, vec![]),
        (
            true,
            50,
            Some(disturbance(DisturbanceKind::Planned, start)),
            vec![Guarantee::Lost],
        ),
        (
            true,
            50,
            Some(disturbance(DisturbanceKind::Fault, long_ago)),
            vec![Guarantee::Lost],
        ),
        (
            true,
            50,
            Some(disturbance(DisturbanceKind::Fault, start)),
            vec![],
        ),
        (
            true,
            50,
            Some(disturbance(DisturbanceKind::Endpoint, start)),
            vec![],
        ),
    ] {
        let mut oracle = Oracle::default();
        oracle.record_call("a", call(start, false));
        if ran {
            oracle.record_arrival("a", arrival(start, true));
        }
        oracle.record_end("a", start + ms(after), CallEnd::Closed);
        if let Some(disturbance) = excuse.clone() {
            oracle.record_disturbance(disturbance);
        }
        assert_eq!(violated(&oracle), expected, "{ran} {after} {excuse:?}");
    }
}

#[test]
fn finds_late_responses_after_timeouts() {
    let start = Instant::now();
    for (late, timely, expected) in [
        (8, 0, vec![Guarantee::Held]),
        (7, 0, vec![]),
        (8, 40, vec![]),
    ] {
        let mut oracle = Oracle::default();
        for number in 0..late {
            // One half gets a late response, the other half none.
            let id = format!("late-{number}");
            oracle.record_call(&id, call(start, false));
            if number % 2 == 0 {
                oracle.record_end(&id, start + ms(1_600), response(504, false));
            }
        }
        for number in 0..timely {
            let id = format!("timely-{number}");
            oracle.record_call(&id, call(start, false));
            oracle.record_end(&id, start + ms(1_100), response(504, false));
        }
        assert_eq!(violated(&oracle), expected, "{late} {timely}");
    }
}

#[test]
fn finds_retries_beyond_the_budget() {
    let start = Instant::now() + Duration::from_mins(1);
    for (retries, nested_retries, expected) in [
        (7, 0, vec![]),
        (8, 0, vec![Guarantee::Budget]),
        (0, 7, vec![]),
        (0, 8, vec![Guarantee::Budget]),
    ] {
        let mut oracle = Oracle::default();
        for number in 0..20 {
            let id = format!("a-{number}");
            let sent = start + ms(number);
            oracle.record_call(&id, call(sent, false));
            oracle.record_end(&id, sent + ms(5), response(200, true));
            oracle.record_arrival(&id, arrival(sent, true));
            if number < retries {
                oracle.record_arrival(&id, arrival(start + ms(100), true));
            }
            if number < nested_retries {
                // A nested call of a retried execution is a retry although it arrives once.
                oracle.record_arrival(&format!("{id}.r0"), arrival(start + ms(100), true));
            }
        }
        assert_eq!(violated(&oracle), expected, "{retries} {nested_retries}");
    }
}

#[test]
fn finds_a_call_at_an_endpoint_after_its_drain_limit() {
    let start = Instant::now() + Duration::from_mins(1);
    for (after, disturbed, expected) in [
        (1_900, false, vec![]),
        (2_100, false, vec![Guarantee::Drained]),
        (2_100, true, vec![]),
    ] {
        let mut oracle = Oracle::default();
        oracle.record_leaving("i-1", start);
        oracle.record_call("a", call(start + ms(after), false));
        oracle.record_arrival("a", arrival(start + ms(after), true));
        oracle.record_end("a", start + ms(after + 5), response(200, true));
        if disturbed {
            oracle.record_disturbance(Disturbance {
                vm: 1,
                kind: DisturbanceKind::Fault,
                from: start,
                until: start + ms(10),
            });
        }
        assert_eq!(violated(&oracle), expected, "{after} {disturbed}");
    }
}

#[test]
fn finds_service_that_does_not_recover() {
    let start = Instant::now() + Duration::from_mins(1);
    let window = |from| (start + ms(from), start + ms(from + 1_000));
    for (lost, stall, expected) in [(4, None, false), (9, None, true), (9, Some(5_500), false)] {
        let mut oracle = Oracle::default();
        for number in 0..100 {
            for (id, from) in [(format!("a-{number}"), 0), (format!("b-{number}"), 5_000)] {
                let sent = start + ms(from + number);
                oracle.record_call(&id, call(sent, false));
                let status = if from > 0 && number < lost { 504 } else { 200 };
                oracle.record_end(&id, sent + ms(5), response(status, status == 200));
            }
        }
        oracle.record_stalls(Vec::from_iter(stall.map(|at| Stall {
            from: start + ms(at),
            until: start + ms(at + 200),
        })));
        let violation = oracle.check_recovery(window(0), window(5_000));
        assert_eq!(violation.is_some(), expected, "{lost} {stall:?}");
    }
}

#[test]
fn time_bounds_do_not_apply_while_the_machine_stalls() {
    for stalled in [false, true] {
        let mut oracle = Oracle::default();
        let since = Instant::now();
        oracle.record_timing_violation(Guarantee::Ended, "late".to_owned(), since);
        oracle.record_violation(Guarantee::Whole, "short".to_owned());
        if stalled {
            oracle.record_stalls(vec![Stall {
                from: since,
                until: Instant::now() + ms(1),
            }]);
        }
        let expected = if stalled {
            vec![Guarantee::Whole]
        } else {
            vec![Guarantee::Whole, Guarantee::Ended]
        };
        assert_eq!(violated(&oracle), expected);
    }
}

/// Guards against an excess over a stated rate limit that goes unnoticed, and against counting the
/// calls before the limit binds.
#[test]
fn calls_beyond_a_stated_rate_limit_are_violations() {
    let start = Instant::now();
    let checked = |first: Duration, interval: Duration| {
        let mut oracle = Oracle::default();
        for index in 0..40_u32 {
            let at = start + first + interval * index;
            oracle.record_arrival(&format!("c{index}"), arrival(at, true));
        }
        oracle.record_rate_limit(RateLimit {
            instance: "i-1".to_owned(),
            limit: 5.0,
            from: start,
            until: start + ms(9_000),
        });
        violated(&oracle)
    };
    assert_eq!(checked(ms(3_000), ms(100)), [Guarantee::Limited]);
    assert_eq!(checked(ms(3_000), ms(150)), []);
    assert_eq!(checked(Duration::ZERO, ms(50)), []);
}

/// Records a key, and the run of a call at an endpoint that was told an organisation.
fn record_run(
    id: &str,
    times: (Instant, Instant),
    key: Option<&str>,
    told: Option<&str>,
    oracle: &mut Oracle,
) {
    let quota = Some(Quota {
        rate: 10.0,
        burst: 10.0,
    });
    let organisation = Organisation {
        name: "fjord".into(),
        rank: None,
        quota,
    };
    oracle.record_keys(&[(organisation, vec!["key".to_owned()])]);
    let key = key.map(str::to_owned);
    oracle.record_call(
        id,
        Call {
            key,
            ..call(times.0, false)
        },
    );
    let organisation = told.map(str::to_owned);
    oracle.record_arrival(
        id,
        Arrival {
            organisation,
            ..arrival(times.1, true)
        },
    );
    oracle.record_end(id, times.1 + ms(1), response(200, true));
}

#[test]
fn finds_runs_with_a_wrong_organisation_or_without_a_valid_key() {
    use Guarantee::{Attributed, Authorised};
    let start = Instant::now();
    let (known, fjord, moor) = (Some("key"), Some("fjord"), Some("moor"));
    // The parent of the nested call runs from 0 to 10 ms; later a nested call may be anonymous.
    for (key, told, nested_at, nested, expected) in [
        (known, fjord, 5, fjord, vec![]),
        (known, None, 5, fjord, vec![Attributed]),
        (known, moor, 5, fjord, vec![Attributed]),
        (known, fjord, 5, None, vec![Attributed]),
        (known, fjord, 20, None, vec![]),
        (known, fjord, 20, moor, vec![Attributed]),
        (None, None, 5, None, vec![Authorised; 2]),
        (Some("other"), None, 5, None, vec![Authorised; 2]),
    ] {
        let mut oracle = Oracle::default();
        record_run("a", (start, start + ms(9)), key, told, &mut oracle);
        record_run(
            "a.0",
            (start, start + ms(nested_at)),
            None,
            nested,
            &mut oracle,
        );
        assert_eq!(
            violated(&oracle),
            expected,
            "{key:?} {told:?} {nested_at} {nested:?}"
        );
    }
}

#[test]
fn finds_a_key_that_reached_an_endpoint() {
    for (has_key, expected) in [(true, vec![Guarantee::Confidential]), (false, vec![])] {
        let mut oracle = Oracle::default();
        oracle.record_call("a", call(Instant::now(), false));
        oracle.record_arrival(
            "a",
            Arrival {
                has_key,
                ..arrival(Instant::now(), false)
            },
        );
        oracle.record_end("a", Instant::now(), response(502, false));
        assert_eq!(violated(&oracle), expected);
    }
}

/// The bound is (10 x 5 + 10) x 1.1 + 20 = 86 runs in 5 s.
#[test]
fn finds_runs_beyond_a_quota() {
    let start = Instant::now();
    for (count, spacing, delay, is_violated) in [
        (86, 1, 1, false),
        (87, 1, 1, true),
        (87, 1, 5_000, false),
        (200, 70, 1, false),
    ] {
        let mut oracle = Oracle::default();
        for index in 0..count {
            let sent = start + ms(index * spacing);
            let (id, ran) = (format!("a-{index}"), sent + ms(delay));
            record_run(&id, (sent, ran), Some("key"), Some("fjord"), &mut oracle);
            // Nested calls do not count.
            record_run(
                &format!("{id}.0"),
                (sent, ran),
                None,
                Some("fjord"),
                &mut oracle,
            );
        }
        let found = violated(&oracle).contains(&Guarantee::Quota);
        assert_eq!(found, is_violated, "{count} {spacing} {delay}");
    }
}
