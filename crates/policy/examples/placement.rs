//! Compares rules of placement under the loads of the deployments.
//!
//! Run with `cargo run --release -p sapphiredoor-policy --example placement`. 59 entries send calls
//! to the endpoints of one service through the queues of their gates. The daemon's own code decides
//! and estimates; calls, machines and the network are simulated.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use policy::cost::{Backlog, HoldTime, PaceMeter, RouteCosts};
use policy::id::VmId;
use policy::progress::Progress;
use policy::queue::{EndpointQueue, EnqueueOutcome, QueuedCall};
use policy::routing::{RetrySafety, Route};
use policy::selection::{Candidate, EndpointStats, Load, pick_by_cost, pick_endpoint};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ENTRIES: usize = 59;
const DATA_CENTRES: usize = 4;
const LATENCY: Duration = Duration::from_micros(900);
const WARM_UP: Duration = Duration::from_secs(6);
const TIME: Duration = Duration::from_secs(16);
const UTILISATIONS: [f64; 3] = [0.5, 0.8, 0.95];
/// Coefficient of variation of the work of a call.
const SPREAD: f64 = 0.5;

/// Service of a deployment.
struct Service {
    name: &'static str,
    speeds: Vec<f64>,
    slots: u32,
    /// Routes, called equally often: work and nested time in seconds.
    routes: &'static [(f64, f64)],
    objective: Duration,
    /// Time by which a remote endpoint must be faster, if entries and endpoints are spread over
    /// [`DATA_CENTRES`].
    remote_penalty: Option<Duration>,
    /// Mean time between changes of a machine's pace, and the range of the pace.
    pace: (f64, f64, f64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Measure {
    /// The rule before this one.
    Load,
    Cost,
    /// Calls that run or wait, as reported, and own calls since.
    Outstanding,
    /// Work left, as reported, and own calls since.
    Work,
}

#[derive(Clone, Copy)]
struct Rule {
    measure: Measure,
    /// Whether only two random endpoints are compared.
    two: bool,
}

struct Call {
    entry: usize,
    route: usize,
    endpoint: usize,
    arrived: Instant,
    started: Instant,
    hold: Duration,
}

#[derive(Clone, Copy)]
enum Event {
    Arrival,
    AtGate(usize),
    Done(usize),
    /// Response of a call, with the load that it carries.
    Response(usize, Load),
}

struct Gate {
    queue: EndpointQueue<usize>,
    backlog: Backlog,
    progress: Progress,
    meter: PaceMeter,
    pace: f64,
    pace_until: Instant,
}

impl Gate {
    fn hold_time(&self, route: &str) -> HoldTime {
        self.progress.hold_time(route).unwrap_or(HoldTime {
            mean: self.queue.mean_hold_time(),
            deviation: Duration::ZERO,
        })
    }

    fn load(&self, now: Instant) -> Load {
        let (limit, hold_time) = self.queue.capacity();
        Load {
            calls: (self.queue.running() + self.queue.waiting()) as u32,
            limit: limit as u32,
            hold_time,
            backlog: self.backlog.total(now),
            pace: self.meter.pace(),
            ..Load::default()
        }
    }
}

struct World<'a> {
    service: &'a Service,
    rule: Rule,
    rng: SmallRng,
    /// Random numbers of the machines, the same under all rules.
    machines: Vec<SmallRng>,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, usize)>>,
    bodies: Vec<Event>,
    calls: Vec<Call>,
    gates: Vec<Gate>,
    vms: Vec<VmId>,
    routes: Vec<Route>,
    /// What each entry knows of each endpoint.
    stats: Vec<Vec<EndpointStats>>,
    /// What the rules outside the daemon know: reported load, and own calls since.
    reports: Vec<Vec<(Load, u32)>>,
    costs: Vec<RouteCosts>,
    times: Vec<Duration>,
}

