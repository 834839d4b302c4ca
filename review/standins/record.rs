//! The record of a case: what was sent, run and answered, with the time since its start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Writes `record.txt`. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    pub start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
        })
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        // Whole milliseconds: a time with a point looks like a part of an address.
        let at = self.now().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>6} ms {text}");
    }

    /// Adds a line that is also shown.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    /// Writes out what is buffered.
    pub fn finish(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
