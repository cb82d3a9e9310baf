//! Guards against bodies that change when they outgrow their storage.

use bytes::BytesMut;

use super::{BodyBuffer, MAX_HEAP_BYTES};

/// Returns bytes that differ from their neighbours at each page.
fn pattern(length: usize) -> Vec<u8> {
    (0..length)
        .map(|index| (index % 251) as u8 ^ (index >> 12) as u8)
        .collect()
}

#[tokio::test]
async fn a_body_is_kept_whole_in_either_storage() {
    for room in [0, 100, MAX_HEAP_BYTES + 1, MAX_HEAP_BYTES * 3] {
        for length in [
            0,
            99,
            MAX_HEAP_BYTES,
            MAX_HEAP_BYTES + 1,
            MAX_HEAP_BYTES * 3 + 7,
        ] {
            let expected = pattern(length);
            let mut appended = BodyBuffer::from(BytesMut::from(&expected[..length.min(9)]));
            for part in expected[length.min(9)..].chunks(10_007) {
                appended.reserve(room);
                appended.extend_from_slice(part);
            }
            let mut read = BodyBuffer::default();
            read.reserve(room);
            let mut stream = expected.as_slice();
            while read.read_from(&mut stream, 50_021).await.unwrap() > 0 {}
            for buffer in [appended, read] {
                assert_eq!(buffer.len(), length, "room {room}");
                assert!(buffer.freeze() == expected, "room {room}, length {length}");
            }
        }
    }
}
