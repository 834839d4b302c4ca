use std::{net::TcpListener, sync::mpsc::channel, thread};

use async_std::task;
use futures::{FutureExt, future::pending};

use super::*;
use crate::{
    attempt::states_not_run,
    example::{arrived, put_target, route, selected, settings},
    hedging::HedgingSettings,
    settings::Settings,
    workspaces::Caller,
};

/// Returns an instance with two targets that refuse connections.
fn state() -> Rc<State> {
    let state = State::new(Settings {
        hedging: Some(HedgingSettings {
            share: 0.05,
            quantile: 0.95,
            max_load: 0.7,
        }),
        ..settings()
    });
    for id in ["a", "b"] {
        put_target(&state, id, "a", 0);
    }
    state
}

fn target(id: &str) -> SelectedTarget {
    SelectedTarget {
        addr: ([127, 0, 0, 1], 1).into(),
        ..selected(TargetId::new(id), model::Version::new("v1"))
    }
}

/// Runs `action` on the forwarder of a request, after the service has had 45 others.
fn with_forwarder(state: &Rc<State>, action: impl AsyncFnOnce(&mut Forwarder<'_>)) {
    let (service, route) = (ServiceName::new("s"), Arc::new(route()));
    for _ in 0..45 {
        hedging::record_request(state, &service);
        state.with_budget(&service, |budget| budget.record_request(state.now()));
    }
    let request = arrived(state, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    let mut forwarder = Forwarder {
        state,
        request: WorkspaceRequest {
            request: &request,
            caller: &Caller::Unchecked,
            hash: 1,
        },
        route: &route,
        service: &service,
        deadline: state.now().plus_ms(5_000),
        arrived: state.now(),
        is_urgent: true,
        urgency_rank: 0,
        ask: None,
        order: None,
        permit: None,
        tried: Vec::new(),
        may_have_run: false,
        reply: None,
        peer_refusal: None,
        attempt_log: &mut AttemptLog::default(),
    };
    task::block_on(action(&mut forwarder));
}

fn extra_attempts(state: &State) -> u32 {
    state.with_budget(&ServiceName::new("s"), |budget| {
        budget.usage(state.now()).extra_attempts
    })
}

/// Guards against a retry that had no connection and is counted in the retry budget.
#[test]
fn retry_without_room_is_refunded() {
    let state = state();
    with_forwarder(&state, async |forwarder| {
        forwarder.attempt_log.attempts = 1;
        assert!(forwarder.reserve_retry(1.0));
        drop(forwarder.start_attempt(target("a")));
        assert_eq!(extra_attempts(&state), 1);
        let done = forwarder.handle_result(&target("a"), SendResult::NoRoom, 0);
        assert_eq!(done.unwrap().unwrap_err(), Code::NoRoom);
    });
    assert_eq!(extra_attempts(&state), 0);
}

/// Guards against a hedge of which one attempt was not sent, but that counts in the retry budget, in the
/// limit on hedges and in the attempts of the route.
#[test]
fn unsent_attempts_of_a_hedge_are_refunded() {
    let state = state();
    with_forwarder(&state, async |forwarder| {
        let first = forwarder.start_attempt(target("a"));
        forwarder.reserve_hedge().unwrap();
        let second = forwarder.start_attempt(target("b"));
        let (done, result) = forwarder.race_attempts(first, second).await;
        assert!(matches!(result, SendResult::NotSent(_)) && !states_not_run(&result));
        assert_eq!(forwarder.attempt_log.attempts, 1);
        assert!(forwarder.handle_result(&done.selected, result, 0).is_none());
        assert!(forwarder.permit.is_none() && !forwarder.may_have_run);
        let log = &forwarder.attempt_log;
        assert_eq!((log.attempts, log.unsent), (0, 2));
    });
    assert_eq!(extra_attempts(&state), 0);
    let available = state.hedging.available(&ServiceName::new("s"));
    assert!(available > 2.0, "{available} of 2.25 hedges are left");
}

/// Guards against a hedge while it is being found out whether the target of the first attempt has crashed
/// under the request, also if it closes the connection only while the hedge is prepared.
#[test]
fn hedge_is_held_during_crash_check() {
    let limit = Duration::from_millis(100);
    for closes_late in [false, true] {
        let state = state();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut first = target("a");
        first.addr = listener.local_addr().unwrap();
        let check = pending().boxed_local().shared();
        let key = (first.id.clone(), first.born);
        let mut checks = state.crash_checks.borrow_mut();
        checks.insert(key, (state.now(), check));
        drop(checks);
        let (close, closed) = channel::<()>();
        let target_thread = thread::spawn(move || {
            let connection = listener.accept().unwrap();
            let _ = closed.recv();
            drop(connection);
        });
        let mut close = Some(close);
        with_forwarder(&state, async |forwarder| {
            let mut first = forwarder.start_attempt(first);
            if !closes_late {
                close.take();
            }
            assert!(timeout(limit, first.result()).await.is_err());
            close.take();
            task::sleep(limit).await;
            let _ = timeout(limit, forwarder.hedge(first)).await;
            assert_eq!(forwarder.tried.len(), 1, "closes late: {closes_late}");
        });
        assert_eq!(extra_attempts(&state), 0, "closes late: {closes_late}");
        target_thread.join().unwrap();
    }
}

/// Guards against an instance that reports targets as failing, and a version as bad, because it is cut off
/// itself.
#[test]
fn failures_are_not_reported_when_cut_off() {
    let state = state();
    let timeout = || SendResult::NoResponse(ResponseError::Timeout);
    with_forwarder(&state, async |forwarder| {
        forwarder.handle_result(&target("a"), timeout(), 0);
    });
    assert_eq!(state.outcomes.take().len(), 1);
    let service = ServiceName::new("s");
    for id in ["a", "b"] {
        let mut reach = state.reach.borrow_mut();
        reach.record_unreachable(&service, &TargetId::new(id), 2, state.now());
    }
    with_forwarder(&state, async |forwarder| {
        forwarder.handle_result(&target("a"), timeout(), 0);
    });
    assert_eq!(state.outcomes.take().len(), 0);
}
