//! Structured logs on standard output.
//!
//! One JSON object a line through `logforth`. A thread of its own writes, so a reader that does not
//! read never blocks the daemon; lines beyond the bounds are counted and left out.

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

/// Lines of one event in a second. Ten events are bounded so: 400 lines, some 150 kB, at most.
const LINES_PER_SECOND: u32 = 40;

/// Lines that wait for the writer.
const MAX_WAITING: usize = 2_000;

/// Pause of the writer between batches, so that it does not wake for each line.
pub const BATCH: Duration = Duration::from_millis(200);

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

/// Starts logging to standard output; returns the number of lines that the writer could not take.
///
/// # Panics
///
/// Panics when a logger was set before.
#[must_use]
pub fn start() -> Arc<AtomicU64> {
    let (sender, lines) = sync_channel(MAX_WAITING);
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

fn write(lines: &Receiver<Vec<u8>>) {
    while let Ok(first) = lines.recv() {
        let mut batch = first;
        thread::sleep(BATCH);
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
        }
        // Without a reader there is nobody to tell.
        drop(std::io::stdout().lock().write_all(&batch));
    }
}

#[derive(Debug)]
struct Window {
    start: Instant,
    used: u32,
    left_out: u64,
}

/// Bounds the lines of each kind of event.
#[derive(Debug, Default)]
pub struct LogLimiter {
    windows: RefCell<HashMap<Event, Window>>,
}

impl LogLimiter {
    /// Whether a line of this event may be written now.
    pub fn allows(&self, now: Instant, event: Event) -> bool {
        let mut windows = self.windows.borrow_mut();
        let window = windows.entry(event).or_insert(Window {
            start: now,
            used: 0,
            left_out: 0,
        });
        if now.saturating_duration_since(window.start) >= Duration::from_secs(1) {
            if window.left_out > 0 {
                info!(event = "lines_left_out", of = event, count = window.left_out; "");
            }
            *window = Window {
                start: now,
                used: 0,
                left_out: 0,
            };
        }
        if window.used >= LINES_PER_SECOND {
            window.left_out += 1;
            return false;
        }
        window.used += 1;
        true
    }
}
