//! Waiting until a change is in force.

use crate::error::{Error, Result};
use crate::remote::Remote;
use derive_more::Display;
use goldcrestring::quantity::Revision;
use std::str::FromStr;
use std::time::{Duration, Instant};

/// The time between two looks.
const POLL: Duration = Duration::from_millis(50);

/// The time between two progress lines.
const PROGRESS: Duration = Duration::from_secs(1);

/// The longest wait.
const LONGEST: Duration = Duration::from_secs(30);

/// What a command waits for.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Until {
    /// The change is accepted.
    #[display("accepted")]
    Accepted,
    /// The change is in force on every entry.
    #[display("in-force")]
    InForce,
}

impl FromStr for Until {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        match text {
            "accepted" => Ok(Self::Accepted),
            "in-force" => Ok(Self::InForce),
            _ => Err("accepted or in-force".to_owned()),
        }
    }
}

/// Waits as asked; prints a progress line each second.
pub(crate) async fn wait(remote: &Remote, revision: Revision, until: Until) -> Result<()> {
    if until == Until::Accepted {
        return Ok(());
    }
    let started = Instant::now();
    let mut next_progress = PROGRESS;
    while started.elapsed() < LONGEST {
        let in_force = in_force(remote).await;
        if in_force.is_ok_and(|in_force| in_force >= revision) {
            return Ok(());
        }
        if started.elapsed() >= next_progress {
            let seconds = started.elapsed().as_secs();
            eprintln!("revision {revision} is accepted; waiting until in force: {seconds} s");
            next_progress += PROGRESS;
        }
        smol::Timer::after(POLL).await;
    }
    Err(Error::NotInForce { revision: revision.get() })
}

/// The highest revision that any process knows to be in force everywhere.
async fn in_force(remote: &Remote) -> Result<Revision> {
    let nodes = remote.status().await?;
    let known = nodes.iter().filter_map(|node| Some(node.status.as_ref()?.in_force));
    Ok(known.max().unwrap_or(Revision::ZERO))
}
