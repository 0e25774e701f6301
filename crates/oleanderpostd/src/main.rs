//! Entry point of the `oleanderpostd` program.

use std::process::ExitCode;

use clap::Parser;
use oleanderpostd::{
    Args, Command, Daemon, Result, init_entry_logs, init_logs, run_entry, stop_signal,
};
use tokio::runtime::{Builder, Runtime};

fn main() -> ExitCode {
    match run_command(Args::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("oleanderpostd: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run_command(args: Args) -> Result<bool> {
    if let Some(Command::Entry(args)) = args.command {
        init_entry_logs()?;
        // An entry VM has a fraction of one core, so additional threads would not run in parallel.
        let runtime = Builder::new_current_thread().enable_all().build()?;
        return runtime.block_on(run_entry(args));
    }
    Runtime::new()?.block_on(run_daemon(args))
}

async fn run_daemon(args: Args) -> Result<bool> {
    let settings = args.settings()?;
    if args.check {
        return Ok(true);
    }
    init_logs(settings.log_level)?;
    let daemon = Daemon::start(settings).await?;
    stop_signal().await;
    daemon.close().await;
    Ok(true)
}
