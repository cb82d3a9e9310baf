//! Metrics of the daemon in the Prometheus text format.

use std::time::Duration;

use prometheus::{
    Encoder, Gauge, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency buckets, in seconds: the latency objectives of the deployments lie
/// between 0.15 s and 4 s.
const LATENCY_BUCKETS_S: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 4.0];

/// Value of the rate limit metric while the endpoint states no limit.
pub const NO_RATE_LIMIT: f64 = -1.0;

/// Metrics of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Responses to callers, by rank and outcome.
    pub calls: IntCounterVec,
    /// Time from the arrival of a call to its response, by rank.
    pub latency: HistogramVec,
    /// Retries of calls.
    pub retries: IntCounter,
    /// Calls that the gate refused, by reason.
    pub refused: IntCounterVec,
    /// Organisations that are held back, by place: the queue of the gate or the entry.
    pub held_back: IntGaugeVec,
    /// Calls refused while their organisations were held back, by place, counted when that ends.
    pub held_refusals: IntCounterVec,
    /// Calls sent to the endpoint.
    pub sent: IntCounter,
    /// Calls per second that the endpoint takes, as it states; -1 without a limit.
    pub rate_limit: Gauge,
    /// Picks of an endpoint, by rule.
    pub picks: IntCounterVec,
    /// Slot time that the calls at the gate still need, in seconds.
    pub backlog: Gauge,
    /// Pace of the endpoint's machine in percent of its usual one; 0 if it states none.
    pub pace: IntGauge,
    /// Metrics of the quotas of organisations.
    pub quota: QuotaMetrics,
    /// Metrics of memory and connections.
    pub memory: MemoryMetrics,
    /// Calls to the store since the start.
    pub store_calls: IntGauge,
    /// Version of the configuration in force.
    pub version: IntGauge,
    /// Number of times that the store has returned from an older copy.
    pub store_era: IntGauge,
    /// Known VMs.
    pub vms: IntGauge,
    /// Log lines dropped because standard output was not read in time.
    pub lost_lines: IntGauge,
}

/// Metrics of the quotas of organisations.
#[derive(Debug)]
pub struct QuotaMetrics {
    /// Asks for tokens of organisations' quotas that were sent to other daemons.
    pub asks: IntCounter,
    /// Tokens that this daemon granted as the owner of buckets.
    pub grants: IntCounter,
    /// Requests that were refused because their organisation is over its quota.
    pub refusals: IntCounter,
    /// Requests that waited in vain for the reply to an ask.
    pub timeouts: IntCounter,
    /// Tokens that this daemon holds.
    pub held: IntGauge,
    /// Buckets that this daemon owns.
    pub owned: IntGauge,
}

/// Metrics of memory and connections.
#[derive(Debug)]
pub struct MemoryMetrics {
    /// Bytes held for others, by kind.
    pub held: IntGaugeVec,
    /// Connections of clients closed for slow reading or sending.
    pub slow_closed: IntCounter,
    /// Connections of clients beyond their limit.
    pub crowded: IntCounter,
    /// Requests refused because their bodies could not be held.
    pub bodies_refused: IntCounter,
}

impl MemoryMetrics {
    fn new(registry: &Registry) -> Self {
        let counter = |name: &str, help: &str| new_counter(registry, name, help);
        let held = Opts::new("sapphiredoor_held_bytes", "Bytes held for others");
        let held = IntGaugeVec::new(held, &["kind"]).expect("names of metrics are valid");
        register(registry, held.clone());
        Self {
            held,
            slow_closed: counter(
                "sapphiredoor_slow_clients_closed_total",
                "Connections of clients closed for slow reading or sending",
            ),
            crowded: counter(
                "sapphiredoor_connections_full_total",
                "Connections of clients beyond their limit",
            ),
            bodies_refused: counter(
                "sapphiredoor_bodies_refused_total",
                "Requests refused because their bodies could not be held",
            ),
        }
    }
}

impl QuotaMetrics {
    fn new(registry: &Registry) -> Self {
        let counter = |name: &str, help: &str| new_counter(registry, name, help);
        let gauge = |name: &str, help: &str| new_gauge(registry, name, help);
        Self {
            asks: counter(
                "sapphiredoor_quota_asks_total",
                "Asks for tokens of organisations' quotas that were sent to other daemons",
            ),
            grants: counter(
                "sapphiredoor_quota_grants_total",
                "Tokens that this daemon granted as the owner of buckets",
            ),
            refusals: counter(
                "sapphiredoor_quota_refusals_total",
                "Requests refused because their organisation is over its quota",
            ),
            timeouts: counter(
                "sapphiredoor_quota_timeouts_total",
                "Requests that waited in vain for the reply to an ask",
            ),
            held: gauge("sapphiredoor_quota_held", "Tokens that this daemon holds"),
            owned: gauge("sapphiredoor_quota_owned", "Buckets that this daemon owns"),
        }
    }
}

