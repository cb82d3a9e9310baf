//! Guards against "not run" for a call whose bytes left, and against calls that are given up although
//! none of their bytes did.

use tokio::io::{AsyncReadExt, duplex};

use super::Outbox;
use crate::frame::Frame;

/// Writes until the other side, which takes this many bytes, is full.
async fn write(outbox: &Outbox, takes: usize) {
    let (mut near, _far) = duplex(takes);
    tokio::select! {
        biased;
        result = outbox.write_to(&mut near) => panic!("{result:?}"),
        () = tokio::task::yield_now() => {}
    }
}

#[tokio::test]
async fn a_frame_has_left_only_with_its_last_byte() {
    let outbox = Outbox::new();
    let first = outbox.push(&Frame::Ping, b"body").unwrap();
    let second = outbox.push(&Frame::Ping, &[0; 100]).unwrap();
    write(&outbox, first as usize - 1).await;
    assert!(!outbox.may_have_been_sent(first));
    assert!(!outbox.may_have_been_sent(second));
}

#[tokio::test]
async fn a_frame_that_was_handed_over_whole_may_have_left() {
    let outbox = Outbox::new();
    let first = outbox.push(&Frame::Ping, b"body").unwrap();
    let second = outbox.push(&Frame::Ping, &[0; 100]).unwrap();
    write(&outbox, first as usize).await;
    assert!(outbox.may_have_been_sent(first));
    assert!(!outbox.may_have_been_sent(second));
}

#[tokio::test]
async fn frames_arrive_in_order() {
    let outbox = Outbox::new();
    let end = outbox.push(&Frame::Ping, b"a").unwrap();
    let (mut near, mut far) = duplex(1_000);
    tokio::select! {
        biased;
        result = outbox.write_to(&mut near) => panic!("{result:?}"),
        () = tokio::task::yield_now() => {}
    }
    let mut bytes = vec![0; end as usize];
    far.read_exact(&mut bytes).await.unwrap();
    assert_eq!(bytes.last(), Some(&b'a'));
}

#[test]
fn a_closed_outbox_takes_nothing() {
    let outbox = Outbox::new();
    outbox.close();
    assert_eq!(outbox.push(&Frame::Ping, &[]), None);
}
