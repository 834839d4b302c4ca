//! Runs calls against raw TCP upstreams, with the test in the role of the dispatcher. Guards against
//! calls that run twice, attempts whose end is not reported to the dispatcher, and calls that are
//! reported as not run although an upstream may have run them.

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

/// Receives the messages to the dispatcher of the only service of an instance.
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
    ) -> (task::JoinHandle<CallResponse>, RegisteredCall) {
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

    /// Returns the next message, which must report the end of an attempt.
    async fn attempt_end(&self) -> (TargetId, AttemptReport) {
        match self.next().await {
            DispatchMsg::Ended { target, report, .. } => (target, report),
            other => panic!("expected the end of an attempt, received {other:?}"),
        }
    }

    async fn expect_cancel(&self, id: CallId) {
        let message = self.next().await;
        let matches = matches!(message, DispatchMsg::Event(Event::Cancel { call }) if call == id);
        assert!(
            matches,
            "expected the cancellation of call {id:?}, received {message:?}"
        );
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

/// Starts a target that reads a request, waits and sends `bytes`. If `bytes` is empty, it closes the
/// connection.
async fn responding_target(id: &str, pause_ms: u64, bytes: &'static [u8]) -> Arc<TargetView> {
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

/// Starts a target that reads a request, sends `bytes` and closes the connection.
async fn closing_target(id: &str, bytes: &'static [u8]) -> Arc<TargetView> {
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

fn unreachable_target(id: &str) -> Arc<TargetView> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    target(id, listener.local_addr().unwrap())
}

async fn read_body(call_response: CallResponse) -> String {
    let mut response = call_response.response;
    response.take_body().into_string().await.unwrap()
}

#[test]
fn call_served_ends_once() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, registered) = dispatcher.call("confirmation", 1_000).await;
        registered.start(&responding_target("t-1", 0, OK).await);
        let call_response = running.await;
        assert_eq!(call_response.code, Code::Served);
        // The slot stays occupied until the whole response was forwarded.
        assert!(dispatcher.messages.is_empty());
        assert_eq!(read_body(call_response).await, "ok");
        let (target, report) = dispatcher.attempt_end().await;
        assert_eq!((target.as_str(), report.end), ("t-1", AttemptEnd::Good));
        assert!(dispatcher.messages.is_empty());
    });
}

#[test]
fn call_retried_after_refusal() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, registered) = dispatcher.call("confirmation", 1_000).await;
        registered.start(&responding_target("t-1", 0, BUSY).await);
        let (_, report) = dispatcher.attempt_end().await;
        assert_eq!((report.end, report.retryable), (AttemptEnd::Refused, true));
        registered.start(&responding_target("t-2", 0, OK).await);
        assert_eq!(running.await.code, Code::Served);
    });
}

#[test]
fn call_retried_after_failed_connect() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, registered) = dispatcher.call("confirmation", 1_000).await;
        registered.start(&unreachable_target("t-1"));
        let (_, report) = dispatcher.attempt_end().await;
        assert_eq!(
            (report.end, report.retryable),
            (AttemptEnd::ConnectFailed, true)
        );
        registered.start(&responding_target("t-2", 0, OK).await);
        assert_eq!(running.await.code, Code::Served);
    });
}

#[test]
fn call_idempotent_retried_after_cut() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, registered) = dispatcher.call("lookup", 1_000).await;
        registered.start(&responding_target("t-1", 0, b"").await);
        let (_, report) = dispatcher.attempt_end().await;
        assert_eq!((report.end, report.retryable), (AttemptEnd::Cut, true));
        registered.start(&responding_target("t-2", 0, OK).await);
        assert_eq!(running.await.code, Code::Served);
    });
}

#[test]
fn call_refused_after_cut_is_unknown() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, registered) = dispatcher.call("lookup", 1_000).await;
        registered.start(&responding_target("t-1", 0, b"").await);
        dispatcher.attempt_end().await;
        registered.reply(Reply::Refuse {
            code: Code::CannotMeet,
            retry_ms: 50,
        });
        let call_response = running.await;
        assert_eq!(call_response.code, Code::UpstreamClosed);
        let outcome = call_response.response.header("hw-outcome").unwrap();
        assert_eq!(outcome.as_str(), "unknown");
    });
}

#[test]
fn call_non_idempotent_never_sent_twice() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, registered) = dispatcher.call("confirmation", 1_000).await;
        registered.start(&responding_target("t-1", 0, b"").await);
        let (_, report) = dispatcher.attempt_end().await;
        assert_eq!((report.end, report.retryable), (AttemptEnd::Cut, false));
        registered.start(&responding_target("t-2", 0, OK).await);
        let (target, report) = dispatcher.attempt_end().await;
        assert_eq!(
            (target.as_str(), report.end),
            ("t-2", AttemptEnd::Cancelled)
        );
        assert_eq!(report.service_us, 0);
        registered.reply(Reply::GiveUp);
        assert_eq!(running.await.code, Code::UpstreamClosed);
    });
}

#[test]
fn call_non_idempotent_never_hedged() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, registered) = dispatcher.call("confirmation", 1_000).await;
        registered.start(&responding_target("t-1", 50, OK).await);
        registered.start(&responding_target("t-2", 0, OK).await);
        let (target, report) = dispatcher.attempt_end().await;
        assert_eq!(
            (target.as_str(), report.end),
            ("t-2", AttemptEnd::Cancelled)
        );
        read_body(running.await).await;
        let (target, report) = dispatcher.attempt_end().await;
        assert_eq!((target.as_str(), report.end), ("t-1", AttemptEnd::Good));
    });
}

