//! A fake backend server as a separate process.

use argh::FromArgs;
use goldcrestring::name::{DataCentreName, RackName, VmId};
use goldcrestring_fakes::backend_server::{BackendServer, BackendServerSettings};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A fake backend server: sleeps for each task and responds with the task's body.
#[derive(FromArgs)]
struct Arguments {
    /// the VM's id
    #[argh(option)]
    vm: VmId,
    /// the address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// the data centre
    #[argh(option)]
    data_centre: DataCentreName,
    /// the rack
    #[argh(option)]
    rack: RackName,
    /// the maximum number of concurrent tasks
    #[argh(option, default = "8")]
    slots: u32,
    /// the run time of each task, in milliseconds
    #[argh(option, default = "5")]
    work_ms: u64,
    /// an entry to announce to; may be given more than once
    #[argh(option)]
    entry: Vec<SocketAddr>,
    /// the file that contains the backend servers' token
    #[argh(option)]
    token_file: PathBuf,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments: Arguments = argh::from_env();
    let settings = BackendServerSettings {
        vm: arguments.vm,
        listen: arguments.listen,
        data_centre: arguments.data_centre,
        rack: arguments.rack,
        slots: arguments.slots,
        task_duration: Duration::from_millis(arguments.work_ms),
        entries: arguments.entry,
        token: std::fs::read_to_string(arguments.token_file)?.trim().to_owned(),
        max_interval: Duration::from_millis(500),
    };
    goldcrestring_wire::runtime::start(1)?;
    smol::block_on(async {
        let _server = BackendServer::start(settings).await?;
        std::future::pending().await
    })
}
