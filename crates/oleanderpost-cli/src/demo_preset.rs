//! [`DemoPreset`] and [`DemoService`].

use oleanderpost::types::Tokens;

/// Predefined fleets of the demo.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum DemoPreset {
    /// Two nodes and four engines.
    Small,
    /// Seven nodes, a drafting service of 14 engines and a booking application of 3.
    Association,
    /// Six nodes, an assistant of 16 engines and a field application of 3.
    Lakeshore,
}

/// A service that runs on engines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemoService {
    pub(crate) name: &'static str,
    pub(crate) engine_count: usize,
    /// KV cache memory of each engine.
    pub(crate) memory: Tokens,
}

/// Requests per second for each engine of the service under load.
const RATE_PER_ENGINE: f64 = 3.0;
/// KV cache memory of each engine.
const ENGINE_MEMORY: Tokens = Tokens::new(400_000);

impl DemoPreset {
    pub(crate) fn node_count(self) -> usize {
        match self {
            Self::Small => 2,
            Self::Association => 7,
            Self::Lakeshore => 6,
        }
    }

    /// Services that run on engines. The load is sent to the first one.
    pub(crate) fn engine_services(self) -> Vec<DemoService> {
        let service = |name, engine_count| DemoService {
            name,
            engine_count,
            memory: ENGINE_MEMORY,
        };
        match self {
            Self::Small => vec![service("drafting", 4)],
            Self::Association => vec![service("drafting", 14), service("booking", 3)],
            Self::Lakeshore => vec![service("assistant", 16), service("field", 3)],
        }
    }

    /// Name of the plain service.
    pub(crate) fn plain_service(self) -> &'static str {
        match self {
            Self::Small | Self::Association => "calendar",
            Self::Lakeshore => "dispatch",
        }
    }

    /// Requests per second if the operator gives no rate.
    pub(crate) fn default_rate(self) -> f64 {
        self.engine_services()[0].engine_count as f64 * RATE_PER_ENGINE
    }
}
