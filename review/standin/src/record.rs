//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// A file with one line for each event, with the seconds since the start.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Record> {
        Ok(Record {
            began: Instant::now(),
            file: Mutex::new(File::create(folder.join("record.txt"))?),
        })
    }

    pub fn note(&self, text: &str) {
        let seconds = self.began.elapsed().as_secs_f64();
        let mut file = lock(&self.file);
        // A line that can't be written is missing from the record; the verdict doesn't need it.
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }

    /// Notes a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.note(text);
    }
}

/// Locks a mutex; a panic elsewhere doesn't matter here.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
