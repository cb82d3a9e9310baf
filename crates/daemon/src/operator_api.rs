//! Handles the requests of operators to this daemon.

use std::sync::Arc;

use operator::change::StoredRules;
use operator::message::{
    ApplyReply, DrainReply, DrainRequest, Edit, ExplainQuery, ExplainReply, HistoryReply,
    HomesReply, MemberInfo, MemberState, MembersReply, MetricsReply, Problem, ProblemKind,
    ReadyReply, ReassignRequest, ReportReply, RulesReply, ServiceStatus, StatusReply,
};
use operator::server::{Daemon, ReplyFuture};
use policy::home::Event;
use policy::id::{CallId, Revision};
use policy::member::{MemberView, State};

use crate::apply;
use crate::cluster::Cluster;
use crate::counter::Counter;

/// The operators' interface of this daemon.
#[derive(Debug)]
pub struct OperatorApi {
    cluster: Arc<Cluster>,
}

impl OperatorApi {
    pub const fn new(cluster: Arc<Cluster>) -> Self {
        Self { cluster }
    }

    /// Returns the rules in force at this daemon, as stored in the platform.
    fn stored_rules(&self) -> Result<StoredRules, Problem> {
        let content = self.cluster.rules.content();
        if content.is_empty() {
            let message = "no rules are in force: apply a rules file";
            return Err(Problem::new(ProblemKind::UnknownRevision, message));
        }
        StoredRules::decode(&content)
    }
}

impl Daemon for OperatorApi {
    fn ready(&self) -> ReadyReply {
        let mut missing = Vec::new();
        let mut check = |holds: bool, text: &str| {
            if !holds {
                missing.push(text.to_owned());
            }
        };
        let cluster = &self.cluster;
        check(
            cluster.rules.is_ready(),
            "neither a peer nor the platform has sent the rules yet",
        );
        check(
            cluster.shared.admission.endpoint().is_some(),
            "the endpoint has not announced itself",
        );
        check(!*cluster.shared.leaving.borrow(), "the daemon is draining");
        ReadyReply {
            ready: missing.is_empty(),
            missing,
        }
    }

    fn members(&self) -> MembersReply {
        let own = self.cluster.rules.in_force();
        let vm = self.cluster.shared.vm();
        let members = self.cluster.members();
        let info = |view: &MemberView| MemberInfo {
            vm: view.member.vm.to_string(),
            data_centre: view.member.data_centre.to_string(),
            address: view.member.call_address.to_string(),
            incarnation: view.member.incarnation,
            state: member_state(view),
            revision: if view.member.vm == *vm {
                own
            } else {
                self.cluster.revision_of(&view.member.vm)
            },
            services: view
                .member
                .service
                .iter()
                .map(ToString::to_string)
                .collect(),
        };
        MembersReply {
            members: members.iter().map(info).collect(),
        }
    }

