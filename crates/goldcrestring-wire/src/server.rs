//! HTTP server with limits on head size, body size, idle time and slow clients.

use crate::head::{self, BodyLength, Head, HeadError};
use crate::http::{Headers, HttpRequest, HttpResponse};
use crate::problem::Problem;
use crate::runtime::{spawn, timeout};
use derive_more::{Display, Error, From};
use futures_lite::io::Cursor;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use goldcrestring::request::RequestOutcome;
use http_types::{Method, Response, StatusCode};
use smol::net::{TcpListener, TcpStream};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Limits of a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerSettings {
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The maximum number of concurrent connections; any further connection is closed immediately.
    pub max_connections: usize,
    /// How long a connection may be idle between two requests.
    pub idle_timeout: Duration,
    /// The timeout for receiving a head, counted from its first byte.
    pub head_timeout: Duration,
    /// The timeout for receiving the whole body.
    pub body_timeout: Duration,
    /// The timeout for sending the whole response.
    pub write_timeout: Duration,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 8 << 20,
            max_connections: 4_096,
            idle_timeout: Duration::from_secs(60),
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(20),
            write_timeout: Duration::from_secs(20),
        }
    }
}

/// Why a connection was closed.
#[derive(Debug, Display, Error, From)]
pub enum ServerError {
    /// The request's head or length was rejected.
    #[display("{_0}")]
    Head(HeadError),
    /// The HTTP library could not decode the request.
    #[display("the request can't be decoded: {_0}")]
    Decode(#[error(not(source))] http_types::Error),
    /// The connection failed.
    #[display("{_0}")]
    Io(io::Error),
    /// The client did not send the request or receive the response in time.
    #[display("the client did not send the request or receive the response in time")]
    TimedOut,
}

/// The result type of this module.
pub type Result<T> = std::result::Result<T, ServerError>;

/// The client of a connection.
#[derive(Clone, Debug)]
pub struct Peer {
    address: SocketAddr,
    stream: TcpStream,
}

impl Peer {
    /// The address of the client.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the client has neither closed nor reset the connection, as far as is known here.
    pub async fn is_connected(&self) -> bool {
        let mut byte = [0];
        let peeked = smol::future::poll_once(self.stream.peek(&mut byte)).await;
        !matches!(peeked, Some(Ok(0) | Err(_)))
    }
}

/// Accepts connections and serves each one in its own task.
///
/// A panic in the handler closes only the connection concerned.
///
/// # Errors
///
/// None; a failed `accept` is retried after 50 ms.
pub async fn serve<H, F>(
    listener: TcpListener,
    settings: ServerSettings,
    handler: H,
) -> io::Result<()>
where
    H: Fn(HttpRequest, Peer) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let settings = Arc::new(settings);
    let connections = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            // Probably out of file descriptors; retrying immediately would busy-loop.
            crate::runtime::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if connections.load(Ordering::Relaxed) >= settings.max_connections {
            drop(stream);
            continue;
        }
        connections.fetch_add(1, Ordering::Relaxed);
        let _ = stream.set_nodelay(true);
        let connection = Connection {
            peer: Peer { address, stream: stream.clone() },
            stream,
            buffer: Vec::new(),
            settings: Arc::clone(&settings),
            handler: handler.clone(),
        };
        let open_connections = Arc::clone(&connections);
        spawn(async move {
            let served = smol::future::FutureExt::catch_unwind(AssertUnwindSafe(connection.run()));
            let _ = served.await;
            open_connections.fetch_sub(1, Ordering::Relaxed);
        })
        .detach();
    }
}

struct Connection<H> {
    stream: TcpStream,
    peer: Peer,
    buffer: Vec<u8>,
    settings: Arc<ServerSettings>,
    handler: H,
}

