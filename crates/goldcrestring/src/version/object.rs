//! The objects of the configuration, as declared by operators.

use crate::name::{NameError, ObjectId};
use crate::version::key::SecretHash;
use crate::version::label::Labels;
use crate::version::selector::Selector;
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// The label that takes a data centre out of service if its value is [`OUT_OF_SERVICE`].
pub const SERVICE_LABEL: &str = "service";

/// The value of [`SERVICE_LABEL`] that prevents tasks from starting in a data centre.
pub const OUT_OF_SERVICE: &str = "out";

/// The label that sets the data centre of a VM.
pub const DATA_CENTRE_LABEL: &str = "data-centre";

/// The error returned when a string is not a valid object reference.
#[derive(Clone, Debug, Display, Eq, Error, From, PartialEq)]
pub enum ReferenceError {
    /// The name after the slash is not valid.
    #[display("{_0}")]
    Name(NameError),
    /// The string does not start with a known kind and a slash.
    #[display("an object must have the form kind/name with a kind of {KINDS}, got {text:?}")]
    #[from(skip)]
    Kind {
        /// The invalid string.
        text: String,
    },
}

const KINDS: &str = "data-centre, key, maintenance-plan, pool, queue, team or vm";

/// The result of parsing a reference to an object.
pub type Result<T> = std::result::Result<T, ReferenceError>;

/// The kind of an object.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A data centre.
    #[display("data-centre")]
    DataCentre,
    /// A key of a team.
    #[display("key")]
    Key,
    /// A maintenance plan for VMs.
    #[display("maintenance-plan")]
    MaintenancePlan,
    /// A pool of VMs.
    #[display("pool")]
    Pool,
    /// A queue of requests.
    #[display("queue")]
    Queue,
    /// A team.
    #[display("team")]
    Team,
    /// A VM that runs a backend server.
    #[display("vm")]
    Vm,
}

impl FromStr for Kind {
    type Err = ReferenceError;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "data-centre" => Ok(Self::DataCentre),
            "key" => Ok(Self::Key),
            "maintenance-plan" => Ok(Self::MaintenancePlan),
            "pool" => Ok(Self::Pool),
            "queue" => Ok(Self::Queue),
            "team" => Ok(Self::Team),
            "vm" => Ok(Self::Vm),
            _ => Err(ReferenceError::Kind { text: text.to_owned() }),
        }
    }
}

/// A reference to an object, written `kind/name`.
///
/// # Examples
///
/// ```
/// use goldcrestring::version::{Kind, ObjectRef};
///
/// let reference: ObjectRef = "pool/quotes".parse()?;
/// assert_eq!(reference.kind, Kind::Pool);
/// assert_eq!(reference.to_string(), "pool/quotes");
/// # Ok::<(), goldcrestring::version::ReferenceError>(())
/// ```
#[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{kind}/{name}")]
#[serde(try_from = "String", into = "String")]
pub struct ObjectRef {
    /// The kind of the object.
    pub kind: Kind,
    /// The name of the object within its kind.
    pub name: ObjectId,
}

impl ObjectRef {
    /// Creates a reference from a kind and a name, or returns `None` if the name is not valid.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::version::{Kind, ObjectRef};
    ///
    /// assert!(ObjectRef::new(Kind::Team, "bakers").is_some());
    /// assert!(ObjectRef::new(Kind::Team, "Not A Name").is_none());
    /// ```
    pub fn new(kind: Kind, name: &str) -> Option<Self> {
        Some(Self { kind, name: name.parse().ok()? })
    }
}

impl FromStr for ObjectRef {
    type Err = ReferenceError;

    fn from_str(text: &str) -> Result<Self> {
        let (kind, name) =
            text.split_once('/').ok_or_else(|| ReferenceError::Kind { text: text.to_owned() })?;
        Ok(Self { kind: kind.parse()?, name: name.parse()? })
    }
}