impl<'a> World<'a> {
    fn new(service: &'a Service, rule: Rule) -> Self {
        let now = Instant::now();
        let count = service.speeds.len();
        let route = |index: usize| Route {
            name: index.to_string().into(),
            host: String::new(),
            prefix: "/".to_owned(),
            retry_safety: RetrySafety::Idempotent,
            timeout: service.objective * 20,
            objective: service.objective,
            rank: 1,
            attempts: 1,
            exempt: false,
            services: Vec::new(),
        };
        let gate = |_| Gate {
            queue: EndpointQueue::new(service.slots),
            backlog: Backlog::default(),
            progress: Progress::default(),
            meter: PaceMeter::default(),
            pace: 1.0,
            pace_until: now,
        };
        let stats = |_| (0..count).map(|_| EndpointStats::default()).collect();
        Self {
            service,
            rule,
            rng: SmallRng::seed_from_u64(20),
            machines: (0..count as u64).map(SmallRng::seed_from_u64).collect(),
            now,
            events: BinaryHeap::new(),
            bodies: Vec::new(),
            calls: Vec::new(),
            gates: (0..count).map(gate).collect(),
            vms: (0..count).map(|vm| vm.to_string().into()).collect(),
            routes: (0..service.routes.len()).map(route).collect(),
            stats: (0..ENTRIES).map(stats).collect(),
            reports: vec![vec![(Load::default(), 0); count]; ENTRIES],
            costs: (0..ENTRIES).map(|_| RouteCosts::default()).collect(),
            times: Vec::new(),
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.events.push(Reverse((at, self.bodies.len())));
        self.bodies.push(event);
    }

    /// Returns a log-normal factor with mean 1; 1 in 100 is 3 to 5 times as large.
    fn draw_work(&mut self) -> f64 {
        let variance = (1.0 + SPREAD * SPREAD).ln();
        let (a, b): (f64, f64) = (self.rng.random(), self.rng.random());
        let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        let tail = if self.rng.random_bool(0.01) {
            self.rng.random_range(3.0..5.0)
        } else {
            1.0
        };
        (variance.sqrt() * normal - variance / 2.0).exp() * tail
    }

    fn pick(&mut self, entry: usize, route: usize) -> usize {
        let count = self.vms.len();
        let random: u32 = self.rng.random();
        let first = self.rng.random_range(0..count);
        let second = (first + self.rng.random_range(1..count)) % count;
        let compared: Vec<usize> = if self.rule.two {
            vec![first, second]
        } else {
            (0..count).map(|index| (index + first) % count).collect()
        };
        let candidates: Vec<Candidate<'_>> = compared
            .iter()
            .map(|index| Candidate {
                vm: &self.vms[*index],
                target: Some(&self.stats[entry][*index]),
                is_local: !self.is_remote(entry, *index),
                dependency_share: 1.0,
            })
            .collect();
        let (now, route, costs) = (self.now, &self.routes[route], &self.costs[entry]);
        let penalty = self.service.remote_penalty.unwrap_or_default();
        let vm = match self.rule.measure {
            Measure::Load => pick_endpoint(now, route, penalty, &candidates, random as usize),
            Measure::Cost => {
                pick_by_cost(now, route, penalty, costs, &candidates, random).map(|(vm, _)| vm)
            }
            measure => {
                let key = |index: &&usize| {
                    let (load, sent) = self.reports[entry][**index];
                    match measure {
                        Measure::Work => load.backlog + costs.mean(&route.name) * sent,
                        _ => Duration::from_secs(u64::from(load.calls + sent)),
                    }
                };
                compared
                    .iter()
                    .min_by_key(key)
                    .map(|index| &self.vms[*index])
            }
        };
        vm.and_then(|vm| vm.parse().ok()).unwrap_or(0)
    }

    fn is_remote(&self, entry: usize, endpoint: usize) -> bool {
        let differ = entry % DATA_CENTRES != endpoint % DATA_CENTRES;
        differ && self.service.remote_penalty.is_some()
    }

    fn start(&mut self, id: usize) {
        let work = self.draw_work();
        let call = &mut self.calls[id];
        let gate = &mut self.gates[call.endpoint];
        let (own, nested) = self.service.routes[call.route];
        let speed = self.service.speeds[call.endpoint];
        let machine = &mut self.machines[call.endpoint];
        while self.now >= gate.pace_until {
            let (interval, low, high) = self.service.pace;
            gate.pace = machine.random_range(low..=high);
            let left = -(1.0 - machine.random::<f64>()).ln() * interval;
            gate.pace_until += Duration::from_secs_f64(left.max(0.001));
        }
        call.hold = Duration::from_secs_f64(own * work * speed * gate.pace + nested);
        call.started = self.now;
        let name = &self.routes[call.route].name;
        let hold_time = gate.hold_time(name);
        gate.backlog.record_start(self.now, id as u64, hold_time);
        let end = self.now + call.hold;
        self.schedule(end, Event::Done(id));
    }

    fn handle(&mut self, event: Event, rate: f64) {
        match event {
            Event::Arrival => {
                let entry = self.rng.random_range(0..ENTRIES);
                let route = self.rng.random_range(0..self.routes.len());
                let endpoint = self.pick(entry, route);
                self.stats[entry][endpoint].call_sent();
                self.reports[entry][endpoint].1 += 1;
                self.calls.push(Call {
                    entry,
                    route,
                    endpoint,
                    arrived: self.now,
                    started: self.now,
                    hold: Duration::ZERO,
                });
                let id = self.calls.len() - 1;
                self.schedule(self.now + LATENCY, Event::AtGate(id));
                let wait = -(1.0 - self.rng.random::<f64>()).ln() / rate;
                let next = self.now + Duration::from_secs_f64(wait);
                self.schedule(next, Event::Arrival);
            }
            Event::AtGate(id) => {
                let call = &self.calls[id];
                let gate = &mut self.gates[call.endpoint];
                let hold_time = gate.hold_time(&self.routes[call.route].name);
                gate.backlog.record_waiting(id as u64, hold_time);
                let queued = QueuedCall {
                    rank: 1,
                    remaining: Duration::ZERO,
                    deadline: call.arrived + self.service.objective * 1_000,
                    min_time: Duration::ZERO,
                    organisation: None,
                    cost: Duration::ZERO,
                    call: id,
                };
                if let EnqueueOutcome::Start(id) = gate.queue.enqueue(self.now, queued) {
                    self.start(id);
                }
            }
            Event::Done(id) => {
                let call = &self.calls[id];
                let (hold, endpoint) = (call.hold, call.endpoint);
                let gate = &mut self.gates[endpoint];
                gate.queue.finish(hold);
                gate.backlog.record_end(id as u64);
                let name = &self.routes[call.route].name;
                gate.progress.record_run(name, 0, hold);
                let percent = (gate.pace * 100.0) as u32;
                let stated = (self.service.pace.0 > 0.0).then_some(percent);
                let mean = gate.queue.mean_hold_time();
                gate.meter.record(self.now, stated, mean);
                if let Some(next) = gate.queue.start_next(self.now) {
                    self.start(next);
                }
                let load = self.gates[endpoint].load(self.now);
                self.schedule(self.now + LATENCY, Event::Response(id, load));
            }
            Event::Response(id, load) => {
                let call = &self.calls[id];
                let stats = &mut self.stats[call.entry][call.endpoint];
                stats.record_load(self.now, load);
                stats.call_ended();
                let name = &self.routes[call.route].name;
                stats.record_response(self.now, name, call.hold);
                let costs = &mut self.costs[call.entry];
                stats.record_cost(self.now, costs, name, call.hold);
                self.reports[call.entry][call.endpoint] = (load, 0);
                self.times.push(self.now - call.arrived);
            }
        }
    }

    /// Runs at a utilisation; returns mean, 99th percentile, share of calls in time and, in brackets,
    /// share of remote calls.
    fn run(mut self, utilisation: f64) -> String {
        let work = |speed: &f64| {
            let routes = self.service.routes;
            let pace = f64::midpoint(self.service.pace.1, self.service.pace.2);
            // Tail calls add 3% of work.
            let total: f64 = routes
                .iter()
                .map(|(own, nested)| own * 1.03 * speed * pace + nested)
                .sum();
            total / routes.len() as f64
        };
        let slots = self.gates[0].queue.limit() as f64;
        let capacity: f64 = self
            .service
            .speeds
            .iter()
            .map(|speed| slots / work(speed))
            .sum();
        let (start, rate) = (self.now, utilisation * capacity);
        self.schedule(start, Event::Arrival);
        let mut counted = 0;
        while let Some(Reverse((at, index))) = self.events.pop() {
            if at > start + TIME {
                break;
            }
            if at < start + WARM_UP {
                counted = self.times.len();
            }
            self.now = at;
            self.handle(self.bodies[index], rate);
        }
        let mut times = std::mem::take(&mut self.times).split_off(counted);
        times.sort_unstable();
        let mean = times.iter().sum::<Duration>() / times.len() as u32;
        let last = times[times.len() * 99 / 100];
        let in_time = times.partition_point(|time| *time <= self.service.objective);
        let share = in_time as f64 / times.len() as f64;
        let is_remote = |call: &&Call| self.is_remote(call.entry, call.endpoint);
        let remote = self.calls.iter().filter(is_remote).count();
        format!(
            "{:.1} {:.1} {share:.3} ({:.2})",
            mean.as_secs_f64() * 1e3,
            last.as_secs_f64() * 1e3,
            remote as f64 / self.calls.len() as f64
        )
    }
}

/// Prints the mean time of a pick among 100 endpoints, and of adding up 115 running calls.
fn print_times() {
    const ROUNDS: u32 = 20_000;
    let service = Service {
        name: "",
        speeds: vec![1.0; 100],
        slots: 122,
        routes: &[(0.1, 0.0)],
        objective: Duration::from_secs(1),
        remote_penalty: None,
        pace: (0.0, 1.0, 1.0),
    };
    let rules = [Measure::Load, Measure::Cost].map(|measure| Rule {
        measure,
        two: false,
    });
    for rule in rules {
        let mut world = World::new(&service, rule);
        for stats in &mut world.stats[0] {
            let load = Load {
                calls: 100,
                limit: 115,
                pace: Some(1.1),
                ..Load::default()
            };
            stats.record_load(world.now, load);
            stats.record_cost(world.now, &mut world.costs[0], &"0".into(), LATENCY);
            stats.record_response(world.now, &"0".into(), LATENCY);
        }
        world.now += LATENCY;
        let start = Instant::now();
        for _ in 0..ROUNDS {
            black_box(world.pick(0, 0));
        }
        println!(
            "{:?}: {:?} for each pick",
            rule.measure,
            start.elapsed() / ROUNDS
        );
    }
    let now = Instant::now();
    let mut backlog = Backlog::default();
    let hold_time = HoldTime {
        mean: LATENCY,
        deviation: LATENCY / 3,
    };
    (0..115).for_each(|id| backlog.record_start(now, id, hold_time));
    let start = Instant::now();
    for _ in 0..ROUNDS {
        black_box(black_box(&backlog).total(now));
    }
    println!("{:?} for each backlog", start.elapsed() / ROUNDS);
}

fn main() {
    print_times();
    let spread = |count: usize, low: f64, high: f64| -> Vec<f64> {
        (0..count)
            .map(|index| low + (high - low) * index as f64 / (count - 1) as f64)
            .collect()
    };
    let stempel = |name, pace| Service {
        name,
        speeds: vec![0.5, 1.0, 1.0, 1.5],
        slots: 68,
        routes: &[(0.036, 0.022)],
        objective: Duration::from_millis(150),
        remote_penalty: None,
        pace,
    };
    let mut services = [
        stempel("stempel", (0.5, 0.7, 1.3)),
        stempel("stempel, pace changes every 50 ms", (0.05, 0.7, 1.3)),
        stempel("stempel, pace changes every 5 s", (5.0, 0.7, 1.3)),
        Service {
            name: "mannskap",
            speeds: spread(18, 0.7, 1.6),
            slots: 122,
            routes: &[(0.12, 0.04)],
            objective: Duration::from_millis(600),
            remote_penalty: None,
            pace: (0.5, 0.7, 1.3),
        },
        Service {
            name: "attendance-ledger",
            speeds: spread(17, 0.6, 1.5),
            slots: 29,
            routes: &[(0.33, 0.0), (0.025, 0.0)],
            objective: Duration::from_secs(1),
            remote_penalty: None,
            pace: (0.5, 0.7, 1.3),
        },
    ];
    // Nested calls to a service with an objective of 150 ms have a penalty of 15 ms.
    for spread in [None, Some(Duration::from_millis(15))] {
        for service in &mut services {
            service.remote_penalty = spread;
            compare(service, spread.is_some());
        }
    }
}

/// Prints the results of all rules, or only of the daemon's own ones.
fn compare(service: &Service, only_own: bool) {
    println!(
        "{}, remote penalty {:?}: mean ms, 99th percentile ms, share in time (remote calls) at {UTILISATIONS:?}",
        service.name, service.remote_penalty
    );
    let own = [Measure::Load, Measure::Cost];
    let others = [Measure::Outstanding, Measure::Work];
    let others = others.iter().filter(|_| !only_own);
    for measure in own.iter().chain(others) {
        for two in [false, true].into_iter().filter(|two| !(*two && only_own)) {
            let measure = *measure;
            let rule = Rule { measure, two };
            let results = UTILISATIONS.map(|level| World::new(service, rule).run(level));
            let of = if two { ", two choices" } else { "" };
            println!("| {measure:?}{of} | {} |", results.join(" | "));
        }
    }
}
