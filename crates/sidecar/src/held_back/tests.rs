//! Guards against refusals of waiting calls that are not reported as not run, and against
//! organisations that operators cannot see to be held back.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use policy::fleet::State;
use tokio::task::LocalSet;

use crate::daemon::Daemon;
use crate::frame::NotRun;
use crate::gate::Outcome;
use crate::testing::{OutcomeReceiver, RuntimeClock, announcement, daemon_at, job};

fn submit(daemon: &Rc<Daemon>, id: &str, organisation: &str) -> OutcomeReceiver {
    let (mut job, receiver) = job(daemon, id, "i-1");
    job.call.organisation = Some(organisation.into());
    daemon.gate.submit(daemon, job);
    receiver
}

fn held_back(daemon: &Daemon, place: &str) -> i64 {
    let held = daemon.metrics.held_back.with_label_values(&[place]);
    held.get()
}

/// The endpoint has one slot and never responds, and a call is expected to take 50 ms of the 1 s
/// that the callers wait.
#[tokio::test(start_paused = true)]
async fn a_displaced_call_has_not_run_and_its_organisation_is_reported() {
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = endpoint.local_addr().unwrap();
    LocalSet::new()
        .run_until(async {
            let daemon = daemon_at(address, Arc::new(RuntimeClock));
            let ready = announcement("i-1", 1, 1, State::Ready);
            daemon.gate.apply_announcement(&daemon, ready);
            let owner = Rc::clone(&daemon);
            tokio::task::spawn_local(async move { owner.gate.expire_waiting(&owner).await });
            let owner = Rc::clone(&daemon);
            tokio::task::spawn_local(async move { owner.gate.track_demand(&owner).await });
            let mut large: Vec<_> = (0..40)
                .map(|number| submit(&daemon, &format!("large-{number}"), "large"))
                .collect();
            let mut small = submit(&daemon, "small", "small");
            let refused = |receivers: &mut Vec<OutcomeReceiver>, expected| {
                let outcomes = receivers.iter_mut().filter_map(|one| one.try_recv().ok());
                let reasons = outcomes.map(|(outcome, _)| match outcome {
                    Outcome::NotRun(reason) => reason,
                    other => panic!("{other:?}"),
                });
                reasons.filter(|reason| *reason == expected).count()
            };
            assert!(refused(&mut large, NotRun::Busy) > 10);
            tokio::time::sleep(Duration::from_millis(25)).await;
            assert!(refused(&mut large, NotRun::Late) >= 1);
            assert!(small.try_recv().is_err(), "the small one still waits");
            tokio::time::sleep(Duration::from_millis(150)).await;
            assert_eq!(
                (held_back(&daemon, "queue"), held_back(&daemon, "entry")),
                (1, 0)
            );
            // All calls have timed out after 1 s, and 2 s later nobody is held back.
            tokio::time::sleep(Duration::from_secs(4)).await;
            assert_eq!(held_back(&daemon, "queue"), 0);
            let refusals = &daemon.metrics.held_refusals;
            assert!(refusals.with_label_values(&["queue"]).get() > 10);
        })
        .await;
}
