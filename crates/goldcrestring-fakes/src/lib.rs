//! Fakes of the systems around goldcrestring, for its tests and examples.
//!
//! This crate is not published. [`backend_server`] implements the task protocol, [`caller`] and
//! [`load`] send requests, [`link`] blocks connections, and [`cluster`] starts and kills daemons.

pub mod backend_server;
pub mod caller;
pub mod cluster;
pub mod link;
pub mod load;
