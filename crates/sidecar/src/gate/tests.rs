//! Guards against a gate that admits calls although its endpoint is leaving, its daemon is stopping
//! or the calls are for another instance, against cancelled calls whose outcome is not reported,
//! and against a retry budget that nested calls fill or that retries exceed.

use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::clock::Clock;
use policy::fleet::State;
use policy::retry::RetryBound;
use rstest::rstest;
use tokio::task::LocalSet;

use super::{Deadline, Outcome};
use crate::daemon::Daemon;
use crate::frame::{CallHistory, NotRun};
use crate::testing::{OutcomeReceiver, announcement, daemon, job};

fn submit(daemon: &Rc<Daemon>, instance: &str) -> OutcomeReceiver {
    let (job, receiver) = job(daemon, "a", instance);
    daemon.gate.submit(daemon, job);
    receiver
}

fn announce(daemon: &Rc<Daemon>, instance: &str, started_ms: u64, state: State) {
    let announcement = announcement(instance, started_ms, 1, state);
    daemon.gate.apply_announcement(daemon, announcement);
}

fn refusal(receiver: &mut OutcomeReceiver) -> Option<NotRun> {
    match receiver.try_recv() {
        Ok((Outcome::NotRun(reason), _)) => Some(reason),
        _ => None,
    }
}

#[tokio::test]
async fn calls_for_another_instance_are_refused() {
    LocalSet::new()
        .run_until(async {
            let (daemon, _) = daemon();
            assert_eq!(refusal(&mut submit(&daemon, "i-1")), Some(NotRun::Unknown));
            announce(&daemon, "i-2", 2, State::Ready);
            assert_eq!(refusal(&mut submit(&daemon, "i-1")), Some(NotRun::Unknown));
            assert_eq!(refusal(&mut submit(&daemon, "i-2")), None);
        })
        .await;
}

#[tokio::test]
async fn calls_to_a_leaving_endpoint_are_refused_before_the_drain_bound() {
    LocalSet::new()
        .run_until(async {
            let (daemon, clock) = daemon();
            announce(&daemon, "i-1", 1, State::Ready);
            let leaves = announcement("i-1", 1, 2, State::Draining);
            daemon.gate.apply_announcement(&daemon, leaves);
            assert_eq!(refusal(&mut submit(&daemon, "i-1")), None);
            clock.advance(Duration::from_secs(1));
            assert_eq!(refusal(&mut submit(&daemon, "i-1")), Some(NotRun::Leaving));
        })
        .await;
}

#[tokio::test]
async fn a_heartbeat_after_a_departure_does_not_admit_calls_again() {
    LocalSet::new()
        .run_until(async {
            let (daemon, clock) = daemon();
            announce(&daemon, "i-1", 1, State::Ready);
            assert!(daemon.gate.apply_departure(&daemon, "i-1", Some(1)));
            clock.advance(Duration::from_secs(1));
            daemon
                .gate
                .apply_announcement(&daemon, announcement("i-1", 1, 2, State::Ready));
            assert_eq!(refusal(&mut submit(&daemon, "i-1")), Some(NotRun::Leaving));
        })
        .await;
}

/// Guards against a daemon that starts while the store is unreachable, acknowledges that its
/// endpoint leaves and then takes over the store entry in which it is ready (DRAIN on
/// hunt-48fb-19).
#[rstest]
#[case::the_same_start(5, Some(5), State::Gone)]
#[case::an_earlier_start(4, Some(5), State::Gone)]
#[case::a_later_start_under_the_same_id(6, Some(5), State::Ready)]
#[case::a_departure_without_a_start(0, None, State::Gone)]
#[tokio::test]
async fn a_departure_before_the_announcement_is_remembered(
    #[case] started_ms: u64,
    #[case] departed: Option<u64>,
    #[case] expected: State,
) {
    LocalSet::new()
        .run_until(async {
            let (daemon, clock) = daemon();
            assert!(!daemon.gate.apply_departure(&daemon, "i-1", departed));
            clock.advance(Duration::from_secs(2));
            announce(&daemon, "i-1", started_ms, State::Ready);
            assert_eq!(daemon.gate.announcement().unwrap().state, expected);
            let refused = refusal(&mut submit(&daemon, "i-1"));
            let leaving = (expected == State::Gone).then_some(NotRun::Leaving);
            assert_eq!(refused, leaving);
        })
        .await;
}

/// Guards against a restarted daemon that counts the drain bound of a leaving endpoint from its own
/// start.
#[tokio::test]
async fn calls_to_an_endpoint_that_left_before_the_start_are_refused() {
    LocalSet::new()
        .run_until(async {
            let (daemon, _) = daemon();
            announce(&daemon, "i-1", 1, State::Draining);
            assert_eq!(refusal(&mut submit(&daemon, "i-1")), Some(NotRun::Leaving));
            announce(&daemon, "i-2", 2, State::Ready);
            assert_eq!(refusal(&mut submit(&daemon, "i-2")), None);
        })
        .await;
}

