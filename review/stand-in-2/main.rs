//! The cases 6 and up that are scripts. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case couldn't run.

mod cases;
mod fleet;
mod http;
mod platform;
mod record;
mod worker;

use record::Record;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::{panic, thread};

/// The longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(110);

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: case NAME RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(&path)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.say(&format!("case {case}, with the disruption: {has_trouble}"));
    let watched = Arc::clone(&record);
    thread::spawn(move || {
        thread::sleep(LIMIT);
        watched.say("the case took too long");
        fleet::stop_all();
        std::process::exit(2);
    });
    let verdict = panic::catch_unwind(|| run(&case, &record, has_trouble));
    fleet::stop_all();
    let verdict = verdict.unwrap_or_else(|_| Err(std::io::Error::other("a panic")));
    match verdict {
        Ok(Verdict::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Ok(Verdict::NotRun) => {
            record.say("the case couldn't run");
            ExitCode::from(2)
        }
        Err(error) => {
            record.say(&format!("the case couldn't run: {error}"));
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, record: &Arc<Record>, has_trouble: bool) -> std::io::Result<Verdict> {
    match case {
        "large-job" => cases::large_job(record, has_trouble),
        "dropped-route" => cases::dropped_route(record, has_trouble),
        "lasting-task" => cases::lasting_task(record, has_trouble),
        "late-order" => cases::late_order(record, has_trouble),
        "foreign-entry" => cases::foreign_entry(record, has_trouble),
        _ => Ok(Verdict::NotRun),
    }
}
