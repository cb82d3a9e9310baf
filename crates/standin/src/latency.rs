//! Added latency of two daemons on the way to an endpoint.
//!
//! The variants run in turn at each rate, several rounds, so that noise of the machine meets all of
//! them. Two plain TCP forwarders on the same way show what the extra hops cost without any work.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use policy::clock::SystemClock;
use serde::Serialize;

use crate::daemon::{Daemon, Settings, Usage, set_contacts};
use crate::endpoint::{Endpoint, Spec, loopback};
use crate::ledger::Ledger;
use crate::load::{self, Class, Phase, Plan};
use crate::platform::Platform;
use crate::relay::Relay;
use crate::report::Latency;
use crate::scenario::{Error, store_rules};
use crate::target::{RoundRobin, Target};

const SERVICE: &str = "origem";
/// Slots of the endpoint, more than are ever in use.
const SLOTS: u32 = 1_000;
/// Seconds before each round in which connections open. They do not count.
const WARM_UP_SECONDS: f64 = 1.0;
const START_TIMEOUT: Duration = Duration::from_secs(20);
const SETTLE_TIME: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What to measure.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasurementPlan {
    /// Rates in calls a second.
    pub rates: Vec<f64>,
    /// Rounds at each rate.
    pub rounds: u32,
    /// Length of a round in seconds.
    pub seconds: f64,
}

/// Way of the calls to the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallPath {
    /// Straight to the endpoint.
    Direct,
    /// Through two plain TCP forwarders.
    Relays,
    /// Through two daemons.
    Daemons,
}

/// Latencies of one way at one rate.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    /// Calls a second.
    pub rate: f64,
    /// Way of the calls.
    pub way: CallPath,
    /// Calls due.
    pub offered: u64,
    /// Calls served whole.
    pub served: u64,
    /// Latencies of the calls served.
    pub latency: Latency,
    /// Latencies in relation to the direct way in the same run.
    pub ratio: Latency,
    /// Latencies minus those of the direct way, in milliseconds.
    pub added: Latency,
    /// Processor time of both daemons for each call, in microseconds.
    pub cpu_us: f64,
    /// Resident memory of the larger daemon, in bytes.
    pub resident: u64,
}

/// The endpoint with the ways to it.
#[derive(Debug)]
struct Bench {
    ways: BTreeMap<CallPath, SocketAddr>,
    daemons: Vec<Daemon>,
    _relays: [Relay; 2],
    _endpoint: Endpoint,
    _platform: Platform,
}

impl Bench {
    async fn start(binary: Option<&Path>, directory: &Path) -> Result<Self, Error> {
        let start = Platform::start(loopback(), Arc::new(SystemClock::new())).await;
        let platform = start.map_err(Error::io("start the platform"))?;
        store_rules(&platform, &[rule()]).await?;
        let mut daemons = Vec::new();
        if let Some(binary) = binary {
            let new = |vm| Settings::new(vm, "here", platform.address());
            let entry = new("entry").map_err(Error::io("find a free port"))?;
            let last = new("last").map_err(Error::io("find a free port"))?;
            let mut fleet = [entry, last];
            set_contacts(&mut fleet);
            for settings in fleet {
                let daemon = Daemon::start(binary, directory, settings);
                daemons.push(daemon.map_err(Error::io("start a daemon"))?);
            }
        }
        let spec = Spec {
            service: SERVICE.to_owned(),
            slots: SLOTS,
            connections: 10_000,
            service_ms: 0.0,
            ..Spec::default()
        };
        let none = Arc::new(Target::Endpoints(BTreeMap::new()));
        let clock = Arc::new(SystemClock::new());
        let endpoint = Endpoint::start(loopback(), spec, clock, Arc::new(Ledger::default()), none);
        let mut endpoint = endpoint.await.map_err(Error::io("start the endpoint"))?;
        let second = Relay::start(endpoint.address()).await;
        let second = second.map_err(Error::io("start a relay"))?;
        let first = Relay::start(second.address()).await;
        let first = first.map_err(Error::io("start a relay"))?;
        let mut ways = BTreeMap::from([
            (CallPath::Direct, endpoint.address()),
            (CallPath::Relays, first.address()),
        ]);
        if let [entry, last] = &mut *daemons {
            endpoint = endpoint.with_daemon(last.settings().caller_address);
            ways.insert(CallPath::Daemons, entry.settings().caller_address);
            wait(&endpoint, last).await?;
        }
        Ok(Self {
            ways,
            daemons,
            _relays: [first, second],
            _endpoint: endpoint,
            _platform: platform,
        })
    }
}

impl Bench {
    /// Processor time of all daemons and memory of the largest, none for the other ways.
    fn usage(&self, way: CallPath) -> Result<Usage, Error> {
        let mut sum = Usage::default();
        for daemon in self.daemons.iter().filter(|_| way == CallPath::Daemons) {
            let own = daemon
                .usage()
                .map_err(Error::io("read the usage of a daemon"))?;
            sum.cpu += own.cpu;
            sum.resident = sum.resident.max(own.resident);
        }
        Ok(sum)
    }
}