impl<H, F> Connection<H>
where
    H: Fn(HttpRequest, Peer) -> F,
    F: Future<Output = HttpResponse>,
{
    async fn run(mut self) {
        loop {
            let (request, is_last) = match self.read_request().await {
                Ok(read) => read,
                Err(error) => {
                    self.send_error(&error).await;
                    return;
                }
            };
            let method = request.method;
            let response = (self.handler)(request, self.peer.clone()).await;
            // A process that is shutting down sets this header so that clients open a new
            // connection.
            let is_last =
                is_last || response.headers.get("connection").is_some_and(|value| value == "close");
            let written = self.write_response(response, method, is_last).await;
            if written.is_err() || is_last {
                return;
            }
        }
    }

    async fn read_request(&mut self) -> Result<(HttpRequest, bool)> {
        let head_length = self.read_head().await?;
        let head = head::check_request(&self.buffer[..head_length])?;
        let BodyLength::Bytes(body_length) = head.body else {
            return Err(HeadError::LengthRequired.into());
        };
        if body_length > self.settings.max_body_bytes {
            let max_bytes = self.settings.max_body_bytes;
            return Err(HeadError::BodyTooLong { length_bytes: body_length, max_bytes }.into());
        }
        self.continue_if_expected(&head).await?;
        let total = head.length_bytes + body_length;
        let read = head::read_until(&mut self.stream, &mut self.buffer, total);
        timeout(self.settings.body_timeout, read).await.ok_or(ServerError::TimedOut)??;
        let remainder = self.buffer.split_off(total);
        let message = std::mem::replace(&mut self.buffer, remainder);
        let request = decode(message, &head).await?;
        Ok((request, head.is_last))
    }

    async fn read_head(&mut self) -> Result<usize> {
        if self.buffer.is_empty() {
            let read = head::read_available(&mut self.stream, &mut self.buffer);
            match timeout(self.settings.idle_timeout, read).await {
                None | Some(Ok(0)) => return Err(HeadError::Closed.into()),
                Some(Ok(_)) => {}
                Some(Err(error)) => return Err(error.into()),
            }
        }
        let read = head::read_head(&mut self.stream, &mut self.buffer);
        Ok(timeout(self.settings.head_timeout, read).await.ok_or(ServerError::TimedOut)??)
    }

    async fn continue_if_expected(&mut self, head: &Head) -> Result<()> {
        if head.expects_continue {
            let write = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
            timeout(self.settings.write_timeout, write).await.ok_or(ServerError::TimedOut)??;
        }
        Ok(())
    }

    async fn write_response(
        &mut self,
        response: HttpResponse,
        method: Method,
        is_last: bool,
    ) -> Result<()> {
        let bytes = encode(response, method, is_last).await?;
        let write = self.stream.write_all(&bytes);
        timeout(self.settings.write_timeout, write).await.ok_or(ServerError::TimedOut)??;
        Ok(())
    }

    async fn send_error(&mut self, error: &ServerError) {
        let Some((status, kind)) = status_and_kind(error) else {
            return;
        };
        let problem = Problem::new(status, kind, error.to_string());
        let response = problem.outcome(RequestOutcome::NotRun).to_response();
        if self.write_response(response, Method::Get, true).await.is_ok() {
            self.drain().await;
        }
    }

    /// Reads and discards input for a short time: closing a socket with unread data resets the
    /// connection, and the client could lose the response.
    async fn drain(&mut self) {
        const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
        let discard = async {
            let discarded = &mut self.buffer;
            while matches!(head::read_available(&mut self.stream, discarded).await, Ok(1..)) {
                discarded.clear();
            }
        };
        timeout(DRAIN_TIMEOUT, discard).await;
    }
}

const fn status_and_kind(error: &ServerError) -> Option<(u16, &'static str)> {
    match error {
        ServerError::Io(_) | ServerError::Head(HeadError::Closed | HeadError::Io(_)) => None,
        ServerError::Head(HeadError::Truncated) => Some((400, "cut-short")),
        ServerError::Head(HeadError::TooLong) => Some((431, "head-too-long")),
        ServerError::Head(HeadError::BodyTooLong { .. }) => Some((413, "body-too-long")),
        ServerError::Head(HeadError::LengthRequired) => Some((411, "length-required")),
        ServerError::Head(HeadError::Version) => Some((505, "http-version")),
        ServerError::Head(HeadError::Malformed { .. }) | ServerError::Decode(_) => {
            Some((400, "malformed-request"))
        }
        ServerError::TimedOut => Some((408, "too-slow")),
    }
}

async fn decode(message: Vec<u8>, head: &Head) -> Result<HttpRequest> {
    let message = if head.expects_continue {
        let mut kept = head::without_expect(&message[..head.length_bytes]);
        kept.extend_from_slice(&message[head.length_bytes..]);
        kept
    } else {
        message
    };
    // Boxed, as the decoder's future has room for 128 headers.
    let decoded = Box::pin(async_h1::server::decode(Cursor::new(message))).await?;
    let Some((mut request, _)) = decoded else {
        return Err(HeadError::Truncated.into());
    };
    let body = request.body_bytes().await?;
    let headers = collect_headers(request.iter());
    let query =
        request.url().query_pairs().map(|(name, value)| (name.into_owned(), value.into_owned()));
    Ok(HttpRequest {
        method: request.method(),
        path: request.url().path().to_owned(),
        query: query.collect(),
        headers,
        body,
    })
}

async fn encode(response: HttpResponse, method: Method, is_last: bool) -> Result<Vec<u8>> {
    let status = StatusCode::try_from(response.status).unwrap_or(StatusCode::InternalServerError);
    let mut raw = Response::new(status);
    raw.set_body(response.body);
    if !response.headers.contains_key("content-type") {
        raw.remove_header("content-type");
    }
    for (name, value) in &response.headers {
        raw.insert_header(name.as_str(), value.as_str());
    }
    if is_last {
        raw.insert_header("connection", "close");
    }
    let mut bytes = Vec::new();
    async_h1::server::Encoder::new(raw, method).read_to_end(&mut bytes).await?;
    Ok(bytes)
}

/// Collects headers by lower-case name; multiple values of one name are joined with commas.
pub(crate) fn collect_headers<'a>(
    headers: impl Iterator<
        Item = (&'a http_types::headers::HeaderName, &'a http_types::headers::HeaderValues),
    >,
) -> Headers {
    let text = |values: &http_types::headers::HeaderValues| {
        values.iter().map(http_types::headers::HeaderValue::as_str).collect::<Vec<_>>().join(",")
    };
    headers.map(|(name, values)| (name.as_str().to_owned(), text(values))).collect()
}