#[test]
fn hedge_first_response_wins() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, registered) = dispatcher.call("lookup", 1_000).await;
        registered.start(&responding_target("t-1", 300, OK).await);
        registered.start(&responding_target("t-2", 0, OK).await);
        let call_response = running.await;
        let (target, report) = dispatcher.attempt_end().await;
        assert_eq!(
            (target.as_str(), report.end),
            ("t-1", AttemptEnd::Cancelled)
        );
        assert_eq!(read_body(call_response).await, "ok");
        let (target, report) = dispatcher.attempt_end().await;
        assert_eq!((target.as_str(), report.end), ("t-2", AttemptEnd::Good));
        assert!(dispatcher.messages.is_empty());
    });
}

#[test]
fn hedge_survives_failed_first() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, registered) = dispatcher.call("lookup", 1_000).await;
        registered.start(&responding_target("t-1", 0, b"").await);
        registered.start(&responding_target("t-2", 50, OK).await);
        let (target, report) = dispatcher.attempt_end().await;
        assert_eq!((target.as_str(), report.end), ("t-1", AttemptEnd::Cut));
        registered.reply(Reply::GiveUp);
        assert_eq!(running.await.code, Code::Served);
    });
}

#[test]
fn start_after_response_is_rejected() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, registered) = dispatcher.call("lookup", 1_000).await;
        registered.start(&responding_target("t-1", 0, OK).await);
        let call_response = running.await;
        // The registration's channel is closed, so the dispatcher task ends the attempt.
        let late = Reply::Start(responding_target("t-2", 0, OK).await);
        assert!(registered.replies.try_send(late).is_err());
        assert_eq!(read_body(call_response).await, "ok");
    });
}

#[test]
fn start_after_cancelled_call_is_rejected() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, registered) = dispatcher.call("lookup", 1_000).await;
        running.cancel().await;
        // The cancelled call has closed its channel, so the dispatcher task ends the attempt.
        let sent = registered
            .replies
            .try_send(Reply::Start(unreachable_target("t-1")))
            .is_ok();
        assert!(!sent);
        dispatcher.expect_cancel(registered.id).await;
    });
}

#[test]
fn start_of_cancelled_task_ends_once() {
    task::block_on(async {
        let target = responding_target("t-1", 500, OK).await;
        for _ in 0..50 {
            let dispatcher = FakeDispatcher::start().await;
            let (running, registered) = dispatcher.call("lookup", 1_000).await;
            // The task may or may not see the start before it is dropped.
            registered.start(&target);
            running.cancel().await;
            assert_eq!(dispatcher.attempt_end().await.1.end, AttemptEnd::Cancelled);
            dispatcher.expect_cancel(registered.id).await;
            assert!(dispatcher.messages.is_empty());
        }
    });
}

#[test]
fn task_dropped_ends_attempt() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, registered) = dispatcher.call("confirmation", 1_000).await;
        registered.start(&responding_target("t-1", 500, OK).await);
        task::sleep(Duration::from_millis(20)).await;
        running.cancel().await;
        let (_, report) = dispatcher.attempt_end().await;
        assert_eq!(
            (report.end, report.retryable),
            (AttemptEnd::Cancelled, false)
        );
        dispatcher.expect_cancel(registered.id).await;
    });
}

#[test]
fn response_dropped_ends_attempt() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, registered) = dispatcher.call("confirmation", 1_000).await;
        registered.start(&responding_target("t-1", 0, OK).await);
        drop(running.await);
        let (_, report) = dispatcher.attempt_end().await;
        assert_eq!(report.end, AttemptEnd::Cancelled);
    });
}

#[test]
fn response_short_ends_as_cut() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, registered) = dispatcher.call("confirmation", 1_000).await;
        registered.start(
            &closing_target("t-1", b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort").await,
        );
        let mut response = running.await.response;
        assert!(response.take_body().into_string().await.is_err());
        assert_eq!(dispatcher.attempt_end().await.1.end, AttemptEnd::Cut);
    });
}

#[test]
fn deadline_while_queued_is_not_run() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, registered) = dispatcher.call("confirmation", 40).await;
        let call_response = running.await;
        assert_eq!(call_response.code, Code::DeadlinePassed);
        dispatcher.expect_cancel(registered.id).await;
    });
}

#[test]
fn deadline_while_running_is_unknown() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, registered) = dispatcher.call("confirmation", 40).await;
        registered.start(&responding_target("t-1", 500, OK).await);
        assert_eq!(running.await.code, Code::UpstreamTimeout);
        assert_eq!(dispatcher.attempt_end().await.1.end, AttemptEnd::Timeout);
        dispatcher.expect_cancel(registered.id).await;
    });
}

#[test]
fn caller_gone_while_queued() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, registered) = dispatcher.call("confirmation", 5_000).await;
        dispatcher
            .caller
            .shutdown(std::net::Shutdown::Both)
            .unwrap();
        assert_eq!(running.await.code, Code::CancelledEarly);
        dispatcher.expect_cancel(registered.id).await;
    });
}

#[test]
fn caller_gone_while_running() {
    task::block_on(async {
        let dispatcher = FakeDispatcher::start().await;
        let (running, registered) = dispatcher.call("confirmation", 5_000).await;
        registered.start(&responding_target("t-1", 2_000, OK).await);
        task::sleep(Duration::from_millis(20)).await;
        dispatcher
            .caller
            .shutdown(std::net::Shutdown::Both)
            .unwrap();
        assert_eq!(running.await.code, Code::CallerGone);
        assert_eq!(dispatcher.attempt_end().await.1.end, AttemptEnd::Cancelled);
        dispatcher.expect_cancel(registered.id).await;
    });
}
