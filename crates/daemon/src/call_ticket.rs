//! The ticket of a call that must run at most once, over all its attempts, and whether a refusal
//! may say that the call did not run.

use std::sync::Arc;
use std::time::{Duration, Instant};

use policy::home::{Claim, ClaimReply};
use policy::id::TicketId;
use policy::refusal::{Execution, Reason, Refusal};
use policy::ticket::Ticket;

use crate::attempt::{self, ChosenEndpoint, Failure};
use crate::cluster::Cluster;
use crate::counter::Counter;
use crate::dispatch::Call;
use crate::shared::Shared;

/// Claims of one call while the home of its key is unavailable.
const MAX_CLAIM_ATTEMPTS: u32 = 6;
/// Delay between two claims of one call.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The ticket of a call that must run at most once, over all its attempts.
pub struct CallTicket {
    /// Ticket that the next attempt must use. `None` for a new one.
    pub bound: Option<Ticket>,
    /// Whether the caller sent the ticket.
    pub from_caller: bool,
    /// Whether an earlier send of the ticket, by this daemon or another, may have started a run.
    pub may_have_run: bool,
    /// Void ticket of the caller's key, which the next claim replaces.
    void_id: Option<TicketId>,
}

impl CallTicket {
    pub const fn new(caller_ticket: Option<Ticket>) -> Self {
        let sent_before = caller_ticket.is_some();
        Self {
            bound: caller_ticket,
            from_caller: sent_before,
            may_have_run: sent_before,
            void_id: None,
        }
    }

    /// Returns the refusal of a call that cannot be sent now. A void ticket proves that no earlier
    /// send ran or will run.
    pub fn refusal_before_send(&self, shared: &Shared, call: &Call, refusal: Refusal) -> Refusal {
        if self.void_id.is_some() {
            refusal
        } else {
            account_for_earlier_sends(shared, call, refusal)
        }
    }

    /// Binds a new ticket to the caller's key, or takes the ticket that is already bound to it.
    pub async fn claim(
        &mut self,
        cluster: &Arc<Cluster>,
        call: &Call,
        chosen: ChosenEndpoint,
    ) -> Result<ChosenEndpoint, Refusal> {
        let (None, Some(key), Some(ticket)) = (&self.bound, &call.target.key, &chosen.ticket)
        else {
            return Ok(chosen);
        };
        let claim = Claim {
            service: Arc::clone(&call.target.service),
            // Two customers may choose the same key.
            key: format!("{}/{key}", call.target.customer).into(),
            ticket: ticket.clone(),
            replaces: self.void_id,
            extra_attempts: call.class.extra_attempts,
        };
        let reply = if call.nested {
            cluster
                .shared
                .endpoint_keys
                .claim(cluster.shared.clock.now(), claim)
        } else {
            claim_at_home(cluster, call.deadline, &claim).await
        };
        match reply {
            ClaimReply::Stored(_) => {
                // Another send of the key may find and use the ticket, unless this is the first.
                self.may_have_run = !call.target.first_attempt;
                Ok(chosen)
            }
            ClaimReply::Found(ticket) if self.void_id == Some(ticket.id) => {
                Err(Refusal::not_run(Reason::Attempts))
            }
            ClaimReply::Found(ticket) => {
                self.may_have_run = true;
                self.bound = Some(ticket);
                attempt::choose_endpoint(&cluster.shared, call, self.bound.as_ref(), &[])
            }
            // An earlier send of the key may have run, unless the caller declared this the first.
            ClaimReply::Unavailable(_) if call.target.first_attempt => {
                Err(Refusal::not_run(Reason::Home))
            }
            ClaimReply::Unavailable(_) => Err(Refusal::unknown(Reason::Home)),
        }
    }

    /// Makes the next attempt resend the same ticket to the same VM.
    pub fn resend(&mut self, ticket: Option<Ticket>) {
        self.may_have_run = true;
        self.bound = ticket;
    }

    /// Makes the next attempt use a new ticket.
    pub fn replace(&mut self, ticket: Option<Ticket>, failure: Failure) {
        self.bound = None;
        self.may_have_run = false;
        self.void_id = match failure {
            Failure::Refused(_) => ticket.map(|ticket| ticket.id),
            // The ticket is not void, so the key stays bound to it.
            Failure::Unsent => None,
        };
    }
}

/// Claims a key at its home. Retries while the home is unavailable, because a slot that changes its
/// owner is available again within moments.
async fn claim_at_home(cluster: &Arc<Cluster>, deadline: Instant, claim: &Claim) -> ClaimReply {
    let clock = &cluster.shared.clock;
    for _ in 1..MAX_CLAIM_ATTEMPTS {
        match cluster.claim(claim.clone()).await {
            ClaimReply::Unavailable(_) if clock.now() + CLAIM_RETRY_DELAY < deadline => {
                cluster.shared.counters.count(Counter::HomeRetries);
                tokio::time::sleep(CLAIM_RETRY_DELAY).await;
            }
            reply => return reply,
        }
    }
    let reply = cluster.claim(claim.clone()).await;
    if matches!(reply, ClaimReply::Unavailable(_)) {
        cluster.shared.counters.count(Counter::HomeUnavailable);
    }
    reply
}

/// Turns "not run" into "unknown" if an earlier send of the caller's key or ticket may have run.
/// Only the VM that the ticket names can rule that out, unless this send is known to be the first.
pub fn account_for_earlier_sends(shared: &Shared, call: &Call, refusal: Refusal) -> Refusal {
    let target = &call.target;
    let sent_before = || match &target.key {
        Some(key) if call.nested => {
            let key = format!("{}/{key}", target.customer);
            shared
                .endpoint_keys
                .contains(shared.clock.now(), &target.service, &key)
        }
        Some(_) => !target.first_attempt,
        None => false,
    };
    let may_have_run = !call.class.idempotent && (target.ticket.is_some() || sent_before());
    if may_have_run && refusal.execution == Execution::NotRun {
        return Refusal {
            execution: Execution::Unknown,
            ..refusal
        };
    }
    refusal
}
