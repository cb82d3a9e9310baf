//! Tickets, which let a call run at most once.
//!
//! A [`Ticket`] names the one daemon process that may start a call. That process records the call
//! in a [`TicketTable`] until the ticket has expired, so that a resend finds the earlier run
//! instead of starting a second one. Once the table has reported "not run" for a ticket, it never
//! starts the call under that ticket.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use rand::Rng;

use crate::id::{Incarnation, TicketId, VmId};
use crate::refusal::{Execution, Reason, Refusal};
use crate::safeguard::{Safeguard, Safeguards};

#[cfg(test)]
mod fuzz;
#[cfg(test)]
mod tests;

/// Time from issue to expiry. Shorter than [`MAX_EXPIRY_AHEAD`] by the clock offset that is allowed
/// between VMs.
pub const TICKET_LIFETIME: Duration = Duration::from_mins(14);
/// Tickets that expire later than this from now are refused.
pub const MAX_EXPIRY_AHEAD: Duration = Duration::from_mins(15);
/// Size of the largest response that is stored, headers included.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024;
/// Length of the longest VM name in a ticket.
pub const MAX_VM_NAME_BYTES: usize = 128;

/// Time past the expiry for which the record of a call in flight is kept, so that its outcome can
/// still be recorded.
const IN_FLIGHT_GRACE_S: u64 = 15 * 60;
const FORMAT_VERSION: &str = "1";

/// Permission to start one call, once, at one process.
///
/// The text form for a header is `1.<incarnation>.<id>.<expiry>.<vm>` with hexadecimal numbers and
/// the expiry in milliseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// VM whose daemon may start the call.
    pub vm: VmId,
    /// Daemon process on that VM.
    pub incarnation: Incarnation,
    /// Random id.
    pub id: TicketId,
    /// Expiry in milliseconds since the Unix epoch, checked against the clock of the named VM.
    pub expires_ms: u64,
}

impl Ticket {
    /// Issues a ticket that expires [`TICKET_LIFETIME`] after `wall`.
    #[must_use]
    pub fn new(vm: VmId, incarnation: Incarnation, wall: SystemTime, rng: &mut impl Rng) -> Self {
        Self {
            vm,
            incarnation,
            id: rng.random(),
            expires_ms: unix_ms(wall + TICKET_LIFETIME),
        }
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{FORMAT_VERSION}.{:x}.{:x}.{:x}.{}",
            self.incarnation, self.id, self.expires_ms, self.vm
        )
    }
}

/// The text is not a valid ticket. Callers must send the value of `sapphiredoor-ticket` unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TicketError;

impl fmt::Display for TicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("malformed ticket: send the value exactly as it was received")
    }
}

impl std::error::Error for TicketError {}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(5, '.');
        let mut part = || parts.next().ok_or(TicketError);
        if part()? != FORMAT_VERSION {
            return Err(TicketError);
        }
        let incarnation = hex(part()?)? as u64;
        let id = hex(part()?)?;
        let expires_ms = hex(part()?)? as u64;
        let vm = part()?;
        let ticket = Self {
            vm: vm.into(),
            incarnation,
            id,
            expires_ms,
        };
        // Only the text that `Display` writes is accepted, so that a ticket has one text form.
        let valid = !vm.is_empty()
            && vm.len() <= MAX_VM_NAME_BYTES
            && vm.bytes().all(|byte| byte.is_ascii_graphic())
            && ticket.to_string() == text;
        if valid { Ok(ticket) } else { Err(TicketError) }
    }
}

fn hex(text: &str) -> Result<u128, TicketError> {
    u128::from_str_radix(text, 16).map_err(|_| TicketError)
}

/// Returns milliseconds since the Unix epoch, or zero for an earlier time.
pub(crate) fn unix_ms(wall: SystemTime) -> u64 {
    let elapsed = wall.duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// A complete response of an endpoint, stored for resends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Names and values of the headers that are delivered.
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// Body.
    pub body: Box<[u8]>,
}

