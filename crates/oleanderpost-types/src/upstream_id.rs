//! [`UpstreamId`].

name_type! {
    /// Name of one upstream: a model engine or one instance of a plain service.
    UpstreamId
}
