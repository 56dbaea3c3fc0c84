//! A fleet that runs jobs: entries pass callers' calls to the leader, replicas hold the log.
//!
//! A process that serves callers is an entry; one with a data folder is a replica, which also hears
//! operators and backend servers. Only the leader decides.

mod callers;
mod calls;
mod control;
mod leader_client;
mod membership;
mod node;
mod operators;
mod peers;
mod replica;
mod settings;
mod shutdown;

pub(crate) use node::run;
pub(crate) use settings::FleetSettings;
