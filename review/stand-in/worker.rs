//! A worker: one machine with one address and one id, which lives several times.

use crate::http::{self, Answer, Request};
use crate::json::Json;
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const MAX_HOLD_MS: u64 = 6_000;
const HEARTBEAT_MS: u64 = 1_500;
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// One run of a task, kept for the check at the end.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub attempt: u64,
    pub worker: String,
    pub born: u64,
    pub labels: Vec<String>,
    pub zone: String,
    pub started: Instant,
    pub ended: Option<(Instant, &'static str)>,
}

/// What is known of all runs.
pub type Runs = Arc<Mutex<Vec<Run>>>;

struct Life {
    born: u64,
    since: Instant,
    labels: Vec<String>,
    is_draining: bool,
    drain_acked: bool,
    fence: u64,
    lease_until_ms: u64,
    /// Running tasks, with the index of the run and when it is done.
    running: BTreeMap<String, (usize, Option<Instant>)>,
    highest: BTreeMap<String, u64>,
    finished: Vec<(u64, usize, &'static str)>,
    next_end: u64,
    connections: Vec<TcpStream>,
}

pub struct Worker {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    service: String,
    control: Vec<SocketAddr>,
    /// The node that is called first.
    first: Mutex<usize>,
    life: Mutex<Option<Life>>,
    /// Nothing reaches the worker while this holds.
    is_deaf: Mutex<bool>,
    runs: Runs,
    record: Record,
}

impl Worker {
    pub fn new(
        id: &str,
        zone: &str,
        service: &str,
        control: &[SocketAddr],
        runs: &Runs,
        record: &Record,
    ) -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            service: service.to_owned(),
            control: control.to_vec(),
            first: Mutex::new(0),
            life: Mutex::new(None),
            is_deaf: Mutex::new(false),
            runs: Arc::clone(runs),
            record: record.clone(),
        });
        let (at_accept, at_call, ticker) =
            (Arc::clone(&worker), Arc::clone(&worker), Arc::clone(&worker));
        http::serve(
            listener,
            move |stream| match at_accept.life().as_mut() {
                Some(life) => life.connections.push(stream),
                None => drop(stream.shutdown(Shutdown::Both)),
            },
            move |request| at_call.handle(&request),
        );
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(5));
            if let Some(life) = ticker.life().as_mut() {
                ticker.end_due(life);
            }
        });
        worker
    }

    fn life(&self) -> MutexGuard<'_, Option<Life>> {
        self.life.lock().expect("no panic")
    }

    /// Sets the node that the worker calls first.
    pub fn prefer(&self, node: usize) {
        *self.first.lock().expect("no panic") = node;
    }

    pub fn set_deaf(&self, is_deaf: bool) {
        *self.is_deaf.lock().expect("no panic") = is_deaf;
        self.record.line(&format!("worker {} deaf={is_deaf}", self.id));
    }

    /// Starts a life, whose first heartbeat is sent after `silence`.
    pub fn start(self: &Arc<Self>, labels: &[&str], silence: Duration) {
        let born = unix_ms();
        *self.life() = Some(Life {
            born,
            since: Instant::now(),
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            is_draining: false,
            drain_acked: false,
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            finished: Vec::new(),
            next_end: 1,
            connections: Vec::new(),
        });
        self.record.line(&format!("worker {} starts, born {born}, labels {labels:?}", self.id));
        let worker = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(silence);
            let mut seq = 0;
            while worker.heartbeat(born, &mut seq) {
                let until = Instant::now() + Duration::from_millis(HEARTBEAT_MS);
                // A worker says at once that it drains.
                while Instant::now() < until {
                    std::thread::sleep(Duration::from_millis(20));
                    let is_due = worker.life().as_ref().is_none_or(|life| {
                        life.born != born || (life.is_draining && !life.drain_acked)
                    });
                    if is_due {
                        break;
                    }
                }
            }
        });
    }

    /// Sends one heartbeat; `false` once the life is over.
    fn heartbeat(&self, born: u64, seq: &mut u64) -> bool {
        for _ in 0..self.control.len() {
            let (body, is_draining) = {
                let life = self.life();
                let Some(life) = life.as_ref().filter(|life| life.born == born) else { return false };
                *seq += 1;
                let state = if life.is_draining { "draining" } else { "ready" };
                let labels: Vec<_> = life.labels.iter().map(|label| format!("{label:?}")).collect();
                let body = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
                     \"state\":\"{state}\",\"cold_left_ms\":0,\
                     \"capacity\":{{\"cpu\":8000,\"mem_mb\":16384,\"gpu\":0}},\"labels\":[{}],\
                     \"clock_ms\":{},\"born\":{born},\"machine\":\"m-{}\",\"remaining_ms\":2000,\"seq_no\":{seq}}}",
                    self.service,
                    self.address,
                    self.zone,
                    labels.join(","),
                    clock_ms(life),
                    self.id,
                );
                (body, life.is_draining)
            };
            let first = *self.first.lock().expect("no panic");
            let node = self.control[first % self.control.len()];
            let path = format!("/api/Instances.Heartbeat/{}", self.id);
            let answer = http::call(node, "POST", &path, &[], &body, CALL_LIMIT);
            if let Some((200..=299, _)) = answer {
                if let Some(life) = self.life().as_mut().filter(|life| life.born == born) {
                    if is_draining && !life.drain_acked {
                        life.drain_acked = true;
                        self.record.line(&format!("worker {} draining acked by {node}", self.id));
                    }
                }
                return true;
            }
            *self.first.lock().expect("no panic") += 1;
        }
        true
    }

    /// Reports `draining` until that is acknowledged.
    pub fn drain(&self) -> bool {
        if let Some(life) = self.life().as_mut() {
            life.is_draining = true;
        }
        self.record.line(&format!("worker {} drains", self.id));
        crate::wait(Duration::from_secs(8), || {
            self.life().as_ref().is_some_and(|life| life.drain_acked)
        })
    }

    /// Sends one `Deregister` to a node; whether it was acknowledged.
    pub fn deregister(&self, node: SocketAddr) -> bool {
        let path = format!("/api/Instances.Deregister/{}", self.id);
        self.record.line(&format!("worker {} sends Deregister to {node}", self.id));
        let answer = http::call(node, "POST", &path, &[], "", CALL_LIMIT);
        let status = answer.map(|(status, _)| status);
        self.record.line(&format!("worker {} Deregister answered {status:?}", self.id));
        matches!(status, Some(200..=299))
    }

    /// Ends the life with all that runs.
    pub fn end(&self, why: &'static str) {
        let Some(mut life) = self.life().take() else { return };
        let tasks: Vec<_> = life.running.keys().cloned().collect();
        for task in tasks {
            self.end_run(&mut life, &task, why);
        }
        for connection in &life.connections {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("worker {} ends: {why}", self.id));
    }

    /// The tasks that run now.
    pub fn running(&self) -> Vec<String> {
        self.life().as_ref().map(|life| life.running.keys().cloned().collect()).unwrap_or_default()
    }

    fn end_run(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some((index, _)) = life.running.remove(task) else { return };
        let attempt = {
            let mut runs = self.runs.lock().expect("no panic");
            runs[index].ended = Some((Instant::now(), how));
            runs[index].attempt
        };
        life.finished.push((life.next_end, index, how));
        life.next_end += 1;
        let highest = life.highest.entry(task.to_owned()).or_default();
        *highest = attempt.max(*highest);
        self.record.line(&format!("run {task} attempt {attempt} on {} ends: {how}", self.id));
    }

    /// Ends what is done, and everything once the lease is over.
    fn end_due(&self, life: &mut Life) {
        let now = Instant::now();
        let done: Vec<_> = life
            .running
            .iter()
            .filter(|(_, (_, done_at))| done_at.is_some_and(|at| now >= at))
            .map(|(task, _)| task.clone())
            .collect();
        for task in done {
            self.end_run(life, &task, "done");
        }
        if clock_ms(life) > life.lease_until_ms {
            let tasks: Vec<_> = life.running.keys().cloned().collect();
            for task in tasks {
                self.end_run(life, &task, "lapsed");
            }
        }
    }

    fn handle(&self, request: &Request) -> Answer {
        if *self.is_deaf.lock().expect("no panic") {
            std::thread::sleep(Duration::from_secs(6));
            return Answer::Close;
        }
        if request.header("x-goldcrestring-expect-instance").is_some_and(|id| id != self.id) {
            return Answer::Reply(421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else {
            return Answer::Reply(400, "{}".to_owned());
        };
        match request.path.as_str() {
            "/api/hold" => self.hold(&body),
            "/api/run-start" => self.run_start(&body),
            "/api/run-stop" => self.run_stop(&body),
            "/api/pace" => self.with_life(&body, |_, _| None),
            _ => Answer::Reply(404, "{}".to_owned()),
        }
    }

    /// Checks the fence and answers with the clock, or with the reason that `act` returns.
    fn with_life(
        &self,
        body: &Json,
        act: impl FnOnce(&Self, &mut Life) -> Option<&'static str>,
    ) -> Answer {
        let mut life = self.life();
        let Some(life) = life.as_mut() else { return Answer::Close };
        self.end_due(life);
        let fence = body.number("fence").unwrap_or(0);
        let reason = if fence < life.fence {
            Some("fence")
        } else {
            life.fence = fence;
            act(self, life)
        };
        let clock = clock_ms(life);
        match reason {
            Some(reason) => {
                Answer::Reply(409, format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}"))
            }
            None => Answer::Reply(200, format!("{{\"clock_ms\":{clock}}}")),
        }
    }

    fn run_start(&self, body: &Json) -> Answer {
        self.with_life(body, |worker, life| {
            let (task, attempt) = (body.text("task"), body.number("attempt").unwrap_or(0));
            let clock = clock_ms(life);
            let expires = body.number("expires_ms").unwrap_or(0).min(clock + MAX_HOLD_MS);
            if let Some((index, _)) = life.running.get(&task) {
                if worker.runs.lock().expect("no panic")[*index].attempt == attempt {
                    return None;
                }
            }
            if expires <= clock {
                return Some("late");
            }
            life.lease_until_ms = life.lease_until_ms.max(expires);
            if life.highest.get(&task).is_some_and(|highest| *highest >= attempt) {
                return Some("old");
            }
            let work = body.text("spec").split(' ').next().and_then(|text| text.parse().ok());
            let done_at = work.map(|ms| Instant::now() + Duration::from_millis(ms));
            let mut runs = worker.runs.lock().expect("no panic");
            life.running.insert(task.clone(), (runs.len(), done_at));
            worker.record.line(&format!(
                "run {task} attempt {attempt} on {} (born {}, zone {}, labels {:?}) starts",
                worker.id, life.born, worker.zone, life.labels
            ));
            runs.push(Run {
                task,
                attempt,
                worker: worker.id.clone(),
                born: life.born,
                labels: life.labels.clone(),
                zone: worker.zone.clone(),
                started: Instant::now(),
                ended: None,
            });
            None
        })
    }

    fn run_stop(&self, body: &Json) -> Answer {
        self.with_life(body, |worker, life| {
            let (task, attempt) = (body.text("task"), body.number("attempt").unwrap_or(0));
            let current = life.running.get(&task).map(|(index, _)| *index);
            let current = current.map(|index| worker.runs.lock().expect("no panic")[index].attempt);
            if current.is_some_and(|current| current <= attempt) {
                worker.end_run(life, &task, "stopped");
            }
            let highest = life.highest.entry(task).or_default();
            *highest = attempt.max(*highest);
            None
        })
    }

    fn hold(&self, body: &Json) -> Answer {
        let mut born = 0;
        let first = self.with_life(body, |_, life| {
            born = life.born;
            let clock = clock_ms(life);
            let expires = body.number("expires_ms").unwrap_or(0).min(clock + MAX_HOLD_MS);
            life.lease_until_ms = life.lease_until_ms.max(expires);
            let cursor = body.number("ack_cursor").unwrap_or(0);
            life.finished.retain(|(number, _, _)| *number > cursor);
            None
        });
        if !matches!(first, Answer::Reply(200, _)) {
            return first;
        }
        let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2_000));
        let is_over = || self.life().as_ref().is_none_or(|life| life.born != born || !life.finished.is_empty());
        crate::wait(wait, is_over);
        let mut life = self.life();
        let Some(life) = life.as_mut().filter(|life| life.born == born) else { return Answer::Close };
        self.end_due(life);
        let runs = self.runs.lock().expect("no panic");
        let running: Vec<_> = life
            .running
            .iter()
            .map(|(task, (index, _))| {
                let run = &runs[*index];
                let percent = if run.started.elapsed().as_millis() > 300 { 100 } else { 10 };
                format!("[\"{task}\",{},\"\",{percent},10]", run.attempt)
            })
            .collect();
        let finished: Vec<_> = life
            .finished
            .iter()
            .map(|(number, index, how)| {
                format!("[{number},\"{}\",{},\"{how}\",\"\"]", runs[*index].task, runs[*index].attempt)
            })
            .collect();
        Answer::Reply(
            200,
            format!(
                "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
                clock_ms(life),
                life.born,
                running.join(","),
                finished.join(",")
            ),
        )
    }
}

fn clock_ms(life: &Life) -> u64 {
    1_000 + life.since.elapsed().as_millis() as u64
}

/// The time of day in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as u64
}
