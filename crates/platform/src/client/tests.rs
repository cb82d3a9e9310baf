use policy::clock::ManualClock;
use rstest::rstest;
use standin::platform::{Action, Faults, NextFault, Platform, Step};
use standin::relay::Relay;

use super::*;

/// Long enough for a loaded machine; only the cases without a response wait for it.
const TIMEOUT: Duration = Duration::from_secs(2);

async fn platform() -> (Platform, Arc<ManualClock>, Client) {
    let clock = Arc::new(ManualClock::new());
    let address = "127.0.0.1:0".parse().expect("address is valid");
    let platform = Platform::start(address, Arc::clone(&clock) as _)
        .await
        .expect("port is free");
    let client = Client::new(platform.address().to_string()).with_timeout(TIMEOUT);
    (platform, clock, client)
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    Done,
    Unavailable,
    Unknown,
}

fn outcome<T>(result: &Result<T, Error>) -> Outcome {
    match result {
        Ok(_) => Outcome::Done,
        Err(Error::Unavailable { .. }) => Outcome::Unavailable,
        Err(Error::Unknown { .. }) => Outcome::Unknown,
        Err(error) => panic!("unexpected {error:?}"),
    }
}

fn fault_at(step: Step, action: Action) -> Faults {
    let next = NextFault {
        step,
        action,
        count: 1,
        only_writes: true,
    };
    Faults {
        next: Some(next),
        ..Faults::default()
    }
}

fn down() -> Faults {
    Faults {
        down: true,
        ..Faults::default()
    }
}

/// Guards against a write that is reported as without effect but took effect, a failure that
/// affects the next call too, and a write that is reported as done but was lost.
#[rstest]
#[case::none(Faults::default(), Outcome::Done, true, Outcome::Done)]
#[case::down_before_send(down(), Outcome::Unavailable, false, Outcome::Done)]
#[case::cut_after_send(
    fault_at(Step::BeforeEffect, Action::Cut),
    Outcome::Unknown,
    false,
    Outcome::Done
)]
#[case::silent_after_send(
    fault_at(Step::BeforeEffect, Action::Silence),
    Outcome::Unknown,
    false,
    Outcome::Done
)]
#[case::slow_after_send(
    fault_at(Step::BeforeEffect, Action::Slow),
    Outcome::Done,
    true,
    Outcome::Done
)]
#[case::cut_after_effect(
    fault_at(Step::AfterEffect, Action::Cut),
    Outcome::Unknown,
    true,
    Outcome::Done
)]
#[case::silent_after_effect(
    fault_at(Step::AfterEffect, Action::Silence),
    Outcome::Unknown,
    true,
    Outcome::Done
)]
#[case::slow_after_effect(
    fault_at(Step::AfterEffect, Action::Slow),
    Outcome::Done,
    true,
    Outcome::Done
)]
#[case::cut_in_response(
    fault_at(Step::InAnswer, Action::Cut),
    Outcome::Unknown,
    true,
    Outcome::Done
)]
#[case::silent_in_response(
    fault_at(Step::InAnswer, Action::Silence),
    Outcome::Unknown,
    true,
    Outcome::Done
)]
#[case::slow_in_response(
    fault_at(Step::InAnswer, Action::Slow),
    Outcome::Done,
    true,
    Outcome::Done
)]
#[case::cut_after_response(
    fault_at(Step::AfterAnswer, Action::Cut),
    Outcome::Done,
    true,
    Outcome::Unknown
)]
#[case::silent_after_response(
    fault_at(Step::AfterAnswer, Action::Silence),
    Outcome::Done,
    true,
    Outcome::Unknown
)]
#[tokio::test]
async fn outcome_of_a_write_matches_its_effect(
    #[case] faults: Faults,
    #[case] expected: Outcome,
    #[case] applied: bool,
    #[case] next_expected: Outcome,
) {
    let (platform, _, client) = platform().await;
    platform.set_faults(faults);
    let result = client.put("a", "1".into(), Some(0), None).await;
    assert_eq!(outcome(&result), expected, "{result:?}");
    if is_unavailable(&result) {
        platform.set_faults(Faults::default());
    }
    let next = client.put("b", "2".into(), None, None).await;
    assert_eq!(outcome(&next), next_expected, "{next:?}");
    let read = client.get("a").await.expect("fault has passed");
    assert_eq!(read.is_some(), applied);
    assert_eq!(platform.counts().reads, client.counters().snapshot().reads);
}

fn is_unavailable(result: &Result<Revision, Error>) -> bool {
    matches!(result, Err(Error::Unavailable { .. }))
}

