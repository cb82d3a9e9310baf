//! Simulates endpoint faults and prints served calls and latency by balancing method.
//!
//! Run with `cargo run --release -p sapphiredoor-policy --example routing`. Time is simulated and
//! the seed is fixed, so every run prints the same figures.
//!
//! A service has 3 local and 3 remote endpoints, each with 10 slots of 10 ms and a queue of 40;
//! calls come at 60% of the local slots. A call that is refused or fails to connect is retried once
//! at another endpoint.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use policy::balancer::{Balancer, Candidate, Outcome};
use policy::id::VmId;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ENDPOINT_COUNT: usize = 6;
const LOCAL_COUNT: usize = 3;
const SLOTS: u32 = 10;
const MAX_QUEUED: usize = 40;
const WORK_SECONDS: f64 = 0.010;
const DEADLINE: Duration = Duration::from_millis(250);
const LOCAL_LATENCY: Duration = Duration::from_micros(500);
const REMOTE_LATENCY: Duration = Duration::from_millis(2);
const DURATION_S: u64 = 30;
/// The fault lasts from second 10 to second 20.
const FAULT_SECONDS: std::ops::Range<u64> = 10..20;
const SEED: u64 = 42;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Choice {
    /// A random local endpoint.
    Random,
    /// The local endpoint with the fewest calls of this daemon.
    LeastCalls,
    /// The endpoint that [`Balancer::pick`] returns.
    Router,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Endpoint 0 is 20 times slower.
    Slow,
    /// Endpoint 0 refuses connections.
    Crashed,
    /// Calls come at 1.5 times the local slots.
    Surge,
    /// All local endpoints refuse connections.
    DataCentre,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call,
    Arrive(usize),
    WorkDone(usize),
    Response(usize, u8),
}

const OUTCOMES: [Outcome; 3] = [Outcome::Ok, Outcome::Refused, Outcome::Connection];

struct Call {
    endpoint: usize,
    /// Endpoint to exclude from a retry; `None` after the retry.
    first: Option<usize>,
    arrived_at: Instant,
    sent_at: Instant,
}

#[derive(Default)]
struct Endpoint {
    running: u32,
    waiting: VecDeque<usize>,
    calls: u32,
}

struct Simulation {
    choice: Choice,
    fault: Fault,
    start: Instant,
    now: Instant,
    rng: SmallRng,
    balancer: Balancer,
    vms: Vec<VmId>,
    endpoints: Vec<Endpoint>,
    calls: Vec<Call>,
    events: BinaryHeap<Reverse<(Instant, usize, Event)>>,
    sequence: usize,
    latencies: Vec<Duration>,
    offered: u32,
    remote_calls: u32,
}

