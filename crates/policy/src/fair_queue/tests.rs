//! Guards against organisations that get more than an equal share of the slots while others wait,
//! and against orders and refusals that this must not change.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use proptest::collection::vec;
use proptest::prelude::*;

use super::{FairQueue, MAX_RANKS};
use crate::organisation::MAX_TRACKED;
use crate::queue::{EndpointQueue, EnqueueOutcome, QueuedCall};

const MS: Duration = Duration::from_millis(1);

/// A call of an organisation that takes 10 ms.
fn call(now: Instant, organisation: &str, deadline: u32) -> QueuedCall<String> {
    QueuedCall {
        rank: 1,
        remaining: Duration::ZERO,
        deadline: now + MS * deadline,
        min_time: MS * 5,
        organisation: Some(organisation.into()),
        cost: MS * 10,
        call: organisation.to_owned(),
    }
}

/// A queue with one slot, which is taken, and a hold time of 10 ms.
fn busy(now: Instant) -> EndpointQueue<String> {
    let mut queue = EndpointQueue::new(1);
    for _ in 0..200 {
        queue.enqueue(now, call(now, "first", 1_000));
        queue.finish(MS * 10);
    }
    queue.enqueue(now, call(now, "first", 1_000));
    queue
}

fn add(queue: &mut EndpointQueue<String>, now: Instant, calls: &[(&str, u32, usize)]) {
    for (organisation, deadline, count) in calls {
        for _ in 0..*count {
            let outcome = queue.enqueue(now, call(now, organisation, *deadline));
            assert!(matches!(outcome, EnqueueOutcome::Waiting(_)), "{outcome:?}");
        }
    }
}

/// Returns the organisations in the order in which their calls start.
fn order(queue: &mut EndpointQueue<String>, now: Instant, count: usize) -> String {
    let starts = (0..count).map(|_| {
        queue.finish(MS * 10);
        queue.start_next(now).unwrap_or_default()
    });
    starts.collect()
}

#[test]
fn a_small_organisation_goes_next_and_a_large_one_takes_the_rest() {
    let now = Instant::now();
    let mut queue = busy(now);
    add(
        &mut queue,
        now,
        &[("a", 900, 6), ("b", 950, 2), ("c", 999, 1)],
    );
    assert_eq!(order(&mut queue, now, 9), "abcabaaaa");
}

/// Guards against an organisation that saves up a share while it is idle and then keeps all others
/// waiting.
#[test]
fn idle_time_gives_no_credit() {
    let now = Instant::now();
    let mut queue = busy(now);
    add(&mut queue, now, &[("a", 900, 40)]);
    assert_eq!(order(&mut queue, now, 20), "a".repeat(20));
    add(&mut queue, now, &[("b", 950, 10)]);
    assert_eq!(order(&mut queue, now, 8), "babababa");
}

#[test]
fn organisations_with_longer_calls_start_fewer() {
    let now = Instant::now();
    let mut queue = busy(now);
    for _ in 0..6 {
        let mut long = call(now, "l", 900);
        long.cost = MS * 30;
        queue.enqueue(now, long);
        queue.enqueue(now, call(now, "s", 950));
    }
    assert_eq!(order(&mut queue, now, 8), "lssslsss");
}

/// Guards against new chains that starve work already begun, and against nested calls that are held
/// back for what the new chains of their organisation have used.
#[test]
fn nested_calls_go_first_and_share_among_themselves() {
    let now = Instant::now();
    let mut queue = busy(now);
    add(&mut queue, now, &[("b", 900, 3), ("a", 950, 1)]);
    for name in ["A", "A", "B"] {
        let mut nested = call(now, name, 990);
        nested.rank = 0;
        nested.organisation = Some(name.to_lowercase().into());
        queue.enqueue(now, nested);
    }
    assert_eq!(order(&mut queue, now, 7), "ABAbabb");
}

#[test]
fn within_an_organisation_remaining_time_and_deadline_decide() {
    let now = Instant::now();
    let mut queue = busy(now);
    for (remaining, deadline, name) in [(60, 300, "3"), (0, 900, "2"), (0, 400, "1")] {
        let mut queued = call(now, "a", deadline);
        queued.remaining = MS * remaining;
        name.clone_into(&mut queued.call);
        queue.enqueue(now, queued);
    }
    assert_eq!(order(&mut queue, now, 3), "123");
}

/// Guards against a newcomer that is refused because of calls that will go after it, and against a
/// queue that keeps more calls than it can serve.
#[test]
fn the_organisation_with_the_longest_queue_loses_a_call_instead_of_the_newcomer() {
    let now = Instant::now();
    let mut queue = busy(now);
    let mut accepted = 0;
    while let EnqueueOutcome::Waiting(_) = queue.enqueue(now, call(now, "large", 200)) {
        accepted += 1;
    }
    assert!((17..=20).contains(&accepted), "{accepted}");
    add(&mut queue, now, &[("small", 200, 1), ("medium", 200, 3)]);
    assert_eq!(queue.expire(now), ["large"; 4]);
    assert_eq!(queue.waiting(), accepted);
}

