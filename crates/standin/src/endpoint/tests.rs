use std::collections::BTreeMap;

use policy::clock::ManualClock;
use rstest::rstest;

use super::*;
use crate::response::BodyError;
use crate::target::{ReceivedResponse, RoundRobin};

const CALL_TIMEOUT: Duration = Duration::from_mins(1);

struct Fleet {
    ledger: Arc<Ledger>,
    clock: Arc<ManualClock>,
    dependency: Endpoint,
    parent: Endpoint,
    caller: Caller,
}

/// Starts a service `lotes`, each call of which makes two nested calls to `origem`.
async fn fleet(slots: u32) -> Fleet {
    let ledger = Arc::new(Ledger::default());
    let clock = Arc::new(ManualClock::new());
    let spec = Spec {
        service_ms: 0.0,
        slots,
        ..Spec::default()
    };
    let none = Arc::new(Target::Endpoints(BTreeMap::new()));
    let free = || free_address().expect("port is free");
    let dependency = Endpoint::start(
        free(),
        spec.clone(),
        Arc::clone(&clock) as _,
        Arc::clone(&ledger),
        none,
    )
    .await
    .expect("port is free");
    let rotation = RoundRobin::new(vec![dependency.address()]);
    let target = Target::Endpoints(BTreeMap::from([("origem".to_owned(), rotation)]));
    let spec = Spec {
        service: "lotes".to_owned(),
        children: vec![NestedCall {
            service: "origem".to_owned(),
            fan_out: 2,
        }],
        ..spec
    };
    let parent = Endpoint::start(
        free(),
        spec,
        Arc::clone(&clock) as _,
        Arc::clone(&ledger),
        Arc::new(target),
    )
    .await
    .expect("port is free");
    Fleet {
        ledger,
        clock,
        dependency,
        parent,
        caller: Caller::new(),
    }
}

impl Fleet {
    async fn call(&self, id: &str, timeout: Duration) -> Result<ReceivedResponse, CallError> {
        let request = request(self.parent.address(), "lotes", "POST", "/weigh-ins")
            .header(response::ID_HEADER, id)
            .header(KEY_HEADER, format!("key-{id}"))
            .header(DEADLINE_HEADER, "50000")
            .body(Full::new(Bytes::new()))
            .expect("request is valid");
        self.caller.call(request, timeout).await
    }
}

/// Guards against runs of a chain that are not counted, or counted under the wrong key.
#[tokio::test]
async fn runs_of_a_chain_are_counted() {
    let fleet = fleet(4).await;
    let response = fleet.call("1", CALL_TIMEOUT).await.expect("fleet is up");
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response::check("1", &response.body), Ok(()));
    assert_eq!(fleet.ledger.runs_of("lotes", "1"), 1);
    assert_eq!(fleet.ledger.runs_of_key("origem", "key-1.origem1"), 1);
    assert_eq!(
        (fleet.ledger.summary().runs, fleet.ledger.summary().repeats),
        (3, 0)
    );
    fleet.call("1", CALL_TIMEOUT).await.expect("fleet is up");
    let runs = fleet.ledger.summary();
    assert_eq!((runs.runs, runs.repeats), (6, 3));
    assert_eq!(runs.repeated.len(), 3);
}

/// Guards against calls to a leaving endpoint that are not counted, or counted during the grace.
#[tokio::test]
async fn calls_after_the_drain_grace_are_counted() {
    let fleet = fleet(4).await;
    fleet.parent.drain();
    fleet.clock.advance(DRAIN_GRACE);
    fleet.call("1", CALL_TIMEOUT).await.expect("fleet is up");
    assert_eq!(fleet.ledger.summary().after_leaving, 0);
    fleet.clock.advance(Duration::from_millis(1));
    fleet.parent.drain();
    fleet.call("2", CALL_TIMEOUT).await.expect("fleet is up");
    assert_eq!(fleet.ledger.summary().after_leaving, 1);
}

#[derive(Debug, PartialEq)]
enum Observed {
    Complete,
    Body(BodyError),
    CallError(CallError),
}

