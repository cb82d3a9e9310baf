//! One run of the soak: starts the processes, injects the faults and checks the guarantees.

use std::cell::Cell;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use adapter::standin;
use futures::future::join_all;
use rustix::process::Signal;
use tokio::task::LocalSet;

use crate::client;
use crate::net::TaskGroup;
use crate::oracle::{DisturbanceKind, Guarantee, Violation};
use crate::organisation::{self, organisations};
use crate::plan::{self, Action, FaultClass, Link};
use crate::stall::StallDetector;
use crate::store::{self, Store};
use crate::vm::{DRAIN_LIMIT, RETRY_BUDGET, RunContext, SHUTDOWN_GRACE, Vm};

/// Batches of requests per second that the clients of one VM send.
const BATCHES_PER_SECOND: f64 = 20.0;

/// Time within which all daemons must be ready at the start of a run.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time of load before the first measurement.
const WARM_UP_TIME: Duration = Duration::from_secs(1);

/// The same with organisations: on seed 6 most requests were over the new quotas for 9.5 s. A low
/// goodput before the faults would make the check of the recovery too easy.
const QUOTA_WARM_UP_TIME: Duration = Duration::from_secs(12);

/// Time within which the last requests get their responses: the longest client timeout.
const LAST_RESPONSES_TIME: Duration = Duration::from_secs(3);

/// Length of the periods before and after the faults whose goodput is compared.
const MEASUREMENT_TIME: Duration = Duration::from_secs(4);

/// Interval between checks of the processes and of the configurations in force.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Longest duration of an action: a stop takes the grace time of the daemon and a restart.
const MAX_ACTION_TIME: Duration = Duration::from_secs(8);

/// Step between the networks of two runs in one process; coprime to the number of networks.
const NETWORK_STEP: u32 = 61;

/// Longest delay before a daemon or an endpoint is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(700);

/// Options of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Program file of the daemon.
    pub program: PathBuf,
    /// Existing directory for settings and logs.
    pub directory: PathBuf,
    /// Seed of the plan.
    pub seed: u64,
    /// Number of VMs, at most 200.
    pub vms: usize,
    /// Time during which faults are injected.
    pub fault_time: Duration,
    /// Time after the faults within which service must recover.
    pub settle_time: Duration,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Violated guarantees.
    pub violations: Vec<Violation>,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of actions of the plan, planned work included.
    pub faults: usize,
    /// Number of stalls of the machine.
    pub stalls: usize,
    /// Fractions of the requests served before, during and after the faults.
    pub served: [f64; 3],
}

struct Run {
    vms: Vec<Rc<Vm>>,
    context: RunContext,
    version: Cell<u64>,
    probes: Cell<u64>,
    /// Endpoints replaced so far.
    replaced: Cell<u64>,
}

/// Executes one run on a single-threaded runtime.
///
/// # Errors
///
/// Fails when a stand-in or a daemon cannot be started, or a daemon does not become ready in time.
pub fn run_seed(options: &RunOptions) -> io::Result<Outcome> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = TaskGroup::default();
    let group = tasks.clone();
    let result = LocalSet::new().block_on(&runtime, async move { run(options, group).await });
    tasks.abort();
    result
}

async fn run(options: &RunOptions, tasks: TaskGroup) -> io::Result<Outcome> {
    let detector = StallDetector::start();
    let run = Run::start(options, &tasks).await?;
    run.set_rate(1.0);
    tokio::time::sleep(if organisation::is_enabled(options.seed) {
        QUOTA_WARM_UP_TIME
    } else {
        WARM_UP_TIME
    })
    .await;
    let start = Instant::now();
    tokio::time::sleep(MEASUREMENT_TIME).await;

    let faults_start = Instant::now();
    let fault_count = run.inject_plan(faults_start, options.fault_time).await;
    let faults_end = Instant::now();
    tokio::time::sleep(MAX_ACTION_TIME + options.settle_time).await;

    let after = Instant::now();
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let end = Instant::now();
    run.set_rate(0.0);
    tokio::time::sleep(LAST_RESPONSES_TIME).await;
    run.check_end().await;

    let stalls = detector.stalls();
    let stall_count = stalls.len();
    let mut oracle = run.context.oracle.borrow_mut();
    oracle.record_stalls(stalls);
    let mut violations = oracle.check(RETRY_BUDGET, DRAIN_LIMIT);
    violations.extend(oracle.check_recovery((start, faults_start), (after, end)));
    Ok(Outcome {
        violations,
        requests: oracle.len(),
        faults: fault_count,
        stalls: stall_count,
        served: [
            oracle.served_fraction(start, faults_start),
            oracle.served_fraction(faults_start, faults_end),
            oracle.served_fraction(after, end),
        ],
    })
}

