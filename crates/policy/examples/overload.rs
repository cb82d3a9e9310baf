//! Simulates a call chain under overload and prints goodput, served calls by rank, and recovery.
//!
//! Run with `cargo run --release -p sapphiredoor-policy --example overload -- SEED`. Time is
//! simulated, so every run with one seed (42 if none is given) prints the same figures. A second
//! argument `slow` makes the services 20 times slower, with a deadline of 5 s.
//!
//! The chain is 4 services deep: `front` calls `middle`, which calls `store` twice, one after the
//! other, and each call to `store` calls `ledger`. A call holds its slot while it waits for its
//! nested calls. `ledger` is the bottleneck: its 10 slots serve 1,000 requests a second.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use policy::admission::{Action, Admission, CallRequest};
use policy::id::ServiceName;
use policy::level::{AdmissionLevel, BucketAssigner, LevelTable};
use policy::rule::{Class, RANK_COUNT, Rank, RuleSet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Name, slots, and nested calls to the next service per call.
const CHAIN: [(&str, u32, u8); 4] = [
    ("front", 60, 1),
    ("middle", 50, 2),
    ("store", 40, 1),
    ("ledger", 10, 0),
];
const HOP_TIME: Duration = Duration::from_micros(500);
const TICK_INTERVAL: Duration = Duration::from_millis(10);
const ENTRY_COUNT: usize = 3;
const DEFAULT_SEED: u64 = 42;

const URGENT: Rank = 0;
const MIDDLE: Rank = 4;
const LOWEST: Rank = 7;
const RANK_FLOORS: [u8; RANK_COUNT] = [0, 0, 0, 0, 20, 0, 0, 10];

/// Speed of the services.
#[derive(Clone, Copy, Debug)]
struct ServiceSpeed {
    /// Requests a second that `ledger` can serve.
    capacity: f64,
    /// Mean time of the work of a call in seconds, without nested calls.
    work_seconds: f64,
    deadline: Duration,
}

const FAST: ServiceSpeed = ServiceSpeed {
    capacity: 1_000.0,
    work_seconds: 0.005,
    deadline: Duration::from_millis(500),
};
const SLOW: ServiceSpeed = ServiceSpeed {
    capacity: 50.0,
    work_seconds: 0.1,
    deadline: Duration::from_secs(5),
};

fn service_speed() -> ServiceSpeed {
    let slow = std::env::args().nth(2).is_some_and(|name| name == "slow");
    if slow { SLOW } else { FAST }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Control {
    None,
    Static,
    Admission,
    Levels,
}

impl Control {
    const ALL: [Self; 4] = [Self::None, Self::Static, Self::Admission, Self::Levels];

    const fn name(self) -> &'static str {
        match self {
            Self::None => "no control",
            Self::Static => "static limit",
            Self::Admission => "admission",
            Self::Levels => "admission+levels",
        }
    }
}

/// Division of the capacity of a rank among customers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sharing {
    MaxMin,
    Fifo,
    /// Fixed equal parts; what a customer does not use is wasted.
    Proportional,
}

/// Requests of one rank and customer.
#[derive(Clone, Debug)]
struct Stream {
    rank: Rank,
    customer: &'static str,
    /// Requests a second outside the trigger.
    rate: f64,
    /// Requests a second during the trigger.
    surge: f64,
}

impl Stream {
    fn new(rank: Rank, customer: &'static str, load: f64) -> Self {
        Self {
            rank,
            customer,
            rate: load * service_speed().capacity,
            surge: load * service_speed().capacity,
        }
    }
}

#[derive(Clone, Debug)]
struct Scenario {
    streams: Vec<Stream>,
    seconds: u64,
    /// Start and end of the trigger in seconds.
    trigger: (u64, u64),
    /// Factor on the working time of `ledger` during the trigger.
    slowdown: f64,
    /// Immediate resends by a client after a failure.
    resends: u8,
    floors: [u8; RANK_COUNT],
    sharing: Sharing,
}

impl Scenario {
    fn steady(streams: Vec<Stream>) -> Self {
        Self {
            streams,
            seconds: 20,
            trigger: (0, 0),
            slowdown: 1.0,
            resends: 0,
            floors: [0; RANK_COUNT],
            sharing: Sharing::MaxMin,
        }
    }
}

