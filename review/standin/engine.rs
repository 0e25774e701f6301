//! Stand-in for a server of the platform: a model engine or an instance of a plain service.

use std::{
    collections::HashMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Request, read_request, write_response},
    record::Record,
    store::Store,
};

/// How long a server works on a request.
#[derive(Clone, Copy)]
pub enum Work {
    /// A plain response after this time.
    Plain(Duration),
    /// A stream at the speed that the configuration of `operator.rs` states for model engines.
    Model,
}

#[derive(Default)]
struct State {
    /// Number of times that each request ran.
    runs: HashMap<String, u32>,
    /// Arrival of each request that ran.
    arrivals: Vec<Instant>,
}

/// A server with an entry in the store.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    born: u64,
    work: Work,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Engine {
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        work: Work,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let engine = Self {
            id: id.to_owned(),
            service,
            zone,
            address: listener.local_addr().expect("an address"),
            born: born.as_millis() as u64,
            work,
            state: Arc::default(),
            record: record.clone(),
        };
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// Writes the server's entry with this state.
    pub fn publish(&self, store: &Store, state: &str) {
        self.publish_cold(store, state, 0);
    }

    /// Writes the server's entry with this state; the server stays cold for `cold_ms`.
    pub fn publish_cold(&self, store: &Store, state: &str, cold_ms: u64) {
        let entry = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":16,\
             \"state\":\"{state}\",\"coldLeftMs\":{cold_ms},\"seq\":1,\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Number of times that the request ran here.
    pub fn runs(&self, request: &str) -> u32 {
        let state = self.state.lock().unwrap();
        state.runs.get(request).copied().unwrap_or(0)
    }

    /// Most requests that arrived within one second.
    pub fn most_per_second(&self) -> usize {
        let arrivals = &self.state.lock().unwrap().arrivals;
        let within = |first: &Instant| {
            let arrivals = arrivals.iter().filter(|at| *at >= first);
            arrivals
                .filter(|at| **at - *first < Duration::from_secs(1))
                .count()
        };
        arrivals.iter().map(within).max().unwrap_or(0)
    }

    fn note_run(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        *state.runs.entry(id.to_owned()).or_default() += 1;
        state.arrivals.push(Instant::now());
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while let Some(req) = read_request(&mut stream, &mut buf) {
            if self.answer(&mut stream, &req).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, req: &Request) -> std::io::Result<()> {
        let own = ("X-Instance-Id", self.id.as_str());
        if req
            .header("X-Expect-Instance")
            .is_some_and(|id| id != self.id)
        {
            return write_response(stream, 421, &[own], b"");
        }
        if req.path == "/v1/order" {
            return write_response(stream, 200, &[own], b"{\"avail\":0}");
        }
        let Some(id) = req.header("X-Request-Id") else {
            return write_response(stream, 400, &[own, ("X-Not-Run", "1")], b"");
        };
        self.note_run(id);
        self.record.line(&format!("server {} runs {id}", self.id));
        match self.work {
            Work::Plain(time) => {
                thread::sleep(time);
                let headers = [("X-Request-Id", id), ("X-Engine-Stamp", "review"), own];
                write_response(stream, 200, &headers, format!("answer to {id}").as_bytes())
            }
            Work::Model => self.stream(stream, req, id),
        }
    }

    /// Sends the events of a stream: each has 43 tokens, the decode steps of one pass.
    fn stream(&self, stream: &mut TcpStream, req: &Request, id: &str) -> std::io::Result<()> {
        let counts = req.header("X-Token-Count").unwrap_or("1000,43");
        let (prompt, answer) = counts.split_once(',').unwrap_or((counts, "43"));
        let prompt: f64 = prompt.trim().parse().unwrap_or(1000.0);
        let answer: f64 = answer.trim().parse().unwrap_or(43.0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Request-Id: {id}\r\nX-Engine-Stamp: review\r\n\r\n"
        );
        let prefill_ms = prompt / 206.0 + prompt * prompt / 2.0 / 1e6 * 0.138;
        let pass_ms = 43.0 * (1.02 + 0.00226 + 0.00431 * prompt / 1e3);
        sleep_ms(prefill_ms);
        stream.write_all(head.as_bytes())?;
        let events = (answer / 43.0).ceil() as u64;
        for event in 1..=events {
            sleep_ms(pass_ms);
            let text = format!("id: {event}\ndata: {id} {event} of {events}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if let Err(e) = stream.write_all(chunk.as_bytes()) {
                self.record.line(&format!(
                    "server {}: the channel of {id} is closed",
                    self.id
                ));
                return Err(e);
            }
        }
        self.record
            .line(&format!("server {} has ended {id}", self.id));
        stream.write_all(b"0\r\n\r\n")
    }
}

fn sleep_ms(ms: f64) {
    thread::sleep(Duration::from_secs_f64(ms / 1e3));
}
