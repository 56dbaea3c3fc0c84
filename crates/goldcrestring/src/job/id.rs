//! Identifiers of jobs, tasks, backend servers, VMs, pools, queues and teams.

use derive_more::{Display, Error};
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Why a text is not a valid job ID or task ID.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum IdError {
    /// A job ID does not consist of 16 hexadecimal digits.
    #[display("a job ID must have 16 hexadecimal digits")]
    Job,
    /// A task ID does not consist of a job ID and three numbers.
    #[display("a task ID must have the form JOB.OCCURRENCE.STEP.INDEX")]
    Task,
}

/// The result of parsing an ID.
pub type Result<T> = std::result::Result<T, IdError>;

macro_rules! text_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        ///
        /// # Examples
        ///
        /// ```
        #[doc = concat!("use goldcrestring::job::", stringify!($name), ";")]
        ///
        #[doc = concat!("let id = ", stringify!($name), "::from(\"a-1\");")]
        /// assert_eq!(id.as_str(), "a-1");
        /// ```
        #[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the ID as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }
    )*};
}

text_ids! {
    /// Identifies a data centre.
    DataCentreId;
    /// Identifies a VM across pools and across incarnations of its backend server.
    MachineId;
    /// Identifies a pool of VMs.
    PoolId;
    /// Identifies a queue of jobs.
    QueueId;
    /// Identifies a backend server.
    ServerId;
    /// Identifies a team.
    TeamId;
}

/// Identifies a job: 16 hexadecimal digits chosen by its caller.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::JobId;
///
/// let id: JobId = "5c0e7a21d94b36f8".parse()?;
/// assert_eq!(id.to_string(), "5c0e7a21d94b36f8");
/// assert!("5c0e".parse::<JobId>().is_err());
/// # Ok::<(), goldcrestring::job::id::IdError>(())
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId([u8; 16]);

impl Serialize for JobId {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for JobId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        deserializer.deserialize_bytes(JobIdVisitor)
    }
}

/// Reads a byte string, or the sequence of integers that earlier versions wrote.
struct JobIdVisitor;

impl<'de> Visitor<'de> for JobIdVisitor {
    type Value = JobId;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("16 bytes")
    }

    fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> std::result::Result<JobId, E> {
        let bytes = bytes.try_into().map_err(|_| E::invalid_length(bytes.len(), &self))?;
        Ok(JobId(bytes))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> std::result::Result<JobId, A::Error> {
        let mut bytes = [0; 16];
        for (at, byte) in bytes.iter_mut().enumerate() {
            let next = sequence.next_element()?;
            *byte = next.ok_or_else(|| serde::de::Error::invalid_length(at, &self))?;
        }
        Ok(JobId(bytes))
    }
}

impl FromStr for JobId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self> {
        let bytes: [u8; 16] = text.as_bytes().try_into().map_err(|_| IdError::Job)?;
        let is_valid = bytes.iter().all(u8::is_ascii_hexdigit);
        is_valid.then_some(Self(bytes)).ok_or(IdError::Job)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(std::str::from_utf8(&self.0).unwrap_or_default())
    }
}

/// Identifies one step of one occurrence of a job.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// The occurrence, from zero.
    pub occurrence: u32,
    /// The step, from zero.
    pub step: u32,
}

/// Identifies one task.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::TaskId;
///
/// let task: TaskId = "5c0e7a21d94b36f8.0.1.17".parse()?;
/// assert_eq!((task.step.step, task.index), (1, 17));
/// assert_eq!(task.to_string(), "5c0e7a21d94b36f8.0.1.17");
/// # Ok::<(), goldcrestring::job::id::IdError>(())
/// ```
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{step}.{index}")]
pub struct TaskId {
    /// The step.
    pub step: StepId,
    /// The index of the task within the step, from zero.
    pub index: u32,
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self> {
        let mut parts = text.split('.');
        let job = parts.next().ok_or(IdError::Task)?.parse().map_err(|_| IdError::Task)?;
        let mut number = || parts.next()?.parse::<u32>().ok();
        let occurrence = number().ok_or(IdError::Task)?;
        let step = number().ok_or(IdError::Task)?;
        let index = number().ok_or(IdError::Task)?;
        match parts.next() {
            None => Ok(Self { step: StepId { job, occurrence, step }, index }),
            Some(_) => Err(IdError::Task),
        }
    }
}

/// The number of an attempt to run a task, from one.
pub type Attempt = u32;

/// One incarnation of a backend server; a restart under the same ID creates a new one.
///
/// # Examples
///
/// ```
/// use goldcrestring::job::ServerIncarnation;
///
/// let first = ServerIncarnation { id: "i-1".into(), started_at_ms: 1_000 };
/// assert!(first < ServerIncarnation { started_at_ms: 2_000, ..first.clone() });
/// ```
#[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{id}@{started_at_ms}")]
pub struct ServerIncarnation {
    /// The backend server.
    pub id: ServerId,
    /// When the incarnation started, in milliseconds since 1970 by the server's clock; zero if
    /// unknown.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
}

#[cfg(test)]
mod tests;
