//! The command line. Field names are the names of options, and doc comments are the help texts.

use std::net::SocketAddr;

use argh::FromArgs;

/// Checks and publishes configuration, watches it come into force, and shows the state of a
/// hibiscusway deployment. Exit codes: 0 done, 1 rejected, 2 usage, 3 pending, 4 no answer, 5 not
/// permitted, 6 answer not understood.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// administration address, ip:port; may be repeated, tried in turn. Default: the environment
    /// variable `HIBISCUS_ADMIN`, separated by commas
    #[argh(option)]
    pub admin: Vec<String>,

    /// file that holds the bearer token. Default: the environment variable `HIBISCUS_TOKEN`
    #[argh(option)]
    pub token_file: Option<String>,

    /// print one JSON object on standard output
    #[argh(switch)]
    pub json: bool,

    /// time limit of one request in milliseconds, 1 to 600000, default 8000
    #[argh(option, default = "8_000")]
    pub limit_ms: u64,

    /// print the version and exit
    #[argh(switch)]
    pub version: bool,

    /// command to run
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// A command with its arguments.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Checks a configuration document offline.
    Check(Check),
    /// Publishes a configuration document.
    Publish(Publish),
    /// Waits until an offset is in force everywhere.
    Watch(Watch),
    /// Shows offsets, revisions, zones and moves.
    Status(Status),
    /// Shows version moves.
    Moves(Moves),
    /// Shows the audit trail.
    Audit(Audit),
    /// Takes an availability zone out of service or back.
    Zone(Zone),
    /// Shows the state of a proposal.
    Proposal(Proposal),
    /// Explains a request from log files.
    Explain(Explain),
    /// Asks an instance where a request would go.
    Route(Route),
}

/// print the log lines of gateway instances about one request, with the state of the instance at
/// each
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// id of the request, as the caller sent it
    #[argh(positional)]
    pub id: String,

    /// log files of any number of instances; standard input if there are none
    #[argh(positional)]
    pub files: Vec<String>,
}

/// ask a running gateway instance where a request would go now, and why, without sending it
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "route")]
pub struct Route {
    /// metrics address of the instance, ip:port
    #[argh(option)]
    pub instance: SocketAddr,

    /// host of the request
    #[argh(positional)]
    pub host: String,

    /// path of the request, with or without a query
    #[argh(positional)]
    pub path: String,

    /// method of the request, default GET
    #[argh(option, default = "String::from(\"GET\")")]
    pub method: String,

    /// workspace of the caller
    #[argh(option)]
    pub workspace: Option<String>,
}

/// check a whole configuration document without contacting an instance
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// configuration document, a TOML file
    #[argh(positional)]
    pub file: String,
}

/// check a document, publish it and wait for the decision; repeating with the same id is harmless
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct Publish {
    /// configuration document, a TOML file
    #[argh(positional)]
    pub file: String,

    /// tenant that owns the document
    #[argh(option)]
    pub tenant: String,

    /// revision that the document is based on. Default: the revision in force
    #[argh(option)]
    pub base: Option<u64>,

    /// proposal id. Default: a new one
    #[argh(option)]
    pub id: Option<String>,

    /// time to wait for a decision in milliseconds, default 10000
    #[argh(option, default = "10_000")]
    pub wait_ms: u64,
}

/// show the offset in force on each instance until all have reached a given one
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct Watch {
    /// offset to reach, as printed by publish
    #[argh(positional)]
    pub offset: u64,

    /// time to wait in milliseconds, default 14000
    #[argh(option, default = "14_000")]
    pub wait_ms: u64,
}

/// show offsets, revisions, zones and moves
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// show version moves
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "moves")]
pub struct Moves {}

/// show the audit trail
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct Audit {
    /// smallest offset to show, default 0
    #[argh(option, default = "0")]
    pub from: u64,

    /// maximum number of entries to show, 1 to 1000, default 100
    #[argh(option, default = "100")]
    pub limit: u64,
}

/// take an availability zone out of service, so that it receives no new calls, or back
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "zone")]
pub struct Zone {
    /// out or back
    #[argh(positional, from_str_fn(parse_direction))]
    pub direction: Direction,

    /// availability zone
    #[argh(positional, arg_name = "zone")]
    pub name: String,

    /// offset of the zone's last change. Default: as reported by the status
    #[argh(option)]
    pub base: Option<u64>,

    /// proposal id. Default: a new one
    #[argh(option)]
    pub id: Option<String>,

    /// time to wait for a decision in milliseconds, default 10000
    #[argh(option, default = "10_000")]
    pub wait_ms: u64,
}

/// show the state of a proposal
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "proposal")]
pub struct Proposal {
    /// proposal id as printed by publish, or tenant/id
    #[argh(positional)]
    pub id: String,
}

/// Direction of a change of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Takes the zone out of service: it receives no new calls.
    Out,
    /// Takes the zone back into service.
    Back,
}

fn parse_direction(text: &str) -> Result<Direction, String> {
    match text {
        "out" => Ok(Direction::Out),
        "back" => Ok(Direction::Back),
        _ => Err(format!("got {text}; allowed: out or back")),
    }
}
