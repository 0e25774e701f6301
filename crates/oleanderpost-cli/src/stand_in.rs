//! `oleanderpost stand-in`.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args, Subcommand};
use serde::Serialize;
use tokio::signal::unix::{Signal, SignalKind, signal};

use oleanderpost::types::{Millis, ModelName, Tokens, UpstreamId, Vm};
use oleanderpost_standin::{
    EngineServer, EngineSettings, PlainServer, PlatformServer, PlatformSettings,
};

use crate::{Result, settings};

/// Default address of a stand-in's listeners.
const ANY_PORT: &str = "127.0.0.1:0";

#[derive(Debug, Subcommand)]
pub(crate) enum StandInArgs {
    /// The platform: configuration service, VM list and weight store.
    Platform(PlatformArgs),
    /// A model engine with continuous batching that records which requests it ran.
    Engine(Box<EngineArgs>),
    /// A plain service that echoes calls and counts them by request key.
    Plain(PlainArgs),
}

#[derive(Debug, Args)]
pub(crate) struct PlatformArgs {
    /// Address to listen on; port 0 selects a free port.
    #[arg(long, default_value = ANY_PORT)]
    listen: SocketAddr,
    /// Settings file in YAML.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Fleet file that the configuration service holds at the start, under its name without extension.
    #[arg(long = "file", value_name = "FILE")]
    files: Vec<PathBuf>,
    /// YAML file with the VMs that the platform lists at the start.
    #[arg(long, value_name = "FILE")]
    vms: Option<PathBuf>,
    /// Lag of the VM list, in milliseconds.
    #[arg(long)]
    list_lag_ms: Option<Millis>,
}

#[derive(Debug, Args)]
pub(crate) struct EngineArgs {
    /// Address to listen on; port 0 selects a free port.
    #[arg(long, default_value = ANY_PORT)]
    listen: SocketAddr,
    /// Address for fault injection and evidence, which stays available while the engine is dead.
    #[arg(long, default_value = ANY_PORT)]
    control: SocketAddr,
    /// Settings file in YAML.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Name of the engine.
    #[arg(long)]
    id: Option<UpstreamId>,
    /// Model that the engine has loaded at the start.
    #[arg(long)]
    model: Option<ModelName>,
    /// Memory for KV cache, in tokens.
    #[arg(long)]
    memory: Option<Tokens>,
    /// Factor by which the engine runs faster than its step model.
    #[arg(long)]
    time_scale: Option<f64>,
    /// Maximum number of waiting streams.
    #[arg(long)]
    queue_bound: Option<usize>,
    /// Lag of load reports, in milliseconds.
    #[arg(long)]
    load_lag_ms: Option<Millis>,
    /// Seed of all random choices.
    #[arg(long)]
    seed: Option<u64>,
}

#[derive(Debug, Args)]
pub(crate) struct PlainArgs {
    /// Address to listen on; port 0 selects a free port.
    #[arg(long, default_value = ANY_PORT)]
    listen: SocketAddr,
    /// Address for fault injection and evidence, which stays available while the service is down.
    #[arg(long, default_value = ANY_PORT)]
    control: SocketAddr,
}

/// JSON line on standard output with the addresses on which a stand-in listens.
#[derive(Debug, Serialize)]
struct ReadyLine {
    stand_in: &'static str,
    listen: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    control: Option<SocketAddr>,
}

/// Runs a stand-in until the process receives SIGTERM or SIGINT.
pub(crate) async fn run(args: StandInArgs) -> Result<bool> {
    match args {
        StandInArgs::Platform(args) => run_platform(args).await,
        StandInArgs::Engine(args) => run_engine(*args).await,
        StandInArgs::Plain(args) => run_plain(args).await,
    }
}

async fn run_platform(args: PlatformArgs) -> Result<bool> {
    let mut settings: PlatformSettings = settings::read(args.settings.as_deref())?;
    settings.list_lag_ms = args.list_lag_ms.unwrap_or(settings.list_lag_ms);
    let server = PlatformServer::new(settings, args.listen).await?;
    for path in &args.files {
        let name = settings::file_name(path)?;
        server
            .platform()
            .put_file(name, settings::read_text(path)?)?;
    }
    if let Some(path) = &args.vms {
        let vms: Vec<Vm> = settings::read_yaml(path)?;
        for vm in vms {
            server.platform().put_vm(vm);
        }
    }
    let signals = StopSignals::new()?;
    print_ready("platform", server.address(), None);
    signals.wait().await;
    server.close().await;
    Ok(true)
}

async fn run_engine(args: EngineArgs) -> Result<bool> {
    let settings = engine_settings(&args)?;
    let server = EngineServer::new(settings, args.listen, args.control).await?;
    let signals = StopSignals::new()?;
    print_ready("engine", server.address(), Some(server.control_address()));
    signals.wait().await;
    server.close().await;
    Ok(true)
}

fn engine_settings(args: &EngineArgs) -> Result<EngineSettings> {
    let mut settings: EngineSettings = settings::read(args.settings.as_deref())?;
    if let Some(id) = &args.id {
        settings.id = id.clone();
    }
    if let Some(model) = &args.model {
        settings.model = model.clone();
    }
    settings.memory = args.memory.unwrap_or(settings.memory);
    settings.time_scale = args.time_scale.unwrap_or(settings.time_scale);
    settings.queue_bound = args.queue_bound.unwrap_or(settings.queue_bound);
    settings.load_lag_ms = args.load_lag_ms.unwrap_or(settings.load_lag_ms);
    settings.seed = args.seed.unwrap_or(settings.seed);
    Ok(settings)
}

async fn run_plain(args: PlainArgs) -> Result<bool> {
    let server = PlainServer::new(args.listen, args.control).await?;
    let signals = StopSignals::new()?;
    print_ready("plain", server.address(), Some(server.control_address()));
    signals.wait().await;
    server.close().await;
    Ok(true)
}

fn print_ready(stand_in: &'static str, listen: SocketAddr, control: Option<SocketAddr>) {
    let ready = ReadyLine {
        stand_in,
        listen,
        control,
    };
    println!(
        "{}",
        serde_json::to_string(&ready).expect("the line serialises")
    );
}

/// Signals that stop a stand-in. Created before the ready line is printed, so that a signal that follows the line is
/// not missed.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn wait(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
