//! Stand-in for an upstream: a sound server that answers what it gets.
//!
//! The query of a request says how long it works (`work`, in milliseconds) and how many bytes it
//! answers (`size`).

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::http::{Connection, query};
use crate::record::Record;

/// A request that an upstream ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub begun: Instant,
}

#[derive(Debug)]
pub struct Upstream {
    pub id: String,
    pub vm: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub born: u64,
    pub slots: u32,
    pub record: Record,
    pub runs: Mutex<Vec<Run>>,
    /// Whether it sends no more heartbeats.
    pub quiet: AtomicBool,
    /// Factor on the time of its work, in thousandths.
    pub slowness: AtomicU64,
    sequence: AtomicU64,
}

impl Upstream {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        id: &str,
        vm: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        control: SocketAddr,
        slots: u32,
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let wall = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap();
        let upstream = Arc::new(Self {
            id: id.to_owned(),
            vm: vm.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            control,
            born: wall.as_millis() as u64,
            slots,
            record: record.clone(),
            runs: Mutex::default(),
            quiet: AtomicBool::new(false),
            slowness: AtomicU64::new(1_000),
            sequence: AtomicU64::new(0),
        });
        let server = Arc::clone(&upstream);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = Arc::clone(&server);
                thread::spawn(move || drop(upstream.serve(Connection::new(stream))));
            }
        });
        Ok(upstream)
    }

    /// Starts to send heartbeats at an interval.
    pub fn start_heartbeats(self: &Arc<Self>, interval: Duration) {
        let upstream = Arc::clone(self);
        thread::spawn(move || {
            loop {
                if !upstream.quiet.load(Ordering::Relaxed) {
                    let beat = upstream.heartbeat();
                    let status = upstream.report(&beat);
                    let vm = &upstream.vm;
                    upstream.record.line(&format!("heartbeat {vm}: {status:?}"));
                }
                thread::sleep(interval);
            }
        });
    }

    /// Returns a heartbeat with the next sequence number.
    pub fn heartbeat(&self) -> Vec<u8> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Slots":{},"State":"ready","ColdRemainingMs":0,"Seq":{sequence},"born":{}}}"#,
            self.service, self.address, self.zone, self.slots, self.born
        );
        self.message("heartbeat", &body)
    }

    /// Returns the message that it leaves.
    pub fn deregistration(&self) -> Vec<u8> {
        self.message("deregister", &format!(r#"{{"born":{}}}"#, self.born))
    }

    fn message(&self, call: &str, body: &str) -> Vec<u8> {
        let head = format!(
            "POST /v1/rpc?call=instances.{call}&of={} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            self.id,
            self.control,
            body.len()
        );
        (head + body).into_bytes()
    }

    /// Sends a message to the daemon beside it; returns the status of the response.
    pub fn report(&self, message: &[u8]) -> io::Result<u16> {
        let mut connection = Connection::open(self.control)?;
        connection
            .stream
            .set_read_timeout(Some(Duration::from_secs(1)))?;
        connection.write(message)?;
        Ok(connection.head()?.map_or(0, |head| head.status()))
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(head) = connection.head()? {
            let mut words = head.line.split(' ');
            let target = words.nth(1).unwrap_or("").to_owned();
            if target == "/health" {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Sapphiredoor-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                connection.write(text.as_bytes())?;
                continue;
            }
            let begun = Instant::now();
            let length = head.length();
            let mut left = length;
            while left > 0 {
                left -= connection.part(left)?.len();
            }
            let id = head
                .field("X-Sapphiredoor-Attempt-Id")
                .unwrap_or("")
                .to_owned();
            let expected = head.field("X-Sapphiredoor-Expect-Instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Sapphiredoor-Instance-Id: {}\r\nX-Sapphiredoor-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                connection.write(text.as_bytes())?;
                continue;
            }
            self.record
                .line(&format!("run {id} at {} body {length}", self.vm));
            self.runs.lock().unwrap().push(Run {
                id: id.clone(),
                begun,
            });
            let number = |name| query(&target, name).and_then(|text| text.parse::<u64>().ok());
            let work = number("work").unwrap_or(5) * self.slowness.load(Ordering::Relaxed) / 1_000;
            thread::sleep(Duration::from_millis(work));
            if let Some(part) = query(&target, "endless") {
                return self.endless(&mut connection, &id, &part);
            }
            let size = number("size").unwrap_or(100) as usize;
            let mut bytes = format!(
                "HTTP/1.1 200 OK\r\nX-Sapphiredoor-Attempt-Id: {id}\r\nX-Sapphiredoor-Server-Seal: {:x}.07.{:x}.{size}.0.00\r\nX-Sapphiredoor-Instance-Load: 1,0,{}\r\nKeep-Alive: timeout=10\r\nContent-Length: {size}\r\n\r\n",
                self.born, length, self.slots
            )
            .into_bytes();
            if !head.line.starts_with("HEAD ") {
                bytes.resize(bytes.len() + size, b'x');
            }
            connection.write(&bytes)?;
        }
        Ok(())
    }

    /// Sends bytes without end, as a server in trouble does, until the daemon closes.
    fn endless(&self, connection: &mut Connection, id: &str, part: &str) -> io::Result<()> {
        let head = format!("HTTP/1.1 200 OK\r\nX-Sapphiredoor-Attempt-Id: {id}\r\n");
        let (start, piece) = match part {
            "head" => (head, "X-Filler: 0123456789abcdef\r\n".repeat(100)),
            "line" => (head + "X-Filler: ", "0123456789abcdef".repeat(100)),
            "interim" => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n".repeat(10)),
            "chunks" => (
                head + "X-Sapphiredoor-Server-Seal: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                format!("1000\r\n{}\r\n", "x".repeat(4_096)),
            ),
            _ => (
                head + "X-Sapphiredoor-Server-Seal: 1\r\n\r\n",
                "x".repeat(4_096),
            ),
        };
        connection.write(start.as_bytes())?;
        let begun = Instant::now();
        let mut bytes = 0;
        loop {
            if let Err(error) = connection.write(piece.as_bytes()) {
                let time = begun.elapsed().as_secs_f64();
                self.record.line(&format!(
                    "endless {part} ended after {time:.2} s, {bytes} bytes: {error}"
                ));
                return Err(error);
            }
            bytes += piece.len();
        }
    }
}
