//! HTTP/1.1 client and server over `std`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A request as read by a server.
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

type Message = (String, Vec<(String, String)>, String);

/// Reads one message: its first line, headers and body.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 65_536];
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first = lines.next()?.to_owned();
            let headers: Vec<_> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let length = headers.iter().find(|(name, _)| name == "content-length");
            let length: usize = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
            let total = end + 4 + length;
            while buffer.len() < total {
                let read = stream.read(&mut chunk).ok().filter(|read| *read > 0)?;
                buffer.extend_from_slice(&chunk[..read]);
            }
            let rest = buffer.split_off(total);
            let message = std::mem::replace(buffer, rest);
            let body = String::from_utf8_lossy(&message[end + 4..]).into_owned();
            return Some((first, headers, body));
        }
        let read = stream.read(&mut chunk).ok().filter(|read| *read > 0)?;
        buffer.extend_from_slice(&chunk[..read]);
    }
}

/// Sends one request on a connection of its own; `None` if no whole answer comes in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let left = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
    stream.set_read_timeout(Some(left)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "host") {
        text += &format!("host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += "content-type: application/json\r\n";
    }
    text += &format!("content-length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut stream, &mut Vec::new())?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, body))
}

/// What a server does with a request.
pub enum Answer {
    Reply(u16, String),
    /// The connection is closed without an answer.
    Close,
}

/// Serves connections until the process ends. `accepted` gets each connection.
pub fn serve(
    listener: TcpListener,
    accepted: impl Fn(TcpStream) + Send + 'static,
    handle: impl Fn(Request) -> Answer + Clone + Send + 'static,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            if let Ok(clone) = stream.try_clone() {
                accepted(clone);
            }
            let handle = handle.clone();
            std::thread::spawn(move || {
                let mut buffer = Vec::new();
                while let Some((first, headers, body)) = read_message(&mut stream, &mut buffer) {
                    let mut words = first.split(' ');
                    let path = words.nth(1).unwrap_or_default().to_owned();
                    let Answer::Reply(status, body) = handle(Request { path, headers, body })
                    else {
                        return;
                    };
                    let text = format!(
                        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}
