//! Parser of log lines, which hold key=value pairs. Values with spaces are in quotes.

/// A log line that holds an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    pairs: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line. Ignores text before the first pair. Returns `None` if the line has no `event`.
    pub fn parse(text: &str) -> Option<Self> {
        let mut pairs = Vec::new();
        let mut rest = text.trim();
        while let Some((key, tail)) = rest.split_once('=') {
            let key = key.rsplit(' ').next().unwrap_or_default().to_owned();
            let (value, tail) = split_value(tail);
            pairs.push((key, value));
            rest = tail;
        }
        let line = Self { pairs };
        line.get("event").is_some().then_some(line)
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs
            .iter()
            .find(|(k, _)| k == key)
            .map(|(_, value)| &**value)
    }

    /// Returns the time of the line, or an empty string if it has none.
    pub fn time(&self) -> &str {
        self.get("ts").unwrap_or_default()
    }

    /// Returns the id of the instance that wrote the line, or an empty string if it is missing.
    pub fn instance(&self) -> &str {
        self.get("instance").unwrap_or_default()
    }

    /// Returns the key of the request, or the id of the target, zone, service or reader, that the event
    /// concerns, or an empty string if there is none.
    pub fn subject(&self) -> &str {
        let keys = ["key", "target_id", "zone", "service", "reader"];
        keys.iter()
            .find_map(|key| self.get(key))
            .unwrap_or_default()
    }

    /// Returns the line without its time and level.
    pub fn text(&self) -> String {
        let shown = self
            .pairs
            .iter()
            .filter(|(key, _)| key != "ts" && key != "level");
        let pairs: Vec<String> = shown.map(|(key, value)| format!("{key}={value}")).collect();
        pairs.join(" ")
    }
}

/// Splits the text after a `=` into the value, without its quotes, and the rest of the line.
fn split_value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].to_owned(), &text[end..]);
    };
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return (value, &quoted[at + 1..]),
            '\\' => value.extend(chars.next().map(|(_, escaped)| escaped)),
            other => value.push(other),
        }
    }
    (value, "")
}

#[cfg(test)]
mod tests;
