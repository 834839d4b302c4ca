//! The request body of a call. It is read at the speed of its receiver, its bytes are counted, and
//! senders that are too slow are detected.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use async_std::channel::{Receiver, bounded};
use futures::io::{AsyncRead, AsyncReadExt, BufReader, Cursor};
use http_types::Body;
use model::Time;

use crate::{call::head::Length, clock::Clock};

/// Largest body that is buffered in memory so that the call can be sent again, in bytes. Bodies of
/// urgent calls are a few KiB; 256 queued calls with bodies of this size take 16 MB.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Minimum average rate of a sender, in bytes per second.
const MIN_BYTES_PER_S: u64 = 8 * 1024;
/// Time spent waiting for the sender that is added to the time allowed by the minimum rate, in
/// microseconds.
const GRACE_US: u64 = 2_000_000;
/// Size of the buffer between caller and upstream for a streamed body, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Progress of reading a request body.
#[derive(Debug)]
pub struct BodyState {
    clock: Clock,
    bytes_read: AtomicU64,
    waited_us: AtomicU64,
    waiting_since: AtomicU64,
    complete: AtomicBool,
    failed: AtomicBool,
}

impl BodyState {
    /// Returns whether the body was read to its end.
    pub fn is_complete(&self) -> bool {
        self.complete.load(Ordering::Acquire)
    }

    /// Returns whether the body ended early, was malformed or could not be read.
    pub fn has_failed(&self) -> bool {
        self.failed.load(Ordering::Acquire)
    }

    /// Returns the number of bytes read so far.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read.load(Ordering::Acquire)
    }

    /// Returns whether the sender is slower than allowed. Counts only the time during which a
    /// reader waits for bytes.
    pub fn is_slow(&self) -> bool {
        let since = self.waiting_since.load(Ordering::Acquire);
        let now = self.clock.now();
        let waiting = if since == 0 {
            0
        } else {
            now.since_us(Time(since))
        };
        let waited = self.waited_us.load(Ordering::Acquire) + waiting;
        waited > GRACE_US + self.bytes_read().saturating_mul(1_000_000) / MIN_BYTES_PER_S
    }

    fn start_wait(&self) {
        let now = self.clock.now().0.max(1);
        let _ = self
            .waiting_since
            .compare_exchange(0, now, Ordering::AcqRel, Ordering::Acquire);
    }

    fn end_wait(&self) {
        let since = self.waiting_since.swap(0, Ordering::AcqRel);
        if since != 0 {
            let waited = self.clock.now().since_us(Time(since));
            self.waited_us.fetch_add(waited, Ordering::AcqRel);
        }
    }
}

/// A request body that is read from the caller. Reading fails if the body ends early.
#[derive(Debug)]
pub struct RequestBody {
    inner: Body,
    length: Length,
    state: Arc<BodyState>,
}

impl RequestBody {
    /// Wraps `inner`, whose request head states `length`.
    pub fn new(clock: Clock, inner: Body, length: Length) -> Self {
        let empty = matches!(length, Length::Absent | Length::Bytes(0));
        let state = BodyState {
            clock,
            bytes_read: AtomicU64::new(0),
            waited_us: AtomicU64::new(0),
            waiting_since: AtomicU64::new(0),
            complete: AtomicBool::new(empty),
            failed: AtomicBool::new(false),
        };
        Self {
            inner,
            length,
            state: Arc::new(state),
        }
    }

    /// Returns the state of the body, which stays readable after the body was handed over.
    pub const fn state(&self) -> &Arc<BodyState> {
        &self.state
    }

    /// Handles the end of the stream, which is an error if bytes of the stated length are missing.
    fn finish(&self) -> io::Result<usize> {
        let bytes_read = self.state.bytes_read();
        if let Length::Bytes(length) = self.length
            && bytes_read < length
        {
            self.state.failed.store(true, Ordering::Release);
            let text = format!("request body ended after {bytes_read} of {length} bytes");
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, text));
        }
        self.state.complete.store(true, Ordering::Release);
        Ok(0)
    }
}

impl AsyncRead for RequestBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.state.is_complete() || buf.is_empty() {
            return Poll::Ready(Ok(0));
        }
        self.state.start_wait();
        let count = ready!(Pin::new(&mut self.inner).poll_read(cx, buf));
        self.state.end_wait();
        let count = match count {
            Ok(count) => count,
            Err(error) => {
                self.state.failed.store(true, Ordering::Release);
                return Poll::Ready(Err(error));
            }
        };
        if count == 0 {
            return Poll::Ready(self.finish());
        }
        let bytes_read = self
            .state
            .bytes_read
            .fetch_add(count as u64, Ordering::AcqRel)
            + count as u64;
        if self.length == Length::Bytes(bytes_read) {
            self.state.complete.store(true, Ordering::Release);
        }
        Poll::Ready(Ok(count))
    }
}

/// Source from which attempts take the request body.
#[derive(Debug)]
pub enum Source {
    /// Buffered in memory. Each attempt gets a copy.
    Buffered(Vec<u8>),
    /// Streamed from the caller. The first attempt that connects takes it.
    Streamed(Receiver<Body>),
}

impl Source {
    /// Reads a small body into memory. A larger one is streamed.
    pub async fn read(mut body: RequestBody) -> io::Result<Self> {
        let length = body.length;
        let expected_bytes = match length {
            Length::Absent => 0,
            Length::Bytes(bytes) => bytes,
            Length::Chunked => MAX_BUFFERED_BYTES as u64,
        };
        let mut buffered = Vec::new();
        if expected_bytes <= MAX_BUFFERED_BYTES as u64 {
            let max_bytes = MAX_BUFFERED_BYTES as u64 + 1;
            (&mut body)
                .take(max_bytes)
                .read_to_end(&mut buffered)
                .await?;
            if buffered.len() <= MAX_BUFFERED_BYTES {
                return Ok(Self::Buffered(buffered));
            }
        }
        let (sender, receiver) = bounded(1);
        let rest = BufReader::with_capacity(BUFFER_BYTES, Cursor::new(buffered).chain(body));
        let stated_bytes = match length {
            Length::Bytes(bytes) => usize::try_from(bytes).ok(),
            _ => None,
        };
        let _ = sender.try_send(Body::from_reader(rest, stated_bytes));
        Ok(Self::Streamed(receiver))
    }

    /// Returns whether the body can be sent more than once.
    pub const fn is_replayable(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Returns whether an attempt can still take the body.
    pub fn is_available(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(receiver) => !receiver.is_empty(),
        }
    }

    /// Returns the body for one attempt, or `None` if another attempt took it.
    pub fn take(&self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) if bytes.is_empty() => Some(Body::empty()),
            Self::Buffered(bytes) => Some(Body::from_bytes(bytes.clone())),
            Self::Streamed(receiver) => receiver.try_recv().ok(),
        }
    }

    /// Returns the number of bytes that the call keeps in memory while it is queued.
    pub fn bytes(&self) -> u64 {
        match self {
            Self::Buffered(bytes) => bytes.len() as u64,
            Self::Streamed(_) => MAX_BUFFERED_BYTES as u64,
        }
    }
}