/// Returns the second and third octet of a loopback network for this run.
///
/// No other run uses it at the same time, in this process or another; 127.0 and 127.1 stay free.
#[must_use]
pub fn network() -> (u8, u8) {
    static RUNS: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id();
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let second = 2 + ((process >> 8) + run * NETWORK_STEP) % 250;
    (second as u8, process as u8)
}

impl Run {
    /// Starts the stand-ins and the daemons, and waits until all daemons are ready.
    async fn start(options: &RunOptions, tasks: &TaskGroup) -> io::Result<Rc<Self>> {
        let store = Rc::new(Store::default());
        tasks.spawn(Rc::clone(&store).run_expiry());
        let context = RunContext {
            program: options.program.clone(),
            directory: options.directory.clone(),
            store,
            oracle: Rc::default(),
            tasks: tasks.clone(),
            network: network(),
            vms: options.vms,
            seed: options.seed,
        };
        let mut vms = Vec::new();
        for index in 0..options.vms {
            let vm = Vm::new(&context, index, options.seed ^ index as u64)?;
            vms.push(vm);
        }
        let run = Rc::new(Self {
            vms,
            context,
            version: Cell::new(1),
            probes: Cell::new(0),
            replaced: Cell::new(0),
        });
        run.write_configuration(1);
        for vm in &run.vms {
            vm.write_settings(0)?;
            vm.start()?;
            vm.start_endpoint()?;
        }
        run.await_ready().await?;
        let owner = Rc::clone(&run);
        tasks.spawn(async move { owner.supervise().await });
        for vm in &run.vms {
            tasks.spawn(Rc::clone(&run).monitor_configuration(Rc::clone(vm)));
        }
        Ok(run)
    }

    /// Executes the plan of the seed from an instant on; returns the number of its actions.
    async fn inject_plan(self: &Rc<Self>, start: Instant, time: Duration) -> usize {
        let plan = plan::generate(self.context.seed, self.vms.len(), time);
        let count = plan.len();
        for (at, action) in plan {
            tokio::time::sleep_until((start + at).into()).await;
            println!("{:>6} ms {action:?}", at.as_millis());
            tokio::task::spawn_local(Rc::clone(self).perform(action));
        }
        tokio::time::sleep_until((start + time).into()).await;
        count
    }

    /// Writes a version of the configuration to the store.
    fn write_configuration(&self, version: u64) {
        let keys_version = organisation::is_enabled(self.context.seed).then_some(version);
        let organisations = keys_version.map(|version| organisations(version, self.vms.len()));
        let organisations = organisations.unwrap_or_default();
        self.context.oracle.borrow_mut().record_keys(&organisations);
        let routes = client::routes(version);
        let bytes = standin::encode_configuration_with(version, &routes, &organisations);
        self.context.store.write_configuration(bytes);
        self.version.set(version);
        for vm in &self.vms {
            vm.clients.keys_version.set(keys_version);
        }
    }

    async fn await_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        for vm in &self.vms {
            while !vm.is_ready().await {
                if Instant::now() > deadline {
                    let error = format!("VM {}: daemon is not ready; see its log", vm.index);
                    return Err(io::Error::new(io::ErrorKind::TimedOut, error));
                }
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        }
        Ok(())
    }

    fn set_rate(&self, factor: f64) {
        for vm in &self.vms {
            vm.clients.rate.set(BATCHES_PER_SECOND * factor);
        }
    }

