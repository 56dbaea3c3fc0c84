//! A caller's requests end to end, with daemons as separate processes.

use goldcrestring::request::RequestOutcome;
use goldcrestring_fakes::backend_server::Fault;
use goldcrestring_fakes::caller::{Caller, CallerRequest, outcome_of};
use goldcrestring_fakes::cluster::{Cluster, ClusterSettings, Deployment};
use goldcrestring_wire::http::{HttpRequest, Method};
use std::time::Duration;

const DAEMON: &str = env!("CARGO_BIN_EXE_goldcrestringd");
const WORK_TIME: Duration = Duration::from_millis(5);

fn block_on<T>(future: impl Future<Output = T>) -> T {
    goldcrestring_wire::runtime::start(2).expect("runtime threads");
    smol::block_on(future)
}

/// Starts three voters and the given number of backend servers.
async fn start_three_voters(servers: usize) -> (Cluster, Deployment) {
    let cluster = Cluster::start(ClusterSettings::new(DAEMON)).await.expect("a cluster");
    let deployment = Deployment::start(&cluster, servers, 8, WORK_TIME, 10).await;
    (cluster, deployment.expect("a deployment"))
}

#[test]
fn request_is_served_and_state_survives_a_crash_of_every_daemon() {
    block_on(async {
        let (mut cluster, deployment) = start_three_voters(3).await;
        let caller = Caller::default();
        let request = CallerRequest::new("orders", &deployment.bakers, b"six crocks");
        let response = caller.send(cluster.address("entry-2"), &request).await;
        assert_eq!(outcome_of(&response), RequestOutcome::Completed);
        assert_eq!(response.unwrap().body, b"six crocks");

        let revision = cluster.label("vm/vm-1", "noted", "yes").await.unwrap();
        for name in ["entry-1", "entry-2", "entry-3"] {
            cluster.kill(name).unwrap();
        }
        for name in ["entry-1", "entry-2", "entry-3"] {
            cluster.spawn(name).unwrap();
        }
        for name in ["entry-1", "entry-2", "entry-3"] {
            cluster.wait_healthy(name).await.unwrap();
            let status = cluster.status(name).await.unwrap();
            assert!(status["revision"].as_u64() >= Some(revision.get()), "{status}");
        }
        cluster.wait_until_serving(&caller, &request).await.unwrap();
    });
}

#[test]
fn api_keys_are_required_and_withdrawn_keys_are_refused() {
    block_on(async {
        let (cluster, deployment) = start_three_voters(3).await;
        let caller = Caller::default();
        let entry = cluster.address("entry-1");
        let wrong_key = format!("{}0", deployment.bakers);
        let cases = [
            ("orders", None, 401),
            ("orders", Some(wrong_key.as_str()), 401),
            ("orders", Some("no-such-key.secret"), 401),
            ("orders", Some(deployment.bakers.as_str()), 200),
            ("open", None, 200),
            ("open", Some(wrong_key.as_str()), 401),
            ("no-such-queue", Some(deployment.bakers.as_str()), 404),
        ];
        for (queue, key, status) in cases {
            let request = CallerRequest { key, ..CallerRequest::new(queue, "", b"work") };
            let response = caller.send(entry, &request).await.unwrap();
            assert_eq!(response.status, status, "{queue} {key:?}");
        }

        let withdraw = goldcrestring::version::Edit::Delete("key/bakers-1".parse().unwrap());
        let revision = cluster.change(vec![withdraw]).await.unwrap();
        cluster.wait_in_force("entry-1", revision).await.unwrap();
        for address in cluster.addresses() {
            let request = CallerRequest::new("orders", &deployment.bakers, b"after the withdrawal");
            assert_eq!(caller.send(address, &request).await.unwrap().status, 401);
            let request = CallerRequest::new("orders", &deployment.pharmacies, b"another team");
            assert_eq!(caller.send(address, &request).await.unwrap().status, 200);
        }
        let runs = deployment.runs_by_body();
        assert!(!runs.contains_key(b"after the withdrawal".as_slice()));
    });
}

