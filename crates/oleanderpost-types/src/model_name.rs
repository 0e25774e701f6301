//! [`ModelName`].

name_type! {
    /// Name of a model that engines load.
    ModelName
}