    /// Supervises the daemons until the run ends.
    async fn supervise(&self) {
        loop {
            for vm in &self.vms {
                if let Err(error) = vm.supervise() {
                    let detail = format!("VM {}: {error}", vm.index);
                    self.record_violation(Guarantee::Ended, detail);
                }
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    fn record_violation(&self, guarantee: Guarantee, detail: String) {
        self.context
            .oracle
            .borrow_mut()
            .record_violation(guarantee, detail);
    }

    fn record_timing_violation(&self, guarantee: Guarantee, detail: String, since: Instant) {
        self.context
            .oracle
            .borrow_mut()
            .record_timing_violation(guarantee, detail, since);
    }

    async fn probe(&self, vm: &Vm, version: u64) -> Option<u16> {
        let number = self.probes.get();
        self.probes.set(number + 1);
        let id = format!("{}-{}-probe-{number}", vm.service(), vm.index);
        client::probe_version(&vm.entry(), version, id, &self.context.oracle).await
    }

    /// Checks that a process never reverts to an older configuration.
    async fn monitor_configuration(self: Rc<Self>, vm: Rc<Vm>) {
        let mut confirmed = (vm.starts(), 0);
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let newest = self.version.get();
            let starts = vm.starts();
            let status = self.probe(&vm, newest).await;
            if vm.starts() != starts {
                continue;
            }
            if starts != confirmed.0 {
                confirmed = (starts, 0);
            }
            match status {
                Some(200..300) => confirmed.1 = newest,
                Some(404) if confirmed.1 > 0 => {
                    let recheck = self.probe(&vm, confirmed.1).await;
                    if recheck == Some(404) && vm.starts() == starts {
                        let detail = format!(
                            "VM {}: daemon reverted from configuration version {}",
                            vm.index, confirmed.1
                        );
                        self.record_violation(Guarantee::Configured, detail);
                    }
                }
                _ => {}
            }
        }
    }

    /// Checks what must hold after the recovery, and stops the daemons.
    async fn check_end(&self) {
        let newest = self.version.get();
        for vm in &self.vms {
            let since = Instant::now();
            if !vm.is_ready().await {
                let detail = format!("VM {}: daemon is not ready at the end", vm.index);
                self.record_timing_violation(Guarantee::Returned, detail, since);
            }
            let status = self.probe(vm, newest).await;
            if status == Some(404) || status.is_none() {
                let detail = format!(
                    "VM {}: daemon returned {status:?} for configuration version {newest}",
                    vm.index
                );
                self.record_timing_violation(Guarantee::Configured, detail, since);
            }
        }
        let stops = self.vms.iter().map(|vm| async move {
            // The endpoint ends before the daemon, as on the platform.
            let endpoint = vm.endpoint.borrow_mut().take();
            if let Some(endpoint) = endpoint {
                endpoint.crash().await;
            }
            vm.stop(false).await;
        });
        join_all(stops).await;
    }

    /// Performs an action; an error counts as a violation.
    async fn perform(self: Rc<Self>, action: Action) {
        if let Err(error) = self.inject(action).await {
            self.record_violation(Guarantee::Ended, format!("{action:?} failed: {error}"));
        }
    }

    async fn inject(&self, action: Action) -> io::Result<()> {
        let record_fault =
            |vm: usize, time| self.vms[vm].record_disturbance(DisturbanceKind::Fault, time);
        match action {
            Action::Stop(vm) => {
                let vm = &self.vms[vm];
                vm.record_disturbance(DisturbanceKind::Planned, SHUTDOWN_GRACE + RESTART_DELAY);
                // A daemon that is paused or cut off meanwhile may take longer.
                let disturbed = FaultClass::for_seed(self.context.seed) != FaultClass::Planned;
                // Another action has stopped the daemon and will restart it.
                if !vm.stop(disturbed).await {
                    return Ok(());
                }
                tokio::time::sleep(RESTART_DELAY / 2).await;
                vm.start()
            }
            Action::Kill(vm) => {
                record_fault(vm, RESTART_DELAY);
                if !self.vms[vm].kill().await {
                    return Ok(());
                }
                tokio::time::sleep(RESTART_DELAY).await;
                self.vms[vm].start()
            }
            Action::KillAll => {
                let mut killed = Vec::new();
                for vm in &self.vms {
                    vm.record_disturbance(DisturbanceKind::Fault, RESTART_DELAY);
                    if vm.kill().await {
                        killed.push(vm);
                    }
                }
                tokio::time::sleep(RESTART_DELAY).await;
                killed.into_iter().try_for_each(|vm| vm.start())
            }
            Action::Pause(vm, time) => {
                record_fault(vm, time);
                if self.vms[vm].signal(Signal::STOP) {
                    tokio::time::sleep(time).await;
                    self.vms[vm].signal(Signal::CONT);
                }
                Ok(())
            }
            Action::Hangup(vm, changed) => {
                let vm = &self.vms[vm];
                vm.record_disturbance(DisturbanceKind::Planned, Duration::ZERO);
                if changed {
                    vm.write_settings(self.probes.get())?;
                }
                vm.signal(Signal::HUP);
                Ok(())
            }
            Action::Configure => {
                let version = self.version.get() + 1;
                self.write_configuration(version);
                Ok(())
            }
            Action::Burst(factor, time) => {
                self.set_rate(factor);
                tokio::time::sleep(time).await;
                self.set_rate(1.0);
                Ok(())
            }
            Action::Store(..)
            | Action::Restore(..)
            | Action::PauseLeases(_)
            | Action::Revoke
            | Action::Compact => {
                self.inject_store_fault(action).await;
                Ok(())
            }
            Action::Link(vm, link, fault, time) => {
                record_fault(vm, time);
                let vm = &self.vms[vm];
                let proxy = match link {
                    Link::Store => &vm.store_link,
                    Link::Peers => &vm.peer_link,
                    Link::Endpoint => &vm.endpoint_link,
                };
                proxy.set_fault(Some(fault));
                tokio::time::sleep(time).await;
                proxy.set_fault(None);
                Ok(())
            }
            Action::Crash(_)
            | Action::Replace(_)
            | Action::Depart(_)
            | Action::Limit(..)
            | Action::Endpoint(..) => self.inject_endpoint_fault(action).await,
        }
    }

    async fn inject_store_fault(&self, action: Action) {
        let store = &self.context.store;
        match action {
            Action::Store(vm, fault, time) => {
                let vms = || {
                    self.vms
                        .iter()
                        .filter(|known| vm.is_none_or(|vm| vm == known.index))
                };
                for vm in vms() {
                    vm.record_disturbance(DisturbanceKind::Fault, time);
                    store.set_fault(vm.index, Some(fault));
                }
                tokio::time::sleep(time).await;
                for vm in vms() {
                    store.set_fault(vm.index, None);
                }
            }
            Action::Restore(age, time) => {
                for vm in &self.vms {
                    vm.record_disturbance(DisturbanceKind::Fault, time);
                    store.set_fault(vm.index, Some(store::Fault::Down));
                }
                tokio::time::sleep(time).await;
                store.restore_older(age);
                for vm in &self.vms {
                    store.set_fault(vm.index, None);
                }
            }
            Action::PauseLeases(time) => {
                store.pause_leases(true);
                tokio::time::sleep(time).await;
                store.pause_leases(false);
            }
            Action::Revoke => {
                for vm in &self.vms {
                    vm.record_disturbance(DisturbanceKind::Fault, Duration::ZERO);
                }
                store.revoke_leases();
            }
            _ => store.compact(),
        }
    }

    /// Whether the next endpoint that is replaced announces its departure at once: every second one.
    fn departs_first(&self) -> bool {
        let replaced = self.replaced.get() + 1;
        self.replaced.set(replaced);
        replaced.is_multiple_of(2)
    }

    async fn inject_endpoint_fault(&self, action: Action) -> io::Result<()> {
        match action {
            Action::Crash(vm) => {
                let vm = &self.vms[vm];
                vm.record_disturbance(DisturbanceKind::Endpoint, RESTART_DELAY);
                let endpoint = vm.endpoint.borrow_mut().take();
                // Another action is replacing the endpoint.
                let Some(endpoint) = endpoint else {
                    return Ok(());
                };
                endpoint.crash().await;
                tokio::time::sleep(RESTART_DELAY).await;
                vm.start_endpoint()
            }
            Action::Replace(vm) | Action::Depart(vm) => {
                let vm = &self.vms[vm];
                vm.record_disturbance(DisturbanceKind::Planned, DRAIN_LIMIT * 4 + RESTART_DELAY);
                let endpoint = vm.endpoint.borrow_mut().take();
                let Some(endpoint) = endpoint else {
                    return Ok(());
                };
                match action {
                    Action::Replace(_) if self.departs_first() => {
                        endpoint.depart_first(DRAIN_LIMIT).await;
                    }
                    Action::Replace(_) => endpoint.leave(DRAIN_LIMIT).await,
                    _ => endpoint.depart(DRAIN_LIMIT).await,
                }
                vm.start_endpoint()
            }
            Action::Limit(vm, limit, time) => {
                let endpoint = self.vms[vm].endpoint.borrow().clone();
                if let Some(endpoint) = endpoint {
                    endpoint.limit_rate(f64::from(limit), time).await;
                }
                Ok(())
            }
            Action::Endpoint(vm, fault, time) => {
                let vm = &self.vms[vm];
                vm.record_disturbance(DisturbanceKind::Endpoint, time);
                let endpoint = vm.endpoint.borrow().clone();
                if let Some(endpoint) = endpoint {
                    endpoint.fault.set(Some(fault));
                    tokio::time::sleep(time).await;
                    endpoint.fault.set(None);
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }
}
