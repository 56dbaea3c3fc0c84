//! A caller's request through the whole path, with daemons as separate processes.

use goldcrestring::request::RequestOutcome;
use goldcrestring_fakes::caller::{Ask, Caller, outcome_of};
use goldcrestring_fakes::cluster::{
    Cluster, ClusterSettings, data_centre, key, pool, queue, team, vm,
};
use std::time::Duration;

const DAEMON: &str = env!("CARGO_BIN_EXE_goldcrestringd");

#[test]
fn request_is_served_and_state_survives_a_crash_of_every_daemon() {
    goldcrestring_wire::runtime::start(2).unwrap();
    smol::block_on(async {
        let mut cluster = Cluster::start(ClusterSettings::new(DAEMON)).await.unwrap();
        let (bakers_key, secret) = key("bakers-1", "bakers");
        let objects = vec![
            data_centre("dc-1"),
            pool("quotes"),
            vm("vm-1", "quotes", "dc-1"),
            team("bakers", 10),
            bakers_key,
            queue("quotes", "quotes"),
        ];
        let revision = cluster.put(objects).await.unwrap();
        cluster.wait_in_force("entry-1", revision).await.unwrap();
        let server =
            cluster.backend_server("vm-1", "dc-1", 8, Duration::from_millis(5)).await.unwrap();
        let caller = Caller::default();
        let ask = Ask::new("quotes", &secret, b"six crocks");
        cluster.wait_serving(&caller, &ask).await.unwrap();
        let answer = caller.ask(cluster.address("entry-2"), &ask).await;
        assert_eq!(outcome_of(&answer), RequestOutcome::Completed);
        assert_eq!(answer.unwrap().body, b"six crocks");
        assert!(!server.runs().is_empty());

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
        cluster.wait_serving(&caller, &ask).await.unwrap();
    });
}
