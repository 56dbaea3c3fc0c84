//! The record of a case, with the time since its start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { file: Mutex::new(File::create(path)?), started: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{:8.3} {text}", self.started.elapsed().as_secs_f64());
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.started.elapsed().as_secs_f64());
        self.line(text);
    }
}
