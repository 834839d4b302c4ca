use super::*;

fn queue(lines: u32) -> (Queue, Receiver<Vec<u8>>) {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let queue = Queue::new(sender, "edge-1", lines, &LogFlush::default());
    (queue, receiver)
}

fn texts(receiver: &Receiver<Vec<u8>>) -> Vec<String> {
    let lines = receiver.try_iter();
    lines.map(|l| String::from_utf8(l).unwrap()).collect()
}

/// Guards against lines that are lost without a trace, or whose loss has no time.
#[test]
fn push_counts_dropped_lines_of_class() {
    let (queue, receiver) = queue(8);
    let now = Instant::now();
    for _ in 0..10 {
        queue.push(LineClass::Request, b"ts=1 event=sent\n", now);
    }
    queue.push(LineClass::Belief, b"ts=2 event=target\n", now);
    let before = texts(&receiver);
    assert_eq!(before.len(), 5, "four requests, one belief: {before:?}");
    let later = now + Duration::from_secs(1);
    queue.push(LineClass::Request, b"ts=3 event=sent\n", later);
    let expected = "instance=edge-1 ts=3 level=warn event=lines_dropped class=request count=6\n";
    assert_eq!(texts(&receiver)[0], expected);
}

/// Guards against a count that is lost because the queue is full when it is written.
#[test]
fn push_full_queue_keeps_count() {
    let (queue, receiver) = queue(100_000);
    let now = Instant::now();
    for _ in 0..QUEUE_LINES + 20 {
        queue.push(LineClass::Belief, b"ts=1 event=target\n", now);
    }
    assert_eq!(texts(&receiver).len(), QUEUE_LINES);
    queue.push(LineClass::Belief, b"ts=2 event=target\n", now);
    let first = texts(&receiver).remove(0);
    assert!(first.contains("class=belief count=20"), "{first}");
}

/// Guards against a queue that holds hundreds of megabytes because of names that another writer chose.
#[test]
fn push_cuts_long_line() {
    let (queue, receiver) = queue(100);
    for start in ["", "x"] {
        let line = format!("{start}{}\n", "\u{e9}".repeat(130_000));
        queue.push(LineClass::Belief, line.as_bytes(), Instant::now());
    }
    for line in texts(&receiver) {
        let is_cut = line.starts_with("instance=edge-1 ") && line.ends_with("\u{e9}...\n");
        assert!(is_cut && line.len() <= MAX_LINE_BYTES);
        assert!(line.len() > MAX_LINE_BYTES - 2);
    }
}

/// Writer that takes no more than a pipe does at once and loses the rest.
#[derive(Default)]
struct Pipe(Vec<u8>);

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.extend_from_slice(&bytes[..bytes.len().min(4_096)]);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that are cut or lost without a count when many are written at once.
#[test]
fn write_lines_burst_fits_pipe() {
    let (queue, receiver) = queue(100_000);
    for number in 0..500 {
        let line = format!("ts={number} event=target target_id=i-29e6ff567a draining=true\n");
        queue.push(LineClass::Belief, line.as_bytes(), Instant::now());
    }
    let unwritten = Arc::clone(&queue.unwritten);
    assert_eq!(unwritten.load(Ordering::Acquire), 500);
    drop(queue);
    let mut pipe = Pipe::default();
    write_lines(&receiver, &mut pipe, &unwritten);
    assert_eq!(unwritten.load(Ordering::Acquire), 0);
    let text = String::from_utf8(pipe.0).unwrap();
    let whole = text.lines().filter(|l| l.ends_with("draining=true"));
    assert_eq!(whole.count(), 500);
}
