//! Operator API: changes and reads of objects, status of the cluster, and explanations.

use crate::dispatch::{Result, malformed_name};
use crate::node::Node;
use crate::replica::ReplicaEvent;
use goldcrestring::name::{NodeId, ObjectId};
use goldcrestring::version::configuration::Versioned;
use goldcrestring::version::{Change, Kind, ObjectRef, Selector, Spec};
use goldcrestring_wire::codec;
use goldcrestring_wire::http::{HttpRequest, HttpResponse};
use goldcrestring_wire::message::{
    ChangeRequest, ChangeResponse, OperatorChangeResponse, Status, StatusRequest, path,
};
use goldcrestring_wire::problem::Problem;
use goldcrestring_wire::runtime::sleep;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for forwarding a change, over all attempts.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of one attempt to forward a change.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before a change is forwarded to the next process.
const FORWARD_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout for asking one process for its status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Forwards a change to the leader and returns its outcome.
///
/// A change carries its id, so forwarding it twice is safe.
///
/// # Errors
///
/// Returns a problem if the change is malformed, if the leader rejects it, or if no leader responds
/// in time; in the last case the change may still take effect.
pub(crate) async fn change(node: &Node, request: &HttpRequest) -> Result<HttpResponse> {
    let change: Change = codec::decode_json(&request.body)
        .map_err(|error| Problem::new(400, "malformed-change", error.to_string()))?;
    let message = ChangeRequest { change };
    let deadline = node.now() + CHANGE_TIMEOUT;
    let replicas: Vec<_> = replicas(node);
    let mut position = 0;
    let mut target = node.leader_hint();
    while node.now() < deadline {
        let peer = target.take().unwrap_or_else(|| replicas[position % replicas.len()].clone());
        position += 1;
        match node.call_peer(&peer, path::CHANGE, &message, FORWARD_TIMEOUT).await {
            Ok(ChangeResponse::Done(Ok(accepted))) => {
                return json(&OperatorChangeResponse { revision: accepted.revision });
            }
            Ok(ChangeResponse::Done(Err(rejection))) => {
                return Err(Problem::new(409, rejection.kind(), rejection.to_string()));
            }
            Ok(ChangeResponse::NotLeader { leader }) => target = leader,
            Ok(ChangeResponse::Lost) | Err(_) => {}
        }
        sleep(FORWARD_RETRY_DELAY).await;
    }
    let detail = "no leader responded in time; retry the change with the same id";
    Err(Problem::new(503, "no-leader", detail))
}

/// Lists objects by kind and selector, or returns a single object.
///
/// # Errors
///
/// Returns a problem if this entry has no valid configuration lease, if the kind, name or selector
/// is malformed, or if the object does not exist.
pub(crate) fn objects(node: &Node, request: &HttpRequest, rest: &[&str]) -> Result<HttpResponse> {
    let entry = node.entry();
    if !entry.state.lease.is_valid(node.now()) {
        return Err(Problem::new(
            503,
            "no-configuration-lease",
            "this entry has no valid configuration lease, so its objects may be out of date",
        ));
    }
    let configuration = &entry.state.configuration;
    let selected: Vec<Versioned> = match rest {
        [kind, name] => {
            let reference = reference(kind, name)?;
            let not_found = || Problem::new(404, "no-such-object", reference.to_string());
            vec![configuration.get(&reference).ok_or_else(not_found)?.clone()]
        }
        [] | [_] => {
            let kind = rest.first().map(|kind| parse_kind(kind)).transpose()?;
            let selector = request.query.get("selector").map_or("", String::as_str);
            let selector: Selector = selector
                .parse()
                .map_err(|error| Problem::new(400, "malformed-selector", format!("{error}")))?;
            let is_selected = |versioned: &&Versioned| {
                kind.is_none_or(|kind| versioned.object.spec.kind() == kind)
                    && selector.matches(&versioned.object.labels)
            };
            configuration.objects().filter(is_selected).cloned().collect()
        }
        _ => return Err(Problem::new(404, "no-such-resource", request.path.clone())),
    };
    let list = ObjectList { revision: configuration.revision().get(), objects: selected };
    json(&list)
}

#[derive(Serialize)]
struct ObjectList {
    revision: u64,
    objects: Vec<Versioned>,
}

/// Returns the status of every process of the cluster.
pub(crate) async fn status(node: &Arc<Node>) -> Result<HttpResponse> {
    let tasks: Vec<_> = node
        .settings
        .peers
        .keys()
        .cloned()
        .map(|peer| {
            let node = Arc::clone(node);
            goldcrestring_wire::runtime::spawn(async move { node_status(&node, peer).await })
        })
        .collect();
    let mut statuses = Vec::new();
    for task in tasks {
        statuses.push(task.await);
    }
    json(&statuses)
}