/// Guards against a read that returns part of a response, and against an unresponsive connection
/// that is used for later calls.
#[rstest]
#[case::none(Faults::default(), Outcome::Done)]
#[case::down(down(), Outcome::Unavailable)]
#[case::cut_before_effect(fault_at(Step::BeforeEffect, Action::Cut), Outcome::Unavailable)]
#[case::silent_before_effect(fault_at(Step::BeforeEffect, Action::Silence), Outcome::Unavailable)]
#[case::cut_after_effect(fault_at(Step::AfterEffect, Action::Cut), Outcome::Unavailable)]
#[case::silent_after_effect(fault_at(Step::AfterEffect, Action::Silence), Outcome::Unavailable)]
#[case::cut_in_response(fault_at(Step::InAnswer, Action::Cut), Outcome::Unavailable)]
#[case::silent_in_response(fault_at(Step::InAnswer, Action::Silence), Outcome::Unavailable)]
#[tokio::test]
async fn reads_are_complete_or_fail(
    #[case] mut faults: Faults,
    #[case] expected: Outcome,
    #[values("get", "list", "watch")] call: &str,
) {
    if let Some(next) = &mut faults.next {
        next.only_writes = false;
    }
    let (platform, _, client) = platform().await;
    let client = client.with_watch_wait(Duration::ZERO);
    assert_eq!(client.put("a", "1".into(), None, None).await, Ok(1));
    platform.set_faults(faults);
    let read = async || match call {
        "get" => client.get("a").await.map(drop),
        "list" => client.list("a").await.map(drop),
        _ => client.watch("a", 0).await.map(drop),
    };
    let result = read().await;
    assert_eq!(outcome(&result), expected, "{result:?}");
    platform.set_faults(Faults::default());
    assert_eq!(read().await, Ok(()));
}

/// Guards against an idle connection that was cut or became unresponsive and fails more than one
/// call.
#[rstest]
#[case::silent(Relay::silence_open)]
#[case::cut(Relay::cut_open)]
#[tokio::test]
async fn broken_idle_connection_fails_at_most_one_call(#[case] disturb: fn(&Relay)) {
    let (platform, _, _) = platform().await;
    let relay = Relay::start(platform.address())
        .await
        .expect("port is free");
    let client = Client::new(relay.address().to_string()).with_timeout(TIMEOUT);
    assert_eq!(client.put("a", "1".into(), None, None).await, Ok(1));
    disturb(&relay);
    let result = client.put("a", "2".into(), Some(1), None).await;
    let next = client.put("b", "3".into(), Some(0), None).await;
    // A client that notices the cut in time opens a new connection instead.
    match outcome(&result) {
        Outcome::Done => assert_eq!(next, Ok(3)),
        Outcome::Unknown => assert_eq!(next, Ok(2)),
        Outcome::Unavailable => panic!("unexpected {result:?}"),
    }
}

/// Guards against an outcome that is reported as unknown although no connection was opened.
#[tokio::test]
async fn call_to_a_closed_port_is_without_effect() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("port is free");
    let address = listener.local_addr().expect("listener has an address");
    drop(listener);
    let client = Client::new(address.to_string());
    let result = client.put("a", "1".into(), None, None).await;
    assert_eq!(outcome(&result), Outcome::Unavailable);
}

/// Guards against a conflict without the current revision, and against requests with invalid values
/// or keys.
#[tokio::test]
async fn rejected_calls_have_typed_errors() {
    let (platform, clock, client) = platform().await;
    assert_eq!(client.put("a", "1".into(), Some(0), None).await, Ok(1));
    let conflict = client.put("a", "2".into(), Some(0), None).await;
    assert_eq!(conflict, Err(Error::Conflict { current: 1 }));
    let size = MAX_VALUE_BYTES + 1;
    let large = client.put("a", vec![0; size].into(), None, None).await;
    assert_eq!(large, Err(Error::TooLarge { size }));
    let largest = client
        .put("a", vec![7; MAX_VALUE_BYTES].into(), None, None)
        .await;
    assert_eq!(largest, Ok(2));
    assert!(matches!(client.get("a b").await, Err(Error::BadKey { .. })));
    let lease = client.grant_lease(TIMEOUT).await.expect("platform is up");
    assert_eq!(
        client.put("c/1", "x".into(), Some(0), Some(lease)).await,
        Ok(3)
    );
    assert_eq!(client.renew_lease(lease, TIMEOUT).await, Ok(()));
    assert_eq!(client.list("c/").await.map(|entries| entries.len()), Ok(1));
    clock.advance(TIMEOUT);
    platform.expire();
    assert_eq!(client.list("c/").await, Ok(vec![]));
    assert_eq!(client.watch("c/1", 3).await, Ok(Some(Change::Removed(4))));
    assert_eq!(
        client.renew_lease(lease, TIMEOUT).await,
        Err(Error::LeaseLapsed)
    );
    let now = client.counters().snapshot();
    assert_eq!(
        (now.writes, now.lists, now.leases, now.conflicts),
        (4, 2, 3, 1)
    );
}

/// Guards against a watch that misses a change or is not counted while it waits.
#[tokio::test]
async fn watch_returns_the_change_and_counts_while_waiting() {
    let (platform, _, client) = platform().await;
    let watcher = client.clone();
    let watch = tokio::spawn(async move { watcher.watch("a", 0).await });
    while platform.counts().waiting == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(client.counters().snapshot().waiting, 1);
    assert_eq!(client.put("b", "1".into(), None, None).await, Ok(1));
    assert_eq!(client.put("a", "2".into(), None, None).await, Ok(2));
    let change = watch.await.expect("watch does not panic");
    let entry = Entry {
        key: "a".into(),
        value: "2".into(),
        revision: 2,
    };
    assert_eq!(change, Ok(Some(Change::Value(entry.clone()))));
    assert_eq!(client.watch("a", 1).await, Ok(Some(Change::Value(entry))));
    assert_eq!(client.counters().snapshot().waiting, 0);
    let client = client.with_watch_wait(Duration::ZERO);
    assert_eq!(client.watch("a", 2).await, Ok(None));
}
