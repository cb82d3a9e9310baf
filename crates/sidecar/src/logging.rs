//! Structured logs on standard output.
//!
//! Each line is a JSON object, formatted by `logforth`. A separate thread writes the lines, so that
//! a reader of standard output that stalls never blocks the daemon. Lines beyond the limits are
//! counted and dropped.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use log::{LevelFilter, info};
use logforth::append::Append;
use logforth::layout::{JsonLayout, Layout};
use logforth::record::Record;
use logforth::{Diagnostic, Error};

#[cfg(test)]
mod tests;

/// Largest number of lines of one event per second. Ten events are limited, so that together they
/// write at most 400 lines, about 150 kB, per second.
const LINES_PER_SECOND: u32 = 40;

/// Lines that wait for the writer thread at most.
const MAX_QUEUED_LINES: usize = 2_000;

/// Pause of the writer thread between batches, so that it does not wake for each line.
pub const BATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Name of a kind of event.
pub type Event = &'static str;

#[derive(Debug)]
struct Stdout {
    layout: JsonLayout,
    lines: SyncSender<Vec<u8>>,
    lost: Arc<AtomicU64>,
}

impl Append for Stdout {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        if self.lines.try_send(line).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Starts logging to standard output; returns the counter of lines that were dropped because the
/// queue was full.
///
/// # Panics
///
/// Panics when a logger was set before.
#[must_use]
pub fn start() -> Arc<AtomicU64> {
    let (sender, lines) = sync_channel(MAX_QUEUED_LINES);
    let lost = Arc::new(AtomicU64::new(0));
    let stdout = Stdout {
        layout: JsonLayout::default(),
        lines: sender,
        lost: Arc::clone(&lost),
    };
    thread::spawn(move || write(&lines));
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(stdout))
        .apply();
    log::set_max_level(LevelFilter::Info);
    lost
}

/// Writes queued lines in batches.
fn write(lines: &Receiver<Vec<u8>>) {
    while let Ok(first) = lines.recv() {
        let mut batch = first;
        thread::sleep(BATCH_INTERVAL);
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
        }
        // A failed write cannot be logged either.
        drop(std::io::stdout().lock().write_all(&batch));
    }
}

/// Lines of one event in the current second.
#[derive(Debug)]
struct Window {
    start: Instant,
    used: u32,
    dropped: u64,
}

/// Limits the log lines of each event per second.
#[derive(Debug, Default)]
pub struct LogLimiter {
    windows: RefCell<HashMap<Event, Window>>,
}

impl LogLimiter {
    /// Counts a line of an event; returns whether it may be written.
    pub fn allows(&self, now: Instant, event: Event) -> bool {
        let mut windows = self.windows.borrow_mut();
        let window = windows.entry(event).or_insert(Window {
            start: now,
            used: 0,
            dropped: 0,
        });
        if now.saturating_duration_since(window.start) >= Duration::from_secs(1) {
            if window.dropped > 0 {
                info!(event = "lines_left_out", of = event, count = window.dropped; "");
            }
            *window = Window {
                start: now,
                used: 0,
                dropped: 0,
            };
        }
        if window.used >= LINES_PER_SECOND {
            window.dropped += 1;
            return false;
        }
        window.used += 1;
        true
    }
}
