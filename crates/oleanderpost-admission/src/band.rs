//! [`Band`].

use oleanderpost_types::{Priority, Tokens};
use serde::{Deserialize, Serialize};

/// Greatest short prompt where a service has no classes.
const DEFAULT_SHORT_LIMIT: Tokens = Tokens::new(4_000);
/// Greatest prompt that is not long where a service has no classes.
const DEFAULT_MEDIUM_LIMIT: Tokens = Tokens::new(100_000);
/// Distance between the engine priorities of two bands.
const PRIORITY_STEP: u8 = 64;

/// How admission treats a prompt by its length; the greater bands go first at the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Band {
    /// Longer than one engine's memory: a part of a group.
    Group,
    /// Long: its prefill slows others.
    Long,
    /// In between.
    Medium,
    /// Short: never behind a long one.
    Short,
}

impl Band {
    /// Band of a prompt in a service with these classes.
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

    /// Engine priority: the band decides, the account's priority orders within it.
    #[must_use]
    pub const fn priority(self, account: Priority) -> Priority {
        let band = self as u8;
        Priority::new(band * PRIORITY_STEP + account.get() / 4)
    }

    /// Whether the prefill is long.
    #[must_use]
    pub const fn is_long(self) -> bool {
        matches!(self, Self::Group | Self::Long)
    }
}
