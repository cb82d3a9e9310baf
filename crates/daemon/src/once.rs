//! The ticket of a call that must run at most once, over all its attempts, and what may be said of
//! the call.

use std::sync::Arc;
use std::time::{Duration, Instant};

use policy::home::{Claim, ClaimReply};
use policy::id::TicketId;
use policy::refusal::{Execution, Reason, Refusal};
use policy::ticket::Ticket;

use crate::attempt::{self, Chosen, Failure};
use crate::cluster::Cluster;
use crate::counter::Counter;
use crate::entry::Call;
use crate::shared::Shared;

/// Claims of one call while the home is unavailable, and the pause between them.
const CLAIM_ATTEMPTS: u32 = 6;
const CLAIM_PAUSE: Duration = Duration::from_millis(150);

/// The ticket of a call that must run at most once, over all its attempts.
pub struct Once {
    /// Ticket to send, rather than a new one.
    pub held: Option<Ticket>,
    /// Whether the caller sent the ticket.
    pub given: bool,
    /// Whether an earlier send of the ticket, by anyone, may have started a run.
    pub ambiguous: bool,
    /// Ticket of the caller's key that is void.
    void: Option<TicketId>,
}

impl Once {
    pub const fn new(given: Option<Ticket>) -> Self {
        let is_given = given.is_some();
        Self {
            held: given,
            given: is_given,
            ambiguous: is_given,
            void: None,
        }
    }

    /// What a refusal without a send says of the call. A void ticket settles all sends before.
    pub fn about(&self, shared: &Shared, call: &Call, refusal: Refusal) -> Refusal {
        if self.void.is_some() {
            refusal
        } else {
            about_key(shared, call, refusal)
        }
    }

    /// Binds a new ticket to the caller's key, or finds the one that the key has.
    pub async fn claim(
        &mut self,
        cluster: &Arc<Cluster>,
        call: &Call,
        chosen: Chosen,
    ) -> Result<Chosen, Refusal> {
        let (None, Some(key), Some(ticket)) = (&self.held, &call.target.key, &chosen.ticket) else {
            return Ok(chosen);
        };
        let claim = Claim {
            service: Arc::clone(&call.target.service),
            // Customers choose their keys without knowing of each other.
            key: format!("{}/{key}", call.target.customer).into(),
            ticket: ticket.clone(),
            replaces: self.void,
            extra_attempts: call.class.extra_attempts,
        };
        let reply = if call.inner {
            cluster
                .shared
                .local_keys
                .claim(cluster.shared.clock.now(), claim)
        } else {
            claim_at_home(cluster, call.deadline, &claim).await
        };
        match reply {
            ClaimReply::Stored(_) => {
                // Another send of the key may find the ticket and use it, unless this is the first.
                self.ambiguous = !call.target.first_attempt;
                Ok(chosen)
            }
            ClaimReply::Found(ticket) if self.void == Some(ticket.id) => {
                Err(Refusal::not_run(Reason::Attempts))
            }
            ClaimReply::Found(ticket) => {
                self.ambiguous = true;
                self.held = Some(ticket);
                attempt::choose(&cluster.shared, call, self.held.as_ref(), &[])
            }
            // An earlier send of the key may have run; only a declared first send cannot have.
            ClaimReply::Unavailable(_) if call.target.first_attempt => {
                Err(Refusal::not_run(Reason::Home))
            }
            ClaimReply::Unavailable(_) => Err(Refusal::unknown(Reason::Home)),
        }
    }

    /// Sends the same ticket again, to the same VM.
    pub fn resend(&mut self, ticket: Option<Ticket>) {
        self.ambiguous = true;
        self.held = ticket;
    }

    /// Takes another ticket at the next attempt.
    pub fn replace(&mut self, ticket: Option<Ticket>, failure: Failure) {
        self.held = None;
        self.ambiguous = false;
        self.void = match failure {
            Failure::Refused(_) => ticket.map(|ticket| ticket.id),
            // The ticket is not void, so the key keeps it.
            Failure::Unsent => None,
        };
    }
}

/// Asks the home, again while it is unavailable: slots change hands within moments.
async fn claim_at_home(cluster: &Arc<Cluster>, deadline: Instant, claim: &Claim) -> ClaimReply {
    let clock = &cluster.shared.clock;
    for _ in 1..CLAIM_ATTEMPTS {
        match cluster.claim(claim.clone()).await {
            ClaimReply::Unavailable(_) if clock.now() + CLAIM_PAUSE < deadline => {
                cluster.shared.counters.count(Counter::HomeRetries);
                tokio::time::sleep(CLAIM_PAUSE).await;
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

/// What a refusal of this send says of the caller's key or ticket: an earlier send may have run, so
/// only a send that is known to be the first can be "not run" without the word of the ticket's VM.
pub fn about_key(shared: &Shared, call: &Call, refusal: Refusal) -> Refusal {
    let target = &call.target;
    let sent_before = || match &target.key {
        Some(key) if call.inner => {
            let key = format!("{}/{key}", target.customer);
            shared
                .local_keys
                .contains(shared.clock.now(), &target.service, &key)
        }
        Some(_) => !target.first_attempt,
        None => false,
    };
    let open = !call.class.idempotent && (target.ticket.is_some() || sent_before());
    if open && refusal.execution == Execution::NotRun {
        return Refusal {
            execution: Execution::Unknown,
            ..refusal
        };
    }
    refusal
}
