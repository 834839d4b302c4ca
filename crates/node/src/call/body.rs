//! A caller's request body: read at the pace of its receiver, counted, and watched for senders that
//! are too slow.

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

/// Largest body that is held in memory so that the call can be sent again. Bodies of urgent calls are
/// a few KiB; 256 waiting calls of this size take 16 MB.
pub const MAX_HELD: usize = 64 * 1024;
/// Bytes per second that a sender must reach over the whole body.
const MIN_RATE: u64 = 8 * 1024;
/// Waiting for the sender that is free of charge, in microseconds.
const GRACE_US: u64 = 2_000_000;
/// Buffer between caller and upstream for a body that is passed on as it arrives.
const BUFFER: usize = 16 * 1024;

/// What is known of a body while it is read.
#[derive(Debug)]
pub struct BodyState {
    clock: Clock,
    got: AtomicU64,
    waited_us: AtomicU64,
    waiting_since: AtomicU64,
    whole: AtomicBool,
    failed: AtomicBool,
}

impl BodyState {
    /// Whether the body was read to its end.
    pub fn is_whole(&self) -> bool {
        self.whole.load(Ordering::Acquire)
    }

    /// Whether the body ended early or was malformed.
    pub fn has_failed(&self) -> bool {
        self.failed.load(Ordering::Acquire)
    }

    /// Bytes of the body so far.
    pub fn got(&self) -> u64 {
        self.got.load(Ordering::Acquire)
    }

    /// Whether the sender is slower than allowed. Only time in which somebody waits for it counts.
    pub fn is_slow(&self) -> bool {
        let since = self.waiting_since.load(Ordering::Acquire);
        let now = self.clock.now();
        let waiting = if since == 0 {
            0
        } else {
            now.since_us(Time(since))
        };
        let waited = self.waited_us.load(Ordering::Acquire) + waiting;
        waited > GRACE_US + self.got().saturating_mul(1_000_000) / MIN_RATE
    }

    fn wait(&self) {
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

/// A request body as it arrives. Ends with an error unless it is whole.
#[derive(Debug)]
pub struct RequestBody {
    inner: Body,
    length: Length,
    state: Arc<BodyState>,
}

impl RequestBody {
    /// Watches `inner`, whose head announced `length`.
    pub fn new(clock: Clock, inner: Body, length: Length) -> Self {
        let empty = matches!(length, Length::Absent | Length::Bytes(0));
        let state = BodyState {
            clock,
            got: AtomicU64::new(0),
            waited_us: AtomicU64::new(0),
            waiting_since: AtomicU64::new(0),
            whole: AtomicBool::new(empty),
            failed: AtomicBool::new(false),
        };
        Self {
            inner,
            length,
            state: Arc::new(state),
        }
    }

    /// What is known of the body, also after the body was passed on.
    pub const fn state(&self) -> &Arc<BodyState> {
        &self.state
    }

    fn end(&self) -> io::Result<usize> {
        let got = self.state.got();
        if let Length::Bytes(length) = self.length
            && got < length
        {
            self.state.failed.store(true, Ordering::Release);
            let text = format!("request body ended after {got} of {length} bytes");
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, text));
        }
        self.state.whole.store(true, Ordering::Release);
        Ok(0)
    }
}

impl AsyncRead for RequestBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.state.is_whole() || buf.is_empty() {
            return Poll::Ready(Ok(0));
        }
        self.state.wait();
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
            return Poll::Ready(self.end());
        }
        let got = self.state.got.fetch_add(count as u64, Ordering::AcqRel) + count as u64;
        if self.length == Length::Bytes(got) {
            self.state.whole.store(true, Ordering::Release);
        }
        Poll::Ready(Ok(count))
    }
}

/// A request body as attempts send it.
#[derive(Debug)]
pub enum Source {
    /// In memory; each attempt gets a copy.
    Held(Vec<u8>),
    /// Passed on as it arrives; the first attempt that connects takes it.
    Passed(Receiver<Body>),
}

impl Source {
    /// Reads a small body; a larger one is left to be passed on.
    pub async fn read(mut body: RequestBody) -> io::Result<Self> {
        let length = body.length;
        let announced = match length {
            Length::Absent => 0,
            Length::Bytes(bytes) => bytes,
            Length::Chunked => MAX_HELD as u64,
        };
        let mut held = Vec::new();
        if announced <= MAX_HELD as u64 {
            let most = MAX_HELD as u64 + 1;
            (&mut body).take(most).read_to_end(&mut held).await?;
            if held.len() <= MAX_HELD {
                return Ok(Self::Held(held));
            }
        }
        let (sender, slot) = bounded(1);
        let rest = BufReader::with_capacity(BUFFER, Cursor::new(held).chain(body));
        let announced = match length {
            Length::Bytes(bytes) => usize::try_from(bytes).ok(),
            _ => None,
        };
        let _ = sender.try_send(Body::from_reader(rest, announced));
        Ok(Self::Passed(slot))
    }

    /// Whether the body can be sent more than once.
    pub const fn is_replayable(&self) -> bool {
        matches!(self, Self::Held(_))
    }

    /// Whether an attempt could send the body now.
    pub fn is_available(&self) -> bool {
        match self {
            Self::Held(_) => true,
            Self::Passed(slot) => !slot.is_empty(),
        }
    }

    /// The body for one attempt; `None` if another took it.
    pub fn take(&self) -> Option<Body> {
        match self {
            Self::Held(bytes) if bytes.is_empty() => Some(Body::empty()),
            Self::Held(bytes) => Some(Body::from_bytes(bytes.clone())),
            Self::Passed(slot) => slot.try_recv().ok(),
        }
    }

    /// Bytes that the call holds while it waits.
    pub fn bytes(&self) -> u64 {
        match self {
            Self::Held(bytes) => bytes.len() as u64,
            Self::Passed(_) => MAX_HELD as u64,
        }
    }
}
