//! [`LoadArgs`].

use std::net::SocketAddr;

use clap::{Args, Command, FromArgMatches};

use oleanderpost::types::{Millis, Tokens};

use crate::{LoadAccount, Output, Phase, PromptForm, PromptMix};

/// Arguments of `oleanderpost load`.
///
/// Requests are sent at times fixed in advance (open loop, Poisson arrivals), regardless of how slow the
/// answers are. The time to first token is measured from the intended arrival.
#[derive(Clone, Debug, Args)]
#[command(
    after_help = "The exit code is 0 if each request got a whole answer in time or a refusal \
or failure that says so, and the evidence agrees; else 1."
)]
pub struct LoadArgs {
    /// Address of a node's listener for callers; several are used round-robin.
    #[arg(
        long = "target",
        value_name = "ADDRESS",
        required_unless_present = "direct"
    )]
    pub targets: Vec<SocketAddr>,
    /// Address of an engine to call instead of nodes; several are used round-robin.
    #[arg(long, value_name = "ADDRESS", conflicts_with = "targets")]
    pub direct: Vec<SocketAddr>,
    /// Service to call, or the model's name with `--direct`.
    #[arg(long)]
    pub service: String,
    /// Bearer token of a client account, and the weight of its share of the requests.
    #[arg(long = "account", value_name = "TOKEN[=WEIGHT]")]
    pub accounts: Vec<LoadAccount>,
    /// Rate of arrivals and its duration; several phases run one after another.
    #[arg(long = "phase", value_name = "RATExSECONDS", default_value = "50x10")]
    pub phases: Vec<Phase>,
    /// Distribution of prompt lengths.
    #[command(flatten)]
    pub mix: PromptMix,
    /// Maximum prompt length of each class in the report, in tokens.
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
    /// Format of the prompts.
    #[arg(long, value_enum, default_value = "tokens")]
    pub form: PromptForm,
    /// Number of leading tokens that all prompts of an account share.
    #[arg(long, value_name = "TOKENS", default_value = "0")]
    pub shared_prefix: Tokens,
    /// Time limit of each request, in milliseconds.
    #[arg(long, value_name = "MS", default_value = "60000")]
    pub time_limit_ms: Millis,
    /// Whether requests may be repeated; the service's setting applies if left out.
    #[arg(long, value_name = "BOOL")]
    pub repeatable: Option<bool>,
    /// Maximum number of open requests; requests that arrive beyond it are counted as unsent.
    #[arg(long, default_value_t = 4_096)]
    pub max_open: usize,
    /// Control address of an engine stand-in whose evidence is compared with the answers.
    #[arg(long, value_name = "ADDRESS")]
    pub evidence: Vec<SocketAddr>,
    /// Seed of arrivals, lengths and prompts.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Format of the result.
    #[arg(long, value_enum, default_value = "text")]
    pub output: Output,
}

impl LoadArgs {
    /// Creates arguments with the command line's default values, for a load on `service` at `targets`.
    #[must_use]
    pub fn new(targets: Vec<SocketAddr>, service: &str) -> Self {
        let command_line = ["load", "--target", "127.0.0.1:0", "--service", service];
        let matches = Self::augment_args(Command::new("load")).get_matches_from(command_line);
        let args = Self::from_arg_matches(&matches).expect("the line is complete");
        Self { targets, ..args }
    }
}
