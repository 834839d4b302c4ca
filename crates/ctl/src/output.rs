//! Output of the program: either text or one JSON object. Results and JSON go to standard output,
//! failures in text form to standard error.

use std::io::{self, Write as _};

use serde::Serialize;
use serde_json::json;

use crate::failure::Failure;

/// Prints results and failures in the form that the command line chose.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    /// Whether to print one JSON object instead of text.
    pub json: bool,
}

impl Output {
    /// Prints a result, in text form as `to_text` renders it.
    pub fn print_result<T: Serialize>(self, value: &T, to_text: impl FnOnce(&T) -> String) {
        if self.json {
            print_line(&json!(value).to_string());
        } else {
            let text = replace_control_chars(&to_text(value));
            if !text.is_empty() {
                print_line(&text);
            }
        }
    }

    /// Prints a line about progress. In JSON form prints nothing.
    pub fn print_progress(self, line: &str) {
        if !self.json {
            print_line(&replace_control_chars(line));
        }
    }

    /// Prints a failure.
    pub fn print_failure(self, failure: &Failure) {
        if self.json {
            let value = json!({
                "code": failure.code(),
                "detail": failure.to_string(),
                "exit": failure.exit() as u8,
                "id": failure.proposal_id(),
            });
            print_line(&value.to_string());
        } else {
            eprintln!("{}", replace_control_chars(&failure.to_string()));
        }
    }
}

/// Prints a line to standard output. Ignores errors, because a reader such as `head` may close the pipe
/// early.
fn print_line(line: &str) {
    let _ = writeln!(io::stdout(), "{line}");
}

/// Replaces control characters other than line ends, so that text from an instance or a file cannot
/// send escape sequences to the terminal.
fn replace_control_chars(text: &str) -> String {
    let replace = |c: char| {
        if c.is_control() && c != '\n' {
            '\u{fffd}'
        } else {
            c
        }
    };
    text.chars().map(replace).collect()
}
