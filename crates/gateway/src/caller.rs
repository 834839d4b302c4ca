//! Serves the connection of a caller: reads requests and writes the responses in the same order.

use std::{collections::VecDeque, io::ErrorKind, rc::Rc, time::Duration};

use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::TcpStream,
    task,
};
use futures::{
    FutureExt, StreamExt,
    future::{Either, LocalBoxFuture, select},
    select_biased,
    stream::FuturesOrdered,
};
use h1::{Decoded, MessageError, Request, RequestDecoder, RequestLimits};
use model::{Code, Time};
use socket2::SockRef;
use tracing::debug;

use crate::{
    peer_forward::RequestFrame,
    refusal::Refusal,
    request::{ArrivedRequest, CallerResponse, refusal_by_head, serve},
    resources::{Connection as OpenConnection, HeldBytes},
    response::encode_refusal,
    state::State,
};

/// Requests of one connection that are served at the same time. Further ones are not read.
const MAX_PIPELINED: usize = 16;
/// Bytes that are read after the last request, in order to notice that the caller is gone.
const MAX_READ_AHEAD: usize = 64 * 1_024;
/// Reads in a row after which other tasks get their turn. A caller that sends fast always has the next bytes
/// ready; meanwhile, other connections would not give back the memory that they are asked for.
const READS_PER_TURN: usize = 4;
/// Size of one read from the socket, in bytes.
const READ_BYTES: usize = 8 * 1_024;
/// Timeout for writing each [`WRITE_BYTES`] of a response to the caller. A response is delivered, even late,
/// as long as the caller reads.
const WRITE_LIMIT: Duration = Duration::from_secs(10);
/// Size of one write to the caller, in bytes.
const WRITE_BYTES: usize = 64 * 1_024;
/// Memory that an empty input buffer may keep, in bytes.
const KEPT_INPUT: usize = 16 * 1_024;
/// Time for which input is still read after the last response. Closing a connection with unread
/// input resets it, and the caller would lose the response.
const LINGER_LIMIT: Duration = Duration::from_millis(500);
/// Timeout for the acknowledgement of sent bytes by the caller.
const ACK_LIMIT: Duration = Duration::from_secs(5);

/// Event that ends a wait of a connection.
enum Event {
    Read(std::io::Result<usize>),
    Response(CallerResponse),
    Timeout,
    IdleClosed,
    /// The memory of the connection is needed for others.
    Yielded,
}

/// Counts an open connection until dropped.
struct CallerCount(Rc<State>);

impl CallerCount {
    fn begin(state: &Rc<State>) -> Self {
        state
            .caller_connections
            .set(state.caller_connections.get() + 1);
        Self(Rc::clone(state))
    }
}

impl Drop for CallerCount {
    fn drop(&mut self) {
        let count = self.0.caller_connections.get();
        self.0.caller_connections.set(count - 1);
    }
}

/// Serves a connection of a caller until it ends.
pub async fn serve_caller(state: Rc<State>, stream: TcpStream, open: Rc<OpenConnection>) {
    serve_requests(state, stream, open, Origin::Caller).await;
}

/// Serves a connection on which another instance forwards requests, until it ends.
pub async fn serve_forwarded(state: Rc<State>, stream: TcpStream, open: Rc<OpenConnection>) {
    serve_requests(state, stream, open, Origin::Peer).await;
}

/// Who sends the requests of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// A caller.
    Caller,
    /// Another instance, which puts a frame before each request.
    Peer,
}

async fn serve_requests(
    state: Rc<State>,
    stream: TcpStream,
    open: Rc<OpenConnection>,
    origin: Origin,
) {
    let _count = CallerCount::begin(&state);
    let socket = SockRef::from(&stream);
    let options = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(ACK_LIMIT)));
    if let Err(error) = options {
        debug!(event = "caller_socket", %error);
    }
    let mut connection = Connection::new(Rc::clone(&state), stream, open, origin);
    let reason = connection.run().await;
    if state.is_leaving() {
        debug!(
            event = "caller_closed",
            requests = connection.requests,
            reason
        );
    }
}

struct Connection {
    state: Rc<State>,
    stream: TcpStream,
    decoder: RequestDecoder,
    input: Vec<u8>,
    responses: FuturesOrdered<LocalBoxFuture<'static, CallerResponse>>,
    /// Responses that were complete while an earlier one was written.
    finished: VecDeque<CallerResponse>,
    /// Number of requests that were started.
    requests: u64,
    /// Whether the latest request asked to close the connection after its response.
    is_last: bool,
    /// Error with which the connection ends once all earlier requests are answered.
    failure: Option<Code>,
    /// Reason to refuse the request whose body is arriving, given by its head.
    refusal: Option<Refusal>,
    /// Time since which the instance waits for a request, or for the caller to read a response.
    waiting_since: Time,
    /// Time since which the head of the next request arrives.
    head_since: Option<Time>,
    /// Memory of the input and of the request that is arriving.
    received: HeldBytes,
    open: Rc<OpenConnection>,
    origin: Origin,
    /// Frame of the request that is arriving.
    frame: Option<RequestFrame>,
}

