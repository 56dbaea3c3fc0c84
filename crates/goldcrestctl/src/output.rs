//! Output as tables or JSON.

use crate::cluster_client::{Explanation, NodeStatus, ObjectList};
use derive_more::Display;
use goldcrestring::job::view::{JobSummary, JobView};
use goldcrestring::version::configuration::Versioned;
use goldcrestring_wire::job_message::{JobExplanation, JobList};
use serde::Serialize;
use std::str::FromStr;

/// The output format.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Format {
    /// A table.
    #[display("table")]
    Table,
    /// JSON.
    #[display("json")]
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err("expected table or json".to_owned()),
        }
    }
}

/// A result that can be printed as a table.
pub(crate) trait TableRows: Serialize {
    /// Returns the rows of the table, including any heading.
    fn rows(&self) -> Vec<Vec<String>>;
}

/// Prints a result.
pub(crate) fn print(result: &impl TableRows, format: Format) {
    match format {
        Format::Json => println!("{}", serde_json::to_string_pretty(result).unwrap_or_default()),
        Format::Table => print!("{}", table(&result.rows())),
    }
}

/// Formats rows with columns padded to their widest cell.
pub(crate) fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter().filter_map(|row| row.get(column)).map(String::len).max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

impl TableRows for ObjectList {
    fn rows(&self) -> Vec<Vec<String>> {
        let mut rows = vec![heading(&["OBJECT", "REVISION", "LABELS", "SPEC"])];
        rows.extend(self.objects.iter().map(object_row));
        rows
    }
}

fn object_row(versioned: &Versioned) -> Vec<String> {
    let object = &versioned.object;
    let labels = object.labels.iter().map(|(key, value)| format!("{key}={value}"));
    vec![
        object.reference().to_string(),
        versioned.revision.to_string(),
        labels.collect::<Vec<_>>().join(","),
        spec_text(versioned),
    ]
}

/// Formats the fields of the spec on one line, without the hash of a secret.
fn spec_text(versioned: &Versioned) -> String {
    let Ok(serde_json::Value::Object(spec)) = serde_json::to_value(&versioned.object.spec) else {
        return String::new();
    };
    let fields = spec.values().filter_map(serde_json::Value::as_object).flatten();
    let fields = fields.filter(|(name, _)| *name != "secret_hash");
    let text = fields.map(|(name, value)| match value {
        serde_json::Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    });
    text.collect::<Vec<_>>().join(" ")
}

impl TableRows for Vec<NodeStatus> {
    fn rows(&self) -> Vec<Vec<String>> {
        let titles =
            ["NODE", "LEASE", "REVISION", "IN FORCE", "SERVERS", "WAITING", "REPLICA", "VOTERS"];
        let mut rows = vec![heading(&titles)];
        rows.extend(self.iter().map(node_row));
        rows
    }
}

fn node_row(node: &NodeStatus) -> Vec<String> {
    let Some(status) = &node.status else {
        return vec![node.node.clone(), "no response".to_owned()];
    };
    let replica = status.replica.as_ref();
    let role = replica.map_or("none".to_owned(), |replica| {
        let role = if replica.is_leader {
            "leader"
        } else if replica.voters.contains(&replica.id) {
            "voter"
        } else {
            "learner"
        };
        format!("{role} term {} at {}", replica.term, replica.committed)
    });
    vec![
        node.node.clone(),
        if status.has_lease { "held" } else { "none" }.to_owned(),
        status.revision.to_string(),
        status.in_force.to_string(),
        status.backend_servers.to_string(),
        status.waiting.to_string(),
        role,
        replica.map_or(String::new(), |replica| replica.voters.join(" ")),
    ]
}

impl TableRows for Explanation {
    fn rows(&self) -> Vec<Vec<String>> {
        let mut rows = vec![vec![format!("{} at revision {}", self.object, self.revision)]];
        rows.extend(self.findings.iter().map(|finding| vec![format!("- {finding}")]));
        rows
    }
}

