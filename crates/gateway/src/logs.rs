//! Structured logs on standard output, with a limit on the lines in a second. A thread of its own
//! writes the lines from a queue, so that a slow reader of the logs never delays a request.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

use tracing::Metadata;
use tracing_subscriber::{
    EnvFilter, fmt::MakeWriter, layer::SubscriberExt, util::SubscriberInitExt,
};

use crate::{line_budget::LineBudget, line_class::LineClass};

/// Most lines in the queue; at 400 bytes each they take 400 KB, and never more than 8 MB.
const QUEUE_LINES: usize = 1_024;
/// Longest line, in bytes. A record of another writer can have names of 262,144 bytes.
const MAX_LINE_BYTES: usize = 8_192;
/// End of a line that was cut.
const CUT_END: &[u8] = b"...\n";
/// Time for which lines are collected before they are written at once.
const BATCH_TIME: Duration = Duration::from_millis(50);
/// Most bytes written at once, unless one line is longer. A pipe takes as many without cutting them
/// or mixing them with what others write.
const WRITE_BYTES: usize = 4_096;

/// Longest time to wait for the last lines when the process ends. A reader may have stopped.
const FLUSH_LIMIT: Duration = Duration::from_millis(150);
/// Time between two checks of whether the last lines are written.
const FLUSH_INTERVAL: Duration = Duration::from_millis(5);

/// Waits for lines that are not written yet.
#[derive(Clone, Debug, Default)]
pub struct LogFlush {
    unwritten: Arc<AtomicUsize>,
}

impl LogFlush {
    /// Waits until all lines are written, for a limited time.
    pub fn wait(&self) {
        let start = Instant::now();
        while self.unwritten.load(Ordering::Acquire) > 0 && start.elapsed() < FLUSH_LIMIT {
            thread::sleep(FLUSH_INTERVAL);
        }
    }
}

/// Installs the logger. Each line begins with the name of the instance. `level` is the filter and
/// `lines` the most lines in a second. Only the first call has an effect. Returns what waits for the
/// last lines before the process ends.
#[must_use]
pub fn init_logging(level: &str, instance: &str, lines: u32) -> LogFlush {
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    let (sender, receiver) = sync_channel::<Vec<u8>>(QUEUE_LINES);
    let writer = thread::Builder::new().name(String::from("logs"));
    let flush = LogFlush::default();
    let unwritten = Arc::clone(&flush.unwritten);
    let queue = Queue::new(sender, instance, lines, &flush);
    let spawned = writer.spawn(move || write_lines(&receiver, &mut io::stdout(), &unwritten));
    if let Err(error) = spawned {
        eprintln!("cannot start the log thread: {error}");
        return LogFlush::default();
    }
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .layer()
        .with_writer(queue);
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
    flush
}

/// Writes the lines of a queue until its senders are gone, and counts down the `unwritten` ones.
fn write_lines(receiver: &Receiver<Vec<u8>>, output: &mut impl Write, unwritten: &AtomicUsize) {
    while let Ok(first) = receiver.recv() {
        thread::sleep(BATCH_TIME);
        let mut batch = first;
        let mut count = 1;
        for line in receiver.try_iter() {
            count += 1;
            if batch.len() + line.len() > WRITE_BYTES {
                write_batch(output, &batch);
                batch.clear();
            }
            batch.extend_from_slice(&line);
        }
        write_batch(output, &batch);
        unwritten.fetch_sub(count, Ordering::AcqRel);
    }
}

fn write_batch(output: &mut impl Write, batch: &[u8]) {
    // If nobody reads the logs, the error cannot be reported.
    let _ = output.write_all(batch);
}

/// Queue of log lines; makes a writer for each line.
#[derive(Debug)]
struct Queue {
    sender: SyncSender<Vec<u8>>,
    unwritten: Arc<AtomicUsize>,
    prefix: Vec<u8>,
    /// Budgets of the classes, by their numbers.
    budgets: Mutex<[LineBudget; 3]>,
}

impl Queue {
    fn new(sender: SyncSender<Vec<u8>>, instance: &str, lines: u32, flush: &LogFlush) -> Self {
        let now = Instant::now();
        Self {
            sender,
            unwritten: Arc::clone(&flush.unwritten),
            prefix: format!("instance={instance} ").into_bytes(),
            budgets: Mutex::new(LineClass::ALL.map(|class| LineBudget::new(class, lines, now))),
        }
    }

    /// Adds a line, unless its class has no budget left or the queue is full. The line is preceded
    /// by one that counts the lines of its class that were dropped before.
    fn push(&self, class: LineClass, line: &[u8], now: Instant) {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = &mut budgets[class as usize];
        if !budget.take(now) {
            return;
        }
        let dropped = budget.take_dropped();
        if dropped > 0 && !self.try_send(&dropped_line(class, dropped, line)) {
            budget.add_dropped(dropped);
        }
        if !self.try_send(line) {
            budget.add_dropped(1);
        }
    }

    fn try_send(&self, line: &[u8]) -> bool {
        let mut bytes = [&self.prefix[..], line].concat();
        if bytes.len() > MAX_LINE_BYTES {
            let end = (0..=MAX_LINE_BYTES - CUT_END.len())
                .rfind(|at| bytes[*at] & 0xc0 != 0x80)
                .unwrap_or_default();
            bytes.truncate(end);
            bytes.extend_from_slice(CUT_END);
            bytes.shrink_to_fit();
        }
        // Counted before it is sent, so that the writer never counts down below zero.
        self.unwritten.fetch_add(1, Ordering::AcqRel);
        let is_sent = self.sender.try_send(bytes).is_ok();
        if !is_sent {
            self.unwritten.fetch_sub(1, Ordering::AcqRel);
        }
        is_sent
    }
}

/// Returns the line that counts dropped lines, with the time stamp of the line that follows it.
fn dropped_line(class: LineClass, count: u64, following: &[u8]) -> Vec<u8> {
    let mut fields = following.split_inclusive(|byte| *byte == b' ');
    let time = fields.next().filter(|field| field.starts_with(b"ts="));
    let text = format!(
        "level=warn event=lines_dropped class={} count={count}\n",
        class.name()
    );
    [time.unwrap_or_default(), text.as_bytes()].concat()
}

/// Writes one line into the queue.
#[derive(Debug)]
struct Line<'a> {
    queue: &'a Queue,
    class: LineClass,
}

impl Write for Line<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.queue.push(self.class, bytes, Instant::now());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Queue {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Self::Writer {
        Line {
            queue: self,
            class: LineClass::Warning,
        }
    }

    fn make_writer_for(&'a self, metadata: &Metadata<'_>) -> Self::Writer {
        Line {
            queue: self,
            class: LineClass::of(metadata),
        }
    }
}

#[cfg(test)]
mod tests;
