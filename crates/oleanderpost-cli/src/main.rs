//! Entry point of the `oleanderpost` binary.

use std::process::ExitCode;

use clap::Parser;

use oleanderpost_cli::{Args, ExitStatus, run};

#[tokio::main]
async fn main() -> ExitCode {
    match run(Args::parse()).await {
        Ok(true) => ExitStatus::Success.into(),
        Ok(false) => ExitStatus::Negative.into(),
        Err(error) => {
            eprintln!("error: {error}");
            error.exit_status().into()
        }
    }
}
