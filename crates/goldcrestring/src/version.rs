//! The versioned configuration: objects, labels, selectors and changes.

pub mod change;
pub mod configuration;
pub mod key;
pub mod label;
pub mod object;
pub mod selector;
#[cfg(test)]
mod tests;

pub use change::{Accepted, Change, ChangeId, Edit, Rejection};
pub use configuration::{Configuration, Delta};
pub use key::{KeyError, PresentedKey, SecretHash, constant_time_eq};
pub use label::{LabelKey, LabelValue, Labels};
pub use object::{
    DATA_CENTRE_LABEL, DataCentreSpec, KeySpec, Kind, MaintenancePlanSpec, OUT_OF_SERVICE, Object,
    ObjectRef, PoolSpec, QueueSpec, ReferenceError, SERVICE_LABEL, Spec, TeamSpec, VmSpec,
};
pub use selector::{Requirement, Selector, SelectorError};
