use rstest::rstest;

use super::*;

const STEP: Duration = TICK_INTERVAL;
const HOME: &str = "madrid";
const AWAY: &str = "chia";

fn record(name: &str, data_centre: &str, order: (Incarnation, u32, State)) -> Arc<Member> {
    let last = xxhash_rust::xxh3::xxh3_64(name.as_bytes()).to_be_bytes();
    let address = |port| SocketAddr::from(([10, last[0], last[1], last[2]], port));
    Arc::new(Member {
        vm: name.into(),
        incarnation: order.0,
        version: order.1,
        state: order.2,
        data_centre: data_centre.into(),
        call_address: address(7000),
        gossip_address: address(7001),
        service: None,
        slots: 0,
        cold: false,
        unreachable: Vec::new(),
    })
}

fn alive(name: &str, data_centre: &str) -> Arc<Member> {
    record(name, data_centre, (5, 1, State::Alive))
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("vm-{index}")).collect()
}

/// Daemon `own` of [`HOME`] that has joined and knows `others`.
fn joined(now: Instant, others: &[Arc<Member>]) -> Membership {
    let own = Member::clone(&alive("own", HOME));
    let mut membership = Membership::new(now, own, 1);
    let contact = SocketAddr::from(([10, 9, 9, 9], 7000));
    membership.set_contacts(now, vec![contact]);
    let _ = membership.tick(now);
    let reply = SyncReply {
        members: others.to_vec(),
        ..SyncReply::default()
    };
    let _ = membership.handle_sync_reply(now, contact, &reply);
    membership
}

fn message(sender: &Arc<Member>, body: Body, updates: &[Arc<Member>]) -> Message {
    let mut all = vec![Arc::clone(sender)];
    all.extend(updates.iter().map(Arc::clone));
    Message {
        from: VmId::clone(&sender.vm),
        incarnation: sender.incarnation,
        sequence: 77,
        body,
        updates: all,
        rules: 0,
        homes: 0,
        digest: 0,
    }
}

fn sent(actions: &[Action]) -> Vec<(SocketAddr, &Message)> {
    let mut sent = Vec::new();
    for action in actions {
        if let Action::Send { to, message } = action {
            sent.push((*to, message));
        }
    }
    sent
}

fn state(membership: &Membership, vm: &str) -> Option<State> {
    membership.member(vm).map(|view| view.member.state)
}

/// Ticks until `to`, and lets `answering` members answer all probes of them.
fn run(membership: &mut Membership, from: Instant, to: Instant, answering: &[Arc<Member>]) {
    let mut now = from;
    while now < to {
        now += STEP;
        let actions = membership.tick(now);
        for (address, probe) in sent(&actions) {
            let target = answering.iter().find(|one| one.gossip_address == address);
            if let (Some(target), Body::Ping { .. }) = (target, &probe.body) {
                let vm = VmId::clone(&target.vm);
                let mut ack = message(target, Body::Ack { target: vm }, &[]);
                ack.sequence = probe.sequence;
                let _ = membership.receive(now, ack);
            }
        }
    }
}

