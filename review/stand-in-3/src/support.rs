//! A small deployment, its operator and its clients.

use goldcrestring_platform_stand_in::{FakeWorker, Fleet, FleetSettings, POOL};
use goldcrestring_wire::client::{Client, Reuse};
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, LazyLock};
use std::time::{Duration, Instant};

/// The host of all queues.
pub const HOST: &str = "quotes.example";

/// The key of the only tenant.
pub const KEY: &str = "key-of-the-bakers";

/// The time that a client waits for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// The time that the operator waits for a response before it asks the next machine.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// The time within which the deployment must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The time within which the operator must have an acknowledgement (`ack_ms`).
const ACK_TIMEOUT: Duration = Duration::from_secs(4);

static STARTED_AT: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Writes a line of the record, with the time since the start in milliseconds.
pub fn note(text: &str) {
    println!("{:>7} {text}", STARTED_AT.elapsed().as_millis());
}

/// A running deployment of five replicas and some entries.
pub struct Deployment {
    pub fleet: Fleet,
    pub workers: Vec<Arc<FakeWorker>>,
}

/// A response as a client sees it: the status, 0 without any, and the body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl From<Option<HttpResponse>> for Answer {
    fn from(response: Option<HttpResponse>) -> Self {
        response.map_or(Self { status: 0, body: String::new() }, |response| Self {
            status: response.status,
            body: String::from_utf8_lossy(&response.body).into_owned(),
        })
    }
}

/// A route of a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    pub name: String,
    pub prefix: String,
    pub timeout_ms: u64,
}

impl Route {
    pub fn new(name: &str, prefix: &str) -> Self {
        Self { name: name.to_owned(), prefix: prefix.to_owned(), timeout_ms: 3_000 }
    }

    fn body(&self) -> Value {
        json!({
            "name": self.name, "host": HOST, "path_prefix": self.prefix, "kind": "non_idempotent",
            "timeout_ms": self.timeout_ms, "target_latency_ms": 600, "priority": 0, "service": POOL,
            "max_attempts": 4, "stretch": 1.6, "public": false,
        })
    }
}

impl Deployment {
    /// Starts five replicas, entries and workers, and waits until the first configuration is accepted.
    pub fn start(
        daemon: &Path,
        subnet: u8,
        workers: usize,
        routes: &[Route],
    ) -> Result<Self, String> {
        let deployment = Self::start_unconfigured(daemon, subnet, workers)?;
        deployment.configure_first(routes)?;
        Ok(deployment)
    }

    /// Like [`Self::start`], without a configuration.
    pub fn start_unconfigured(daemon: &Path, subnet: u8, workers: usize) -> Result<Self, String> {
        LazyLock::force(&STARTED_AT);
        let settings =
            FleetSettings { subnet, replicas: 5, entries: 2, stop_s: 6.0, ..Default::default() };
        let fleet = Fleet::start_with(daemon, &settings).map_err(|error| error.to_string())?;
        let control = fleet.control_addresses.clone();
        let start = |number: usize| {
            smol::block_on(FakeWorker::start(&format!("i-{number}"), "zone-a", control.clone()))
        };
        let workers: std::io::Result<Vec<_>> = (0..workers).map(start).collect();
        let workers = workers.map_err(|error| error.to_string())?;
        note(&format!("started: 5 replicas, 2 entries, {} workers", workers.len()));
        Ok(Self { fleet, workers })
    }

    /// Sends the first configuration until it is accepted.
    pub fn configure_first(&self, routes: &[Route]) -> Result<(), String> {
        if self.configure(1, routes, START_TIMEOUT) {
            Ok(())
        } else {
            Err("the first configuration was not acknowledged".to_owned())
        }
    }