/// The result of an accepted change.
#[derive(Serialize)]
pub(crate) struct AcceptedChange {
    /// The revision at which the change applies.
    pub(crate) revision: u64,
    /// Whether the change is known to be in force on every entry.
    pub(crate) is_in_force: bool,
}

impl TableRows for AcceptedChange {
    fn rows(&self) -> Vec<Vec<String>> {
        let state = if self.is_in_force { "in force" } else { "accepted" };
        vec![vec![format!("{state} at revision {}", self.revision)]]
    }
}

/// The result of granting a key; the secret can't be shown again.
#[derive(Serialize)]
pub(crate) struct GrantedKey {
    /// The complete key, including its secret.
    pub(crate) key: String,
    /// The revision at which the key is granted.
    pub(crate) revision: u64,
}

impl TableRows for GrantedKey {
    fn rows(&self) -> Vec<Vec<String>> {
        vec![vec![self.key.clone()]]
    }
}

/// The differences between a file and the cluster.
#[derive(Serialize)]
pub(crate) struct Differences {
    /// The revision of the cluster's objects.
    pub(crate) revision: u64,
    /// The changes that applying the file would make.
    pub(crate) differences: Vec<String>,
}

impl TableRows for Differences {
    fn rows(&self) -> Vec<Vec<String>> {
        if self.differences.is_empty() {
            return vec![vec![format!("no difference from revision {}", self.revision)]];
        }
        self.differences.iter().map(|difference| vec![difference.clone()]).collect()
    }
}

/// The result of an action on a job.
#[derive(Serialize)]
pub(crate) struct JobActionResult {
    /// The job's id.
    pub(crate) id: String,
    /// The result: `accepted` or `cancelled`.
    pub(crate) answer: &'static str,
}

impl TableRows for JobActionResult {
    fn rows(&self) -> Vec<Vec<String>> {
        vec![vec![self.id.clone(), self.answer.to_owned()]]
    }
}

impl TableRows for JobList {
    fn rows(&self) -> Vec<Vec<String>> {
        let titles = ["JOB", "QUEUE", "TEAM", "PHASE", "WAITING", "ASSIGNED", "DONE"];
        let mut rows = vec![heading(&titles)];
        rows.extend(self.jobs.iter().map(job_row));
        rows
    }
}

fn job_row(job: &JobSummary) -> Vec<String> {
    vec![
        job.id.clone(),
        job.queue.to_string(),
        job.team.as_ref().map_or_else(|| "-".to_owned(), ToString::to_string),
        job.phase.to_string(),
        job.tasks.waiting.to_string(),
        job.tasks.assigned.to_string(),
        job.tasks.done.to_string(),
    ]
}

impl TableRows for JobView {
    fn rows(&self) -> Vec<Vec<String>> {
        let summary = &self.summary;
        let mut rows = vec![vec![format!(
            "{} in queue {}, {}: {} tasks waiting, {} assigned, {} done",
            summary.id,
            summary.queue,
            summary.phase,
            summary.tasks.waiting,
            summary.tasks.assigned,
            summary.tasks.done,
        )]];
        rows.extend(self.steps.iter().map(|step| {
            vec![format!(
                "- occurrence {}, step {}: {} waiting, {} assigned, {} done, {} runs failed",
                step.occurrence,
                step.step,
                step.tasks.waiting,
                step.tasks.assigned,
                step.tasks.done,
                step.failures,
            )]
        }));
        rows
    }
}

impl TableRows for JobExplanation {
    fn rows(&self) -> Vec<Vec<String>> {
        let mut rows = vec![vec![format!("by plan {} in term {}", self.plan, self.term)]];
        rows.extend(self.findings.iter().map(|finding| vec![format!("- {finding}")]));
        rows
    }
}

fn heading(titles: &[&str]) -> Vec<String> {
    titles.iter().map(|&title| title.to_owned()).collect()
}
