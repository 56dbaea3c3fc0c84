//! Guarantees to callers while processes are killed, frozen and partitioned.

use goldcrestring::process::idempotency::{RecordKey, holders};
use goldcrestring::request::RequestOutcome;
use goldcrestring_fakes::backend_server::Fault;
use goldcrestring_fakes::caller::{Caller, CallerRequest, outcome_of};
use goldcrestring_fakes::cluster::{Cluster, ClusterSettings, Deployment, QUEUE_TIMEOUT};
use goldcrestring_fakes::load::{Load, LoadSettings, SentRequest};
use goldcrestring_wire::runtime::sleep;
use smol::future::zip;
use std::time::Duration;
use uuid::Uuid;

const DAEMON: &str = env!("CARGO_BIN_EXE_goldcrestringd");
const WORK_TIME: Duration = Duration::from_millis(20);

fn block_on<T>(future: impl Future<Output = T>) -> T {
    goldcrestring_wire::runtime::start(2).expect("runtime threads");
    smol::block_on(future)
}

fn load(cluster: &Cluster, deployment: &Deployment, callers: usize, max_retries: usize) -> Load {
    Load::start(&LoadSettings {
        entries: cluster.addresses(),
        queue: "orders".to_owned(),
        key: deployment.bakers.clone(),
        callers,
        max_retries,
    })
}

/// Starts three voters, one entry without a replica and three backend servers; `limit` is the upper
/// limit of each team, in tasks.
async fn start_three_voters_and_an_entry(limit: u32) -> (Cluster, Deployment) {
    let mut settings = ClusterSettings::new(DAEMON);
    settings.entries = 1;
    let cluster = Cluster::start(settings).await.expect("a cluster");
    let deployment =
        Deployment::start(&cluster, 3, 8, WORK_TIME, limit).await.expect("a deployment");
    (cluster, deployment)
}

/// Checks the outcomes that callers received against the runs on the backend servers.
fn check_outcomes(deployment: &Deployment, sent: &[SentRequest]) {
    let runs = deployment.runs_by_body();
    let mut completed = 0;
    for request in sent {
        let count = runs.get(&request.body).copied().unwrap_or(0);
        assert!(count <= 1, "ran {count} times: {request:?}");
        assert!(request.has_matching_responses, "got the response to another request: {request:?}");
        let all_outcomes_are = |wanted| request.outcomes.iter().all(|outcome| *outcome == wanted);
        if all_outcomes_are(RequestOutcome::NotRun) {
            assert_eq!(count, 0, "reported as not run, but ran: {request:?}");
        }
        if request.outcomes.contains(&RequestOutcome::Completed) {
            assert_eq!(count, 1, "reported as completed, but did not run: {request:?}");
            completed += 1;
        }
    }
    assert!(completed > 0, "no request was completed");
}

#[test]
fn orders_run_at_most_once_and_not_run_is_accurate_while_entries_crash() {
    block_on(async {
        let (mut cluster, deployment) = start_three_voters_and_an_entry(30).await;
        let load = load(&cluster, &deployment, 12, 3);
        for name in ["entry-4", "entry-1", "entry-2"] {
            sleep(Duration::from_millis(800)).await;
            cluster.kill(name).unwrap();
            sleep(Duration::from_millis(400)).await;
            cluster.spawn(name).unwrap();
            cluster.wait_healthy(name).await.unwrap();
        }
        sleep(Duration::from_millis(500)).await;
        check_outcomes(&deployment, &load.stop().await);
    });
}

#[test]
fn orders_run_at_most_once_while_entries_freeze_longer_than_every_lease() {
    block_on(async {
        let (mut cluster, deployment) = start_three_voters_and_an_entry(30).await;
        let load = load(&cluster, &deployment, 12, 3);
        for name in ["entry-4", "entry-2"] {
            sleep(Duration::from_millis(500)).await;
            cluster.suspend(name).unwrap();
            sleep(Duration::from_secs(3)).await;
            cluster.resume(name).unwrap();
        }
        sleep(Duration::from_millis(500)).await;
        check_outcomes(&deployment, &load.stop().await);
    });
}

