//! Scenario files and their runs.
//!
//! The platform, the endpoints and the callers run in this process, and each daemon in its own. In
//! the baseline, without daemons, the load goes directly to the endpoints.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use ::daemon::apply::apply;
use ::platform::Client;
use operator::message::Edit;
use policy::clock::SystemClock;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::daemon::{Daemon, Settings, set_contacts};
use crate::endpoint::{Endpoint, Faults, NestedCall, Spec, free_address, loopback};
use crate::ledger::{Ledger, RunSummary};
use crate::load::{self, Class, LoadResults, Plan};
use crate::platform::{self, Platform};
use crate::target::{RoundRobin, Target};

#[cfg(test)]
mod tests;

/// Timeout for all daemons to accept their endpoints.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for gossip to reach all daemons before the load starts.
const GOSSIP_SETTLE_TIME: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Content of a scenario file.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name in the output.
    pub name: String,
    /// Data centres; the endpoints of a service are distributed among them round robin.
    pub data_centres: Vec<String>,
    /// Services.
    pub services: Vec<Service>,
    /// Lines of the rules file.
    #[serde(default)]
    pub rules: Vec<String>,
    /// Total calls per second of all classes at factor 1.
    pub rate: f64,
    /// Seed of the arrivals and the processing times.
    #[serde(default)]
    pub seed: u64,
    /// Classes of calls.
    pub classes: Vec<Class>,
    /// Phases, in order.
    pub phases: Vec<Phase>,
}

/// A service and its endpoints.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Number of endpoints, each on its own VM.
    pub upstreams: u32,
    /// Slots of each endpoint.
    pub slots: u32,
    /// Maximum number of connections of each endpoint.
    pub connections: usize,
    /// Mean processing time in milliseconds, excluding nested calls.
    pub service_ms: f64,
    /// Bytes of filler in a response body.
    #[serde(default = "default_size")]
    pub size: usize,
    /// Nested calls made by each call.
    #[serde(default)]
    pub children: Vec<NestedCall>,
}

const fn default_size() -> usize {
    400
}

/// A period of constant rates, with faults.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Phase {
    /// Name in tables and JSON lines.
    pub name: String,
    /// Length in seconds.
    pub seconds: f64,
    /// Factors on the rate, by class name; 1 for other classes.
    pub factors: BTreeMap<String, f64>,
    /// Faults of endpoints. They end with the phase.
    pub endpoints: Vec<EndpointFaults>,
    /// Faults of the platform. They end with the phase.
    pub platform: Option<platform::Faults>,
    /// VMs that fail permanently.
    pub failures: Vec<VmEvent>,
    /// VMs that leave permanently: their endpoints drain and finish their calls.
    pub drains: Vec<VmEvent>,
}

impl Phase {
    /// Returns whether the phase has faults, VM events or changed rates.
    #[must_use]
    pub fn is_disturbed(&self) -> bool {
        let undisturbed = Self {
            name: self.name.clone(),
            seconds: self.seconds,
            ..Self::default()
        };
        *self != undisturbed
    }
}

/// Faults of one or all endpoints of a service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointFaults {
    /// Name of the service.
    pub service: String,
    /// Index of the endpoint from 0; all endpoints if omitted.
    #[serde(default)]
    pub upstream: Option<u32>,
    /// Time after the start of the phase, in milliseconds.
    #[serde(default)]
    pub after_ms: u64,
    /// Faults to set.
    pub faults: Faults,
}

/// Failure or drain of a VM. A failure closes its endpoint and kills its daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmEvent {
    /// Name of the service.
    pub service: String,
    /// Index of the endpoint from 0.
    pub upstream: u32,
    /// Time after the start of the phase, in milliseconds.
    #[serde(default)]
    pub after_ms: u64,
}

/// Why a scenario did not run.
#[derive(Debug)]
pub enum Error {
    /// An operation on a file, port or process failed.
    Io {
        /// Operation that failed.
        action: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file content is not valid.
    Parse {
        /// Error and position.
        message: String,
    },
    /// The file uses a service, endpoint or class that it does not declare.
    Undeclared {
        /// Undeclared name.
        name: String,
    },
    /// The rules could not be stored.
    Rules {
        /// Reason.
        message: String,
    },
    /// A daemon exited, or did not accept its endpoint in time.
    DaemonNotReady {
        /// VM of the daemon.
        vm: String,
        /// File with its output.
        log: PathBuf,
    },
}

impl Error {
    /// Returns a function for `map_err` that wraps an I/O error of `action`.
    pub fn io(action: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let action = action.into();
        move |source| Self::Io { action, source }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { action, source } => write!(f, "cannot {action}: {source}"),
            Self::Parse { message } => write!(f, "the file is not valid: {message}; correct it"),
            Self::Undeclared { name } => {
                write!(
                    f,
                    "{name} is used but not declared; declare it or correct the name"
                )
            }
            Self::Rules { message } => write!(f, "cannot store the rules: {message}"),
            Self::DaemonNotReady { vm, log } => write!(
                f,
                "the daemon of {vm} exited or did not accept its endpoint in time; see {}",
                log.display()
            ),
        }
    }
}

