use super::*;

fn announcement(slots: u32) -> Announcement {
    let address = SocketAddr::from(([127, 0, 0, 1], 9000));
    Announcement {
        service: "despacho".into(),
        address,
        slots,
        cold: false,
    }
}

/// Guards against calls to an endpoint that stopped without a notice.
#[test]
fn announcement_expires_unless_renewed() {
    let now = Instant::now();
    let mut presence = Presence::new();
    assert!(presence.apply_announcement(now, announcement(35)));
    assert!(!presence.apply_announcement(now + ANNOUNCE_TTL / 2, announcement(35)));
    assert!(presence.current(now + ANNOUNCE_TTL).is_some());
    assert!(presence.current(now + ANNOUNCE_TTL * 2).is_none());
}

/// Guards against an announcement that was in flight when the drain began and ends it.
#[test]
fn late_announcement_does_not_end_a_drain() {
    let now = Instant::now();
    let mut presence = Presence::new();
    presence.apply_announcement(now, announcement(35));
    presence.mark_draining();
    presence.apply_announcement(now, announcement(10));
    assert!(presence.is_draining());
}
