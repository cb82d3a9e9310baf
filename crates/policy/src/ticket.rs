//! At-most-once records kept with the run.
//!
//! A [`Ticket`] names the one process that may start a call. That process keeps a record of it in a
//! [`TicketTable`] until the ticket has expired, so that a resend finds the run instead of starting
//! another one. An answer of "not run" is final for the ticket: the book never starts it later.

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

/// Time from minting to expiry. It stays below [`MAX_EXPIRY_AHEAD`] by the clock offset allowed between VMs.
pub const TICKET_LIFETIME: Duration = Duration::from_mins(14);
/// A ticket that expires later than this from now is refused.
pub const MAX_EXPIRY_AHEAD: Duration = Duration::from_mins(15);
/// Longest stored answer in bytes, headers included.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024;
/// Longest name of a VM in a ticket, in bytes.
pub const MAX_VM_NAME_BYTES: usize = 128;

/// A record of a call in flight is kept this long past its expiry, so that its end is recorded.
const IN_FLIGHT_KEEP_S: u64 = 15 * 60;
const VERSION: &str = "1";

/// The right to start one call once, at one process.
///
/// The text form for a header is `1.<incarnation>.<id>.<expiry>.<vm>` with hexadecimal numbers and
/// the expiry in milliseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// VM whose daemon may start the call.
    pub vm: VmId,
    /// Process on that VM.
    pub incarnation: Incarnation,
    /// Random id.
    pub id: TicketId,
    /// Milliseconds since the Unix epoch, on the clock of the named VM.
    pub expires_ms: u64,
}

impl Ticket {
    /// Mints a ticket that expires [`TICKET_LIFETIME`] after `wall`.
    #[must_use]
    pub fn new(vm: VmId, incarnation: Incarnation, wall: SystemTime, rng: &mut impl Rng) -> Self {
        Self {
            vm,
            incarnation,
            id: rng.random(),
            expires_ms: millis(wall + TICKET_LIFETIME),
        }
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{VERSION}.{:x}.{:x}.{:x}.{}",
            self.incarnation, self.id, self.expires_ms, self.vm
        )
    }
}

/// The text is no ticket. Send the value of `sapphiredoor-ticket` as it was received.
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
        if part()? != VERSION {
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
        // Only the text that `Display` writes is accepted, so one ticket has one spelling.
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

/// Milliseconds since the Unix epoch, zero before it.
pub(crate) fn millis(wall: SystemTime) -> u64 {
    let elapsed = wall.duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// A whole answer of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Names and values of the headers to deliver.
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// Body.
    pub body: Box<[u8]>,
}

impl StoredResponse {
    /// Bytes of headers and body.
    #[must_use]
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        headers
            .map(|(name, value)| name.len() + value.len())
            .sum::<usize>()
            + self.body.len()
    }
}

/// What to do with a call that came with a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketDecision {
    /// Put the call into the queue, and ask [`TicketTable::start`] directly before its bytes leave.
    /// Every such call must end with `finish`, `fail` or `void`.
    Queue,
    /// The call is queued or running: wait for its outcome.
    Join,
    /// The call is done: deliver this answer.
    Stored(Arc<StoredResponse>),
    /// The call did not run and never will under this ticket. A new ticket is safe.
    Void,
    /// The call is refused. The refusal says what is known of a run.
    Refused(Refusal),
}

#[derive(Clone, Debug)]
enum State {
    Queued,
    Running,
    /// Without the answer if it was too long or the store was full.
    Done(Option<Arc<StoredResponse>>),
    Void,
    /// Bytes left for the endpoint and no whole answer came back.
    Lost,
}

#[derive(Debug)]
struct Record {
    expires_ms: u64,
    state: State,
    /// Resends that may still attach.
    resends: u8,
}

impl Record {
    const fn in_flight(&self) -> bool {
        matches!(self.state, State::Queued | State::Running)
    }
}

/// Bounds of one [`TicketTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TicketLimits {
    /// Most records.
    pub records: usize,
    /// Most bytes of stored answers.
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

/// Counts since the start, and current sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TicketStats {
    /// Records held.
    pub records: usize,
    /// Bytes of stored answers.
    pub response_bytes: usize,
    /// Calls started.
    pub started: u64,
    /// Resends answered from a record.
    pub resends: u64,
    /// Answers not stored for lack of space.
    pub unstored_responses: u64,
    /// Tickets refused because the book was full.
    pub refused_full: u64,
}