/// Guards against faults without effect, and faults that persist after they are cleared.
#[rstest]
#[case::none(Faults::default(), Observed::Complete)]
#[case::slow(Faults { slow_factor: 3.0, ..Faults::default() }, Observed::Complete)]
#[case::delayed(Faults { delay_ms: 5, ..Faults::default() }, Observed::Complete)]
#[case::cut(Faults { cut_percent: 100.0, ..Faults::default() }, Observed::CallError(CallError::Body))]
#[case::duplicated(Faults { duplicate_percent: 100.0, ..Faults::default() }, Observed::Body(BodyError::TooLong))]
#[case::silent(Faults { silence: Silence::All, ..Faults::default() }, Observed::CallError(CallError::Timeout))]
#[tokio::test]
async fn faults_take_effect_and_end(#[case] faults: Faults, #[case] expected: Observed) {
    let fleet = fleet(4).await;
    fleet.parent.set_faults(faults).await.expect("port is free");
    // A silent endpoint never responds, so any timeout shows it.
    let timeout = match expected {
        Observed::CallError(CallError::Timeout) => Duration::from_millis(200),
        _ => CALL_TIMEOUT,
    };
    let observed = match fleet.call("1", timeout).await {
        Ok(response) => response::check("1", &response.body)
            .map_or_else(Observed::Body, |()| Observed::Complete),
        Err(error) => Observed::CallError(error),
    };
    assert_eq!(observed, expected);
    fleet
        .parent
        .set_faults(Faults::default())
        .await
        .expect("port is free");
    let response = fleet
        .call("2", CALL_TIMEOUT)
        .await
        .expect("fault is cleared");
    assert_eq!(response::check("2", &response.body), Ok(()));
}

/// Guards against a silence that affects new connections, or ends on the silent ones.
#[tokio::test]
async fn open_connections_go_silent_and_new_ones_work() {
    let fleet = fleet(4).await;
    fleet.call("1", CALL_TIMEOUT).await.expect("fleet is up");
    let faults = Faults {
        silence: Silence::Open,
        ..Faults::default()
    };
    fleet.parent.set_faults(faults).await.expect("port is free");
    fleet
        .parent
        .set_faults(Faults::default())
        .await
        .expect("port is free");
    let short = Duration::from_millis(200);
    assert_eq!(
        fleet.call("2", short).await.map(|_| ()),
        Err(CallError::Timeout)
    );
    assert_eq!(fleet.ledger.runs_of("lotes", "2"), 0);
    let response = fleet
        .call("3", CALL_TIMEOUT)
        .await
        .expect("connection is new");
    assert_eq!(response.status, StatusCode::OK);
}

/// Guards against work that continues after its caller disconnected, and a slot that is never
/// released.
#[tokio::test]
async fn work_stops_when_the_caller_disconnects() {
    let fleet = fleet(1).await;
    let faults = Faults {
        silence: Silence::All,
        ..Faults::default()
    };
    fleet
        .dependency
        .set_faults(faults)
        .await
        .expect("port is free");
    let short = Duration::from_millis(100);
    assert_eq!(
        fleet.call("1", short).await.map(|_| ()),
        Err(CallError::Timeout)
    );
    fleet
        .dependency
        .set_faults(Faults::default())
        .await
        .expect("port is free");
    let response = fleet
        .call("2", CALL_TIMEOUT)
        .await
        .expect("slot is free again");
    assert_eq!(response.status, StatusCode::OK);
}

/// Guards against an endpoint that still responds when down, or never opens its port again.
#[tokio::test]
async fn down_closes_the_port() {
    let fleet = fleet(4).await;
    fleet.call("1", CALL_TIMEOUT).await.expect("fleet is up");
    let faults = Faults {
        down: true,
        ..Faults::default()
    };
    fleet.parent.set_faults(faults).await.expect("port is free");
    while fleet.call("2", CALL_TIMEOUT).await.map(|_| ()) != Err(CallError::Connect) {
        tokio::task::yield_now().await;
    }
    fleet
        .parent
        .set_faults(Faults::default())
        .await
        .expect("port is free");
    fleet
        .call("3", CALL_TIMEOUT)
        .await
        .expect("port is open again");
}
