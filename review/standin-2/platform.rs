//! The platform around the processes: settings, start, restart and signals, the readiness check that decides which nodes
//! receive clients, and the limit on memory.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{http::Channel, record::Record, store::Store};

/// Memory of a machine, as in the site file.
pub const MEMORY_MB: u64 = 260;
/// Interval between readiness checks.
const READY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Addresses of a machine.
#[derive(Clone, Copy)]
pub struct Addresses {
    pub front: SocketAddr,
    ready: SocketAddr,
    ctl: SocketAddr,
}

pub struct Machine {
    pub name: String,
    pub addresses: Addresses,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    in_rotation: AtomicBool,
    peak_mb: AtomicU64,
    /// Number of times that the process was ended for its memory.
    pub memory_kills: AtomicU32,
    stopped: AtomicBool,
    record: Record,
}

fn free_port(ip: &str) -> std::io::Result<SocketAddr> {
    TcpListener::bind(format!("{ip}:0"))?.local_addr()
}

/// Starts `count` machines, the first three of them as seeds. Each has a loopback address of its own.
pub fn start_machines(count: usize, store: &Store, dir: &Path, record: &Record) -> std::io::Result<Vec<Arc<Machine>>> {
    let mut all = Vec::new();
    for n in 0..count {
        let ip = format!("127.0.1.{}", n + 1);
        all.push(Addresses { front: free_port(&ip)?, ready: free_port(&ip)?, ctl: free_port(&ip)? });
    }
    let seeds: Vec<_> = all.iter().take(3).map(|a| format!("\"{}\"", a.ctl)).collect();
    let mut machines = Vec::new();
    for (n, addresses) in all.iter().enumerate() {
        let name = format!("front-hall-{}-1", ["a", "b", "c"][n % 3]);
        let zone = format!("hall-{}", ["a", "b", "c"][n % 3]);
        let settings = dir.join(format!("{name}.yaml"));
        // As the template in deploy/ has it, with the bounds of the site file.
        fs::write(
            &settings,
            format!(
                "name: \"{name}\"\ndata_centre: \"{zone}\"\ncallers_listen: \"{}\"\nadmin_listen: \"{}\"\nlinks_listen: \"{}\"\n\
                 seeds: [{}]\nlink_key: \"oleanderpost entry nodes\"\nstore: \"{}\"\nrevoke_ms: 5000\ngrace_s: 8\n\
                 retry_ratio: 0.2\nretry_slack: 100\nretry_window_s: 10\nreservation_max_ms: 20000\ndescriptors: 4200\n\
                 memory_mb: {MEMORY_MB}\n",
                addresses.front, addresses.ready, addresses.ctl, seeds.join(","), store.addr
            ),
        )?;
        let machine = Arc::new(Machine {
            log: dir.join(format!("{name}.log")),
            name,
            addresses: *addresses,
            settings,
            child: Mutex::new(None),
            in_rotation: AtomicBool::new(false),
            peak_mb: AtomicU64::new(0),
            memory_kills: AtomicU32::new(0),
            stopped: AtomicBool::new(false),
            record: record.clone(),
        });
        machine.start()?;
        let (checked, watched) = (Arc::clone(&machine), Arc::clone(&machine));
        thread::spawn(move || checked.check_ready());
        thread::spawn(move || watched.watch_memory());
        machines.push(machine);
    }
    Ok(machines)
}

