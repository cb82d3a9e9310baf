//! Records of the tickets issued for this daemon, and the calls that wait for their outcome.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::SystemTime;

use policy::id::{Incarnation, TicketId, VmId};
use policy::refusal::Refusal;
use policy::ticket::{
    StoredResponse, Ticket, TicketDecision, TicketLimits, TicketStats, TicketTable,
};
use tokio::sync::watch;

/// Number of shards, each with its own lock.
const SHARD_COUNT: usize = 8;

/// How a call with a ticket ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answered(Arc<StoredResponse>),
    Refused(Refusal),
}

/// Receives the outcome of a call.
pub type Waiter = watch::Receiver<Option<Outcome>>;

/// What to do with a call that has a ticket.
#[derive(Debug)]
pub enum Lookup {
    /// Run it, and report its outcome with the sender.
    Run(Arc<watch::Sender<Option<Outcome>>>, Waiter),
    /// A call with the same ticket is queued or running: wait for its outcome.
    Wait(Waiter),
    /// The outcome is known.
    Known(Outcome),
    /// The call did not run and never will under this ticket.
    Void,
}

#[derive(Debug)]
struct Shard {
    table: TicketTable,
    /// Senders of the outcomes of queued and running calls.
    senders: HashMap<TicketId, Arc<watch::Sender<Option<Outcome>>>>,
}

/// Records of tickets, in shards.
#[derive(Debug)]
pub struct Tickets {
    shards: [Mutex<Shard>; SHARD_COUNT],
}

impl Tickets {
    pub fn new(vm: &VmId, incarnation: Incarnation) -> Self {
        let limits = TicketLimits::default();
        let limits = TicketLimits {
            records: limits.records / SHARD_COUNT,
            response_bytes: limits.response_bytes / SHARD_COUNT,
        };
        let shard = || Shard {
            table: TicketTable::new(Arc::clone(vm), incarnation, limits),
            senders: HashMap::new(),
        };
        Self {
            shards: std::array::from_fn(|_| Mutex::new(shard())),
        }
    }

    /// Finds the record of a ticket or adds one. At most `max_resends` resends are accepted.
    pub fn find_or_insert(&self, wall: SystemTime, ticket: &Ticket, max_resends: u8) -> Lookup {
        let mut shard = self.shard(ticket.id);
        match shard.table.admit(wall, ticket, max_resends) {
            TicketDecision::Queue => {
                let (sender, waiter) = watch::channel(None);
                let sender = Arc::new(sender);
                shard.senders.insert(ticket.id, Arc::clone(&sender));
                Lookup::Run(sender, waiter)
            }
            TicketDecision::Join => match shard.senders.get(&ticket.id) {
                Some(sender) => Lookup::Wait(sender.subscribe()),
                None => Lookup::Void,
            },
            TicketDecision::Stored(response) => Lookup::Known(Outcome::Answered(response)),
            TicketDecision::Void => Lookup::Void,
            TicketDecision::Refused(refusal) => Lookup::Known(Outcome::Refused(refusal)),
        }
    }

    /// Marks a ticket as started, directly before the call is sent. Returns the extra attempts that
    /// the run may spend at most, because resends before it have spent the others.
    pub fn start(&self, wall: SystemTime, ticket: &Ticket) -> Result<u8, Refusal> {
        self.shard(ticket.id).table.start(wall, ticket.id)
    }

    /// Ends a run with its whole response.
    pub fn finish(&self, ticket: &Ticket, response: StoredResponse) {
        let mut shard = self.shard(ticket.id);
        shard.table.finish(ticket.id, Some(response.clone()));
        shard.notify(ticket.id, Outcome::Answered(Arc::new(response)));
    }

    /// Ends a run whose outcome is unknown.
    pub fn fail(&self, ticket: &Ticket, refusal: Refusal) {
        let mut shard = self.shard(ticket.id);
        shard.table.fail(ticket.id);
        shard.notify(ticket.id, Outcome::Refused(refusal));
    }

    /// Makes a ticket void. Waiting calls get `reported`. Fails if the ticket has started.
    pub fn void(
        &self,
        wall: SystemTime,
        ticket: &Ticket,
        reported: Refusal,
    ) -> Result<(), Refusal> {
        let mut shard = self.shard(ticket.id);
        shard.table.void(wall, ticket)?;
        shard.notify(ticket.id, Outcome::Refused(reported));
        Ok(())
    }

    /// Returns the sum over the shards.
    pub fn stats(&self) -> TicketStats {
        let mut sum = TicketStats::default();
        for shard in &self.shards {
            let stats = shard
                .lock()
                .expect("ticket lock is never poisoned")
                .table
                .stats();
            sum.records += stats.records;
            sum.response_bytes += stats.response_bytes;
            sum.started += stats.started;
            sum.resends += stats.resends;
            sum.unstored_responses += stats.unstored_responses;
            sum.refused_full += stats.refused_full;
        }
        sum
    }

    /// Removes records whose tickets have expired.
    pub fn remove_expired(&self, wall: SystemTime) {
        for shard in &self.shards {
            shard
                .lock()
                .expect("ticket lock is never poisoned")
                .table
                .remove_expired(wall);
        }
    }

    fn shard(&self, id: TicketId) -> MutexGuard<'_, Shard> {
        let shard = &self.shards[(id % SHARD_COUNT as u128) as usize];
        shard.lock().expect("ticket lock is never poisoned")
    }
}

impl Shard {
    fn notify(&mut self, id: TicketId, outcome: Outcome) {
        if let Some(sender) = self.senders.remove(&id) {
            sender.send_replace(Some(outcome));
        }
    }
}

/// Waits for the outcome of a call. Returns `None` if the run was dropped because the process
/// stops.
pub async fn wait_for_outcome(mut waiter: Waiter) -> Option<Outcome> {
    let outcome = waiter.wait_for(Option::is_some).await.ok()?;
    outcome.clone()
}
