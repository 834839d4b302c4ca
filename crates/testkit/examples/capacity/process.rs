//! Memory and CPU time of this process as the system shows them. A counting allocator would need
//! `unsafe`, which the workspace forbids, so memory is the growth of the resident set.

use std::{env, error::Error, fs, io, process::Command};

/// Ticks per second of the times in `/proc`, fixed in Linux's interface.
const TICKS: f64 = 100.0;

/// Resident memory in bytes.
pub fn resident() -> io::Result<f64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kib.map(|k| k * 1024.0)
        .ok_or_else(|| io::Error::other("unexpected /proc/self/status"))
}

/// Bytes by which each of `count` results of `make` grows the resident set. Only exact in a process
/// that has freed little memory before, see [`in_fresh_process`].
pub fn bytes_each<T>(count: usize, mut make: impl FnMut() -> T) -> io::Result<f64> {
    let mut held = Vec::with_capacity(count);
    // The first pays for what all share, and fills the allocator's free lists.
    held.push(make());
    let before = resident()?;
    for _ in 1..count {
        held.push(make());
    }
    let grown = resident()? - before;
    Ok(grown / (count - 1) as f64)
}

/// Result of the same measurement in a new process, which has no free memory to use again.
pub fn in_fresh_process(kind: &str, a: usize, b: usize) -> Result<f64, Box<dyn Error>> {
    let output = Command::new(env::current_exe()?)
        .args([kind, &a.to_string(), &b.to_string()])
        .output()?;
    if !output.status.success() {
        return Err(String::from_utf8_lossy(&output.stderr).into());
    }
    Ok(String::from_utf8(output.stdout)?.trim().parse()?)
}

/// CPU time of all threads of this process with a name, in seconds.
pub fn threads_cpu(name: &str) -> io::Result<f64> {
    let mut ticks = 0.0;
    for entry in fs::read_dir("/proc/self/task")? {
        // A thread may end between the listing and the read.
        let Ok(stat) = fs::read_to_string(entry?.path().join("stat")) else {
            continue;
        };
        let Some((head, rest)) = stat.rsplit_once(')') else {
            continue;
        };
        if head.rsplit_once('(').is_some_and(|(_, n)| n == name) {
            let fields: Vec<&str> = rest.split_whitespace().collect();
            let field = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok());
            ticks += field(11).unwrap_or(0.0) + field(12).unwrap_or(0.0);
        }
    }
    Ok(ticks / TICKS)
}
