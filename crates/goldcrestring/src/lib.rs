//! Decisions of goldcrestring, a fleet capacity and maintenance manager.
//!
//! Nothing here opens a socket, starts a thread or reads a clock: each state machine is handed the
//! time and an event and returns what to do. The modules are laid out by life span:
//! [`request`], [`connection`], [`version`] and [`process`]; [`job`] holds durable jobs.
//!
//! # Examples
//!
//! Operators describe everything by labels and choose it by selectors:
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