impl std::error::Error for Error {}

/// Reads a file of JSON with comments.
///
/// # Errors
///
/// [`Error::Io`] if the file cannot be read, [`Error::Parse`] if its content is not valid.
pub fn read_jsonc<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let read = std::fs::read_to_string(path);
    let text = read.map_err(Error::io(format!("read {}", path.display())))?;
    parse_jsonc(&text)
}

fn parse_jsonc<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let options = jsonc_parser::ParseOptions::default();
    jsonc_parser::parse_to_serde_value(text, &options).map_err(|error| Error::Parse {
        message: error.to_string(),
    })
}

impl Scenario {
    /// Returns the load of the scenario.
    #[must_use]
    pub fn plan(&self) -> Plan {
        let phases = self.phases.iter().map(|phase| load::Phase {
            name: phase.name.clone(),
            seconds: phase.seconds,
            factors: phase.factors.clone(),
        });
        Plan {
            rate: self.rate,
            seed: self.seed,
            classes: self.classes.clone(),
            phases: phases.collect(),
        }
    }

    /// Returns for each phase whether it is disturbed.
    #[must_use]
    pub fn disturbed_phases(&self) -> Vec<bool> {
        self.phases.iter().map(Phase::is_disturbed).collect()
    }

    /// Checks that all used services, endpoints and classes are declared.
    ///
    /// # Errors
    ///
    /// [`Error::Undeclared`] with the first name that is not.
    pub fn check_names(&self) -> Result<(), Error> {
        let called = self.classes.iter().map(|class| (&class.service, 0));
        let children = self.services.iter().flat_map(|service| &service.children);
        let children = children.map(|child| (&child.service, 0));
        let faults = self.phases.iter().flat_map(|phase| &phase.endpoints);
        let faults = faults.map(|fault| (&fault.service, fault.upstream.unwrap_or(0)));
        let phases = self.phases.iter();
        let vm_events = phases.flat_map(|phase| phase.failures.iter().chain(&phase.drains));
        let vm_events = vm_events.map(|event| (&event.service, event.upstream));
        for (name, upstream) in called.chain(children).chain(faults).chain(vm_events) {
            let declared =
                |service: &Service| service.name == *name && upstream < service.upstreams;
            if !self.services.iter().any(declared) {
                let name = format!("service {name}, upstream {upstream}");
                return Err(Error::Undeclared { name });
            }
        }
        for name in self.phases.iter().flat_map(|phase| phase.factors.keys()) {
            if !self.classes.iter().any(|class| class.name == *name) {
                let name = format!("class {name}");
                return Err(Error::Undeclared { name });
            }
        }
        Ok(())
    }

    fn planned_endpoints(&self) -> Vec<PlannedEndpoint<'_>> {
        let mut endpoints = Vec::new();
        for service in &self.services {
            for index in 0..service.upstreams {
                let centre_index = index as usize % self.data_centres.len().max(1);
                endpoints.push(PlannedEndpoint {
                    service,
                    index,
                    data_centre: self
                        .data_centres
                        .get(centre_index)
                        .map_or("", String::as_str),
                });
            }
        }
        endpoints
    }
}

/// One endpoint of a service, with its data centre.
#[derive(Clone, Copy, Debug)]
struct PlannedEndpoint<'a> {
    service: &'a Service,
    index: u32,
    data_centre: &'a str,
}

impl PlannedEndpoint<'_> {
    fn vm(&self) -> String {
        format!("{}-{}", self.service.name, self.index)
    }

    fn spec(&self, seed: u64) -> Spec {
        let service = self.service;
        Spec {
            service: service.name.clone(),
            slots: service.slots,
            connections: service.connections,
            service_ms: service.service_ms,
            size: service.size,
            children: service.children.clone(),
            cold_ms: 0,
            seed,
        }
    }
}

/// Results of a scenario.
#[derive(Debug)]
pub struct ScenarioResults {
    /// Results of the load.
    pub results: LoadResults,
    /// Runs at the endpoints.
    pub runs: RunSummary,
    /// Calls to the platform.
    pub platform: platform::Counts,
}

