//! The calling end of HTTP: pooled connections, and errors that say whether a request left.

use crate::head::{self, BodyLength, HeadError};
use crate::http::{HttpRequest, HttpResponse};
use crate::runtime::timeout;
use crate::server::collect_headers;
use derive_more::{Display, Error};
use futures_lite::io::Cursor;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use http_types::{Request, Url};
use rustix::net::sockopt;
use smol::net::TcpStream;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Why a call brought no answer.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// No byte of the request left, so nobody can have acted on it.
    #[display("not sent to {address}: {problem}")]
    NotSent {
        /// The address called.
        address: SocketAddr,
        /// What went wrong.
        problem: String,
    },
    /// Bytes of the request left, and no whole answer came.
    #[display("no whole answer from {address}: {problem}")]
    NoResponse {
        /// The address called.
        address: SocketAddr,
        /// What went wrong.
        problem: String,
    },
}

impl CallError {
    /// Whether nobody can have acted on the request.
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }
}

/// The result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// Whether a call may use a connection that served an earlier one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// A pooled connection may be used; the far end may have closed it meanwhile.
    Allowed,
    /// A new connection is opened, so that a refusal to connect proves that nothing was sent.
    Never,
}

/// Bounds of a client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientSettings {
    /// The longest body of an answer, in bytes.
    pub max_body_bytes: usize,
    /// The longest time that opening a connection may take.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept.
    pub idle_timeout: Duration,
    /// The most idle connections kept for one address.
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

struct Idle {
    stream: TcpStream,
    since: Instant,
}

/// Makes calls and keeps their connections.
///
/// # Examples
///
/// ```
/// use goldcrestring_wire::client::{Client, Reuse};
/// use goldcrestring_wire::http::{HttpRequest, Method};
/// use std::time::Duration;
///
/// let nobody = "127.0.0.1:1".parse()?;
/// let request = HttpRequest::new(Method::Get, "/healthz");
/// let client = Client::default();
/// let answer = client.call(nobody, request, Duration::from_secs(1), Reuse::Allowed);
/// assert!(smol::block_on(answer).is_err_and(|error| error.is_not_sent()));
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Default)]
pub struct Client {
    settings: ClientSettings,
    idle: Mutex<BTreeMap<SocketAddr, Vec<Idle>>>,
}

impl Client {
    /// A client without connections.
    pub const fn new(settings: ClientSettings) -> Self {
        Self { settings, idle: Mutex::new(BTreeMap::new()) }
    }

    /// Sends a request and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] when no byte left, else [`CallError::NoResponse`].
    pub async fn call(
        &self,
        address: SocketAddr,
        request: HttpRequest,
        time: Duration,
        reuse: Reuse,
    ) -> Result<HttpResponse> {
        let not_sent = |problem: String| CallError::NotSent { address, problem };
        let lost = |problem: String| CallError::NoResponse { address, problem };
        let started = Instant::now();
        let bytes = encode(address, request).await.map_err(|error| not_sent(error.to_string()))?;
        let mut stream = match self.reusable(address).filter(|_| reuse == Reuse::Allowed) {
            Some(stream) => stream,
            None => {
                self.connect(address, time).await.map_err(|error| not_sent(error.to_string()))?
            }
        };
        let rest = time.saturating_sub(started.elapsed());
        let answered = timeout(rest, self.exchange(&mut stream, &bytes)).await;
        let answered = match answered {
            Some(Ok(answered)) => Ok(answered),
            Some(Err(error)) => Err(error.to_string()),
            None => Err("timeout".to_owned()),
        };
        let (response, is_last) = answered.map_err(|problem| {
            reset(&stream);
            lost(problem)
        })?;
        if !is_last {
            self.keep(address, stream);
        }
        Ok(response)
    }

    async fn connect(&self, address: SocketAddr, time: Duration) -> io::Result<TcpStream> {
        let time = time.min(self.settings.connect_timeout);
        let connected = timeout(time, TcpStream::connect(address)).await;
        let stream = connected.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
        stream.set_nodelay(true)?;
        let unsent_ms = u32::try_from(UNSENT_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
        sockopt::set_tcp_user_timeout(&stream, unsent_ms)?;
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
                // Bytes beyond the answer belong to nothing that was asked for.
                let is_last = head.is_last || buffer.len() > total;
                buffer.truncate(total);
                Ok((decode(Cursor::new(buffer)).await?, is_last))
            }
            BodyLength::Chunked => {
                let joined = Joined { first: Cursor::new(buffer), then: stream.clone() };
                Ok((decode(joined).await?, true))
            }
        }
    }

    /// Drops the idle connections to an address, which may have gone silent.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    fn reusable(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        while let Some(candidate) = connections.pop() {
            let is_fresh = candidate.since.elapsed() < self.settings.idle_timeout;
            if is_fresh && is_silent(&candidate.stream) {
                return Some(candidate.stream);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < self.settings.max_idle {
            connections.push(Idle { stream, since: Instant::now() });
        }
    }
}

/// How long bytes may be under way without a sign of the far end before the connection is given up.
///
/// A partition holds them up; without a bound they would arrive when it heals, long after the
/// process that sent them has died.
const UNSENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Gives a connection up so that bytes held up on their way never arrive.
fn reset(stream: &TcpStream) {
    // Closed in the usual way, the system would go on delivering the request. A socket that takes no
    // such option is one that is gone already.
    let _ = sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}

/// Whether the far end has neither sent anything nor closed the connection.
fn is_silent(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    let peek = stream.peek(&mut byte);
    smol::block_on(smol::future::poll_once(peek)).is_none()
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
    const PROBLEM: HeadError = HeadError::Malformed { problem: "the answer can't be decoded" };
    let mut response = async_h1::client::decode(reader).await.map_err(|_| PROBLEM)?;
    let body = response.body_bytes().await.map_err(|_| HeadError::Truncated)?;
    let headers = collect_headers(response.iter());
    Ok(HttpResponse { status: response.status().into(), headers, body })
}

/// Bytes already read, followed by the rest of the stream.
struct Joined {
    first: Cursor<Vec<u8>>,
    then: TcpStream,
}

impl AsyncRead for Joined {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.first).poll_read(context, buffer) {
            Poll::Ready(Ok(0)) => Pin::new(&mut self.then).poll_read(context, buffer),
            read => read,
        }
    }
}
