//! The command `check`: validates a configuration document offline.

use std::{fs::File, io::Read};

use model::{Config, MAX_CONFIG_BYTES};
use serde_json::json;

use crate::{args::Check, exit::Exit, failure::Failure, output::Output};

/// Checks a configuration document and prints the number of its services and moves.
pub fn check(args: &Check, output: Output) -> Result<Exit, Failure> {
    let (_, config) = read_document(&args.file)?;
    let value = json!({
        "file": args.file,
        "services": config.services.len(),
        "moves": config.moves.len(),
    });
    output.print_result(&value, |_| format!("{}: no errors", args.file));
    Ok(Exit::Done)
}

/// Reads a configuration document, and returns its text and the parsed configuration.
pub fn read_document(path: &str) -> Result<(String, Config), Failure> {
    let text =
        read_bounded(path).map_err(|e| Failure::Usage(format!("{path}: cannot be read: {e}")))?;
    let config = Config::parse(path, &text).map_err(Failure::Document)?;
    Ok((text, config))
}

/// Reads a file, but no more than one byte beyond the maximum size of a document, so that
/// [`Config::parse`] rejects a larger file.
fn read_bounded(path: &str) -> std::io::Result<String> {
    let mut bytes = Vec::new();
    let limit = MAX_CONFIG_BYTES as u64 + 1;
    File::open(path)?.take(limit).read_to_end(&mut bytes)?;
    if bytes.len() as u64 == limit {
        // The text may end within a character. The document is too large in any case.
        return Ok(String::from_utf8_lossy(&bytes).into_owned());
    }
    String::from_utf8(bytes).map_err(|e| std::io::Error::other(e.to_string()))
}
