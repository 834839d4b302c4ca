//! Loopback addresses for listeners that a test starts later.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
};

/// First port to try, and number of ports. They lie below the range from which the system takes ports
/// for connections: a port of that range was taken by another test before the instance listened.
const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 20_000;
/// Ports that each process of a test run begins with, before it tries those of others.
const PORTS_PER_PROCESS: u32 = 64;
/// Ports that are tried before giving up.
const MAX_TRIES: usize = 1_000;

/// Returns an address that nothing listens on. No two calls in a process return the same one until
/// all ports were tried.
///
/// # Errors
///
/// Returns an error if none of many ports is free.
pub fn free_addr() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let base = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    for _ in 0..MAX_TRIES {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + base.wrapping_add(step) % PORTS;
        let addr = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    Err(io::Error::from(io::ErrorKind::AddrInUse))
}
