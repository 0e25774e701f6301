//! [`Band`].

use oleanderpost_types::{Priority, Tokens};
use serde::{Deserialize, Serialize};

/// Maximum length of a short prompt if the service has no classes.
const DEFAULT_SHORT_LIMIT: Tokens = Tokens::new(4_000);
/// Maximum length of a medium prompt if the service has no classes.
const DEFAULT_MEDIUM_LIMIT: Tokens = Tokens::new(100_000);
/// Distance between the engine priorities of two bands.
const PRIORITY_STEP: u8 = 64;

/// Priority band of a prompt, by its length. Greater bands have higher priority at the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Band {
    /// Part of a group, because the prompt exceeds one engine's memory.
    Group,
    /// Long: its prefill slows down other requests.
    Long,
    /// Between short and long.
    Medium,
    /// Short: never queued behind a long prompt.
    Short,
}

impl Band {
    /// Returns the band of a prompt in a service with these classes.
    #[must_use]
    pub fn with_prompt(prompt: Tokens, classes: &[Tokens]) -> Self {
        let short = classes.first().copied().unwrap_or(DEFAULT_SHORT_LIMIT);
        let medium = match classes.len() {
            0 => DEFAULT_MEDIUM_LIMIT,
            count => classes[count.saturating_sub(2)].max(short),
        };
        match prompt {
            _ if prompt <= short => Self::Short,
            _ if prompt <= medium => Self::Medium,
            _ => Self::Long,
        }
    }

    /// Returns the engine priority: ordered by band, then by the account's priority.
    #[must_use]
    pub const fn priority(self, account: Priority) -> Priority {
        let band = self as u8;
        Priority::new(band * PRIORITY_STEP + account.get() / 4)
    }

    /// Whether the prefill is long, on one engine or on a group.
    #[must_use]
    pub const fn is_long(self) -> bool {
        matches!(self, Self::Group | Self::Long)
    }
}
