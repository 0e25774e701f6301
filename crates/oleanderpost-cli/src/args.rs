//! Definition of the command-line arguments.

use clap::{Parser, Subcommand};
use clap_complete::Shell;

use crate::{
    CheckArgs, DemoArgs, DumpArgs, ExplainArgs, LoadArgs, LossesArgs, PlanArgs, StatusArgs,
    WaitArgs, stand_in::StandInArgs,
};

/// Command-line tool of oleanderpost for operators.
#[derive(Debug, Parser)]
#[command(name = "oleanderpost", version, after_help = EXIT_CODES)]
pub struct Args {
    /// Command to run.
    #[command(subcommand)]
    pub(crate) command: Command,
}

const EXIT_CODES: &str = "\
Exit codes:
  0  done, and the answer is yes (valid, no change, holds everywhere, every answer whole)
  1  done, and the answer is no
  2  arguments, settings or an input file are not valid
  3  a process could not be reached, or a listener not be opened";

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Check fleet files and report every error with its line, its field and the allowed values.
    Check(CheckArgs),
    /// Show what applying a fleet file would change.
    Plan(PlanArgs),
    /// Show which configuration is in force on each node.
    Status(StatusArgs),
    /// Wait until a generation of a fleet file, or a greater one, is in force on every node.
    Wait(WaitArgs),
    /// Show the state of a node.
    Dump(DumpArgs),
    /// Show the log lines about one request from the logs of several nodes, in order of time.
    Explain(ExplainArgs),
    /// Count late, rejected and failed requests in the logs of several nodes, by cause, prompt length and time.
    Losses(LossesArgs),
    /// Send requests at a fixed rate and report the time to first token by prompt length.
    Load(Box<LoadArgs>),
    /// Run a stand-in for the platform, a model engine or a plain service.
    #[command(subcommand, name = "stand-in")]
    StandIn(StandInArgs),
    /// Run a whole fleet in one process under load and report the time to first token by prompt length.
    Demo(DemoArgs),
    /// Write a shell completion script to standard output.
    Completions {
        /// Shell to write the script for.
        shell: Shell,
    },
}
