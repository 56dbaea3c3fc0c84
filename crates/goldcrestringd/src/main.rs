//! `goldcrestringd`: the daemon that stands between callers and backend servers.

mod backends;
mod control;
mod dispatch;
mod entry;
mod event_sender;
mod fleet;
mod idempotency;
mod lease_client;
mod log;
mod node;
mod operators;
mod peers;
mod records;
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

/// The exit code for settings that are not valid.
const EXIT_SETTINGS: u8 = 2;

/// The exit code for a failure while starting.
const EXIT_START: u8 = 3;

/// The daemon of goldcrestring: routes requests, and replicates the configuration where its
/// settings name a data folder.
#[derive(FromArgs)]
struct Arguments {
    /// the settings file, in YAML
    #[argh(option)]
    settings: Option<PathBuf>,
    /// only check the settings
    #[argh(switch)]
    check: bool,
    /// prepare the data folder of a first replica and stop; needed once for each replica of a new
    /// cluster, never for one that replaces a lost disk
    #[argh(switch)]
    init_replica: bool,
    /// run jobs for a fleet, with a fleet's settings, instead of requests
    #[argh(switch)]
    fleet: bool,
    /// print the version
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
        eprintln!("goldcrestringd: --settings is needed");
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

fn run_fleet(path: &Path, is_check: bool) -> ExitCode {
    let settings = match fleet::FleetSettings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("goldcrestringd: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if is_check {
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
    goldcrestring_wire::runtime::start(1)?;
    let dialect = Arc::new(goldcrestring_platform::PlatformDialect);
    smol::block_on(fleet::run(settings, path.to_owned(), dialect))?;
    Ok(())
}

fn run(settings: Settings, is_init: bool) -> Result<(), Box<dyn std::error::Error>> {
    if is_init {
        storage::init(&settings)?;
        return Ok(());
    }
    log::start()?;
    goldcrestring_wire::runtime::start(settings.threads)?;
    smol::block_on(node::run(settings))?;
    Ok(())
}
