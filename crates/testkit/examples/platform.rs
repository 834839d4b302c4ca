//! Stand-ins of the log service and the instance list for trying out one instance by hand; see
//! `docs/ops/install.md`. Writes settings, the administration address and an operator's token into
//! the directory given as argument, and runs until interrupted.

use std::{env, fs, io, net::TcpListener, path::Path, process::ExitCode};

use async_std::task;
use testkit::{ListServer, LogServer};

/// Token of the only operator. The stand-ins listen on loopback only.
const TOKEN: &str = "by-hand";
/// SHA-256 of [`TOKEN`].
const DIGEST: &str = "6002275552e41493d5190725b33a048a13be7fd2073a98cb52721b1a7034c5a6";

fn main() -> ExitCode {
    let Some(dir) = env::args().nth(1) else {
        eprintln!("usage: platform DIRECTORY");
        return ExitCode::from(2);
    };
    let (log, list) =
        task::block_on(async { (LogServer::start().await, ListServer::start().await) });
    let addrs = format!("log = \"{}\"\nlist = \"{}\"\n", log.addr(), list.addr());
    if let Err(error) = write_files(Path::new(&dir), &addrs) {
        eprintln!("{dir}: {error}");
        return ExitCode::FAILURE;
    }
    println!("{dir}/settings.toml");
    loop {
        std::thread::park();
    }
}

fn write_files(dir: &Path, addrs: &str) -> io::Result<()> {
    // Held until all are known, so that they differ.
    let ports = [
        TcpListener::bind("127.0.0.1:0")?,
        TcpListener::bind("127.0.0.1:0")?,
        TcpListener::bind("127.0.0.1:0")?,
    ];
    let mut own = Vec::new();
    for (key, port) in ["listen", "peer", "admin"].into_iter().zip(&ports) {
        own.push((key, port.local_addr()?));
    }
    let own_lines: Vec<String> = own
        .iter()
        .map(|(k, a)| format!("{k} = \"{a}\"\n"))
        .collect();
    let settings = format!(
        "instance = \"i-1\"\nzone = \"sk-central-a\"\nregion = \"sk-central\"\n{}{addrs}\n\
         [[operator]]\nname = \"by-hand\"\ntenant = \"lemovka\"\nrole = \"publish\"\n\
         token_sha256 = \"{DIGEST}\"\n",
        own_lines.concat(),
    );
    fs::create_dir_all(dir)?;
    fs::write(dir.join("settings.toml"), settings)?;
    fs::write(dir.join("admin"), own[2].1.to_string())?;
    fs::write(dir.join("token"), TOKEN)
}