impl TryFrom<String> for ObjectRef {
    type Error = ReferenceError;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<ObjectRef> for String {
    fn from(reference: ObjectRef) -> Self {
        reference.to_string()
    }
}

/// An object of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Object {
    /// The name, unique within the kind of `spec`.
    pub name: ObjectId,
    /// The labels, which selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// The kind-specific part of the object.
    pub spec: Spec,
}

impl Object {
    /// Returns the reference to this object.
    pub fn reference(&self) -> ObjectRef {
        ObjectRef { kind: self.spec.kind(), name: self.name.clone() }
    }

    /// Returns the value of a label, if the object has it.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::version::{Object, Spec, VmSpec};
    ///
    /// let vm = Object {
    ///     name: "vm-1".parse()?,
    ///     labels: [("pool".parse()?, "quotes".parse()?)].into(),
    ///     spec: Spec::Vm(VmSpec::default()),
    /// };
    /// assert_eq!(vm.label("pool"), Some("quotes"));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn label(&self, key: &str) -> Option<&str> {
        let key = key.parse().ok()?;
        Some(self.labels.get(&key)?.as_str())
    }
}

/// The kind-specific part of an object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spec {
    /// A data centre.
    DataCentre(DataCentreSpec),
    /// A key of a team.
    Key(KeySpec),
    /// A maintenance plan.
    MaintenancePlan(MaintenancePlanSpec),
    /// A pool of VMs.
    Pool(PoolSpec),
    /// A queue of requests.
    Queue(QueueSpec),
    /// A team.
    Team(TeamSpec),
    /// A VM.
    Vm(VmSpec),
}

impl Spec {
    /// Returns the kind of object that this spec describes.
    pub const fn kind(&self) -> Kind {
        match self {
            Self::DataCentre(_) => Kind::DataCentre,
            Self::Key(_) => Kind::Key,
            Self::MaintenancePlan(_) => Kind::MaintenancePlan,
            Self::Pool(_) => Kind::Pool,
            Self::Queue(_) => Kind::Queue,
            Self::Team(_) => Kind::Team,
            Self::Vm(_) => Kind::Vm,
        }
    }
}

/// A data centre; [`SERVICE_LABEL`] determines whether it is in service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreSpec {}

/// A key of a team; only a keyed hash of its secret is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeySpec {
    /// The team on whose behalf requests with this key run.
    pub team: ObjectId,
    /// The keyed hash of the secret.
    pub secret_hash: SecretHash,
}

/// A schedule for the maintenance of VMs, with a limit on unavailable VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MaintenancePlanSpec {
    /// Selects the VMs to maintain.
    pub vm_selector: Selector,
    /// The time from one maintenance of a VM to the next, in seconds.
    pub interval_s: u64,
    /// The maximum number of VMs of a pool that may be unavailable at once, for any reason.
    pub max_unavailable: u32,
}

/// A pool of VMs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Selects the VMs of the pool.
    pub vm_selector: Selector,
}

/// A queue of requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueSpec {
    /// Selects the pools that serve the queue.
    pub pool_selector: Selector,
    /// Whether requests are accepted without a key.
    pub open: bool,
    /// Whether requests are idempotent, so that they may run more than once.
    pub idempotent: bool,
    /// The maximum time from arrival to response, in milliseconds.
    pub timeout_ms: u64,
    /// The maximum number of requests that may wait at one entry.
    pub max_waiting: u32,
}

impl Default for QueueSpec {
    fn default() -> Self {
        Self {
            pool_selector: Selector::default(),
            open: false,
            idempotent: false,
            timeout_ms: 5_000,
            max_waiting: 256,
        }
    }
}

/// A team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TeamSpec {
    /// The maximum number of tasks that the team may run across the fleet.
    pub upper_limit_tasks: u32,
    /// The weight of the team when the tasks of several teams compete for slots.
    pub weight: u32,
}

impl Default for TeamSpec {
    fn default() -> Self {
        Self { upper_limit_tasks: 0, weight: 1 }
    }
}

/// A VM that runs a backend server; its labels determine its pool and data centre.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmSpec {}
