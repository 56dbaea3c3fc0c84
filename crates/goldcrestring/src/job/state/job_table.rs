//! The jobs by ID, with the memory that their records take.

use super::record::Job;
use crate::job::id::JobId;
use serde::{Deserialize, Serialize, Serializer};
use std::collections::BTreeMap;

/// Jobs by ID.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(from = "BTreeMap<JobId, Job>")]
pub(super) struct JobTable {
    jobs: BTreeMap<JobId, Job>,
    bytes: u64,
}

impl JobTable {
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// The memory that the records take, in bytes, roughly.
    pub(super) const fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(super) fn get(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    pub(super) fn get_key_value(&self, id: &JobId) -> Option<(&JobId, &Job)> {
        self.jobs.get_key_value(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter()
    }

    /// Calls `update` with each job. It must not change the memory that a record takes.
    pub(super) fn for_each_mut(&mut self, update: impl FnMut(&mut Job)) {
        self.jobs.values_mut().for_each(update);
    }

    /// Adds a job with a new ID.
    pub(super) fn insert(&mut self, id: JobId, job: Job) {
        self.bytes = self.bytes.saturating_add(job.record_bytes());
        self.jobs.insert(id, job);
    }

    pub(super) fn remove(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.remove(id) {
            self.bytes = self.bytes.saturating_sub(job.record_bytes());
        }
    }

    /// Calls `update` with a job; `None` if it is unknown.
    pub(super) fn update<T>(
        &mut self,
        id: &JobId,
        update: impl FnOnce(&mut Job) -> T,
    ) -> Option<T> {
        let job = self.jobs.get_mut(id)?;
        let before = job.begun_bytes();
        let result = update(job);
        self.bytes = self.bytes.saturating_sub(before).saturating_add(job.begun_bytes());
        Some(result)
    }
}

impl From<BTreeMap<JobId, Job>> for JobTable {
    fn from(jobs: BTreeMap<JobId, Job>) -> Self {
        let bytes = jobs.values().map(Job::record_bytes).fold(0, u64::saturating_add);
        Self { jobs, bytes }
    }
}

impl Serialize for JobTable {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.jobs.serialize(serializer)
    }
}