/// Requests of one stream in one tenth of a second.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    offered: u32,
    good: u32,
}

#[derive(Debug)]
struct Outcome {
    /// By stream, then by tenth of a second in which the request was offered.
    counts: Vec<Vec<Count>>,
    calls: u64,
    /// Slot time in seconds by service, then by stream.
    slot_time: Vec<Vec<f64>>,
}

impl Outcome {
    /// Returns the fraction of the slots of a service that a stream used.
    fn slots(&self, service: usize, stream: usize) -> f64 {
        let seconds = self.counts[0].len() as f64 / 10.0;
        self.slot_time[service][stream] / f64::from(CHAIN[service].1) / seconds
    }

    /// Returns good and offered requests a second from `from` to `to` seconds.
    fn rates(&self, stream: usize, from: u64, to: u64) -> (f64, f64) {
        let counts = &self.counts[stream][from as usize * 10..to as usize * 10];
        let seconds = (to - from) as f64;
        let good: u32 = counts.iter().map(|count| count.good).sum();
        let offered: u32 = counts.iter().map(|count| count.offered).sum();
        (f64::from(good) / seconds, f64::from(offered) / seconds)
    }

    fn goodput(&self, from: u64, to: u64) -> f64 {
        let rates = (0..self.counts.len()).map(|stream| self.rates(stream, from, to).0);
        rates.sum()
    }

    /// Returns the fraction of requests served in the half second that starts at a tenth of a
    /// second.
    fn served(&self, tenth: usize) -> f64 {
        let (mut good, mut offered) = (0, 0);
        for counts in &self.counts {
            for count in &counts[tenth..(tenth + 5).min(counts.len())] {
                good += count.good;
                offered += count.offered;
            }
        }
        f64::from(good) / f64::from(offered.max(1))
    }

    /// Returns the seconds from the end of the trigger until the served fraction is back at 0.95 of
    /// its value before the trigger and stays there for 2 s.
    fn recovery(&self, start: u64, end: u64) -> Option<f64> {
        let before: f64 = (start - 5..start)
            .map(|second| self.served(second as usize * 10))
            .sum::<f64>()
            / 5.0;
        let end = end as usize * 10;
        let last = self.counts[0].len() - 30;
        let recovered =
            |tenth: &usize| (*tenth..tenth + 20).all(|tenth| self.served(tenth) >= 0.95 * before);
        let found = (end..last).find(recovered)?;
        Some((found - end) as f64 / 10.0)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request(usize),
    Arrive(usize),
    WorkDone(usize),
    Response(usize, bool),
    Timeout(usize),
    Tick,
}

/// One call to one service.
#[derive(Clone, Debug)]
struct Call {
    service: usize,
    parent: Option<usize>,
    stream: usize,
    caller: usize,
    bucket: u8,
    deadline: Instant,
    sent_at: Instant,
    /// Resends that the client has left after this attempt.
    resends_left: u8,
    started: Instant,
    children: u8,
    /// Whether the request has been counted or given up.
    closed: bool,
    levels: Vec<(usize, AdmissionLevel)>,
}

#[derive(Debug)]
enum Gate {
    Queue {
        waiting: VecDeque<usize>,
        running: u32,
        max_waiting: usize,
    },
    Policy(Box<Admission>),
}

struct Simulation {
    scenario: Scenario,
    control: Control,
    start: Instant,
    now: Instant,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    calls: Vec<Call>,
    gates: Vec<Gate>,
    /// Tables of the daemons in front of the services, then of the entries.
    tables: Vec<LevelTable>,
    buckets: Vec<BucketAssigner>,
    names: Vec<ServiceName>,
    classes: Vec<Class>,
    /// Time at which the next request of a stream may pass, for proportional sharing.
    next_allowed: Vec<Instant>,
    outcome: Outcome,
}

impl Simulation {
    fn new(scenario: &Scenario, control: Control, seed: u64) -> Self {
        let start = Instant::now();
        let gate = |index: usize, slots: u32| match control {
            Control::None | Control::Static => Gate::Queue {
                waiting: VecDeque::new(),
                running: 0,
                max_waiting: match control {
                    Control::None => usize::MAX,
                    _ => (slots as usize * 4).max(16),
                },
            },
            Control::Admission | Control::Levels => {
                let mut admission = Admission::new(slots, seed + index as u64);
                admission.set_floors(scenario.floors);
                Gate::Policy(Box::new(admission))
            }
        };
        let rules = RuleSet::default();
        let classes = scenario.streams.iter().map(|stream| Class {
            rank: stream.rank,
            kind: format!("kind-{}", stream.rank).into(),
            customer: match scenario.sharing {
                Sharing::MaxMin => stream.customer.into(),
                Sharing::Fifo | Sharing::Proportional => "all".into(),
            },
            ..rules.classify("front", "GET", "/", stream.customer)
        });
        let tenths = scenario.seconds as usize * 10;
        Self {
            control,
            start,
            now: start,
            rng: SmallRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            sequence: 0,
            calls: Vec::new(),
            gates: (0..CHAIN.len())
                .map(|index| gate(index, CHAIN[index].1))
                .collect(),
            tables: vec![LevelTable::new(); CHAIN.len() + ENTRY_COUNT],
            buckets: (0..ENTRY_COUNT as u64).map(BucketAssigner::new).collect(),
            names: CHAIN
                .iter()
                .map(|(name, ..)| ServiceName::from(*name))
                .collect(),
            classes: classes.collect(),
            next_allowed: vec![start; scenario.streams.len()],
            outcome: Outcome {
                counts: vec![vec![Count::default(); tenths]; scenario.streams.len()],
                calls: 0,
                slot_time: vec![vec![0.0; scenario.streams.len()]; CHAIN.len()],
            },
            scenario: scenario.clone(),
        }
    }

