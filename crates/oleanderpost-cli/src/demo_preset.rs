//! [`DemoPreset`] and [`DemoService`].

use oleanderpost::types::Tokens;

/// A fleet that the demo can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum DemoPreset {
    /// Two nodes and four engines.
    Small,
    /// Seven nodes, a drafting service of 14 engines and a booking application of 3.
    Association,
    /// Six nodes, an assistant of 16 engines and a field application of 3.
    Lakeshore,
}

/// A service of engines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemoService {
    pub(crate) name: &'static str,
    pub(crate) engine_count: usize,
    /// Memory of each engine.
    pub(crate) memory: Tokens,
}

/// Requests per second for each engine of the service that takes the load.
const RATE_PER_ENGINE: f64 = 3.0;
const ENGINE_MEMORY: Tokens = Tokens::new(400_000);

impl DemoPreset {
    pub(crate) fn node_count(self) -> usize {
        match self {
            Self::Small => 2,
            Self::Association => 7,
            Self::Lakeshore => 6,
        }
    }

    /// Services of engines; the first one takes the load.
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

    /// Requests per second unless the operator says otherwise.
    pub(crate) fn default_rate(self) -> f64 {
        self.engine_services()[0].engine_count as f64 * RATE_PER_ENGINE
    }
}
