//! HTTP client with pooled connections and errors that tell whether a request was sent.

use crate::head::{self, BodyLength, HeadError};
use crate::http::{HttpRequest, HttpResponse};
use crate::runtime::timeout;
use crate::server::collect_headers;
use derive_more::{Display, Error};
use futures_lite::io::Cursor;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use http_types::{Request, Url};
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv, sockopt};
use smol::net::TcpStream;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Why a call failed.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// No byte of the request was sent, so no server can have processed it.
    #[display("not sent to {address}: {problem}")]
    NotSent {
        /// The server's address.
        address: SocketAddr,
        /// The cause of the failure.
        problem: String,
    },
    /// No byte of the request was sent, as it was withdrawn before.
    #[display("withdrawn before it was sent to {address}")]
    Withdrawn {
        /// The server's address.
        address: SocketAddr,
    },
    /// At least part of the request was sent, but no complete response arrived.
    #[display("no complete response from {address}: {problem}")]
    NoResponse {
        /// The server's address.
        address: SocketAddr,
        /// The cause of the failure.
        problem: String,
    },
}

impl CallError {
    /// Whether no server can have processed the request.
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::Withdrawn { .. })
    }
}

/// The result type of this module.
pub type Result<T> = std::result::Result<T, CallError>;

/// Whether a call may use a pooled connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// A pooled connection may be used; the peer may already have closed it.
    Allowed,
    /// A new connection is opened, so that a refused connection proves that nothing was sent.
    Never,
}

/// Limits of a client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientSettings {
    /// The maximum size of a response body, in bytes.
    pub max_body_bytes: usize,
    /// The timeout for opening a connection.
    pub connect_timeout: Duration,
    /// How long an idle connection stays in the pool.
    pub idle_timeout: Duration,
    /// The maximum number of idle connections per address.
    pub max_idle: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 64 << 20,
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(20),
            max_idle: 64,
        }
    }
}

struct IdleConnection {
    stream: TcpStream,
    since: Instant,
}

/// HTTP client with a connection pool per address.
///
/// # Examples
///
/// ```
/// use goldcrestring_wire::client::{Client, Reuse};
/// use goldcrestring_wire::http::{HttpRequest, Method};
/// use std::time::Duration;
///
/// let unreachable = "127.0.0.1:1".parse()?;
/// let request = HttpRequest::new(Method::Get, "/healthz");
/// let client = Client::default();
/// let response = client.call(unreachable, request, Duration::from_secs(1), Reuse::Allowed);
/// assert!(smol::block_on(response).is_err_and(|error| error.is_not_sent()));
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Default)]
pub struct Client {
    settings: ClientSettings,
    idle: Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
}

impl Client {
    /// Creates a client with an empty connection pool.
    pub const fn new(settings: ClientSettings) -> Self {
        Self { settings, idle: Mutex::new(BTreeMap::new()) }
    }

    /// Sends a request and waits for the complete response.
    ///
    /// `time_limit` covers the whole call, including opening a connection.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] if no byte was sent, otherwise [`CallError::NoResponse`].
    pub async fn call(
        &self,
        address: SocketAddr,
        request: HttpRequest,
        time_limit: Duration,
        reuse: Reuse,
    ) -> Result<HttpResponse> {
        self.call_while(address, request, time_limit, reuse, || true).await
    }

    /// Like [`Self::call`], unless `may_send` returns `false` right before the first byte is sent.
    ///
    /// Opening a connection takes time, in which the process may be suspended and the permission to
    /// make the call may run out.
    ///
    /// # Errors
    ///
    /// Also [`CallError::Withdrawn`] if the call may no longer be made.
    pub async fn call_while(
        &self,
        address: SocketAddr,
        request: HttpRequest,
        time_limit: Duration,
        reuse: Reuse,
        may_send: impl Fn() -> bool,
    ) -> Result<HttpResponse> {
        let not_sent = |problem: String| CallError::NotSent { address, problem };
        let no_response = |problem: String| CallError::NoResponse { address, problem };
        let started = Instant::now();
        let bytes = encode(address, request).await.map_err(|error| not_sent(error.to_string()))?;
        let mut stream = match self.take_idle(address).filter(|_| reuse == Reuse::Allowed) {
            Some(stream) => stream,
            None => self
                .connect(address, time_limit)
                .await
                .map_err(|error| not_sent(error.to_string()))?,
        };
        if !may_send() {
            self.return_idle(address, stream);
            return Err(CallError::Withdrawn { address });
        }
        let remaining = time_limit.saturating_sub(started.elapsed());
        let exchanged = timeout(remaining, self.exchange(&mut stream, &bytes)).await;
        let exchanged = match exchanged {
            Some(Ok(exchanged)) => Ok(exchanged),
            Some(Err(error)) => Err(error.to_string()),
            None => Err("timed out".to_owned()),
        };
        let (response, is_last) = exchanged.map_err(|problem| {
            reset(&stream);
            no_response(problem)
        })?;
        if !is_last {
            self.return_idle(address, stream);
        }
        Ok(response)
    }

