use std::collections::BTreeMap;

use policy::clock::ManualClock;
use rstest::rstest;

use super::*;
use crate::response::BodyError;
use crate::target::{ReceivedResponse, RoundRobin};

const TIMEOUT: Duration = Duration::from_mins(1);

struct Fleet {
    ledger: Arc<Ledger>,
    clock: Arc<ManualClock>,
    deep: Endpoint,
    entry: Endpoint,
    caller: Caller,
}

/// An entry service that calls a deep one twice.
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
    let deep = Endpoint::start(
        free(),
        spec.clone(),
        Arc::clone(&clock) as _,
        Arc::clone(&ledger),
        none,
    )
    .await
    .expect("port is free");
    let rotation = RoundRobin::new(vec![deep.address()]);
    let target = Target::Endpoints(BTreeMap::from([("origem".to_owned(), rotation)]));
    let spec = Spec {
        service: "lotes".to_owned(),
        children: vec![NestedCall {
            service: "origem".to_owned(),
            fan_out: 2,
        }],
        ..spec
    };
    let entry = Endpoint::start(
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
        deep,
        entry,
        caller: Caller::new(),
    }
}

impl Fleet {
    async fn call(&self, id: &str, timeout: Duration) -> Result<ReceivedResponse, CallError> {
        let request = request(self.entry.address(), "lotes", "POST", "/weigh-ins")
            .header(response::ID_HEADER, id)
            .header(KEY_HEADER, format!("key-{id}"))
            .header(DEADLINE_HEADER, "50000")
            .body(Full::new(Bytes::new()))
            .expect("request is valid");
        self.caller.call(request, timeout).await
    }
}

/// Guards against a chain that is not counted, or counted under the wrong key.
#[tokio::test]
async fn chain_runs_and_is_counted() {
    let fleet = fleet(4).await;
    let reply = fleet.call("1", TIMEOUT).await.expect("fleet is up");
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(response::check("1", &reply.body), Ok(()));
    assert_eq!(fleet.ledger.runs_of("lotes", "1"), 1);
    assert_eq!(fleet.ledger.runs_of_key("origem", "key-1.origem1"), 1);
    assert_eq!(
        (fleet.ledger.summary().runs, fleet.ledger.summary().repeats),
        (3, 0)
    );
    fleet.call("1", TIMEOUT).await.expect("fleet is up");
    let runs = fleet.ledger.summary();
    assert_eq!((runs.runs, runs.repeats), (6, 3));
    assert_eq!(runs.repeated.len(), 3);
}

/// Guards against work at a leaving endpoint that is not counted, or counted too early.
#[tokio::test]
async fn work_after_leaving_is_counted() {
    let fleet = fleet(4).await;
    fleet.entry.drain();
    fleet.clock.advance(DRAIN_GRACE);
    fleet.call("1", TIMEOUT).await.expect("fleet is up");
    assert_eq!(fleet.ledger.summary().after_leaving, 0);
    fleet.clock.advance(Duration::from_millis(1));
    fleet.entry.drain();
    fleet.call("2", TIMEOUT).await.expect("fleet is up");
    assert_eq!(fleet.ledger.summary().after_leaving, 1);
}

#[derive(Debug, PartialEq)]
enum Seen {
    Whole,
    Body(BodyError),
    CallError(CallError),
}

/// Guards against fault switches that do nothing, and against a fault that outlives its end.
#[rstest]
#[case::none(Faults::default(), Seen::Whole)]
#[case::slow(Faults { slow_factor: 3.0, ..Faults::default() }, Seen::Whole)]
#[case::delayed(Faults { delay_ms: 5, ..Faults::default() }, Seen::Whole)]
#[case::cut(Faults { cut_percent: 100.0, ..Faults::default() }, Seen::CallError(CallError::Body))]
#[case::duplicated(Faults { duplicate_percent: 100.0, ..Faults::default() }, Seen::Body(BodyError::TooLong))]
#[case::silent(Faults { silence: Silence::All, ..Faults::default() }, Seen::CallError(CallError::Timeout))]
#[tokio::test]
async fn faults_show(#[case] faults: Faults, #[case] expected: Seen) {
    let fleet = fleet(4).await;
    fleet.entry.set_faults(faults).await.expect("port is free");
    // A silent endpoint never answers, so the time that shows it does not matter.
    let timeout = match expected {
        Seen::CallError(CallError::Timeout) => Duration::from_millis(200),
        _ => TIMEOUT,
    };
    let seen = match fleet.call("1", timeout).await {
        Ok(reply) => response::check("1", &reply.body).map_or_else(Seen::Body, |()| Seen::Whole),
        Err(lost) => Seen::CallError(lost),
    };
    assert_eq!(seen, expected);
    fleet
        .entry
        .set_faults(Faults::default())
        .await
        .expect("port is free");
    let reply = fleet.call("2", TIMEOUT).await.expect("fault has passed");
    assert_eq!(response::check("2", &reply.body), Ok(()));
}

/// Guards against a silence that meets new connections, and one that heals by itself.
#[tokio::test]
async fn open_connections_go_silent_and_new_ones_work() {
    let fleet = fleet(4).await;
    fleet.call("1", TIMEOUT).await.expect("fleet is up");
    let faults = Faults {
        silence: Silence::Open,
        ..Faults::default()
    };
    fleet.entry.set_faults(faults).await.expect("port is free");
    fleet
        .entry
        .set_faults(Faults::default())
        .await
        .expect("port is free");
    let short = Duration::from_millis(200);
    assert_eq!(
        fleet.call("2", short).await.map(|_| ()),
        Err(CallError::Timeout)
    );
    assert_eq!(fleet.ledger.runs_of("lotes", "2"), 0);
    let reply = fleet.call("3", TIMEOUT).await.expect("connection is new");
    assert_eq!(reply.status, StatusCode::OK);
}

/// Guards against work that goes on after its caller left, and a slot that is never freed.
#[tokio::test]
async fn work_stops_when_the_caller_leaves() {
    let fleet = fleet(1).await;
    let faults = Faults {
        silence: Silence::All,
        ..Faults::default()
    };
    fleet.deep.set_faults(faults).await.expect("port is free");
    let short = Duration::from_millis(100);
    assert_eq!(
        fleet.call("1", short).await.map(|_| ()),
        Err(CallError::Timeout)
    );
    fleet
        .deep
        .set_faults(Faults::default())
        .await
        .expect("port is free");
    let reply = fleet.call("2", TIMEOUT).await.expect("slot is free again");
    assert_eq!(reply.status, StatusCode::OK);
}

/// Guards against a closed endpoint that still answers, or never opens again.
#[tokio::test]
async fn down_closes_the_port() {
    let fleet = fleet(4).await;
    fleet.call("1", TIMEOUT).await.expect("fleet is up");
    let faults = Faults {
        down: true,
        ..Faults::default()
    };
    fleet.entry.set_faults(faults).await.expect("port is free");
    while fleet.call("2", TIMEOUT).await.map(|_| ()) != Err(CallError::Connect) {
        tokio::task::yield_now().await;
    }
    fleet
        .entry
        .set_faults(Faults::default())
        .await
        .expect("port is free");
    fleet.call("3", TIMEOUT).await.expect("port is open again");
}
