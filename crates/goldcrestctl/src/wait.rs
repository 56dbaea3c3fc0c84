//! Waits until a change is in force.

use crate::cluster_client::ClusterClient;
use crate::error::{Error, Result};
use derive_more::Display;
use goldcrestring::quantity::Revision;
use std::str::FromStr;
use std::time::{Duration, Instant};

/// The interval between status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The interval between progress messages on standard error.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// The timeout of the wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The condition that a command waits for.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum WaitCondition {
    /// The change is accepted.
    #[display("accepted")]
    Accepted,
    /// The change is in force on every entry.
    #[display("in-force")]
    InForce,
}

impl FromStr for WaitCondition {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        match text {
            "accepted" => Ok(Self::Accepted),
            "in-force" => Ok(Self::InForce),
            _ => Err("expected accepted or in-force".to_owned()),
        }
    }
}

/// Waits for the condition and prints a progress message every second.
pub(crate) async fn wait(
    client: &ClusterClient,
    revision: Revision,
    condition: WaitCondition,
) -> Result<()> {
    if condition == WaitCondition::Accepted {
        return Ok(());
    }
    let started = Instant::now();
    let mut next_progress = PROGRESS_INTERVAL;
    while started.elapsed() < WAIT_TIMEOUT {
        let highest = highest_in_force(client).await;
        if highest.is_ok_and(|highest| highest >= revision) {
            return Ok(());
        }
        if started.elapsed() >= next_progress {
            let seconds = started.elapsed().as_secs();
            eprintln!(
                "revision {revision} is accepted; waiting until it is in force ({seconds} s)"
            );
            next_progress += PROGRESS_INTERVAL;
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
    Err(Error::NotInForce { revision: revision.get() })
}

/// Returns the highest revision that any process knows to be in force on every entry.
async fn highest_in_force(client: &ClusterClient) -> Result<Revision> {
    let nodes = client.status().await?;
    let known = nodes.iter().filter_map(|node| Some(node.status.as_ref()?.in_force));
    Ok(known.max().unwrap_or(Revision::ZERO))
}
