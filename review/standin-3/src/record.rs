//! What was sent, answered and run, with the time since the start of the case.

use std::fs;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A request that an endpoint ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// When it began.
    pub at: Duration,
    /// Id of the client's attempt.
    pub id: String,
    /// Service of the endpoint.
    pub service: String,
    /// VM of the endpoint.
    pub vm: String,
}

/// A request of a client, with its answer.
#[derive(Clone, Debug)]
pub struct Sent {
    /// When it was sent.
    pub at: Duration,
    /// Id of the client's attempt.
    pub id: String,
    /// VM to whose daemon it was sent.
    pub vm: String,
    /// Status of the answer, 0 if there was none.
    pub status: u16,
}

/// Record of a case.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
    runs: Mutex<Vec<Run>>,
    sent: Mutex<Vec<Sent>>,
}

impl Record {
    /// Starts a record.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::default(),
            runs: Mutex::default(),
            sent: Mutex::default(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Adds a line, which is printed too.
    pub fn note(&self, text: impl Into<String>) {
        let (now, text) = (self.now(), text.into());
        println!("{:8.3} {text}", now.as_secs_f64());
        self.lines.lock().unwrap().push((now, text));
    }

    /// Adds a request that an endpoint runs.
    pub fn ran(&self, id: &str, service: &str, vm: &str) {
        let run = Run {
            at: self.now(),
            id: id.to_owned(),
            service: service.to_owned(),
            vm: vm.to_owned(),
        };
        self.runs.lock().unwrap().push(run);
    }

    /// Adds a request of a client that was sent at some time.
    pub fn answered(&self, at: Duration, id: &str, vm: &str, status: u16) {
        let sent = Sent {
            at,
            id: id.to_owned(),
            vm: vm.to_owned(),
            status,
        };
        self.sent.lock().unwrap().push(sent);
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the requests so far.
    pub fn sent(&self) -> Vec<Sent> {
        self.sent.lock().unwrap().clone()
    }

    /// Writes everything to a file, in the order of time.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        for run in self.runs() {
            let text = format!("run      {} at {} ({})", run.id, run.vm, run.service);
            lines.push((run.at, text));
        }
        for sent in self.sent() {
            let text = format!(
                "request  {} to {}, answer {}",
                sent.id, sent.vm, sent.status
            );
            lines.push((sent.at, text));
        }
        lines.sort_by_key(|(at, _)| *at);
        let line = |(at, text): &(Duration, String)| format!("{:8.3} {text}\n", at.as_secs_f64());
        fs::write(path, lines.iter().map(line).collect::<String>())
    }
}
