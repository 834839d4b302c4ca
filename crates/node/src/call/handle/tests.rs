//! Runs calls with the test in the role of the dispatcher and with raw TCP upstreams. Guards against
//! calls that run twice, starts whose end is not reported, and calls reported as not run that may have
//! run.

use std::{collections::BTreeMap, time::Duration};

use async_std::{
    channel::{Receiver, Sender, unbounded},
    future::timeout,
    io::{ReadExt, WriteExt},
    net::TcpListener,
    task,
};
use http_types::{Body, Method, Url};
use model::{InstanceId, TargetId};
use policy::{AttemptEnd, AttemptReport, CallId, Event, ServiceView, TargetState};

use super::*;
use crate::{
    call::Length,
    dispatch::DispatchMsg,
    fixtures::context,
    snapshot::{ServiceSnapshot, Snapshot},
};

const TEST_TIMEOUT: Duration = Duration::from_secs(5);
const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const BUSY: &[u8] = b"HTTP/1.1 503 Busy\r\nhw-not-run: 1\r\ncontent-length: 0\r\n\r\n";

/// An instance with one service, whose dispatcher is played by the test.
struct FakeDispatcher {
    ctx: Arc<Context>,
    messages: Receiver<DispatchMsg>,
    caller: TcpStream,
    server: TcpStream,
}

impl FakeDispatcher {
    async fn start() -> Self {
        let ctx = context("");
        let (sender, messages) = unbounded();
        let mut services = BTreeMap::new();
        services.insert("orders".into(), service());
        let snapshot = Snapshot {
            view: 1,
            live: Vec::new(),
            offset: 1,
            ready: true,
            listed: true,
            services,
        };
        ctx.snapshot.store(Arc::new(snapshot));
        let dispatchers = BTreeMap::from([("orders".into(), sender)]);
        ctx.dispatchers.store(Arc::new(dispatchers));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let caller = TcpStream::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        let (server, _) = listener.accept().await.unwrap();
        Self {
            ctx,
            messages,
            caller,
            server,
        }
    }

    /// Starts a call and waits for its registration.
    async fn call(
        &self,
        class: &str,
        deadline_ms: u64,
    ) -> (task::JoinHandle<Answered>, RegisteredCall) {
        let mut req = Request::new(Method::Post, Url::parse("http://h/do").unwrap());
        req.insert_header("hw-service", "orders");
        req.insert_header("hw-class", class);
        req.insert_header("hw-deadline-ms", deadline_ms.to_string());
        let (ctx, server) = (Arc::clone(&self.ctx), self.server.clone());
        let running = task::spawn(async move {
            let caller = Caller {
                stream: &server,
                has_type: false,
                peer: None,
                cancel: &Token::new(),
            };
            let body = RequestBody::new(ctx.clock, Body::empty(), Length::Absent);
            handle_call(&ctx, &caller, req, body).await
        });
        let DispatchMsg::Arrive(call, replies) = self.next().await else {
            panic!("the call is not registered with the dispatcher");
        };
        let id = call.id;
        (running, RegisteredCall { id, replies })
    }

    async fn next(&self) -> DispatchMsg {
        let message = timeout(TEST_TIMEOUT, self.messages.recv()).await;
        message.expect("no message").expect("channel closed")
    }

    /// The next event, which must be the end of an attempt.
    async fn finish(&self) -> (TargetId, AttemptReport) {
        match self.next().await {
            DispatchMsg::Ended { target, report, .. } => (target, report),
            other => panic!("not a finish: {other:?}"),
        }
    }

    async fn cancelled(&self, id: CallId) {
        let message = self.next().await;
        let matches = matches!(message, DispatchMsg::Event(Event::Cancel { call }) if call == id);
        assert!(matches, "not a cancel: {message:?}");
    }
}

/// A call that was registered with the dispatcher.
struct RegisteredCall {
    id: CallId,
    replies: Sender<Reply>,
}

impl RegisteredCall {
    fn start(&self, target: &Arc<TargetView>) {
        self.reply(Reply::Start(Arc::clone(target)));
    }

    fn reply(&self, reply: Reply) {
        self.replies.try_send(reply).unwrap();
    }
}

fn service() -> ServiceSnapshot {
    let class = |name: &str, idempotent| Class {
        name: name.into(),
        target_ms: 60,
        delay_ms: 20,
        idempotent,
        timeout_ms: 1_000,
    };
    let view = ServiceView {
        list_version: 1,
        name: "orders".into(),
        me: InstanceId::new("i-1"),
        zone: "a".into(),
        classes: vec![class("confirmation", false), class("lookup", true)],
        targets: Vec::new(),
        owners: Vec::new(),
        version: "v1".into(),
        active_move: None,
    };
    ServiceSnapshot {
        view: Arc::new(view),
        entries: Vec::new(),
    }
}

fn target(id: &str, addr: SocketAddr) -> Arc<TargetView> {
    Arc::new(TargetView {
        id: id.into(),
        incarnation: 1,
        addr,
        zone: "a".into(),
        region: "r".into(),
        version: "v1".into(),
        slots: 3,
        state: TargetState::Usable,
        owner: InstanceId::new("i-1"),
    })
}

