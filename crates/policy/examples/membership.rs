//! Measures membership and adoption over many daemons in passed-in time.
//!
//! Bytes are upper bounds that include IP, UDP and HTTP/2 framing and the HMAC; sent and received
//! bytes are added up. Processor time is that of the state machines alone.

mod fleet;

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{Fleet, Usage, address, data_centre_name};
use policy::member::{Member, Membership, State, SyncReply};

const SIZES: [usize; 5] = [3, 30, 100, 300, 1_500];
const COST_SIZES: [usize; 5] = [100, 300, 600, 1_000, 1_500];
const DATA_CENTRES: usize = 7;
const LOSS: f64 = 0.01;
const SEED: u64 = 20_261_204;
const LIMIT: Duration = Duration::from_mins(5);
const WARM_UP: Duration = Duration::from_secs(40);

/// Sections by name. An argument selects one; without one all run.
const SECTIONS: [(&str, fn()); 7] = [
    ("memory", memory),
    ("propagation", propagation),
    ("cut", cut_off),
    ("failures", failures),
    ("pauses", pauses),
    ("cost", cost),
    ("platform", platform),
];

fn main() {
    let wanted = std::env::args().nth(1);
    for (name, section) in SECTIONS {
        if wanted.as_ref().is_none_or(|wanted| wanted == name) {
            section();
        }
    }
}

fn joined(daemons: usize) -> Fleet {
    let mut fleet = Fleet::joined(daemons, DATA_CENTRES.min(daemons), LOSS, SEED);
    fleet.run(WARM_UP);
    fleet
}

fn seconds(time: Option<Duration>) -> String {
    time.map_or_else(
        || format!("> {} s", LIMIT.as_secs()),
        |time| format!("{:.2} s", time.as_secs_f64()),
    )
}

fn in_force(fleet: &Fleet, revision: u64, data_centre: impl Fn(usize) -> bool) -> bool {
    fleet
        .running()
        .filter(|(index, _)| data_centre(fleet.nodes[*index].data_centre))
        .all(|(_, process)| process.rules.in_force() >= revision)
}

fn propagation() {
    const RULES: usize = 20;
    println!("rule accepted to in force everywhere, 1% loss, {RULES} rules");
    println!("| daemons | median | longest |");
    println!("|---|---|---|");
    for daemons in SIZES {
        let mut fleet = joined(daemons);
        let mut times: Vec<Option<Duration>> = Vec::new();
        for _ in 0..RULES {
            let revision = fleet.write_rules();
            times.push(fleet.run_until(LIMIT, |fleet| in_force(fleet, revision, |_| true)));
            fleet.run(Duration::from_secs(5));
        }
        times.sort_by_key(|time| time.unwrap_or(Duration::MAX));
        println!(
            "| {daemons} | {} | {} |",
            seconds(times[RULES / 2]),
            seconds(times[RULES - 1])
        );
    }
}

fn marked(fleet: &Fleet, unreachable: bool) -> bool {
    fleet
        .running()
        .filter(|(index, _)| fleet.nodes[*index].data_centre != 0)
        .all(|(_, one)| one.membership.unreachable().contains(&data_centre_name(0)) == unreachable)
}

fn live_pairs(fleet: &Fleet) -> usize {
    let live = |by: usize| {
        let all = 0..fleet.nodes.len();
        all.filter(|of| fleet.view(by, *of).is_some_and(State::is_live))
            .count()
    };
    fleet.running().map(|(by, _)| live(by)).sum()
}

fn cut_off() {
    println!("\none of 7 data centres cut off for 3 minutes, then healed");
    println!("| daemons | marked | in force outside | unmarked | in force inside | members lost |");
    println!("|---|---|---|---|---|---|");
    for daemons in &SIZES[1..] {
        let mut fleet = joined(*daemons);
        let before = live_pairs(&fleet);
        fleet.cut_off(&[0]);
        let marked_after = fleet.run_until(LIMIT, |fleet| marked(fleet, true));
        fleet.run(Duration::from_mins(3));
        let revision = fleet.write_rules();
        let outside = fleet.run_until(LIMIT, |fleet| in_force(fleet, revision, |one| one != 0));
        let lost = before - live_pairs(&fleet);
        fleet.cut_off(&[]);
        let healed = fleet.elapsed();
        let inside = fleet.run_until(LIMIT, |fleet| in_force(fleet, revision, |_| true));
        fleet.run_until(LIMIT, |fleet| marked(fleet, false));
        let unmarked = Some(fleet.elapsed().saturating_sub(healed));
        println!(
            "| {daemons} | {} | {} | {} | {} | {lost} |",
            seconds(marked_after),
            seconds(outside),
            seconds(unmarked),
            seconds(inside)
        );
    }
}

