//! A small part of HTTP/1.1, as servers and clients of the platform speak it.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Head fields in the order of their arrival, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.0.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    fn read(from: &mut impl BufRead) -> io::Result<Self> {
        let mut headers = Self::default();
        loop {
            let line = read_line(from)?;
            if line.is_empty() {
                return Ok(headers);
            }
            if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_ascii_lowercase();
                headers.0.push((name, value.trim().to_owned()));
            }
        }
    }
}

/// Request as a server receives it.
#[derive(Clone, Debug)]
pub struct Request {
    pub target: String,
    pub headers: Headers,
}

impl Request {
    /// Reads the next request of a connection; `None` if the peer has closed it.
    pub fn read(from: &mut BufReader<TcpStream>) -> io::Result<Option<Self>> {
        if from.fill_buf()?.is_empty() {
            return Ok(None);
        }
        let line = read_line(from)?;
        let target = line.split(' ').nth(1).unwrap_or("");
        let headers = Headers::read(from)?;
        read_body(from, &headers, false)?;
        Ok(Some(Self {
            target: target.to_owned(),
            headers,
        }))
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Value of a field of the query.
    pub fn query(&self, name: &str) -> &str {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map_or("", |(_, value)| value)
    }
}

/// Answer as a client receives it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
}

/// Sends one request on a new connection and reads the answer; fails if no head arrives.
pub fn call(to: SocketAddr, head: &str, body: &[u8], limit: Duration) -> io::Result<Answer> {
    let deadline = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let mut from = BufReader::new(stream);
    let line = read_line(&mut from)?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or_else(|| io::Error::other(format!("no status line: {line:?}")))?;
    let headers = Headers::read(&mut from)?;
    let left = deadline.saturating_duration_since(Instant::now());
    from.get_ref()
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let body = read_body(&mut from, &headers, true);
    let is_whole = body.is_ok();
    Ok(Answer {
        status,
        body: body.unwrap_or_default(),
        is_whole,
    })
}

fn read_line(from: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_body(from: &mut impl BufRead, headers: &Headers, is_answer: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some() {
        loop {
            let line = read_line(from)?;
            let len = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16);
            let len = len.map_err(io::Error::other)?;
            let start = body.len();
            body.resize(start + len, 0);
            from.read_exact(&mut body[start..])?;
            read_line(from)?;
            if len == 0 {
                return Ok(body);
            }
        }
    }
    match headers
        .get("content-length")
        .and_then(|len| len.parse().ok())
    {
        Some(len) => {
            body.resize(len, 0);
            from.read_exact(&mut body)?;
        }
        None if is_answer => {
            from.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}