/// A target that reads a request, waits, and sends `bytes`; empty bytes close the connection.
async fn answering(id: &str, pause_ms: u64, bytes: &'static [u8]) -> Arc<TargetView> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4_096];
            if stream.read(&mut buf).await.unwrap_or(0) == 0 {
                continue;
            }
            task::sleep(Duration::from_millis(pause_ms)).await;
            if stream.write_all(bytes).await.is_ok() && !bytes.is_empty() {
                let _ = stream.read(&mut buf).await;
            }
        }
    });
    target(id, addr)
}

/// A target that reads a request, sends `bytes` and closes.
async fn closing(id: &str, bytes: &'static [u8]) -> Arc<TargetView> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf).await;
        let _ = stream.write_all(bytes).await;
    });
    target(id, addr)
}

fn unreachable(id: &str) -> Arc<TargetView> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    target(id, listener.local_addr().unwrap())
}

async fn read_body(answered: Answered) -> String {
    let mut response = answered.response;
    response.take_body().into_string().await.unwrap()
}

#[test]
fn call_served_ends_once() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, open) = dispatcher.call("confirmation", 1_000).await;
        open.start(&answering("t-1", 0, OK).await);
        let answered = running.await;
        assert_eq!(answered.code, Code::Served);
        // The slot stays occupied until the whole answer was forwarded.
        assert!(dispatcher.messages.is_empty());
        assert_eq!(read_body(answered).await, "ok");
        let (target, report) = dispatcher.finish().await;
        assert_eq!((target.as_str(), report.end), ("t-1", AttemptEnd::Good));
        assert!(dispatcher.messages.is_empty());
    });
}

#[test]
fn call_retried_after_refusal() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, open) = dispatcher.call("confirmation", 1_000).await;
        open.start(&answering("t-1", 0, BUSY).await);
        let (_, report) = dispatcher.finish().await;
        assert_eq!((report.end, report.retryable), (AttemptEnd::Refused, true));
        open.start(&answering("t-2", 0, OK).await);
        assert_eq!(running.await.code, Code::Served);
    });
}

#[test]
fn call_retried_after_failed_connect() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, open) = dispatcher.call("confirmation", 1_000).await;
        open.start(&unreachable("t-1"));
        let (_, report) = dispatcher.finish().await;
        assert_eq!(
            (report.end, report.retryable),
            (AttemptEnd::ConnectFailed, true)
        );
        open.start(&answering("t-2", 0, OK).await);
        assert_eq!(running.await.code, Code::Served);
    });
}

#[test]
fn call_idempotent_retried_after_cut() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, open) = dispatcher.call("lookup", 1_000).await;
        open.start(&answering("t-1", 0, b"").await);
        let (_, report) = dispatcher.finish().await;
        assert_eq!((report.end, report.retryable), (AttemptEnd::Cut, true));
        open.start(&answering("t-2", 0, OK).await);
        assert_eq!(running.await.code, Code::Served);
    });
}

#[test]
fn call_refused_after_cut_is_unknown() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, open) = dispatcher.call("lookup", 1_000).await;
        open.start(&answering("t-1", 0, b"").await);
        dispatcher.finish().await;
        open.reply(Reply::Refuse {
            code: Code::CannotMeet,
            retry_ms: 50,
        });
        let answered = running.await;
        assert_eq!(answered.code, Code::UpstreamClosed);
        let outcome = answered.response.header("hw-outcome").unwrap();
        assert_eq!(outcome.as_str(), "unknown");
    });
}

#[test]
fn call_non_idempotent_never_sent_twice() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, open) = dispatcher.call("confirmation", 1_000).await;
        open.start(&answering("t-1", 0, b"").await);
        let (_, report) = dispatcher.finish().await;
        assert_eq!((report.end, report.retryable), (AttemptEnd::Cut, false));
        open.start(&answering("t-2", 0, OK).await);
        let (target, report) = dispatcher.finish().await;
        assert_eq!(
            (target.as_str(), report.end),
            ("t-2", AttemptEnd::Cancelled)
        );
        assert_eq!(report.service_us, 0);
        open.reply(Reply::GiveUp);
        assert_eq!(running.await.code, Code::UpstreamClosed);
    });
}

#[test]
fn call_non_idempotent_never_hedged() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, open) = dispatcher.call("confirmation", 1_000).await;
        open.start(&answering("t-1", 50, OK).await);
        open.start(&answering("t-2", 0, OK).await);
        let (target, report) = dispatcher.finish().await;
        assert_eq!(
            (target.as_str(), report.end),
            ("t-2", AttemptEnd::Cancelled)
        );
        read_body(running.await).await;
        let (target, report) = dispatcher.finish().await;
        assert_eq!((target.as_str(), report.end), ("t-1", AttemptEnd::Good));
    });
}

