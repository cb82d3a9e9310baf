//! Counters of the daemon.
//!
//! They count since the start of the process. The operators' interface shows them, and `cadence`
//! sends the increments at a fixed interval to the collector in the settings.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cadence::{BufferedUdpMetricSink, Counted, Gauged, MetricError, StatsdClient};
use policy::refusal::Reason;

/// Time between two sends of metrics.
pub const METRICS_INTERVAL: Duration = Duration::from_secs(10);

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident => $text:literal,)*) => {
        /// A counted event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Counter {
            $($(#[$doc])* $name,)*
        }

        impl Counter {
            const ALL: [Self; [$($text),*].len()] = [$(Self::$name),*];

            /// Name in metrics.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

counters! {
    /// Calls that callers sent to this daemon.
    EntryCalls => "entry.calls",
    /// Calls that callers sent to this daemon and that an endpoint answered or is known to have
    /// run.
    EntryServed => "entry.served",
    /// Calls refused as not run, by this daemon or the one in front of the endpoint.
    EntryNotRun => "entry.not_run",
    /// Calls whose outcome is unknown.
    EntryUnknown => "entry.unknown",
    /// Requests of callers that are malformed.
    EntryBadRequest => "entry.bad_request",
    /// Calls refused at the entry because the target, or a dependency of it, does not admit them.
    LevelRefused => "entry.level_refused",
    /// Calls that ended because the request was malformed or too large.
    RefusedBadRequest => "refused.bad_request",
    /// Calls that ended because the service admits only more urgent work.
    RefusedLevel => "refused.level",
    /// Calls that ended because the queue was full of more urgent work.
    RefusedQueueFull => "refused.queue_full",
    /// Calls that ended at their deadline.
    RefusedDeadline => "refused.deadline",
    /// Calls that ended because no endpoint was known or reachable.
    RefusedNoEndpoint => "refused.no_endpoint",
    /// Calls that ended because the endpoint was leaving.
    RefusedDraining => "refused.draining",
    /// Calls that ended because their attempts were spent.
    RefusedAttempts => "refused.attempts",
    /// Calls that ended because of their ticket.
    RefusedTicket => "refused.ticket",
    /// Calls that ended because the home of their key was unavailable.
    RefusedHome => "refused.home",
    /// Calls that ended because a connection failed.
    RefusedConnection => "refused.connection",
    /// Attempts beyond the first.
    Retries => "entry.retries",
    /// Claims retried because the home was unavailable.
    HomeRetries => "home.retries",
    /// Claims that found the home of their key unavailable at all attempts. A claim that ends early
    /// because of its deadline is not counted.
    HomeUnavailable => "home.unavailable",
    /// Calls received from other daemons.
    PeerCalls => "peer.calls",
    /// Requests from other daemons without an accepted key.
    PeerUnauthorized => "peer.unauthorized",
    /// Calls to other daemons that failed without a response.
    PeerFailures => "peer.failures",
    /// Calls forwarded to the endpoint.
    EndpointRuns => "endpoint.runs",
    /// Responses of the endpoint that were cut short or belonged to another call.
    EndpointBroken => "endpoint.broken_answers",
    /// Calls refused by admission.
    AdmissionRefused => "admission.refused",
    /// Calls whose caller gave up while they were queued.
    AdmissionCancelled => "admission.cancelled",
    /// Resends that got the outcome of the first send with their ticket.
    TicketResends => "ticket.resends",
    /// Tickets made void.
    TicketVoids => "ticket.voids",
    /// Datagrams dropped because they failed verification or were malformed.
    GossipDropped => "gossip.dropped",
    /// Bytes of gossip sent, without IP and UDP headers.
    GossipBytesSent => "gossip.bytes_sent",
    /// Bytes of gossip received, without IP and UDP headers.
    GossipBytesReceived => "gossip.bytes_received",
    /// Reads and watches of the rules and the home map in the platform.
    PlatformCalls => "platform.calls",
    /// Reads and watches of the rules and the home map that failed.
    PlatformFailures => "platform.failures",
    /// Revisions of the rules that were put into force.
    RulesAdopted => "rules.adopted",
}

impl From<Reason> for Counter {
    fn from(reason: Reason) -> Self {
        match reason {
            Reason::BadRequest => Self::RefusedBadRequest,
            Reason::Level => Self::RefusedLevel,
            Reason::QueueFull => Self::RefusedQueueFull,
            Reason::Deadline => Self::RefusedDeadline,
            Reason::NoEndpoint => Self::RefusedNoEndpoint,
            Reason::Draining => Self::RefusedDraining,
            Reason::Attempts => Self::RefusedAttempts,
            Reason::Ticket => Self::RefusedTicket,
            Reason::Home => Self::RefusedHome,
            Reason::Connection => Self::RefusedConnection,
        }
    }
}

/// Values of all counters.
#[derive(Debug)]
pub struct Counters {
    values: [AtomicU64; Counter::ALL.len()],
}

impl Default for Counters {
    fn default() -> Self {
        Self::new()
    }
}

impl Counters {
    /// Counters that are all zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            values: std::array::from_fn(|_| AtomicU64::new(0)),
        }
    }

    /// Adds one to a counter.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds a number to a counter.
    pub fn add(&self, counter: Counter, number: u64) {
        self.values[counter as usize].fetch_add(number, Ordering::Relaxed);
    }

    /// Returns the value of a counter.
    #[must_use]
    pub fn get(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }

    /// Returns all values by name.
    #[must_use]
    pub fn all(&self) -> BTreeMap<String, u64> {
        Counter::ALL
            .iter()
            .map(|counter| (counter.name().into(), self.get(*counter)))
            .collect()
    }
}

/// Sends counters to a `StatsD` collector.
#[derive(Debug)]
pub struct MetricsSender {
    client: StatsdClient,
    sent: [u64; Counter::ALL.len()],
}

impl MetricsSender {
    /// Opens a socket to a collector. `prefix` starts each metric name.
    ///
    /// # Errors
    ///
    /// Fails if no UDP socket can be opened.
    pub fn new(address: SocketAddr, prefix: &str) -> Result<Self, MetricError> {
        let socket = UdpSocket::bind((std::net::Ipv4Addr::UNSPECIFIED, 0))?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket)?;
        let client = StatsdClient::from_sink(prefix, sink);
        Ok(Self {
            client,
            sent: [0; Counter::ALL.len()],
        })
    }

    /// Sends the increments since the last call. A lost datagram is not resent.
    pub fn send(&mut self, counters: &Counters, running: u64, waiting: u64) {
        for (counter, sent) in Counter::ALL.into_iter().zip(&mut self.sent) {
            let value = counters.get(counter);
            let added = value.saturating_sub(*sent);
            if added > 0 {
                let _ = self.client.count(counter.name(), added);
                *sent = value;
            }
        }
        let _ = self.client.gauge("admission.running", running);
        let _ = self.client.gauge("admission.waiting", waiting);
        let _ = self.client.flush();
    }
}
