//! Log lines: JSON on standard output, written by a thread of their own from a bounded buffer, so
//! that a reader that does not keep up never holds up a call.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Lines that may wait to be written.
const LINES: usize = 2_048;
/// Lines are gathered for this long, so that many are written at once.
const GATHER: Duration = Duration::from_millis(50);
/// The variable that holds the filter of log lines.
const FILTER: &str = "BAMBOOWHEEL_LOG";

/// Lines that were left out since the last line that says so.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts logging.
pub fn start() {
    let (lines, waiting) = sync_channel(LINES);
    std::thread::spawn(move || write(&waiting));
    let filter = std::env::var(FILTER).unwrap_or_else(|_| "warn,sidecar=info".to_owned());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(EnvFilter::new(filter))
        .with_writer(Lines { lines })
        .init();
}

/// Waits until what was logged so far is written.
pub fn flush() {
    std::thread::sleep(GATHER * 2);
}

fn write(waiting: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(mut lines) = waiting.recv() {
        std::thread::sleep(GATHER);
        while let Ok(line) = waiting.try_recv() {
            lines.extend(line);
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            lines.extend(
                format!("{{\"message\":\"logs: left out\",\"lines\":{dropped}}}\n").bytes(),
            );
        }
        // Nothing can be told of a standard output that is gone.
        let _ = out.write_all(&lines).and_then(|()| out.flush());
    }
}

#[derive(Clone, Debug)]
struct Lines {
    lines: SyncSender<Vec<u8>>,
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line.to_vec()) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Lines;

    fn make_writer(&'a self) -> Lines {
        self.clone()
    }
}
