//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<Mutex<(File, Instant)>>);

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("a record");
        Record(Arc::new(Mutex::new((file, Instant::now()))))
    }

    pub fn line(&self, text: &str) {
        let mut record = self.0.lock().expect("no panic");
        let at = record.1.elapsed().as_secs_f64();
        println!("{at:8.3} {text}");
        let _ = writeln!(record.0, "{at:8.3} {text}");
    }
}
