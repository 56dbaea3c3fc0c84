//! Validation of a message head before the HTTP library's decoder sees it.
//!
//! The decoder panics on non-ASCII header values, accepts conflicting content lengths, and returns
//! a truncated body as complete. This module reads the head up to a size limit, validates it and
//! determines the body length, so that the decoder receives exactly one complete message.

use derive_more::{Display, Error};
use futures_lite::{AsyncRead, AsyncReadExt};
use std::io;
use std::pin::Pin;
use std::task::Poll;

/// The maximum size of a message head, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1_024;

const MAX_HEADERS: usize = 64;
const READ_BYTES: usize = 4 * 1_024;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why a message was rejected.
#[derive(Debug, Display, Error)]
pub enum HeadError {
    /// The connection was closed before a message began.
    #[display("the connection was closed")]
    Closed,
    /// The connection was closed within a message.
    #[display("the connection was closed within a message")]
    Truncated,
    /// The head is longer than [`MAX_HEAD_BYTES`].
    #[display("the message head is longer than {MAX_HEAD_BYTES} bytes")]
    TooLong,
    /// The body exceeds the size limit.
    #[display("the body of {length_bytes} bytes exceeds the limit of {max_bytes} bytes")]
    BodyTooLong {
        /// The declared length, in bytes.
        length_bytes: usize,
        /// The limit, in bytes.
        max_bytes: usize,
    },
    /// The length of the body is not declared.
    #[display("a content-length header is required")]
    LengthRequired,
    /// The head is not HTTP/1.1.
    #[display("only HTTP/1.1 is supported")]
    Version,
    /// The head is malformed.
    #[display("{problem}")]
    #[error(ignore)]
    Malformed {
        /// A description of the problem.
        problem: &'static str,
    },
    /// The connection failed.
    #[display("{_0}")]
    Io(io::Error),
}

/// The result type of this module.
pub type Result<T> = std::result::Result<T, HeadError>;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyLength {
    /// A fixed number of bytes.
    Bytes(usize),
    /// Chunked transfer encoding.
    Chunked,
}

/// The properties of a message that its head declares.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// The length of the head, in bytes.
    pub length_bytes: usize,
    /// The length of the body.
    pub body: BodyLength,
    /// Whether the connection is closed after this message.
    pub is_last: bool,
    /// Whether the sender waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// Reads until the buffer holds a complete head and returns its length in bytes.
///
/// # Errors
///
/// [`HeadError::Closed`] if the connection is closed before the first byte,
/// [`HeadError::Truncated`] if it is closed later, [`HeadError::TooLong`] if the head is longer
/// than [`MAX_HEAD_BYTES`], and [`HeadError::Io`] if the connection fails.
pub async fn read_head<S: AsyncRead + Unpin>(
    stream: &mut S,
    buffer: &mut Vec<u8>,
) -> Result<usize> {
    loop {
        if let Some(end) = find_head_end(buffer) {
            return Ok(end);
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(HeadError::TooLong);
        }
        let read = read_available(stream, buffer).await.map_err(HeadError::Io)?;
        if read == 0 {
            return Err(if buffer.is_empty() { HeadError::Closed } else { HeadError::Truncated });
        }
    }
}

/// Waits until bytes are available, appends up to [`READ_BYTES`] of them to the buffer, and returns
/// their number, which is zero at the end of the stream.
///
/// Reads into the buffer instead of an array, which would be part of every future that waits here.
/// An empty buffer holds no memory while it waits.
pub(crate) async fn read_available<S: AsyncRead + Unpin>(
    stream: &mut S,
    buffer: &mut Vec<u8>,
) -> io::Result<usize> {
    std::future::poll_fn(|context| {
        let start = buffer.len();
        buffer.resize(start + READ_BYTES, 0);
        let read = Pin::new(&mut *stream).poll_read(context, &mut buffer[start..]);
        let count = match &read {
            Poll::Ready(Ok(count)) => *count,
            Poll::Ready(Err(_)) | Poll::Pending => 0,
        };
        buffer.truncate(start + count);
        if buffer.is_empty() {
            *buffer = Vec::new();
        }
        read
    })
    .await
}

/// Reads until the buffer holds at least `length_bytes` bytes.
///
/// # Errors
///
/// [`HeadError::Truncated`] if the connection is closed before that, and [`HeadError::Io`] if it
/// fails.
pub async fn read_until<S: AsyncRead + Unpin>(
    stream: &mut S,
    buffer: &mut Vec<u8>,
    length_bytes: usize,
) -> Result<()> {
    let missing = length_bytes.saturating_sub(buffer.len());
    if missing == 0 {
        return Ok(());
    }
    let start = buffer.len();
    buffer.resize(length_bytes, 0);
    stream.read_exact(&mut buffer[start..]).await.map_err(|error| match error.kind() {
        io::ErrorKind::UnexpectedEof => HeadError::Truncated,
        _ => HeadError::Io(error),
    })
}