/// Records of the tickets that name this process. The caller shards by ticket id.
#[derive(Debug)]
pub struct TicketTable {
    vm: VmId,
    incarnation: Incarnation,
    limits: TicketLimits,
    records: HashMap<TicketId, Record>,
    /// Ids by the second in which they are next looked at for removal.
    removal: BTreeMap<u64, Vec<TicketId>>,
    /// Latest wall time seen, so that a clock set back never revives a ticket.
    latest_ms: u64,
    /// Tickets without a record that expire up to here never start. It replaces one record for each
    /// ticket that was refused as "not run" while the book was full.
    fence_ms: u64,
    stats: TicketStats,
    switch: Safeguards,
}

impl TicketTable {
    /// An empty book of the process `incarnation` on `vm`.
    #[must_use]
    pub fn new(vm: VmId, incarnation: Incarnation, limits: TicketLimits) -> Self {
        Self {
            vm,
            incarnation,
            limits,
            records: HashMap::new(),
            removal: BTreeMap::new(),
            latest_ms: 0,
            fence_ms: 0,
            stats: TicketStats::default(),
            switch: Safeguards::default(),
        }
    }

    #[cfg(test)]
    pub(crate) fn with_switch(mut self, switch: Safeguards) -> Self {
        self.switch = switch;
        self
    }

    /// Decides on a call. `extra` is the number of resends that the rule of its kind allows.
    pub fn admit(&mut self, wall: SystemTime, ticket: &Ticket, extra: u8) -> TicketDecision {
        self.remove_expired(wall);
        if !self.names_this(ticket) {
            return TicketDecision::Refused(Refusal::unknown(Reason::Ticket));
        }
        if let Some(record) = self.records.get_mut(&ticket.id) {
            let verdict = record.resend();
            self.stats.resends += u64::from(!matches!(verdict, TicketDecision::Refused(_)));
            return verdict;
        }
        if let Err(refusal) = self.check_new(ticket) {
            return TicketDecision::Refused(refusal);
        }
        self.insert(ticket, State::Queued, extra);
        TicketDecision::Queue
    }

    /// The last check, directly before the bytes leave. The result is the most extra attempts that
    /// the run may spend, because resends that came before it have spent the others.
    ///
    /// # Errors
    ///
    /// A refusal if the ticket expired in the queue, is void, or has started before.
    pub fn start(&mut self, wall: SystemTime, id: TicketId) -> Result<u8, Refusal> {
        self.remove_expired(wall);
        let latest = self.latest_ms;
        let Some(record) = self.records.get_mut(&id) else {
            return Err(Refusal::unknown(Reason::Ticket));
        };
        let checked = self.switch.enforces(Safeguard::StartCheck);
        if checked && matches!(record.state, State::Queued) && record.expires_ms <= latest {
            record.state = State::Void;
        }
        match &record.state {
            State::Queued => {}
            State::Void if !checked => {}
            State::Void => return Err(Refusal::not_run(Reason::Ticket)),
            State::Running | State::Lost => return Err(Refusal::unknown(Reason::Ticket)),
            State::Done(_) => return Err(ran()),
        }
        record.state = State::Running;
        self.stats.started += 1;
        Ok(record.resends)
    }

