//! The commands about jobs.

use crate::error::{Error, Result};
use crate::output::{Format, JobActionResult, print};
use crate::remote::Remote;
use argh::FromArgs;
use goldcrestring::job::JobId;
use goldcrestring::job::state::JobPhase;
use goldcrestring::job::view::JobFilter;
use goldcrestring_wire::job_message::OperatorJob;
use std::path::PathBuf;
use uuid::Uuid;

/// Hands in jobs, shows and cancels them, and tells what they wait for.
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

/// Cancels a job: nothing of it starts any more, and what runs is stopped.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
struct Cancel {
    /// the job's id
    #[argh(positional)]
    id: JobId,
}

/// Tells why the tasks of a job are where they are.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// the job's id
    #[argh(positional)]
    id: JobId,
}

/// Shows a job, step by step.
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
    /// only those of a queue
    #[argh(option)]
    queue: Option<String>,
    /// only those of a team
    #[argh(option)]
    team: Option<String>,
    /// only those that are active, completed, failed or cancelled
    #[argh(option)]
    phase: Option<JobPhase>,
    /// only those after this id, the last of the page before
    #[argh(option)]
    after: Option<JobId>,
}

/// Hands in a job for a team.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
struct Submit {
    /// the file, in YAML, with queue, team and spec
    #[argh(option)]
    file: PathBuf,
    /// the job's id, 16 hexadecimal digits; give the same one to hand in a job again
    #[argh(option)]
    id: Option<JobId>,
}

/// Runs a command.
pub(crate) async fn run(remote: &Remote, jobs: Jobs, format: Format) -> Result<()> {
    match jobs.command {
        JobsCommand::Cancel(cancel) => {
            remote.cancel_job(cancel.id).await?;
            print(&JobActionResult { id: cancel.id.to_string(), answer: "cancelled" }, format);
        }
        JobsCommand::Explain(explain) => print(&remote.explain_job(explain.id).await?, format),
        JobsCommand::Get(get) => print(&remote.job(get.id).await?, format),
        JobsCommand::List(list) => {
            let filter = JobFilter {
                queue: list.queue.map(Into::into),
                team: list.team.map(Into::into),
                phase: list.phase,
                after: list.after,
            };
            print(&remote.jobs(&filter).await?, format);
        }
        JobsCommand::Submit(submit) => {
            let job = read(&submit.file)?;
            let id = submit.id.map_or_else(new_id, Ok)?;
            remote.submit_job(id, &job).await?;
            print(&JobActionResult { id: id.to_string(), answer: "accepted" }, format);
        }
    }
    Ok(())
}

fn read(path: &PathBuf) -> Result<OperatorJob> {
    let usage = |problem: String| Error::usage(format!("{}: {problem}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| usage(error.to_string()))?;
    let job: OperatorJob =
        serde_saphyr::from_str(&text).map_err(|error| usage(error.to_string()))?;
    job.spec.check().map_err(|error| usage(error.to_string()))?;
    Ok(job)
}

fn new_id() -> Result<JobId> {
    // The second half is random; the first is the time.
    let text = Uuid::now_v7().simple().to_string();
    text[16..].parse().map_err(|error| Error::usage(format!("{error}")))
}
