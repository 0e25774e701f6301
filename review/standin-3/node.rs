//! [`Node`] and [`Fleet`].

use std::{
    fs::{self, File},
    net::{IpAddr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

/// Ports, which are the same on all machines.
#[derive(Clone, Copy, Debug)]
struct Ports {
    front: u16,
    ready: u16,
    links: u16,
}

/// Process of an entry node.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    dir: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", self.name)));
        let log = log.expect("a log file");
        let child = Command::new("target/release/oleanderpostd")
            .arg("entry")
            .env(
                "OLEANDERPOST_SETTINGS",
                self.dir.join(format!("{}.yaml", self.name)),
            )
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the build of the deploy file has run"));
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("a running process");
            child.wait().expect("an ended process");
        }
    }

    /// Whether the process answers the platform's question with 200.
    pub fn is_ready(&self) -> bool {
        let head = "GET /v1/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        let answer = http::call(self.ready, head, &[], Duration::from_millis(500));
        answer.is_ok_and(|answer| answer.status == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // Fails if the process has already ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The entry nodes of an installation, two in each of three zones, the first of each zone a seed.
pub struct Fleet {
    pub nodes: Vec<Node>,
}

impl Fleet {
    /// Starts all nodes and waits until each is ready.
    pub fn start(dir: &Path, store: SocketAddr, record: &Record) -> Self {
        let ips: Vec<IpAddr> = ["11.1", "11.2", "12.1", "12.2", "13.1", "13.2"]
            .iter()
            .map(|tail| format!("127.0.{tail}").parse().expect("an address"))
            .collect();
        let ports = free_ports(&ips);
        let seeds: Vec<_> = ips
            .iter()
            .step_by(2)
            .map(|ip| format!("\"{ip}:{}\"", ports.links))
            .collect();
        let mut nodes = Vec::new();
        for (n, ip) in ips.iter().enumerate() {
            let zone = ["hall-a", "hall-b", "hall-c"][n / 2];
            let name = format!("front-{zone}-{}", n % 2 + 1);
            let text = format!(
                "name: \"{name}\"\ndata_centre: \"{zone}\"\ncallers_listen: \"{ip}:{}\"\nadmin_listen: \"{ip}:{}\"\n\
                 links_listen: \"{ip}:{}\"\nseeds: [{}]\nlink_key: \"oleanderpost entry nodes\"\nstore: \"{store}\"\n\
                 revoke_ms: 5000\ngrace_s: 8\nretry_ratio: 0.2\nretry_slack: 100\nretry_window_s: 10\n\
                 reservation_max_ms: 20000\ndescriptors: 4200\nmemory_mb: 260\n",
                ports.front,
                ports.ready,
                ports.links,
                seeds.join(",")
            );
            fs::write(dir.join(format!("{name}.yaml")), text).expect("settings are written");
            let mut node = Node {
                name,
                front: SocketAddr::new(*ip, ports.front),
                ready: SocketAddr::new(*ip, ports.ready),
                dir: dir.to_owned(),
                child: None,
            };
            node.start();
            nodes.push(node);
        }
        let fleet = Self { nodes };
        fleet.wait_until_ready(Duration::from_secs(15));
        // The nodes learn of each other within some heartbeats.
        thread::sleep(Duration::from_secs(3));
        record.note("all nodes are ready");
        fleet
    }

    pub fn wait_until_ready(&self, limit: Duration) {
        let started = Instant::now();
        while !self.nodes.iter().all(Node::is_ready) {
            if started.elapsed() > limit {
                crate::cannot_run("the nodes are not ready");
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Ports that are free on all addresses.
fn free_ports(ips: &[IpAddr]) -> Ports {
    let free_port = |taken: &[u16]| {
        (0..100).find_map(|_| {
            let first = TcpListener::bind((ips[0], 0)).ok()?;
            let port = first.local_addr().ok()?.port();
            let others = ips[1..].iter().map(|ip| TcpListener::bind((*ip, port)));
            let are_free = others.collect::<Result<Vec<_>, _>>().is_ok();
            (are_free && !taken.contains(&port)).then_some(port)
        })
    };
    let mut ports = Vec::new();
    for _ in 0..3 {
        match free_port(&ports) {
            Some(port) => ports.push(port),
            None => crate::cannot_run("no free ports"),
        }
    }
    Ports {
        front: ports[0],
        ready: ports[1],
        links: ports[2],
    }
}
