//! Nodes of the project, started with the command of the deploy file.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{call, request_bytes},
    record::Record,
    store::Store,
};

/// Time within which a node has to be ready.
const START_LIMIT: Duration = Duration::from_secs(8);

/// Time from the start of a node until it counts as in touch: the longest `contactMs` of the cases' sites, 4 s, and some
/// more.
pub const IN_TOUCH_AFTER: Duration = Duration::from_millis(5_500);
/// Most seeds that the platform names.
pub const MAX_SEEDS: usize = 3;

/// A running `oleanderpostd entry`; killed on drop.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// Starts `count` nodes, of which the first three are the seeds, and waits until all are ready.
pub fn start_nodes(
    count: usize,
    store: &Store,
    folder: &Path,
    record: &Record,
) -> Option<Vec<Node>> {
    start_nodes_at(&vec![store.address; count], folder, record)
}

/// Like [`start_nodes`]; each node reaches the store at one of these addresses.
pub fn start_nodes_at(stores: &[SocketAddr], folder: &Path, record: &Record) -> Option<Vec<Node>> {
    let count = stores.len();
    let listeners: Vec<_> = (0..count * 3)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    let addresses: Vec<_> = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
    drop(listeners);
    let links = &addresses[count * 2..];
    let nodes: Vec<_> = (0..count)
        .map(|n| {
            let name = format!("front-zone-a-{}", n + 1);
            let settings = settings(
                &name,
                addresses[n],
                addresses[count + n],
                links[n],
                &links[..count.min(MAX_SEEDS)],
                stores[n],
            );
            let path = folder.join(format!("{name}.yaml"));
            fs::write(&path, settings).expect("a writable folder");
            Node {
                child: start_process(&path, &folder.join(format!("{name}.log"))),
                name,
                front: addresses[n],
                ready: addresses[count + n],
            }
        })
        .collect();
    let deadline = Instant::now() + START_LIMIT;
    while !nodes.iter().all(Node::is_ready) {
        if Instant::now() > deadline {
            record.line("not all nodes are ready");
            return None;
        }
        thread::sleep(Duration::from_millis(50));
    }
    Some(nodes)
}

/// The settings, in the layout of `deploy/settings.yaml`.
fn settings(
    name: &str,
    front: SocketAddr,
    ready: SocketAddr,
    link: SocketAddr,
    seeds: &[SocketAddr],
    store: SocketAddr,
) -> String {
    let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        "name: \"{name}\"\ndata_centre: \"zone-a\"\ncallers_listen: \"{front}\"\nadmin_listen: \"{ready}\"\n\
         links_listen: \"{link}\"\nseeds: [{}]\nlink_key: \"oleanderpost entry nodes\"\nstore: \"{}\"\n\
         revoke_ms: 5000\ngrace_s: 8\nretry_ratio: 0.2\nretry_slack: 102\nretry_window_s: 10\n\
         reservation_max_ms: 20000\ndescriptors: 4100\nmemory_mb: 260\n",
        seeds.join(","),
        store
    )
}

fn start_process(settings: &Path, log: &Path) -> Child {
    let program = PathBuf::from("target/release/oleanderpostd");
    let log = fs::File::create(log).expect("a writable folder");
    Command::new(program)
        .arg("entry")
        .env("OLEANDERPOST_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a file"))
        .stderr(log)
        .spawn()
        .expect("target/release/oleanderpostd of the deploy file's build")
}

impl Node {
    /// Whether it answers the platform's question with 200.
    pub fn is_ready(&self) -> bool {
        let req = request_bytes("GET", "/v1/readyz", &[("Host", "node")], b"");
        call(self.ready, &req, Duration::from_millis(1_000)).status == 200
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