    fn run(mut self) -> Outcome {
        for stream in 0..self.scenario.streams.len() {
            self.schedule_request(stream);
        }
        self.after(TICK_INTERVAL, Event::Tick);
        let end = self.start + Duration::from_secs(self.scenario.seconds);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= end + service_speed().deadline {
                break;
            }
            self.now = at;
            match event {
                Event::Request(stream) => {
                    self.schedule_request(stream);
                    if at < end {
                        self.request(stream);
                    }
                }
                Event::Arrive(call) => self.arrive(call),
                Event::WorkDone(call) => self.proceed(call),
                Event::Response(call, ok) => self.handle_response(call, ok),
                Event::Timeout(call) => self.close(call, false),
                Event::Tick => self.tick(),
            }
        }
        self.outcome
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        Duration::from_secs_f64(-mean * (1.0 - self.rng.random::<f64>()).ln())
    }

    fn in_trigger(&self) -> bool {
        let (start, end) = self.scenario.trigger;
        (start..end).contains(&(self.now - self.start).as_secs())
    }

    fn schedule_request(&mut self, stream: usize) {
        let Stream { rate, surge, .. } = self.scenario.streams[stream];
        let rate = if self.in_trigger() { surge } else { rate };
        let gap = self.exponential(1.0 / rate);
        self.after(gap, Event::Request(stream));
    }

    fn count(&mut self, stream: usize, sent_at: Instant) -> &mut Count {
        let tenth = (sent_at - self.start).as_millis() / 100;
        &mut self.outcome.counts[stream][tenth as usize]
    }

    fn request(&mut self, stream: usize) {
        let now = self.now;
        self.count(stream, now).offered += 1;
        if self.scenario.sharing == Sharing::Proportional {
            let rate = service_speed().capacity / self.scenario.streams.len() as f64;
            let pace = Duration::from_secs_f64(1.0 / rate);
            // A burst of 20 requests may pass at once.
            if self.next_allowed[stream] > now + pace * 20 {
                return;
            }
            self.next_allowed[stream] = self.next_allowed[stream].max(now) + pace;
        }
        let resends = self.scenario.resends;
        self.attempt(stream, resends);
    }

    fn attempt(&mut self, stream: usize, resends_left: u8) {
        let entry = self.rng.random_range(0..ENTRY_COUNT);
        let chain = self.rng.random();
        let bucket = self.buckets[entry].bucket(self.now, &self.classes[stream], chain);
        let call = Call {
            service: 0,
            parent: None,
            stream,
            caller: CHAIN.len() + entry,
            bucket,
            deadline: self.now + service_speed().deadline,
            sent_at: self.now,
            resends_left,
            started: self.now,
            children: 0,
            closed: false,
            levels: Vec::new(),
        };
        let id = self.send(call);
        self.after(service_speed().deadline, Event::Timeout(id));
    }

