use rstest::rstest;

use super::world::{Leg, Moment, Process, Setup, Step, World};
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

/// Homes that reach each other and the platform without delay.
struct Fleet {
    now: Instant,
    homes: Vec<HomeNode>,
    stored: Option<HomeMap>,
    replies: Vec<ClaimReply>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let members: Vec<HomeMember> = (0..count).map(|vm| member(vm, "madrid")).collect();
        let home = |member: &HomeMember| {
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
            homes: members.iter().map(home).collect(),
            stored: None,
            replies: Vec::new(),
        };
        fleet.tell(&members);
        fleet
    }

    fn tell(&mut self, members: &[HomeMember]) {
        for home in 0..self.homes.len() {
            self.handle(home, Event::Members(members.to_vec()));
        }
    }

    fn handle(&mut self, home: usize, event: Event) {
        let actions = self.homes[home].handle(self.now, event);
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    let from = self.homes[home].me.clone();
                    if let Some(to) = self.homes.iter().position(|home| home.me == to) {
                        self.handle(to, Event::Message(from, message));
                    }
                }
                Action::Swap {
                    sequence,
                    expected,
                    map,
                } => {
                    let revision = self.stored.as_ref().map_or(0, |map| map.revision);
                    let outcome = if revision == expected {
                        self.stored = Some(map.with_revision(revision + 1));
                        SwapOutcome::Done(revision + 1)
                    } else {
                        SwapOutcome::Conflict
                    };
                    self.handle(home, Event::SwapResult(sequence, outcome));
                }
                Action::ReadMap => {
                    let event = self.stored.clone().map_or(Event::NoMap, Event::Map);
                    self.handle(home, event);
                }
                Action::Reply(_, reply) => self.replies.push(reply),
            }
        }
    }

    fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now += Duration::from_millis(200);
            for home in 0..self.homes.len() {
                self.handle(home, Event::Tick);
                if let Some(map) = self.stored.clone() {
                    self.handle(home, Event::Map(map));
                }
            }
        }
    }

    fn owner(&self, key: &str) -> usize {
        let slot = slot_of(SERVICE, key);
        let owner = self
            .homes
            .iter()
            .position(|home| home.serves(self.now, slot));
        owner.expect("the slot is served")
    }

    fn claim(&mut self, claim: Claim) -> ClaimReply {
        let owner = self.owner(&claim.key);
        self.handle(owner, Event::Claim(1, claim, wall()));
        self.replies.pop().expect("answered at once")
    }
}

/// Guards against an assignment that loads some members more or loses a slot with a data centre.
#[rstest]
#[case(&[1])]
#[case(&[3])]
#[case(&[5, 5, 5])]
#[case(&[40, 50, 60, 70])]
fn initial_map_is_spread(#[case] centres: &[usize]) {
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

/// Guards against a first map by two members, or before the members know each other.
#[test]
fn first_member_creates_the_map() {
    let mut fleet = Fleet::new(3);
    fleet.run(10);
    assert_eq!(fleet.stored, None);
    fleet.run(40);
    let stats: Vec<HomeStats> = fleet.homes.iter().map(HomeNode::stats).collect();
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

/// Guards against a key that loses its ticket, and against replacements without end.
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
    // The one replacement that the rule allows is spent.
    assert_eq!(
        fleet.claim(claim("k", 5, Some(4))),
        ClaimReply::Found(ticket(4))
    );
    assert_eq!(
        fleet.claim(claim("k", 6, Some(1))),
        ClaimReply::Found(ticket(4))
    );
}

/// Guards against a table that is copied in part, and against more entries than the bound.
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
    // First the copy to a new successor, then its takeover.
    for _ in 0..2 {
        let slot = &fleet.stored.as_ref().expect("created").slots[5];
        let gone = slot.successor.clone().expect("two members");
        let members: Vec<HomeMember> = (0..3).map(|vm| member(vm, "madrid")).collect();
        let left = members.into_iter().map(|mut member| {
            if member.holder == gone {
                member.eligibility = Eligibility::Draining;
            }
            member
        });
        fleet.tell(&left.collect::<Vec<_>>());
        fleet.run(60);
    }
    let owner = fleet.owner(&keys[0]);
    fleet.homes.remove(owner);
    fleet.run(60);
    assert_ne!(fleet.homes[fleet.owner(&keys[0])].stats().entries, 0);
    for (id, key) in keys.iter().take(9_000).enumerate() {
        let found = ClaimReply::Found(claim(key, id as TicketId, None).ticket);
        assert_eq!(fleet.claim(claim(key, 99_999, None)), found);
    }
}