#[test]
fn hedge_first_answer_wins() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, open) = dispatcher.call("lookup", 1_000).await;
        open.start(&answering("t-1", 300, OK).await);
        open.start(&answering("t-2", 0, OK).await);
        let answered = running.await;
        let (target, report) = dispatcher.finish().await;
        assert_eq!(
            (target.as_str(), report.end),
            ("t-1", AttemptEnd::Cancelled)
        );
        assert_eq!(read_body(answered).await, "ok");
        let (target, report) = dispatcher.finish().await;
        assert_eq!((target.as_str(), report.end), ("t-2", AttemptEnd::Good));
        assert!(dispatcher.messages.is_empty());
    });
}

#[test]
fn hedge_survives_failed_first() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, open) = dispatcher.call("lookup", 1_000).await;
        open.start(&answering("t-1", 0, b"").await);
        open.start(&answering("t-2", 50, OK).await);
        let (target, report) = dispatcher.finish().await;
        assert_eq!((target.as_str(), report.end), ("t-1", AttemptEnd::Cut));
        open.reply(Reply::GiveUp);
        assert_eq!(running.await.code, Code::Served);
    });
}

#[test]
fn start_after_the_answer_is_ended() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, open) = dispatcher.call("lookup", 1_000).await;
        open.start(&answering("t-1", 0, OK).await);
        let answered = running.await;
        // The registration's channel is closed, so the dispatcher task ends the start itself.
        let late = Reply::Start(answering("t-2", 0, OK).await);
        assert!(open.replies.try_send(late).is_err());
        assert_eq!(read_body(answered).await, "ok");
    });
}

#[test]
fn start_not_taken_over_is_ended() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, open) = dispatcher.call("lookup", 1_000).await;
        running.cancel().await;
        // Either the registration ends the start or the channel is closed already.
        let sent = open
            .replies
            .try_send(Reply::Start(unreachable("t-1")))
            .is_ok();
        assert!(!sent);
        dispatcher.cancelled(open.id).await;
    });
}

#[test]
fn start_at_the_end_of_the_task_ends_once() {
    task::block_on(async {
        let target = answering("t-1", 500, OK).await;
        for _ in 0..50 {
            let dispatcher = FakeDispatcher::start().await;
            let (running, open) = dispatcher.call("lookup", 1_000).await;
            // The task may or may not see the start before it is dropped.
            open.start(&target);
            running.cancel().await;
            assert_eq!(dispatcher.finish().await.1.end, AttemptEnd::Cancelled);
            dispatcher.cancelled(open.id).await;
            assert!(dispatcher.messages.is_empty());
        }
    });
}

#[test]
fn task_dropped_ends_attempt() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, open) = dispatcher.call("confirmation", 1_000).await;
        open.start(&answering("t-1", 500, OK).await);
        task::sleep(Duration::from_millis(20)).await;
        running.cancel().await;
        let (_, report) = dispatcher.finish().await;
        assert_eq!(
            (report.end, report.retryable),
            (AttemptEnd::Cancelled, false)
        );
        dispatcher.cancelled(open.id).await;
    });
}

#[test]
fn answer_dropped_ends_attempt() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, open) = dispatcher.call("confirmation", 1_000).await;
        open.start(&answering("t-1", 0, OK).await);
        drop(running.await);
        let (_, report) = dispatcher.finish().await;
        assert_eq!(report.end, AttemptEnd::Cancelled);
    });
}

#[test]
fn answer_short_ends_as_cut() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, open) = dispatcher.call("confirmation", 1_000).await;
        open.start(&closing("t-1", b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort").await);
        let mut response = running.await.response;
        assert!(response.take_body().into_string().await.is_err());
        assert_eq!(dispatcher.finish().await.1.end, AttemptEnd::Cut);
    });
}

#[test]
fn deadline_while_waiting_is_not_run() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, open) = dispatcher.call("confirmation", 40).await;
        let answered = running.await;
        assert_eq!(answered.code, Code::DeadlinePassed);
        dispatcher.cancelled(open.id).await;
    });
}

#[test]
fn deadline_while_running_is_unknown() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, open) = dispatcher.call("confirmation", 40).await;
        open.start(&answering("t-1", 500, OK).await);
        assert_eq!(running.await.code, Code::UpstreamTimeout);
        assert_eq!(dispatcher.finish().await.1.end, AttemptEnd::Timeout);
        dispatcher.cancelled(open.id).await;
    });
}

#[test]
fn caller_gone_while_waiting() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, open) = dispatcher.call("confirmation", 5_000).await;
        dispatcher
            .caller
            .shutdown(std::net::Shutdown::Both)
            .unwrap();
        assert_eq!(running.await.code, Code::CancelledEarly);
        dispatcher.cancelled(open.id).await;
    });
}

#[test]
fn caller_gone_while_running() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, open) = dispatcher.call("confirmation", 5_000).await;
        open.start(&answering("t-1", 2_000, OK).await);
        task::sleep(Duration::from_millis(20)).await;
        dispatcher
            .caller
            .shutdown(std::net::Shutdown::Both)
            .unwrap();
        assert_eq!(running.await.code, Code::CallerGone);
        assert_eq!(dispatcher.finish().await.1.end, AttemptEnd::Cancelled);
        dispatcher.cancelled(open.id).await;
    });
}