fn failures() {
    println!("\nVMs that die without notice");
    println!(
        "| daemons | dead | suspected in their data centres | removed everywhere | others removed |"
    );
    println!("|---|---|---|---|---|");
    for daemons in &SIZES[1..] {
        for dead in [1, (daemons / 20).max(2)] {
            let mut fleet = joined(*daemons);
            for index in 0..dead {
                fleet.kill(index);
            }
            let from = fleet.elapsed();
            let data_centres = DATA_CENTRES.min(*daemons);
            let all = |fleet: &Fleet, local: bool, gone: fn(State) -> bool| {
                fleet.running().all(|(by, _)| {
                    (0..dead)
                        .filter(|of| !local || of % data_centres == by % data_centres)
                        .all(|of| fleet.view(by, of).is_none_or(gone))
                })
            };
            let noticed =
                fleet.run_until(LIMIT, |fleet| all(fleet, true, |one| one != State::Alive));
            fleet.run_until(LIMIT, |fleet| all(fleet, false, |one| !one.is_live()));
            let removed = fleet.elapsed().saturating_sub(from);
            let others = fleet.removals.iter().filter(|one| one.node >= dead).count();
            println!(
                "| {daemons} | {dead} | {} | {} | {others} |",
                seconds(noticed),
                seconds(Some(removed))
            );
        }
    }
}

fn pauses() {
    println!("\n5% of the VMs paused for 5 s, 5 times");
    println!("| daemons | paused | VMs removed | removals by any daemon | all alive again after |");
    println!("|---|---|---|---|---|");
    for daemons in &SIZES[1..] {
        let mut fleet = joined(*daemons);
        let paused = (daemons / 20).max(1);
        let mut longest = Some(Duration::ZERO);
        for round in 0..5 {
            fleet.run(Duration::from_secs(30));
            for index in 0..paused {
                fleet.pause(round * paused + index, Duration::from_secs(5));
            }
            fleet.run(Duration::from_secs(5));
            let took = fleet.run_until(LIMIT, |fleet| {
                fleet
                    .running()
                    .all(|(by, _)| (0..*daemons).all(|of| fleet.view(by, of) == Some(State::Alive)))
            });
            longest = longest.max(took);
        }
        let mut removed: Vec<usize> = fleet.removals.iter().map(|one| one.node).collect();
        let all = removed.len();
        removed.sort_unstable();
        removed.dedup();
        println!(
            "| {daemons} | {} | {} | {all} | {} |",
            paused * 5,
            removed.len(),
            seconds(longest)
        );
    }
}

struct Rates {
    bytes: f64,
    peak_bytes: f64,
    datagrams: f64,
    micros: f64,
}

fn rates(fleet: &Fleet, before: &[Usage], time: Duration, relays: bool) -> Rates {
    let mut total = Usage::default();
    let mut peak = 0;
    let mut count = 0_u32;
    for (index, process) in fleet.running() {
        if process.membership.is_relay() != relays {
            continue;
        }
        let (now, then) = (fleet.nodes[index].usage, before[index]);
        let bytes = now.sent + now.received - then.sent - then.received;
        peak = peak.max(bytes);
        count += 1;
        total.sent += bytes;
        total.datagrams += now.datagrams - then.datagrams;
        total.busy += now.busy.saturating_sub(then.busy);
    }
    let per = f64::from(count.max(1)) * time.as_secs_f64();
    Rates {
        bytes: total.sent as f64 / per,
        peak_bytes: peak as f64 / time.as_secs_f64(),
        datagrams: total.datagrams as f64 / per,
        micros: total.busy.as_secs_f64() * 1e6 / per,
    }
}

/// A load with one rule change, one drain and one replaced VM in every period.
const LOADS: [(&str, Duration, Option<Duration>); 3] = [
    ("quiet", Duration::from_mins(1), None),
    (
        "planned",
        Duration::from_secs(176),
        Some(Duration::from_secs(176)),
    ),
    (
        "busy",
        Duration::from_mins(1),
        Some(Duration::from_secs(20)),
    ),
];

fn cost() {
    println!(
        "\ncost per daemon; planned: a rule change and a replaced VM every 176 s (490 changes and"
    );
    println!("490 replacements a day), busy: every 20 s");
    println!("| daemons | load | role | B/s | highest B/s | datagrams/s sent | CPU us/s |");
    println!("|---|---|---|---|---|---|---|");
    for daemons in COST_SIZES {
        let mut fleet = joined(daemons);
        let mut victim = 0;
        for (load, time, period) in LOADS {
            let before: Vec<Usage> = fleet.nodes.iter().map(|node| node.usage).collect();
            let until = fleet.elapsed() + time;
            while fleet.elapsed() < until {
                if let Some(period) = period {
                    let from = fleet.elapsed();
                    victim += 1;
                    fleet.write_rules();
                    replace(&mut fleet, victim);
                    fleet.run((from + period).saturating_sub(fleet.elapsed()));
                } else {
                    fleet.run(time);
                }
            }
            for (relays, role) in [(false, "ordinary"), (true, "relay")] {
                let rates = rates(&fleet, &before, time, relays);
                println!(
                    "| {daemons} | {load} | {role} | {:.0} | {:.0} | {:.1} | {:.0} |",
                    rates.bytes, rates.peak_bytes, rates.datagrams, rates.micros
                );
            }
        }
    }
}

