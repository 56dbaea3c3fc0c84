//! Sends every example of docs/API.md and docs/JOBS.md to running processes and checks the responses.

use goldcrestring_fakes::cluster::{
    BACKEND_TOKEN, Cluster, ClusterSettings, Deployment, OPERATOR_TOKEN,
};
use goldcrestring_platform_stand_in::{Fleet, operator};
use goldcrestring_wire::client::{Client, Reuse};
use goldcrestring_wire::http::{Headers, HttpRequest, Method};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use uuid::Uuid;

const DAEMON: &str = env!("CARGO_BIN_EXE_goldcrestringd");
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for the fleet to accept a plan, far above the guaranteed time.
const PLAN_TIMEOUT: Duration = Duration::from_secs(60);

/// A documented call, with the status and headers of its response.
struct Example {
    request: HttpRequest,
    status: u16,
    headers: Headers,
}

/// Parses the `http` code blocks of a page and replaces each `{name}` placeholder by its value.
fn examples(page: &str, values: &[(&str, &str)]) -> Vec<Example> {
    let blocks = page.split("```http\n").skip(1).filter_map(|rest| rest.split("```").next());
    blocks.map(|block| example(block, values)).collect()
}

fn example(block: &str, values: &[(&str, &str)]) -> Example {
    let mut text = block.to_owned();
    for (name, value) in values {
        text = text.replace(&format!("{{{name}}}"), value);
    }
    let (request_text, response_text) = text.split_once("\n=> ").expect("a response after =>");
    let (head, body) = request_text.split_once("\n\n").unwrap_or((request_text, ""));
    let mut lines = head.lines();
    let (method, target) = lines.next().and_then(|line| line.split_once(' ')).expect("a method");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut request = HttpRequest::new(method.parse::<Method>().expect("a known method"), path);
    request.headers = lines.filter_map(header).collect();
    request.body = body.trim().as_bytes().to_vec();
    for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
        request.query.insert(name.to_owned(), value.replace("%3D", "="));
    }
    let mut lines = response_text.lines();
    let status = lines.next().and_then(|line| line.trim().parse().ok()).expect("a status");
    Example { request, status, headers: lines.filter_map(header).collect() }
}

fn header(line: &str) -> Option<(String, String)> {
    let (name, value) = line.split_once(": ")?;
    Some((name.to_owned(), value.to_owned()))
}

#[test]
fn every_example_of_the_api_page_gets_the_documented_response() {
    goldcrestring_wire::runtime::start(2).unwrap();
    smol::block_on(async {
        let cluster = Cluster::start(ClusterSettings::new(DAEMON)).await.unwrap();
        let work_time = Duration::from_millis(5);
        let deployment = Deployment::start(&cluster, 3, 8, work_time, 10).await.unwrap();
        let uuid = Uuid::now_v7().to_string();
        let values = [
            ("bakers-key", deployment.bakers.as_str()),
            ("operator-token", OPERATOR_TOKEN),
            ("backend-token", BACKEND_TOKEN),
            ("uuid", uuid.as_str()),
        ];
        let page = include_str!("../../../docs/API.md");
        let examples = examples(page, &values);
        assert!(examples.len() >= 15, "{} examples", examples.len());
        check(examples, &cluster.addresses()[..3]).await;
    });
}

/// Sends the calls in order, to the addresses in turn, and compares the responses.
async fn check(examples: Vec<Example>, addresses: &[SocketAddr]) {
    let client = Client::default();
    for (number, example) in examples.into_iter().enumerate() {
        let address = addresses[number % addresses.len()];
        let endpoint = format!("{} {}", example.request.method, example.request.path);
        let response = client
            .call(address, example.request, CALL_TIMEOUT, Reuse::Never)
            .await
            .expect("a response");
        let body = String::from_utf8_lossy(&response.body).into_owned();
        assert_eq!(response.status, example.status, "{endpoint}: {body}");
        for (name, value) in example.headers {
            assert_eq!(response.headers.get(&name), Some(&value), "{endpoint}: {name}");
        }
    }
}

#[test]
fn every_example_of_the_jobs_page_gets_the_documented_response() {
    goldcrestring_wire::runtime::start(2).unwrap();
    let fleet = Fleet::start(Path::new(DAEMON), 9).unwrap();
    let plan = operator::configure(1, "quotes.example", &["key-1"]);
    let since = Instant::now();
    let is_plan_accepted = || {
        let mut responses =
            fleet.control_addresses.iter().filter_map(|address| fleet.call(*address, plan.clone()));
        responses.any(|response| response.is_success())
    };
    while !is_plan_accepted() {
        assert!(since.elapsed() < PLAN_TIMEOUT, "the fleet accepted no plan in time");
        std::thread::sleep(Duration::from_millis(100));
    }
    let token = std::fs::read_to_string(&fleet.token_file).unwrap();
    let page = include_str!("../../../docs/JOBS.md");
    let examples = examples(page, &[("operator-token", &token)]);
    assert!(examples.len() >= 10, "{} examples", examples.len());
    smol::block_on(check(examples, &fleet.operator_addresses));
}
