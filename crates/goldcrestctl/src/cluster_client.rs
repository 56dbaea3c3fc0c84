//! Client for the operator interface of the cluster's entries.

use crate::error::{Error, Result};
use goldcrestring::job::JobId;
use goldcrestring::job::view::{JobFilter, JobView};
use goldcrestring::quantity::Revision;
use goldcrestring::request::leader_call::{CallEffect, FinalAnswer, LeaderCall, Verdict};
use goldcrestring::version::Change;
use goldcrestring::version::configuration::Versioned;
use goldcrestring_wire::client::{Client, Reuse};
use goldcrestring_wire::codec;
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use goldcrestring_wire::job_message::{JobExplanation, JobList, OperatorJob};
use goldcrestring_wire::message::{OperatorChangeResponse, Status};
use goldcrestring_wire::problem::Problem;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The timeout of a request to one server.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// A list of objects at one revision.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct ObjectList {
    /// The revision.
    pub(crate) revision: Revision,
    /// The objects.
    pub(crate) objects: Vec<Versioned>,
}

/// The status of one process.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct NodeStatus {
    /// The name of the process.
    pub(crate) node: String,
    /// Its status; `None` if it did not respond.
    pub(crate) status: Option<Status>,
}

/// An explanation of the rules that apply to an object.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Explanation {
    /// The object.
    pub(crate) object: String,
    /// The revision of the inputs.
    pub(crate) revision: u64,
    /// The rules and their inputs.
    pub(crate) findings: Vec<String>,
}

/// Client of a cluster; tries its servers in order.
pub(crate) struct ClusterClient {
    servers: Vec<SocketAddr>,
    token: String,
    client: Client,
}

impl ClusterClient {
    /// Creates a client that tries the given servers in order until one responds.
    pub(crate) fn new(servers: Vec<SocketAddr>, token: &str) -> Self {
        Self { servers, token: token.to_owned(), client: Client::default() }
    }

    /// Makes a change and returns its revision; repeating it with the same change id has no further
    /// effect.
    pub(crate) async fn change(&self, change: &Change) -> Result<Revision> {
        let body = codec::encode_json(change).map_err(|error| Error::usage(error.to_string()))?;
        let response = self.call(HttpRequest::json(Method::Put, "/v1/objects", body)).await?;
        Ok(decode::<OperatorChangeResponse>(&response)?.revision)
    }

    /// Lists the objects under a path below `/v1/objects` that match a selector.
    pub(crate) async fn objects(&self, path: &str, selector: &str) -> Result<ObjectList> {
        let mut request = HttpRequest::new(Method::Get, format!("/v1/objects{path}"));
        if !selector.is_empty() {
            request.query.insert("selector".to_owned(), selector.to_owned());
        }
        decode(&self.call(request).await?)
    }

    /// Reads the status of every process.
    pub(crate) async fn status(&self) -> Result<Vec<NodeStatus>> {
        decode(&self.call(HttpRequest::new(Method::Get, "/v1/status")).await?)
    }

    /// Explains which rules apply to an object.
    pub(crate) async fn explain(&self, object: &str) -> Result<Explanation> {
        decode(&self.call(HttpRequest::new(Method::Get, format!("/v1/explain/{object}"))).await?)
    }

    /// Submits a job; repeating it with the same id has no further effect.
    pub(crate) async fn submit_job(&self, id: JobId, job: &OperatorJob) -> Result<()> {
        let body = codec::encode_json(job).map_err(|error| Error::usage(error.to_string()))?;
        self.call(HttpRequest::json(Method::Put, format!("/v1/jobs/{id}"), body)).await.map(drop)
    }

    /// Cancels a job.
    pub(crate) async fn cancel_job(&self, id: JobId) -> Result<()> {
        self.call(HttpRequest::new(Method::Delete, format!("/v1/jobs/{id}"))).await.map(drop)
    }

    /// Reads the state of a job.
    pub(crate) async fn job(&self, id: JobId) -> Result<JobView> {
        decode(&self.call(HttpRequest::new(Method::Get, format!("/v1/jobs/{id}"))).await?)
    }

    /// Lists one page of the jobs that match a filter.
    pub(crate) async fn jobs(&self, filter: &JobFilter) -> Result<JobList> {
        let mut request = HttpRequest::new(Method::Get, "/v1/jobs");
        let parameters = [
            ("queue", filter.queue.as_ref().map(ToString::to_string)),
            ("team", filter.team.as_ref().map(ToString::to_string)),
            ("phase", filter.phase.map(|phase| phase.to_string())),
            ("after", filter.after.map(|after| after.to_string())),
        ];
        for (name, value) in parameters {
            request.query.extend(value.map(|value| (name.to_owned(), value)));
        }
        decode(&self.call(request).await?)
    }

    /// Explains the scheduling state of a job's tasks.
    pub(crate) async fn explain_job(&self, id: JobId) -> Result<JobExplanation> {
        decode(&self.call(HttpRequest::new(Method::Get, format!("/v1/explain/job/{id}"))).await?)
    }

    async fn call(&self, request: HttpRequest) -> Result<HttpResponse> {
        let mut problem = String::new();
        let effect = match request.method {
            Method::Get => CallEffect::Read,
            _ => CallEffect::Change,
        };
        let mut call = LeaderCall::new(effect);
        for server in &self.servers {
            let request = request.clone().bearer(&self.token);
            match self.client.call(*server, request, CALL_TIMEOUT, Reuse::Allowed).await {
                Ok(response) if response.is_success() => return Ok(response),
                // Another server may be able to handle the request.
                Ok(response) if response.status >= 500 => {
                    problem = describe(&response);
                    if is_not_run(&response) {
                        call.record_not_received();
                    } else {
                        call.record_lost();
                    }
                }
                Ok(response) => {
                    let error = rejection(&response);
                    let problem = format!("{error}, but an earlier attempt may still be executed");
                    let answer = call.answer(error, Verdict::Refused).map(FinalAnswer::into_inner);
                    return Err(answer.unwrap_or(Error::NoResponse { problem }));
                }
                Err(error) => {
                    problem = error.to_string();
                    if error.is_not_sent() {
                        call.record_not_received();
                    } else {
                        call.record_lost();
                    }
                }
            }
        }
        Err(Error::NoResponse { problem })
    }
}

/// Whether the server reports that the request was not executed and never will be.
fn is_not_run(response: &HttpResponse) -> bool {
    codec::decode_json::<Problem>(&response.body).is_ok_and(|problem| problem.kind == "not-run")
}

fn rejection(response: &HttpResponse) -> Error {
    match codec::decode_json::<Problem>(&response.body) {
        Ok(problem) => Error::Refused { kind: problem.kind, detail: problem.detail },
        Err(_) => Error::Refused { kind: response.status.to_string(), detail: describe(response) },
    }
}

fn describe(response: &HttpResponse) -> String {
    match codec::decode_json::<Problem>(&response.body) {
        Ok(problem) => format!("{}: {}", problem.kind, problem.detail),
        Err(_) => format!("status {}", response.status),
    }
}

fn decode<T: serde::de::DeserializeOwned>(response: &HttpResponse) -> Result<T> {
    codec::decode_json(&response.body)
        .map_err(|error| Error::NoResponse { problem: error.to_string() })
}
