use rstest::rstest;

use super::simulation::{MessageKind, Moment, ProcessRef, Setup, Simulation, Step};
use super::*;
use crate::id::TicketId;
use crate::ticket::Ticket;

const SERVICE: &str = "despacho";

fn member(vm: usize, centre: &str) -> HomeMember {
    HomeMember {
        holder: Holder::new(format!("vm-{vm}"), 1),
        data_centre: centre.into(),
        eligibility: Eligibility::Eligible,
    }
}

fn wall() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_hours(1)
}

fn claim(key: &str, id: TicketId, replaces: Option<TicketId>) -> Claim {
    Claim {
        service: SERVICE.into(),
        key: key.into(),
        ticket: Ticket {
            vm: "vm-9".into(),
            incarnation: 1,
            id,
            expires_ms: unix_ms(wall() + TICKET_LIFETIME),
        },
        replaces,
        extra_attempts: 1,
    }
}

/// Nodes that reach each other and the platform without delay.
struct Fleet {
    now: Instant,
    nodes: Vec<HomeNode>,
    stored_map: Option<HomeMap>,
    replies: Vec<ClaimReply>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let members: Vec<HomeMember> = (0..count).map(|vm| member(vm, "madrid")).collect();
        let node = |member: &HomeMember| {
            HomeNode::new(
                member.holder.clone(),
                HomeLimits {
                    slot_entries: 9_000,
                },
                1,
            )
        };
        let mut fleet = Self {
            now: Instant::now(),
            nodes: members.iter().map(node).collect(),
            stored_map: None,
            replies: Vec::new(),
        };
        fleet.set_members(&members);
        fleet
    }

    fn set_members(&mut self, members: &[HomeMember]) {
        for node in 0..self.nodes.len() {
            self.handle(node, Event::Members(members.to_vec()));
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let actions = self.nodes[node].handle(self.now, event);
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    let from = self.nodes[node].me.clone();
                    if let Some(to) = self.nodes.iter().position(|node| node.me == to) {
                        self.handle(to, Event::Message(from, message));
                    }
                }
                Action::Swap {
                    sequence,
                    expected,
                    map,
                } => {
                    let revision = self.stored_map.as_ref().map_or(0, |map| map.revision);
                    let outcome = if revision == expected {
                        self.stored_map = Some(map.with_revision(revision + 1));
                        SwapOutcome::Done(revision + 1)
                    } else {
                        SwapOutcome::Conflict
                    };
                    self.handle(node, Event::SwapResult(sequence, outcome));
                }
                Action::ReadMap => {
                    let event = self.stored_map.clone().map_or(Event::NoMap, Event::Map);
                    self.handle(node, event);
                }
                Action::Reply(_, reply) => self.replies.push(reply),
            }
        }
    }

    fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now += Duration::from_millis(200);
            for node in 0..self.nodes.len() {
                self.handle(node, Event::Tick);
                if let Some(map) = self.stored_map.clone() {
                    self.handle(node, Event::Map(map));
                }
            }
        }
    }

    fn owner(&self, key: &str) -> usize {
        let slot = slot_of(SERVICE, key);
        let owner = self
            .nodes
            .iter()
            .position(|node| node.serves(self.now, slot));
        owner.expect("the slot is served")
    }

    fn claim(&mut self, claim: Claim) -> ClaimReply {
        let owner = self.owner(&claim.key);
        self.handle(owner, Event::Claim(1, claim, wall()));
        self.replies.pop().expect("the owner replies at once")
    }
}

/// Guards against a first map that gives some members more slots than others, or that loses a slot
/// with a data centre because both of its holders are there.
#[rstest]
#[case(&[1])]
#[case(&[3])]
#[case(&[5, 5, 5])]
#[case(&[40, 50, 60, 70])]
fn initial_map_spreads_slots(#[case] centres: &[usize]) {
    let centre_of = |at: usize| format!("centre-{at}");
    let members: Vec<HomeMember> = centres
        .iter()
        .enumerate()
        .flat_map(|(at, count)| (0..*count).map(move |vm| member(at * 100 + vm, &centre_of(at))))
        .collect();
    let map = HomeMap::initial(&members).expect("there are members");
    assert!(map.is_complete());
    let centre = |holder: &Holder| {
        let found = members.iter().find(|member| member.holder == *holder);
        Arc::clone(&found.expect("a member").data_centre)
    };
    let mut owned: HashMap<&Holder, usize> = HashMap::new();
    for slot in &map.slots {
        *owned.entry(&slot.owner).or_default() += 1;
        let Some(successor) = &slot.successor else {
            assert_eq!(members.len(), 1);
            continue;
        };
        assert_ne!(slot.owner, *successor);
        assert_eq!(centres.len() > 1, centre(&slot.owner) != centre(successor));
    }
    let most = owned.values().max().copied().unwrap_or_default();
    assert!(most <= SLOT_COUNT.div_ceil(centres.len()).div_ceil(centres[0]));
}

