//! Definition of the command line.

use clap::{Parser, Subcommand};
use clap_complete::Shell;

use crate::{
    CheckArgs, DemoArgs, DumpArgs, ExplainArgs, LoadArgs, PlanArgs, StatusArgs, WaitArgs,
    stand_in::StandInArgs,
};

/// Operators' command line of oleanderpost.
#[derive(Debug, Parser)]
#[command(name = "oleanderpost", version, after_help = EXIT_CODES)]
pub struct Args {
    /// What to do.
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
    /// Check fleet files and name every fault with its line, field and what is allowed.
    Check(CheckArgs),
    /// Show what applying a fleet file would change.
    Plan(PlanArgs),
    /// Show which configuration is in force on each node.
    Status(StatusArgs),
    /// Wait until a generation of a fleet file holds on every node.
    Wait(WaitArgs),
    /// Show the state of a node.
    Dump(DumpArgs),
    /// Tell the story of one request from the logs of nodes.
    Explain(ExplainArgs),
    /// Send requests at a fixed rate and report the time to first token by prompt length.
    Load(Box<LoadArgs>),
    /// Run a stand-in for a system that oleanderpost serves.
    #[command(subcommand, name = "stand-in")]
    StandIn(StandInArgs),
    /// Run a whole fleet in this process and report the time to first token by prompt length.
    Demo(DemoArgs),
    /// Write a completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}
