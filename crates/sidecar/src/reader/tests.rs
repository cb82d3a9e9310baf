use std::cell::Cell;
use std::ops::ControlFlow;

use tokio::io::AsyncWriteExt;

use super::{ReadError, read_frames};
use crate::frame::{Encoder, Frame};

/// Guards against a connection that counts as silent while a large frame arrives, and against one that
/// ends unnoticed.
#[tokio::test]
async fn parts_of_a_frame_are_heard_before_it_is_whole() {
    let mut bytes = Vec::new();
    Encoder::default().encode(&Frame::Ping, b"body", &mut bytes);
    let (mut near, mut far) = tokio::io::duplex(bytes.len() - 1);
    let heard = Cell::new(0);
    let mut frames = Vec::new();
    let write = async {
        near.write_all(&bytes).await.unwrap();
        drop(near);
    };
    let read = read_frames(
        &mut far,
        || heard.set(heard.get() + 1),
        |frame, body| {
            frames.push((frame, body));
            ControlFlow::<()>::Continue(())
        },
    );
    let (lost, ()) = tokio::join!(read, write);
    assert!(matches!(lost, Err(ReadError::Closed)));
    assert_eq!(frames, [(Frame::Ping, b"body"[..].into())]);
    assert_eq!(heard.get(), 2);
}

/// Guards against a connection that goes on after bytes that are no frame.
#[tokio::test]
async fn bytes_that_are_no_frame_end_the_connection() {
    let mut bytes: &[u8] = &[0xff; 64];
    let take = |_, _| ControlFlow::<()>::Continue(());
    let lost = read_frames(&mut bytes, || {}, take).await;
    assert!(matches!(lost, Err(ReadError::BadFrame)));
}