/// Guards against a map created by two members, or before the members know each other.
#[test]
fn first_member_creates_the_map() {
    let mut fleet = Fleet::new(3);
    fleet.run(10);
    assert_eq!(fleet.stored_map, None);
    fleet.run(40);
    let stats: Vec<HomeStats> = fleet.nodes.iter().map(HomeNode::stats).collect();
    assert_eq!(
        stats.iter().map(|stats| stats.owned).sum::<usize>(),
        SLOT_COUNT
    );
    assert_eq!(
        stats
            .iter()
            .map(|stats| stats.swaps_sent)
            .collect::<Vec<_>>(),
        [1, 0, 0]
    );
}

/// Guards against a key whose ticket changes, and against an unlimited number of replacements.
#[test]
fn key_keeps_its_ticket() {
    let mut fleet = Fleet::new(2);
    fleet.run(60);
    let ticket = |id| claim("k", id, None).ticket;
    assert_eq!(
        fleet.claim(claim("k", 1, None)),
        ClaimReply::Stored(ticket(1))
    );
    assert_eq!(
        fleet.claim(claim("k", 2, None)),
        ClaimReply::Found(ticket(1))
    );
    assert_eq!(
        fleet.claim(claim("k", 3, Some(9))),
        ClaimReply::Found(ticket(1))
    );
    assert_eq!(
        fleet.claim(claim("k", 4, Some(1))),
        ClaimReply::Stored(ticket(4))
    );
    // The one replacement that the rule allows is used up.
    assert_eq!(
        fleet.claim(claim("k", 5, Some(4))),
        ClaimReply::Found(ticket(4))
    );
    assert_eq!(
        fleet.claim(claim("k", 6, Some(1))),
        ClaimReply::Found(ticket(4))
    );
}

/// Guards against a table that is copied only in part, and against more entries than the limit.
#[test]
fn large_table_survives_its_owner() {
    let mut fleet = Fleet::new(3);
    fleet.run(60);
    let keys: Vec<String> = (0..)
        .map(|number| format!("k-{number}"))
        .filter(|key| slot_of(SERVICE, key) == 5)
        .take(9_001)
        .collect();
    for (id, key) in keys.iter().take(9_000).enumerate() {
        fleet.claim(claim(key, id as TicketId, None));
    }
    let full = fleet.claim(claim(&keys[9_000], 1, None));
    assert!(matches!(full, ClaimReply::Unavailable(_)));
    // The table is copied to a new successor, which then takes over.
    for _ in 0..2 {
        let slot = &fleet.stored_map.as_ref().expect("created").slots[5];
        let old_successor = slot.successor.clone().expect("two members");
        let members: Vec<HomeMember> = (0..3).map(|vm| member(vm, "madrid")).collect();
        let updated = members.into_iter().map(|mut member| {
            if member.holder == old_successor {
                member.eligibility = Eligibility::Draining;
            }
            member
        });
        fleet.set_members(&updated.collect::<Vec<_>>());
        fleet.run(60);
    }
    let owner = fleet.owner(&keys[0]);
    fleet.nodes.remove(owner);
    fleet.run(60);
    assert_ne!(fleet.nodes[fleet.owner(&keys[0])].stats().entries, 0);
    for (id, key) in keys.iter().take(9_000).enumerate() {
        let found = ClaimReply::Found(claim(key, id as TicketId, None).ticket);
        assert_eq!(fleet.claim(claim(key, 99_999, None)), found);
    }
}

/// Guards against a duplicated store message that restores a replaced ticket.
#[test]
fn late_store_does_not_revert_an_entry() {
    let now = Instant::now();
    let mut table = KeyTable::default();
    for (version, id) in [(0, 1), (1, 2), (0, 1)] {
        let entry = KeyEntry {
            key: "k".into(),
            ticket: claim("k", id, None).ticket,
            version,
        };
        table.store(now, entry, true);
    }
    assert_eq!(table.get("k").map(|entry| entry.ticket.id), Some(2));
}

