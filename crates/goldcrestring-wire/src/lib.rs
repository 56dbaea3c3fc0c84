//! What goldcrestring's processes say to each other and to the world around them.
//!
//! [`message`] holds the typed messages, [`codec`] their encodings, [`server`] and [`client`] the
//! HTTP ends. The HTTP library is `async-h1`; [`head`] closes what it leaves open before a byte
//! reaches its decoder.
//!
//! # Examples
//!
//! ```
//! use goldcrestring_wire::http::HttpResponse;
//!
//! let response = HttpResponse::text(200, "all well");
//! assert_eq!(response.body, b"all well");
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