/// Guards against slots that stay free because the organisation whose turn it is has no call that
/// can still be served.
#[test]
fn a_call_that_is_late_does_not_keep_others_waiting() {
    let now = Instant::now();
    let mut queue = busy(now);
    add(&mut queue, now, &[("a", 40, 1), ("b", 900, 1)]);
    assert_eq!(order(&mut queue, now + MS * 50, 1), "b");
}

#[test]
fn tags_of_idle_organisations_and_unused_ranks_are_forgotten() {
    let mut queue: FairQueue<String> = FairQueue::default();
    for number in 0..2 * MAX_TRACKED {
        let name = number.to_string().into();
        queue.charge(1, Some(&name), MS);
    }
    assert_eq!(queue.idle.len(), MAX_TRACKED);
    for rank in 0..1_000 {
        queue.charge(rank, None, MS);
    }
    assert_eq!(queue.ranks.len(), MAX_RANKS);
    assert!(queue.idle.len() <= MAX_TRACKED);
}

/// Guards against a wait that leaves out the calls of others that arrive later and go ahead, after
/// which calls start so late that their work is wasted.
#[test]
fn the_wait_of_a_long_queue_accounts_for_calls_that_will_go_ahead() {
    let mut now = Instant::now();
    let mut queue = busy(now);
    add(&mut queue, now, &[("large", 900, 60)]);
    for _ in 0..30 {
        queue.enqueue(now, call(now, "small", 900));
        now += MS * 10;
        order(&mut queue, now, 1);
        queue.expire(now);
    }
    // Half of the slot time is left to it, so 30 calls take the 600 ms until their deadline. The
    // margin on the pace keeps fewer.
    let left = queue.clear().iter().filter(|name| *name == "large").count();
    assert!((15..=30).contains(&left), "{left}");
}

#[test]
fn a_new_process_shares_equally_from_its_first_call() {
    let now = Instant::now();
    let mut queue = EndpointQueue::new(1);
    queue.enqueue(now, call(now, "a", 900));
    add(&mut queue, now, &[("a", 900, 4), ("b", 950, 4)]);
    assert_eq!(order(&mut queue, now, 8), "abababab");
}

/// Guards against waits that are derived from a time in which the endpoint or the VM stood still.
#[test]
fn after_a_pause_calls_are_not_refused_for_the_time_of_the_pause() {
    let mut now = Instant::now();
    let mut queue = busy(now);
    add(&mut queue, now, &[("a", 20_000, 30), ("b", 20_000, 30)]);
    for _ in 0..20 {
        now += MS * 10;
        order(&mut queue, now, 1);
    }
    now += MS * 5_000;
    order(&mut queue, now, 2);
    assert_eq!(queue.expire(now).len(), 0);
    assert_eq!(queue.waiting(), 38);
}

/// Guards against an organisation that is held back in one rank for what it used in another, after
/// a configuration has changed its rank.
#[test]
fn an_organisation_with_another_rank_starts_like_the_others() {
    let now = Instant::now();
    let mut queue = busy(now);
    add(&mut queue, now, &[("a", 900, 20), ("b", 950, 1)]);
    order(&mut queue, now, 21);
    for name in ["a", "b", "a", "b"] {
        let mut queued = call(now, name, 900);
        queued.rank = 5;
        queue.enqueue(now, queued);
    }
    assert_eq!(order(&mut queue, now, 4), "abab");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against calls that are lost, run twice or wait beside a free slot.
    #[test]
    fn each_call_leaves_the_queue_once(
        steps in vec((0..8_u32, 0..6_u32, 0..3_u32, 10..400_u32, 0..60_u32), 1..300)
    ) {
        let mut now = Instant::now();
        let mut queue = EndpointQueue::new(3);
        let (mut waiting, mut ids) = (HashSet::new(), Vec::new());
        for (number, (step, organisation, rank, deadline, cost)) in steps.into_iter().enumerate() {
            let name = number.to_string();
            match step {
                0..=3 => {
                    let mut queued = call(now, &organisation.to_string(), deadline);
                    (queued.rank, queued.cost) = (rank, MS * cost);
                    queued.organisation = queued.organisation.filter(|_| organisation > 0);
                    queued.call.clone_from(&name);
                    if let EnqueueOutcome::Waiting(id) = queue.enqueue(now, queued) {
                        waiting.insert(name);
                        ids.push(id);
                    }
                }
                4 | 5 => queue.finish(MS * cost),
                6 => now += MS * cost,
                _ => {
                    let cancelled = ids.pop().and_then(|id| queue.cancel(id));
                    let left = queue.expire(now).into_iter().chain(cancelled);
                    for name in left {
                        prop_assert!(waiting.remove(&name));
                    }
                }
            }
            while let Some(name) = queue.start_next(now) {
                prop_assert!(waiting.remove(&name));
            }
            prop_assert_eq!(queue.waiting(), waiting.len());
        }
        for name in queue.clear() {
            prop_assert!(waiting.remove(&name));
        }
        prop_assert!(waiting.is_empty());
        prop_assert_eq!(queue.waiting(), 0);
    }
}