/// Guards against a late swap outcome that is taken for the outcome of a later request, which
/// writes another value.
#[test]
fn late_swap_outcome_causes_a_map_read() {
    let me = member(0, "madrid");
    let mut node = HomeNode::new(me.holder.clone(), HomeLimits::default(), 1);
    let mut now = Instant::now();
    let _: Vec<Action> = node.handle(now, Event::Members(vec![me]));
    let _: Vec<Action> = node.handle(now, Event::NoMap);
    let mut swaps = Vec::new();
    for _ in 0..50 {
        now += Duration::from_millis(200);
        let actions = node.handle(now, Event::Tick);
        swaps.extend(actions.into_iter().filter_map(|action| match action {
            Action::Swap { sequence, .. } => Some(sequence),
            _ => None,
        }));
    }
    assert!(swaps.len() > 1, "a request without an outcome is retried");
    let actions = node.handle(now, Event::SwapResult(swaps[0], SwapOutcome::Done(1)));
    assert_eq!((actions, node.map()), (vec![Action::ReadMap], None));
}

/// Guards against an operator's confirmation that is applied to later holders, which are running.
/// It arrived when the daemon knew no map yet. In a long run with seed 8, an owner without a
/// successor and a new owner then served the same slot.
#[test]
fn confirmation_applies_to_its_epoch_only() {
    let mut fleet = Fleet::new(2);
    fleet.run(60);
    let members = [0, 1, 2].map(|vm| member(vm, "madrid"));
    let mut newcomer = HomeNode::new(members[2].holder.clone(), HomeLimits::default(), 2);
    let mut map = fleet.stored_map.clone().expect("created");
    let now = fleet.now;
    let swaps = |node: &mut HomeNode, event: Event| {
        let mut actions = node.handle(now, event);
        actions.extend(node.handle(now, Event::Tick));
        let swap = |action: &Action| matches!(action, Action::Swap { .. });
        actions.iter().filter(|action| swap(action)).count()
    };
    assert_eq!(swaps(&mut newcomer, Event::Members(members.to_vec())), 0);
    assert_eq!(swaps(&mut newcomer, Event::Reassign(0, 1)), 0);
    map.slots[0].epoch = 2;
    assert_eq!(swaps(&mut newcomer, Event::Map(map)), 0);
    assert_eq!(swaps(&mut newcomer, Event::Reassign(0, 2)), 1);
}

/// Guards against a successor that grants or stores for another owner or epoch.
#[rstest]
#[case::of_the_owner(0, 0, true)]
#[case::of_another_process(1, 0, false)]
#[case::of_another_epoch(0, 1, false)]
fn only_the_owner_gets_a_grant(#[case] other: u64, #[case] later: u64, #[case] granted: bool) {
    let mut fleet = Fleet::new(2);
    fleet.run(60);
    let slot = fleet.stored_map.as_ref().expect("created").slots[0].clone();
    let successor = slot.successor.expect("two members");
    let at = fleet.nodes.iter().position(|node| node.me == successor);
    let from = Holder::new(slot.owner.vm, slot.owner.incarnation + other);
    for body in [MessageBody::Grant, MessageBody::Store(Vec::new(), None)] {
        let message = Message {
            slot: 0,
            epoch: slot.epoch + later,
            revision: 1,
            sequence: 1,
            body,
        };
        let node = &mut fleet.nodes[at.expect("a member")];
        let actions = node.handle(fleet.now, Event::Message(from.clone(), message));
        let [Action::Send(_, reply)] = &*actions else {
            panic!("one reply: {actions:?}");
        };
        let expected = [
            MessageBody::GrantReply(granted),
            MessageBody::StoreReply(granted),
        ];
        assert!(expected.contains(&reply.body), "{reply:?}");
    }
}

/// Guards against a single first daemon that never gets a successor, and against a drain that does
/// not end.
#[test]
fn lone_owner_gets_a_successor_and_drains() {
    let mut fleet = Fleet::new(1);
    fleet.run(60);
    assert_eq!(
        fleet.claim(claim("k", 1, None)),
        ClaimReply::Stored(claim("k", 1, None).ticket)
    );
    let second = member(1, "madrid");
    fleet.nodes.push(HomeNode::new(
        second.holder.clone(),
        HomeLimits::default(),
        2,
    ));
    let mut members = vec![member(0, "madrid"), second];
    fleet.set_members(&members);
    fleet.run(60);
    members[0].eligibility = Eligibility::Draining;
    fleet.set_members(&members);
    fleet.handle(0, Event::Drain);
    fleet.run(60);
    assert!(fleet.nodes[0].holds_no_slots());
    assert_eq!(
        fleet.claim(claim("k", 2, None)),
        ClaimReply::Found(claim("k", 1, None).ticket)
    );
}

