//! Messages and HTTP transport between goldcrestring's processes, callers, operators and backend
//! servers.
//!
//! [`message`] and [`job_message`] define the typed messages, [`codec`] their encodings, and
//! [`server`] and [`client`] the HTTP endpoints. The HTTP library is `async-h1`; [`head`] rejects
//! messages that its decoder does not handle safely.
//!
//! # Examples
//!
//! ```
//! use goldcrestring_wire::http::HttpResponse;
//!
//! let response = HttpResponse::text(200, "ok");
//! assert_eq!(response.body, b"ok");
//! ```

pub mod client;
pub mod codec;
pub mod head;
pub mod header;
pub mod http;
pub mod job_message;
pub mod message;
pub mod platform_adapter;
pub mod problem;
pub mod runtime;
pub mod server;