impl StoredResponse {
    /// Returns the size of headers and body in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        headers
            .map(|(name, value)| name.len() + value.len())
            .sum::<usize>()
            + self.body.len()
    }
}

/// How to handle a call that carries a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketDecision {
    /// Queue the call, and call [`TicketTable::start`] directly before its bytes are sent. Every
    /// such call must end with `finish`, `fail` or `void`.
    Queue,
    /// The call is queued or running: wait for its outcome.
    Join,
    /// The call has completed: deliver this response.
    Stored(Arc<StoredResponse>),
    /// The call did not run and never will under this ticket. A new ticket is safe.
    Void,
    /// Refuse the call. The refusal states whether the call may have run.
    Refused(Refusal),
}

#[derive(Clone, Debug)]
enum State {
    Queued,
    Running,
    /// None if there was no response, it was too large, or the space for responses was used up.
    Done(Option<Arc<StoredResponse>>),
    Void,
    /// The call was sent to the endpoint, and no complete response came back.
    Failed,
}

#[derive(Debug)]
struct Record {
    expires_ms: u64,
    state: State,
    /// Resends that may still join the call in flight.
    resends_left: u8,
}

impl Record {
    const fn in_flight(&self) -> bool {
        matches!(self.state, State::Queued | State::Running)
    }
}

/// Bounds of one [`TicketTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TicketLimits {
    /// Maximum number of records.
    pub records: usize,
    /// Maximum total size of the stored responses.
    pub response_bytes: usize,
}

impl Default for TicketLimits {
    fn default() -> Self {
        Self {
            records: 100_000,
            response_bytes: 24 * 1024 * 1024,
        }
    }
}

/// Counters since the start, and current sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TicketStats {
    /// Current number of records.
    pub records: usize,
    /// Current total size of the stored responses.
    pub response_bytes: usize,
    /// Calls started.
    pub started: u64,
    /// Resends that joined a call in flight or got a recorded outcome.
    pub resends: u64,
    /// Ended runs without a stored response: there was none, or it did not fit.
    pub unstored_responses: u64,
    /// Tickets refused because the table was full.
    pub refused_full: u64,
}

/// Records of the tickets that name this process. Callers shard by ticket id.
#[derive(Debug)]
pub struct TicketTable {
    vm: VmId,
    incarnation: Incarnation,
    limits: TicketLimits,
    records: HashMap<TicketId, Record>,
    /// Ids by the second in which they are next checked for removal.
    expiry_queue: BTreeMap<u64, Vec<TicketId>>,
    /// Latest wall time seen, so that a clock that is set back does not revive expired tickets.
    latest_ms: u64,
    /// Latest expiry among the tickets that were refused as "not run" while the table was full.
    /// Tickets without a record that expire up to this time are never started, so that refused
    /// tickets need no records.
    refused_expiry_ms: u64,
    stats: TicketStats,
    safeguards: Safeguards,
}

impl TicketTable {
    /// Creates an empty table for the process `incarnation` on `vm`.
    #[must_use]
    pub fn new(vm: VmId, incarnation: Incarnation, limits: TicketLimits) -> Self {
        Self {
            vm,
            incarnation,
            limits,
            records: HashMap::new(),
            expiry_queue: BTreeMap::new(),
            latest_ms: 0,
            refused_expiry_ms: 0,
            stats: TicketStats::default(),
            safeguards: Safeguards::default(),
        }
    }

    #[cfg(test)]
    pub(crate) fn with_safeguards(mut self, safeguards: Safeguards) -> Self {
        self.safeguards = safeguards;
        self
    }

    /// Decides how to handle a call, and records its ticket if it is new. `max_resends` is the
    /// number of resends that the rule for its kind allows to join the call in flight.
    pub fn admit(&mut self, wall: SystemTime, ticket: &Ticket, max_resends: u8) -> TicketDecision {
        self.remove_expired(wall);
        if !self.names_this_process(ticket) {
            return TicketDecision::Refused(Refusal::unknown(Reason::Ticket));
        }
        if let Some(record) = self.records.get_mut(&ticket.id) {
            let decision = record.handle_resend();
            self.stats.resends += u64::from(!matches!(decision, TicketDecision::Refused(_)));
            return decision;
        }
        if let Err(refusal) = self.check_new(ticket) {
            return TicketDecision::Refused(refusal);
        }
        self.insert(ticket, State::Queued, max_resends);
        TicketDecision::Queue
    }

