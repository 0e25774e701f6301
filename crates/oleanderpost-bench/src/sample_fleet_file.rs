//! [`SampleFleetFile`].

use std::fmt::Write as _;

use sha2::{Digest, Sha256};

/// Generates a valid fleet file of a chosen size.
#[derive(Clone, Copy, Debug)]
pub struct SampleFleetFile {
    /// Number of upstreams, in services of 50.
    pub upstreams: usize,
    /// Number of client accounts.
    pub accounts: usize,
}

/// Number of upstreams of one service.
const UPSTREAMS_PER_SERVICE: usize = 50;

impl SampleFleetFile {
    /// Returns the YAML text of one generation. Consecutive generations differ in one service's time limit.
    #[must_use]
    pub fn text(&self, generation: u64) -> String {
        let mut text = format!("format: 1\ngeneration: {generation}\nservices:\n");
        let services = self.upstreams.div_ceil(UPSTREAMS_PER_SERVICE).max(1);
        let changed = usize::try_from(generation).unwrap_or_default() % services;
        for service in 0..services {
            let limit = if service == changed {
                60_000 + generation % 1000
            } else {
                60_000
            };
            self.write_service(&mut text, service, limit);
        }
        if self.accounts > 0 {
            text.push_str("accounts:\n");
        }
        for account in 0..self.accounts {
            let token = hex::encode(Sha256::digest(account.to_le_bytes()));
            let _ = writeln!(
                text,
                "  - {{name: account-{account}, token_sha256: {token:?}, services: [service-0], share: {}}}",
                account % 7 + 1
            );
        }
        text
    }

    fn write_service(&self, text: &mut String, service: usize, limit: u64) {
        let _ = write!(
            text,
            "  - name: service-{service}\n    kind: engines\n    model: {{name: letters, version: 3}}\n    \
             time_limit_ms: {limit}\n    classes:\n      - {{name: short, up_to: 4000}}\n      \
             - {{name: long, up_to: 1000000}}\n    upstreams:\n"
        );
        let first = service * UPSTREAMS_PER_SERVICE;
        let end = (first + UPSTREAMS_PER_SERVICE).min(self.upstreams.max(first + 1));
        for i in first..end {
            let _ = writeln!(
                text,
                "      - {{id: e-{i}, vm: vm-e-{i}, address: \"10.{}.{}.{}:8000\", data_centre: dc-{}, memory: 500000}}",
                i / 62_500,
                i / 250 % 250,
                i % 250 + 1,
                i % 6
            );
        }
    }
}
