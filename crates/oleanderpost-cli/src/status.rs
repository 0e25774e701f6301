//! `oleanderpost status` and `oleanderpost wait`.

use std::{fmt, net::SocketAddr, time::Duration};

use clap::Args;
use serde::Serialize;
use tokio::time::{Instant, sleep};

use oleanderpost::{
    config::Findings,
    types::{FileName, Generation},
};

use crate::{
    Output, Result, http_client::HttpClient, node_status::NodeStatus, progress_line::ProgressLine,
};

/// Arguments of `oleanderpost status`.
#[derive(Clone, Debug, Args)]
#[command(
    after_help = "The exit code is 0 if each file holds on every node, without conflict \
or refusal; else 1."
)]
pub struct StatusArgs {
    /// Address of a node's listener for operators.
    #[arg(long, value_name = "ADDRESS")]
    admin: SocketAddr,
    /// Name of the fleet file to report on; all files if left out.
    #[arg(long, value_name = "NAME")]
    file: Option<FileName>,
    /// Format of the result.
    #[arg(long, value_enum, default_value = "text")]
    output: Output,
}

/// Arguments of `oleanderpost wait`.
#[derive(Clone, Debug, Args)]
#[command(
    after_help = "The exit code is 0 once the generation, or a greater one, holds on \
every node; 1 if the time is up or the file is refused."
)]
pub struct WaitArgs {
    /// Address of a node's listener for operators.
    #[arg(long, value_name = "ADDRESS")]
    admin: SocketAddr,
    /// Name of the fleet file.
    #[arg(long, value_name = "NAME")]
    file: FileName,
    /// Generation to wait for.
    #[arg(long)]
    generation: Generation,
    /// Maximum time to wait, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 30)]
    timeout: u64,
    /// Format of the result.
    #[arg(long, value_enum, default_value = "text")]
    output: Output,
}

/// Result of `oleanderpost wait`.
#[derive(Debug, Serialize)]
struct WaitReport {
    file: FileName,
    generation: Generation,
    holds_everywhere: bool,
    waited_ms: u64,
    nodes: u32,
    reporting: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    refused: Option<Findings>,
}

/// Writes the status of a node and the fleet. Returns `false` if a file is not in force on every node.
pub(crate) async fn run(args: &StatusArgs) -> Result<bool> {
    let status = fetch(&HttpClient::new(), args.admin, args.file.as_ref()).await?;
    args.output.write(&status)?;
    Ok(status.all_files_in_force())
}

/// Waits until a generation is in force on every node. Returns `false` if the time is up or the file is
/// refused.
pub(crate) async fn wait(args: &WaitArgs) -> Result<bool> {
    let client = HttpClient::new();
    let progress = ProgressLine::new();
    let start = Instant::now();
    let deadline = start + Duration::from_secs(args.timeout);
    loop {
        let status = fetch(&client, args.admin, Some(&args.file)).await?;
        let report = WaitReport::new(args, &status, start.elapsed());
        if report.holds_everywhere || report.refused.is_some() || Instant::now() >= deadline {
            progress.close();
            args.output.write(&report)?;
            return Ok(report.holds_everywhere);
        }
        progress.show(&report.to_string());
        sleep(ProgressLine::UPDATE_INTERVAL).await;
    }
}

async fn fetch(
    client: &HttpClient,
    admin: SocketAddr,
    file: Option<&FileName>,
) -> Result<NodeStatus> {
    match file {
        Some(file) => client.get(admin, &format!("/status?file={file}")).await,
        None => client.get(admin, "/status").await,
    }
}

impl WaitReport {
    fn new(args: &WaitArgs, status: &NodeStatus, elapsed: Duration) -> Self {
        Self {
            file: args.file.clone(),
            generation: args.generation,
            holds_everywhere: status.fleet.holds_everywhere(&args.file, args.generation),
            waited_ms: elapsed.as_millis() as u64,
            nodes: status.fleet.nodes,
            reporting: status.fleet.reporting,
            refused: status.refusal(&args.file, args.generation).cloned(),
        }
    }
}

impl fmt::Display for WaitReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (file, generation) = (&self.file, self.generation);
        if let Some(findings) = &self.refused {
            return writeln!(f, "{file}: generation {generation} is refused:\n{findings}");
        }
        let holds = if self.holds_everywhere {
            "holds"
        } else {
            "does not yet hold"
        };
        writeln!(
            f,
            "{file}: generation {generation} {holds} everywhere after {} ms ({} of {} nodes report)",
            self.waited_ms, self.reporting, self.nodes
        )
    }
}