#[test]
fn mismatched_and_dropped_responses_give_an_unknown_outcome() {
    block_on(async {
        // One server for each request: a new server may run one task, and a task without a response
        // counts as running until its deadline.
        let (cluster, deployment) = start_three_voters(3).await;
        let set_fault =
            |fault| deployment.servers.iter().for_each(|server| server.set_fault(fault));
        let caller = Caller::default();
        let entry = cluster.address("entry-1");
        for fault in [Fault::MismatchedTask, Fault::DropResponse] {
            set_fault(fault);
            let response = caller
                .send(entry, &CallerRequest::new("orders", &deployment.bakers, b"an order"))
                .await;
            assert_eq!(outcome_of(&response), RequestOutcome::Unknown, "{fault:?}");
        }
        set_fault(Fault::Reject);
        let response =
            caller.send(entry, &CallerRequest::new("orders", &deployment.bakers, b"refused")).await;
        assert_eq!(outcome_of(&response), RequestOutcome::NotRun);
        assert!(!deployment.runs_by_body().contains_key(b"refused".as_slice()));
    });
}

#[test]
fn idempotent_request_is_retried_on_another_server() {
    block_on(async {
        let (cluster, deployment) = start_three_voters(3).await;
        deployment.servers[0].set_fault(Fault::DropResponse);
        let caller = Caller::default();
        let entry = cluster.address("entry-1");
        for number in 0..20 {
            let body = format!("preview {number}").into_bytes();
            let request = CallerRequest::new("previews", &deployment.bakers, &body);
            let response = caller.send(entry, &request).await;
            assert_eq!(outcome_of(&response), RequestOutcome::Completed, "{number}");
            assert_eq!(response.unwrap().body, body);
        }
    });
}

/// Guards against the outcome `not-run` for a request that ran: its first attempt got no response, and
/// the other servers refused it.
#[test]
fn idempotent_request_that_ran_before_it_was_refused_elsewhere_is_not_reported_as_not_run() {
    block_on(async {
        let (cluster, deployment) = start_three_voters(3).await;
        deployment.servers[0].set_fault(Fault::DropResponse);
        deployment.servers[1].set_fault(Fault::Reject);
        deployment.servers[2].set_fault(Fault::Reject);
        let caller = Caller::default();
        let entry = cluster.address("entry-1");
        for number in 0..20 {
            let body = format!("preview {number}").into_bytes();
            let request = CallerRequest::new("previews", &deployment.bakers, &body);
            let response = caller.send(entry, &request).await;
            let has_run = deployment.runs_by_body().contains_key(&body);
            let outcome = outcome_of(&response);
            assert!(!has_run || outcome != RequestOutcome::NotRun, "{number}");
        }
        assert!(!deployment.runs_by_body().is_empty(), "no request reached the first server");
    });
}

#[test]
fn leaving_server_gets_no_new_work() {
    block_on(async {
        let (cluster, deployment) = start_three_voters(2).await;
        let caller = Caller::default();
        deployment.servers[0].leave();
        cluster
            .wait_for("all entries to see that the server is leaving", async || {
                let request = HttpRequest::new(Method::Get, "/v1/explain/vm/vm-1");
                for address in cluster.addresses() {
                    let response =
                        cluster.call_as_operator(address, request.clone()).await.unwrap();
                    if !String::from_utf8_lossy(&response.body).contains("leaving") {
                        return false;
                    }
                }
                true
            })
            .await
            .unwrap();
        let before = deployment.servers[0].runs().len();
        for number in 0..30 {
            let address = cluster.addresses()[number % 3];
            let request = CallerRequest::new("orders", &deployment.bakers, b"work");
            let response = caller.send(address, &request).await;
            assert_eq!(outcome_of(&response), RequestOutcome::Completed);
        }
        assert_eq!(deployment.servers[0].runs().len(), before);
    });
}
