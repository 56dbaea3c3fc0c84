//! Disk loss, disk damage and membership changes of replicas, with daemons as separate processes.

use goldcrestring::version::{Change, Edit};
use goldcrestring_fakes::cluster::{Cluster, ClusterError, ClusterSettings, vm};
use std::time::Duration;

const DAEMON: &str = env!("CARGO_BIN_EXE_goldcrestringd");

fn block_on<T>(future: impl Future<Output = T>) -> T {
    goldcrestring_wire::runtime::start(2).expect("runtime threads");
    smol::block_on(future)
}

/// Returns the replica ids (`node/incarnation`) of the voters; empty while there is no leader.
async fn voters(cluster: &Cluster) -> Vec<String> {
    let Ok(leader) = cluster.leader().await else { return Vec::new() };
    let Ok(status) = cluster.status(&leader).await else { return Vec::new() };
    let voters = status["replica"]["voters"].as_array().cloned().unwrap_or_default();
    voters.iter().filter_map(|voter| Some(voter.as_str()?.to_owned())).collect()
}

#[test]
fn wiped_disk_rejoins_as_a_learner_and_a_second_loss_right_after_is_survived() {
    block_on(async {
        let mut cluster = Cluster::start(ClusterSettings::new(DAEMON)).await.unwrap();
        let revision = cluster.put(vec![vm("vm-1", "a", "dc-1")]).await.unwrap();
        let leader = cluster.leader().await.unwrap();
        let others: Vec<_> =
            cluster.nodes.keys().filter(|name| **name != leader).cloned().collect();
        cluster.kill(&others[0]).unwrap();
        cluster.clear_data(&others[0]).unwrap();
        cluster.spawn(&others[0]).unwrap();
        let old_replica = format!("{}/1", others[0]);
        cluster
            .wait_for("the replica with the new disk to become a voter", async || {
                let voters = voters(&cluster).await;
                voters.len() == 3 && !voters.contains(&old_replica)
            })
            .await
            .unwrap();
        cluster.kill(&others[1]).unwrap();
        let later = cluster.put(vec![vm("vm-2", "a", "dc-1")]).await.unwrap();
        assert!(later > revision);
        cluster.wait_in_force(&others[0], later).await.unwrap();
    });
}

#[test]
fn spare_replaces_a_dead_voter_without_an_operator() {
    block_on(async {
        let mut settings = ClusterSettings::new(DAEMON);
        settings.spares = 1;
        settings.replace_voter_after = Duration::from_secs(2);
        let mut cluster = Cluster::start(settings).await.unwrap();
        cluster.put(vec![vm("vm-1", "a", "dc-1")]).await.unwrap();
        let leader = cluster.leader().await.unwrap();
        let dead = ["entry-1", "entry-2", "entry-3"].into_iter().find(|name| *name != leader);
        let dead = dead.unwrap();
        cluster.kill(dead).unwrap();
        cluster
            .wait_for("the spare to become a voter", async || {
                let voters = voters(&cluster).await;
                voters.len() == 3 && voters.iter().any(|voter| voter.starts_with("entry-4/"))
            })
            .await
            .unwrap();
        let second = ["entry-1", "entry-2", "entry-3"].into_iter();
        let second = second.filter(|name| *name != leader).find(|name| *name != dead).unwrap();
        cluster.kill(second).unwrap();
        cluster.put(vec![vm("vm-2", "a", "dc-1")]).await.unwrap();
    });
}

#[test]
fn state_survives_hundreds_of_changes_snapshots_and_restarts() {
    block_on(async {
        let mut settings = ClusterSettings::new(DAEMON);
        settings.snapshot_entries = 25;
        let mut cluster = Cluster::start(settings).await.unwrap();
        let mut last = cluster.put(vec![vm("vm-0", "a", "dc-1")]).await.unwrap();
        cluster.kill("entry-3").unwrap();
        for number in 1..300 {
            last =
                cluster.put(vec![vm(&format!("vm-{}", number % 40), "a", "dc-1")]).await.unwrap();
        }
        // `entry-3` missed these changes and catches up from a snapshot; then every replica restarts
        // from its own snapshot.
        cluster.spawn("entry-3").unwrap();
        cluster.wait_healthy("entry-3").await.unwrap();
        for name in ["entry-1", "entry-2", "entry-3"] {
            cluster.kill(name).unwrap();
            cluster.spawn(name).unwrap();
            cluster.wait_healthy(name).await.unwrap();
        }
        let next = cluster.put(vec![vm("vm-41", "a", "dc-1")]).await.unwrap();
        assert!(next > last);
        cluster.wait_in_force("entry-3", next).await.unwrap();
        assert!(cluster.log("entry-1").unwrap().contains("event=snapshot-written"));
    });
}

