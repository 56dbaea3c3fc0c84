//! A small deployment in a cluster: one pool, two teams, three queues.

use super::{
    Cluster, Result, data_centre, idempotent_queue, key, open_queue, pool, queue, team, vm,
};
use crate::backend_server::{BackendServer, Run, max_concurrency};
use crate::caller::{Caller, CallerRequest};
use goldcrestring::version::{Object, Spec};
use std::collections::BTreeMap;
use std::time::Duration;

/// The timeout of requests to the deployment's queues.
pub const QUEUE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The backend servers and keys of a small deployment.
pub struct Deployment {
    /// The fake backend servers, distributed round-robin over three data centres.
    pub servers: Vec<BackendServer>,
    /// The key of the team `bakers`.
    pub bakers: String,
    /// The key of the team `pharmacies`.
    pub pharmacies: String,
}

impl Deployment {
    /// Creates the objects, starts the backend servers and waits until every entry serves requests.
    ///
    /// The queues are `orders` (non-idempotent), `previews` (idempotent) and `open` (open to all).
    ///
    /// # Errors
    ///
    /// A [`super::ClusterError`] if the cluster does not serve requests in time.
    pub async fn start(
        cluster: &Cluster,
        servers: usize,
        slots: u32,
        task_duration: Duration,
        limit: u32,
    ) -> Result<Self> {
        let (bakers_key, bakers) = key("bakers-1", "bakers");
        let (pharmacies_key, pharmacies) = key("pharmacies-1", "pharmacies");
        let mut objects = vec![
            pool("shop"),
            team("bakers", limit),
            team("pharmacies", limit),
            bakers_key,
            pharmacies_key,
            with_timeout(queue("orders", "shop")),
            with_timeout(idempotent_queue("previews", "shop")),
            with_timeout(open_queue("open", "shop")),
        ];
        for number in 1..=3 {
            objects.push(data_centre(&format!("dc-{number}")));
        }
        for number in 0..servers {
            objects.push(vm(&vm_name(number), "shop", &data_centre_name(number)));
        }
        let revision = cluster.put(objects).await?;
        cluster.wait_in_force("entry-1", revision).await?;
        let mut started = Vec::new();
        for number in 0..servers {
            let (vm, data_centre) = (vm_name(number), data_centre_name(number));
            started
                .push(cluster.start_backend_server(&vm, &data_centre, slots, task_duration).await?);
        }
        let deployment = Self { servers: started, bakers, pharmacies };
        let request = CallerRequest::new("orders", &deployment.bakers, b"warm up");
        cluster.wait_until_serving(&Caller::default(), &request).await?;
        Ok(deployment)
    }

    /// Returns all task runs of the servers in order of their start.
    pub fn runs(&self) -> Vec<Run> {
        let mut runs: Vec<_> = self.servers.iter().flat_map(BackendServer::runs).collect();
        runs.sort_by_key(|run| run.started_at);
        runs
    }

    /// Returns the number of runs per request body.
    pub fn runs_by_body(&self) -> BTreeMap<Vec<u8>, usize> {
        let mut counts = BTreeMap::new();
        for run in self.runs() {
            *counts.entry(run.body).or_default() += 1;
        }
        counts
    }

    /// Returns the maximum number of concurrent tasks of a team.
    pub fn max_concurrency(&self, team: &str) -> usize {
        let runs = self.runs();
        let of_team = runs.into_iter().filter(|run| run.team.as_deref() == Some(team));
        max_concurrency(&of_team.collect::<Vec<_>>())
    }

    /// Returns the number of task runs that the servers of a data centre started.
    pub fn runs_in(&self, data_centre: &str) -> usize {
        let numbered = self.servers.iter().enumerate();
        let in_data_centre =
            numbered.filter(|(number, _)| data_centre_name(*number) == data_centre);
        in_data_centre.map(|(_, server)| server.runs().len()).sum()
    }
}

fn vm_name(number: usize) -> String {
    format!("vm-{}", number + 1)
}

fn data_centre_name(number: usize) -> String {
    format!("dc-{}", number % 3 + 1)
}

fn with_timeout(mut queue: Object) -> Object {
    if let Spec::Queue(spec) = &mut queue.spec {
        spec.timeout_ms = u64::try_from(QUEUE_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
    }
    queue
}
