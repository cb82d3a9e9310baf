//! Gossip over UDP.
//!
//! A datagram is an HMAC-SHA-256 followed by the encoded [`proto::Gossip`]. Datagrams that do not
//! verify are dropped and counted.

use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use policy::member::{MAX_DATAGRAM_BYTES, Message};
use prost::Message as _;
use tokio::net::UdpSocket;

use crate::key::{Keys, TAG_LEN};
use crate::proto;

#[cfg(test)]
mod tests;

/// A larger datagram is truncated and fails verification.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramError {
    /// No accepted key signed it.
    Unverified,
    /// It was signed, but cannot be decoded by this version.
    Malformed,
}

impl fmt::Display for DatagramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Unverified => "datagram without a valid signature; compare the shared keys",
            Self::Malformed => "signed datagram that cannot be decoded; compare the versions",
        };
        f.write_str(text)
    }
}

impl Error for DatagramError {}

/// Encodes and signs a message. Updates that do not fit into a datagram are left out.
#[must_use]
pub fn encode(keys: &Keys, message: &Message) -> Vec<u8> {
    let mut wire = proto::Gossip::from(message);
    while wire.encoded_len() + TAG_LEN > MAX_DATAGRAM_BYTES && wire.updates.pop().is_some() {}
    let mut datagram = Vec::with_capacity(TAG_LEN + wire.encoded_len());
    datagram.resize(TAG_LEN, 0);
    wire.encode_raw(&mut datagram);
    let tag = keys.sign(&datagram[TAG_LEN..]);
    datagram[..TAG_LEN].copy_from_slice(&tag);
    datagram
}

/// Verifies and decodes a datagram.
///
/// # Errors
///
/// Returns an error if the datagram does not verify or cannot be decoded.
pub fn decode(keys: &Keys, datagram: &[u8]) -> Result<Message, DatagramError> {
    let (tag, body) = datagram
        .split_at_checked(TAG_LEN)
        .ok_or(DatagramError::Unverified)?;
    if !keys.verify(tag, body) {
        return Err(DatagramError::Unverified);
    }
    let wire = proto::Gossip::decode(body).map_err(|_| DatagramError::Malformed)?;
    Message::try_from(&wire).map_err(|_| DatagramError::Malformed)
}

/// Datagram counts since the start. Bytes exclude the IP and UDP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams that could not be sent.
    pub failed: u64,
    /// Datagrams received, dropped ones included.
    pub received: u64,
    /// Bytes received, dropped ones included.
    pub received_bytes: u64,
    /// Datagrams dropped because no accepted key signed them.
    pub unverified: u64,
    /// Datagrams dropped because they could not be decoded.
    pub malformed: u64,
}

#[derive(Debug, Default)]
struct Counters {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    failed: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
    unverified: AtomicU64,
    malformed: AtomicU64,
}

/// UDP socket for gossip.
#[derive(Debug)]
pub struct GossipSocket {
    socket: UdpSocket,
    keys: Keys,
    counters: Counters,
}

impl GossipSocket {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound.
    pub async fn bind(address: SocketAddr, keys: Keys) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self {
            socket,
            keys,
            counters: Counters::default(),
        })
    }

    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a message. A failure is counted and otherwise treated as a lost datagram.
    pub async fn send(&self, to: SocketAddr, message: &Message) {
        let datagram = encode(&self.keys, message);
        let counters = &self.counters;
        match self.socket.send_to(&datagram, to).await {
            Ok(bytes) => {
                count(&counters.sent, 1);
                count(&counters.sent_bytes, bytes);
            }
            Err(_) => count(&counters.failed, 1),
        }
    }

    /// Receives the next valid message. Invalid datagrams are dropped and counted. Cancel-safe.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system. The socket stays usable.
    pub async fn receive(&self) -> io::Result<Message> {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        let counters = &self.counters;
        loop {
            let (bytes, _) = self.socket.recv_from(&mut buffer).await?;
            count(&counters.received, 1);
            count(&counters.received_bytes, bytes);
            match decode(&self.keys, &buffer[..bytes]) {
                Ok(message) => return Ok(message),
                Err(DatagramError::Unverified) => count(&counters.unverified, 1),
                Err(DatagramError::Malformed) => count(&counters.malformed, 1),
            }
        }
    }

    /// Returns the datagram counts since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let counters = &self.counters;
        Counts {
            sent: read(&counters.sent),
            sent_bytes: read(&counters.sent_bytes),
            failed: read(&counters.failed),
            received: read(&counters.received),
            received_bytes: read(&counters.received_bytes),
            unverified: read(&counters.unverified),
            malformed: read(&counters.malformed),
        }
    }
}

fn count(counter: &AtomicU64, amount: usize) {
    counter.fetch_add(amount as u64, Ordering::Relaxed);
}