#[test]
fn orders_run_at_most_once_when_servers_drop_their_responses() {
    block_on(async {
        let cluster = Cluster::start(ClusterSettings::new(DAEMON)).await.unwrap();
        let deployment = Deployment::start(&cluster, 3, 8, WORK_TIME, 30).await.unwrap();
        let load = load(&cluster, &deployment, 8, 3);
        for _ in 0..6 {
            deployment.servers[0].set_fault(Fault::DropResponse);
            sleep(Duration::from_millis(200)).await;
            deployment.servers[0].set_fault(Fault::None);
            sleep(Duration::from_millis(200)).await;
        }
        check_outcomes(&deployment, &load.stop().await);
    });
}

#[test]
fn resend_after_a_dropped_response_returns_the_response_of_the_first_run() {
    block_on(async {
        let cluster = Cluster::start(ClusterSettings::new(DAEMON)).await.unwrap();
        let deployment = Deployment::start(&cluster, 1, 8, WORK_TIME, 10).await.unwrap();
        let caller = Caller::default();
        deployment.servers[0].set_fault(Fault::DropResponse);
        let mut request = CallerRequest::new("orders", &deployment.bakers, b"an order");
        request.idempotency_key = Some(Uuid::now_v7());
        let first = caller.send(cluster.address("entry-1"), &request).await;
        assert_eq!(outcome_of(&first), RequestOutcome::Unknown);
        let second = caller.send(cluster.address("entry-2"), &request).await;
        assert_eq!(outcome_of(&second), RequestOutcome::Completed);
        assert_eq!(second.unwrap().body, b"an order");
        assert_eq!(deployment.runs_by_body()[b"an order".as_slice()], 1);
        request.body = b"another order under the same key";
        let other = caller.send(cluster.address("entry-3"), &request).await.unwrap();
        assert_eq!(other.status, 422);
    });
}

#[test]
fn upper_limit_holds_while_entries_crash_and_freeze() {
    const LIMIT: u32 = 6;
    block_on(async {
        let (mut cluster, deployment) = start_three_voters_and_an_entry(LIMIT).await;
        let load = load(&cluster, &deployment, 24, 0);
        sleep(Duration::from_millis(500)).await;
        cluster.kill("entry-4").unwrap();
        cluster.spawn("entry-4").unwrap();
        cluster.suspend("entry-3").unwrap();
        sleep(Duration::from_secs(3)).await;
        cluster.resume("entry-3").unwrap();
        let leader = cluster.leader().await.unwrap();
        cluster.kill(&leader).unwrap();
        sleep(Duration::from_secs(2)).await;
        cluster.spawn(&leader).unwrap();
        sleep(QUEUE_TIMEOUT + Duration::from_secs(3)).await;
        let sent = load.stop().await;
        check_outcomes(&deployment, &sent);
        let max_running = deployment.max_concurrency("bakers");
        assert!(max_running <= LIMIT as usize, "{max_running} tasks ran at once");
        assert!(max_running >= LIMIT as usize - 1, "only {max_running} tasks ran at once");
    });
}

