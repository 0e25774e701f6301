//! [`ServiceName`].

name_type! {
    /// Name of a service to which callers send requests.
    ServiceName
}