/// Guards against an old process that displaces its replacement, against versions that are ignored
/// and against states that revert.
#[rstest]
#[case::older_incarnation((5, 1, State::Alive), (4, 9, State::Alive), false)]
#[case::older_death((5, 1, State::Alive), (4, 9, State::Dead), false)]
#[case::newer_incarnation((5, 9, State::Alive), (6, 0, State::Alive), true)]
#[case::replaced_after_leaving((5, 9, State::Left), (6, 0, State::Alive), true)]
#[case::replaced_after_death((5, 9, State::Dead), (6, 0, State::Suspect), true)]
#[case::higher_version((5, 1, State::Suspect), (5, 2, State::Alive), true)]
#[case::lower_version((5, 2, State::Alive), (5, 1, State::Dead), false)]
#[case::same_version_accuses((5, 1, State::Alive), (5, 1, State::Suspect), true)]
#[case::same_version_removes((5, 1, State::Suspect), (5, 1, State::Dead), true)]
#[case::same_version_does_not_clear((5, 1, State::Suspect), (5, 1, State::Alive), false)]
#[case::refuted_death((5, 1, State::Dead), (5, 2, State::Alive), true)]
#[case::repeated_before_death((5, 1, State::Dead), (5, 1, State::Alive), false)]
#[case::left_is_final((5, 1, State::Left), (5, 7, State::Alive), false)]
#[case::same((5, 1, State::Alive), (5, 1, State::Alive), false)]
fn newer_records_win(
    #[case] known: (Incarnation, u32, State),
    #[case] new: (Incarnation, u32, State),
    #[case] expected: bool,
) {
    let now = Instant::now();
    let mut peers: Vec<_> = names(9).iter().map(|name| alive(name, HOME)).collect();
    peers.push(record("subject", HOME, known));
    let mut membership = joined(now, &peers);
    let news = record("subject", HOME, new);
    let actions = membership.receive(now, message(&peers[0], Body::Push, &[news]));
    let after = membership.member("subject").expect("is known").member;
    let after = (after.incarnation, after.version, after.state);
    assert_eq!(after, if expected { new } else { known });
    let changed = actions
        .iter()
        .any(|action| matches!(action, Action::Changed { .. }));
    assert_eq!(changed, expected);
}

/// Guards against a data centre that brings back or removes members of another one.
#[rstest]
#[case::own_by_own(HOME, HOME, true)]
#[case::foreign_by_own(HOME, AWAY, true)]
#[case::foreign_by_itself(AWAY, AWAY, true)]
#[case::own_by_foreign(AWAY, HOME, false)]
#[case::foreign_by_third("facatativa", AWAY, false)]
fn only_the_own_data_centre_has_authority(
    #[case] sender: &str,
    #[case] subject: &str,
    #[case] expected: bool,
) {
    let now = Instant::now();
    let known = [alive("vm-0", HOME), alive("sender", sender)];
    let mut membership = joined(now, &known);
    let news = alive("subject", subject);
    let _ = membership.receive(now, message(&known[1], Body::Push, &[news]));
    assert_eq!(membership.member("subject").is_some(), expected);
}

/// Guards against a replaced process that is still answered.
#[test]
fn messages_of_an_old_process_are_ignored() {
    let now = Instant::now();
    let known = [
        record("vm-0", HOME, (6, 0, State::Alive)),
        alive("vm-1", HOME),
    ];
    let mut membership = joined(now, &known);
    let ping = Body::Ping {
        target: "own".into(),
        incarnation: 5,
    };
    let old = record("vm-0", HOME, (5, 9, State::Draining));
    let news = record("vm-1", HOME, (5, 2, State::Draining));
    let actions = membership.receive(now, message(&old, ping.clone(), &[news]));
    let answers = sent(&actions);
    assert!(answers.iter().all(|(_, one)| one.body == Body::Push));
    assert_eq!(state(&membership, "vm-1"), Some(State::Alive));
    assert_eq!(membership.counters().ignored_messages, 1);
    let current = membership.receive(now, message(&known[0], ping, &[]));
    assert!(matches!(sent(&current)[0].1.body, Body::Ack { .. }));
}

/// Guards against a process that goes on after its VM id has a newer process.
#[test]
fn replaced_process_is_told() {
    let now = Instant::now();
    let peer = alive("vm-0", HOME);
    let mut membership = joined(now, &[Arc::clone(&peer)]);
    let newer = record("own", HOME, (6, 0, State::Alive));
    let actions = membership.receive(now, message(&peer, Body::Push, &[newer]));
    assert!(actions.contains(&Action::Replaced { incarnation: 6 }));
    let older = record("own", HOME, (4, 0, State::Alive));
    let actions = membership.receive(now, message(&peer, Body::Push, &[older]));
    assert_eq!(actions, []);
}