impl Simulation {
    fn new(choice: Choice, fault: Fault) -> Self {
        let now = Instant::now();
        let vms: Vec<VmId> = (0..ENDPOINT_COUNT)
            .map(|index| format!("vm-{index}").into())
            .collect();
        let mut balancer = Balancer::new("near".into());
        let candidates = vms.iter().enumerate().map(|(index, vm)| Candidate {
            vm: Arc::clone(vm),
            incarnation: 1,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8_000)),
            data_centre: if index < LOCAL_COUNT { "near" } else { "far" }.into(),
            slots: SLOTS,
            cold: false,
            suspected: false,
            draining: false,
        });
        balancer.update(now, candidates);
        Self {
            choice,
            fault,
            start: now,
            now,
            rng: SmallRng::seed_from_u64(SEED),
            balancer,
            vms,
            endpoints: (0..ENDPOINT_COUNT).map(|_| Endpoint::default()).collect(),
            calls: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            latencies: Vec::new(),
            offered: 0,
            remote_calls: 0,
        }
    }

    fn run(mut self) -> Self {
        self.after(Duration::ZERO, Event::Call);
        let end = self.start + Duration::from_secs(DURATION_S);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Call if at < end => self.call(),
                Event::Call => {}
                Event::Arrive(id) => self.arrive(id),
                Event::WorkDone(id) => self.work_done(id),
                Event::Response(id, outcome) => self.handle_response(id, outcome),
            }
        }
        self
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        let at = self.now + delay;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        Duration::from_secs_f64(-mean * (1.0 - self.rng.random::<f64>()).ln())
    }

    fn in_fault(&self, at: Instant) -> bool {
        FAULT_SECONDS.contains(&(at - self.start).as_secs())
    }

    fn call(&mut self) {
        let load = if self.fault == Fault::Surge && self.in_fault(self.now) {
            1.5
        } else {
            0.6
        };
        let rate = load * LOCAL_COUNT as f64 * f64::from(SLOTS) / WORK_SECONDS;
        let gap = self.exponential(1.0 / rate);
        self.after(gap, Event::Call);
        self.offered += u32::from(self.in_fault(self.now));
        self.send(self.now, None);
    }

    fn send(&mut self, arrived_at: Instant, first: Option<usize>) {
        let not_tried = |index: &usize| Some(*index) != first;
        let endpoint = match self.choice {
            Choice::Random => loop {
                let index = self.rng.random_range(0..LOCAL_COUNT);
                if not_tried(&index) {
                    break index;
                }
            },
            Choice::LeastCalls => {
                let calls = |index: &usize| self.endpoints[*index].calls;
                (0..LOCAL_COUNT)
                    .filter(not_tried)
                    .min_by_key(calls)
                    .unwrap_or(0)
            }
            Choice::Router => {
                let exclude: Vec<VmId> = first
                    .iter()
                    .map(|index| Arc::clone(&self.vms[*index]))
                    .collect();
                let picked = self.balancer.pick(self.now, &exclude, &mut self.rng);
                let Some(picked) = picked else { return };
                let found = self.vms.iter().position(|vm| *vm == picked.vm);
                found.unwrap_or(0)
            }
        };
        self.balancer.call_started(self.now, &self.vms[endpoint]);
        self.endpoints[endpoint].calls += 1;
        self.remote_calls += u32::from(endpoint >= LOCAL_COUNT && self.in_fault(arrived_at));
        let id = self.calls.len();
        self.calls.push(Call {
            endpoint,
            first: first.or(Some(endpoint)).filter(|_| first.is_none()),
            arrived_at,
            sent_at: self.now,
        });
        self.after(network_latency(endpoint), Event::Arrive(id));
    }

    fn arrive(&mut self, id: usize) {
        let index = self.calls[id].endpoint;
        let down = match self.fault {
            Fault::Crashed => index == 0,
            Fault::DataCentre => index < LOCAL_COUNT,
            Fault::None | Fault::Slow | Fault::Surge => false,
        };
        if down && self.in_fault(self.now) {
            self.after(network_latency(index), Event::Response(id, 2));
        } else if self.endpoints[index].waiting.len() >= MAX_QUEUED {
            self.after(network_latency(index), Event::Response(id, 1));
        } else {
            self.endpoints[index].waiting.push_back(id);
            self.start_waiting(index);
        }
    }

    fn start_waiting(&mut self, index: usize) {
        while self.endpoints[index].running < SLOTS {
            let Some(id) = self.endpoints[index].waiting.pop_front() else {
                return;
            };
            self.endpoints[index].running += 1;
            let slow = self.fault == Fault::Slow && index == 0 && self.in_fault(self.now);
            let time = self.exponential(WORK_SECONDS * if slow { 20.0 } else { 1.0 });
            self.after(time, Event::WorkDone(id));
        }
    }

    fn work_done(&mut self, id: usize) {
        let index = self.calls[id].endpoint;
        self.endpoints[index].running -= 1;
        self.start_waiting(index);
        self.after(network_latency(index), Event::Response(id, 0));
    }

    fn handle_response(&mut self, id: usize, outcome: u8) {
        let Call {
            endpoint,
            first,
            arrived_at,
            sent_at,
        } = self.calls[id];
        self.endpoints[endpoint].calls -= 1;
        let latency = self.now - sent_at;
        let outcome = OUTCOMES[usize::from(outcome)];
        let vm = &self.vms[endpoint];
        self.balancer
            .call_finished(self.now, vm, outcome, latency, &mut self.rng);
        if outcome == Outcome::Ok {
            if self.in_fault(arrived_at) {
                self.latencies.push(self.now - arrived_at);
            }
        } else if first.is_some() {
            self.send(arrived_at, first);
        }
    }
}

const fn network_latency(endpoint: usize) -> Duration {
    if endpoint < LOCAL_COUNT {
        LOCAL_LATENCY
    } else {
        REMOTE_LATENCY
    }
}

fn main() {
    println!(
        "| fault | choice | served in 250 ms | p50 ms | p99 ms | sent to the remote data centre |"
    );
    println!("|---|---|---|---|---|---|");
    for (fault, name) in [
        (Fault::None, "none"),
        (Fault::Slow, "one 20 times slower"),
        (Fault::Crashed, "one crashed"),
        (Fault::Surge, "surge to 1.5 times the slots"),
        (Fault::DataCentre, "local data centre crashed"),
    ] {
        for choice in [Choice::Random, Choice::LeastCalls, Choice::Router] {
            let mut simulation = Simulation::new(choice, fault).run();
            simulation.latencies.sort_unstable();
            let offered = f64::from(simulation.offered);
            let served = simulation
                .latencies
                .partition_point(|latency| *latency <= DEADLINE);
            let quantile = |fraction: f64| {
                let index = (simulation.latencies.len() as f64 * fraction) as usize;
                simulation
                    .latencies
                    .get(index)
                    .map_or(0.0, |latency| latency.as_secs_f64() * 1e3)
            };
            println!(
                "| {name} | {choice:?} | {:.4} | {:.1} | {:.1} | {:.3} |",
                served as f64 / offered,
                quantile(0.5),
                quantile(0.99),
                f64::from(simulation.remote_calls) / offered,
            );
        }
    }
}
