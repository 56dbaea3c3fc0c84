//! Routing of incoming HTTP requests to their handlers.

use crate::node::Node;
use crate::{backends, operators, peers, requests};
use goldcrestring::name::NameError;
use goldcrestring::version::constant_time_eq;
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use goldcrestring_wire::problem::Problem;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Result of handling a request.
pub(crate) type Result<T> = std::result::Result<T, Problem>;

/// Handles a request.
pub(crate) async fn handle(node: &Arc<Node>, request: HttpRequest) -> HttpResponse {
    match route(node, request).await {
        Ok(response) => response,
        Err(problem) => problem.to_response(),
    }
}

async fn route(node: &Arc<Node>, request: HttpRequest) -> Result<HttpResponse> {
    let path = request.path.clone();
    let segments: Vec<_> = path.split('/').filter(|segment| !segment.is_empty()).collect();
    match (request.method, segments.as_slice()) {
        (Method::Post, ["v1", "queues", queue, "requests"]) => {
            let queue = queue.parse().map_err(|error| malformed_name("queue", &error))?;
            Ok(requests::handle(node, queue, request).await)
        }
        (Method::Post, ["peer", "v1", ..]) => {
            check_peer(node, &request)?;
            peers::handle(node, &request).await
        }
        (Method::Post, ["v1", "backend-servers"]) => {
            check_token(&request, &node.settings.backend_token)?;
            backends::handle_announcement(node, &request)
        }
        (Method::Get, ["healthz"]) => Ok(health(node)),
        (Method::Get, ["metrics"]) => Ok(HttpResponse::text(200, node.metrics.render())),
        (Method::Put, ["v1", "objects"]) => {
            check_token(&request, &node.settings.operator_token)?;
            operators::change(node, &request).await
        }
        (Method::Get, ["v1", "objects", rest @ ..]) => {
            check_token(&request, &node.settings.operator_token)?;
            operators::objects(node, &request, rest)
        }
        (Method::Get, ["v1", "status"]) => {
            check_token(&request, &node.settings.operator_token)?;
            operators::status(node).await
        }
        (Method::Get, ["v1", "explain", kind, name]) => {
            check_token(&request, &node.settings.operator_token)?;
            operators::explain(node, kind, name)
        }
        (_, ["v1" | "peer", ..] | ["healthz" | "metrics"]) => {
            let detail = format!("{} {path}", request.method);
            Err(Problem::new(405, "method-not-allowed", detail))
        }
        _ => Err(Problem::new(404, "no-such-resource", path.clone())),
    }
}

/// Handles a health check of the load balancer: reports whether it may send requests to this entry.
fn health(node: &Node) -> HttpResponse {
    if node.is_stopping() {
        return HttpResponse::text(503, "stopping\n");
    }
    if !node.entry().state.lease.is_valid(node.now()) {
        return HttpResponse::text(503, "no configuration lease\n");
    }
    if !node.is_ready.load(Ordering::Relaxed) {
        return HttpResponse::text(503, "learning of the backend servers\n");
    }
    if !node.has_records.load(Ordering::Relaxed) {
        return HttpResponse::text(503, "copying the idempotency records\n");
    }
    HttpResponse::text(200, "ok\n")
}

fn check_peer(node: &Node, request: &HttpRequest) -> Result<()> {
    check_token(request, &node.settings.peer_credential())
}

fn check_token(request: &HttpRequest, token: &str) -> Result<()> {
    match request.bearer_token() {
        Some(presented) if constant_time_eq(presented, token) => Ok(()),
        _ => Err(Problem::new(401, "unauthorized", "a valid bearer token is required")),
    }
}

/// Creates a problem for a malformed name in the path.
pub(crate) fn malformed_name(field: &str, error: &NameError) -> Problem {
    Problem::new(400, "malformed-name", format!("{field}: {error}"))
}
