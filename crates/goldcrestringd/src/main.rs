//! `goldcrestringd`: the daemon that routes requests and jobs from callers to backend servers.

mod backends;
mod dispatch;
mod entry;
mod event_sender;
mod fleet;
mod idempotent;
mod lease_client;
mod log;
mod membership_health;
mod node;
mod operators;
mod peers;
mod records;
mod replica;
mod replicated_log;
mod requests;
mod settings;
mod shutdown;
mod storage;

use argh::FromArgs;
use settings::Settings;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

/// Exit code for missing or invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// Exit code if the process fails to start.
const EXIT_START: u8 = 3;

/// The goldcrestring daemon. Routes requests to backend servers and, on nodes with a data folder,
/// replicates the configuration.
#[derive(FromArgs)]
struct Arguments {
    /// path of the settings file, in YAML
    #[argh(option)]
    settings: Option<PathBuf>,
    /// validate the settings and exit
    #[argh(switch)]
    check: bool,
    /// initialize the data folder of a voter and exit; run once on each voter of a new cluster,
    /// never again after a voter has lost its disk
    #[argh(switch)]
    init_replica: bool,
    /// run in fleet mode, with fleet settings: schedules jobs instead of routing requests
    #[argh(switch)]
    fleet: bool,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("goldcrestringd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = &arguments.settings else {
        eprintln!("goldcrestringd: --settings is required");
        return ExitCode::from(EXIT_SETTINGS);
    };
    if arguments.fleet {
        return run_fleet(path, arguments.check);
    }
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("goldcrestringd: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: valid", path.display());
        return ExitCode::SUCCESS;
    }
    match run(settings, arguments.init_replica) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("goldcrestringd: {error}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn run_fleet(path: &Path, is_check_only: bool) -> ExitCode {
    let settings = match fleet::FleetSettings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("goldcrestringd: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if is_check_only {
        println!("{}: valid", path.display());
        return ExitCode::SUCCESS;
    }
    let started =
        log::start_buffered().map_err(Into::into).and_then(|()| start_fleet(settings, path));
    match started {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::flush();
            eprintln!("goldcrestringd: {error}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn start_fleet(
    settings: fleet::FleetSettings,
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    log::log_panics();
    goldcrestring_wire::runtime::start(1)?;
    let adapter = Arc::new(goldcrestring_platform::JsonPlatformAdapter);
    smol::block_on(fleet::run(settings, path.to_owned(), adapter))?;
    Ok(())
}

fn run(settings: Settings, is_init_only: bool) -> Result<(), Box<dyn std::error::Error>> {
    if is_init_only {
        storage::init(&settings)?;
        return Ok(());
    }
    log::start()?;
    log::log_panics();
    goldcrestring_wire::runtime::start(settings.threads)?;
    smol::block_on(node::run(settings))?;
    Ok(())
}
