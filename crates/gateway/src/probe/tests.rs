use std::{net::TcpListener, thread};

use async_std::task;
use balance::{Contact, GatewayConfig, ServiceConfig};
use model::ServiceName;

use super::*;
use crate::example::{put_target, state};

/// Returns the contact after three targets were probed that accept connections and never answer, while the
/// thread was `busy` with something else.
fn contact_after_probe(busy: Duration) -> Contact {
    let state = state(200.0);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let service = ServiceName::new("s");
    let config = ServiceConfig {
        name: service.clone(),
        health_path: "/healthz".into(),
        max_connections: 100,
        cold_rate: 1.0,
    };
    let config = GatewayConfig::new(1, balance::CallerLimits::default(), [config], []);
    *state.config.borrow_mut() = Some(Rc::new(config));
    let ids = ["a", "b", "c"].map(TargetId::new);
    for id in &ids {
        put_target(&state, id.as_str(), "a", 0);
        let mut targets = state.targets.borrow_mut();
        let mut entry = targets.get(id).unwrap().entry.clone();
        entry.addr = listener.local_addr().unwrap();
        targets.put(entry, state.now());
    }
    task::block_on(async {
        // Time for tokens of three probes.
        task::sleep(Duration::from_millis(100)).await;
        // The probes are sent first.
        let blocking = async {
            task::sleep(Duration::from_millis(10)).await;
            thread::sleep(busy);
        };
        futures::join!(probe(&state, &ids), blocking);
    });
    state.reach.borrow().contact(&service)
}

/// Guards against an instance that is short of processor time, takes its own delay for silence of the targets and
/// sends its requests through others.
#[test]
fn probe_noticed_late_is_no_silence() {
    assert_eq!(contact_after_probe(Duration::ZERO), Contact::Doubtful);
    assert_eq!(
        contact_after_probe(Duration::from_millis(80)),
        Contact::Reached
    );
}
