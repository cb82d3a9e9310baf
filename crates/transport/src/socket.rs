//! Options of TCP sockets.
//!
//! A connection can go silent without a reset when something between its ends loses track of it, so
//! every connection probes its peer and gives up on unacknowledged bytes.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Silence before the first probe; one-way delays are a few milliseconds.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Time between probes.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Unanswered probes that end a connection.
const PROBES: u32 = 2;

/// Time after which unacknowledged bytes end a connection: longer than three retransmissions on a
/// link that loses packets.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);

/// Sets probes, the limit on unacknowledged bytes and immediate sends.
///
/// # Errors
///
/// Fails when the operating system refuses an option.
pub fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
