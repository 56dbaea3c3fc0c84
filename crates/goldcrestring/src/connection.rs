//! Connection-scoped state: configuration leases and announced backend servers.

pub mod backend_server;
pub mod configuration_lease;
pub mod lease_message;
#[cfg(test)]
mod tests;

pub use backend_server::{Announcement, BackendServer, BackendServers};
pub use configuration_lease::{HeldLease, LeaseTable};
pub use lease_message::{GrantedLease, LeaseRequest, LeaseResponse, TargetsDelta, TargetsVersion};
