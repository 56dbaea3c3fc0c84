//! The record of a case, with the time since its start.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
    /// Whether lines of jobs wait for [`Record::write_jobs`].
    is_by_job: AtomicBool,
    jobs: Mutex<BTreeMap<String, Vec<String>>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            started: Instant::now(),
            is_by_job: AtomicBool::new(false),
            jobs: Mutex::default(),
        })
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{:8.3} {text}", self.started.elapsed().as_secs_f64());
    }

    /// Keeps the lines of jobs until [`Self::write_jobs`], for cases with thousands of jobs.
    pub fn keep_by_job(&self) {
        self.is_by_job.store(true, Ordering::Relaxed);
    }

    /// Writes or keeps a line of a job.
    pub fn line_of(&self, job: &str, text: &str) {
        if !self.is_by_job.load(Ordering::Relaxed) {
            return self.line(text);
        }
        let line = format!("{:8.3} {text}", self.started.elapsed().as_secs_f64());
        let mut jobs = self.jobs.lock().unwrap_or_else(PoisonError::into_inner);
        jobs.entry(job.to_owned()).or_default().push(line);
    }

    /// Writes the kept lines of the jobs that `is_shown` chooses; returns the number of the others.
    pub fn write_jobs(&self, is_shown: impl Fn(&str) -> bool) -> usize {
        let jobs = self.jobs.lock().unwrap_or_else(PoisonError::into_inner);
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let mut others = 0;
        for (job, lines) in jobs.iter() {
            if is_shown(job) {
                let _ = writeln!(file, "{}", lines.join("\n"));
            } else {
                others += 1;
            }
        }
        others
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.started.elapsed().as_secs_f64());
        self.line(text);
    }
}
