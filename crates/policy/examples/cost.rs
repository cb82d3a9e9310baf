//! Prints the time of one decision and the bytes of state per customer, kind and endpoint.
//!
//! Run with `cargo run --release -p sapphiredoor-policy --example cost`. Times are medians of
//! rounds; bytes are the growth of the resident set, read from `/proc/self/statm`.

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

const ROUND_COUNT: usize = 9;
const CALLS_PER_ROUND: u32 = 20_000;
const PAGE_BYTES: u64 = 4_096;
const LATENCY: Duration = Duration::from_millis(10);
/// Endpoints of one service: 1,500 endpoints in 80 services.
const ENDPOINT_COUNT: u16 = 19;

/// Prints the median time of one `call` over several rounds.
fn print_time(name: &str, mut call: impl FnMut(u32)) {
    let mut rounds: Vec<u128> = (0..ROUND_COUNT)
        .map(|_| {
            let start = Instant::now();
            for index in 0..CALLS_PER_ROUND {
                call(index);
            }
            start.elapsed().as_nanos() / u128::from(CALLS_PER_ROUND)
        })
        .collect();
    rounds.sort_unstable();
    println!("| {name} | {} ns |", rounds[ROUND_COUNT / 2]);
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

/// Prints the bytes per item by which `build` makes the process grow. Returns the state, so that it
/// is not freed before the end.
fn print_bytes<T>(name: &str, items: u64, build: impl FnOnce() -> T) -> T {
    let before = resident_bytes();
    let state = build();
    let grown = resident_bytes().saturating_sub(before);
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

fn new_balancer(now: Instant, endpoints: u16) -> Balancer {
    let mut balancer = Balancer::new("a".into());
    balancer.update(now, (0..endpoints).map(candidate));
    balancer
}

fn requests(now: Instant) -> Vec<CallRequest> {
    let request = |customer: &CustomerName| CallRequest {
        id: 0,
        class: class(customer),
        deadline: now + Duration::from_mins(1),
        bucket: 7,
    };
    names(1_000).iter().map(request).collect()
}

fn measure_admission(now: Instant) {
    let mut requests = requests(now);
    let mut idle = Admission::new(200, 1);
    print_time("admission: submit and finish, slots free", |index| {
        let request = &mut requests[index as usize % 1_000];
        request.id = index.into();
        black_box(idle.submit(now, request));
        black_box(idle.finish(now, index.into(), LATENCY, true));
    });
    let mut full = Admission::new(200, 1);
    let mut id = 0;
    let mut running = Vec::new();
    let mut submit_one = |full: &mut Admission, running: &mut Vec<u64>| {
        id += 1;
        let request = &mut requests[id as usize % 1_000];
        request.id = id;
        for action in full.submit(now, request) {
            if let Action::Start(id) = action {
                running.push(id);
            }
        }
    };
    for _ in 0..2_000 {
        submit_one(&mut full, &mut running);
    }
    print_time(
        "admission: submit to a full queue of 800, one evicted",
        |_| {
            submit_one(&mut full, &mut running);
        },
    );
    print_time(
        "admission: the same, and finish with the next started",
        |_| {
            submit_one(&mut full, &mut running);
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

fn measure_levels(now: Instant) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut table = LevelTable::new();
    let services: Vec<ServiceName> = (0..80).map(|index| format!("s-{index}").into()).collect();
    let kind = KindName::from("booking");
    let level: AdmissionLevel = "3.64+4.20".parse().expect("valid level");
    for service in &services {
        table.observe(now, service, level);
        table.observe_path(now, &kind, service, &services[..8]);
    }
    print_time("level: admit, path of 9 services", |index| {
        let service = &services[index as usize % 80];
        black_box(table.admit(now, service, &kind, 2, 5, &mut rng));
    });
    print_time("level: observe one response", |index| {
        table.observe(now, &services[index as usize % 80], level);
    });
    let mut buckets = BucketAssigner::new(1);
    let classes: Vec<Class> = names(1_000).iter().map(|name| class(name)).collect();
    print_time("level: bucket of a new chain", |index| {
        let class = &classes[index as usize % 1_000];
        black_box(buckets.bucket(now, class, index.into()));
    });
}

fn measure_balancer(now: Instant) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut balancer = new_balancer(now, ENDPOINT_COUNT);
    let vms: Vec<VmId> = (0..ENDPOINT_COUNT)
        .map(|index| candidate(index).vm)
        .collect();
    print_time("balancer: pick of 19 endpoints", |_| {
        black_box(balancer.pick(now, &[], &mut rng));
    });
    print_time("balancer: call started and finished", |_| {
        let vm = &vms[rng.random_range(0..vms.len())];
        balancer.call_started(now, vm);
        balancer.call_finished(now, vm, Outcome::Ok, LATENCY, &mut rng);
    });
}

fn measure_state(now: Instant) {
    const CUSTOMERS: u64 = 20_000;
    const KINDS: u64 = 10_000;
    const BALANCERS: u64 = 2_000;
    let names = names(CUSTOMERS);
    let admission = print_bytes(
        "named customer with usage in one rank (admission)",
        CUSTOMERS,
        || {
            let mut admission = Admission::new(200, 1);
            admission.set_customers(names.iter().map(Arc::clone));
            for (id, name) in names.iter().enumerate() {
                let request = CallRequest {
                    id: id as u64,
                    class: class(name),
                    deadline: now + Duration::from_mins(1),
                    bucket: 0,
                };
                admission.submit(now, &request);
                admission.finish(now, id as u64, LATENCY, true);
            }
            admission
        },
    );
    let buckets = print_bytes("named customer at the entry (buckets)", CUSTOMERS, || {
        let mut buckets = BucketAssigner::new(1);
        buckets.set_customers(names.iter().map(Arc::clone));
        buckets
    });
    let unnamed = print_bytes(
        "all unnamed customers at the entry, 256 shares",
        100,
        || vec![BucketAssigner::new(1); 100],
    );
    let services: Vec<ServiceName> = (0..8).map(|index| format!("s-{index}").into()).collect();
    let table = print_bytes("kind with a path of 8 services (levels)", KINDS, || {
        let mut table = LevelTable::new();
        for index in 0..KINDS {
            let kind = KindName::from(format!("kind-{index}"));
            table.observe_path(now, &kind, &services[0], &services);
        }
        table
    });
    let endpoints = BALANCERS * u64::from(ENDPOINT_COUNT);
    let balancers = print_bytes("endpoint (balancer)", endpoints, || {
        let balancers: Vec<Balancer> = (0..BALANCERS)
            .map(|_| new_balancer(now, ENDPOINT_COUNT))
            .collect();
        balancers
    });
    black_box((admission, buckets, unnamed, table, balancers));
}

fn main() {
    let now = Instant::now();
    println!("| decision or state | cost |");
    println!("|---|---|");
    measure_state(now);
    measure_admission(now);
    measure_levels(now);
    measure_balancer(now);
}
