//! Each check must notice the fault that it is for, and nothing else.

use std::time::{Duration, Instant};

use adapter::standin::ReceivedResponse;

use super::{Arrival, Attempt, Budget, End, Ledger, Promise, Span, Trouble};
use crate::stall::Stall;

const BUDGET: Budget = Budget {
    ratio: 0.2,
    slack: 3.0,
    window: Duration::from_secs(10),
};

const DRAIN: Duration = Duration::from_secs(2);

fn attempt(sent: Instant, once: bool) -> Attempt {
    Attempt {
        vm: 0,
        service: "shop",
        once,
        attempts: 2,
        limit: Duration::from_secs(1),
        sent,
        end: None,
    }
}

fn arrival(at: Instant, ran: bool) -> Arrival {
    Arrival {
        at,
        vm: 1,
        service: "shop",
        instance: "i-1".to_owned(),
        ran,
    }
}

fn answered(status: u16, signed: bool) -> End {
    End::Answered(ReceivedResponse {
        status,
        id: None,
        signed,
    })
}

fn promises(ledger: &Ledger) -> Vec<Promise> {
    let violations = ledger.check(BUDGET, DRAIN);
    violations.iter().map(|seen| seen.promise).collect()
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn a_second_run_of_a_call_that_runs_once_is_noticed() {
    let start = Instant::now();
    for (once, runs, expected) in [
        (true, 1, vec![]),
        (true, 2, vec![Promise::Once]),
        (false, 2, vec![]),
        (false, 3, vec![Promise::Attempts]),
    ] {
        let mut ledger = Ledger::default();
        ledger.sent("a", attempt(start, once));
        for turn in 0..runs {
            ledger.arrived("a", arrival(start + ms(turn), true));
        }
        ledger.ended("a", start + ms(9), answered(200, true));
        assert_eq!(promises(&ledger), expected, "{once} {runs}");
    }
}

#[test]
fn a_false_refusal_is_noticed() {
    let start = Instant::now();
    for (status, ran, expected) in [
        (503, true, vec![Promise::NotRun]),
        (429, true, vec![Promise::NotRun]),
        (503, false, vec![]),
        (502, true, vec![]),
    ] {
        let mut ledger = Ledger::default();
        ledger.sent("a", attempt(start, true));
        ledger.arrived("a", arrival(start, ran));
        ledger.ended("a", start + ms(5), answered(status, false));
        assert_eq!(promises(&ledger), expected, "{status} {ran}");
    }
}

#[test]
fn a_run_at_another_service_is_noticed() {
    let start = Instant::now();
    let mut ledger = Ledger::default();
    let mut asked = attempt(start, true);
    asked.service = "stock";
    ledger.sent("a", asked);
    ledger.arrived("a", arrival(start, true));
    ledger.ended("a", start + ms(5), answered(200, true));
    assert_eq!(promises(&ledger), [Promise::Routed]);
}

#[test]
fn a_lost_answer_needs_an_excuse() {
    let start = Instant::now() + Duration::from_mins(1);
    let span = |trouble, from: Instant| Span {
        vm: 2,
        trouble,
        from,
        until: from + ms(100),
    };
    let long_ago = start.checked_sub(Duration::from_secs(20)).unwrap();
    for (ran, after, excuse, expected) in [
        (true, 50, None, vec![Promise::Lost]),
        (false, 900, None, vec![Promise::Lost]),
        (false, 50, None, vec![]),
        (
            true,
            50,
            Some(span(Trouble::Planned, start)),
            vec![Promise::Lost],
        ),
        (
            true,
            50,
            Some(span(Trouble::Fault, long_ago)),
            vec![Promise::Lost],
        ),
        (true, 50, Some(span(Trouble::Fault, start)), vec![]),
        (true, 50, Some(span(Trouble::Endpoint, start)), vec![]),
    ] {
        let mut ledger = Ledger::default();
        ledger.sent("a", attempt(start, false));
        if ran {
            ledger.arrived("a", arrival(start, true));
        }
        ledger.ended("a", start + ms(after), End::Closed);
        if let Some(span) = excuse.clone() {
            ledger.disturbed(span);
        }
        assert_eq!(promises(&ledger), expected, "{ran} {after} {excuse:?}");
    }
}

#[test]
fn time_outs_that_are_answered_late_are_noticed() {
    let start = Instant::now();
    for (late, timely, expected) in [(8, 0, vec![Promise::Held]), (7, 0, vec![]), (8, 40, vec![])] {
        let mut ledger = Ledger::default();
        for number in 0..late {
            // One half is answered too late, the other one never.
            let id = format!("late-{number}");
            ledger.sent(&id, attempt(start, false));
            if number % 2 == 0 {
                ledger.ended(&id, start + ms(1_600), answered(504, false));
            }
        }
        for number in 0..timely {
            let id = format!("timely-{number}");
            ledger.sent(&id, attempt(start, false));
            ledger.ended(&id, start + ms(1_100), answered(504, false));
        }
        assert_eq!(promises(&ledger), expected, "{late} {timely}");
    }
}

#[test]
fn repeats_beyond_the_bound_are_noticed() {
    let start = Instant::now() + Duration::from_mins(1);
    for (repeats, inherited, expected) in [
        (7, 0, vec![]),
        (8, 0, vec![Promise::Budget]),
        (0, 7, vec![]),
        (0, 8, vec![Promise::Budget]),
    ] {
        let mut ledger = Ledger::default();
        for number in 0..20 {
            let id = format!("a-{number}");
            let sent = start + ms(number);
            ledger.sent(&id, attempt(sent, false));
            ledger.ended(&id, sent + ms(5), answered(200, true));
            ledger.arrived(&id, arrival(sent, true));
            if number < repeats {
                ledger.arrived(&id, arrival(start + ms(100), true));
            }
            if number < inherited {
                // The call of a repeated run is a repeat although it arrives once.
                ledger.arrived(&format!("{id}.r0"), arrival(start + ms(100), true));
            }
        }
        assert_eq!(promises(&ledger), expected, "{repeats} {inherited}");
    }
}

#[test]
fn a_call_at_an_endpoint_that_left_is_noticed() {
    let start = Instant::now() + Duration::from_mins(1);
    for (after, disturbed, expected) in [
        (1_900, false, vec![]),
        (2_100, false, vec![Promise::Drained]),
        (2_100, true, vec![]),
    ] {
        let mut ledger = Ledger::default();
        ledger.leaves("i-1", start);
        ledger.sent("a", attempt(start + ms(after), false));
        ledger.arrived("a", arrival(start + ms(after), true));
        ledger.ended("a", start + ms(after + 5), answered(200, true));
        if disturbed {
            ledger.disturbed(Span {
                vm: 1,
                trouble: Trouble::Fault,
                from: start,
                until: start + ms(10),
            });
        }
        assert_eq!(promises(&ledger), expected, "{after} {disturbed}");
    }
}

#[test]
fn service_that_stays_away_is_noticed() {
    let start = Instant::now() + Duration::from_mins(1);
    let window = |from| (start + ms(from), start + ms(from + 1_000));
    for (lost, stall, expected) in [(4, None, false), (9, None, true), (9, Some(5_500), false)] {
        let mut ledger = Ledger::default();
        for number in 0..100 {
            for (id, from) in [(format!("a-{number}"), 0), (format!("b-{number}"), 5_000)] {
                let sent = start + ms(from + number);
                ledger.sent(&id, attempt(sent, false));
                let status = if from > 0 && number < lost { 504 } else { 200 };
                ledger.ended(&id, sent + ms(5), answered(status, status == 200));
            }
        }
        ledger.stalled(Vec::from_iter(stall.map(|at| Stall {
            from: start + ms(at),
            until: start + ms(at + 200),
        })));
        let seen = ledger.check_return(window(0), window(5_000));
        assert_eq!(seen.is_some(), expected, "{lost} {stall:?}");
    }
}

#[test]
fn a_bound_in_time_holds_while_the_machine_runs() {
    for stalled in [false, true] {
        let mut ledger = Ledger::default();
        let since = Instant::now();
        ledger.overdue(Promise::Ended, "late".to_owned(), since);
        ledger.broken(Promise::Whole, "short".to_owned());
        if stalled {
            ledger.stalled(vec![Stall {
                from: since,
                until: Instant::now() + ms(1),
            }]);
        }
        let expected = if stalled {
            vec![Promise::Whole]
        } else {
            vec![Promise::Whole, Promise::Ended]
        };
        assert_eq!(promises(&ledger), expected);
    }
}
