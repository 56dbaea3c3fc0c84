//! `goldcrestctl`: the operators' command-line tool.
//!
//! Exit codes: 0 done; 1 no answer; 2 bad usage or input; 3 refused; 4 accepted, but not known to
//! be in force when the wait ended.

mod command;
mod error;
mod jobs;
mod output;
mod remote;
mod wait;

use argh::FromArgs;
use command::Command;
use output::Format;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// The environment variable with the servers, where none is given.
const SERVERS_VARIABLE: &str = "GOLDCRESTCTL_SERVERS";

/// The environment variable with the token file, where none is given.
const TOKEN_FILE_VARIABLE: &str = "GOLDCRESTCTL_TOKEN_FILE";

/// Steers a goldcrestring cluster by labels and selectors.
#[derive(FromArgs)]
struct Arguments {
    /// an entry to call, as address:port; may be given more than once (or set
    /// GOLDCRESTCTL_SERVERS, separated by commas)
    #[argh(option)]
    server: Vec<SocketAddr>,
    /// the file with the operators' token (or set GOLDCRESTCTL_TOKEN_FILE)
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// table or json
    #[argh(option, default = "Format::Table")]
    output: Format,
    #[argh(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let remote = match connect(&arguments) {
        Ok(remote) => remote,
        Err(error) => return fail(&error),
    };
    match smol::block_on(command::run(&remote, arguments.command, arguments.output)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn connect(arguments: &Arguments) -> error::Result<remote::Remote> {
    let mut servers = arguments.server.clone();
    if servers.is_empty() {
        let text = std::env::var(SERVERS_VARIABLE).unwrap_or_default();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let problem = |error| error::Error::usage(format!("{SERVERS_VARIABLE}: {error}"));
            servers.push(part.trim().parse().map_err(problem)?);
        }
    }
    if servers.is_empty() {
        return Err(error::Error::usage("--server is needed"));
    }
    let from_environment = || std::env::var_os(TOKEN_FILE_VARIABLE).map(PathBuf::from);
    let token_file = arguments.token_file.clone().or_else(from_environment);
    let token_file = token_file.ok_or_else(|| error::Error::usage("--token-file is needed"))?;
    let token = std::fs::read_to_string(&token_file)
        .map_err(|error| error::Error::usage(format!("{}: {error}", token_file.display())))?;
    Ok(remote::Remote::new(servers, token.trim()))
}

fn fail(error: &error::Error) -> ExitCode {
    eprintln!("goldcrestctl: {error}");
    ExitCode::from(error.exit_code())
}