    /// Sends a call to its service, unless the known level there refuses it.
    fn send(&mut self, call: Call) -> usize {
        let id = self.calls.len();
        let table = call.caller;
        let service = &self.names[call.service];
        let class = &self.classes[call.stream];
        let admitted = self.control != Control::Levels
            || self.tables[table].admit(
                self.now,
                service,
                &class.kind,
                class.rank,
                call.bucket,
                &mut self.rng,
            );
        self.calls.push(call);
        if admitted {
            self.after(HOP_TIME, Event::Arrive(id));
        } else {
            self.after(Duration::ZERO, Event::Response(id, false));
        }
        id
    }

    fn arrive(&mut self, id: usize) {
        self.outcome.calls += 1;
        let call = &self.calls[id];
        let service = call.service;
        match &mut self.gates[service] {
            Gate::Queue {
                waiting,
                max_waiting,
                ..
            } => {
                if waiting.len() >= *max_waiting {
                    self.after(HOP_TIME, Event::Response(id, false));
                    return;
                }
                waiting.push_back(id);
                self.start_waiting(service);
            }
            Gate::Policy(admission) => {
                let request = CallRequest {
                    id: id as u64,
                    class: self.classes[call.stream].clone(),
                    deadline: call.deadline,
                    bucket: call.bucket,
                };
                let actions = admission.submit(self.now, &request);
                self.apply(&actions);
            }
        }
    }

    /// Starts waiting calls of a plain queue.
    fn start_waiting(&mut self, service: usize) {
        while let Gate::Queue {
            waiting, running, ..
        } = &mut self.gates[service]
        {
            if *running >= CHAIN[service].1 {
                return;
            }
            let Some(id) = waiting.pop_front() else {
                return;
            };
            *running += 1;
            self.work(id);
        }
    }

    fn apply(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Start(id) => self.work(*id as usize),
                Action::Refuse(id, _) => self.after(HOP_TIME, Event::Response(*id as usize, false)),
            }
        }
    }

    fn work(&mut self, id: usize) {
        self.calls[id].started = self.now;
        let last = self.calls[id].service == CHAIN.len() - 1;
        let slowdown_factor = if last && self.in_trigger() {
            self.scenario.slowdown
        } else {
            1.0
        };
        let time = self.exponential(service_speed().work_seconds * slowdown_factor);
        self.after(time, Event::WorkDone(id));
    }

    /// Makes the next nested call, or finishes.
    fn proceed(&mut self, id: usize) {
        let call = &mut self.calls[id];
        if call.children == CHAIN[call.service].2 {
            self.finish(id, true);
            return;
        }
        call.children += 1;
        let child = Call {
            service: call.service + 1,
            parent: Some(id),
            caller: call.service,
            children: 0,
            levels: Vec::new(),
            ..call.clone()
        };
        self.send(child);
    }

    fn finish(&mut self, id: usize, ok: bool) {
        let Call {
            service,
            started,
            stream,
            ..
        } = self.calls[id];
        self.outcome.slot_time[service][stream] += (self.now - started).as_secs_f64();
        match &mut self.gates[service] {
            Gate::Queue { running, .. } => {
                *running -= 1;
                self.start_waiting(service);
            }
            Gate::Policy(admission) => {
                let actions = admission.finish(self.now, id as u64, self.now - started, ok);
                self.apply(&actions);
            }
        }
        self.after(HOP_TIME, Event::Response(id, ok));
    }

    fn handle_response(&mut self, id: usize, ok: bool) {
        self.observe(id);
        match self.calls[id].parent {
            None => self.close(id, ok),
            Some(parent) if ok => self.proceed(parent),
            Some(parent) => self.finish(parent, false),
        }
    }

    /// Records the levels in a response at the daemon that made the call, and adds them to the
    /// response of the parent call.
    fn observe(&mut self, id: usize) {
        let call = &mut self.calls[id];
        let Gate::Policy(admission) = &self.gates[call.service] else {
            return;
        };
        if self.control != Control::Levels {
            return;
        }
        let levels = std::mem::take(&mut call.levels);
        let level = admission.level();
        let table = &mut self.tables[call.caller];
        let service = &self.names[call.service];
        table.observe(self.now, service, level);
        for (dependency, level) in &levels {
            table.observe(self.now, &self.names[*dependency], *level);
        }
        let path: Vec<ServiceName> = levels
            .iter()
            .map(|(dependency, _)| Arc::clone(&self.names[*dependency]))
            .collect();
        table.observe_path(self.now, &self.classes[call.stream].kind, service, &path);
        let service = call.service;
        if let Some(parent) = call.parent {
            let known = &mut self.calls[parent].levels;
            for (dependency, level) in levels.into_iter().chain([(service, level)]) {
                known.retain(|(service, _)| *service != dependency);
                known.push((dependency, level));
            }
        }
    }

    /// Ends an attempt of a client, which resends a failed call while resends are left.
    fn close(&mut self, id: usize, ok: bool) {
        let call = &mut self.calls[id];
        if std::mem::replace(&mut call.closed, true) {
            return;
        }
        let (stream, sent_at, resends_left) = (call.stream, call.sent_at, call.resends_left);
        if ok {
            self.count(stream, sent_at).good += 1;
        } else if resends_left > 0
            && self.now - self.start < Duration::from_secs(self.scenario.seconds)
        {
            self.attempt(stream, resends_left - 1);
        }
    }

    fn tick(&mut self) {
        self.after(TICK_INTERVAL, Event::Tick);
        for service in 0..self.gates.len() {
            if let Gate::Policy(admission) = &mut self.gates[service] {
                let actions = admission.tick(self.now);
                self.apply(&actions);
            }
        }
    }
}

