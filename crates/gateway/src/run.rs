//! Runs one gateway instance from its start to its planned stop.

use std::{io, net::SocketAddr, path::Path, rc::Rc, time::Duration};

use async_executor::Task;
use async_std::{
    channel::{Receiver, Sender, bounded},
    net::{TcpListener, UdpSocket},
    prelude::FutureExt,
    task,
};
use balance::resources::Listener;
use model::Time;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};
use thiserror::Error;
use tracing::{error, info, warn};

use crate::{
    announce::follow_instance_list,
    caller::serve_caller,
    collecting::send_digests,
    endpoints::serve_endpoints,
    entries::follow_entries,
    entries_sender::send_updates,
    join::join,
    operator_records::follow_operator_records,
    peer_forward::serve_peer,
    peers::receive_datagrams,
    phase::Phase,
    reporting::{send_report, send_reports},
    resources::{accept, accept_callers},
    rollouts::run_rollouts,
    roster::follow_roster,
    scheduling::watch_control_delay,
    settings::Settings,
    state::State,
    usage::{hold_claim, send_reports as send_usage, send_tallies},
};

/// Time between two checks of whether the instance is ready. Meanwhile nobody is served.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two checks of whether the instance may end.
const PHASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Reason why an instance could not start.
#[derive(Debug, Error)]
pub enum RunError {
    /// Binding an address failed.
    #[error("cannot listen on {addr}: {error}")]
    Listen {
        /// Address from the settings.
        addr: SocketAddr,
        /// Error of the system.
        error: io::Error,
    },
    /// Installing the signal handlers failed.
    #[error("cannot install the handlers of SIGTERM, SIGINT and SIGHUP: {0}")]
    Signals(io::Error),
}

/// Runs an instance until a signal asks it to stop and its requests are finished. `file` holds its
/// settings, which `SIGHUP` checks again.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or signals cannot be handled.
pub fn run(settings: Settings, file: &Path) -> Result<(), RunError> {
    let signals = watch_signals().map_err(RunError::Signals)?;
    task::block_on(run_until_stopped(settings, file, signals))
}

async fn run_until_stopped(
    settings: Settings,
    file: &Path,
    signals: Receiver<i32>,
) -> Result<(), RunError> {
    let state = State::new(settings);
    let settings = &state.settings;
    let callers = listen(settings.callers).await?;
    let peer_addr = SocketAddr::from(settings.peer);
    let directory = listen(settings.directory).await?;
    let endpoint_listeners = [
        (Listener::Ready, listen(settings.ready).await?),
        (Listener::Metrics, listen(settings.metrics).await?),
    ];
    let peers = listen(peer_addr).await?;
    let socket = UdpSocket::bind(peer_addr).await;
    let socket = Rc::new(socket.map_err(|error| RunError::Listen {
        addr: peer_addr,
        error,
    })?);
    info!(event = "started", zone = %settings.zone, callers = %settings.callers,
        boot = state.incarnation, version = env!("CARGO_PKG_VERSION"));
    for (place, listener) in endpoint_listeners {
        let state = Rc::clone(&state);
        task::spawn_local(accept(state, listener, place, serve_endpoints));
    }
    let for_peers = Rc::clone(&state);
    task::spawn_local(accept(for_peers, peers, Listener::Peer, serve_peer));
    accept_callers(&state, directory, Listener::Directory, serve_endpoints).detach();
    let accepting = accept_callers(&state, callers, Listener::Callers, serve_caller);
    let (ahead_sender, peers_ahead) = bounded(1);
    task::spawn_local(after_join(
        Rc::clone(&state),
        follow_operator_records(Rc::clone(&state), Rc::clone(&socket), peers_ahead),
    ));
    let (update_sender, updates) = bounded(1);
    task::spawn_local(after_join(
        Rc::clone(&state),
        follow_entries(Rc::clone(&state), Rc::clone(&socket), update_sender),
    ));
    task::spawn_local(send_updates(Rc::clone(&state), Rc::clone(&socket), updates));
    task::spawn_local(follow_instance_list(Rc::clone(&state)));
    task::spawn_local(send_reports(Rc::clone(&state), Rc::clone(&socket)));
    task::spawn_local(send_digests(Rc::clone(&state), Rc::clone(&socket)));
    task::spawn_local(follow_roster(Rc::clone(&state)));
    task::spawn_local(join(Rc::clone(&state)));
    let for_ahead = Rc::clone(&state);
    let on_peer_ahead = move |peer| {
        for_ahead.metrics.count("peers_ahead", 1);
        let now = for_ahead.now();
        for_ahead.ahead_peers.borrow_mut().record(peer, now);
        // If the channel is full, the peers are asked next.
        let _ = Sender::try_send(&ahead_sender, ());
    };
    task::spawn_local(receive_datagrams(
        Rc::clone(&state),
        Rc::clone(&socket),
        on_peer_ahead,
    ));
    task::spawn_local(run_rollouts(Rc::clone(&state)));
    task::spawn_local(watch_control_delay(Rc::clone(&state)));
    task::spawn_local(send_tallies(Rc::clone(&state), Rc::clone(&socket)));
    task::spawn_local(hold_claim(Rc::clone(&state)));
    task::spawn_local(send_usage(Rc::clone(&state)));
    task::spawn_local(wait_until_ready(Rc::clone(&state), Rc::clone(&socket)));
    let until_stopped = async {
        wait_for_stop(&state, file, &signals).await;
        stop(&state, &socket, accepting).await;
    };
    until_stopped.race(state.caller_tasks.run()).await;
    Ok(())
}

