//! Servers that answer a long request before they have read it, keep the channel and read on later.

use std::{
    io::Read,
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    engine::{Engine, Work},
    http::{call, read_request_head, request_bytes, write_response},
    node::{IN_TOUCH_AFTER, start_nodes},
    operator::{HOST, config},
    record::Record,
    store::Store,
};

const NODES: usize = 3;
/// Long requests; `maxBodyBytes` is 4,194,304.
const LONG_REQUESTS: usize = 18;
const LONG_BYTES: usize = 4_000_000;
/// Requests after each long one. A long one is rejected twice at most, so that two in a hundred answers are early.
const SHORT_REQUESTS: usize = 100;
const SHORT_INTERVAL: Duration = Duration::from_millis(10);
/// Body from which on a server answers early.
const EARLY_BYTES: usize = 100_000;
/// Time after its answer until a server reads on.
const READ_ON_AFTER: Duration = Duration::from_millis(2_500);
/// `timeoutMs` of the route, and the time after it within which a request must be answered.
const TIMEOUT: Duration = Duration::from_millis(1_000);
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Outcome {
    let store = Store::start();
    store.put("op/config", &config(7));
    let early: Vec<_> = (1..=2)
        .map(|n| start_early_server(&format!("i-early-{n}"), trouble, &store, record))
        .collect();
    let plain = Work::Plain(Duration::from_millis(15));
    let sound: Vec<_> = (1..=2)
        .map(|n| Engine::start(&format!("i-sound-{n}"), "api", "zone-a", plain, record))
        .collect();
    for server in &sound {
        server.publish(&store, "ready");
    }
    let Some(nodes) = start_nodes(NODES, &store, folder, record) else {
        return Outcome::NotRun;
    };
    record.line(&format!("early servers at {early:?}"));
    thread::sleep(IN_TOUCH_AFTER);
    let (mut late, mut unanswered) = (0, 0);
    for n in 1..=LONG_REQUESTS {
        let node = &nodes[n % NODES];
        send(&format!("long{n}"), node.front, LONG_BYTES, record);
        let short: Vec<_> = (1..=SHORT_REQUESTS)
            .map(|m| {
                let (front, record) = (node.front, record.clone());
                let id = format!("short{n}-{m}");
                let client = thread::spawn(move || send(&id, front, 500, &record));
                thread::sleep(SHORT_INTERVAL);
                client
            })
            .collect();
        for took in short.into_iter().map(|client| client.join().unwrap()) {
            late += usize::from(took > TIMEOUT);
            unanswered += usize::from(took > TIMEOUT + ANSWER_MARGIN);
        }
    }
    record.line(&format!(
        "{late} requests without an answer at their route's timeout, {unanswered} half a second later"
    ));
    if unanswered * 2 > late {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Sends a request to the plain service; returns the time until its answer, or until the client leaves.
fn send(id: &str, front: SocketAddr, bytes: usize, record: &Record) -> Duration {
    let headers = [
        ("Host", HOST),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "2000"),
    ];
    let req = request_bytes("POST", "/once/x", &headers, &vec![b'p'; bytes]);
    let sent = Instant::now();
    let answer = call(front, &req, TIMEOUT + ANSWER_MARGIN * 2);
    let took = sent.elapsed();
    record.answer(&format!("{id}, {bytes} bytes"), &answer, sent);
    took
}

/// Starts a server of the plain service that rejects long requests before they are in, if `early`.
fn start_early_server(id: &str, early: bool, store: &Store, record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let entry = format!(
        "{{\"service\":\"api\",\"addr\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\
         \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":1}}"
    );
    store.put(&format!("servers/{id}"), &entry);
    let (id, record) = (id.to_owned(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, record) = (id.clone(), record.clone());
            thread::spawn(move || serve(stream, &id, early, &record));
        }
    });
    address
}

/// Serves a channel until it is closed.
fn serve(mut stream: TcpStream, own_id: &str, early: bool, record: &Record) {
    let _ = stream.set_nodelay(true);
    let mut buf = Vec::new();
    while let Some((req, len)) = read_request_head(&mut stream, &mut buf) {
        let id = req.header("X-Request-Id").unwrap_or_default().to_owned();
        let own = ("X-Instance-Id", own_id);
        let is_rejected = early && len >= EARLY_BYTES;
        if is_rejected {
            record.line(&format!("server {own_id} rejects {id} before it is in"));
            let headers = [("X-Request-Id", id.as_str()), ("X-Not-Run", "1"), own];
            if write_response(&mut stream, 503, &headers, b"").is_err() {
                return;
            }
            thread::sleep(READ_ON_AFTER);
        }
        while buf.len() < len {
            let mut chunk = [0; 65_536];
            match stream.read(&mut chunk) {
                Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
                _ => return,
            }
        }
        buf.drain(..len);
        if is_rejected {
            record.line(&format!("server {own_id} has read the rest of {id}"));
            continue;
        }
        record.line(&format!("server {own_id} runs {id}"));
        thread::sleep(Duration::from_millis(15));
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Engine-Stamp", "review"),
            own,
        ];
        let body = format!("answer to {id}");
        if write_response(&mut stream, 200, &headers, body.as_bytes()).is_err() {
            return;
        }
    }
}
