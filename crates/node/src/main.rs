//! `hibiscusway`: one instance of the load balancer.

use std::{fs, process::ExitCode};

use argh::FromArgs;
use async_std::task;
use model::Settings;
use node::{Node, Token, init_logging};
use tracing::error;

/// Exit code for wrong settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for an instance that could not start.
const EXIT_START: u8 = 3;

/// One instance of the hibiscusway load balancer.
#[derive(Debug, FromArgs)]
struct Args {
    /// settings file in TOML
    #[argh(option, short = 's', default = "String::from(\"hibiscusway.toml\")")]
    settings: String,

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
    let Some(settings) = read_settings(&args.settings) else {
        return ExitCode::from(EXIT_SETTINGS);
    };
    if args.check_config {
        println!("{}: no errors", args.settings);
        return ExitCode::SUCCESS;
    }
    init_logging(&args.log);
    run(settings)
}

fn read_settings(path: &str) -> Option<Settings> {
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{path}: cannot be read: {error}");
            return None;
        }
    };
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
    let cancel = Token::new();
    let node = match task::block_on(Node::start(settings, &cancel)) {
        Ok(node) => node,
        Err(error) => {
            error!(%error, "event=start_failed");
            return ExitCode::from(EXIT_START);
        }
    };
    task::block_on(cancel.cancelled());
    node.kill();
    ExitCode::SUCCESS
}