impl Connection {
    fn new(state: Rc<State>, stream: TcpStream, open: Rc<OpenConnection>, origin: Origin) -> Self {
        Self {
            origin,
            frame: None,
            stream,
            decoder: RequestDecoder::default(),
            input: Vec::new(),
            responses: FuturesOrdered::new(),
            finished: VecDeque::new(),
            requests: 0,
            is_last: false,
            failure: None,
            refusal: None,
            waiting_since: state.now(),
            state,
            head_since: None,
            received: open.hold(),
            open,
        }
    }

    /// Reads, serves and writes until the connection ends. Returns why it ended, for the log.
    async fn run(&mut self) -> &'static str {
        let mut chunk = vec![0; READ_BYTES];
        let mut turn = 0_usize;
        loop {
            turn += 1;
            if turn.is_multiple_of(READS_PER_TURN) {
                task::yield_now().await;
            }
            if !self.start_requests().await {
                return "write_failed";
            }
            if !self.count_input() {
                self.fail(Code::NoRoom);
            }
            if self.unanswered() == 0
                && let Some(code) = self.failure
            {
                self.refuse(code).await;
                return "failure";
            }
            self.record_waiting();
            match self.next_event(&mut chunk).await {
                Event::Read(Ok(0) | Err(_)) => return "by_caller",
                Event::IdleClosed => return "idle",
                Event::Read(Ok(count)) => {
                    let now = self.state.now();
                    if !self.has_requests() {
                        self.open.begin_request(now);
                    }
                    self.open.record_progress(now);
                    self.input.extend_from_slice(&chunk[..count]);
                }
                // There is no request to refuse.
                Event::Yielded if !self.has_requests() => return "no_room",
                Event::Yielded => self.fail(Code::NoRoom),
                Event::Response(response) => {
                    let close = self.closes_after(&response);
                    if !self.write_response(&response, close).await {
                        return "write_failed";
                    }
                    if close {
                        self.lingering_close().await;
                        return "answered";
                    }
                }
                Event::Timeout if self.decoder.in_body() || !self.input.is_empty() => {
                    self.fail(Code::SlowSender);
                }
                Event::Timeout => return "timeout",
            }
        }
    }

    /// Starts the requests that have arrived completely. Returns `false` if writing to the caller
    /// failed.
    async fn start_requests(&mut self) -> bool {
        while self.accepts_requests() {
            if !self.take_frame() {
                return true;
            }
            let limits = self.limits();
            match self.decoder.decode(&mut self.input, limits) {
                Ok(Decoded::Complete(request)) => {
                    self.requests += 1;
                    self.is_last = !request.keep_alive;
                    match self.hold_request(*request) {
                        Some(arrived) => {
                            let state = Rc::clone(&self.state);
                            self.responses
                                .push_back(serve(state, arrived).boxed_local());
                        }
                        None => self.fail(Code::NoRoom),
                    }
                }
                Ok(Decoded::ExpectsContinue) => {
                    self.check_head();
                    if self.unanswered() == 0 && !self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await
                    {
                        return false;
                    }
                }
                Ok(Decoded::Empty | Decoded::Partial) => {
                    self.check_head();
                    return true;
                }
                Err(error) => self.fail(error_code(error)),
            }
        }
        true
    }

    /// Takes the frame before a request of another instance from the input. Returns whether the request may
    /// be decoded.
    fn take_frame(&mut self) -> bool {
        if self.origin == Origin::Caller || self.frame.is_some() {
            return true;
        }
        match RequestFrame::take(&mut self.input) {
            Ok(frame) => self.frame = frame,
            Err(_) => self.fail(Code::BadRequest),
        }
        self.frame.is_some()
    }

    /// Takes the memory of a complete request. Returns `None` if there is none left.
    fn hold_request(&mut self, request: Request) -> Option<ArrivedRequest> {
        let now = self.state.now();
        let held = self.received.another();
        // The body was counted while it arrived, and belongs to the request from now on.
        self.received.shrink(request.body.len() as u64);
        let is_held = held.grow(request.memory_bytes() as u64, now);
        let frame = self.frame.take();
        let waited_ms = frame.map_or(0, |frame| frame.waited_ms.into());
        is_held.then(|| ArrivedRequest {
            message: Rc::new(request),
            arrived: now.minus_ms(waited_ms),
            held: Rc::new(held),
            refusal: self.refusal.take(),
            frame,
        })
    }

    /// Drops the body of a request that is refused because of its head.
    fn check_head(&mut self) {
        if self.refusal.is_none()
            && let Some(head) = self.decoder.head()
        {
            self.refusal = refusal_by_head(&self.state, head);
            if self.refusal.is_some() {
                self.decoder.discard_body();
            }
        }
    }

    /// Counts the memory of the input and of the request that is arriving. Returns whether there was
    /// enough.
    fn count_input(&mut self) -> bool {
        if self.input.is_empty() && self.input.capacity() > KEPT_INPUT {
            self.input = Vec::new();
        }
        let bytes = self.input.len() + self.decoder.held_bytes();
        self.received.set(bytes as u64, self.state.now())
    }

    /// Ends the connection with `code` once all earlier requests are answered. Gives back the memory of
    /// what has arrived since.
    fn fail(&mut self, code: Code) {
        if code == Code::NoRoom && self.failure.is_none() {
            self.state.metrics.record_refusal(code);
        }
        self.failure.get_or_insert(code);
        self.input = Vec::new();
        self.decoder = RequestDecoder::default();
        self.received.shrink(u64::MAX);
    }

    /// Writes the refusal that ends the connection.
    async fn refuse(&mut self, code: Code) {
        let bytes = encode_refusal(code.into(), None, true);
        if self.write(&bytes).await {
            self.lingering_close().await;
        }
    }

    /// Records whether the instance waits for the caller, and since when the next head arrives.
    fn record_waiting(&mut self) {
        let is_waiting = self.unanswered() == 0;
        self.open
            .set_waiting(is_waiting.then_some(self.waiting_since));
        let in_head = !self.input.is_empty() && !self.decoder.in_body();
        self.head_since = in_head.then(|| self.head_since.unwrap_or(self.state.now()));
    }

    /// Writes a response. Meanwhile no further requests are started. Those in progress go on: otherwise a
    /// caller that reads slowly would keep their targets and connections beyond their deadlines.
    async fn write_response(&mut self, response: &CallerResponse, close: bool) -> bool {
        let mut responses = std::mem::take(&mut self.responses);
        let mut finished = VecDeque::new();
        let is_written = {
            let write = async {
                self.write(&response.encode(close)).await
                    && self.write(response.separate_body()).await
            };
            let collect = async {
                while let Some(response) = responses.next().await {
                    finished.push_back(response);
                }
                std::future::pending::<()>().await;
            };
            futures::pin_mut!(write, collect);
            matches!(select(write, collect).await, Either::Left((true, _)))
        };
        self.responses = responses;
        self.finished.append(&mut finished);
        self.waiting_since = self.state.now();
        // While requests were in progress, no time was taken for the head of the next one.
        self.head_since = None;
        is_written
    }

    /// Returns the number of requests that were started and are not answered.
    fn unanswered(&self) -> usize {
        self.finished.len() + self.responses.len()
    }

    /// Whether further requests may be started.
    fn accepts_requests(&self) -> bool {
        self.failure.is_none() && self.unanswered() < MAX_PIPELINED && !self.is_last
    }

    /// Whether to read. While no further request is started, only in order to notice that the caller is gone.
    fn may_read(&self) -> bool {
        self.accepts_requests() || self.input.len() < MAX_READ_AHEAD
    }

    /// Whether the connection is closed after `response`. In a planned stop it stays open until all
    /// requests that were read are answered. What arrives later was not read: the caller sends it to
    /// another instance.
    fn closes_after(&self, response: &CallerResponse) -> bool {
        !response.keep_alive
            || response.has_no_room()
            || (self.state.is_leaving() && !self.has_requests())
    }

    /// Whether a request is in progress or has been read in part.
    fn has_requests(&self) -> bool {
        self.unanswered() > 0
            || !self.input.is_empty()
            || self.decoder.in_body()
            || self.failure.is_some()
    }

    fn limits(&self) -> RequestLimits {
        let limits = self.state.config().map(|m| m.limits).unwrap_or_default();
        // Another instance has checked the head, and may have written its lines longer.
        let factor = match self.origin {
            Origin::Caller => 1,
            Origin::Peer => 2,
        };
        RequestLimits {
            head_bytes: limits.head_bytes * factor,
            body_bytes: limits.body_bytes,
        }
    }

    /// Waits for the next event: a response, input into `chunk`, a timeout, or the end of idle
    /// connections.
    async fn next_event(&mut self, chunk: &mut [u8]) -> Event {
        let is_idle = !self.has_requests();
        let limit = self.input_limit(is_idle);
        // A caller that has just connected is about to send a request.
        let is_new = self.requests == 0 && self.state.is_leaving();
        let may_read = self.may_read();
        let waits_response = self.unanswered() > 0;
        // A caller that sends fast always has the next bytes of a body ready.
        let yields_first = !waits_response || self.decoder.in_body();
        let idle_closed = (is_idle && !is_new).then(|| self.state.idle_closed.clone());
        let mut stream = &self.stream;
        let read = async {
            if may_read {
                stream.read(chunk).await
            } else {
                std::future::pending().await
            }
        };
        let open = Rc::clone(&self.open);
        let (finished, responses) = (&mut self.finished, &mut self.responses);
        let finished = async {
            match finished.pop_front() {
                Some(response) => response,
                None => std::future::pending().await,
            }
        };
        let response = async {
            match responses.next().await {
                Some(response) => response,
                None => std::future::pending().await,
            }
        };
        let event = async {
            let (finished, read, response) = (finished.fuse(), read.fuse(), response.fuse());
            let ended = async {
                match idle_closed {
                    // Fails when the sender is dropped, which is the signal.
                    Some(idle_closed) => drop(idle_closed.recv().await),
                    None => std::future::pending().await,
                }
            }
            .fuse();
            let yielded_first = async {
                if yields_first {
                    open.yielded().await;
                } else {
                    std::future::pending::<()>().await;
                }
            }
            .fuse();
            let yielded = open.yielded().fuse();
            futures::pin_mut!(finished, yielded_first, read, response, yielded, ended);
            // Waiting for a response takes the next step of a request, which is in vain once the caller has left.
            select_biased! {
                response = finished => Event::Response(response),
                () = yielded_first => Event::Yielded,
                read = read => Event::Read(read),
                response = response => Event::Response(response),
                () = yielded => Event::Yielded,
                () = ended => Event::IdleClosed,
            }
        };
        if waits_response {
            return event.await;
        }
        timeout(limit, event).await.unwrap_or(Event::Timeout)
    }

    /// Returns the timeout for input from the caller.
    fn input_limit(&self, is_idle: bool) -> Duration {
        let limits = self.state.config().map(|m| m.limits).unwrap_or_default();
        let spent_ms = |since| self.state.now().since_us(since) / 1_000;
        Duration::from_millis(match self.head_since {
            _ if is_idle => limits.idle_ms,
            // The whole head must arrive within the limit, however many reads it takes.
            Some(since) => limits.head_ms.saturating_sub(spent_ms(since)).max(1),
            None => limits.head_ms.max(1),
        })
    }

    /// Writes to the caller. Returns whether the caller has read in time, and the memory was not needed
    /// for others.
    async fn write(&self, bytes: &[u8]) -> bool {
        for piece in bytes.chunks(WRITE_BYTES) {
            let now = self.state.now();
            self.open.set_waiting(Some(now));
            self.open.record_progress(now);
            let write = timeout(WRITE_LIMIT, self.write_piece(piece));
            let yielded = self.open.yielded();
            futures::pin_mut!(write, yielded);
            let Either::Left((Ok(Ok(())), _)) = select(write, yielded).await else {
                return false;
            };
        }
        true
    }

    /// Writes a piece. What the caller takes of it counts as progress, since a slow caller takes longer for a
    /// whole piece than the time after which one counts as stopped.
    async fn write_piece(&self, mut piece: &[u8]) -> std::io::Result<()> {
        let mut stream = &self.stream;
        while !piece.is_empty() {
            let count = stream.write(piece).await?;
            if count == 0 {
                return Err(ErrorKind::WriteZero.into());
            }
            self.open.record_progress(self.state.now());
            piece = &piece[count..];
        }
        Ok(())
    }

    /// Shuts down the sending side and discards what the caller still sends.
    async fn lingering_close(&mut self) {
        if self.stream.shutdown(std::net::Shutdown::Write).is_err() {
            return;
        }
        let mut stream = &self.stream;
        let mut chunk = vec![0; READ_BYTES];
        let drain = async {
            while matches!(stream.read(&mut chunk).await, Ok(count) if count > 0) {
                // Otherwise a caller that sends without end would keep the time from being checked.
                task::yield_now().await;
            }
        };
        let _ = timeout(LINGER_LIMIT, drain).await;
    }
}

fn error_code(error: MessageError) -> Code {
    match error {
        MessageError::HeadTooLarge => Code::HeadTooLarge,
        MessageError::BodyTooLarge => Code::BodyTooLarge,
        _ => Code::BadRequest,
    }
}

#[cfg(test)]
mod tests;
