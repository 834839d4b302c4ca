//! The commands, in one module for each group.

mod check;
mod explain;
mod propose;
mod route;
mod route_text;
mod show;
mod watch;

use model::is_valid_id;

use crate::{
    args::{Args, Command},
    client::Client,
    exit::Exit,
    failure::Failure,
    output::Output,
};

/// Runs the command that the command line names.
pub async fn run(args: &Args, output: Output) -> Result<Exit, Failure> {
    let Some(command) = &args.command else {
        let text = "no command; hibiscusctl --help lists them";
        return Err(Failure::Usage(text.to_owned()));
    };
    if let Command::Check(check) = command {
        return check::check(check, output);
    }
    if let Command::Explain(explain) = command {
        return explain::explain(explain, output);
    }
    if let Command::Route(route) = command {
        return route::route(args.limit_ms, route, output).await;
    }
    let client = Client::new(args)?;
    match command {
        Command::Check(check) => check::check(check, output),
        Command::Explain(explain) => explain::explain(explain, output),
        Command::Route(route) => route::route(args.limit_ms, route, output).await,
        Command::Publish(publish) => propose::publish(&client, publish, output).await,
        Command::Zone(zone) => propose::zone(&client, zone, output).await,
        Command::Proposal(proposal) => propose::proposal(&client, proposal, output).await,
        Command::Watch(watch) => watch::watch(&client, watch, output).await,
        Command::Status(_) => show::status(&client, output).await,
        Command::Moves(_) => show::moves(&client, output).await,
        Command::Audit(audit) => show::audit(&client, audit, output).await,
    }
}

/// Rejects text that is not a valid identifier and so may not be part of a path or an id.
fn check_identifier(option: &str, text: &str) -> Result<(), Failure> {
    if is_valid_id(text) {
        return Ok(());
    }
    let rule = "1 to 64 letters, digits, '-', '_' or '.', the first a letter or digit";
    Err(Failure::Usage(format!(
        "{option}: got {text}; allowed: {rule}"
    )))
}