    /// Marks a call as running. This is the last check, directly before its bytes are sent.
    ///
    /// Returns the number of extra attempts that the run may use at most: resends that arrived
    /// earlier have used up the others.
    ///
    /// # Errors
    ///
    /// A refusal if the ticket expired in the queue, is void, or was started before.
    pub fn start(&mut self, wall: SystemTime, id: TicketId) -> Result<u8, Refusal> {
        self.remove_expired(wall);
        let latest = self.latest_ms;
        let Some(record) = self.records.get_mut(&id) else {
            return Err(Refusal::unknown(Reason::Ticket));
        };
        let enforced = self.safeguards.enforces(Safeguard::StartCheck);
        if enforced && matches!(record.state, State::Queued) && record.expires_ms <= latest {
            record.state = State::Void;
        }
        match &record.state {
            State::Queued => {}
            State::Void if !enforced => {}
            State::Void => return Err(Refusal::not_run(Reason::Ticket)),
            State::Running | State::Failed => return Err(Refusal::unknown(Reason::Ticket)),
            State::Done(_) => return Err(already_ran()),
        }
        record.state = State::Running;
        self.stats.started += 1;
        Ok(record.resends_left)
    }

    /// Records the end of a run. If there is no response, or it is larger than
    /// [`MAX_RESPONSE_BYTES`] or the space left, resends are refused as "ran".
    pub fn finish(&mut self, id: TicketId, response: Option<StoredResponse>) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if !matches!(record.state, State::Running) {
            return;
        }
        let space = self.limits.response_bytes - self.stats.response_bytes;
        let size = response.as_ref().map_or(0, StoredResponse::size);
        let kept = response.filter(|_| size <= MAX_RESPONSE_BYTES.min(space));
        if kept.is_some() {
            self.stats.response_bytes += size;
        } else {
            self.stats.unstored_responses += 1;
        }
        record.state = State::Done(kept.map(Arc::new));
    }

    /// Records that the call was sent to the endpoint, and no complete response came back.
    pub fn fail(&mut self, id: TicketId) {
        if let Some(record) = self.records.get_mut(&id)
            && matches!(record.state, State::Running)
        {
            record.state = State::Failed;
        }
    }

    /// Voids a ticket permanently, whether or not a call has arrived with it.
    ///
    /// # Errors
    ///
    /// A refusal if the call has started, the ticket names another process, or the ticket cannot be
    /// recorded.
    pub fn void(&mut self, wall: SystemTime, ticket: &Ticket) -> Result<(), Refusal> {
        self.remove_expired(wall);
        if !self.names_this_process(ticket) {
            return Err(Refusal::unknown(Reason::Ticket));
        }
        if !self.safeguards.enforces(Safeguard::VoidFinal) {
            self.records.remove(&ticket.id);
            return Ok(());
        }
        if let Some(record) = self.records.get_mut(&ticket.id) {
            match record.state {
                State::Queued | State::Void => record.state = State::Void,
                State::Running | State::Failed => return Err(Refusal::unknown(Reason::Ticket)),
                State::Done(_) => return Err(already_ran()),
            }
            return Ok(());
        }
        match self.check_new(ticket) {
            Ok(()) => {
                self.insert(ticket, State::Void, 0);
                Ok(())
            }
            Err(refusal) if refusal.execution == Execution::NotRun => Ok(()),
            Err(refusal) => Err(refusal),
        }
    }

    /// Removes the records of expired tickets. `admit`, `start` and `void` do so as well.
    pub fn remove_expired(&mut self, wall: SystemTime) {
        self.latest_ms = self.latest_ms.max(unix_ms(wall));
        let second = self.latest_ms / 1_000;
        while let Some(bucket) = self.expiry_queue.first_entry() {
            if *bucket.key() >= second {
                break;
            }
            for id in bucket.remove() {
                self.expire(id, second);
            }
        }
    }

    /// Returns counters and current sizes.
    #[must_use]
    pub fn stats(&self) -> TicketStats {
        TicketStats {
            records: self.records.len(),
            ..self.stats
        }
    }

    /// Returns an estimate of the memory in use in bytes, from the capacities of the tables and the
    /// size of the stored responses.
    #[must_use]
    pub fn memory(&self) -> usize {
        // The hash table has one control byte per bucket and is filled to at most 7/8.
        let bucket = size_of::<(TicketId, Record)>() + 1;
        let ids = self.expiry_queue.values().map(Vec::capacity).sum::<usize>();
        self.records.capacity() * 8 / 7 * bucket
            + ids * size_of::<TicketId>()
            + self.expiry_queue.len() * size_of::<(u64, Vec<TicketId>)>()
            + self.stats.response_bytes
    }

    fn names_this_process(&self, ticket: &Ticket) -> bool {
        let same = ticket.incarnation == self.incarnation
            || !self.safeguards.enforces(Safeguard::IncarnationCheck);
        ticket.vm == self.vm && same
    }

    /// Checks whether a ticket without a record may be given one.
    fn check_new(&mut self, ticket: &Ticket) -> Result<(), Refusal> {
        // The record of an expired ticket may have been removed, and a ticket that expires too far
        // ahead may arrive again when it is acceptable. Neither may be reported as "not run".
        let ahead_ms = MAX_EXPIRY_AHEAD.as_millis() as u64;
        if ticket.expires_ms <= self.latest_ms || ticket.expires_ms > self.latest_ms + ahead_ms {
            return Err(Refusal::unknown(Reason::Ticket));
        }
        if self.records.len() >= self.limits.records {
            self.refused_expiry_ms = self.refused_expiry_ms.max(ticket.expires_ms);
        }
        if ticket.expires_ms <= self.refused_expiry_ms {
            self.stats.refused_full += 1;
            return Err(Refusal::not_run(Reason::QueueFull));
        }
        Ok(())
    }

    fn insert(&mut self, ticket: &Ticket, state: State, max_resends: u8) {
        let record = Record {
            expires_ms: ticket.expires_ms,
            state,
            resends_left: max_resends,
        };
        let second = ticket.expires_ms / 1_000;
        self.expiry_queue.entry(second).or_default().push(ticket.id);
        self.records.insert(ticket.id, record);
    }

    fn expire(&mut self, id: TicketId, second: u64) {
        let Some(record) = self.records.get(&id) else {
            return;
        };
        let last = record.expires_ms / 1_000 + IN_FLIGHT_GRACE_S;
        if record.in_flight() && second <= last {
            self.expiry_queue.entry(second).or_default().push(id);
            return;
        }
        if let Some(record) = self.records.remove(&id)
            && let State::Done(Some(response)) = record.state
        {
            self.stats.response_bytes -= response.size();
        }
    }
}

impl Record {
    fn handle_resend(&mut self) -> TicketDecision {
        match &self.state {
            State::Queued | State::Running if self.resends_left == 0 => {
                TicketDecision::Refused(Refusal::unknown(Reason::Attempts))
            }
            State::Queued | State::Running => {
                self.resends_left -= 1;
                TicketDecision::Join
            }
            // Delivering a stored outcome starts nothing, so it does not use up a resend.
            State::Done(Some(response)) => TicketDecision::Stored(Arc::clone(response)),
            State::Done(None) => TicketDecision::Refused(already_ran()),
            State::Void => TicketDecision::Void,
            State::Failed => TicketDecision::Refused(Refusal::unknown(Reason::Connection)),
        }
    }
}

/// Refusal of a call that ran and whose response cannot be delivered again.
const fn already_ran() -> Refusal {
    let mut refusal = Refusal::unknown(Reason::Ticket);
    refusal.execution = Execution::Ran;
    refusal
}
