//! [`DataCentre`].

name_type! {
    /// Name of a data centre.
    DataCentre
}
