//! `oleanderpost demo`.

use std::{fmt, time::Duration};

use bytes::Bytes;
use clap::Args;
use hyper::Method;
use serde::Serialize;
use tokio::time::{Instant, sleep};

use oleanderpost::types::Generation;
use oleanderpostd::init_logs;

use crate::{
    DemoPreset, Error, LoadArgs, Output, Phase, Result, demo_fleet::DemoFleet,
    http_client::HttpClient, load, load_report::LoadReport, node_status::NodeStatus,
};

/// Minimum level of the nodes' log records on standard error.
const LOG_LEVEL: &str = "error";
/// Maximum time to wait until the fleet is ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the fleet's status is polled during startup.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Arguments of `oleanderpost demo`.
#[derive(Clone, Debug, Args)]
pub struct DemoArgs {
    /// Size of the fleet.
    #[arg(long, value_enum, default_value = "small")]
    preset: DemoPreset,
    /// Duration of the load, in seconds.
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Requests per second; by default, three for each engine of the first service.
    #[arg(long)]
    rate: Option<f64>,
    /// Factor by which the engines run faster than their step model.
    #[arg(long, default_value_t = 8.0)]
    time_scale: f64,
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Format of the result.
    #[arg(long, value_enum, default_value = "text")]
    output: Output,
}

/// Result of a demo.
#[derive(Debug, Serialize)]
struct DemoReport {
    preset: String,
    nodes: usize,
    engines: usize,
    time_scale: f64,
    /// Time until each node accepted requests and the configuration was in force on all nodes.
    ready_ms: u64,
    /// Duration of one call to the plain service through a node.
    plain_ms: f64,
    load: LoadReport,
}

/// Runs a fleet under load. Returns `false` if the load run did not pass.
pub(crate) async fn run(args: &DemoArgs) -> Result<bool> {
    init_logs(LOG_LEVEL.parse().expect("the level is known"))?;
    let start = Instant::now();
    let fleet = DemoFleet::new(args.preset, args.time_scale, args.seed).await?;
    wait_until_ready(&fleet, start + START_TIMEOUT).await?;
    let ready = start.elapsed();
    let plain = call_plain(args.preset, &fleet).await?;
    let load = load::run_load(load_args(args, &fleet)).await?;
    let report = DemoReport {
        preset: format!("{:?}", args.preset).to_lowercase(),
        nodes: fleet.caller_addresses().len(),
        engines: fleet.control_addresses().len(),
        time_scale: args.time_scale,
        ready_ms: ready.as_millis() as u64,
        plain_ms: plain.as_secs_f64() * 1e3,
        load,
    };
    fleet.close().await;
    args.output.write(&report)?;
    Ok(report.load.passed())
}

/// Waits until each node accepts requests and holds the fleet file.
async fn wait_until_ready(fleet: &DemoFleet, deadline: Instant) -> Result<()> {
    let client = HttpClient::new();
    let first_generation = Generation::new(1);
    loop {
        let status: NodeStatus = client.get(fleet.admin_address(), "/status").await?;
        let all_listed = status.fleet.nodes as usize == fleet.caller_addresses().len();
        let in_force = all_listed
            && status
                .fleet
                .holds_everywhere(&fleet.file_name(), first_generation);
        if in_force && fleet.is_ready() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(Error::NotReady(status.to_string()));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Calls the plain service through a node and returns the duration of the call.
async fn call_plain(preset: DemoPreset, fleet: &DemoFleet) -> Result<Duration> {
    let start = Instant::now();
    let path = format!("/v1/services/{}/hello", preset.plain_service());
    let token = fleet.accounts().swap_remove(0).token;
    let client = HttpClient::new().with_token(token);
    let body = Bytes::from_static(b"hello");
    client
        .call(Method::POST, fleet.caller_addresses()[0], &path, body)
        .await?;
    Ok(start.elapsed())
}

fn load_args(args: &DemoArgs, fleet: &DemoFleet) -> LoadArgs {
    let service = args.preset.engine_services()[0].name;
    let mut load = LoadArgs::new(fleet.caller_addresses(), service);
    load.accounts = fleet.accounts();
    load.evidence = fleet.control_addresses();
    load.seed = args.seed;
    load.phases = vec![Phase {
        rate: args.rate.unwrap_or_else(|| args.preset.default_rate()),
        duration: Duration::from_secs_f64(args.seconds.clamp(0.0, 3_600.0)),
    }];
    load
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}: {} nodes before {} engines, {} times faster than their step model; ready after {} ms",
            self.preset, self.nodes, self.engines, self.time_scale, self.ready_ms
        )?;
        writeln!(f, "a call of the plain service: {:.1} ms\n", self.plain_ms)?;
        self.load.fmt(f)
    }
}