fn run(scenario: &Scenario, control: Control) -> Outcome {
    let seed = std::env::args().nth(1).and_then(|seed| seed.parse().ok());
    Simulation::new(scenario, control, seed.unwrap_or(DEFAULT_SEED)).run()
}

/// Prints the goodput by load. The load is 5% urgent, 25% middle and 70% lowest rank, so that the
/// urgent work fits even at 10 times the capacity.
fn print_loads() {
    println!("## Goodput by load\n");
    println!(
        "Requests a second answered in time (capacity 1,000, slow 50), and the served fraction of the urgent"
    );
    println!("and middle ranks. Offered: 5% urgent, 25% middle, 70% lowest rank.\n");
    println!(
        "| control | 1x | 2x | 4x | 10x | 10x / best 1x | urgent at 10x | calls per good request at 10x |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let scenario = |load: f64| {
        Scenario::steady(vec![
            Stream::new(URGENT, "a", load * 0.05),
            Stream::new(MIDDLE, "a", load * 0.25),
            Stream::new(LOWEST, "a", load * 0.70),
        ])
    };
    let best = Control::ALL
        .iter()
        .map(|control| run(&scenario(1.0), *control).goodput(5, 20))
        .fold(0.0, f64::max);
    for control in Control::ALL {
        let outcomes = [1.0, 2.0, 4.0, 10.0].map(|load| run(&scenario(load), control));
        let goodput = outcomes.each_ref().map(|outcome| outcome.goodput(5, 20));
        let (good, offered) = outcomes[3].rates(0, 5, 20);
        let calls = outcomes[3].calls as f64 / 20.0 / goodput[3].max(1.0);
        println!(
            "| {} | {:.0} | {:.0} | {:.0} | {:.0} | {:.3} | {:.4} | {:.1} |",
            control.name(),
            goodput[0],
            goodput[1],
            goodput[2],
            goodput[3],
            goodput[3] / best,
            good / offered,
            calls,
        );
    }
}