/// Guards against a daemon that lets an accusation stand.
#[rstest]
#[case::suspect(State::Suspect)]
#[case::dead(State::Dead)]
fn accused_daemon_refutes(#[case] accusation: State) {
    let now = Instant::now();
    let peer = alive("vm-0", HOME);
    let mut membership = joined(now, &[Arc::clone(&peer)]);
    let accused = record("own", HOME, (5, 8, accusation));
    let _ = membership.receive(now, message(&peer, Body::Push, &[accused]));
    let own = membership.own();
    assert_eq!(
        (own.incarnation, own.version, own.state),
        (5, 9, State::Alive)
    );
    let actions = membership.tick(now + STEP);
    let updates = &sent(&actions)[0].1.updates;
    assert_eq!(updates[0].version, 9);
}

/// Guards against members that are not removed, and against a list that is emptied when the fault
/// is in the network or at this daemon.
#[rstest]
#[case::one_of_ten(9, 1, true)]
#[case::third(8, 3, true)]
#[case::more_than_a_third(8, 4, false)]
#[case::one_of_two(1, 1, false)]
#[case::all(9, 9, false)]
fn suspicion_limit_holds_removal(
    #[case] others: usize,
    #[case] dead: usize,
    #[case] removed: bool,
) {
    let start = Instant::now();
    let peers: Vec<_> = names(others).iter().map(|name| alive(name, HOME)).collect();
    let mut membership = joined(start, &peers);
    // All are suspected at once, so that the limit sees them together.
    let accusations: Vec<_> = peers[..dead]
        .iter()
        .map(|one| record(&one.vm, HOME, (5, 1, State::Suspect)))
        .collect();
    let witness = peers.last().expect("there is one");
    let _ = membership.receive(start, message(witness, Body::Push, &accusations));
    run(
        &mut membership,
        start,
        start + Duration::from_mins(1),
        &peers[dead..],
    );
    for peer in &peers[..dead] {
        let expected = if removed { State::Dead } else { State::Suspect };
        assert_eq!(state(&membership, &peer.vm), Some(expected));
    }
    for peer in &peers[dead..] {
        assert_eq!(state(&membership, &peer.vm), Some(State::Alive));
    }
}

/// Guards against a peer that empties this daemon's list with removals of its own.
#[test]
fn suspicion_limit_holds_removals_of_peers() {
    let now = Instant::now();
    let peers: Vec<_> = names(9).iter().map(|name| alive(name, HOME)).collect();
    let mut membership = joined(now, &peers);
    let removals: Vec<_> = peers[1..]
        .iter()
        .map(|one| record(&one.vm, HOME, (5, 1, State::Dead)))
        .collect();
    let _ = membership.receive(now, message(&peers[0], Body::Push, &removals));
    assert!(
        membership.live_count(HOME) * 3 >= 10 * 2,
        "{}",
        membership.live_count(HOME)
    );
}

/// Guards against an isolated daemon that removes the others one by one, slower than the limit
/// counts.
#[test]
fn isolated_daemon_removes_nobody() {
    let start = Instant::now();
    let peers: Vec<_> = names(100).iter().map(|name| alive(name, HOME)).collect();
    let mut membership = joined(start, &peers);
    run(&mut membership, start, start + Duration::from_mins(10), &[]);
    assert_eq!(membership.live_count(HOME), 101);
}

/// Guards against a daemon that blames others for its own pause.
#[test]
fn paused_daemon_suspects_nobody() {
    let start = Instant::now();
    let peers: Vec<_> = names(9).iter().map(|name| alive(name, HOME)).collect();
    let mut membership = joined(start, &peers);
    run(
        &mut membership,
        start,
        start + Duration::from_secs(2),
        &peers,
    );
    let accused = record("vm-3", HOME, (5, 1, State::Suspect));
    let paused = start + Duration::from_secs(2) + STEP;
    let _ = membership.receive(paused, message(&peers[0], Body::Push, &[accused]));
    let version = membership.own().version;
    let back = paused + Duration::from_secs(30);
    let _ = membership.tick(back);
    assert_eq!(state(&membership, "vm-3"), Some(State::Suspect));
    assert_eq!(membership.counters().suspected, 0);
    assert_eq!(membership.counters().pauses, 1);
    assert_eq!(membership.own().version, version + 1);
}