#[test]
fn no_task_starts_in_a_data_centre_out_of_service_even_by_an_entry_that_was_frozen() {
    block_on(async {
        let (mut cluster, deployment) = start_three_voters_and_an_entry(30).await;
        let load = load(&cluster, &deployment, 12, 0);
        sleep(Duration::from_millis(300)).await;
        cluster.suspend("entry-4").unwrap();
        let revision = cluster.label("data-centre/dc-1", "service", "out").await.unwrap();
        cluster.wait_in_force("entry-1", revision).await.unwrap();
        let dc_1_runs_before = deployment.runs_in("dc-1");
        sleep(Duration::from_millis(500)).await;
        cluster.resume("entry-4").unwrap();
        sleep(Duration::from_secs(2)).await;
        assert_eq!(
            deployment.runs_in("dc-1"),
            dc_1_runs_before,
            "a task started in a data centre that is out of service"
        );
        let dc_2_runs_before = deployment.runs_in("dc-2");
        let revision = cluster.label("data-centre/dc-1", "service", "in").await.unwrap();
        cluster.wait_in_force("entry-1", revision).await.unwrap();
        sleep(Duration::from_secs(1)).await;
        assert!(
            deployment.runs_in("dc-1") > dc_1_runs_before,
            "no task started in the data centre that is back in service"
        );
        assert!(
            deployment.runs_in("dc-2") > dc_2_runs_before,
            "no task started in the other data centre"
        );
        check_outcomes(&deployment, &load.stop().await);
    });
}

#[test]
fn isolated_entry_starts_nothing_and_its_revision_never_decreases() {
    block_on(async {
        let mut settings = ClusterSettings::new(DAEMON);
        settings.entries = 1;
        settings.has_links = true;
        let cluster = Cluster::start(settings).await.unwrap();
        let deployment = Deployment::start(&cluster, 3, 8, WORK_TIME, 30).await.unwrap();
        let caller = Caller::default();
        let entry = cluster.address("entry-4");
        cluster.isolate("entry-4", true);
        let revision = cluster.label("data-centre/dc-1", "service", "out").await.unwrap();
        cluster.wait_in_force("entry-1", revision).await.unwrap();
        let request = CallerRequest::new("previews", &deployment.bakers, b"to the isolated entry");
        let response = caller.send(entry, &request).await.unwrap();
        assert_eq!(response.status, 503);
        assert_eq!(outcome_of(&Ok(response)), RequestOutcome::NotRun);
        let runs = deployment.runs_by_body();
        assert!(!runs.contains_key(b"to the isolated entry".as_slice()));
        cluster.isolate("entry-4", false);
        cluster.wait_healthy("entry-4").await.unwrap();
        let status = cluster.status("entry-4").await.unwrap();
        assert!(status["revision"].as_u64() >= Some(revision.get()));
    });
}

#[test]
fn rolling_restart_of_every_process_loses_no_request() {
    block_on(async {
        let (mut cluster, deployment) = start_three_voters_and_an_entry(30).await;
        // Callers try the next entry when one refuses a request, as a load balancer does.
        let load = load(&cluster, &deployment, 8, 3);
        for name in ["entry-4", "entry-3", "entry-2", "entry-1"] {
            assert!(cluster.stop(name).await.unwrap().success());
            cluster.spawn(name).unwrap();
            cluster.wait_healthy(name).await.unwrap();
        }
        let sent = load.stop().await;
        check_outcomes(&deployment, &sent);
        let is_lost =
            |request: &&SentRequest| !request.outcomes.contains(&RequestOutcome::Completed);
        let lost: Vec<_> = sent.iter().filter(is_lost).collect();
        assert!(
            lost.is_empty(),
            "{} of {} requests were not completed: {:?}",
            lost.len(),
            sent.len(),
            lost.first()
        );
    });
}

/// Returns one of the entries that hold every key of the small cluster, other than the leader.
async fn follower_that_holds_every_key(cluster: &Cluster) -> &'static str {
    let leader = cluster.leader().await.expect("a leader");
    // Holders are in different data centres, and these two are alone in theirs.
    if leader == "entry-2" { "entry-3" } else { "entry-2" }
}

/// Sends orders through an entry and checks that each is completed.
async fn check_orders_complete(cluster: &Cluster, deployment: &Deployment, entry: &str) {
    for _ in 0..20 {
        let mut request = CallerRequest::new("orders", &deployment.bakers, b"an order");
        request.idempotency_key = Some(Uuid::now_v7());
        let response = Caller::default().send(cluster.address(entry), &request).await;
        assert_eq!(outcome_of(&response), RequestOutcome::Completed, "{response:?}");
    }
}

