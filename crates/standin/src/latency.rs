//! Measures the latency that two daemons add to calls to an endpoint.
//!
//! At each rate, several rounds measure all call paths in turn, so that noise of the machine
//! affects all of them. A path through two plain TCP relays shows the cost of the extra hops alone.

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

const SERVICE_NAME: &str = "origem";
/// Slots of the endpoint, enough that no call is queued.
const ENDPOINT_SLOTS: u32 = 1_000;
/// Warm-up before each round, in which connections open. It is not measured.
const WARM_UP_SECONDS: f64 = 1.0;
/// Timeout for the daemon to accept the endpoint.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for gossip to reach the other daemon before the measurement.
const GOSSIP_SETTLE_TIME: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Rates and rounds to measure.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasurementPlan {
    /// Rates in calls per second.
    pub rates: Vec<f64>,
    /// Rounds at each rate.
    pub rounds: u32,
    /// Duration of a round in seconds.
    pub seconds: f64,
}

/// Path of the calls to the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallPath {
    /// Directly to the endpoint.
    Direct,
    /// Through two plain TCP relays.
    Relays,
    /// Through two daemons.
    Daemons,
}

/// Results of one call path at one rate.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    /// Calls per second.
    pub rate: f64,
    /// Path of the calls.
    pub way: CallPath,
    /// Calls scheduled.
    pub offered: u64,
    /// Calls served completely and in time.
    pub served: u64,
    /// Latencies of the served calls.
    pub latency: Latency,
    /// Latencies divided by those of the direct path in the same run.
    pub ratio: Latency,
    /// Latencies minus those of the direct path, in milliseconds.
    pub added: Latency,
    /// CPU time of both daemons per call, in microseconds.
    pub cpu_us: f64,
    /// Resident memory of the larger daemon, in bytes.
    pub resident: u64,
}

/// The endpoint and the addresses of the call paths to it.
#[derive(Debug)]
struct Setup {
    addresses: BTreeMap<CallPath, SocketAddr>,
    daemons: Vec<Daemon>,
    _relays: [Relay; 2],
    _endpoint: Endpoint,
    _platform: Platform,
}

impl Setup {
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
            service: SERVICE_NAME.to_owned(),
            slots: ENDPOINT_SLOTS,
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
        let mut addresses = BTreeMap::from([
            (CallPath::Direct, endpoint.address()),
            (CallPath::Relays, first.address()),
        ]);
        if let [entry, last] = &mut *daemons {
            endpoint = endpoint.with_daemon(last.settings().caller_address);
            addresses.insert(CallPath::Daemons, entry.settings().caller_address);
            wait_for_daemon(&endpoint, last).await?;
        }
        Ok(Self {
            addresses,
            daemons,
            _relays: [first, second],
            _endpoint: endpoint,
            _platform: platform,
        })
    }
}

impl Setup {
    /// Returns the CPU time of all daemons and the memory of the largest; zero for a path without
    /// daemons.
    fn usage(&self, path: CallPath) -> Result<Usage, Error> {
        let mut total = Usage::default();
        for daemon in self.daemons.iter().filter(|_| path == CallPath::Daemons) {
            let usage = daemon
                .usage()
                .map_err(Error::io("read the usage of a daemon"))?;
            total.cpu += usage.cpu;
            total.resident = total.resident.max(usage.resident);
        }
        Ok(total)
    }
}

