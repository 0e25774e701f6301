//! [`LoadAccount`].

use std::str::FromStr;

/// A client account that a load run sends requests for.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadAccount {
    /// Bearer token.
    pub token: String,
    /// Share of the requests, relative to the other accounts' weights.
    pub weight: f64,
}

impl FromStr for LoadAccount {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (token, weight) = text.split_once('=').unwrap_or((text, "1"));
        let weight = weight
            .parse()
            .ok()
            .filter(|weight: &f64| *weight > 0.0 && weight.is_finite());
        let weight = weight.ok_or_else(|| format!("{text:?}: write TOKEN or TOKEN=WEIGHT"))?;
        let token = token.to_owned();
        Ok(Self { token, weight })
    }
}
