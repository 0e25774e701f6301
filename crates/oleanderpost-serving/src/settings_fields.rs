//! [`SettingsFields`].

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde_json::Value;

/// Fields of a settings file, read one at a time so that all invalid fields are reported.
#[derive(Debug)]
pub(crate) struct SettingsFields {
    values: BTreeMap<String, Value>,
    errors: Vec<String>,
}

impl SettingsFields {
    /// Parses the fields of a YAML file.
    ///
    /// # Errors
    ///
    /// Returns an error message if the text is not a YAML mapping.
    pub(crate) fn new(text: &str) -> Result<Self, String> {
        let values = serde_saphyr::from_str(text).map_err(|e| e.to_string())?;
        Ok(Self {
            values,
            errors: Vec::new(),
        })
    }

    /// Reads a field that must be present and valid; `allowed` describes the valid values in error messages.
    pub(crate) fn required<T: DeserializeOwned>(
        &mut self,
        name: &str,
        allowed: &str,
        is_valid: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let field = self.optional(name, allowed, is_valid);
        if field.is_none() && !self.values.contains_key(name) {
            self.errors.push(format!("{name}: missing; {allowed}"));
        }
        field
    }

    /// Reads a field that must be valid if it is present.
    pub(crate) fn optional<T: DeserializeOwned>(
        &mut self,
        name: &str,
        allowed: &str,
        is_valid: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let value = self.values.get(name)?.clone();
        let valid = serde_json::from_value(value).ok().filter(is_valid);
        if valid.is_none() {
            self.errors.push(format!("{name}: {allowed}"));
        }
        valid
    }

    /// All errors found, one message per invalid field.
    pub(crate) fn into_errors(self) -> Vec<String> {
        self.errors
    }
}
