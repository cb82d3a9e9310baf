//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the start.
#[derive(Clone, Debug)]
pub struct Record {
    pub start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Self {
            start: Instant::now(),
            file,
        })
    }

    pub fn line(&self, text: &str) {
        let time = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        drop(writeln!(file, "{time:8.3} {text}"));
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
    }

    pub fn flush(&self) {
        drop(self.file.lock().unwrap().flush());
    }
}
