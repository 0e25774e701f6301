//! [`SettingFault`].

/// One fault found while validating the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// Name of the setting.
    pub name: &'static str,
    /// Description of the fault and of the allowed values.
    pub detail: String,
}

impl std::fmt::Display for SettingFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.name, self.detail)
    }
}
