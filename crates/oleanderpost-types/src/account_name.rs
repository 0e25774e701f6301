//! [`AccountName`].

name_type! {
    /// Name of a client account.
    AccountName
}
