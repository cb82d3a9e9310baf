//! Crowds of clients that read long responses slowly, or send long bodies slowly, and endpoints that
//! send bytes without end, against the real program.
//!
//! Guards against daemons that run out of memory or descriptors, or stop serving others, because of
//! clients that the operators do not control (held-answers) or of one faulty endpoint (review/6), and
//! against bodies of the largest allowed size that are refused. Only what does not depend on the speed of the machine is checked:
//! processes, peak memory, descriptors, and that requests are answered afterwards.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Mutex;
use std::time::Duration;

use adapter::standin::{self, ClientRequest};
use bytes::BytesMut;
use policy::routing::{RetrySafety, Route, WeightedService};
use rstest::rstest;
use soak::client::{HOST, SHOP, STOCK};
use soak::net::{self, TaskGroup};
use soak::vm::Vm;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use transport::http1::{Decoder, Message, MessageKind};

mod support;

/// One crowd at a time, so that the machine's memory suffices.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Memory of the smallest VM.
const MAX_RESIDENT_KIB: u64 = 160_000_000 / 1_024;

/// Descriptors of the smallest VM.
const MAX_DESCRIPTORS: usize = 4_100;

/// Clients of a crowd. Their responses exceed the memory of the VM several times.
const CROWD: usize = 40;

/// Largest body that the configuration allows.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Calls that a faulty endpoint responds to at the same time. Together they would exceed the memory of
/// the VM with less than 1 MiB each.
const FAULTY_CALLS: usize = 300;

/// Kept connections over which requests go to a sound endpoint meanwhile.
const WITNESSES: usize = 8;

/// Time that a sound endpoint needs for the request of a witness, in milliseconds.
const WITNESS_WORK: &str = "work-300";

/// Time for which a crowd goes on.
const CROWD_TIME: Duration = Duration::from_secs(6);

/// Time between the few bytes that a slow client reads or sends.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(200);

/// Bytes that a slow client reads or sends at once.
const TRICKLE_BYTES: usize = 8;

/// Receive buffer of a slow client; the rest of its response stays at the daemon.
const CLIENT_BUFFER_BYTES: u32 = 16 << 10;

/// Time that a client waits for its response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(25);

/// Time within which the daemons must be ready, and an ordinary request must be answered. Only a
/// daemon that hangs takes that long.
const PATIENCE: Duration = Duration::from_mins(1);

/// Path prefix of the service on the VM of the clients.
const NEAR: &str = "/near/";

/// Path prefix of the service on the other VM.
const FAR: &str = "/far/";

/// Daemons with endpoints that respond with as many bytes as the last part of the path states.
struct Site {
    vms: Vec<Rc<Vm>>,
}

impl Site {
    async fn start(tasks: &TaskGroup, directory: PathBuf) -> Self {
        let vms = support::start_vms(tasks, directory, configuration(), 1_000, respond);
        let site = Self { vms };
        for prefix in [NEAR, FAR] {
            site.expect_ordinary(prefix).await;
        }
        site
    }

    fn address(&self) -> SocketAddr {
        self.vms[0].entry().address
    }

    /// Sends an ordinary request until it is answered.
    async fn expect_ordinary(&self, prefix: &str) {
        let attempts = async {
            loop {
                let response = exchange(self.address(), &format!("{prefix}100"), &[]).await;
                if response.is_some_and(|message| message.head.status == 200) {
                    return;
                }
                tokio::time::sleep(TRICKLE_INTERVAL).await;
            }
        };
        let answered = tokio::time::timeout(PATIENCE, attempts).await;
        assert!(answered.is_ok(), "no request to {prefix} is answered");
    }

    /// Checks that no daemon has ended or exceeded a limit of its VM.
    fn check_processes(&self) {
        for vm in &self.vms {
            let process = vm.process_id().expect("the daemon was started");
            let resident = peak_resident_kib(process);
            let folder = std::fs::read_dir(format!("/proc/{process}/fd"));
            let descriptors = folder.map_or(0, Iterator::count);
            println!(
                "VM {}: {resident:?} KiB, {descriptors} descriptors",
                vm.index
            );
            let resident = resident.expect("the daemon still runs");
            assert!(
                resident <= MAX_RESIDENT_KIB,
                "VM {}: {resident} KiB resident",
                vm.index
            );
            assert!(descriptors > 0, "VM {}: the daemon has ended", vm.index);
            assert!(descriptors <= MAX_DESCRIPTORS, "{descriptors} descriptors");
        }
    }
}

