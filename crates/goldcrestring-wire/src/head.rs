//! Checks of a message head before it reaches the HTTP library's decoder.
//!
//! The decoder panics at header values outside ASCII, takes two different content lengths, and
//! returns a body cut short as whole. Here the head is read within a bound, checked, and the
//! length of the body worked out, so that exactly one message is handed over.

use derive_more::{Display, Error};
use futures_lite::{AsyncRead, AsyncReadExt};
use std::io;

/// The longest head, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1_024;

const MAX_HEADERS: usize = 64;
const READ_BYTES: usize = 16 * 1_024;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why a message was not taken.
#[derive(Debug, Display, Error)]
pub enum HeadError {
    /// The connection ended before a message began.
    #[display("the connection ended")]
    Closed,
    /// The connection ended within a message.
    #[display("the connection ended within a message")]
    Truncated,
    /// The head is longer than [`MAX_HEAD_BYTES`].
    #[display("the head is longer than {MAX_HEAD_BYTES} bytes")]
    TooLong,
    /// The body is longer than allowed.
    #[display("the body has {length_bytes} bytes, more than the {max_bytes} allowed")]
    BodyTooLong {
        /// The length announced, in bytes.
        length_bytes: usize,
        /// The most allowed, in bytes.
        max_bytes: usize,
    },
    /// The body's length is not announced.
    #[display("the body needs a content-length")]
    LengthRequired,
    /// The head is not HTTP/1.1.
    #[display("only HTTP/1.1 is spoken here")]
    Version,
    /// The head is malformed.
    #[display("{problem}")]
    #[error(ignore)]
    Malformed {
        /// What is wrong.
        problem: &'static str,
    },
    /// The connection failed.
    #[display("{_0}")]
    Io(io::Error),
}

/// The result of reading a message.
pub type Result<T> = std::result::Result<T, HeadError>;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyLength {
    /// This many bytes.
    Bytes(usize),
    /// Chunks, the last one empty.
    Chunked,
}

/// What a head says of its message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// The bytes of the head in the buffer.
    pub length_bytes: usize,
    /// The length of the body.
    pub body: BodyLength,
    /// Whether the connection ends after this message.
    pub is_last: bool,
    /// Whether the sender waits for `100 Continue`.
    pub expects_continue: bool,
}

/// Reads until the buffer holds a whole head.
///
/// # Errors
///
/// [`HeadError::Closed`] at the end before the first byte, [`HeadError::Truncated`] after it,
/// [`HeadError::TooLong`] beyond the bound.
pub async fn read_head<S: AsyncRead + Unpin>(
    stream: &mut S,
    buffer: &mut Vec<u8>,
) -> Result<usize> {
    let mut chunk = [0; READ_BYTES];
    loop {
        if let Some(end) = find_end(buffer) {
            return Ok(end);
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(HeadError::TooLong);
        }
        let read = stream.read(&mut chunk).await.map_err(HeadError::Io)?;
        if read == 0 {
            return Err(if buffer.is_empty() { HeadError::Closed } else { HeadError::Truncated });
        }
        buffer.extend_from_slice(&chunk[..read]);
    }
}

/// Reads until the buffer holds `length_bytes`.
///
/// # Errors
///
/// [`HeadError::Truncated`] when the connection ends before.
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

/// Checks the head of a request.
///
/// # Errors
///
/// A [`HeadError`] that says what is wrong.
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
        _ => HeadError::Malformed { problem: "the head is not HTTP" },
    })?;
    let httparse::Status::Complete(length_bytes) = parsed else {
        return Err(HeadError::Truncated);
    };
    if request.version != Some(1) {
        return Err(HeadError::Version);
    }
    if !request.path.is_some_and(|path| path.starts_with('/') && path.is_ascii()) {
        return Err(HeadError::Malformed { problem: "the target must be a path" });
    }
    let summary = Summary::of(request.headers)?;
    if summary.hosts != 1 {
        return Err(HeadError::Malformed { problem: "exactly one host header is needed" });
    }
    if summary.is_chunked {
        return Err(HeadError::LengthRequired);
    }
    Ok(Head {
        length_bytes,
        body: BodyLength::Bytes(summary.content_length.unwrap_or(0)),
        is_last: summary.is_close,
        expects_continue: summary.expects_continue,
    })
}

/// Checks the head of an answer.
///
/// # Errors
///
/// A [`HeadError`] that says what is wrong; an answer whose end can't be told is refused.
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
        .map_err(|_| HeadError::Malformed { problem: "the answer is not HTTP" })?;
    let httparse::Status::Complete(length_bytes) = parsed else {
        return Err(HeadError::Truncated);
    };
    if response.version != Some(1) {
        return Err(HeadError::Version);
    }
    let summary = Summary::of(response.headers)?;
    let body = match (response.code, summary.is_chunked, summary.content_length) {
        (Some(204 | 304), _, _) => BodyLength::Bytes(0),
        (_, true, None) => BodyLength::Chunked,
        (_, false, Some(length)) => BodyLength::Bytes(length),
        _ => return Err(HeadError::LengthRequired),
    };
    Ok(Head { length_bytes, body, is_last: summary.is_close, expects_continue: false })
}

/// Removes the `expect` header, which the decoder would answer on its own.
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

fn find_end(buffer: &[u8]) -> Option<usize> {
    let window = &buffer[..buffer.len().min(MAX_HEAD_BYTES + HEAD_END.len())];
    let at = window.windows(HEAD_END.len()).position(|part| part == HEAD_END)?;
    Some(at + HEAD_END.len())
}

#[derive(Default)]
struct Summary {
    content_length: Option<usize>,
    is_chunked: bool,
    is_close: bool,
    expects_continue: bool,
    hosts: usize,
}

impl Summary {
    fn of(headers: &[httparse::Header<'_>]) -> Result<Self> {
        let mut summary = Self::default();
        for header in headers {
            let value = std::str::from_utf8(header.value)
                .ok()
                .filter(|value| value.is_ascii())
                .ok_or(HeadError::Malformed { problem: "a header value is not ASCII" })?;
            summary.note(header.name, value.trim())?;
        }
        if summary.is_chunked && summary.content_length.is_some() {
            return Err(HeadError::Malformed {
                problem: "content-length and transfer-encoding exclude each other",
            });
        }
        Ok(summary)
    }

    fn note(&mut self, name: &str, value: &str) -> Result<()> {
        if name.eq_ignore_ascii_case("content-length") {
            return self.note_length(value);
        }
        if name.eq_ignore_ascii_case("transfer-encoding") {
            self.is_chunked = true;
        }
        if name.eq_ignore_ascii_case("connection") {
            self.is_close |= value.eq_ignore_ascii_case("close");
        }
        if name.eq_ignore_ascii_case("expect") {
            self.expects_continue = true;
        }
        if name.eq_ignore_ascii_case("host") {
            self.hosts += 1;
        }
        Ok(())
    }

    fn note_length(&mut self, value: &str) -> Result<()> {
        let is_number = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
        let length = value.parse().ok().filter(|_| is_number);
        let length =
            length.ok_or(HeadError::Malformed { problem: "content-length is no number" })?;
        if self.content_length.is_some_and(|known| known != length) {
            return Err(HeadError::Malformed { problem: "two different content lengths" });
        }
        self.content_length = Some(length);
        Ok(())
    }
}
