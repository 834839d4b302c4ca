//! Decides when the head of a message is parsed while it arrives in pieces, so that the work stays
//! linear in its bytes.

/// Progress with a head that has not fully arrived.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadScan {
    /// Bytes that have been searched for the end of the head.
    searched: usize,
    /// Number of bytes at the latest parse.
    parsed: usize,
}

impl HeadScan {
    /// Returns whether to parse `input`: when the head is complete, and otherwise each time that its
    /// size has doubled, in order to find errors early.
    pub fn is_due(&mut self, input: &[u8]) -> bool {
        // The end may have begun in the bytes that were searched before.
        let from = self.searched.saturating_sub(2);
        self.searched = input.len();
        let is_due = has_end(&input[from.min(input.len())..]) || input.len() >= self.parsed * 2;
        if is_due {
            self.parsed = input.len();
        }
        is_due
    }
}

/// Returns whether `bytes` contain a line end that is followed by an empty line, or by a CR that ends none, which is
/// an error. Stops there: the rest may be many pipelined requests.
fn has_end(bytes: &[u8]) -> bool {
    let mut rest = bytes;
    while let Some(end) = rest.iter().position(|b| *b == b'\n') {
        rest = &rest[end + 1..];
        if matches!(rest, [b'\n', ..] | [b'\r', _, ..]) {
            return true;
        }
    }
    false
}

#[cfg(test)]
mod tests;