async fn wait(endpoint: &Endpoint, daemon: &mut Daemon) -> Result<(), Error> {
    let end = Instant::now() + START_TIMEOUT;
    while endpoint.accepted_announcements() == 0 {
        if daemon.has_ended() || Instant::now() > end {
            return Err(Error::DaemonNotReady {
                vm: daemon.settings().vm.clone(),
                log: daemon.log_path().to_owned(),
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    Ok(())
}

fn rule() -> String {
    let kind = serde_json::json!({"kind": {
        "name": "provenance", "service": SERVICE, "rank": 1, "deadline_ms": 2_000,
        "extra_attempts": 0, "idempotent": true
    }});
    format!("{kind} // asked by Teresa Maia, buyers")
}

fn plan(rate: f64, seed: u64, seconds: f64) -> Plan {
    let class = Class {
        name: "provenance".to_owned(),
        rank: 1,
        service: SERVICE.to_owned(),
        method: "GET".to_owned(),
        path: "/provenance".to_owned(),
        customers: Vec::new(),
        share: 1.0,
        keyed: false,
        deadline_ms: 2_000,
        timeout_ms: 2_000,
        resends: 0,
    };
    let phase = |name: &str, seconds| Phase {
        name: name.to_owned(),
        seconds,
        factors: BTreeMap::new(),
    };
    Plan {
        rate,
        seed,
        classes: vec![class],
        phases: vec![
            phase("warm-up", WARM_UP_SECONDS),
            phase("measured", seconds),
        ],
    }
}

/// Sum of the rounds of one way at one rate.
#[derive(Debug)]
struct Sum {
    offered: u64,
    served: u64,
    latency: Histogram<u64>,
    cpu: Duration,
    resident: u64,
}

/// Measures all ways; without a daemon binary the direct one and the relays.
///
/// # Errors
///
/// [`Error`] if the endpoint or a daemon does not start.
///
/// # Panics
///
/// Never: all histograms have the same bounds.
pub async fn run(
    spread: &MeasurementPlan,
    binary: Option<&Path>,
    directory: &Path,
) -> Result<Vec<Row>, Error> {
    let mut bench = Bench::start(binary, directory).await?;
    let mut rows = Vec::new();
    for rate in &spread.rates {
        let mut sums: BTreeMap<CallPath, Sum> = BTreeMap::new();
        for round in 0..spread.rounds {
            for (way, address) in &bench.ways {
                let target = Arc::new(Target::Daemons(RoundRobin::new(vec![*address])));
                let plan = plan(*rate, u64::from(round), spread.seconds);
                let before = bench.usage(*way)?;
                let mut results = load::run(plan, target, None, Instant::now()).await;
                let Some(tally) = results
                    .classes
                    .pop()
                    .and_then(|mut class| class.phases.pop())
                else {
                    continue;
                };
                let sum = sums.entry(*way).or_insert_with(|| Sum {
                    offered: 0,
                    served: 0,
                    latency: Histogram::new_from(&tally.latency),
                    cpu: Duration::ZERO,
                    resident: 0,
                });
                let after = bench.usage(*way)?;
                // The warm-up does not count as calls, so its part of the time does not either.
                let part = spread.seconds / (spread.seconds + WARM_UP_SECONDS);
                sum.cpu += after.cpu.saturating_sub(before.cpu).mul_f64(part);
                sum.resident = after.resident;
                sum.offered += tally.offered;
                sum.served += tally.served;
                sum.latency
                    .add(&tally.latency)
                    .expect("histograms have the same bounds");
            }
        }
        rows.extend(compare(*rate, &sums));
    }
    for daemon in &mut bench.daemons {
        daemon.kill().await.map_err(Error::io("kill a daemon"))?;
    }
    Ok(rows)
}

fn compare(rate: f64, sums: &BTreeMap<CallPath, Sum>) -> Vec<Row> {
    let Some(direct) = sums.get(&CallPath::Direct) else {
        return Vec::new();
    };
    let direct = Latency::new(&direct.latency);
    let rows = sums.iter().map(|(way, sum)| {
        let latency = Latency::new(&sum.latency);
        let with = |change: fn(f64, f64) -> f64| Latency {
            p50: change(latency.p50, direct.p50),
            p99: change(latency.p99, direct.p99),
            p999: change(latency.p999, direct.p999),
        };
        Row {
            rate,
            way: *way,
            offered: sum.offered,
            served: sum.served,
            latency,
            ratio: with(|own, direct| own / direct),
            added: with(|own, direct| own - direct),
            cpu_us: sum.cpu.as_secs_f64() * 1e6 / sum.offered.max(1) as f64,
            resident: sum.resident,
        }
    });
    rows.collect()
}

/// Table for people.
///
/// # Panics
///
/// Never: writing to a string does not fail.
#[must_use]
pub fn table(rows: &[Row]) -> String {
    let mut text = format!(
        "{:>8} {:8} {:>8} {:>8} {:>24} {:>24} {:>24} {:>8} {:>7}\n",
        "calls/s",
        "way",
        "offered",
        "served",
        "p50/p99/p99.9 ms",
        "ratio to direct",
        "added ms",
        "cpu us",
        "MiB"
    );
    let three =
        |latency: &Latency| format!("{:.3}/{:.3}/{:.3}", latency.p50, latency.p99, latency.p999);
    for row in rows {
        writeln!(
            text,
            "{:>8} {:8} {:>8} {:>8} {:>24} {:>24} {:>24} {:>8.0} {:>7.1}",
            row.rate,
            format!("{:?}", row.way).to_lowercase(),
            row.offered,
            row.served,
            three(&row.latency),
            three(&row.ratio),
            three(&row.added),
            row.cpu_us,
            row.resident as f64 / f64::from(1 << 20),
        )
        .expect("writing to a string does not fail");
    }
    text
}