// Guards against orders that are refused as not run in a new cluster, because holders that started
// later than the others can't tell that no earlier run of theirs held a claim.
#[test]
fn new_cluster_completes_orders_once_healthy_although_its_entries_start_seconds_apart() {
    block_on(async {
        let settings = ClusterSettings { entries: 1, ..ClusterSettings::new(DAEMON) };
        let mut cluster = Cluster::new(settings).await.unwrap();
        cluster.spawn("entry-1").unwrap();
        cluster.spawn("entry-2").unwrap();
        sleep(Duration::from_secs(3)).await;
        cluster.spawn("entry-3").unwrap();
        cluster.spawn("entry-4").unwrap();
        cluster.wait_all_healthy().await.unwrap();
        let deployment = Deployment::start(&cluster, 3, 8, WORK_TIME, 30).await.unwrap();
        check_orders_complete(&cluster, &deployment, "entry-1").await;
    });
}

// Guards against a health check that succeeds before the entry can answer for idempotency keys: the
// next process of a rolling restart would leave the keys without a majority of their holders.
#[test]
fn restarted_entry_is_healthy_only_once_another_holder_may_be_lost() {
    block_on(async {
        let (mut cluster, deployment) = start_three_voters_and_an_entry(30).await;
        cluster.kill("entry-4").unwrap();
        cluster.spawn("entry-4").unwrap();
        cluster.wait_healthy("entry-4").await.unwrap();
        let holder = follower_that_holds_every_key(&cluster).await;
        cluster.kill(holder).unwrap();
        check_orders_complete(&cluster, &deployment, "entry-1").await;
    });
}

// Guards against a health check that succeeds while two restarted entries, which have copied each
// other's lack of records, refuse the keys of orders.
#[test]
fn entries_restarted_together_are_healthy_only_once_they_answer_for_new_keys() {
    block_on(async {
        let (mut cluster, deployment) = start_three_voters_and_an_entry(30).await;
        for name in ["entry-3", "entry-4"] {
            cluster.kill(name).unwrap();
        }
        for name in ["entry-3", "entry-4"] {
            cluster.spawn(name).unwrap();
        }
        cluster.wait_all_healthy().await.unwrap();
        check_orders_complete(&cluster, &deployment, "entry-1").await;
    });
}

// Guards against a claim that waits for a holder from which no response comes, although a majority
// has recorded it.
#[test]
fn orders_complete_while_one_holder_is_frozen() {
    block_on(async {
        let (mut cluster, deployment) = start_three_voters_and_an_entry(30).await;
        let holder = follower_that_holds_every_key(&cluster).await;
        cluster.suspend(holder).unwrap();
        check_orders_complete(&cluster, &deployment, "entry-1").await;
        cluster.resume(holder).unwrap();
    });
}

/// Returns a new key that an entry without a replica doesn't hold.
fn key_held_by_others(cluster: &Cluster, entry: &str) -> Uuid {
    let entry = entry.parse().expect("a name");
    let numbered = (0..).zip(cluster.nodes.keys());
    let data_centres = numbered
        .map(|(number, name)| {
            let data_centre = format!("dc-{}", number % 3 + 1).parse().expect("a name");
            (name.parse().expect("a name"), data_centre)
        })
        .collect();
    loop {
        let key = RecordKey { team: None, key: Uuid::now_v7() };
        if !holders(&key, &data_centres).contains(&entry) {
            return key.key;
        }
    }
}

