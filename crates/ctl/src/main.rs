//! `hibiscusctl`: checks configuration documents, is a client of the administration API, and explains
//! requests from log files. It makes every change through the API, which checks it, and never writes
//! to the log service itself.

use std::process::ExitCode;

use argh::FromArgs;
use async_std::task;

mod args;
mod client;
mod commands;
mod exit;
mod failure;
mod log_line;
mod output;
mod token;

use crate::{args::Args, exit::Exit, output::Output};

fn main() -> ExitCode {
    let args = match parse_args() {
        Ok(args) => args,
        Err(exit) => return exit.into(),
    };
    if args.version {
        println!("hibiscusctl {}", env!("CARGO_PKG_VERSION"));
        return Exit::Done.into();
    }
    let output = Output { json: args.json };
    let exit = match task::block_on(commands::run(&args, output)) {
        Ok(exit) => exit,
        Err(failure) => {
            output.print_failure(&failure);
            failure.exit()
        }
    };
    exit.into()
}

/// Parses the command line. Does not let `argh` exit the process, because its exit code for usage
/// errors, 1, is [`Exit::Rejected`] here.
fn parse_args() -> Result<Args, Exit> {
    let strings: Vec<String> = std::env::args_os()
        .skip(1)
        .map(|a| a.to_string_lossy().into_owned())
        .collect();
    let args: Vec<&str> = strings.iter().map(String::as_str).collect();
    Args::from_args(&["hibiscusctl"], &args).map_err(|early| {
        if early.status.is_ok() {
            println!("{}", early.output);
            return Exit::Done;
        }
        eprintln!("{}", early.output);
        Exit::Usage
    })
}
