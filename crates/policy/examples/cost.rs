//! Cost of one decision in nanoseconds, and bytes of state per customer, kind and endpoint.
//!
//! `cargo run --release -p sapphiredoor-policy --example cost` prints the table. Times are medians
//! of rounds; bytes are growth of the resident set, read from `/proc/self/statm`.

use std::fs;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use policy::admission::{Action, Admission, CallRequest};
use policy::balancer::{Balancer, Candidate, Outcome};
use policy::id::{CustomerName, KindName, ServiceName, VmId};
use policy::level::{AdmissionLevel, BucketAssigner, LevelTable};
use policy::rule::{Class, RuleSet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ROUNDS: usize = 9;
const CALLS: u32 = 20_000;
const PAGE: u64 = 4_096;
const LATENCY: Duration = Duration::from_millis(10);
/// Endpoints of one service: 1,500 upstreams in 80 services.
const ENDPOINTS: u16 = 19;

/// Prints the median time of `call` over rounds of many calls.
fn time(name: &str, mut call: impl FnMut(u32)) {
    let mut rounds: Vec<u128> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            for index in 0..CALLS {
                call(index);
            }
            start.elapsed().as_nanos() / u128::from(CALLS)
        })
        .collect();
    rounds.sort_unstable();
    println!("| {name} | {} ns |", rounds[ROUNDS / 2]);
}

fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE
}

/// Prints the bytes by which `build` lets the process grow, per item. The state is returned so that
/// it lives until the end.
fn bytes<T>(name: &str, items: u64, build: impl FnOnce() -> T) -> T {
    let before = resident();
    let state = build();
    let grown = resident().saturating_sub(before);
    println!("| {name} | {} bytes |", grown / items);
    state
}

fn class(customer: &str) -> Class {
    RuleSet::default().classify("despacho", "GET", "/", customer)
}

fn names(count: u64) -> Vec<CustomerName> {
    (0..count)
        .map(|index| format!("customer-{index}").into())
        .collect()
}

fn candidate(index: u16) -> Candidate {
    Candidate {
        vm: format!("vm-{index}").into(),
        incarnation: 1,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8_000)),
        data_centre: if index.is_multiple_of(3) { "a" } else { "b" }.into(),
        slots: 10,
        cold: false,
        suspected: false,
        draining: false,
    }
}

fn router(now: Instant, endpoints: u16) -> Balancer {
    let mut router = Balancer::new("a".into());
    router.update(now, (0..endpoints).map(candidate));
    router
}

fn offers(now: Instant) -> Vec<CallRequest> {
    let offer = |customer: &CustomerName| CallRequest {
        id: 0,
        class: class(customer),
        deadline: now + Duration::from_mins(1),
        bucket: 7,
    };
    names(1_000).iter().map(offer).collect()
}

fn time_admission(now: Instant) {
    let mut offers = offers(now);
    let mut idle = Admission::new(200, 1);
    time("admission: offer and finish, slots free", |index| {
        let offer = &mut offers[index as usize % 1_000];
        offer.id = index.into();
        black_box(idle.submit(now, offer));
        black_box(idle.finish(now, index.into(), LATENCY, true));
    });
    let mut full = Admission::new(200, 1);
    let mut id = 0;
    let mut running = Vec::new();
    let mut offer_one = |full: &mut Admission, running: &mut Vec<u64>| {
        id += 1;
        let offer = &mut offers[id as usize % 1_000];
        offer.id = id;
        for action in full.submit(now, offer) {
            if let Action::Start(id) = action {
                running.push(id);
            }
        }
    };
    for _ in 0..2_000 {
        offer_one(&mut full, &mut running);
    }
    time(
        "admission: offer to a full queue of 800, one evicted",
        |_| {
            offer_one(&mut full, &mut running);
        },
    );
    time(
        "admission: the same, and finish with the next started",
        |_| {
            offer_one(&mut full, &mut running);
            if let Some(done) = running.pop() {
                for action in full.finish(now, done, LATENCY, true) {
                    if let Action::Start(id) = action {
                        running.push(id);
                    }
                }
            }
        },
    );
}

fn time_levels(now: Instant) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut table = LevelTable::new();
    let services: Vec<ServiceName> = (0..80).map(|index| format!("s-{index}").into()).collect();
    let kind = KindName::from("booking");
    let level: AdmissionLevel = "3.64+4.20".parse().expect("valid level");
    for service in &services {
        table.observe(now, service, level);
        table.observe_path(now, &kind, service, &services[..8]);
    }
    time("level: admit, path of 9 services", |index| {
        let service = &services[index as usize % 80];
        black_box(table.admit(now, service, &kind, 2, 5, &mut rng));
    });
    time("level: observe one answer", |index| {
        table.observe(now, &services[index as usize % 80], level);
    });
    let mut buckets = BucketAssigner::new(1);
    let classes: Vec<Class> = names(1_000).iter().map(|name| class(name)).collect();
    time("level: bucket of a new chain", |index| {
        let class = &classes[index as usize % 1_000];
        black_box(buckets.bucket(now, class, index.into()));
    });
}

fn time_route(now: Instant) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut router = router(now, ENDPOINTS);
    let vms: Vec<VmId> = (0..ENDPOINTS).map(|index| candidate(index).vm).collect();
    time("route: pick of 19 endpoints", |_| {
        black_box(router.pick(now, &[], &mut rng));
    });
    time("route: started and finished", |_| {
        let vm = &vms[rng.random_range(0..vms.len())];
        router.call_started(now, vm);
        router.call_finished(now, vm, Outcome::Ok, LATENCY, &mut rng);
    });
}

fn sizes(now: Instant) {
    const CUSTOMERS: u64 = 20_000;
    const KINDS: u64 = 10_000;
    const ROUTERS: u64 = 2_000;
    let names = names(CUSTOMERS);
    let admission = bytes(
        "named customer with usage in one rank (admission)",
        CUSTOMERS,
        || {
            let mut admission = Admission::new(200, 1);
            admission.set_customers(names.iter().map(Arc::clone));
            for (id, name) in names.iter().enumerate() {
                let offer = CallRequest {
                    id: id as u64,
                    class: class(name),
                    deadline: now + Duration::from_mins(1),
                    bucket: 0,
                };
                admission.submit(now, &offer);
                admission.finish(now, id as u64, LATENCY, true);
            }
            admission
        },
    );
    let buckets = bytes("named customer at the entry (buckets)", CUSTOMERS, || {
        let mut buckets = BucketAssigner::new(1);
        buckets.set_customers(names.iter().map(Arc::clone));
        buckets
    });
    let unnamed = bytes(
        "all unnamed customers at the entry, 256 shares",
        100,
        || vec![BucketAssigner::new(1); 100],
    );
    let services: Vec<ServiceName> = (0..8).map(|index| format!("s-{index}").into()).collect();
    let table = bytes("kind with a path of 8 services (levels)", KINDS, || {
        let mut table = LevelTable::new();
        for index in 0..KINDS {
            let kind = KindName::from(format!("kind-{index}"));
            table.observe_path(now, &kind, &services[0], &services);
        }
        table
    });
    let endpoints = ROUTERS * u64::from(ENDPOINTS);
    let routers = bytes("endpoint (route)", endpoints, || {
        let routers: Vec<Balancer> = (0..ROUTERS).map(|_| router(now, ENDPOINTS)).collect();
        routers
    });
    black_box((admission, buckets, unnamed, table, routers));
}

fn main() {
    let now = Instant::now();
    println!("| decision or state | cost |");
    println!("|---|---|");
    sizes(now);
    time_admission(now);
    time_levels(now);
    time_route(now);
}