/// Returns the peak resident memory of a process, or `None` if it has ended.
fn peak_resident_kib(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.split_whitespace().next()?.parse().ok()
}

fn configuration() -> Vec<u8> {
    let route = |name: &str, prefix: &str, service: &str| Route {
        name: name.into(),
        host: HOST.to_owned(),
        prefix: prefix.to_owned(),
        retry_safety: RetrySafety::Idempotent,
        timeout: CLIENT_TIMEOUT,
        objective: CLIENT_TIMEOUT / 2,
        rank: 1,
        attempts: 2,
        exempt: false,
        services: vec![WeightedService {
            service: service.into(),
            weight: 1.0,
        }],
    };
    let routes = [route("near", NEAR, SHOP), route("far", FAR, STOCK)];
    let text = String::from_utf8(standin::encode_configuration(1, &routes)).expect("JSON");
    let small = "\"MaxBodyBytes\":1048576";
    assert!(text.contains(small), "{text}");
    text.replace(small, &format!("\"MaxBodyBytes\":{MAX_BODY_BYTES}"))
        .into_bytes()
}

fn decoder(side: MessageKind) -> Decoder {
    Decoder::new(side, 64 << 10, MAX_BODY_BYTES)
}

/// Responds with the stated number of bytes, or with the length of the request body if it has one.
async fn respond(mut stream: TcpStream) {
    let mut decoder = decoder(MessageKind::Request);
    let mut buffer = BytesMut::with_capacity(64 << 10);
    let part = vec![b'x'; 256 << 10];
    while let Some(message) = net::read_message(&mut stream, &mut decoder, &mut buffer).await {
        let received = standin::decode_request(&message.head);
        let stated = message.head.target().rsplit('/').next();
        if let Some(endless) = stated.and_then(Endless::parse) {
            endless.send(&mut stream, &received.id).await;
            return;
        }
        if stated == Some(WITNESS_WORK) {
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        let length: usize = stated.and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut response = standin::encode_signed(200, &received.id, length);
        let mut rest = length;
        if !message.body.is_empty() {
            let text = message.body.len().to_string();
            response = standin::encode_signed(200, &received.id, text.len());
            response.extend_from_slice(text.as_bytes());
            rest = 0;
        }
        drop(message);
        let mut written = stream.write_all(&response).await;
        while rest > 0 && written.is_ok() {
            let count = rest.min(part.len());
            written = stream.write_all(&part[..count]).await;
            rest -= count;
        }
        if written.is_err() {
            return;
        }
    }
}

/// Response without an end, or with more bytes than it states.
#[derive(Clone, Copy, Debug)]
enum Endless {
    UntilClose,
    Chunks,
    Length,
    Head,
    Trailer,
}

impl Endless {
    const ALL: [Self; 5] = [
        Self::UntilClose,
        Self::Chunks,
        Self::Length,
        Self::Head,
        Self::Trailer,
    ];

    fn parse(text: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|endless| format!("{endless:?}") == text)
    }

    /// Sends the response until the daemon closes the connection.
    async fn send(self, stream: &mut TcpStream, id: &str) {
        let signed = String::from_utf8(standin::encode_signed(200, id, 0)).expect("ASCII");
        let (head, _) = signed.split_once("Content-Length").expect("a length");
        let (start, repeated) = match self {
            Self::UntilClose => ("\r\n", "0123456789abcdef"),
            Self::Chunks => (
                "Transfer-Encoding: chunked\r\n\r\n",
                "10\r\n0123456789abcdef\r\n",
            ),
            Self::Length => ("Content-Length: 67108864\r\n\r\n", "0123456789abcdef"),
            Self::Head => ("", "X-Filler: 0123456789abcdef\r\n"),
            Self::Trailer => (
                "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                "X-Filler: 0123456789abcdef\r\n",
            ),
        };
        let part = repeated.repeat((64 << 10) / repeated.len());
        let mut written = stream.write_all(format!("{head}{start}").as_bytes()).await;
        while written.is_ok() {
            written = stream.write_all(part.as_bytes()).await;
        }
    }
}