    async fn connect(&self, address: SocketAddr, time_limit: Duration) -> io::Result<TcpStream> {
        let time_limit = time_limit.min(self.settings.connect_timeout);
        let connected = timeout(time_limit, TcpStream::connect(address)).await;
        let stream = connected.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
        stream.set_nodelay(true)?;
        let unacknowledged_ms =
            u32::try_from(UNACKNOWLEDGED_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
        sockopt::set_tcp_user_timeout(&stream, unacknowledged_ms)?;
        Ok(stream)
    }

    async fn exchange(
        &self,
        stream: &mut TcpStream,
        request: &[u8],
    ) -> std::result::Result<(HttpResponse, bool), HeadError> {
        stream.write_all(request).await.map_err(HeadError::Io)?;
        let mut buffer = Vec::new();
        let head_length = head::read_head(stream, &mut buffer).await?;
        let head = head::check_response(&buffer[..head_length])?;
        match head.body {
            BodyLength::Bytes(length_bytes) => {
                let max_bytes = self.settings.max_body_bytes;
                if length_bytes > max_bytes {
                    return Err(HeadError::BodyTooLong { length_bytes, max_bytes });
                }
                let total = head.length_bytes + length_bytes;
                head::read_until(stream, &mut buffer, total).await?;
                // Bytes after the response belong to no request, so the connection can't be reused.
                let is_last = head.is_last || buffer.len() > total;
                buffer.truncate(total);
                Ok((decode(Cursor::new(buffer)).await?, is_last))
            }
            BodyLength::Chunked => {
                let reader = PrefixedReader { prefix: Cursor::new(buffer), stream: stream.clone() };
                Ok((decode(reader).await?, true))
            }
        }
    }

    /// Closes all idle connections to an address, for example because its server may be
    /// unreachable.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        while let Some(candidate) = connections.pop() {
            let is_fresh = candidate.since.elapsed() < self.settings.idle_timeout;
            if is_fresh && has_no_pending_input(&candidate.stream) {
                return Some(candidate.stream);
            }
        }
        None
    }

    fn return_idle(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < self.settings.max_idle {
            connections.push(IdleConnection { stream, since: Instant::now() });
        }
    }
}

/// How long sent data may stay unacknowledged before the connection is closed (`TCP_USER_TIMEOUT`).
///
/// Without this limit, data held back by a network partition would be delivered once it heals,
/// possibly long after the sending process has died.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Resets a connection, which discards data that is not yet delivered.
fn reset(stream: &TcpStream) {
    // After an ordinary close the kernel would keep trying to deliver the request. Setting the
    // option fails only on a socket that is already closed.
    let _ = sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}

/// Whether the peer has neither sent data nor closed the connection.
fn has_no_pending_input(stream: &TcpStream) -> bool {
    // Asks the kernel directly: waiting through the reactor registers interest in the socket and wakes
    // the reactor's thread, with each call.
    let mut byte = [0; 1];
    let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
    recv(stream, &mut byte, flags).is_err_and(|error| error == Errno::WOULDBLOCK)
}

async fn encode(
    address: SocketAddr,
    request: HttpRequest,
) -> std::result::Result<Vec<u8>, http_types::Error> {
    let mut url = Url::parse(&format!("http://{address}{}", request.path))?;
    if !request.query.is_empty() {
        url.query_pairs_mut().extend_pairs(&request.query);
    }
    let mut raw = Request::new(request.method, url);
    raw.set_body(request.body);
    if !request.headers.contains_key("content-type") {
        raw.remove_header("content-type");
    }
    for (name, value) in &request.headers {
        raw.insert_header(name.as_str(), value.as_str());
    }
    let mut bytes = Vec::new();
    async_h1::client::Encoder::new(raw).read_to_end(&mut bytes).await?;
    Ok(bytes)
}

async fn decode<R>(reader: R) -> std::result::Result<HttpResponse, HeadError>
where
    R: AsyncRead + Send + Sync + Unpin + 'static,
{
    const PROBLEM: HeadError = HeadError::Malformed { problem: "the response can't be decoded" };
    // Boxed, as the decoder's future has room for 128 headers.
    let mut response = Box::pin(async_h1::client::decode(reader)).await.map_err(|_| PROBLEM)?;
    let body = response.body_bytes().await.map_err(|_| HeadError::Truncated)?;
    let headers = collect_headers(response.iter());
    Ok(HttpResponse { status: response.status().into(), headers, body })
}

/// Reader over the bytes already read, followed by the rest of the stream.
struct PrefixedReader {
    prefix: Cursor<Vec<u8>>,
    stream: TcpStream,
}

impl AsyncRead for PrefixedReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.prefix).poll_read(context, buffer) {
            Poll::Ready(Ok(0)) => Pin::new(&mut self.stream).poll_read(context, buffer),
            read => read,
        }
    }
}
