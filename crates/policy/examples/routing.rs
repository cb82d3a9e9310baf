//! Served calls and latency with one bad endpoint, by choice of endpoint.
//!
//! `cargo run --release -p sapphiredoor-policy --example routing` prints the table. Time is simulated
//! and the seed is fixed, so every run prints the same figures.
//!
//! A service has 3 endpoints in the own data centre and 3 in another, each with 10 slots of 10 ms
//! and a queue of 40; calls come at 60% of the slots of the own data centre. A call that is refused
//! or fails to connect is tried once more at another endpoint.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use policy::balancer::{Balancer, Candidate, Outcome};
use policy::id::VmId;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ENDPOINTS: usize = 6;
const LOCAL: usize = 3;
const SLOTS: u32 = 10;
const QUEUE: usize = 40;
const SERVICE_TIME: f64 = 0.010;
const DEADLINE: Duration = Duration::from_millis(250);
const HOP: Duration = Duration::from_micros(500);
const FAR_HOP: Duration = Duration::from_millis(2);
const SECONDS: u64 = 30;
/// The fault lasts from second 10 to second 20.
const FAULT: std::ops::Range<u64> = 10..20;
const SEED: u64 = 42;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Choice {
    /// Any endpoint of the own data centre.
    Random,
    /// The endpoint of the own data centre with the fewest calls of this daemon.
    LeastCalls,
    Router,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Endpoint 0 is 20 times slower.
    Slow,
    /// Endpoint 0 refuses connections.
    Crashed,
    /// Calls come at 1.5 times the slots of the own data centre.
    Surge,
    /// All endpoints of the own data centre refuse connections.
    DataCentre,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call,
    Arrive(usize),
    Worked(usize),
    Answer(usize, u8),
}

const OUTCOMES: [Outcome; 3] = [Outcome::Ok, Outcome::Refused, Outcome::Connection];

struct Call {
    endpoint: usize,
    first: Option<usize>,
    born: Instant,
    sent: Instant,
}

#[derive(Default)]
struct Endpoint {
    running: u32,
    waiting: VecDeque<usize>,
    calls: u32,
}

struct World {
    choice: Choice,
    fault: Fault,
    start: Instant,
    now: Instant,
    rng: SmallRng,
    router: Balancer,
    vms: Vec<VmId>,
    endpoints: Vec<Endpoint>,
    calls: Vec<Call>,
    events: BinaryHeap<Reverse<(Instant, usize, Event)>>,
    sequence: usize,
    latencies: Vec<Duration>,
    offered: u32,
    far: u32,
}

