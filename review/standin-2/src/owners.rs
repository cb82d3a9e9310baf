//! The bucket of an organisation must have one owner, also after all daemons have been killed.

use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use adapter::standin;
use policy::organisation::{Organisation, Quota};
use policy::routing::RetrySafety;
use soak::store::Fault;
use tokio::time::sleep;

use crate::world::{World, route};

const VMS: usize = 30;
/// Time for which the store is down.
const OUTAGE: Duration = Duration::from_millis(4_500);

/// Time from the kill of all daemons to their start.
const DARK: Duration = Duration::from_secs(1);

const RATE: f64 = 2.0;
const BURST: f64 = 2.0;
const KEY: &str = "k-4f1d09";

/// `QuotaWindowS`, `QuotaOver` and `QuotaSlack` of the platform's pages.
const WINDOW: Duration = Duration::from_secs(5);
const OVER: f64 = 0.1;
const SLACK: f64 = 20.0;

pub async fn run(trouble: bool, record: &Path) -> std::io::Result<bool> {
    let world = World::new(vec!["arkiv"; VMS], true)?;
    let result = play(&world, trouble).await;
    world.end();
    world.write_record(record)?;
    result
}

async fn play(world: &Rc<World>, trouble: bool) -> std::io::Result<bool> {
    let routes = [route(
        "weekly-sheet",
        "arkiv",
        RetrySafety::Idempotent,
        1,
        5_000,
    )];
    let organisation = Organisation {
        name: "lofthus".into(),
        rank: None,
        quota: Some(Quota {
            rate: RATE,
            burst: BURST,
        }),
    };
    let members = [(organisation, vec![KEY.to_owned()])];
    let configuration = standin::encode_configuration_with(1, &routes, &members);
    world.store.write_configuration(configuration);
    for vm in 0..world.vms() {
        world.start_daemon(vm)?;
        world.start_endpoint(vm, 100, Duration::from_millis(15))?;
    }
    if !world.wait_ready(Duration::from_secs(5)).await {
        return Err(std::io::Error::other("the daemons are not ready in 5 s"));
    }
    sleep(Duration::from_secs(8)).await;
    // Each machine has clients of the organisation, which sends more than its quota.
    let sent: Rc<std::cell::RefCell<Vec<(String, Instant)>>> = Rc::default();
    for vm in 0..world.vms() {
        let clients = Rc::clone(world);
        let sent = Rc::clone(&sent);
        world.tasks.spawn(async move {
            sleep(Duration::from_millis(20 * vm as u64)).await;
            loop {
                sleep(Duration::from_millis(250)).await;
                let id = clients.new_id();
                sent.borrow_mut().push((id.clone(), Instant::now()));
                let owner = Rc::clone(&clients);
                clients.tasks.spawn(async move {
                    let deadline = Duration::from_secs(5);
                    owner
                        .send(vm, "GET", "/weekly-sheet/7", &id, deadline, Some(KEY))
                        .await;
                });
            }
        });
    }
    sleep(Duration::from_secs(10)).await;
    if trouble {
        // The store is down, and its leases expire meanwhile.
        let down_at = Instant::now();
        world.set_store_fault(Some(Fault::Down));
        sleep(OUTAGE - DARK).await;
        for vm in 0..world.vms() {
            world.kill_daemon(vm);
        }
        sleep(OUTAGE.saturating_sub(down_at.elapsed())).await;
        world.note("the leases of the store expire");
        world.store.revoke_leases();
        world.set_store_fault(None);
        for vm in 0..world.vms() {
            world.start_daemon(vm)?;
        }
    }
    sleep(Duration::from_secs(15)).await;
    let record = world.record.borrow();
    // A request counts in a window if it was both sent and arrived there.
    let mut passed: Vec<(Instant, Instant)> = Vec::new();
    for (id, at) in sent.borrow().iter() {
        if let Some((arrived, _)) = record.runs.get(id).and_then(|runs| runs.first()) {
            passed.push((*at, *arrived));
        }
    }
    let bound = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVER) + SLACK;
    let in_window = |from: Instant| {
        let inside = |at: Instant| at >= from && at <= from + WINDOW;
        passed
            .iter()
            .filter(|(sent, arrived)| inside(*sent) && inside(*arrived))
            .count()
    };
    let most = passed.iter().map(|(at, _)| (in_window(*at), *at)).max();
    drop(record);
    let (most, from) = most.unwrap_or((0, world.start));
    let from = from.saturating_duration_since(world.start).as_secs_f64();
    world.note(format!(
        "QUOTA: at most {most} requests of the tenant ran in a window of {WINDOW:?}, from {from:.3} s; the bound is {bound:.1}"
    ));
    println!("QUOTA: {most} requests in a window, bound {bound:.1}");
    Ok(most as f64 > bound)
}
