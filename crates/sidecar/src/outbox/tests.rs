//! Guards against a call that is reported as not run although it was sent, and against a call whose
//! outcome is reported as unknown although it was not sent.

use tokio::io::{AsyncReadExt, duplex};

use super::Outbox;
use crate::frame::Frame;

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
    let outbox = Outbox::new();
    let first = outbox.push(&Frame::Ping, b"body").unwrap();
    let second = outbox.push(&Frame::Ping, &[0; 100]).unwrap();
    write(&outbox, first as usize - 1).await;
    assert!(!outbox.may_have_been_sent(first));
    assert!(!outbox.may_have_been_sent(second));
}

#[tokio::test]
async fn a_frame_that_was_written_whole_may_have_been_sent() {
    let outbox = Outbox::new();
    let first = outbox.push(&Frame::Ping, b"body").unwrap();
    let second = outbox.push(&Frame::Ping, &[0; 100]).unwrap();
    write(&outbox, first as usize).await;
    assert!(outbox.may_have_been_sent(first));
    assert!(!outbox.may_have_been_sent(second));
}

#[tokio::test]
async fn a_frame_ends_at_the_returned_position() {
    let outbox = Outbox::new();
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
    let outbox = Outbox::new();
    outbox.close();
    assert_eq!(outbox.push(&Frame::Ping, &[]), None);
}