fn encode(target: &str, body: &[u8]) -> Vec<u8> {
    static COUNT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    let number = COUNT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let mut bytes = Vec::new();
    let request = ClientRequest {
        method: "PUT",
        host: HOST,
        target,
        id: &format!("attempt-{number}"),
        client_timeout: CLIENT_TIMEOUT,
        key: None,
        body,
    };
    standin::encode_request(&request, &mut bytes);
    bytes
}

/// Sends a request and reads its response.
async fn exchange(address: SocketAddr, target: &str, body: &[u8]) -> Option<Message> {
    let request = encode(target, body);
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(&request).await.ok()?;
        let mut decoder = decoder(MessageKind::Response);
        net::read_message(&mut stream, &mut decoder, &mut BytesMut::new()).await
    };
    tokio::time::timeout(CLIENT_TIMEOUT, exchange)
        .await
        .ok()
        .flatten()
}

/// Runs a test against a site, alone.
fn run_alone(name: &str, test: impl AsyncFnOnce(&Site, &TaskGroup)) {
    let _alone = ONE_AT_A_TIME
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    support::run(name, async |tasks, directory| {
        let site = Site::start(tasks, directory).await;
        test(&site, tasks).await;
        for vm in &site.vms {
            vm.kill().await;
        }
    });
}

/// What a client of a crowd does.
#[derive(Clone, Copy, Debug)]
enum Habit {
    /// Sends requests and reads nothing.
    Silent,
    /// Sends requests and reads a few bytes a second.
    Trickle,
    /// Sends a long body, the end of it a few bytes a second.
    Upload,
}

async fn behave(address: SocketAddr, habit: Habit, target: String, requests: usize, length: usize) {
    let socket = TcpSocket::new_v4().expect("a socket");
    let _ = socket.set_recv_buffer_size(CLIENT_BUFFER_BYTES);
    let Ok(mut stream) = socket.connect(address).await else {
        return;
    };
    match habit {
        Habit::Silent | Habit::Trickle => {
            for _ in 0..requests {
                if stream.write_all(&encode(&target, &[])).await.is_err() {
                    return;
                }
            }
        }
        Habit::Upload => {
            let request = encode(&target, &vec![b'x'; length]);
            let (most, rest) = request.split_at(request.len() - (1 << 10));
            if stream.write_all(most).await.is_err() {
                return;
            }
            for part in rest.chunks(TRICKLE_BYTES) {
                tokio::time::sleep(TRICKLE_INTERVAL).await;
                if stream.write_all(part).await.is_err() {
                    return;
                }
            }
        }
    }
    if matches!(habit, Habit::Trickle) {
        let mut bytes = [0; TRICKLE_BYTES];
        while matches!(stream.read(&mut bytes).await, Ok(count) if count > 0) {
            tokio::time::sleep(TRICKLE_INTERVAL).await;
        }
    }
    std::future::pending::<()>().await;
}

#[rstest]
#[case::near_silent(NEAR, Habit::Silent, 1, 12 << 20)]
#[case::near_trickle(NEAR, Habit::Trickle, 1, 12 << 20)]
#[case::near_pipelined(NEAR, Habit::Trickle, 16, 1 << 20)]
#[case::near_many_short(NEAR, Habit::Silent, 64, 60 << 10)]
#[case::far_silent(FAR, Habit::Silent, 1, 12 << 20)]
#[case::far_trickle(FAR, Habit::Trickle, 1, 12 << 20)]
#[case::far_pipelined(FAR, Habit::Silent, 16, 1 << 20)]
#[case::far_many_short(FAR, Habit::Trickle, 64, 60 << 10)]
#[case::near_uploads(NEAR, Habit::Upload, 1, 12 << 20)]
#[case::far_uploads(FAR, Habit::Upload, 1, 12 << 20)]
#[case::far_short_uploads(FAR, Habit::Upload, 1, 60 << 10)]
fn a_crowd_of_slow_clients_is_survived(
    #[case] prefix: &str,
    #[case] habit: Habit,
    #[case] requests: usize,
    #[case] length: usize,
) {
    let name = format!("{prefix}{habit:?}-{requests}").replace('/', "");
    run_alone(&name, async |site, tasks| {
        for _ in 0..CROWD {
            let target = format!("{prefix}{length}");
            tasks.spawn(behave(site.address(), habit, target, requests, length));
        }
        tokio::time::sleep(CROWD_TIME).await;
        site.check_processes();
        for prefix in [NEAR, FAR] {
            site.expect_ordinary(prefix).await;
        }
        site.check_processes();
    });
}

