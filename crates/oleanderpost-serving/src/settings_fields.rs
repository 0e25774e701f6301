//! [`SettingsFields`].

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde_json::Value;

/// Fields of a settings file, read one by one so that all faults are found.
#[derive(Debug)]
pub(crate) struct SettingsFields {
    values: BTreeMap<String, Value>,
    faults: Vec<String>,
}

impl SettingsFields {
    /// Reads a file in YAML.
    ///
    /// # Errors
    ///
    /// The fault of a file that is no list of fields.
    pub(crate) fn new(text: &str) -> Result<Self, String> {
        let values = serde_saphyr::from_str(text).map_err(|e| e.to_string())?;
        Ok(Self {
            values,
            faults: Vec::new(),
        })
    }

    /// A field that must be there and sound; `allowed` tells what is.
    pub(crate) fn required<T: DeserializeOwned>(
        &mut self,
        name: &str,
        allowed: &str,
        is_sound: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let read = self.optional(name, allowed, is_sound);
        if read.is_none() && !self.values.contains_key(name) {
            self.faults.push(format!("{name}: missing; {allowed}"));
        }
        read
    }

    /// A field that must be sound if it is there.
    pub(crate) fn optional<T: DeserializeOwned>(
        &mut self,
        name: &str,
        allowed: &str,
        is_sound: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let value = self.values.get(name)?.clone();
        let sound = serde_json::from_value(value).ok().filter(is_sound);
        if sound.is_none() {
            self.faults.push(format!("{name}: {allowed}"));
        }
        sound
    }

    /// All faults that were found.
    pub(crate) fn into_faults(self) -> Vec<String> {
        self.faults
    }
}