    fn rules(&self, query: Option<Revision>) -> ReplyFuture<'_, RulesReply> {
        Box::pin(async move {
            let in_force = self.cluster.rules.in_force();
            let revision = query.unwrap_or(in_force);
            let text = self
                .stored_rules()?
                .text_at(in_force, revision)
                .ok_or_else(|| {
                    let message =
                        format!("revision {revision} is not in the history: see `history`");
                    Problem::new(ProblemKind::UnknownRevision, message)
                })?;
            Ok(RulesReply { revision, text })
        })
    }

    fn history(&self) -> ReplyFuture<'_, HistoryReply> {
        Box::pin(async move {
            let in_force = self.cluster.rules.in_force();
            Ok(HistoryReply {
                changes: self.stored_rules()?.changes(in_force),
            })
        })
    }

    fn apply(&self, edit: Edit) -> ReplyFuture<'_, ApplyReply> {
        Box::pin(async move {
            let wall = self.cluster.shared.clock.wall();
            let reply = apply::apply(&self.cluster.platform, &edit, wall).await?;
            // The daemon that wrote the edit need not wait for a relay to see it.
            self.cluster.rules.read(&self.cluster).await;
            if !edit.dry_run {
                tokio::spawn(Arc::clone(&self.cluster).poll_revisions(reply.revision));
            }
            Ok(reply)
        })
    }

    fn drain(&self, request: DrainRequest) -> ReplyFuture<'_, DrainReply> {
        Box::pin(async move {
            let shared = &self.cluster.shared;
            self.cluster.drain(&request.author);
            let admission_stats = shared.admission.stats();
            let stats = self.cluster.homes.stats();
            let homes = (stats.owned + stats.succeeded) as u32;
            let done = admission_stats.running == 0 && homes == 0;
            let vm = shared.vm().to_string();
            Ok(DrainReply {
                vm,
                running: admission_stats.running,
                homes,
                done,
            })
        })
    }

    fn homes(&self) -> HomesReply {
        self.cluster.home_slots()
    }

    fn reassign(&self, request: ReassignRequest) -> Result<HomesReply, Problem> {
        let reply = self.cluster.home_slots();
        let slot = reply.slots.iter().find(|home| home.slot == request.slot);
        let refused = match slot {
            Some(home) if home.epoch != request.epoch => {
                "the slot has changed: list the homes again"
            }
            Some(home) if !home.lost => "a holder of the slot is alive: drain it instead",
            Some(_) => {
                self.cluster
                    .handle_home_event(Event::Reassign(request.slot as usize, request.epoch));
                return Ok(reply);
            }
            None => "there is no such slot: list the homes",
        };
        Err(Problem::new(ProblemKind::Conflict, refused))
    }

    fn explain(&self, query: &ExplainQuery) -> ExplainReply {
        let shared = &self.cluster.shared;
        let call = query.call.as_deref();
        let id = call.and_then(|text| CallId::from_str_radix(text, 16).ok());
        let mut reply = ExplainReply::new(&shared.rules.load(), query)
            .with_call(id.and_then(|id| shared.recent_calls.find(id)));
        let now = shared.clock.now();
        for kind in &mut reply.kinds {
            let level = shared
                .levels(&kind.kind.as_str().into())
                .level(now, &kind.service.as_str().into());
            kind.admitted = Some(level.admits(kind.rank, 0));
        }
        reply
    }

    fn report(&self) -> ReportReply {
        let shared = &self.cluster.shared;
        let burn = shared.burn.lock().expect("burn lock is never poisoned");
        ReportReply {
            vm: shared.vm().to_string(),
            burn: burn.report(shared.clock.now()),
        }
    }

    fn status(&self) -> StatusReply {
        let cluster = &self.cluster;
        let shared = &cluster.shared;
        let members = cluster.members();
        let count = |wanted: fn(MemberState) -> bool| {
            members
                .iter()
                .filter(|view| wanted(member_state(view)))
                .count() as u32
        };
        let homes = cluster.homes.stats();
        let uptime = shared.clock.now().saturating_duration_since(shared.started);
        StatusReply {
            vm: shared.vm().to_string(),
            data_centre: shared.settings.data_centre.to_string(),
            version: env!("CARGO_PKG_VERSION").into(),
            incarnation: shared.incarnation,
            uptime_ms: uptime.as_millis() as u64,
            ready: self.ready().ready,
            draining: *shared.leaving.borrow(),
            revision: cluster.rules.in_force(),
            platform_age_ms: shared.platform_age_ms(),
            alive: count(|state| state == MemberState::Alive),
            doubtful: count(|state| {
                matches!(state, MemberState::Suspect | MemberState::Unreachable)
            }),
            homes_owned: homes.owned as u32,
            homes_succeeded: homes.succeeded as u32,
            tickets: shared.tickets.stats().records as u64,
            services: self.services(),
        }
    }

    fn metrics(&self) -> MetricsReply {
        let shared = &self.cluster.shared;
        let gossip = self.cluster.gossip_counts();
        let mut counters = shared.counters.all();
        let gossip_counters = [
            (Counter::GossipBytesSent, gossip.sent_bytes),
            (Counter::GossipBytesReceived, gossip.received_bytes),
            (Counter::GossipDropped, gossip.unverified + gossip.malformed),
        ];
        counters.extend(gossip_counters.map(|(counter, value)| (counter.name().to_owned(), value)));
        MetricsReply { counters }
    }
}

impl OperatorApi {
    fn services(&self) -> Vec<ServiceStatus> {
        let admission = &self.cluster.shared.admission;
        let admission_stats = admission.stats();
        let level = admission.level().level;
        let status = |own: endpoint::announce::Announcement| ServiceStatus {
            service: own.service.to_string(),
            slots: admission_stats.slots,
            limit: admission_stats.limit,
            running: admission_stats.running,
            queued: admission_stats.waiting as u32,
            level_rank: level.rank,
            level_bucket: level.bucket,
        };
        admission.endpoint().map(status).into_iter().collect()
    }
}

fn member_state(view: &MemberView) -> MemberState {
    match view.member.state {
        State::Dead | State::Left => MemberState::Gone,
        _ if view.unreachable => MemberState::Unreachable,
        _ if view.suspect => MemberState::Suspect,
        State::Draining => MemberState::Draining,
        State::Alive | State::Suspect => MemberState::Alive,
    }
}
