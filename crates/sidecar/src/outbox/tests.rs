//! Guards against a call that is reported as not run although it was sent, and against a call whose
//! outcome is reported as unknown although it was not sent. Guards against large bodies that delay
//! frames or each other, and against a call that is sent before its body or without it.

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, duplex};

use super::{Outbox, PART_BYTES};
use crate::frame::{Decoder, Frame};
use crate::memory::Budget;

/// Writes until the peer, which accepts this many bytes, is full.
async fn write(outbox: &Outbox, capacity: usize) {
    let (mut local, _peer) = duplex(capacity);
    tokio::select! {
        biased;
        result = outbox.write_to(&mut local) => panic!("{result:?}"),
        () = tokio::task::yield_now() => {}
    }
}

#[tokio::test]
async fn a_frame_without_its_last_byte_has_not_been_sent() {
    let outbox = Outbox::new(&Budget::new(1 << 20));
    let first = outbox.push(&Frame::Ping, b"body").unwrap();
    let second = outbox.push(&Frame::Ping, &[0; 100]).unwrap();
    write(&outbox, first as usize - 1).await;
    assert!(!outbox.may_have_been_sent(first));
    assert!(!outbox.may_have_been_sent(second));
}

#[tokio::test]
async fn a_frame_that_was_written_whole_may_have_been_sent() {
    let outbox = Outbox::new(&Budget::new(1 << 20));
    let first = outbox.push(&Frame::Ping, b"body").unwrap();
    let second = outbox.push(&Frame::Ping, &[0; 100]).unwrap();
    write(&outbox, first as usize).await;
    assert!(outbox.may_have_been_sent(first));
    assert!(!outbox.may_have_been_sent(second));
}

#[tokio::test]
async fn a_frame_ends_at_the_returned_position() {
    let outbox = Outbox::new(&Budget::new(1 << 20));
    let end = outbox.push(&Frame::Ping, b"a").unwrap();
    let (mut local, mut peer) = duplex(1_000);
    tokio::select! {
        biased;
        result = outbox.write_to(&mut local) => panic!("{result:?}"),
        () = tokio::task::yield_now() => {}
    }
    let mut bytes = vec![0; end as usize];
    peer.read_exact(&mut bytes).await.unwrap();
    assert_eq!(bytes.last(), Some(&b'a'));
}

#[test]
fn a_closed_outbox_rejects_frames() {
    let outbox = Outbox::new(&Budget::new(1 << 20));
    outbox.close();
    assert_eq!(outbox.push(&Frame::Ping, &[]), None);
}

/// Writes everything that can be written; returns the frames in order.
async fn sent_frames(outbox: &Outbox) -> Vec<(Frame, Bytes)> {
    let (mut local, mut peer) = duplex(8 << 20);
    tokio::select! {
        biased;
        result = outbox.write_to(&mut local) => panic!("{result:?}"),
        () = tokio::time::sleep(std::time::Duration::from_millis(50)) => {}
    }
    drop(local);
    let mut bytes = Vec::new();
    peer.read_to_end(&mut bytes).await.unwrap();
    let mut buffer = BytesMut::from(bytes.as_slice());
    let mut decoder = Decoder::default();
    std::iter::from_fn(|| decoder.decode(&mut buffer).unwrap()).collect()
}

#[tokio::test]
async fn large_bodies_take_turns_and_frames_go_before_them() {
    let outbox = Outbox::new(&Budget::new(1 << 20));
    let body = Bytes::from(vec![b'x'; PART_BYTES * 3]);
    let mut ends = Vec::new();
    for stream in [1, 2, 3] {
        let finish = move || Frame::Cancel { stream };
        ends.push(outbox.push_large(stream, body.clone(), finish).unwrap());
    }
    outbox.accept(1);
    outbox.accept(2);
    outbox.push(&Frame::Ping, &[]);
    assert!(!outbox.may_have_been_sent(ends[0].get()));
    let frames = sent_frames(&outbox).await;
    let part = |stream| Frame::Part { stream };
    let sent: Vec<Frame> = frames.iter().map(|(frame, _)| frame.clone()).collect();
    assert_eq!(sent[3], Frame::Ping);
    assert_eq!(sent[4..8], [part(1), part(2), part(1), part(2)]);
    let rest = [
        part(1),
        Frame::Cancel { stream: 1 },
        part(2),
        Frame::Cancel { stream: 2 },
    ];
    assert_eq!(sent[8..], rest);
    assert!(outbox.may_have_been_sent(ends[0].get()));
    // The third one was not accepted.
    assert!(!outbox.may_have_been_sent(ends[2].get()));
}

#[tokio::test]
async fn a_call_whose_body_is_withdrawn_is_not_sent() {
    let outbox = Outbox::new(&Budget::new(1 << 20));
    let body = Bytes::from(vec![b'x'; PART_BYTES * 3]);
    let end = outbox.push_large(1, body, || Frame::Ping).unwrap();
    outbox.accept(1);
    outbox.withdraw(1);
    let frames = sent_frames(&outbox).await;
    let offer = Frame::Offer {
        stream: 1,
        size: (PART_BYTES * 3) as u32,
    };
    assert_eq!(frames, [(offer, Bytes::new())]);
    assert!(!outbox.may_have_been_sent(end.get()));
}
