//! Subcommands about jobs.

use crate::cluster_client::ClusterClient;
use crate::error::{Error, Result};
use crate::output::{Format, JobActionResult, print};
use argh::FromArgs;
use goldcrestring::job::JobId;
use goldcrestring::job::state::JobPhase;
use goldcrestring::job::view::JobFilter;
use goldcrestring_wire::job_message::OperatorJob;
use std::path::PathBuf;
use uuid::Uuid;

/// Submits, shows, explains and cancels jobs.
#[derive(FromArgs)]
#[argh(subcommand, name = "jobs")]
pub(crate) struct Jobs {
    #[argh(subcommand)]
    command: JobsCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum JobsCommand {
    Cancel(Cancel),
    Explain(Explain),
    Get(Get),
    List(List),
    Submit(Submit),
}

/// Cancels a job: no further task starts, and running tasks are stopped.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
struct Cancel {
    /// the job's id
    #[argh(positional)]
    id: JobId,
}

/// Explains the scheduling state of a job's tasks.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// the job's id
    #[argh(positional)]
    id: JobId,
}

/// Shows the state of a job, step by step.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct Get {
    /// the job's id
    #[argh(positional)]
    id: JobId,
}

/// Lists jobs, 1,000 at a time.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {
    /// list only jobs of this queue
    #[argh(option)]
    queue: Option<String>,
    /// list only jobs of this team
    #[argh(option)]
    team: Option<String>,
    /// list only jobs that are active, completed, failed or cancelled
    #[argh(option)]
    phase: Option<JobPhase>,
    /// list only jobs after this id, the last one of the previous page
    #[argh(option)]
    after: Option<JobId>,
}

/// Submits a job for a team.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
struct Submit {
    /// the YAML file with queue, team and spec
    #[argh(option)]
    file: PathBuf,
    /// the job's id, 16 hexadecimal digits; reuse it to retry a submission
    #[argh(option)]
    id: Option<JobId>,
}

/// Runs a subcommand about jobs.
pub(crate) async fn run(client: &ClusterClient, jobs: Jobs, format: Format) -> Result<()> {
    match jobs.command {
        JobsCommand::Cancel(cancel) => {
            client.cancel_job(cancel.id).await?;
            print(&JobActionResult { id: cancel.id.to_string(), answer: "cancelled" }, format);
        }
        JobsCommand::Explain(explain) => print(&client.explain_job(explain.id).await?, format),
        JobsCommand::Get(get) => print(&client.job(get.id).await?, format),
        JobsCommand::List(list) => {
            let filter = JobFilter {
                queue: list.queue.map(Into::into),
                team: list.team.map(Into::into),
                phase: list.phase,
                after: list.after,
            };
            print(&client.jobs(&filter).await?, format);
        }
        JobsCommand::Submit(submit) => {
            let job = read_job(&submit.file)?;
            let id = submit.id.map_or_else(generate_id, Ok)?;
            client.submit_job(id, &job).await.map_err(|error| match error {
                Error::NoResponse { problem } => {
                    Error::NoResponse { problem: format!("{problem}; to repeat it, add --id {id}") }
                }
                other => other,
            })?;
            print(&JobActionResult { id: id.to_string(), answer: "accepted" }, format);
        }
    }
    Ok(())
}

fn read_job(path: &PathBuf) -> Result<OperatorJob> {
    let usage = |problem: String| Error::usage(format!("{}: {problem}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| usage(error.to_string()))?;
    let job: OperatorJob =
        serde_saphyr::from_str(&text).map_err(|error| usage(error.to_string()))?;
    job.spec.validate().map_err(|error| usage(error.to_string()))?;
    Ok(job)
}

fn generate_id() -> Result<JobId> {
    // The first half of a version 7 UUID is mostly the timestamp, the second half is random.
    let text = Uuid::now_v7().simple().to_string();
    text[16..].parse().map_err(|error| Error::usage(format!("{error}")))
}
