//! The part of HTTP/1.1 that the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Head of a request.
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// How a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole response arrived.
    Complete,
    /// The connection ended inside the response.
    Broken,
    /// The connection ended before a byte of the response.
    ClosedWithoutAnswer,
    /// Nothing more arrived until the time limit.
    TimedOut,
    /// The connection could not be opened.
    NoConnection,
}

/// What a client saw of the answer to one request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    pub end: End,
}

impl Answer {
    fn without_head(end: End) -> Self {
        Self {
            status: 0,
            body: Vec::new(),
            end,
        }
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut headers = headers.iter();
    headers
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

fn parse_head(head: &[u8]) -> (String, Vec<(String, String)>) {
    let text = String::from_utf8_lossy(head).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()));
    (first, headers.collect())
}

fn head_end(buf: &[u8]) -> Option<usize> {
    buf.windows(4).position(|w| w == b"\r\n\r\n")
}

/// Reads more bytes; `false` at the end of the stream or after an error.
fn fill(stream: &mut TcpStream, buf: &mut Vec<u8>) -> bool {
    let mut chunk = [0; 16_384];
    match stream.read(&mut chunk) {
        Ok(n) if n > 0 => {
            buf.extend_from_slice(&chunk[..n]);
            true
        }
        _ => false,
    }
}

/// Reads the next request of a connection; `None` when the peer has closed it.
pub fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Request> {
    let (req, len) = read_request_head(stream, buf)?;
    while buf.len() < len {
        if !fill(stream, buf) {
            return None;
        }
    }
    buf.drain(..len);
    Some(req)
}

/// Reads the head of the next request of a connection; also returns the length of its body.
pub fn read_request_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<(Request, usize)> {
    let end = loop {
        if let Some(end) = head_end(buf) {
            break end;
        }
        if !fill(stream, buf) {
            return None;
        }
    };
    let (first, headers) = parse_head(&buf[..end]);
    buf.drain(..end + 4);
    let len = find_header(&headers, "content-length").and_then(|len| len.parse().ok());
    let path = first.split(' ').nth(1)?.to_owned();
    Some((Request { path, headers }, len.unwrap_or(0)))
}

/// Writes a response with a length.
pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Bytes of a request.
pub fn request_bytes(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Opens a connection.
pub fn connect(to: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Sends one request on a new connection and reads its answer until `limit` has passed.
pub fn call(to: SocketAddr, request: &[u8], limit: Duration) -> Answer {
    match connect(to) {
        Some(mut stream) => call_on(&mut stream, request, limit),
        None => Answer::without_head(End::NoConnection),
    }
}

/// Sends one request on an open connection and reads its answer until `limit` has passed.
pub fn call_on(stream: &mut TcpStream, request: &[u8], limit: Duration) -> Answer {
    if stream.write_all(request).is_err() {
        return Answer::without_head(End::ClosedWithoutAnswer);
    }
    read_answer(stream, Instant::now() + limit)
}

/// Reads an answer until `deadline`.
pub fn read_answer(stream: &mut TcpStream, deadline: Instant) -> Answer {
    let mut buf = Vec::new();
    let mut head: Option<(u16, Vec<(String, String)>)> = None;
    loop {
        if head.is_none()
            && let Some(end) = head_end(&buf)
        {
            let (first, headers) = parse_head(&buf[..end]);
            buf.drain(..end + 4);
            let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
            head = Some((status.unwrap_or(0), headers));
        }
        if let Some((status, headers)) = &head
            && let Some(body) = complete_body(headers, &buf)
        {
            return Answer {
                status: *status,
                body,
                end: End::Complete,
            };
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        let mut chunk = [0; 16_384];
        let end = match stream.read(&mut chunk) {
            Ok(n) if n > 0 => {
                buf.extend_from_slice(&chunk[..n]);
                continue;
            }
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                if !left.is_zero() {
                    continue;
                }
                End::TimedOut
            }
            _ if head.is_none() && buf.is_empty() => End::ClosedWithoutAnswer,
            _ => End::Broken,
        };
        let (status, _) = head.unwrap_or_default();
        return Answer {
            status,
            body: buf,
            end,
        };
    }
}

/// The body, once all of it has arrived.
fn complete_body(headers: &[(String, String)], buf: &[u8]) -> Option<Vec<u8>> {
    if let Some(len) = find_header(headers, "content-length") {
        let len: usize = len.parse().ok()?;
        return (buf.len() >= len).then(|| buf[..len].to_vec());
    }
    let mut body = Vec::new();
    let mut rest = buf;
    loop {
        let line_end = rest.windows(2).position(|w| w == b"\r\n")?;
        let len = usize::from_str_radix(std::str::from_utf8(&rest[..line_end]).ok()?, 16).ok()?;
        let data = rest.get(line_end + 2..line_end + 2 + len)?;
        rest = rest.get(line_end + 2 + len + 2..)?;
        if len == 0 {
            return Some(body);
        }
        body.extend_from_slice(data);
    }
}
