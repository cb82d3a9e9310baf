use std::sync::Arc;

use policy::member::{Body, Member, State};
use rstest::rstest;

use super::*;

const KEY: &str = "gossip-key-0123456789";

fn keys(key: &str) -> Keys {
    Keys::new(&[key]).expect("the key is valid")
}

fn member(name: &str, state: State) -> Arc<Member> {
    Arc::new(Member {
        vm: name.into(),
        incarnation: u64::MAX,
        version: u32::MAX,
        state,
        data_centre: "pt-centro-a".into(),
        call_address: SocketAddr::from(([255, 255, 255, 255], 65_535)),
        gossip_address: "[1111:2222:3333:4444:5555:6666:7777:8888]:65535"
            .parse()
            .expect("the address is valid"),
        service: Some("pesagens".into()),
        slots: u32::MAX,
        cold: true,
        unreachable: vec!["pt-centro-b".into(), "pt-centro-c".into()],
    })
}

fn message(body: Body, updates: usize) -> Message {
    let states = [
        State::Alive,
        State::Suspect,
        State::Draining,
        State::Dead,
        State::Left,
    ];
    let update = |index: usize| member(&format!("vm-{index}"), states[index % states.len()]);
    Message {
        from: "vm-0".into(),
        incarnation: u64::MAX,
        sequence: u64::MAX,
        body,
        updates: (0..updates).map(update).collect(),
        rules: u64::MAX,
        homes: 4,
        digest: 5,
    }
}

fn ping() -> Body {
    Body::Ping {
        target: "vm-1".into(),
        incarnation: u64::MAX,
    }
}

/// Guards against a field that is lost or swapped by encoding and decoding.
#[rstest]
#[case::ping(ping())]
#[case::ping_request(Body::PingRequest { target: "vm-1".into(), address: ([10, 0, 0, 1], 1).into() })]
#[case::ack(Body::Ack { target: "vm-1".into() })]
#[case::delta(Body::Delta { data_centre: "pt-centro-b".into() })]
#[case::push(Body::Push)]
fn decoded_message_equals_the_sent_one(#[case] body: Body) {
    let sent = message(body, 5);
    let datagram = encode(&keys(KEY), &sent);
    assert_eq!(decode(&keys(KEY), &datagram), Ok(sent));
}

/// Guards against an estimated size of an update below its encoded size.
#[rstest]
#[case::one(1)]
#[case::many(9)]
fn wire_size_covers_the_encoded_update(#[case] updates: usize) {
    let message = message(ping(), updates);
    for update in &message.updates {
        let encoded = proto::Member::from(update.as_ref()).encoded_len();
        // Tag and length of the record within the datagram.
        assert!(encoded + 3 <= update.wire_size());
    }
}

/// Guards against datagrams that IP would fragment.
#[test]
fn updates_beyond_the_datagram_limit_are_left_out() {
    let datagram = encode(&keys(KEY), &message(ping(), 100));
    assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
    let received = decode(&keys(KEY), &datagram).expect("shortened message is valid");
    assert!(received.updates.len() > 3);
}

/// Guards against datagrams that are signed with another key, altered or truncated.
#[rstest]
#[case::other_key(KEY, "other-key-0123456789", |_: &mut Vec<u8>| ())]
#[case::altered(KEY, KEY, |datagram: &mut Vec<u8>| datagram[TAG_LEN + 3] ^= 1)]
#[case::altered_tag(KEY, KEY, |datagram: &mut Vec<u8>| datagram[0] ^= 1)]
#[case::truncated(KEY, KEY, |datagram: &mut Vec<u8>| { datagram.pop(); })]
#[case::short(KEY, KEY, |datagram: &mut Vec<u8>| datagram.truncate(TAG_LEN - 1))]
#[case::empty(KEY, KEY, Vec::clear)]
fn unverified_datagrams_are_rejected(
    #[case] sender: &str,
    #[case] receiver: &str,
    #[case] alter: fn(&mut Vec<u8>),
) {
    let mut datagram = encode(&keys(sender), &message(ping(), 2));
    alter(&mut datagram);
    assert_eq!(
        decode(&keys(receiver), &datagram),
        Err(DatagramError::Unverified)
    );
}

/// Guards against a receiver that stops at an unverified datagram or does not count it.
#[tokio::test]
async fn socket_skips_and_counts_unverified_datagrams() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let receiver = GossipSocket::bind(any, keys(KEY)).await.expect("binds");
    let other_key_sender = GossipSocket::bind(any, keys("other-key-0123456789"))
        .await
        .expect("binds");
    let sender = GossipSocket::bind(any, keys(KEY)).await.expect("binds");
    let to = receiver.local_addr().expect("is bound");
    other_key_sender.send(to, &message(ping(), 1)).await;
    let sent = message(ping(), 2);
    sender.send(to, &sent).await;
    assert_eq!(receiver.receive().await.expect("arrives"), sent);
    let counts = receiver.counts();
    assert_eq!(
        (counts.received, counts.unverified, counts.malformed),
        (2, 1, 0)
    );
    assert_eq!(sender.counts().sent, 1);
}
