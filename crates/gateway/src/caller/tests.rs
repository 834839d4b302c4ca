use std::{cell::Cell, io::Read};

use async_std::net::TcpListener;
use balance::resources::Listener;
use socket2::{Domain, Socket, Type};

use super::*;
use crate::example::state;

const MIB: u64 = 1_024 * 1_024;

/// Guards against a slow caller that reads all the time and counts as stopped, because one piece of its
/// response takes it longer than that.
#[test]
fn slow_reader_is_not_closed_for_others() {
    let state = state(1_000.0);
    let resources = &state.resources;
    let open = resources.open(Listener::Callers, state.now()).unwrap();
    let other = resources.open(Listener::Callers, state.now()).unwrap();
    let (held, asked) = (open.hold(), other.hold());
    assert!(held.grow(60 * MIB, state.now()));
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        // The window is offered when the connection is opened.
        let client = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        client.set_recv_buffer_size(8 * 1_024).unwrap();
        client
            .connect(&listener.local_addr().unwrap().into())
            .unwrap();
        let mut client = std::net::TcpStream::from(client);
        let (stream, _) = listener.accept().await.unwrap();
        SockRef::from(&stream)
            .set_send_buffer_size(8 * 1_024)
            .unwrap();
        let connection = Connection::new(Rc::clone(&state), stream, Rc::new(open), Origin::Caller);
        let reader = std::thread::spawn(move || {
            let mut chunk = [0; 2 * 1_024];
            while client.read(&mut chunk).is_ok_and(|count| count > 0) {
                std::thread::sleep(Duration::from_millis(40));
            }
        });
        let bytes = vec![0; WRITE_BYTES];
        let write = connection.write(&bytes);
        assert!(timeout(Duration::from_millis(550), write).await.is_err());
        assert!(!asked.grow(60 * MIB, state.now()), "the reader was closed");
        drop(connection);
        reader.join().unwrap();
    });
}

/// Returns the response to a request without a route.
async fn refused(state: Rc<State>, held: HeldBytes) -> CallerResponse {
    let mut input = b"GET / HTTP/1.1\r\n\r\n".to_vec();
    let limits = RequestLimits {
        head_bytes: 100,
        body_bytes: 0,
    };
    let decoded = RequestDecoder::default().decode(&mut input, limits);
    let Ok(Decoded::Complete(request)) = decoded else {
        panic!("{decoded:?}");
    };
    let arrived = ArrivedRequest {
        frame: None,
        message: Rc::new(*request),
        arrived: state.now(),
        held: Rc::new(held),
        refusal: Some(Code::UnknownRoute.into()),
    };
    serve(state, arrived).await
}

/// Returns the account of a caller's connection.
fn open_connection(state: &State) -> Rc<OpenConnection> {
    let open = state.resources.open(Listener::Callers, state.now());
    Rc::new(open.unwrap())
}

/// Returns both ends of a connection, the caller's first.
async fn connect() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap());
    let client = client.await.unwrap();
    (client, listener.accept().await.unwrap().0)
}

/// Guards against requests whose deadline is not noticed while the caller does not read an earlier response.
#[test]
fn requests_go_on_during_write() {
    let state = state(1_000.0);
    let open = open_connection(&state);
    task::block_on(async {
        let (client, mut stream) = connect().await;
        // What the system takes at once, until both buffers are full.
        let filler = vec![0; 1_024 * 1_024];
        let filling = async { while stream.write(&filler).await.is_ok() {} };
        assert!(timeout(Duration::from_millis(200), filling).await.is_err());
        let first = refused(Rc::clone(&state), open.hold()).await;
        let is_done = Rc::new(Cell::new(false));
        let second = {
            let (state, held, is_done) = (Rc::clone(&state), open.hold(), Rc::clone(&is_done));
            async move {
                task::sleep(Duration::from_millis(50)).await;
                is_done.set(true);
                refused(state, held).await
            }
        };
        let mut connection = Connection::new(Rc::clone(&state), stream, open, Origin::Caller);
        connection.responses.push_back(second.boxed_local());
        let write = connection.write_response(&first, false);
        assert!(timeout(Duration::from_millis(500), write).await.is_err());
        assert!(
            is_done.get(),
            "the second request waits for the first response to be read"
        );
        drop(client);
    });
}

/// Guards against requests that are sent to a target after their caller has left, because the instance was busy
/// when both the next step of the request and the end of the connection became ready.
#[test]
fn next_event_notices_end_before_requests_go_on() {
    let state = state(1_000.0);
    let open = open_connection(&state);
    task::block_on(async {
        let (client, stream) = connect().await;
        let mut connection = Connection::new(Rc::clone(&state), stream, open, Origin::Caller);
        let (go_on, waiting) = async_std::channel::bounded::<()>(1);
        let goes_on = Rc::new(Cell::new(false));
        let flag = Rc::clone(&goes_on);
        let request = async move {
            waiting.recv().await.unwrap();
            flag.set(true);
            std::future::pending().await
        };
        connection.responses.push_back(request.boxed_local());
        let mut chunk = vec![0; READ_BYTES];
        let event = connection.next_event(&mut chunk);
        futures::pin_mut!(event);
        assert!(futures::poll!(&mut event).is_pending());
        drop(client);
        go_on.send(()).await.unwrap();
        task::sleep(Duration::from_millis(50)).await;
        assert!(matches!(event.await, Event::Read(Ok(0))));
        assert!(!goes_on.get());
    });
}
