//! [`Engine`].

use std::{
    collections::HashMap,
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http::Request, record::Record, store::Store};

/// Interval of the check-ins in the store.
const BEAT: Duration = Duration::from_millis(1_200);
/// Prompt tokens that a model engine reads in a millisecond.
const TOKENS_PER_MS: f64 = 206.0;
/// Time between two events of a stream: 43 tokens.
const EVENT_INTERVAL: Duration = Duration::from_millis(44);
/// Work of a plain request.
const WORK: Duration = Duration::from_millis(15);
/// Time from the arrival of a request that crashes the engine until the crash.
const TIME_TO_CRASH: Duration = Duration::from_millis(5);
/// Time from a crash until the engine is back.
const DOWN: Duration = Duration::from_millis(2_000);
/// Requests that an engine runs at once.
const PLAIN_SLOTS: usize = 6;
const MODEL_SLOTS: usize = 16;

/// Request that an engine has received, orders and health checks aside.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub engine: String,
    pub id: String,
    pub prompt_parts: String,
    pub has_run: bool,
    /// Whether the engine crashed while it had the request.
    pub was_cut: bool,
}

/// What all engines have seen.
#[derive(Clone, Default)]
pub struct Arrivals(Arc<Mutex<Vec<Arrival>>>);

impl Arrivals {
    fn add(&self, arrival: Arrival) -> usize {
        let mut all = self.0.lock().expect("no panic");
        all.push(arrival);
        all.len() - 1
    }

    fn change(&self, index: usize, change: impl FnOnce(&mut Arrival)) {
        change(&mut self.0.lock().expect("no panic")[index]);
    }

    pub fn all(&self) -> Vec<Arrival> {
        self.0.lock().expect("no panic").clone()
    }
}

/// Times of the crashes of all engines, in milliseconds.
#[derive(Clone, Default)]
pub struct Crashes(Arc<Mutex<Vec<u64>>>);

impl Crashes {
    pub fn all(&self) -> Vec<u64> {
        self.0.lock().expect("no panic").clone()
    }
}

/// Misbehaviour of engines.
#[derive(Clone, Default)]
pub struct Trouble {
    /// Part of a prompt that crashes each engine which begins to write an answer on it.
    pub crashing_part: Option<String>,
    /// Path of a request that crashes each engine which begins to run it.
    pub crashing_path: Option<String>,
}

struct Process {
    id: String,
    born: u128,
    connections: Mutex<HashMap<u64, TcpStream>>,
    has_crashed: AtomicBool,
}

/// Stand-in for an engine. Each start of it is a new process with an id of its own.
pub struct Engine {
    name: String,
    service: String,
    zone: String,
    address: SocketAddr,
    store: Store,
    record: Record,
    trouble: Trouble,
    arrivals: Arrivals,
    crashes: Crashes,
    starts: AtomicUsize,
    busy: AtomicUsize,
    next_connection: AtomicU64,
    /// Share of its requests that it turns away, in percent. It closes their channels.
    pub shed_percent: AtomicUsize,
    /// Number of requests that the share applies to.
    shed_count: AtomicUsize,
    /// Requests a second that it says it takes from all machines together.
    pub limit: Mutex<Option<f64>>,
    /// Held while a prompt is read.
    reading: Mutex<()>,
}

impl Engine {
    pub fn start(
        name: &str,
        service: &str,
        zone: &str,
        store: &Store,
        record: &Record,
        trouble: &Trouble,
        arrivals: &Arrivals,
        crashes: &Crashes,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let engine = Arc::new(Self {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            store: store.clone(),
            record: record.clone(),
            trouble: trouble.clone(),
            arrivals: arrivals.clone(),
            crashes: crashes.clone(),
            starts: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
            next_connection: AtomicU64::new(0),
            shed_percent: AtomicUsize::new(0),
            shed_count: AtomicUsize::new(0),
            limit: Mutex::default(),
            reading: Mutex::new(()),
        });
        engine.start_process(listener);
        engine
    }

    fn is_model(&self) -> bool {
        self.service == "llm"
    }

