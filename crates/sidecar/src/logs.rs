//! JSON log lines on standard output. A separate thread writes them from a bounded queue, so that a
//! slow reader of the output never delays a request.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Capacity of the queue. Lines that do not fit are dropped and counted.
const QUEUE_LINES: usize = 2_048;
/// How long the writer waits after the first line, so that it writes many with one system call.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// The environment variable with the filter of log lines, in the syntax of [`EnvFilter`].
const FILTER_VARIABLE: &str = "BAMBOOWHEEL_LOG";

/// Lines that were dropped since the last line that reports drops.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Installs the global logger and starts the thread that writes its lines.
pub fn start() {
    let (queue, queued) = sync_channel(QUEUE_LINES);
    std::thread::spawn(move || write_lines(&queued));
    let filter = std::env::var(FILTER_VARIABLE).unwrap_or_else(|_| "warn,sidecar=info".to_owned());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(EnvFilter::new(filter))
        .with_writer(LineWriter { queue })
        .init();
}

/// Waits long enough for the writer thread to write what was logged so far.
pub fn flush() {
    std::thread::sleep(BATCH_DELAY * 2);
}

fn write_lines(queued: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(mut lines) = queued.recv() {
        std::thread::sleep(BATCH_DELAY);
        while let Ok(line) = queued.try_recv() {
            lines.extend(line);
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            lines.extend(
                format!("{{\"message\":\"logs: lines were dropped\",\"lines\":{dropped}}}\n")
                    .bytes(),
            );
        }
        // There is nowhere to report that standard output is closed.
        let _ = out.write_all(&lines).and_then(|()| out.flush());
    }
}

/// Queues each line for the writer thread, and drops it if the queue is full.
#[derive(Clone, Debug)]
struct LineWriter {
    queue: SyncSender<Vec<u8>>,
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.queue.try_send(line.to_vec()) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LineWriter {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        self.clone()
    }
}
