//! Stand-in for the platform's store: `kv-range` and `kv-watch` over HTTP/1.1.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{read_request, write_response};

#[derive(Default)]
struct Contents {
    items: BTreeMap<String, (String, u64)>,
    /// Revision and key of each change, oldest first.
    history: Vec<(u64, String)>,
    revision: u64,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Contents>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let contents = Contents {
            revision: 10,
            ..Contents::default()
        };
        let store = Self {
            shared: Arc::new((Mutex::new(contents), Condvar::new())),
            address: listener.local_addr().expect("an address"),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        let mut contents = self.shared.0.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        contents
            .items
            .insert(key.to_owned(), (value.to_owned(), revision));
        contents.history.push((revision, key.to_owned()));
        self.shared.1.notify_all();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut contents = self.shared.0.lock().unwrap();
        if contents.items.remove(key).is_some() {
            contents.revision += 1;
            let revision = contents.revision;
            contents.history.push((revision, key.to_owned()));
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while let Some(req) = read_request(&mut stream, &mut buf) {
            let (path, query) = req.path.split_once('?').unwrap_or((&req.path, ""));
            let param = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(key, _)| *key == name).map_or("", |(_, v)| v)
            };
            let number = |name| param(name).parse::<u64>().unwrap_or(0);
            let body = match path {
                "/v1/kv-range" => self.range(param("prefix"), param("after")),
                "/v1/kv-watch" => self.watch(
                    param("prefix"),
                    number("after"),
                    Duration::from_millis(number("waitMs")),
                ),
                _ => String::from("{}"),
            };
            thread::sleep(Duration::from_millis(4));
            if write_response(&mut stream, 200, &[], body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let contents = self.shared.0.lock().unwrap();
        let items = contents.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<_> = items.map(|(key, item)| item_json(key, item)).collect();
        format!(
            "{{\"items\":[{}],\"morePages\":false,\"asOf\":{}}}",
            items.join(","),
            contents.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let deadline = Instant::now() + wait;
        let mut contents = self.shared.0.lock().unwrap();
        loop {
            let events: Vec<_> = contents
                .history
                .iter()
                .filter(|(revision, key)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key)| match contents.items.get(key) {
                    Some(item) => item_json(key, item),
                    None => format!("{{\"key\":\"{key}\",\"rev\":{revision},\"removed\":true}}"),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = contents.revision;
                return format!("{{\"events\":[{}],\"asOf\":{as_of}}}", events.join(","));
            }
            contents = self.shared.1.wait_timeout(contents, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, (value, revision): &(String, u64)) -> String {
    let value = base64(value.as_bytes());
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{revision},\"created\":{revision},\"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(*chunk.get(i).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let index = (bits >> (18 - 6 * i)) as usize & 63;
            text.push(if i <= chunk.len() {
                char::from(ALPHABET[index])
            } else {
                '='
            });
        }
    }
    text
}
