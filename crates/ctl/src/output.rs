//! What the program prints: text for people, or one JSON object. Results go to standard output,
//! failures in text form to standard error.

use std::io::{self, Write as _};

use serde::Serialize;
use serde_json::json;

use crate::failure::Failure;

/// Form of the output.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    /// One JSON object instead of text.
    pub json: bool,
}

impl Output {
    /// Prints a result.
    pub fn result<T: Serialize>(self, value: &T, text: impl FnOnce(&T) -> String) {
        if self.json {
            print_line(&json!(value).to_string());
        } else {
            let text = clean(&text(value));
            if !text.is_empty() {
                print_line(&text);
            }
        }
    }

    /// Prints a line about progress; nothing in JSON form.
    pub fn progress(self, line: &str) {
        if !self.json {
            print_line(&clean(line));
        }
    }

    /// Prints a failure.
    pub fn failure(self, failure: &Failure) {
        if self.json {
            let value = json!({
                "code": failure.code(),
                "detail": failure.to_string(),
                "exit": failure.exit() as u8,
                "id": failure.proposal(),
            });
            print_line(&value.to_string());
        } else {
            eprintln!("{}", clean(&failure.to_string()));
        }
    }
}

/// A reader that went away, such as `head`, is no failure.
fn print_line(line: &str) {
    let _ = writeln!(io::stdout(), "{line}");
}

/// Replaces control characters other than line ends, so that text from outside cannot steer a
/// terminal.
fn clean(text: &str) -> String {
    let replace = |c: char| {
        if c.is_control() && c != '\n' {
            '\u{fffd}'
        } else {
            c
        }
    };
    text.chars().map(replace).collect()
}
