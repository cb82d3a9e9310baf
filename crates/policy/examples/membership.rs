//! Measures membership and adoption in a simulated fleet of many daemons.
//!
//! Bytes are the sum of sent and received ones, as upper bounds that include the HMAC and IP, UDP
//! and HTTP/2 framing. Processor time is that of the state machines alone.

mod fleet;

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{Fleet, Usage, address, data_centre_name};
use policy::member::{Member, Membership, State, SyncReply};

const FLEET_SIZES: [usize; 5] = [3, 30, 100, 300, 1_500];
const COST_FLEET_SIZES: [usize; 5] = [100, 300, 600, 1_000, 1_500];
const DATA_CENTRE_COUNT: usize = 7;
/// Fraction of the datagrams that are lost.
const LOSS_FRACTION: f64 = 0.01;
const FLEET_SEED: u64 = 20_261_204;
/// Simulated time after which a measurement gives up.
const MAX_WAIT: Duration = Duration::from_mins(5);
/// Simulated time before the measurements in a new fleet.
const WARM_UP_TIME: Duration = Duration::from_secs(40);

/// Sections by name. An argument selects one; without an argument all run.
const SECTIONS: [(&str, fn()); 7] = [
    ("memory", memory),
    ("propagation", propagation),
    ("cut", partition),
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

fn joined_fleet(daemons: usize) -> Fleet {
    let mut fleet = Fleet::joined(
        daemons,
        DATA_CENTRE_COUNT.min(daemons),
        LOSS_FRACTION,
        FLEET_SEED,
    );
    fleet.run(WARM_UP_TIME);
    fleet
}

fn format_seconds(time: Option<Duration>) -> String {
    time.map_or_else(
        || format!("> {} s", MAX_WAIT.as_secs()),
        |time| format!("{:.2} s", time.as_secs_f64()),
    )
}

/// Whether `revision` is in force at all running daemons in the data centres in scope.
fn all_in_force(fleet: &Fleet, revision: u64, in_scope: impl Fn(usize) -> bool) -> bool {
    fleet
        .running()
        .filter(|(index, _)| in_scope(fleet.nodes[*index].data_centre))
        .all(|(_, process)| process.rules.in_force() >= revision)
}

fn propagation() {
    const RULE_COUNT: usize = 20;
    println!("rule accepted to in force everywhere, 1% loss, {RULE_COUNT} rules");
    println!("| daemons | median | longest |");
    println!("|---|---|---|");
    for daemons in FLEET_SIZES {
        let mut fleet = joined_fleet(daemons);
        let mut times: Vec<Option<Duration>> = Vec::new();
        for _ in 0..RULE_COUNT {
            let revision = fleet.write_rules();
            times.push(fleet.run_until(MAX_WAIT, |fleet| all_in_force(fleet, revision, |_| true)));
            fleet.run(Duration::from_secs(5));
        }
        times.sort_by_key(|time| time.unwrap_or(Duration::MAX));
        println!(
            "| {daemons} | {} | {} |",
            format_seconds(times[RULE_COUNT / 2]),
            format_seconds(times[RULE_COUNT - 1])
        );
    }
}

/// Whether all daemons outside data centre 0 list it as unreachable, or none does.
fn all_marked(fleet: &Fleet, unreachable: bool) -> bool {
    fleet
        .running()
        .filter(|(index, _)| fleet.nodes[*index].data_centre != 0)
        .all(|(_, one)| one.membership.unreachable().contains(&data_centre_name(0)) == unreachable)
}

/// Returns the number of live members in the tables of all running daemons.
fn live_pairs(fleet: &Fleet) -> usize {
    let live = |by: usize| {
        let all = 0..fleet.nodes.len();
        all.filter(|of| fleet.state_seen(by, *of).is_some_and(State::is_live))
            .count()
    };
    fleet.running().map(|(by, _)| live(by)).sum()
}

fn partition() {
    println!("\none of 7 data centres cut off for 3 minutes, then healed");
    println!("| daemons | marked | in force outside | unmarked | in force inside | members lost |");
    println!("|---|---|---|---|---|---|");
    for daemons in &FLEET_SIZES[1..] {
        let mut fleet = joined_fleet(*daemons);
        let before = live_pairs(&fleet);
        fleet.partition(&[0]);
        let marking_time = fleet.run_until(MAX_WAIT, |fleet| all_marked(fleet, true));
        fleet.run(Duration::from_mins(3));
        let revision = fleet.write_rules();
        let outside = fleet.run_until(MAX_WAIT, |fleet| {
            all_in_force(fleet, revision, |one| one != 0)
        });
        let lost = before - live_pairs(&fleet);
        fleet.partition(&[]);
        let healed = fleet.elapsed();
        let inside = fleet.run_until(MAX_WAIT, |fleet| all_in_force(fleet, revision, |_| true));
        fleet.run_until(MAX_WAIT, |fleet| all_marked(fleet, false));
        let unmarked = Some(fleet.elapsed().saturating_sub(healed));
        println!(
            "| {daemons} | {} | {} | {} | {} | {lost} |",
            format_seconds(marking_time),
            format_seconds(outside),
            format_seconds(unmarked),
            format_seconds(inside)
        );
    }
}

fn failures() {
    println!("\nVMs that die without notice");
    println!(
        "| daemons | dead | suspected in their data centres | removed everywhere | others removed |"
    );
    println!("|---|---|---|---|---|");
    for daemons in &FLEET_SIZES[1..] {
        for dead in [1, (daemons / 20).max(2)] {
            let mut fleet = joined_fleet(*daemons);
            for index in 0..dead {
                fleet.kill(index);
            }
            let from = fleet.elapsed();
            let data_centres = DATA_CENTRE_COUNT.min(*daemons);
            let all = |fleet: &Fleet, local: bool, is_expected: fn(State) -> bool| {
                fleet.running().all(|(by, _)| {
                    (0..dead)
                        .filter(|of| !local || of % data_centres == by % data_centres)
                        .all(|of| fleet.state_seen(by, of).is_none_or(is_expected))
                })
            };
            let suspected = fleet.run_until(MAX_WAIT, |fleet| {
                all(fleet, true, |one| one != State::Alive)
            });
            fleet.run_until(MAX_WAIT, |fleet| all(fleet, false, |one| !one.is_live()));
            let removed = fleet.elapsed().saturating_sub(from);
            let others = fleet.removals.iter().filter(|one| one.node >= dead).count();
            println!(
                "| {daemons} | {dead} | {} | {} | {others} |",
                format_seconds(suspected),
                format_seconds(Some(removed))
            );
        }
    }
}

fn pauses() {
    println!("\n5% of the VMs paused for 5 s, 5 times");
    println!("| daemons | paused | VMs removed | removals by any daemon | all alive again after |");
    println!("|---|---|---|---|---|");
    for daemons in &FLEET_SIZES[1..] {
        let mut fleet = joined_fleet(*daemons);
        let paused = (daemons / 20).max(1);
        let mut longest = Some(Duration::ZERO);
        for round in 0..5 {
            fleet.run(Duration::from_secs(30));
            for index in 0..paused {
                fleet.pause(round * paused + index, Duration::from_secs(5));
            }
            fleet.run(Duration::from_secs(5));
            let took = fleet.run_until(MAX_WAIT, |fleet| {
                fleet.running().all(|(by, _)| {
                    (0..*daemons).all(|of| fleet.state_seen(by, of) == Some(State::Alive))
                })
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
            format_seconds(longest)
        );
    }
}

/// Mean rates of one daemon per second.
struct Rates {
    bytes: f64,
    /// Bytes of the daemon with the most traffic.
    peak_bytes: f64,
    datagrams: f64,
    /// Processor time in microseconds.
    micros: f64,
}

/// Returns the mean rates per relay or per other daemon since the usages in `before`.
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

/// Loads by name, with their duration and the period of one rule change, one drain and one replaced
/// daemon process; `None` for no changes.
const CHANGE_LOADS: [(&str, Duration, Option<Duration>); 3] = [
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
    for daemons in COST_FLEET_SIZES {
        let mut fleet = joined_fleet(daemons);
        let mut replaced_node = 0;
        for (load, time, period) in CHANGE_LOADS {
            let before: Vec<Usage> = fleet.nodes.iter().map(|node| node.usage).collect();
            let until = fleet.elapsed() + time;
            while fleet.elapsed() < until {
                if let Some(period) = period {
                    let from = fleet.elapsed();
                    replaced_node += 1;
                    fleet.write_rules();
                    replace(&mut fleet, replaced_node);
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

/// Drains a daemon, ends its process and starts another one with the same VM id and address.
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

fn sample_member(index: usize) -> Member {
    Member {
        vm: format!("pt-centro-{}-vm-{index:04}", index % DATA_CENTRE_COUNT).into(),
        incarnation: 1_700_000_000_000_000,
        version: 1,
        state: State::Alive,
        data_centre: data_centre_name(index % DATA_CENTRE_COUNT),
        call_address: address(index, 7000),
        gossip_address: address(index, 7001),
        service: Some(format!("service-{:02}", index % 80).into()),
        slots: 35,
        cold: false,
        unreachable: Vec::new(),
    }
}

/// Returns the resident memory of this process in bytes, or zero where it is not known.
fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|one| one.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn memory() {
    const TABLE_COUNT: usize = 20;
    println!("\nmemory of one member table, every record with its own copy of each name");
    println!("| daemons | KB |");
    println!("|---|---|");
    let now = Instant::now();
    // Keeps earlier tables allocated, so that later ones do not reuse their memory.
    let mut kept = Vec::new();
    for daemons in [750, 1_500, 3_000, 6_000, 15_000] {
        let before = resident_bytes();
        let tables: Vec<Membership> = (0..TABLE_COUNT)
            .map(|seed| {
                let mut one = Membership::new(now, sample_member(0), seed as u64);
                let contact = address(1, 7000);
                one.set_contacts(now, vec![contact]);
                let _ = one.tick(now);
                let members = (1..daemons)
                    .map(|index| Arc::new(sample_member(index)))
                    .collect();
                let reply = SyncReply {
                    members,
                    ..SyncReply::default()
                };
                let _ = one.handle_sync_reply(now, contact, &reply);
                one
            })
            .collect();
        let bytes = resident_bytes().saturating_sub(before) / tables.len();
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
    for daemons in COST_FLEET_SIZES {
        let mut fleet = joined_fleet(daemons);
        let from = fleet.elapsed();
        fleet.run(Duration::from_mins(2));
        let quiet_peak = fleet.peak_calls(from);
        fleet.platform.unavailable = true;
        fleet.fail_watches();
        fleet.run(Duration::from_mins(2));
        fleet.platform.unavailable = false;
        let from = fleet.elapsed();
        fleet.run(Duration::from_mins(2));
        let outage_peak = fleet.peak_calls(from);
        drop(fleet);
        let mut fleet = Fleet::new(daemons, DATA_CENTRE_COUNT, LOSS_FRACTION, FLEET_SEED);
        fleet.platform.rules = 1;
        fleet.platform.homes = 1;
        for index in 0..daemons {
            fleet.start(index, &[]);
        }
        let joined = |fleet: &Fleet| {
            all_in_force(fleet, 1, |_| true)
                && fleet.running().all(|(_, one)| one.membership.is_joined())
        };
        let complete = |fleet: &Fleet| {
            fleet.running().all(|(_, one)| {
                let live = |name| one.membership.live_count(&data_centre_name(name));
                (0..DATA_CENTRE_COUNT).map(live).sum::<usize>() == daemons
            })
        };
        fleet.run_until(MAX_WAIT, joined);
        let joined_time = Some(fleet.elapsed());
        fleet.run_until(MAX_WAIT, complete);
        let all = Some(fleet.elapsed());
        fleet.run(Duration::from_secs(30));
        let start_peak = fleet.peak_calls(Duration::ZERO);
        println!(
            "| {daemons} | {quiet_peak} | {outage_peak} | {start_peak} | {} | {} |",
            format_seconds(joined_time),
            format_seconds(all)
        );
    }
}
