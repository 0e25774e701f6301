//! [`Account`].

use serde::{Deserialize, Serialize};

use crate::AccountName;

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Name.
    pub name: AccountName,
    /// Rank that goes before the route's; 0 goes first.
    pub priority: Option<u8>,
}