/// Guards against a drain that is forgotten while the draining member is suspected.
#[test]
fn draining_member_stays_draining_under_suspicion() {
    let start = Instant::now();
    let mut peers: Vec<_> = names(9).iter().map(|name| alive(name, HOME)).collect();
    let leaving = record("leaving", HOME, (5, 2, State::Draining));
    peers.push(Arc::clone(&leaving));
    let mut membership = joined(start, &peers);
    let accused = record("leaving", HOME, (5, 2, State::Suspect));
    let _ = membership.receive(start, message(&peers[0], Body::Push, &[accused]));
    let view = membership.member("leaving").expect("is known");
    assert_eq!((view.member.state, view.suspect), (State::Draining, true));
    run(
        &mut membership,
        start,
        start + Duration::from_secs(8),
        &peers[..9],
    );
    assert_eq!(state(&membership, "leaving"), Some(State::Dead));
}

/// Guards against updates that are sent for ever and against datagrams over the limit.
#[test]
fn transmissions_are_bounded() {
    let start = Instant::now();
    let peers: Vec<_> = names(100).iter().map(|name| alive(name, HOME)).collect();
    let mut membership = joined(start, &peers);
    let changed: Vec<_> = (0..40)
        .map(|index| record(&format!("vm-{index}"), HOME, (5, 2, State::Alive)))
        .collect();
    let _ = membership.receive(start, message(&peers[50], Body::Push, &changed));
    let mut transmissions = HashMap::new();
    for step in 1..3_000 {
        let now = start + STEP * step;
        let _ = membership.receive(now, message(&peers[60], Body::Push, &[]));
        let ping = Body::Ping {
            target: "own".into(),
            incarnation: 5,
        };
        let mut actions = membership.receive(now, message(&peers[60], ping, &[]));
        actions.extend(membership.tick(now));
        for (to, message) in sent(&actions) {
            if let Body::Ping { target, .. } = &message.body {
                let target = peers.iter().find(|one| one.vm == *target);
                let target = target.expect("only members are probed");
                assert_eq!(to, target.gossip_address);
                let body = Body::Ack {
                    target: VmId::clone(&target.vm),
                };
                let mut ack = self::message(target, body, &[]);
                ack.sequence = message.sequence;
                let _ = membership.receive(now, ack);
            }
            let bytes: usize = message.updates.iter().map(|one| one.wire_size()).sum();
            assert!(bytes + FRAMING <= MAX_DATAGRAM_BYTES);
            for update in message.updates.iter().filter(|one| one.version == 2) {
                *transmissions.entry(VmId::clone(&update.vm)).or_insert(0) += 1;
            }
        }
    }
    let changed = changed.iter().filter_map(|one| transmissions.get(&one.vm));
    let counts: Vec<u32> = changed.copied().collect();
    assert_eq!(counts.len(), 40);
    // Twice the binary logarithm of 101 members, rounded up.
    assert!(
        counts.iter().all(|count| (3..=14).contains(count)),
        "{counts:?}"
    );
}

/// Guards against more or fewer relays and contacts than planned, and against ones that leave.
#[test]
fn lowest_hashes_are_relays_and_contacts() {
    let now = Instant::now();
    let all: Vec<_> = names(20).iter().map(|name| alive(name, HOME)).collect();
    let mut relays = 0;
    let mut contacts = 0;
    let mut first_relay = None;
    for own in &all {
        let mut membership = Membership::new(now, Member::clone(own), 1);
        let contact = all[0].call_address;
        membership.set_contacts(now, vec![contact, all[1].call_address]);
        let asked = membership.tick(now);
        let Some(Action::Sync { to, .. }) = asked.first() else {
            panic!("a newcomer asks a contact");
        };
        let reply = SyncReply {
            members: all.clone(),
            ..SyncReply::default()
        };
        let _ = membership.handle_sync_reply(now, *to, &reply);
        let settled = now + SETTLE_JOINED.1;
        let _ = membership.tick(settled);
        relays += usize::from(membership.is_relay());
        contacts += usize::from(membership.is_contact(settled));
        if membership.is_relay() && first_relay.is_none() {
            first_relay = Some(membership);
        }
    }
    assert_eq!(
        (relays, contacts),
        (RELAYS_PER_DATA_CENTRE, CONTACTS_PER_DATA_CENTRE)
    );
    let mut relay = first_relay.expect("there are relays");
    let settled = now + SETTLE_JOINED.1 + STEP;
    relay.drain(settled);
    let _ = relay.tick(settled);
    assert!(!relay.is_relay() && !relay.is_contact(settled));
}

