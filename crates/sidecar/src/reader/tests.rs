use std::cell::Cell;
use std::ops::ControlFlow;

use tokio::io::AsyncWriteExt;

use super::{ReadError, read_frames};
use crate::frame::{Encoder, Frame};

/// Guards against a connection that counts as silent while a large frame arrives, and against one
/// whose end is not reported.
#[tokio::test]
async fn an_incomplete_frame_counts_as_received_bytes() {
    let mut bytes = Vec::new();
    Encoder::default().encode(&Frame::Ping, b"body", &mut bytes);
    let (mut local, mut peer) = tokio::io::duplex(bytes.len() - 1);
    let received = Cell::new(0);
    let mut frames = Vec::new();
    let write = async {
        local.write_all(&bytes).await.unwrap();
        drop(local);
    };
    let read = read_frames(
        &mut peer,
        || received.set(received.get() + 1),
        |frame, body| {
            frames.push((frame, body));
            ControlFlow::<()>::Continue(())
        },
    );
    let (result, ()) = tokio::join!(read, write);
    assert!(matches!(result, Err(ReadError::Closed)));
    assert_eq!(frames, [(Frame::Ping, b"body"[..].into())]);
    assert_eq!(received.get(), 2);
}

/// Guards against a connection that stays open after bytes that are not a valid frame.
#[tokio::test]
async fn an_invalid_frame_ends_the_connection() {
    let mut bytes: &[u8] = &[0xff; 64];
    let handle = |_, _| ControlFlow::<()>::Continue(());
    let result = read_frames(&mut bytes, || {}, handle).await;
    assert!(matches!(result, Err(ReadError::BadFrame)));
}
