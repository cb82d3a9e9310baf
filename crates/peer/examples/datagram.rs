//! Measures the size of gossip datagrams, the time to encode and sign (seal) one and to verify and
//! decode (open) it, and the processor time of both sides when it is sent over loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use peer::gossip::{GossipSocket, decode, encode};
use peer::key::Keys;
use policy::member::{Body, Member, Message, State};

const ROUND_COUNT: u32 = 50_000;
const DATAGRAM_COUNT: u32 = 20_000;
/// IPv4 and UDP headers of a datagram.
const IP_UDP_HEADER_BYTES: usize = 28;

fn member(index: usize) -> Arc<Member> {
    let [high, low] = (index as u16).to_be_bytes();
    Arc::new(Member {
        vm: format!("pt-centro-{}-vm-{index:04}", index % 7).into(),
        incarnation: 1_700_000_000_000_000,
        version: 3,
        state: State::Alive,
        data_centre: format!("pt-centro-{}", index % 7).into(),
        call_address: SocketAddr::from(([10, 0, high, low], 7000)),
        gossip_address: SocketAddr::from(([10, 0, high, low], 7001)),
        service: Some(format!("service-{:02}", index % 80).into()),
        slots: 35,
        cold: false,
        unreachable: Vec::new(),
    })
}

fn message(updates: usize) -> Message {
    Message {
        from: Arc::clone(&member(0).vm),
        incarnation: 1_700_000_000_000_000,
        sequence: 100_000,
        body: Body::Ping {
            target: Arc::clone(&member(1).vm),
            incarnation: 1_700_000_000_000_000,
        },
        updates: (0..updates).map(member).collect(),
        rules: 100_000,
        homes: 100_000,
        digest: u64::MAX,
    }
}

fn nanos(time: Duration, count: u32) -> f64 {
    time.as_secs_f64() * 1e9 / f64::from(count)
}

/// Returns the user and system time of this process, fields 14 and 15 of `/proc/self/stat`.
fn process_time() -> Duration {
    /// Unit of these fields (`USER_HZ` is 100).
    const TICK: Duration = Duration::from_millis(10);
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: u32 = ticks.filter_map(|field| field.parse::<u32>().ok()).sum();
    TICK * ticks
}

async fn loopback(keys: &Keys, message: &Message) -> std::io::Result<(Duration, u64)> {
    const BATCH: u32 = 50;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let sender = GossipSocket::bind(any, keys.clone()).await?;
    let receiver = GossipSocket::bind(any, keys.clone()).await?;
    let to = receiver.local_addr()?;
    let before = process_time();
    for _ in 0..DATAGRAM_COUNT / BATCH {
        for _ in 0..BATCH {
            sender.send(to, message).await;
        }
        for _ in 0..BATCH {
            let _ = tokio::time::timeout(Duration::from_millis(100), receiver.receive()).await;
        }
    }
    let count = receiver.counts().received;
    Ok((process_time().saturating_sub(before), count))
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let keys = Keys::new(&["measurement-key-0123456789"])?;
    println!("| updates | bytes with IP and UDP | seal ns | open ns | both over loopback ns |");
    println!("|---|---|---|---|---|");
    for updates in [1, 2, 5, 10] {
        let message = message(updates);
        let clock = Instant::now();
        let mut bytes = 0;
        for _ in 0..ROUND_COUNT {
            bytes = encode(&keys, &message).len() + IP_UDP_HEADER_BYTES;
        }
        let sealing = nanos(clock.elapsed(), ROUND_COUNT);
        let datagram = encode(&keys, &message);
        let clock = Instant::now();
        for _ in 0..ROUND_COUNT {
            decode(&keys, &datagram)?;
        }
        let opening = nanos(clock.elapsed(), ROUND_COUNT);
        let (time, received) = loopback(&keys, &message).await?;
        let both = nanos(time, received.max(1) as u32);
        println!("| {updates} | {bytes} | {sealing:.0} | {opening:.0} | {both:.0} |");
    }
    Ok(())
}
