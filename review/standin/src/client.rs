//! Stand-in clients.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", (u64::from(std::process::id()) << 32) + number)
}

/// How a request ended, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer with this status, and whether it bears a seal.
    Answered(u16, bool),
    /// The connection ended before the answer was complete.
    Cut {
        kind: String,
        received: usize,
        expected: usize,
    },
    /// The client's own deadline passed.
    TimedOut,
    /// The connection could not be opened, or the request could not be sent.
    NotSent,
}

#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    /// Requests answered on the same connection before.
    pub earlier: u32,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub outcome: Outcome,
}

/// How a client reads an answer.
#[derive(Clone, Copy, Debug)]
pub enum Reading {
    AtOnce,
    /// It reads nothing for this long, then all.
    PauseFirst(Duration),
    /// It reads this many bytes a second.
    Rate(usize),
}

#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub host: &'static str,
    pub target: String,
    pub deadline: Duration,
    pub body: usize,
    /// Length of a cookie.
    pub cookie: usize,
    /// Whether each request has a cookie of its own, rather than the same one.
    pub own_cookie: bool,
    /// Whether it asks for an interim response before it sends the body.
    pub expect: bool,
}

impl Request {
    pub fn get(host: &'static str, target: &str, deadline: Duration) -> Self {
        Self {
            method: "GET",
            host,
            target: target.to_owned(),
            deadline,
            body: 0,
            cookie: 0,
            own_cookie: false,
            expect: false,
        }
    }
}

/// Sends a request and reads its answer.
pub fn exchange(
    connection: &mut Connection,
    request: &Request,
    earlier: u32,
    reading: Reading,
    record: &Record,
) -> Sent {
    let id = new_id();
    let sent_at = Instant::now();
    record.line(&format!(
        "send {id} {} {} body {}",
        request.method, request.target, request.body
    ));
    let outcome = transfer(connection, request, &id, sent_at, reading);
    let ended_at = Instant::now();
    record.line(&format!("end {id} {outcome:?}"));
    Sent {
        id,
        earlier,
        sent_at,
        ended_at,
        outcome,
    }
}

fn cookie(request: &Request, id: &str) -> String {
    if request.cookie == 0 {
        return String::new();
    }
    let word = if request.own_cookie {
        id
    } else {
        "0123456789abcdef"
    };
    format!(
        "Cookie: user={}\r\n",
        word.repeat(request.cookie / word.len())
    )
}

fn cut(error: &io::Error, received: usize, expected: usize) -> Outcome {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Outcome::TimedOut,
        kind => Outcome::Cut {
            kind: kind.to_string(),
            received,
            expected,
        },
    }
}

fn transfer(
    connection: &mut Connection,
    request: &Request,
    id: &str,
    sent_at: Instant,
    reading: Reading,
) -> Outcome {
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nX-Sapphiredoor-Attempt-Id: {id}\r\nX-Sapphiredoor-Deadline-Ms: {}\r\n{}{}Content-Length: {}\r\n\r\n",
        request.method,
        request.target,
        request.host,
        request.deadline.as_millis(),
        cookie(request, id),
        if request.expect {
            "Expect: 100-continue\r\n"
        } else {
            ""
        },
        request.body
    );
    let left = |connection: &Connection| {
        let left = request.deadline.saturating_sub(sent_at.elapsed());
        drop(
            connection
                .stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1)))),
        );
    };
    drop(connection.stream.set_write_timeout(Some(request.deadline)));
    if connection.write(head.as_bytes()).is_err() {
        return Outcome::NotSent;
    }
    if request.expect {
        // Waits a second for the interim response, as usual clients do, then sends the body.
        drop(
            connection
                .stream
                .set_read_timeout(Some(Duration::from_secs(1))),
        );
        match connection.head() {
            Ok(Some(head)) if head.status() == 100 => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            other => {
                return Outcome::Cut {
                    kind: format!("{:?}", other.map(|head| head.map(|head| head.status()))),
                    received: 0,
                    expected: 0,
                };
            }
        }
    }
    let piece = vec![b'b'; 64 << 10];
    let mut rest = request.body;
    while rest > 0 {
        let count = rest.min(piece.len());
        if let Err(error) = connection.write(&piece[..count]) {
            return cut(&error, 0, 0);
        }
        rest -= count;
    }
    if let Reading::PauseFirst(time) = reading {
        thread::sleep(time);
    }
    left(connection);
    let head = match connection.head() {
        Ok(Some(head)) => head,
        Ok(None) => {
            return Outcome::Cut {
                kind: "closed".to_owned(),
                received: 0,
                expected: 0,
            };
        }
        Err(error) => return cut(&error, 0, 0),
    };
    let length = if request.method == "HEAD" {
        0
    } else {
        head.length()
    };
    let mut received = 0;
    let begun = Instant::now();
    while received < length {
        let most = match reading {
            Reading::Rate(rate) => {
                let due = begun.elapsed().as_secs_f64() * rate as f64;
                if received as f64 > due {
                    thread::sleep(Duration::from_millis(5));
                    continue;
                }
                4 << 10
            }
            _ => usize::MAX,
        };
        left(connection);
        match connection.part(most.min(length - received)) {
            Ok(part) => received += part.len(),
            Err(error) => return cut(&error, received, length),
        }
    }
    let sealed = head.field("X-Sapphiredoor-Server-Seal").is_some();
    Outcome::Answered(head.status(), sealed)
}

/// A client that sends one request after the other on a connection that it keeps.
#[derive(Debug)]
pub struct Steady {
    pub sent: Arc<Mutex<Vec<Sent>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Steady {
    pub fn start(address: SocketAddr, request: &Request, pause: Duration, record: &Record) -> Self {
        let sent = Arc::new(Mutex::new(Vec::new()));
        let stop = Arc::new(AtomicBool::new(false));
        let (log, end, request, record) = (
            Arc::clone(&sent),
            Arc::clone(&stop),
            request.clone(),
            record.clone(),
        );
        let thread = thread::spawn(move || {
            let mut open: Option<(Connection, u32)> = None;
            while !end.load(Ordering::Relaxed) {
                let Some((mut connection, earlier)) = open
                    .take()
                    .or_else(|| Connection::open(address).ok().map(|open| (open, 0)))
                else {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                };
                let done = exchange(&mut connection, &request, earlier, Reading::AtOnce, &record);
                if matches!(done.outcome, Outcome::Answered(..)) {
                    open = Some((connection, earlier + 1));
                }
                log.lock().unwrap().push(done);
                thread::sleep(pause);
            }
        });
        Self {
            sent,
            stop,
            thread: Some(thread),
        }
    }

    /// Ends the client; returns what it sent.
    pub fn finish(mut self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
        self.sent.lock().unwrap().clone()
    }
}
