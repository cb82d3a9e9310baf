//! A daemon that gets SIGTERM must answer every request that it has read.

use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use adapter::standin;
use policy::routing::RetrySafety;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::world::{Answer, GRACE, World, route};

/// Time that a booking takes at its endpoint.
const WORK: Duration = Duration::from_millis(250);

/// Slots of the endpoint; its daemon uses 95% of them.
const SLOTS: u32 = 36;

/// Deadline of clients, and timeout of the route.
const DEADLINE: Duration = Duration::from_millis(6_000);

/// `LossSlackMs` of the platform's pages.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Clients, each of which sends its next booking when the last one has been answered. They keep the
/// endpoint busy with as much as it can finish within their deadline.
const CLIENTS: usize = 950;

/// How often the daemon is stopped.
const ROUNDS: usize = 2;

struct Sent {
    id: String,
    at: Instant,
    ended: Instant,
    answer: Answer,
}

pub async fn run(trouble: bool, record: &Path) -> std::io::Result<bool> {
    let world = World::new(vec!["vitrina", "despacho"], false)?;
    let result = play(&world, trouble).await;
    world.end();
    world.write_record(record)?;
    result
}

async fn play(world: &Rc<World>, trouble: bool) -> std::io::Result<bool> {
    let routes = [route("reserva", "despacho", RetrySafety::Never, 0, 6_000)];
    let configuration = standin::encode_configuration(1, &routes);
    world.store.write_configuration(configuration);
    for vm in 0..world.vms() {
        world.start_daemon(vm)?;
        world.start_endpoint(vm, SLOTS, WORK)?;
    }
    if !world.wait_ready(Duration::from_secs(5)).await {
        return Err(std::io::Error::other("the daemons are not ready in 5 s"));
    }
    sleep(Duration::from_secs(4)).await;
    let results: Rc<RefCell<Vec<Sent>>> = Rc::default();
    let stopped: Rc<Cell<bool>> = Rc::default();
    start_clients(world, &results, &stopped);
    let mut signals = Vec::new();
    for round in 0..ROUNDS {
        if round > 0 {
            if trouble {
                world.start_daemon(0)?;
            }
            stopped.set(false);
            start_clients(world, &results, &stopped);
        }
        sleep(Duration::from_secs(16)).await;
        if trouble {
            signals.push(Instant::now());
            world.signal(0, Signal::TERM);
        }
        // After two misses the clients on that machine get no new work.
        sleep(Duration::from_secs(2)).await;
        stopped.set(true);
        sleep(GRACE).await;
        if trouble && !world.has_exited(0) {
            return Err(std::io::Error::other("the daemon has not exited"));
        }
    }
    let record = world.record.borrow();
    let mut lost = 0;
    let mut excused = 0;
    for sent in results.borrow().iter() {
        if sent.answer != Answer::Ended || sent.ended >= sent.at + DEADLINE {
            continue;
        }
        let is_planned = |signalled: &Instant| {
            let end = *signalled + GRACE + Duration::from_secs(1);
            sent.ended >= *signalled && sent.ended < end
        };
        if !signals.iter().any(is_planned) || sent.ended < sent.at + LOSS_SLACK {
            continue;
        }
        // Requests at which the endpoint was still at work do not count.
        let runs = record.runs.get(&sent.id);
        if runs.is_some_and(|runs| runs.iter().any(|(at, _)| *at + WORK > sent.ended)) {
            excused += 1;
        } else {
            lost += 1;
        }
    }
    let all = results.borrow().len();
    drop(record);
    world.note(format!(
        "LOST: {lost} requests that the daemon had read ended without an answer before their \
         deadline after its SIGTERM; {excused} more, at which the endpoint was at work, do not \
         count; {all} were sent in all"
    ));
    println!("LOST: {lost} of {all} requests, {excused} more excused");
    Ok(lost > 0)
}

/// Starts the clients.
fn start_clients(world: &Rc<World>, results: &Rc<RefCell<Vec<Sent>>>, stopped: &Rc<Cell<bool>>) {
    for client in 0..CLIENTS {
        let (world, results) = (Rc::clone(world), Rc::clone(results));
        let stopped = Rc::clone(stopped);
        world.tasks.clone().spawn(async move {
            // The clients begin one after another, at the rate at which the endpoint works.
            sleep(WORK * client as u32 / (SLOTS - 2)).await;
            while !stopped.get() {
                let id = world.new_id();
                let at = Instant::now();
                let answer = world
                    .send(0, "POST", "/reserva/1", &id, DEADLINE, None)
                    .await;
                let refused = !matches!(answer, Answer::Complete(200, _));
                results.borrow_mut().push(Sent {
                    id,
                    at,
                    ended: Instant::now(),
                    answer,
                });
                if refused {
                    // A third of the deadline is the longest time that clients honour.
                    sleep(DEADLINE / 3).await;
                }
            }
        });
    }
}
