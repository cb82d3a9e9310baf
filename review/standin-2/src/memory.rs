//! A daemon must stay within the memory of its machine while an endpoint sends bytes without end.

use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use adapter::standin;
use policy::routing::RetrySafety;
use tokio::time::sleep;

use crate::world::{Answer, World, route};

/// `MemoryMb` of the machines, taken as the larger unit; the platform kills a process that exceeds it.
const MEMORY_BYTES: u64 = 260 << 20;

/// Time between two looks at the memory of the daemons.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Time until a killed daemon is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

const DEADLINE: Duration = Duration::from_millis(5_000);

/// Requests that may end so before the rule is broken.
const ALLOWED: usize = 3;

struct Lost {
    id: String,
    ended: Instant,
}

pub async fn run(trouble: bool, record: &Path) -> std::io::Result<bool> {
    let world = World::new(vec!["vitrina", "despacho", "cuentas"], false)?;
    let result = play(&world, trouble).await;
    world.end();
    world.write_record(record)?;
    result
}

async fn play(world: &Rc<World>, trouble: bool) -> std::io::Result<bool> {
    let routes = [
        route("tarifa", "despacho", RetrySafety::Idempotent, 0, 5_000),
        route("historial", "cuentas", RetrySafety::Idempotent, 0, 5_000),
    ];
    let configuration = standin::encode_configuration(1, &routes);
    world.store.write_configuration(configuration);
    let mut endpoints = Vec::new();
    for vm in 0..world.vms() {
        world.start_daemon(vm)?;
        let work = Duration::from_millis(if vm == 2 { 550 } else { 15 });
        endpoints.push(world.start_endpoint(vm, 36, work)?);
    }
    if !world.wait_ready(Duration::from_secs(5)).await {
        return Err(std::io::Error::other("the daemons are not ready in 5 s"));
    }
    sleep(Duration::from_secs(4)).await;

    // The platform kills a process that exceeds its memory and starts it again.
    let kills: Rc<RefCell<Vec<Instant>>> = Rc::default();
    let peak: Rc<Cell<u64>> = Rc::default();
    let (platform, killed, most) = (Rc::clone(world), Rc::clone(&kills), Rc::clone(&peak));
    world.tasks.spawn(async move {
        loop {
            sleep(WATCH_INTERVAL).await;
            for vm in 0..platform.vms() {
                let resident = platform.resident(vm);
                most.set(most.get().max(resident));
                if resident > MEMORY_BYTES {
                    platform.note(format!("daemon {vm} uses {resident} bytes of memory"));
                    killed.borrow_mut().push(Instant::now());
                    platform.kill_daemon(vm);
                    sleep(RESTART_DELAY).await;
                    if platform.start_daemon(vm).is_err() {
                        return;
                    }
                }
            }
        }
    });

    // Clients beside the endpoint in trouble, with kept connections, call a sound service.
    let lost: Rc<RefCell<Vec<Lost>>> = Rc::default();
    for number in 0..24 {
        let (client, lost) = (Rc::clone(world), Rc::clone(&lost));
        world.tasks.spawn(async move {
            // The clients are not in step with each other.
            sleep(Duration::from_millis(25) * number).await;
            loop {
                let Some(mut kept) = client.connect(1).await else {
                    sleep(Duration::from_millis(200)).await;
                    continue;
                };
                let mut used = false;
                loop {
                    let id = client.new_id();
                    let answer = client
                        .send_over(&mut kept, "/historial/3", &id, DEADLINE)
                        .await;
                    if answer == Answer::Ended && used {
                        let ended = Instant::now();
                        lost.borrow_mut().push(Lost { id, ended });
                    }
                    used = true;
                    if !matches!(answer, Answer::Complete(..)) {
                        sleep(Duration::from_millis(200)).await;
                        break;
                    }
                    sleep(Duration::from_millis(10)).await;
                }
            }
        });
    }
    // Clients of all machines call the service of the endpoint that will be in trouble.
    for vm in 0..world.vms() {
        let clients = Rc::clone(world);
        world.tasks.spawn(async move {
            loop {
                sleep(Duration::from_millis(200)).await;
                let owner = Rc::clone(&clients);
                clients.tasks.spawn(async move {
                    let id = owner.new_id();
                    owner
                        .send(vm, "GET", "/tarifa/1", &id, DEADLINE, None)
                        .await;
                });
            }
        });
    }
    sleep(Duration::from_secs(4)).await;
    if trouble {
        world.note("endpoint i-vm-01 sends bytes without end from now on");
        endpoints[1].endless.set(true);
    }
    sleep(Duration::from_secs(30)).await;
    let record = world.record.borrow();
    let passed_on = |lost: &&Lost| {
        let runs = record.runs.get(&lost.id);
        runs.is_some_and(|runs| runs.iter().any(|(at, _)| *at < lost.ended))
    };
    let count = lost.borrow().iter().filter(passed_on).count();
    drop(record);
    let kills = kills.borrow().len();
    let peak = peak.get();
    world.note(format!(
        "LOST: {count} requests from kept connections were passed on to a sound upstream and their \
         connections closed without an answer; the platform ended {kills} daemons for their memory, \
         of which they used at most {peak} bytes; allowed are {MEMORY_BYTES}"
    ));
    println!("LOST: {count} requests; {kills} daemons ended for memory, at most {peak} bytes");
    Ok(count > ALLOWED)
}
