use std::net::SocketAddr;

use hyper::body::Incoming;
use policy::clock::ManualClock;
use rstest::rstest;

use super::*;
use crate::endpoint::{Endpoint, Faults, Spec, loopback};
use crate::http::{Connection, Handler, HandlerResult, Server, full};
use crate::target::RoundRobin;

fn plan() -> Plan {
    let class = |name: &str, share| Class {
        name: name.to_owned(),
        rank: 0,
        service: "origem".to_owned(),
        method: "GET".to_owned(),
        path: "/checks".to_owned(),
        customers: vec!["cooperativa".to_owned()],
        share,
        keyed: true,
        deadline_ms: 60_000,
        timeout_ms: 60_000,
        resends: 0,
    };
    let phase = |name: &str, factor| Phase {
        name: name.to_owned(),
        seconds: 0.2,
        factors: BTreeMap::from([("low".to_owned(), factor)]),
    };
    Plan {
        rate: 500.0,
        seed: 3,
        classes: vec![class("high", 0.5), class("low", 0.5)],
        phases: vec![phase("calm", 1.0), phase("flood", 4.0), phase("none", 0.0)],
    }
}

fn target(address: SocketAddr) -> Arc<Target> {
    let rotation = RoundRobin::new(vec![address]);
    Arc::new(Target::Endpoints(BTreeMap::from([(
        "origem".to_owned(),
        rotation,
    )])))
}

async fn run_with(faults: Faults) -> LoadResults {
    let ledger = Arc::new(Ledger::default());
    let spec = Spec {
        service_ms: 0.0,
        ..Spec::default()
    };
    let clock = Arc::new(ManualClock::new());
    let none = target(loopback());
    let endpoint = Endpoint::start(loopback(), spec, clock, Arc::clone(&ledger), none)
        .await
        .expect("port is free");
    endpoint.set_faults(faults).await.expect("port is free");
    let target = target(endpoint.address());
    run(plan(), target, Some(&ledger), Instant::now()).await
}

/// Guards against arrivals that depend on more than the plan, or a factor on the wrong class.
#[test]
fn arrivals_follow_the_seed_and_the_factors() {
    let plan = plan();
    let arrivals: Vec<_> = plan.arrivals().collect();
    assert_eq!(arrivals, plan.arrivals().collect::<Vec<_>>());
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at));
    let count = |class, phase| {
        let of = arrivals
            .iter()
            .filter(|a| (a.class, a.phase) == (class, phase));
        of.count()
    };
    assert!((35..65).contains(&count(0, 0)), "50 expected");
    assert!((170..230).contains(&count(1, 1)), "200 expected");
    assert_eq!(count(1, 2), 0);
}

/// Guards against a damaged response that counts as served.
#[rstest]
#[case::complete(Faults::default(), CallOutcome::Served)]
#[case::cut(Faults { cut_percent: 100.0, ..Faults::default() }, CallOutcome::Unknown)]
#[case::duplicated(Faults { duplicate_percent: 100.0, ..Faults::default() }, CallOutcome::Wrong(BodyError::TooLong))]
#[tokio::test]
async fn wrong_responses_are_detected(#[case] faults: Faults, #[case] expected: CallOutcome) {
    let results = run_with(faults).await;
    let offered = results.plan.arrivals().count() as u64;
    let phases = results.classes.iter().flat_map(|class| &class.phases);
    let counted = phases.map(|phase| match expected {
        CallOutcome::Served => phase.served,
        CallOutcome::Unknown => phase.unknown,
        _ => phase.wrong,
    });
    assert_eq!(counted.sum::<u64>(), offered);
    assert_eq!(results.not_run_but_ran, Some(0));
    if let CallOutcome::Wrong(error) = expected {
        let mut errors = results.classes.iter().flat_map(|class| &class.body_errors);
        assert!(errors.all(|seen| *seen == error));
    }
}

/// Runs each request, then sends the response of another one or refuses it as not run.
struct FaultyServer {
    ledger: Arc<Ledger>,
    refuses: bool,
}

impl Handler for FaultyServer {
    async fn handle(
        self: Arc<Self>,
        request: http::Request<Incoming>,
        _: Arc<Connection>,
    ) -> HandlerResult {
        let id = request
            .headers()
            .get(response::ID_HEADER)
            .and_then(|id| id.to_str().ok());
        let id = id.unwrap_or_default();
        self.ledger.record_run("origem", id, None);
        let body = full(response::encode(&format!("{id}0"), 10));
        let mut response = http::Response::new(body);
        if self.refuses {
            *response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
            let not_run = http::HeaderValue::from_static("not-run");
            response.headers_mut().insert(RAN_HEADER, not_run);
        }
        Ok(response)
    }
}

/// Guards against a swapped response that counts as served, and an undetected run of a call that
/// was refused as not run.
#[rstest]
#[case::swapped(false)]
#[case::hidden_run(true)]
#[tokio::test]
async fn swapped_responses_and_false_not_run_are_detected(#[case] refuses: bool) {
    let ledger = Arc::new(Ledger::default());
    let handler = FaultyServer {
        ledger: Arc::clone(&ledger),
        refuses,
    };
    let server = Server::start(loopback(), Arc::new(handler))
        .await
        .expect("port is free");
    let results = run(
        plan(),
        target(server.address()),
        Some(&ledger),
        Instant::now(),
    )
    .await;
    let offered = results.plan.arrivals().count() as u64;
    let errors = results.classes.iter().flat_map(|class| &class.body_errors);
    let swapped = errors
        .filter(|seen| **seen == BodyError::WrongRequest)
        .count() as u64;
    let expected = if refuses {
        (0, Some(offered))
    } else {
        (offered, Some(0))
    };
    assert_eq!((swapped, results.not_run_but_ran), expected);
}

/// Guards against a call that counts as not run because its last attempt did not run.
#[rstest]
#[case(None, CallOutcome::NotRun, CallOutcome::NotRun)]
#[case(Some(CallOutcome::Unknown), CallOutcome::NotRun, CallOutcome::Unknown)]
#[case(Some(CallOutcome::Ran), CallOutcome::NotRun, CallOutcome::Ran)]
#[case(Some(CallOutcome::NotRun), CallOutcome::Ran, CallOutcome::Ran)]
#[case(Some(CallOutcome::Ran), CallOutcome::Unknown, CallOutcome::Unknown)]
#[case(
    Some(CallOutcome::Wrong(BodyError::Truncated)),
    CallOutcome::NotRun,
    CallOutcome::Wrong(BodyError::Truncated)
)]
fn not_run_requires_that_no_attempt_ran(
    #[case] previous: Option<CallOutcome>,
    #[case] last: CallOutcome,
    #[case] expected: CallOutcome,
) {
    assert_eq!(merge_attempts(previous, last), expected);
}
