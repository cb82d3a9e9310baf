//! The owner of an organisation's quota does not learn that a VM has joined, which takes its place:
//! two daemons then grant the quota.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::proxy::Links;
use crate::store::Store;
use crate::vm::{Behaviour, Bounds, Network, Stop, Vm};
use crate::{Context, Outcome, wait_for, wait_ready};

/// `QuotaWindowS`, `QuotaOver` and `QuotaSlack` of fjellstad-mesh-grown.
const WINDOW: Duration = Duration::from_secs(5);
const OVER: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Rate and burst of the organisation.
const RATE: f64 = 40.0;
const BURST: f64 = 40.0;

/// Time for which the store gives one VM no response.
const SILENCE: Duration = Duration::from_millis(1_000);

/// Time for which a VM is cut off.
const CUT: Duration = Duration::from_secs(12);

/// Requests per second that the clients of one VM send; two VMs have clients.
const CLIENT_RATE: f64 = 70.0;

const HOST: &str = "hulo84.example";
const KEY: &str = "uakn2ftimaj3nr26tta8";

/// Of the VMs below, the fourth one has the highest hash for this organisation, then the first one.
const ORGANISATION: &str = "pulo724";

fn bounds() -> Bounds {
    Bounds(json!({
        "DrainMs": 2_500, "GraceS": 6, "RetryBudgetRatio": 0.2, "BudgetSlack": 91, "BudgetWindowS": 10,
        "QuotaWindowS": 5, "QuotaOver": OVER, "QuotaSlack": SLACK,
    }))
}

fn configuration() -> Value {
    json!({
        "Version": 3,
        "Routes": {"weekly-sheet": {
            "Host": HOST, "PathPrefix": "/weekly/", "Type": "idempotent", "TimeoutMs": 3_000,
            "TargetLatencyMs": 1_200, "Priority": 1, "Service": "arkiv", "MaxAttempts": 2, "AuthExempt": false,
        }},
        "Services": {"arkiv": {"HealthPath": "/health", "MaxConnections": 700}},
        "Limits": {"MaxHeaderBytes": 16_384, "MaxBodyBytes": 67_108_864, "HeaderTimeoutMs": 3_000, "IdleTimeoutMs": 15_000},
        "Tenants": {ORGANISATION: {"ApiKeys": [KEY], "Priority": 1, "RatePerS": RATE, "Burst": BURST}},
    })
}

/// What keeps the first owner from learning of the second one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// The store gives its VM no response for a second.
    Store,
    /// Its VM is cut off from the store and from all other VMs, but not from its clients.
    Cut,
}

/// Runs the case.
pub fn run(context: &Context, trouble: Trouble) -> Outcome {
    let record = &context.record;
    let network = Network::find(6)?;
    let store = Store::start(Arc::clone(record));
    let vm = |index: u8, name: &str, zone: &str| {
        let behaviour = Behaviour {
            work: Duration::from_millis(5),
            ..Behaviour::default()
        };
        Vm::new(
            network,
            index,
            name,
            zone,
            "arkiv",
            behaviour,
            &bounds(),
            &context.folder,
            record,
            &store,
        )
    };
    let first = vm(1, "sidecar-bergen-a-1", "bergen-a")?;
    let second = vm(2, "sidecar-bergen-b-1", "bergen-b")?;
    let third = vm(3, "sidecar-forde-1", "forde")?;
    let fourth = vm(4, "sidecar-alesund-1", "alesund")?;
    let fifth = vm(5, "sidecar-bergen-a-2", "bergen-a")?;
    let sixth = vm(6, "sidecar-bergen-b-2", "bergen-b")?;
    let vms = [&first, &second, &third, &fourth, &fifth, &sixth];
    let _stop = Stop(vms.map(Arc::clone).to_vec());
    let links = Links::new(&vms.map(|vm| vm.name.as_str()));
    if trouble == Trouble::Cut {
        for vm in vms {
            vm.use_links(&links)?;
        }
    }
    store.write_as_operator("op/config", &configuration());
    for vm in [&first, &second, &fifth, &sixth] {
        vm.start()?;
        vm.announce();
    }
    wait_ready(&[&first, &second, &fifth, &sixth])?;

    let ends = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = [&first, &second]
        .into_iter()
        .flat_map(|vm| (0..7).map(move |number| (Arc::clone(vm), number)))
        .map(|(vm, number)| {
            let ends = Arc::clone(&ends);
            let interval = Duration::from_secs_f64(7.0 / CLIENT_RATE);
            thread::spawn(move || {
                thread::sleep(interval.mul_f64(f64::from(number) / 7.0));
                while !ends.load(Ordering::Relaxed) {
                    vm.request("GET", HOST, "/weekly/2f", 3_000, Some(KEY), &[]);
                    thread::sleep(interval);
                }
            })
        })
        .collect();
    // New owners grant little in their first 9 s.
    thread::sleep(Duration::from_secs(20));

    record.note("operator two VMs join, one after the other");
    third.start()?;
    fourth.start()?;
    thread::sleep(Duration::from_millis(1_500));
    third.announce();
    thread::sleep(Duration::from_secs(3));
    let length = match trouble {
        Trouble::Store => SILENCE,
        Trouble::Cut => CUT,
    };
    let renewals = store.renewals(&first.name);
    wait_for("renewal", Duration::from_secs(5), || {
        store.renewals(&first.name) > renewals
    })?;
    if context.trouble {
        store.silence(&first.name, length);
        record.note(format!(
            "store    gives {} no response for {length:?}",
            first.name
        ));
        if trouble == Trouble::Cut {
            links.set_cut(&first.name, true);
            record.note(format!(
                "links    {} is cut off from all other VMs",
                first.name
            ));
        }
    }
    thread::sleep(Duration::from_millis(300));
    fourth.announce();
    thread::sleep(length - Duration::from_millis(300));
    links.set_cut(&first.name, false);
    record.note("links    all VMs reach each other and the store");
    thread::sleep(Duration::from_secs(if trouble == Trouble::Store {
        24
    } else {
        8
    }));
    ends.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    for vm in [&third, &fourth] {
        if !store.has(&format!("sapphiredoor/vm/{}", vm.name)) {
            return Err(format!("{} has not joined", vm.name).into());
        }
    }

    let allowed = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVER) + SLACK;
    let sent = record.sent();
    // A request counts in a window in which it is sent and run.
    let mut counted: Vec<(Duration, Duration, &str)> = record
        .runs()
        .iter()
        .filter_map(|run| {
            let sent = sent.iter().find(|sent| sent.id == run.id)?;
            Some((
                sent.at,
                run.at,
                if sent.vm == first.name {
                    "first"
                } else {
                    "second"
                },
            ))
        })
        .collect();
    counted.sort_unstable();
    let mut worst = (0, 0, Duration::ZERO);
    for (index, (start, _, _)) in counted.iter().enumerate() {
        let within = counted[index..]
            .iter()
            .filter(|(_, run, _)| *run < *start + WINDOW);
        let (all, own) = within.fold((0, 0), |(all, own), (_, _, vm)| {
            (all + 1, own + usize::from(*vm == "first"))
        });
        if all > worst.0 {
            worst = (all, own, *start);
        }
    }
    let (all, own, start) = worst;
    record.note(format!(
        "check    at most {all} requests of {ORGANISATION} were sent and run in {WINDOW:?} (from {:.3} s on; {own} sent to {}, {} to {}); {allowed:.0} are allowed",
        start.as_secs_f64(), first.name, all - own, second.name,
    ));
    if counted.len() < 500 {
        return Err("too few requests".into());
    }
    Ok(all as f64 <= allowed)
}