fn print_floods() {
    println!("\n## Floods of one rank at 10 times capacity\n");
    println!("Calm: 20% urgent, 30% middle, 30% lowest rank. Floors: 20% middle, 10% lowest rank.");
    println!(
        "Served fraction of each rank against calm; for the flood of the highest rank, goodput of"
    );
    println!(
        "the other ranks as a fraction of capacity, and in brackets their fraction of the slots of front"
    );
    println!("and of ledger.\n");
    println!(
        "| control | lowest flood: urgent | middle | highest flood: middle (floor 0.20) | lowest (floor 0.10) | goodput lowest flood | goodput highest flood |"
    );
    println!("|---|---|---|---|---|---|---|");
    let scenario = |urgent: f64, lowest: f64| Scenario {
        floors: RANK_FLOORS,
        ..Scenario::steady(vec![
            Stream::new(URGENT, "a", urgent),
            Stream::new(MIDDLE, "a", 0.3),
            Stream::new(LOWEST, "a", lowest),
        ])
    };
    for control in Control::ALL {
        let calm = run(&scenario(0.2, 0.3), control);
        let low = run(&scenario(0.2, 10.0), control);
        let high = run(&scenario(10.0, 0.3), control);
        let fraction = |outcome: &Outcome, stream| {
            let (good, offered) = outcome.rates(stream, 5, 20);
            good / offered
        };
        let floor = |outcome: &Outcome, stream| {
            let good = outcome.rates(stream, 5, 20).0 / service_speed().capacity;
            let [front, ledger] = [0, 3].map(|service| outcome.slots(service, stream));
            format!("{good:.3} ({front:.3}, {ledger:.3})")
        };
        println!(
            "| {} | {:.4} | {:.4} | {} | {} | {:.0} | {:.0} |",
            control.name(),
            fraction(&low, 0) / fraction(&calm, 0),
            fraction(&low, 1) / fraction(&calm, 1),
            floor(&high, 1),
            floor(&high, 2),
            low.goodput(5, 20),
            high.goodput(5, 20),
        );
    }
}

fn print_recoveries() {
    println!("\n## Recovery\n");
    println!(
        "Seconds from the end of a trigger of 10 s until the served fraction is back at 0.95 of its"
    );
    println!("value before, for 2 s. Base load 0.8: 20% urgent, 30% middle, 30% lowest rank. In");
    println!("brackets: served fraction of the urgent rank during the trigger.\n");
    println!(
        "| control | ledger 10 times slower | surge of 5 times | ledger 3 times slower, 5 resends |"
    );
    println!("|---|---|---|---|");
    let base = Scenario {
        seconds: 50,
        trigger: (10, 20),
        ..Scenario::steady(vec![
            Stream::new(URGENT, "a", 0.2),
            Stream::new(MIDDLE, "a", 0.3),
            Stream::new(LOWEST, "a", 0.3),
        ])
    };
    let mut slow = base.clone();
    slow.slowdown = 10.0;
    let mut surge = base.clone();
    for stream in &mut surge.streams {
        stream.surge *= 5.0;
    }
    let mut storm = base;
    storm.slowdown = 3.0;
    storm.resends = 5;
    for control in Control::ALL {
        print!("| {} |", control.name());
        for scenario in [&slow, &surge, &storm] {
            let outcome = run(scenario, control);
            let (good, offered) = outcome.rates(0, 10, 20);
            let urgent = good / offered;
            match outcome.recovery(10, 20) {
                Some(seconds) => print!(" {seconds:.1} ({urgent:.3}) |"),
                None => print!(" not in 25 s ({urgent:.3}) |"),
            }
        }
        println!();
    }
}

fn print_customers() {
    println!("\n## Customers of one rank\n");
    println!(
        "Served fraction of the demand of three customers of the middle rank; demand as a fraction of"
    );
    println!("capacity in the head.\n");
    println!(
        "| sharing | small (0.1) | large (0.6) | flood (5.0) | least served fraction | goodput |"
    );
    println!("|---|---|---|---|---|---|");
    for (name, sharing) in [
        ("max-min", Sharing::MaxMin),
        ("FIFO", Sharing::Fifo),
        ("proportional (fixed equal parts)", Sharing::Proportional),
    ] {
        let scenario = Scenario {
            sharing,
            ..Scenario::steady(vec![
                Stream::new(MIDDLE, "small", 0.1),
                Stream::new(MIDDLE, "large", 0.6),
                Stream::new(MIDDLE, "flood", 5.0),
            ])
        };
        for control in [Control::Admission, Control::Levels] {
            let outcome = run(&scenario, control);
            let fractions = [0, 1, 2].map(|stream| {
                let (good, offered) = outcome.rates(stream, 5, 20);
                good / offered
            });
            println!(
                "| {name}, {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.0} |",
                control.name(),
                fractions[0],
                fractions[1],
                fractions[2],
                fractions.iter().copied().fold(1.0, f64::min),
                outcome.goodput(5, 20),
            );
        }
    }
}

fn main() {
    print_loads();
    print_floods();
    print_recoveries();
    print_customers();
}
