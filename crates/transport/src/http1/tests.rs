//! Guards against smuggled requests, truncated bodies that pass as complete and messages that are
//! decoded wrongly when they arrive in two parts.

use bytes::BytesMut;

use super::{DecodeError, Decoder, Framing, Message, MessageKind};

fn decode(kind: MessageKind, bytes: &[u8]) -> Result<Option<Message>, DecodeError> {
    Decoder::new(kind, 1_000, 1_000).take(&mut BytesMut::from(bytes))
}

#[test]
fn a_request_split_at_any_byte_is_decoded() {
    let bytes = b"POST /a/b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n\
        3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nTrailer: t\r\n\r\nGET /";
    for split in 0..bytes.len() {
        let mut decoder = Decoder::new(MessageKind::Request, 1_000, 1_000);
        let mut buffer = BytesMut::from(&bytes[..split]);
        let first = decoder.take(&mut buffer).unwrap();
        buffer.extend_from_slice(&bytes[split..]);
        let message = match first {
            Some(message) => message,
            None => decoder.take(&mut buffer).unwrap().unwrap(),
        };
        assert_eq!(message.head.method(), "POST");
        assert_eq!(message.head.target(), "/a/b");
        assert_eq!(&*message.body, b"abcdefg");
        assert_eq!(&*buffer, b"GET /");
    }
}

#[test]
fn ambiguous_lengths_are_rejected() {
    for fields in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    ] {
        let bytes = format!("POST / HTTP/1.1\r\nHost: h\r\n{fields}\r\nabc");
        let result = decode(MessageKind::Request, bytes.as_bytes());
        assert_eq!(result.err(), Some(DecodeError::Framing), "{fields}");
    }
}

#[test]
fn limits_apply_to_head_and_body() {
    let long = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(1_000));
    assert_eq!(
        decode(MessageKind::Request, long.as_bytes()).err(),
        Some(DecodeError::HeadTooLarge)
    );
    let large = b"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n";
    assert_eq!(
        decode(MessageKind::Request, large).err(),
        Some(DecodeError::BodyTooLarge)
    );
}

#[test]
fn a_response_without_length_ends_only_with_an_orderly_close() {
    let mut decoder = Decoder::new(MessageKind::Response, 1_000, 1_000);
    let mut buffer = BytesMut::from(&b"HTTP/1.1 200 OK\r\n\r\npart"[..]);
    assert!(decoder.take(&mut buffer).unwrap().is_none());
    let message = decoder.handle_close().unwrap();
    assert_eq!(message.head.framing, Framing::UntilClose);
    assert_eq!(&*message.body, b"part");
}

#[test]
fn a_truncated_body_is_not_completed_by_a_close() {
    let mut decoder = Decoder::new(MessageKind::Response, 1_000, 1_000);
    let mut buffer = BytesMut::from(&b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"[..]);
    assert!(decoder.take(&mut buffer).unwrap().is_none());
    assert!(decoder.handle_close().is_none());
}

/// Guards against statuses that no response has, and against a final response that hides in the body
/// of an interim one.
#[test]
fn statuses_outside_the_protocol_are_rejected() {
    for status in ["000", "099", "600", "999"] {
        let bytes = format!("HTTP/1.1 {status} S\r\nContent-Length: 0\r\n\r\n");
        let result = decode(MessageKind::Response, bytes.as_bytes());
        assert_eq!(result.err(), Some(DecodeError::Head), "{status}");
    }
    for status in ["100", "101", "199", "200", "599"] {
        let bytes = format!("HTTP/1.1 {status} S\r\nContent-Length: 0\r\n\r\n");
        let message = decode(MessageKind::Response, bytes.as_bytes()).unwrap();
        assert_eq!(message.unwrap().head.status.to_string(), status);
    }
    for field in ["Content-Length: 38", "Transfer-Encoding: chunked"] {
        let hidden = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        let bytes = format!("HTTP/1.1 103 Early Hints\r\n{field}\r\n\r\n{hidden}");
        let result = decode(MessageKind::Response, bytes.as_bytes());
        assert_eq!(result.err(), Some(DecodeError::Framing), "{field}");
    }
}