/// Guards against a body of the largest allowed size that is refused although it is alone, or that
/// does not fit into the smallest VM.
#[rstest]
#[case::near(NEAR)]
#[case::far(FAR)]
fn bodies_of_the_largest_size_pass(#[case] prefix: &str) {
    let name = format!("largest-{prefix}").replace('/', "");
    run_alone(&name, async |site, _| {
        let target = format!("{prefix}upload");
        let response = exchange(site.address(), &target, &vec![b'x'; MAX_BODY_BYTES]).await;
        let response = response.expect("the upload is answered");
        assert_eq!(response.head.status, 200);
        assert_eq!(response.body, MAX_BODY_BYTES.to_string());
        let target = format!("{prefix}{MAX_BODY_BYTES}");
        let response = exchange(site.address(), &target, &[]).await;
        let response = response.expect("the download is answered");
        assert_eq!(response.head.status, 200);
        assert_eq!(response.body.len(), MAX_BODY_BYTES);
        site.check_processes();
    });
}

/// Sends requests over a kept connection, as long as it is open, and opens another one when the daemon
/// has announced its end. Counts the requests whose connection ended without a response.
async fn witness(address: SocketAddr, target: String, lost: Rc<Cell<usize>>) {
    loop {
        let Ok(mut stream) = TcpStream::connect(address).await else {
            return;
        };
        let mut decoder = decoder(MessageKind::Response);
        let mut buffer = BytesMut::new();
        loop {
            if stream.write_all(&encode(&target, &[])).await.is_err() {
                break;
            }
            let response = net::read_message(&mut stream, &mut decoder, &mut buffer).await;
            let Some(response) = response else {
                lost.set(lost.get() + 1);
                break;
            };
            if response.head.close {
                break;
            }
        }
    }
}

/// Guards against an endpoint that sends without end, alone on its VM, and takes so much memory that
/// the daemon ends, and with it the requests of others there.
#[rstest]
#[case::near_until_close(NEAR, Endless::UntilClose)]
#[case::near_chunks(NEAR, Endless::Chunks)]
#[case::near_length(NEAR, Endless::Length)]
#[case::near_head(NEAR, Endless::Head)]
#[case::near_trailer(NEAR, Endless::Trailer)]
#[case::far_until_close(FAR, Endless::UntilClose)]
#[case::far_chunks(FAR, Endless::Chunks)]
#[case::far_length(FAR, Endless::Length)]
fn an_endpoint_that_sends_without_end_is_survived(#[case] prefix: &str, #[case] endless: Endless) {
    let name = format!("{prefix}{endless:?}").replace('/', "");
    run_alone(&name, async |site, tasks| {
        let sound = if prefix == NEAR { FAR } else { NEAR };
        let lost = Rc::new(Cell::new(0));
        for _ in 0..WITNESSES {
            let target = format!("{sound}{WITNESS_WORK}");
            tasks.spawn(witness(site.address(), target, Rc::clone(&lost)));
        }
        for _ in 0..FAULTY_CALLS {
            let (address, target) = (site.address(), format!("{prefix}{endless:?}"));
            tasks.spawn(async move {
                loop {
                    drop(exchange(address, &target, &[]).await);
                    tokio::time::sleep(TRICKLE_INTERVAL).await;
                }
            });
        }
        tokio::time::sleep(CROWD_TIME).await;
        site.check_processes();
        assert_eq!(lost.get(), 0, "requests of others ended without a response");
        site.expect_ordinary(sound).await;
        site.check_processes();
    });
}
