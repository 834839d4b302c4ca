//! Reads the bearer token from a file or the environment. There is no argument for it because process
//! lists show arguments.

use std::{env, fs};

use crate::failure::Failure;

/// Environment variable that holds the token.
pub const TOKEN_VARIABLE: &str = "HIBISCUS_TOKEN";
/// Maximum length of a token in bytes, so that it fits in a request head of 8 KiB.
const MAX_TOKEN_BYTES: usize = 512;

/// Reads the token from `file`, or from the environment if no file is given.
pub fn read_token(file: Option<&str>) -> Result<String, Failure> {
    let source = file.unwrap_or(TOKEN_VARIABLE);
    let text = match file {
        Some(file) => fs::read_to_string(file).map_err(|e| format!("{file}: cannot be read: {e}")),
        None => env::var(TOKEN_VARIABLE)
            .map_err(|_| format!("no token: give --token-file or set {TOKEN_VARIABLE}")),
    };
    let text = text.map_err(Failure::Usage)?;
    let token = text.trim();
    let is_visible = token.bytes().all(|b| b.is_ascii_graphic());
    if token.is_empty() || token.len() > MAX_TOKEN_BYTES || !is_visible {
        let rule = format!("1 to {MAX_TOKEN_BYTES} visible ASCII characters");
        return Err(Failure::Usage(format!(
            "{source}: the token must be {rule}"
        )));
    }
    Ok(token.to_owned())
}
