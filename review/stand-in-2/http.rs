//! Minimal HTTP/1.1 over TCP: one request per connection for clients, keep-alive for servers.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// In place of a status: the connection ends without an answer.
pub const NO_ANSWER: u16 = 0;

/// A request as a stand-in server sees it.
#[derive(Clone)]
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// A header by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// Sends one request and returns the status and the body of the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str("Content-Type: application/json\r\n");
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes())?;
    let mut buffer = Vec::new();
    let (head, body) = read_message(&mut stream, &mut buffer)?
        .ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))?;
    Ok((status, body))
}

/// Serves requests on a thread for each connection until the process ends.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(Request) -> (u16, Vec<u8>) + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
}

fn serve_connection<H>(mut stream: TcpStream, handler: &H) -> io::Result<()>
where
    H: Fn(Request) -> (u16, Vec<u8>),
{
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some((head, body)) = read_message(&mut stream, &mut buffer)? {
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default();
        let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        let (status, answer) = handler(Request { path, headers: headers.collect(), body });
        if status == NO_ANSWER {
            return Ok(());
        }
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            answer.len()
        );
        stream.write_all(&[head.as_bytes(), &answer].concat())?;
    }
    Ok(())
}

/// Reads the head and the body of one message; `None` at the end of the connection.
fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<(String, String)>> {
    let mut chunk = [0; 16_384];
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = head
                .split("\r\n")
                .filter_map(|line| line.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.trim().parse().ok())
                .unwrap_or(0);
            let total = end + 4 + length;
            while buffer.len() < total {
                match stream.read(&mut chunk)? {
                    0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                    count => buffer.extend_from_slice(&chunk[..count]),
                }
            }
            let body = String::from_utf8_lossy(&buffer[end + 4..total]).into_owned();
            buffer.drain(..total);
            return Ok(Some((head, body)));
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

/// The number in a field of a flat JSON text.
pub fn number(text: &str, field: &str) -> Option<u64> {
    let rest = after(text, field)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// The text in a field of a flat JSON text; the stand-ins use no escapes.
pub fn text(text: &str, field: &str) -> Option<String> {
    let rest = after(text, field)?.strip_prefix('"')?;
    Some(rest.split('"').next()?.to_owned())
}

fn after<'a>(text: &'a str, field: &str) -> Option<&'a str> {
    let key = format!("\"{field}\":");
    let at = text.find(&key)?;
    Some(text[at + key.len()..].trim_start())
}
