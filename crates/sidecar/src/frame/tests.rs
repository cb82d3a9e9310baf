//! Guards against frames that are read across their bounds.

use bytes::BytesMut;

use super::{CallHead, Frame, Load, NotRun, decode, encode};

fn call() -> Frame {
    Frame::Call {
        stream: 7,
        call: CallHead {
            id: "a".to_owned(),
            left_us: 1_000,
            instance: "i-1".to_owned(),
            caller: "vitrina".to_owned(),
            route: "r".to_owned(),
            rank: 1,
            idempotent: true,
            share: Some(500),
            deep: false,
            method: "GET".to_owned(),
            target: "/a/b".to_owned(),
            fields: b"Host: h\r\n".to_vec(),
        },
    }
}

#[test]
fn frames_are_whole_at_any_split() {
    let refused = Frame::NotRun {
        stream: 7,
        reason: NotRun::Busy,
        load: Load::default(),
    };
    let mut bytes = Vec::new();
    encode(&call(), b"body", &mut bytes);
    encode(&refused, b"", &mut bytes);
    for split in 0..=bytes.len() {
        let mut buffer = BytesMut::from(&bytes[..split]);
        let mut frames = Vec::new();
        while let Some(frame) = decode(&mut buffer).unwrap() {
            frames.push(frame);
        }
        buffer.extend_from_slice(&bytes[split..]);
        while let Some(frame) = decode(&mut buffer).unwrap() {
            frames.push(frame);
        }
        assert_eq!(frames.len(), 2);
        assert_eq!(frames[0].0, call());
        assert_eq!(&*frames[0].1, b"body");
        assert_eq!(frames[1].0, refused);
    }
}

#[test]
fn a_head_longer_than_its_frame_is_refused() {
    let mut buffer = BytesMut::from(&[4, 0, 0, 0, 5, 0, 0, 0, 1, 2, 3, 4][..]);
    decode(&mut buffer).unwrap_err();
}
