use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

/// Accepts one connection, writes these bytes after the first read and closes.
async fn serve_once(bytes: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback is free");
    let address = listener.local_addr().expect("listener has an address");
    tokio::spawn(async move {
        if let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
            let _ = stream.write_all(bytes).await;
        }
    });
    address
}

/// Guards against a lost response that is reported as a request without effect, and the reverse.
#[rstest]
#[case(b"", "lost")]
#[case(b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{", "lost")]
#[case(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{", "reply")]
#[case(b"HTTP/1.1 500 Oh\r\ncontent-length: 2\r\n\r\nno", "reply")]
#[case(b"HTTP/1.1 404 No\r\ncontent-length: 0\r\n\r\n", "problem")]
#[tokio::test]
async fn only_lost_and_invalid_replies_may_have_taken_effect(
    #[case] bytes: &'static [u8],
    #[case] kind: &str,
) {
    let client = Client::new(serve_once(bytes).await, "key").expect("key is printable");
    let error = client.status().await.expect_err("reply is invalid");
    let found = match &error {
        ClientError::NoReply(..) => "lost",
        ClientError::InvalidReply(..) => "reply",
        ClientError::Problem(_) => "problem",
        ClientError::InvalidKey | ClientError::Connect(..) => "other",
    };
    assert_eq!(
        (found, error.may_have_taken_effect()),
        (kind, kind != "problem"),
        "{error}"
    );
}

/// Guards against a refused connection that is reported as a lost response, and against a key that
/// a header cannot carry.
#[tokio::test]
async fn refused_connection_is_reported_without_effect() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback is free");
    let address = listener.local_addr().expect("listener has an address");
    drop(listener);
    let client = Client::new(address, "key").expect("key is printable");
    let error = client.status().await.expect_err("the port is closed");
    assert!(matches!(error, ClientError::Connect(..)), "{error}");
    Client::new(address, "a\nb").unwrap_err();
}
