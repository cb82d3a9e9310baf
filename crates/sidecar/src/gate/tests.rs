//! Guards against calls that a gate takes although its endpoint leaves, its daemon stops or the
//! instance beside it is another one.

use std::rc::Rc;
use std::time::Duration;

use policy::fleet::State;
use tokio::task::LocalSet;

use super::Outcome;
use crate::daemon::Daemon;
use crate::frame::NotRun;
use crate::testing::{Outcomes, announcement, daemon, job};

fn submit(daemon: &Rc<Daemon>, instance: &str) -> Outcomes {
    let (job, outcomes) = job(daemon, "a", instance);
    daemon.gate.submit(daemon, job);
    outcomes
}

fn announce(daemon: &Rc<Daemon>, instance: &str, born: u64, state: State) {
    let announcement = announcement(instance, born, 1, state);
    daemon.gate.announced(daemon, announcement);
}

fn refusal(receiver: &mut Outcomes) -> Option<NotRun> {
    match receiver.try_recv() {
        Ok((Outcome::NotRun(reason), _)) => Some(reason),
        _ => None,
    }
}

#[tokio::test]
async fn another_instance_is_refused() {
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
async fn a_leaving_endpoint_gets_no_calls_within_the_bound() {
    LocalSet::new()
        .run_until(async {
            let (daemon, clock) = daemon();
            announce(&daemon, "i-1", 1, State::Draining);
            assert_eq!(refusal(&mut submit(&daemon, "i-1")), None);
            clock.advance(Duration::from_secs(1));
            assert_eq!(refusal(&mut submit(&daemon, "i-1")), Some(NotRun::Leaving));
        })
        .await;
}

#[tokio::test]
async fn a_departed_instance_is_bound_like_a_draining_one() {
    LocalSet::new()
        .run_until(async {
            let (daemon, clock) = daemon();
            announce(&daemon, "i-1", 1, State::Ready);
            assert!(daemon.gate.departed(&daemon, "i-1", Some(1)));
            clock.advance(Duration::from_secs(1));
            daemon
                .gate
                .announced(&daemon, announcement("i-1", 1, 2, State::Ready));
            assert_eq!(refusal(&mut submit(&daemon, "i-1")), Some(NotRun::Leaving));
        })
        .await;
}

#[tokio::test]
async fn a_stopping_daemon_takes_no_calls_for_its_endpoint() {
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
async fn a_waiting_call_is_cancelled_as_not_run() {
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