impl Machine {
    /// Starts the process with the command of the deploy file.
    pub fn start(&self) -> std::io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/oleanderpostd")
            .arg("entry")
            .env("OLEANDERPOST_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!("{} starts (process {})", self.name, child.id()));
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// SIGKILL.
    pub fn kill(&self, why: &str) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{} killed: {why}", self.name));
        }
    }

    /// Ends the process at the end of the script.
    pub fn close(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.kill("end of the script");
    }

    /// Whether the balancer sends new channels to this node.
    pub fn in_rotation(&self) -> bool {
        self.in_rotation.load(Ordering::Relaxed)
    }

    pub fn peak_mb(&self) -> u64 {
        self.peak_mb.load(Ordering::Relaxed)
    }

    fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let mut channel = Channel::connect(self.addresses.ready)?;
            channel.set_read_timeout(Duration::from_millis(900));
            channel.write(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            Ok(channel.read_head()?.word(1) == "200")
        };
        ask().unwrap_or(false)
    }

    fn check_ready(&self) {
        let mut misses = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            misses = if self.is_ready() { 0 } else { misses + 1 };
            let in_rotation = if misses == 0 { true } else { misses < 2 && self.in_rotation() };
            if self.in_rotation.swap(in_rotation, Ordering::Relaxed) != in_rotation {
                self.record.line(&format!("{} in rotation: {in_rotation}", self.name));
            }
            thread::sleep(READY_INTERVAL);
        }
    }

    /// Ends the process when it exceeds the memory of the machine, and starts it again after a short delay.
    fn watch_memory(&self) {
        while !self.stopped.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(50));
            let pid = self.child.lock().unwrap().as_ref().map(Child::id);
            let Some(mb) = pid.and_then(resident_mb) else {
                continue;
            };
            if self.peak_mb.fetch_max(mb, Ordering::Relaxed) + 20 <= mb {
                self.record.line(&format!("  {} uses {mb} MB", self.name));
            }
            if mb > MEMORY_MB {
                self.memory_kills.fetch_add(1, Ordering::Relaxed);
                self.kill(&format!("{mb} MB are over its memory of {MEMORY_MB} MB"));
                thread::sleep(Duration::from_millis(700));
                if !self.stopped.load(Ordering::Relaxed) {
                    let _ = self.start();
                }
            }
        }
    }
}

/// Resident memory of a process that this script has started.
fn resident_mb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    Some(line.split_whitespace().nth(1)?.parse::<u64>().ok()? / 1024)
}

/// A configuration in the platform's form. `keys` are those of the second tenant.
pub fn config(version: u64, keys: &[&str]) -> String {
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"call-notes\",\"host\":\"app.example\",\"prefix\":\"/stream/\",\"service\":\"assist-models\",\"kind\":\"stream\",\
         \"timeoutMs\":10000,\"goalMs\":300,\"maxAttempts\":2,\"priority\":1,\"resumable\":true,\"affinity\":true,\"gapTargetMs\":250}},\
         {{\"name\":\"job-lookup\",\"host\":\"app.example\",\"prefix\":\"/unsafe/\",\"service\":\"field-api\",\"kind\":\"unsafe\",\
         \"timeoutMs\":1000,\"goalMs\":100,\"maxAttempts\":1,\"priority\":2}},\
         {{\"name\":\"brine-alarm\",\"host\":\"app.example\",\"prefix\":\"/safe/\",\"service\":\"field-api\",\"kind\":\"safe\",\
         \"timeoutMs\":1000,\"goalMs\":100,\"maxAttempts\":2,\"priority\":2}}],\
         \"services\":[{{\"name\":\"assist-models\",\"healthPath\":\"/healthz\",\"maxConns\":334,\"engine\":{{\"slots\":16,\
         \"kvCapacity\":232000,\"stride\":43,\"chunk\":2048,\"step_ms\":1.02,\"per_seq_ms\":0.00226,\"context_per_k\":0.00431,\
         \"read_per_s\":206000.0,\"pairs_per_m\":0.138,\"hopMs\":0.075,\"report_lag_ms\":200,\
         \"usual\":{{\"prompt\":12000,\"answer\":1300}}}}}},\
         {{\"name\":\"field-api\",\"healthPath\":\"/healthz\",\"maxConns\":48}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-one\",\"apiKeys\":[\"key-of-one\"],\"priority\":1}},\
         {{\"name\":\"tenant-two\",\"apiKeys\":[{}],\"priority\":1}}]}}",
        keys.join(",")
    )
}

/// A folder for settings and logs of one run.
pub fn run_folder(case: &str) -> std::io::Result<PathBuf> {
    let dir = std::env::temp_dir().join(format!("oleanderpost-review-{case}-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    Ok(dir)
}

/// Waits until all machines receive clients.
pub fn wait_ready(machines: &[Arc<Machine>], record: &Record, until: f64) -> Result<(), String> {
    while machines.iter().any(|m| !m.in_rotation()) {
        if record.now().as_secs_f64() > until {
            return Err("the machines are not ready in time".to_owned());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}
