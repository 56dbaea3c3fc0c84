//! Orders that a replica reads long after their senders have given up on it.

use goldcrestring_platform_stand_in::fleet::WAIT_TIMEOUT;
use goldcrestring_platform_stand_in::{FakeWorker, JobStep, client, fleet, operator};
use goldcrestring_wire::codec;
use goldcrestring_wire::http::{HttpRequest, HttpResponse};
use goldcrestring_wire::job_message::{LeaderResponse, path};
use goldcrestring_wire::runtime;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after which an operator turns to another replica.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// Time within which a replica that has been resumed has read what waited for it.
const RESUMED_PERIOD: Duration = Duration::from_secs(3);

const HOST: &str = "quotes.example";

const KEY: &str = "key-1";

const ZONE: &str = "dc-a";

fn start(subnet: u8) -> fleet::Fleet {
    let _ = runtime::start(2);
    let daemon = Path::new(env!("CARGO_BIN_EXE_goldcrestringd"));
    fleet::Fleet::start(daemon, subnet).expect("a fleet")
}

fn start_worker(fleet: &fleet::Fleet, id: &str, zone: &str) -> Arc<FakeWorker> {
    let started = FakeWorker::start(id, zone, fleet.control_addresses.clone());
    smol::block_on(started).expect("a simulated backend server")
}

/// Repeats a request at the given addresses in turn until one responds with success.
fn call_until_done(fleet: &fleet::Fleet, addresses: &[SocketAddr], request: &HttpRequest) {
    fleet.call_until(addresses, request, HttpResponse::is_success);
}

/// The number of a replica that does not lead, and the control addresses of the others.
fn follower(fleet: &fleet::Fleet) -> (usize, Vec<SocketAddr>) {
    let since = Instant::now();
    while since.elapsed() < WAIT_TIMEOUT {
        for (number, address) in fleet.peer_addresses.iter().enumerate() {
            let request = HttpRequest::peer(path::LEADER, codec::encode(&()).expect("encodable"));
            let response = fleet.call(*address, request);
            let leader: Option<LeaderResponse> =
                response.and_then(|response| codec::decode(&response.body).ok());
            if leader.is_some_and(|leader| leader.is_leading) {
                let follower = (number + 1) % fleet.peer_addresses.len();
                let mut others = fleet.control_addresses.clone();
                others.remove(follower);
                return (follower, others);
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    panic!("no replica leads");
}

/// Writes a request without a body and closes the connection when the sender gives up.
fn send_and_give_up(address: SocketAddr, path: &str) {
    let mut stream = TcpStream::connect(address).expect("the kernel accepts");
    let head = format!("POST {path} HTTP/1.1\r\nhost: control\r\ncontent-length: 0\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("the kernel accepts");
    std::thread::sleep(OPERATOR_TIMEOUT);
}

/// Submits a job of 20 tasks and waits until all have been started.
fn run_job(fleet: &fleet::Fleet, id: &str) {
    let steps = [JobStep { count: 20, ..JobStep::default() }];
    let submit = client::submit(HOST, id, KEY, "100", &steps);
    call_until_done(fleet, &[fleet.caller_address], &submit);
    let since = Instant::now();
    let completed = client::state_body("completed");
    while since.elapsed() < WAIT_TIMEOUT {
        let response = fleet.call(fleet.caller_address, client::read(HOST, id, KEY));
        if response.is_some_and(|response| response.body == completed) {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("job {id} is not done");
}

/// Guards against tasks that start in a data centre out of service: a replica that had been suspended
/// passed on an order that returned it to service, seconds after its sender had gone on.
#[test]
fn a_suspended_replica_does_not_pass_on_the_end_of_an_earlier_evacuation() {
    let mut fleet = start(11);
    let out = start_worker(&fleet, "i-a", ZONE);
    let _other = start_worker(&fleet, "i-b", "dc-b");
    let all = fleet.control_addresses.clone();
    call_until_done(&fleet, &all, &operator::configure(1, HOST, &[KEY]));
    let (frozen, others) = follower(&fleet);
    call_until_done(&fleet, &others, &operator::evacuate(ZONE, true));
    fleet.replicas[frozen].freeze().expect("a signal");
    send_and_give_up(fleet.control_addresses[frozen], &format!("/api/Evacuate.Finish/{ZONE}"));
    call_until_done(&fleet, &others, &operator::evacuate(ZONE, false));
    call_until_done(&fleet, &others, &operator::evacuate(ZONE, true));
    fleet.replicas[frozen].thaw().expect("a signal");
    std::thread::sleep(RESUMED_PERIOD);
    let before = out.starts().len();
    run_job(&fleet, "00000000000000a1");
    assert_eq!(out.starts().len(), before, "tasks start in a data centre out of service");
    // The replica takes such orders again, and the data centre returns to service.
    call_until_done(&fleet, &all[frozen..=frozen], &operator::evacuate(ZONE, false));
    run_job(&fleet, "00000000000000a2");
    assert!(out.starts().len() > before, "the data centre is still out of service");
}

/// The same for the notice of a backend server that has left and started again under its ID.
#[test]
fn a_suspended_replica_does_not_pass_on_the_notice_of_an_earlier_incarnation() {
    let mut fleet = start(12);
    let worker = start_worker(&fleet, "i-a", ZONE);
    let all = fleet.control_addresses.clone();
    call_until_done(&fleet, &all, &operator::configure(1, HOST, &[KEY]));
    let (frozen, others) = follower(&fleet);
    fleet.replicas[frozen].freeze().expect("a signal");
    send_and_give_up(fleet.control_addresses[frozen], "/api/Instances.Deregister/i-a");
    let long_running = [JobStep { count: 1, is_long_running: true, ..JobStep::default() }];
    let submit = client::submit(HOST, "00000000000000b1", KEY, "lasts", &long_running);
    call_until_done(&fleet, &[fleet.caller_address], &submit);
    let since = Instant::now();
    while worker.running().is_empty() {
        assert!(since.elapsed() < WAIT_TIMEOUT, "the task is not started");
        std::thread::sleep(Duration::from_millis(50));
    }
    let _other = start_worker(&fleet, "i-b", "dc-b");
    std::thread::sleep(RESUMED_PERIOD);
    fleet.replicas[frozen].thaw().expect("a signal");
    std::thread::sleep(RESUMED_PERIOD);
    assert_eq!(worker.running().len(), 1, "the run was given up");
    drop(others);
}