    fn start_process(self: &Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener");
        let start = self.starts.fetch_add(1, Ordering::SeqCst);
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a date after 1970");
        let process = Arc::new(Process {
            id: format!("i-{}-{start}", self.name),
            born: born.as_millis(),
            connections: Mutex::default(),
            has_crashed: AtomicBool::new(false),
        });
        let (engine, beating) = (Arc::clone(self), Arc::clone(&process));
        thread::spawn(move || {
            while !beating.has_crashed.load(Ordering::SeqCst) {
                engine.check_in(&beating);
                thread::sleep(BEAT);
            }
            // The entry lapses after three intervals of silence.
            thread::sleep(BEAT * 2);
            engine.store.remove(&format!("servers/{}", beating.id));
        });
        let engine = Arc::clone(self);
        thread::spawn(move || engine.accept(listener, process));
    }

    /// Writes the entry unless the store has it: a check-in alone does not change it.
    fn check_in(&self, process: &Process) {
        let key = format!("servers/{}", process.id);
        if self.store.contains(&key) {
            return;
        }
        let slots = if self.is_model() {
            MODEL_SLOTS
        } else {
            PLAIN_SLOTS
        };
        let entry = format!(
            r#"{{"service":"{}","addr":"{}","zone":"{}","version":"v1","slots":{slots},"state":"ready","coldLeftMs":0,"seq":0,"born":{}}}"#,
            self.service, self.address, self.zone, process.born
        );
        self.store.put(&key, &entry);
    }

