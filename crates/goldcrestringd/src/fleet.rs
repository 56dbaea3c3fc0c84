//! Fleet mode: runs jobs on a fleet of backend servers.
//!
//! A process that serves callers is an entry and forwards their calls to the leader. A process with
//! a data folder is a replica: it holds the replicated log and also serves operators and backend
//! servers. Only the leader makes decisions.

mod callers;
mod calls;
mod control;
mod front;
mod leader_client;
mod mailbox;
mod membership;
mod node;
mod operators;
mod peers;
mod relay;
mod replica;
mod settings;
mod shutdown;

pub(crate) use node::run;
pub(crate) use settings::FleetSettings;
