//! Which responses the tool reports as refusals, against simulated servers on loopback.

use goldcrestring_wire::http::{HttpRequest, HttpResponse};
use goldcrestring_wire::problem::Problem;
use goldcrestring_wire::runtime;
use goldcrestring_wire::server::{ServerSettings, serve};
use smol::net::TcpListener;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};

const TOOL: &str = env!("CARGO_BIN_EXE_goldcrestctl");

const JOB_ID: &str = "00000000000000e1";

const NO_ANSWER: Option<i32> = Some(1);

const REFUSED: Option<i32> = Some(3);

/// Starts a server that gives one answer to all requests.
fn answering(status: u16, kind: &'static str) -> SocketAddr {
    let _ = runtime::start(2);
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler = move |_: HttpRequest, _| async move {
        let response: HttpResponse = Problem::new(status, kind, "as simulated").to_response();
        response
    };
    runtime::spawn(async move { serve(listener, ServerSettings::default(), handler).await })
        .detach();
    address
}

/// Starts a server that receives requests and closes their connections.
fn swallowing() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let _ = stream.expect("a connection").read(&mut [0; 4_096]);
        }
    });
    address
}

/// Returns an address on which nothing listens.
fn closed() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

fn run(servers: &[SocketAddr], arguments: &[&str]) -> Output {
    let folder = tempfile::tempdir().expect("a folder");
    let token = folder.path().join("operator.token");
    std::fs::write(&token, "operator-token").expect("a token");
    let mut command = Command::new(TOOL);
    for server in servers {
        command.args(["--server", &server.to_string()]);
    }
    command.arg("--token-file").arg(&token).args(arguments);
    command.output().expect("the tool runs")
}

fn exit_code(servers: &[SocketAddr], arguments: &[&str]) -> Option<i32> {
    run(servers, arguments).status.code()
}

fn sample_job() -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/objects/job.yaml");
    file.to_str().expect("UTF-8").to_owned()
}

/// Runs all commands that change something.
fn exit_codes_of_changes(servers: &[SocketAddr]) -> Vec<Option<i32>> {
    let file = sample_job();
    let submit = ["jobs", "submit", "--file", &file, "--id", JOB_ID];
    let label = ["label", "vm/rc-spare-1", "pool=quotes", "--change-id", "change-1"];
    let commands = [submit.as_slice(), &["jobs", "cancel", JOB_ID], &label];
    commands.map(|command| exit_code(servers, command)).into()
}

/// Guards against reporting a refusal while a request that an earlier server received may still be
/// executed.
#[test]
fn a_refusal_after_a_request_with_an_open_outcome_is_not_reported_as_one() {
    for (status, kind) in [(404, "no-such-queue"), (409, "conflict"), (401, "unauthorized")] {
        let refusing = answering(status, kind);
        assert_eq!(exit_codes_of_changes(&[swallowing(), refusing]), [NO_ANSWER; 3], "{kind}");
        let unknown = answering(504, "unknown");
        assert_eq!(exit_codes_of_changes(&[unknown, refusing]), [NO_ANSWER; 3], "{kind}");
    }
}

/// Guards against losing true refusals: no earlier server has executed or will execute the request,
/// or the request changes nothing.
#[test]
fn a_refusal_without_an_open_request_is_reported_as_one() {
    let refusing = answering(404, "no-such-queue");
    assert_eq!(exit_codes_of_changes(&[refusing]), [REFUSED; 3]);
    assert_eq!(exit_codes_of_changes(&[closed(), refusing]), [REFUSED; 3]);
    assert_eq!(exit_codes_of_changes(&[answering(503, "not-run"), refusing]), [REFUSED; 3]);
    assert_eq!(exit_code(&[swallowing(), refusing], &["jobs", "get", JOB_ID]), REFUSED);
}

/// Guards against a job that is submitted twice: without its generated id a submission with an open
/// outcome can't be repeated.
#[test]
fn a_submission_with_an_open_outcome_names_the_id_to_repeat_it_with() {
    let output = run(&[swallowing()], &["jobs", "submit", "--file", &sample_job()]);
    assert_eq!(output.status.code(), NO_ANSWER);
    let error = String::from_utf8_lossy(&output.stderr);
    let id = error.trim_end().rsplit("--id ").next().expect("an id");
    assert!(id.parse::<goldcrestring::job::JobId>().is_ok(), "{error}");
}