async fn node_status(node: &Node, peer: NodeId) -> NodeStatus {
    if peer == node.settings.node {
        return NodeStatus { node: peer, status: Some(own_status(node).await) };
    }
    let response = node.call_peer(&peer, path::STATUS, &StatusRequest {}, STATUS_TIMEOUT).await;
    NodeStatus { node: peer, status: response.ok() }
}

#[derive(Serialize)]
struct NodeStatus {
    node: NodeId,
    /// `None` if the process did not respond.
    status: Option<Status>,
}

/// Returns the status of this process.
pub(crate) async fn own_status(node: &Node) -> Status {
    let replica = match &node.replica {
        Some(replica) => replica.ask(ReplicaEvent::Status).await,
        None => None,
    };
    let leader = node.leader_hint();
    let entry = node.entry();
    Status {
        node: node.settings.node.to_string(),
        has_lease: entry.state.lease.is_valid(node.now()),
        revision: entry.state.configuration.revision(),
        in_force: entry.state.in_force,
        leader,
        backend_servers: entry.state.servers.len(),
        waiting: entry.state.admission.waiting(),
        replica,
    }
}

#[derive(Serialize)]
struct Explanation {
    object: String,
    revision: u64,
    findings: Vec<String>,
}

/// Explains which rules apply to an object, on which inputs and at which revision.
///
/// # Errors
///
/// Returns a problem if the kind or name is malformed or the object does not exist.
pub(crate) fn explain(node: &Node, kind: &str, name: &str) -> Result<HttpResponse> {
    let reference = reference(kind, name)?;
    let entry = node.entry();
    let configuration = &entry.state.configuration;
    let not_found = || Problem::new(404, "no-such-object", reference.to_string());
    let versioned = configuration.get(&reference).ok_or_else(not_found)?;
    let mut findings = vec![format!("last changed at revision {}", versioned.revision)];
    match &versioned.object.spec {
        Spec::Vm(_) => explain_vm(&entry, &reference.name, &mut findings),
        Spec::Team(team) => {
            if let Ok(name) = reference.name.as_str().parse() {
                findings.push(format!(
                    "upper limit {} tasks across the fleet; this entry may run {} and runs {}",
                    team.upper_limit_tasks,
                    entry.state.admission.allowances.ceiling(&name),
                    entry.state.admission.allowances.running(&name),
                ));
            }
        }
        Spec::Queue(queue) => {
            let pools = configuration.pools_of_queue(queue);
            let pools: Vec<_> = pools.iter().map(ToString::to_string).collect();
            findings.push(format!("its pool_selector matches the pools: {}", pools.join(", ")));
            if let Ok(name) = reference.name.as_str().parse() {
                findings.push(format!(
                    "{} candidate servers; {} requests waiting at this entry",
                    entry.state.admission.router.candidate_count(&name),
                    entry.state.admission.waiting_in(&name),
                ));
            }
        }
        _ => {}
    }
    let revision = configuration.revision().get();
    json(&Explanation { object: reference.to_string(), revision, findings })
}

fn explain_vm(entry: &crate::entry::Entry, name: &ObjectId, findings: &mut Vec<String>) {
    let Ok(vm) = name.as_str().parse() else { return };
    match entry.state.configuration.pools_by_vm().get(&vm) {
        Some(pool) => findings.push(format!("belongs to pool/{pool} by its vm_selector")),
        None => findings.push("no pool's vm_selector matches it, so it gets no tasks".to_owned()),
    }
    if let Some(data_centre) = entry.state.configuration.data_centre_of_vm(&vm) {
        let is_in_service = entry.state.configuration.is_in_service(&data_centre);
        let state =
            if is_in_service { "in service" } else { "out of service, so no task starts there" };
        findings.push(format!("data-centre/{data_centre} is {state}"));
    }
    match entry.state.servers.get(&vm) {
        Some(server) if server.announcement.is_leaving => {
            findings.push("its backend server is leaving and receives no new tasks".to_owned());
        }
        Some(server) => findings.push(format!(
            "its backend server announced itself at {} with {} slots",
            server.announcement.address, server.announcement.slots,
        )),
        None => findings.push("no backend server has announced itself to this entry".to_owned()),
    }
}

/// Returns the nodes that have a replica.
fn replicas(node: &Node) -> Vec<NodeId> {
    let peers = node.settings.peers.iter();
    peers.filter(|(_, peer)| peer.is_voter || peer.is_spare).map(|(id, _)| id.clone()).collect()
}

fn parse_kind(kind: &str) -> Result<Kind> {
    kind.parse().map_err(|error| Problem::new(400, "malformed-kind", format!("{error}")))
}

fn reference(kind: &str, name: &str) -> Result<ObjectRef> {
    let name = name.parse().map_err(|error| malformed_name("name", &error))?;
    Ok(ObjectRef { kind: parse_kind(kind)?, name })
}

fn json<T: Serialize>(message: &T) -> Result<HttpResponse> {
    let body = codec::encode_json(message)
        .map_err(|error| Problem::new(500, "internal-error", error.to_string()))?;
    Ok(HttpResponse::json(200, body))
}
