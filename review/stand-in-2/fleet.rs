//! The processes of the deploy file on loopback addresses, and the part of the platform that starts
//! them again and kills those over their memory limit.

use crate::http;
use crate::record::Record;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The delay before a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The memory limit of the core's machines on the small site, in MB.
pub const CORE_MEMORY_MB: u64 = 256;

/// The fleets of this case, which end with it however it ends.
static STARTED: Mutex<Vec<Arc<Fleet>>> = Mutex::new(Vec::new());

/// Ends all processes of the case.
pub fn stop_all() {
    for fleet in STARTED.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
        fleet.stop();
    }
}

pub struct Fleet {
    pub control: Vec<SocketAddr>,
    pub fronts: Vec<SocketAddr>,
    processes: Mutex<Vec<Process>>,
    is_over: AtomicBool,
    folder: PathBuf,
    record: Arc<Record>,
}

struct Process {
    name: String,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    is_core: bool,
    /// How often the process ended by itself, or was killed for its memory.
    ends: usize,
    ended_at: Option<Instant>,
    peak_mb: u64,
}

/// The settings that a case adds.
#[derive(Default)]
pub struct Extra {
    pub machines: Option<SocketAddr>,
}

impl Fleet {
    /// Starts five replicas and two entries, as one small deployment.
    pub fn start(record: &Arc<Record>, extra: &Extra) -> io::Result<Arc<Self>> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("goldcrestring-review-{pid}"));
        fs::create_dir_all(&folder)?;
        let ip = |number: u8| {
            let (second, third) = (16 + (pid % 200) as u8, ((pid / 200) % 250) as u8);
            Ipv4Addr::new(127, second, third, number)
        };
        let ports = free_ports(ip(1), 2)?;
        let address = |number: u8, port: usize| SocketAddr::from((ip(number), ports[port]));
        let control: Vec<_> = (1..=5).map(|number| address(number, 0)).collect();
        let fronts: Vec<_> = (6..=7).map(|number| address(number, 0)).collect();
        let fleet = Arc::new(Self {
            control: control.clone(),
            fronts,
            processes: Mutex::default(),
            is_over: AtomicBool::new(false),
            folder: folder.clone(),
            record: Arc::clone(record),
        });
        STARTED.lock().unwrap_or_else(PoisonError::into_inner).push(Arc::clone(&fleet));
        for number in 1..=7_u8 {
            let is_core = number <= 5;
            let name =
                if is_core { format!("core-{number}") } else { format!("edge-{}", number - 5) };
            let data = folder.join(format!("data-{number}"));
            fs::create_dir_all(&data)?;
            let quoted = |address: SocketAddr| format!("\"{address}\"");
            let null = || "null".to_owned();
            let seeds: Vec<_> = control.iter().take(3).map(|seed| quoted(*seed)).collect();
            let text = format!(
                "node: \"{}\"\nlabel: \"{name}\"\ncallers: {}\nhealth: null\ncontrol: {}\n\
                 peer_port: {}\nseeds: [{}]\nis_founding: true\ndata_folder: {}\n\
                 failures_borne: 2\nannouncement_interval_ms: 1500\nmax_lease_ms: 6000\n\
                 adviser: null\nmachines: {}\nupkeep_lease_ms: 3000\nupkeep_s: 2\n\
                 retention_s: 120\nstop_s: 6\n",
                ip(number),
                if is_core { null() } else { quoted(address(number, 0)) },
                if is_core { quoted(address(number, 0)) } else { null() },
                ports[1],
                seeds.join(", "),
                if is_core { format!("\"{}\"", data.display()) } else { null() },
                extra.machines.map_or_else(null, quoted),
            );
            let settings = folder.join(format!("settings-{number}.yaml"));
            fs::write(&settings, text)?;
            let log = folder.join(format!("{name}.log"));
            let child = start(&settings, &log)?;
            fleet.processes().push(Process {
                name,
                settings,
                log,
                child,
                is_core,
                ends: 0,
                ended_at: None,
                peak_mb: 0,
            });
        }
        let watched = Arc::clone(&fleet);
        thread::spawn(move || watched.watch());
        Ok(fleet)
    }

    fn processes(&self) -> MutexGuard<'_, Vec<Process>> {
        self.processes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts processes again that ended, and kills those over their memory limit, until the case is over.
    fn watch(&self) {
        while !self.is_over.load(Ordering::Relaxed) {
            let mut processes = self.processes();
            if self.is_over.load(Ordering::Relaxed) {
                return;
            }
            for process in processes.iter_mut() {
                if let Some(ended_at) = process.ended_at {
                    if ended_at.elapsed() >= RESTART_DELAY {
                        if let Ok(child) = start(&process.settings, &process.log) {
                            process.child = child;
                            process.ended_at = None;
                            self.record.line(&format!("{} starts again", process.name));
                        }
                    }
                    continue;
                }
                if let Ok(Some(status)) = process.child.try_wait() {
                    process.ends += 1;
                    process.ended_at = Some(Instant::now());
                    self.record.line(&format!("{} ended by itself: {status}", process.name));
                    continue;
                }
                let memory_mb = memory_mb(process.child.id());
                process.peak_mb = process.peak_mb.max(memory_mb);
                if process.is_core && memory_mb > CORE_MEMORY_MB {
                    let _ = process.child.kill();
                    let _ = process.child.wait();
                    process.ends += 1;
                    process.ended_at = Some(Instant::now());
                    let text =
                        format!("{} killed: {memory_mb} MB of {CORE_MEMORY_MB} MB", process.name);
                    self.record.line(&text);
                }
            }
            drop(processes);
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// The name, the number of own ends and the peak memory of each replica.
    pub fn core_ends(&self) -> Vec<(String, usize, u64)> {
        let processes = self.processes();
        let core = processes.iter().filter(|process| process.is_core);
        core.map(|process| (process.name.clone(), process.ends, process.peak_mb)).collect()
    }

    /// Sends an operator's call to one replica after the other until one acknowledges or refuses it.
    pub fn operate(
        &self,
        method: &str,
        path: &str,
        body: &str,
        for_s: u64,
    ) -> Option<(u16, String)> {
        let deadline = Instant::now() + Duration::from_secs(for_s);
        let mut turn = 0;
        while Instant::now() < deadline {
            let address = self.control[turn % self.control.len()];
            turn += 1;
            let answer = http::call(address, method, path, &[], body, Duration::from_secs(1));
            if let Ok((status, text)) = answer {
                if status < 500 && status != 408 && status != 429 {
                    return Some((status, text));
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Ends all processes.
    fn stop(&self) {
        let mut processes = self.processes();
        self.is_over.store(true, Ordering::Relaxed);
        for process in processes.iter_mut() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
    }
}

/// Starts a process with the command of the deploy file.
fn start(settings: &Path, log: &Path) -> io::Result<Child> {
    let output = File::options().create(true).append(true).open(log)?;
    Command::new("target/release/goldcrestringd")
        .args(["--fleet", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .spawn()
}

/// The resident memory of a process, in MB.
fn memory_mb(id: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1_024
}

/// Different free ports on an address.
pub fn free_ports(ip: Ipv4Addr, count: usize) -> io::Result<Vec<u16>> {
    let bind = |_| TcpListener::bind((ip, 0));
    let listeners = (0..count).map(bind).collect::<io::Result<Vec<_>>>()?;
    listeners.iter().map(|listener| Ok(listener.local_addr()?.port())).collect()
}