impl Metrics {
    /// Creates all metrics, at zero.
    ///
    /// # Panics
    ///
    /// Panics when two metrics have the same name.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)
                .expect("names of metrics are valid");
            register(&registry, counter.clone());
            counter
        };
        let gauge = |name: &str, help: &str| new_gauge(&registry, name, help);
        let options = HistogramOpts::new(
            "sapphiredoor_call_seconds",
            "Time from the arrival of a call to its response",
        )
        .buckets(LATENCY_BUCKETS_S.to_vec());
        let latency = HistogramVec::new(options, &["rank"]).expect("names of metrics are valid");
        register(&registry, latency.clone());
        let counter = |name: &str, help: &str| new_counter(&registry, name, help);
        let rate_limit = Gauge::new(
            "sapphiredoor_endpoint_rate_limit",
            "Calls per second that the endpoint takes, as it states; -1 without a limit",
        )
        .expect("names of metrics are valid");
        rate_limit.set(NO_RATE_LIMIT);
        let held_back = IntGaugeVec::new(
            Opts::new(
                "sapphiredoor_held_back_organisations",
                "Organisations whose calls are refused for lack of capacity",
            ),
            &["place"],
        )
        .expect("names of metrics are valid");
        register(&registry, held_back.clone());
        register(&registry, rate_limit.clone());
        let backlog = Gauge::new(
            "sapphiredoor_gate_backlog_seconds",
            "Slot time that the calls at the gate still need",
        )
        .expect("names of metrics are valid");
        register(&registry, backlog.clone());
        Self {
            calls: counters(
                "sapphiredoor_calls_total",
                "Responses to callers",
                &["rank", "outcome"],
            ),
            refused: counters(
                "sapphiredoor_gate_refusals_total",
                "Calls that the gate refused",
                &["reason"],
            ),
            picks: counters(
                "sapphiredoor_picks_total",
                "Picks of an endpoint",
                &["rule"],
            ),
            pace: gauge(
                "sapphiredoor_endpoint_pace",
                "Time that work takes in percent of the usual one; 0 if not stated",
            ),
            held_refusals: counters(
                "sapphiredoor_held_back_refusals_total",
                "Calls refused while their organisations were held back, counted when that ends",
                &["place"],
            ),
            held_back,
            quota: QuotaMetrics::new(&registry),
            store_calls: gauge(
                "sapphiredoor_store_calls",
                "Calls to the store since the start",
            ),
            version: gauge(
                "sapphiredoor_configuration_version",
                "Version of the configuration in force",
            ),
            store_era: gauge(
                "sapphiredoor_store_era",
                "Number of times that the store has returned from an older copy",
            ),
            vms: gauge("sapphiredoor_vms", "Known VMs"),
            lost_lines: gauge(
                "sapphiredoor_lost_log_lines",
                "Log lines dropped because standard output was not read in time",
            ),
            retries: counter("sapphiredoor_repeats_total", "Retries of calls"),
            sent: counter(
                "sapphiredoor_gate_sends_total",
                "Calls sent to the endpoint",
            ),
            memory: MemoryMetrics::new(&registry),
            latency,
            rate_limit,
            backlog,
            registry,
        }
    }

    /// Records the response to a caller.
    pub fn record_response(&self, rank: &str, outcome: &str, time: Duration) {
        self.calls.with_label_values(&[rank, outcome]).inc();
        self.latency
            .with_label_values(&[rank])
            .observe(time.as_secs_f64());
    }

    /// Returns all metrics in the text format.
    ///
    /// # Panics
    ///
    /// Never: writing to a vector does not fail.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .expect("writing to a vector does not fail");
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn new_counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("names of metrics are valid");
    register(registry, counter.clone());
    counter
}

fn new_gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("names of metrics are valid");
    register(registry, gauge.clone());
    gauge
}

fn register(registry: &Registry, metric: impl prometheus::core::Collector + 'static) {
    registry
        .register(Box::new(metric))
        .expect("names of metrics are distinct");
}
