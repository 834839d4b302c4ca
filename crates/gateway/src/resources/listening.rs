//! Accepts the connections of a listener within its share.

use std::{rc::Rc, time::Duration};

use async_executor::Task;
use async_std::{
    net::{TcpListener, TcpStream},
    task,
};
use balance::resources::Listener;
use futures::{future::select, pin_mut};
use tracing::warn;

use super::Connection;
use crate::state::State;

/// Pause after a failed accept, for example because no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections as a task of callers and serves each with `serve`, until the returned task is dropped.
pub fn accept_callers<F: Future<Output = ()> + 'static>(
    state: &Rc<State>,
    listener: TcpListener,
    place: Listener,
    serve: impl Fn(Rc<State>, TcpStream, Rc<Connection>) -> F + 'static,
) -> Task<()> {
    let accepting = accept(Rc::clone(state), listener, place, serve);
    state.caller_tasks.spawn(accepting)
}

/// Whether callers connect there, for requests or for address queries.
fn is_for_callers(place: Listener) -> bool {
    matches!(place, Listener::Callers | Listener::Directory)
}

/// Accepts connections and serves each with `serve`, for ever.
pub async fn accept<F: Future<Output = ()> + 'static>(
    state: Rc<State>,
    listener: TcpListener,
    place: Listener,
    serve: impl Fn(Rc<State>, TcpStream, Rc<Connection>) -> F,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(event = "accept_failed", %error);
                task::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Some(connection) = admit(&state, place).await {
            let served = serve(Rc::clone(&state), stream, Rc::clone(&connection));
            let served = until_closed(served, connection);
            if is_for_callers(place) {
                state.caller_tasks.spawn(served).detach();
            } else {
                task::spawn_local(served);
            }
        }
    }
}

/// Returns the account of a new connection, once one that it replaces has ended. Returns `None` if there
/// is no room for it.
async fn admit(state: &Rc<State>, place: Listener) -> Option<Rc<Connection>> {
    if !state.resources.has_room(place) {
        if !state.resources.close_longest_waiting(place) {
            return None;
        }
        // The task of the other connection runs next and ends.
        while !state.resources.has_room(place) {
            task::yield_now().await;
        }
    }
    state.resources.open(place, state.now()).map(Rc::new)
}

/// Serves a connection until it ends or makes way for another one. Dropping `served` closes the socket. One that
/// makes way starts no further request, which would be sent to a target in vain.
async fn until_closed(served: impl Future<Output = ()>, connection: Rc<Connection>) {
    let ended = connection.ended();
    pin_mut!(served, ended);
    select(ended, served).await;
}

#[cfg(test)]
mod tests;
