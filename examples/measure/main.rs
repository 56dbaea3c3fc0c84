//! Measures how cost scales with size, and updates docs/CAPACITY.md.
//!
//! Writes the raw figures as CSV and the plots as SVG to docs/measurements, and the tables between
//! the markers in docs/CAPACITY.md and docs/MEASUREMENTS.md. `--only GROUP` runs a single group:
//! decisions, dissemination or processes.

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
    if let Some(megabytes) = decisions::measure_memory_if_requested()? {
        println!("{megabytes}");
        return Ok(());
    }
    let selected = selected_group()?;
    let is_selected = |group: &str| selected.as_deref().is_none_or(|selected| selected == group);
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut report = Report::new(&root)?;
    if is_selected("decisions") {
        decisions::measure(&mut report)?;
    }
    if is_selected("dissemination") {
        dissemination::measure(&mut report)?;
    }
    if is_selected("processes") {
        processes::measure(&mut report)?;
    }
    report.refresh(&["docs/CAPACITY.md", "docs/MEASUREMENTS.md"])
}

fn selected_group() -> Result<Option<String>> {
    let mut arguments = std::env::args().skip(1);
    match (arguments.next().as_deref(), arguments.next()) {
        (None, _) => Ok(None),
        (Some("--only"), Some(group)) => Ok(Some(group)),
        _ => Err("usage: measure [--only decisions|dissemination|processes]".into()),
    }
}