impl World {
    fn new(choice: Choice, fault: Fault) -> Self {
        let now = Instant::now();
        let vms: Vec<VmId> = (0..ENDPOINTS)
            .map(|index| format!("vm-{index}").into())
            .collect();
        let mut router = Balancer::new("near".into());
        let candidates = vms.iter().enumerate().map(|(index, vm)| Candidate {
            vm: Arc::clone(vm),
            incarnation: 1,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8_000)),
            data_centre: if index < LOCAL { "near" } else { "far" }.into(),
            slots: SLOTS,
            cold: false,
            suspected: false,
            draining: false,
        });
        router.update(now, candidates);
        Self {
            choice,
            fault,
            start: now,
            now,
            rng: SmallRng::seed_from_u64(SEED),
            router,
            vms,
            endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
            calls: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            latencies: Vec::new(),
            offered: 0,
            far: 0,
        }
    }

    fn run(mut self) -> Self {
        self.after(Duration::ZERO, Event::Call);
        let end = self.start + Duration::from_secs(SECONDS);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Call if at < end => self.call(),
                Event::Call => {}
                Event::Arrive(id) => self.arrive(id),
                Event::Worked(id) => self.worked(id),
                Event::Answer(id, outcome) => self.answer(id, outcome),
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

    fn faulty(&self, at: Instant) -> bool {
        FAULT.contains(&(at - self.start).as_secs())
    }

    fn call(&mut self) {
        let load = if self.fault == Fault::Surge && self.faulty(self.now) {
            1.5
        } else {
            0.6
        };
        let rate = load * LOCAL as f64 * f64::from(SLOTS) / SERVICE_TIME;
        let gap = self.exponential(1.0 / rate);
        self.after(gap, Event::Call);
        self.offered += u32::from(self.faulty(self.now));
        self.send(self.now, None);
    }

    fn send(&mut self, born: Instant, first: Option<usize>) {
        let open = |index: &usize| Some(*index) != first;
        let endpoint = match self.choice {
            Choice::Random => loop {
                let index = self.rng.random_range(0..LOCAL);
                if open(&index) {
                    break index;
                }
            },
            Choice::LeastCalls => {
                let calls = |index: &usize| self.endpoints[*index].calls;
                (0..LOCAL).filter(open).min_by_key(calls).unwrap_or(0)
            }
            Choice::Router => {
                let exclude: Vec<VmId> = first
                    .iter()
                    .map(|index| Arc::clone(&self.vms[*index]))
                    .collect();
                let picked = self.router.pick(self.now, &exclude, &mut self.rng);
                let Some(picked) = picked else { return };
                let found = self.vms.iter().position(|vm| *vm == picked.vm);
                found.unwrap_or(0)
            }
        };
        self.router.call_started(self.now, &self.vms[endpoint]);
        self.endpoints[endpoint].calls += 1;
        self.far += u32::from(endpoint >= LOCAL && self.faulty(born));
        let id = self.calls.len();
        self.calls.push(Call {
            endpoint,
            first: first.or(Some(endpoint)).filter(|_| first.is_none()),
            born,
            sent: self.now,
        });
        self.after(hop(endpoint), Event::Arrive(id));
    }

    fn arrive(&mut self, id: usize) {
        let index = self.calls[id].endpoint;
        let down = match self.fault {
            Fault::Crashed => index == 0,
            Fault::DataCentre => index < LOCAL,
            Fault::None | Fault::Slow | Fault::Surge => false,
        };
        if down && self.faulty(self.now) {
            self.after(hop(index), Event::Answer(id, 2));
        } else if self.endpoints[index].waiting.len() >= QUEUE {
            self.after(hop(index), Event::Answer(id, 1));
        } else {
            self.endpoints[index].waiting.push_back(id);
            self.pump(index);
        }
    }

    fn pump(&mut self, index: usize) {
        while self.endpoints[index].running < SLOTS {
            let Some(id) = self.endpoints[index].waiting.pop_front() else {
                return;
            };
            self.endpoints[index].running += 1;
            let slow = self.fault == Fault::Slow && index == 0 && self.faulty(self.now);
            let time = self.exponential(SERVICE_TIME * if slow { 20.0 } else { 1.0 });
            self.after(time, Event::Worked(id));
        }
    }

    fn worked(&mut self, id: usize) {
        let index = self.calls[id].endpoint;
        self.endpoints[index].running -= 1;
        self.pump(index);
        self.after(hop(index), Event::Answer(id, 0));
    }

    fn answer(&mut self, id: usize, outcome: u8) {
        let Call {
            endpoint,
            first,
            born,
            sent,
        } = self.calls[id];
        self.endpoints[endpoint].calls -= 1;
        let latency = self.now - sent;
        let outcome = OUTCOMES[usize::from(outcome)];
        let vm = &self.vms[endpoint];
        self.router
            .call_finished(self.now, vm, outcome, latency, &mut self.rng);
        if outcome == Outcome::Ok {
            if self.faulty(born) {
                self.latencies.push(self.now - born);
            }
        } else if first.is_some() {
            self.send(born, first);
        }
    }
}

const fn hop(endpoint: usize) -> Duration {
    if endpoint < LOCAL { HOP } else { FAR_HOP }
}

fn main() {
    println!(
        "| fault | choice | served in 250 ms | p50 ms | p99 ms | sent to the other data centre |"
    );
    println!("|---|---|---|---|---|---|");
    for (fault, name) in [
        (Fault::None, "none"),
        (Fault::Slow, "one 20 times slower"),
        (Fault::Crashed, "one crashed"),
        (Fault::Surge, "surge to 1.5 times the slots"),
        (Fault::DataCentre, "own data centre crashed"),
    ] {
        for choice in [Choice::Random, Choice::LeastCalls, Choice::Router] {
            let mut world = World::new(choice, fault).run();
            world.latencies.sort_unstable();
            let offered = f64::from(world.offered);
            let good = world
                .latencies
                .partition_point(|latency| *latency <= DEADLINE);
            let quantile = |part: f64| {
                let index = (world.latencies.len() as f64 * part) as usize;
                world
                    .latencies
                    .get(index)
                    .map_or(0.0, |latency| latency.as_secs_f64() * 1e3)
            };
            println!(
                "| {name} | {choice:?} | {:.4} | {:.1} | {:.1} | {:.3} |",
                good as f64 / offered,
                quantile(0.5),
                quantile(0.99),
                f64::from(world.far) / offered,
            );
        }
    }
}
