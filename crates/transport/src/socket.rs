//! Options of TCP sockets.
//!
//! A connection can fail without a reset when a device between its ends loses its state. So every
//! connection uses keepalive probes and limits how long sent bytes may stay unacknowledged.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the first keepalive probe; one-way delays are a few milliseconds.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(1);

/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which a connection is closed.
const KEEPALIVE_PROBE_COUNT: u32 = 2;

/// Time after which a connection with unacknowledged bytes is closed: longer than three
/// retransmissions on a link that loses packets.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time for which bytes to a client may stay unacknowledged. The option also counts the time for
/// which the client does not read, and clients on the same VM do not fail silently.
const CLIENT_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(30);

/// Enables keepalive probes, the limit on unacknowledged bytes and `TCP_NODELAY`, on a connection
/// that may fail silently.
///
/// # Errors
///
/// Fails if the operating system rejects an option.
pub fn tune(stream: &TcpStream) -> io::Result<()> {
    tune_for(stream, UNACKNOWLEDGED_TIMEOUT)
}

/// Like [`tune`], on the connection of a client, which may read slowly.
///
/// # Errors
///
/// Fails if the operating system rejects an option.
pub fn tune_client(stream: &TcpStream) -> io::Result<()> {
    tune_for(stream, CLIENT_UNACKNOWLEDGED_TIMEOUT)
}

/// Makes the close of a connection discard the bytes that its peer has not read, with a reset.
///
/// # Errors
///
/// Fails if the operating system rejects the option.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

fn tune_for(stream: &TcpStream, unacknowledged: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBE_COUNT);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(unacknowledged))
}
