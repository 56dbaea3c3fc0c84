//! The project's own processes: five replicas and two entries, as the deploy file starts them.

use crate::http;
use crate::record::Record;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const REPLICAS: u8 = 5;
const ENTRIES: u8 = 2;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: usize) -> i32;
}

/// `PR_SET_PDEATHSIG`: a child ends with the process that started it, however that ends.
const SET_DEATH_SIGNAL: i32 = 1;
const KILL: i32 = 9;

const STOP: i32 = 19;
const CONTINUE: i32 = 18;

pub struct Fleet {
    children: Vec<Child>,
    /// The addresses of the replicas for workers and the operator.
    pub control: Vec<SocketAddr>,
    /// The addresses of the entries for clients.
    pub front: Vec<SocketAddr>,
    pub folder: PathBuf,
    record: Record,
}

impl Fleet {
    pub fn start(record: &Record) -> Fleet {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{id}"));
        std::fs::create_dir_all(&folder).expect("a folder");
        let net = |number: u8| Ipv4Addr::new(127, 20 + (id / 250 % 200) as u8, (id % 250) as u8, number);
        let ports: Vec<_> = (0..3).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
        let ports: Vec<_> =
            ports.iter().map(|port| port.local_addr().expect("an address").port()).collect();
        let control: Vec<_> = (1..=REPLICAS).map(|n| SocketAddr::from((net(n), ports[0]))).collect();
        let numbers = REPLICAS + 1..=REPLICAS + ENTRIES;
        let front: Vec<_> = numbers.map(|n| SocketAddr::from((net(n), ports[0]))).collect();
        let seeds: Vec<_> = control[..3].iter().map(|seed| format!("\"{seed}\"")).collect();
        let mut children = Vec::new();
        for number in 1..=REPLICAS + ENTRIES {
            let is_replica = number <= REPLICAS;
            let own = format!("\"{}\"", SocketAddr::from((net(number), ports[0])));
            let health = format!("\"{}\"", SocketAddr::from((net(number), ports[1])));
            let data = folder.join(format!("data-{number}"));
            std::fs::create_dir_all(&data).expect("a folder");
            let unless = |is_set: bool, text: String| if is_set { text } else { "null".to_owned() };
            let settings = format!(
                "node: \"{}\"\nlabel: \"node-{number}\"\ncallers: {}\nhealth: {}\ncontrol: {}\n\
                 peer_port: {}\nseeds: [{}]\nis_founding: true\ndata_folder: {}\nfailures_borne: 2\n\
                 announcement_interval_ms: 1500\nmax_lease_ms: 6000\nadviser: null\nmachines: null\n\
                 upkeep_lease_ms: 3000\nupkeep_s: 2\nretention_s: 120\nstop_s: 6\n",
                net(number),
                unless(!is_replica, own.clone()),
                unless(!is_replica, health),
                unless(is_replica, own),
                ports[2],
                seeds.join(","),
                unless(is_replica, format!("{:?}", data.display().to_string())),
            );
            let path = folder.join(format!("settings-{number}.yaml"));
            std::fs::write(&path, settings).expect("a file");
            let log = File::create(folder.join(format!("log-{number}"))).expect("a file");
            let mut command = Command::new("target/release/goldcrestringd");
            command.args(["--fleet", "--settings"]).arg(&path);
            command.stdin(Stdio::null()).stdout(log).stderr(Stdio::null());
            // SAFETY: `prctl` may be called between fork and exec.
            unsafe {
                command.pre_exec(|| {
                    prctl(SET_DEATH_SIGNAL, KILL as usize);
                    Ok(())
                });
            }
            match command.spawn() {
                Ok(child) => children.push(child),
                Err(error) => {
                    record.line(&format!("can't start: {error}"));
                    break;
                }
            }
        }
        Fleet { children, control, front, folder, record: record.clone() }
    }

    fn signal(&self, number: usize, signal: i32) {
        // SAFETY: the process is a child of this one and has not been waited for.
        unsafe { kill(self.children[number].id() as i32, signal) };
    }

    pub fn freeze(&self, number: usize) {
        self.record.line(&format!("replica {} stopped", self.control[number]));
        self.signal(number, STOP);
    }

    pub fn thaw(&self, number: usize) {
        self.signal(number, CONTINUE);
        self.record.line(&format!("replica {} continued", self.control[number]));
    }

    /// The number of the replica that leads, from the logs.
    pub fn leader(&self) -> Option<usize> {
        let mut found = None;
        for number in 0..usize::from(REPLICAS) {
            let log = self.folder.join(format!("log-{}", number + 1));
            let text = std::fs::read_to_string(log).unwrap_or_default();
            let last = text.lines().filter(|line| line.contains("event=leadership ")).next_back();
            if let Some(line) = last.filter(|line| line.contains("is_leader=true")) {
                let time = line.split(' ').next().unwrap_or_default().to_owned();
                found = found.max(Some((time, number)));
            }
        }
        found.map(|(_, number)| number)
    }

    /// An order of the operator: node after node until one acknowledges it.
    pub fn order(&self, path: &str, body: &str, first: usize) -> bool {
        for turn in 0..30 {
            let node = self.control[(first + turn) % self.control.len()];
            let answer = http::call(node, "POST", path, &[], body, Duration::from_secs(1));
            let status = answer.map(|(status, _)| status);
            if turn < 5 || status == Some(200) {
                self.record.line(&format!("operator {path} to {node}: {status:?}"));
            }
            if let Some(200..=299) = status {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100 + 10 * turn as u64));
        }
        false
    }

    /// A call of a client, sent again to the other entry until it has a clear answer.
    pub fn client(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let headers = [
            ("host", "quotes.example"),
            ("api-key", "key-1"),
            ("x-goldcrestring-timeout-ms", "3000"),
        ];
        for turn in 0..8 {
            let entry = self.front[turn % self.front.len()];
            let answer = http::call(entry, method, path, &headers, body, Duration::from_secs(3));
            self.record.line(&format!(
                "client {method} {path} to {entry}: {:?}",
                answer.as_ref().map(|(status, body)| format!("{status} {body}"))
            ));
            if let Some((200 | 400..=428 | 430..=499, _)) = answer {
                return answer;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        None
    }

    pub fn end(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}
