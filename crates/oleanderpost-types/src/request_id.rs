//! [`RequestId`].

uuid_type! {
    /// Identifier of a request, assigned by the node that admits it and used in logs.
    RequestId
}
