//! Dispatch of the commands.

use std::io::stdout;

use clap::CommandFactory;
use clap_complete::{Shell, generate};

use crate::{
    Args, Result, args::Command, check, demo, dump, explain, load, losses, plan, stand_in, status,
};

/// Executes a command. Returns `false` if its result is negative.
///
/// # Errors
///
/// [`Error`](crate::Error) if the command could not be executed.
pub async fn run(args: Args) -> Result<bool> {
    match args.command {
        Command::Check(args) => check::run(&args),
        Command::Plan(args) => plan::run(&args).await,
        Command::Status(args) => status::run(&args).await,
        Command::Wait(args) => status::wait(&args).await,
        Command::Dump(args) => dump::run(&args).await,
        Command::Explain(args) => explain::run(&args),
        Command::Losses(args) => losses::run(&args),
        Command::Load(args) => load::run(*args).await,
        Command::StandIn(args) => stand_in::run(args).await,
        Command::Demo(args) => demo::run(&args).await,
        Command::Completions { shell } => Ok(write_completions(shell)),
    }
}

fn write_completions(shell: Shell) -> bool {
    let mut command = Args::command();
    let name = command.get_name().to_owned();
    generate(shell, &mut command, name, &mut stdout());
    true
}
