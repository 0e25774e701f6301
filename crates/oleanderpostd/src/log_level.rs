//! [`LogLevel`].

/// Lowest level of the records that are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogLevel(spdlog::Level);

impl LogLevel {
    /// Level filter for the logger.
    #[must_use]
    pub fn filter(self) -> spdlog::LevelFilter {
        spdlog::LevelFilter::MoreSevereEqual(self.0)
    }
}

impl std::str::FromStr for LogLevel {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let level = match text {
            "trace" => spdlog::Level::Trace,
            "debug" => spdlog::Level::Debug,
            "info" => spdlog::Level::Info,
            "warn" => spdlog::Level::Warn,
            "error" => spdlog::Level::Error,
            _ => return Err("allowed: trace, debug, info, warn, error"),
        };
        Ok(Self(level))
    }
}