/// Guards against a repeated message that brings a replaced ticket back.
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

/// Guards against a late outcome that is taken for that of a later request with another value.
#[test]
fn outcome_of_an_earlier_request_is_read_back() {
    let me = member(0, "madrid");
    let mut home = HomeNode::new(me.holder.clone(), HomeLimits::default(), 1);
    let mut now = Instant::now();
    let _: Vec<Action> = home.handle(now, Event::Members(vec![me]));
    let _: Vec<Action> = home.handle(now, Event::NoMap);
    let mut swaps = Vec::new();
    for _ in 0..50 {
        now += Duration::from_millis(200);
        let actions = home.handle(now, Event::Tick);
        swaps.extend(actions.into_iter().filter_map(|action| match action {
            Action::Swap { sequence, .. } => Some(sequence),
            _ => None,
        }));
    }
    assert!(swaps.len() > 1, "a request without an outcome is repeated");
    let actions = home.handle(now, Event::SwapResult(swaps[0], SwapOutcome::Done(1)));
    assert_eq!((actions, home.map()), (vec![Action::ReadMap], None));
}

/// Guards against an operator's confirmation that is applied to later holders, which work. It came
/// when the daemon knew no map (long run, seed 8: an owner alone and a new one served one slot).
#[test]
fn confirmation_counts_for_its_epoch_only() {
    let mut fleet = Fleet::new(2);
    fleet.run(60);
    let members = [0, 1, 2].map(|vm| member(vm, "madrid"));
    let mut late = HomeNode::new(members[2].holder.clone(), HomeLimits::default(), 2);
    let mut map = fleet.stored.clone().expect("created");
    let now = fleet.now;
    let swaps = |late: &mut HomeNode, event: Event| {
        let mut actions = late.handle(now, event);
        actions.extend(late.handle(now, Event::Tick));
        let swap = |action: &Action| matches!(action, Action::Swap { .. });
        actions.iter().filter(|action| swap(action)).count()
    };
    assert_eq!(swaps(&mut late, Event::Members(members.to_vec())), 0);
    assert_eq!(swaps(&mut late, Event::Reassign(0, 1)), 0);
    map.slots[0].epoch = 2;
    assert_eq!(swaps(&mut late, Event::Map(map)), 0);
    assert_eq!(swaps(&mut late, Event::Reassign(0, 2)), 1);
}

/// Guards against a successor that grants or stores for an earlier owner or epoch.
#[rstest]
#[case::of_the_owner(0, 0, true)]
#[case::of_another_process(1, 0, false)]
#[case::of_another_epoch(0, 1, false)]
fn only_the_owner_gets_a_grant(#[case] other: u64, #[case] later: u64, #[case] granted: bool) {
    let mut fleet = Fleet::new(2);
    fleet.run(60);
    let slot = fleet.stored.as_ref().expect("created").slots[0].clone();
    let successor = slot.successor.expect("two members");
    let at = fleet.homes.iter().position(|home| home.me == successor);
    let from = Holder::new(slot.owner.vm, slot.owner.incarnation + other);
    for body in [MessageBody::Grant, MessageBody::Store(Vec::new(), None)] {
        let message = Message {
            slot: 0,
            epoch: slot.epoch + later,
            revision: 1,
            sequence: 1,
            body,
        };
        let home = &mut fleet.homes[at.expect("a member")];
        let actions = home.handle(fleet.now, Event::Message(from.clone(), message));
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

/// Guards against a lone first daemon that never gets a successor, and against a drain that never
/// ends.
#[test]
fn lone_owner_gets_a_successor_and_drains() {
    let mut fleet = Fleet::new(1);
    fleet.run(60);
    assert_eq!(
        fleet.claim(claim("k", 1, None)),
        ClaimReply::Stored(claim("k", 1, None).ticket)
    );
    let second = member(1, "madrid");
    fleet.homes.push(HomeNode::new(
        second.holder.clone(),
        HomeLimits::default(),
        2,
    ));
    let mut members = vec![member(0, "madrid"), second];
    fleet.tell(&members);
    fleet.run(60);
    members[0].eligibility = Eligibility::Draining;
    fleet.tell(&members);
    fleet.handle(0, Event::Drain);
    fleet.run(60);
    assert!(fleet.homes[0].holds_no_slots());
    assert_eq!(
        fleet.claim(claim("k", 2, None)),
        ClaimReply::Found(claim("k", 1, None).ticket)
    );
}

/// Guards against a first daemon that holds all slots of a fleet that grows later.
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
        fleet.homes.push(HomeNode::new(
            member.holder.clone(),
            HomeLimits::default(),
            2,
        ));
    }
    fleet.tell(&members);
    fleet.run(20);
    let succeeded = fleet.homes.iter().map(|home| home.stats().succeeded).max();
    assert_eq!(
        succeeded,
        Some(SLOT_COUNT.div_ceil(15)),
        "one change spreads over the members"
    );
    fleet.run(5 * 64 * 10);
    let held = |home: &HomeNode| home.stats().owned + home.stats().succeeded;
    let most = fleet.homes.iter().map(held).max();
    assert!(most <= Some(2 * 2 * SLOT_COUNT / 16), "{most:?}");
    for key in &keys {
        assert_eq!(
            fleet.claim(claim(key, 2, None)),
            ClaimReply::Found(claim(key, 1, None).ticket)
        );
    }
}

