//! `oleanderpost dump`.

use std::{
    io::{Write, stdout},
    net::SocketAddr,
};

use clap::Args;
use serde_json::Value;

use crate::{Result, http_client::HttpClient};

/// Arguments of `oleanderpost dump`.
#[derive(Clone, Debug, Args)]
pub struct DumpArgs {
    /// Address of a node's listener for operators.
    #[arg(long, value_name = "ADDRESS")]
    admin: SocketAddr,
    /// Part of the dump to show, such as `config` or `admission`; the whole dump if left out.
    part: Option<String>,
}

/// Writes the state of a node as JSON. Returns `false` if the dump has no such part.
pub(crate) async fn run(args: &DumpArgs) -> Result<bool> {
    let dump: Value = HttpClient::new().get(args.admin, "/dump").await?;
    let part = match &args.part {
        Some(part) => dump.get(part),
        None => Some(&dump),
    };
    let Some(part) = part else {
        return Ok(false);
    };
    writeln!(stdout().lock(), "{part:#}")?;
    Ok(true)
}
