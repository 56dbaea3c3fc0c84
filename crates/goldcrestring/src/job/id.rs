//! Names of jobs, tasks, backend servers and what surrounds them.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Why a text names no job or task.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum IdError {
    /// A job's id is not 16 hexadecimal digits.
    #[display("a job's id has 16 hexadecimal digits")]
    Job,
    /// A task's id is not a job's id and three numbers.
    #[display("a task's id is JOB.OCCURRENCE.STEP.INDEX")]
    Task,
}

/// The result of parsing an id.
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
            /// The id as text.
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
    /// Names a data centre.
    DataCentreId;
    /// Names a VM across its incarnations and pools.
    MachineId;
    /// Names a pool of VMs.
    PoolId;
    /// Names a queue of jobs.
    QueueId;
    /// Names a backend server.
    ServerId;
    /// Names a team.
    TeamId;
}

/// Names a job: 16 hexadecimal digits that its caller chose.
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
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct JobId([u8; 16]);

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

/// Names one step of one occurrence of a job.
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

/// Names one task.
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
    /// The task's number within the step, from zero.
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

/// The number of a start of a task, from one.
pub type Attempt = u32;

/// One incarnation of a backend server; a restart under the same id is another incarnation.
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
    /// When this incarnation began, in milliseconds since 1970 by the server's clock; zero where unknown.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
}