    /// Records the end of a run. Without an answer, or with one over [`MAX_RESPONSE_BYTES`], resends are
    /// refused as "ran".
    pub fn finish(&mut self, id: TicketId, answer: Option<StoredResponse>) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if !matches!(record.state, State::Running) {
            return;
        }
        let space = self.limits.response_bytes - self.stats.response_bytes;
        let size = answer.as_ref().map_or(0, StoredResponse::size);
        let kept = answer.filter(|_| size <= MAX_RESPONSE_BYTES.min(space));
        if kept.is_some() {
            self.stats.response_bytes += size;
        } else {
            self.stats.unstored_responses += 1;
        }
        record.state = State::Done(kept.map(Arc::new));
    }

    /// Records that bytes left for the endpoint and no whole answer came back.
    pub fn fail(&mut self, id: TicketId) {
        if let Some(record) = self.records.get_mut(&id)
            && matches!(record.state, State::Running)
        {
            record.state = State::Lost;
        }
    }

    /// Makes a ticket void for good, whether or not it was offered before.
    ///
    /// # Errors
    ///
    /// A refusal if the ticket has started, is not of this process, or cannot be recorded.
    pub fn void(&mut self, wall: SystemTime, ticket: &Ticket) -> Result<(), Refusal> {
        self.remove_expired(wall);
        if !self.names_this(ticket) {
            return Err(Refusal::unknown(Reason::Ticket));
        }
        if !self.switch.enforces(Safeguard::VoidFinal) {
            self.records.remove(&ticket.id);
            return Ok(());
        }
        if let Some(record) = self.records.get_mut(&ticket.id) {
            match record.state {
                State::Queued | State::Void => record.state = State::Void,
                State::Running | State::Lost => return Err(Refusal::unknown(Reason::Ticket)),
                State::Done(_) => return Err(ran()),
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

    /// Removes records whose tickets have expired. Other calls do so as well.
    pub fn remove_expired(&mut self, wall: SystemTime) {
        self.latest_ms = self.latest_ms.max(millis(wall));
        let second = self.latest_ms / 1_000;
        while let Some(bucket) = self.removal.first_entry() {
            if *bucket.key() >= second {
                break;
            }
            for id in bucket.remove() {
                self.expire(id, second);
            }
        }
    }

    /// Counts and sizes.
    #[must_use]
    pub fn stats(&self) -> TicketStats {
        TicketStats {
            records: self.records.len(),
            ..self.stats
        }
    }

    /// Bytes of memory held, answers included, estimated from the capacities of the tables.
    #[must_use]
    pub fn memory(&self) -> usize {
        // The hash table keeps one control byte a bucket and is filled to at most 7/8.
        let bucket = size_of::<(TicketId, Record)>() + 1;
        let ids = self.removal.values().map(Vec::capacity).sum::<usize>();
        self.records.capacity() * 8 / 7 * bucket
            + ids * size_of::<TicketId>()
            + self.removal.len() * size_of::<(u64, Vec<TicketId>)>()
            + self.stats.response_bytes
    }

    fn names_this(&self, ticket: &Ticket) -> bool {
        let same = ticket.incarnation == self.incarnation
            || !self.switch.enforces(Safeguard::IncarnationCheck);
        ticket.vm == self.vm && same
    }

    /// Whether a ticket without a record may get one.
    fn check_new(&mut self, ticket: &Ticket) -> Result<(), Refusal> {
        // The record of an expired ticket may be gone, and a ticket too far ahead may be offered
        // again when it is acceptable. Neither can be called "not run".
        let ahead_ms = MAX_EXPIRY_AHEAD.as_millis() as u64;
        if ticket.expires_ms <= self.latest_ms || ticket.expires_ms > self.latest_ms + ahead_ms {
            return Err(Refusal::unknown(Reason::Ticket));
        }
        if self.records.len() >= self.limits.records {
            self.fence_ms = self.fence_ms.max(ticket.expires_ms);
        }
        if ticket.expires_ms <= self.fence_ms {
            self.stats.refused_full += 1;
            return Err(Refusal::not_run(Reason::QueueFull));
        }
        Ok(())
    }

    fn insert(&mut self, ticket: &Ticket, state: State, extra: u8) {
        let record = Record {
            expires_ms: ticket.expires_ms,
            state,
            resends: extra,
        };
        let bucket = ticket.expires_ms / 1_000;
        self.removal.entry(bucket).or_default().push(ticket.id);
        self.records.insert(ticket.id, record);
    }

    fn expire(&mut self, id: TicketId, second: u64) {
        let Some(record) = self.records.get(&id) else {
            return;
        };
        let last = record.expires_ms / 1_000 + IN_FLIGHT_KEEP_S;
        if record.in_flight() && second <= last {
            self.removal.entry(second).or_default().push(id);
            return;
        }
        if let Some(record) = self.records.remove(&id)
            && let State::Done(Some(answer)) = record.state
        {
            self.stats.response_bytes -= answer.size();
        }
    }
}

impl Record {
    fn resend(&mut self) -> TicketDecision {
        match &self.state {
            State::Queued | State::Running if self.resends == 0 => {
                TicketDecision::Refused(Refusal::unknown(Reason::Attempts))
            }
            State::Queued | State::Running => {
                self.resends -= 1;
                TicketDecision::Join
            }
            // A stored outcome starts nothing, so it does not spend the allowance.
            State::Done(Some(answer)) => TicketDecision::Stored(Arc::clone(answer)),
            State::Done(None) => TicketDecision::Refused(ran()),
            State::Void => TicketDecision::Void,
            State::Lost => TicketDecision::Refused(Refusal::unknown(Reason::Connection)),
        }
    }
}

/// The call ran, and its answer cannot be delivered again.
const fn ran() -> Refusal {
    let mut refusal = Refusal::unknown(Reason::Ticket);
    refusal.execution = Execution::Ran;
    refusal
}
