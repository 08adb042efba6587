//! The record of a run: one line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// The exit status if the rule held.
pub const HELD: i32 = 0;
/// The exit status if the rule was broken.
pub const BROKEN: i32 = 1;
/// The exit status if the case could not run.
pub const CANNOT_RUN: i32 = 2;

/// The record. Clones write to the same file.
#[derive(Clone, Debug)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Record { begun: Instant::now(), file })
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    /// Writes a line with the time.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A record that cannot be written is noticed when it is read.
        let _ = writeln!(file, "{:9.3} {}", self.now(), text.as_ref());
    }

    /// Writes a line, and prints it too.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:9.3} {}", self.now(), text.as_ref());
        self.line(text);
    }

    /// Writes what is buffered.
    pub fn flush(&self) {
        let _ = self.file.lock().unwrap_or_else(PoisonError::into_inner).flush();
    }
}

/// Returns whether the disruption is to happen: always, unless `TROUBLE` is 0.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
