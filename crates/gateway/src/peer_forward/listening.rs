//! Serves the connections of other instances.

use std::{rc::Rc, time::Duration};

use async_std::{future::timeout, net::TcpStream};

use super::request_frame::FIRST_BYTE;
use crate::{
    caller::serve_forwarded, endpoints::serve_endpoints, resources::Connection, state::State,
};

/// Time for the first byte of a connection.
const FIRST_BYTE_LIMIT: Duration = Duration::from_secs(10);

/// Serves a connection of another instance, which forwards requests or uses the endpoints.
pub async fn serve_peer(state: Rc<State>, stream: TcpStream, open: Rc<Connection>) {
    let mut first = [0];
    let peeked = timeout(FIRST_BYTE_LIMIT, stream.peek(&mut first)).await;
    match peeked {
        // Forwarded requests are those of callers. Dropping the task, as this future may be, ends it.
        Ok(Ok(1)) if first == [FIRST_BYTE] => {
            let forwarded = serve_forwarded(Rc::clone(&state), stream, open);
            state.caller_tasks.spawn(forwarded).await;
        }
        Ok(Ok(1)) => serve_endpoints(state, stream, open).await,
        _ => {}
    }
}