/// Guards against a member that left and comes back through an old record.
#[test]
fn members_that_left_are_remembered_and_then_forgotten() {
    let start = Instant::now();
    let mut peers: Vec<_> = names(3).iter().map(|name| alive(name, HOME)).collect();
    peers.push(record("gone", HOME, (5, 2, State::Left)));
    let mut membership = joined(start, &peers);
    let late = start + TOMBSTONE.saturating_sub(Duration::from_mins(1));
    let old = alive("gone", HOME);
    let _ = membership.receive(late, message(&peers[0], Body::Push, &[old]));
    assert_eq!(state(&membership, "gone"), Some(State::Left));
    run(
        &mut membership,
        late,
        start + TOMBSTONE + Duration::from_mins(1),
        &peers[..3],
    );
    assert_eq!(state(&membership, "gone"), None);
}

/// Guards against members of another data centre that stay for ever, and against their removal
/// without evidence from there.
#[rstest]
#[case::by_its_data_centre(AWAY, Some(State::Dead))]
#[case::by_another("facatativa", Some(State::Alive))]
fn absent_members_are_forgotten_by_their_own_data_centre(
    #[case] sender: &str,
    #[case] expected: Option<State>,
) {
    let start = Instant::now();
    let peer = alive("sender", sender);
    let known = [alive("vm-0", HOME), Arc::clone(&peer), alive("gone", AWAY)];
    let mut membership = joined(start, &known);
    let hour = start + Duration::from_hours(1);
    run(&mut membership, start, hour, &known[..1]);
    assert_eq!(state(&membership, "gone"), Some(State::Alive));
    let request = SyncRequest {
        members: vec![Arc::clone(&peer), alive("other", sender)],
    };
    let (reply, _) = membership.handle_sync_request(hour, &request);
    assert_eq!(state(&membership, "gone"), expected);
    assert!(reply.members.iter().all(|one| &*one.data_centre == HOME));
}

/// Guards against an unreachable data centre that is removed or not marked.
#[test]
fn silent_data_centre_is_kept_and_marked() {
    let start = Instant::now();
    let relay = alive("away-0", AWAY);
    let mut membership = joined(start, &[Arc::clone(&relay)]);
    let later = start + Duration::from_secs(20);
    run(&mut membership, start, later, &[]);
    assert!(membership.is_relay());
    let view = membership.member("away-0").expect("is kept");
    assert_eq!((view.member.state, view.unreachable), (State::Alive, true));
    let delta = Body::Delta {
        data_centre: AWAY.into(),
    };
    let _ = membership.receive(later, message(&relay, delta, &[]));
    run(&mut membership, later, later + STEP, &[]);
    assert!(!membership.member("away-0").expect("is kept").unreachable);
}

/// Guards against a direct probe that is lost and condemns its target.
#[test]
fn indirect_probe_saves_its_target() {
    let start = Instant::now();
    let peers: Vec<_> = names(4).iter().map(|name| alive(name, HOME)).collect();
    let mut membership = joined(start, &peers);
    let mut now = start;
    let mut asked = 0;
    while now < start + Duration::from_secs(30) {
        now += STEP;
        let actions = membership.tick(now);
        for (_, request) in sent(&actions) {
            if let Body::PingRequest { target, .. } = &request.body {
                asked += 1;
                let helper = peers.iter().find(|one| one.vm != *target);
                let body = Body::Ack {
                    target: VmId::clone(target),
                };
                let mut ack = message(helper.expect("there is one"), body, &[]);
                ack.sequence = request.sequence;
                let _ = membership.receive(now, ack);
            }
        }
    }
    assert!(asked > 30, "{asked}");
    assert_eq!(membership.counters().suspected, 0);
}

