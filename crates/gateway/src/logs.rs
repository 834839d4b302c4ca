//! Structured logs on standard output, with a bound on their volume. Lines go through a queue to a
//! thread of their own, so that a slow reader never holds up a request.

use std::{
    io::{self, Write},
    sync::mpsc::{SyncSender, sync_channel},
    thread,
    time::{Duration, Instant},
};

use tracing_subscriber::{
    EnvFilter, fmt::MakeWriter, layer::SubscriberExt, util::SubscriberInitExt,
};

/// Lines that wait for the reader; at 400 bytes each they take 400 KB.
const QUEUE_LINES: usize = 1_024;
/// How the level of an ordinary line is written.
const INFO: &[u8] = b"level=info";
/// Bytes at the start of a line within which its level stands, behind the time.
const LEVEL_WITHIN: usize = 64;
/// Time for which lines are collected into one write.
const COLLECT: Duration = Duration::from_millis(50);

/// Installs the log format. Each line begins with the
/// name of the instance; `lines` is the most lines a second. A second call has no effect.
pub fn init_logging(level: &str, instance: &str, lines: u32) {
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    let (sender, receiver) = sync_channel::<Vec<u8>>(QUEUE_LINES);
    let writer = thread::Builder::new().name(String::from("logs"));
    let spawned = writer.spawn(move || {
        while let Ok(first) = receiver.recv() {
            thread::sleep(COLLECT);
            let mut batch = first;
            while let Ok(line) = receiver.try_recv() {
                batch.extend_from_slice(&line);
            }
            // Without a reader there is nobody to tell.
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

/// Hands out writers for single lines.
#[derive(Debug)]
struct Queue {
    sender: SyncSender<Vec<u8>>,
    lines: u32,
    prefix: Vec<u8>,
}

thread_local! {
    static USED: std::cell::Cell<(Option<Instant>, u32, u64)> = const { std::cell::Cell::new((None, 0, 0)) };
}

/// Writes one line into the queue, or nothing if the second's lines are used up.
#[derive(Debug)]
struct Line<'a> {
    queue: &'a Queue,
}

impl Write for Line<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (start, used, dropped) = USED.get();
        let now = Instant::now();
        let is_new = start.is_none_or(|at| now.duration_since(at) >= Duration::from_secs(1));
        let (start, used) = if is_new {
            (Some(now), 0)
        } else {
            (start, used)
        };
        // Lines of level info, which most requests cause, leave a part of the second's lines for warnings.
        let is_info = bytes
            .windows(INFO.len())
            .take(LEVEL_WITHIN)
            .any(|w| w == INFO);
        let most = if is_info {
            self.queue.lines - self.queue.lines / 4
        } else {
            self.queue.lines
        };
        if used >= most {
            USED.set((start, used, dropped + 1));
            return Ok(bytes.len());
        }
        if dropped > 0 {
            let mut line = self.queue.prefix.clone();
            line.extend(format!("level=warn event=lines_dropped count={dropped}\n").into_bytes());
            // A full queue is counted with the line below.
            let _ = self.queue.sender.try_send(line);
        }
        let line = [&self.queue.prefix[..], bytes].concat();
        let is_full = self.queue.sender.try_send(line).is_err();
        USED.set((start, used + 1, u64::from(is_full)));
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
