//! Command-line tool of oleanderpost for operators.
//!
//! [`run`] executes the command given in [`Args`]. It returns `true` if the result of the command is
//! positive and `false` if it is negative. The binary maps both to an [`ExitStatus`].
//!
//! ```
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> oleanderpost_cli::Result<()> {
//! use clap::Parser;
//! use oleanderpost_cli::{Args, run};
//!
//! let args = Args::parse_from(["oleanderpost", "completions", "bash"]);
//! assert!(run(args).await?);
//! # Ok(())
//! # }
//! ```

mod answer_check;
mod app;
mod args;
mod arrivals;
mod audit;
mod call_stats;
mod caller;
mod check;
mod demo;
mod demo_fleet;
mod demo_preset;
mod dump;
mod ending;
mod error;
mod exit_status;
mod explain;
mod http_client;
mod load;
mod load_account;
mod load_args;
mod load_report;
mod log_record;
mod losses;
mod node_status;
mod output;
mod phase;
mod plan;
mod progress_line;
mod prompt_form;
mod prompt_mix;
mod request_loss;
mod settings;
mod stand_in;
mod status;

pub use crate::{
    app::run,
    args::Args,
    check::CheckArgs,
    demo::DemoArgs,
    demo_preset::DemoPreset,
    dump::DumpArgs,
    error::{Error, Result},
    exit_status::ExitStatus,
    explain::ExplainArgs,
    load_account::LoadAccount,
    load_args::LoadArgs,
    losses::LossesArgs,
    output::Output,
    phase::Phase,
    plan::PlanArgs,
    prompt_form::PromptForm,
    prompt_mix::PromptMix,
    status::{StatusArgs, WaitArgs},
};