/// Runs a scenario with the daemon binary, or without daemons if there is none.
///
/// # Errors
///
/// [`Error`] if the fleet does not start or a fault cannot be set.
pub async fn run(
    scenario: &Scenario,
    daemon: Option<&Path>,
    directory: &Path,
) -> Result<ScenarioResults, Error> {
    scenario.check_names()?;
    let mut fleet = Fleet::start(scenario, daemon, directory).await?;
    if daemon.is_some() {
        tokio::time::sleep(GOSSIP_SETTLE_TIME).await;
    }
    let start = Instant::now() + POLL_INTERVAL;
    let ledger = Arc::clone(&fleet.ledger);
    let target = Arc::clone(&fleet.target);
    let load = load::run(scenario.plan(), target, Some(&ledger), start);
    let faults = fleet.apply_phases(scenario, start);
    let (results, faults) = tokio::join!(load, faults);
    faults?;
    let platform = fleet.platform.counts();
    fleet.stop().await?;
    Ok(ScenarioResults {
        results,
        runs: ledger.summary(),
        platform,
    })
}

/// Platform, endpoints and daemons of a run.
#[derive(Debug)]
struct Fleet {
    platform: Platform,
    endpoints: Vec<(String, u32, Endpoint)>,
    daemons: Vec<Daemon>,
    ledger: Arc<Ledger>,
    target: Arc<Target>,
}

impl Fleet {
    async fn start(
        scenario: &Scenario,
        binary: Option<&Path>,
        directory: &Path,
    ) -> Result<Self, Error> {
        let start = Platform::start(loopback(), Arc::new(SystemClock::new())).await;
        let platform = start.map_err(Error::io("start the platform"))?;
        store_rules(&platform, &scenario.rules).await?;
        let daemons = match binary {
            Some(binary) => start_daemons(scenario, binary, directory, platform.address())?,
            None => Vec::new(),
        };
        let mut fleet = Self {
            platform,
            endpoints: Vec::new(),
            daemons,
            ledger: Arc::default(),
            target: Arc::new(Target::Daemons(RoundRobin::default())),
        };
        fleet.start_endpoints(scenario).await?;
        fleet.wait_for_daemons().await?;
        Ok(fleet)
    }

    async fn start_endpoints(&mut self, scenario: &Scenario) -> Result<(), Error> {
        let planned = scenario.planned_endpoints();
        let mut addresses = Vec::new();
        for _ in &planned {
            addresses.push(free_address().map_err(Error::io("find a free port"))?);
        }
        let entries = self
            .daemons
            .iter()
            .map(|daemon| daemon.settings().caller_address);
        self.target = Arc::new(if self.daemons.is_empty() {
            direct_target(&planned, &addresses)
        } else {
            Target::Daemons(RoundRobin::new(entries.collect()))
        });
        for (number, (plan, address)) in planned.iter().zip(addresses).enumerate() {
            let daemon = self.daemons.get(number);
            let daemon = daemon.map(|daemon| daemon.settings().caller_address);
            let target = match daemon {
                Some(daemon) => Arc::new(Target::Daemons(RoundRobin::new(vec![daemon]))),
                None => Arc::clone(&self.target),
            };
            let spec = plan.spec(scenario.seed + number as u64);
            let clock = Arc::new(SystemClock::new());
            let endpoint = Endpoint::start(address, spec, clock, Arc::clone(&self.ledger), target);
            let mut endpoint = endpoint.await.map_err(Error::io("start an endpoint"))?;
            if let Some(daemon) = daemon {
                endpoint = endpoint.with_daemon(daemon);
            }
            let service = plan.service.name.clone();
            self.endpoints.push((service, plan.index, endpoint));
        }
        Ok(())
    }

