//! `goldcrestctl`: the command-line tool for operators.
//!
//! Exit codes: 0 success; 1 no server gave a usable response; 2 invalid usage or input; 3 rejected
//! by the cluster; 4 accepted, but not known to be in force when the wait timed out.

mod cluster_client;
mod command;
mod error;
mod jobs;
mod output;
mod wait;

use argh::FromArgs;
use command::Command;
use output::Format;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// The environment variable with the default for `--server`.
const SERVERS_VARIABLE: &str = "GOLDCRESTCTL_SERVERS";

/// The environment variable with the default for `--token-file`.
const TOKEN_FILE_VARIABLE: &str = "GOLDCRESTCTL_TOKEN_FILE";

/// Manages a goldcrestring cluster through labels and selectors.
#[derive(FromArgs)]
struct Arguments {
    /// an entry to connect to, as address:port; may be given more than once (or set
    /// GOLDCRESTCTL_SERVERS, separated by commas)
    #[argh(option)]
    server: Vec<SocketAddr>,
    /// the file that contains the operators' token (or set GOLDCRESTCTL_TOKEN_FILE)
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// output format: table or json
    #[argh(option, default = "Format::Table")]
    output: Format,
    #[argh(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let client = match connect(&arguments) {
        Ok(client) => client,
        Err(error) => return fail(&error),
    };
    match smol::block_on(command::run(&client, arguments.command, arguments.output)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn connect(arguments: &Arguments) -> error::Result<cluster_client::ClusterClient> {
    let mut servers = arguments.server.clone();
    if servers.is_empty() {
        let text = std::env::var(SERVERS_VARIABLE).unwrap_or_default();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let problem = |error| error::Error::usage(format!("{SERVERS_VARIABLE}: {error}"));
            servers.push(part.trim().parse().map_err(problem)?);
        }
    }
    if servers.is_empty() {
        return Err(error::Error::usage("--server or GOLDCRESTCTL_SERVERS is required"));
    }
    let from_environment = || std::env::var_os(TOKEN_FILE_VARIABLE).map(PathBuf::from);
    let token_file = arguments.token_file.clone().or_else(from_environment);
    let token_file = token_file.ok_or_else(|| {
        error::Error::usage("--token-file or GOLDCRESTCTL_TOKEN_FILE is required")
    })?;
    let token = std::fs::read_to_string(&token_file)
        .map_err(|error| error::Error::usage(format!("{}: {error}", token_file.display())))?;
    Ok(cluster_client::ClusterClient::new(servers, token.trim()))
}

fn fail(error: &error::Error) -> ExitCode {
    eprintln!("goldcrestctl: {error}");
    ExitCode::from(error.exit_code())
}