    /// Sends a configuration until it is acknowledged, to each machine in turn.
    fn configure(&self, version: u64, routes: &[Route], time_limit: Duration) -> bool {
        let body = json!({
            "version": version,
            "routes": routes.iter().map(Route::body).collect::<Vec<_>>(),
            "services": [{
                "name": POOL, "health_path": "/healthz", "max_conns": 64, "protocol": "h1",
                "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0, "enforces_capacity": true,
                "standby": false,
            }],
            "limits": {
                "max_header_bytes": 16_384, "max_body_bytes": 262_144, "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [{
                "name": "bakers", "api_keys": [KEY], "priority": 1, "weight": 57,
                "cap": { "cpu": 643_387, "mem_mb": 827_792, "gpu": 0 },
            }],
        });
        let names: Vec<_> = routes.iter().map(|route| route.name.as_str()).collect();
        let request =
            HttpRequest::json(Method::Post, "/api/Config.Replace", body.to_string().into_bytes());
        let since = Instant::now();
        while since.elapsed() < time_limit {
            for address in &self.fleet.control_addresses {
                let status =
                    smol::block_on(send(*address, request.clone(), OPERATOR_TIMEOUT)).status;
                note(&format!("operator: version {version} with {names:?} to {address}: {status}"));
                if status == 200 {
                    return true;
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        false
    }

    /// Sends a later configuration; an error if it isn't acknowledged in time.
    pub fn reconfigure(&self, version: u64, routes: &[Route]) -> Result<(), String> {
        if self.configure(version, routes, ACK_TIMEOUT) {
            Ok(())
        } else {
            Err(format!("version {version} was not acknowledged"))
        }
    }

    /// Hands a job in, with the same ID until a clear answer; an error if none comes.
    pub fn submit(&self, prefix: &str, id: &str, spec: &str, count: u32) -> Result<(), String> {
        let since = Instant::now();
        while since.elapsed() < START_TIMEOUT {
            let request = submission(prefix, id, spec, count);
            let address = self.fleet.caller_addresses[0];
            let answer = smol::block_on(send(address, request, CLIENT_TIMEOUT));
            note(&format!(
                "client: POST {prefix}{id}, {count} tasks, spec {spec:?}: {}",
                answer.status
            ));
            if answer.status == 200 {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        Err(format!("job {id} was not accepted"))
    }

    /// Asks for the state of a job, at one of the entries.
    pub fn read(&self, entry: usize, prefix: &str, id: &str) -> Answer {
        let request = job_request(Method::Get, prefix, id);
        let answer =
            smol::block_on(send(self.fleet.caller_addresses[entry], request, CLIENT_TIMEOUT));
        note(&format!(
            "client: GET {prefix}{id} at entry {entry}: {} {}",
            answer.status, answer.body
        ));
        answer
    }

    /// Waits until a condition holds.
    pub fn wait_until(
        &self,
        what: &str,
        time_limit: Duration,
        is_met: impl Fn(&Self) -> bool,
    ) -> Result<(), String> {
        let since = Instant::now();
        while since.elapsed() < time_limit {
            if is_met(self) {
                note(what);
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(format!("not within {} s: {what}", time_limit.as_secs()))
    }
}

/// Sends a request on a connection of its own.
pub async fn send(address: SocketAddr, request: HttpRequest, time_limit: Duration) -> Answer {
    Client::default().call(address, request, time_limit, Reuse::Never).await.ok().into()
}

/// Creates a request to hand a job of one step in.
pub fn submission(prefix: &str, id: &str, spec: &str, count: u32) -> HttpRequest {
    let step = json!({ "count": count, "cpu": 500, "mem_mb": 64, "estimate_ms": 100 });
    let body = json!({ "spec": spec, "steps": [step] }).to_string();
    let request = job_request(Method::Post, prefix, id).header("content-type", "application/json");
    request.body(body)
}

fn job_request(method: Method, prefix: &str, id: &str) -> HttpRequest {
    HttpRequest::new(method, format!("{prefix}{id}")).header("host", HOST).header("api-key", KEY)
}

/// Waits.
pub fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}
