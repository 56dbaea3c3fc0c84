//! Measures how cost grows with size, and refreshes docs/CAPACITY.md.
//!
//! Writes the raw figures as CSV and the plots as SVG to docs/measurements, and the tables between
//! the markers of docs/CAPACITY.md and docs/MEASUREMENTS.md. `--only NAME` runs one group:
//! decisions, dissemination, processes.

mod decisions;
mod dissemination;
mod fleet;
mod processes;
mod report;

use report::Report;
use std::error::Error;
use std::path::Path;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

fn main() -> Result<()> {
    if let Some(done) = decisions::measure_memory_when_asked()? {
        println!("{done}");
        return Ok(());
    }
    let only = only_group()?;
    let is_wanted = |group: &str| only.as_deref().is_none_or(|only| only == group);
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut report = Report::new(&root)?;
    if is_wanted("decisions") {
        decisions::measure(&mut report)?;
    }
    if is_wanted("dissemination") {
        dissemination::measure(&mut report)?;
    }
    if is_wanted("processes") {
        processes::measure(&mut report)?;
    }
    report.refresh(&["docs/CAPACITY.md", "docs/MEASUREMENTS.md"])
}

fn only_group() -> Result<Option<String>> {
    let mut arguments = std::env::args().skip(1);
    match (arguments.next().as_deref(), arguments.next()) {
        (None, _) => Ok(None),
        (Some("--only"), Some(group)) => Ok(Some(group)),
        _ => Err("usage: measure [--only decisions|dissemination|processes]".into()),
    }
}
