//! [`Account`].

use serde::{Deserialize, Serialize};

use crate::AccountName;

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Name of the account.
    pub name: AccountName,
    /// Scheduling priority that overrides the route's; 0 is the highest.
    pub priority: Option<u8>,
}