#[test]
fn damaged_journal_is_set_aside_and_torn_tail_is_truncated() {
    block_on(async {
        let mut cluster = Cluster::start(ClusterSettings::new(DAEMON)).await.unwrap();
        for number in 0..10 {
            cluster.put(vec![vm(&format!("vm-{number}"), "a", "dc-1")]).await.unwrap();
        }
        let leader = cluster.leader().await.unwrap();
        let others: Vec<_> =
            cluster.nodes.keys().filter(|name| **name != leader).cloned().collect();
        let journal = |name: &str| cluster.nodes[name].folder.join("data").join("journal-1");
        let (damaged, torn) = (journal(&others[0]), journal(&others[1]));

        cluster.kill(&others[0]).unwrap();
        let mut bytes = std::fs::read(&damaged).unwrap();
        let middle = bytes.len() / 2;
        bytes[middle] ^= 1;
        std::fs::write(&damaged, bytes).unwrap();
        cluster.spawn(&others[0]).unwrap();
        let old_replica = format!("{}/1", others[0]);
        cluster
            .wait_for("the damaged replica to become a voter under a new incarnation", async || {
                let voters = voters(&cluster).await;
                voters.len() == 3 && !voters.contains(&old_replica)
            })
            .await
            .unwrap();
        assert!(cluster.log(&others[0]).unwrap().contains("event=replica-damaged"));

        cluster.kill(&others[1]).unwrap();
        let mut bytes = std::fs::read(&torn).unwrap();
        bytes.extend_from_slice(&[9, 0, 0]);
        std::fs::write(&torn, bytes).unwrap();
        cluster.spawn(&others[1]).unwrap();
        cluster.wait_healthy(&others[1]).await.unwrap();
        assert!(cluster.log(&others[1]).unwrap().contains("event=journal-torn-tail"));
        let same_replica = format!("{}/1", others[1]);
        assert!(
            voters(&cluster).await.contains(&same_replica),
            "a torn tail must not change the incarnation"
        );
    });
}

#[test]
fn concurrent_changes_at_one_revision_have_one_winner_and_resends_return_the_first_response() {
    block_on(async {
        let cluster = Cluster::start(ClusterSettings::new(DAEMON)).await.unwrap();
        let base = cluster.put(vec![vm("vm-1", "a", "dc-1")]).await.unwrap();
        for round in 0..5 {
            let before = cluster.label("vm/vm-1", "round", &round.to_string()).await.unwrap();
            let change = |name: &str| Change {
                change_id: format!("race-{round}-{name}").parse().unwrap(),
                expected_revision: Some(before),
                edits: vec![Edit::Label {
                    object: "vm/vm-1".parse().unwrap(),
                    set: [("winner".parse().unwrap(), name.parse().unwrap())].into(),
                    remove: [].into(),
                }],
            };
            let (one, two) = (change("one"), change("two"));
            let (first, second) = smol::future::zip(
                cluster.change_through("entry-1", &one),
                cluster.change_through("entry-2", &two),
            )
            .await;
            let winners = usize::from(first.is_ok()) + usize::from(second.is_ok());
            assert_eq!(winners, 1, "{first:?} {second:?}");
            for (change, response) in [(one, first), (two, second)] {
                let resent = cluster.change_through("entry-3", &change).await;
                match (response, resent) {
                    (Ok(revision), Ok(same)) => assert_eq!(revision, same),
                    (
                        Err(ClusterError::Rejected { status: 409, .. }),
                        Err(ClusterError::Rejected { status: 409, .. }),
                    ) => {}
                    other => panic!("a resend returned a different response: {other:?}"),
                }
            }
        }
        assert!(base.get() > 0);
    });
}

#[test]
fn accepted_changes_survive_crashes_of_the_leader() {
    block_on(async {
        let mut cluster = Cluster::start(ClusterSettings::new(DAEMON)).await.unwrap();
        let mut accepted = Vec::new();
        for round in 0..3 {
            for number in 0..10 {
                let name = format!("vm-{round}-{number}");
                accepted.push((cluster.put(vec![vm(&name, "a", "dc-1")]).await.unwrap(), name));
            }
            let leader = cluster.leader().await.unwrap();
            cluster.kill(&leader).unwrap();
            let name = format!("vm-{round}-during");
            accepted.push((cluster.put(vec![vm(&name, "a", "dc-1")]).await.unwrap(), name));
            cluster.spawn(&leader).unwrap();
            cluster.wait_healthy(&leader).await.unwrap();
        }
        assert!(accepted.windows(2).all(|pair| pair[0].0 < pair[1].0), "revisions must increase");
        let (last, _) = accepted.last().unwrap();
        cluster.wait_in_force("entry-1", *last).await.unwrap();
        for (_, name) in &accepted {
            let path = format!("/v1/objects/vm/{name}");
            let request = goldcrestring_wire::http::HttpRequest::new(
                goldcrestring_wire::http::Method::Get,
                path,
            );
            cluster.call_as_operator(cluster.address("entry-1"), request).await.unwrap();
        }
    });
}
