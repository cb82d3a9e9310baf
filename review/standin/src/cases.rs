//! The cases.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Outcome, Reading, Request, Sent, Steady};
use crate::fleet::{Fleet, MEMORY_MB, Vm};
use crate::http::Connection;
use crate::record::Record;
use crate::sys;

/// Host of the routes.
const HOST: &str = "hulo84.example";

/// Names of the services.
const SERVICES: [&str; 4] = ["alpha", "beta", "gamma", "delta"];

fn config(timeout_ms: u64) -> String {
    let route = |prefix: &str, kind: &str, service: &str| {
        format!(
            r#""r-{prefix}":{{"Host":"{HOST}","PathPrefix":"/{prefix}/","Type":"{kind}","TimeoutMs":{timeout_ms},"TargetLatencyMs":1500,"Priority":1,"Service":"{service}","MaxAttempts":2}}"#
        )
    };
    let mut routes = vec![
        route("read", "idempotent", "alpha"),
        route("book", "non_idempotent", "alpha"),
    ];
    for service in SERVICES {
        routes.push(route(service, "idempotent", service));
    }
    let service = r#"{"HealthPath":"/health","MaxConnections":316,"Protocol":"h1","Tls":false}"#;
    let services = SERVICES
        .map(|name| format!(r#""{name}":{service}"#))
        .join(",");
    format!(
        r#"{{"Version":7,"Routes":{{{}}},"Services":{{{services}}},"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        routes.join(",")
    )
}

/// Runs a case; returns whether the rule was broken.
pub fn run(case: &str, directory: &Path, trouble: bool, record: &Record) -> io::Result<bool> {
    match case {
        "memory" => memory(directory, trouble, record),
        "slow-stop" => slow_stop(directory, trouble, record),
        "late-heartbeat" => late_heartbeat(directory, trouble, record),
        "fields" => fields(directory, trouble, record),
        "departure-lost" => departure_lost(directory, trouble, record),
        "held-answers" => held_answers(directory, trouble, record),
        "endless" => endless(directory, trouble, record),
        "untested" => untested(directory, trouble, record),
        "slow-pause" => slow_pause(directory, trouble, record),
        _ => Err(io::Error::other("no such case")),
    }
}

fn tally(name: &str, sent: &[Sent], record: &Record) {
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for sent in sent {
        let kind = match &sent.outcome {
            Outcome::Cut { kind, .. } => format!("cut ({kind})"),
            outcome => format!("{outcome:?}"),
        };
        *counts.entry(kind).or_default() += 1;
    }
    record.say(&format!("{name}: {counts:?}"));
}

/// Requests from kept connections that an upstream ran and whose connection ended without a
/// complete answer.
fn lost<'a>(fleet: &Fleet, sent: &'a [Sent]) -> Vec<&'a Sent> {
    let ran = fleet.ran();
    sent.iter()
        .filter(|sent| sent.earlier > 0 && matches!(sent.outcome, Outcome::Cut { .. }))
        .filter(|sent| ran.contains(&sent.id))
        .collect()
}

/// Ends a daemon that exceeds its memory and starts it again a second later, as the platform does.
fn watch_memory(
    vm: &Arc<Vm>,
    stop: &Arc<AtomicBool>,
    ends: &Arc<AtomicU32>,
    peak: &Arc<AtomicU64>,
    record: &Record,
) {
    let (vm, stop, ends, peak, record) = (
        Arc::clone(vm),
        Arc::clone(stop),
        Arc::clone(ends),
        Arc::clone(peak),
        record.clone(),
    );
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            if let Some(resident) = vm.resident_mb() {
                peak.fetch_max(resident, Ordering::Relaxed);
                if resident > MEMORY_MB {
                    record.say(&format!(
                        "{} uses {resident} MB of {MEMORY_MB} MB: killed",
                        vm.name
                    ));
                    vm.kill();
                    ends.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(Duration::from_secs(1));
                    if !stop.load(Ordering::Relaxed) {
                        drop(vm.start());
                    }
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
    });
}