#[tokio::test]
async fn a_stopping_daemon_refuses_calls_to_its_endpoint() {
    LocalSet::new()
        .run_until(async {
            let (daemon, clock) = daemon();
            announce(&daemon, "i-1", 1, State::Ready);
            daemon.stop();
            clock.advance(Duration::from_millis(500));
            assert_eq!(refusal(&mut submit(&daemon, "i-1")), Some(NotRun::Leaving));
        })
        .await;
}

#[tokio::test]
async fn a_cancelled_queued_call_is_reported_as_not_run() {
    LocalSet::new()
        .run_until(async {
            let (daemon, _) = daemon();
            announce(&daemon, "i-1", 1, State::Ready);
            let _running = submit(&daemon, "i-1");
            let mut waiting = submit(&daemon, "i-1");
            daemon.gate.cancel(&daemon, 2);
            assert_eq!(refusal(&mut waiting), Some(NotRun::Cancelled));
        })
        .await;
}

/// Guards against a VM that was suspended and passes on more time than its callers have left: the
/// clock of timers stands still during the suspension.
#[rstest]
#[case::both_clocks_run(400, 400, 600)]
#[case::the_vm_was_suspended(100, 700, 300)]
#[case::nothing_is_left_after_it(100, 2_000, 0)]
fn time_left_follows_the_clock_with_less_time_left(
    #[case] passed: u64,
    #[case] passed_boot: u64,
    #[case] expected: u64,
) {
    let start = Instant::now();
    let boot = Duration::from_hours(1);
    let ms = Duration::from_millis;
    let deadline = Deadline {
        at: start + ms(1_000),
        boot: boot + ms(1_000),
    };
    let left = deadline.left(start + ms(passed), boot + ms(passed_boot));
    assert_eq!(left, ms(expected));
}

/// A bound under which each call of a client allows a retry, and nothing else does.
const BOUND: RetryBound = RetryBound {
    ratio: 10.0,
    slack: 0.0,
    window: Duration::from_secs(10),
};

fn submit_as(daemon: &Rc<Daemon>, nested: bool, history: CallHistory) -> OutcomeReceiver {
    let (mut job, receiver) = job(daemon, "a", "i-1");
    job.call.kind.nested = nested;
    job.call.history = history;
    daemon.gate.submit(daemon, job);
    receiver
}

const RETRY: CallHistory = CallHistory {
    offered: true,
    retry: true,
    of_retry: false,
    returned: false,
};

/// Guards against nested calls that add to the retry budget: the operators' bound counts calls of
/// clients only.
#[tokio::test]
async fn nested_calls_do_not_add_to_the_retry_budget() {
    LocalSet::new()
        .run_until(async {
            let (daemon, _) = daemon();
            daemon.gate.set_retry_bound(BOUND);
            announce(&daemon, "i-1", 1, State::Ready);
            submit_as(&daemon, true, CallHistory::default());
            let mut retry = submit_as(&daemon, false, RETRY);
            assert_eq!(refusal(&mut retry), Some(NotRun::Budget));
            submit_as(&daemon, false, CallHistory::default());
            let mut retry = submit_as(&daemon, false, RETRY);
            assert_eq!(refusal(&mut retry), None);
            let mut another = submit_as(&daemon, false, RETRY);
            assert_eq!(refusal(&mut another), Some(NotRun::Budget));
        })
        .await;
}

/// Guards against a call that counts twice because a gate that refused it and the next one both
/// count it, and against nested calls of a retried run that are free.
#[tokio::test]
async fn offered_calls_and_calls_of_retries_do_not_fill_the_budget() {
    LocalSet::new()
        .run_until(async {
            let (daemon, _) = daemon();
            daemon.gate.set_retry_bound(BOUND);
            announce(&daemon, "i-1", 1, State::Ready);
            let offered = CallHistory {
                offered: true,
                ..CallHistory::default()
            };
            submit_as(&daemon, false, offered);
            let mut retry = submit_as(&daemon, false, RETRY);
            assert_eq!(refusal(&mut retry), Some(NotRun::Budget));
            submit_as(&daemon, false, CallHistory::default());
            let of_retry = CallHistory {
                of_retry: true,
                ..CallHistory::default()
            };
            submit_as(&daemon, true, of_retry);
            let mut retry = submit_as(&daemon, false, RETRY);
            assert_eq!(refusal(&mut retry), Some(NotRun::Budget));
        })
        .await;
}

/// Guards against a very large rank that counts as the most urgent one after an overflow.
#[tokio::test]
async fn the_largest_rank_is_the_least_urgent_one() {
    LocalSet::new()
        .run_until(async {
            let (daemon, clock) = daemon();
            announce(&daemon, "i-1", 1, State::Ready);
            let _running = submit(&daemon, "i-1");
            let mut waiting = Vec::new();
            for rank in [1 << 31, u32::MAX, 1] {
                let (mut job, receiver) = job(&daemon, "a", "i-1");
                job.call.kind.rank = rank;
                daemon.gate.submit(&daemon, job);
                waiting.push(receiver);
            }
            let mut queue = daemon.gate.queue.borrow_mut();
            queue.finish(Duration::from_millis(1));
            let (_, next) = queue.start_next(clock.now()).unwrap();
            assert_eq!(next.call.kind.rank, 1);
        })
        .await;
}
