//! [`Mechanism`].

/// Mechanism of the convergence protocol that a message belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mechanism {
    /// Pushes of changes to peers, and fetches of contents.
    Spread,
    /// Periodic comparison of all files with one peer.
    AntiEntropy,
    /// Reports of nodes to the watchers of their data centre.
    Report,
    /// Requests of operators for the state of the whole fleet.
    Survey,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 4] = [Self::Spread, Self::AntiEntropy, Self::Report, Self::Survey];

    /// Name used in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Spread => "config_spread",
            Self::AntiEntropy => "config_anti_entropy",
            Self::Report => "config_report",
            Self::Survey => "config_survey",
        }
    }
}

impl std::fmt::Display for Mechanism {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(self.name())
    }
}
