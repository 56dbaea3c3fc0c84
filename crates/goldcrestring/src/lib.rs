//! Core logic of goldcrestring, a fleet capacity and maintenance manager.
//!
//! This crate performs no I/O, starts no threads and reads no clock: each state machine takes the
//! current time and an event and returns the actions to perform. State is grouped by its lifetime:
//! [`request`], [`connection`], [`version`] (of the configuration) and [`process`]; [`job`] holds
//! durable jobs.
//!
//! Callers send their requests to an *entry*, a process that admits each request, selects a backend
//! server and sends the request to it as a *task*. The limit of a team on concurrent tasks consists
//! of *units*, one per task, which the leader of the replicated log grants to the entries.
//!
//! # Examples
//!
//! Operators label objects and select them with label selectors:
//!
//! ```
//! use goldcrestring::version::{Labels, Selector};
//!
//! let labels = Labels::from([("rack".parse()?, "r7".parse()?)]);
//! let selector: Selector = "rack in (r7,r8)".parse()?;
//! assert!(selector.matches(&labels));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod clock;
pub mod connection;
pub mod job;
pub mod name;
pub mod process;
pub mod quantity;
pub mod request;
pub mod version;