async fn wait_for_daemon(endpoint: &Endpoint, daemon: &mut Daemon) -> Result<(), Error> {
    let end = Instant::now() + START_TIMEOUT;
    while endpoint.accepted_announcements() == 0 {
        if daemon.has_exited() || Instant::now() > end {
            return Err(Error::DaemonNotReady {
                vm: daemon.settings().vm.clone(),
                log: daemon.log_path().to_owned(),
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tokio::time::sleep(GOSSIP_SETTLE_TIME).await;
    Ok(())
}

fn rule() -> String {
    let kind = serde_json::json!({"kind": {
        "name": "provenance", "service": SERVICE_NAME, "rank": 1, "deadline_ms": 2_000,
        "extra_attempts": 0, "idempotent": true
    }});
    format!("{kind} // asked by Teresa Maia, buyers")
}

fn plan(rate: f64, seed: u64, seconds: f64) -> Plan {
    let class = Class {
        name: "provenance".to_owned(),
        rank: 1,
        service: SERVICE_NAME.to_owned(),
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

/// Totals of the rounds of one call path at one rate.
#[derive(Debug)]
struct PathStats {
    offered: u64,
    served: u64,
    latency: Histogram<u64>,
    cpu: Duration,
    resident: u64,
}

/// Measures all call paths; without a daemon binary only the direct one and the relays.
///
/// # Errors
///
/// [`Error`] if the endpoint or a daemon does not start.
///
/// # Panics
///
/// Never: all histograms have the same bounds.
pub async fn run(
    measurement: &MeasurementPlan,
    binary: Option<&Path>,
    directory: &Path,
) -> Result<Vec<Row>, Error> {
    let mut setup = Setup::start(binary, directory).await?;
    let mut rows = Vec::new();
    for rate in &measurement.rates {
        let mut stats_by_path: BTreeMap<CallPath, PathStats> = BTreeMap::new();
        for round in 0..measurement.rounds {
            for (path, address) in &setup.addresses {
                let target = Arc::new(Target::Daemons(RoundRobin::new(vec![*address])));
                let plan = plan(*rate, u64::from(round), measurement.seconds);
                let before = setup.usage(*path)?;
                let mut results = load::run(plan, target, None, Instant::now()).await;
                let Some(phase) = results
                    .classes
                    .pop()
                    .and_then(|mut class| class.phases.pop())
                else {
                    continue;
                };
                let stats = stats_by_path.entry(*path).or_insert_with(|| PathStats {
                    offered: 0,
                    served: 0,
                    latency: Histogram::new_from(&phase.latency),
                    cpu: Duration::ZERO,
                    resident: 0,
                });
                let after = setup.usage(*path)?;
                // Warm-up calls are not counted, so the CPU time of the warm-up is left out too.
                let measured_fraction =
                    measurement.seconds / (measurement.seconds + WARM_UP_SECONDS);
                stats.cpu += after
                    .cpu
                    .saturating_sub(before.cpu)
                    .mul_f64(measured_fraction);
                stats.resident = after.resident;
                stats.offered += phase.offered;
                stats.served += phase.served;
                stats
                    .latency
                    .add(&phase.latency)
                    .expect("histograms have the same bounds");
            }
        }
        rows.extend(compare(*rate, &stats_by_path));
    }
    for daemon in &mut setup.daemons {
        daemon.kill().await.map_err(Error::io("kill a daemon"))?;
    }
    Ok(rows)
}

fn compare(rate: f64, stats_by_path: &BTreeMap<CallPath, PathStats>) -> Vec<Row> {
    let Some(direct) = stats_by_path.get(&CallPath::Direct) else {
        return Vec::new();
    };
    let direct = Latency::new(&direct.latency);
    let rows = stats_by_path.iter().map(|(path, stats)| {
        let latency = Latency::new(&stats.latency);
        let with = |change: fn(f64, f64) -> f64| Latency {
            p50: change(latency.p50, direct.p50),
            p99: change(latency.p99, direct.p99),
            p999: change(latency.p999, direct.p999),
        };
        Row {
            rate,
            way: *path,
            offered: stats.offered,
            served: stats.served,
            latency,
            ratio: with(|latency, direct| latency / direct),
            added: with(|latency, direct| latency - direct),
            cpu_us: stats.cpu.as_secs_f64() * 1e6 / stats.offered.max(1) as f64,
            resident: stats.resident,
        }
    });
    rows.collect()
}

/// Formats the rows as a human-readable table.
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
    let percentiles =
        |latency: &Latency| format!("{:.3}/{:.3}/{:.3}", latency.p50, latency.p99, latency.p999);
    for row in rows {
        writeln!(
            text,
            "{:>8} {:8} {:>8} {:>8} {:>24} {:>24} {:>24} {:>8.0} {:>7.1}",
            row.rate,
            format!("{:?}", row.way).to_lowercase(),
            row.offered,
            row.served,
            percentiles(&row.latency),
            percentiles(&row.ratio),
            percentiles(&row.added),
            row.cpu_us,
            row.resident as f64 / f64::from(1 << 20),
        )
        .expect("writing to a string does not fail");
    }
    text
}
