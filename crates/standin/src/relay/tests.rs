use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

/// Starts an echo server.
async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind(loopback()).await.expect("port is free");
    let address = listener.local_addr().expect("listener has an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.into_split();
                tokio::io::copy(&mut reader, &mut writer).await
            });
        }
    });
    address
}

async fn exchange(stream: &mut TcpStream) -> io::Result<u8> {
    stream.write_all(b"x").await?;
    stream.read_u8().await
}

/// Guards against a silence that closes the connection or also affects new ones.
#[tokio::test]
async fn silence_and_cut_affect_only_open_connections() {
    let relay = Relay::start(echo_server().await)
        .await
        .expect("port is free");
    let mut old = TcpStream::connect(relay.address())
        .await
        .expect("relay is up");
    assert_eq!(exchange(&mut old).await.ok(), Some(b'x'));
    relay.silence_open();
    old.write_all(b"y").await.expect("connection is open");
    let mut new = TcpStream::connect(relay.address())
        .await
        .expect("relay is up");
    for _ in 0..100 {
        assert_eq!(exchange(&mut new).await.ok(), Some(b'x'));
    }
    let read = old.try_read(&mut [0; 1]).map_err(|error| error.kind());
    assert_eq!(read, Err(io::ErrorKind::WouldBlock));
    assert_eq!(relay.accepted(), 2);
    relay.cut_open();
    old.read_u8().await.expect_err("connection is cut");
    new.read_u8().await.expect_err("connection is cut");
}
