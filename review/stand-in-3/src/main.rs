//! Scenarios of the review. `review-stand-in-3 SCENARIO DAEMON` plays one and exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the scenario couldn't run. With `TROUBLE=0` in the environment the
//! disruption is left out.

mod agents;
mod late_join;
mod rename;
mod stray;
mod support;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a scenario has shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, daemon] = arguments.as_slice() else {
        eprintln!("usage: review-stand-in-3 SCENARIO DAEMON");
        return ExitCode::from(2);
    };
    let daemon = PathBuf::from(daemon);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    if goldcrestring_wire::runtime::start(4).is_err() {
        return ExitCode::from(2);
    }
    let outcome = match scenario.as_str() {
        "stray" => stray::play(&daemon, has_trouble),
        "agents" => agents::play(&daemon, has_trouble),
        "late-join" => late_join::play(&daemon, has_trouble),
        "rename" => rename::play(&daemon, has_trouble),
        _ => Err(format!("unknown scenario {scenario}")),
    };
    match outcome {
        Ok(Outcome::Held) => {
            support::note("result: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken) => {
            support::note("result: the rule was broken");
            ExitCode::from(1)
        }
        Err(problem) => {
            support::note(&format!("result: the case couldn't run: {problem}"));
            ExitCode::from(2)
        }
    }
}
