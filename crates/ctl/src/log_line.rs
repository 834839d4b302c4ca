//! One line of a log: key=value pairs, values with spaces in quotes.

/// A parsed line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    pairs: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line; `None` if it holds no event. What stands before the first pair is passed over.
    pub fn parse(text: &str) -> Option<Self> {
        let mut pairs = Vec::new();
        let mut rest = text.trim();
        while let Some((key, tail)) = rest.split_once('=') {
            let key = key.rsplit(' ').next().unwrap_or_default().to_owned();
            let (value, tail) = take_value(tail);
            pairs.push((key, value));
            rest = tail;
        }
        let line = Self { pairs };
        line.get("event").is_some().then_some(line)
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs
            .iter()
            .find(|(k, _)| k == key)
            .map(|(_, value)| &**value)
    }

    /// Time of the line, empty if it has none.
    pub fn time(&self) -> &str {
        self.get("ts").unwrap_or_default()
    }

    /// Instance that wrote the line.
    pub fn instance(&self) -> &str {
        self.get("instance").unwrap_or_default()
    }

    /// What a belief is about: a target, zone, service or reader.
    pub fn subject(&self) -> &str {
        let keys = ["target_id", "zone", "service", "reader"];
        keys.iter()
            .find_map(|key| self.get(key))
            .unwrap_or_default()
    }

    /// The line without its time and level.
    pub fn text(&self) -> String {
        let shown = self
            .pairs
            .iter()
            .filter(|(key, _)| key != "ts" && key != "level");
        let pairs: Vec<String> = shown.map(|(key, value)| format!("{key}={value}")).collect();
        pairs.join(" ")
    }
}

/// A value and what follows it.
fn take_value(text: &str) -> (String, &str) {
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
