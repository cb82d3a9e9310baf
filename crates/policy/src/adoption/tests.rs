use rstest::rstest;

use super::*;

const STEP: Duration = Duration::from_millis(100);

fn peer(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7000))
}

fn pulls(actions: &[Action]) -> Vec<SocketAddr> {
    let from = |action: &Action| match action {
        Action::Pull { from, .. } => Some(*from),
        _ => None,
    };
    actions.iter().filter_map(from).collect()
}

/// Guards against a late reply that reverts a newer rule.
#[rstest]
#[case::first(0, 4, true)]
#[case::higher(4, 5, true)]
#[case::equal(4, 4, false)]
#[case::lower(4, 3, false)]
fn adopts_only_a_higher_revision(
    #[case] before: Revision,
    #[case] new: Revision,
    #[case] expected: bool,
) {
    let mut adoption = Adoption::new(Instant::now(), 1);
    let _ = adoption.adopt(before);
    assert_eq!(adoption.adopt(new), expected);
    assert_eq!(adoption.in_force(), before.max(new));
}

/// Guards against a pull of a revision that is already in force or unusable.
#[test]
fn pulls_only_what_is_missing() {
    let now = Instant::now();
    let mut adoption = Adoption::new(now, 1);
    let _ = adoption.adopt(7);
    adoption.record_peer_revision(peer(1), 7);
    assert_eq!(pulls(&adoption.tick(now)), []);
    adoption.reject(8);
    adoption.record_peer_revision(peer(1), 8);
    assert_eq!(pulls(&adoption.tick(now)), []);
    adoption.record_peer_revision(peer(2), 9);
    assert_eq!(pulls(&adoption.tick(now)), [peer(2)]);
    adoption.record_peer_revision(peer(3), 9);
    assert_eq!(pulls(&adoption.tick(now)), []);
}

/// Guards against daemons that flood an unresponsive peer with pulls.
#[test]
fn backs_off_after_failed_pulls() {
    let start = Instant::now();
    let mut adoption = Adoption::new(start, 1);
    let mut count = 0;
    for step in 0..600 {
        let now = start + STEP * step;
        adoption.record_peer_revision(peer(1), 9);
        for from in pulls(&adoption.tick(now)) {
            count += 1;
            adoption.pull_ended(now, from, false);
        }
    }
    assert!((10..30).contains(&count), "{count} pulls in a minute");
}

/// Guards against a pull without a reply that blocks all others.
#[test]
fn gives_up_a_pull_without_a_reply() {
    let start = Instant::now();
    let mut adoption = Adoption::new(start, 1);
    adoption.record_peer_revision(peer(1), 9);
    assert_eq!(pulls(&adoption.tick(start)), [peer(1)]);
    adoption.record_peer_revision(peer(2), 9);
    let later = start + PULL_TIMEOUT;
    let _ = adoption.tick(later);
    assert_eq!(pulls(&adoption.tick(later + STEP * 2)), [peer(2)]);
}

/// Guards against a starting daemon that stays at an old revision from the first peer that replies.
#[test]
fn starting_daemon_pulls_from_three_peers_and_reads_the_platform() {
    let start = Instant::now();
    let mut adoption = Adoption::new(start, 1);
    adoption.set_peers(&[peer(1), peer(2), peer(3), peer(4)]);
    let mut pulled_from = Vec::new();
    let mut reads = 0;
    for step in 0..400 {
        let now = start + STEP * step;
        for action in adoption.tick(now) {
            match action {
                Action::Pull { from, .. } => {
                    pulled_from.push(from);
                    let _ = adoption.adopt(if from == peer(2) { 6 } else { 5 });
                    adoption.pull_ended(now, from, true);
                }
                Action::Read => {
                    reads += 1;
                    let _ = adoption.adopt(4);
                    adoption.read_ended(now, true);
                }
                Action::Watch { .. } | Action::EndWatch => panic!("a starting daemon is no relay"),
            }
        }
    }
    assert_eq!(pulled_from, [peer(1), peer(2), peer(3)]);
    assert_eq!(
        (reads, adoption.in_force(), adoption.is_ready()),
        (1, 6, true)
    );
}

/// Guards against a relay that holds several watches or retries without pause in an outage.
#[test]
fn relay_holds_one_watch_and_backs_off() {
    let start = Instant::now();
    let mut adoption = Adoption::new(start, 1);
    adoption.set_relay(true);
    let watch = Action::Watch { after: 0 };
    assert_eq!(adoption.tick(start), [watch]);
    assert_eq!(adoption.tick(start + STEP), []);
    let mut calls = 0;
    for step in 0..6_000 {
        let now = start + STEP * step;
        if step == 0 || !adoption.tick(now).is_empty() {
            calls += 1;
            adoption.watch_ended(now, false);
        }
        assert!(calls < 30, "{calls} calls in an outage of ten minutes");
    }
}

/// Guards against a former relay whose open watch still counts at the platform.
#[test]
fn former_relay_ends_its_watch() {
    let start = Instant::now();
    let mut adoption = Adoption::new(start, 1);
    adoption.set_relay(true);
    assert_eq!(adoption.tick(start).len(), 1);
    adoption.set_relay(false);
    assert_eq!(adoption.tick(start + STEP), [Action::EndWatch]);
    assert_eq!(adoption.tick(start + STEP * 2), []);
}

/// Guards against a fleet that starts at once and exceeds the rate limit of the platform.
#[test]
fn first_reads_of_a_fleet_are_spread() {
    const DAEMONS: u64 = 1_500;
    const VALUES: u64 = 2;
    const SECONDS: usize = 40;
    let start = Instant::now();
    let mut per_second = [0_u32; SECONDS];
    for seed in 0..DAEMONS * VALUES {
        let mut adoption = Adoption::new(start, seed);
        for step in 0..SECONDS as u32 * 10 {
            let now = start + STEP * step;
            for _ in adoption.tick(now) {
                per_second[step as usize / 10] += 1;
                adoption.read_ended(now, true);
            }
        }
    }
    assert_eq!(u64::from(per_second.iter().sum::<u32>()), DAEMONS * VALUES);
    assert!(
        per_second.iter().all(|calls| *calls < 300),
        "{per_second:?}"
    );
}
