//! Engines: they register themselves in the store, and answer requests, health checks, reports and orders.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Channel, Head, response},
    record::Record,
    store::Store,
};

/// How often an engine writes its entry.
const BEAT: Duration = Duration::from_millis(1_200);

/// A request that an engine has run.
#[derive(Clone)]
pub struct Run {
    pub request: String,
    pub tenant: String,
    pub engine: String,
}

pub struct Engine {
    pub id: String,
    service: &'static str,
    zone: &'static str,
    slots: u32,
    pub addr: SocketAddr,
    born: u128,
    seq: AtomicU64,
    running: AtomicU32,
    /// Answers to streams begin with a failure and never end.
    pub endless: AtomicBool,
    pub runs: Mutex<Vec<Run>>,
    record: Record,
}

impl Engine {
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        slots: u32,
        store: &Store,
        record: &Record,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let engine = Arc::new(Self {
            id: id.to_owned(),
            service,
            zone,
            slots,
            addr: listener.local_addr()?,
            born: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis()),
            seq: AtomicU64::new(0),
            running: AtomicU32::new(0),
            endless: AtomicBool::new(false),
            runs: Mutex::default(),
            record: record.clone(),
        });
        let serving = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = Arc::clone(&serving);
                thread::spawn(move || engine.serve(Channel::new(stream)));
            }
        });
        let (beating, store) = (Arc::clone(&engine), store.clone());
        beating.register(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(BEAT);
                beating.register(&store);
            }
        });
        Ok(engine)
    }

    fn register(&self, store: &Store) {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed);
        let Self { id, service, addr, zone, slots, born, .. } = self;
        let entry = format!(
            "{{\"service\":\"{service}\",\"addr\":\"{addr}\",\"zone\":\"{zone}\",\"version\":1,\"slots\":{slots},\
             \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{born}}}"
        );
        store.put(&format!("servers/{id}"), &entry);
    }

    fn serve(&self, mut channel: Channel) {
        while let Ok(head) = channel.read_head() {
            if channel.read_body(&head).is_err() || self.answer(&head, &mut channel).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, channel: &mut Channel) -> std::io::Result<()> {
        let (method, path) = (head.word(0), head.word(1));
        let load = format!("X-Engine-Load: {},0,{}\r\n", self.running.load(Ordering::Relaxed), self.slots);
        if path == "/healthz" {
            let headers = format!("X-Instance-Id: {}\r\n{load}", self.id);
            return channel.write(&response("200 OK", &headers, b"ok"));
        }
        if path == "/v1/report" {
            let body = format!("{{\"stage\":\"hybrid\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
                \"seq\":0,\"queued\":0,\"active\":{},\"kvUsed\":0,\"kvTotal\":232000,\"handles\":0,\"pace\":1,\"tickets\":[],\"born\":{}}}",
                self.running.load(Ordering::Relaxed), self.born);
            return channel.write(&response("200 OK", "Content-Type: application/json\r\n", body.as_bytes()));
        }
        if path == "/v1/order" {
            return channel.write(&response("200 OK", "Content-Type: application/json\r\n", b"{\"avail\":232000}"));
        }
        let request = head.get("x-request-id").unwrap_or("").to_owned();
        let echo = format!("X-Request-Id: {request}\r\n");
        if request.is_empty() {
            return channel.write(&response("400 Bad Request", "X-Not-Run: 1\r\n", b""));
        }
        if head.get("x-expect-instance").is_some_and(|id| id != self.id) {
            let headers = format!("{echo}X-Instance-Id: {}\r\n", self.id);
            return channel.write(&response("421 Misdirected Request", &headers, b""));
        }
        if self.running.load(Ordering::Relaxed) >= self.slots {
            return channel.write(&response("503 Service Unavailable", &format!("{echo}X-Not-Run: 1\r\n{load}"), b""));
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        let tenant = head.get("x-tenant").unwrap_or("").to_owned();
        self.record.line(&format!("  engine {} runs {method} {path} {request} tenant {tenant}", self.id));
        let run = Run { request: request.clone(), tenant, engine: self.id.clone() };
        self.runs.lock().unwrap().push(run);
        let headers = format!("{echo}X-Engine-Stamp: {}.{request}\r\n{load}", self.id);
        let answered = if path.starts_with("/stream/") {
            self.stream(head, &headers, channel)
        } else {
            thread::sleep(Duration::from_millis(15));
            channel.write(&response("200 OK", &headers, &[b'x'; 800]))
        };
        self.running.fetch_sub(1, Ordering::Relaxed);
        answered
    }

    /// Sends the pieces of a stream, behind the last that the caller has. A pass of the engine takes some 45 ms.
    fn stream(&self, head: &Head, headers: &str, channel: &mut Channel) -> std::io::Result<()> {
        if self.endless.load(Ordering::Relaxed) {
            return self.endless_answer(headers, channel);
        }
        let pieces: u64 = head.get("x-token-count").and_then(|t| t.split_once(',')?.1.parse::<u64>().ok()).unwrap_or(43) / 43;
        let first = head.get("last-event-id").and_then(|id| id.parse::<u64>().ok()).unwrap_or(0) + 1;
        channel.write(
            format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{headers}Transfer-Encoding: chunked\r\n\r\n").as_bytes(),
        )?;
        let prompt: f64 = head.get("x-token-count").and_then(|t| t.split_once(',')?.0.parse().ok()).unwrap_or(0.0);
        // Helpers read even parts of the prompt at the same time; a list that begins with a ticket of the first engine
        // names that one as well.
        let helpers = head.get("x-helpers").map_or(0, |list| list.split(',').filter(|h| !h.starts_with(&self.addr.to_string())).count());
        let read_ms = (prompt / 206.0 + 0.138 * prompt * prompt / 2e6) / (1 + helpers) as f64;
        thread::sleep(Duration::from_secs_f64(read_ms / 1e3));
        for id in first..=pieces {
            thread::sleep(Duration::from_millis(45));
            let event = format!("id: {id}\ndata: {}\n\n", "p".repeat(65));
            channel.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        channel.write(b"0\r\n\r\n")
    }

    /// Bytes that are no answer, without end, until the caller closes.
    fn endless_answer(&self, headers: &str, channel: &mut Channel) -> std::io::Result<()> {
        channel.write(format!("HTTP/1.1 500 Internal Server Error\r\n{headers}Transfer-Encoding: chunked\r\n\r\n").as_bytes())?;
        let bytes = b"1\r\n?\r\n".repeat(2_048);
        loop {
            channel.write(&bytes)?;
        }
    }
}
