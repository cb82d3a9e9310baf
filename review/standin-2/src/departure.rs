//! An acknowledged departure must bind the fleet, also when all daemons are killed.

use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use adapter::standin;
use policy::routing::RetrySafety;
use soak::store::Fault;
use tokio::time::sleep;

use crate::world::{CONTACT, DRAIN, World, route};

/// Time for which the store is down.
const OUTAGE: Duration = Duration::from_millis(4_500);

/// Time for which the endpoint goes on serving after its departure.
const STAY: Duration = Duration::from_secs(15);

/// What disturbs the deployment around the departure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Nothing.
    Calm,
    /// The store is down, and all daemons are killed.
    Outage,
    /// All daemons are killed, and the store returns from a copy some seconds old. A trial.
    Copy,
    /// The store is down, the daemon beside the endpoint is killed, and a heartbeat that the endpoint
    /// sent before its departure arrives late. A trial.
    Late,
}

pub async fn run(variant: Variant, record: &Path) -> std::io::Result<bool> {
    let world = World::new(vec!["vitrina", "despacho", "despacho", "despacho"], false)?;
    let result = play(&world, variant).await;
    world.end();
    world.write_record(record)?;
    result
}

async fn play(world: &Rc<World>, variant: Variant) -> std::io::Result<bool> {
    let routes = [
        route("catalogo", "vitrina", RetrySafety::Idempotent, 1, 5_000),
        route("tarifa", "despacho", RetrySafety::Idempotent, 1, 5_000),
    ];
    let configuration = standin::encode_configuration(1, &routes);
    world.store.write_configuration(configuration);
    let mut endpoints = Vec::new();
    for vm in 0..world.vms() {
        world.start_daemon(vm)?;
        // The endpoint that will leave is faster than the others, by the speeds 0.6, 1.0 and 1.4
        // of the site.
        let work = Duration::from_millis([15, 18, 30, 42][vm]);
        endpoints.push(world.start_endpoint(vm, 36, work)?);
    }
    if !world.wait_ready(Duration::from_secs(5)).await {
        return Err(std::io::Error::other("the daemons are not ready in 5 s"));
    }
    sleep(Duration::from_secs(4)).await;
    // Traffic: ten requests a second from the clients of each machine.
    let sent: Rc<std::cell::RefCell<Vec<(String, Instant)>>> = Rc::default();
    for vm in 0..world.vms() {
        let clients = Rc::clone(world);
        let sent = Rc::clone(&sent);
        world.tasks.spawn(async move {
            loop {
                sleep(Duration::from_millis(100)).await;
                let id = clients.new_id();
                sent.borrow_mut().push((id.clone(), Instant::now()));
                let owner = Rc::clone(&clients);
                clients.tasks.spawn(async move {
                    let deadline = Duration::from_secs(5);
                    owner
                        .send(vm, "GET", "/tarifa/1", &id, deadline, None)
                        .await;
                });
            }
        });
    }
    sleep(Duration::from_secs(3)).await;
    let down_at = Instant::now();
    let is_down = matches!(variant, Variant::Outage | Variant::Late);
    if is_down {
        world.set_store_fault(Some(Fault::Down));
    }
    sleep(Duration::from_secs(1)).await;
    let leaving = &endpoints[1];
    let late_heartbeat = leaving.heartbeat();
    let Some(acknowledged) = leaving.deregister().await else {
        // The endpoint ends some seconds later, and nothing binds the daemons.
        world.note("the departure was not acknowledged");
        return Ok(false);
    };
    sleep(Duration::from_millis(500)).await;
    let mut in_touch = acknowledged;
    if variant != Variant::Calm {
        let killed = match variant {
            Variant::Late => 1..2,
            _ => 0..world.vms(),
        };
        for vm in killed.clone() {
            world.kill_daemon(vm);
        }
        sleep(Duration::from_secs(1)).await;
        if variant == Variant::Copy {
            world.note("the store returns from a copy 3 s old");
            world.store.restore_older(Duration::from_secs(3));
        }
        for vm in killed {
            world.start_daemon(vm)?;
        }
        in_touch = Instant::now();
        if variant == Variant::Late {
            sleep(Duration::from_millis(50)).await;
            world.note("a heartbeat sent before the departure arrives");
            leaving.tell(&late_heartbeat).await;
        }
        if is_down {
            sleep(OUTAGE.saturating_sub(down_at.elapsed())).await;
            world.set_store_fault(None);
        }
        in_touch = in_touch.max(Instant::now()) + CONTACT;
    }
    sleep(STAY.saturating_sub(acknowledged.elapsed())).await;
    leaving.end();
    sleep(Duration::from_millis(500)).await;
    let late = acknowledged + DRAIN;
    let record = world.record.borrow();
    let counts = |(id, at): &&(String, Instant)| {
        let runs = record.runs.get(id).into_iter().flatten();
        let mut reached = runs.filter(|(_, instance)| *instance == leaving.instance);
        *at >= in_touch && reached.any(|(at, _)| *at > late)
    };
    let broken = sent.borrow().iter().filter(counts).count();
    let all = sent
        .borrow()
        .iter()
        .filter(|(_, at)| *at >= in_touch)
        .count();
    drop(record);
    world.note(format!(
        "DRAIN: of {all} requests that clients sent at least {CONTACT:?} after the disruptions, \
         {broken} reached {} later than {DRAIN:?} after its acknowledged departure",
        leaving.instance
    ));
    println!("DRAIN broken by {broken} of {all} requests");
    Ok(broken > 0)
}
