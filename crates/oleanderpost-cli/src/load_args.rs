//! [`LoadArgs`].

use std::net::SocketAddr;

use clap::{Args, Command, FromArgMatches};

use oleanderpost::types::{Millis, Tokens};

use crate::{LoadAccount, Output, Phase, PromptForm, PromptMix};

/// Arguments of `oleanderpost load`.
///
/// Requests arrive at times fixed in advance (open loop, Poisson), however slow the answers
/// are, and each time to first token counts from the intended arrival.
#[derive(Clone, Debug, Args)]
#[command(
    after_help = "The exit code is 0 if each request got a whole answer in time or a refusal \
or failure that says so, and the evidence agrees; else 1."
)]
pub struct LoadArgs {
    /// Address of a node's listener for callers; several are used in turn.
    #[arg(
        long = "target",
        value_name = "ADDRESS",
        required_unless_present = "direct"
    )]
    pub targets: Vec<SocketAddr>,
    /// Address of an engine to call in place of nodes; several are used in turn.
    #[arg(long, value_name = "ADDRESS", conflicts_with = "targets")]
    pub direct: Vec<SocketAddr>,
    /// Service to call, or the model's name with `--direct`.
    #[arg(long)]
    pub service: String,
    /// Bearer token of a client account, with the weight of its share of the requests.
    #[arg(long = "account", value_name = "TOKEN[=WEIGHT]")]
    pub accounts: Vec<LoadAccount>,
    /// A rate of arrivals and how long it lasts; several follow each other.
    #[arg(long = "phase", value_name = "RATExSECONDS", default_value = "50x10")]
    pub phases: Vec<Phase>,
    /// Lengths of prompts.
    #[command(flatten)]
    pub mix: PromptMix,
    /// Greatest prompt length of each class that is reported, in tokens.
    #[arg(
        long,
        value_name = "TOKENS,...",
        value_delimiter = ',',
        default_value = "4000,32000,100000,1000000"
    )]
    pub classes: Vec<Tokens>,
    /// Tokens to generate for each request.
    #[arg(long, value_name = "TOKENS", default_value_t = 32)]
    pub answer: u32,
    /// Form of the prompts.
    #[arg(long, value_enum, default_value = "tokens")]
    pub form: PromptForm,
    /// Leading tokens that all prompts of an account share.
    #[arg(long, value_name = "TOKENS", default_value = "0")]
    pub shared_prefix: Tokens,
    /// Time limit of each request, in milliseconds.
    #[arg(long, value_name = "MS", default_value = "60000")]
    pub time_limit_ms: Millis,
    /// Whether requests may be repeated; the service decides if it is left out.
    #[arg(long, value_name = "BOOL")]
    pub repeatable: Option<bool>,
    /// Most requests open at a time; what is due beyond them is counted as unsent.
    #[arg(long, default_value_t = 4_096)]
    pub max_open: usize,
    /// Control address of an engine stand-in, whose evidence the answers are compared with.
    #[arg(long, value_name = "ADDRESS")]
    pub evidence: Vec<SocketAddr>,
    /// Seed of arrivals, lengths and prompts.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Form of the result.
    #[arg(long, value_enum, default_value = "text")]
    pub output: Output,
}

impl LoadArgs {
    /// The defaults of the command line, for a load on a service at `targets`.
    #[must_use]
    pub fn new(targets: Vec<SocketAddr>, service: &str) -> Self {
        let command_line = ["load", "--target", "127.0.0.1:0", "--service", service];
        let matches = Self::augment_args(Command::new("load")).get_matches_from(command_line);
        let args = Self::from_arg_matches(&matches).expect("the line is complete");
        Self { targets, ..args }
    }
}
