//! `hibiscusway`: one instance of the load balancer.

use std::{
    env, fs,
    path::Path,
    process::{ExitCode, exit},
    thread::{self, available_parallelism},
};

use argh::FromArgs;
use async_global_executor::GlobalExecutorConfig;
use async_std::task;
use model::Settings;
use node::{Node, Stopped, Token, init_logging};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use tracing::{error, warn};

/// Exit code for wrong settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for an instance that could not start.
const EXIT_START: u8 = 3;
/// Exit code after a second signal during a planned stop.
const EXIT_FORCED: u8 = 4;
/// Exit code of a planned stop whose time limit passed with calls in progress.
const EXIT_TIMED_OUT: u8 = 5;

/// One instance of the hibiscusway load balancer.
#[derive(Debug, FromArgs)]
struct Args {
    /// settings file in TOML
    #[argh(option, short = 's', default = "String::from(\"hibiscusway.toml\")")]
    settings: String,

    /// read the name of the settings file from this environment variable
    #[argh(option)]
    settings_var: Option<String>,

    /// run as a gateway on a platform that registers targets in its store; the settings are those of
    /// docs/platform.md
    #[argh(switch)]
    gateway: bool,

    /// check the settings file and exit
    #[argh(switch)]
    check_config: bool,

    /// log filter, such as info or node=debug
    #[argh(option, default = "String::from(\"info\")")]
    log: String,

    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if args.version {
        println!("hibiscusway {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = settings_file(&args) else {
        return ExitCode::from(EXIT_SETTINGS);
    };
    if args.gateway {
        return run_gateway(&args, &file);
    }
    let Some(settings) = read_settings(&file) else {
        return ExitCode::from(EXIT_SETTINGS);
    };
    if args.check_config {
        println!("{file}: no errors");
        return ExitCode::SUCCESS;
    }
    init_logging(&args.log);
    run(settings)
}

/// Returns the path of the settings file, or `None` if its environment variable cannot be read.
fn settings_file(args: &Args) -> Option<String> {
    let Some(name) = &args.settings_var else {
        return Some(args.settings.clone());
    };
    match env::var(name) {
        Ok(file) => Some(file),
        Err(error) => {
            eprintln!("environment variable {name}: {error}");
            None
        }
    }
}

fn run_gateway(args: &Args, file: &str) -> ExitCode {
    let Some(text) = read_file(file) else {
        return ExitCode::from(EXIT_SETTINGS);
    };
    let settings = match gateway::Settings::parse(file, &text) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check_config {
        println!("{file}: no errors");
        return ExitCode::SUCCESS;
    }
    let logs = gateway::init_logging(&args.log, settings.instance.as_str(), settings.log_lines);
    start_threads(1);
    let result = gateway::run(settings, Path::new(file));
    logs.wait();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(event = "start_failed", %error);
            eprintln!("{error}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn read_file(path: &str) -> Option<String> {
    match fs::read_to_string(path) {
        Ok(text) => Some(text),
        Err(error) => {
            eprintln!("{path}: cannot be read: {error}");
            None
        }
    }
}

fn read_settings(path: &str) -> Option<Settings> {
    let text = read_file(path)?;
    match Settings::parse(path, &text) {
        Ok(settings) => Some(settings),
        Err(errors) => {
            for error in errors {
                eprintln!("{error}");
            }
            None
        }
    }
}

fn run(settings: Settings) -> ExitCode {
    start_threads(settings.threads);
    let signals = match Signals::new([SIGTERM, SIGINT]) {
        Ok(signals) => signals,
        Err(error) => {
            error!(event = "signals_failed", %error);
            return ExitCode::from(EXIT_START);
        }
    };
    let node = match task::block_on(Node::start(settings, &Token::new())) {
        Ok(node) => node,
        Err(error) => {
            error!(event = "start_failed", %error);
            return ExitCode::from(EXIT_START);
        }
    };
    task::block_on(first_signal(signals));
    let stopped = task::block_on(node.stop());
    node.kill();
    match stopped {
        Stopped::Complete => ExitCode::SUCCESS,
        Stopped::TimedOut { .. } => ExitCode::from(EXIT_TIMED_OUT),
    }
}

/// Starts the traffic threads; 0 means one for each core.
fn start_threads(threads: u64) {
    let threads = usize::try_from(threads).ok().filter(|t| *t > 0);
    let threads = threads.or_else(|| available_parallelism().ok().map(usize::from));
    let threads = threads.unwrap_or(1);
    let config = GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads);
    async_global_executor::init_with_config(config);
}

/// Waits for the first signal that asks for a stop. A second one ends the process at once.
async fn first_signal(mut signals: Signals) {
    let (sender, receiver) = async_std::channel::bounded(1);
    thread::spawn(move || {
        let mut pending = signals.forever();
        pending.next();
        let _ = sender.try_send(());
        pending.next();
        warn!(event = "stop_forced");
        exit(i32::from(EXIT_FORCED));
    });
    let _ = receiver.recv().await;
}