/// Drains a VM, ends its process and starts another one under the same id and address.
fn replace(fleet: &mut Fleet, index: usize) {
    let now = fleet.instant();
    if let Some(process) = fleet.process_mut(index) {
        process.membership.drain(now);
    }
    fleet.run(Duration::from_secs(5));
    let now = fleet.instant();
    if let Some(process) = fleet.process_mut(index) {
        process.membership.leave(now);
    }
    fleet.run(Duration::from_secs(2));
    fleet.kill(index);
    fleet.start(index, &[50, 51, 52]);
}

fn member(index: usize) -> Member {
    Member {
        vm: format!("pt-centro-{}-vm-{index:04}", index % DATA_CENTRES).into(),
        incarnation: 1_700_000_000_000_000,
        version: 1,
        state: State::Alive,
        data_centre: data_centre_name(index % DATA_CENTRES),
        call_address: address(index, 7000),
        gossip_address: address(index, 7001),
        service: Some(format!("service-{:02}", index % 80).into()),
        slots: 35,
        cold: false,
        unreachable: Vec::new(),
    }
}

fn resident() -> usize {
    const PAGE: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|one| one.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE
}

fn memory() {
    const COPIES: usize = 20;
    println!("\nmemory of one member table, every record with its own copy of each name");
    println!("| daemons | KB |");
    println!("|---|---|");
    let now = Instant::now();
    // Earlier tables stay allocated, so that later ones do not reuse their memory.
    let mut kept = Vec::new();
    for daemons in [750, 1_500, 3_000, 6_000, 15_000] {
        let before = resident();
        let tables: Vec<Membership> = (0..COPIES)
            .map(|seed| {
                let mut one = Membership::new(now, member(0), seed as u64);
                let contact = address(1, 7000);
                one.set_contacts(now, vec![contact]);
                let _ = one.tick(now);
                let members = (1..daemons).map(|index| Arc::new(member(index))).collect();
                let reply = SyncReply {
                    members,
                    ..SyncReply::default()
                };
                let _ = one.handle_sync_reply(now, contact, &reply);
                one
            })
            .collect();
        let bytes = resident().saturating_sub(before) / tables.len();
        println!("| {daemons} | {} |", bytes / 1_024);
        kept.push(tables);
    }
}

fn platform() {
    println!("\nplatform calls in the busiest second, waiting watches counted, 2 values");
    println!(
        "| daemons | quiet | after an outage of 2 minutes | all start at once | joined, rules in force | tables complete |"
    );
    println!("|---|---|---|---|---|---|");
    for daemons in COST_SIZES {
        let mut fleet = joined(daemons);
        let from = fleet.elapsed();
        fleet.run(Duration::from_mins(2));
        let quiet = fleet.peak_calls(from);
        fleet.platform.down = true;
        fleet.break_watches();
        fleet.run(Duration::from_mins(2));
        fleet.platform.down = false;
        let from = fleet.elapsed();
        fleet.run(Duration::from_mins(2));
        let after = fleet.peak_calls(from);
        drop(fleet);
        let mut fleet = Fleet::new(daemons, DATA_CENTRES, LOSS, SEED);
        fleet.platform.rules = 1;
        fleet.platform.homes = 1;
        for index in 0..daemons {
            fleet.start(index, &[]);
        }
        let joined = |fleet: &Fleet| {
            in_force(fleet, 1, |_| true)
                && fleet.running().all(|(_, one)| one.membership.is_joined())
        };
        let complete = |fleet: &Fleet| {
            fleet.running().all(|(_, one)| {
                let live = |name| one.membership.live_count(&data_centre_name(name));
                (0..DATA_CENTRES).map(live).sum::<usize>() == daemons
            })
        };
        fleet.run_until(LIMIT, joined);
        let took = Some(fleet.elapsed());
        fleet.run_until(LIMIT, complete);
        let all = Some(fleet.elapsed());
        fleet.run(Duration::from_secs(30));
        let start = fleet.peak_calls(Duration::ZERO);
        println!(
            "| {daemons} | {quiet} | {after} | {start} | {} | {} |",
            seconds(took),
            seconds(all)
        );
    }
}
