use rstest::rstest;

use super::*;

const STEP_INTERVAL: Duration = TICK_INTERVAL;
const LOCAL_DC: &str = "madrid";
const REMOTE_DC: &str = "chia";

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

/// Returns a daemon `own` of [`LOCAL_DC`] that has joined and knows `others`.
fn joined(now: Instant, others: &[Arc<Member>]) -> Membership {
    let own = Member::clone(&alive("own", LOCAL_DC));
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

fn sent_messages(actions: &[Action]) -> Vec<(SocketAddr, &Message)> {
    let mut sent = Vec::new();
    for action in actions {
        if let Action::Send { to, message } = action {
            sent.push((*to, message));
        }
    }
    sent
}

fn state_of(membership: &Membership, vm: &str) -> Option<State> {
    membership.member(vm).map(|view| view.member.state)
}

/// Ticks until `to`; the members in `responsive` acknowledge all their probes.
fn run(membership: &mut Membership, from: Instant, to: Instant, responsive: &[Arc<Member>]) {
    let mut now = from;
    while now < to {
        now += STEP_INTERVAL;
        let actions = membership.tick(now);
        for (address, probe) in sent_messages(&actions) {
            let target = responsive.iter().find(|one| one.gossip_address == address);
            if let (Some(target), Body::Ping { .. }) = (target, &probe.body) {
                let vm = VmId::clone(&target.vm);
                let mut ack = message(target, Body::Ack { target: vm }, &[]);
                ack.sequence = probe.sequence;
                let _ = membership.receive(now, ack);
            }
        }
    }
}

/// Guards against an old process that displaces its replacement, ignored versions and states that
/// revert.
#[rstest]
#[case::older_incarnation((5, 1, State::Alive), (4, 9, State::Alive), false)]
#[case::death_of_older_incarnation((5, 1, State::Alive), (4, 9, State::Dead), false)]
#[case::newer_incarnation((5, 9, State::Alive), (6, 0, State::Alive), true)]
#[case::replaced_after_leaving((5, 9, State::Left), (6, 0, State::Alive), true)]
#[case::replaced_after_death((5, 9, State::Dead), (6, 0, State::Suspect), true)]
#[case::higher_version((5, 1, State::Suspect), (5, 2, State::Alive), true)]
#[case::lower_version((5, 2, State::Alive), (5, 1, State::Dead), false)]
#[case::same_version_suspects((5, 1, State::Alive), (5, 1, State::Suspect), true)]
#[case::same_version_declares_dead((5, 1, State::Suspect), (5, 1, State::Dead), true)]
#[case::same_version_does_not_refute((5, 1, State::Suspect), (5, 1, State::Alive), false)]
#[case::refuted_death((5, 1, State::Dead), (5, 2, State::Alive), true)]
#[case::same_version_does_not_revive((5, 1, State::Dead), (5, 1, State::Alive), false)]
#[case::left_is_final((5, 1, State::Left), (5, 7, State::Alive), false)]
#[case::identical((5, 1, State::Alive), (5, 1, State::Alive), false)]
fn record_with_higher_order_replaces_the_known_one(
    #[case] known: (Incarnation, u32, State),
    #[case] new: (Incarnation, u32, State),
    #[case] expected: bool,
) {
    let now = Instant::now();
    let mut peers: Vec<_> = names(9).iter().map(|name| alive(name, LOCAL_DC)).collect();
    peers.push(record("subject", LOCAL_DC, known));
    let mut membership = joined(now, &peers);
    let update = record("subject", LOCAL_DC, new);
    let actions = membership.receive(now, message(&peers[0], Body::Push, &[update]));
    let after = membership
        .member("subject")
        .expect("member is known")
        .member;
    let after = (after.incarnation, after.version, after.state);
    assert_eq!(after, if expected { new } else { known });
    let changed = actions
        .iter()
        .any(|action| matches!(action, Action::Changed { .. }));
    assert_eq!(changed, expected);
}

/// Guards against a data centre that revives or removes members of another one.
#[rstest]
#[case::local_member_from_local_sender(LOCAL_DC, LOCAL_DC, true)]
#[case::remote_member_from_local_sender(LOCAL_DC, REMOTE_DC, true)]
#[case::remote_member_from_its_data_centre(REMOTE_DC, REMOTE_DC, true)]
#[case::local_member_from_remote_sender(REMOTE_DC, LOCAL_DC, false)]
#[case::remote_member_from_third_data_centre("facatativa", REMOTE_DC, false)]
fn records_from_unauthorised_data_centres_are_ignored(
    #[case] sender: &str,
    #[case] subject: &str,
    #[case] expected: bool,
) {
    let now = Instant::now();
    let known = [alive("vm-0", LOCAL_DC), alive("sender", sender)];
    let mut membership = joined(now, &known);
    let update = alive("subject", subject);
    let _ = membership.receive(now, message(&known[1], Body::Push, &[update]));
    assert_eq!(membership.member("subject").is_some(), expected);
}

/// Guards against updates accepted from a replaced process and against acknowledgements to it.
#[test]
fn messages_from_a_replaced_process_are_ignored() {
    let now = Instant::now();
    let known = [
        record("vm-0", LOCAL_DC, (6, 0, State::Alive)),
        alive("vm-1", LOCAL_DC),
    ];
    let mut membership = joined(now, &known);
    let ping = Body::Ping {
        target: "own".into(),
        incarnation: 5,
    };
    let old = record("vm-0", LOCAL_DC, (5, 9, State::Draining));
    let update = record("vm-1", LOCAL_DC, (5, 2, State::Draining));
    let actions = membership.receive(now, message(&old, ping.clone(), &[update]));
    let replies = sent_messages(&actions);
    assert!(replies.iter().all(|(_, one)| one.body == Body::Push));
    assert_eq!(state_of(&membership, "vm-1"), Some(State::Alive));
    assert_eq!(membership.counters().ignored_messages, 1);
    let current = membership.receive(now, message(&known[0], ping, &[]));
    assert!(matches!(
        sent_messages(&current)[0].1.body,
        Body::Ack { .. }
    ));
}

/// Guards against a process that keeps running although its VM has a newer one.
#[test]
fn replaced_process_must_exit() {
    let now = Instant::now();
    let peer = alive("vm-0", LOCAL_DC);
    let mut membership = joined(now, &[Arc::clone(&peer)]);
    let newer = record("own", LOCAL_DC, (6, 0, State::Alive));
    let actions = membership.receive(now, message(&peer, Body::Push, &[newer]));
    assert!(actions.contains(&Action::Replaced { incarnation: 6 }));
    let older = record("own", LOCAL_DC, (4, 0, State::Alive));
    let actions = membership.receive(now, message(&peer, Body::Push, &[older]));
    assert_eq!(actions, []);
}

/// Guards against a running daemon that does not refute its suspicion or death.
#[rstest]
#[case::suspect(State::Suspect)]
#[case::dead(State::Dead)]
fn suspected_daemon_refutes(#[case] suspicion: State) {
    let now = Instant::now();
    let peer = alive("vm-0", LOCAL_DC);
    let mut membership = joined(now, &[Arc::clone(&peer)]);
    let suspected = record("own", LOCAL_DC, (5, 8, suspicion));
    let _ = membership.receive(now, message(&peer, Body::Push, &[suspected]));
    let own = membership.own();
    assert_eq!(
        (own.incarnation, own.version, own.state),
        (5, 9, State::Alive)
    );
    let actions = membership.tick(now + STEP_INTERVAL);
    let updates = &sent_messages(&actions)[0].1.updates;
    assert_eq!(updates[0].version, 9);
}

/// Guards against dead members that stay, and against a member table that is emptied by a fault of
/// the network or of this daemon.
#[rstest]
#[case::one_of_ten(9, 1, true)]
#[case::third(8, 3, true)]
#[case::more_than_a_third(8, 4, false)]
#[case::one_of_two(1, 1, false)]
#[case::all(9, 9, false)]
fn suspicion_limit_prevents_removal(
    #[case] others: usize,
    #[case] dead: usize,
    #[case] removed: bool,
) {
    let start = Instant::now();
    let peers: Vec<_> = names(others)
        .iter()
        .map(|name| alive(name, LOCAL_DC))
        .collect();
    let mut membership = joined(start, &peers);
    // All are suspected at once, so that the limit applies to all of them together.
    let suspicions: Vec<_> = peers[..dead]
        .iter()
        .map(|one| record(&one.vm, LOCAL_DC, (5, 1, State::Suspect)))
        .collect();
    let sender = peers.last().expect("there are peers");
    let _ = membership.receive(start, message(sender, Body::Push, &suspicions));
    run(
        &mut membership,
        start,
        start + Duration::from_mins(1),
        &peers[dead..],
    );
    for peer in &peers[..dead] {
        let expected = if removed { State::Dead } else { State::Suspect };
        assert_eq!(state_of(&membership, &peer.vm), Some(expected));
    }
    for peer in &peers[dead..] {
        assert_eq!(state_of(&membership, &peer.vm), Some(State::Alive));
    }
}

/// Guards against a peer whose removals empty this daemon's member table.
#[test]
fn suspicion_limit_applies_to_removals_by_peers() {
    let now = Instant::now();
    let peers: Vec<_> = names(9).iter().map(|name| alive(name, LOCAL_DC)).collect();
    let mut membership = joined(now, &peers);
    let removals: Vec<_> = peers[1..]
        .iter()
        .map(|one| record(&one.vm, LOCAL_DC, (5, 1, State::Dead)))
        .collect();
    let _ = membership.receive(now, message(&peers[0], Body::Push, &removals));
    assert!(
        membership.live_count(LOCAL_DC) * 3 >= 10 * 2,
        "{}",
        membership.live_count(LOCAL_DC)
    );
}

/// Guards against an isolated daemon that removes the others one by one, each after the earlier
/// removals no longer count towards the limit.
#[test]
fn isolated_daemon_marks_nobody_dead() {
    let start = Instant::now();
    let peers: Vec<_> = names(100)
        .iter()
        .map(|name| alive(name, LOCAL_DC))
        .collect();
    let mut membership = joined(start, &peers);
    run(&mut membership, start, start + Duration::from_mins(10), &[]);
    assert_eq!(membership.live_count(LOCAL_DC), 101);
}

/// Guards against a daemon that suspects or removes others because of its own pause.
#[test]
fn paused_daemon_suspects_nobody() {
    let start = Instant::now();
    let peers: Vec<_> = names(9).iter().map(|name| alive(name, LOCAL_DC)).collect();
    let mut membership = joined(start, &peers);
    run(
        &mut membership,
        start,
        start + Duration::from_secs(2),
        &peers,
    );
    let suspected = record("vm-3", LOCAL_DC, (5, 1, State::Suspect));
    let paused = start + Duration::from_secs(2) + STEP_INTERVAL;
    let _ = membership.receive(paused, message(&peers[0], Body::Push, &[suspected]));
    let version = membership.own().version;
    let back = paused + Duration::from_secs(30);
    let _ = membership.tick(back);
    assert_eq!(state_of(&membership, "vm-3"), Some(State::Suspect));
    assert_eq!(membership.counters().suspected, 0);
    assert_eq!(membership.counters().pauses, 1);
    assert_eq!(membership.own().version, version + 1);
}

/// Guards against a suspicion that overwrites the draining state.
#[test]
fn suspected_draining_member_stays_draining() {
    let start = Instant::now();
    let mut peers: Vec<_> = names(9).iter().map(|name| alive(name, LOCAL_DC)).collect();
    let leaving = record("leaving", LOCAL_DC, (5, 2, State::Draining));
    peers.push(Arc::clone(&leaving));
    let mut membership = joined(start, &peers);
    let suspected = record("leaving", LOCAL_DC, (5, 2, State::Suspect));
    let _ = membership.receive(start, message(&peers[0], Body::Push, &[suspected]));
    let view = membership.member("leaving").expect("member is known");
    assert_eq!((view.member.state, view.suspect), (State::Draining, true));
    run(
        &mut membership,
        start,
        start + Duration::from_secs(8),
        &peers[..9],
    );
    assert_eq!(state_of(&membership, "leaving"), Some(State::Dead));
}

/// Guards against updates that are sent forever and against datagrams over the size limit.
#[test]
fn transmissions_and_datagram_size_are_bounded() {
    let start = Instant::now();
    let peers: Vec<_> = names(100)
        .iter()
        .map(|name| alive(name, LOCAL_DC))
        .collect();
    let mut membership = joined(start, &peers);
    let changed: Vec<_> = (0..40)
        .map(|index| record(&format!("vm-{index}"), LOCAL_DC, (5, 2, State::Alive)))
        .collect();
    let _ = membership.receive(start, message(&peers[50], Body::Push, &changed));
    let mut transmissions = HashMap::new();
    for step in 1..3_000 {
        let now = start + STEP_INTERVAL * step;
        let _ = membership.receive(now, message(&peers[60], Body::Push, &[]));
        let ping = Body::Ping {
            target: "own".into(),
            incarnation: 5,
        };
        let mut actions = membership.receive(now, message(&peers[60], ping, &[]));
        actions.extend(membership.tick(now));
        for (to, message) in sent_messages(&actions) {
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
            assert!(bytes + DATAGRAM_OVERHEAD_BYTES <= MAX_DATAGRAM_BYTES);
            for update in message.updates.iter().filter(|one| one.version == 2) {
                *transmissions.entry(VmId::clone(&update.vm)).or_insert(0) += 1;
            }
        }
    }
    let changed = changed.iter().filter_map(|one| transmissions.get(&one.vm));
    let counts: Vec<u32> = changed.copied().collect();
    assert_eq!(counts.len(), 40);
    // At most twice the binary logarithm of 101 members, rounded up.
    assert!(
        counts.iter().all(|count| (3..=14).contains(count)),
        "{counts:?}"
    );
}

/// Guards against too many or too few relays and contacts, and against draining ones.
#[test]
fn members_with_lowest_hashes_are_relays_and_contacts() {
    let now = Instant::now();
    let all: Vec<_> = names(20).iter().map(|name| alive(name, LOCAL_DC)).collect();
    let mut relays = 0;
    let mut contacts = 0;
    let mut first_relay = None;
    for own in &all {
        let mut membership = Membership::new(now, Member::clone(own), 1);
        let contact = all[0].call_address;
        membership.set_contacts(now, vec![contact, all[1].call_address]);
        let actions = membership.tick(now);
        let Some(Action::Sync { to, .. }) = actions.first() else {
            panic!("a joining daemon must sync with a contact");
        };
        let reply = SyncReply {
            members: all.clone(),
            ..SyncReply::default()
        };
        let _ = membership.handle_sync_reply(now, *to, &reply);
        let eligible = now + JOINED_ROLE_DELAY.1;
        let _ = membership.tick(eligible);
        relays += usize::from(membership.is_relay());
        contacts += usize::from(membership.is_contact(eligible));
        if membership.is_relay() && first_relay.is_none() {
            first_relay = Some(membership);
        }
    }
    assert_eq!(
        (relays, contacts),
        (RELAYS_PER_DATA_CENTRE, CONTACTS_PER_DATA_CENTRE)
    );
    let mut relay = first_relay.expect("there are relays");
    let eligible = now + JOINED_ROLE_DELAY.1 + STEP_INTERVAL;
    relay.drain(eligible);
    let _ = relay.tick(eligible);
    assert!(!relay.is_relay() && !relay.is_contact(eligible));
}

/// Guards against an old record that revives a member that left.
#[test]
fn left_member_stays_until_its_tombstone_expires() {
    let start = Instant::now();
    let mut peers: Vec<_> = names(3).iter().map(|name| alive(name, LOCAL_DC)).collect();
    peers.push(record("gone", LOCAL_DC, (5, 2, State::Left)));
    let mut membership = joined(start, &peers);
    let late = start + TOMBSTONE_LIFETIME.saturating_sub(Duration::from_mins(1));
    let old = alive("gone", LOCAL_DC);
    let _ = membership.receive(late, message(&peers[0], Body::Push, &[old]));
    assert_eq!(state_of(&membership, "gone"), Some(State::Left));
    run(
        &mut membership,
        late,
        start + TOMBSTONE_LIFETIME + Duration::from_mins(1),
        &peers[..3],
    );
    assert_eq!(state_of(&membership, "gone"), None);
}

/// Guards against members of a remote data centre that are never removed, and against their removal
/// because a third data centre does not list them.
#[rstest]
#[case::from_their_data_centre(REMOTE_DC, Some(State::Dead))]
#[case::from_another_data_centre("facatativa", Some(State::Alive))]
fn absent_members_are_removed_only_by_their_own_data_centre(
    #[case] sender: &str,
    #[case] expected: Option<State>,
) {
    let start = Instant::now();
    let peer = alive("sender", sender);
    let known = [
        alive("vm-0", LOCAL_DC),
        Arc::clone(&peer),
        alive("gone", REMOTE_DC),
    ];
    let mut membership = joined(start, &known);
    let hour = start + Duration::from_hours(1);
    run(&mut membership, start, hour, &known[..1]);
    assert_eq!(state_of(&membership, "gone"), Some(State::Alive));
    let request = SyncRequest {
        members: vec![Arc::clone(&peer), alive("other", sender)],
    };
    let (reply, _) = membership.handle_sync_request(hour, &request);
    assert_eq!(state_of(&membership, "gone"), expected);
    assert!(
        reply
            .members
            .iter()
            .all(|one| &*one.data_centre == LOCAL_DC)
    );
}

/// Guards against an unreachable data centre whose members are removed or not marked.
#[test]
fn silent_data_centre_is_marked_unreachable_but_kept() {
    let start = Instant::now();
    let relay = alive("away-0", REMOTE_DC);
    let mut membership = joined(start, &[Arc::clone(&relay)]);
    let later = start + Duration::from_secs(20);
    run(&mut membership, start, later, &[]);
    assert!(membership.is_relay());
    let view = membership.member("away-0").expect("member is kept");
    assert_eq!((view.member.state, view.unreachable), (State::Alive, true));
    let delta = Body::Delta {
        data_centre: REMOTE_DC.into(),
    };
    let _ = membership.receive(later, message(&relay, delta, &[]));
    run(&mut membership, later, later + STEP_INTERVAL, &[]);
    assert!(
        !membership
            .member("away-0")
            .expect("member is kept")
            .unreachable
    );
}

/// Guards against a suspicion because only the direct probe was lost.
#[test]
fn indirect_probe_prevents_suspicion() {
    let start = Instant::now();
    let peers: Vec<_> = names(4).iter().map(|name| alive(name, LOCAL_DC)).collect();
    let mut membership = joined(start, &peers);
    let mut now = start;
    let mut asked = 0;
    while now < start + Duration::from_secs(30) {
        now += STEP_INTERVAL;
        let actions = membership.tick(now);
        for (_, request) in sent_messages(&actions) {
            if let Body::PingRequest { target, .. } = &request.body {
                asked += 1;
                let intermediary = peers.iter().find(|one| one.vm != *target);
                let body = Body::Ack {
                    target: VmId::clone(target),
                };
                let mut ack = message(intermediary.expect("there are peers"), body, &[]);
                ack.sequence = request.sequence;
                let _ = membership.receive(now, ack);
            }
        }
    }
    assert!(asked > 30, "{asked}");
    assert_eq!(membership.counters().suspected, 0);
}

/// Guards against an intermediary that does not forward the acknowledgement, or forwards it with
/// its own sequence number.
#[test]
fn intermediary_forwards_the_acknowledgement() {
    let now = Instant::now();
    let peers: Vec<_> = names(2).iter().map(|name| alive(name, LOCAL_DC)).collect();
    let mut membership = joined(now, &peers);
    let body = Body::PingRequest {
        target: "vm-1".into(),
        address: peers[1].gossip_address,
    };
    let actions = membership.receive(now, message(&peers[0], body, &[]));
    let (to, probe) = sent_messages(&actions)[0];
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
    let (to, reply) = sent_messages(&actions)[0];
    assert_eq!((to, reply.sequence), (peers[0].gossip_address, 77));
    assert_eq!(
        reply.body,
        Body::Ack {
            target: "vm-1".into()
        }
    );
}

/// Guards against a daemon that after a long pause waits forever for dead peers, or revives the
/// dead members in its outdated table.
#[rstest]
#[case::through_a_peer(true)]
#[case::through_a_contact(false)]
fn outdated_table_is_replaced_after_a_long_pause(#[case] peer_is_live: bool) {
    let start = Instant::now();
    let known = [alive("old", LOCAL_DC), alive("gone", LOCAL_DC)];
    let mut membership = joined(start, &known);
    let mut now = start + MIN_REJOIN_PAUSE * 2;
    let listing = [alive("new", LOCAL_DC), alive("old", LOCAL_DC)];
    let mut synced = false;
    for _ in 0..1_000 {
        now += STEP_INTERVAL;
        for action in membership.tick(now) {
            let Action::Sync { to, .. } = action else {
                continue;
            };
            let contact = known.iter().all(|one| one.call_address != to);
            let peer_replies = peer_is_live && to == known[0].call_address;
            if peer_replies || (contact && !peer_is_live) {
                synced = true;
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
        if synced {
            break;
        }
    }
    assert_eq!(state_of(&membership, "new"), Some(State::Alive));
    assert_eq!(state_of(&membership, "gone"), Some(State::Dead));
}

/// Guards against a daemon without local peers that keeps fetching full tables although it receives
/// deltas, and against an isolated one that does not search for contacts.
#[rstest]
#[case::receives_deltas(true)]
#[case::receives_nothing(false)]
fn only_an_isolated_daemon_syncs_with_contacts(#[case] with_deltas: bool) {
    let start = Instant::now();
    let relay = alive("away-0", REMOTE_DC);
    let mut membership = joined(start, &[Arc::clone(&relay)]);
    let before = membership.counters().syncs;
    let digest = membership.table.digest(REMOTE_DC);
    let mut listings = 0;
    for step in 1..6_000 {
        let now = start + STEP_INTERVAL * step;
        if with_deltas {
            let delta = Body::Delta {
                data_centre: REMOTE_DC.into(),
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
    if with_deltas {
        assert_eq!((syncs, listings), (0, 0));
    } else {
        // One sync every two minutes at most and one listing every twenty seconds, with jitter.
        assert!((4..20).contains(&syncs), "{syncs}");
        assert!((4..40).contains(&listings), "{listings}");
    }
}
