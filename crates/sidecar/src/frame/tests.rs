//! Guards against frames that are decoded beyond their bounds or with the head of another call.

use std::time::Duration;

use bytes::BytesMut;
use policy::quota::{Ask, Grant, History, key};
use rstest::rstest;

use super::{
    CallHead, CallHistory, CallKind, Decoder, Encoder, Frame, Load, MAX_TABLE_BYTES, NotRun,
};

fn call(id: &str, route: &str) -> Frame {
    Frame::Call {
        stream: 7,
        call: CallHead {
            id: id.to_owned(),
            left_us: 1_000,
            share: Some(500),
            history: CallHistory {
                retry: true,
                ..CallHistory::default()
            },
            remaining_ms: 450,
            target: "/a/b".to_owned(),
            organisation: None,
            kind: CallKind {
                instance: "i-1".to_owned(),
                caller: "vitrina".to_owned(),
                route: route.to_owned(),
                rank: 1,
                idempotent: true,
                nested: false,
                method: "GET".to_owned(),
                fields: b"Host: h\r\n".to_vec(),
            },
        },
    }
}

#[test]
fn frames_are_decoded_whole_at_any_split() {
    let refused = Frame::NotRun {
        stream: 7,
        reason: NotRun::Busy,
        load: Load::default(),
    };
    let mut bytes = Vec::new();
    let mut encoder = Encoder::default();
    encoder.encode(&call("a", "r"), b"body", &mut bytes);
    encoder.encode(&refused, b"", &mut bytes);
    for split in 0..=bytes.len() {
        let mut decoder = Decoder::default();
        let mut buffer = BytesMut::from(&bytes[..split]);
        let mut frames = Vec::new();
        while let Some(frame) = decoder.decode(&mut buffer).unwrap() {
            frames.push(frame);
        }
        buffer.extend_from_slice(&bytes[split..]);
        while let Some(frame) = decoder.decode(&mut buffer).unwrap() {
            frames.push(frame);
        }
        assert_eq!(frames.len(), 2);
        assert_eq!(frames[0].0, call("a", "r"));
        assert_eq!(&*frames[0].1, b"body");
        assert_eq!(frames[1].0, refused);
    }
}

#[test]
fn calls_of_different_kinds_keep_their_fields() {
    let mut bytes = Vec::new();
    let mut encoder = Encoder::default();
    let frames: Vec<Frame> = (0..30)
        .map(|index| call(&format!("{index:016x}"), ["r", "s", "t"][index % 3]))
        .collect();
    for frame in &frames {
        encoder.encode(frame, b"", &mut bytes);
    }
    let mut buffer = BytesMut::from(&*bytes);
    let mut decoder = Decoder::default();
    for frame in &frames {
        assert_eq!(decoder.decode(&mut buffer).unwrap().unwrap().0, *frame);
    }
}

#[rstest]
#[case("9c41d07be2a35f68")]
#[case("00000000000000ff.cae04806aecfa68a")]
#[case("9C41D07BE2A35F68")]
#[case("9c41.")]
#[case(".")]
#[case("any text")]
fn call_ids_are_decoded_exactly(#[case] id: &str) {
    let mut bytes = Vec::new();
    Encoder::default().encode(&call(id, "r"), b"", &mut bytes);
    let decoded = Decoder::default().decode(&mut BytesMut::from(&*bytes));
    assert_eq!(decoded.unwrap().unwrap().0, call(id, "r"));
}

/// Guards against asks whose shares grow on the way, and against long ones: small organisations need
/// one for almost each request.
#[test]
fn asks_for_tokens_are_short_and_decoded_exactly() {
    let ask = Frame::QuotaAsk {
        organisation: key("a"),
        ask: Ask {
            number: 1_000_000,
            wanted: 1,
            returned: 0,
            share: 0.25,
            total: Some(0.75),
            unheard: true,
            history: History::Other,
        },
    };
    let grant = Frame::QuotaGrant {
        organisation: key("a"),
        grant: Grant {
            number: 1_000_000,
            granted: 0,
            retry: Duration::from_millis(300),
            share: 0.25,
            total: Some(0.75),
            is_owner: true,
        },
    };
    for (frame, most) in [(ask, 32), (grant, 32)] {
        let mut bytes = Vec::new();
        Encoder::default().encode(&frame, b"", &mut bytes);
        assert!(bytes.len() <= most, "{}", bytes.len());
        let decoded = Decoder::default().decode(&mut BytesMut::from(&*bytes));
        assert_eq!(decoded.unwrap().unwrap().0, frame);
    }
}

#[test]
fn an_unknown_index_is_refused() {
    let mut encoder = Encoder::default();
    let mut bytes = Vec::new();
    encoder.encode(&call("a", "r"), b"", &mut bytes);
    bytes.clear();
    encoder.encode(&call("a", "r"), b"", &mut bytes);
    Decoder::default()
        .decode(&mut BytesMut::from(&*bytes))
        .unwrap_err();
}

#[test]
fn a_head_longer_than_its_frame_is_refused() {
    let mut buffer = BytesMut::from(&[4, 0, 0, 0, 5, 0, 0, 0, 1, 2, 3, 4][..]);
    Decoder::default().decode(&mut buffer).unwrap_err();
}

/// Returns a call with header lines of its own.
fn call_with_fields(index: usize, length: usize) -> Frame {
    let Frame::Call { stream, mut call } = call(&format!("{index:016x}"), "r") else {
        unreachable!()
    };
    call.kind.fields = format!("Cookie: {index:0length$}\r\n").into_bytes();
    Frame::Call { stream, call }
}

/// Guards against tables of repeated values that fill the memory of the daemons when the header
/// fields differ from call to call (review/2), and against values that get lost when a table is
/// emptied.
#[rstest]
#[case::short(40)]
#[case::long(1_500)]
#[case::too_long_for_the_table(15_000)]
fn values_that_differ_from_call_to_call_fill_no_memory(#[case] length: usize) {
    let mut encoder = Encoder::default();
    let mut decoder = Decoder::default();
    let shared = call("a", "shared");
    for index in 0..5_000 {
        let frame = if index % 3 == 0 {
            shared.clone()
        } else {
            call_with_fields(index, length)
        };
        let mut bytes = Vec::new();
        encoder.encode(&frame, b"", &mut bytes);
        let mut buffer = BytesMut::from(&*bytes);
        assert_eq!(decoder.decode(&mut buffer).unwrap().unwrap().0, frame);
        assert!(encoder.kinds.bytes <= MAX_TABLE_BYTES);
        assert_eq!(encoder.kinds.bytes, decoder.kinds.bytes);
        assert_eq!(encoder.kinds.indices.len(), decoder.kinds.values.len());
    }
    // Two tables on each of two connections with each other daemon of a fleet of 96 take less than
    // half of the memory of the smallest VMs, which is 160 MB.
    let held: usize = decoder.kinds.values.iter().map(CallKind::size).sum();
    assert!(held * 2 * 2 * 95 < 80 << 20, "{held}");
}
