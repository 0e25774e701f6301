//! Minimal HTTP/1.1 for stand-ins: heads, bodies with a length or in chunks.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

pub struct Head {
    /// Request line or status line.
    pub first: String,
    headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, n: usize) -> &str {
        self.first.split(' ').nth(n).unwrap_or("")
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }

    pub fn closes(&self) -> bool {
        self.get("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, text.to_owned())
}

/// A channel with buffered reading.
pub struct Channel {
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { reader: BufReader::new(stream) }
    }

    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&to, Duration::from_secs(1))?))
    }

    pub fn set_read_timeout(&self, limit: Duration) {
        let _ = self.reader.get_ref().set_read_timeout(Some(limit.max(Duration::from_millis(1))));
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(broken("closed"));
        }
        if !line.ends_with('\n') {
            return Err(broken("closed inside a line"));
        }
        Ok(line.trim_end().to_owned())
    }

    pub fn read_head(&mut self) -> io::Result<Head> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Head { first, headers });
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the whole body of a request, or of a response that has a length or chunks.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if head.is_chunked() {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(&size, 16).map_err(|_| broken("chunk size"))?;
                let start = body.len();
                body.resize(start + size, 0);
                self.reader.read_exact(&mut body[start..])?;
                self.line()?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        body.resize(head.length().unwrap_or(0), 0);
        self.reader.read_exact(&mut body)?;
        Ok(body)
    }
}

/// A response with a body of known length.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
