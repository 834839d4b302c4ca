use std::{cell::Cell, rc::Rc, thread};

use async_std::{
    io::{ReadExt, WriteExt},
    net::{TcpListener, TcpStream},
    prelude::FutureExt,
};

use super::*;

/// Bytes that are sent back and forth, each of which takes a few turns.
const ROUND_TRIPS: usize = 5;
/// Tasks of callers that are always ready.
const BUSY_TASKS: usize = 300;

async fn echo(listener: TcpListener) -> std::io::Result<()> {
    let (mut stream, _) = listener.accept().await?;
    let mut byte = [0];
    loop {
        stream.read_exact(&mut byte).await?;
        stream.write_all(&byte).await?;
    }
}

async fn exchange(listener: TcpListener) -> std::io::Result<()> {
    let addr = listener.local_addr()?;
    let _echoing = task::spawn_local(echo(listener));
    let mut stream = TcpStream::connect(addr).await?;
    let mut byte = [1];
    for _ in 0..ROUND_TRIPS {
        stream.write_all(&byte).await?;
        stream.read_exact(&mut byte).await?;
    }
    Ok(())
}

/// Guards against calls to the store that wait for all tasks of callers at each step.
#[test]
fn run_lets_control_tasks_through() {
    let callers = Rc::new(CallerTasks::default());
    let steps = Rc::new(Cell::new(0_u64));
    for _ in 0..BUSY_TASKS {
        let steps = Rc::clone(&steps);
        callers
            .spawn(async move {
                loop {
                    thread::sleep(Duration::from_millis(2));
                    steps.set(steps.get() + 1);
                    task::yield_now().await;
                }
            })
            .detach();
    }
    let start = Instant::now();
    let control = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        task::spawn_local(exchange(listener)).await.unwrap();
    };
    task::block_on(control.race(callers.run()));
    // Each round of all tasks takes 600 ms.
    assert!(start.elapsed() < Duration::from_millis(600));
    assert!(steps.get() > 0);
}
