//! The platform's service for machines: its list, and moves to other pools.

use crate::http::{self, Request};
use crate::record::Record;
use crate::worker::{About, Worker};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// `migrate_s` of the small site.
const MIGRATION: Duration = Duration::from_millis(1_500);

struct Machine {
    pool: String,
    state: &'static str,
    zone: String,
    cpu: u64,
    worker: Option<Arc<Worker>>,
    lives: usize,
}

pub struct Platform {
    address: SocketAddr,
    /// The pool whose machines are off.
    spare: String,
    /// Whether the list has an entry of another writer, with bytes that can't be read.
    has_foreign_entry: bool,
    machines: Mutex<BTreeMap<String, Machine>>,
    control: Mutex<Vec<SocketAddr>>,
    record: Arc<Record>,
}

impl Platform {
    pub fn start(
        record: &Arc<Record>,
        spare: &str,
        has_foreign_entry: bool,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let platform = Arc::new(Self {
            address: listener.local_addr()?,
            spare: spare.to_owned(),
            has_foreign_entry,
            machines: Mutex::default(),
            control: Mutex::default(),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&platform);
        http::serve(listener, move |request| served.handle(&request));
        Ok(platform)
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    fn machines(&self) -> MutexGuard<'_, BTreeMap<String, Machine>> {
        self.machines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds machines with a worker each.
    pub fn add_workers(
        &self,
        count: usize,
        pool: &str,
        cpu: u64,
        control: &[SocketAddr],
    ) -> io::Result<()> {
        *self.control.lock().unwrap_or_else(PoisonError::into_inner) = control.to_vec();
        for number in 1..=count {
            let zone = ["southeast-a", "southeast-b", "southeast-c"][number % 3].to_owned();
            let name = format!("m-{number:05x}");
            let pool = pool.to_owned();
            let mut machine = Machine { pool, state: "up", zone, cpu, worker: None, lives: 0 };
            self.start_worker(&name, &mut machine)?;
            self.machines().insert(name, machine);
        }
        Ok(())
    }

    /// The workers that are up.
    pub fn workers(&self) -> Vec<Arc<Worker>> {
        self.machines().values().filter_map(|machine| machine.worker.clone()).collect()
    }

    fn start_worker(&self, name: &str, machine: &mut Machine) -> io::Result<()> {
        machine.lives += 1;
        let about = About {
            id: format!("i-{}-{}", &name[2..], machine.lives),
            service: machine.pool.clone(),
            zone: machine.zone.clone(),
            machine: name.to_owned(),
            cpu: machine.cpu,
            control: self.control.lock().unwrap_or_else(PoisonError::into_inner).clone(),
        };
        machine.worker = Some(Worker::start(about, &self.record)?);
        Ok(())
    }

    fn handle(self: &Arc<Self>, request: &Request) -> (u16, Vec<u8>) {
        match request.path.split('?').next().unwrap_or_default() {
            "/api/machines" => (200, self.list()),
            "/api/machine-move" => self.move_machine(&request.body),
            _ => (404, Vec::new()),
        }
    }

    fn list(&self) -> Vec<u8> {
        let mut answer = b"{\"machines\":[".to_vec();
        for (number, (name, machine)) in self.machines().iter().enumerate() {
            let id = machine.worker.as_ref().map_or("", |worker| &worker.about.id);
            let entry = format!(
                "{}{{\"machine\":\"{name}\",\"pool\":\"{}\",\"state\":\"{}\",\"zone\":\"{}\",\
                 \"labels\":[\"a\",\"r1-1\"],\"capacity\":{{\"cpu\":{},\"mem_mb\":262144,\"gpu\":0}},\
                 \"id\":\"{id}\"}}",
                if number == 0 { "" } else { "," },
                machine.pool,
                machine.state,
                machine.zone,
                machine.cpu
            );
            answer.extend_from_slice(entry.as_bytes());
        }
        if self.has_foreign_entry {
            answer.extend_from_slice(b",{\"machine\":\"\xff\xfe\x80\",\"pool\":7,\"state\":\"?\"}");
        }
        answer.extend_from_slice(b"],\"next_token\":\"\"}");
        self.record.line(&format!("list of machines read, {} bytes", answer.len()));
        answer
    }

    fn move_machine(self: &Arc<Self>, body: &str) -> (u16, Vec<u8>) {
        let name = http::text(body, "machine").unwrap_or_default();
        let pool = http::text(body, "pool").unwrap_or_default();
        let mut machines = self.machines();
        let Some(machine) = machines.get_mut(&name) else { return (400, Vec::new()) };
        if machine.state == "up" && machine.pool == pool {
            return (200, b"{}".to_vec());
        }
        if machine.state != "up" {
            return (409, b"{\"reason\":\"busy\"}".to_vec());
        }
        machine.state = "moving";
        if let Some(worker) = machine.worker.take() {
            worker.end_life();
        }
        self.record.line(&format!("{name} moves from {} to {pool}", machine.pool));
        let platform = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(MIGRATION);
            if let Some(machine) = platform.machines().get_mut(&name) {
                machine.pool = pool;
                machine.state = "up";
                if machine.pool != platform.spare {
                    let _ = platform.start_worker(&name, machine);
                }
            }
        });
        (200, b"{}".to_vec())
    }
}