/// Guards against a helper that does not pass on the answer, or passes it with its own sequence.
#[test]
fn helper_passes_the_answer_on() {
    let now = Instant::now();
    let peers: Vec<_> = names(2).iter().map(|name| alive(name, HOME)).collect();
    let mut membership = joined(now, &peers);
    let body = Body::PingRequest {
        target: "vm-1".into(),
        address: peers[1].gossip_address,
    };
    let actions = membership.receive(now, message(&peers[0], body, &[]));
    let (to, probe) = sent(&actions)[0];
    assert_eq!(to, peers[1].gossip_address);
    let mut ack = message(
        &peers[1],
        Body::Ack {
            target: "vm-1".into(),
        },
        &[],
    );
    ack.sequence = probe.sequence;
    let actions = membership.receive(now, ack);
    let (to, answer) = sent(&actions)[0];
    assert_eq!((to, answer.sequence), (peers[0].gossip_address, 77));
    assert_eq!(
        answer.body,
        Body::Ack {
            target: "vm-1".into()
        }
    );
}

/// Guards against a daemon that was paused for long and waits for ever for peers that are gone, or
/// brings back those that it remembers.
#[rstest]
#[case::through_a_peer(true)]
#[case::through_a_contact(false)]
fn outdated_table_is_replaced(#[case] peer_lives: bool) {
    let start = Instant::now();
    let known = [alive("old", HOME), alive("gone", HOME)];
    let mut membership = joined(start, &known);
    let mut now = start + REJOIN_AFTER * 2;
    let listing = [alive("new", HOME), alive("old", HOME)];
    let mut answered = false;
    for _ in 0..1_000 {
        now += STEP;
        for action in membership.tick(now) {
            let Action::Sync { to, .. } = action else {
                continue;
            };
            let contact = known.iter().all(|one| one.call_address != to);
            let lives = peer_lives && to == known[0].call_address;
            if lives || (contact && !peer_lives) {
                answered = true;
                let members = listing.to_vec();
                let reply = SyncReply {
                    members,
                    ..SyncReply::default()
                };
                let _ = membership.handle_sync_reply(now, to, &reply);
            } else {
                membership.handle_sync_failure(to);
            }
        }
        if answered {
            break;
        }
    }
    assert_eq!(state(&membership, "new"), Some(State::Alive));
    assert_eq!(state(&membership, "gone"), Some(State::Dead));
}

/// Guards against a daemon without peers that fetches whole tables for ever although it hears others,
/// and against one that hears nobody and does not look for contacts.
#[rstest]
#[case::hears_another_data_centre(true)]
#[case::hears_nobody(false)]
fn only_a_daemon_that_hears_nobody_asks_contacts(#[case] hears: bool) {
    let start = Instant::now();
    let relay = alive("away-0", AWAY);
    let mut membership = joined(start, &[Arc::clone(&relay)]);
    let before = membership.counters().syncs;
    let digest = membership.table.digest(AWAY);
    let mut listings = 0;
    for step in 1..6_000 {
        let now = start + STEP * step;
        if hears {
            let delta = Body::Delta {
                data_centre: AWAY.into(),
            };
            let mut message = message(&relay, delta, &[]);
            message.digest = digest;
            let _ = membership.receive(now, message);
        }
        let actions = membership.tick(now);
        listings += actions
            .iter()
            .filter(|one| **one == Action::ListContacts)
            .count();
    }
    let syncs = membership.counters().syncs - before;
    if hears {
        assert_eq!((syncs, listings), (0, 0));
    } else {
        // One sync in at most two minutes and one listing in twenty seconds, with jitter.
        assert!((4..20).contains(&syncs), "{syncs}");
        assert!((4..40).contains(&listings), "{listings}");
    }
}