/// Guards against the outcome `not-run` for an order that is running: a repeated call waits for the
/// earlier run and loses contact with the holders of the key.
#[test]
fn running_order_is_not_reported_as_not_run_by_an_entry_cut_off_from_the_holders() {
    block_on(async {
        let mut settings = ClusterSettings::new(DAEMON);
        settings.entries = 1;
        settings.has_links = true;
        let cluster = Cluster::start(settings).await.unwrap();
        let work_time = QUEUE_TIMEOUT * 4 / 5;
        let deployment = Deployment::start(&cluster, 3, 8, work_time, 30).await.unwrap();
        let caller = Caller::default();
        let body = b"an order that takes long";
        let mut request = CallerRequest::new("orders", &deployment.bakers, body);
        request.idempotency_key = Some(key_held_by_others(&cluster, "entry-4"));
        let first = caller.send(cluster.address("entry-1"), &request);
        let repeated = async {
            let is_running = async || deployment.runs_by_body().contains_key(body.as_slice());
            cluster.wait_for("the start of the order", is_running).await.unwrap();
            caller.send(cluster.address("entry-4"), &request).await
        };
        let cut_off = async {
            let is_running = async || deployment.runs_by_body().contains_key(body.as_slice());
            cluster.wait_for("the start of the order", is_running).await.unwrap();
            // The repeated call has found the earlier claim by then.
            sleep(Duration::from_millis(150)).await;
            cluster.isolate("entry-4", true);
        };
        let (first, (repeated, ())) = zip(first, zip(repeated, cut_off)).await;
        assert_eq!(outcome_of(&first), RequestOutcome::Completed, "{first:?}");
        assert_ne!(outcome_of(&repeated), RequestOutcome::NotRun, "{repeated:?}");
        assert_eq!(deployment.runs_by_body().get(body.as_slice()), Some(&1));
    });
}

#[test]
fn leader_with_blocked_outgoing_messages_is_replaced_and_never_reverts_when_it_returns() {
    block_on(async {
        let mut settings = ClusterSettings::new(DAEMON);
        settings.has_links = true;
        let cluster = Cluster::start(settings).await.unwrap();
        let deployment = Deployment::start(&cluster, 3, 8, WORK_TIME, 30).await.unwrap();
        let old_leader = cluster.leader().await.unwrap();
        // The old leader receives messages; those that it sends are held back without an error.
        for ((from, to), link) in &cluster.links {
            link.set_blocked(*from == old_leader, *to == old_leader);
        }
        let others: Vec<_> = cluster.nodes.keys().filter(|name| **name != old_leader).collect();
        cluster
            .wait_for("another leader", async || {
                let status = cluster.status(others[0]).await;
                let leader = status.ok().and_then(|s| s["leader"].as_str().map(str::to_owned));
                leader.is_some_and(|leader| leader != old_leader)
            })
            .await
            .unwrap();
        let edit = goldcrestring::version::Edit::Label {
            object: "data-centre/dc-1".parse().unwrap(),
            set: [("service".parse().unwrap(), "out".parse().unwrap())].into(),
            remove: [].into(),
        };
        let change_id = "out-while-isolated".parse().unwrap();
        let change = goldcrestring::version::Change {
            change_id,
            expected_revision: None,
            edits: vec![edit],
        };
        let revision = cluster.change_through(others[0], &change).await.unwrap();
        cluster.wait_in_force(others[0], revision).await.unwrap();
        let dc_1_runs_before = deployment.runs_in("dc-1");
        let caller = Caller::default();
        let request = CallerRequest::new("previews", &deployment.bakers, b"to the isolated leader");
        for _ in 0..20 {
            let response = caller.send(cluster.address(&old_leader), &request).await;
            assert_eq!(outcome_of(&response), RequestOutcome::NotRun);
        }
        for link in cluster.links.values() {
            link.set_blocked(false, false);
        }
        cluster.wait_healthy(&old_leader).await.unwrap();
        let status = cluster.status(&old_leader).await.unwrap();
        assert!(status["revision"].as_u64() >= Some(revision.get()), "{status}");
        for _ in 0..20 {
            caller.send(cluster.address(&old_leader), &request).await.unwrap();
        }
        assert_eq!(deployment.runs_in("dc-1"), dc_1_runs_before);
    });
}
