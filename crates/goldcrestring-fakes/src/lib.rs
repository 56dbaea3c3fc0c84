//! Stand-ins for what surrounds goldcrestring, for its tests and examples.
//!
//! Nothing here is published. [`backend_server`] takes tasks as the protocol asks, [`caller`]
//! sends requests, [`link`] cuts connections, and [`cluster`] starts and kills daemons.

pub mod backend_server;
pub mod caller;
pub mod cluster;
pub mod link;
pub mod load;
