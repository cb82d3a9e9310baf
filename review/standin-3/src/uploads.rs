//! An endpoint that pauses while it reads a long request, whose daemon has got SIGTERM.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::store::Store;
use crate::vm::{Behaviour, Bounds, Network, Stop, Vm};
use crate::{Context, Outcome, wait_ready};

/// Deadline of the requests and time-out of their route, in milliseconds.
const DEADLINE_MS: u64 = 5_000;

/// Time for which the endpoint stops reading.
const PAUSE: Duration = Duration::from_secs(3);

/// Time that the endpoint needs after it has read a request.
const WORK: Duration = Duration::from_millis(600);

/// Size of the requests: more than the kernel takes for a connection of the loopback interface.
const BODY_BYTES: usize = 24 << 20;

const CLIENTS: usize = 3;

const HOST: &str = "jepu9.example";

fn configuration() -> Value {
    json!({
        "Version": 3,
        "Routes": {"reserva": {
            "Host": HOST, "PathPrefix": "/reserva/", "Type": "non_idempotent", "TimeoutMs": DEADLINE_MS,
            "TargetLatencyMs": 4_000, "Priority": 2, "Service": "despacho", "MaxAttempts": 2,
        }},
        "Services": {"despacho": {"HealthPath": "/health", "MaxConnections": 316}},
        "Limits": {"MaxHeaderBytes": 16_384, "MaxBodyBytes": 67_108_864, "HeaderTimeoutMs": 3_000, "IdleTimeoutMs": 15_000},
    })
}

/// Runs the case.
pub fn run(context: &Context) -> Outcome {
    let record = &context.record;
    let network = Network::find(1)?;
    let store = Store::start(Arc::clone(record));
    let bounds = Bounds(json!({
        "DrainMs": 2_000, "GraceS": 6, "RetryBudgetRatio": 0.2, "BudgetSlack": 48, "BudgetWindowS": 10,
    }));
    let behaviour = Behaviour {
        work: WORK,
        pause: if context.trouble {
            PAUSE
        } else {
            Duration::ZERO
        },
    };
    let name = "sidecar-madrid-1";
    let vm = Vm::new(
        network,
        1,
        name,
        "madrid",
        "despacho",
        behaviour,
        &bounds,
        &context.folder,
        record,
        &store,
    )?;
    let _stop = Stop(vec![Arc::clone(&vm)]);
    store.write_as_operator("op/config", &configuration());
    vm.start()?;
    vm.announce();
    wait_ready(&[&vm])?;
    // No disruption from `ContactMs` before the requests on.
    thread::sleep(Duration::from_secs(5));

    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let vm = Arc::clone(&vm);
            thread::spawn(move || {
                let body = vec![b'.'; BODY_BYTES];
                vm.request("POST", HOST, "/reserva/2f", DEADLINE_MS, None, &body)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    vm.terminate();
    let mut broken = 0;
    for client in clients {
        let (id, status) = client.join().map_err(|_| "a client failed")?;
        let has_run = record.runs().iter().any(|run| run.id == id);
        record.note(format!(
            "check    {id}: at work at the endpoint {has_run}, answer {status}"
        ));
        broken += usize::from(has_run && status != 200);
    }
    record.note(format!("check    {broken} of {CLIENTS} requests at work were broken off by the daemon after its SIGTERM"));
    if record.runs().len() < CLIENTS {
        return Err("the endpoint got too few requests".into());
    }
    Ok(broken == 0)
}
