//! HTTP requests and responses with buffered bodies.

use crate::codec::JSON;
use std::collections::BTreeMap;

/// The method of a request.
pub use http_types::Method;

/// Headers by lower-case name.
pub type Headers = BTreeMap<String, String>;

/// An HTTP request with a buffered body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The path, starting with a slash.
    pub path: String,
    /// The decoded query parameters by name.
    pub query: BTreeMap<String, String>,
    /// The headers.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Creates a request with no query, headers or body.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring_wire::http::{HttpRequest, Method};
    ///
    /// let request = HttpRequest::new(Method::Get, "/healthz").header("accept", "text/plain");
    /// assert_eq!(request.headers["accept"], "text/plain");
    /// ```
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            query: BTreeMap::new(),
            headers: Headers::new(),
            body: Vec::new(),
        }
    }

    /// Creates a POST request between goldcrestring processes; the path determines the body's type.
    pub fn peer(path: impl Into<String>, body: Vec<u8>) -> Self {
        Self::new(Method::Post, path).body(body)
    }

    /// Creates a request with a JSON body.
    pub fn json(method: Method, path: impl Into<String>, body: Vec<u8>) -> Self {
        Self::new(method, path).header("content-type", JSON).body(body)
    }

    /// Sets a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.insert(name.to_owned(), value.into());
        self
    }

    /// Sets the bearer token.
    #[must_use]
    pub fn bearer(self, token: &str) -> Self {
        self.header(crate::header::AUTHORIZATION, format!("Bearer {token}"))
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// Returns the bearer token of the request, if it has one.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring_wire::http::{HttpRequest, Method};
    ///
    /// let request = HttpRequest::new(Method::Get, "/").bearer("bakers-1.c0ffee");
    /// assert_eq!(request.bearer_token(), Some("bakers-1.c0ffee"));
    /// ```
    pub fn bearer_token(&self) -> Option<&str> {
        self.headers.get(crate::header::AUTHORIZATION)?.strip_prefix("Bearer ")
    }

    /// Returns the non-empty segments of the path.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring_wire::http::{HttpRequest, Method};
    ///
    /// let request = HttpRequest::new(Method::Get, "/v1/objects/vm");
    /// assert_eq!(request.segments(), ["v1", "objects", "vm"]);
    /// ```
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|segment| !segment.is_empty()).collect()
    }
}

/// An HTTP response with a buffered body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Creates a response with no headers or body.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring_wire::http::HttpResponse;
    ///
    /// assert_eq!(HttpResponse::new(204).status, 204);
    /// ```
    pub const fn new(status: u16) -> Self {
        Self { status, headers: Headers::new(), body: Vec::new() }
    }

    /// Creates a plain-text response.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        let response = Self::new(status).header("content-type", "text/plain; charset=utf-8");
        response.body(text.into())
    }

    /// Creates a JSON response.
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        Self::new(status).header("content-type", JSON).body(body)
    }

    /// Creates a successful response between goldcrestring processes.
    pub fn peer(body: Vec<u8>) -> Self {
        Self::new(200).body(body)
    }

    /// Sets a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.insert(name.to_owned(), value.into());
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// Whether the status code is in the 2xx range.
    pub const fn is_success(&self) -> bool {
        self.status >= 200 && self.status < 300
    }
}