/// Runs a reader of the store once the instance has a snapshot, or none can be had.
async fn after_join(state: Rc<State>, reader: impl Future<Output = ()>) {
    state.join_ended().await;
    reader.await;
}

async fn listen(addr: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(addr)
        .await
        .map_err(|error| RunError::Listen { addr, error })
}

fn watch_signals() -> io::Result<Receiver<i32>> {
    let (sender, receiver) = bounded(16);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    std::thread::Builder::new()
        .name(String::from("signals"))
        .spawn(move || {
            for signal in signals.forever() {
                // If 16 signals are pending already, one more makes no difference.
                let _ = sender.try_send(signal);
            }
        })?;
    Ok(receiver)
}

/// Waits until the configuration and the targets are known, then makes the instance ready.
async fn wait_until_ready(state: Rc<State>, socket: Rc<UdpSocket>) {
    while state.config().is_none() || state.entries_as_of.get().is_none() {
        task::sleep(READY_CHECK_INTERVAL).await;
    }
    if state.phase.get() == Phase::Starting {
        state.phase.set(Phase::Ready);
        info!(
            event = "ready",
            config = state.config().map_or(0, |m| m.version),
            targets = state.targets.borrow().len()
        );
        send_report(&state, &socket).await;
    }
}

/// Handles signals until one asks the instance to stop.
async fn wait_for_stop(state: &State, file: &Path, signals: &Receiver<i32>) {
    while let Ok(signal) = signals.recv().await {
        if signal != SIGHUP {
            return;
        }
        reload(state, file);
    }
}

/// Checks the settings file again and logs whether it has changed. Changes apply at the next start.
fn reload(state: &State, file: &Path) {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            error!(event = "reload_failed", file = %file.display(), %error);
            return;
        }
    };
    match Settings::parse(&file.display().to_string(), &text) {
        Ok(settings) if settings == state.settings => info!(event = "reload", outcome = "same"),
        Ok(_) => warn!(event = "reload", outcome = "in force after the next start"),
        Err(error) => error!(event = "reload_failed", %error),
    }
}

/// Serves the requests that callers still send, within the time for a planned stop. Connections are
/// taken until the last ones are closed or requests are no longer answered.
async fn stop(state: &Rc<State>, socket: &UdpSocket, accepting: Task<()>) {
    let plan = state.begin_stop();
    info!(
        event = "stopping",
        callers = state.caller_connections.get(),
        busy = state.active_requests.get(),
        limit_ms = state.settings.stop_s * 1_000.0
    );
    send_report(state, socket).await;
    wait_until(state, plan.idle_end(), || false).await;
    state.close_idle();
    info!(
        event = "callers_closed",
        callers = state.caller_connections.get(),
        busy = state.active_requests.get()
    );
    let has_no_callers = || state.caller_connections.get() == 0;
    wait_until(state, plan.answers_end(), has_no_callers).await;
    // Cancelling the task closes its listener; the task has no result.
    accepting.cancel().await;
    state.end_requests();
    wait_until(state, plan.exit(), has_no_callers).await;
    let counts = state.stop_counts.get();
    info!(
        event = "stopped",
        callers = state.caller_connections.get(),
        busy = state.active_requests.get(),
        answered = counts.answered,
        refused = counts.refused,
        broken_off = counts.broken_off
    );
}

/// Waits until `time`, or until `is_done`.
async fn wait_until(state: &State, time: Time, is_done: impl Fn() -> bool) {
    while state.now() < time && !is_done() {
        task::sleep(PHASE_CHECK_INTERVAL).await;
    }
}