    fn accept(self: &Arc<Self>, listener: TcpListener, process: Arc<Process>) {
        while !process.has_crashed.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).expect("a stream");
            stream.set_nodelay(true).expect("a stream");
            let number = self.next_connection.fetch_add(1, Ordering::SeqCst);
            let kept = stream.try_clone().expect("a second handle");
            process
                .connections
                .lock()
                .expect("no panic")
                .insert(number, kept);
            let (engine, process) = (Arc::clone(self), Arc::clone(&process));
            thread::spawn(move || {
                // The node may close the connection at any time.
                let _ = engine.serve(&process, stream);
                process
                    .connections
                    .lock()
                    .expect("no panic")
                    .remove(&number);
            });
        }
        drop(listener);
        self.start_again();
    }

    fn start_again(self: &Arc<Self>) {
        let back_at = Instant::now() + DOWN;
        thread::sleep(DOWN);
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) if back_at.elapsed() < DOWN => thread::sleep(Duration::from_millis(10)),
                Err(e) => crate::cannot_run(&format!("an engine does not come back: {e}")),
            }
        };
        self.start_process(listener);
    }

    fn crash(&self, process: &Process) {
        if process.has_crashed.swap(true, Ordering::SeqCst) {
            return;
        }
        self.crashes
            .0
            .lock()
            .expect("no panic")
            .push(self.record.ms());
        self.record.note(&format!("CRASH of {}", process.id));
        for stream in process.connections.lock().expect("no panic").values() {
            // Fails only if the node has closed it already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, process: &Process, stream: TcpStream) -> io::Result<()> {
        let mut from = BufReader::new(stream);
        while let Some(req) = Request::read(&mut from)? {
            if process.has_crashed.load(Ordering::SeqCst) {
                return Ok(());
            }
            let out = from.get_mut();
            match req.path() {
                "/healthz" => {
                    write_answer(out, 200, &format!("X-Instance-Id: {}\r\n", process.id), "")?
                }
                "/v1/order" => write_answer(
                    out,
                    200,
                    "Content-Type: application/json\r\n",
                    r#"{"avail":1000}"#,
                )?,
                _ if !self.handle(process, &req, out)? => return Ok(()),
                _ => {}
            }
        }
        Ok(())
    }

    /// Answers a request; returns whether the connection stays open.
    fn handle(&self, process: &Process, req: &Request, out: &mut TcpStream) -> io::Result<bool> {
        let id = req.headers.get("x-request-id").unwrap_or("").to_owned();
        let common = format!("X-Request-Id: {id}\r\n");
        if req
            .headers
            .get("x-expect-instance")
            .is_some_and(|expected| expected != process.id)
        {
            self.record.note(&format!("ENGINE {} 421 {id}", process.id));
            write_answer(out, 421, &common, "")?;
            return Ok(true);
        }
        let arrival = self.arrivals.add(Arrival {
            at_ms: self.record.ms(),
            engine: process.id.clone(),
            id: id.clone(),
            prompt_parts: req.headers.get("x-prompt-prefix").unwrap_or("").to_owned(),
            has_run: false,
            was_cut: false,
        });
        if self.sheds() {
            self.record
                .note(&format!("ENGINE {} turns {id} away", process.id));
            let headers = format!("{common}X-Not-Run: 1\r\nConnection: close\r\n");
            write_answer(out, 503, &headers, "")?;
            return Ok(false);
        }
        self.record.note(&format!(
            "ENGINE {} runs {id} tenant={} parts={}",
            process.id,
            req.headers.get("x-tenant").unwrap_or("-"),
            req.headers.get("x-prompt-prefix").unwrap_or("-")
        ));
        self.arrivals
            .change(arrival, |arrival| arrival.has_run = true);
        let running = self.busy.fetch_add(1, Ordering::SeqCst) + 1;
        let slots = if self.is_model() {
            MODEL_SLOTS
        } else {
            PLAIN_SLOTS
        };
        let limit = *self.limit.lock().expect("no panic");
        let limit = limit.map_or(String::new(), |limit| format!("Server-Limit: {limit}\r\n"));
        let common = format!(
            "{common}X-Engine-Stamp: {}.{id}\r\nX-Engine-Load: {running},0,{slots}\r\nKeep-Alive: timeout=30\r\n{limit}",
            process.id
        );
        if self.trouble.crashing_path.as_deref() == Some(req.path()) {
            thread::sleep(TIME_TO_CRASH);
            self.crash(process);
            self.busy.fetch_sub(1, Ordering::SeqCst);
            self.arrivals
                .change(arrival, |arrival| arrival.was_cut = true);
            return Ok(false);
        }
        let answered = if self.is_model() {
            self.stream(process, req, &common, out)
        } else {
            thread::sleep(WORK);
            write_answer(out, 200, &common, &"x".repeat(800))
        };
        self.busy.fetch_sub(1, Ordering::SeqCst);
        if process.has_crashed.load(Ordering::SeqCst) {
            self.arrivals
                .change(arrival, |arrival| arrival.was_cut = true);
        }
        answered?;
        Ok(!process.has_crashed.load(Ordering::SeqCst))
    }

    /// Whether the next request is one of the share that is turned away.
    fn sheds(&self) -> bool {
        let percent = self.shed_percent.load(Ordering::SeqCst);
        if percent == 0 {
            return false;
        }
        let n = self.shed_count.fetch_add(1, Ordering::SeqCst);
        (n + 1) * percent / 100 > n * percent / 100
    }

    fn stream(
        &self,
        process: &Process,
        req: &Request,
        common: &str,
        out: &mut TcpStream,
    ) -> io::Result<()> {
        let number = |name: &str, at: usize| {
            let text = req.headers.get(name).unwrap_or("");
            text.split(',')
                .nth(at)
                .and_then(|text| text.trim().parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        let prompt = number("x-token-count", 0);
        let helpers = req
            .headers
            .get("x-helpers")
            .map_or(0, |helpers| helpers.split(',').count());
        let last = number("last-event-id", 0) as usize;
        {
            let _reading = self.reading.lock().expect("no panic");
            let ms = prompt / TOKENS_PER_MS / (helpers + 1) as f64;
            thread::sleep(Duration::from_secs_f64(ms / 1e3));
        }
        let parts = req.headers.get("x-prompt-prefix").unwrap_or("");
        let is_deadly = |part: &String| {
            parts
                .split(',')
                .any(|entry| entry.split(':').next() == Some(part))
        };
        if self.trouble.crashing_part.as_ref().is_some_and(is_deadly) {
            self.crash(process);
            return Ok(());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        out.write_all(head.as_bytes())?;
        for n in last + 1..=16 {
            let event = format!("id: {n}\ndata: {n}\n\n");
            out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(EVENT_INTERVAL);
        }
        out.write_all(b"0\r\n\r\n")
    }
}

fn write_answer(out: &mut TcpStream, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    out.write_all(&[head.as_bytes(), body.as_bytes()].concat())
}