/// Guards against a first daemon that keeps all slots when the fleet grows.
#[test]
fn slots_spread_over_a_growing_fleet() {
    let mut fleet = Fleet::new(1);
    fleet.run(60);
    let keys: Vec<String> = (0..200).map(|number| format!("k-{number}")).collect();
    for key in &keys {
        fleet.claim(claim(key, 1, None));
    }
    let members: Vec<HomeMember> = (0..16).map(|vm| member(vm, "madrid")).collect();
    for member in &members[1..] {
        fleet.nodes.push(HomeNode::new(
            member.holder.clone(),
            HomeLimits::default(),
            2,
        ));
    }
    fleet.set_members(&members);
    fleet.run(20);
    let succeeded = fleet.nodes.iter().map(|node| node.stats().succeeded).max();
    assert_eq!(
        succeeded,
        Some(SLOT_COUNT.div_ceil(15)),
        "one swap spreads the slots over the members"
    );
    fleet.run(5 * 64 * 10);
    let held = |node: &HomeNode| node.stats().owned + node.stats().succeeded;
    let most = fleet.nodes.iter().map(held).max();
    assert!(most <= Some(2 * 2 * SLOT_COUNT / 16), "{most:?}");
    for key in &keys {
        assert_eq!(
            fleet.claim(claim(key, 2, None)),
            ClaimReply::Found(claim(key, 1, None).ticket)
        );
    }
}

/// Guards against a second run by a resend that was sent in time but is claimed after the entry of
/// its key has expired, because the network and the entry daemon delayed it.
#[rstest]
#[case::checked(Safeguards::default(), None)]
#[case::unchecked(Safeguards::without(Safeguard::ClaimAge), Some("second run"))]
fn delayed_claim_does_not_run_again(
    #[case] safeguards: Safeguards,
    #[case] violation: Option<&str>,
) {
    let send = |entry| Step::Send {
        key: 0,
        entry,
        target: 3,
    };
    let steps = [
        Step::Run(8_000),
        send(2),
        Step::Run(890_000),
        Step::Delay(MessageKind::Claim, 180_000),
        send(0),
        Step::Pause(ProcessRef::Vm(0), 240_000),
        Step::Run(250_000),
    ];
    let mut simulation = Simulation::new(&Setup::plain(), safeguards);
    let outcome = steps.iter().try_for_each(|step| simulation.apply(step));
    assert_eq!(outcome.err().as_deref(), violation);
}

/// Returns the violations for pauses of the owner that end around the time of a takeover.
fn takeover_violations(safeguards: Safeguards) -> Vec<String> {
    let pauses = (4_000..7_000).step_by(100);
    let play = |ms| {
        let steps = [
            Step::Run(8_000),
            Step::Delay(MessageKind::Swap, 2_500),
            Step::Pause(ProcessRef::Owner, ms),
            Step::Run(14_000),
        ];
        let mut simulation = Simulation::new(&Setup::plain(), safeguards);
        steps.iter().try_for_each(|step| simulation.apply(step))
    };
    pauses.filter_map(|ms| play(ms).err()).collect()
}

/// Guards against a successor that grants again while its takeover request is in flight.
#[test]
fn late_takeover_does_not_make_two_owners() {
    assert_eq!(
        takeover_violations(Safeguards::default()),
        Vec::<String>::new()
    );
    let found = takeover_violations(Safeguards::without(Safeguard::PendingTakeover));
    assert!(
        found
            .iter()
            .any(|violation| violation == "two processes serve a slot")
    );
}

/// Returns the violations for handovers whose owner does not learn that they took effect.
fn handover_violations(safeguards: Safeguards) -> Vec<String> {
    let play = |seed| {
        let setup = Setup {
            seed,
            ..Setup::plain()
        };
        let mut simulation = Simulation::new(&setup, safeguards);
        simulation.run(8_000)?;
        // VM 1 owns slot 0.
        let cut = vec![Step::CutPlatform(ProcessRef::Vm(1))];
        simulation.schedule_faults(MessageKind::Swap, Moment::AfterEffect, cut);
        simulation.apply(&Step::Lose(MessageKind::SwapReply))?;
        simulation.apply(&Step::Drain(ProcessRef::Owner))?;
        simulation.run(6_000)
    };
    (0..100).filter_map(|seed| play(seed).err()).collect()
}

/// Guards against an owner that continues to serve a slot after the successor may have got it.
#[test]
fn unconfirmed_handover_does_not_make_two_owners() {
    assert_eq!(
        handover_violations(Safeguards::default()),
        Vec::<String>::new()
    );
    let found = handover_violations(Safeguards::without(Safeguard::HandOverStop));
    assert!(
        found
            .iter()
            .any(|violation| violation == "two processes serve a slot")
    );
}
