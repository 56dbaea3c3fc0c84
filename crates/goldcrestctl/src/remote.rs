//! Calls to the cluster's entries.

use crate::error::{Error, Result};
use goldcrestring::job::JobId;
use goldcrestring::job::view::{JobFilter, JobView};
use goldcrestring::quantity::Revision;
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

/// How long one server may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// The objects of one revision.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct ObjectList {
    /// The revision.
    pub(crate) revision: Revision,
    /// The objects.
    pub(crate) objects: Vec<Versioned>,
}

/// What one process says of itself.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct NodeStatus {
    /// The process.
    pub(crate) node: String,
    /// Its view; none when it did not answer.
    pub(crate) status: Option<Status>,
}

/// Why a decision came out as it did.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Explanation {
    /// The object.
    pub(crate) object: String,
    /// The revision of the inputs.
    pub(crate) revision: u64,
    /// The rules and their inputs.
    pub(crate) findings: Vec<String>,
}

/// The cluster as the tool reaches it.
pub(crate) struct Remote {
    servers: Vec<SocketAddr>,
    token: String,
    client: Client,
}

impl Remote {
    /// Calls the given servers, in order, until one answers.
    pub(crate) fn new(servers: Vec<SocketAddr>, token: &str) -> Self {
        Self { servers, token: token.to_owned(), client: Client::default() }
    }

    /// Makes a change and returns its revision; the change id makes a second call harmless.
    pub(crate) async fn change(&self, change: &Change) -> Result<Revision> {
        let body = codec::encode_json(change).map_err(|error| Error::usage(error.to_string()))?;
        let response = self.call(HttpRequest::json(Method::Put, "/v1/objects", body)).await?;
        Ok(decode::<OperatorChangeResponse>(&response)?.revision)
    }

    /// The objects under a path below `/v1/objects`, chosen by a selector.
    pub(crate) async fn objects(&self, path: &str, selector: &str) -> Result<ObjectList> {
        let mut request = HttpRequest::new(Method::Get, format!("/v1/objects{path}"));
        if !selector.is_empty() {
            request.query.insert("selector".to_owned(), selector.to_owned());
        }
        decode(&self.call(request).await?)
    }

    /// What every process says of itself.
    pub(crate) async fn status(&self) -> Result<Vec<NodeStatus>> {
        decode(&self.call(HttpRequest::new(Method::Get, "/v1/status")).await?)
    }

    /// Why things are as they are for one object.
    pub(crate) async fn explain(&self, object: &str) -> Result<Explanation> {
        decode(&self.call(HttpRequest::new(Method::Get, format!("/v1/explain/{object}"))).await?)
    }

    /// Hands in a job; the id makes a second call harmless.
    pub(crate) async fn submit_job(&self, id: JobId, job: &OperatorJob) -> Result<()> {
        let body = codec::encode_json(job).map_err(|error| Error::usage(error.to_string()))?;
        self.call(HttpRequest::json(Method::Put, format!("/v1/jobs/{id}"), body)).await.map(drop)
    }

    /// Cancels a job.
    pub(crate) async fn cancel_job(&self, id: JobId) -> Result<()> {
        self.call(HttpRequest::new(Method::Delete, format!("/v1/jobs/{id}"))).await.map(drop)
    }

    /// A job, step by step.
    pub(crate) async fn job(&self, id: JobId) -> Result<JobView> {
        decode(&self.call(HttpRequest::new(Method::Get, format!("/v1/jobs/{id}"))).await?)
    }

    /// A page of the jobs that a filter chooses.
    pub(crate) async fn jobs(&self, filter: &JobFilter) -> Result<JobList> {
        let mut request = HttpRequest::new(Method::Get, "/v1/jobs");
        let chosen = [
            ("queue", filter.queue.as_ref().map(ToString::to_string)),
            ("team", filter.team.as_ref().map(ToString::to_string)),
            ("phase", filter.phase.map(|phase| phase.to_string())),
            ("after", filter.after.map(|after| after.to_string())),
        ];
        for (name, value) in chosen {
            request.query.extend(value.map(|value| (name.to_owned(), value)));
        }
        decode(&self.call(request).await?)
    }

    /// Why the tasks of a job are where they are.
    pub(crate) async fn explain_job(&self, id: JobId) -> Result<JobExplanation> {
        decode(&self.call(HttpRequest::new(Method::Get, format!("/v1/explain/job/{id}"))).await?)
    }

    async fn call(&self, request: HttpRequest) -> Result<HttpResponse> {
        let mut problem = String::new();
        for server in &self.servers {
            let request = request.clone().bearer(&self.token);
            match self.client.call(*server, request, CALL_TIMEOUT, Reuse::Allowed).await {
                Ok(response) if response.is_success() => return Ok(response),
                // Another server may do what this one can't do now.
                Ok(response) if response.status >= 500 => problem = describe(&response),
                Ok(response) => return Err(refused(&response)),
                Err(error) => problem = error.to_string(),
            }
        }
        Err(Error::NoAnswer { problem })
    }
}

fn refused(response: &HttpResponse) -> Error {
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
        .map_err(|error| Error::NoAnswer { problem: error.to_string() })
}
