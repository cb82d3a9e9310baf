//! An acknowledged departure must bind, also of an endpoint that started again after its machine's
//! time of day had jumped back.

use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use adapter::standin;
use policy::routing::RetrySafety;
use tokio::time::sleep;

use crate::world::{CONTACT, DRAIN, World, route};

/// Time by which the time of day is ahead for a while.
const STEP: Duration = Duration::from_millis(2_400);

/// Time from the first start of the endpoint to its second one.
const FIRST_LIFE: Duration = Duration::from_millis(1_500);

/// Time for which the endpoint goes on serving after it has reported that it drains.
const STAY: Duration = Duration::from_secs(8);

/// Time that a request takes at the endpoint that will leave, and at the other one: the speeds 0.6 and
/// 1.4 of the site.
const WORK: Duration = Duration::from_millis(18);
const SLOW_WORK: Duration = Duration::from_millis(42);

/// What disturbs the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Nothing.
    Calm,
    /// The time of day is ahead when it starts first.
    Step,
    /// A heartbeat comes from another writer, with fields missing. A trial.
    Forged,
}

pub async fn run(variant: Variant, record: &Path) -> std::io::Result<bool> {
    let world = World::new(vec!["vitrina", "despacho", "despacho"], false)?;
    let result = play(&world, variant).await;
    world.end();
    world.write_record(record)?;
    result
}

async fn play(world: &Rc<World>, variant: Variant) -> std::io::Result<bool> {
    let routes = [route(
        "tarifa",
        "despacho",
        RetrySafety::Idempotent,
        1,
        5_000,
    )];
    let configuration = standin::encode_configuration(1, &routes);
    world.store.write_configuration(configuration);
    for vm in 0..world.vms() {
        world.start_daemon(vm)?;
        if vm != 1 {
            world.start_endpoint(vm, 36, SLOW_WORK)?;
        }
    }
    sleep(Duration::from_secs(4)).await;
    // The endpoint starts, crashes and starts again under the same id.
    let mut time_of_day = SystemTime::now();
    if variant == Variant::Step {
        world.note(format!("the time of day of vm-01 jumps ahead by {STEP:?}"));
        time_of_day += STEP;
    }
    let first = world.start_endpoint_at(1, 36, WORK, time_of_day)?;
    sleep(FIRST_LIFE).await;
    first.end();
    sleep(Duration::from_millis(200)).await;
    if variant == Variant::Step {
        world.note("the time of day of vm-01 jumps back");
    }
    let second = world.start_endpoint_at(1, 36, WORK, SystemTime::now())?;
    if !world.wait_ready(Duration::from_secs(5)).await {
        return Err(std::io::Error::other("the daemons are not ready in 5 s"));
    }
    if variant == Variant::Forged {
        world.note("another writer sends a heartbeat without `Version` and `ColdRemainingMs`");
        let taken = second.tell(&incomplete(&second.heartbeat())).await;
        world.note(format!("that heartbeat is acknowledged: {taken}"));
    }
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
    sleep(CONTACT * 2).await;
    let Some(acknowledged) = second.drain().await else {
        return Ok(false);
    };
    sleep(STAY).await;
    second.end();
    sleep(Duration::from_millis(500)).await;
    let late = acknowledged + DRAIN;
    let record = world.record.borrow();
    let reached = |(id, _): &&(String, Instant)| {
        let mut runs = record.runs.get(id).into_iter().flatten();
        runs.any(|(at, instance)| *instance == second.instance && *at > late)
    };
    let broken = sent.borrow().iter().filter(reached).count();
    drop(record);
    world.note(format!(
        "DRAIN: {broken} requests reached {} later than {DRAIN:?} after the acknowledgement that it \
         is draining",
        second.instance
    ));
    println!("DRAIN broken by {broken} requests");
    Ok(broken > 0)
}

/// Returns a heartbeat with a high sequence number and with fields missing.
fn incomplete(heartbeat: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(heartbeat);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or_default();
    let mut body: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    body["Seq"] = 1_000_000.into();
    if let Some(fields) = body.as_object_mut() {
        fields.remove("Version");
        fields.remove("ColdRemainingMs");
    }
    let body = body.to_string();
    let line = head.lines().next().unwrap_or_default();
    format!(
        "{line}\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
