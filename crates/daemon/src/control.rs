//! Handles control calls of other daemons.

use std::sync::Arc;

use peer::control::ControlHandler;
use peer::proto::{
    ClaimOutcome, ClaimReply, ClaimRequest, HomeMessage, PullReply, PullRequest, VoidReply,
    VoidRequest,
};
use policy::home::Claim;
use policy::member::{SyncReply, SyncRequest};
use policy::refusal::{Reason, Refusal};
use policy::ticket::Ticket;

use crate::cluster::Cluster;

/// Handler for the control calls of other daemons.
#[derive(Debug)]
pub struct Control {
    cluster: Arc<Cluster>,
}

impl Control {
    pub const fn new(cluster: Arc<Cluster>) -> Self {
        Self { cluster }
    }
}

impl ControlHandler for Control {
    async fn sync(&self, request: SyncRequest) -> SyncReply {
        self.cluster.handle_sync(&request).await
    }

    async fn pull_rules(&self, request: PullRequest) -> PullReply {
        self.cluster.rules.handle_pull(request)
    }

    async fn pull_homes(&self, request: PullRequest) -> PullReply {
        self.cluster.home_map.handle_pull(request)
    }

    async fn claim_key(&self, request: ClaimRequest) -> ClaimReply {
        match Claim::try_from(request) {
            Ok(claim) => (&self.cluster.claim_as_owner(claim).await).into(),
            Err(_) => ClaimReply {
                outcome: ClaimOutcome::Unavailable.into(),
                ..Default::default()
            },
        }
    }

    async fn exchange_home(&self, message: HomeMessage) -> Option<HomeMessage> {
        self.cluster.handle_home_message(message)
    }

    async fn void_ticket(&self, request: VoidRequest) -> VoidReply {
        let shared = &self.cluster.shared;
        let ticket = request.ticket.and_then(|wire| Ticket::try_from(wire).ok());
        let reported = Refusal::not_run(Reason::Ticket);
        let voided = ticket.is_some_and(|ticket| {
            shared
                .tickets
                .void(shared.clock.wall(), &ticket, reported)
                .is_ok()
        });
        VoidReply { voided }
    }
}