    /// Waits until each daemon has accepted the announcement of its endpoint.
    async fn wait_for_daemons(&mut self) -> Result<(), Error> {
        let end = Instant::now() + START_TIMEOUT;
        for (daemon, (_, _, endpoint)) in self.daemons.iter_mut().zip(&self.endpoints) {
            while endpoint.accepted_announcements() == 0 {
                if daemon.has_exited() || Instant::now() > end {
                    return Err(Error::DaemonNotReady {
                        vm: daemon.settings().vm.clone(),
                        log: daemon.log_path().to_owned(),
                    });
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Sets and clears the faults of all phases at their scheduled times.
    async fn apply_phases(&mut self, scenario: &Scenario, start: Instant) -> Result<(), Error> {
        let mut failed = Vec::new();
        let mut phase_start = start;
        for phase in &scenario.phases {
            sleep_until(phase_start).await;
            if let Some(faults) = &phase.platform {
                self.platform.set_faults(faults.clone());
            }
            let mut events: Vec<_> = phase.endpoints.iter().map(PhaseEvent::Faults).collect();
            events.extend(phase.failures.iter().map(PhaseEvent::Failure));
            events.extend(phase.drains.iter().map(PhaseEvent::Drain));
            events.sort_by_key(PhaseEvent::offset);
            for event in events {
                sleep_until(phase_start + event.offset()).await;
                match event {
                    PhaseEvent::Faults(faults) => {
                        self.set_endpoint_faults(
                            &faults.service,
                            faults.upstream,
                            &faults.faults,
                            &failed,
                        )
                        .await?;
                    }
                    PhaseEvent::Failure(failure) => {
                        self.fail_vm(failure).await?;
                        failed.push((failure.service.clone(), failure.upstream));
                    }
                    PhaseEvent::Drain(drain) => {
                        for (name, index, endpoint) in &self.endpoints {
                            if *name == drain.service && *index == drain.upstream {
                                endpoint.drain();
                            }
                        }
                    }
                }
            }
            phase_start += Duration::from_secs_f64(phase.seconds);
            sleep_until(phase_start).await;
            if phase.platform.is_some() {
                self.platform.set_faults(platform::Faults::default());
            }
            for faults in &phase.endpoints {
                let no_faults = Faults::default();
                self.set_endpoint_faults(&faults.service, faults.upstream, &no_faults, &failed)
                    .await?;
            }
        }
        Ok(())
    }

    async fn set_endpoint_faults(
        &self,
        service: &str,
        upstream: Option<u32>,
        faults: &Faults,
        failed: &[(String, u32)],
    ) -> Result<(), Error> {
        for (name, index, endpoint) in &self.endpoints {
            let named = name == service && upstream.is_none_or(|upstream| upstream == *index);
            if named && !failed.contains(&(name.clone(), *index)) {
                let set = endpoint.set_faults(faults.clone()).await;
                set.map_err(Error::io("open the port of an endpoint again"))?;
            }
        }
        Ok(())
    }

    async fn fail_vm(&mut self, failure: &VmEvent) -> Result<(), Error> {
        let down = Faults {
            down: true,
            ..Faults::default()
        };
        self.set_endpoint_faults(&failure.service, Some(failure.upstream), &down, &[])
            .await?;
        let vm = format!("{}-{}", failure.service, failure.upstream);
        for daemon in &mut self.daemons {
            if daemon.settings().vm == vm {
                daemon.kill().await.map_err(Error::io("kill a daemon"))?;
            }
        }
        Ok(())
    }

    async fn stop(mut self) -> Result<(), Error> {
        for daemon in &mut self.daemons {
            daemon.kill().await.map_err(Error::io("kill a daemon"))?;
        }
        Ok(())
    }
}

/// Scheduled event within a phase.
enum PhaseEvent<'a> {
    Faults(&'a EndpointFaults),
    Failure(&'a VmEvent),
    Drain(&'a VmEvent),
}

impl PhaseEvent<'_> {
    const fn offset(&self) -> Duration {
        Duration::from_millis(match self {
            Self::Faults(faults) => faults.after_ms,
            Self::Failure(event) | Self::Drain(event) => event.after_ms,
        })
    }
}

async fn sleep_until(time: Instant) {
    tokio::time::sleep_until(time.into()).await;
}

fn direct_target(planned: &[PlannedEndpoint<'_>], addresses: &[SocketAddr]) -> Target {
    let mut services: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
    for (plan, address) in planned.iter().zip(addresses) {
        let name = plan.service.name.clone();
        services.entry(name).or_default().push(*address);
    }
    let services = services.into_iter();
    Target::Endpoints(
        services
            .map(|(name, all)| (name, RoundRobin::new(all)))
            .collect(),
    )
}

fn start_daemons(
    scenario: &Scenario,
    binary: &Path,
    directory: &Path,
    platform: SocketAddr,
) -> Result<Vec<Daemon>, Error> {
    let settings = scenario
        .planned_endpoints()
        .into_iter()
        .map(|plan| Settings::new(&plan.vm(), plan.data_centre, platform));
    let settings: io::Result<Vec<_>> = settings.collect();
    let mut settings = settings.map_err(Error::io("find a free port"))?;
    set_contacts(&mut settings);
    let daemons = settings.into_iter().map(|settings| {
        let vm = settings.vm.clone();
        let start = Daemon::start(binary, directory, settings);
        start.map_err(Error::io(format!("start the daemon of {vm}")))
    });
    daemons.collect()
}

/// Stores the rules on the platform, from which the daemons read them.
///
/// # Errors
///
/// [`Error::Rules`] if they cannot be stored.
pub async fn store_rules(platform: &Platform, rules: &[String]) -> Result<(), Error> {
    if rules.is_empty() {
        return Ok(());
    }
    let edit = Edit {
        edit: "standin-scenario".to_owned(),
        base: 0,
        text: rules.join("\n") + "\n",
        author: "standin".to_owned(),
        reason: "scenario".to_owned(),
        dry_run: false,
    };
    let client = Client::new(platform.address().to_string());
    let applied = apply(&client, &edit, SystemTime::UNIX_EPOCH).await;
    applied.map(drop).map_err(|problem| Error::Rules {
        message: problem.to_string(),
    })
}