/// Validates the head of a request.
///
/// # Errors
///
/// [`HeadError::Version`] if the request is not HTTP/1.1, [`HeadError::LengthRequired`] if its body
/// is chunked, [`HeadError::Truncated`] if the head is incomplete, and [`HeadError::Malformed`] for
/// any other problem.
///
/// # Examples
///
/// ```
/// use goldcrestring_wire::head::{BodyLength, check_request};
///
/// let head = b"POST / HTTP/1.1\r\nhost: entry\r\ncontent-length: 4\r\n\r\n";
/// assert_eq!(check_request(head)?.body, BodyLength::Bytes(4));
/// let smuggled =
///     b"POST / HTTP/1.1\r\nhost: entry\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\n";
/// assert!(check_request(smuggled).is_err());
/// # Ok::<(), goldcrestring_wire::head::HeadError>(())
/// ```
pub fn check_request(bytes: &[u8]) -> Result<Head> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let parsed = request.parse(bytes).map_err(|error| match error {
        httparse::Error::Version => HeadError::Version,
        httparse::Error::TooManyHeaders => HeadError::Malformed { problem: "too many headers" },
        _ => HeadError::Malformed { problem: "the request head is not HTTP" },
    })?;
    let httparse::Status::Complete(length_bytes) = parsed else {
        return Err(HeadError::Truncated);
    };
    if request.version != Some(1) {
        return Err(HeadError::Version);
    }
    if !request.path.is_some_and(|path| path.starts_with('/') && path.is_ascii()) {
        return Err(HeadError::Malformed { problem: "the request target must be an ASCII path" });
    }
    let summary = HeaderSummary::of(request.headers)?;
    if summary.host_count != 1 {
        return Err(HeadError::Malformed { problem: "exactly one host header is required" });
    }
    if summary.is_chunked {
        return Err(HeadError::LengthRequired);
    }
    Ok(Head {
        length_bytes,
        body: BodyLength::Bytes(summary.content_length.unwrap_or(0)),
        is_last: summary.is_last,
        expects_continue: summary.expects_continue,
    })
}

/// Validates the head of a response.
///
/// # Errors
///
/// [`HeadError::Version`] if the response is not HTTP/1.1, [`HeadError::LengthRequired`] if the
/// head does not determine the length of the body, [`HeadError::Truncated`] if the head is
/// incomplete, and [`HeadError::Malformed`] for any other problem.
///
/// # Examples
///
/// ```
/// use goldcrestring_wire::head::{BodyLength, check_response};
///
/// let head = check_response(b"HTTP/1.1 204 No Content\r\n\r\n")?;
/// assert_eq!(head.body, BodyLength::Bytes(0));
/// assert!(check_response(b"HTTP/1.1 200 OK\r\n\r\n").is_err());
/// # Ok::<(), goldcrestring_wire::head::HeadError>(())
/// ```
pub fn check_response(bytes: &[u8]) -> Result<Head> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response
        .parse(bytes)
        .map_err(|_| HeadError::Malformed { problem: "the response head is not HTTP" })?;
    let httparse::Status::Complete(length_bytes) = parsed else {
        return Err(HeadError::Truncated);
    };
    if response.version != Some(1) {
        return Err(HeadError::Version);
    }
    let summary = HeaderSummary::of(response.headers)?;
    let body = match (response.code, summary.is_chunked, summary.content_length) {
        (Some(204 | 304), _, _) => BodyLength::Bytes(0),
        (_, true, None) => BodyLength::Chunked,
        (_, false, Some(length)) => BodyLength::Bytes(length),
        _ => return Err(HeadError::LengthRequired),
    };
    Ok(Head { length_bytes, body, is_last: summary.is_last, expects_continue: false })
}

/// Removes the `expect` header, to which the decoder would respond on its own.
///
/// # Examples
///
/// ```
/// use goldcrestring_wire::head::without_expect;
///
/// let head = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nhost: a\r\n\r\n";
/// assert_eq!(without_expect(head), b"POST / HTTP/1.1\r\nhost: a\r\n\r\n");
/// ```
pub fn without_expect(head: &[u8]) -> Vec<u8> {
    let mut kept = Vec::with_capacity(head.len());
    for line in head.split_inclusive(|&byte| byte == b'\n') {
        let is_expect = line.len() >= 7 && line[..7].eq_ignore_ascii_case(b"expect:");
        if !is_expect {
            kept.extend_from_slice(line);
        }
    }
    kept
}

fn find_head_end(buffer: &[u8]) -> Option<usize> {
    let window = &buffer[..buffer.len().min(MAX_HEAD_BYTES + HEAD_END.len())];
    let at = window.windows(HEAD_END.len()).position(|part| part == HEAD_END)?;
    Some(at + HEAD_END.len())
}

#[derive(Default)]
struct HeaderSummary {
    content_length: Option<usize>,
    is_chunked: bool,
    is_last: bool,
    expects_continue: bool,
    host_count: usize,
}

impl HeaderSummary {
    fn of(headers: &[httparse::Header<'_>]) -> Result<Self> {
        let mut summary = Self::default();
        for header in headers {
            let value = std::str::from_utf8(header.value)
                .ok()
                .filter(|value| value.is_ascii())
                .ok_or(HeadError::Malformed { problem: "a header value is not ASCII" })?;
            summary.record(header.name, value.trim())?;
        }
        if summary.is_chunked && summary.content_length.is_some() {
            return Err(HeadError::Malformed {
                problem: "content-length and transfer-encoding are mutually exclusive",
            });
        }
        Ok(summary)
    }

    fn record(&mut self, name: &str, value: &str) -> Result<()> {
        if name.eq_ignore_ascii_case("content-length") {
            return self.record_content_length(value);
        }
        if name.eq_ignore_ascii_case("transfer-encoding") {
            self.is_chunked = true;
        }
        if name.eq_ignore_ascii_case("connection") {
            self.is_last |= value.eq_ignore_ascii_case("close");
        }
        if name.eq_ignore_ascii_case("expect") {
            self.expects_continue = true;
        }
        if name.eq_ignore_ascii_case("host") {
            self.host_count += 1;
        }
        Ok(())
    }

    fn record_content_length(&mut self, value: &str) -> Result<()> {
        let is_number = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
        let length = value.parse().ok().filter(|_| is_number);
        let length =
            length.ok_or(HeadError::Malformed { problem: "content-length is not a number" })?;
        if self.content_length.is_some_and(|known| known != length) {
            return Err(HeadError::Malformed { problem: "conflicting content-length headers" });
        }
        self.content_length = Some(length);
        Ok(())
    }
}
