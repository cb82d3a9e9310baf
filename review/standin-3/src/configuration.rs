//! A daemon whose watch of the configuration gets no response: the configuration that it uses
//! afterwards.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::store::Store;
use crate::vm::{Behaviour, Bounds, Network, Stop, Vm};
use crate::{Context, Outcome, wait_for, wait_ready};

/// `ConfigApplyMs`, `MaxStretchMs` and `ContactMs` of calor-vivero.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const MAX_STRETCH: Duration = Duration::from_millis(5_000);
const CONTACT: Duration = Duration::from_millis(3_000);

/// Time for which the store gives one VM no response.
const SILENCE: Duration = Duration::from_millis(1_000);

const HOST: &str = "hulo84.example";

fn bounds() -> Bounds {
    Bounds(json!({
        "DrainMs": 2_000, "GraceS": 6, "RetryBudgetRatio": 0.2, "BudgetSlack": 48, "BudgetWindowS": 10,
    }))
}

/// Version `version`, in which `catalogo` goes to a service.
fn configuration(version: u64, service: &str, timeout_ms: u64) -> Value {
    let route = |path: &str, service: &str| {
        json!({
            "Host": HOST, "PathPrefix": path, "Type": "idempotent", "TimeoutMs": timeout_ms,
            "TargetLatencyMs": 1_500, "Priority": 1, "Service": service, "MaxAttempts": 2,
        })
    };
    let service_body = json!({"HealthPath": "/health", "MaxConnections": 316});
    json!({
        "Version": version,
        "Routes": {"catalogo": route("/catalogo/", service), "historial": route("/historial/", "despacho")},
        "Services": {"vitrina": service_body, "despacho": service_body},
        "Limits": {"MaxHeaderBytes": 16_384, "MaxBodyBytes": 67_108_864, "HeaderTimeoutMs": 3_000, "IdleTimeoutMs": 15_000},
    })
}

/// Runs the case.
pub fn run(context: &Context) -> Outcome {
    let record = &context.record;
    let network = Network::find(3)?;
    let store = Store::start(Arc::clone(record));
    let vm = |index: u8, name: &str, zone: &str, service: &str| {
        let behaviour = Behaviour {
            work: Duration::from_millis(5),
            ..Behaviour::default()
        };
        Vm::new(
            network,
            index,
            name,
            zone,
            service,
            behaviour,
            &bounds(),
            &context.folder,
            record,
            &store,
        )
    };
    let first = vm(1, "sidecar-madrid-1", "madrid", "vitrina")?;
    let second = vm(2, "sidecar-facatativa-1", "facatativa", "despacho")?;
    let third = vm(3, "sidecar-chia-1", "chia", "vitrina")?;
    let vms = [&first, &second, &third];
    let _stop = Stop(vms.map(Arc::clone).to_vec());
    store.write_as_operator("op/config", &configuration(3, "vitrina", 3_000));
    for vm in vms {
        vm.start()?;
        vm.announce();
    }
    wait_ready(&vms)?;
    thread::sleep(Duration::from_secs(6));

    let ends = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = vms
        .iter()
        .map(|vm| {
            let (vm, ends) = (Arc::clone(vm), Arc::clone(&ends));
            thread::spawn(move || {
                while !ends.load(Ordering::Relaxed) {
                    vm.request("GET", HOST, "/catalogo/2f", 3_000, None, &[]);
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();

    thread::sleep(Duration::from_secs(2));
    store.write_as_operator("op/config", &configuration(5, "vitrina", 2_900));
    record.note("operator version 5 is acknowledged (a time-out)");
    thread::sleep(Duration::from_secs(4));
    let renewals = store.renewals(&first.name);
    wait_for("renewal", Duration::from_secs(5), || {
        store.renewals(&first.name) > renewals
    })?;
    if context.trouble {
        store.silence(&first.name, SILENCE);
        record.note(format!(
            "store    gives {} no response for {SILENCE:?}",
            first.name
        ));
    }
    thread::sleep(Duration::from_millis(300));
    store.write_as_operator("op/config", &configuration(9, "despacho", 2_900));
    let acknowledged = record.now();
    record.note("operator version 9 is acknowledged (catalogo moves from vitrina to despacho)");
    thread::sleep(SILENCE - Duration::from_millis(300));
    let over = record.now();
    record.note("store    answers all VMs");
    thread::sleep(Duration::from_secs(22));
    ends.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }

    // The VM is in touch again `ContactMs` after the end of the silence.
    let bound = (acknowledged + CONFIG_APPLY + MAX_STRETCH).max(over + CONTACT);
    let runs = record.runs();
    let sent = record.sent();
    let mut held = true;
    for vm in vms {
        let judged: Vec<_> = sent
            .iter()
            .filter(|sent| sent.vm == vm.name && sent.at > bound)
            .collect();
        let old: Vec<_> = judged
            .iter()
            .filter(|sent| {
                runs.iter()
                    .any(|run| run.id == sent.id && run.service == "vitrina")
            })
            .collect();
        let last = old
            .last()
            .map_or(0.0, |sent| (sent.at - acknowledged).as_secs_f64());
        record.note(format!(
            "check    {}: {} of {} requests sent more than {:.1} s after version 9 ran at vitrina; the last one was sent {last:.1} s after it",
            vm.name, old.len(), judged.len(), (bound - acknowledged).as_secs_f64(),
        ));
        if judged.len() < 50 {
            return Err("too few requests".into());
        }
        held &= old.is_empty();
    }
    Ok(held)
}
