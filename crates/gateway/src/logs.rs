//! Structured logs on standard output, with a limit on the lines in a second. A thread of its own
//! writes the lines from a queue, so that a slow reader of the logs never delays a request.

use std::{
    io::{self, Write},
    sync::mpsc::{SyncSender, sync_channel},
    thread,
    time::{Duration, Instant},
};

use tracing_subscriber::{
    EnvFilter, fmt::MakeWriter, layer::SubscriberExt, util::SubscriberInitExt,
};

/// Most lines in the queue; at 400 bytes each they take 400 KB.
const QUEUE_LINES: usize = 1_024;
/// Level of a line that is not a warning, as it is written.
const INFO_LEVEL: &[u8] = b"level=info";
/// Bytes at the start of a line in which its level is searched. The level follows the time.
const LEVEL_SEARCH_BYTES: usize = 64;
/// Time for which lines are collected before they are written at once.
const BATCH_TIME: Duration = Duration::from_millis(50);

/// Installs the logger. Each line begins with the name of the instance. `level` is the filter and
/// `lines` the most lines in a second. Only the first call has an effect.
pub fn init_logging(level: &str, instance: &str, lines: u32) {
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    let (sender, receiver) = sync_channel::<Vec<u8>>(QUEUE_LINES);
    let writer = thread::Builder::new().name(String::from("logs"));
    let spawned = writer.spawn(move || {
        while let Ok(first) = receiver.recv() {
            thread::sleep(BATCH_TIME);
            let mut batch = first;
            while let Ok(line) = receiver.try_recv() {
                batch.extend_from_slice(&line);
            }
            // If nobody reads the logs, the error cannot be reported.
            let _ = io::stdout().write_all(&batch);
        }
    });
    if let Err(error) = spawned {
        eprintln!("cannot start the log thread: {error}");
        return;
    }
    let queue = Queue {
        sender,
        lines,
        prefix: format!("instance={instance} ").into_bytes(),
    };
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .layer()
        .with_writer(queue);
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
}

/// Queue of log lines; makes a writer for each line.
#[derive(Debug)]
struct Queue {
    sender: SyncSender<Vec<u8>>,
    lines: u32,
    prefix: Vec<u8>,
}

thread_local! {
    /// Start of the current second, lines written in it, and lines dropped since the last one
    /// written.
    static LINE_COUNTS: std::cell::Cell<(Option<Instant>, u32, u64)> = const { std::cell::Cell::new((None, 0, 0)) };
}

/// Writes one line into the queue, or drops it if the limit for this second is reached.
#[derive(Debug)]
struct Line<'a> {
    queue: &'a Queue,
}

impl Write for Line<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (start, used, dropped) = LINE_COUNTS.get();
        let now = Instant::now();
        let is_new_second = start.is_none_or(|at| now.duration_since(at) >= Duration::from_secs(1));
        let (start, used) = if is_new_second {
            (Some(now), 0)
        } else {
            (start, used)
        };
        // A quarter of the lines in each second is reserved for warnings and errors.
        let is_info = bytes
            .windows(INFO_LEVEL.len())
            .take(LEVEL_SEARCH_BYTES)
            .any(|w| w == INFO_LEVEL);
        let limit = if is_info {
            self.queue.lines - self.queue.lines / 4
        } else {
            self.queue.lines
        };
        if used >= limit {
            LINE_COUNTS.set((start, used, dropped + 1));
            return Ok(bytes.len());
        }
        if dropped > 0 {
            let mut line = self.queue.prefix.clone();
            line.extend(format!("level=warn event=lines_dropped count={dropped}\n").into_bytes());
            // If the queue is full, the line below is dropped as well and counted.
            let _ = self.queue.sender.try_send(line);
        }
        let line = [&self.queue.prefix[..], bytes].concat();
        let is_full = self.queue.sender.try_send(line).is_err();
        LINE_COUNTS.set((start, used + 1, u64::from(is_full)));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Queue {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Self::Writer {
        Line { queue: self }
    }
}
