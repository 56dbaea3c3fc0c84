//! Requests to join the replicated log that arrive long after their sender has gone.

use goldcrestring::process::ReplicaId;
use goldcrestring::quantity::Incarnation;
use goldcrestring_fakes::cluster::{Cluster, ClusterSettings, vm};
use goldcrestring_platform_stand_in::fleet::{Fleet, FleetSettings, WAIT_TIMEOUT};
use goldcrestring_platform_stand_in::operator;
use goldcrestring_wire::codec;
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use goldcrestring_wire::message::{JoinRequest, path};
use goldcrestring_wire::runtime;
use std::path::Path;
use std::time::{Duration, Instant};

const DAEMON: &str = env!("CARGO_BIN_EXE_goldcrestringd");

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the request of a replica that no process has run for long.
fn late_join_request(node: &str) -> HttpRequest {
    let node = node.parse().expect("a node name");
    let replica = ReplicaId { node, incarnation: Incarnation::new(1 << 33) };
    let body = codec::encode(&JoinRequest { replica }).expect("encodable");
    HttpRequest::peer(path::JOIN, body)
}

/// Returns whether the late request was decided on. Panics if it changed the voters.
fn is_decided(log: &str, live: &ReplicaId) -> bool {
    let is_change = |line: &&str| line.contains("event=membership ");
    for line in log.lines().filter(is_change) {
        assert!(line.contains(&live.to_string()), "the live voter {live} was removed: {line}");
    }
    log.contains("event=join-decided")
}

/// Regression: a join request that a replica passed on late removed the live replica of the sender's node
/// from the voters.
#[test]
fn a_late_join_request_removes_no_live_voter_of_a_fleet() {
    let _ = runtime::start(2);
    let logs = tempfile::tempdir().expect("a folder");
    let folder = Some(logs.path().to_owned());
    let settings = FleetSettings { subnet: 13, logs: folder, ..FleetSettings::default() };
    let fleet = Fleet::start_with(Path::new(DAEMON), &settings).expect("a fleet");
    let configure = operator::configure(1, "quotes.example", &["key-1"]);
    fleet.call_until(&fleet.control_addresses, &configure, HttpResponse::is_success);
    for (number, address) in fleet.peer_addresses.iter().enumerate() {
        // One of the replicas leads, the others pass the request on.
        let node = fleet.peer_addresses[(number + 1) % fleet.peer_addresses.len()].ip().to_string();
        let live =
            ReplicaId { node: node.parse().expect("a name"), incarnation: Incarnation::new(1) };
        fleet.call_until(&[*address], &late_join_request(&node), HttpResponse::is_success);
        let since = Instant::now();
        let mut is_done = false;
        while !is_done {
            assert!(since.elapsed() < WAIT_TIMEOUT, "the request was not decided on");
            std::thread::sleep(POLL_INTERVAL);
            let log = (1..=4).map(|number| logs.path().join(format!("node-{number}.log")));
            let log: String =
                log.map(|file| std::fs::read_to_string(file).expect("a log")).collect();
            is_done = is_decided(&log, &live);
        }
    }
    let metrics = HttpRequest::new(Method::Get, "/metrics");
    for address in &fleet.peer_addresses {
        fleet.call_until(&[*address], &metrics, |response| {
            let text = String::from_utf8_lossy(&response.body).into_owned();
            let has = |line: &str| text.lines().any(|known| known == line);
            has("goldcrestring_voters 3") && has("goldcrestring_voters_wanted 3")
        });
    }
}

/// Regression: the same in a cluster of request daemons.
#[test]
fn a_late_join_request_removes_no_live_voter_of_a_cluster() {
    let _ = runtime::start(2);
    smol::block_on(async {
        let cluster = Cluster::start(ClusterSettings::new(DAEMON)).await.unwrap();
        cluster.put(vec![vm("vm-1", "a", "dc-1")]).await.unwrap();
        let leader = cluster.leader().await.unwrap();
        let other = cluster.nodes.keys().find(|name| **name != leader).unwrap();
        let live = ReplicaId { node: other.parse().unwrap(), incarnation: Incarnation::new(1) };
        cluster.call_as_peer(&leader, late_join_request(other)).await.unwrap();
        cluster
            .wait_for("the request to be decided on", async || {
                is_decided(&cluster.log(&leader).unwrap(), &live)
            })
            .await
            .unwrap();
        let status = cluster.status(&leader).await.unwrap();
        assert_eq!(status["replica"]["voters"].as_array().map(Vec::len), Some(3), "{status}");
        assert_eq!(status["replica"]["learners"].as_array().map(Vec::len), Some(0), "{status}");
    });
}