/// Several clients upload a body within `MaxBodyBytes` at the same time.
fn memory(directory: &Path, trouble: bool, record: &Record) -> io::Result<bool> {
    let uploads: usize = parameter("UPLOADS", 2);
    let megabytes: usize = parameter("MEGABYTES", 60);
    let fleet = Fleet::start(
        &["alpha", "alpha", "alpha", "alpha"],
        &config(5_000),
        directory,
        record,
    )?;
    let stop = Arc::new(AtomicBool::new(false));
    let ends: Vec<Arc<AtomicU32>> = fleet.vms.iter().map(|_| Arc::default()).collect();
    let peaks: Vec<Arc<AtomicU64>> = fleet.vms.iter().map(|_| Arc::default()).collect();
    for (index, vm) in fleet.vms.iter().enumerate() {
        watch_memory(vm, &stop, &ends[index], &peaks[index], record);
    }
    let get = Request::get(HOST, "/read/a?work=400", Duration::from_secs(5));
    let steady: Vec<Steady> = (0..16)
        .map(|client| {
            Steady::start(
                fleet.vms[client % 2].calls(),
                &get,
                Duration::from_millis(20),
                record,
            )
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let mut uploaded = Vec::new();
    for _ in 0..3 {
        let body = if trouble { megabytes << 20 } else { 1_800 };
        let upload = Request {
            method: "POST",
            body,
            ..Request::get(HOST, "/book/up?work=20", Duration::from_secs(5))
        };
        let clients: Vec<_> = (0..2 * uploads)
            .map(|client| {
                let (address, upload, record) = (
                    fleet.vms[client % 2].calls(),
                    upload.clone(),
                    record.clone(),
                );
                thread::spawn(move || {
                    let mut connection = Connection::open(address).ok()?;
                    Some(client::exchange(
                        &mut connection,
                        &upload,
                        0,
                        Reading::AtOnce,
                        &record,
                    ))
                })
            })
            .collect();
        uploaded.extend(
            clients
                .into_iter()
                .filter_map(|client| client.join().ok().flatten()),
        );
        thread::sleep(Duration::from_secs(6));
    }
    let sent: Vec<Sent> = steady.into_iter().flat_map(Steady::finish).collect();
    stop.store(true, Ordering::Relaxed);
    for (index, vm) in fleet.vms.iter().enumerate() {
        let (ends, peak) = (
            ends[index].load(Ordering::Relaxed),
            peaks[index].load(Ordering::Relaxed),
        );
        record.say(&format!("{}: peak {peak} MB, killed {ends} times", vm.name));
    }
    tally("requests on kept connections", &sent, record);
    tally("uploads", &uploaded, record);
    let lost = lost(&fleet, &sent);
    for sent in &lost {
        record.line(&format!("lost {} {:?}", sent.id, sent.outcome));
    }
    record.say(&format!(
        "passed on from a kept connection and lost: {} (3 are allowed)",
        lost.len()
    ));
    let often = ends
        .iter()
        .filter(|ends| ends.load(Ordering::Relaxed) >= 3)
        .count();
    record.say(&format!(
        "machines whose process ended three times: {often} (1 is allowed)"
    ));
    Ok(lost.len() > 3 || often >= 2)
}

fn parameter(name: &str, default: usize) -> usize {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// A daemon gets SIGTERM while clients read their answers slowly.
fn slow_stop(directory: &Path, trouble: bool, record: &Record) -> io::Result<bool> {
    let size = parameter("SIZE", 8_000_000);
    let rate = parameter("RATE", 1_800_000);
    let fleet = Fleet::start(
        &["alpha", "alpha", "beta"],
        &config(5_000),
        directory,
        record,
    )?;
    let entry = Arc::clone(&fleet.vms[2]);
    let request = Request::get(
        HOST,
        &format!("/read/a?work=50&size={size}"),
        Duration::from_secs(6),
    );
    let clients: Vec<_> = (0..8)
        .map(|_| {
            let (address, request, record) = (entry.calls(), request.clone(), record.clone());
            thread::spawn(move || -> io::Result<Sent> {
                let stream = sys::connect_small(address, 16 << 10)?;
                let mut connection = Connection::new(stream);
                Ok(client::exchange(
                    &mut connection,
                    &request,
                    0,
                    Reading::Rate(rate),
                    &record,
                ))
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    let stopped = Instant::now();
    if trouble {
        entry.signal("SIGTERM", sys::SIGTERM);
        if !entry.wait(Duration::from_secs(6)) {
            record.say("the daemon still runs after its grace time");
            entry.kill();
        }
        record.say(&format!(
            "ended {:.2} s after SIGTERM",
            stopped.elapsed().as_secs_f64()
        ));
        thread::sleep(Duration::from_secs(1));
        entry.start()?;
    }
    let sent: Vec<Sent> = clients
        .into_iter()
        .filter_map(|client| client.join().ok()?.ok())
        .collect();
    for sent in &sent {
        let time = sent.ended_at.duration_since(sent.sent_at).as_secs_f64();
        record.say(&format!(
            "{} after {time:.2} s: {:?}, runs {}",
            sent.id,
            sent.outcome,
            fleet.runs(&sent.id)
        ));
    }
    let lost = sent
        .iter()
        .filter(|sent| matches!(sent.outcome, Outcome::Cut { .. }) && fleet.runs(&sent.id) > 0);
    let lost = lost.count();
    record.say(&format!(
        "passed on and ended without a complete answer: {lost} (0 are allowed)"
    ));
    Ok(lost > 0)
}

/// Clients stop reading for a while.
fn slow_pause(directory: &Path, trouble: bool, record: &Record) -> io::Result<bool> {
    let size = parameter("SIZE", 36_000);
    let pause = Duration::from_millis(parameter("PAUSE", 3_500) as u64);
    let fleet = Fleet::start(
        &["alpha", "alpha", "beta"],
        &config(5_000),
        directory,
        record,
    )?;
    let first = Request::get(HOST, "/read/a?work=20", Duration::from_secs(5));
    let second = Request::get(
        HOST,
        &format!("/read/a?work=50&size={size}"),
        Duration::from_secs(6),
    );
    let clients: Vec<_> = (0..8)
        .map(|_| {
            let (address, first, second, record) = (
                fleet.vms[2].calls(),
                first.clone(),
                second.clone(),
                record.clone(),
            );
            thread::spawn(move || -> io::Result<Sent> {
                let stream = sys::connect_small(address, 8 << 10)?;
                let mut connection = Connection::new(stream);
                client::exchange(&mut connection, &first, 0, Reading::AtOnce, &record);
                let reading = if trouble {
                    Reading::PauseFirst(pause)
                } else {
                    Reading::AtOnce
                };
                Ok(client::exchange(
                    &mut connection,
                    &second,
                    1,
                    reading,
                    &record,
                ))
            })
        })
        .collect();
    let sent: Vec<Sent> = clients
        .into_iter()
        .filter_map(|client| client.join().ok()?.ok())
        .collect();
    for sent in &sent {
        let time = sent.ended_at.duration_since(sent.sent_at).as_secs_f64();
        record.say(&format!(
            "{} after {time:.2} s: {:?}, runs {}",
            sent.id,
            sent.outcome,
            fleet.runs(&sent.id)
        ));
    }
    let lost = lost(&fleet, &sent).len();
    record.say(&format!(
        "passed on from a kept connection and lost: {lost} (3 are allowed)"
    ));
    Ok(lost > 3)
}

/// A daemon is killed after it has acknowledged that its endpoint leaves. A heartbeat that the
/// endpoint sent before arrives late, at the daemon that was started again.
fn late_heartbeat(directory: &Path, trouble: bool, record: &Record) -> io::Result<bool> {
    let fleet = Fleet::start(
        &["alpha", "alpha", "beta"],
        &config(5_000),
        directory,
        record,
    )?;
    let vm = Arc::clone(&fleet.vms[0]);
    // Endpoints of one service differ in speed; these are the factors of the site.
    vm.upstream.slowness.store(700, Ordering::Relaxed);
    fleet.vms[1]
        .upstream
        .slowness
        .store(1_600, Ordering::Relaxed);
    let get = Request::get(HOST, "/read/a?work=40", Duration::from_secs(5));
    let book = Request {
        method: "POST",
        ..Request::get(HOST, "/book/a?work=40", Duration::from_secs(5))
    };
    let steady: Vec<Steady> = (0..6)
        .map(|client| {
            let request = if client < 3 { &get } else { &book };
            Steady::start(vm.calls(), request, Duration::from_millis(80), record)
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let late = vm.upstream.heartbeat();
    let sent = Instant::now();
    vm.upstream.quiet.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(200));
    let status = vm.upstream.report(&vm.upstream.deregistration())?;
    let acknowledged = Instant::now();
    record.say(&format!(
        "the endpoint of {} deregisters: {status}",
        vm.name
    ));
    if status != 200 {
        return Err(io::Error::other("the departure was not acknowledged"));
    }
    thread::sleep(Duration::from_millis(500));
    let mut back = acknowledged;
    if trouble {
        vm.kill();
        thread::sleep(Duration::from_millis(500));
        vm.start()?;
        back = Instant::now();
        thread::sleep(Duration::from_millis(800));
    } else {
        thread::sleep(Duration::from_millis(1_300));
    }
    let status = vm.upstream.report(&late);
    let age = sent.elapsed().as_secs_f64();
    record.say(&format!(
        "its last heartbeat arrives {age:.1} s late: {status:?}"
    ));
    // It serves for some seconds more before it exits.
    thread::sleep(Duration::from_secs(9).saturating_sub(acknowledged.elapsed()));
    let sent: Vec<Sent> = steady.into_iter().flat_map(Steady::finish).collect();
    tally("requests", &sent, record);
    let bound = acknowledged + Duration::from_secs(2);
    let in_touch = back + Duration::from_secs(3);
    let runs = vm.upstream.runs.lock().unwrap().clone();
    let after = |at: Instant| {
        sent.iter()
            .filter(|sent| sent.sent_at > at)
            .filter(|sent| {
                runs.iter()
                    .any(|run| run.id == sent.id && run.begun > bound)
            })
            .count()
    };
    record.say(&format!(
        "at the leaving endpoint over 2 s after the acknowledgement: {}",
        after(bound)
    ));
    let broken = after(bound.max(in_touch));
    record.say(&format!(
        "of these sent when the machine was in touch again: {broken} (0 are allowed)"
    ));
    Ok(broken > 0)
}

/// Many clients send requests whose fields differ, as cookies or tokens of users do.
fn fields(directory: &Path, trouble: bool, record: &Record) -> io::Result<bool> {
    let bytes = parameter("BYTES", 15_000);
    // Four services of three endpoints each, like those of the site.
    let services: Vec<&str> = SERVICES.iter().flat_map(|service| [*service; 3]).collect();
    let fleet = Fleet::start(&services, &config(5_000), directory, record)?;
    let stop = Arc::new(AtomicBool::new(false));
    let ends: Vec<Arc<AtomicU32>> = fleet.vms.iter().map(|_| Arc::default()).collect();
    let peaks: Vec<Arc<AtomicU64>> = fleet.vms.iter().map(|_| Arc::default()).collect();
    for (index, vm) in fleet.vms.iter().enumerate() {
        watch_memory(vm, &stop, &ends[index], &peaks[index], record);
    }
    let vms = fleet.vms.len();
    let get = |client: usize, work: u64| {
        let service = SERVICES[client / vms % SERVICES.len()];
        Request::get(
            HOST,
            &format!("/{service}/a?work={work}"),
            Duration::from_secs(5),
        )
    };
    let mut steady: Vec<Steady> = (0..8 * vms)
        .map(|client| {
            let request = Request {
                cookie: bytes,
                own_cookie: trouble,
                ..get(client, 2)
            };
            let address = fleet.vms[client % vms].calls();
            Steady::start(address, &request, Duration::from_millis(8), record)
        })
        .collect();
    steady.extend((0..4 * vms).map(|client| {
        let address = fleet.vms[client % vms].calls();
        Steady::start(
            address,
            &get(client, 400),
            Duration::from_millis(20),
            record,
        )
    }));
    for _ in 0..parameter("SECONDS", 30) {
        thread::sleep(Duration::from_secs(1));
        let now: Vec<u64> = fleet.vms.iter().filter_map(|vm| vm.resident_mb()).collect();
        record.line(&format!("resident MB {now:?}"));
    }
    let sent: Vec<Sent> = steady.into_iter().flat_map(Steady::finish).collect();
    stop.store(true, Ordering::Relaxed);
    for (index, vm) in fleet.vms.iter().enumerate() {
        let (ends, peak) = (
            ends[index].load(Ordering::Relaxed),
            peaks[index].load(Ordering::Relaxed),
        );
        record.say(&format!("{}: peak {peak} MB, killed {ends} times", vm.name));
    }
    tally("requests on kept connections", &sent, record);
    let lost = lost(&fleet, &sent).len();
    record.say(&format!(
        "passed on from a kept connection and lost: {lost} (3 are allowed)"
    ));
    let often = ends
        .iter()
        .filter(|ends| ends.load(Ordering::Relaxed) >= 3)
        .count();
    record.say(&format!(
        "machines whose process ended three times: {often} (1 is allowed)"
    ));
    Ok(lost > 3 || often >= 2)
}

/// A daemon acknowledges that its endpoint leaves while the store is away, and is killed before it
/// can write that. The store is back before the daemon has started again.
fn departure_lost(directory: &Path, trouble: bool, record: &Record) -> io::Result<bool> {
    let fleet = Fleet::start(
        &["alpha", "alpha", "beta"],
        &config(5_000),
        directory,
        record,
    )?;
    let vm = Arc::clone(&fleet.vms[0]);
    // Endpoints of one service differ in speed; these are the factors of the site.
    vm.upstream.slowness.store(700, Ordering::Relaxed);
    fleet.vms[1]
        .upstream
        .slowness
        .store(1_600, Ordering::Relaxed);
    let get = Request::get(HOST, "/read/a?work=40", Duration::from_secs(5));
    let steady: Vec<Steady> = (0..6)
        .map(|_| Steady::start(vm.calls(), &get, Duration::from_millis(80), record))
        .collect();
    thread::sleep(Duration::from_secs(1));
    if trouble {
        record.say("the store is down");
        fleet.store.set_down(true);
    }
    thread::sleep(Duration::from_secs(1));
    vm.upstream.quiet.store(true, Ordering::Relaxed);
    let status = vm.upstream.report(&vm.upstream.deregistration())?;
    let acknowledged = Instant::now();
    record.say(&format!(
        "the endpoint of {} deregisters: {status}",
        vm.name
    ));
    thread::sleep(Duration::from_millis(500));
    let mut back = acknowledged;
    if trouble {
        vm.kill();
        thread::sleep(Duration::from_millis(300));
        record.say("the store is back");
        fleet.store.set_down(false);
        thread::sleep(Duration::from_millis(200));
        vm.start()?;
        back = Instant::now();
    }
    thread::sleep(Duration::from_secs(9).saturating_sub(acknowledged.elapsed()));
    let sent: Vec<Sent> = steady.into_iter().flat_map(Steady::finish).collect();
    tally("requests", &sent, record);
    let bound = acknowledged + Duration::from_secs(2);
    let in_touch = back + Duration::from_secs(3);
    let runs = vm.upstream.runs.lock().unwrap().clone();
    let broken = sent
        .iter()
        .filter(|sent| sent.sent_at > bound.max(in_touch))
        .filter(|sent| runs.iter().any(|run| run.id == sent.id))
        .count();
    record.say(&format!(
        "at the leaving endpoint over 2 s after the acknowledgement, in touch: {broken} (0 are allowed)"
    ));
    Ok(broken > 0)
}

/// Clients read large answers slowly; the daemon holds what they have not read.
fn held_answers(directory: &Path, trouble: bool, record: &Record) -> io::Result<bool> {
    let size = parameter("SIZE", 12_000_000);
    let clients = parameter("CLIENTS", 24);
    let fleet = Fleet::start(
        &["alpha", "alpha", "beta"],
        &config(5_000),
        directory,
        record,
    )?;
    let vm = Arc::clone(&fleet.vms[2]);
    let stop = Arc::new(AtomicBool::new(false));
    let (ends, peak): (Arc<AtomicU32>, Arc<AtomicU64>) = (Arc::default(), Arc::default());
    watch_memory(&vm, &stop, &ends, &peak, record);
    let get = Request::get(HOST, "/read/a?work=400", Duration::from_secs(5));
    let steady: Vec<Steady> = (0..8)
        .map(|_| Steady::start(vm.calls(), &get, Duration::from_millis(20), record))
        .collect();
    thread::sleep(Duration::from_secs(2));
    let request = Request::get(
        HOST,
        &format!("/read/a?work=20&size={size}"),
        Duration::from_secs(6),
    );
    let readers: Vec<_> = (0..clients)
        .map(|_| {
            let (address, request, record) = (vm.calls(), request.clone(), record.clone());
            let reading = if trouble {
                Reading::Rate(2_600_000)
            } else {
                Reading::AtOnce
            };
            let handle = thread::spawn(move || -> io::Result<Sent> {
                let stream = sys::connect_small(address, 16 << 10)?;
                let mut connection = Connection::new(stream);
                Ok(client::exchange(
                    &mut connection,
                    &request,
                    0,
                    reading,
                    &record,
                ))
            });
            thread::sleep(Duration::from_millis(40));
            handle
        })
        .collect();
    let read: Vec<Sent> = readers
        .into_iter()
        .filter_map(|reader| reader.join().ok()?.ok())
        .collect();
    thread::sleep(Duration::from_secs(2));
    let sent: Vec<Sent> = steady.into_iter().flat_map(Steady::finish).collect();
    stop.store(true, Ordering::Relaxed);
    let (ends, peak) = (ends.load(Ordering::Relaxed), peak.load(Ordering::Relaxed));
    record.say(&format!("{}: peak {peak} MB, killed {ends} times", vm.name));
    tally("requests on kept connections", &sent, record);
    tally("large answers", &read, record);
    let lost = lost(&fleet, &sent).len();
    record.say(&format!(
        "passed on from a kept connection and lost: {lost} (3 are allowed)"
    ));
    Ok(lost > 3)
}

/// An endpoint sends bytes that are no answer without end.
fn endless(directory: &Path, trouble: bool, record: &Record) -> io::Result<bool> {
    let fleet = Fleet::start(
        &["alpha", "alpha", "beta"],
        &config(5_000),
        directory,
        record,
    )?;
    let stop = Arc::new(AtomicBool::new(false));
    let ends: Vec<Arc<AtomicU32>> = fleet.vms.iter().map(|_| Arc::default()).collect();
    let peaks: Vec<Arc<AtomicU64>> = fleet.vms.iter().map(|_| Arc::default()).collect();
    for (index, vm) in fleet.vms.iter().enumerate() {
        watch_memory(vm, &stop, &ends[index], &peaks[index], record);
    }
    let get = Request::get(HOST, "/read/a?work=100", Duration::from_secs(5));
    let steady: Vec<Steady> = (0..12)
        .map(|client| {
            Steady::start(
                fleet.vms[client % 3].calls(),
                &get,
                Duration::from_millis(20),
                record,
            )
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    for part in ["head", "line", "interim", "chunks", "body"] {
        let target = if trouble {
            format!("/read/a?endless={part}")
        } else {
            "/read/a".to_owned()
        };
        let request = Request::get(HOST, &target, Duration::from_secs(5));
        let clients: Vec<_> = (0..30)
            .map(|client| {
                let (address, request, record) = (
                    fleet.vms[client % 3].calls(),
                    request.clone(),
                    record.clone(),
                );
                thread::spawn(move || -> io::Result<Sent> {
                    let mut connection = Connection::open(address)?;
                    Ok(client::exchange(
                        &mut connection,
                        &request,
                        0,
                        Reading::AtOnce,
                        &record,
                    ))
                })
            })
            .collect();
        let sent: Vec<Sent> = clients
            .into_iter()
            .filter_map(|client| client.join().ok()?.ok())
            .collect();
        tally(&format!("endless {part}"), &sent, record);
        thread::sleep(Duration::from_secs(1));
    }
    let sent: Vec<Sent> = steady.into_iter().flat_map(Steady::finish).collect();
    stop.store(true, Ordering::Relaxed);
    for (index, vm) in fleet.vms.iter().enumerate() {
        let (ends, peak) = (
            ends[index].load(Ordering::Relaxed),
            peaks[index].load(Ordering::Relaxed),
        );
        record.say(&format!("{}: peak {peak} MB, killed {ends} times", vm.name));
    }
    tally("requests on kept connections", &sent, record);
    let late = sent
        .iter()
        .filter(|sent| matches!(sent.outcome, Outcome::TimedOut))
        .count();
    let lost = lost(&fleet, &sent).len();
    record.say(&format!(
        "lost {lost} (3 are allowed), never answered {late}"
    ));
    Ok(lost > 3 || late > 0 || ends.iter().any(|ends| ends.load(Ordering::Relaxed) > 0))
}

/// Requests and changes that the project's tests do not cover: `HEAD`, `Expect: 100-continue`, and
/// settings that change without a signal.
fn untested(directory: &Path, trouble: bool, record: &Record) -> io::Result<bool> {
    let fleet = Fleet::start(
        &["alpha", "alpha", "beta"],
        &config(3_000),
        directory,
        record,
    )?;
    let vm = Arc::clone(&fleet.vms[2]);
    let get = Request::get(HOST, "/read/a?work=40", Duration::from_secs(5));
    let steady: Vec<Steady> = (0..6)
        .map(|_| Steady::start(vm.calls(), &get, Duration::from_millis(40), record))
        .collect();
    if trouble {
        let head = Request {
            method: "HEAD",
            ..get.clone()
        };
        let post = Request {
            method: "POST",
            body: 20_000,
            expect: true,
            ..Request::get(HOST, "/book/a?work=40", Duration::from_secs(5))
        };
        for (name, request) in [("HEAD", head), ("Expect", post)] {
            let mut sent = Vec::new();
            for _ in 0..5 {
                let mut connection = Connection::open(vm.calls())?;
                sent.push(client::exchange(
                    &mut connection,
                    &request,
                    0,
                    Reading::AtOnce,
                    record,
                ));
            }
            tally(name, &sent, record);
            let runs: Vec<usize> = sent.iter().map(|sent| fleet.runs(&sent.id)).collect();
            record.say(&format!("{name}: runs {runs:?}"));
        }
        vm.touch_settings()?;
        thread::sleep(Duration::from_secs(5));
        record.say(&format!("settings reloaded: {}", vm.logged("\"reloaded\"")));
    }
    let sent: Vec<Sent> = steady.into_iter().flat_map(Steady::finish).collect();
    tally("requests", &sent, record);
    Ok(sent
        .iter()
        .any(|sent| !matches!(sent.outcome, Outcome::Answered(200, true))))
}