/// Guards against a second run by a resend that was sent in time, and reaches the home after the
/// entry of its key was dropped, because the network and the entry daemon held it up.
#[rstest]
#[case::checked(Switch::default(), None)]
#[case::unchecked(Switch::without(Mechanism::ClaimAge), Some("second run"))]
fn claim_that_was_held_up(#[case] switch: Switch, #[case] objection: Option<&str>) {
    let send = |entry| Step::Send {
        key: 0,
        entry,
        target: 3,
    };
    let steps = [
        Step::Run(8_000),
        send(2),
        Step::Run(890_000),
        Step::Delay(Leg::Claim, 180_000),
        send(0),
        Step::Pause(Process::Vm(0), 240_000),
        Step::Run(250_000),
    ];
    let mut world = World::new(&Setup::plain(), switch);
    let outcome = steps.iter().try_for_each(|step| world.apply(step));
    assert_eq!(outcome.err().as_deref(), objection);
}

/// Objections of the oracle over pauses of the owner that end around a takeover.
fn late_takeovers(switch: Switch) -> Vec<String> {
    let pauses = (4_000..7_000).step_by(100);
    let play = |ms| {
        let steps = [
            Step::Run(8_000),
            Step::Delay(Leg::Swap, 2_500),
            Step::Pause(Process::Owner, ms),
            Step::Run(14_000),
        ];
        let mut world = World::new(&Setup::plain(), switch);
        steps.iter().try_for_each(|step| world.apply(step))
    };
    pauses.filter_map(|ms| play(ms).err()).collect()
}

/// Guards against a successor that grants again while its takeover request is on its way.
#[test]
fn takeover_that_takes_effect_late() {
    assert_eq!(late_takeovers(Switch::default()), Vec::<String>::new());
    let found = late_takeovers(Switch::without(Mechanism::TakeoverDoubt));
    assert!(
        found
            .iter()
            .any(|objection| objection == "two processes serve a slot")
    );
}

/// Objections of the oracle over hand-overs whose owner cannot hear that they took effect.
fn deaf_hand_overs(switch: Switch) -> Vec<String> {
    let play = |seed| {
        let setup = Setup {
            seed,
            ..Setup::plain()
        };
        let mut world = World::new(&setup, switch);
        world.run(8_000)?;
        // VM 1 owns slot 0.
        let cut = vec![Step::CutPlatform(Process::Vm(1))];
        world.trigger(Leg::Swap, Moment::AfterEffect, cut);
        world.apply(&Step::Lose(Leg::SwapReply))?;
        world.apply(&Step::Drain(Process::Owner))?;
        world.run(6_000)
    };
    (0..100).filter_map(|seed| play(seed).err()).collect()
}

/// Guards against an owner that serves on while the successor may have taken the slot.
#[test]
fn hand_over_that_the_owner_does_not_hear_of() {
    assert_eq!(deaf_hand_overs(Switch::default()), Vec::<String>::new());
    let found = deaf_hand_overs(Switch::without(Mechanism::HandOverStop));
    assert!(
        found
            .iter()
            .any(|objection| objection == "two processes serve a slot")
    );
}
