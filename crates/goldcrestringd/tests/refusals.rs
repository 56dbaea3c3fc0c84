//! A refusal promises that the job never runs. These tests run a real entry against a simulated
//! leader, on loopback addresses, and check which responses of the entry are refusals.

use goldcrestring_platform_stand_in::{JobStep, client};
use goldcrestring_wire::client::{Client, Reuse};
use goldcrestring_wire::codec;
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use goldcrestring_wire::job_message::{
    JobResponse, LeaderResponse, NotRunReason, OperatorResponse, path,
};
use goldcrestring_wire::runtime;
use goldcrestring_wire::server::{ServerSettings, serve};
use serde::Serialize;
use serde_json::{Value, json};
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Time limit for the start of a process; far above the usual time, since the machine may be busy.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout that callers announce: half of it is time enough for several attempts.
const CALLER_TIMEOUT_MS: &str = "8000";

const TOKEN: &str = "operator-token-of-this-test";

const ID: &str = "00000000000000d1";

/// How the simulated leader treats the first call about jobs. It answers all later ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FirstCall {
    Answered,
    /// Received and never answered.
    Swallowed,
    /// Answered with an unknown outcome.
    Unknown,
}

/// An entry whose only known replica is a simulated leader.
struct Entry {
    child: Child,
    callers: SocketAddr,
    operators: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Entry {
    /// Starts an entry. `subnet` keeps the addresses of concurrent tests apart.
    fn start(subnet: u8, peer_port: u16) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let token = folder.path().join("operator.token");
        std::fs::write(&token, TOKEN).expect("a token");
        let callers = SocketAddr::from(([127, 2, subnet, 2], peer_port + 1));
        let operators = SocketAddr::from(([127, 2, subnet, 2], peer_port + 2));
        let settings = json!({
            "node": format!("127.2.{subnet}.2"), "label": "entry", "callers": callers,
            "health": Value::Null, "control": Value::Null, "operators": operators,
            "operator_token_file": token, "peer_port": peer_port,
            "seeds": [SocketAddr::from(([127, 2, subnet, 1], peer_port))],
            "is_founding": false, "data_folder": Value::Null, "failures_borne": 1,
            "announcement_interval_ms": 500, "max_lease_ms": 6_000, "adviser": Value::Null,
            "machines": Value::Null, "upkeep_lease_ms": 3_000, "upkeep_s": 2.0,
            "retention_s": 120.0, "stop_s": 2.0,
        });
        let path = folder.path().join("settings.yaml");
        std::fs::write(&path, settings.to_string()).expect("settings");
        let child = Command::new(env!("CARGO_BIN_EXE_goldcrestringd"))
            .args(["--fleet", "--settings"])
            .arg(&path)
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let entry = Self { child, callers, operators, _folder: folder };
        let since = Instant::now();
        for address in [callers, operators] {
            while std::net::TcpStream::connect(address).is_err() {
                assert!(since.elapsed() < START_TIMEOUT, "the entry does not listen");
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        entry
    }

    fn call(&self, address: SocketAddr, request: HttpRequest) -> HttpResponse {
        let client = Client::default();
        let request = request.header("x-goldcrestring-timeout-ms", CALLER_TIMEOUT_MS);
        let call = client.call(address, request, Duration::from_secs(30), Reuse::Never);
        smol::block_on(call).expect("a response")
    }

    fn submit(&self) -> HttpResponse {
        let steps = [JobStep { count: 1, ..JobStep::default() }];
        self.call(self.callers, client::submit("quotes.example", ID, "key-1", "100", &steps))
    }

    fn submit_as_operator(&self) -> HttpResponse {
        let body =
            json!({ "queue": "r-1", "spec": { "payload": "100", "steps": [{ "count": 1 }] } });
        let path = format!("/v1/jobs/{ID}");
        let put = HttpRequest::json(Method::Put, &path, body.to_string().into_bytes());
        self.call(self.operators, put.bearer(TOKEN))
    }
}

fn encode<T: Serialize>(message: &T) -> HttpResponse {
    HttpResponse::peer(codec::encode(message).expect("encodable"))
}

/// Starts an entry with a simulated leader that gives one answer to all calls about jobs.
fn entry_with_leader(
    subnet: u8,
    first_call: FirstCall,
    answer: JobResponse,
    operator_answer: OperatorResponse,
) -> Entry {
    let _ = runtime::start(2);
    let address = SocketAddr::from(([127, 2, subnet, 1], 0));
    let listener = smol::block_on(TcpListener::bind(address)).expect("a port");
    let peer_port = listener.local_addr().expect("an address").port();
    let calls = Arc::new(AtomicUsize::new(0));
    let handler = move |request: HttpRequest, _| {
        let (calls, answer) = (Arc::clone(&calls), answer.clone());
        let operator_answer = operator_answer.clone();
        async move {
            if request.path == path::LEADER {
                return encode(&LeaderResponse { is_leading: true, ..LeaderResponse::default() });
            }
            let is_first = calls.fetch_add(1, Ordering::Relaxed) == 0;
            if is_first && first_call == FirstCall::Swallowed {
                std::future::pending::<()>().await;
            }
            let is_unknown = is_first && first_call == FirstCall::Unknown;
            match request.path.as_str() {
                path::JOB if is_unknown => encode(&JobResponse::Unknown),
                path::OPERATOR if is_unknown => encode(&OperatorResponse::Unknown),
                path::JOB => encode(&answer),
                path::OPERATOR => encode(&operator_answer),
                _ => HttpResponse::new(404),
            }
        }
    };
    runtime::spawn(async move { serve(listener, ServerSettings::default(), handler).await })
        .detach();
    Entry::start(subnet, peer_port)
}

const TOO_FEW: NotRunReason = NotRunReason::TooFewReplicas;

/// Guards against a job that runs although its submission was refused: the first attempt was
/// received and may commit, a later attempt of the same call is refused.
#[test]
fn a_refusal_after_an_attempt_with_an_open_outcome_is_not_passed_on() {
    let refusals = [
        JobResponse::NotRun { reason: TOO_FEW },
        JobResponse::UnknownKey,
        JobResponse::UnknownQueue,
    ];
    let first_calls = [FirstCall::Swallowed, FirstCall::Unknown];
    let cases = refusals.iter().flat_map(|refusal| first_calls.map(|first| (first, refusal)));
    for (subnet, (first_call, refusal)) in (1..).zip(cases) {
        let not_run = OperatorResponse::NotRun(TOO_FEW);
        let entry = entry_with_leader(subnet, first_call, refusal.clone(), not_run);
        let response = entry.submit();
        assert_eq!(response.status, 504, "{first_call:?}, {refusal:?}");
        assert!(response.headers.contains_key("retry-after"));
    }
}

/// Guards against the same in the operators' API.
#[test]
fn an_operators_refusal_after_an_attempt_with_an_open_outcome_is_not_passed_on() {
    let refusals = [
        OperatorResponse::NotRun(TOO_FEW),
        OperatorResponse::UnknownTeam,
        OperatorResponse::UnknownQueue,
    ];
    let first_calls = [FirstCall::Swallowed, FirstCall::Unknown];
    let cases = refusals.iter().flat_map(|refusal| first_calls.map(|first| (first, refusal)));
    for (subnet, (first_call, refusal)) in (11..).zip(cases) {
        let unused = JobResponse::UnknownJob;
        let entry = entry_with_leader(subnet, first_call, unused, refusal.clone());
        assert_eq!(entry.submit_as_operator().status, 504, "{first_call:?}, {refusal:?}");
    }
}

/// Guards against losing true refusals: the only attempt is refused.
#[test]
fn a_refusal_of_the_first_attempt_is_passed_on() {
    let refusals = [
        (JobResponse::NotRun { reason: TOO_FEW }, 503),
        (JobResponse::UnknownKey, 401),
        (JobResponse::UnknownQueue, 404),
    ];
    for (subnet, (refusal, status)) in (21..).zip(refusals) {
        let not_run = OperatorResponse::NotRun(TOO_FEW);
        let entry = entry_with_leader(subnet, FirstCall::Answered, refusal, not_run);
        assert_eq!(entry.submit().status, status);
        assert_eq!(entry.submit_as_operator().status, 503);
    }
}

/// Guards against refusing a job that an earlier call may have left with a leader: an entry that
/// reaches no leader does not know of earlier calls. A read changes nothing, so it may be refused.
#[test]
fn an_entry_without_a_leader_refuses_no_job() {
    let _ = runtime::start(2);
    let unused = std::net::TcpListener::bind("127.2.31.1:0").expect("a port");
    let peer_port = unused.local_addr().expect("an address").port();
    drop(unused);
    let entry = Entry::start(31, peer_port);
    assert_eq!(entry.submit().status, 504);
    assert_eq!(entry.submit_as_operator().status, 504);
    let cancel = client::cancel("quotes.example", ID, "key-1");
    assert_eq!(entry.call(entry.callers, cancel).status, 504);
    let read = client::read("quotes.example", ID, "key-1");
    assert_eq!(entry.call(entry.callers, read).status, 503);
}
